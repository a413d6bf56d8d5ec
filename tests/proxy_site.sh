# Starts proxies, dispatchers and the platform's stand-in on loopback, and sends
# requests. Sourced by the tests of these programs, after site.sh.

STORE=$BASE
RETRY_WINDOW_S=2
server_port() { # N
	echo $((BASE + 10 + $1))
}
proxy_port() { # N; +1 status
	echo $((BASE + 100 + 10 * $1))
}
dispatcher_port() { # N; +1 status
	echo $((BASE + 200 + 10 * $1))
}

# Port of the store for a process; its own one if the test chose one.
store_port_of() { # NAME
	cat "$DIR/$1.store" 2>/dev/null || echo $STORE
}

# The store turns one process away, or serves it again.
store_refuses() { # NAME [503 | reset | silent]
	platform "refuse?port=$(store_port_of $1)&how=$2"
}

write_settings() { # KIND N ADDRESS-LINES
	cat >"$DIR/$1$2.toml" <<-END
	host = "$1-$2"
	zone = "z"
	[listen]
	$3
	[platform]
	store = "127.0.0.1:$(store_port_of $1-$2)"
	[bounds]
	retry_ratio = 0.2
	retry_extra = 50
	retry_window_s = $RETRY_WINDOW_S
	quota_window_s = 8
	quota_excess = 0.1
	quota_slack = ${QUOTA_SLACK:-40}
	grace_s = 8
	${HEDGING:-}
	[link]
	key = "$LINK_KEY"
	END
}

start_proxy() { # N
	local p
	p=$(proxy_port $1)
	write_settings proxy $1 "callers = \"127.0.0.1:$p\"
	status = \"127.0.0.1:$((p + 1))\""
	start proxy$1 $BIN/mangohead-proxy --config "$DIR/proxy$1.toml"
}

start_dispatcher() { # N
	local p
	p=$(dispatcher_port $1)
	write_settings dispatcher $1 "links = \"127.0.0.1:$p\"
	status = \"127.0.0.1:$((p + 1))\""
	start dispatcher$1 $BIN/mangohead-dispatcher \
		--config "$DIR/dispatcher$1.toml"
}

platform() { # TARGET CURL-ARGS...
	local target=$1
	shift
	curl -sf -X POST "$@" "http://127.0.0.1:$STORE/test/$target" >/dev/null
}

runs() {
	curl -sf "http://127.0.0.1:$STORE/test/runs"
}

config() { # VERSION [SED-EXPRESSION]: publishes a configuration
	sed "${2:-}" <<-END >"$DIR/config.json"
	{"version":$1,"routes":[
	{"name":"once","host":"h.example","path_prefix":"/once/",
	"route_type":"non_idempotent","timeout_ms":3000,
	"target_latency_ms":100,"priority":1,"service":"app",
	"max_attempts":1,"public":false},
	{"name":"again","host":"h.example","path_prefix":"/again/",
	"route_type":"idempotent","timeout_ms":3000,
	"target_latency_ms":100,"priority":1,"service":"app",
	"max_attempts":2,"public":false},
	{"name":"brief","host":"h.example","path_prefix":"/brief/",
	"route_type":"idempotent","timeout_ms":300,
	"target_latency_ms":100,"priority":1,"service":"app",
	"max_attempts":1,"public":false},
	{"name":"long","host":"h.example","path_prefix":"/long/",
	"route_type":"non_idempotent","timeout_ms":30000,
	"target_latency_ms":100,"priority":1,"service":"app",
	"max_attempts":1,"public":false},
	{"name":"gen","host":"h.example","path_prefix":"/gen/",
	"route_type":"stream","timeout_ms":5000,"target_latency_ms":400,
	"priority":0,"service":"app","max_attempts":1,"public":false,
	"sticky":true,"resumable":false,"target_gap_ms":250},
	{"name":"resume","host":"h.example","path_prefix":"/resume/",
	"route_type":"stream","timeout_ms":5000,"target_latency_ms":400,
	"priority":0,"service":"app","max_attempts":2,"public":false,
	"sticky":true,"resumable":true,"target_gap_ms":250},
	{"name":"fragile","host":"h.example","path_prefix":"/fragile/",
	"route_type":"idempotent","timeout_ms":3000,
	"target_latency_ms":100,"priority":1,"service":"fragile",
	"max_attempts":2,"public":false},
	{"name":"fragile-once","host":"h.example",
	"path_prefix":"/fragile-once/","route_type":"non_idempotent",
	"timeout_ms":3000,"target_latency_ms":100,"priority":1,
	"service":"fragile","max_attempts":1,"public":false},
	{"name":"wide","host":"h.example","path_prefix":"/wide/",
	"route_type":"non_idempotent","timeout_ms":5000,
	"target_latency_ms":100,"priority":1,"service":"wide",
	"max_attempts":1,"public":false},
	{"name":"resume-wide","host":"h.example",
	"path_prefix":"/resume-wide/","route_type":"stream",
	"timeout_ms":5000,"target_latency_ms":400,"priority":0,
	"service":"wide","max_attempts":2,"public":false,"sticky":true,
	"resumable":true,"target_gap_ms":250},
	{"name":"open","host":"h.example","path_prefix":"/open/",
	"route_type":"idempotent","timeout_ms":3000,
	"target_latency_ms":100,"priority":1,"service":"app",
	"max_attempts":2,"public":true}],
	"services":[{"name":"app","health_path":"/health",
	"max_connections":100},{"name":"fragile",
	"health_path":"/health","max_connections":100},{"name":"wide",
	"health_path":"/health","max_connections":400}],
	"limits":{"max_header_bytes":4096,"max_body_bytes":100000,
	"header_timeout_ms":1000,"idle_timeout_ms":3000},
	"tenants":[{"name":"acct","api_keys":["key-1","key-3"],"priority":1,
	"unit":"requests","rate_per_s":100000,"burst":100000},
	{"name":"small","api_keys":["key-2"],"priority":1,
	"unit":"requests","rate_per_s":2,"burst":4}]}
	END
	platform config --data-binary "@$DIR/config.json"
}

