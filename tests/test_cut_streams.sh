#!/bin/bash
# Tests of the real proxy and dispatcher processes with servers whose responses
# end oddly: streams that are cut with and without framing, plain responses
# without a length, requests that crash servers in the middle of an event.
# Usage: test_cut_streams.sh [NAME-PART]
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-21000}
. tests/site.sh
. tests/proxy_site.sh
. tests/checks.sh

CUT_SHAPES='halfclose-end linesclose-end halfcrlf-end linescrlf-end
	halfchunk-end lineschunk-end halflength-end lineslength-end
	halfclose-reset halfchunk-reset'

# Prints the ids and data of the events that a caller got.
events_of() { # FILE
	tr -d '\r' <"$1" | sed -n 's/^id: //p; s/^data: [^ ]* /d/p' | tr '\n' ' '
}

ALL_EVENTS='1 d1 2 d2 3 d3 4 d4 5 d5 6 d6 '

# Checks each cut of a stream that may run once.
cut_is_visible() { # CURL-OPTION
	local shape rc
	for shape in $CUT_SHAPES; do
		ID=$shape$1 call 1 /gen/$shape $1 -N -o "$DIR/cut"
		rc=$?
		[ $rc != 0 ] || return 1
		[ "$(runs | grep -c " $shape$1 ")" = 1 ] || return 1
	done
}

# Guards against a stream that a server broke off inside an event and that
# reached its caller as complete.
t_cut_stream_never_looks_complete() {
	cut_is_visible --http1.1
}

# The same where the caller's response ends with its connection.
t_cut_stream_is_visible_with_http_1_0() {
	cut_is_visible --http1.0
}

resumes() { # CURL-OPTION
	local shape
	for shape in $CUT_SHAPES; do
		ID=r$shape$1 call 1 /resume/$shape $1 -N -o "$DIR/res" ||
			return 1
		[ "$(events_of "$DIR/res")" = "$ALL_EVENTS" ] || return 1
		[ "$(runs | grep -c " r$shape$1 ")" = 2 ] || return 1
		# A reset may discard events that the proxy has not read yet.
		[[ $shape = *-reset ]] || runs | grep " r$shape$1 " |
			tail -n 1 | grep -q ' 3 0 -$' || return 1
	done
}

# Guards against a resumable stream that is not resumed, as its cut was taken
# for its end.
t_cut_stream_is_resumed() {
	resumes --http1.1
}

t_cut_stream_is_resumed_with_http_1_0() {
	resumes --http1.0
}

# Guards against the text, the head or the end of another response in the middle
# of a stream that was cut and could not be resumed.
t_odd_response_does_not_continue_a_stream() {
	local kind version rc
	for kind in html unsigned nocontent notmodified redirect error interim \
		busy cut; do
		for version in --http1.0 --http1.1; do
			ID=odd-$kind$version call 1 /resume/then-$kind $version \
				-N -o "$DIR/odd"
			rc=$?
			echo $kind $version $rc
			cat "$DIR/odd"
			[ $rc != 0 ] || return 1
			[ "$(events_of "$DIR/odd")" = '1 d1 2 d2 3 d3 ' ] ||
				return 1
			grep -qE 'WRONG|HTTP/1|X-Mangohead' "$DIR/odd" &&
				return 1
			[ "$(runs | grep -c " odd-$kind$version ")" = 2 ] ||
				return 1
		done
	done
	true
}

# Guards against an error that is cut being sent to another server, whose response
# can't continue it.
t_cut_error_is_not_resumed() {
	ID=notfound call 1 /resume/notfound/halfclose-end -o "$DIR/res" &&
		return 1
	[ "$(runs | grep -c ' notfound ')" = 1 ]
}

t_whole_streams() {
	local shape version
	for shape in wholeclose wholecrlf wholelength; do
		for version in --http1.0 --http1.1; do
			for route in gen resume; do
				ID=w$route$shape$version call 1 \
					/$route/$shape $version -N \
					-o "$DIR/whole" || return 1
				[ "$(events_of "$DIR/whole")" = \
					"$ALL_EVENTS" ] || return 1
				[ "$(runs | grep -c \
					" w$route$shape$version ")" = 1 ] ||
					return 1
			done
		done
	done
}

# Guards against a response without a length that gets the end mark of one that
# is known to be whole: its caller should know as much as we do.
t_plain_response_without_length_keeps_its_frame() {
	call 1 /once/plaincut -D "$DIR/head" -o "$DIR/body" || return 1
	grep -qi '^connection: close' "$DIR/head" &&
		! grep -qi '^transfer-encoding' "$DIR/head" &&
		[ "$(cat "$DIR/body")" = '{"price": 4' ]
}

# Guards against a reset response without a length that ends in order.
t_plain_response_that_is_reset_looks_cut() {
	local version
	for version in --http1.0 --http1.1; do
		call 1 /once/plainreset $version -o "$DIR/body" && return 1
	done
	true
}

# Requests that were answered and not known to be cut.
delivered() {
	echo $(($(observed 1 request_ms 'outcome="whole"') +
		$(observed 1 request_ms 'outcome="unproven"')))
}

