# Applies a mutant to a copy of the sources. Sourced by mutants.sh and
# soak_mutants.sh.

# Prints the commands of a sed expression, one a line.
sed_commands() { # EXPRESSION
	echo "${1//; s\//$'\n's/}"
}

# Returns 1 with a message if a command of the expression changes none of FILES,
# or if one of FILES is not changed.
mutate() { # NAME COPY FILES EXPRESSION
	local f command changed
	while read -r command; do
		changed=
		for f in $3; do
			sed "$command" "$2/$f" >"$2/mutated"
			cmp -s "$2/$f" "$2/mutated" || changed=1
			cat "$2/mutated" >"$2/$f"
		done
		if [ -z "$changed" ]; then
			echo "STALE    $1: $command changes nothing"
			return 1
		fi
	done < <(sed_commands "$4")
	for f in $3; do
		if cmp -s "$f" "$2/$f"; then
			echo "STALE    $1: $f is not changed"
			return 1
		fi
	done
}
