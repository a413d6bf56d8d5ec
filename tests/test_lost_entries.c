/*
 * Unit tests of quotas and of the retry budget while entries are cut off from the
 * dispatcher of the others and grant their share by themselves.
 */
#include "core/sliding_window.h"
#include "platform/ledger.h"
#include "tests/dispatch_fixture.h"

#define ENTRIES 5
#define STEP_MS 200
#define STEPS 400
#define WINDOW_STEPS (8000 / STEP_MS)
/* (100 x 8 + 200) x 1.1 + 1,000 units in 8 s. */
#define ALLOWED 2100
/* What is granted of that: three quarters of the tolerance. */
#define GRANTED 1825
#define UNITS 20
#define LOCAL 77  /* incarnation of an entry, from others' point of view */
#define SHARED 78 /* that of the dispatcher */

struct site {
	struct fixture *shared;
	struct fixture *own[ENTRIES];
	uint32_t n;
	uint32_t now; /* step */
	int alone_from
		[ENTRIES]; /* step at which it begins to, -1: it is linked */
	uint32_t granted[STEPS];
	uint32_t granted_to[ENTRIES][STEPS];
};

static uint64_t start_ns(void)
{
	return 100000 * MS;
}

static void open_site(struct site *site, uint32_t n)
{
	uint32_t i;

	memset(site, 0, sizeof(*site));
	site->n = n;
	site->shared = new_fixture_at(start_ns());
	add_server(site->shared, "a", 1, true);
	mh_dispatch_set_quota(site->shared->d, "hot", 100, 200);
	mh_dispatch_set_grantor(site->shared->d, SHARED);
	mh_dispatch_set_linked(site->shared->d, n);
	for (i = 0; i < n; i++) {
		site->own[i] = new_fixture_at(start_ns());
		add_server(site->own[i], "a", 1, true);
		mh_dispatch_set_quota(site->own[i]->d, "hot", 100, 200);
		mh_dispatch_set_share(site->own[i]->d, n);
		site->alone_from[i] = -1;
	}
}

static void close_site(struct site *site)
{
	uint32_t i;

	free_fixture(site->shared);
	for (i = 0; i < site->n; i++)
		free_fixture(site->own[i]);
}

static bool grant(struct fixture *f, uint32_t owner)
{
	struct mh_slot_request a = make_request(f, 0);

	a.owner = owner;
	a.account = "hot";
	a.units = UNITS;
	mh_dispatch_request_slot(f->d, &a);
	mh_dispatch_tick(f->d);
	if (f->results[a.id].placed)
		mh_dispatch_done(f->d, owner, a.id, MH_SLOT_OK, 10);
	return f->results[a.id].placed;
}

static void count(struct site *site, uint32_t entry)
{
	site->granted[site->now] += UNITS;
	site->granted_to[entry][site->now] += UNITS;
}

/* One entry's requests of a step, as many as are granted up to a number. */
static void ask(struct site *site, uint32_t entry, uint32_t most)
{
	uint32_t n;

	if (site->alone_from[entry] > (int)site->now)
		return;
	for (n = 0; n < most; n++) {
		if (site->alone_from[entry] >= 0) {
			if (!grant(site->own[entry], 0))
				return;
		} else {
			if (!grant(site->shared, entry + 1))
				return;
			mh_dispatch_add_reported_usage(site->own[entry]->d,
						       "hot", SHARED, UNITS, 0);
		}
		count(site, entry);
	}
}

static const char *host_of(uint32_t entry)
{
	static const char *const hosts[ENTRIES] = { "h0", "h1", "h2", "h3",
						    "h4" };

	return hosts[entry];
}

static void step(struct site *site, uint32_t most)
{
	uint32_t i;

	for (i = 0; i < site->n; i++) {
		uint32_t entry = (i + site->now) % site->n;

		if (site->alone_from[entry] == (int)site->now)
			mh_dispatch_begin_share(site->own[entry]->d);
		ask(site, entry, most);
	}
	advance_clock(site->shared, STEP_MS);
	for (i = 0; i < site->n; i++)
		advance_clock(site->own[i], STEP_MS);
	site->now++;
}

static void run(struct site *site, uint32_t steps, uint32_t most)
{
	while (steps--)
		step(site, most);
}

/* An entry falls silent: it grants by itself 1.4 s later, and the dispatcher has
 * lost it 1.6 s later, 2 s after it was last heard of. */
static void cut(struct site *site, uint32_t entry)
{
	site->alone_from[entry] = (int)site->now + 7;
}

static void lose(struct site *site, uint32_t entry)
{
	uint32_t i, linked = 0;

	mh_dispatch_entry_lost(site->shared->d, host_of(entry), entry + 1,
			       site->shared->now_ns - 2000 * MS);
	for (i = 0; i < site->n; i++)
		linked += site->alone_from[i] < 0;
	mh_dispatch_set_linked(site->shared->d, linked);
}

