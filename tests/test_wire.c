/*
 * Unit tests of external formats: HTTP messages, the platform's header fields,
 * documents, registrations and records.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "net/http1.h"
#include "platform/document.h"
#include "platform/feed.h"
#include "platform/registration.h"
#include "platform/wire.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
#define HEAD_MAX_BYTES 4096

struct message {
	struct mh_http_reader reader;
	struct mh_buffer body;
	int heads;
	uint16_t status;
};

static int on_head(void *data, const struct mh_http_head *head)
{
	struct message *m = data;

	m->heads++;
	m->status = head->status;
	return 0;
}

static int on_body(void *data, const uint8_t *bytes, size_t len)
{
	return !mh_buffer_add(&((struct message *)data)->body, bytes, len);
}

static const struct mh_http_ops http_ops = { on_head, on_body };

static void init_message(struct message *m, enum http_parser_type type)
{
	memset(m, 0, sizeof(*m));
	mh_http_reader_init(&m->reader, type, HEAD_MAX_BYTES, &http_ops, m);
}

static void release_message(struct message *m)
{
	mh_http_reader_release(&m->reader);
	mh_buffer_release(&m->body);
}

/* Reads a text in pieces of the given size. Return: how the message ended. */
static enum mh_http_result_code read_text(struct message *m, const char *text,
					  size_t len, size_t piece,
					  size_t *total)
{
	enum mh_http_result_code code = MH_HTTP_MORE;
	size_t used;

	*total = 0;
	while (*total < len && code == MH_HTTP_MORE) {
		size_t n = len - *total < piece ? len - *total : piece;

		code = mh_http_read(&m->reader, (const uint8_t *)text + *total,
				    n, &used);
		*total += used;
	}
	return code;
}

static enum mh_http_result_code read_request(const char *text)
{
	struct message m;
	enum mh_http_result_code code;
	size_t total;

	init_message(&m, HTTP_REQUEST);
	code = read_text(&m, text, strlen(text), 1000, &total);
	release_message(&m);
	return code;
}

/* ---- HTTP ---- */

static void test_requests_split_at_any_byte(void **state)
{
	static const char text[] = "POST /a?b HTTP/1.1\r\nHost: h\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n"
				   "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
				   "GET / HTTP/1.1\r\n";
	size_t piece, total, len = strlen(text) - strlen("GET / HTTP/1.1\r\n");

	(void)state;
	for (piece = 1; piece < sizeof(text); piece++) {
		struct message m;

		init_message(&m, HTTP_REQUEST);
		assert_int_equal(
			read_text(&m, text, sizeof(text) - 1, piece, &total),
			MH_HTTP_DONE);
		assert_int_equal(total, len);
		assert_int_equal(m.body.len, 5);
		assert_memory_equal(mh_buffer_front(&m.body), "abcde", 5);
		assert_int_equal(m.reader.head.target.len, 4);
		assert_true(m.reader.head.keep_alive);
		release_message(&m);
	}
}

static void test_ambiguous_requests_are_malformed(void **state)
{
	static const char *const bad[] = {
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		"Content-Length: 4\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		"Content-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0x3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\n"
		"Content-Length: 99999999999999999999\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\n Content-Length: 3\r\n\r\nabc",
		"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nX: a\nY: b\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nX: a\rY: b\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nX: a\x01\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nno colon\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n: empty\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"GET / HTTP/1.1\r\n\r\n",
		"GET  / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1 \r\nHost: h\r\n\r\n",
		"GET /\r\nHost: h\r\n\r\n",
		"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
		"0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		"\r\nzz\r\nabc\r\n0\r\n\r\n",
		"garbage without sense\r\n\r\n",
	};
	size_t i;

	(void)state;
	for (i = 0; i < LEN(bad); i++) {
		if (read_request(bad[i]) != MH_HTTP_MALFORMED)
			fail_msg("accepted: %s", bad[i]);
	}
}

static void test_unknown_transfer_codings_are_reported(void **state)
{
	static const char *const codings[] = {
		"gzip",	    "gzip, chunked", "chunked, gzip",
		"identity", "xchunked",	     "\"chunked\"",
	};
	char text[256];
	size_t i;

	(void)state;
	for (i = 0; i < LEN(codings); i++) {
		snprintf(text, sizeof(text),
			 "POST / HTTP/1.1\r\nHost: h\r\n"
			 "Transfer-Encoding: %s\r\n\r\n",
			 codings[i]);
		assert_int_equal(read_request(text),
				 MH_HTTP_UNKNOWN_TRANSFER_CODING);
	}
}

