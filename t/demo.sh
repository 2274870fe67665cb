#!/usr/bin/env bash
# Demonstration: three routers in front of three engines and a dispatch service,
# all on loopback. Sends prompts with nested shared prefixes and one dispatch
# request, which it repeats. Shows the answers as they stream, and prints the
# cache hit rate, TTFT (time to first token) and the outcome of the dispatch.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
. t/lib/processes.sh

# run NAME PROGRAM [ARGUMENT...]: starts a program and waits for its port.
run() {
	start "$@"
	await "$1"
}

# metric NAME: prints the sum of a metric over the routers.
metric() {
	for router in r1 r2 r3; do
		curl -s "$(url "$router")/metrics"
	done | awk -v name="$1" '$1 == name { sum += $2 } END { print sum + 0 }'
}

engine_args=(--model m1 --weights-version v1 --block-tokens 200
	--prefill-tokens-per-s 4000)
run store "$build/t/standin-store"
for engine in e1 e2 e3; do
	run "$engine" "$build/t/standin-engine" "${engine_args[@]}"
done
run crews "$build/t/standin-plain"

customer_key=demo-customer-key
digest=$(key_digest "$customer_key")
{
	echo '{'
	for engine in e1 e2 e3; do
		endpoint "$engine" "$engine" engine inspection d1
	done
	endpoint crews crews plain dispatch d1
	cat <<-END
	"pool/inspection":{"model":"m1","weights_version":"v1"},
	"pool/dispatch":{},
	"model/m1":{"block_tokens":200,"prefill_tokens_per_s":4000},
	"route/dispatch":{"pool":"dispatch","idempotent_methods":["GET"]},
	"customer/subsol":{"key_sha256":"$digest","salt":"subsol",
	"pools":["inspection","dispatch"]}}
	END
} >"$work/bootstrap.json"

AMV_CLUSTER_KEY=$(head -c 24 /dev/urandom | base64)
export AMV_CLUSTER_KEY
for router in r1 r2 r3; do
	run "$router" "$build/amaranthvale-router" --port 0 --instance \
		"$router" --bootstrap "$work/bootstrap.json" \
		--store-url "$(url store)"
done

# text WORD COUNT: prints COUNT sentences that start with WORD.
text() {
	for i in $(seq "$2"); do
		printf '%s %s: check the float switch and the check valve. ' \
			"$1" "$i"
	done
}

manual=$(text manual 80)
requests=0
for round in 1 2; do
	for building in A B C; do
		section=$(text "building $building" 30)
		for crew in 1 2; do
			requests=$((requests + 1))
			router=r$((requests % 3 + 1))
			note="crew $crew, visit $round: water at 4 cm"
			printf '{"model":"m1","stream":true,"max_tokens":12,' \
				>"$work/body"
			printf '"messages":[{"role":"system","content":"%s"},' \
				"$manual" >>"$work/body"
			printf '{"role":"user","content":"%s"},' "$section" \
				>>"$work/body"
			printf '{"role":"user","content":"%s"}]}' "$note" \
				>>"$work/body"
			printf '%s building %s, crew %s:' "$router" \
				"$building" "$crew"
			curl -sSN --fail-with-body \
				-H "Authorization: Bearer $customer_key" \
				-d @"$work/body" \
				"$(url "$router")/v1/chat/completions" |
				tee "$work/answer" | sed -nu \
				's/.*"content":"\(.*\)"}}\]}$/\1/p' |
				tr -d '\n'
			grep -q '^data: \[DONE\]' "$work/answer" ||
				{ echo " (incomplete)"; exit 1; }
			echo
		done
	done
done

dispatch() {
	curl -sS -o "$work/dispatch" -D "$work/headers" \
		-w '%{http_code}' -H "Authorization: Bearer $customer_key" \
		-H 'Idempotency-Key: demo-1' -d '{"crew":7,"building":"B"}' \
		"$(url "$1")/svc/dispatch/crews"
}
first=$(dispatch r1)
state=$(tr -d '\r' <"$work/headers" | sed -n 's/^X-Run-State: //p')
again=$(dispatch r2)
executed=$(curl -s "$(url crews)/control/executions" |
	sed -n 's/.*"executed":\([0-9]*\).*/\1/p')

prompt=$(metric amv_prompt_tokens_total)
cached=$(metric amv_cached_prompt_tokens_total)
ttft_sum=$(metric 'amv_ttft_ms_sum{class="normal"}')
ttft_count=$(metric 'amv_ttft_ms_count{class="normal"}')
awk -v p="$prompt" -v c="$cached" -v s="$ttft_sum" -v n="$ttft_count" '
	BEGIN {
		printf "hit rate: %.2f (%d of %d prompt tokens)\n", c / p, c, p
		printf "TTFT: %.0f ms on average of %d requests\n", s / n, n
	}'
echo "dispatch: status $first ($state), repeated through another router:" \
	"status $again, executed $executed time(s)"
[ "$executed" = 1 ]
