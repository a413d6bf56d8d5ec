#!/bin/bash
# Tests of hedged requests: a second run of a request whose first byte is late.
# Usage: test_hedge.sh [NAME-PART]
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-25400}
. tests/site.sh
. tests/proxy_site.sh
. tests/checks.sh

PROXIES="1 2"
MAX_EXTRA=8
HEDGED=$'[hedging]\n\tmax_share = 0\n\tmax_extra = '$MAX_EXTRA
# Far more than a request takes otherwise, and less than the time after which the
# dispatcher moves it to another server, which is 450 ms.
LATE_MS=300
WINDOW_MS=$((RETRY_WINDOW_S * 1000))

# Ends of the runs of a request. Its servers are different ones, or the number of
# lines would be 1.
ends_of() { # ID
	curl -sf "http://127.0.0.1:$STORE/test/ends" |
		awk -v id=$1 '$4 == id { print $3, $NF }' | sort -u |
		cut -d' ' -f2 | sort | tr '\n' ' '
}

has_ends() { # ID ENDS
	[ "$(ends_of $1)" = "$2 " ]
}

servers_of() { # ID: number of servers that ran it, and number of runs
	runs | awk -v id=$1 '$2 == id { n++; if (!s[$1]++) m++ }
		END { print m + 0, n + 0 }'
}

# Treats the first run of each request in a way, and further ones in another.
late() { # FIRST-MS [FIRST [THEN-MS [THEN]]]
	platform "late?first_ms=$1&first=$2&then_ms=$3&then=$4"
}

# Answers requests of a route, from which the percentile is known for the next 5 s.
warm_up() { # PROXY ROUTE [COUNT]
	ID=warm call $1 "/$2/[1-${3:-100}]/${4:-ok}" -o "$DIR/warm.#1" \
		2>/dev/null
	rm -f "$DIR"/warm.*
}

# Sends a request and returns whether it got a whole response.
sent_well() { # ID PATH
	[ "$(ID=$1 call 1 "$2" -o "$DIR/body.$1" -w '%{http_code}')" = 200 ] &&
		[ "$(cat "$DIR/body.$1")" = hello ]
}

t_off_by_default() {
	warm_up 1 again
	late $LATE_MS
	sent_well off /again/ok && [ "$(servers_of off)" = "1 1" ] &&
		[ $(metric 1 hedged) = 0 ]
}

reloaded() { # COUNT
	[ "$(cat "$DIR"/proxy?.log "$DIR"/dispatcher?.log |
		grep -c event=reloaded)" -ge $1 ]
}

# Also shows that the section is reloaded as the others are.
turn_on() {
	local i n
	HEDGING=$HEDGED
	n=$(cat "$DIR"/proxy?.log "$DIR"/dispatcher?.log |
		grep -c event=reloaded)
	for i in $PROXIES; do
		write_settings proxy $i "callers = \"127.0.0.1:$(proxy_port $i)\"
	status = \"127.0.0.1:$(($(proxy_port $i) + 1))\""
		kill -HUP $(pid_of proxy$i)
	done
	for i in 1 2; do
		write_settings dispatcher $i "links = \"127.0.0.1:$(dispatcher_port $i)\"
	status = \"127.0.0.1:$(($(dispatcher_port $i) + 1))\""
		kill -HUP $(pid_of dispatcher$i)
	done
	wait_until 5 reloaded $((n + 4))
}

# The other server answers, and the run at the slow one is cancelled.
t_slow_server() {
	warm_up 1 again
	late $LATE_MS
	sent_well slow /again/ok || return 1
	wait_until 2 has_ends slow "gone whole" || return 1
	[ "$(servers_of slow)" = "2 2" ] &&
		[ $(metric 1 hedged) -ge 1 ] && [ $(metric 1 hedges_won) -ge 1 ] &&
		wait_until 2 grep -q 'event=hedged id=slow ' \
			"$DIR/proxy1.log" &&
		wait_until 2 grep -q 'event=hedge_used id=slow ' \
			"$DIR/proxy1.log" &&
		wait_until 2 grep -q 'event=hedge entry=proxy-1 ' \
			"$DIR/dispatcher1.log" "$DIR/dispatcher2.log"
}

# The client's stream is one server's from the first event to the last.
t_slow_stream() {
	local e
	warm_up 1 resume 100 stream
	late $LATE_MS
	ID=stream call 1 /resume/stream >"$DIR/body.stream" || return 1
	for e in 1 2 3 4 5 6; do
		printf 'id: %d\ndata: e%d\n\n' $e $e
	done | cmp - "$DIR/body.stream" || return 1
	wait_until 2 has_ends stream "gone whole"
}

t_may_run_once() {
	warm_up 1 once
	late $LATE_MS
	sent_well once /once/ok && [ "$(servers_of once)" = "1 1" ] || return 1
	warm_up 1 gen 100 stream
	ID=once-2 call 1 /gen/stream >/dev/null
	[ "$(servers_of once-2)" = "1 1" ]
}

