/* Unit tests of the parts of a prompt that a request lists. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "net/http1.h"
#include "platform/wire.h"

#define HEAD_MAX_BYTES 4096

static int on_head(void *data, const struct mh_http_head *head)
{
	(void)data;
	(void)head;
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

/* Decodes the head of a request; its strings go with @reader. */
static void read_request(struct mh_http_reader *reader, const char *text,
			 struct mh_wire_request *req)
{
	size_t used;

	mh_http_reader_init(reader, HTTP_REQUEST, HEAD_MAX_BYTES, &http_ops,
			    NULL);
	assert_int_equal(mh_http_read(reader, (const uint8_t *)text,
				      strlen(text), &used),
			 MH_HTTP_DONE);
	mh_wire_read_request(&reader->head, req);
}

static void assert_parts(const char *fields, const char *expected)
{
	struct mh_wire_request req;
	struct mh_http_reader reader;
	char text[2048], parts[1024] = "";
	size_t at = 0;
	uint32_t i;

	snprintf(text, sizeof(text), "GET / HTTP/1.1\r\nHost: h\r\n%s\r\n",
		 fields);
	read_request(&reader, text, &req);
	for (i = 0; i < req.n_parts; i++)
		at += (size_t)snprintf(parts + at, sizeof(parts) - at, "%llx ",
				       (unsigned long long)req.parts[i]);
	assert_string_equal(parts, expected);
	mh_http_reader_release(&reader);
}

#define PREFIX "X-Mangohead-Prompt-Prefix: "

/* The last part belongs to the request itself. */
static void test_parts_of_a_prompt(void **state)
{
	(void)state;
	assert_parts(PREFIX "5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n",
		     "5c1e07a2 91bd3f06 ");
	assert_parts(PREFIX "5c1e07a2:800\r\n", "");
	assert_parts(PREFIX "\r\n", "");
	assert_parts("", "");
	assert_parts(PREFIX "A:1, 00a:2,\tb:3,c:4\r\n", "a a b ");
	assert_parts(PREFIX "1:1\r\n" PREFIX "2:1,3:1\r\n", "1 2 ");
	assert_parts(PREFIX "ffffffffffffffff:1,1:1\r\n", "ffffffffffffffff ");
}

/* A malformed part names nothing, and does not hide the others. */
static void test_malformed_parts_name_nothing(void **state)
{
	(void)state;
	assert_parts(PREFIX "xyz:1,2:1,3:1\r\n", "2 ");
	assert_parts(PREFIX "1,2:,3:x,:4,-5:1,,6:1,7:1\r\n", "6 ");
	assert_parts(PREFIX "1:1,2:1,\r\n", "1 ");
	assert_parts(PREFIX ",\r\n", "");
}

/* Identifiers that fit into no number differ like others. */
static void test_long_parts_are_told_apart(void **state)
{
	struct mh_wire_request req;
	struct mh_http_reader reader;
	char text[1024];

	(void)state;
	snprintf(text, sizeof(text),
		 "GET / HTTP/1.1\r\nHost: h\r\n" PREFIX
		 "10000000000000001:1,20000000000000001:1,0:1,"
		 "0010000000000000001:1,9:1\r\n\r\n");
	read_request(&reader, text, &req);
	assert_int_equal(req.n_parts, 4);
	assert_true(req.parts[0] != req.parts[1]);
	assert_true(req.parts[0] == req.parts[3]);
	assert_true(req.parts[2]);
	mh_http_reader_release(&reader);
}

/* Reads a request with parts 1 to @n_parts; the last one is its own. */
static void read_many_parts(uint32_t n_parts, struct mh_wire_request *req,
			    struct mh_http_reader *reader)
{
	char text[16 * (MH_PARTS_MAX + 10)];
	size_t at;
	uint32_t i;

	at = (size_t)sprintf(text,
			     "GET / HTTP/1.1\r\nHost: h\r\n" PREFIX "1:1");
	for (i = 2; i <= n_parts; i++)
		at += (size_t)sprintf(text + at, ",%x:1", i);
	sprintf(text + at, "\r\n\r\n");
	read_request(reader, text, req);
}

/* A hostile header: parts beyond the bound are not kept, which is told. */
static void test_parts_are_bounded(void **state)
{
	struct mh_wire_request req;
	struct mh_http_reader reader;

	(void)state;
	read_many_parts(MH_PARTS_MAX + 1, &req, &reader);
	assert_int_equal(req.n_parts, MH_PARTS_MAX);
	assert_int_equal(req.parts[MH_PARTS_MAX - 1], MH_PARTS_MAX);
	assert_false(req.has_too_many_parts);
	mh_http_reader_release(&reader);

	read_many_parts(MH_PARTS_MAX + 2, &req, &reader);
	assert_int_equal(req.n_parts, MH_PARTS_MAX);
	assert_int_equal(req.parts[MH_PARTS_MAX - 1], MH_PARTS_MAX);
	assert_true(req.has_too_many_parts);
	mh_http_reader_release(&reader);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_parts_of_a_prompt),
		cmocka_unit_test(test_malformed_parts_name_nothing),
		cmocka_unit_test(test_long_parts_are_told_apart),
		cmocka_unit_test(test_parts_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
