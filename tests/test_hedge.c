/*
 * Unit tests of hedged requests: which requests get a second slot, where, and how
 * many, without a network. Each names the load or failure that it answers.
 */
#include "tests/hedge_fixture.h"

/* ---- the percentile ---- */

static struct mh_hedges *hedges_of(uint32_t n, uint64_t now_ns)
{
	struct mh_hedges *h = mh_hedges_new(10000);
	uint32_t i;

	for (i = 0; i < n; i++)
		mh_hedges_observe(h, KIND, 0.5 + i % 10 * 0.1, now_ns);
	mh_hedges_begin_review(h, now_ns);
	return h;
}

/* Load: a start, or a route that is rarely used. A percentile of a few
 * observations is the time of the slowest one. */
static void test_too_few_observations(void **state)
{
	struct mh_hedges *h = hedges_of(59, 100000 * MS);

	(void)state;
	assert_false(mh_hedges_is_late(h, KIND, 100));
	assert_false(mh_hedges_is_late(h, KIND + 1, 100));
	mh_hedges_observe(h, KIND, 0.5, 100000 * MS);
	assert_true(mh_hedges_is_late(h, KIND, 100));
	assert_false(mh_hedges_is_late(h, KIND + 1, 100));
	/* They are too old after a while. */
	mh_hedges_begin_review(h, 110000 * MS);
	assert_false(mh_hedges_is_late(h, KIND, 100));
	mh_hedges_free(h);
}

/* Load: any. The trigger lies between the bulk and the slowest twentieth. */
static void test_percentile(void **state)
{
	struct mh_hedges *h = mh_hedges_new(10000);
	uint32_t i;

	(void)state;
	for (i = 0; i < 1000; i++)
		mh_hedges_observe(h, KIND, i % 25 ? 1 : 3, 100000 * MS);
	mh_hedges_begin_review(h, 100000 * MS);
	assert_false(mh_hedges_is_late(h, KIND, 1));
	assert_true(mh_hedges_is_late(h, KIND, 2));
	/* Ratios that no measurement gives must not be outside the buckets. */
	mh_hedges_observe(h, KIND, 0, 100000 * MS);
	mh_hedges_observe(h, KIND, -1, 100000 * MS);
	mh_hedges_observe(h, KIND, 1e300, 100000 * MS);
	assert_true(mh_hedges_is_late(h, KIND, 1e300));
	assert_false(mh_hedges_is_late(h, KIND, 0));
	mh_hedges_free(h);
}

/* Load: a pool that becomes slow as a whole from one moment to the next. Its
 * responses show it only when they begin; the requests that wait show it before. */
static void test_pending_requests_raise_the_percentile(void **state)
{
	struct mh_hedges *h = hedges_of(200, 100000 * MS);
	uint32_t i;

	(void)state;
	for (i = 0; i < 5; i++)
		mh_hedges_add_pending(h, KIND, 4);
	assert_true(mh_hedges_is_late(h, KIND, 4));
	for (i = 0; i < 35; i++)
		mh_hedges_add_pending(h, KIND, 4);
	assert_false(mh_hedges_is_late(h, KIND, 4));
	/* Those of a former review are forgotten. */
	mh_hedges_begin_review(h, 100020 * MS);
	assert_true(mh_hedges_is_late(h, KIND, 4));
	mh_hedges_free(h);
}

/* Load: a configuration with more routes than are kept. */
static void test_many_kinds_are_bounded(void **state)
{
	struct mh_hedges *h = mh_hedges_new(10000);
	uint32_t i;

	(void)state;
	for (i = 0; i < 100000; i++)
		mh_hedges_observe(h, i, 1, 100000 * MS);
	mh_hedges_begin_review(h, 100000 * MS);
	assert_false(mh_hedges_is_late(h, 5, 3));
	/* All further ones share the observations of one kind. */
	assert_true(mh_hedges_is_late(h, 99999, 3));
	mh_hedges_free(h);
}

/* ---- the limit ---- */

static uint32_t take_all(struct mh_hedges *h,
			 const struct mh_hedge_limit *limit, uint64_t now_ns)
{
	uint32_t n = 0;

	while (n < 10000 && mh_hedges_reserve(h, limit, now_ns)) {
		mh_hedges_confirm(h, now_ns);
		n++;
	}
	return n;
}

/* Load: requests that come and go in bursts, with everything late. Whenever one is
 * hedged, the last 10 s have no more hedged requests than the limit. */
