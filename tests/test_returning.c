/*
 * Unit tests of clients that come back after a rejection: who goes first, when
 * they are told to come, and which requests are rejected.
 */
#include "core/returning.h"
#include "tests/dispatch_fixture.h"
#include "core/dispatch_view.h"

#define TIER 1
#define RUN_MS 20
#define START_NS (100000 * MS)
#define MAX_RECORDS 4096

/* ---- the memory ---- */

static void add(struct mh_returning *set, uint64_t fingerprint,
		uint64_t told_ns, uint64_t now_ns)
{
	struct mh_returning_request req = { fingerprint, 1, told_ns, now_ns };

	mh_returning_add(set, &req, now_ns);
}

/* Guards against clients that come before the time that they were told, all at
 * once, and are served before those that wait for theirs. */
static void test_early_and_late_returns_get_no_priority(void **state)
{
	struct mh_returning *set = mh_returning_new();
	struct mh_returning_request req;
	uint64_t fp;

	(void)state;
	for (fp = 1; fp <= 4; fp++)
		add(set, fp, START_NS + 300 * MS, START_NS);
	assert_int_equal(mh_returning_take(set, 1, START_NS + 290 * MS, &req),
			 MH_RETURN_EARLY);
	assert_int_equal(mh_returning_take(set, 1, START_NS + 300 * MS, &req),
			 MH_RETURN_NONE);
	assert_int_equal(mh_returning_take(set, 2, START_NS + 297 * MS, &req),
			 MH_RETURN_ON_TIME);
	assert_int_equal(req.told_ns, START_NS + 300 * MS);
	assert_int_equal(mh_returning_take(set, 3, START_NS + 700 * MS, &req),
			 MH_RETURN_ON_TIME);
	assert_int_equal(mh_returning_take(set, 4, START_NS + 900 * MS, &req),
			 MH_RETURN_NONE);
	assert_int_equal(mh_returning_take(set, 9, START_NS, &req),
			 MH_RETURN_NONE);
	mh_returning_free(set);
}

/* Guards against a flood of unlike requests that fills the memory, and against
 * records that stay for good. */
static void test_memory_is_bounded_under_a_flood(void **state)
{
	struct mh_returning *set = mh_returning_new();
	struct mh_returning_request req;
	uint64_t fp;

	(void)state;
	for (fp = 1; fp <= 100000; fp++) {
		add(set, fp, START_NS + 200 * MS, START_NS);
		mh_returning_schedule(set, fp, START_NS, START_NS + MS, MS);
		assert_true(mh_returning_count(set) <= MAX_RECORDS);
	}
	assert_int_equal(mh_returning_count(set), MAX_RECORDS);
	assert_int_equal(
		mh_returning_take(set, 100000, START_NS + 200 * MS, &req),
		MH_RETURN_ON_TIME);
	assert_int_equal(mh_returning_take(set, 1, START_NS + 200 * MS, &req),
			 MH_RETURN_NONE);
	add(set, 1, START_NS + 2000 * MS, START_NS + 1000 * MS);
	assert_int_equal(mh_returning_count(set), 1);
	mh_returning_free(set);
}

/* Guards against requests without a fingerprint that count as one client's. */
static void test_requests_without_fingerprint_are_not_remembered(void **state)
{
	struct mh_returning *set = mh_returning_new();

	(void)state;
	add(set, 0, START_NS + 200 * MS, START_NS);
	assert_int_equal(mh_returning_count(set), 0);
	mh_returning_free(set);
}

/* Guards against clients that are rejected together and come back together. */
static void test_returns_are_spread_behind_those_scheduled(void **state)
{
	struct mh_returning *set = mh_returning_new();
	uint64_t from = START_NS, until = START_NS + 45 * MS;
	uint32_t i;

	(void)state;
	for (i = 0; i < 5; i++)
		assert_int_equal(
			mh_returning_schedule(set, 1, from, until, 10 * MS),
			START_NS + i * 10 * MS);
	/* The span is used up: its begin is as good as any other time. */
	assert_int_equal(mh_returning_schedule(set, 1, from, until, 10 * MS),
			 START_NS);
	/* Other queues have their own. */
	assert_int_equal(mh_returning_schedule(set, 2, from, until, 10 * MS),
			 START_NS);
	/* Not beyond the time at which the client comes anyway. */
	assert_int_equal(mh_returning_schedule(set, 1, until + MS, until, MS),
			 until);
	mh_returning_free(set);
}

/* ---- the dispatcher ---- */

static void set_returning(struct fixture *f, bool on)
{
	struct mh_dispatch_conf with = conf;

	with.returning_first = on;
	mh_dispatch_set_conf(f->d, &with);
}

/* One server with two slots, both in use. */
static struct fixture *new_busy_fixture(uint64_t running[2])
{
	struct fixture *f = new_fixture();

	set_returning(f, true);
	add_server(f, "a", 1, true);
	running[0] = request(f, 0);
	running[1] = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_true(f->results[running[1]].placed);
	return f;
}

