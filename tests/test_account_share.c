/*
 * Unit tests of the shares of client accounts: which account is served next while
 * requests wait, and whose requests are refused.
 */
#include "core/account_share.h"
#include "tests/dispatch_fixture.h"

#define TIER 1
#define RUN_MS 20

static void set_shares(struct fixture *f, bool on)
{
	struct mh_dispatch_conf with = conf;

	with.account_shares = on;
	mh_dispatch_set_conf(f->d, &with);
}

/* One server with two slots, both in use by @running. */
static struct fixture *new_busy_fixture(uint64_t running[2])
{
	struct fixture *f = new_fixture();

	set_shares(f, true);
	add_server(f, "a", 1, true);
	running[0] = request(f, 0);
	running[1] = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_true(f->results[running[1]].placed);
	return f;
}

static struct mh_slot_request make_of(struct fixture *f, const char *account,
				      uint8_t tier)
{
	struct mh_slot_request a = make_request(f, tier);

	a.account = account;
	a.target_ns = f->now_ns + 5000 * MS;
	a.deadline_ns = a.start_by_ns = f->now_ns + 10000 * MS;
	return a;
}

static uint64_t request_of(struct fixture *f, const char *account, uint8_t tier)
{
	struct mh_slot_request a = make_of(f, account, tier);

	mh_dispatch_request_slot(f->d, &a);
	return a.id;
}

/* Ends the oldest run that has not ended. */
static void end_oldest(struct fixture *f)
{
	uint64_t i, oldest = f->next_id;

	for (i = 0; i < f->next_id; i++) {
		const struct slot_result *r = &f->results[i];

		if (r->placed && !r->ended &&
		    (oldest == f->next_id ||
		     r->at_ns < f->results[oldest].at_ns))
			oldest = i;
	}
	assert_true(oldest < f->next_id);
	f->results[oldest].ended = true;
	done(f, oldest, MH_SLOT_OK, RUN_MS);
}

static uint32_t count_placed(const struct fixture *f, const uint64_t *ids,
			     uint32_t n)
{
	uint32_t i, placed = 0;

	for (i = 0; i < n; i++)
		placed += f->results[ids[i]].placed;
	return placed;
}

static void run(struct fixture *f, uint32_t runs)
{
	while (runs--) {
		advance_clock(f, RUN_MS / 2);
		end_oldest(f);
	}
}

/* Guards against an account at eight times its usual rate that delays the
 * requests of the others. */
static void test_account_at_eight_times_its_rate(void **state)
{
	uint64_t running[2], hot[160], other[20];
	struct fixture *f = new_busy_fixture(running);
	uint32_t i;

	(void)state;
	for (i = 0; i < 160; i++)
		hot[i] = request_of(f, "hot", TIER);
	for (i = 0; i < 20; i++)
		other[i] = request_of(f, "other", TIER);
	mh_dispatch_tick(f->d);
	run(f, 52);
	assert_int_equal(count_placed(f, other, 20), 20);
	assert_in_range(count_placed(f, hot, 160), 25, 35);
	free_fixture(f);
}

/* Guards against shares that ignore the contracts of the accounts. */
static void test_weights_are_the_quotas(void **state)
{
	uint64_t running[2], large[60], small[60];
	struct fixture *f = new_busy_fixture(running);
	uint32_t i;

	(void)state;
	mh_dispatch_set_quota(f->d, "large", 3000, 0);
	mh_dispatch_set_quota(f->d, "small", 1000, 0);
	for (i = 0; i < 60; i++) {
		small[i] = request_of(f, "small", TIER);
		large[i] = request_of(f, "large", TIER);
	}
	mh_dispatch_tick(f->d);
	run(f, 64);
	assert_in_range(count_placed(f, large, 60), 42, 54);
	assert_in_range(count_placed(f, small, 60), 10, 22);
	free_fixture(f);
}

/* Guards against an account that sends nothing for a while and then takes all
 * slots for as long. */
