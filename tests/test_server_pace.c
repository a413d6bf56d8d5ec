/*
 * Unit tests of placement by the expected length of responses: servers of one
 * service that differ several times in speed, requests of unlike length.
 */
#include "tests/dispatch_fixture.h"

#include "core/server_pace.h"

#define FAST_EVENT_MS 20
#define SLOW_EVENT_MS 100
#define EVENTS 21

static struct fixture *new_engine_fixture(bool length_aware)
{
	struct mh_dispatch_service_conf service = { SERVICE, 2, true };
	struct mh_dispatch_conf with = conf;
	struct fixture *f = new_fixture();

	with.length_aware = length_aware;
	mh_dispatch_set_conf(f->d, &with);
	mh_dispatch_set_service(f->d, &service);
	return f;
}

/* A request whose client expects a response of that many events. */
static uint64_t request_length(struct fixture *f, uint8_t tier, uint32_t events,
			       uint32_t target_ms, uint32_t deadline_ms)
{
	struct mh_slot_request a = make_request(f, tier);

	a.prompt_tokens = 150;
	a.output_tokens = 2000;
	a.expected_tokens = events;
	a.target_ns = f->now_ns + target_ms * MS;
	a.start_by_ns = a.deadline_ns = f->now_ns + deadline_ms * MS;
	mh_dispatch_request_slot(f->d, &a);
	mh_dispatch_tick(f->d);
	return a.id;
}

/* Ends a run after a stream of that many events. */
static void end_stream(struct fixture *f, uint64_t id, uint32_t events,
		       uint32_t event_ms)
{
	mh_dispatch_first_byte(f->d, 1, id, 30);
	mh_dispatch_streamed(f->d, 1, id, events);
	done(f, id, MH_SLOT_OK, 30 + (events - 1) * event_ms);
}

/* Runs one request after the other at the only server that is ready, until its
 * speed is known. */
static void measure(struct fixture *f, const char *id, uint32_t event_ms)
{
	int i;

	add_server(f, id, 1, true);
	for (i = 0; i < 10; i++) {
		uint64_t run = request_length(f, 0, EVENTS, 500, 60000);

		assert_true(f->results[run].placed);
		assert_string_equal(f->results[run].server, id);
		end_stream(f, run, EVENTS, event_ms);
	}
	update_server(f, id, 1, true, false);
}

/* Two servers whose speeds are known; both slots of the fast one are taken. */
static struct fixture *new_busy_fixture(bool length_aware, uint64_t *runs)
{
	struct fixture *f = new_engine_fixture(length_aware);
	int i;

	measure(f, "slow", SLOW_EVENT_MS);
	/* Its requests go to the new server, which is idle and no slower. */
	add_server(f, "slow", 1, false);
	measure(f, "fast", FAST_EVENT_MS);
	for (i = 0; i < 2; i++) {
		runs[i] = request_length(f, 0, EVENTS, 500, 60000);
		assert_string_equal(f->results[runs[i]].server, "fast");
	}
	return f;
}

/* The slow server is back, and its speed is known from its first response. */
static void return_slow_server(struct fixture *f)
{
	uint64_t run;

	add_server(f, "slow", 1, true);
	run = request_length(f, 0, 1, 5000, 60000);
	assert_string_equal(f->results[run].server, "slow");
	end_stream(f, run, EVENTS, SLOW_EVENT_MS);
}

/* Pure function: a long response ends earlier at a faster server. */
static void test_waits_if_it_ends_earlier(void **state)
{
	struct mh_server_pace slow = { SLOW_EVENT_MS };
	struct mh_pool_pace pool = { 40, 1, 20 };
	struct mh_pace_run run = { 50, 20, 60000, 400 };
	struct mh_pace_faster faster = { FAST_EVENT_MS, 10 };

	(void)state;
	assert_true(mh_server_pace_waits(&pool, &run, &slow, &faster));
	/* Each of the faster servers is busy for longer than the gain. */
	faster.wait_ms = 3000;
	run.in_target_ms = 0;
	assert_false(mh_server_pace_waits(&pool, &run, &slow, &faster));
}

/* A wait that would miss the target latency is no gain for the caller. */
static void test_target_latency_is_not_missed_by_waiting(void **state)
{
	struct mh_server_pace slow = { SLOW_EVENT_MS };
	struct mh_pool_pace pool = { 40, 1, 20 };
	struct mh_pace_run run = { 50, 200, 60000, 400 };
	struct mh_pace_faster faster = { FAST_EVENT_MS, 401 };

	(void)state;
	assert_false(mh_server_pace_waits(&pool, &run, &slow, &faster));
	faster.wait_ms = 399;
	assert_true(mh_server_pace_waits(&pool, &run, &slow, &faster));
}

/* At the slow server the response would be cut at its deadline. */
static void test_waits_if_the_deadline_is_missed_here(void **state)
{
	struct mh_server_pace slow = { 30 };
	struct mh_pool_pace pool = { 28, 1, 20 };
	struct mh_pace_run run = { 50, 200, 8000, 0 };
	struct mh_pace_faster faster = { 20, 1500 };

	(void)state;
	assert_true(mh_server_pace_waits(&pool, &run, &slow, &faster));
	run.left_ms = 20000;
	assert_false(mh_server_pace_waits(&pool, &run, &slow, &faster));
	/* It can't end in time anywhere. */
	run.left_ms = 3000;
	assert_false(mh_server_pace_waits(&pool, &run, &slow, &faster));
}