static void test_limit_in_each_window(void **state)
{
	struct mh_hedge_limit limit = { SHARE, EXTRA };
	struct mh_hedges *h = mh_hedges_new(10000);
	uint32_t requests[600], hedged[600], t, i;

	(void)state;
	for (t = 0; t < 600; t++) {
		uint64_t now_ns = (200000 + 100 * t) * MS;

		requests[t] = t / 37 % 3 ? 5 : 90;
		for (i = 0; i < requests[t]; i++)
			mh_hedges_add_request(h, now_ns);
		hedged[t] = take_all(h, &limit, now_ns);
	}
	for (t = 0; t < 600; t++) {
		uint32_t n = 0, of = 0;

		for (i = t < 99 ? 0 : t - 99; i <= t; i++) {
			n += hedged[i];
			of += requests[i];
		}
		assert_true(!hedged[t] || n <= ALLOWED(of));
		assert_true(n > 0);
	}
	mh_hedges_free(h);
}

/* Failure: a dispatcher is lost. What it granted counts at the next one. */
static void test_limit_counts_what_others_granted(void **state)
{
	struct mh_hedge_limit limit = { 0, EXTRA };
	struct mh_hedges *h = mh_hedges_new(10000);

	(void)state;
	mh_hedges_add_reported(h, EXTRA, 100000 * MS);
	assert_int_equal(take_all(h, &limit, 100000 * MS), 0);
	assert_int_equal(take_all(h, &limit, 109000 * MS), 0);
	assert_in_range(take_all(h, &limit, 111000 * MS), 1, EXTRA);
	/* What is not sent does not count. */
	mh_hedges_add_reported(h, 0, 130000 * MS);
	assert_true(mh_hedges_reserve(h, &limit, 130000 * MS));
	mh_hedges_give_up(h);
	assert_int_equal(take_all(h, &limit, 130000 * MS), EXTRA - 1);
	mh_hedges_free(h);
}

/* Load: a service near saturation. */
static void test_load(void **state)
{
	struct mh_hedge_load load = { .slots = 40, .free_slots = 4 };

	(void)state;
	assert_true(mh_hedge_load_allows(&load));
	load.free_slots = 3;
	assert_false(mh_hedge_load_allows(&load));
	load = (struct mh_hedge_load){ 40, 40, true };
	assert_false(mh_hedge_load_allows(&load));
	load = (struct mh_hedge_load){ 0 };
	assert_false(mh_hedge_load_allows(&load));
}

/* ---- the dispatcher ---- */

/* Failure: a server stalls. Its request runs at another one as well, and both
 * slots are released separately. */
static void test_late_request_gets_a_second_slot(void **state)
{
	struct fixture *f = new_pool_of(4, SHARE, EXTRA);
	struct mh_dispatch_view view;
	uint64_t id = send_repeatable(f);

	(void)state;
	wait_ms(f, 20);
	assert_int_equal(f->n_hedges, 0);
	wait_ms(f, 60);
	assert_int_equal(f->n_hedges, 1);
	assert_string_not_equal(f->results[id].hedge_server, "");
	mh_dispatch_view(f->d, SERVICE, &view);
	assert_int_equal(view.held, 2);
	mh_dispatch_first_byte(f->d, 1, mh_hedge_id(id), 20);
	done(f, id, MH_SLOT_CANCELLED, 80);
	mh_dispatch_view(f->d, SERVICE, &view);
	assert_int_equal(view.held, 1);
	done(f, mh_hedge_id(id), MH_SLOT_OK, 20);
	mh_dispatch_view(f->d, SERVICE, &view);
	assert_int_equal(view.held, 0);
	free_fixture(f);
}

static double latency_ratio(const struct fixture *f, const char *server)
{
	struct mh_dispatch_view view;
	const char *at;

	mh_dispatch_view(f->d, SERVICE, &view);
	at = strstr(view.server_stats, server);
	assert_non_null(at);
	return atof(at + strlen(server) + 1);
}

/* Failure: a server is slow for whatever it gets, and all of it is answered by
 * others first. The dispatcher still learns that it is slow. */
static void test_beaten_server_counts_as_slow(void **state)
{
	struct fixture *f = new_pool_of(4, SHARE, EXTRA);
	uint64_t id = send_repeatable(f);
	double before = latency_ratio(f, f->results[id].server);

	(void)state;
	wait_ms(f, 200);
	assert_int_equal(f->n_hedges, 1);
	done(f, id, MH_SLOT_CANCELLED, 200);
	assert_true(latency_ratio(f, f->results[id].server) > before + 0.5);
	free_fixture(f);
}

