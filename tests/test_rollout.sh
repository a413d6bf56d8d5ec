#!/bin/bash
# Tests of roll-outs: orders of the operators to replace the version of a service's
# servers. Each case has a service of its own with two servers of the old version,
# and two of the new one that register after the order. Cases that need the same
# state of the site run side by side.
# Usage: test_rollout.sh [NAME-PART]
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-25400}
. tests/site.sh
. tests/proxy_site.sh
. tests/checks.sh

PROXIES="1 2"
# Bounds of the operators, the defaults of [bounds].
EXPOSURE_SHARE=0.1
EXPOSURE_SLACK=50
ROLLBACK_MS=5000
# Work of a request, and requests a second of each load process.
WORK_MS=20
RATE=10
DURATION_S=12
ALONE="good fails slow later load route again next unknown bad"
FAULTS="kg kb fg fb ng nb nn nw sg sb ag ab pn sh"

now_ms() { # the stand-ins' clock
	awk '{ printf "%d", $1 * 1000 }' /proc/uptime
}

arrivals() {
	curl -sf "http://127.0.0.1:$STORE/test/arrivals"
}

# Publishes a configuration with three routes for each service.
publish_services() {
	local s sep=
	{
		echo '{"version":10,"routes":['
		for s in $ALONE $FAULTS; do
			cat <<-END
			$sep{"name":"$s","host":"h.example",
			"path_prefix":"/$s/","route_type":"idempotent",
			"timeout_ms":3000,"target_latency_ms":500,
			"priority":1,"service":"$s","max_attempts":2,
			"public":true},
			{"name":"$s-once","host":"h.example",
			"path_prefix":"/$s-once/",
			"route_type":"non_idempotent","timeout_ms":3000,
			"target_latency_ms":500,"priority":1,"service":"$s",
			"max_attempts":1,"public":true},
			{"name":"$s-resume","host":"h.example",
			"path_prefix":"/$s-resume/","route_type":"stream",
			"timeout_ms":5000,"target_latency_ms":500,
			"priority":1,"service":"$s","max_attempts":2,
			"public":true,"resumable":true,"target_gap_ms":250}
			END
			sep=,
		done
		echo '],"services":['
		sep=
		for s in $ALONE $FAULTS; do
			echo "$sep{\"name\":\"$s\",\"max_connections\":100}"
			sep=,
		done
		echo '],"limits":{"max_header_bytes":4096,'
		echo '"max_body_bytes":100000,"header_timeout_ms":1000,'
		echo '"idle_timeout_ms":3000},"tenants":[]}'
	} >"$DIR/config.json"
	platform config --data-binary "@$DIR/config.json"
}

# Ports of a service's servers: the old ones, then the new ones.
first_port() { # SERVICE
	local s n=0
	for s in $ALONE $FAULTS; do
		[ $s != $1 ] || echo $((BASE + 11 + 4 * n))
		n=$((n + 1))
	done
}

old_servers() {
	local s p
	for s in $ALONE $FAULTS; do
		p=$(first_port $s)
		echo $p:${s}a1:$s:8:$p:$s-1
		echo $((p + 1)):${s}a2:$s:8:$((p + 1)):$s-1
	done
}

# Sends requests on all routes through all proxies.
load() { # SERVICE SECONDS [PROCESSES]
	local p part what k
	for p in $PROXIES; do
		for part in "" -once -resume; do
			what=run
			[ "$part" != -resume ] || what=stream
			for k in $(seq ${3:-1}); do
				timeout $(($2 + 6)) curl -s --max-time 8 -o /dev/null \
					--rate $RATE/s -H 'Host: h.example' \
					-H "X-Mangohead-Request-Id: $1-$p-$k" \
					-H 'X-Mangohead-Deadline-Ms: 4000' \
					-w '%{http_code} %{exitcode}\n' \
					"http://127.0.0.1:$(proxy_port $p)/$1$part/[1-$((($2 - 1) * RATE))]/$what" \
					>>"$DIR/$1.status" &
				loads="$loads $!"
			done
		done
	done
}

