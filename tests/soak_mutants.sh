#!/bin/bash
# Mutation test: disables one mechanism at a time in a copy of the tree and
# expects the soak test to report the guarantee that it provides as BROKEN.
# Usage: [PORTS=first] [JOBS=n] soak_mutants.sh [PATTERN]
cd "$(dirname "$0")/.." || exit 1
. tests/mutate.sh
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
n=0

try_mutant() { # GUARANTEE FILE EXPRESSION PORTS
	local copy play seed gap_ms
	copy=$(mktemp -d "$dir/XXXXXX")
	cp -r Makefile core config net platform proto proxy dispatcher entry \
		tests build "$copy/"
	mutate "$name" "$copy" "$2" "$3" || return
	if ! make -C "$copy" -s -j4 CFLAGS="-std=gnu11 -O1 -w" \
		build/bin/mangohead-proxy build/bin/mangohead-dispatcher \
		>"$copy/log" 2>&1; then
		echo "BROKEN   $name: does not build"
		return
	fi
	# Fewer faults leave fewer that could excuse a violation. In the plan of the
	# last seed a server is removed while the store is stable.
	for play in 1:300 1:1500 1:800 12:300; do
		seed=${play%:*} gap_ms=${play#*:}
		timeout 120 build/bin/soak --bin "$copy/build/bin" --dir \
			"$copy/$seed-$gap_ms" --seed $seed --gap-ms $gap_ms \
			--ports $4 >"$copy/out" 2>&1
		grep -q "^BROKEN $1" "$copy/out" || continue
		echo "killed   $name: $(grep -m1 "^BROKEN $1" "$copy/out" |
			cut -c1-90)"
		rm -rf "$copy"
		return
	done
	echo "SURVIVED $name: $1"
	grep '^BROKEN' "$copy/out" | head -n 2
}

while IFS='|' read -r name guarantee file expression; do
	case "$name" in '#'* | '') continue ;; esac
	name=$(echo $name)
	[[ "$name" =~ ${1:-.} ]] || continue
	while [ "$(jobs -rp | wc -l)" -ge ${JOBS:-3} ]; do
		wait -n
	done
	n=$(((n + 1) % 12))
	try_mutant "$(echo $guarantee)" "$(echo $file)" \
		"$(echo "$expression" | sed 's/^ //')" \
		$((${PORTS:-26000} + 500 * n)) &
done <tests/soak_mutants.txt >"$dir/result"
wait
sort "$dir/result"
[ "$(grep -c '^killed' "$dir/result")" = "$(grep -c '^[a-zA-Z]* *[a-z-]*: ' \
	"$dir/result")" ]
