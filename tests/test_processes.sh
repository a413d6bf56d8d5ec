#!/bin/bash
# Tests of the entry and side processes on loopback: crashes, freezes, outages
# of the store, configuration changes by operators.
# Usage: test_processes.sh [NAME-PART]
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-19000}
. tests/site.sh
. tests/checks.sh
json='Content-Type: application/json'

url() { # ENTRY PATH
	echo "http://127.0.0.1:$(entry_port $1)$2"
}

chat() { # ENTRY TEXT TOKENS STREAM CURL-ARGS...
	local n=$1 text=$2 tokens=$3 stream=$4
	shift 4
	curl -sS -N --max-time 60 -H "$json" \
		-H 'Authorization: Bearer kontor-key' \
		"$@" "$(url $n /v1/chat/completions)" -d '{"model": "lam-stor",
		"max_tokens": '$tokens', "stream": '$stream', "messages":
		[{"role": "user", "content": "'"$text"'"}]}'
}

alert() { # ENTRY KEY NAME CURL-ARGS...: a call that must run only once
	local n=$1 key=$2 name=$3
	shift 3
	curl -sS --max-time 30 -H 'Authorization: Bearer kontor-key' \
		-H "Idempotency-Key: $key" -X POST "$@" \
		"$(url $n /svc/medlemsportal/alerts/$name)" -d x
}

runs_of() { # NAME: prints how often the service ran an alert
	curl -s "http://127.0.0.1:$(($(side_port 3) + 2))/counts" |
		grep -o "\"POST /alerts/$1\":[0-9]*" | cut -d: -f2 |
		grep . || echo 0
}

engine_load() { # N FIELD
	curl -s "http://127.0.0.1:$(($(side_port $1) + 2))/load" |
		grep -o "\"$2\":[0-9]*" | cut -d: -f2
}

all_up() {
	wait_until 10 servers_up 1 3 && wait_until 10 servers_up 2 3
}

restart_side() { # N
	start_side $1
	all_up
}

busy_server() { # prints the number of the engine's side that has a run
	local n i
	for i in $(seq 100); do
		for n in 1 2; do
			if ctl 1 --json status | tr -d ' \n' |
				grep -q "\"host\":\"server-$n\"[^}]*\"running\":1"
			then
				echo $n
				return
			fi
		done
		sleep 0.02
	done
	return 1
}

t_complete_response() {
	chat 1 "price of ewes" 8 false | grep -q '"finish_reason":"stop"'
}

t_streamed_response() {
	local out
	out=$(chat 2 "read this sheet" 20 true) || return 1
	[ "$(echo "$out" | grep -c '^data: {')" = 20 ] &&
		echo "$out" | grep -q '^data: \[DONE\]'
}

t_models() {
	curl -sf "$(url 1 /v1/models)" | grep -q lam-stor &&
		curl -sf "$(url 1 /metrics)" | grep -q '^mangohead_handovers_total'
}

t_bad_input() {
	local out
	out=$(curl -s -H 'Authorization: Bearer kontor-key' \
		"$(url 1 /v1/chat/completions)" -d '{"model":')
	echo "$out" | grep -q '"kind":"bad_request","outcome":"not_run"' ||
		return 1
	out=$(curl -s "$(url 1 /v1/chat/completions)" -d '{}')
	echo "$out" | grep -q '"kind":"unauthorized"' || return 1
	out=$(head -c 6000000 /dev/zero | curl -s -H \
		'Authorization: Bearer kontor-key' --data-binary @- \
		"$(url 1 /v1/chat/completions)")
	echo "$out" | grep -q '"kind":"body_too_large"' || return 1
	t_complete_response
}

t_link_garbage() {
	local p=$(($(entry_port 1) + 2)) s
	s=$(side_port 1)
	for port in $p $s; do
		head -c 100000 /dev/urandom >/dev/tcp/127.0.0.1/$port
		printf '\377\377\377\377abc' >/dev/tcp/127.0.0.1/$port
		printf '\0\0\0\5ab' >/dev/tcp/127.0.0.1/$port
	done 2>/dev/null
	t_complete_response && curl -sf "$(url 1 /metrics)" |
		grep -q '^mangohead_bad_frames_total [1-9]'
}

