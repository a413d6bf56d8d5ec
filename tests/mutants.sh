#!/bin/bash
# Switches one mechanism off at a time, in a copy, and expects the property
# that proves it to fail. A mutant that survives means a proof without teeth.
cd "$(dirname "$0")/.." || exit 1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
jobs=${JOBS:-6}
cases=${CASES:-300}

try_mutant() { # NAME PROPERTY FILES EXPRESSION
	local copy=$dir/$1 run=test_properties f
	mkdir -p "$copy"
	cp -r Makefile core config net platform proto entry side examples tests \
		"$copy/"
	cp -r build "$copy/" 2>/dev/null
	find "$copy/build" -name '*.d' -exec touch {} + 2>/dev/null
	for f in $3; do
		sed -i "$4" "$copy/$f"
		if cmp -s "$f" "$copy/$f"; then
			echo "STALE    $1: the expression changes nothing"
			return
		fi
	done
	if ! make -C "$copy" -j2 CFLAGS="-std=gnu11 -O1 -w" \
		build/bin/test_properties build/bin/test_unit \
		build/bin/test_{backend,dispatch,entry_keys,fold,quota,routing,store,wire,log} \
		>"$copy/log" 2>&1; then
		echo "BROKEN   $1: does not build"
		return
	fi
	[[ "$2" =~ ^(unit|backend|dispatch|entry_keys|fold|quota|routing|store|wire|log)$ ]] && run=test_$2
	if RC_PARAMS="seed=${SEED:-1} max_success=$cases noshrink=1" \
		timeout 400 "$copy/build/bin/$run" "$2" \
		>"$copy/log" 2>&1; then
		echo "SURVIVED $1: $2"
	else
		echo "killed   $1: $(grep -m1 -E 'at [0-9]+ ms:|RC_ASSERT|FAILED' \
			"$copy/log" | cut -c1-90)"
	fi
	rm -rf "$copy"
}

while IFS='|' read -r name property file expression; do
	case "$name" in '#'* | '') continue ;; esac
	name=$(echo $name)
	[ -z "$1" ] || [ "$1" = "$name" ] || continue
	while [ "$(jobs -rp | wc -l)" -ge $jobs ]; do
		wait -n
	done
	try_mutant "$name" "$(echo $property)" "$(echo $file)" \
		"$(echo "$expression" | sed 's/^ //')" &
done <tests/mutants.txt >"$dir/result"
wait
sort "$dir/result"
total=$(grep -c . "$dir/result")
killed=$(grep -c '^killed' "$dir/result")
echo "$killed passed, $((total - killed)) failed"
[ "$killed" = "$total" ]
