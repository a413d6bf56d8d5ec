#!/bin/bash
# A drill: the store is away for 0.7 s and comes back from a copy that is 4 s old. In
# the seconds that it lost the operator had written two configurations. The operator
# writes the newest one again, and then the next one, which it had ready. Checks
# CONFIG.
# Exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt
. "$CASE/../site.sh"

FRONTS="1 2 3"
SIDES="1 2 3"
APPLY_MS=2000
STABLE_MS=3000
VERSIONS="1 2 3 4"

# Each version of the configuration has a service of its own, with one server.
choose_ports
start store target/review/drill-platform $BASE \
	$((BASE + 11)):s1:app1:60 $((BASE + 12)):s2:app2:60 \
	$((BASE + 13)):s3:app3:60 $((BASE + 14)):s4:app4:60
for i in $SIDES; do
	start_dispatcher $i
done
sleep 0.5
for version in $VERSIONS; do
	cat >"$DIR/version-$version" <<-END
	{"version":$version,"routes":[{"name":"again","host":"h.example",
	"path_prefix":"/again/","route_type":"idempotent","timeout_ms":3000,
	"target_latency_ms":400,"priority":0,"service":"app$version",
	"max_attempts":2,"public":false}],"services":[
	{"name":"app1","health_path":"/health","max_connections":600},
	{"name":"app2","health_path":"/health","max_connections":600},
	{"name":"app3","health_path":"/health","max_connections":600},
	{"name":"app4","health_path":"/health","max_connections":600}],
	"limits":{"max_header_bytes":8192,"max_body_bytes":100000,
	"header_timeout_ms":2000,"idle_timeout_ms":5000},
	"tenants":[{"name":"acct","api_keys":["key-1"],"priority":0,
	"unit":"requests","rate_per_s":100000,"burst":100000}]}
	END
done

publish() { # VERSION...: one after the other, over one connection
	local version files=()
	for version in "$@"; do
		files+=("$DIR/version-$version")
	done
	platform config "${files[@]}" || skip "no configuration"
	for version in "$@"; do
		note "the store acknowledged version $version"
	done
}
publish 1
for i in $FRONTS; do
	start_proxy $i
done
for i in $FRONTS; do
	wait_until 10 ready $i || skip "front-$i is not ready"
done
sleep 1
for i in $FRONTS; do
	start load-$i target/review/load $(proxy_port $i) 2 100 22 /again/ok \
		key-1 - c$i
done
sleep 3
[ "$TROUBLE" = 0 ] || platform copy
sleep 1
publish 2
sleep 1
publish 3
sleep 2
if [ "$TROUBLE" != 0 ]; then
	platform "drill?ms=700"
	note "the store goes away"
fi
sleep 0.71
if [ "$TROUBLE" != 0 ]; then
	publish 3 4
else
	publish 4
fi
acknowledged_ms=$(now_ms)
sleep 11
for i in $FRONTS; do
	is_alive front-$i && is_alive side-$i || skip "a process has ended"
done
sleep 1
list_arrivals
cat "$DIR"/load-*.log >"$DIR/load"
record_traffic
awk '{ print $4 }' "$DIR/load" | sort | uniq -c | sed 's/^/answers: /' |
	tee -a "$RECORD"
# Counted from the time on at which both the bound is over and the store has been
# stable for long enough.
awk -v at=$acknowledged_ms -v from=$((APPLY_MS > STABLE_MS ? APPLY_MS : STABLE_MS)) '
	FILENAME ~ /load$/ { sent[$3] = $1; next }
	$4 == "run" && sent[$3] > at + from {
		if ($2 == "s4") new++
		else {
			old++
			if (sent[$3] - at > most) most = sent[$3] - at
		}
	}
	END {
		printf "CONFIG: of the requests sent over %d ms after the ", from
		printf "acknowledgement of version 4, %d ran by an older ", old
		printf "one, up to %d ms after it, %d by version 4\n", most, new
		exit old > 0
	}' "$DIR/load" "$DIR/arrivals" | tee -a "$RECORD"
exit ${PIPESTATUS[0]}
