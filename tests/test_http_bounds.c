/* What the reader of HTTP messages bounds, and how it tells framings apart. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "net/http1.h"

#define HEAD_BYTES 32768
#define REPEATS 200000

static int on_head(void *data, const struct mh_http_head *head)
{
	(void)data;
	(void)head;
	return 0;
}

static int on_body(void *data, const uint8_t *bytes, size_t len)
{
	(void)bytes;
	*(size_t *)data += len;
	return 0;
}

static const struct mh_http_ops ops = { on_head, on_body };

static enum mh_http_result_code read_text(struct mh_http_reader *r,
					  const char *text)
{
	size_t used;

	return mh_http_read(r, (const uint8_t *)text, strlen(text), &used);
}

/* Reads a begin, then the same bytes again and again. Return: why the reader
 * stopped, MH_HTTP_MORE if it did not. */
static enum mh_http_result_code read_endless(const char *begin,
					     const char *repeated)
{
	enum mh_http_result_code code = MH_HTTP_MORE;
	struct mh_http_reader r;
	size_t body = 0;
	int i;

	mh_http_reader_init(&r, HTTP_RESPONSE, HEAD_BYTES, &ops, &body);
	if (*begin)
		code = read_text(&r, begin);
	for (i = 0; i < REPEATS && code == MH_HTTP_MORE; i++)
		code = read_text(&r, repeated);
	mh_http_reader_release(&r);
	return code;
}

/* Guards against a peer that keeps the reader busy for ever. */
static void test_messages_without_end_are_rejected(void **state)
{
	static const char chunked[] =
		"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
	char begin[128];

	(void)state;
	assert_int_equal(read_endless("", "\r\n"), MH_HTTP_MALFORMED);
	assert_int_equal(read_endless("", "HTTP/1.1 102 X\r\nA: b\r\n\r\n"),
			 MH_HTTP_MALFORMED);
	assert_int_equal(read_endless("", "\r\nHTTP/1.1 102 X\r\n\r\n"),
			 MH_HTTP_MALFORMED);
	assert_int_equal(read_endless("HTTP/1.1 200 X\r\n", "A: b\r\n"),
			 MH_HTTP_HEAD_TOO_LARGE);
	assert_int_equal(read_endless("HTTP/1.1 200 X\r\nA: ", "bbbb"),
			 MH_HTTP_HEAD_TOO_LARGE);
	snprintf(begin, sizeof(begin), "%s1\r\nx\r\n0\r\n", chunked);
	assert_int_equal(read_endless(begin, "A: b\r\n"), MH_HTTP_MALFORMED);
	snprintf(begin, sizeof(begin), "%s1", chunked);
	assert_int_equal(read_endless(begin, ";n=v"), MH_HTTP_MALFORMED);
}

static void test_few_interim_responses_are_skipped(void **state)
{
	struct mh_http_reader r;
	size_t body = 0;
	int i;

	(void)state;
	mh_http_reader_init(&r, HTTP_RESPONSE, HEAD_BYTES, &ops, &body);
	for (i = 0; i < 3; i++)
		assert_int_equal(
			read_text(&r, "\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n"),
			MH_HTTP_MORE);
	assert_int_equal(
		read_text(&r, "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nab"),
		MH_HTTP_DONE);
	assert_int_equal(r.head.status, 200);
	assert_int_equal(body, 2);
	mh_http_reader_release(&r);
}

static enum mh_http_result_code read_status_line(const char *line,
						 uint16_t *status)
{
	enum mh_http_result_code code;
	struct mh_http_reader r;
	char head[128];
	size_t body = 0;

	mh_http_reader_init(&r, HTTP_RESPONSE, HEAD_BYTES, &ops, &body);
	snprintf(head, sizeof(head), "%s\r\nContent-Length: 0\r\n\r\n", line);
	code = read_text(&r, head);
	*status = r.head.status;
	mh_http_reader_release(&r);
	return code;
}

/* Guards against numbers that are no status (RFC 9110: 100 to 599, three digits) being
 * dropped as interim responses, or handed to callers. */