/* Guards against a changed behaviour of sites that do not use it. */
static void test_off_by_default(void **state)
{
	struct fixture *f = new_pool_of(4, 0, 0);

	(void)state;
	send_repeatable(f);
	wait_ms(f, 400);
	assert_int_equal(f->n_hedges, 0);
	free_fixture(f);
}

/* Guards against two runs of a request that may run only once, of one that may
 * not run once more by its route, of one that was sent before, and of one that
 * responds already. */
static void test_requests_without_a_second_slot(void **state)
{
	struct fixture *f = new_pool_of(8, SHARE, EXTRA);
	struct mh_slot_request a = repeatable(f);
	uint64_t id;

	(void)state;
	a.is_repeatable = false;
	send(f, &a);
	a = repeatable(f);
	a.is_repeat = true;
	send(f, &a);
	a = repeatable(f);
	a.n_avoid = 1;
	a.avoid[0] = "s0";
	send(f, &a);
	id = send_repeatable(f);
	mh_dispatch_first_byte(f->d, 1, id, 1);
	wait_ms(f, 400);
	assert_int_equal(f->n_hedges, 0);
	free_fixture(f);
}

/* Guards against a second attempt that cannot end in time. */
static void test_no_second_slot_before_the_deadline(void **state)
{
	struct fixture *f = new_pool_of(4, SHARE, EXTRA);
	struct mh_slot_request a = repeatable(f);

	(void)state;
	a.start_by_ns = a.deadline_ns = f->now_ns + 45 * MS;
	send(f, &a);
	wait_ms(f, 200);
	assert_int_equal(f->n_hedges, 0);
	free_fixture(f);
}

/* Guards against a second slot at the same server, and at one that takes no
 * requests or is not expected to respond at the usual speed. */
static void test_servers_without_a_second_slot(void **state)
{
	enum { ALONE, DRAINING, LEAVING, PAUSED, FAILING, LIMITED, CASES };
	int i;

	(void)state;
	for (i = 0; i < CASES; i++) {
		struct fixture *f = new_pool_of(1, SHARE, EXTRA);
		struct mh_server_ref other = { "other", "127.0.0.1:1", 1 };
		struct mh_server_limit limit = { .max_millihz = 0,
						 .stated_ns = f->now_ns };
		struct mh_slot_request a;
		uint64_t id = send_repeatable(f);

		if (i != ALONE)
			add_server(f, "other", 1, true);
		if (i == DRAINING)
			add_server(f, "other", 1, false);
		if (i == LEAVING)
			mh_dispatch_server_leaving(f->d, &other);
		if (i == PAUSED)
			mh_dispatch_server_pause(f->d, 1, &other, 5000);
		if (i == LIMITED)
			mh_dispatch_server_limit(f->d, &other, &limit);
		if (i == FAILING) {
			a = make_request(f, 0);
			a.n_avoid = 1;
			a.avoid[0] = "s0";
			send(f, &a);
			assert_string_equal(f->results[a.id].server, "other");
			done(f, a.id, MH_SLOT_UNREACHABLE, 1);
		}
		wait_ms(f, 120);
		assert_int_equal(f->n_hedges, 0);
		assert_true(f->results[id].placed);
		free_fixture(f);
	}
}

/* Load: full. No hedged request while one waits, or less than a tenth of the
 * slots is free. */
static void test_no_hedging_near_saturation(void **state)
{
	struct fixture *f = new_pool_of(11, SHARE, EXTRA);
	uint64_t last = 0;
	uint32_t i;

	(void)state;
	/* 22 slots, of which two are fewer than a tenth. */
	for (i = 0; i < 20; i++)
		last = send_repeatable(f);
	for (i = 0; i < 19; i++)
		mh_dispatch_first_byte(f->d, 1, last - 1 - i, 20);
	wait_ms(f, 200);
	assert_int_equal(f->n_hedges, 0);
	done(f, last - 1, MH_SLOT_OK, 200);
	wait_ms(f, 40);
	assert_int_equal(f->n_hedges, 1);
	free_fixture(f);
}

/* Guards against hedged requests that delay others: free slots that an entry may
 * not use at the moment do not count. */