t_wrong_key() {
	sed -e 's/server-1/server-9/' -e "s/^key = .*/key = \"$(printf '66%.0s' \
		$(seq 32))\"/" -e "s/:$(side_port 1)\"/:$((BASE + 900))\"/" \
		-e "s/:$(($(side_port 1) + 1))\"/:$((BASE + 901))\"/" \
		"$DIR/side1.toml" >"$DIR/side9.toml"
	start side9 $BIN/mangohead-side --config "$DIR/side9.toml"
	add_host server-9 $((BASE + 900)) server
	publish_hosts
	sleep 1
	kill_hard side9
	HOSTS=$(echo "$HOSTS" | grep -v server-9)
	publish_hosts
	! ctl 1 --json status | grep -q server-9
}

t_kill_side_streaming() {
	local out rc n
	chat 1 "long sheet, kill" 2000 true >"$DIR/out" 2>/dev/null &
	n=$(busy_server) || return 1
	sleep 0.3
	kill_hard side$n
	wait $!
	rc=$?
	restart_side $n
	# The client gets an error event, no [DONE], and a connection that ends
	# before the response does.
	[ $rc != 0 ] && grep -q '^event: error' "$DIR/out" &&
		grep -q '"outcome":"outcome_unknown"' "$DIR/out" &&
		! grep -q 'DONE' "$DIR/out"
}

# Guards against a cut stream that is complete to an HTTP/1.0 caller, as the end
# of the connection ends its response.
t_cut_stream_with_http_1_0() {
	local out rc n
	chat 1 "long sheet, old caller" 2000 true --http1.0 -o "$DIR/out" \
		-w '%{http_code}' >"$DIR/status" 2>/dev/null &
	n=$(busy_server) || return 1
	sleep 0.3
	kill_hard side$n
	wait $!
	rc=$?
	restart_side $n
	[ $rc != 0 ] || [ "$(cat "$DIR/status")" != 200 ] || return 1
	out=$(chat 2 "read this sheet" 20 true --http1.0) || return 1
	[ "$(echo "$out" | grep -c '^data: {')" = 20 ] &&
		echo "$out" | grep -q '^data: \[DONE\]'
}

t_kill_side_before_response() {
	local n
	chat 1 "whole sheet, kill" 2000 false >"$DIR/out" 2>/dev/null &
	n=$(busy_server) || return 1
	kill_hard side$n
	wait $!
	restart_side $n
	grep -q '"kind":"link_lost","outcome":"outcome_unknown"' "$DIR/out"
}

t_kill_engine() {
	local n
	chat 1 "engine dies" 2000 true >"$DIR/out" 2>/dev/null &
	n=$(busy_server) || return 1
	sleep 0.2
	kill_hard engine$n
	wait $!
	start engine$n $BIN/standin-engine \
		--listen=127.0.0.1:$(($(side_port $n) + 2)) --step_ms=3
	sleep 1
	grep -q '^event: error' "$DIR/out" && ! grep -q 'DONE' "$DIR/out" &&
		t_complete_response
}

t_freeze_side() {
	local n
	chat 1 "side freezes" 1500 true >"$DIR/out" 2>/dev/null &
	n=$(busy_server) || return 1
	kill -STOP $(pid_of side$n)
	sleep 1
	kill -CONT $(pid_of side$n)
	# The client still gets the complete stream.
	wait $! && [ "$(grep -c '^data: {' "$DIR/out")" = 1500 ] &&
		grep -q 'DONE' "$DIR/out"
}

t_freeze_side_long() {
	local n rc
	chat 1 "side freezes for long" 1500 true >"$DIR/out" 2>/dev/null &
	n=$(busy_server) || return 1
	kill -STOP $(pid_of side$n)
	wait $!
	rc=$?
	kill -CONT $(pid_of side$n)
	all_up
	[ $rc != 0 ] && grep -q '"outcome":"outcome_unknown"' "$DIR/out" &&
		! grep -q 'DONE' "$DIR/out" && t_complete_response
}