static void test_head_has_a_limit(void **state)
{
	char text[3 * HEAD_MAX_BYTES];
	int n = snprintf(text, sizeof(text),
			 "GET / HTTP/1.1\r\nHost: h\r\nX: ");

	(void)state;
	memset(text + n, 'a', sizeof(text) - (size_t)n - 1);
	text[sizeof(text) - 1] = '\0';
	assert_int_equal(read_request(text), MH_HTTP_HEAD_TOO_LARGE);
}

static void test_responses_by_length_chunks_or_close(void **state)
{
	static const struct {
		const char *text;
		bool done;
		bool complete_at_eof;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true,
		  false },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", false,
		  false },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2\r\nab\r\n0\r\n\r\n",
		  true, false },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2\r\nab\r\n",
		  false, false },
		{ "HTTP/1.1 200 OK\r\n\r\nab", false, true },
		{ "HTTP/1.1 204 No Content\r\n\r\n", true, false },
		{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
		  "Content-Length: 0\r\n\r\n",
		  true, false },
		{ "HTTP/1.1 200 OK\r\nContent-Le", false, false },
	};
	size_t i, total;

	(void)state;
	for (i = 0; i < LEN(cases); i++) {
		struct message m;
		enum mh_http_result_code code;

		init_message(&m, HTTP_RESPONSE);
		code = read_text(&m, cases[i].text, strlen(cases[i].text), 7,
				 &total);
		assert_int_equal(code,
				 cases[i].done ? MH_HTTP_DONE : MH_HTTP_MORE);
		assert_int_equal(mh_http_read_eof(&m.reader),
				 cases[i].done || cases[i].complete_at_eof);
		release_message(&m);
	}
}

static void test_bytes_after_a_response_are_left_unread(void **state)
{
	static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
				   "\r\nabHTTP/1.1 200 OK\r\n";
	struct message m;
	size_t total;

	(void)state;
	init_message(&m, HTTP_RESPONSE);
	assert_int_equal(read_text(&m, text, sizeof(text) - 1, 1000, &total),
			 MH_HTTP_DONE);
	assert_int_equal(total, sizeof(text) - 1 - 17);
	release_message(&m);
}

static void test_hop_by_hop_fields(void **state)
{
	static const char text[] = "GET / HTTP/1.1\r\nHost: h\r\n"
				   "Connection: x-one , X-Two\r\nX-One: 1\r\n"
				   "X-Two: 2\r\nX-Three: 3\r\n\r\n";
	static const struct {
		const char *name;
		bool hop;
	} cases[] = {
		{ "x-one", true },
		{ "X-TWO", true },
		{ "X-Three", false },
		{ "Connection", true },
		{ "Keep-Alive", true },
		{ "TE", true },
		{ "Transfer-Encoding", true },
		{ "X", false },
	};
	struct message m;
	size_t total, i;

	(void)state;
	init_message(&m, HTTP_REQUEST);
	read_text(&m, text, sizeof(text) - 1, 1000, &total);
	for (i = 0; i < LEN(cases); i++) {
		struct mh_http_text name = { cases[i].name,
					     strlen(cases[i].name) };

		assert_int_equal(mh_http_hop_by_hop(&m.reader.head, name),
				 cases[i].hop);
	}
	release_message(&m);
}

/* ---- the platform's header fields ---- */

