#!/bin/bash
# Tests of a store that turns some processes away and serves the others: what one
# process can't see must not count for all.
# Usage: test_partition.sh [NAME-PART]
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-27000}
. tests/site.sh
. tests/proxy_site.sh
. tests/checks.sh

# Live servers register again within this time after the store is back.
REGISTRATION_MS=2000

# Each process reaches the store through a port of its own.
own_store_port() { # NAME PORT-OFFSET
	echo $((BASE + 20 + $2)) >"$DIR/$1.store"
}

version_of() { # N
	sed -n 's/.*event=config version=\([0-9]*\) .*/\1/p' \
		"$DIR/proxy$1.log" | tail -n 1
}

dispatcher_in_use() { # N
	sed -n 's/.*event=dispatcher from=[^ ]* to=\([^ ]*\).*/\1/p' \
		"$DIR/proxy$1.log" | tail -n 1
}

# Requests that keep the dispatcher in use, until $DIR/stop exists.
load() { # N
	while [ -d "$DIR" ] && [ ! -e "$DIR/stop" ]; do
		ID=load-$RANDOM$RANDOM call $1 /again/ok >/dev/null 2>&1
		sleep 0.05
	done
}

start_load() {
	local i
	rm -f "$DIR/stop"
	for i in "$@"; do
		load $i &
	done
	sleep 1
}

stop_load() {
	touch "$DIR/stop"
	sleep 0.3
}

# Requests that reached a server.
reached() { # SERVER
	curl -sf "http://127.0.0.1:$STORE/test/arrivals" |
		awk -v s=$1 '$2 == s && $4 == "run"' | wc -l
}

# Prints how many requests reach a server later than 2 s after it left, as it leaves
# while the dispatcher in use can't read the store for 0.9 s.
late_requests() { # SERVER
	local used before
	used=$(dispatcher_in_use 1)
	store_refuses $used reset
	sleep 0.3
	platform "server?id=$1&state=gone"
	sleep 0.6
	store_refuses $used
	sleep 1.4
	before=$(reached $1)
	sleep 2
	echo $(($(reached $1) - before))
	platform "server?id=$1&state=ready"
	sleep 1
}

# The dispatcher in use misses a read of the store, just as a server leaves that
# another dispatcher sees leave. Guards against requests that reach it later than it
# may serve.
t_removal_while_cut_off() {
	local n=0
	start_load 1 1 1 2 2 2 3 3
	for server in s3 s2 s3; do
		n=$((n + $(late_requests $server)))
	done
	stop_load
	echo "late: $n"
	[ $n = 0 ]
}

now_ms() {
	date +%s%3N
}

# The registrations of all servers lapse while the store is away: no caller is refused
# until live servers have had the time to register again.
t_lapse_in_an_outage() {
	local i n=0 rc=0 status back_ms=$(($(now_ms) + 1500))
	platform 'down?ms=1500'
	sleep 1.55
	for i in 1 2 3; do
		platform "server?id=s$i&state=gone"
	done
	while [ $(now_ms) -lt $((back_ms + REGISTRATION_MS)) ]; do
		status=$(status_of 1 /again/ok)
		[ $status = 200 ] ||
			[ $(now_ms) -ge $((back_ms + REGISTRATION_MS)) ] || rc=1
		n=$((n + 1))
		sleep 0.1
	done
	echo "$n requests"
	for i in 1 2 3; do
		platform "server?id=s$i&state=ready"
	done
	sleep 2.6
	[ $rc = 0 ] && [ $n -ge 3 ] && [ "$(status_of 1 /again/ok)" = 200 ]
}

within() { # MS COMMAND...
	local end=$(($(now_ms) + $1))
	shift
	until "$@"; do
		[ $(now_ms) -lt $end ] || return 1
		sleep 0.02
	done
}

all_have() { # VERSION
	[ "$(version_of 1) $(version_of 2) $(version_of 3)" = "$1 $1 $1" ]
}

# Names of the dispatchers that proxy 1 is linked to.
linked() {
	awk '/event=link_up/ { up[$NF] = 1 } /event=link_lost/ {
		for (i = 1; i <= NF; i++) if ($i ~ /^peer=/) delete up[$i] }
		END { for (p in up) { sub(/peer=/, "", p); print p } }' \
		"$DIR/proxy1.log"
}

# The version is in force at all proxies within the time that a change may take,
# and the next one, a second later, too.
versions_come() { # FIRST
	config $1 && within 2000 all_have $1 && sleep 1 &&
		config $(($1 + 1)) && within 2000 all_have $(($1 + 1))
}

# The store turns both dispatchers away that the proxies are linked to. Guards
# against proxies that stay with them while others reach the store, and that pause
# between two reads of their own for longer than a change may take.
t_linked_dispatchers_are_turned_away() {
	local i rc=0 names
	start_load 1 2 3
	names=$(linked)
	[ "$(echo "$names" | wc -l)" = 2 ] || return 1
	for i in $names; do
		store_refuses $i reset
	done
	sleep 3
	for i in 1 2 3; do
		[[ "$names" != *"$(dispatcher_in_use $i)"* ]] || rc=1
	done
	[ $rc = 0 ] && versions_come 20
	rc=$?
	for i in $names; do
		store_refuses $i
	done
	sleep 2.5
	stop_load
	[ $rc = 0 ] && [[ "$names" == *"$(dispatcher_in_use 1)"* ]]
}

# As well as two of the three proxies.
t_proxies_are_turned_away_too() {
	local i rc names="$(linked) proxy-1 proxy-2"
	start_load 1 2 3
	for i in $names; do
		store_refuses $i 503
	done
	sleep 3
	versions_come 30
	rc=$?
	for i in $names; do
		store_refuses $i
	done
	sleep 2.5
	stop_load
	return $rc
}

# All dispatchers are turned away: the proxies read the store themselves.
t_all_dispatchers_are_turned_away() {
	local i rc
	start_load 1 2 3
	for i in 1 2 3; do
		store_refuses dispatcher-$i reset
	done
	sleep 3
	versions_come 40
	rc=$?
	for i in 1 2 3; do
		store_refuses dispatcher-$i
	done
	sleep 2.5
	stop_load
	return $rc
}

servers=
for i in 1 2 3; do
	servers="$servers $(server_port $i):s$i:app:8"
	own_store_port dispatcher-$i $i
	servers="$servers $((BASE + 20 + i)):x$i:store:1"
	own_store_port proxy-$i $((10 + i))
	servers="$servers $((BASE + 30 + i)):y$i:store:1"
done
start platform $BIN/standin-platform $STORE $servers
wait_until 5 config 10 || exit 1
for i in 1 2 3; do
	start_dispatcher $i
done
for i in 1 2 3; do
	start_proxy $i
done
for i in 1 2 3; do
	wait_until 5 ready $i || exit 1
done

check "partition: a server leaves while the dispatcher is cut off" \
	t_removal_while_cut_off
check "partition: registrations lapse in an outage" t_lapse_in_an_outage
check "partition: the linked dispatchers are turned away" \
	t_linked_dispatchers_are_turned_away
check "partition: proxies are turned away too" t_proxies_are_turned_away_too
check "partition: all dispatchers are turned away" \
	t_all_dispatchers_are_turned_away
echo "$passed passed, $failed failed"
[ $failed = 0 ]
