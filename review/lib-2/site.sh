# A small site on loopback: the platform's stand-in, a dispatcher and a proxy, with
# the commands of deploy/system.toml and the settings of its templates. Sourced by
# the run.sh of a case, in the root of the repository.

OUT=build/review-2
DIR=$(mktemp -d)
PIDS=""
mapfile -t PORTS < <($OUT/free_ports 20)
[ ${#PORTS[@]} = 20 ] || exit 2
STORE_PORT=${PORTS[0]}
# By the number of the process, from 1 on.
PROXY_PORTS=(0 ${PORTS[1]} ${PORTS[2]})
PROXY_STATUS_PORTS=(0 ${PORTS[3]} ${PORTS[4]})
METRICS_PORTS=(0 ${PORTS[5]} ${PORTS[6]})
LINK_PORTS=(0 ${PORTS[7]} ${PORTS[8]})
DISPATCHER_STATUS_PORTS=(0 ${PORTS[9]} ${PORTS[10]})
SERVER_PORTS=(${PORTS[@]:11})
SEEDS="\"127.0.0.1:${LINK_PORTS[1]}\", \"127.0.0.1:${LINK_PORTS[2]}\""

stop_all() {
	local pid
	for pid in $PIDS; do
		kill -CONT "$pid" 2>/dev/null
		kill -9 "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	rm -rf "$DIR"
}
trap stop_all EXIT

start() { # NAME COMMAND...: sets PID
	local name=$1
	shift
	"$@" >"$DIR/$name.log" 2>&1 &
	PID=$!
	PIDS="$PIDS $PID"
}

common_settings() {
	cat <<-END
	[platform]
	store = "127.0.0.1:$STORE_PORT"
	[bounds]
	retry_ratio = 0.2
	retry_extra = 56
	retry_window_s = 10
	quota_window_s = 8
	quota_excess = 0.1
	quota_slack = 190000
	grace_s = 8
	$MORE_BOUNDS
	[policy]
	length_aware_placement = true
	latest_start_percentile = 90
	[link]
	key = "6d616e676f686561642d6c696e6b2d6b65792d6f662d7468652d736974652121"
	END
}

start_store() { # SERVER...
	start store build/bin/standin-platform $STORE_PORT "$@"
}

start_dispatcher() { # [N]
	local n=${1:-1}
	{
		cat <<-END
		host = "side-$n"
		zone = "z"
		[listen]
		links = "127.0.0.1:${LINK_PORTS[n]}"
		status = "127.0.0.1:${DISPATCHER_STATUS_PORTS[n]}"
		END
		common_settings
	} >"$DIR/dispatcher$n.toml"
	MANGOHEAD_BOOT=$DIR/dispatcher$n.toml \
		start dispatcher$n target/bin/mangohead-dispatcher
}

start_proxy() { # [N]
	local n=${1:-1}
	{
		cat <<-END
		host = "front-$n"
		zone = "z"
		[listen]
		callers = "127.0.0.1:${PROXY_PORTS[n]}"
		status = "127.0.0.1:${PROXY_STATUS_PORTS[n]}"
		metrics = "127.0.0.1:${METRICS_PORTS[n]}"
		[dispatchers]
		seeds = [$SEEDS]
		[machine]
		memory_mb = 260
		max_fds = 4100
		END
		common_settings
	} >"$DIR/proxy$n.toml"
	MANGOHEAD_BOOT=$DIR/proxy$n.toml \
		start proxy$n target/bin/mangohead-proxy
}

# One dispatcher and one proxy.
start_site() {
	start_store
	sleep 0.5
	start_dispatcher
	start_proxy
	sleep 1
}
