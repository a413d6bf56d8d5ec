#!/bin/bash
# Mutation test: disables one mechanism at a time in a copy of the tree and
# expects the test that covers it to fail. A mutant that survives shows that the
# test does not cover the mechanism.
# Usage: [JOBS=n] [CASES=n] [SEED=n] mutants.sh [NAME]
cd "$(dirname "$0")/.." || exit 1
. tests/mutate.sh
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
jobs=${JOBS:-6}
cases=${CASES:-300}

try_mutant() { # NAME PROPERTY FILES EXPRESSION
	local copy=$dir/$1 run=test_properties
	mkdir -p "$copy"
	cp -r Makefile core config net platform proto entry side examples tests \
		"$copy/"
	cp -r build "$copy/" 2>/dev/null
	find "$copy/build" -name '*.d' -exec touch {} + 2>/dev/null
	mutate "$1" "$copy" "$3" "$4" || return
	[ ! -e "tests/test_$2.c" ] || run=test_$2
	if ! make -C "$copy" -j2 CFLAGS="-std=gnu11 -O1 -w" build/bin/$run \
		>"$copy/log" 2>&1; then
		echo "BROKEN   $1: does not build"
		return
	fi
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
