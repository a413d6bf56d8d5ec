#!/bin/bash
# Tests of the real processes with crowds of hostile clients: each process lives,
# stays within the memory and the descriptors that its settings state, and answers
# an ordinary request while the crowd's connections are open, or just after.
# Each check runs one crowd after the other, at each kind of path.
# Usage: [FIGURES=file] test_hostile_clients.sh [NAME-PART]; the figures of each
# crowd are appended to the file.
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-29000}
. tests/site.sh
. tests/proxy_site.sh
. tests/checks.sh

# Of each process, in 1,000,000 bytes and descriptors: the bounds that are checked.
MEMORY_MB=64
MAX_FDS=256
# Connections of a crowd: together they send three times that memory.
CROWD=48
# And one that has more connections than a process may have descriptors.
CROWD_CONNECTIONS=300
MAX_HEAD=16384
MAX_BODY=4194304
# One-byte chunks take six bytes each on the wire; a tenth of the body is enough
# for as many chunks as a client could send in a second.
MAX_BYTE_CHUNKS=400000
MAX_FRAME=4194304
# Number of the entry, whose ports must not be those of a proxy.
ENTRY=30
# Sanitizers make processes larger.
SLACK=${SLACK:-1}
MAX_PEAK_KB=$((MEMORY_MB * 1000 * SLACK * 1000 / 1024))

# Appends settings that older programs do not know. These run without them, and
# have to keep the bounds all the same.
add_limits() { # PROGRAM FILE
	cp "$2" "$2.plain"
	cat >>"$2" <<-END
	[machine]
	memory_mb = $MEMORY_MB
	max_fds = $MAX_FDS
	END
	if ! $BIN/$1 --check --config "$2" >"$DIR/settings.log" 2>&1; then
		echo "without [machine]: $(head -n 1 "$DIR/settings.log")"
		mv "$2.plain" "$2"
	fi
}

start_limited_proxy() {
	local p
	p=$(proxy_port 1)
	write_settings proxy 1 "callers = \"127.0.0.1:$p\"
	status = \"127.0.0.1:$((p + 1))\""
	add_limits mangohead-proxy "$DIR/proxy1.toml"
	start proxy1 $BIN/mangohead-proxy --config "$DIR/proxy1.toml"
	wait_until 10 ready 1
}

start_limited_dispatcher() {
	local p
	p=$(dispatcher_port 1)
	write_settings dispatcher 1 "links = \"127.0.0.1:$p\"
	status = \"127.0.0.1:$((p + 1))\""
	echo "max_frame_bytes = $MAX_FRAME" >>"$DIR/dispatcher1.toml"
	add_limits mangohead-dispatcher "$DIR/dispatcher1.toml"
	start dispatcher1 $BIN/mangohead-dispatcher \
		--config "$DIR/dispatcher1.toml"
	wait_until 10 answers_at $((p + 1)) /metrics
}

start_limited_entry() {
	write_entry $ENTRY
	echo "max_frame_bytes = $MAX_FRAME" >>"$DIR/entry$ENTRY.toml"
	add_limits mangohead-entry "$DIR/entry$ENTRY.toml"
	start entry$ENTRY $BIN/mangohead-entry --config "$DIR/entry$ENTRY.toml"
	wait_until 10 answers_at $(entry_port $ENTRY) /healthz
}

start_limited_side() {
	write_side 1 app service "" 4
	echo "max_frame_bytes = $MAX_FRAME" >>"$DIR/side1.toml"
	add_limits mangohead-side "$DIR/side1.toml"
	start side1 $BIN/mangohead-side --config "$DIR/side1.toml"
	wait_until 10 answers_at $(($(side_port 1) + 1)) /metrics
}

answers_at() { # PORT PATH
	curl -sf -m 3 -o /dev/null http://127.0.0.1:$1$2
}

# Return: whether the process answers an ordinary request.
serves() { # NAME
	case $1 in
	proxy1) [ "$(status_of 1 /open/ok -m 3)" = 200 ] ;;
	dispatcher1) [ "$(status_of 1 /open/ok -m 3)" = 200 ] ;;
	entry*) answers_at $(entry_port $ENTRY) /healthz ;;
	side1) answers_at $(($(side_port 1) + 1)) /metrics ;;
	esac
}

