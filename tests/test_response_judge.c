/* Events in a stream, and whether a response is whole. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#include "core/response_judge.h"

/* Reads a text in pieces. Return: how the stream ends. */
static enum mh_response_end judge_pieces(const char *text,
					 enum mh_framing framing, size_t piece)
{
	size_t i, len = strlen(text);
	struct mh_response_judge j;

	mh_response_judge_begin(&j, framing, true, false);
	for (i = 0; i < len; i += piece)
		mh_response_judge_read(&j, (const uint8_t *)text + i,
				       len - i < piece ? len - i : piece);
	return mh_response_judge_end(&j, true);
}

static void assert_ends(const char *text, enum mh_response_end chunked,
			enum mh_response_end closed)
{
	size_t piece;

	for (piece = 1; piece <= strlen(text) + 1; piece++) {
		assert_int_equal(judge_pieces(text, MH_FRAMING_CHUNKED, piece),
				 chunked);
		assert_int_equal(judge_pieces(text, MH_FRAMING_CLOSE, piece),
				 closed);
	}
}

static void assert_whole(const char *text)
{
	assert_ends(text, MH_RESPONSE_WHOLE, MH_RESPONSE_UNPROVEN);
}

static void assert_cut(const char *text)
{
	assert_ends(text, MH_RESPONSE_CUT_EVENT, MH_RESPONSE_CUT_EVENT);
}

/* Guards against a stream that ends inside an event being taken for whole. */
static void test_stream_that_ends_inside_an_event_is_cut(void **state)
{
	(void)state;
	assert_cut("id: 1\ndata: a\n\nid: 2\nda");
	assert_cut("id: 1\ndata: a\n\nid: 2\ndata: b\n");
	assert_cut("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n");
	assert_cut("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r");
	assert_cut("data: a\r\rdata: b\r");
	assert_cut("data");
	assert_cut("data: a\n\n: half a comm");
	assert_cut("data: a\n\ndata: b\n: comment\n");
	assert_cut("data: a\n\n\xef\xbb");
	assert_cut("\xef\xbb");
}

static void test_stream_that_ends_between_events_is_not_cut(void **state)
{
	(void)state;
	assert_whole("id: 1\ndata: a\n\n");
	assert_whole("id: 1\r\ndata: a\r\n\r\n");
	assert_whole("data: a\r\r");
	assert_whole("data: a\r\n\r");
	assert_whole("data: a\n\r\n");
	assert_whole("data: a\n\n: comment\n");
	assert_whole(": comment\n\ndata: a\n\n\n");
	assert_whole("\xef\xbb\xbf"
		     "data: a\n\n");
	assert_whole("\xef\xbb\xbf\n"
		     "data: a\n\n");
	assert_whole(":\ndata:\n\n");
}

/* Guards against a stream that was closed at once being taken for whole. */
static void test_stream_without_any_event(void **state)
{
	struct mh_response_judge j;

	(void)state;
	assert_ends("", MH_RESPONSE_WHOLE, MH_RESPONSE_NO_EVENT);
	assert_ends(": comment\n\n", MH_RESPONSE_WHOLE, MH_RESPONSE_NO_EVENT);
	mh_response_judge_begin(&j, MH_FRAMING_CLOSE, true, true);
	assert_int_equal(mh_response_judge_end(&j, true), MH_RESPONSE_UNPROVEN);
}

static void test_plain_response_is_judged_by_its_framing(void **state)
{
	static const struct {
		enum mh_framing framing;
		enum mh_response_end end;
	} cases[] = {
		{ MH_FRAMING_NONE, MH_RESPONSE_WHOLE },
		{ MH_FRAMING_LENGTH, MH_RESPONSE_WHOLE },
		{ MH_FRAMING_CHUNKED, MH_RESPONSE_WHOLE },
		{ MH_FRAMING_CLOSE, MH_RESPONSE_UNPROVEN },
	};
	struct mh_response_judge j;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		mh_response_judge_begin(&j, cases[i].framing, false, false);
		assert_int_equal(
			mh_response_judge_read(&j, (const uint8_t *)"{\"a", 3),
			3);
		assert_int_equal(mh_response_judge_end(&j, true), cases[i].end);
		assert_int_equal(mh_response_judge_end(&j, false),
				 MH_RESPONSE_CUT);
	}
	assert_false(mh_response_is_cut(MH_RESPONSE_UNPROVEN));
	assert_true(mh_response_is_cut(MH_RESPONSE_NO_EVENT));
}

static void test_events_and_ids(void **state)
{
	static const char text[] = "\xef\xbb\xbfid: 1\ndata: a\n\n"
				   ": c\nid:22\r\ndata: id: 9\r\n\r\n"
				   "idx: 3\ndata\n\nid: 4\nda";
	struct mh_event_stream es = { 0 };
	size_t open = strlen("id: 4\nda");

	(void)state;
	assert_int_equal(mh_event_stream_read(&es, (const uint8_t *)text,
					      sizeof(text) - 1),
			 sizeof(text) - 1 - open);
	assert_int_equal(es.events, 3);
	assert_string_equal(es.last_id, "22");
	assert_int_equal(mh_event_stream_read(&es, (const uint8_t *)"ta\n", 3),
			 0);
	assert_string_equal(es.last_id, "22");
	assert_int_equal(mh_event_stream_read(&es, (const uint8_t *)"\nx", 2),
			 1);
	assert_string_equal(es.last_id, "4");
	assert_int_equal(es.events, 4);
}

static void test_id_that_is_too_long(void **state)
{
	struct mh_event_stream es = { 0 };
	char text[256];
	int len;

	(void)state;
	len = snprintf(text, sizeof(text), "id: 7\n\nid: %0*d\n",
		       MH_EVENT_ID_BYTES, 1);
	mh_event_stream_read(&es, (const uint8_t *)text, (size_t)len);
	assert_false(es.id_too_long);
	mh_event_stream_read(&es, (const uint8_t *)"\n", 1);
	assert_true(es.id_too_long);
	assert_string_equal(es.last_id, "7");
}

/* Guards against bytes without end that cost time in the square of their
 * number: 64 MiB of one event take less than 3 s, however they are cut up. */
static void test_event_without_end_takes_linear_time(void **state)
{
	static uint8_t block[1448];
	struct mh_event_stream es = { 0 };
	clock_t begin = clock();
	size_t i;

	(void)state;
	memset(block, 'x', sizeof(block));
	for (i = 0; i < (64u << 20) / sizeof(block); i++)
		assert_int_equal(
			mh_event_stream_read(&es, block, sizeof(block)), 0);
	assert_true(clock() - begin < 3 * CLOCKS_PER_SEC);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stream_that_ends_inside_an_event_is_cut),
		cmocka_unit_test(
			test_stream_that_ends_between_events_is_not_cut),
		cmocka_unit_test(test_stream_without_any_event),
		cmocka_unit_test(test_plain_response_is_judged_by_its_framing),
		cmocka_unit_test(test_events_and_ids),
		cmocka_unit_test(test_id_that_is_too_long),
		cmocka_unit_test(test_event_without_end_takes_linear_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
