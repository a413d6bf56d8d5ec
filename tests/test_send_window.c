/*
 * Unit tests of the limits that servers state: which statement holds, and how
 * many requests a limit allows.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>

#include "core/send_window.h"

#define MS MH_NS_PER_MS
#define START_NS (100000 * MS)
#define STEP_MS 10
#define WINDOW_STEPS (MH_SEND_WINDOW_MS / STEP_MS)

static enum mh_limit_change state(struct mh_server_limit *limit,
				  uint32_t millihz, uint64_t at_ms)
{
	struct mh_server_limit stated = { millihz, START_NS + at_ms * MS };

	return mh_server_limit_update(limit, &stated);
}

/* Guards against a response that began before the limit was stated, and arrives
 * after, ending the limit; and against one that never ends. */
static void test_limit_ends_by_later_requests_only(void **unused)
{
	struct mh_server_limit limit = { MH_NO_LIMIT, 0 };

	(void)unused;
	assert_int_equal(state(&limit, MH_NO_LIMIT, 0), MH_LIMIT_UNCHANGED);
	assert_int_equal(state(&limit, 1700, 1000), MH_LIMIT_CHANGED);
	assert_int_equal(state(&limit, MH_NO_LIMIT, 900), MH_LIMIT_UNCHANGED);
	assert_int_equal(state(&limit, MH_NO_LIMIT, 1499), MH_LIMIT_UNCHANGED);
	assert_int_equal(limit.max_millihz, 1700);
	assert_int_equal(state(&limit, MH_NO_LIMIT, 1500), MH_LIMIT_CHANGED);
	assert_int_equal(limit.max_millihz, MH_NO_LIMIT);
	assert_int_equal(state(&limit, 1700, 1400), MH_LIMIT_UNCHANGED);
	assert_int_equal(state(&limit, 1700, 1600), MH_LIMIT_CHANGED);
}

static void test_newest_value_of_a_limit_holds(void **unused)
{
	struct mh_server_limit limit = { MH_NO_LIMIT, 0 };

	(void)unused;
	assert_int_equal(state(&limit, 1700, 1000), MH_LIMIT_CHANGED);
	assert_int_equal(state(&limit, 9000, 990), MH_LIMIT_UNCHANGED);
	assert_int_equal(state(&limit, 1700, 1050), MH_LIMIT_UNCHANGED);
	assert_int_equal(state(&limit, 1700, 1200), MH_LIMIT_CONFIRMED);
	assert_int_equal(state(&limit, 9000, 1300), MH_LIMIT_CHANGED);
	assert_int_equal(limit.max_millihz, 9000);
	assert_int_equal(state(&limit, 1700, 1199), MH_LIMIT_UNCHANGED);
	assert_int_equal(state(&limit, 1700, 1310), MH_LIMIT_CHANGED);
}

/* Guards against a limit that has no end of changes: two processes that know of
 * different values, stated shortly one after the other, tell each other at the same
 * time. Times drift by what a message is on its way. */
static void test_values_stated_together_settle_on_the_lower(void **unused)
{
	uint64_t apart_ms, drift_ms;

	(void)unused;
	for (drift_ms = 1; drift_ms <= 30; drift_ms += 7) {
		for (apart_ms = 0; apart_ms <= 150; apart_ms++) {
			struct mh_server_limit a = { 1700, START_NS };
			struct mh_server_limit b = { 9000, START_NS };
			uint32_t changes = 0, hop;

			b.stated_ns += apart_ms * MS;
			for (hop = 0; hop < 10; hop++) {
				struct mh_server_limit from_a = a, from_b = b;

				from_a.stated_ns += drift_ms * MS;
				from_b.stated_ns += drift_ms * MS;
				changes +=
					mh_server_limit_update(&a, &from_b) ==
					MH_LIMIT_CHANGED;
				changes +=
					mh_server_limit_update(&b, &from_a) ==
					MH_LIMIT_CHANGED;
			}
			assert_true(changes <= 3);
			assert_int_equal(a.max_millihz, b.max_millihz);
			assert_true(apart_ms > 100 || a.max_millihz == 1700);
		}
	}
}

/* Guards against a limit that flaps with each response being lifted between. */
static void test_flapping_limit_holds(void **unused)
{
	struct mh_server_limit limit = { MH_NO_LIMIT, 0 };
	uint64_t ms;

	(void)unused;
	for (ms = 0; ms < 3000; ms += 100) {
		state(&limit, 1700, ms);
		assert_int_equal(state(&limit, MH_NO_LIMIT, ms + 50),
				 MH_LIMIT_UNCHANGED);
	}
}

