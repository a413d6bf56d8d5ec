/*
 * Unit tests of hedged requests under load, and with several processes that share
 * the limit, without a network. Each names the load or failure that it answers.
 */
#include "tests/hedge_fixture.h"

/* Load: all servers become several times slower at the same time. The percentile
 * follows, so that this is no reason for hedged requests. */
static void test_slow_pool_gets_no_hedge_storm(void **state)
{
	struct fixture *f = new_pool_of(40, 1, 1000);
	uint64_t ids[24];
	uint32_t round, i, hedges;

	(void)state;
	for (round = 0; round < 30; round++) {
		hedges = f->n_hedges;
		for (i = 0; i < 24; i++)
			ids[i] = send_repeatable(f);
		for (i = 0; i < 24; i++) {
			advance_clock(f, i ? 1 : 90);
			end(f, ids[i], 90 + i);
		}
		for (i = 0; i < 24; i++) {
			if (*f->results[ids[i]].hedge_server)
				done(f, mh_hedge_id(ids[i]), MH_SLOT_CANCELLED,
				     50);
		}
		/* A twentieth of them is later than the percentile. */
		if (round > 8)
			assert_in_range(f->n_hedges - hedges, 0, 3);
	}
	/* Neither is there one while it becomes slow. */
	assert_in_range(f->n_hedges, 0, 30 * 24 / 20);
	free_fixture(f);
}

/* A run of a request in one of its slots. */
struct run {
	uint64_t id;
	uint64_t ends_ns;
	bool is_open;
};

/* One server in twenty takes 300 ms for what begins, another one each 250 ms; the
 * others take 20 ms. */
static bool is_slow(const struct fixture *f, const char *server)
{
	return (uint64_t)atoi(server + 1) == f->now_ns / (250 * MS) * 7 % 20;
}

static struct run begin_run(const struct fixture *f, uint64_t id,
			    const char *server)
{
	uint32_t ms = is_slow(f, server) ? 300 : 20;

	return (struct run){ id, f->now_ns + ms * MS, true };
}

static void end_run(struct fixture *f, struct run *run, bool responds)
{
	uint64_t id = run->id & ~MH_HEDGE_ID_BIT;
	uint32_t ms = (uint32_t)((f->now_ns - f->results[id].at_ns) / MS);

	run->is_open = false;
	if (responds)
		mh_dispatch_first_byte(f->d, 1, run->id, ms);
	mh_dispatch_done(f->d, 1, run->id,
			 responds ? MH_SLOT_OK : MH_SLOT_CANCELLED, ms);
}

/*
 * Load: one server in twenty is slow for a while, at two fifths of the slots. Its
 * requests are answered by others, and the dispatcher still learns that it is
 * slow.
 */
static void test_one_slow_server_in_twenty(void **state)
{
	enum { STEPS = 600, EACH = 4 };
	struct fixture *f = new_pool_of(20, SHARE, EXTRA);
	static struct run runs[2 * STEPS * EACH];
	uint32_t slow = 0, late = 0, n = 0, t, i;

	(void)state;
	for (t = 0; t < STEPS + 100; t++) {
		for (i = 0; i < EACH && t < STEPS; i++) {
			uint64_t id = send_repeatable(f);

			assert_true(f->results[id].placed);
			runs[n] = begin_run(f, id, f->results[id].server);
			slow += is_slow(f, f->results[id].server);
			n += 2;
		}
		advance_clock(f, 5);
		for (i = 0; i < n; i += 2) {
			struct run *first = &runs[i], *second = &runs[i + 1];
			struct slot_result *a = &f->results[first->id];

			if (!first->is_open)
				continue;
			if (*a->hedge_server && !second->is_open)
				*second = begin_run(f, mh_hedge_id(first->id),
						    a->hedge_server);
			if (second->is_open && f->now_ns >= second->ends_ns) {
				end_run(f, second, true);
				end_run(f, first, false);
			} else if (f->now_ns >= first->ends_ns) {
				late += f->now_ns - a->at_ns > 150 * MS;
				end_run(f, first, true);
				if (second->is_open)
					end_run(f, second, false);
			}
		}
	}
	assert_true(slow >= 10);
	assert_true(late <= slow / 10);
	/* The extra work is about that of the slow server's requests. */
	assert_in_range(f->n_hedges, slow - late, slow + slow / 4);
	/* Of a server that is slow the dispatcher learns before it responds. */
	assert_true(slow < STEPS * EACH / 20);
	free_fixture(f);
}

/* ---- several processes ---- */

/* Makes all requests of a dispatcher late that it can hold.
 * Return: number of hedged requests. */
