#!/bin/bash
# The machine of the dispatcher in use is partitioned from the store for 1.2 s. In
# that time a server leaves without having reported "draining": its registration
# ends, and it goes on serving for some seconds. Checks DRAIN.
# Exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt
. "$CASE/../site.sh"

FRONTS="1 2 3"
SIDES="1 2 3"
DRAIN_MS=2000
ROUNDS="s2 s3 s4" # servers that leave, one in each round

choose_ports
start store build/bin/standin-platform $BASE \
	$((BASE + 10)):s1:app:20 $((BASE + 11)):s2:app:20 \
	$((BASE + 12)):s3:app:20 $((BASE + 13)):s4:app:20
for i in $SIDES; do
	start relay-store-$i target/review/relay $((BASE + 50 + i)) $BASE \
		"$DIR/cut-side-$i" silent
	echo $((BASE + 50 + i)) >"$DIR/side-$i.store"
	start_dispatcher $i
done
sleep 0.5
cat >"$DIR/config" <<END
{"version":1,"routes":[{"name":"again","host":"h.example",
"path_prefix":"/again/","route_type":"idempotent","timeout_ms":3000,
"target_latency_ms":400,"priority":0,"service":"app","max_attempts":2,
"public":false}],
"services":[{"name":"app","health_path":"/health","max_connections":600}],
"limits":{"max_header_bytes":8192,"max_body_bytes":100000,
"header_timeout_ms":2000,"idle_timeout_ms":5000},
"tenants":[{"name":"acct","api_keys":["key-1"],"priority":0,"unit":"requests",
"rate_per_s":100000,"burst":100000}]}
END
platform config "$DIR/config" || skip "no configuration"
for i in $FRONTS; do
	start_proxy $i
done
for i in $FRONTS; do
	wait_until 10 ready $i || skip "front-$i is not ready"
done
sleep 1
for i in $FRONTS; do
	start load-$i target/review/load $(proxy_port $i) 4 100 60 /again/ok \
		key-1 - c$i
done
sleep 4

# The dispatcher that the first entry host uses.
dispatcher_in_use() {
	sed -n 's/.*event=dispatcher from=[^ ]* to=\([^ ]*\).*/\1/p' \
		"$DIR/front-1.log" | tail -n 1
}

broken=0
for server in $ROUNDS; do
	used=$(dispatcher_in_use)
	[ -e "$DIR/$used.store" ] || skip "no dispatcher in use: $used"
	if [ "$TROUBLE" != 0 ]; then
		touch "$DIR/cut-$used"
		note "$used is partitioned from the store"
	fi
	sleep 0.4
	platform "server?id=$server&state=gone" || skip "$server stays"
	gone_ms=$(now_ms)
	note "the store acknowledged that $server is gone"
	sleep 0.8
	rm -f "$DIR/cut-$used"
	[ "$TROUBLE" = 0 ] || note "$used reaches the store again"
	sleep 6
	list_arrivals
	cat "$DIR"/load-?.log >"$DIR/load"
	# Requests that were sent later than DRAIN_MS after the acknowledgement.
	late=$(awk -v s=$server -v from=$((gone_ms + DRAIN_MS)) '
		NR == FNR { sent[$3] = $1; next }
		$2 == s && $4 == "run" && sent[$3] > from {
			print $3, sent[$3] - from, $1 - from }' \
		"$DIR/load" "$DIR/arrivals")
	n=$(printf '%s' "$late" | grep -c .)
	note "$server: $n requests reached it that were sent over $DRAIN_MS ms" \
		"after that"
	[ -z "$late" ] || printf '%s\n' "$late" | sed "s/^/late at $server (id, \
ms sent late, ms arrived late): /" >>"$RECORD"
	[ $n = 0 ] || broken=1
	for i in $FRONTS; do
		is_alive front-$i && is_alive side-$i || skip "a process ended"
	done
done
record_traffic
awk '{ print $4 }' "$DIR/load" | sort | uniq -c | sed 's/^/answers: /' |
	tee -a "$RECORD"
exit $broken