/**
 * send_all() - send as many requests as a window allows for some time
 * @w: window
 * @millihz: limit
 * @n_sharing: senders
 * @ms: for how long
 * @now_ns: moved on
 * @counts: requests by step of STEP_MS, added to; may be NULL
 *
 * Return: number of requests.
 */
static uint32_t send_all(struct mh_send_window *w, uint32_t millihz,
			 uint32_t n_sharing, uint32_t ms, uint64_t *now_ns,
			 uint32_t *counts)
{
	uint32_t n = 0, at;

	for (at = 0; at < ms; at += STEP_MS) {
		while (!mh_send_window_wait_ms(w, millihz, n_sharing,
					       *now_ns)) {
			mh_send_window_add(w, 1, 0, *now_ns);
			n++;
			if (counts)
				counts[at / STEP_MS]++;
		}
		*now_ns += STEP_MS * MS;
	}
	return n;
}

/* Return: the most requests in any 4 s. */
static uint32_t most(const uint32_t *counts, uint32_t n_steps)
{
	uint32_t sum = 0, max = 0, i;

	for (i = 0; i < n_steps; i++) {
		sum += counts[i];
		if (i >= WINDOW_STEPS)
			sum -= counts[i - WINDOW_STEPS];
		if (sum > max)
			max = sum;
	}
	return max;
}

static void test_limit_is_kept_and_used(void **unused)
{
	static const uint32_t limits_millihz[] = { 200,	 900,  1000,  1700,
						   2500, 5300, 40000, 333000 };
	static uint32_t counts[2000];
	size_t i, k;

	(void)unused;
	for (i = 0; i < sizeof(limits_millihz) / sizeof(limits_millihz[0]);
	     i++) {
		uint32_t millihz = limits_millihz[i], n;
		uint64_t now_ns = START_NS;
		struct mh_send_window w;

		for (k = 0; k < 2000; k++)
			counts[k] = 0;
		mh_send_window_init(&w, 1);
		n = send_all(&w, millihz, 1, 20000, &now_ns, counts);
		assert_true(1000 * most(counts, 2000) <= 4 * millihz + 1000);
		assert_true(1000 * n >= 20 * millihz * 8 / 10);
	}
}

/* Guards against a window that is used up at once, after which the server is
 * idle and nobody gets a slot for seconds. */
static void test_use_of_a_limit_is_spread(void **unused)
{
	struct mh_send_window w;
	uint64_t now_ns = START_NS;

	(void)unused;
	mh_send_window_init(&w, 1);
	assert_in_range(send_all(&w, 5000, 1, 1000, &now_ns, NULL), 5, 6);
	assert_in_range(send_all(&w, 5000, 1, 1000, &now_ns, NULL), 4, 6);
}

/* Guards against a window that starts empty when the limit is stated, and against
 * one that is blocked by requests which the server got before. */
static void test_requests_before_the_limit_count(void **unused)
{
	uint64_t now_ns = START_NS;
	struct mh_send_window w;
	uint32_t i;

	(void)unused;
	mh_send_window_init(&w, 1);
	for (i = 0; i < 40; i++) {
		assert_int_equal(
			mh_send_window_wait_ms(&w, MH_NO_LIMIT, 1, now_ns), 0);
		mh_send_window_add(&w, 1, 0, now_ns);
		now_ns += 25 * MS;
	}
	mh_send_window_begin_limit(&w, 1700, 1, now_ns);
	assert_int_equal(send_all(&w, 1700, 1, 200, &now_ns, NULL), 0);
	assert_in_range(send_all(&w, 1700, 1, 3800, &now_ns, NULL), 5, 7);
}

static void test_lowered_limit_takes_effect_at_once(void **unused)
{
	uint64_t now_ns = START_NS;
	struct mh_send_window w;

	(void)unused;
	mh_send_window_init(&w, 1);
	assert_true(send_all(&w, 10000, 1, 4000, &now_ns, NULL) >= 32);
	assert_int_equal(send_all(&w, 1000, 1, 2500, &now_ns, NULL), 0);
	assert_in_range(send_all(&w, 20000, 1, 1000, &now_ns, NULL), 15, 23);
}

