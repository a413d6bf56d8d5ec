#!/bin/bash
# Tests of the real proxy and dispatcher processes with servers and a store that
# send bytes without end: memory, processor time and the time until a second
# attempt are bounded, and other callers don't feel it.
# Usage: test_endless.sh [NAME-PART]
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-25000}
. tests/site.sh
. tests/proxy_site.sh
. tests/checks.sh

# Sanitizers slow processes down and make them larger.
SLACK=${SLACK:-1}
MAX_CPU_MS=$((600 * SLACK))
MAX_GROWTH_KB=$((8192 * SLACK))
MAX_BESIDE_MS=$((100 * SLACK))
MAX_ANSWER_MS=$((1500 * SLACK))
MAX_RETRY_MS=$((250 * SLACK))
# Half of the route's time-out is left to the second attempt.
MAX_SILENT_MS=1500

cpu_ms() { # NAME
	local stat tick_ms
	stat=$(sed 's/.*) //' /proc/$(pid_of $1)/stat)
	tick_ms=$((1000 / $(getconf CLK_TCK)))
	set -- $stat
	echo $(((${12} + ${13}) * tick_ms))
}

peak_kb() { # NAME
	awk '/^VmHWM/ { print $2 }' /proc/$(pid_of $1)/status
}

# Calls a target beside calls of another route, and prints the response's status.
# Return: whether the proxy's bounds held and the other callers did not feel it.
bounded() { # PATH
	local cpu peak begin end pid slowest
	cpu=$(cpu_ms proxy1)
	peak=$(peak_kb proxy1)
	begin=$(date +%s%3N)
	ID=bounded-${1##*/} call 1 $1 -N -o "$DIR/endless" \
		-w '%{http_code}' >"$DIR/status" &
	pid=$!
	while [ -d /proc/$pid ]; do
		call 1 /open/ok -o /dev/null -w '%{time_total}\n'
	done | sort -n >"$DIR/beside"
	wait $pid
	end=$(date +%s%3N)
	cpu=$(($(cpu_ms proxy1) - cpu))
	peak=$(($(peak_kb proxy1) - peak))
	slowest=$(awk 'END { print int($1 * 1000) }' "$DIR/beside")
	echo "$1: $(cat "$DIR/status") after $((end - begin)) ms, cpu $cpu ms," \
		"memory +$peak KB, slowest beside it $slowest ms"
	[ $cpu -le $MAX_CPU_MS ] && [ $peak -le $MAX_GROWTH_KB ] &&
		[ $slowest -le $MAX_BESIDE_MS ] &&
		[ $((end - begin)) -le $MAX_ANSWER_MS ]
}

# Guards against an event without end that is kept and scanned again and again.
t_event_without_end() {
	bounded /resume/endlessevent || return 1
	[ "$(runs | grep -c ' bounded-endlessevent ')" = 2 ]
}

# Guards against a head without end that is kept.
t_head_without_end() {
	bounded /once/endlesshead && [ "$(cat "$DIR/status")" = 502 ] &&
		[ "$(runs | grep -c ' bounded-endlesshead ')" = 1 ]
}

# Guards against interim responses, or empty lines, that are read for as long as
# they come.
t_interim_responses_without_end() {
	bounded /once/endlessinterim && [ "$(cat "$DIR/status")" = 502 ]
}

t_empty_lines_without_end() {
	bounded /once/endlesslines && [ "$(cat "$DIR/status")" = 502 ]
}

t_noise_without_end() {
	bounded /once/endlessnoise && [ "$(cat "$DIR/status")" = 502 ]
}

t_trailer_without_end() {
	bounded /gen/endlesstrailer
	[ $? = 0 ] && ! grep -q 'id=bounded-endlesstrailer .*done' \
		"$DIR/proxy1.log"
}

t_chunk_extension_without_end() {
	bounded /gen/endlessextension
}

# Guards against a head that never ends and keeps its request until the route's
# time-out, as its bytes look like progress.
t_slow_head_without_end() {
	local waited
	ID=again-slowhead call 1 /again/endlessslowhead --max-time 3 -o /dev/null
	waited=$(($(log_ms again again-slowhead) - \
		$(log_ms sent again-slowhead)))
	echo "second attempt after $waited ms"
	[ $waited -gt 0 ] && [ $waited -le $MAX_SILENT_MS ]
}

# Prints the time of the first log line of an event of a request.
log_ms() { # EVENT ID
	sed -n "s/^t=\([0-9]*\) .*event=$1 id=$2 .*/\1/p" "$DIR/proxy1.log" |
		head -n 1
}

# Guards against a second attempt that waits for the end of a body that is not
# forwarded.
t_second_attempt_does_not_wait() {
	local kind waited
	# The log leaves lines out in a second with many requests.
	sleep 1
	for kind in endlesserror endlessslow; do
		ID=again-$kind call 1 /again/$kind --max-time 1 -o /dev/null
		sleep 0.4
		waited=$(($(log_ms again again-$kind) - \
			$(log_ms sent again-$kind)))
		echo "$kind: second attempt after $waited ms"
		[ $waited -le $MAX_RETRY_MS ] || return 1
	done
}

# Forwards as fast as the caller reads, and keeps no more than that.
t_body_that_is_forwarded() {
	local peak
	peak=$(peak_kb proxy1)
	call 1 /once/endlesserror --max-time 1 --limit-rate 200k -o /dev/null
	peak=$(($(peak_kb proxy1) - peak))
	echo "memory +$peak KB"
	[ $peak -le $MAX_GROWTH_KB ]
}

# Guards against answers of the store without end that are kept.
t_store_without_end() {
	local name kind
	for kind in body head interim; do
		store_control "{\"spoiled\":\"$kind\"}"
		for name in proxy1 dispatcher1; do
			peak_kb $name >"$DIR/peak-$name"
			cpu_ms $name >"$DIR/cpu-$name"
		done
		# Without a dispatcher the proxy reads the store as well.
		sleep 2
		call 1 /open/ok -o /dev/null -m 1 || return 1
		store_control '{"spoiled":""}'
		for name in proxy1 dispatcher1; do
			echo "$kind $name: memory" \
				+$(($(peak_kb $name) - $(cat "$DIR/peak-$name"))) \
				cpu $(($(cpu_ms $name) - $(cat "$DIR/cpu-$name")))
			[ $(($(peak_kb $name) - $(cat "$DIR/peak-$name"))) -le \
				$MAX_STORE_GROWTH_KB ] || return 1
		done
		wait_until 5 ready 1 || return 1
	done
}
MAX_STORE_GROWTH_KB=$((49152 * SLACK))

MANY=300
# Less than half of the memory of a small entry host.
MAX_MANY_GROWTH_KB=$((65536 * SLACK))

# Sends many requests at once to one server, through a proxy of its own.
# Return: whether the proxy's memory is bounded and another caller is answered.
many_are_bounded() { # PROXY PATH CURL-ARGS...
	local n=$1 path=$2 i peak others pids=
	shift 2
	start_proxy $n
	wait_until 10 ready $n || return 1
	peak=$(peak_kb proxy$n)
	for i in $(seq $MANY); do
		ID=many-$n-$i call $n $path -N -o /dev/null --max-time 3 \
			"$@" 2>/dev/null &
		pids="$pids $!"
	done
	sleep 2
	call $n /open/ok -o /dev/null -m 1
	others=$?
	wait $pids
	peak=$(($(peak_kb proxy$n) - peak))
	echo "$path: $(runs | grep -c " many-$n-") runs, memory +$peak KB"
	[ $others = 0 ] && [ $peak -le $MAX_MANY_GROWTH_KB ] &&
		[ $(runs | grep -c " many-$n-") -ge $MANY ]
}

# Guards against unfinished events that are bounded one by one only.
t_many_events() {
	many_are_bounded 2 /resume-wide/endlesslargeevent
}

# Guards against bytes for slow callers that are bounded one by one only.
t_many_bodies() {
	many_are_bounded 3 /wide/endlesslarge --limit-rate 20k
}

start platform $BIN/standin-platform $STORE \
	$(server_port 1):s1:app:4 $(server_port 2):s2:app:4 \
	$(server_port 3):s3:app:4 $(server_port 4):w1:wide:$MANY
wait_until 5 config 10 || exit 1
start_dispatcher 1
start_proxy 1
wait_until 10 ready 1 || exit 1
# The retry budget is small until the dispatcher has run for a window.
sleep $RETRY_WINDOW_S

check "endless: an event" t_event_without_end
check "endless: a head" t_head_without_end
check "endless: a head that comes slowly" t_slow_head_without_end
check "endless: interim responses" t_interim_responses_without_end
check "endless: empty lines" t_empty_lines_without_end
check "endless: bytes that are no HTTP" t_noise_without_end
check "endless: a trailer" t_trailer_without_end
check "endless: a chunk extension" t_chunk_extension_without_end
check "endless: a second attempt does not wait" t_second_attempt_does_not_wait
check "endless: a body that is forwarded" t_body_that_is_forwarded
check "endless: the store" t_store_without_end
check "endless: many events" t_many_events
check "endless: many bodies" t_many_bodies
echo "$passed passed, $failed failed"
[ $failed = 0 ]