static void test_idle_account_accrues_no_credit(void **state)
{
	uint64_t running[2], busy[120], idle[60];
	struct fixture *f = new_busy_fixture(running);
	uint32_t i, before;

	(void)state;
	request_of(f, "idle", TIER);
	for (i = 0; i < 120; i++)
		busy[i] = request_of(f, "busy", TIER);
	mh_dispatch_tick(f->d);
	run(f, 60);
	before = count_placed(f, busy, 120);
	for (i = 0; i < 60; i++)
		idle[i] = request_of(f, "idle", TIER);
	mh_dispatch_tick(f->d);
	run(f, 40);
	assert_in_range(count_placed(f, idle, 60), 14, 26);
	assert_in_range(count_placed(f, busy, 120) - before, 14, 26);
	free_fixture(f);
}

/* Guards against an account that used much while nothing waited and is kept
 * waiting for it afterwards. */
static void test_use_of_free_slots_costs_nothing_later(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t first[40], second[40];
	uint32_t i;

	(void)state;
	set_shares(f, true);
	add_server(f, "a", 1, true);
	for (i = 0; i < 200; i++) {
		request_of(f, "first", TIER);
		mh_dispatch_tick(f->d);
		run(f, 1);
	}
	for (i = 0; i < 40; i++) {
		first[i] = request_of(f, "first", TIER);
		second[i] = request_of(f, "second", TIER);
	}
	mh_dispatch_tick(f->d);
	run(f, 38);
	assert_in_range(count_placed(f, first, 40), 14, 26);
	assert_in_range(count_placed(f, second, 40), 14, 26);
	free_fixture(f);
}

/* Guards against a share that lets a routine request go before an urgent one. */
static void test_tiers_stay_strict(void **state)
{
	uint64_t running[2], urgent[20], routine;
	struct fixture *f = new_busy_fixture(running);
	uint32_t i;

	(void)state;
	for (i = 0; i < 20; i++)
		urgent[i] = request_of(f, "hot", 0);
	routine = request_of(f, "other", TIER);
	mh_dispatch_tick(f->d);
	run(f, 20);
	assert_int_equal(count_placed(f, urgent, 20), 20);
	assert_false(f->results[routine].placed);
	run(f, 1);
	assert_true(f->results[routine].placed);
	free_fixture(f);
}

/* Guards against a late request of an account within its share that displaces
 * one that can still meet its target. */
static void test_late_requests_wait_behind_timely_ones_of_others(void **state)
{
	uint64_t running[2], timely;
	struct fixture *f = new_busy_fixture(running);
	struct mh_slot_request late;

	(void)state;
	late = make_of(f, "small", TIER);
	late.target_ns = f->now_ns + 30 * MS;
	mh_dispatch_request_slot(f->d, &late);
	advance_clock(f, 40);
	request_of(f, "hot", TIER);
	timely = request_of(f, "hot", TIER);
	mh_dispatch_tick(f->d);
	end_oldest(f);
	end_oldest(f);
	assert_true(f->results[timely].placed);
	assert_false(f->results[late.id].placed);
	run(f, 1);
	assert_true(f->results[late.id].placed);
	free_fixture(f);
}

/* Guards against shares in requests instead of slot time. */
static void test_unlike_sizes_share_slot_time(void **state)
{
	struct mh_dispatch_service_conf service = { SERVICE, 2, true };
	uint64_t running[2], large[40], small[160];
	struct fixture *f = new_busy_fixture(running);
	struct mh_slot_request a;
	uint32_t i;

	(void)state;
	mh_dispatch_set_service(f->d, &service);
	for (i = 0; i < 160; i++) {
		a = make_of(f, "small", TIER);
		a.output_tokens = 10;
		small[i] = a.id;
		mh_dispatch_request_slot(f->d, &a);
		if (i % 4)
			continue;
		a = make_of(f, "large", TIER);
		a.output_tokens = 60;
		large[i / 4] = a.id;
		mh_dispatch_request_slot(f->d, &a);
	}
	/* 26 ms and 3.9 ms a token: 65 and 260 ms; the order alone is tested. */
	mh_dispatch_tick(f->d);
	for (i = 0; i < 50; i++)
		end_oldest(f);
	assert_in_range(count_placed(f, large, 40), 7, 13);
	assert_in_range(count_placed(f, small, 160), 37, 43);
	free_fixture(f);
}