t_same_key_at_two_entries() {
	local key i
	key=$(uuid7)
	for i in 1 2 3 4 5 6; do
		alert $((1 + i % 2)) $key twice --max-time 10 >"$DIR/a$i" &
	done
	wait $(jobs -p | tail -n 6)
	cat "$DIR"/a[1-6]
	for i in 1 2 3 4 5 6; do
		grep -q '"run":1\|"kind":"duplicate"' "$DIR/a$i" || return 1
	done
	[ "$(runs_of twice)" = 1 ] && [ "$(cat "$DIR"/a[1-6] |
		grep -c '"run":1')" -ge 1 ]
}

alert_runs() { # NAME
	alert 1 $(uuid7) $1 | grep -q '"run"'
}

t_log_outage() {
	local out
	store_control '{"outage": true}'
	sleep 2.5
	out=$(alert 1 $(uuid7) outage -D "$DIR/head")
	t_complete_response
	rc=$?
	store_control '{"outage": false}'
	wait_until 8 alert_runs after || return 1
	[ $rc = 0 ] && [ "$(runs_of outage)" = 0 ] &&
		grep -qi '^retry-after' "$DIR/head" &&
		echo "$out" | grep -q \
			'"kind":"log_unavailable","outcome":"not_run"'
}

t_log_response_lost() {
	local out
	store_control '{"lose_answers": 2}'
	out=$(alert 1 $(uuid7) lost)
	[ "$(runs_of lost)" = 1 ] && echo "$out" | grep -q '"run":1'
}

t_expired_key() {
	local out
	out=$(alert 1 $(uuid7 $(($(date +%s%3N) - 7200000))) old)
	[ "$(runs_of old)" = 0 ] && echo "$out" | grep -q \
		'"kind":"idempotency_key_expired","outcome":"outcome_unknown"'
}

t_same_key_after_restart() {
	local key i
	key=$(uuid7)
	alert 1 $key restart | grep -q '"run":1' || return 1
	# Only the platform keeps running: only its log holds the key.
	for i in entry1 entry2 side1 side2 side3; do
		kill_hard $i
	done
	for i in 1 2 3; do start_side $i; done
	start_entry 1
	start_entry 2
	wait_until 10 entry_ready 1 && all_up || return 1
	sleep 0.5
	alert 1 $key restart
	[ "$(runs_of restart)" = 1 ]
}

t_join_after_entry_died() {
	local key before after
	key=$(uuid7 $(($(date +%s%3N) - 2000)))
	before=$(($(engine_load 1 prefilled) + $(engine_load 2 prefilled)))
	chat 1 "a sheet of two thousand bytes $(head -c 2000 /dev/zero |
		tr '\0' x)" 600 true -H "Idempotency-Key: $key" \
		>"$DIR/out1" 2>/dev/null &
	busy_server >/dev/null || return 1
	sleep 0.3
	kill_hard entry1
	wait $!
	chat 2 "a sheet of two thousand bytes $(head -c 2000 /dev/zero |
		tr '\0' x)" 600 true -H "Idempotency-Key: $key" >"$DIR/out2"
	rc=$?
	after=$(($(engine_load 1 prefilled) + $(engine_load 2 prefilled)))
	start_entry 1
	wait_until 10 entry_ready 1 && all_up
	echo "prefilled $((after - before)) tokens"
	[ $rc = 0 ] && [ "$(grep -c '^data: {' "$DIR/out2")" = 600 ] &&
		[ $((after - before)) -lt 1000 ]
}

engines_idle() {
	[ "$(engine_load 1 running)$(engine_load 2 running)" = 00 ]
}

t_client_disconnects() {
	local n
	chat 1 "caller leaves" 3000 true --max-time 0.5 >/dev/null 2>&1
	sleep 1.5
	engines_idle
}

t_one_of_two_clients_disconnects() {
	local rc
	chat 1 "leaves" 3000 true --max-time 0.5 >/dev/null 2>&1 &
	sleep 0.2
	chat 1 "stays" 500 true >"$DIR/stays"
	rc=$?
	sleep 1.5
	[ $rc = 0 ] && [ "$(grep -c '^data: {' "$DIR/stays")" = 500 ] &&
		engines_idle
}

