#!/usr/bin/env bash
# Demonstration: three routers before three engines and a dispatch service, all
# on loopback. Sends prompts that share nested prefixes and one dispatch, shows
# the answers as they stream, and prints hit rate, TTFT and the outcome.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
work=$(mktemp -d)
pids=()

stop_all() {
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	rm -rf "$work"
}
trap stop_all EXIT

# start NAME PROGRAM [ARGUMENT...]: runs a program and waits for its port.
start() {
	local name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.log" &
	pids+=($!)
	for _ in $(seq 200); do
		grep -q '^port=' "$work/$name.out" && return
		kill -0 "${pids[-1]}" 2>/dev/null || break
		sleep 0.05
	done
	echo "$name did not start:" >&2
	cat "$work/$name.log" >&2
	exit 1
}

port() {
	sed -n 's/^port=//p' "$work/$1.out"
}

url() {
	echo "http://127.0.0.1:$(port "$1")"
}

# metric NAME: sum of one metric over the routers.
metric() {
	for router in r1 r2 r3; do
		curl -s "$(url "$router")/metrics"
	done | awk -v name="$1" '$1 == name { sum += $2 } END { print sum + 0 }'
}

engine_args=(--model m1 --weights-version v1 --block-tokens 200
	--prefill-tokens-per-s 4000)
start store "$build/t/standin-store"
if [ -x "$build/t/standin-kv" ]; then
	start kv "$build/t/standin-kv"
	engine_args+=(--kv-url "$(url kv)")
fi
for engine in e1 e2 e3; do
	start "$engine" "$build/t/standin-engine" "${engine_args[@]}"
done
start crews "$build/t/standin-plain"

customer_key=demo-customer-key
digest=$(printf %s "$customer_key" | sha256sum | cut -d' ' -f1)
endpoint() {
	printf '"endpoint/%s":{"kind":"%s","pool":"%s","domain":"d1",' \
		"$1" "$2" "$3"
	printf '"address":"127.0.0.1","port":%s},\n' "$(port "$1")"
}
{
	echo '{'
	for engine in e1 e2 e3; do
		endpoint "$engine" engine inspection
	done
	endpoint crews plain dispatch
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
	start "$router" "$build/amaranthvale-router" --port 0 --instance \
		"$router" --bootstrap "$work/bootstrap.json" \
		--store-url "$(url store)"
done

# text WORD COUNT: a paragraph of COUNT lines.
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