/* It links again, and first reports what it granted itself. */
static void find(struct site *site, uint32_t entry)
{
	uint32_t t;

	for (t = (uint32_t)site->alone_from[entry]; t < site->now; t++) {
		if (site->granted_to[entry][t])
			mh_dispatch_add_reported_usage(
				site->shared->d, "hot", LOCAL + entry,
				site->granted_to[entry][t],
				(site->now - t) * STEP_MS);
	}
	site->alone_from[entry] = -1;
	mh_dispatch_entry_linked(site->shared->d, host_of(entry));
}

static uint32_t most_in_a_window(const struct site *site, uint32_t from)
{
	uint32_t t, i, most = 0;

	for (t = from; t + WINDOW_STEPS <= site->now; t++) {
		uint32_t sum = 0;

		for (i = 0; i < WINDOW_STEPS; i++)
			sum += site->granted[t + i];
		most = sum > most ? sum : most;
	}
	return most;
}

/* Cuts the last entries off for 12 s, with a window that is full, and finds them
 * again. */
static void cut_and_find(struct site *site, uint32_t n_cut, uint32_t most)
{
	uint32_t i;

	run(site, 100, most);
	for (i = 0; i < n_cut; i++)
		cut(site, site->n - 1 - i);
	run(site, 8, most);
	for (i = 0; i < n_cut; i++)
		lose(site, site->n - 1 - i);
	run(site, 52, most);
	for (i = 0; i < n_cut; i++)
		find(site, site->n - 1 - i);
	mh_dispatch_set_linked(site->shared->d, site->n);
	run(site, 60, most);
}

/* Guards against a quota that is granted twice, by an entry that is cut off and by
 * the dispatcher of the others: with bursts that use all of it at once, and with an
 * even use. */
static void test_a_quota_holds_over_a_cut(void **state)
{
	static const uint32_t most[] = { 50, 2, 1 };
	struct site site;
	uint32_t i, n_cut;

	(void)state;
	for (i = 0; i < 3; i++) {
		for (n_cut = 1; n_cut <= 2; n_cut++) {
			open_site(&site, ENTRIES);
			cut_and_find(&site, n_cut, most[i]);
			assert_in_range(most_in_a_window(&site, 0), 0, ALLOWED);
			close_site(&site);
		}
	}
}

/* Guards against an entry whose share the others had used, and that uses it at once
 * when it is cut off. */
static void test_a_share_that_others_used(void **state)
{
	struct site site;
	uint32_t most;

	(void)state;
	for (most = 2; most <= 50; most += 48) {
		open_site(&site, ENTRIES);
		site.alone_from[0] = STEPS;
		run(&site, 100, most);
		cut(&site, 0);
		run(&site, 8, most);
		lose(&site, 0);
		run(&site, 100, most);
		assert_in_range(most_in_a_window(&site, 0), 0, ALLOWED);
		close_site(&site);
	}
}

/* The other side: with nobody lost all is granted, and what an entry that is cut
 * off uses is its share. */
static void test_shares_are_used(void **state)
{
	struct site site;
	uint32_t t, own = 0;

	(void)state;
	open_site(&site, ENTRIES);
	run(&site, 100, 2);
	assert_in_range(most_in_a_window(&site, 20), GRANTED - UNITS, GRANTED);
	cut(&site, 0);
	run(&site, 8, 2);
	lose(&site, 0);
	run(&site, 92, 2);
	for (t = site.now - WINDOW_STEPS; t < site.now; t++)
		own += site.granted_to[0][t];
	assert_in_range(own, GRANTED / ENTRIES - 2 * UNITS, GRANTED / ENTRIES);
	assert_in_range(most_in_a_window(&site, site.now - WINDOW_STEPS),
			GRANTED - 4 * UNITS, GRANTED);
	close_site(&site);
}

/* Guards against a share that is left to an entry whose host is dead for good. */
static void test_a_dead_entry_is_given_up(void **state)
{
	struct site site;

	(void)state;
	open_site(&site, ENTRIES);
	run(&site, 60, 2);
	site.alone_from[0] = STEPS;
	run(&site, 10, 2);
	lose(&site, 0);
	run(&site, 60, 2);
	assert_in_range(most_in_a_window(&site, site.now - WINDOW_STEPS), 0,
			GRANTED * 4 / 5);
	/* 30 s after it was heard of. */
	run(&site, 140, 2);
	assert_in_range(most_in_a_window(&site, site.now - WINDOW_STEPS),
			GRANTED - UNITS, GRANTED);
	close_site(&site);
}

/* Guards against another dispatcher, which takes over in the cut and has never been
 * linked to the entry, and grants the whole. */
static void test_the_next_dispatcher_knows_of_the_lost(void **state)
{
	struct fixture *next;
	struct site site;
	char *record;

	(void)state;
	open_site(&site, ENTRIES);
	run(&site, 60, 2);
	cut(&site, 0);
	run(&site, 8, 2);
	lose(&site, 0);
	run(&site, 10, 2);
	record = mh_ledger_encode(site.shared->d, site.shared->now_ns / MS);
	next = new_fixture_at(site.shared->now_ns);
	assert_true(mh_ledger_decode(next->d, (const uint8_t *)record,
				     strlen(record), next->now_ns / MS));
	mh_dispatch_set_linked(next->d, ENTRIES - 1);
	assert_int_equal(mh_dispatch_entries(next->d), ENTRIES);
	free(record);
	free_fixture(next);
	close_site(&site);
}

