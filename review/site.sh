# A small site on loopback: proxies and dispatchers, started with the commands of
# deploy/system.toml, relays in front of some of them, and the platform's
# stand-in. Sourced by the scripts of the cases, which set RECORD.

cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
DIR=$(mktemp -d)
TROUBLE=${TROUBLE:-1}
LINK_KEY=6d616e676f686561642d6c696e6b2d6b65792d6f662d7468652d736974652121
PIDS=""
: >"$RECORD"

note() { # TEXT...: a line of the record, with the time in ms
	echo "$(now_ms) $*" | tee -a "$RECORD"
}

now_ms() { # CLOCK_BOOTTIME
	awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime
}

skip() { # TEXT...: the case can't run
	note "can't run: $*"
	exit 2
}

stop_site() {
	exec 2>/dev/null # the shell reports each process that it ends
	local pid
	for pid in $PIDS; do
		kill -CONT $pid 2>/dev/null
		kill -KILL $pid 2>/dev/null
	done
	wait 2>/dev/null
	if [ -n "$KEEP_DIR" ]; then
		cp -r "$DIR" "$KEEP_DIR"
	fi
	rm -rf "$DIR"
}
trap stop_site EXIT
trap 'exit 2' HUP INT TERM

start() { # NAME COMMAND...
	local name=$1
	shift
	"$@" >>"$DIR/$name.log" 2>&1 &
	echo $! >"$DIR/$name.pid"
	PIDS="$PIDS $!"
}

pid_of() {
	cat "$DIR/$1.pid"
}

is_alive() { # NAME
	grep -qs '^State:[[:space:]]*[^ZX[:space:]]' /proc/$(pid_of $1)/status
}

# Chooses 400 ports in a row that nobody listens on, below those of outgoing connections
# and apart from those of the project's tests.
choose_ports() {
	local i hex busy
	for i in $(seq 50); do
		BASE=$((29000 + RANDOM % 3300))
		busy=0
		while read -r hex; do
			[ $((16#$hex)) -ge $BASE ] &&
				[ $((16#$hex)) -lt $((BASE + 400)) ] && busy=1
		done < <(awk '$4 == "0A" { sub(/.*:/, "", $2); print $2 }' \
			/proc/net/tcp)
		[ $busy = 0 ] && return
	done
	skip "no free ports"
}

proxy_port() { # N; +1 status
	echo $((BASE + 100 + 10 * $1))
}
dispatcher_port() { # N; +1 announced, +2 status
	echo $((BASE + 200 + 10 * $1))
}
# Each process reaches the store through a port of its own.
store_port_of() { # NAME
	cat "$DIR/$1.store" 2>/dev/null || echo $BASE
}

write_settings() { # NAME LINES
	cat >"$DIR/$1.toml" <<-END
	host = "$1"
	zone = "z"
	[listen]
	$2
	[platform]
	store = "127.0.0.1:$(store_port_of $1)"
	[bounds]
	retry_ratio = 0.2
	retry_extra = 56
	retry_window_s = 10
	quota_window_s = 8
	quota_excess = 0.1
	quota_slack = ${QUOTA_SLACK:-190000}
	grace_s = 8
	[link]
	key = "$LINK_KEY"
	END
}

# The commands of deploy/system.toml.
PROXY=$(sed -n 's/^run = "\(.*proxy\)"/\1/p' deploy/system.toml)
DISPATCHER=$(sed -n 's/^run = "\(.*dispatcher\)"/\1/p' deploy/system.toml)

start_proxy() { # N
	local p
	p=$(proxy_port $1)
	write_settings front-$1 "callers = \"127.0.0.1:$p\"
	status = \"127.0.0.1:$((p + 1))\""
	start front-$1 env MANGOHEAD_BOOT="$DIR/front-$1.toml" $PROXY
}

start_dispatcher() { # N [ANNOUNCED-PORT]
	local p
	p=$(dispatcher_port $1)
	write_settings side-$1 "links = \"127.0.0.1:$p\"
	announce = \"127.0.0.1:${2:-$p}\"
	status = \"127.0.0.1:$((p + 2))\""
	start side-$1 env MANGOHEAD_BOOT="$DIR/side-$1.toml" $DISPATCHER
}

# A call to the platform's stand-in.
platform() { # TARGET [FILE...]
	local target=$1
	shift
	target/review/call $BASE POST "/test/$target" "$@" >/dev/null
}

list_arrivals() {
	target/review/call $BASE GET /test/arrivals >"$DIR/arrivals" ||
		skip "no list of arrivals"
}

ready() { # N
	target/review/call $(($(proxy_port $1) + 1)) GET /ready >/dev/null
}

# Writes to the record what clients sent and got, and what reached servers.
record_traffic() {
	{
		echo "requests: sent, answered, id, status"
		cat "$DIR/load"
		echo "at the servers: time, server, id, run or status of a refusal"
		awk '{ print $1, $2, $3, $4 }' "$DIR/arrivals"
	} >>"$RECORD"
}

wait_until() { # SECONDS COMMAND...
	local end=$(($(date +%s) + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ $(date +%s) -ge $end ] && return 1
		sleep 0.1
	done
}
