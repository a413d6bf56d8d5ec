# Starts and stops a small site on loopback: the platform's stand-ins, entries,
# sides. Sourced by the demonstration and by the process tests.
# Ports: BASE is the store's; entry_port and side_port give the others.

BIN=${BIN:-build/bin}
BASE=${BASE:-17000}
DIR=$(mktemp -d)
LINK_KEY=$(printf '42%.0s' $(seq 32))
TOKEN=operator-token
HOSTS=""

# Start time of a process, in clock ticks since boot. Together with the pid it
# identifies the process, since the kernel may reuse the pid.
started_at() { # PID
	sed 's/.*) //' /proc/$1/stat 2>/dev/null | cut -d' ' -f20
}

is_ours() { # PID: whether this script started the process that has it now
	[ "$(started_at $1)" = \
		"$(awk -v p=$1 '$1 == p { t = $2 } END { print t }' "$DIR/pids")" ]
}

start() { # NAME COMMAND...: starts a process and writes $DIR/NAME.pid
	local name=$1
	shift
	"$@" >>"$DIR/$name.log" 2>&1 &
	echo $! >"$DIR/$name.pid"
	echo $! $(started_at $!) >>"$DIR/pids"
}

pid_of() {
	cat "$DIR/$1.pid"
}

is_alive() { # NAME
	grep -qs '^State:[[:space:]]*[^ZX[:space:]]' /proc/$(pid_of $1)/status
}

kill_hard() { # NAME: SIGKILL; returns after the exit, when the ports are free
	is_ours $(pid_of $1) || return 1
	kill -9 $(pid_of $1)
	tail --pid=$(pid_of $1) -f /dev/null
}

entry_port() { # N: port for clients; +1 operators, +2 links
	echo $((BASE + 100 + 10 * $1))
}

side_port() { # N: port for links; +1 metrics, +2 backend
	echo $((BASE + 500 + 10 * $1))
}

start_platform() {
	start store $BIN/standin-platform $BASE
}

write_entry() { # N
	local p
	p=$(entry_port $1)
	cat >"$DIR/entry$1.toml" <<-END
	host = "entry-$1"
	zone = "herning-hal"
	[listen]
	callers = "127.0.0.1:$p"
	admin = "127.0.0.1:$((p + 1))"
	links = "127.0.0.1:$((p + 2))"
	[platform]
	store = "127.0.0.1:$BASE"
	hosts_poll_ms = ${HOSTS_POLL_MS:-200}
	[admin]
	bootstrap_token_sha256 = "$(printf %s $TOKEN | sha256sum | cut -d' ' -f1)"
	[link]
	key = "$LINK_KEY"
	END
}

start_entry() { # N
	write_entry $1
	start entry$1 $BIN/mangohead-entry --config "$DIR/entry$1.toml"
}

add_entry() { # N: starts it and adds it to the host list
	start_entry $1
	add_host "entry-$1" $(($(entry_port $1) + 2)) entry
}

write_side() { # N POOL KIND MODELS SLOTS
	local p
	p=$(side_port $1)
	cat >"$DIR/side$1.toml" <<-END
	host = "server-$1"
	zone = "herning-hal"
	pool = "$2"
	models = [$4]
	[listen]
	links = "127.0.0.1:$p"
	metrics = "127.0.0.1:$((p + 1))"
	[platform]
	store = "127.0.0.1:$BASE"
	hosts_poll_ms = 200
	[backend]
	kind = "$3"
	url = "http://127.0.0.1:$((p + 2))"
	max_running = $5
	timeout_s = 20
	[link]
	key = "$LINK_KEY"
	END
}

start_side() { # N
	start side$1 $BIN/mangohead-side --config "$DIR/side$1.toml"
}

add_engine() { # N POOL MODELS SLOTS [engine options]
	local n=$1 pool=$2 models=$3 slots=$4
	shift 4
	start engine$n $BIN/standin-engine \
		--listen=127.0.0.1:$(($(side_port $n) + 2)) "$@"
	write_side $n $pool engine "$models" $slots
	start_side $n
	add_host "server-$n" $(side_port $n) server
}

add_service() { # N POOL SLOTS [service options]
	local n=$1 pool=$2 slots=$3
	shift 3
	start service$n $BIN/standin-service \
		--listen=127.0.0.1:$(($(side_port $n) + 2)) "$@"
	write_side $n $pool service "" $slots
	start_side $n
	add_host "server-$n" $(side_port $n) server
}

add_host() { # NAME PORT ROLE [STATE]
	HOSTS="$HOSTS
$1 $2 $3 ${4:-live}"
}

set_host_state() { # NAME STATE
	HOSTS=$(echo "$HOSTS" | sed "s/^\($1 .*\) [a-z]*\$/\1 $2/")
	publish_hosts
}

publish_hosts() {
	echo "$HOSTS" | awk 'BEGIN { printf "{\"hosts\":[" }
		NF { printf "%s{\"name\":\"%s\",\"address\":\"127.0.0.1:%s\"," \
			"\"role\":\"%s\",\"state\":\"%s\"}", n++ ? "," : "",
			$1, $2, $3, $4 }
		END { print "]}" }' |
		curl -sf --retry 20 --retry-connrefused --retry-delay 0 \
			--data-binary @- http://127.0.0.1:$BASE/test/hosts \
			>/dev/null
}

ctl() { # ENTRY COMMAND...
	local n=$1
	shift
	$BIN/mangoctl --server http://127.0.0.1:$(($(entry_port $n) + 1)) \
		--token $TOKEN "$@"
}

wait_until() { # SECONDS COMMAND...
	local end=$(($(date +%s) + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		if [ $(date +%s) -ge $end ]; then
			echo "timed out waiting for: $*" >&2
			return 1
		fi
		sleep 0.05
	done
}

entry_ready() { # N
	curl -sf http://127.0.0.1:$(entry_port $1)/readyz
}

servers_up() { # ENTRY COUNT
	[ "$(ctl $1 --json status | grep -c '"up": true')" -ge $2 ]
}

# UUIDv7 with the current time or a given one in Unix milliseconds.
uuid7() {
	local ms=${1:-$(date +%s%3N)} r
	r=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
	printf '%08x-%04x-7%s-8%s-%s\n' $((ms >> 16)) $((ms & 65535)) \
		${r:0:3} ${r:3:3} ${r:6:12}
}

store_control() { # JSON
	curl -sf --data-binary "$1" http://127.0.0.1:$BASE/test/store >/dev/null
}

stop_site() {
	local pid
	for pid in $(cut -d' ' -f1 "$DIR/pids"); do
		is_ours $pid || continue
		kill -CONT $pid 2>/dev/null
		kill -KILL $pid 2>/dev/null
	done
	wait 2>/dev/null
	[ -n "$KEEP_DIR" ] || rm -rf "$DIR"
}
trap stop_site EXIT
