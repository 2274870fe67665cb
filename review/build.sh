#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start, into build/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
make -s -j4 build/libamaranthvale.a build/t/libtest.a
mkdir -p build/review
for source in review/*/case.c; do
	[ -e "$source" ] || continue
	name=$(basename "$(dirname "$source")")
	gcc -I. -D_GNU_SOURCE -O2 -g -std=gnu11 -pthread -Wall -Wextra \
		$(pkg-config --cflags glib-2.0 jansson) \
		-o "build/review/case-$name" "$source" review/standin/rig.c \
		build/t/libtest.a build/libamaranthvale.a \
		$(pkg-config --libs glib-2.0 jansson libcurl libsodium openssl libevent \
			libevent_openssl libxxhash) -lpthread -lm
done
