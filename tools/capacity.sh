#!/bin/bash
# Measures CPU time, memory and traffic of the real processes on one machine by
# number of links, calls and tokens. docs/CAPACITY.md gives the slopes.
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-21000}
. tests/site.sh
SECONDS_EACH=${SECONDS_EACH:-6}
IDLE_SECONDS=${IDLE_SECONDS:-20}
HOSTS_POLL_MS=1000

cpu_ms() { # NAME; a clock tick is 10 ms
	awk '{ print ($14 + $15) * 10 }' /proc/$(pid_of $1)/stat
}

rss_mb() { # NAME
	awk '/^VmRSS/ { printf "%.1f", $2 / 1024 }' /proc/$(pid_of $1)/status
}

metric() { # URL NAME
	curl -s "$1/metrics" | awk -v n="mangohead_$2_total" '$1 == n { print $2 }'
}

entry_url() {
	echo http://127.0.0.1:$(($(entry_port 1) + 1))
}

links_cost() { # LINKS: measures the idle entry
	local c0 c1 b0 b1 i0 i1
	c0=$(cpu_ms entry1)
	b0=$(metric $(entry_url) link_bytes_out)
	i0=$(metric $(entry_url) link_bytes_in)
	sleep $IDLE_SECONDS
	c1=$(cpu_ms entry1)
	b1=$(metric $(entry_url) link_bytes_out)
	i1=$(metric $(entry_url) link_bytes_in)
	awk -v n=$1 -v s=$IDLE_SECONDS -v c=$((c1 - c0)) -v o=$((b1 - b0)) \
		-v i=$((i1 - i0)) -v r=$(rss_mb entry1) 'BEGIN {
		printf "idle, %d links: %.2f %% of a core, %.0f B/s out, " \
			"%.0f B/s in, %s MB\n", n, c / s / 10, o / s, i / s, r }'
}

start_platform
add_entry 1
publish_hosts
cp examples/vestjylland.toml "$DIR/manifest.toml"
sed -i 's/^max_running = 16/max_running = 64/' "$DIR/manifest.toml"
wait_until 10 ctl 1 status || exit 1
ctl 1 publish "$DIR/manifest.toml" || exit 1
wait_until 10 entry_ready 1 || exit 1
links_cost 0
n=0
for count in 20 60 120; do
	while [ $n -lt $count ]; do
		n=$((n + 1))
		write_side $((20 + n)) other engine '"none"' 1
		sed -i '/^store/d; /^hosts_poll/d' "$DIR/side$((20 + n)).toml"
		start_side $((20 + n))
		add_host "server-$((20 + n))" $(side_port $((20 + n))) server
	done
	publish_hosts
	wait_until 20 servers_up 1 $count || exit 1
	sleep 1
	links_cost $count
done
echo "side, idle: $(rss_mb side21) MB"
for i in $(seq 21 $((20 + n))); do
	kill -9 $(pid_of side$i)
done
HOSTS=$(echo "$HOSTS" | grep -v server-)

add_service 3 medlemsportal 64
add_service 4 medlemsportal 64
add_engine 1 sprogmodel '"lam-stor"' 64 --step_ms=3 --batch_cost=0
publish_hosts
wait_until 20 servers_up 1 3 || exit 1
sleep 4
for threads in 4 8 16 32; do
	e0=$(cpu_ms entry1)
	s0=$(($(cpu_ms side3) + $(cpu_ms side4)))
	k0=$(metric $(entry_url) control_bytes_out)
	out=$($BIN/loadgen --address=127.0.0.1:$(entry_port 1) --threads=$threads \
		--path=/svc/medlemsportal/price --key=medlem-key \
		--seconds=$SECONDS_EACH)
	rate=$(echo "$out" | sed 's/.*calls_per_s": \([0-9]*\).*/\1/')
	awk -v r=$rate -v s=$SECONDS_EACH -v e=$(($(cpu_ms entry1) - e0)) \
		-v d=$(($(cpu_ms side3) + $(cpu_ms side4) - s0)) \
		-v k=$(($(metric $(entry_url) control_bytes_out) - k0)) 'BEGIN {
		printf "%d calls/s: entry %.0f us a call, side %.0f us a call, " \
			"%.0f control bytes a call\n", r, e * 1000 / r / s,
			d * 1000 / r / s, k / r / s }'
done

for streams in 4 8 16 32; do
	e0=$(cpu_ms entry1)
	s0=$(cpu_ms side1)
	t0=$(date +%s%3N)
	pids=""
	for i in $(seq $streams); do
		curl -sN -o /dev/null -H 'Authorization: Bearer kontor-key' \
			http://127.0.0.1:$(entry_port 1)/v1/completions -d '{
			"model": "lam-stor", "prompt": "p'$i'", "stream": true,
			"max_tokens": 1000}' &
		pids="$pids $!"
	done
	wait $pids
	ms=$(($(date +%s%3N) - t0))
	awk -v n=$streams -v ms=$ms -v e=$(($(cpu_ms entry1) - e0)) \
		-v d=$(($(cpu_ms side1) - s0)) 'BEGIN {
		printf "%d streams, %.0f tokens/s: entry %.1f us a token, " \
			"side %.1f us a token\n", n, n * 1e6 / ms, e / n, d / n }'
done
echo "after load: entry $(rss_mb entry1) MB, side $(rss_mb side1) MB"