end_loads() {
	wait $loads
	loads=
}

order() { # SERVICE TARGET DURATION
	platform "order?service=$1" --data-binary \
		"{\"service\":\"$1\",\"target\":\"$2\",\"duration_s\":$3}"
}

register() { # SERVICE VERSION N
	platform "register?id=$1b$3&service=$1&slots=8&port=$((
		$(first_port $1) + 1 + $3))&version=$2&listen=1"
}

# Orders a version whose servers register a moment later.
roll_out() { # SERVICE [FAULT-OF-THE-VERSION] [WORK-MS]
	platform "version?version=$1-1&base=${3:-$WORK_MS}"
	platform "version?version=$1-2&base=${3:-$WORK_MS}&$2"
	platform "stop?service=$1"
	now_ms >"$DIR/$1.order"
	order $1 $1-2 $DURATION_S
	register $1 $1-2 1
	register $1 $1-2 2
}

statuses() { # SERVICE
	curl -sf "http://127.0.0.1:$STORE/test/status?service=$1" |
		sed 's/ .*"state": *"\([a-z_]*\)".*"target": *"\([^"]*\)".*/ \1 \2/'
}

has_verdict() { # SERVICE
	statuses $1 | grep -qE ' (succeeded|rolled_back) '
}

# The first final status is the last one, and the expected one.
ends_as() { # SERVICE STATE [SECONDS]
	wait_until ${3:-1} has_verdict $1
	statuses $1 | tee "$DIR/$1.statuses"
	! grep -E 'succeeded|rolled_back' "$DIR/$1.statuses" | grep -v " $2 " &&
		tail -n 1 "$DIR/$1.statuses" | grep -q " $2 $1-2$"
}

ordered_ms() {
	cat "$DIR/$1.order"
}

verdict_ms() { # SERVICE
	statuses $1 | awk '$2 != "running" { print $1; exit }'
}

# Of a version that is rolled back: what reached it. Nothing may after the verdict
# was written, nor later than rollback_ms after its 50th bad response.
keeps_exposure() { # SERVICE
	curl -sf "http://127.0.0.1:$STORE/test/bad" |
		awk -v s=$1b 'index($2, s) == 1 && ++n == 50 { print $1 }' \
		>"$DIR/$1.bad50"
	arrivals | awk -v s=$1 -v from=$(ordered_ms $1) -v end=$(verdict_ms $1) \
		-v share=$EXPOSURE_SHARE -v slack=$EXPOSURE_SLACK \
		-v bad50=$(cat "$DIR/$1.bad50") -v rollback=$ROLLBACK_MS '
		index($2, s) != 1 || substr($2, length(s) + 1) !~ /^[ab][0-9]$/ {
			next }
		$1 < from || $4 == "421" { next }
		{ all += $1 <= end }
		substr($2, length(s) + 1) !~ /^b/ { next }
		{ target++; after += $1 > end
		  late += bad50 && $1 > bad50 + rollback }
		END { print s, "requests", all, "target", target + 0,
			"after the verdict", after + 0, "late", late + 0
			exit !(all > 20 && target > 0 && !after && !late &&
				target <= share * all + slack) }'
}

# All requests got a whole response, and no server was stopped under one.
is_unnoticed() { # SERVICE
	sort "$DIR/$1.status" | uniq -c
	curl -sf "http://127.0.0.1:$STORE/test/stops" | grep "^$1" |
		tee "$DIR/$1.stops"
	[ $(grep -c '^200 0$' "$DIR/$1.status") -gt 100 ] &&
		! grep -qv '^200 0$' "$DIR/$1.status" &&
		! grep -qv ' 0$' "$DIR/$1.stops"
}

# A good version has its verdict in time, and the old servers then stop at once.
succeeds() { # SERVICE
	ends_as $1 succeeded && is_unnoticed $1 &&
		[ $(grep -c "^${1}a" "$DIR/$1.stops") = 2 ] &&
		[ $(verdict_ms $1) -le $(($(ordered_ms $1) +
			DURATION_S * 1000)) ]
}

