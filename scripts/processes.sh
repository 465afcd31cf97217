#!/usr/bin/env bash
# End-to-end test with separate processes on loopback: a stand-in of the platform's
# service, and one node and one endpoint for each host of examples/laronda. Edits
# the lists, makes calls, kills a node, starts it again and stops one gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
work=$(mktemp -d)
declare -A pids=()

stop_all() {
	local pid
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -r "$bin" "$work"
}
trap stop_all EXIT

go build -o "$bin" ./cmd/...

# start NAME COMMAND...: starts a process and records its process ID under NAME.
start() {
	local name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.log" &
	pids[$name]=$!
}

fail() {
	echo "FAILED: $*" >&2
	tail -qn 2 "$work"/*.log >&2
	exit 1
}

# until_true SECONDS COMMAND...: repeats a command until it succeeds; fails the test
# after SECONDS.
until_true() {
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$end" ] || fail "no success in time: $*"
		sleep 0.1
	done
}

token=laronda-example-drivers
# call HOST PATH: makes a call through the node of a host and prints its HTTP status.
call() {
	curl -s -o "$work/answer" -w '%{http_code}' -m 5 -H "Authorization: Bearer $token" "http://127.0.0.1:$((17003 + 10 * $1))$2"
}
# expect HOST PATH STATUS: reports whether the call returns STATUS.
expect() { [ "$(call "$1" "$2")" = "$3" ]; }

cli() { "$bin/geraniumnotch" --address "127.0.0.1:$1" "${@:2}"; }

start standin "$bin/geraniumnotch-bench" standin --listen 127.0.0.1:17000
services=(route-app route-app route-app route-app route-app order-desk order-desk order-desk quality-log quality-log quality-log)
start_host() {
	local n=$1 base=$((17000 + 10 * $1)) name
	name=$(printf host-%02d "$n")
	start "$name" "$bin/geraniumnotchd" "examples/laronda/nodes/$name.ini"
	start "$name-w1" "$bin/geraniumnotch-bench" endpoint --id "$name-w1" --service "${services[$((n - 1))]}" \
		--announce "127.0.0.1:$((base + 5))" --entry "127.0.0.1:$((base + 3))"
}
for n in $(seq 1 11); do start_host "$n"; done
echo "23 processes started"

until_true 10 cli 17014 status
begin=$(date +%s%N)
cli 17014 apply --author demo --wait --plans examples/laronda/plans.ini --allowances examples/laronda/allowances.ini || fail "apply"
echo "first version accepted and in force everywhere after $((($(date +%s%N) - begin) / 1000000)) ms"
until_true 10 expect 11 /routes/1 200
echo "a call through host 11 is answered: $(cat "$work/answer")"

expect 3 /new/1 404 || fail "a route that does not exist yet is offered"
cli 17014 lists --plans "$work/plans.ini" --allowances "$work/allowances.ini" >/dev/null || fail "lists"
printf '\n[route driver/new]\nservice = route-app\npath-prefix = /new\nrank = urgent\ndeadline = 2s\n' >>"$work/allowances.ini"
cli 17014 apply --author demo --wait --plans "$work/plans.ini" --allowances "$work/allowances.ini" || fail "apply of the edit"
expect 3 /new/1 200 || fail "the edit does not change a call"
echo "the edited route is answered through host 3"

kill -KILL "${pids[host-01]}" "${pids[host-01-w1]}"
for n in $(seq 1 20); do expect 4 "/routes/$n" 200 || fail "a call failed after host 1 was killed"; done
echo "20 calls answered after host 1 was killed"
start_host 1
until_true 10 expect 1 /new/1 200
echo "host 1 was started again and answers by the latest version"

kill -TERM "${pids[host-05]}"
wait "${pids[host-05]}" || fail "graceful stop of host 5"
echo "host 5 stopped gracefully with status 0"
until_true 8 sh -c "\"$bin/geraniumnotch\" --address 127.0.0.1:17014 status | grep -q \"10 hosts\""
cli 17014 status
echo "passed"