/* Nothing is known after a start: requests are placed at once. */
static void test_unknown_speeds_keep_nobody_waiting(void **state)
{
	struct mh_server_pace slow = { SLOW_EVENT_MS }, unknown = { 0 };
	struct mh_pool_pace pool = { 40, 1, 20 }, none = { 0 };
	struct mh_pace_run run = { 50, 20, 60000, 400 };
	struct mh_pace_faster faster = { FAST_EVENT_MS, 10 };

	(void)state;
	assert_false(mh_server_pace_waits(&none, &run, &slow, &faster));
	assert_false(mh_server_pace_waits(&pool, &run, &unknown, &faster));
}

/* Lengths that clients state are not checked by anyone. */
static void test_absurd_lengths_are_harmless(void **state)
{
	struct mh_server_pace server = { 0 };
	struct mh_pool_pace pool = { 0 };
	struct mh_pace_run run = { 50, UINT32_MAX, 8000, 400 };
	struct mh_pace_faster faster = { FAST_EVENT_MS, 10 };

	(void)state;
	assert_true(mh_server_pace_record(&server, &pool, 0, 0, 0) == 0);
	assert_true(mh_server_pace_record(&server, &pool, 100, 1, UINT32_MAX) ==
		    0);
	assert_true(server.event_ms == 0);
	assert_true(mh_server_pace_record(&server, &pool, 2000, EVENTS,
					  UINT32_MAX) == 1);
	assert_true(server.event_ms == 100);
	/* No server is fast enough for it: it is placed where a slot is free. */
	run.left_ms = 1;
	faster.wait_ms = 1000;
	assert_false(mh_server_pace_waits(&pool, &run, &server, &faster));
}

/* Overload of the fast server: an urgent long request waits for its next slot, and
 * the free slot of the slow one goes to a less urgent request. */
static void test_long_request_waits_for_a_fast_server(void **state)
{
	struct fixture *f;
	uint64_t runs[2], first, second, third;

	(void)state;
	f = new_busy_fixture(true, runs);
	return_slow_server(f);
	first = request_length(f, 0, EVENTS, 5000, 60000);
	assert_false(f->results[first].placed);
	/* This one would miss its target latency by waiting behind the first. */
	second = request_length(f, 1, EVENTS, 60, 60000);
	assert_true(f->results[second].placed);
	assert_string_equal(f->results[second].server, "slow");
	end_stream(f, runs[0], EVENTS, FAST_EVENT_MS);
	assert_true(f->results[first].placed);
	assert_string_equal(f->results[first].server, "fast");
	third = request_length(f, 0, 1, 100, 60000);
	assert_true(f->results[third].placed);
	free_fixture(f);
}

/* A client that leaves while its request is set aside frees nothing twice. */
static void test_waiting_request_can_be_withdrawn(void **state)
{
	struct fixture *f;
	uint64_t runs[2], first;

	(void)state;
	f = new_busy_fixture(true, runs);
	return_slow_server(f);
	first = request_length(f, 0, EVENTS, 5000, 60000);
	assert_false(f->results[first].placed);
	done(f, first, MH_SLOT_UNUSED, 0);
	end_stream(f, runs[0], EVENTS, FAST_EVENT_MS);
	assert_false(f->results[first].placed);
	free_fixture(f);
}

/* Without the setting requests go where a slot is free. */
static void test_off_by_default(void **state)
{
	struct fixture *f;
	uint64_t runs[2], first;

	(void)state;
	f = new_busy_fixture(false, runs);
	return_slow_server(f);
	first = request_length(f, 0, EVENTS, 5000, 60000);
	assert_true(f->results[first].placed);
	assert_string_equal(f->results[first].server, "slow");
	free_fixture(f);
}

/* A server that starts anew may be on another host: its speed is not known. */
static void test_restarted_server_has_no_pace(void **state)
{
	struct fixture *f;
	uint64_t runs[2], first;

	(void)state;
	f = new_busy_fixture(true, runs);
	return_slow_server(f);
	add_server(f, "slow", 2, true);
	first = request_length(f, 0, EVENTS, 5000, 60000);
	assert_true(f->results[first].placed);
	assert_string_equal(f->results[first].server, "slow");
	free_fixture(f);
}

/* The fast server went dark: nobody waits for it. */
static void test_nobody_waits_for_a_server_that_left(void **state)
{
	struct fixture *f;
	uint64_t runs[2], first;

	(void)state;
	f = new_busy_fixture(true, runs);
	return_slow_server(f);
	add_server(f, "fast", 1, false);
	first = request_length(f, 0, EVENTS, 5000, 60000);
	assert_true(f->results[first].placed);
	free_fixture(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_waits_if_it_ends_earlier),
		cmocka_unit_test(test_target_latency_is_not_missed_by_waiting),
		cmocka_unit_test(test_waits_if_the_deadline_is_missed_here),
		cmocka_unit_test(test_unknown_speeds_keep_nobody_waiting),
		cmocka_unit_test(test_absurd_lengths_are_harmless),
		cmocka_unit_test(test_long_request_waits_for_a_fast_server),
		cmocka_unit_test(test_waiting_request_can_be_withdrawn),
		cmocka_unit_test(test_off_by_default),
		cmocka_unit_test(test_restarted_server_has_no_pace),
		cmocka_unit_test(test_nobody_waits_for_a_server_that_left),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
