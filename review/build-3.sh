#!/bin/sh
# Builds the programs of the cases of the third review into target/review-3/,
# after the build of the deploy file. Run it from anywhere.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
make BUILD=target target/t/libtest.a target/cmd/libcmd.a target/libamaranthvale.a
mkdir -p "$out"
packages="liburcu-bp popt log4c glib-2.0 libtirpc libcurl jansson libxxhash libsodium openssl libevent libevent_openssl libzstd"
for case in review/1[1-5]/play.c; do
	number=$(basename "$(dirname "$case")")
	# shellcheck disable=SC2046
	${CC:-cc} -I. -D_GNU_SOURCE -O2 -g -std=gnu11 -pthread -Wall -Wextra \
		$(pkg-config --cflags $packages) \
		-o "$out/case-$number" "$case" review/standin-3/*.c \
		target/t/libtest.a target/cmd/libcmd.a \
		target/libamaranthvale.a \
		$(pkg-config --libs $packages) -lcivetweb -lhttp_parser \
		-lpthread -lm
done