static void test_odd_statuses_are_malformed(void **state)
{
	static const char *const odd[] = {
		"HTTP/1.1 000 X",  "HTTP/1.1 001 X", "HTTP/1.1 099 X",
		"HTTP/1.1 600 X",  "HTTP/1.1 999 X", "HTTP/1.1 0200 X",
		"HTTP/1.1 2000 X", "HTTP/1.1 20x X", "HTTP/1.1 20 X",
		"HTTP/1.1 2 0 X",  "HTTP/1.1  200",  "HTTP/1.1 -20 X",
		"HTTP/1.1 200X",   "HTTP/1.x 200 X", "HTTP/1.1\t200 X",
		"HTTP/1.1 +20 X",  "HTTP/1.10 200",  "HTTP/1.1 200\tX",
	};
	uint16_t status;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++)
		assert_int_equal(read_status_line(odd[i], &status),
				 MH_HTTP_MALFORMED);
	assert_int_equal(read_status_line("HTTP/1.1 200", &status),
			 MH_HTTP_DONE);
	assert_int_equal(status, 200);
	assert_int_equal(read_status_line("HTTP/1.0 599 X y", &status),
			 MH_HTTP_DONE);
	assert_int_equal(status, 599);
	assert_int_equal(read_status_line("HTTP/1.1 100 ", &status),
			 MH_HTTP_MORE);
}

static enum mh_framing framing_of(const char *head, bool no_body)
{
	struct mh_http_reader r;
	enum mh_framing framing;
	size_t body = 0;

	mh_http_reader_init(&r, HTTP_RESPONSE, HEAD_BYTES, &ops, &body);
	r.no_body = no_body;
	read_text(&r, head);
	framing = mh_http_framing(&r.head, no_body);
	/* The parser agrees: only an end by the connection is one at EOF. */
	assert_int_equal(mh_http_read_eof(&r),
			 framing == MH_FRAMING_CLOSE ||
				 framing == MH_FRAMING_NONE);
	mh_http_reader_release(&r);
	return framing;
}

static void test_framing(void **state)
{
	(void)state;
	assert_int_equal(framing_of("HTTP/1.1 200 X\r\n\r\n", false),
			 MH_FRAMING_CLOSE);
	assert_int_equal(framing_of("HTTP/1.0 200 X\r\n\r\n", false),
			 MH_FRAMING_CLOSE);
	assert_int_equal(framing_of("HTTP/1.1 200 X\r\n\r\n", true),
			 MH_FRAMING_NONE);
	assert_int_equal(framing_of("HTTP/1.1 204 X\r\n\r\n", false),
			 MH_FRAMING_NONE);
	assert_int_equal(
		framing_of("HTTP/1.1 304 X\r\nContent-Length: 7\r\n\r\n",
			   false),
		MH_FRAMING_NONE);
	assert_int_equal(
		framing_of("HTTP/1.1 200 X\r\nContent-Length: 7\r\n\r\nabc",
			   false),
		MH_FRAMING_LENGTH);
	assert_int_equal(
		framing_of("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n"
			   "\r\n1\r\nx\r\n",
			   false),
		MH_FRAMING_CHUNKED);
}

static bool is_event_stream(const char *type)
{
	struct mh_http_reader r;
	char head[128];
	size_t body = 0;
	bool is;

	snprintf(head, sizeof(head), "HTTP/1.1 200 X\r\n%s\r\n\r\n", type);
	mh_http_reader_init(&r, HTTP_RESPONSE, HEAD_BYTES, &ops, &body);
	read_text(&r, head);
	is = mh_http_media_type_is(&r.head, "text/event-stream");
	mh_http_reader_release(&r);
	return is;
}

static void test_media_type(void **state)
{
	(void)state;
	assert_true(is_event_stream("Content-Type: text/event-stream"));
	assert_true(is_event_stream(
		"content-type: Text/Event-Stream ; charset=utf-8"));
	assert_false(is_event_stream("Content-Type: text/event-streams"));
	assert_false(is_event_stream("Content-Type: application/json"));
	assert_false(is_event_stream("Content-Type:"));
	assert_false(is_event_stream("X: text/event-stream"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_messages_without_end_are_rejected),
		cmocka_unit_test(test_few_interim_responses_are_skipped),
		cmocka_unit_test(test_odd_statuses_are_malformed),
		cmocka_unit_test(test_framing),
		cmocka_unit_test(test_media_type),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
