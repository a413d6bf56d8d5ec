/*
 * Unit tests of the clients of the store's topics. A fake store on a thread of
 * its own gives one scripted response for each call, in order.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
/* cmocka.h needs the headers above. */
#include <cmocka.h>

#include "platform/feed.h"
#include "platform/host_list.h"
#include "platform/log_client.h"
#include "platform/records.h"
#include "tests/fake_store.h"

static struct mh_host_list *hosts;

static void on_start(void *data, uint64_t first_offset, uint64_t first_ms)
{
	char text[64];

	snprintf(text, sizeof(text), "start:%llu:%llu",
		 (unsigned long long)first_offset,
		 (unsigned long long)first_ms);
	add_event(data, text);
}

static void on_record(void *data, uint64_t offset, uint64_t when_ms,
		      const uint8_t *bytes, size_t len)
{
	char text[64];

	snprintf(text, sizeof(text), "%llu:%llu:%.*s",
		 (unsigned long long)offset, (unsigned long long)when_ms,
		 (int)len, (const char *)bytes);
	add_event(data, text);
}

static void on_log_state(void *data, bool up)
{
	(void)data;
	(void)up;
}

static const struct mh_log_ops log_ops = { on_start, on_record, on_log_state };

/*
 * End offset 2, first offset 0; two records of one letter, appended at 5 and
 * 6 ms.
 */
#define U64(n) "\0\0\0\0\0\0\0" n
static const char two[] =
	U64("\2") U64("\0") "\0\0\0\11" U64("\5") "a"
						  "\0\0\0\11" U64("\6") "b";
/* The same topic later: end offset 9, first offset 8. */
static const char late[] = U64("\11") U64("\10") "\0\0\0\11" U64("\7") "c";
static const char gone[] = "{\"first\":8}";
static const char cut[] = U64("\2") U64("\0") "\0\0\0\11" U64("\5");

static void test_log_is_followed(void **state)
{
	static const struct step steps[] = {
		{ "from=0&wait_ms=0 ", 503, NULL, 0, NULL },
		{ "from=0&wait_ms=0 ", 0, NULL, 0, NULL },
		{ "from=0&wait_ms=0 ", 200, cut, sizeof(cut) - 1, NULL },
		{ "from=0&wait_ms=0 ", 200, two, sizeof(two) - 1, NULL },
		{ "from=2&wait_ms=1000 ", 410, gone, sizeof(gone) - 1, NULL },
		{ "from=8&wait_ms=0 ", 200, late, sizeof(late) - 1, NULL },
	};
	struct mh_log_follower *f;
	struct fixture fx;

	(void)state;
	open_store(&fx, steps, LEN(steps));
	f = mh_log_follow(&fx.env, "t", &log_ops, &fx);
	run_until_events(&fx, 5);
	mh_log_unfollow(f);
	/* After a gap the log starts with the first retained record. */
	assert_string_equal(fx.events,
			    "start:0:0 0:5:a 1:6:b start:8:7 8:7:c ");
	close_store(&fx);
}

/* No record is retained: the log starts at the current time, not at 0. */
static void test_log_that_expired_completely(void **state)
{
	static const char empty[] = U64("\10") U64("\10");
	static const struct step steps[] = {
		{ "from=0&", 410, gone, sizeof(gone) - 1, NULL },
		{ "from=8&", 200, empty, sizeof(empty) - 1, NULL },
	};
	uint64_t now_ms = mh_clock_wall_ms(&mh_system_clock);
	unsigned long long offset, first_ms;
	struct mh_log_follower *f;
	struct fixture fx;

	(void)state;
	open_store(&fx, steps, LEN(steps));
	f = mh_log_follow(&fx.env, "t", &log_ops, &fx);
	run_until_events(&fx, 1);
	mh_log_unfollow(f);
	assert_int_equal(
		sscanf(fx.events, "start:%llu:%llu", &offset, &first_ms), 2);
	assert_int_equal(offset, 8);
	assert_in_range(first_ms, now_ms, now_ms + WAIT_LIMIT_MS);
	close_store(&fx);
}

static void on_append(void *data, enum mh_append_result result)
{
	static const char *const names[] = { "done", "refused", "unknown" };

	add_event(data, names[result]);
}

/* A lost response is distinguished from a refusal, and neither is retried. */
static void test_append_once(void **state)
{
	static const struct step steps[] = {
		{ "POST /log-append?topic=t&part=0 ", 200, NULL, 0, NULL },
		{ "POST /log-append", 503, NULL, 0, NULL },
		{ "POST /log-append", 0, NULL, 0, NULL },
		{ "POST /log-append", 200, NULL, 0, NULL },
	};
	struct mh_log_appender *a;
	struct fixture fx;
	size_t i;

	(void)state;
	open_store(&fx, steps, LEN(steps));
	a = mh_log_appender_new(&fx.env, NULL, NULL);
	for (i = 0; i < LEN(steps); i++)
		mh_log_append_once(a, "t", "x", 1, on_append, &fx);
	run_until_events(&fx, LEN(steps));
	assert_string_equal(fx.events, "done refused unknown done ");
	assert_true(mh_log_appender_idle(a));
	mh_log_appender_free(a);
	close_store(&fx);
}