/* The dispatcher is replaced, without a stored record, by one that has the copies of
 * linked entries only: the one that is cut off was not known to be lost yet. */
static void replace(struct site *site, char *record)
{
	struct fixture *next = new_fixture_at(site->shared->now_ns);
	uint32_t i, linked = 0;

	add_server(next, "a", 1, true);
	mh_dispatch_set_quota(next->d, "hot", 100, 200);
	mh_dispatch_set_grantor(next->d, SHARED + 1);
	for (i = 0; i < site->n; i++) {
		if (site->alone_from[i] >= 0)
			continue;
		mh_dispatch_entry_linked(next->d, host_of(i));
		linked++;
	}
	mh_dispatch_set_linked(next->d, linked);
	assert_true(mh_ledger_decode_cached(next->d, (const uint8_t *)record,
					    strlen(record), 0));
	free(record);
	free_fixture(site->shared);
	site->shared = next;
}

/* Guards against a dispatcher that starts just after an entry was cut off, has never
 * been linked to it, and grants its share as well. */
static void test_a_cut_beside_a_new_dispatcher(void **state)
{
	struct site site;
	char *record;
	uint32_t i;

	(void)state;
	open_site(&site, ENTRIES);
	run(&site, 60, 2);
	for (i = 0; i < ENTRIES; i++)
		mh_dispatch_entry_linked(site.shared->d, host_of(i));
	record = mh_ledger_encode(site.shared->d, site.shared->now_ns / MS);
	cut(&site, 0);
	replace(&site, record);
	run(&site, 100, 2);
	assert_in_range(most_in_a_window(&site, 0), 0, ALLOWED);
	assert_int_equal(mh_dispatch_entries(site.shared->d), ENTRIES);
	close_site(&site);
}

static double limit_of(struct fixture *f)
{
	uint32_t n = 0;

	while (grant(f, 1))
		n += UNITS;
	return n;
}

/* The other side: of entries that link to it in time nothing is left unused. */
static void test_entries_that_link_in_time(void **state)
{
	struct fixture *f = new_fixture_at(start_ns());
	uint32_t i;

	(void)state;
	add_server(f, "a", 1, true);
	mh_dispatch_set_quota(f->d, "hot", 100, 200);
	advance_clock(f, 20000);
	mh_dispatch_entry_linked(f->d, host_of(0));
	mh_dispatch_set_linked(f->d, 1);
	for (i = 0; i < ENTRIES; i++)
		mh_dispatch_entry_recorded(f->d, host_of(i),
					   f->now_ns - 1000 * MS);
	assert_int_equal(mh_dispatch_entries(f->d), ENTRIES);
	assert_in_range(limit_of(f), GRANTED - UNITS, GRANTED);
	for (i = 0; i < ENTRIES; i++)
		mh_dispatch_entry_linked(f->d, host_of(i));
	mh_dispatch_set_linked(f->d, ENTRIES);
	advance_clock(f, 20000);
	assert_in_range(limit_of(f), GRANTED - UNITS, GRANTED);
	assert_int_equal(mh_dispatch_entries(f->d), ENTRIES);
	free_fixture(f);
}

/* Guards against the extra retries of the budget that both grant. */
static uint32_t extra_retries(struct fixture *f)
{
	struct mh_slot_request a;
	uint32_t n = 0;

	advance_clock(f, 20000);
	for (;;) {
		a = make_request(f, 0);
		a.is_repeat = true;
		mh_dispatch_request_slot(f->d, &a);
		mh_dispatch_tick(f->d);
		if (!f->results[a.id].placed)
			return n;
		done(f, a.id, MH_SLOT_OK, 10);
		n++;
	}
}

static void test_extra_retries_are_shared_with_the_lost(void **state)
{
	struct fixture *f = new_fixture_at(start_ns());
	uint32_t all, rest;

	(void)state;
	add_server(f, "a", 1, true);
	mh_dispatch_set_linked(f->d, 5);
	all = extra_retries(f);
	mh_dispatch_set_linked(f->d, 3);
	advance_clock(f, 20000);
	mh_dispatch_entry_lost(f->d, "h0", 4, f->now_ns);
	mh_dispatch_entry_lost(f->d, "h1", 5, f->now_ns);
	rest = extra_retries(f);
	assert_in_range(all, 4, 5);
	assert_in_range(rest, 2, 3);
	free_fixture(f);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_quota_holds_over_a_cut),
		cmocka_unit_test(test_a_share_that_others_used),
		cmocka_unit_test(test_shares_are_used),
		cmocka_unit_test(test_a_dead_entry_is_given_up),
		cmocka_unit_test(test_the_next_dispatcher_knows_of_the_lost),
		cmocka_unit_test(test_a_cut_beside_a_new_dispatcher),
		cmocka_unit_test(test_entries_that_link_in_time),
		cmocka_unit_test(test_extra_retries_are_shared_with_the_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