static uint64_t request_by(struct fixture *f, uint64_t fingerprint,
			   uint32_t target_ms, uint32_t deadline_ms)
{
	struct mh_slot_request a = make_request(f, TIER);

	a.fingerprint = fingerprint;
	a.target_ns = f->now_ns + target_ms * MS;
	a.deadline_ns = a.start_by_ns = f->now_ns + deadline_ms * MS;
	mh_dispatch_request_slot(f->d, &a);
	return a.id;
}

static uint32_t returning(const struct fixture *f)
{
	struct mh_dispatch_view view;

	mh_dispatch_view(f->d, SERVICE, &view);
	return view.returning;
}

/* A request that is refused as it can't be served in time behind others.
 * Return: the time that its client is told. */
static uint32_t reject(struct fixture *f, uint64_t fingerprint,
		       uint32_t target_ms)
{
	uint64_t id;

	id = request_by(f, fingerprint, target_ms, 15);
	advance_clock(f, 5);
	assert_true(f->results[id].refused);
	return f->results[id].retry_ms;
}

/* Guards against clients that wait as they were told and find new requests before
 * them, of which there are always more. */
static void test_returning_request_precedes_new_ones(void **state)
{
	uint64_t running[2], back, first;
	struct fixture *f = new_busy_fixture(running);
	uint32_t told_ms = reject(f, 77, 600);

	(void)state;
	assert_int_equal(returning(f), 1);
	first = request_by(f, 1, 640, 900);
	advance_clock(f, told_ms);
	back = request_by(f, 77, 600, 900);
	mh_dispatch_tick(f->d);
	assert_int_equal(returning(f), 0);
	done(f, running[0], MH_SLOT_OK, RUN_MS);
	/* Its client's target counts from the first attempt. */
	assert_true(f->results[back].placed || f->results[first].placed);
	assert_false(f->results[first].placed && !f->results[back].placed);
	free_fixture(f);
}

/* The same past its target: before late requests, of later deadline or not. */
static void test_returning_late_request_precedes_late_ones(void **state)
{
	uint64_t running[2], back, late;
	struct fixture *f = new_busy_fixture(running);
	uint32_t told_ms = reject(f, 77, 100);

	(void)state;
	late = request_by(f, 1, 30, 700);
	advance_clock(f, told_ms);
	back = request_by(f, 77, 100, 900);
	mh_dispatch_tick(f->d);
	done(f, running[0], MH_SLOT_OK, RUN_MS);
	assert_true(f->results[back].placed);
	assert_false(f->results[late].placed);
	free_fixture(f);
}

/* Guards against clients that ignore Retry-After and gain by it. */
static void test_early_return_waits_behind_late_ones(void **state)
{
	uint64_t running[2], back, late;
	struct fixture *f = new_busy_fixture(running);
	uint32_t told_ms = reject(f, 77, 50);

	(void)state;
	late = request_by(f, 1, 30, 700);
	advance_clock(f, told_ms - 20);
	back = request_by(f, 77, 50, 900);
	mh_dispatch_tick(f->d);
	done(f, running[0], MH_SLOT_OK, RUN_MS);
	assert_true(f->results[late].placed);
	assert_false(f->results[back].placed);
	free_fixture(f);
}

/* Guards against a request that can no longer meet its target and displaces one
 * that can. */
static void test_returning_late_request_displaces_no_timely_one(void **state)
{
	uint64_t running[2], back, timely;
	struct fixture *f = new_busy_fixture(running);
	uint32_t told_ms = reject(f, 77, 100);

	(void)state;
	advance_clock(f, told_ms);
	back = request_by(f, 77, 100, 900);
	timely = request_by(f, 1, 300, 900);
	mh_dispatch_tick(f->d);
	done(f, running[0], MH_SLOT_OK, RUN_MS);
	assert_true(f->results[timely].placed);
	assert_false(f->results[back].placed);
	done(f, running[1], MH_SLOT_OK, RUN_MS);
	assert_true(f->results[back].placed);
	free_fixture(f);
}

/* Guards against a burst whose rejected requests come back as a burst. */
static void test_rejected_burst_comes_back_spread(void **state)
{
	uint64_t running[2], ids[300];
	struct fixture *f = new_busy_fixture(running);
	uint32_t counts[400] = { 0 }, i, n = 0, most = 0;

	(void)state;
	/* Two slots serve 100 requests before the deadline of 1 s. */
	for (i = 0; i < 300; i++)
		ids[i] = request_by(f, i + 1, 100, 1000);
	advance_clock(f, 5);
	for (i = 0; i < 300; i++) {
		const struct slot_result *r = &f->results[ids[i]];

		if (!r->refused)
			continue;
		n++;
		/* At most a third of the time that is left. */
		assert_in_range(r->retry_ms, 150, 333);
		if (++counts[r->retry_ms] > most)
			most = counts[r->retry_ms];
	}
	assert_in_range(n, 190, 210);
	assert_int_equal(returning(f), n);
	free_fixture(f);
}