peak_kb() { # NAME
	awk '/^VmHWM/ { print $2 }' /proc/$(pid_of $1)/status
}

count_fds() { # NAME
	ls /proc/$(pid_of $1)/fd 2>/dev/null | wc -l
}

# A process that failed a check would fail all later ones with its peak.
renew() { # NAME
	kill_hard $1
	start_limited_${1%%[0-9]*} && wait_until 10 serves $1
}

# Runs one crowd against a process.
# Return: whether it kept its bounds and answered an ordinary request.
crowd() { # NAME PORT KIND CONNECTIONS ARGS...
	local name=$1 port=$2 kind=$3 n=$4 pid fds=0 now peak served=yes alive=yes
	shift 4
	is_alive $name || renew $name || return 1
	echo 5 >/proc/$(pid_of $name)/clear_refs
	: >"$DIR/crowd"
	$BIN/hostile-clients --address=127.0.0.1:$port --kind=$kind \
		--connections=$n --head-bytes=$MAX_HEAD "$@" \
		--hold-ms=30000 >"$DIR/crowd" &
	pid=$!
	while [ -d /proc/$pid ] && ! grep -q sent "$DIR/crowd"; do
		now=$(count_fds $name)
		[ $now -le $fds ] || fds=$now
		sleep 0.02
	done
	sleep ${SETTLE_S:-0.1}
	now=$(count_fds $name)
	[ $now -le $fds ] || fds=$now
	# A status address may have no room for further connections meanwhile.
	[ $port = $(port_of $name) ] && { serves $name || served="no, beside"; }
	kill $pid
	wait $pid 2>/dev/null
	wait_until 10 serves $name || served="no, after"
	is_alive $name || alive=no
	peak=$(peak_kb $name)
	echo "$name $kind $* at $port: $n connections, peak $peak KB," \
		"$fds descriptors, alive $alive, serves $served" |
		tee -a "${FIGURES:-/dev/null}"
	[ $alive = yes ] && [ "$served" = yes ] && [ $peak -le $MAX_PEAK_KB ] &&
		[ $fds -le $MAX_FDS ] && return 0
	renew $name
	return 1
}

port_of() { # NAME: the address at which ordinary requests are checked
	case $1 in
	proxy1) proxy_port 1 ;;
	dispatcher1) dispatcher_port 1 ;;
	entry*) entry_port $ENTRY ;;
	side1) side_port 1 ;;
	esac
}

# Runs crowds of one kind at the proxy: at a path with a route, one without, with
# an unknown key, and at the status and metrics paths.
proxy_crowds() { # KIND CONNECTIONS ARGS...
	local p result=0
	p=$(proxy_port 1)
	crowd proxy1 $p "$@" --path=/once/ok || result=1
	crowd proxy1 $p "$@" --path=/elsewhere || result=1
	crowd proxy1 $p "$@" --path=/once/ok --key=unknown || result=1
	crowd proxy1 $((p + 1)) "$@" --path=/ready || result=1
	crowd proxy1 $((p + 1)) "$@" --path=/metrics || result=1
	return $result
}

entry_crowds() { # KIND CONNECTIONS ARGS...
	local p result=0
	p=$(entry_port $ENTRY)
	crowd entry$ENTRY $p "$@" --path=/v1/pools/app/run || result=1
	crowd entry$ENTRY $p "$@" --path=/metrics || result=1
	crowd entry$ENTRY $((p + 1)) "$@" --path=/admin/v1/publish || result=1
	crowd entry$ENTRY $((p + 1)) "$@" --path=/metrics || result=1
	return $result
}