static void test_forwarded_head(void **state)
{
	static const char text[] =
		"POST /p/2f?x=1 HTTP/1.1\r\nHost: h.example\r\n"
		"X-Mangohead-Request-Id: 9c41\r\nX-Mangohead-Model: m\r\n"
		"X-Mangohead-Token-Usage: 1460,80\r\n"
		"X-Mangohead-Length-Hint: 55\r\n"
		"X-Mangohead-Deadline-Ms: 8000\r\nApi-Key: secret\r\n"
		"X-Mangohead-Tenant: forged\r\nX-Mangohead-Hold: 1\r\n"
		"X-Mangohead-Pin-Ms: 9\r\nX-Mangohead-Kv-Backup: 1.1.1.1:1\r\n"
		"Kv-From: 1.1.1.1:1/2\r\nKv-Fetch: 1.1.1.1:1\r\n"
		"X-Mangohead-Expect-Instance: forged\r\n"
		"X-Mangohead-Expect-Version: 3\r\n"
		"Connection: close, X-Private\r\nX-Private: 1\r\n"
		"Transfer-Encoding: chunked\r\nLast-Event-Id: 12\r\n"
		"X-Other: kept\r\n\r\n2\r\nab\r\n0\r\n\r\n";
	static const char expected[] =
		"POST /p/2f?x=1 HTTP/1.1\r\nHost: h.example\r\n"
		"X-Mangohead-Request-Id: 9c41\r\nX-Mangohead-Model: m\r\n"
		"X-Mangohead-Token-Usage: 1460,80\r\n"
		"X-Mangohead-Length-Hint: 55\r\n"
		"Last-Event-Id: 12\r\nX-Other: kept\r\n"
		"X-Mangohead-Deadline-Ms: 7000\r\n"
		"X-Mangohead-Expect-Instance: i-1\r\n"
		"X-Mangohead-Tenant: acct\r\nContent-Length: 2\r\n\r\n";
	struct mh_wire_forward add = { .server = "i-1",
				       .account = "acct",
				       .deadline_ms = 7000,
				       .body_len = 2 };
	struct mh_wire_request req;
	struct mh_buffer out = { 0 };
	struct message m;
	size_t total;

	(void)state;
	init_message(&m, HTTP_REQUEST);
	assert_int_equal(read_text(&m, text, sizeof(text) - 1, 1000, &total),
			 MH_HTTP_DONE);
	mh_wire_read_request(&m.reader.head, &req);
	assert_int_equal(req.deadline_ms, 8000);
	assert_int_equal(req.prompt_tokens, 1460);
	assert_int_equal(req.output_tokens, 80);
	assert_int_equal(req.expected_tokens, 55);
	assert_true(mh_http_text_is(req.key, "secret"));
	assert_true(mh_wire_write_request(&out, &m.reader.head, &add));
	assert_int_equal(out.len, sizeof(expected) - 1);
	assert_memory_equal(mh_buffer_front(&out), expected, out.len);
	/* A resumed stream names the last event that was forwarded. */
	mh_buffer_release(&out);
	add.last_event = "17";
	mh_wire_write_request(&out, &m.reader.head, &add);
	mh_buffer_add(&out, "", 1);
	assert_non_null(
		strstr((char *)mh_buffer_front(&out), "Last-Event-Id: 17\r\n"));
	assert_null(
		strstr((char *)mh_buffer_front(&out), "Last-Event-Id: 12\r\n"));
	mh_buffer_release(&out);
	release_message(&m);
}

static void read_response(const char *text, struct message *m,
			  struct mh_wire_response *out)
{
	size_t total;

	init_message(m, HTTP_RESPONSE);
	read_text(m, text, strlen(text), 1000, &total);
	mh_wire_read_response(&m->reader.head, out);
}

static void test_headers_of_responses(void **state)
{
	struct mh_wire_response a;
	struct message m;

	(void)state;
	read_response(
		"HTTP/1.1 200 OK\r\nX-Mangohead-Request-Id: 7\r\n"
		"X-Mangohead-Response-Signature: s\r\n"
		"X-Mangohead-Server-Load: 3,1,8\r\n"
		"Keep-Alive: max=4, timeout=5\r\nContent-Length: 0\r\n\r\n",
		&m, &a);
	assert_true(a.is_signed && a.has_load && !a.not_run);
	assert_int_equal(a.running, 3);
	assert_int_equal(a.waiting, 1);
	assert_int_equal(a.keep_alive_s, 5);
	release_message(&m);
	read_response("HTTP/1.1 503 No\r\nX-Mangohead-Not-Executed: 1\r\n"
		      "Content-Length: 0\r\n\r\n",
		      &m, &a);
	assert_true(a.not_run && !a.is_signed);
	release_message(&m);
	read_response("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", &m, &a);
	assert_true(a.not_run);
	release_message(&m);
	read_response("HTTP/1.1 503 No\r\nContent-Length: 0\r\n"
		      "Content-Encoding: gzip\r\nKeep-Alive: timeout=x\r\n"
		      "X-Mangohead-Server-Load: ,,\r\n\r\n",
		      &m, &a);
	assert_false(a.not_run);
	assert_true(a.is_encoded);
	assert_false(a.has_load);
	release_message(&m);
}