t_crash_request() {
	local i down=0
	for i in 1 2 3 4; do
		chat $((1 + i % 2)) "CRASH-THE-ENGINE" 10 false -H \
			"X-Deadline-Ms: 3000" >"$DIR/crash$i"
		for n in 1 2; do
			kill -0 $(pid_of engine$n) 2>/dev/null && continue
			down=$((down + 1))
			start engine$n $BIN/standin-engine --step_ms=3 \
				--listen=127.0.0.1:$(($(side_port $n) + 2))
		done
		sleep 1
	done
	cat "$DIR"/crash?
	echo "engines lost: $down"
	[ $down -le 2 ] && grep -q '"kind":"quarantined"' "$DIR/crash4" &&
		t_complete_response
}

t_publish_race() {
	local base a b
	base=$(ctl 1 --json status | tr -d ' ",' | grep '^version:' | cut -d: -f2)
	ctl 1 --base $base --note first publish "$DIR/manifest.toml" &
	a=$!
	ctl 2 --base $base --note second publish "$DIR/manifest.toml" &
	b=$!
	wait $a
	a=$?
	wait $b
	b=$?
	[ "$a $b" = "0 4" ] || [ "$a $b" = "4 0" ] || return 1
	ctl 1 audit | head -n 2 | grep -q 'refused_base'
}

t_publish_response_lost() {
	store_control '{"lose_answers": 1}'
	ctl 1 --note "answer lost" publish "$DIR/manifest.toml" &&
		ctl 2 audit | head -n 1 | grep -q 'accepted.*answer lost'
}

t_publish_invalid() {
	sed 's/share = 400/share = 0/' "$DIR/manifest.toml" >"$DIR/bad.toml"
	ctl 1 publish "$DIR/bad.toml" >"$DIR/bad.out" 2>&1
	[ $? = 3 ] && grep -q 'account\[0\].share = 0: must be from 1' \
		"$DIR/bad.out"
}

# Guards against a cut answer to an operator that is taken for a whole one: a
# change may have been made, and a list has no end.
t_operator_answer_cut() {
	local rc
	store_control '{"spoiled":"cut"}'
	$BIN/mangoctl --server http://127.0.0.1:$BASE --base 1 \
		publish examples/vestjylland.toml
	rc=$?
	$BIN/mangoctl --server http://127.0.0.1:$BASE audit
	[ $? = 1 ] || rc=0
	$BIN/mangoctl --server http://127.0.0.1:$BASE publish \
		examples/vestjylland.toml
	[ $? = 1 ] || rc=0
	store_control '{"spoiled":""}'
	[ $rc = 5 ]
}

t_config_reaches_entry_started_in_outage() {
	store_control '{"outage": true}'
	kill_hard entry2
	start_entry 2
	wait_until 8 entry_ready 2
	rc=$?
	store_control '{"outage": false}'
	all_up
	return $rc
}

t_drain_server() {
	local i n=0
	ctl 1 drain server-1 || return 1
	sleep 2
	for i in 1 2 3 4 5 6; do
		chat 1 "drained $i" 4 false -D "$DIR/head" >/dev/null
		grep -qi 'server: server-1' "$DIR/head" && n=$((n + 1))
	done
	ctl 1 undrain server-1
	all_up
	[ $n = 0 ]
}

t_host_list_leaving() {
	local i n=0
	set_host_state server-2 leaving
	sleep 2
	for i in 1 2 3 4 5 6; do
		chat 2 "leaving $i" 4 false -D "$DIR/head" >/dev/null
		grep -qi 'server: server-2' "$DIR/head" && n=$((n + 1))
	done
	set_host_state server-2 live
	sleep 1
	[ $n = 0 ]
}