/* Guards against work in proportion to a limit that may be any number. */
static void test_window_of_any_limit_is_filled(void **unused)
{
	static const struct {
		uint32_t millihz;
		uint64_t n;
	} cases[] = { { 1700, 7 },
		      { 40000, 160 },
		      { MH_NO_LIMIT - 1, 17179869 } };
	struct mh_send_window w;
	size_t i;

	(void)unused;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		mh_send_window_init(&w, i);
		mh_send_window_fill(&w, cases[i].millihz, 1, START_NS);
		assert_int_equal(mh_usage_sum(&w.sent, START_NS), cases[i].n);
		assert_true(mh_send_window_wait_ms(&w, cases[i].millihz, 1,
						   START_NS) > 0);
	}
}

static void test_unsent_request_is_taken_back(void **unused)
{
	struct mh_send_window w;

	(void)unused;
	mh_send_window_init(&w, 1);
	mh_send_window_add(&w, 1, 0, START_NS);
	mh_send_window_add(&w, 1, 0, START_NS);
	assert_true(mh_send_window_wait_ms(&w, 1000, 1, START_NS) > 0);
	mh_send_window_take_back(&w, START_NS, START_NS + 20 * MS);
	assert_int_equal(
		mh_send_window_wait_ms(&w, 1000, 1, START_NS + 20 * MS), 0);
}

/* Guards against a server that takes nothing never being asked again, so that
 * nobody learns that it takes requests. */
static void test_limit_of_zero_ends(void **unused)
{
	struct mh_send_window w;
	uint64_t now_ns = START_NS;

	(void)unused;
	mh_send_window_init(&w, 1);
	assert_in_range(send_all(&w, 0, 1, 40000, &now_ns, NULL), 3, 5);
}

/* Parts of a limit add up to no more than the whole, and are used. Each sender
 * wants to send all the time. */
static void test_parts_of_a_limit_add_up(void **unused)
{
	static const struct {
		uint32_t n;
		uint32_t millihz;
	} cases[] = { { 2, 1700 },  { 5, 1700 },   { 18, 1700 }, { 103, 1700 },
		      { 18, 5300 }, { 103, 5300 }, { 5, 40000 }, { 103, 200 } };
	static uint32_t counts[9000];
	size_t c;

	(void)unused;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		uint32_t n = cases[c].n, millihz = cases[c].millihz, i, sum = 0;

		for (i = 0; i < 9000; i++)
			counts[i] = 0;
		for (i = 0; i < n; i++) {
			uint64_t now_ns = START_NS;
			struct mh_send_window w;

			mh_send_window_init(&w, 1000 * c + i);
			sum += send_all(&w, millihz, n, 90000, &now_ns, counts);
		}
		assert_true(1000 * most(counts, 9000) <= 6 * millihz + 5000);
		assert_true(1000 * sum >= 90 * millihz / 2);
	}
}

/* Guards against a burst at all senders, each of which saved up a request. */
static void test_burst_after_idle_time(void **unused)
{
	uint32_t n = 103, millihz = 1700, i, sent = 0;
	struct mh_send_window *w = calloc(n, sizeof(*w));
	uint64_t now_ns = START_NS;

	(void)unused;
	assert_non_null(w);
	for (i = 0; i < n; i++) {
		mh_send_window_init(&w[i], i);
		mh_send_window_wait_ms(&w[i], millihz, n, now_ns);
	}
	now_ns += 300000 * MS;
	for (i = 0; i < n; i++)
		sent += !mh_send_window_wait_ms(&w[i], millihz, n, now_ns);
	assert_true(1000 * sent <= 6 * millihz + 5000);
	free(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limit_ends_by_later_requests_only),
		cmocka_unit_test(test_newest_value_of_a_limit_holds),
		cmocka_unit_test(
			test_values_stated_together_settle_on_the_lower),
		cmocka_unit_test(test_flapping_limit_holds),
		cmocka_unit_test(test_limit_is_kept_and_used),
		cmocka_unit_test(test_use_of_a_limit_is_spread),
		cmocka_unit_test(test_requests_before_the_limit_count),
		cmocka_unit_test(test_lowered_limit_takes_effect_at_once),
		cmocka_unit_test(test_window_of_any_limit_is_filled),
		cmocka_unit_test(test_unsent_request_is_taken_back),
		cmocka_unit_test(test_limit_of_zero_ends),
		cmocka_unit_test(test_parts_of_a_limit_add_up),
		cmocka_unit_test(test_burst_after_idle_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