/* ---- documents and registrations ---- */

static const char document[] =
	"{\"version\":7,\"future\":{},\"routes\":[{\"name\":\"r\","
	"\"host\":\"h.example\",\"path_prefix\":\"/a/\",\"route_type\":"
	"\"stream\",\"timeout_ms\":8000,\"target_latency_ms\":600,"
	"\"priority\":2,\"backends\":[{\"service\":\"s\",\"weight\":90},"
	"{\"service\":\"t\",\"weight\":10}],\"max_attempts\":2,"
	"\"public\":false,\"sticky\":true,\"resumable\":true,"
	"\"target_gap_ms\":250}],\"services\":[{\"name\":\"s\","
	"\"max_connections\":620,\"engine\":{\"slots\":9,"
	"\"kv_capacity_tokens\":1418804}}],\"limits\":{\"max_body_bytes\":9},"
	"\"tenants\":[{\"name\":\"acct\",\"api_keys\":[\"k\"],\"priority\":1,"
	"\"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":10.5,"
	"\"burst\":20}]}";

static void test_document(void **state)
{
	const struct mh_client_account *account;
	const struct mh_route *r;
	struct mh_routes *set;
	char err[100] = "";

	(void)state;
	set = mh_document_decode(document, sizeof(document) - 1, err,
				 sizeof(err));
	assert_non_null(set);
	assert_int_equal(mh_routes_version(set), 7);
	r = mh_routes_find(set, "h.example", 9, "/a/x", 4);
	assert_non_null(r);
	assert_int_equal(r->kind, MH_ROUTE_STREAM);
	assert_int_equal(r->n_targets, 2);
	assert_true(r->is_resumable && r->is_generation && !r->is_public);
	/* 4 x 600 ms, as this is longer than 2 s and 8 x 250 ms. */
	assert_int_equal(r->client_idle_timeout_ms, 2400);
	assert_int_equal(mh_routes_service(set, "s")->places, 9);
	account = mh_routes_account_by_key(set, "k", 1);
	assert_true(account->has_tier && account->in_tokens);
	assert_int_equal(account->plain_tokens, 200);
	assert_int_equal(mh_routes_limits(set)->max_body_bytes, 9);
	mh_routes_unref(set);
}

static void test_bad_documents_say_what_is_wrong(void **state)
{
	static const struct {
		const char *text;
		const char *err_part;
	} cases[] = {
		{ "", "line" },
		{ "[]", "version" },
		{ "{\"version\":\"7\"}", "version" },
		{ "{\"version\":-1}", "version" },
		{ "{\"version\":1,\"routes\":[{}]}", "routes[0]" },
		{ "{\"version\":1,\"routes\":[{\"host\":\"h\","
		  "\"path_prefix\":\"/\",\"route_type\":\"odd\","
		  "\"service\":\"s\"}]}",
		  "routes[0]" },
		{ "{\"version\":1,\"services\":[{\"name\":1}]}",
		  "services[0]" },
		{ "{\"version\":1,\"tenants\":[7]}", "tenants[0]" },
	};
	char err[100];
	size_t i;

	(void)state;
	for (i = 0; i < LEN(cases); i++) {
		err[0] = '\0';
		assert_null(mh_document_decode(cases[i].text,
					       strlen(cases[i].text), err,
					       sizeof(err)));
		if (!strstr(err, cases[i].err_part))
			fail_msg("%s: %s", cases[i].text, err);
	}
}

static bool decode_registration(const char *id, const char *text)
{
	struct mh_registration e;
	char err[64] = "";
	bool ok = mh_registration_decode(id, text, strlen(text), &e, err,
					 sizeof(err));

	if (ok)
		mh_registration_release(&e);
	else
		assert_true(*err);
	return ok;
}

#define REGISTRATION_TAIL                                                      \
	"\"service\":\"s\",\"zone\":\"z\",\"slots\":9,\"state\":\"ready\","    \
	"\"sequence\":4"

