# Case 8: requests with a part of their prompts that crashes servers, beside
# sound ones that share their key and their other parts. Sourced from a run.sh, which
# sets N_PARTS, POSITION, BEGIN_MS and BAD_BEGIN_MS (after which servers begin to write
# the answers of sound requests and of those), SOUND_GAP_S, DEADLINE_MS and BEFORE_S.

SERVERS="1 2 3 4 5 6"
LOAD_S=30
BACK_S=3 # a server that has crashed is back after that
BAD_GAP_S=${BAD_GAP_S:-0.4}
# The pages. BUDGET: at most three requests with such a part reach servers later than
# stable_window_ms after the fifth crash. LOST: from twice that time after it on
# (after the last one if there are fewer), while such requests come, sound ones begin
# at least half as often as before; 20 or more of each.
STABLE_MS=3000
MAX_LATE=3
MIN_COUNT=20

check_programs
pick_ports

config() {
	cat <<-END
	{"version":10,"routes":[{"name":"draft","host":"h.example",
	"path_prefix":"/draft/","route_type":"idempotent","timeout_ms":$DEADLINE_MS,
	"target_latency_ms":400,"priority":1,"service":"model",
	"max_attempts":2,"public":false,"sticky":true}],
	"services":[{"name":"model","health_path":"/health",
	"max_connections":100}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":100000,
	"header_timeout_ms":1000,"idle_timeout_ms":5000},
	"tenants":[{"name":"acct","api_keys":["key-1"],"priority":1}]}
	END
}

start_server() { # N
	start server$1 $PROMPT_SERVER $(server_port $1) c$1 $BEGIN_MS \
		$BAD_BEGIN_MS
}

restart_server() { # N
	local i
	for i in $(seq $((10 * BACK_S))); do
		[ -d "$DIR" ] && [ ! -e "$DIR/stop" ] || return
		sleep 0.1
	done
	start_server $1
	rm -f "$DIR/down$1"
}

# Starts servers again that have ended, under their identifiers.
keep_servers() {
	local n
	while [ ! -e "$DIR/stop" ]; do
		for n in $SERVERS; do
			if ! kill -0 "$(pid_of server$n)" 2>/dev/null &&
				[ ! -e "$DIR/down$n" ]; then
				touch "$DIR/down$n"
				restart_server $n &
			fi
		done
		sleep 0.05
	done
}

# The shared parts, then the request's own one. Those that are not special are the same
# for all, or with CONVERSATIONS=1 for the requests of one conversation: number N of
# either kind.
prefix() { # SPECIAL-PART OWN-PART N
	local i conversation=0
	[ -z "$CONVERSATIONS" ] || conversation=$3
	for i in $(seq $N_PARTS); do
		if [ $i = $POSITION ]; then
			printf '%s:40,' "$1"
		else
			printf 'a%04x%02x:40,' $conversation $i
		fi
	done
	printf '%s:50' "$2"
}

send() { # NAME N SPECIAL-PART
	local proxy=$((1 + $2 % 2)) id=$1-$2 status sent
	sent=$(now_ms)
	local path=/draft/$id
	status=$(curl -s --max-time 12 -o /dev/null -w '%{http_code}' \
		-H 'Host: h.example' -H 'Api-Key: key-1' \
		-H "X-Mangohead-Request-Id: $id" \
		-H "X-Mangohead-Deadline-Ms: $DEADLINE_MS" \
		-H 'X-Mangohead-Model: m' -H 'X-Mangohead-Token-Usage: 1650,20' \
		-H "X-Mangohead-Prompt-Prefix: $(prefix $3 ee$(printf %04x $2) $2)" \
		-d "text of $id" \
		"http://127.0.0.1:$(proxy_port $proxy)$path")
	note "answer $id $status sent=$sent"
}

load() { # NAME INTERVAL-S SPECIAL-PART SECONDS
	local n=0 end=$(($(now_ms) + $4 * 1000))
	while [ "$(now_ms)" -lt $end ]; do
		n=$((n + 1))
		send $1 $n "$3" &
		sleep $2
	done
	wait
}

start platform $STANDINS/standin-platform $BASE \
	$(for n in $SERVERS; do echo "0:c$n:model:4:$(server_port $n)"; done)
for n in $SERVERS; do
	start_server $n
done
wait_until 5 platform config --data-binary "$(config)" ||
	finish 2 "the platform's stand-in does not start"
start_dispatcher 1
start_dispatcher 2
start_proxy 1 "1 2"
start_proxy 2 "1 2"
wait_until 10 is_ready 1 && wait_until 10 is_ready 2 ||
	finish 2 "proxies are not ready"
sleep 4 # all machines are in touch
keep_servers &
PIDS="$PIDS $!"

# The stand-in's servers crash as they begin to answer a request with a part that
# begins with "dead".
part=dead1
[ "$TROUBLE" != 0 ] || part=beef1
note "trouble=$TROUBLE parts=$N_PARTS position=$POSITION special=$part"
(load before $SOUND_GAP_S b0b0 $BEFORE_S)
load bad $BAD_GAP_S $part $LOAD_S &
bad=$!
load sound $SOUND_GAP_S b0b0 $LOAD_S &
sound=$!
wait $bad $sound

grep '' /dev/null "$DIR"/server*.log | sed "s#^$DIR/##; s#.log:# #" >>"$RECORD"
sed -n 's/^crashed id=bad-.* at_ms=//p' "$DIR"/server*.log | sort -n \
	>"$DIR/crashed"
sed -n 's/^reached id=bad-.* at_ms=//p' "$DIR"/server*.log | sort -n \
	>"$DIR/reached"
crashes=$(wc -l <"$DIR/crashed")
fifth=$(head -n 5 "$DIR/crashed" | tail -n 1)
late=0
[ "$crashes" -lt 5 ] ||
	late=$(awk -v from=$((fifth + STABLE_MS)) '$1 > from { n++ }
		END { print n + 0 }' "$DIR/reached")
# Prints how many requests of a name were sent later than a time, and how many of
# them a server began to answer.
count() { # NAME SINCE-MS
	cat "$DIR"/server*.log | awk -v name=$1 -v since=$2 '
		NR == FNR { if ($1 == "began") began[substr($2, 4)] = 1; next }
		$2 == "answer" && index($3, name "-") == 1 {
			split($5, sent, "=")
			if (sent[2] > since) { n++; ok += $3 in began }
		}
		END { print n + 0, ok + 0 }' - "$RECORD"
}
read -r n_before ok_before <<<"$(count before 0)"
read -r n_after ok_after <<<"$(count sound $((${fifth:-0} + 2 * STABLE_MS)))"
result="crashes=$crashes late=$late (at most $MAX_LATE) sound begun before: \
$ok_before of $n_before, from 6 s after: $ok_after of $n_after"
[ "$late" -le $MAX_LATE ] || finish 1 "BUDGET broken: $result"
[ "$n_before" -ge $MIN_COUNT ] && [ "$n_after" -ge $MIN_COUNT ] ||
	finish 2 "too few sound requests: $result"
[ $((2 * ok_after * n_before)) -ge $((ok_before * n_after)) ] ||
	finish 1 "LOST broken: $result"
finish 0 "held: $result"