# Runs the kinds of crowds that are checked at entry, in one check each.
crowds_of_bodies() { # PROGRAM
	$1_crowds body $CROWD --body-bytes=$MAX_BODY
}
crowds_of_pieces() {
	$1_crowds pieces $CROWD --body-bytes=$MAX_BODY
}
crowds_of_chunks() {
	$1_crowds chunks $CROWD --body-bytes=$MAX_BODY
}
crowds_of_bytes() {
	$1_crowds byte-chunks $CROWD --body-bytes=$MAX_BYTE_CHUNKS
}
crowds_over_the_limit() {
	local result=0
	$1_crowds over $CROWD --body-bytes=$MAX_BODY || result=1
	$1_crowds over-chunks $CROWD --body-bytes=$MAX_BODY || result=1
	return $result
}
crowds_of_fields() {
	local result=0
	$1_crowds fields $CROWD || result=1
	$1_crowds open-head $CROWD || result=1
	return $result
}
crowds_of_extensions() {
	local result=0
	$1_crowds extension $CROWD --body-bytes=$MAX_BODY || result=1
	$1_crowds trailer $CROWD --body-bytes=$MAX_BODY || result=1
	return $result
}
crowds_of_pipelines() {
	local result=0
	$1_crowds pipeline $CROWD || result=1
	$1_crowds short-pipeline $CROWD || result=1
	return $result
}
crowds_that_are_slow() {
	local result=0
	$1_crowds slow-head $CROWD || result=1
	$1_crowds slow-body $CROWD --body-bytes=$MAX_BODY || result=1
	return $result
}
crowds_that_say_nothing() {
	$1_crowds silent $CROWD_CONNECTIONS
}

# Guards against bodies that are bounded one by one only: sixty of 4 MiB less a
# byte needed 331 to 406 MiB.
t_proxy_bodies() { crowds_of_bodies proxy; }
t_proxy_pieces() { crowds_of_pieces proxy; }
t_proxy_chunks() { crowds_of_chunks proxy; }
t_proxy_bytes() { crowds_of_bytes proxy; }
# Guards against the rest of a rejected body that is kept.
t_proxy_over() { crowds_over_the_limit proxy; }
# Guards against heads whose fields are kept or searched without bound.
t_proxy_fields() { crowds_of_fields proxy; }
t_proxy_extensions() { crowds_of_extensions proxy; }
# Guards against requests that are handled within each other, and responses that
# are kept for a client that does not read them.
t_proxy_pipelines() { crowds_of_pipelines proxy; }
t_proxy_slow() { crowds_that_are_slow proxy; }
# Guards against connections that use up the descriptors.
t_proxy_silent() { crowds_that_say_nothing proxy; }
# Guards against whole requests that are bounded one by one only, and against a
# second copy of their bodies for the server.
t_proxy_whole() {
	SETTLE_S=1 crowd proxy1 $(proxy_port 1) whole $CROWD --path=/wide/hold \
		--body-bytes=$MAX_BODY
}

# Guards against responses that are kept for clients that do not read.
t_proxy_unread() {
	SETTLE_S=1 crowd proxy1 $(proxy_port 1) unread $CROWD \
		--path=/wide/endlesslarge
}
t_entry_bodies() { crowds_of_bodies entry; }
t_entry_pieces() { crowds_of_pieces entry; }
t_entry_chunks() { crowds_of_chunks entry; }
t_entry_bytes() { crowds_of_bytes entry; }
t_entry_over() { crowds_over_the_limit entry; }
t_entry_fields() { crowds_of_fields entry; }
t_entry_extensions() { crowds_of_extensions entry; }
t_entry_pipelines() { crowds_of_pipelines entry; }
t_entry_slow() { crowds_that_are_slow entry; }
t_entry_silent() { crowds_that_say_nothing entry; }

