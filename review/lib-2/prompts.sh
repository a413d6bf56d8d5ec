# A small deployment on loopback addresses, for case 8. Sourced from the run.sh of
# a case, in the root of the repository; it sets RECORD and TROUBLE. Programs are those of
# the deploy file (target/bin); stand-ins are built by ../build-2.sh.

PROGRAMS=target/bin
STANDINS=build/bin
PROMPT_SERVER=build/review-2/prompt_server
DIR=$(mktemp -d) || exit 2
PIDS=""

note() { # TEXT: a line of the record, with the time in ms
	echo "$(now_ms) $*" >>"$RECORD"
}

now_ms() { # as the stand-ins, which use the same clock
	awk '{ printf "%d", $1 * 1000 }' /proc/uptime
}

finish() { # EXIT-CODE TEXT
	note "$2"
	echo "$2"
	exit "$1"
}

cleanup() {
	local pid
	touch "$DIR/stop"
	for pid in $PIDS $(cat "$DIR"/*.pid 2>/dev/null); do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$DIR"
}
trap cleanup EXIT

port_is_free() {
	! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

pick_ports() { # finds a range of free ports, below those of clients
	local try p
	for try in $(seq 50); do
		BASE=$((10000 + RANDOM % 59 * 100))
		for p in $(seq 0 99); do
			port_is_free $((BASE + p)) || continue 2
		done
		return
	done
	finish 2 "no free ports"
}

start() { # NAME COMMAND...
	local name=$1
	shift
	"$@" >>"$DIR/$name.log" 2>&1 &
	echo $! >"$DIR/$name.pid"
	disown $!
}

pid_of() {
	cat "$DIR/$1.pid"
}

kill_now() { # NAME...: SIGKILL, returns after the ends
	local name
	for name in "$@"; do
		kill -KILL "$(pid_of $name)" 2>/dev/null
	done
	for name in "$@"; do
		tail --pid="$(pid_of $name)" -f /dev/null
	done
}

server_port() { echo $((BASE + 10 + $1)); }
proxy_port() { echo $((BASE + 50 + 2 * $1)); }   # +1: ready
dispatcher_port() { echo $((BASE + 70 + 2 * $1)); } # +1: status

# Settings as the deploy file's templates have them, with the bounds of the sites.
bounds() {
	cat <<-END
	[bounds]
	retry_ratio = 0.2
	retry_extra = ${RETRY_EXTRA:-56}
	retry_window_s = 10
	quota_window_s = 8
	quota_excess = 0.1
	quota_slack = ${QUOTA_SLACK:-190000}
	grace_s = 8
	[policy]
	length_aware_placement = true
	latest_start_percentile = 90
	[link]
	key = "6d616e676f686561642d6c696e6b2d6b65792d6f662d7468652d736974652121"
	END
}

start_proxy() { # N SEED-DISPATCHERS
	local n=$1 p seeds
	p=$(proxy_port $n)
	seeds=$(for d in ${2:-1}; do
		printf '"127.0.0.1:%d",' "$(dispatcher_port $d)"
	done)
	cat >"$DIR/proxy$n.toml" <<-END
	host = "front-$n"
	zone = "z"
	[listen]
	callers = "127.0.0.1:$p"
	status = "127.0.0.1:$((p + 1))"
	[dispatchers]
	seeds = [${seeds%,}]
	[platform]
	store = "127.0.0.1:$BASE"
	[machine]
	memory_mb = 260
	max_fds = 4100
	$(bounds)
	END
	start proxy$n env MANGOHEAD_BOOT="$DIR/proxy$n.toml" \
		$PROGRAMS/mangohead-proxy
}

start_dispatcher() { # N
	local n=$1 p
	p=$(dispatcher_port $n)
	cat >"$DIR/dispatcher$n.toml" <<-END
	host = "side-$n"
	zone = "z"
	[listen]
	links = "127.0.0.1:$p"
	status = "127.0.0.1:$((p + 1))"
	[platform]
	store = "127.0.0.1:$BASE"
	$(bounds)
	END
	start dispatcher$n env MANGOHEAD_BOOT="$DIR/dispatcher$n.toml" \
		$PROGRAMS/mangohead-dispatcher
}

platform() { # TARGET CURL-ARGS...
	local target=$1
	shift
	curl -sf --max-time 5 -X POST "$@" \
		"http://127.0.0.1:$BASE/test/$target" >/dev/null
}

wait_until() { # SECONDS COMMAND...
	local end=$(($(now_ms) + $1 * 1000))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$(now_ms)" -lt $end ] || return 1
		sleep 0.05
	done
}

is_ready() { # N
	curl -sf --max-time 1 "http://127.0.0.1:$(($(proxy_port $1) + 1))/ready"
}

check_programs() {
	local p
	for p in $PROGRAMS/mangohead-proxy $PROGRAMS/mangohead-dispatcher \
		$STANDINS/standin-platform $PROMPT_SERVER; do
		[ -x $p ] || finish 2 "not built: $p"
	done
}
