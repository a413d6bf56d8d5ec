#!/bin/bash
# Tests of the real proxies and dispatchers beside a store that comes back from an
# older copy.
# Usage: test_drill.sh [NAME-PART]
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-24500}
. tests/site.sh
. tests/proxy_site.sh
. tests/checks.sh

served_by() { # N VERSION: the proxy has this version in force
	[ "$(sed -n 's/.*event=config version=\([0-9]*\) .*/\1/p' \
		"$DIR/proxy$1.log" | tail -n 1)" = $2 ]
}

# The store loses two versions. The operator writes the newest one again, and at once
# the next one: the topic is as long as before, with other records. Guards against a
# version that is never read.
drill() { # MS NEWEST-LOST NEXT
	platform copy && config $(($2 - 1)) && config $2 &&
		wait_until 3 served_by 1 $2 && wait_until 3 served_by 2 $2 ||
		return 1
	# Dispatchers have read them as well.
	sleep 1.2
	platform "drill?ms=$1"
	sleep $(($1 / 1000)).$(printf %03d $(($1 % 1000 + 10)))
	config $2 && config $3
}

all_have() { # VERSION: within the time that a change may take
	local i
	for i in 1 2; do
		wait_until 3 served_by $i $1 || return 1
	done
}

t_version_after_a_drill() {
	drill 700 20 21 && all_have 21
}

# The era rises between two answers.
t_no_absence() {
	drill 0 30 31 && all_have 31
}

t_two_drills_in_a_row() {
	drill 300 40 41 && all_have 41 && drill 200 43 44 && all_have 44
}

# The operator writes a version again that is older than the one in force.
t_configuration_does_not_go_back() {
	config 50 && platform copy && config 51 && all_have 51 || return 1
	platform 'drill?ms=0'
	config 50
	sleep 2
	served_by 1 51 && served_by 2 51 || return 1
	config 52 && all_have 52
}

listed() { # TOPIC KEY
	curl -sf "http://127.0.0.1:$STORE/log-newest?topic=$1&part=0" |
		grep -q "\"key\":\"$2\""
}

# What processes wrote since the copy is written again, once.
t_announcements_are_written_again() {
	platform copy || return 1
	start_dispatcher 3
	start_proxy 3
	wait_until 3 listed keyed.dispatchers dispatcher-3 &&
		wait_until 3 listed keyed.entries proxy-3 || return 1
	# Both have read the store's answer by now: one that comes after the drill is
	# reason enough to write again.
	sleep 0.5
	platform 'drill?ms=0'
	! listed keyed.dispatchers dispatcher-3 &&
		wait_until 3 listed keyed.dispatchers dispatcher-3 &&
		wait_until 3 listed keyed.entries proxy-3 || return 1
	kill_hard proxy3
	kill_hard dispatcher3
}

# A dispatcher that starts while the store is away has not seen the older era.
t_dispatcher_that_starts_in_a_drill() {
	platform copy && config 60 && all_have 60 || return 1
	platform 'drill?ms=800'
	kill_hard dispatcher1
	start_dispatcher 1
	sleep 0.85
	config 60 && config 61 && all_have 61
}

# Servers that the copy lacks are used on, then are gone unless they are back.
t_servers_that_the_copy_lacks() {
	local i
	platform 'server?id=s1&state=gone'
	platform 'server?id=s2&state=gone'
	sleep 1.5
	platform copy
	platform 'server?id=s1&state=ready'
	sleep 1.5
	[ "$(status_of 1 /again/ok)" = 200 ] || return 1
	platform 'drill?ms=0'
	for i in $(seq 8); do
		[ "$(status_of 1 /again/ok)" = 200 ] || return 1
		sleep 0.1
	done
	platform 'server?id=s1&state=ready'
	platform 'server?id=s2&state=ready'
	sleep 3
	[ "$(status_of 1 /again/ok)" = 200 ]
}

t_drill_without_a_dispatcher() {
	kill_hard dispatcher1
	kill_hard dispatcher2
	sleep 1.5
	drill 300 70 71 && all_have 71
}

start platform $BIN/standin-platform $STORE \
	$(server_port 1):s1:app:4 $(server_port 2):s2:app:4
wait_until 5 config 10 || exit 1
start_dispatcher 1
start_dispatcher 2
start_proxy 1
start_proxy 2
wait_until 5 ready 1 && wait_until 5 ready 2 || exit 1

check "drill: the version after it" t_version_after_a_drill
check "drill: no absence" t_no_absence
check "drill: two in a row" t_two_drills_in_a_row
check "drill: the configuration does not go back" \
	t_configuration_does_not_go_back
check "drill: announcements are written again" \
	t_announcements_are_written_again
check "drill: a dispatcher that starts meanwhile" \
	t_dispatcher_that_starts_in_a_drill
check "drill: servers that the copy lacks" t_servers_that_the_copy_lacks
check "drill: no dispatcher" t_drill_without_a_dispatcher
echo "$passed passed, $failed failed"
[ $failed = 0 ]