/* Guards against an overload by one account for which others are refused. */
static void test_requests_beyond_the_share_are_refused_first(void **state)
{
	uint64_t running[2], hot[150], other[30];
	struct fixture *f = new_busy_fixture(running);
	uint32_t i, refused = 0;
	struct mh_slot_request a;

	(void)state;
	/* Two slots serve 100 requests before the deadline. */
	for (i = 0; i < 150; i++) {
		a = make_of(f, "hot", TIER);
		a.deadline_ns = a.start_by_ns = f->now_ns + 1000 * MS;
		hot[i] = a.id;
		mh_dispatch_request_slot(f->d, &a);
	}
	for (i = 0; i < 30; i++) {
		a = make_of(f, "other", TIER);
		a.deadline_ns = a.start_by_ns = f->now_ns + 1000 * MS;
		other[i] = a.id;
		mh_dispatch_request_slot(f->d, &a);
	}
	/* Reviews are 5 ms apart with this setting. */
	advance_clock(f, 5);
	for (i = 0; i < 150; i++)
		refused += f->results[hot[i]].refused;
	assert_in_range(refused, 70, 90);
	for (i = 0; i < 30; i++)
		assert_false(f->results[other[i]].refused);
	free_fixture(f);
}

/* Guards against an account that is charged for what was not sent to a server. */
static void test_unsent_requests_are_not_charged(void **state)
{
	uint64_t running[2], unsent[60], sent[60];
	struct fixture *f = new_busy_fixture(running);
	uint32_t i, n = 0;

	(void)state;
	for (i = 0; i < 60; i++) {
		unsent[i] = request_of(f, "unsent", TIER);
		sent[i] = request_of(f, "sent", TIER);
	}
	mh_dispatch_tick(f->d);
	while (count_placed(f, unsent, 60) < 60 && n++ < 100) {
		for (i = 0; i < 60; i++) {
			if (f->results[unsent[i]].placed &&
			    !f->results[unsent[i]].ended)
				break;
		}
		if (i == 60) {
			end_oldest(f);
			continue;
		}
		f->results[unsent[i]].ended = true;
		done(f, unsent[i], MH_SLOT_HELD_BACK, 0);
	}
	assert_int_equal(count_placed(f, unsent, 60), 60);
	assert_true(count_placed(f, sent, 60) <= 10);
	free_fixture(f);
}

/* Guards against a takeover in the middle of a burst after which the shares don't
 * hold: the successor knows no former use, and shares from then on. */
static void test_takeover_in_a_burst(void **state)
{
	uint64_t running[2], hot[100], other[15];
	struct fixture *f = new_busy_fixture(running);
	struct fixture *next = new_fixture();
	struct mh_slot_request a;
	uint32_t i;

	(void)state;
	for (i = 0; i < 80; i++)
		request_of(f, "hot", TIER);
	request_of(f, "other", TIER);
	mh_dispatch_tick(f->d);
	run(f, 20);
	set_shares(next, true);
	add_server(next, "a", 1, true);
	for (i = 0; i < 2; i++) {
		a = make_of(next, "hot", TIER);
		mh_dispatch_adopt_slot(next->d, &a, "a", 5);
		next->results[a.id].placed = true;
		next->results[a.id].at_ns = next->now_ns;
	}
	for (i = 0; i < 100; i++)
		hot[i] = request_of(next, "hot", TIER);
	for (i = 0; i < 15; i++)
		other[i] = request_of(next, "other", TIER);
	mh_dispatch_tick(next->d);
	run(next, 36);
	assert_int_equal(count_placed(next, other, 15), 15);
	assert_true(count_placed(next, hot, 100) >= 15);
	free_fixture(f);
	free_fixture(next);
}

/* Guards against shares that fail while two dispatchers are in use: each shares what
 * it grants, also if one account's requests come to one of them mostly. */
