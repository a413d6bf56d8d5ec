/*
 * Unit tests of timers and of the structured log.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/clock.h"
#include "net/event_log.h"
#include "net/log_format.h"
#include "net/timers.h"

static void on_fire(void *data)
{
	++*(int *)data;
}

static void test_timers_fire_in_order_and_once(void **state)
{
	struct mh_timers set;
	struct mh_timer a, b;
	int fired = 0;

	(void)state;
	mh_timers_init(&set);
	mh_timer_init(&a, on_fire, &fired);
	mh_timer_init(&b, on_fire, &fired);
	mh_timer_set(&set, &a, 20);
	mh_timer_set(&set, &b, 10);
	mh_timer_set(&set, &b, 30);
	assert_int_equal(mh_timers_run(&set, 15), 20);
	assert_int_equal(mh_timers_run(&set, 25), 30);
	assert_int_equal(fired, 1);
	mh_timer_clear(&set, &b);
	mh_timer_clear(&set, &b);
	assert_true(mh_timers_run(&set, 100) == UINT64_MAX);
	assert_int_equal(fired, 1);
	mh_timers_release(&set);
}

static uint64_t log_now_ns = 5000 * MH_NS_PER_MS;

static uint64_t log_mono(void *data)
{
	(void)data;
	return log_now_ns;
}

static uint64_t log_wall(void *data)
{
	(void)data;
	return 1700000000000ull;
}

static const struct mh_clock log_clock = { log_mono, log_wall, NULL };

/* Opens a log that writes to a pipe with a non-blocking read end. */
static struct mh_event_log *open_log(int fds[2], const char *host)
{
	assert_int_equal(pipe(fds), 0);
	fcntl(fds[0], F_SETFL, O_NONBLOCK);
	return mh_event_log_new(fds[1], host, &log_clock);
}

/* Frees the log and reads what it has written. */
static void read_log(struct mh_event_log *log, const int fds[2], char *text,
		     size_t size)
{
	size_t len = 0;
	ssize_t n;

	mh_event_log_free(log);
	while ((n = read(fds[0], text + len, size - 1 - len)) > 0)
		len += (size_t)n;
	text[len] = '\0';
	close(fds[0]);
	close(fds[1]);
}

static void test_log_drops_lines_if_its_reader_stops(void **state)
{
	struct mh_event_log *log;
	int fds[2], i, second;

	(void)state;
	log = open_log(fds, "host");
	for (second = 0; second < 100; second++) {
		for (i = 0; i < 100; i++)
			mh_event(log, MH_EV_FAILED,
				 "event=failed id=%d text=%0200d", i, i);
		log_now_ns += 1000 * MH_NS_PER_MS;
		mh_event_log_flush(log);
	}
	/* A pipe holds 64 KiB, the log's queue too: the rest was dropped. */
	assert_true(mh_event_log_dropped(log) > 9000);
	mh_event_log_free(log);
	close(fds[0]);
	close(fds[1]);
}

static void test_log_of_a_burst_is_limited_and_counts_the_rest(void **state)
{
	static char text[1 << 20];
	struct mh_event_log *log;
	const char *p;
	int fds[2], i, lines = 0;

	(void)state;
	log = open_log(fds, "host");
	for (i = 0; i < 5000; i++)
		mh_event(log, MH_EV_DONE, "event=done id=%d", i);
	mh_event(log, MH_EV_FAILED, "event=failed id=last");
	log_now_ns += 1000 * MH_NS_PER_MS;
	mh_event(log, MH_EV_DONE, "event=done id=next");
	read_log(log, fds, text, sizeof(text));
	for (p = text; (p = strchr(p, '\n')); p++)
		lines++;
	assert_true(lines < 200);
	assert_non_null(strstr(text, "event=left_out lines=4"));
	/* Failures have a limit of their own. */
	assert_non_null(strstr(text, "id=last"));
	assert_non_null(strstr(text, "level=warn host=host kind=failed"));
}

static void test_log_values_can_not_forge_a_line(void **state)
{
	static char text[4096];
	struct mh_event_log *log;
	int fds[2];

	(void)state;
	log = open_log(fds, "host");
	mh_event(log, MH_EV_FAILED, "event=failed id=%s",
		 "a\nt=1 level=x\r\x1b");
	read_log(log, fds, text, sizeof(text));
	assert_ptr_equal(strchr(text, '\n'), text + strlen(text) - 1);
	assert_null(strchr(text, '\x1b'));
}

static void check_json(const char *text, const char *json)
{
	char *line = mh_log_line_to_json(text);

	assert_string_equal(line, json);
	free(line);
}

static void test_log_line_as_json(void **state)
{
	(void)state;
	check_json("t=1 event=done id=17 held_ms=3",
		   "{\"t\":1,\"event\":\"done\",\"id\":\"17\",\"held_ms\":3}");
	/* A value with spaces and quotes, and an empty one. */
	check_json("error=\"a = \"x\": must be 1\" route= tier=0",
		   "{\"error\":\"a = \\\"x\\\": must be 1\",\"route\":\"\","
		   "\"tier\":0}");
	/* Text from clients: invalid UTF-8, and text that looks like JSON. */
	check_json("id=\xff\" phase=007",
		   "{\"id\":\"?\\\"\",\"phase\":\"007\"}");
	check_json("id={\"t\":2} pace=1.5",
		   "{\"id\":\"{\\\"t\\\":2}\",\"pace\":\"1.5\"}");
	check_json("", "{}");
}

static void test_log_line_back_from_json(void **state)
{
	static const char *const lines[] = {
		"t=1 event=done id=17 route= held_ms=3",
		"t=1 error=\"a = \"x\": must be 1\" tier=0",
	};
	size_t i;

	(void)state;
	for (i = 0; i < 2; i++) {
		char *json = mh_log_line_to_json(lines[i]);
		char *text = mh_log_line_from_json(json);

		assert_string_equal(text, lines[i]);
		free(text);
		free(json);
	}
	assert_null(mh_log_line_from_json("{\"t\":1"));
	assert_null(mh_log_line_from_json("[1]"));
}

static void test_log_writes_json(void **state)
{
	static char text[4096];
	struct mh_event_log *log;
	int fds[2];

	(void)state;
	log = open_log(fds, "h");
	mh_event_log_set_json(log, true);
	mh_event(log, MH_EV_FAILED, "event=failed id=%s", "a\n\"b");
	read_log(log, fds, text, sizeof(text));
	assert_non_null(strstr(text, "\"level\":\"warn\",\"host\":\"h\","
				     "\"kind\":\"failed\",\"event\":\"failed\","
				     "\"id\":\"a\"}\n"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_timers_fire_in_order_and_once),
		cmocka_unit_test(test_log_drops_lines_if_its_reader_stops),
		cmocka_unit_test(
			test_log_of_a_burst_is_limited_and_counts_the_rest),
		cmocka_unit_test(test_log_line_as_json),
		cmocka_unit_test(test_log_line_back_from_json),
		cmocka_unit_test(test_log_writes_json),
		cmocka_unit_test(test_log_values_can_not_forge_a_line),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
