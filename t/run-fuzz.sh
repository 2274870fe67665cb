#!/usr/bin/env bash
# Runs the libFuzzer programs given as arguments, each for FUZZ_RUNS inputs
# with a fixed seed, and prints a summary. Inputs that fail are kept in BUILD.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build-fuzz}
runs=${FUZZ_RUNS:-100000}
failed=0
for program in "$@"; do
	name=$(basename "$program")
	new_corpus=$build/grown/$name
	# Inputs kept from an earlier run would make the seed not reproducible.
	rm -rf "$new_corpus"
	mkdir -p "$new_corpus"
	# With address randomisation (ASLR) runs of one seed keep different
	# inputs; setarch -R disables it.
	if setarch -R "$program" -seed=1 -runs="$runs" -max_len=2048 \
		-timeout=10 -reload=0 -dict=t/corpus/json.dict \
		-artifact_prefix="$build/$name-" "$new_corpus" \
		"t/corpus/${name#fuzz-}" >"$new_corpus.log" 2>&1; then
		echo "$name: $(grep -o 'DONE.*lim: [0-9]*' "$new_corpus.log")"
	else
		tail -n 30 "$new_corpus.log"
		echo "FAILED: $name, see $new_corpus.log"
		failed=$((failed + 1))
	fi
done
echo "fuzz: $# targets, $runs runs each, seed 1, $failed failed"
[ $failed -eq 0 ]
