# Functions for scripts that start programs on loopback. Source this file; the
# programs are stopped by process id when the script exits.

work=$(mktemp -d)
declare -A pid_of=()

stop_all() {
	local pid
	for pid in "${pid_of[@]}"; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in "${pid_of[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	rm -rf "$work"
}
trap stop_all EXIT

# start NAME PROGRAM [ARGUMENT...]: starts a program in the background.
start() {
	local name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.log" &
	pid_of[$name]=$!
}

# await NAME: waits until a program has printed its port.
await() {
	local try
	for try in $(seq 400); do
		grep -q '^port=' "$work/$1.out" && return
		kill -0 "${pid_of[$1]}" 2>/dev/null || break
		sleep 0.05
	done
	echo "$1 did not start after $try tries:" >&2
	cat "$work/$1.log" >&2
	exit 1
}

# port NAME: prints the port of a program.
port() {
	sed -n 's/^port=//p' "$work/$1.out"
}

# url NAME: prints the base URL of a program.
url() {
	echo "http://127.0.0.1:$(port "$1")"
}

# key_digest KEY: prints the digest of an API key for a customer object.
key_digest() {
	printf %s "$1" | sha256sum | cut -d' ' -f1
}

# endpoint ID PROGRAM KIND POOL DOMAIN: prints an endpoint object, as a member
# of a JSON configuration.
endpoint() {
	printf '"endpoint/%s":{"kind":"%s","pool":"%s","domain":"%s",' \
		"$1" "$3" "$4" "$5"
	printf '"address":"127.0.0.1","port":%s},\n' "$(port "$2")"
}

# cpu_ticks NAME: prints the CPU time of a program, in clock ticks.
cpu_ticks() {
	awk '{ print $14 + $15 }' "/proc/${pid_of[$1]}/stat"
}

# resident_kib NAME: prints the resident memory of a program, in KiB.
resident_kib() {
	awk '/^VmRSS/ { print $2 }' "/proc/${pid_of[$1]}/status"
}
