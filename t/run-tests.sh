#!/usr/bin/env bash
# Runs the GLib test programs given as arguments and prints a summary.
#
# UNIT_ONLY=1 leaves out the programs named test-it-*, which start processes.
# Tests listed in KNOWN-RED.txt as "test: <program> <test path>" run too; their
# failures are printed but not counted.
set -u
cd "$(dirname "$0")/.."
export BUILD=${BUILD:-build}
log_dir=$BUILD/test-logs
mkdir -p "$log_dir"

is_known_failure() {
	[ -f KNOWN-RED.txt ] && grep -qxF "test: $1 $2" KNOWN-RED.txt
}

passed=0 failed=0 known=0
for program in "$@"; do
	name=$(basename "$program")
	if [ "${UNIT_ONLY:-0}" = 1 ] && [[ $name == test-it-* ]]; then
		continue
	fi
	log=$log_dir/$name.log
	timeout --kill-after=10 "${TEST_TIMEOUT_S:-240}" "$program" --tap -k \
		>"$log" 2>&1 </dev/null
	status=$?
	ok=$(grep -c '^ok ' "$log")
	passed=$((passed + ok))
	bad=0
	while read -r path; do
		bad=$((bad + 1))
		if is_known_failure "$name" "$path"; then
			echo "known red: $name $path"
			known=$((known + 1))
		else
			echo "FAILED: $name $path"
			failed=$((failed + 1))
		fi
	done < <(sed -n 's/^not ok [0-9]* \(\/[^ ]*\).*/\1/p' "$log")
	# After a crash or a timeout, fewer tests are reported than the TAP plan
	# announces.
	plan=$(sed -n 's/^1\.\.\([0-9]*\).*/\1/p' "$log" | tail -n 1)
	if [ $((ok + bad)) -lt "${plan:-0}" ] ||
	   { [ $status -ne 0 ] && [ $bad -eq 0 ]; }; then
		echo "FAILED: $name ended with status $status"
		failed=$((failed + 1))
		bad=1
	fi
	if [ "$ok" -eq 0 ] && [ $bad -eq 0 ]; then
		echo "FAILED: $name ran no test"
		failed=$((failed + 1))
		bad=1
	fi
	[ $bad -gt 0 ] && tail -n 40 "$log"
	echo "$name: $ok ok, $bad not ok"
done
[ $known -gt 0 ] && echo "known red tests: $known (see KNOWN-RED.txt)"
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
