#!/bin/bash
# Runs a small site with the manifests of both users on loopback and sends real
# calls. Exits with 0 only if every response was complete and the
# acknowledgement ran once.
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-18000}
. tests/site.sh
failed=0

merge_manifests() { # prints one manifest for both users
	cat examples/vestjylland.toml
	sed -n '/^\[\[pool\]\]/,$p' examples/sendertechniker.toml |
		sed '/^\[\[operator\]\]/,$d' |
		sed 's/"alarm"/"market-day"/; s/"diagnosis"/"report"/;
		     s/"backlog"$/"draft"/; s/name = "draft"/name = "backlog"/'
}

call() { # TITLE PORT KEY EXPECT CURL-ARGS...
	local title=$1 port=$2 key=$3 expect=$4 out tier server
	shift 4
	out=$(curl -sS -N -D "$DIR/head" -w '\n%{http_code} %{time_starttransfer} %{time_total}' \
		-H "Authorization: Bearer $key" "$@")
	set -- $(echo "$out" | tail -n 1)
	server=$(grep -i '^x-mangohead-server' "$DIR/head" | tr -d '\r' | cut -d' ' -f2)
	id=$(grep -i '^x-request-id' "$DIR/head" | tr -d '\r' | cut -d' ' -f2)
	tier=$(ctl 1 explain "$id" 2>/dev/null | grep -o 'tier [0-9]*' ||
		ctl 2 explain "$id" 2>/dev/null | grep -o 'tier [0-9]*')
	printf '%-34s status %s  %-7s server %-9s first byte %ss  end %ss\n' \
		"$title" "$1" "$tier" "${server:-none}" "$2" "$3"
	echo "$out" | sed '$d' | cut -c1-100 | head -n 2 | sed 's/^/    /'
	if ! echo "$out" | grep -q -- "$expect"; then
		echo "    INCOMPLETE: no '$expect' in the response" >&2
		failed=1
	fi
}

start_platform
add_entry 1
add_entry 2
add_engine 1 sprogmodel '"lam-stor","lam-lille"' 16 --step_ms=3
add_engine 2 mango-pool '"sender-diagnose"' 16 --step_ms=3
add_service 3 leitstand-app 16
publish_hosts
merge_manifests >"$DIR/manifest.toml"
$BIN/mangoctl check "$DIR/manifest.toml" || exit 1
wait_until 10 ctl 1 status || exit 1
ctl 1 publish "$DIR/manifest.toml" || exit 1
wait_until 10 entry_ready 1 && wait_until 10 entry_ready 2 || exit 1
wait_until 10 servers_up 1 3 && wait_until 10 servers_up 2 3 || exit 1

p1=$(entry_port 1)
p2=$(entry_port 2)
json='Content-Type: application/json'
sheet=$(yes 'lot 12: 14 ewes, 61 kg, pen 4;' | head -n 400 | tr '\n' ' ')
key=$(uuid7)

call "price query" $p1 medlem-key '"finish_reason":"stop"' \
	-H "$json" http://127.0.0.1:$p1/v1/chat/completions -d '{"model":
	"lam-stor", "max_tokens": 8, "messages": [{"role": "user",
	"content": "Price of lambs in Herning today?"}]}'
call "auction sheet, streamed" $p2 kontor-key 'data: \[DONE\]' \
	-H "$json" http://127.0.0.1:$p2/v1/chat/completions -d '{"model":
	"lam-stor", "max_tokens": 200, "stream": true, "messages":
	[{"role": "user", "content": "'"$sheet"'"}]}'
call "alarm acknowledgement" $p1 alarm-key '"run":1' \
	-H "Idempotency-Key: $key" -X POST \
	http://127.0.0.1:$p1/svc/leitstand-app/alarms/17/ack -d '{"crew": 4}'
call "the same again, other entry" $p2 alarm-key '"run":1' \
	-H "Idempotency-Key: $key" -X POST \
	http://127.0.0.1:$p2/svc/leitstand-app/alarms/17/ack -d '{"crew": 4}'
call "backlog draft" $p2 backlog-key '"finish_reason":"stop"' \
	-H "$json" http://127.0.0.1:$p2/v1/chat/completions -d '{"model":
	"sender-diagnose", "max_tokens": 60, "messages": [{"role": "user",
	"content": "Draft the weekly maintenance backlog."}]}'

runs=$(curl -s http://127.0.0.1:$(($(side_port 3) + 2))/counts)
echo "acknowledgements that ran: $runs"
echo "$runs" | grep -q '"POST /alarms/17/ack":1}' || failed=1

for name in entry1 entry2 side1 side2 side3; do
	kill -TERM $(pid_of $name)
done
for name in entry1 entry2 side1 side2 side3; do
	wait $(pid_of $name) || { echo "$name did not end cleanly"; failed=1; }
done
[ $failed = 0 ] && echo "demo: every answer whole, acknowledgement ran once"
exit $failed