static void on_append_state(void *data, bool up)
{
	add_event(data, up ? "up" : "down");
}

/* Records of a topic are sent together, in order, until the store has them. */
static void test_append_until_done(void **state)
{
	static const struct step steps[] = {
		{ "topic=t&", 503, NULL, 0, NULL },
		{ "topic=t&", 0, NULL, 0, NULL },
		{ "topic=t&", 200, NULL, 0, NULL },
		{ "topic=u&", 200, NULL, 0, NULL },
	};
	struct mh_log_appender *a;
	struct fixture fx;

	(void)state;
	open_store(&fx, steps, LEN(steps));
	a = mh_log_appender_new(&fx.env, on_append_state, &fx);
	mh_log_append(a, "t", "x", 1);
	mh_log_append(a, "t", "y", 1);
	mh_log_append(a, "u", "z", 1);
	assert_false(mh_log_appender_idle(a));
	run_until_events(&fx, LEN(steps));
	/* Two failures in a row are no outage yet. */
	assert_string_equal(fx.events, "up up up up ");
	assert_true(mh_log_appender_idle(a));
	mh_log_appender_free(a);
	close_store(&fx);
}

static void on_hosts(void *data, bool changed)
{
	struct fixture *fx = data;
	const struct mh_host_rows *rows = mh_host_list_rows(hosts);
	char text[96] = "none";

	if (rows->n)
		snprintf(text, sizeof(text), "%zu:%s:%s:%s:%s", rows->n,
			 rows->v[0].name, rows->v[0].address,
			 rows->v[0].is_entry ? "entry" : "server",
			 rows->v[0].leaving ? "leaving" : "live");
	add_event(fx, changed ? text : "same");
}

static void test_host_list(void **state)
{
	/*
	 * base64 of {"address":"1.2.3.4:5","role":"entry","state":"live"}
	 * and of {"address":3}.
	 */
	static const char list[] =
		"{\"items\":[{\"key\":\"h\",\"value\":\"eyJhZGRyZXNzIjoiMS4yLj"
		"MuNDo1Iiwicm9sZSI6ImVudHJ5Iiwic3RhdGUiOiJsaXZlIn0=\"},{\"key"
		"\":\"bad\",\"value\":\"eyJhZGRyZXNzIjozfQ==\"}],\"more\":"
		"false,\"end\":2}";
	static const char none[] = U64("\2") U64("\0");
	static const char removed[] = U64("\3") U64("\0") "\0\0\0\2\1h";
	static const struct step steps[] = {
		{ "/log-newest?topic=keyed.hosts&part=0 ", 200, list,
		  sizeof(list) - 1, NULL },
		{ "from=2 ", 200, none, sizeof(none) - 1, NULL },
		{ "from=2 ", 503, NULL, 0, NULL },
		{ "from=2 ", 200, removed, sizeof(removed) - 1, NULL },
	};
	struct mh_host_list_env env;
	struct fixture fx;

	(void)state;
	open_store(&fx, steps, LEN(steps));
	env = (struct mh_host_list_env){ fx.loop,	   &fx.timers,
					 &mh_system_clock, fx.address,
					 &fx.era,	   1 };
	hosts = mh_host_list_new(&env, on_hosts, &fx);
	run_until_events(&fx, 3);
	assert_string_equal(fx.events, "1:h:1.2.3.4:5:entry:live same none ");
	mh_host_list_free(hosts);
	close_store(&fx);
}

/* Guards against a listing that never ends as another writer's key, with a blank
 * and a NUL, is the last one of a page. */
static void test_listing_goes_on_after_an_odd_key(void **state)
{
	static const char first[] =
		"{\"items\":[{\"key\":\"a b&\\u0000c\",\"value\":\"e30=\"}],"
		"\"more\":true,\"end\":2}";
	static const char second[] =
		"{\"items\":[{\"key\":\"h\",\"value\":\"eyJhZGRyZXNzIjoiMS4yLj"
		"MuNDo1Iiwicm9sZSI6ImVudHJ5Iiwic3RhdGUiOiJsaXZlIn0=\"}],"
		"\"more\":false,\"end\":2}";
	static const struct step steps[] = {
		{ "/log-newest?topic=keyed.hosts&part=0 ", 200, first,
		  sizeof(first) - 1, NULL },
		{ "/log-newest?topic=keyed.hosts&part=0&after=a%20b%26%00c ",
		  200, second, sizeof(second) - 1, NULL },
	};
	struct mh_host_list_env env;
	struct fixture fx;

	(void)state;
	open_store(&fx, steps, LEN(steps));
	env = (struct mh_host_list_env){ fx.loop,	   &fx.timers,
					 &mh_system_clock, fx.address,
					 &fx.era,	   1 };
	hosts = mh_host_list_new(&env, on_hosts, &fx);
	run_until_events(&fx, 1);
	assert_string_equal(fx.events, "1:h:1.2.3.4:5:entry:live ");
	mh_host_list_free(hosts);
	close_store(&fx);
}

