#!/bin/bash
# Tests of servers that leave, or seem to, while dispatchers do not reach the store
# and all servers are full.
# Usage: test_removals.sh [NAME-PART]
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-29200}
. tests/site.sh
. tests/proxy_site.sh
. tests/checks.sh

DISPATCHERS="1 2 3 4"
DRAIN_MS=2000

uptime_ms() { # CLOCK_BOOTTIME, as in /test/arrivals
	awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime
}

# Each process reaches the store through a port of its own.
own_store_port() { # NAME PORT-OFFSET
	echo $((BASE + 20 + $2)) >"$DIR/$1.store"
}

# Dispatchers that proxy 1 is linked to.
linked() {
	sed -n 's/.*event=link_\(up\|lost\) peer=\([^ ]*\).*/\1 \2/p' \
		"$DIR/proxy1.log" | awk '{ state[$2] = $1 }
		END { for (d in state) if (state[d] == "up") print d }'
}

# One request after the other until $DIR/stop exists; more at a time than the servers
# have slots.
load() { # N JOB
	local i=0
	set +x
	while [ -d "$DIR" ] && [ ! -e "$DIR/stop" ]; do
		ID=l-$1-$2-$((i++)) call $1 /again/ok -o "$DIR/body-$1-$2" \
			-w "%{http_code}\n" >>"$DIR/load-$1-$2" 2>/dev/null
	done
}

start_load() { # JOBS-OF-EACH-PROXY
	local i job
	rm -f "$DIR/stop" "$DIR"/load-*
	for i in 1 2 3; do
		for job in $(seq $1); do
			load $i $job &
		done
	done
	sleep 1.5
}

stop_load() {
	touch "$DIR/stop"
	sleep 1
}

late_arrivals() { # SERVER MS
	curl -sf "http://127.0.0.1:$STORE/test/arrivals" |
		awk -v s=$1 -v from=$2 '$2 == s && $4 == "run" && $1 > from'
}

# A server's registration ends SECONDS after dispatchers were cut off, which reach
# the store again SECONDS after that.
leaves_in_a_cut() { # SERVER SECONDS SECONDS [DISPATCHER...], by default the linked ones
	local server=$1 before=$2 after=$3 gone_ms d late
	shift 3
	[ $# != 0 ] || set -- $(linked)
	[ $# -ge 2 ] || return 1
	for d in "$@"; do
		store_refuses $d ${HOW:-silent}
	done
	sleep $before
	platform "server?id=$server&state=gone"
	gone_ms=$(uptime_ms)
	sleep $after
	for d in "$@"; do
		store_refuses $d
	done
	sleep 4.2
	late=$(late_arrivals $server $((gone_ms + DRAIN_MS)))
	platform "server?id=$server&state=ready"
	[ -z "$late" ] || echo "late at $server:" $late
	sleep 1.5
	[ -z "$late" ]
}

# Runs a check for two servers in turn. Guards against the first cut alone being
# handled, as entries then have read the store themselves.
twice() { # COMMAND...
	local rc=0 server
	start_load 6
	for server in s2 s3; do
		"$1" $server "${@:2}" || rc=1
	done
	stop_load
	return $rc
}

# All dispatchers that an entry is linked to miss reads of the store, and are back
# before anybody else has read it. Guards against a removal that they put off as if
# the store had been away.
t_short_cut() {
	local HOW=reset
	twice leaves_in_a_cut .4 .8
}

# The server leaves as the cut begins.
t_at_the_begin() {
	twice leaves_in_a_cut 0 1.2
}

# The cut lasts longer than a server that left may be used. Guards against entries
# that go by what the dispatchers last knew.
t_long_cut() {
	twice leaves_in_a_cut .4 6
}

# No other dispatcher reaches the store either.
t_all_dispatchers_are_cut_off() {
	local d all="" HOW=reset
	for d in $DISPATCHERS; do
		all="$all dispatcher-$d"
	done
	twice leaves_in_a_cut .4 3 $all
}

# Registrations of all servers lapse while the store is away, and some servers never
# come back. Guards against an outage taken for a cut, and against a server that is
# taken for living longer than live ones need to register again.
t_lapse() {
	local i back_ms late rc=0
	start_load 1
	platform 'down?ms=2600'
	sleep 2.65
	for i in 1 2 3 4; do
		platform "server?id=s$i&state=gone"
	done
	back_ms=$(uptime_ms)
	sleep 1.5
	for i in 1 2 3; do
		platform "server?id=s$i&state=ready"
	done
	sleep 3.5
	stop_load
	late=$(late_arrivals s4 $((back_ms + 3600)))
	platform "server?id=s4&state=ready"
	sleep 1
	[ -z "$late" ] || rc=1
	echo "late at s4:" $late
	sort "$DIR"/load-* | uniq -c
	[ -z "$(grep -hv 200 "$DIR"/load-*)" ] && [ $rc = 0 ]
}

servers=
for i in 1 2 3 4; do
	servers="$servers $(server_port $i):s$i:app:2"
	own_store_port dispatcher-$i $i
	servers="$servers $((BASE + 20 + i)):x$i:store:1"
done
start platform $BIN/standin-platform $STORE $servers
wait_until 5 platform 'late?first_ms=250&then_ms=250' || exit 1
wait_until 5 config 10 || exit 1
for i in $DISPATCHERS; do
	start_dispatcher $i
done
for i in 1 2 3; do
	start_proxy $i
done
for i in 1 2 3; do
	wait_until 5 ready $i || exit 1
done

check "removals: a server leaves in a short cut of the linked dispatchers" \
	t_short_cut
check "removals: a server leaves as the linked dispatchers are cut off" \
	t_at_the_begin
check "removals: a server leaves in a long cut of the linked dispatchers" \
	t_long_cut
check "removals: a server leaves while all dispatchers are cut off" \
	t_all_dispatchers_are_cut_off
check "removals: registrations lapse while the store is away" t_lapse
echo "$passed passed, $failed failed"
[ $failed = 0 ]
