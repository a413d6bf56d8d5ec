#!/bin/bash
# Mutation test: disables one mechanism at a time in a copy of the tree and
# expects the test that covers it to fail. A mutant that survives shows that the
# test does not cover the mechanism. Process tests use ports from
# MUTANT_PORTS on, those of entries and sides below it, a thousand each.
# Usage: [JOBS=n] [CASES=n] [SEED=n] mutants.sh [NAME]
cd "$(dirname "$0")/.." || exit 1
. tests/mutate.sh
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
jobs=${JOBS:-6}
cases=${CASES:-300}
n=0
n_wide=0

# Runs a check of the process tests on the copy: "sh SCRIPT NAME-PART".
run_process_test() { # COPY PORTS PROPERTY
	local script part
	read -r _ script part <<<"$3"
	BIN=$1/build/bin BASE=$2 "tests/test_$script.sh" "$part"
}

try_mutant() { # NAME PROPERTY FILES EXPRESSION PORTS
	local copy=$dir/$1 run=test_properties programs
	mkdir -p "$copy"
	cp -r Makefile core config net platform proto entry side ctl proxy \
		dispatcher examples tests "$copy/"
	cp -r build "$copy/" 2>/dev/null
	find "$copy/build" -name '*.d' -exec touch {} + 2>/dev/null
	mutate "$1" "$copy" "$3" "$4" || return
	[ ! -e "tests/test_$2.c" ] || run=test_$2
	programs=build/bin/$run
	[[ $2 != "sh "* ]] ||
		programs=$(echo build/bin/mangoh* build/bin/mangoctl)
	if ! make -C "$copy" -j2 CFLAGS="-std=gnu11 -O1 -w" $programs \
		>"$copy/log" 2>&1; then
		echo "BROKEN   $1: does not build: $(grep -m1 rror "$copy/log")"
		return
	fi
	if [[ $2 = "sh "* ]]; then
		run_process_test "$copy" $5 "$2" >"$copy/log" 2>&1
	else
		RC_PARAMS="seed=${SEED:-1} max_success=$cases noshrink=1" \
			timeout 400 "$copy/build/bin/$run" "$2" \
			>"$copy/log" 2>&1
	fi
	if [ $? = 0 ]; then
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
	# A mutant whose test takes long keeps its ports from those that follow.
	until mkdir "$dir/slot$((n % 12))" 2>/dev/null; do
		n=$((n + 1))
	done
	slot=$((n++ % 12))
	ports=$((${MUTANT_PORTS:-28000} + 300 * slot))
	[[ $property != *"sh processes "* ]] ||
		ports=$((${MUTANT_PORTS:-28000} - 1000 * ++n_wide))
	{
		try_mutant "$name" "$(echo $property)" "$(echo $file)" \
			"$(echo "$expression" | sed 's/^ //')" $ports
		rmdir "$dir/slot$slot"
	} &
done <tests/mutants.txt >"$dir/result"
wait
sort "$dir/result"
total=$(grep -c . "$dir/result")
killed=$(grep -c '^killed' "$dir/result")
echo "$killed passed, $((total - killed)) failed"
[ "$killed" = "$total" ]
