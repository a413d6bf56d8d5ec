#!/bin/bash
# Test of requests that crash all servers of a service at once: four proxies
# send them at the same moment, and the servers return under new identifiers.
# Usage: test_crashing.sh [NAME-PART]
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-23000}
. tests/site.sh
. tests/proxy_site.sh
. tests/checks.sh

SERVERS="1 2 3 4"
PROXIES="1 2 3 4"
SECONDS_OF_LOAD=14
# The users' stable_window_ms, and the runs that they allow later than that after
# the third crash.
SETTLED_MS=3000
MAX_LATE_RUNS=3
# Time after a crash until its successor is in use.
DOWN_MS=4500

# Sends the same request through a proxy every 250 ms, at the same moments as
# the others.
send_bad() { # PROXY
	local i ms
	for i in $(seq $((SECONDS_OF_LOAD * 4))); do
		ID=bad-$1-$i call $1 /fragile/crashsoon -o "$DIR/bad$1" \
			-w '%{http_code}'
		echo " $(grep -o crashes_servers "$DIR/bad$1" | head -n 1)"
		ms=$((10#$(date +%s%3N) % 250))
		sleep 0.$(printf %03d $((250 - ms)))
	done >"$DIR/bad$1.status" 2>/dev/null
}

# Sends proper requests through a proxy, of which one in two may run once.
send_proper() { # PROXY
	local i path
	for i in $(seq $((SECONDS_OF_LOAD * 10))); do
		path=/fragile/$((i / 4))/ok
		[ $((i % 2)) = 0 ] || path=/fragile-once/$i/ok
		ID=proper-$1-$i call $1 $path -o "$DIR/proper$1" \
			-w "%{http_code} $path "
		# The stand-ins' clock.
		echo "$(awk '{ printf "%d", $1 * 1000 }' /proc/uptime)" \
			"$(tr -d '\n' <"$DIR/proper$1")"
		sleep 0.08
	done >"$DIR/proper$1.status" 2>/dev/null
}

crash_all_servers() {
	local i pids=""
	# Until then, a dispatcher allows few retries.
	sleep $RETRY_WINDOW_S
	for i in $SERVERS; do
		keep_replacing $i 2.2 &
	done
	for i in $PROXIES; do
		send_bad $i &
		pids="$pids $!"
		send_proper $i &
		pids="$pids $!"
	done
	for i in 1 2 3; do
		sleep 3
		config $((10 + i)) "s/\"timeout_ms\":3000/\"timeout_ms\":$((3000 - i))/"
	done
	wait $pids
	touch "$DIR/stop"
	wait
}

t_all_servers_at_once() {
	crash_all_servers
	cat "$DIR"/fragile?.log | sed -n 's/^crashed .*id=bad.* at_ms=//p' |
		sort -n >"$DIR/crashed"
	cat "$DIR/crashed"
	cat "$DIR"/bad?.status | sort | uniq -c
	[ $(awk -v after=$SETTLED_MS 'NR == 3 { third = $1 }
		NR > 3 && $1 > third + after { n++ } END { print n + 0 }' \
		"$DIR/crashed") -le $MAX_LATE_RUNS ] &&
		[ "$(tail -qn 8 "$DIR"/bad?.status | sort -u)" = \
			"503 crashes_servers" ]
}

# They may be refused only while all servers are down, and fail only if they may
# run once and their server ended.
t_proper_requests_beside() {
	local from to
	cut -d' ' -f1 "$DIR"/proper?.status | sort | uniq -c
	! grep -h crashes_servers "$DIR"/proper?.status || return 1
	! grep -h 'event=cut .*why=crashes_servers' "$DIR"/proxy?.log ||
		return 1
	from=$(head -n 1 "$DIR/crashed")
	to=$(($(tail -n 1 "$DIR/crashed") + DOWN_MS))
	cat "$DIR"/proper?.status | awk -v from=$from -v to=$to '
		$1 == 200 { ok++; next }
		$1 == 503 && /not_run/ && $3 >= from && $3 <= to { next }
		$1 == 502 && $2 ~ /-once/ && $3 >= from && $3 <= to { next }
		{ print; bad = 1 }
		END { exit bad || ok < NR / 2 }'
}

start platform $BIN/standin-platform $STORE \
	0:c1:fragile:4:$(server_port 6) 0:c2:fragile:4:$(server_port 7) \
	0:c3:fragile:4:$(server_port 8) 0:c4:fragile:4:$(server_port 9)
for i in $SERVERS; do
	start_fragile $i
	echo c$i >"$DIR/server$i"
done
wait_until 5 config 10 || exit 1
start_dispatcher 1
start_dispatcher 2
for i in $PROXIES; do
	start_proxy $i
done
for i in $PROXIES; do
	wait_until 10 ready $i || exit 1
done

check "crashing: four proxies and four servers at once" t_all_servers_at_once
check "crashing: proper requests beside it" t_proper_requests_beside
echo "$passed passed, $failed failed"
[ $failed = 0 ]
