#!/bin/bash
# Runs the soak test for several seeds, JOBS at a time. A failing seed is
# printed and keeps its plan and logs; SEEDS="n" repeats it.
# Usage: [SEEDS="1 2 3" | N=count] [JOBS=n] [OUT=dir] tests/soak.sh [OPTION...]
cd "$(dirname "$0")/.." || exit 1
OUT=${OUT:-$(mktemp -d)}
JOBS=${JOBS:-2}
BIN=${BIN:-build/bin}
[ -n "$SEEDS" ] || SEEDS=$(seq $(date +%s) $(($(date +%s) + ${N:-2} - 1)))
mkdir -p "$OUT"

run_seed() { # SEED JOB SOAK-OPTION...
	local seed=$1 ports=$((${PORTS:-26000} + 500 * $2)) dir=$OUT/$1 summary
	shift 2
	if timeout 300 $BIN/soak --bin $BIN --dir "$dir" --seed $seed \
		--ports $ports "$@" >"$dir.out" 2>&1; then
		echo "ok      soak: seed $seed"
		rm -rf "$dir" "$dir.out"
	else
		summary=$(grep -E '^BROKEN|exited unexpectedly|after all|^proxy' \
			"$dir.out" | head -n 8 | sed 's/^/        /')
		printf '%s\n%s\n        plan and logs: %s\n' \
			"FAILED  soak: seed $seed" "$summary" "$dir.out, $dir"
	fi
}

# Each job uses its own ports.
for job in $(seq 0 $((JOBS - 1))); do
	i=0
	for seed in $SEEDS; do
		[ $((i++ % JOBS)) = $job ] && run_seed $seed $job "$@"
	done &
done >"$OUT/results"
wait
cat "$OUT/results"
failed=$(grep -c '^FAILED' "$OUT/results")
echo "$(grep -c '^ok' "$OUT/results") passed, $failed failed"
[ $failed = 0 ]
