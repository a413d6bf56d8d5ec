#!/bin/bash
# Test of requests that share a part of their prompts by which servers crash, no
# two of them alike, beside sound ones that share their account and their other
# parts. Four proxies, two dispatchers, twelve servers that are back after 3 s
# under new identifiers.
# Usage: test_parts.sh [NAME-PART]
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-24000}
. tests/site.sh
. tests/proxy_site.sh
. tests/checks.sh

SERVERS=$(seq 12)
PROXIES="1 2 3 4"
MORE_PROXIES="5 6 7 8 9 10 11 12"
# At all proxies together.
BAD_PER_S=12
SOUND_PER_S=48
LOAD_S=${LOAD_S:-11}
# The users' stable_window_ms, and the runs that they allow later than that after
# the fifth crash; sound requests are counted from twice that time on.
SETTLED_MS=3000
MAX_LATE_RUNS=3
COUNTED_CRASHES=5
# Requests go on until sound ones were counted for this long.
COUNTED_MS=2000
# Proxies use their own share of the servers within this time of the last
# dispatcher's end.
ALONE_S=3
# Entries are linked to a new dispatcher, which has read the store, within this time.
DISPATCHER_START_S=2

stand_in_now_ms() {
	awk '{ printf "%d", $1 * 1000 }' /proc/uptime
}

# Sends a request with given shared parts; prints when, what and the outcome.
send_parts() { # PROXY NAME PARTS
	local now
	now=$(stand_in_now_ms)
	ID=$2 call $1 /fragile/$2/ok -d "text of $2" \
		-H "X-Mangohead-Prompt-Prefix: $3,${RANDOM}e$RANDOM:50" \
		-o "$DIR/$2.body" -w "$now $2 %{http_code}"
	echo " $(grep -o '"kind":"[a-z_]*"' "$DIR/$2.body")"
	rm -f "$DIR/$2.body"
}

# Arrivals or crashes of a case's bad requests, at the servers' times.
times() { # WHAT NAME
	sed -n "s/^$1 .*id=bad-$2-.* at_ms=//p" "$DIR"/fragile*.log | sort -n
}

# Prints when the last crash came that is allowed, nothing without a crash.
last_counted_crash() { # NAME
	times crashed $1 | head -n $COUNTED_CRASHES | tail -n 1
}

# Whether sound requests were not counted for long enough.
is_counting() { # NAME
	local crash
	crash=$(last_counted_crash $1)
	[ -n "$crash" ] && [ $(stand_in_now_ms) -lt \
		$((crash + 2 * SETTLED_MS + COUNTED_MS)) ]
}

