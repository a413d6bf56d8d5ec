#!/bin/bash
# Compares docs/METRICS.md with the code: every event, log field, counter,
# histogram and gauge must be documented, and no event, field, histogram or
# gauge that does not exist.
cd "$(dirname "$0")/.." || exit 1
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
. tests/checks.sh
sources=$(ls proxy/*.c dispatcher/*.c net/*.c platform/*.c)

# Prints the format strings of all log lines, each joined to one string.
formats() {
	cat $sources | tr -d '\n' | sed 's/"[ \t]*"//g' |
		grep -o 'mh_event([^;]*;' | grep -o '"[^"]*\(\\\\"[^"]*\)*"'
}

section() { # TITLE: prints the section of the page
	awk -v t="## $1" '$0 == t { on = 1; next } /^## / { on = 0 } on' \
		docs/METRICS.md
}

table_column() { # NUMBER: prints the column of all tables, one word a line
	awk -F'|' -v n=$1 'NF > 3 && $2 !~ /^[- ]*$/ { print $(n + 1) }' |
		tr -s ', ' '\n' | sed 's/`//g' | grep -E '^[a-z_]+$'
}

same() { # CODE PAGE: prints the words that only one of the files has
	sort -u "$1" >"$DIR/a"
	sort -u "$2" >"$DIR/b"
	diff "$DIR/a" "$DIR/b"
}

t_events() {
	{
		formats | grep -o 'event=[a-z_]\+' | cut -d= -f2
		# Not in a format string: chosen at run time, or written by
		# the log writer.
		printf '%s\n' refused failed left_out
	} >"$DIR/code"
	section "Log lines" | awk -F'|' '/^\| kind / { on = 1; next }
		!NF { on = 0 } on' | table_column 3 >"$DIR/page"
	same "$DIR/code" "$DIR/page"
}

t_fields() {
	formats | grep -oE '[a-z_]+=(\\\\")?%' | sed 's/=.*//' |
		grep -vx event >"$DIR/code"
	echo lines >>"$DIR/code"
	section "Log lines" | awk -F'|' '/^\| field / { on = 1; next }
		!NF { on = 0 } on' | table_column 1 >"$DIR/page"
	same "$DIR/code" "$DIR/page"
}

# Prints the names in an X-macro list.
names() { # FILE LIST
	awk -v l="#define $2(X)" 'index($0, l) == 1 { on = 1; next }
		on && !/X\(|"/ { on = 0 } on' $1 |
		grep -oE 'X\([A-Z_]+, [a-z_]+' | sed 's/.*, //'
}

t_histograms_and_gauges() {
	{
		names core/metrics.h MH_HISTOGRAM_LIST
		names core/metrics.h MH_GAUGE_LIST
	} >"$DIR/code"
	section "Histograms and gauges" | table_column 1 |
		grep -vx 'histogram\|gauge' >"$DIR/page"
	[ -s "$DIR/code" ] && same "$DIR/code" "$DIR/page"
}

t_counters() {
	local name missing=0
	for name in $(names core/counter_names.h MH_COUNTER_LIST); do
		grep -qw -- "$name" docs/METRICS.md docs/OPERATIONS.md &&
			continue
		echo "not documented: $name"
		missing=1
	done
	[ $missing = 0 ]
}

check "docs: every event is on the page" t_events
check "docs: every field is on the page" t_fields
check "docs: every histogram and gauge is on the page" t_histograms_and_gauges
check "docs: every counter is on a page" t_counters
echo "$passed passed, $failed failed"
[ $failed = 0 ]