is_rolled_back() { # SERVICE
	ends_as $1 rolled_back && keeps_exposure $1 &&
		[ $(verdict_ms $1) -le $(($(ordered_ms $1) +
			DURATION_S * 1000)) ]
}

dispatcher_in_use() {
	grep -h 'event=dispatcher ' "$DIR/proxy1.log" | tail -n 1 |
		grep -o ' to=dispatcher-[0-9]*' | cut -d- -f2
}

# ---- nothing else fails ----

run_alone() {
	local s
	for s in good fails slow later route again next unknown bad; do
		load $s $((DURATION_S + 3))
	done
	load load $((DURATION_S + 3)) 2
	sleep 1
	roll_out good
	roll_out fails "fail=0.5"
	roll_out slow "slow=5"
	roll_out later "fail=0.5&after=2500"
	roll_out load "fail=0.6&from=3" 150
	roll_out route "fail=0.6&prefix=/route-once/"
	roll_out again
	# Replaced while it is observed; the servers of the second target come
	# with its order.
	now_ms >"$DIR/next.order"
	platform "version?version=next-1&base=$WORK_MS"
	platform "version?version=next-2&base=$WORK_MS"
	order next next-3 $DURATION_S
	sleep 1
	order next next-2 $((DURATION_S - 2))
	register next next-2 1
	# No server has this version, and none this service.
	order unknown unknown-9 4
	platform "order?service=nosuch" --data-binary \
		'{"service":"nosuch","target":"v2","duration_s":4}'
	# Malformed ones.
	platform "order?service=bad" --data-binary '{"service":"bad"'
	sleep 0.3
	order bad bad-2 0
	sleep 0.3
	order bad bad-2 -5
	sleep 0.3
	order bad bad-2 86401
	register bad bad-1 1
	sleep 1
	order again again-2 $DURATION_S
	end_loads
	order again again-2 $DURATION_S
	order fails fails-2 $DURATION_S
	load fails 2
	end_loads
}

t_good() {
	succeeds good
}

t_fails() {
	is_rolled_back fails
}

t_slow() {
	is_rolled_back slow
}

t_later() {
	is_rolled_back later
}

t_under_load() {
	is_rolled_back load
}

t_one_route() {
	is_rolled_back route
}

# The same order again is the same one, also after its end.
t_repeated() {
	ends_as again succeeded &&
		[ $(grep -c succeeded "$DIR/again.statuses") = 1 ] &&
		ends_as fails rolled_back &&
		[ $(grep -c rolled_back "$DIR/fails.statuses") = 1 ]
}

t_replaced() {
	statuses next | tee "$DIR/next.statuses"
	tail -n 1 "$DIR/next.statuses" | grep -q ' succeeded next-2$' &&
		! grep -q ' succeeded next-3$' "$DIR/next.statuses"
}

# Without any server of the version the order ends without a change of traffic.
t_unknown() {
	statuses unknown | tail -n 1 | grep -q ' rolled_back unknown-9$' &&
		is_unnoticed unknown
}

t_malformed() {
	local n
	n=$(cat "$DIR"/dispatcher?.log | grep -c 'event=rollout_rejected')
	echo rejected $n
	[ $n -ge 4 ] && [ -z "$(statuses bad)" ] && is_unnoticed bad &&
		arrivals | grep -q ' badb1 '
}

# ---- the dispatcher in use is lost ----

run_killed() {
	local n
	load kg $((DURATION_S + 3))
	load kb $((DURATION_S + 3))
	sleep 1
	n=$(dispatcher_in_use)
	roll_out kg
	roll_out kb "fail=0.5&after=3200"
	sleep 2.5
	kill_hard dispatcher$n
	sleep 4
	start_dispatcher $n
	end_loads
}

t_dispatcher_killed() {
	succeeds kg && is_rolled_back kb
}

