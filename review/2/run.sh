#!/bin/bash
# One of four entry hosts is cut off from all other machines of the system and from
# the store for 12 s. Checks QUOTA for one tenant, whose clients ask for more than
# its limit at each entry.
# Exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt
. "$CASE/../site.sh"

FRONTS="1 2 3 4"
SIDES="1 2 3 4"
RATE=100000   # tokens a second of the tenant
BURST=100000
WINDOW_MS=8000
CUT_S=12
TOKENS=4100   # of each request: 4000 + 100

choose_ports
start store build/bin/standin-platform $BASE \
	$((BASE + 10)):s1:app:200 $((BASE + 11)):s2:app:200 \
	$((BASE + 12)):s3:app:200 $((BASE + 13)):s4:app:200
for i in $SIDES; do
	p=$(dispatcher_port $i)
	start_dispatcher $i $((p + 1))
	# The dispatcher's own machine is not cut off, only what front-1 sends.
	start relay-side-$i target/review/relay $((p + 1)) $p "$DIR/cut" silent \
		front-1
done
start relay-store target/review/relay $((BASE + 50)) $BASE "$DIR/cut" silent
echo $((BASE + 50)) >"$DIR/front-1.store"
sleep 0.5
cat >"$DIR/config" <<END
{"version":1,"routes":[{"name":"again","host":"h.example",
"path_prefix":"/again/","route_type":"idempotent","timeout_ms":3000,
"target_latency_ms":400,"priority":0,"service":"app","max_attempts":2,
"public":false}],
"services":[{"name":"app","health_path":"/health","max_connections":600}],
"limits":{"max_header_bytes":8192,"max_body_bytes":100000,
"header_timeout_ms":2000,"idle_timeout_ms":5000},
"tenants":[{"name":"acct","api_keys":["key-1"],"priority":0,"unit":"tokens",
"plain_tokens":200,"rate_per_s":$RATE,"burst":$BURST}]}
END
platform config "$DIR/config" || skip "no configuration"
for i in $FRONTS; do
	start_proxy $i
done
for i in $FRONTS; do
	wait_until 10 ready $i || skip "front-$i is not ready"
done
sleep 1
# About 25 requests a second at each entry: four times the tenant's limit in all.
for i in $FRONTS; do
	start load-$i target/review/load $(proxy_port $i) 10 400 45 /again/ok \
		key-1 4000,100 c$i
done
sleep 22
if [ "$TROUBLE" != 0 ]; then
	touch "$DIR/cut"
	note "front-1 is cut off"
fi
sleep $CUT_S
rm -f "$DIR/cut"
note "front-1 is back"
sleep 9
for i in $FRONTS $SIDES; do
	[ $i -gt 4 ] || is_alive front-$i || skip "front-$i has ended"
	is_alive side-$i || skip "side-$i has ended"
done
list_arrivals
cat "$DIR"/load-?.log >"$DIR/load"
record_traffic
awk '{ print $4 }' "$DIR/load" | sort | uniq -c | sed 's/^/answers: /' |
	tee -a "$RECORD"
# Runs in order of the times at which they were sent: sent, arrived, id.
awk 'NR == FNR { sent[$3] = $1; next }
	$4 == "run" && ($3 in sent) { print sent[$3], $1, $3 }' \
	"$DIR/load" "$DIR/arrivals" | sort -n >"$DIR/runs"
awk -v span=$WINDOW_MS -v tokens=$TOKENS -v bound="$(awk -v r=$RATE -v b=$BURST \
	-v s=$WINDOW_MS 'BEGIN { print (r * s / 1000 + b) * 1.1 + 190000 }')" '
	{ sent[NR] = $1; arrived[NR] = $2; id[NR] = $3 }
	END {
		for (i = 1; i <= NR; i++) {
			n = cut = 0
			for (j = i; j <= NR && sent[j] <= sent[i] + span; j++) {
				if (arrived[j] > sent[i] + span)
					continue
				n++
				cut += id[j] ~ /^c1-/
			}
			if (n > most) { most = n; at = sent[i]; share = cut }
		}
		printf "QUOTA: at most %d tokens in %d ms, from %d on; ", \
			most * tokens, span, at
		printf "%d of these at front-1; allowed are %d\n", \
			share * tokens, bound
		exit most * tokens > bound
	}' "$DIR/runs" | tee -a "$RECORD"
exit ${PIPESTATUS[0]}