static void test_registrations(void **state)
{
	static const char *const bad[] = {
		"",
		"7",
		"\xff\xfe",
		"{}",
		"{\"address\":\"no address\"," REGISTRATION_TAIL "}",
		"{\"address\":\"1.2.3.4:0\"," REGISTRATION_TAIL "}",
		"{\"address\":7," REGISTRATION_TAIL "}",
		"{\"address\":\"1.2.3.4:5\",\"service\":\"s\",\"zone\":\"z\","
		"\"slots\":0,\"state\":\"ready\",\"sequence\":4}",
		"{\"address\":\"1.2.3.4:5\",\"service\":\"s\",\"zone\":\"z\","
		"\"slots\":9,\"state\":\"odd\",\"sequence\":4}",
		"{\"address\":\"1.2.3.4:5\",\"service\":\"s\",\"zone\":\"z\","
		"\"slots\":9,\"state\":\"ready\",\"sequence\":\"4\"}",
		"{\"address\":\"1.2.3.4:5\",\"born\":\"x\"," REGISTRATION_TAIL
		"}",
		/* After these no registration of the server would be newer. */
		"{\"address\":\"1.2.3.4:5\",\"born\":9223372036854775807," REGISTRATION_TAIL
		"}",
		"{\"address\":\"1.2.3.4:5\",\"service\":\"s\",\"zone\":\"z\","
		"\"slots\":9,\"state\":\"ready\","
		"\"sequence\":9223372036854775807}",
	};
	size_t i;

	(void)state;
	assert_true(decode_registration(
		"i-1",
		"{\"address\":\"1.2.3.4:5\",\"new\":[]," REGISTRATION_TAIL
		"}"));
	assert_true(decode_registration(
		"i-1", "{\"address\":\"1.2.3.4:5\","
		       "\"born\":1700000000000," REGISTRATION_TAIL "}"));
	assert_false(decode_registration(
		"i 1\r\nX: y",
		"{\"address\":\"1.2.3.4:5\"," REGISTRATION_TAIL "}"));
	for (i = 0; i < LEN(bad); i++) {
		if (decode_registration("i-1", bad[i]))
			fail_msg("accepted: %s", bad[i]);
	}
}

/* Guards against a name of megabytes that is passed on to all processes. */
static void test_long_names_are_rejected(void **state)
{
	static const char plain[] =
		"{\"address\":\"1.2.3.4:5\"," REGISTRATION_TAIL "}";
	size_t len;

	(void)state;
	for (len = 255; len <= 4 << 20; len = len == 255 ? 256 : len * 64) {
		char *name = calloc(1, len + 1), *text = malloc(len + 256);

		assert_true(name && text);
		memset(name, 'x', len);
		assert_int_equal(decode_registration(name, plain), len == 255);
		sprintf(text,
			"{\"address\":\"1.2.3.4:5\",\"service\":\"%s\","
			"\"zone\":\"z\",\"slots\":9,"
			"\"state\":\"ready\",\"sequence\":4}",
			name);
		assert_int_equal(decode_registration("i-1", text), len == 255);
		free(name);
		free(text);
	}
}

/* ---- records ---- */

struct records {
	int n;
	int removed;
	char last[16];
};

static void on_record(void *data, const char *key, const uint8_t *value,
		      size_t len)
{
	struct records *r = data;

	r->n++;
	if (!value)
		r->removed++;
	snprintf(r->last, sizeof(r->last), "%s=%.*s", key, (int)len,
		 value ? (const char *)value : "");
}

static void test_records_of_a_topic(void **state)
{
	static const uint8_t gone[] = { 0, 0, 0, 2, 1, 'k' };
	struct mh_buffer buf = { 0 };
	struct records r = { 0 };
	uint8_t offsets[16] = { 0 };
	struct mh_record_offsets read;
	size_t cut;

	(void)state;
	mh_buffer_add(&buf, offsets, sizeof(offsets));
	mh_feed_encode_record(&buf, "k", "abc");
	mh_buffer_add(&buf, gone, sizeof(gone));
	assert_true(mh_feed_decode_records(mh_buffer_front(&buf), buf.len, 40,
					   on_record, &r, &read));
	assert_int_equal(r.n, 2);
	assert_int_equal(r.removed, 1);
	assert_string_equal(r.last, "k=");
	assert_int_equal(read.next, 42);
	/* It is rejected if truncated anywhere but between records. */
	for (cut = 0; cut < buf.len; cut++) {
		bool between = cut == 16 || cut == 16 + 4 + 1 + 1 + 3;

		assert_int_equal(mh_feed_decode_records(mh_buffer_front(&buf),
							cut, 0, on_record, &r,
							&read),
				 between);
	}
	mh_buffer_release(&buf);
}

