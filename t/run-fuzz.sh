#!/usr/bin/env bash
# Runs the libFuzzer programs given as arguments, each for FUZZ_RUNS inputs
# with a fixed seed, and prints a summary. A finding is kept in BUILD.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build-fuzz}
runs=${FUZZ_RUNS:-100000}
failed=0
for program in "$@"; do
	name=$(basename "$program")
	grown=$build/grown/$name
	# Inputs found before would change what the seed leads to.
	rm -rf "$grown"
	mkdir -p "$grown"
	# Address randomisation changes which inputs the fuzzer keeps.
	if setarch -R "$program" -seed=1 -runs="$runs" -max_len=2048 \
		-timeout=10 -reload=0 -dict=t/corpus/json.dict \
		-artifact_prefix="$build/$name-" "$grown" \
		"t/corpus/${name#fuzz-}" >"$grown.log" 2>&1; then
		echo "$name: $(grep -o 'DONE.*lim: [0-9]*' "$grown.log")"
	else
		tail -n 30 "$grown.log"
		echo "FAILED: $name, see $grown.log"
		failed=$((failed + 1))
	fi
done
echo "fuzz: $# targets, $runs runs each, seed 1, $failed failed"
[ $failed -eq 0 ]