# Sends calls as a load balancer does: to an entry that reports ready.
load_worker() { # N
	local i=0 e out
	while [ -d "$DIR" ] && [ ! -e "$DIR/stop" ]; do
		i=$((i + 1))
		e=$((1 + (i + $1) % 2))
		entry_ready $e >/dev/null 2>&1 || e=$((3 - e))
		out=$(chat $e "worker $1 call $i" 40 true 2>&1)
		if [ $? = 7 ]; then # no connection was made
			echo notaccepted
		elif echo "$out" | grep -q 'DONE'; then
			echo whole
		elif echo "$out" | grep -qE '"kind":"draining"|refused|Connection'
		then
			echo notaccepted
		else
			echo "CUT $out" | tail -c 300 | tr '\n' ' '
			echo
		fi
	done >"$DIR/worker$1"
}

t_rolling_restart() {
	local w pids="" n
	rm -f "$DIR/stop"
	for w in 1 2 3 4 5 6; do
		load_worker $w &
		pids="$pids $!"
	done
	sleep 0.5
	for n in entry1 entry2 side1 side2; do
		kill -TERM $(pid_of $n)
		tail --pid=$(pid_of $n) -f /dev/null
		case $n in
		entry*) start_entry ${n#entry}; wait_until 10 entry_ready ${n#entry} ;;
		side*) start_side ${n#side} ;;
		esac
		all_up
	done
	sleep 0.5
	touch "$DIR/stop"
	wait $pids
	cat "$DIR"/worker? | cut -c1-120 | sort | uniq -c
	grep 'Fatal error' "$DIR"/entry?.log && return 1
	[ "$(cat "$DIR"/worker? | grep -c whole)" -gt 20 ] &&
		! grep -q CUT "$DIR"/worker?
}

t_second_signal_ends() {
	chat 1 "second signal" 3000 true >"$DIR/out" 2>/dev/null &
	busy_server >/dev/null || return 1
	kill -TERM $(pid_of entry1)
	sleep 0.3
	kill -0 $(pid_of entry1) || return 1
	kill -TERM $(pid_of entry1)
	wait_until 5 sh -c "! kill -0 $(pid_of entry1)"
	rc=$?
	start_entry 1
	wait_until 10 entry_ready 1 && all_up
	# The client got an error and the run was cancelled.
	grep -q '"outcome":"outcome_unknown"' "$DIR/out" || return 1
	grep -q 'Fatal error' "$DIR/entry1.log" && return 1
	wait_until 5 engines_idle && return $rc
}