# Guards against peers that are not authenticated and have frames of theirs kept, or
# use up the descriptors.
link_crowds() { # NAME LINK-PORT STATUS-PORT
	local result=0
	crowd $1 $2 noise $CROWD --body-bytes=$MAX_FRAME || result=1
	crowd $1 $2 large-frame $CROWD --body-bytes=$MAX_FRAME || result=1
	crowd $1 $2 open-frame $CROWD --body-bytes=$MAX_FRAME || result=1
	crowd $1 $2 silent $CROWD_CONNECTIONS || result=1
	crowd $1 $3 silent $CROWD_CONNECTIONS --path=/metrics || result=1
	crowd $1 $3 body $CROWD --path=/metrics --body-bytes=$MAX_BODY || result=1
	return $result
}
t_dispatcher_links() {
	link_crowds dispatcher1 $(dispatcher_port 1) $(($(dispatcher_port 1) + 1))
}
t_side_links() {
	link_crowds side1 $(side_port 1) $(($(side_port 1) + 1))
}
t_entry_links() {
	local p result=0
	p=$(($(entry_port $ENTRY) + 2))
	crowd entry$ENTRY $p open-frame $CROWD --body-bytes=$MAX_FRAME || result=1
	crowd entry$ENTRY $p silent $CROWD_CONNECTIONS || result=1
	return $result
}

# Guards against limits so low that a request within the limits is not served: a
# whole body of the largest size on the smallest host of the users.
t_largest_request() {
	local status peak
	kill_hard proxy1
	MEMORY_MB=160 MAX_FDS=4100 start_limited_proxy || return 1
	head -c $MAX_BODY /dev/zero >"$DIR/largest"
	status=$(status_of 1 /once/ok --data-binary "@$DIR/largest" \
		-H "X-Long: $(head -c 15000 /dev/zero | tr '\0' x)")
	peak=$(peak_kb proxy1)
	echo "status $status, peak $peak KB"
	# The other checks need the proxy with their own settings.
	renew proxy1
	[ "$status" = 200 ] && [ $peak -le $((160 * 1000 * SLACK * 1000 / 1024)) ]
}

start platform $BIN/standin-platform $STORE \
	$(server_port 1):s1:app:4 $(server_port 2):s2:app:4 \
	$(server_port 3):s3:app:4 $(server_port 4):w1:wide:100
# The configuration's limits are those of the users' sites.
wait_until 5 config 10 "s/\"max_header_bytes\":[0-9]*/\"max_header_bytes\":$MAX_HEAD/
	s/\"max_body_bytes\":[0-9]*/\"max_body_bytes\":$MAX_BODY/
	s/\"header_timeout_ms\":[0-9]*/\"header_timeout_ms\":3000/
	s/\"idle_timeout_ms\":[0-9]*/\"idle_timeout_ms\":15000/" || exit 1
start_limited_dispatcher || exit 1
start_limited_proxy || exit 1
start_limited_entry || exit 1
start_limited_side || exit 1

check "hostile: the largest request is served" t_largest_request
check "hostile: bodies at the proxy" t_proxy_bodies
check "hostile: bodies in pieces at the proxy" t_proxy_pieces
check "hostile: bodies in chunks at the proxy" t_proxy_chunks
check "hostile: bodies in chunks of a byte at the proxy" t_proxy_bytes
check "hostile: bodies over the limit at the proxy" t_proxy_over
check "hostile: heads of short fields at the proxy" t_proxy_fields
check "hostile: chunk extensions and trailers at the proxy" t_proxy_extensions
check "hostile: pipelined requests at the proxy" t_proxy_pipelines
check "hostile: slow clients at the proxy" t_proxy_slow
check "hostile: silent clients at the proxy" t_proxy_silent
check "hostile: whole bodies at the proxy" t_proxy_whole
check "hostile: unread responses at the proxy" t_proxy_unread
check "hostile: bodies at the entry" t_entry_bodies
check "hostile: bodies in pieces at the entry" t_entry_pieces
check "hostile: bodies in chunks at the entry" t_entry_chunks
check "hostile: bodies in chunks of a byte at the entry" t_entry_bytes
check "hostile: bodies over the limit at the entry" t_entry_over
check "hostile: heads of short fields at the entry" t_entry_fields
check "hostile: chunk extensions and trailers at the entry" t_entry_extensions
check "hostile: pipelined requests at the entry" t_entry_pipelines
check "hostile: slow clients at the entry" t_entry_slow
check "hostile: silent clients at the entry" t_entry_silent
check "hostile: links of the dispatcher" t_dispatcher_links
check "hostile: links of the side" t_side_links
check "hostile: links of the entry" t_entry_links
echo "$passed passed, $failed failed"
[ $failed = 0 ]