static void test_two_dispatchers_share_what_they_grant(void **state)
{
	uint64_t running[2][2], hot[2][80], other[2][10];
	struct fixture *f[2];
	uint32_t i, j;

	(void)state;
	for (i = 0; i < 2; i++) {
		f[i] = new_busy_fixture(running[i]);
		for (j = 0; j < (i ? 20 : 80); j++)
			hot[i][j] = request_of(f[i], "hot", TIER);
		for (j = 0; j < 10; j++)
			other[i][j] = request_of(f[i], "other", TIER);
		mh_dispatch_tick(f[i]->d);
		run(f[i], 26);
		assert_int_equal(count_placed(f[i], other[i], 10), 10);
		assert_in_range(count_placed(f[i], hot[i], i ? 20 : 80), 10,
				16);
		free_fixture(f[i]);
	}
}

/* Guards against entries without a dispatcher that forget the shares: they hold
 * at each entry. */
static void test_entry_alone_shares_its_slots(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t hot[60], other[10];
	uint32_t i;

	(void)state;
	set_shares(f, true);
	mh_dispatch_set_share(f->d, 2);
	add_server(f, "a", 1, true);
	for (i = 0; i < 60; i++)
		hot[i] = request_of(f, "hot", TIER);
	for (i = 0; i < 10; i++)
		other[i] = request_of(f, "other", TIER);
	mh_dispatch_tick(f->d);
	run(f, 26);
	assert_int_equal(count_placed(f, other, 10), 10);
	assert_in_range(count_placed(f, hot, 60), 10, 20);
	free_fixture(f);
}

/* Guards against requests that get lost when the setting changes while they
 * wait. */
static void test_setting_changes_while_requests_wait(void **state)
{
	uint64_t running[2], hot[30], other[10];
	struct fixture *f = new_busy_fixture(running);
	uint32_t i;

	(void)state;
	set_shares(f, false);
	for (i = 0; i < 30; i++)
		hot[i] = request_of(f, "hot", TIER);
	advance_clock(f, 1);
	for (i = 0; i < 10; i++)
		other[i] = request_of(f, "other", TIER);
	mh_dispatch_tick(f->d);
	run(f, 4);
	assert_int_equal(count_placed(f, hot, 30), 4);
	set_shares(f, true);
	run(f, 20);
	assert_int_equal(count_placed(f, other, 10), 10);
	set_shares(f, false);
	run(f, 16);
	assert_int_equal(count_placed(f, hot, 30), 30);
	free_fixture(f);
}

/* Guards against today's order changing while the setting is off. */
static void test_without_the_setting_the_target_decides(void **state)
{
	uint64_t running[2], hot[30], other;
	struct fixture *f = new_busy_fixture(running);
	uint32_t i;

	(void)state;
	set_shares(f, false);
	for (i = 0; i < 30; i++)
		hot[i] = request_of(f, "hot", TIER);
	advance_clock(f, 1);
	other = request_of(f, "other", TIER);
	mh_dispatch_tick(f->d);
	run(f, 30);
	assert_int_equal(count_placed(f, hot, 30), 30);
	assert_false(f->results[other].placed);
	free_fixture(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_account_at_eight_times_its_rate),
		cmocka_unit_test(test_weights_are_the_quotas),
		cmocka_unit_test(test_idle_account_accrues_no_credit),
		cmocka_unit_test(test_use_of_free_slots_costs_nothing_later),
		cmocka_unit_test(test_tiers_stay_strict),
		cmocka_unit_test(
			test_late_requests_wait_behind_timely_ones_of_others),
		cmocka_unit_test(test_unlike_sizes_share_slot_time),
		cmocka_unit_test(
			test_requests_beyond_the_share_are_refused_first),
		cmocka_unit_test(test_unsent_requests_are_not_charged),
		cmocka_unit_test(test_takeover_in_a_burst),
		cmocka_unit_test(test_two_dispatchers_share_what_they_grant),
		cmocka_unit_test(test_entry_alone_shares_its_slots),
		cmocka_unit_test(test_setting_changes_while_requests_wait),
		cmocka_unit_test(test_without_the_setting_the_target_decides),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
