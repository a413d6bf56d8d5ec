#!/bin/bash
# Runs the entry and side processes, built with the thread sanitizer, with
# calls, streams, a client that disconnects, configuration changes and a drain.
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-20000}
STANDINS=build/bin
BIN=build-tsan/bin
mkdir -p $BIN
cp $STANDINS/standin-* $STANDINS/loadgen $STANDINS/mangoctl $BIN/
. tests/site.sh
export TSAN_OPTIONS="suppressions=$PWD/tests/tsan.supp"

completion() { # TEXT TOKENS CURL-ARGS...
	local text=$1 tokens=$2
	shift 2
	curl -sN -o /dev/null -H 'Authorization: Bearer kontor-key' "$@" \
		http://127.0.0.1:$(entry_port 1)/v1/completions -d '{"model":
		"lam-stor", "prompt": "'$text'", "stream": true,
		"max_tokens": '$tokens'}'
}

start_platform
add_entry 1
add_entry 2
add_engine 1 sprogmodel '"lam-stor"' 16 --step_ms=3
add_service 3 medlemsportal 16
publish_hosts
wait_until 20 ctl 1 status || exit 1
ctl 1 publish examples/vestjylland.toml || exit 1
wait_until 20 entry_ready 1 && wait_until 20 servers_up 1 2 || exit 1
$BIN/loadgen --address=127.0.0.1:$(entry_port 1) --threads=8 --seconds=3 \
	--path=/svc/medlemsportal/price --key=medlem-key
pids=""
for i in 1 2 3 4 5 6; do
	completion "stream $i" 200 &
	pids="$pids $!"
done
completion "leaves" 2000 -m 0.3
for i in 1 2 3; do
	ctl 1 publish examples/vestjylland.toml
done
wait $pids
for name in entry1 entry2 side1 side3; do
	kill -TERM $(pid_of $name)
	tail --pid=$(pid_of $name) -f /dev/null
done
races=$(cat "$DIR"/entry?.log "$DIR"/side?.log |
	grep -c "WARNING: ThreadSanitizer")
[ $races = 0 ] || grep -h "SUMMARY: ThreadSanitizer" "$DIR"/*.log | sort -u
echo "thread sanitizer: $races reports"
[ $races = 0 ]