# It is frozen and wakes up while another one has taken over, the second time after
# that one's verdict: for a moment both take themselves for the one in use.
run_frozen() {
	local n k
	load fg $((DURATION_S + 3))
	load fb $((DURATION_S + 3))
	sleep 1
	roll_out fg
	roll_out fb "fail=0.5&after=2800"
	for k in 1 3.5; do
		sleep 1.4
		n=$(dispatcher_in_use)
		kill -STOP $(pid_of dispatcher$n)
		sleep $k
		kill -CONT $(pid_of dispatcher$n)
	done
	end_loads
}

t_two_dispatchers() {
	succeeds fg && is_rolled_back fb
}

is_shifting() { # SERVICE
	grep -qh "event=rollout .*target=$1-2 phase=shifting" "$DIR"/dispatcher?.log
}

# No dispatcher from the first second on. One version is ordered while there is none,
# one has succeeded before: its old servers are stopped, and to one the requests are
# being moved.
run_without() {
	local n
	load nw 16
	load sh 30
	sleep 1
	DURATION_S=20 roll_out sh
	DURATION_S=3 roll_out nw
	wait_until 5 has_verdict nw
	wait_until 10 is_shifting sh
	load ng 22
	load nb 22
	load nn 22
	sleep 1
	roll_out ng
	roll_out nb "fail=0.6&after=1500"
	sleep 0.8
	for n in 1 2; do
		kill_hard dispatcher$n
	done
	sleep 1.5
	roll_out nn
	now_ms >"$DIR/without.from"
	sleep 3
	now_ms >"$DIR/without.to"
	for n in 1 2; do
		start_dispatcher $n
	done
	end_loads
}

# Guards against a version that turns bad unnoticed, as requests go on being moved to it.
t_without_dispatcher() {
	local s
	for s in ng nb nn sh; do
		arrivals | awk -v s=${s}b -v from=$(cat "$DIR/without.from") \
			-v to=$(cat "$DIR/without.to") '
			index($2, s) == 1 && $1 > from && $1 < to { n++ }
			END { print s, n + 0; exit n > 0 }' || return 1
	done
	ends_as nw succeeded && is_unnoticed nw &&
		ends_as nb rolled_back && keeps_exposure nb &&
		ends_as ng succeeded 5 && is_unnoticed ng &&
		ends_as nn succeeded 5 && is_unnoticed nn &&
		ends_as sh succeeded 15 && is_unnoticed sh
}

# The store is down while one version turns bad.
run_store_down() {
	load sg $((DURATION_S + 4))
	load sb $((DURATION_S + 4))
	sleep 1
	roll_out sg
	roll_out sb "fail=0.5&after=2500"
	sleep 1.5
	store_control '{"outage":true}'
	sleep 5
	store_control '{"outage":false}'
	end_loads
}

t_store_down() {
	succeeds sg && is_rolled_back sb
}

# All processes lose power at once. One version was rolled back before, and one is
# observed.
run_all_killed() {
	local n
	load ag $((DURATION_S + 4))
	load ab $((DURATION_S + 4))
	sleep 1
	roll_out ag
	roll_out ab "fail=0.9"
	wait_until 6 has_verdict ab
	for n in $PROXIES; do
		kill_hard proxy$n
	done
	for n in 1 2; do
		kill_hard dispatcher$n
	done
	sleep 0.5
	for n in 1 2; do
		start_dispatcher $n
	done
	for n in $PROXIES; do
		start_proxy $n
	done
	end_loads
}

t_all_killed() {
	ends_as ab rolled_back && keeps_exposure ab && ends_as ag succeeded
}

# All processes are killed after the verdicts, and only the proxies come back. One order
# is without a verdict.
run_proxies_alone() {
	local n s
	has_verdict ag && has_verdict ab || run_all_killed
	order pn pn-2 $DURATION_S
	register pn pn-2 1
	for n in $PROXIES; do
		kill_hard proxy$n
	done
	for n in 1 2; do
		kill_hard dispatcher$n
	done
	sleep 0.5
	for n in $PROXIES; do
		start_proxy $n
	done
	sleep 3
	now_ms >"$DIR/alone.from"
	for s in ag ab pn; do
		mv "$DIR/$s.status" "$DIR/$s.before" 2>/dev/null
		load $s 3
	done
	end_loads
	now_ms >"$DIR/alone.to"
	for s in ag ab pn; do
		mv "$DIR/$s.status" "$DIR/$s.alone"
		cat "$DIR/$s.before" "$DIR/$s.alone" >"$DIR/$s.status"
	done
	for n in 1 2; do
		start_dispatcher $n
	done
	sleep 1
}

