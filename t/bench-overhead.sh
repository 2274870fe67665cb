#!/usr/bin/env bash
# Measures the overhead of one instance compared with direct calls to an engine:
# time to first token and time between tokens at the client, and CPU time and
# memory of the instance per stream and token. Both engines get the same
# requests in the same run. All on loopback; arguments go to amaranthvale-load.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
. t/lib/processes.sh

AMV_CLUSTER_KEY=bench-cluster-key
export AMV_CLUSTER_KEY
for name in direct behind; do
	start "$name" "$build/t/standin-engine" --model m1 \
		--weights-version v1 --block-tokens 200 --threads 1024 \
		--streams-max 1024 --stream-ms 0 --token-ms 28 \
		--prefill-tokens-per-s 1000000 --cache-blocks 4000
	await "$name"
done
{
	echo '{'
	endpoint e1 behind engine pool d1
	cat <<-END
	"customer/c0":{"salt":"c0","pools":["pool"],
	"key_sha256":"$(key_digest key-0)"},
	"pool/pool":{"model":"m1","weights_version":"v1"},
	"limits/global":{"endpoint_streams_max":1024},
	"model/m1":{"block_tokens":200,"prefill_tokens_per_s":1000000}}
	END
} >"$work/config.json"
start router "$build/amaranthvale-router" --port 0 --streams-max 1024 \
	--bootstrap "$work/config.json" --log-level error
await router
idle_kib=$(resident_kib router)
before=$(cpu_ticks router)
"$build/amaranthvale-load" --model m1 --block-tokens 200 --customers 1 \
	--large-percent 100 --shift-s 0 --json "$work/result.json" "$@" \
	"direct=$(url direct)" "router=$(url router)"
after=$(cpu_ticks router)
tokens=$(curl -s "$(url router)/metrics" |
	awk '$1 == "amv_relayed_tokens_total" { print $2 }')
awk -v ticks=$((after - before)) -v hz="$(getconf CLK_TCK)" \
	-v tokens="$tokens" -v idle="$idle_kib" \
	-v now="$(resident_kib router)" 'BEGIN {
	printf "router_cpu_s %.2f relayed_tokens %d cpu_us_per_token %.1f\n",
		ticks / hz, tokens, ticks / hz * 1e6 / tokens
	printf "router_resident_kib idle %d after %d\n", idle, now }'
awk -F'[:,]' '/gap_p95_ms/ { print "gap_p95_ms" $2 }' "$work/result.json"
