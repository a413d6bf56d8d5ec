# Changes copied sources as a mutant says. Sourced by the scripts of mutants.

# Prints why and returns 1 if the expression no longer fits a file.
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