# Every path in docs/openapi.json is served and requires the token.
t_openapi() {
	local path method url code
	while read -r path method; do
		url=$(echo "$path" | sed 's/{[a-z]*}/x/')
		code=$(curl -s -o /dev/null -w '%{http_code}' -X $method \
			http://127.0.0.1:$(($(entry_port 1) + 1))$url)
		[ $code = 401 ] || return 1
		[ $method = POST ] && continue
		code=$(curl -s -o /dev/null -w '%{http_code}' -X $method \
			-H "Authorization: Bearer $TOKEN" \
			http://127.0.0.1:$(($(entry_port 1) + 1))$url)
		[ $code = 200 ] || [[ $path = *requests* && $code = 404 ]] ||
			return 1
	done < <(awk -F'"' '/^    "\/admin/ { path = $2 }
		/^      "(get|post)"/ { print path, toupper($2) }' docs/openapi.json)
	code=$(curl -s -o /dev/null -w '%{http_code}' -H \
		"Authorization: Bearer $TOKEN" \
		http://127.0.0.1:$(($(entry_port 1) + 1))/admin/v1/nothing)
	[ $code = 404 ] && [ "$(grep -c '"/admin' docs/openapi.json)" = 7 ]
}

links_of() { # ENTRY: prints the number of servers that it has a link to
	ctl $1 --json status | grep -c '"up": true'
}

set_links_per_server() { # N
	printf '[policy]\nlinks_per_server = %s\n' $1 >"$DIR/links.toml"
	ctl 1 --delta publish "$DIR/links.toml"
}

# With links_per_server = 1 each server has a link to one entry; with 0 it has
# links to both again.
t_links_per_server() {
	local n sum
	set_links_per_server 1 || return 1
	for n in 1 2; do
		kill_hard entry$n
		start_entry $n
	done
	wait_until 10 entry_ready 1 && wait_until 10 entry_ready 2 || return 1
	sleep 2
	sum=$(($(links_of 1) + $(links_of 2)))
	echo "links: $(links_of 1) and $(links_of 2)"
	set_links_per_server 0 && all_up && [ $sum = 3 ]
}

t_explain() {
	chat 1 "explain me" 4 false -H "X-Request-Id: explain-1" >/dev/null
	ctl 1 explain explain-1 | grep -q 'explain-1.*: ok, run, account kontor'
}

# Guards against a SIGHUP that ends a program which has not read its settings yet;
# reading them waits for the other end of a FIFO.
t_early_signals() {
	local kind pid ok=true
	mkfifo "$DIR/early.toml" || return 1
	for kind in proxy dispatcher entry side; do
		start early $BIN/mangohead-$kind --config "$DIR/early.toml"
		pid=$(pid_of early)
		wait_until 5 grep -qs fifo_open "/proc/$pid/wchan" ||
			wait_until 5 grep -qs '^State:.*sleeping' \
				"/proc/$pid/status" || ok=false
		kill -HUP $pid
		sleep 0.1
		is_alive early || { echo "$kind: ended"; ok=false; }
		kill_hard early
	done
	$ok
}

t_settings_check() {
	sed 's/^zone.*/zone = 3/' "$DIR/entry1.toml" >"$DIR/bad.toml"
	$BIN/mangohead-entry --config "$DIR/bad.toml" --check 2>"$DIR/err"
	[ $? = 3 ] && grep -q 'bad.toml:2: zone = 3: must be a string' "$DIR/err"
}

start_platform
add_entry 1
add_entry 2
add_engine 1 sprogmodel '"lam-stor"' 16 --step_ms=3
add_engine 2 sprogmodel '"lam-stor"' 16 --step_ms=3
add_service 3 medlemsportal 16 --delay_ms=20
publish_hosts
cp examples/vestjylland.toml "$DIR/manifest.toml"
wait_until 10 ctl 1 status || exit 1
ctl 1 publish "$DIR/manifest.toml" || exit 1
wait_until 10 entry_ready 1 && wait_until 10 entry_ready 2 && all_up || exit 1

check "a whole answer" t_complete_response
check "a streamed answer" t_streamed_response
check "models and metrics" t_models
check "bad input" t_bad_input
check "garbage on the link ports" t_link_garbage
check "a process without the link key is refused" t_wrong_key
check "side killed while it streams" t_kill_side_streaming
check "side killed while it streams to an HTTP/1.0 caller" \
	t_cut_stream_with_http_1_0
check "side killed before a whole answer" t_kill_side_before_response
check "engine killed while it streams" t_kill_engine
check "side frozen for a second" t_freeze_side
check "side frozen for long" t_freeze_side_long
check "one key at two entries at once runs once" t_same_key_at_two_entries
check "log outage: refused at once, not run" t_log_outage
check "log loses answers: runs once" t_log_response_lost
check "a key outside the window is refused" t_expired_key
check "a key runs once over a restart of everything" t_same_key_after_restart
check "entry killed: a resend joins the run" t_join_after_entry_died
check "a caller that leaves stops its run" t_client_disconnects
check "of two callers of an entry one leaves" t_one_of_two_clients_disconnects
check "a request that crashes engines is quarantined" t_crash_request
check "two operators publish at once" t_publish_race
check "a publisher's answer is lost" t_publish_response_lost
check "an answer to an operator is cut" t_operator_answer_cut
check "an invalid manifest is refused" t_publish_invalid
check "an entry started in an outage learns the manifest" \
	t_config_reaches_entry_started_in_outage
check "a drained server gets no work" t_drain_server
check "a server that the host list shows as leaving" t_host_list_leaving
check "rolling restart under load cuts nothing" t_rolling_restart
check "a server is linked to as many entries as asked" \
	t_links_per_server
check "a second signal ends at once" t_second_signal_ends
check "explain tells what became of a request" t_explain
check "the API page is true" t_openapi
check "settings are checked" t_settings_check
check "a signal before the settings are read ends no program" t_early_signals
echo "$passed passed, $failed failed"
[ $failed = 0 ]