static uint32_t hedge_many(struct fixture *f, uint32_t n)
{
	uint32_t before = f->n_hedges, i;

	for (i = 0; i < n; i++) {
		uint64_t id = send_repeatable(f);

		wait_ms(f, 60);
		if (*f->results[id].hedge_server)
			done(f, mh_hedge_id(id), MH_SLOT_CANCELLED, 10);
		done(f, id, MH_SLOT_CANCELLED, 60);
		observe(f, 1);
	}
	return f->n_hedges - before;
}

/* Failure: a link breaks and two dispatchers are active at once, neither of which
 * has heard of the other. Together they stay within the limit. */
static void test_two_dispatchers_stay_within_the_limit(void **state)
{
	struct fixture *f[2] = { new_pool_of(8, 0, EXTRA),
				 new_pool_of(8, 0, EXTRA) };
	uint32_t n;

	(void)state;
	n = hedge_many(f[0], 30) + hedge_many(f[1], 30);
	assert_in_range(n, 2, EXTRA);
	free_fixture(f[0]);
	free_fixture(f[1]);
}

/* Failure: the dispatcher is lost, and its successor has just started, or knows of
 * the hedged requests by the entries' reports only. */
static void test_new_dispatcher_stays_within_the_limit(void **state)
{
	struct fixture *f = new_fixture_at(100000 * MS);

	(void)state;
	set_hedging(f, 0, EXTRA);
	add_server(f, "a", 1, true);
	add_server(f, "b", 1, true);
	observe(f, 100);
	/* It does not know what was granted in the window before its start. */
	assert_int_equal(hedge_many(f, 5), 0);
	free_fixture(f);
	f = new_pool_of(8, 0, EXTRA);
	mh_dispatch_add_reported_usage(f->d, MH_HEDGE_USAGE_PREFIX SERVICE, 3,
				       EXTRA / 2, 100);
	assert_int_equal(hedge_many(f, 30), 0);
	free_fixture(f);
}

/* Failure: the dispatcher is lost while both slots are in use. The next one takes
 * both over, in either order, and grants no third one. */
static void test_slots_are_taken_over(void **state)
{
	int order;

	(void)state;
	for (order = 0; order < 2; order++) {
		struct fixture *f = new_pool_of(4, SHARE, EXTRA);
		struct mh_slot_request a = repeatable(f), b;
		struct mh_dispatch_view view;

		f->results[a.id].placed = true;
		b = a;
		b.id = mh_hedge_id(a.id);
		b.is_repeat = true;
		b.is_repeatable = false;
		mh_dispatch_adopt_slot(f->d, order ? &a : &b, "s1", 60);
		mh_dispatch_adopt_slot(f->d, order ? &b : &a, "s2", 100);
		wait_ms(f, 3000);
		assert_int_equal(f->n_hedges, 0);
		assert_false(f->results[a.id].moved);
		mh_dispatch_view(f->d, SERVICE, &view);
		assert_int_equal(view.held, 2);
		mh_dispatch_owner_gone(f->d, 1);
		mh_dispatch_view(f->d, SERVICE, &view);
		assert_int_equal(view.held, 0);
		free_fixture(f);
	}
}

/* Failure: no dispatcher. Entries that grant their shares stay within the limit
 * together, also just after the loss. */
static void test_entries_alone_share_the_limit(void **state)
{
	enum { ENTRIES = 4 };
	uint32_t i, n = 0, early = 0;

	(void)state;
	for (i = 0; i < ENTRIES; i++) {
		struct fixture *f = new_fixture();

		set_hedging(f, 0, 6 * EXTRA);
		mh_dispatch_set_share(f->d, ENTRIES);
		add_server(f, "a", 1, true);
		add_server(f, "b", 1, true);
		add_server(f, "c", 1, true);
		observe(f, 80);
		mh_dispatch_begin_share(f->d);
		early += hedge_many(f, 2);
		observe(f, 70);
		n += hedge_many(f, 40);
		free_fixture(f);
	}
	assert_int_equal(early, 0);
	assert_in_range(n, ENTRIES, 6 * EXTRA);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_pool_gets_no_hedge_storm),
		cmocka_unit_test(test_one_slow_server_in_twenty),
		cmocka_unit_test(test_two_dispatchers_stay_within_the_limit),
		cmocka_unit_test(test_new_dispatcher_stays_within_the_limit),
		cmocka_unit_test(test_slots_are_taken_over),
		cmocka_unit_test(test_entries_alone_share_the_limit),
	};

	(void)argc;
	(void)argv;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
