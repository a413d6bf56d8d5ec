#!/bin/bash
# Tests of an account's quota while all processes restart and the store turns the
# dispatchers away.
# Usage: test_quotas.sh [NAME-PART]
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-29600}
. tests/site.sh
. tests/proxy_site.sh
. tests/checks.sh

PROXIES="1 2"
DISPATCHERS="1 2"
# Of the account of key-2: (2 / s x 8 s + 4) x 1.1 + 4.
QUOTA_MAX_RUNS=26
QUOTA_SLACK=4
QUOTA_WINDOW_MS=8000

now_ms() { # the stand-ins' clock
	awk '{ printf "%d", $1 * 1000 }' /proc/uptime
}

# Requests of the account through a proxy until $DIR/stop exists.
load() { # PROXY
	local n=0
	set +x
	while [ -d "$DIR" ] && [ ! -e "$DIR/stop" ]; do
		ID=quota-$1-$BASHPID-$((n++)) KEY=key-2 call $1 /again/ok \
			-o "$DIR/body$1" >/dev/null 2>&1
		sleep 0.05
	done
}

# The most requests that reached servers in a window of the quota.
most_in_a_window() {
	curl -sf "http://127.0.0.1:$STORE/test/arrivals" |
		awk -v ms=$QUOTA_WINDOW_MS '$3 ~ /^quota-/ && $4 == "run" {
			at[++n] = $1
			while (at[n] - at[first + 1] >= ms)
				first++
			if (n - first > most)
				most = n - first
		}
		END { print most + 0, "of", n + 0 }'
}

start_all() {
	local i
	for i in $DISPATCHERS; do
		start_dispatcher $i
	done
	for i in $PROXIES; do
		start_proxy $i
	done
}

kill_all() {
	local i
	for i in $PROXIES; do
		kill_hard proxy$i
	done
	for i in $DISPATCHERS; do
		kill_hard dispatcher$i
	done
}

refuse_dispatchers() { # [HOW]
	local i
	for i in $DISPATCHERS; do
		store_refuses dispatcher-$i $1
	done
}

# Guards against dispatchers that never count what accounts had used before all
# processes were killed, as the store refuses their first calls.
t_killed_while_the_store_refuses() {
	local i most
	for i in $PROXIES; do
		load $i &
	done
	sleep 2.5
	refuse_dispatchers reset
	kill_all
	start_all
	sleep ${REFUSED_S:-2.5}
	refuse_dispatchers
	sleep 6
	touch "$DIR/stop"
	sleep 0.3
	most=$(most_in_a_window)
	echo "$most"
	[ ${most% of *} -ge 20 ] && [ ${most% of *} -le $QUOTA_MAX_RUNS ]
}

servers=
for i in 1 2; do
	servers="$servers $(server_port $i):s$i:app:8"
	echo $((BASE + 20 + i)) >"$DIR/dispatcher-$i.store"
	servers="$servers $((BASE + 20 + i)):x$i:store:1"
done
start platform $BIN/standin-platform $STORE $servers
wait_until 5 config 10 || exit 1
start_all
for i in $PROXIES; do
	wait_until 5 ready $i || exit 1
done
# Until then a dispatcher grants itself a part of each quota.
sleep 3

check "quotas: all processes are killed while the store refuses dispatchers" \
	t_killed_while_the_store_refuses
echo "$passed passed, $failed failed"
[ $failed = 0 ]