/* Guards against a request that is held at its return until it is rejected a
 * second time, and against records of clients that come back no more. */
static void test_hopeless_return_is_told_at_once(void **state)
{
	uint64_t running[2], back;
	struct fixture *f = new_busy_fixture(running);
	uint32_t told_ms = reject(f, 77, 100), i;

	(void)state;
	for (i = 0; i < 200; i++)
		request_by(f, 1000 + i, 2000, 5000);
	advance_clock(f, told_ms);
	i = returning(f);
	back = request_by(f, 77, 100, 300);
	advance_clock(f, 5);
	assert_true(f->results[back].refused);
	assert_int_equal(returning(f), i - 1);
	free_fixture(f);
}

/* Guards against rejections by which routine requests lose their only retry though
 * they could be served once the urgent burst is over. */
static void test_urgent_arrivals_alone_reject_nothing(void **state)
{
	bool settings[] = { false, true };
	uint32_t i, j;

	(void)state;
	for (i = 0; i < 2; i++) {
		uint64_t running[2], routine[60];
		struct fixture *f = new_busy_fixture(running);
		uint32_t refused = 0;

		set_returning(f, settings[i]);
		/* 500 urgent requests a second of 20 ms: 10 slots' worth. */
		for (j = 0; j < 300; j++) {
			uint64_t id = request(f, 0);

			advance_clock(f, 2);
			if (!f->results[id].placed)
				mh_dispatch_done(f->d, 1, id, MH_SLOT_UNUSED,
						 0);
		}
		for (j = 0; j < 60; j++)
			routine[j] = request_by(f, j + 1, 500, 1500);
		advance_clock(f, 20);
		for (j = 0; j < 60; j++)
			refused += f->results[routine[j]].refused;
		if (settings[i])
			assert_int_equal(refused, 0);
		else
			assert_true(refused > 30);
		free_fixture(f);
	}
}

/* Guards against a successor that rejects what it does not know: there, retries
 * count as new requests. */
static void test_takeover_treats_returns_as_new(void **state)
{
	uint64_t running[2], running_next[2], back, first;
	struct fixture *f = new_busy_fixture(running);
	struct fixture *next = new_busy_fixture(running_next);
	uint32_t told_ms = reject(f, 77, 100);

	(void)state;
	first = request_by(next, 1, 300, 900);
	advance_clock(next, told_ms);
	back = request_by(next, 77, 300, 900);
	mh_dispatch_tick(next->d);
	done(next, running_next[0], MH_SLOT_OK, RUN_MS);
	assert_true(next->results[first].placed);
	done(next, running_next[1], MH_SLOT_OK, RUN_MS);
	assert_true(next->results[back].placed);
	free_fixture(f);
	free_fixture(next);
}

/* Guards against entries without a dispatcher that fill their small memory with
 * requests that come back elsewhere. */
static void test_entry_alone_remembers_nothing(void **state)
{
	uint64_t running[2];
	struct fixture *f = new_busy_fixture(running);

	(void)state;
	mh_dispatch_set_share(f->d, 3);
	assert_in_range(reject(f, 77, 100), 1, 3000);
	assert_int_equal(returning(f), 0);
	free_fixture(f);
}

/* Guards against a change of today's rule while the setting is off. */
static void test_without_the_setting_nothing_is_remembered(void **state)
{
	uint64_t running[2], back, late;
	struct fixture *f = new_busy_fixture(running);
	uint32_t told_ms;

	(void)state;
	set_returning(f, false);
	told_ms = reject(f, 77, 50);
	assert_int_equal(returning(f), 0);
	late = request_by(f, 1, 30, 700);
	advance_clock(f, told_ms);
	back = request_by(f, 77, 30, 900);
	mh_dispatch_tick(f->d);
	advance_clock(f, 40);
	done(f, running[0], MH_SLOT_OK, RUN_MS);
	assert_true(f->results[late].placed);
	assert_false(f->results[back].placed);
	free_fixture(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_early_and_late_returns_get_no_priority),
		cmocka_unit_test(test_memory_is_bounded_under_a_flood),
		cmocka_unit_test(
			test_requests_without_fingerprint_are_not_remembered),
		cmocka_unit_test(
			test_returns_are_spread_behind_those_scheduled),
		cmocka_unit_test(test_returning_request_precedes_new_ones),
		cmocka_unit_test(
			test_returning_late_request_precedes_late_ones),
		cmocka_unit_test(test_early_return_waits_behind_late_ones),
		cmocka_unit_test(
			test_returning_late_request_displaces_no_timely_one),
		cmocka_unit_test(test_rejected_burst_comes_back_spread),
		cmocka_unit_test(test_hopeless_return_is_told_at_once),
		cmocka_unit_test(test_urgent_arrivals_alone_reject_nothing),
		cmocka_unit_test(test_takeover_treats_returns_as_new),
		cmocka_unit_test(test_entry_alone_remembers_nothing),
		cmocka_unit_test(
			test_without_the_setting_nothing_is_remembered),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