call() { # N PATH CURL-ARGS...
	local n=$1 path=$2
	shift 2
	curl -sS --max-time 10 -H "Host: ${HOST:-h.example}" \
		-H "Api-Key: ${KEY-key-1}" -H "X-Mangohead-Request-Id: ${ID:-id-$RANDOM$RANDOM}" \
		-H 'X-Mangohead-Deadline-Ms: 4000' "$@" \
		"http://127.0.0.1:$(proxy_port $n)$path"
}

status_of() { # N PATH CURL-ARGS...: prints the status of the response
	local n=$1 path=$2
	shift 2
	call $n "$path" -o "$DIR/body" -w '%{http_code}' "$@"
}

# Sends raw bytes on one connection and prints all that is received.
raw() { # N BYTES
	local fd
	exec {fd}<>/dev/tcp/127.0.0.1/$(proxy_port $1) || return 1
	printf "$2" >&$fd
	timeout 4 cat <&$fd
	exec {fd}>&-
}

ready() { # N
	curl -sf http://127.0.0.1:$(($(proxy_port $1) + 1))/ready
}

metric() { # N NAME
	curl -sf http://127.0.0.1:$(($(proxy_port $1) + 1))/metrics |
		awk -v n="mangohead_$2_total" '$1 == n { print $2 }'
}

# Prints the number of values in a histogram.
observed() { # N NAME LABEL
	curl -sf http://127.0.0.1:$(($(proxy_port $1) + 1))/metrics |
		awk -v n="mangohead_$2_count{" -v l="$3" \
			'index($1, n) == 1 && index($1, l) { s += $2 }
			END { print s + 0 }'
}

# Servers of the service "fragile" are processes of their own, which end as they
# run /crash.
start_fragile() { # N [ID]
	start fragile$1 $BIN/standin-platform 0 \
		$(server_port $((5 + $1))):${2:-c$1}:fragile:4
}

# Starts the ones again that have ended. A zombie has ended: its parent may be a
# shell that has gone.
revive_fragile() {
	local i
	sleep 0.5
	for i in 1 2 3; do
		is_alive fragile$i || start_fragile $i
	done
	sleep 0.2
}

crashes() { # REQUEST-ID-PART: servers that such requests ended
	cat "$DIR"/fragile?.log | grep -c "crashed .*id=$1"
}

# Replaces a server that has ended: its registration ends first.
replace_fragile() { # N GENERATION SECONDS
	local id=c$1-$2
	sleep 1
	platform "server?id=$(cat "$DIR/server$1")&state=gone"
	sleep $3
	echo $id >"$DIR/server$1"
	start_fragile $1 $id
	platform "register?id=$id&service=fragile&slots=4&port=$(server_port $((5 + $1)))"
}

# Replaces a server each time it ends, until $DIR/stop exists. $DIR/serverN has its
# identifier.
keep_replacing() { # N SECONDS-WITHOUT-REGISTRATION
	local generation=0
	while [ -d "$DIR" ] && [ ! -e "$DIR/stop" ]; do
		if ! is_alive fragile$1; then
			generation=$((generation + 1))
			replace_fragile $1 $generation $2
		fi
		sleep 0.05
	done
}