# Guards against proxies that refuse a service whose version was rolled out, as an
# order alone looks like one that has just begun, and against versions that were
# rolled back or have no verdict getting requests from them.
t_proxies_alone() {
	local s
	for s in ag ab pn; do
		echo $s
		sort "$DIR/$s.alone" | uniq -c
		[ $(grep -c '^200 0$' "$DIR/$s.alone") -gt 50 ] &&
			! grep -qv '^200 0$' "$DIR/$s.alone" || return 1
	done
	arrivals | awk -v from=$(cat "$DIR/alone.from") \
		-v to=$(cat "$DIR/alone.to") '
		$1 < from || $1 > to { next }
		index($2, "abb") == 1 || index($2, "pnb") == 1 { bad++ }
		index($2, "agb") == 1 { good++ }
		END { print bad + 0, good + 0; exit bad || !good }'
}

# ---- for operators ----

t_state_is_shown() {
	local n
	n=$(dispatcher_in_use)
	curl -sf http://127.0.0.1:$(($(dispatcher_port $n) + 1))/metrics |
		grep '^mangohead_rollout_phase{' | tee "$DIR/phases"
	grep -q '{service="good"} 3$' "$DIR/phases" &&
		grep -q '{service="fails"} 4$' "$DIR/phases" &&
		grep -h 'event=rollout .*target=fails-2 phase=rolled_back' \
			"$DIR"/dispatcher?.log | tee "$DIR/why" &&
		grep -q ' failed=[1-9]' "$DIR/why" &&
		$BIN/mangoctl rollouts "$DIR"/dispatcher?.log |
		tee "$DIR/shown" &&
		grep -qx 'order: fails to version fails-2: rolled_back, written to the store' \
			"$DIR/shown" &&
		grep -qx 'order: good to version good-2: succeeded, written to the store' \
			"$DIR/shown"
}

loads=
start platform $BIN/standin-platform $STORE $(old_servers)
wait_until 5 publish_services || exit 1
start_dispatcher 1
start_dispatcher 2
for i in $PROXIES; do
	start_proxy $i
done
for i in $PROXIES; do
	wait_until 10 ready $i || exit 1
done
sleep 1

# Runs the load of a group of cases if any of them is selected, then their checks.
group() { # RUN-FUNCTION [NAME CHECK-FUNCTION]...
	local run=$1 names i
	shift
	names=("$@")
	for ((i = 0; i < ${#names[@]}; i += 2)); do
		[[ "rollout: ${names[i]}" == *"$only"* ]] || continue
		$run
		break
	done
	for ((i = 0; i < ${#names[@]}; i += 2)); do
		check "rollout: ${names[i]}" ${names[i + 1]}
	done
}

group run_alone \
	"good version" t_good \
	"version fails at once" t_fails \
	"version is slow" t_slow \
	"version fails later" t_later \
	"version fails under load" t_under_load \
	"version fails on one route" t_one_route \
	"order repeated" t_repeated \
	"order replaced" t_replaced \
	"unknown version and service" t_unknown \
	"malformed orders" t_malformed \
	"state is shown" t_state_is_shown
group run_killed "dispatcher killed" t_dispatcher_killed
group run_frozen "two dispatchers" t_two_dispatchers
group run_without "no dispatcher" t_without_dispatcher
group run_store_down "store down" t_store_down
group run_all_killed "all killed" t_all_killed
group run_proxies_alone "proxies alone after the verdict" t_proxies_alone
echo "$passed passed, $failed failed"
[ $failed = 0 ]