# Sends requests at a steady rate, each in the background, for LOAD_S and then until
# enough are counted, which is looked at once a second. Proxies begin one after the
# other within a second.
send_steadily() { # PROXY NAME PER-SECOND PARTS
	local i=0 least=$(($3 * LOAD_S)) parts
	sleep .$((RANDOM % 10))
	while [ $i -lt $least ] || [ $((i % $3)) != 0 ] || is_counting ${2#*-}; do
		i=$((i + 1))
		parts=${4//%/$((i % 4))}
		send_parts $1 $2-$1-$i "$parts" >>"$DIR/$2-$1-$i.sent" &
		sleep $(awk -v n=$3 'BEGIN { print 1 / n }')
	done
	wait
}

# Load of one case on some proxies. "%" in the parts stands for one of four numbers.
run_load() { # NAME BAD-PARTS SOUND-PARTS [PROXIES]
	local i pids="" proxies=${4:-$PROXIES} n
	n=$(echo $proxies | wc -w)
	for i in $proxies; do
		send_steadily $i bad-$1 $((BAD_PER_S / n)) "$2" &
		pids="$pids $!"
		send_steadily $i sound-$1 $((SOUND_PER_S / n)) "$3" &
		pids="$pids $!"
	done
	wait $pids
	cat "$DIR"/sound-$1-*.sent >"$DIR/sound-$1"
	cat "$DIR"/bad-$1-*.sent >"$DIR/bad-$1"
	rm -f "$DIR"/*-$1-*.sent
}

few_servers_end() { # NAME
	times crashed $1 >"$DIR/crashed"
	times reached $1 >"$DIR/reached"
	wc -l <"$DIR/crashed"
	# The case has to come about.
	[ -s "$DIR/crashed" ] || return 1
	awk -v nth=$COUNTED_CRASHES -v settled=$SETTLED_MS \
		-v most=$MAX_LATE_RUNS 'NR == FNR {
			if (FNR == nth)
				from = $1 + settled
			next
		}
		from && $1 > from { late++ }
		END { print late + 0, "late"; exit late > most }' \
		"$DIR/crashed" "$DIR/reached"
}

# Of the sound requests from twice the settling time after the last counted crash
# on, at least half are served, as all of them would be without the bad ones.
sound_are_served() { # NAME
	local from
	from=$(last_counted_crash $1)
	cut -d' ' -f3- "$DIR/sound-$1" | sort | uniq -c
	awk -v from=$((from + 2 * SETTLED_MS)) '$1 > from { n++; ok += $3 == 200 }
		END { print ok + 0, "of", n + 0
		      exit !(n >= 20 && ok * 2 >= n) }' "$DIR/sound-$1"
}

start platform $BIN/standin-platform $STORE \
	$(for i in $SERVERS; do echo 0:c$i:fragile:4:$(server_port $((5 + i))); done)
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
# Until then, a dispatcher allows few retries.
sleep $RETRY_WINDOW_S
replacing=""
for i in $SERVERS; do
	keep_replacing $i 2 &
	replacing="$replacing $!"
done

t_part_in_the_middle() {
	run_load middle a0:60,dead1:400 a0:60,b%:400
	few_servers_end middle
}

t_sound_beside_the_middle() {
	sound_are_served middle
}

many_parts() { # N: parts that are the same in all requests
	printf 'f%x:40,' $(seq $1)
}

# Guards against a bad part that nobody suspects, as it stands behind many others: these
# are blamed for it.
t_part_behind_many() {
	local earlier
	earlier=$(many_parts 40)
	run_load many "${earlier}a0:60,dead7:400" "${earlier}a0:60,b%:400"
	few_servers_end many
}

t_sound_beside_many() {
	sound_are_served many
}

# One that is not kept could crash servers without being suspected.
t_more_parts_than_are_kept() {
	local id=bad-more-1
	[ "$(ID=$id status_of 1 /fragile/$id/ok -d text \
		-H "X-Mangohead-Prompt-Prefix: $(many_parts 256)dead9:40,ff:50")" = \
		431 ] && grep -q head_too_large "$DIR/body" &&
		[ -z "$(times reached more)" ]
}

# Guards against an outage of all sound requests that share a part with two bad
# ones: each of these comes with the same sound companion, of which sound requests
# have one as well.
t_two_parts_at_once() {
	local load BAD_PER_S=8 SOUND_PER_S=24
	run_load two0 a2:60,c0:50,dead5:400 a2:60,c0:50,b%:400 &
	load=$!
	run_load two1 a2:60,c1:50,dead6:400 a2:60,c1:50,b%:400
	wait $load
	few_servers_end two0 && few_servers_end two1
}

t_sound_beside_two_parts() {
	local rc=0
	sound_are_served two0 || rc=1
	sound_are_served two1 || rc=1
	return $rc
}

crash_lines() {
	cat "$DIR"/proxy?.log "$DIR"/dispatcher?.log | grep -c 'kind=crash'
}

# Guards against records that processes send each other without end.
t_nothing_more_is_told() {
	local n
	sleep 1
	n=$(crash_lines)
	sleep 1
	[ $(crash_lines) = $n ]
}

t_part_that_stands_first() {
	run_load first dead2:60,b%:400 a0:60,b%:400
	few_servers_end first
}

t_sound_beside_the_first() {
	sound_are_served first
}

# The last bad request was refused: its story names the part, and the runs that
# were lost with it.
t_explain_refused_part() {
	local id
	id=$(awk '$3 == 503 { print $2 }' "$DIR/bad-first" | tail -n 1)
	$BIN/mangoctl explain $id "$DIR"/proxy?.log "$DIR"/dispatcher?.log \
		>"$DIR/explained" || return 1
	cat "$DIR/explained"
	grep -q 'event=no_place .*feature=part fingerprint=0*dead2' \
		"$DIR/explained" &&
		[ $(grep -c 'event=run_lost .*parts=dead2' \
			"$DIR/explained") -ge 3 ] &&
		grep -q 'event=suspect feature=part .*refused=1' \
			"$DIR/explained"
}

# Guards against a part that crashes servers without end while dispatchers restart,
# each of which sees one crash: the entries remember theirs.
t_crashes_outlive_dispatchers() {
	local i
	for i in $(seq $((COUNTED_CRASHES + MAX_LATE_RUNS + 1))); do
		ID=bad-outlive-$i status_of $((1 + i % 4)) /fragile-once/$i/ok \
			-d "text $i" \
			-H "X-Mangohead-Prompt-Prefix: dead8:400,${RANDOM}e$i:50"
		kill_hard dispatcher1
		kill_hard dispatcher2
		start_dispatcher 1
		start_dispatcher 2
		sleep $DISPATCHER_START_S
	done
	times crashed outlive >"$DIR/crashed"
	echo " $(wc -l <"$DIR/crashed") crashed"
	[ -s "$DIR/crashed" ] &&
		[ $(wc -l <"$DIR/crashed") -le $COUNTED_CRASHES ]
}

# Ends the dispatchers, unless an earlier check has.
leave_entries_alone() {
	local i
	is_alive dispatcher1 || return 0
	kill_hard dispatcher1
	kill_hard dispatcher2
	for i in $MORE_PROXIES; do
		start_proxy $i
	done
	sleep $ALONE_S
}

# Guards against a part that each entry has to find for itself: without a
# dispatcher they have only the store to tell each other.
t_part_at_entries_alone() {
	leave_entries_alone
	run_load alone a0:60,dead3:400 a0:60,b%:400 "$PROXIES $MORE_PROXIES"
	few_servers_end alone
}

t_sound_at_entries_alone() {
	sound_are_served alone
}

# Guards against others that are not told of the bad part, as the records of many others
# leave it no room.
t_part_behind_many_at_entries_alone() {
	local earlier
	leave_entries_alone
	earlier=$(many_parts 200)
	run_load crowd "${earlier}a0:60,deada:400" "${earlier}a0:60,b%:400" \
		"$PROXIES $MORE_PROXIES"
	few_servers_end crowd && sound_are_served crowd
}

# Removes what a proxy told the others.
forget_told() { # N
	local key=proxy-$1 len
	len=${#key}
	printf "\\0\\0\\0\\x$(printf %x $((len + 1)))\\x$(printf %x $len)$key" |
		curl -sf --data-binary @- \
			"http://127.0.0.1:$STORE/log-append?topic=keyed.suspects&part=0"
}

# Guards against an entry that starts without a dispatcher and has to find the part
# again: what the others refuse stays in the store. Here only proxy 2 tells it, whose
# newest record is of another part.
t_entry_that_starts_alone() {
	local crashed i
	kill_hard proxy1
	for i in $PROXIES $MORE_PROXIES; do
		forget_told $i || return 1
	done
	send_parts 2 bad-other-2-1 a0:60,dead4:400
	sleep 1
	start_proxy 1
	wait_until 10 ready 1 || return 1
	sleep 1
	crashed=$(times crashed alone | wc -l)
	[ "$(status_of 1 /fragile/alone/ok -d text \
		-H 'X-Mangohead-Prompt-Prefix: a0:60,dead3:400,ff:50')" = 503 ] &&
		grep -q crashes_servers "$DIR/body" &&
		[ $(times crashed alone | wc -l) = $crashed ]
}

check "parts: a part in the middle ends few servers" t_part_in_the_middle
check "parts: sound requests are served beside it" t_sound_beside_the_middle
check "parts: a part behind many ends few servers" t_part_behind_many
check "parts: sound requests are served beside many" t_sound_beside_many
check "parts: requests with more than are kept are refused" \
	t_more_parts_than_are_kept
check "parts: two parts at once end few servers" t_two_parts_at_once
check "parts: sound requests are served beside the two" t_sound_beside_two_parts
check "parts: two parts at once are told to an end" t_nothing_more_is_told
check "parts: a part that stands first ends few servers" \
	t_part_that_stands_first
check "parts: sound requests are served beside the first one" \
	t_sound_beside_the_first
check "parts: explain tells of the part" t_explain_refused_part
check "parts: crashes outlive dispatchers" t_crashes_outlive_dispatchers
check "parts: entries alone lose few servers" t_part_at_entries_alone
check "parts: sound requests are served by entries alone" \
	t_sound_at_entries_alone
check "parts: entries alone find a part behind many" \
	t_part_behind_many_at_entries_alone
check "parts: an entry that starts alone knows the part" t_entry_that_starts_alone
touch "$DIR/stop"
wait $replacing
echo "$passed passed, $failed failed"
[ $failed = 0 ]
