#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2/. The
# build of the deploy file has to come first.
set -euo pipefail
cd "$(dirname "$0")/.."

flags=(-O1 -g -std=gnu11 -D_GNU_SOURCE -pthread -Wall -Wextra)
mkdir -p target/review-2
for folder in 6 7 8 9 10; do
	source=review/$folder/script.c
	[[ -e $source ]] || continue
	# shellcheck disable=SC2046
	"${CC:-cc}" "${flags[@]}" $(pkg-config --cflags jansson) \
		-o "target/review-2/case-$folder" "$source" \
		review/standin-2/rig.c $(pkg-config --libs jansson)
done
