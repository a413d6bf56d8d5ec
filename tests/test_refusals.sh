#!/bin/bash
# Tests of servers that write a refusal once more on a kept connection, while they
# run a later request: what is told "not run" must not have run, and nothing that
# may run once runs twice.
# Usage: test_refusals.sh [NAME-PART]
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-24700}
. tests/site.sh
. tests/proxy_site.sh
. tests/checks.sh

SERVERS="1 2"
CLIENTS="1 2 3 4 5 6"
REQUESTS="1 2 3 4 5 6 7 8 9 10 11 12"

set_mode() { # MODE
	local n
	for n in $SERVERS; do
		platform "repeat?id=s$n&mode=$1"
	done
}

# Sends requests that may run once, each client one after the other; those of a
# client that is told to return are sent once more under their own ids.
load() { # PART CLIENT
	local n id
	for n in $REQUESTS; do
		id=$1-$2-$n
		printf '%s %s\n' $id "$(ID=$id status_of 1 /once/ok)" \
			>>"$DIR/$1.status" 2>/dev/null
	done
}

load_all() { # PART
	local n pids=""
	for n in $CLIENTS; do
		load $1 $n &
		pids="$pids $!"
	done
	wait $pids
}

# Prints the requests that were told "not run" and ran, and those that ran twice.
broken() { # PART
	runs | awk -v part=$1- 'index($2, part) == 1 { print $2 }' >"$DIR/ran"
	awk 'NR == FNR { n[$1]++; next }
		$2 ~ /^(503|429|408|421)$/ && n[$1] { print "refused", $1 }
		n[$1] > 1 { print "twice", $1, n[$1] }' "$DIR/ran" \
		"$DIR/$1.status"
}

holds() { # PART MODE
	set_mode $2
	load_all $1
	set_mode ""
	cut -d' ' -f2 "$DIR/$1.status" | sort | uniq -c
	wc -l <"$DIR/ran" 2>/dev/null
	broken $1 | tee "$DIR/broken"
	[ "$(wc -l <"$DIR/$1.status")" = 72 ] && [ ! -s "$DIR/broken" ]
}

t_refusal_is_repeated() {
	holds named named
}

t_refusal_without_id_is_repeated() {
	holds unnamed unnamed
}

t_refusal_without_id_after_a_response() {
	holds later later
	local rc=$?
	# Those that ran were answered, or are told that this is not known.
	grep -q ' 200$' "$DIR/later.status" && return $rc
}

# A server that turns requests away is not one that spoils its connections: the
# request runs at the other one.
t_refused_request_goes_elsewhere() {
	local n
	sleep $RETRY_WINDOW_S
	platform "shed?id=s1&ms=3000&text=Retry-After:0.01"
	for n in $REQUESTS; do
		[ "$(ID=else-$n status_of 1 /once/ok)" = 200 ] || return 1
	done
}

start platform $BIN/standin-platform $STORE \
	$(server_port 1):s1:app:4 $(server_port 2):s2:app:4
wait_until 5 config 10 || exit 1
start_dispatcher 1
start_proxy 1
wait_until 10 ready 1 || exit 1
sleep $RETRY_WINDOW_S

check "refusals: one is written again on its connection" t_refusal_is_repeated
check "refusals: one without an id is written again" \
	t_refusal_without_id_is_repeated
check "refusals: one without an id after another response" \
	t_refusal_without_id_after_a_response
check "refusals: a refused request goes elsewhere" \
	t_refused_request_goes_elsewhere
echo "$passed passed, $failed failed"
[ $failed = 0 ]