# Guards against logs and metrics that show a cut stream as a success.
t_cut_stream_is_logged_as_cut() {
	local before
	before=$(delivered)
	ID=logged-cut call 1 /gen/halfclose-end -N -o "$DIR/cut"
	ID=logged-again call 1 /resume/halfclose-end -N -o "$DIR/cut"
	sleep 0.5
	grep -h 'id=logged-' "$DIR/proxy1.log"
	grep -q 'event=cut id=logged-cut .*end=cut_event' "$DIR/proxy1.log" &&
		! grep -q 'event=done id=logged-cut ' "$DIR/proxy1.log" &&
		grep -q 'event=again id=logged-again .*end=cut_event' \
			"$DIR/proxy1.log" &&
		[ $(delivered) = $((before + 1)) ]
}

# Guards against a request that crashes servers and is sent on, as the cut of
# its stream inside an event counts as an end that clears it.
t_request_that_crashes_inside_an_event() {
	local i
	for i in $(seq 8); do
		ID=inside-$i call 1 /fragile-once/inside/halfclose-exit \
			-o "$DIR/body" -w '%{http_code}\n' -d inside
		revive_fragile
	done >"$DIR/inside"
	cat "$DIR/inside"
	[ "$(crashes inside-)" = 3 ] &&
		[ "$(tail -n 4 "$DIR/inside" | sort -u)" = 503 ]
}

# Bytes that a head of some 200 lacks: of its last line's end, of a field, of all.
CUT_HEADS='1 2 3 20 100'

# Guards against a head that breaks off and that reaches its caller as a whole
# response with a short body: on new and used connections, after an interim one.
t_head_that_breaks_off_is_no_response() {
	local version kind n route status
	for version in --http1.0 --http1.1; do
		for kind in cuthead interim-cuthead; do
			for n in $CUT_HEADS; do
				for route in once again gen resume; do
					call 1 /once/ok -o /dev/null
					status=$(status_of 1 \
						/$route/$kind-$n $version)
					echo $version $kind $n $route $status
					[[ $status = 50[234] ]] || return 1
				done
			done
		done
	done
}

# The same where the response is to continue a stream.
t_head_that_breaks_off_does_not_continue_a_stream() {
	local version n rc
	for version in --http1.0 --http1.1; do
		for n in $CUT_HEADS; do
			ID=then$version-$n call 1 /resume/then-cuthead-$n \
				$version -N -o "$DIR/cut"
			rc=$?
			echo $version $n $rc
			cat "$DIR/cut"
			[ $rc != 0 ] || return 1
			[ "$(events_of "$DIR/cut")" = '1 d1 2 d2 3 d3 ' ] ||
				return 1
			grep -qE 'HTTP/1|X-Mangohead' "$DIR/cut" && return 1
			[ "$(runs | grep -c " then$version-$n ")" = 2 ] ||
				return 1
		done
	done
	true
}

# Guards against numbers that are no status reaching callers, also as the status that
# they resemble, and against waiting for a response behind one.
t_odd_status_is_no_response() {
	local route text status begin
	for text in 000 099 600 999 0200 20x; do
		for route in once again gen resume; do
			begin=$(date +%s%3N)
			status=$(status_of 1 /$route/status=$text)
			echo $route $text $status
			[[ $status = 50[234] ]] || return 1
			grep -q odd "$DIR/body" && return 1
			[ $(($(date +%s%3N) - begin)) -lt 2000 ] || return 1
			[ "$(status_of 1 /$route/wholelength)" = 200 ] ||
				return 1
		done
	done
}

start platform $BIN/standin-platform $STORE \
	$(server_port 1):s1:app:4 $(server_port 2):s2:app:4 \
	$(server_port 3):s3:app:4 0:c1:fragile:4:$(server_port 6) \
	0:c2:fragile:4:$(server_port 7) 0:c3:fragile:4:$(server_port 8)
for i in 1 2 3; do
	start_fragile $i
done
wait_until 5 config 10 || exit 1
start_dispatcher 1
start_dispatcher 2
start_proxy 1
wait_until 10 ready 1 || exit 1
# The retry budget is small until the dispatcher has run for a window.
sleep $RETRY_WINDOW_S

check "cut streams: a cut stream never looks complete" \
	t_cut_stream_never_looks_complete
check "cut streams: a cut is visible to an HTTP/1.0 caller" \
	t_cut_stream_is_visible_with_http_1_0
check "cut streams: a cut stream is resumed" t_cut_stream_is_resumed
check "cut streams: resumed for an HTTP/1.0 caller" \
	t_cut_stream_is_resumed_with_http_1_0
check "cut streams: a cut error is not resumed" t_cut_error_is_not_resumed
check "cut streams: an odd response does not continue one" \
	t_odd_response_does_not_continue_a_stream
check "cut streams: whole ones stay whole" t_whole_streams
check "cut streams: a plain answer without a length keeps its frame" \
	t_plain_response_without_length_keeps_its_frame
check "cut streams: a plain answer that is reset looks cut" \
	t_plain_response_that_is_reset_looks_cut
check "cut streams: a head that breaks off is no response" \
	t_head_that_breaks_off_is_no_response
check "cut streams: a head that breaks off does not continue one" \
	t_head_that_breaks_off_does_not_continue_a_stream
check "cut streams: an odd status is no response" t_odd_status_is_no_response
check "cut streams: logs and metrics" t_cut_stream_is_logged_as_cut
check "cut streams: a request that crashes servers inside an event" \
	t_request_that_crashes_inside_an_event
echo "$passed passed, $failed failed"
[ $failed = 0 ]