# The second server closes the connection: the first one's response counts.
t_second_run_is_lost() {
	warm_up 1 again
	late $LATE_MS "" 0 drop
	sent_well lost /again/ok && [ "$(servers_of lost)" = "2 2" ] &&
		wait_until 2 has_ends lost "gone whole"
}

t_second_run_fails() {
	warm_up 1 again
	late $LATE_MS "" 0 fail
	sent_well fails /again/ok && [ "$(servers_of fails)" = "2 2" ] &&
		wait_until 2 has_ends fails "whole whole"
}

# The first server fails while the second one runs the request.
t_first_run_fails() {
	warm_up 1 again
	late $LATE_MS fail 600
	sent_well first /again/ok && [ "$(servers_of first)" = "2 2" ]
}

t_first_run_is_lost() {
	warm_up 1 again
	late $LATE_MS drop 600
	sent_well cut /again/ok && [ "$(servers_of cut)" = "2 2" ]
}

# Both fail: the route's number of attempts is used up.
t_both_runs_fail() {
	warm_up 1 again
	late $LATE_MS fail 600 fail
	[ "$(ID=both status_of 1 /again/ok)" = 502 ] ||
		[ "$(cat "$DIR/body")" = wrong ] || return 1
	[ "$(servers_of both)" = "2 2" ]
}

t_client_leaves() {
	warm_up 1 again
	late 3000 "" 3000
	ID=leaves call 1 /again/ok --max-time 0.4
	[ "$(servers_of leaves)" = "2 2" ] &&
		wait_until 2 has_ends leaves "gone gone"
}

# Sends requests with a common prefix at once, for a time.
load_slow() { # PREFIX COUNT PROXY...
	local prefix=$1 n=$2 i p pids=""
	shift 2
	for p in "$@"; do
		for i in $(seq $n); do
			ID=$prefix-$p-$i-$RANDOM call $p /again/ok -o /dev/null \
				-w "%{http_code}\n" >>"$DIR/$prefix.status" &
			pids="$pids $!"
			sleep 0.02
		done
	done
	wait $pids
}

# Second runs of requests, in any window of the limit; retries have none here.
most_hedged() { # PREFIX
	curl -sf "http://127.0.0.1:$STORE/test/arrivals" |
		awk -v prefix=$1 -v window=$WINDOW_MS '
		{ split($3, id, "-") }
		id[1] != prefix { next }
		seen[$3]++ { at[++n] = $1 }
		END { first = 1
			for (i = 1; i <= n; i++) {
			while (at[first] <= at[i] - window) first++
			if (i - first + 1 > most) most = i - first + 1
		}
		print most + 0 }'
}

# Many requests are late: only as many as the limit allows run twice.
t_limit() {
	local n
	warm_up 1 again 1500
	late $LATE_MS
	load_slow limit 60 1
	n=$(most_hedged limit)
	echo "$n of $MAX_EXTRA"
	[ $n -ge 1 ] && [ $n -le $MAX_EXTRA ] &&
		! grep -qv '^200$' "$DIR/limit.status"
}

# The same over all entries, with no dispatcher and no store.
t_limit_without_dispatcher() {
	local n i p
	platform "down?ms=30000"
	for i in 1 2; do
		kill_hard dispatcher$i
	done
	sleep $((2 + RETRY_WINDOW_S))
	for i in 1 2 3; do
		for p in $PROXIES; do
			warm_up $p again 1000
		done
		late $LATE_MS
		load_slow alone 30 $PROXIES
		late 0
	done
	n=$(most_hedged alone)
	echo "$n of $MAX_EXTRA, $(metric 1 hedged) and $(metric 2 hedged)"
	[ $n -ge 1 ] && [ $n -le $MAX_EXTRA ] &&
		! grep -qv '^200$' "$DIR/alone.status"
}

start platform $BIN/standin-platform $STORE \
	$(server_port 1):s1:app:40 $(server_port 2):s2:app:40 \
	$(server_port 3):s3:app:40
wait_until 5 config 10 || exit 1
start_dispatcher 1
start_dispatcher 2
for i in $PROXIES; do
	start_proxy $i
done
for i in $PROXIES; do
	wait_until 10 ready $i || exit 1
done

each() { # NAME FUNCTION: with servers that respond at once, and the limit unused
	late 0
	sleep $((RETRY_WINDOW_S + 1))
	check "hedge: $1" $2
}

each "off by default" t_off_by_default
turn_on || exit 1
each "a slow server" t_slow_server
each "a slow server of a stream" t_slow_stream
each "a request that may run once" t_may_run_once
each "the second run is lost" t_second_run_is_lost
each "the second run fails" t_second_run_fails
each "the first run fails" t_first_run_fails
each "the first run is lost" t_first_run_is_lost
each "both runs fail" t_both_runs_fail
each "the client leaves" t_client_leaves
each "the limit holds" t_limit
each "the limit holds without a dispatcher" t_limit_without_dispatcher
echo "$passed passed, $failed failed"
[ $failed = 0 ]
