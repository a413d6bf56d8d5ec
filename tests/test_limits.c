/*
 * Tests of the limits that servers state, in a simulation and at a single
 * dispatcher.
 */
#include "tests/dispatch_fixture.h"
#include "tests/limit_simulation.h"

/* The users' bound, and that the servers are used. Entries without a dispatcher
 * learn a limit each for itself, so that only those count that were told of it, as
 * the users count them. */
static void check_case(const struct limit_case *c, double least_used,
		       double least_urgent)
{
	uint64_t seed;

	for (seed = 1; seed <= 5; seed++) {
		struct limit_result r = limit_sim_run(c, seed);
		uint32_t most = c->all_lost_ms ? r.most_told : r.most;

		assert_true(most <= 6 * c->millihz / 1000.0 + 5);
		assert_true(r.used >= least_used);
		assert_true(r.urgent_begun >= least_urgent);
	}
}

static const struct limit_case base = {
	.entries = 18,
	.census = 18,
	.limited = SIM_SERVERS,
	.millihz = 2500,
	.named_ms = 3000,
	.per_s = 40,
	.urgent_per_s = 6,
	.until_ms = 25000,
};

static void test_limits_with_a_dispatcher(void **state)
{
	struct limit_case c = base;

	(void)state;
	check_case(&c, 0.8, 0.99);
	c.entries = c.census = 103;
	check_case(&c, 0.8, 0.99);
	c.limited = 2;
	c.millihz = 1700;
	c.per_s = 150;
	check_case(&c, 0.8, 0.99);
}

static void test_limits_without_a_dispatcher(void **state)
{
	struct limit_case c = base;

	(void)state;
	c.all_lost_ms = 1;
	c.urgent_per_s = 0;
	c.until_ms = 40000;
	check_case(&c, 0.4, 0);
	c.entries = c.census = 103;
	check_case(&c, 0.25, 0);
	c.limited = 2;
	c.millihz = 1700;
	c.per_s = 150;
	check_case(&c, 0.25, 0);
}

/* Guards against a limit that is exceeded where entries know of half of them. */
static void test_limits_with_a_wrong_census(void **state)
{
	struct limit_case c = base;

	(void)state;
	c.all_lost_ms = 1;
	c.urgent_per_s = 0;
	c.census = 9;
	check_case(&c, 0.4, 0);
}

/* Guards against a dispatcher that begins with a full window: the one in use is
 * lost, then the other one, and both come back. */
static void test_limits_over_changes_of_the_dispatcher(void **state)
{
	struct limit_case c = base;

	(void)state;
	c.lost_ms = 9000;
	check_case(&c, 0.7, 0.95);
	c.all_lost_ms = 16000;
	c.back_ms = 24000;
	c.until_ms = 35000;
	check_case(&c, 0.4, 0);
	c.entries = c.census = 103;
	check_case(&c, 0.3, 0);
}

static void test_limits_that_flap(void **state)
{
	struct limit_case c = base;

	(void)state;
	c.flaps = true;
	check_case(&c, 0.8, 0.99);
}

static void test_servers_are_used_after_limits(void **state)
{
	struct limit_case c = base;
	uint64_t seed;

	(void)state;
	c.ended_ms = 15000;
	for (seed = 1; seed <= 3; seed++)
		assert_true(limit_sim_run(&c, seed).begun_after >= 0.95);
	c.millihz = 0;
	for (seed = 1; seed <= 3; seed++) {
		struct limit_result r = limit_sim_run(&c, seed);

		assert_true(r.most <= 5);
		assert_true(r.begun_after > 0);
	}
}

/* ---- a single dispatcher ---- */

static const struct mh_server_ref s1 = { "s1", "127.0.0.1:1", 1 };

static enum mh_limit_change set_limit(struct fixture *f, uint32_t millihz)
{
	struct mh_server_limit stated = { millihz, f->now_ns };

	return mh_dispatch_server_limit(f->d, &s1, &stated);
}

/* Guards against requests that a limit keeps waiting without hope until their
 * deadline, and against refusals that don't tell why and until when. */
static void test_request_that_a_limit_outlasts_is_refused(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t id;

	(void)state;
	add_server(f, "s1", 1, true);
	assert_int_equal(set_limit(f, 200), MH_LIMIT_CHANGED);
	id = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_true(f->results[id].placed);
	done(f, id, MH_SLOT_OK, 20);
	id = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_true(f->results[id].refused);
	assert_int_equal(f->results[id].error, MH_ERR_SERVERS_LIMITED);
	assert_true(f->results[id].retry_ms >= 3000);
	advance_clock(f, 5001);
	id = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_true(f->results[id].placed);
	free_fixture(f);
}

