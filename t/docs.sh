#!/usr/bin/env bash
# Generates the pages in docs/ that the programs print: log events, errors and
# usage. With --check it fails if a committed page is out of date.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
out=docs
if [ "${1:-}" = --check ]; then
	out=$(mktemp -d)
	trap 'rm -rf "$out"' EXIT
fi
mkdir -p "$out/programs"

"$build/amaranthvale" events >"$out/log-events.md"
"$build/amaranthvale" errors >"$out/errors.md"
for program in amaranthvale amaranthvale-router amaranthvale-gateway \
	amaranthvale-load; do
	{
		printf '# %s\n\nPrinted by `%s --help`. ' "$program" "$program"
		printf 'A flag such as `--store-url` can also be set as '
		printf '`AMV_STORE_URL`; the flag takes precedence.\n\n```\n'
		COLUMNS=80 "$build/$program" --help
		printf '```\n'
	} >"$out/programs/$program.md"
done

[ "$out" = docs ] && exit 0
for page in log-events.md errors.md programs/amaranthvale.md \
	programs/amaranthvale-router.md programs/amaranthvale-gateway.md \
	programs/amaranthvale-load.md; do
	diff -u "docs/$page" "$out/$page" ||
		{ echo "docs/$page is out of date: run make docs"; exit 1; }
done
