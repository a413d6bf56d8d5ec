/*
 * Unit tests of the header fields by which a server asks for a pause, says that
 * it leaves, or states a limit.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "core/server_notices.h"
#include "net/http1.h"
#include "platform/wire.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
#define HEAD_MAX_BYTES 4096

static int on_head(void *data, const struct mh_http_head *head)
{
	mh_wire_read_response(head, data);
	return 0;
}

static int on_body(void *data, const uint8_t *bytes, size_t len)
{
	(void)data;
	(void)bytes;
	(void)len;
	return 0;
}

static const struct mh_http_ops http_ops = { on_head, on_body };

static void read_response(const char *text, struct mh_wire_response *out)
{
	struct mh_http_reader reader;
	size_t used;

	mh_http_reader_init(&reader, HTTP_RESPONSE, HEAD_MAX_BYTES, &http_ops,
			    out);
	assert_int_equal(mh_http_read(&reader, (const uint8_t *)text,
				      strlen(text), &used),
			 MH_HTTP_DONE);
	mh_http_reader_release(&reader);
}

static void test_pause_of_a_refusal(void **state)
{
	static const struct {
		const char *fields;
		uint32_t pause_ms;
		bool is_malformed;
	} cases[] = {
		{ "Retry-After: 2\r\n", 2000, false },
		{ "Retry-After: 0.25\r\n", 250, false },
		{ "Retry-After: 1.0005\r\n", 1001, false },
		{ "Retry-After: 0\r\n", 0, false },
		{ "Retry-After: 1000000000\r\n", MH_PAUSE_MAX_MS, false },
		{ "Retry-After: 99999999999999999999\r\n", MH_PAUSE_MAX_MS,
		  false },
		{ "Retry-After: 1\r\nretry-after: 3\r\n", 3000, false },
		{ "Retry-After: 1\r\nRetry-After: x\r\n", 1000, true },
		{ "Retry-After: -1\r\n", 0, true },
		{ "Retry-After: soon\r\n", 0, true },
		{ "Retry-After: 1e9\r\n", 0, true },
		{ "Retry-After:\r\n", 0, true },
		{ "Retry-After: 1.x\r\n", 0, true },
		{ "Retry-After: .5\r\n", 0, true },
		{ "Retry-After: Fri, 04 Dec 2026 09:00:00 GMT\r\n", 0, true },
		{ "", 0, false },
	};
	struct mh_wire_response response;
	char text[256];
	size_t i;

	(void)state;
	for (i = 0; i < LEN(cases); i++) {
		snprintf(text, sizeof(text),
			 "HTTP/1.1 503 No\r\nContent-Length: 0\r\n%s\r\n",
			 cases[i].fields);
		read_response(text, &response);
		assert_int_equal(response.pause_ms, cases[i].pause_ms);
		assert_int_equal(response.is_malformed, cases[i].is_malformed);
	}
	/* Other statuses mean the client by it. */
	read_response("HTTP/1.1 429 No\r\nContent-Length: 0\r\n"
		      "Retry-After: 2\r\n\r\n",
		      &response);
	assert_int_equal(response.pause_ms, 0);
}

static void test_leaving_server_says_so(void **state)
{
	static const struct {
		const char *value;
		bool is_leaving;
		bool is_malformed;
	} cases[] = {
		{ "1", true, false },	{ "0", false, false },
		{ "yes", false, true }, { "", false, true },
		{ "11", false, true },
	};
	struct mh_wire_response response;
	char text[256];
	size_t i;

	(void)state;
	for (i = 0; i < LEN(cases); i++) {
		snprintf(text, sizeof(text),
			 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
			 "server-leaving: %s\r\n\r\n",
			 cases[i].value);
		read_response(text, &response);
		assert_int_equal(response.is_leaving, cases[i].is_leaving);
		assert_int_equal(response.is_malformed, cases[i].is_malformed);
	}
}

/* Guards against a malformed limit that counts as one, or as the end of one. */
static void test_limit_of_a_server(void **state)
{
	static const struct {
		const char *fields;
		bool has_limit;
		uint32_t millihz;
		bool is_malformed;
	} cases[] = {
		{ "", false, MH_NO_LIMIT, false },
		{ "Server-Limit: 1.7\r\n", true, 1700, false },
		{ "server-limit: 12\r\n", true, 12000, false },
		{ "Server-Limit: 0\r\n", true, 0, false },
		{ "Server-Limit: 0.0004\r\n", true, 0, false },
		{ "Server-Limit: 4\r\nServer-Limit: 2.5\r\n", true, 2500,
		  false },
		{ "Server-Limit: 4\r\nServer-Limit: x\r\n", true, 4000, true },
		{ "Server-Limit: 99999999999999999999\r\n", true, MH_NO_LIMIT,
		  false },
		{ "Server-Limit: -3\r\n", true, MH_NO_LIMIT, true },
		{ "Server-Limit: nan\r\n", true, MH_NO_LIMIT, true },
		{ "Server-Limit: 1e400\r\n", true, MH_NO_LIMIT, true },
		{ "Server-Limit: .5\r\n", true, MH_NO_LIMIT, true },
		{ "Server-Limit: 5.\r\n", true, MH_NO_LIMIT, true },
		{ "Server-Limit: 2, 3\r\n", true, MH_NO_LIMIT, true },
		{ "Server-Limit:\r\n", true, MH_NO_LIMIT, true },
	};
	struct mh_wire_response response;
	char text[256];
	size_t i;

	(void)state;
	for (i = 0; i < LEN(cases); i++) {
		snprintf(text, sizeof(text),
			 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s\r\n",
			 cases[i].fields);
		read_response(text, &response);
		assert_int_equal(response.has_limit, cases[i].has_limit);
		assert_int_equal(response.limit_millihz, cases[i].millihz);
		assert_int_equal(response.is_malformed, cases[i].is_malformed);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pause_of_a_refusal),
		cmocka_unit_test(test_leaving_server_says_so),
		cmocka_unit_test(test_limit_of_a_server),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