static void test_no_hedging_while_requests_wait(void **state)
{
	struct fixture *f = new_pool_of(4, SHARE, EXTRA);
	struct mh_slot_request a = repeatable(f);
	char id[8];
	uint32_t i;

	(void)state;
	send_repeatable(f);
	for (i = 0; i < 4; i++) {
		struct mh_server_ref s = { id, "127.0.0.1:1", 1 };

		snprintf(id, sizeof(id), "s%u", i);
		mh_dispatch_server_pause(f->d, 2, &s, 5000);
	}
	a.owner = 2;
	send(f, &a);
	assert_false(f->results[a.id].placed);
	wait_ms(f, 200);
	assert_int_equal(f->n_hedges, 0);
	mh_dispatch_done(f->d, 2, a.id, MH_SLOT_UNUSED, 0);
	wait_ms(f, 40);
	assert_int_equal(f->n_hedges, 1);
	free_fixture(f);
}

/* Guards against a change of its server that would be a third run. It may be moved
 * again if its second slot was not used. */
static void test_hedged_request_is_not_moved(void **state)
{
	struct fixture *f = new_pool_of(4, SHARE, EXTRA);
	uint64_t id = send_repeatable(f), other;

	(void)state;
	wait_ms(f, 3000);
	assert_int_equal(f->n_hedges, 1);
	assert_false(f->results[id].moved);
	other = send_repeatable(f);
	wait_ms(f, 200);
	assert_int_equal(f->n_hedges, 2);
	done(f, mh_hedge_id(other), MH_SLOT_HELD_BACK, 0);
	wait_ms(f, 3000);
	assert_int_equal(f->n_hedges, 2);
	assert_true(f->results[other].moved);
	free_fixture(f);
}

/* Guards against work beyond the retry budget: it counts hedged requests. */
static void test_hedged_requests_use_the_retry_budget(void **state)
{
	struct fixture *f = new_pool_of(30, 1, 1000);
	struct mh_dispatch_conf with = conf;
	struct mh_slot_request a = repeatable(f);
	uint32_t i;

	(void)state;
	advance_clock(f, 8000);
	observe(f, 70);
	with.hedge_share = 1;
	with.hedge_extra = 1000;
	with.retry_ratio = 0;
	with.retry_extra = 2.2;
	mh_dispatch_set_conf(f->d, &with);
	for (i = 0; i < 3; i++)
		send_repeatable(f);
	wait_ms(f, 400);
	assert_int_equal(f->n_hedges, 2);
	a.is_repeat = true;
	send(f, &a);
	assert_true(f->results[a.id].refused);
	assert_int_equal(f->results[a.id].error, MH_ERR_RETRY_BUDGET);
	free_fixture(f);
}

/* Guards against an account that gets more than its quota by hedged requests:
 * each costs as much as the first attempt. */
static void test_hedged_request_is_charged(void **state)
{
	struct fixture *f = new_pool_of(6, SHARE, EXTRA);
	struct mh_slot_request a = repeatable(f);
	uint64_t granted;

	(void)state;
	mh_dispatch_set_quota(f->d, "acct", 100, 200);
	a.account = "acct";
	a.units = 300;
	granted = mh_dispatch_total_granted_units(f->d);
	send(f, &a);
	wait_ms(f, 100);
	assert_int_equal(f->n_hedges, 1);
	assert_int_equal(mh_dispatch_total_granted_units(f->d) - granted, 600);
	/* The quota is 1,000: no more of it is left for a second attempt. */
	a = repeatable(f);
	a.account = "acct";
	a.units = 300;
	send(f, &a);
	assert_true(f->results[a.id].placed);
	wait_ms(f, 200);
	assert_int_equal(f->n_hedges, 1);
	free_fixture(f);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_too_few_observations),
		cmocka_unit_test(test_percentile),
		cmocka_unit_test(test_pending_requests_raise_the_percentile),
		cmocka_unit_test(test_many_kinds_are_bounded),
		cmocka_unit_test(test_limit_in_each_window),
		cmocka_unit_test(test_limit_counts_what_others_granted),
		cmocka_unit_test(test_load),
		cmocka_unit_test(test_late_request_gets_a_second_slot),
		cmocka_unit_test(test_beaten_server_counts_as_slow),
		cmocka_unit_test(test_off_by_default),
		cmocka_unit_test(test_requests_without_a_second_slot),
		cmocka_unit_test(test_no_second_slot_before_the_deadline),
		cmocka_unit_test(test_servers_without_a_second_slot),
		cmocka_unit_test(test_no_hedging_near_saturation),
		cmocka_unit_test(test_no_hedging_while_requests_wait),
		cmocka_unit_test(test_hedged_request_is_not_moved),
		cmocka_unit_test(test_hedged_requests_use_the_retry_budget),
		cmocka_unit_test(test_hedged_request_is_charged),
	};

	(void)argc;
	(void)argv;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
