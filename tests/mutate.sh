# Applies a mutant to a copy of the sources. Sourced by mutants.sh and
# soak_mutants.sh.

# Returns 1 with a message if the expression changes nothing in one of FILES.
mutate() { # NAME COPY FILES EXPRESSION
	local f
	for f in $3; do
		sed -i "$4" "$2/$f"
		if cmp -s "$f" "$2/$f"; then
			echo "STALE    $1: the expression changes nothing"
			return 1
		fi
	done
}