/* Guards against a limited server that makes requests wait, or be refused, while
 * another one is idle. */
static void test_other_servers_are_used_first(void **state)
{
	static const uint32_t limits_millihz[] = { 1000, 10000 };
	size_t k;

	(void)state;
	for (k = 0; k < 2; k++) {
		struct fixture *f = new_fixture();
		uint32_t i, at_limited = 0;
		uint64_t id;

		add_server(f, "s1", 1, true);
		add_server(f, "s2", 1, true);
		set_limit(f, limits_millihz[k]);
		for (i = 0; i < 100; i++) {
			id = request(f, 0);
			mh_dispatch_tick(f->d);
			assert_true(f->results[id].placed);
			at_limited += !strcmp(f->results[id].server, "s1");
			done(f, id, MH_SLOT_OK, 20);
			advance_clock(f, 40);
		}
		/* Asked at least now and then, as it may have no limit any
		 * more. */
		assert_in_range(at_limited, 2, 5);
		free_fixture(f);
	}
}

static void test_limit_holds_for_one_incarnation(void **state)
{
	struct fixture *f = new_fixture();
	struct mh_server_ref older = { "s1", "", 0 };
	struct mh_server_limit stated = { 500, f->now_ns };
	uint64_t ids[2];
	uint32_t i;

	(void)state;
	add_server(f, "s1", 1, true);
	assert_int_equal(mh_dispatch_server_limit(f->d, &older, &stated),
			 MH_LIMIT_UNCHANGED);
	set_limit(f, 200);
	add_server(f, "s1", 2, true);
	for (i = 0; i < 2; i++)
		ids[i] = request(f, 0);
	mh_dispatch_tick(f->d);
	for (i = 0; i < 2; i++)
		assert_true(f->results[ids[i]].placed);
	free_fixture(f);
}

/* Guards against a limit that is lost as its server is not registered yet, at a
 * dispatcher that has just started, or not for a moment. */
static void test_limit_of_a_server_that_is_not_registered(void **state)
{
	struct fixture *f = new_fixture();
	uint32_t i, n_placed = 0;
	uint64_t id;

	(void)state;
	assert_int_equal(set_limit(f, 200), MH_LIMIT_CHANGED);
	add_server(f, "s1", 1, true);
	id = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_false(f->results[id].placed);
	remove_server(f, "s1");
	add_server(f, "s1", 1, true);
	for (i = 0; i < 8; i++) {
		id = request(f, 0);
		advance_clock(f, 1);
		n_placed += f->results[id].placed;
	}
	assert_int_equal(n_placed, 0);
	advance_clock(f, 5001);
	id = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_true(f->results[id].placed);
	free_fixture(f);
}

/* Guards against a limit that slots which were not used count against. */
static void test_unused_slot_does_not_count(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t id;

	(void)state;
	add_server(f, "s1", 1, true);
	set_limit(f, 200);
	id = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_true(f->results[id].placed);
	done(f, id, MH_SLOT_HELD_BACK, 0);
	id = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_true(f->results[id].placed);
	free_fixture(f);
}

/* Guards against a dispatcher that takes over and does not count what the former
 * one granted. */
static void test_requests_of_another_dispatcher_count(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t id;

	(void)state;
	add_server(f, "s1", 1, true);
	set_limit(f, 2500);
	mh_dispatch_add_reported_usage(f->d, MH_SENDS_USAGE_PREFIX "s1", 9, 10,
				       0);
	id = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_false(f->results[id].placed);
	free_fixture(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limits_with_a_dispatcher),
		cmocka_unit_test(test_limits_without_a_dispatcher),
		cmocka_unit_test(test_limits_with_a_wrong_census),
		cmocka_unit_test(test_limits_over_changes_of_the_dispatcher),
		cmocka_unit_test(test_limits_that_flap),
		cmocka_unit_test(test_servers_are_used_after_limits),
		cmocka_unit_test(test_request_that_a_limit_outlasts_is_refused),
		cmocka_unit_test(test_other_servers_are_used_first),
		cmocka_unit_test(test_limit_holds_for_one_incarnation),
		cmocka_unit_test(test_limit_of_a_server_that_is_not_registered),
		cmocka_unit_test(test_unused_slot_does_not_count),
		cmocka_unit_test(test_requests_of_another_dispatcher_count),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
