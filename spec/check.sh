#!/usr/bin/env bash
# Checks the models with spin.
#   check.sh model      all assertions must hold in every configuration
#   check.sh mutations  removing any one guard must violate an assertion
set -euo pipefail
spec=$(cd "$(dirname "$0")" && pwd)
memory_mb=4000
work=$(mktemp -d)
trap 'rm -r "$work"' EXIT

if ! command -v spin >/dev/null; then
	apt-get update -q >/dev/null && apt-get install -qy spin >/dev/null
fi

# run FILE MACRO...: prints the number of errors and of stored states.
run() {
	local file=$1
	shift
	local dir
	dir=$(mktemp -d -p "$work")
	(
		cd "$dir"
		spin -a "${@/#/-D}" "$spec/$file" >spin.log || { cat spin.log >&2; exit 2; }
		cc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=$memory_mb -o pan pan.c
		./pan -m200000 -E >pan.log || true
		if ! grep -q 'errors:' pan.log || grep -qE 'max search depth too small|out of memory|memory limit' pan.log; then
			cat pan.log >&2
			exit 2
		fi
		errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
		states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
		echo "$errors $states"
	)
}

status=0
expect() {
	local want=$1
	shift
	local result errors states
	result=$(run "$@")
	read -r errors states <<<"$result"
	local verdict=ok
	if { [ "$want" = holds ] && [ "$errors" != 0 ]; } || { [ "$want" = violated ] && [ "$errors" = 0 ]; }; then
		verdict=WRONG
		status=1
	fi
	printf '%-5s %-13s %-32s %-9s %s states\n' "$verdict" "$1" "${*:2}" "$([ "$errors" = 0 ] && echo holds || echo violated)" "$states"
}

case ${1:-} in
model)
	expect holds versions.pml
	expect holds claims.pml CLEANUP
	expect holds claims.pml RELEASES
	;;
mutations)
	for guard in NO_CHANGE_ID BLIND_WRITE NO_FORWARD SPLIT_APPLY NO_VALIDATE NO_READY_GATE; do
		expect violated versions.pml "$guard"
	done
	for guard in NO_CLAIM LOST_IS_CONFLICT RETRY_UNKNOWN DELETE_FIRST FLOOR_FIRST FLOOR_ON_CREATE; do
		expect violated claims.pml CLEANUP "$guard"
	done
	expect violated claims.pml RELEASES FOREIGN_RELEASE
	;;
*)
	echo "usage: check.sh model|mutations" >&2
	exit 2
	;;
esac
exit $status