static void on_begin_or_end(void *data)
{
	(void)data;
}

static void on_keyed(void *data, const char *key, const uint8_t *value,
		     size_t len)
{
	(void)value;
	(void)len;
	add_event(data, key);
}

static const struct mh_feed_ops feed_ops = { on_begin_or_end, on_begin_or_end,
					     on_keyed, on_log_state };

/* Guards against readers that are deaf between two slow polls, all of them after a
 * change has ended their polls: a slower poll waits longer, and the next one comes
 * soon after a change. The first one after a failure does not wait. */
static void test_slow_polls_wait_longer(void **state)
{
	static const char one[] = U64("\2") U64("\0") "\0\0\0\3\1kz";
	static const char listing[] = "{\"items\":[],\"more\":false,\"end\":1}";
	static const struct step steps[] = {
		{ "/log-newest", 200, listing, sizeof(listing) - 1, NULL },
		{ "from=1&wait_ms=30000 ", 503, NULL, 0, NULL },
		{ "from=1 ", 200, one, sizeof(one) - 1, NULL },
		{ "from=2&wait_ms=30000 ", 200, one, sizeof(one) - 1, NULL },
	};
	struct mh_feed_conf conf = { "keyed.op", 10000, 0, 1000 };
	struct fixture fx;
	struct mh_feed *f;
	uint64_t begin_ns;

	(void)state;
	open_store(&fx, steps, LEN(steps));
	f = mh_feed_new(fx.loop, &fx.timers, &mh_system_clock, fx.address,
			&fx.era, &conf, &feed_ops, &fx);
	mh_feed_set_interval_factor(f, 9);
	begin_ns = mh_clock_mono_ns(&mh_system_clock);
	mh_feed_run(f, true, 0);
	run_until_events(&fx, 2);
	/* The backoff after the failure is 540 ms, the pause 500 ms at most. */
	assert_in_range(mh_clock_mono_ns(&mh_system_clock) - begin_ns, 0,
			2000 * MH_NS_PER_MS);
	/* It would be overdue after its wait, its time limit and a pause. */
	assert_in_range(mh_feed_due_ns(f) - mh_clock_mono_ns(&mh_system_clock),
			29000 * MH_NS_PER_MS, 31500 * MH_NS_PER_MS);
	mh_feed_free(f);
	close_store(&fx);
}

static void restart(void *data)
{
	mh_feed_run(data, false, 0);
	mh_feed_run(data, true, 0);
}

/* Guards against a reader that is started again and waits for the end of a long poll
 * that it began before. */
static void test_restart_does_not_wait_for_an_old_poll(void **state)
{
	static const char one[] = U64("\2") U64("\0") "\0\0\0\3\1kz";
	static const char listing[] = "{\"items\":[],\"more\":false,\"end\":1}";
	static const struct step steps[] = {
		{ "/log-newest", 200, listing, sizeof(listing) - 1, NULL },
		{ "from=1&wait_ms=10000 ", HELD, NULL, 0, NULL },
		{ "from=1&", 200, one, sizeof(one) - 1, NULL },
	};
	struct mh_feed_conf conf = { "keyed.op", 10000, 0, 1000 };
	struct mh_timer timer;
	struct fixture fx;
	struct mh_feed *f;
	uint64_t begin_ns;

	(void)state;
	open_store(&fx, steps, LEN(steps));
	f = mh_feed_new(fx.loop, &fx.timers, &mh_system_clock, fx.address,
			&fx.era, &conf, &feed_ops, &fx);
	mh_timer_init(&timer, restart, f);
	begin_ns = mh_clock_mono_ns(&mh_system_clock);
	mh_timer_set(&fx.timers, &timer, begin_ns + 500 * MH_NS_PER_MS);
	mh_feed_run(f, true, 0);
	run_until_calls(&fx, 3);
	assert_in_range(mh_clock_mono_ns(&mh_system_clock) - begin_ns, 0,
			1500 * MH_NS_PER_MS);
	mh_feed_free(f);
	close_store(&fx);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_log_is_followed),
		cmocka_unit_test(test_log_that_expired_completely),
		cmocka_unit_test(test_append_once),
		cmocka_unit_test(test_append_until_done),
		cmocka_unit_test(test_host_list),
		cmocka_unit_test(test_listing_goes_on_after_an_odd_key),
		cmocka_unit_test(test_slow_polls_wait_longer),
		cmocka_unit_test(test_restart_does_not_wait_for_an_old_poll),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
