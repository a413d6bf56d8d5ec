#!/bin/bash
# Case 10; see claim.txt. The machines of the two dispatchers that all entries are
# linked to do not reach the store for 1.2 s. In that time a server leaves without
# having reported "draining": its registration ends, and it goes on serving for some
# seconds. Clients ask for more than the servers can do. Checks DRAIN.
# TROUBLE=0: no machine is cut off. The site and the load are those of the first review.
# Exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt
. "$CASE/../site.sh"

FRONTS="1 2 3"
SIDES="1 2 3 4 5 6"
DRAIN_MS=2000
ROUNDS="s2 s3" # servers that leave, one in each round

choose_ports
start store build/bin/standin-platform $BASE \
	$((BASE + 10)):s1:app:3 $((BASE + 11)):s2:app:3 \
	$((BASE + 12)):s3:app:3 $((BASE + 13)):s4:app:3 \
	$((BASE + 14)):s5:app:3 $((BASE + 15)):s6:app:3 \
	$((BASE + 16)):s7:app:3 $((BASE + 17)):s8:app:3
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
"target_latency_ms":1500,"priority":0,"service":"app","max_attempts":2,
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
# A run takes 0.7 s: at most 34 a second at eight servers, for some 60 that are asked
# for.
for i in $FRONTS; do
	start load-$i target/review/load $(proxy_port $i) 30 1500 40 /again/slow \
		key-1 - c$i
done
sleep 5

# The dispatchers that the first entry is linked to.
linked_dispatchers() {
	sed -n 's/.*event=link_\(up\|lost\) peer=\([^ ]*\).*/\1 \2/p' \
		"$DIR/front-1.log" | awk '{ state[$2] = $1 }
		END { for (d in state) if (state[d] == "up") print d }'
}

broken=0
for server in $ROUNDS; do
	linked=$(linked_dispatchers)
	[ $(echo "$linked" | wc -w) = 2 ] || skip "linked dispatchers:" $linked
	if [ "$TROUBLE" != 0 ]; then
		for d in $linked; do
			touch "$DIR/cut-$d"
		done
		note $linked "are partitioned from the store"
	fi
	sleep 0.4
	platform "server?id=$server&state=gone" || skip "$server stays"
	gone_ms=$(now_ms)
	note "the store acknowledged that $server is gone"
	sleep 0.8
	for d in $linked; do
		rm -f "$DIR/cut-$d"
	done
	[ "$TROUBLE" = 0 ] || note $linked "reach the store again"
	sleep 7
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
		is_alive front-$i || skip "a process ended"
	done
	for i in $SIDES; do
		is_alive side-$i || skip "a process ended"
	done
done
record_traffic
awk '{ print $4 }' "$DIR/load" | sort | uniq -c | sed 's/^/answers: /' |
	tee -a "$RECORD"
exit $broken