/* ---- fuzz ---- */

static void fuzz_message(struct mh_rng *rng, const char *seed,
			 enum http_parser_type type)
{
	size_t len = strlen(seed), i, total, changes = mh_rng_next(rng) % 4 + 1;
	struct message m;
	char text[1024];

	memcpy(text, seed, len);
	for (i = 0; i < changes; i++)
		text[mh_rng_next(rng) % len] = (char)mh_rng_next(rng);
	init_message(&m, type);
	read_text(&m, text, len, mh_rng_next(rng) % len + 1, &total);
	assert_true(total <= len);
	if (m.heads) {
		struct mh_wire_request req;
		struct mh_wire_response response;

		mh_wire_read_request(&m.reader.head, &req);
		mh_wire_read_response(&m.reader.head, &response);
	}
	mh_http_read_eof(&m.reader);
	release_message(&m);
}

static void fuzz_text(struct mh_rng *rng, const char *seed, size_t len)
{
	size_t i, changes = mh_rng_next(rng) % 4 + 1;
	char *text = malloc(len), err[64];
	struct mh_registration e;
	struct records r = { 0 };
	struct mh_record_offsets read;

	assert_non_null(text);
	memcpy(text, seed, len);
	for (i = 0; i < changes; i++)
		text[mh_rng_next(rng) % len] = (char)mh_rng_next(rng);
	mh_routes_unref(mh_document_decode(text, len, err, sizeof(err)));
	if (mh_registration_decode("i", text, len, &e, err, sizeof(err)))
		mh_registration_release(&e);
	mh_feed_decode_records((uint8_t *)text, len, 0, on_record, &r, &read);
	free(text);
}

static void test_fuzz_decoders(void **state)
{
	static const char reg[] =
		"{\"address\":\"1.2.3.4:5\"," REGISTRATION_TAIL "}";
	static const char records[] = "\0\0\0\0\0\0\0\1\0\0\0\0\0\0\0\0"
				      "\0\0\0\5\1kabc\0\0\0\2\1k";
	struct mh_rng rng = { 42 };
	int i;

	(void)state;
	for (i = 0; i < 20000; i++) {
		fuzz_message(&rng,
			     "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:"
			     " chunked\r\nX-Mangohead-Token-Usage: 1,2\r\n\r\n"
			     "3\r\nabc\r\n0\r\n\r\n",
			     HTTP_REQUEST);
		fuzz_message(&rng,
			     "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n"
			     "Keep-Alive: timeout=3\r\n"
			     "Retry-After: 2.25\r\nServer-Leaving: 1\r\n"
			     "X-Mangohead-Server-Load: 1,2,3\r\n\r\n"
			     "hello, world",
			     HTTP_RESPONSE);
		fuzz_text(&rng, document, sizeof(document) - 1);
		fuzz_text(&rng, reg, sizeof(reg) - 1);
		fuzz_text(&rng, records, sizeof(records) - 1);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_requests_split_at_any_byte),
		cmocka_unit_test(test_ambiguous_requests_are_malformed),
		cmocka_unit_test(test_unknown_transfer_codings_are_reported),
		cmocka_unit_test(test_head_has_a_limit),
		cmocka_unit_test(test_responses_by_length_chunks_or_close),
		cmocka_unit_test(test_bytes_after_a_response_are_left_unread),
		cmocka_unit_test(test_hop_by_hop_fields),
		cmocka_unit_test(test_forwarded_head),
		cmocka_unit_test(test_headers_of_responses),
		cmocka_unit_test(test_document),
		cmocka_unit_test(test_bad_documents_say_what_is_wrong),
		cmocka_unit_test(test_registrations),
		cmocka_unit_test(test_long_names_are_rejected),
		cmocka_unit_test(test_records_of_a_topic),
		cmocka_unit_test(test_fuzz_decoders),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
