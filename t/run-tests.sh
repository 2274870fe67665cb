#!/usr/bin/env bash
# Runs the GLib test programs given as arguments and prints a summary.
#
# UNIT_ONLY=1 leaves out the programs named test-it-*, which start processes.
# Tests listed in KNOWN-RED.txt as "test: <program> <test path>" run too; their
# failures are printed but not counted. The failures that count are printed
# again at the end, so that the last lines name them.
set -u
cd "$(dirname "$0")/.."
export BUILD=${BUILD:-build}
log_dir=$BUILD/test-logs
mkdir -p "$log_dir"

is_known_failure() {
	[ -f KNOWN-RED.txt ] && grep -qxF "test: $1 $2" KNOWN-RED.txt
}

passed=0 known=0
failures=()

# Counts a failure and prints it with the time that the program has taken.
add_failure() {
	failures+=("FAILED: $1 (after $((SECONDS - started_s)) s)")
	echo "${failures[-1]}"
}

for program in "$@"; do
	name=$(basename "$program")
	if [ "${UNIT_ONLY:-0}" = 1 ] && [[ $name == test-it-* ]]; then
		continue
	fi
	log=$log_dir/$name.log
	started_s=$SECONDS
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
			add_failure "$name $path"
		fi
	done < <(sed -n 's/^not ok [0-9]* \(\/[^ ]*\).*/\1/p' "$log")
	# After a crash or a timeout, fewer tests are reported than the TAP plan
	# announces.
	plan=$(sed -n 's/^1\.\.\([0-9]*\).*/\1/p' "$log" | tail -n 1)
	if [ $((ok + bad)) -lt "${plan:-0}" ] ||
	   { [ $status -ne 0 ] && [ $bad -eq 0 ]; }; then
		add_failure "$name ended with status $status"
		bad=1
	fi
	if [ "$ok" -eq 0 ] && [ $bad -eq 0 ]; then
		add_failure "$name ran no test"
		bad=1
	fi
	[ $bad -gt 0 ] && tail -n 40 "$log"
	echo "$name: $ok ok, $bad not ok"
done
[ $known -gt 0 ] && echo "known red tests: $known (see KNOWN-RED.txt)"
for failure in "${failures[@]}"; do
	echo "$failure"
done
echo "$passed passed, ${#failures[@]} failed"
[ ${#failures[@]} -eq 0 ]
