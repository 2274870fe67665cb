#!/usr/bin/env bash
# Compares placement policies with real processes on loopback. All policies run
# at the same time; each has its own routers and engines and gets the same
# requests at the same times.
#
# Environment: POLICIES; ENGINES and ROUTERS of each policy; CACHE_BLOCKS of
# each engine. A policy whose name ends with + runs with the router flags in
# EXTRA: POLICIES="prefix prefix+" measures the effect of the flags.
# Arguments go to amaranthvale-load, for example --rate 8 --seed 1.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
policies=${POLICIES:-prefix random round_robin least_loaded prompt_hash first_level_hash}
engines=${ENGINES:-8}
routers=${ROUTERS:-3}
cache_blocks=${CACHE_BLOCKS:-80}
block_tokens=200
prefill=2000
customers=8
. t/lib/processes.sh

# bootstrap POLICY: prints the configuration of one policy's routers.
bootstrap() {
	echo '{'
	for i in $(seq "$engines"); do
		endpoint "e$i" "$1-e$i" engine pool "d$((i % 4))"
	done
	for i in $(seq 0 $((customers - 1))); do
		printf '"customer/c%s":{"salt":"c%s","urgency":"day",' "$i" "$i"
		printf '"pools":["pool"],"key_sha256":"%s"},\n' \
			"$(key_digest "key-$i")"
	done
	cat <<-END
	"urgency/day":{"time_zone":"UTC","fallback":"normal","rules":[
	{"kind":"verdict","from_hour":0,"to_hour":24,"class":"urgent"},
	{"kind":"summary","from_hour":0,"to_hour":24,"class":"deferrable"}]},
	"pool/pool":{"model":"m1","weights_version":"v1"},
	"model/m1":{"block_tokens":$block_tokens,
	"prefill_tokens_per_s":$prefill}}
	END
}

AMV_CLUSTER_KEY=bench-cluster-key
export AMV_CLUSTER_KEY
for policy in $policies; do
	for i in $(seq "$engines"); do
		start "$policy-e$i" "$build/t/standin-engine" --model m1 \
			--weights-version v1 --block-tokens $block_tokens \
			--prefill-tokens-per-s $prefill \
			--cache-blocks "$cache_blocks" --threads 64
	done
done
targets=()
for policy in $policies; do
	for i in $(seq "$engines"); do
		await "$policy-e$i"
	done
	bootstrap "$policy" >"$work/$policy.json"
	for i in $(seq "$routers"); do
		extra=
		[[ $policy == *+ ]] && extra=${EXTRA:-}
		# shellcheck disable=SC2086 # EXTRA may hold several flags
		start "$policy-r$i" "$build/amaranthvale-router" --port 0 \
			--instance "$policy-r$i" --policy "${policy%+}" $extra \
			--bootstrap "$work/$policy.json" --log-level error
	done
done
for policy in $policies; do
	urls=
	for i in $(seq "$routers"); do
		await "$policy-r$i"
		urls=$urls,$(url "$policy-r$i")
	done
	targets+=("$policy=${urls#,}")
done
echo "# engines $engines routers $routers cache-blocks $cache_blocks $*"
"$build/amaranthvale-load" --model m1 --block-tokens $block_tokens \
	--customers $customers "$@" "${targets[@]}"
