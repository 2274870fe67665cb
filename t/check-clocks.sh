#!/usr/bin/env bash
# Fails if a source file reads the time of day, or a clock other than the
# monotonic one, and the table of clocks in docs/design.md does not name it, or
# if the table names a file that reads none.
set -euo pipefail
cd "$(dirname "$0")/.."
folders="cmd connection platform process request version"
pattern='clock_unix_ms\(|clock_boot_ms\(|CLOCK_REALTIME|CLOCK_BOOTTIME'
pattern="$pattern|\\btime\\(|gettimeofday|g_get_real_time|timespec_get"
# shellcheck disable=SC2086
readers=$(grep -rlE "$pattern" --include='*.c' $folders | sort)
listed=$(sed -n '/^## 16b\. Clocks/,/^## 17\./p' docs/design.md |
	grep -oE '^\| `[a-z_/.-]+\.c`' | grep -oE '[a-z_/-]+\.c' | sort -u)
missing=$(comm -23 <(echo "$readers") <(echo "$listed"))
extra=$(comm -13 <(echo "$readers") <(echo "$listed"))
if [ -n "$missing$extra" ]; then
	[ -n "$missing" ] && printf 'reads a clock, not in the table: %s\n' $missing
	[ -n "$extra" ] && printf 'in the table, reads no clock: %s\n' $extra
	exit 1
fi
echo "clocks: $(echo "$readers" | wc -l) files, all in the table of docs/design.md"
