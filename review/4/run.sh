#!/bin/bash
# The store turns two of 16 machines away for 9 s, those of the two dispatchers that
# the entry hosts are linked to, and serves all others. In that time the route of
# the clients' requests moves to another service twice, one second apart. Checks
# CONFIG, with the longer config_apply_ms of the pages' small and grown sites.
# Exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt
. "$CASE/../site.sh"

FRONTS=$(seq 12)
SIDES="1 2 3 4"
APPLY_MS=3000
DOWN_S=9
ROUNDS=3

proxy_port() { # N; +1 status
	echo $((BASE + 100 + 5 * $1))
}

# Each version of the configuration has a service of its own, with one server.
servers=""
for v in $(seq $((1 + 2 * ROUNDS))); do
	servers="$servers PORT$v:s$v:app$v:60"
done
choose_ports
for v in $(seq $((1 + 2 * ROUNDS))); do
	servers=${servers/PORT$v:/$((BASE + 10 + v)):}
done
start store build/bin/standin-platform $BASE $servers
for i in $SIDES; do
	start relay-store-$i target/review/relay $((BASE + 50 + i)) $BASE \
		"$DIR/away-side-$i" reset
	echo $((BASE + 50 + i)) >"$DIR/side-$i.store"
	start_dispatcher $i
done
sleep 0.5

version=0
publish() { # moves the route to the service of the next version
	local services
	version=$((version + 1))
	services=$(seq $((1 + 2 * ROUNDS)) | sed 's/.*/{"name":"app&",\
"health_path":"\/health","max_connections":600}/; $!s/$/,/')
	cat >"$DIR/config" <<-END
	{"version":$version,"routes":[{"name":"again","host":"h.example",
	"path_prefix":"/again/","route_type":"idempotent","timeout_ms":3000,
	"target_latency_ms":400,"priority":0,"service":"app$version",
	"max_attempts":2,"public":false}],"services":[$services],
	"limits":{"max_header_bytes":8192,"max_body_bytes":100000,
	"header_timeout_ms":2000,"idle_timeout_ms":5000},
	"tenants":[{"name":"acct","api_keys":["key-1"],"priority":0,
	"unit":"requests","rate_per_s":100000,"burst":100000}]}
	END
	platform config "$DIR/config" || skip "no configuration"
	echo "$version $(now_ms)" >>"$DIR/acknowledged"
	note "the store acknowledged version $version"
}
publish
for i in $FRONTS; do
	start_proxy $i
done
for i in $FRONTS; do
	wait_until 10 ready $i || skip "front-$i is not ready"
done
sleep 2
for i in $FRONTS; do
	start load-$i target/review/load $(proxy_port $i) 1 100 \
		$((8 + 17 * ROUNDS)) /again/ok key-1 - c$i
done
sleep 3

# The dispatchers that the first entry host has links to.
linked() {
	awk '{ for (i = 1; i <= NF; i++) if ($i ~ /^peer=/) p = substr($i, 6) }
		/event=link_up/ { up[p] = 1 }
		/event=link_lost/ { delete up[p] }
		END { for (p in up) print p }' "$DIR/front-1.log"
}

for round in $(seq $ROUNDS); do
	away=$(linked)
	[ $(echo $away | wc -w) = 2 ] || skip "links to: $away"
	for side in $away; do
		[ "$TROUBLE" = 0 ] || touch "$DIR/away-$side"
	done
	[ "$TROUBLE" = 0 ] || note "the store turns away" $away
	sleep 4
	publish
	sleep 1
	publish
	sleep $((DOWN_S - 5))
	rm -f "$DIR"/away-*
	[ "$TROUBLE" = 0 ] || note "the store serves all again"
	sleep 7
done
for i in $FRONTS; do
	is_alive front-$i || skip "front-$i has ended"
	[ $i -gt 4 ] || is_alive side-$i || skip "side-$i has ended"
done
sleep 1
list_arrivals
cat "$DIR"/load-*.log >"$DIR/load"
record_traffic
awk '{ print $4 }' "$DIR/load" | sort | uniq -c | sed 's/^/answers: /' |
	tee -a "$RECORD"
# A run is late if a newer version than that of its server had been acknowledged
# for more than APPLY_MS when the request was sent.
awk -v apply=$APPLY_MS '
	FILENAME ~ /acknowledged$/ { acked[$1] = $2; next }
	FILENAME ~ /load$/ { sent[$3] = $1; next }
	$4 == "run" && ($3 in sent) {
		v = substr($2, 2) + 1
		if ((v in acked) && sent[$3] > acked[v] + apply)
			print $3, $2, v, sent[$3] - acked[v]
	}' "$DIR/acknowledged" "$DIR/load" "$DIR/arrivals" >"$DIR/late"
sed 's/^/late (id, server, next version, ms since its acknowledgement): /' \
	"$DIR/late" >>"$RECORD"
awk -v apply=$APPLY_MS '{ n++; if ($4 > most) most = $4 }
	END {
		printf "CONFIG: %d requests, sent over %d ms after the ", n, apply
		printf "acknowledgement of a version, ran by an older one; "
		printf "up to %d ms after it\n", most
		exit n > 0
	}' "$DIR/late" | tee -a "$RECORD"
exit ${PIPESTATUS[0]}
