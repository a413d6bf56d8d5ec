/*
 * Unit tests of what processes know of a roll-out from others: takeovers, records
 * of the store and of links, verdicts.
 */
#include "tests/rollout_simulation.h"

/* Guards against a successor that knows the servers of the target only yet. */
static void test_new_judge_waits_for_the_other_servers(void **state)
{
	struct model *m = new_model(1);

	(void)state;
	new_judge(m);
	mh_rollouts_set_store(m->set, MH_ROLLOUT_STORE_READ);
	m->old_servers = 0;
	give_order(m);
	run_ms(m, 1000);
	assert_int_equal(phase_of(m), MH_ROLLOUT_OBSERVING);
	assert_int_equal(m->granted[1], 0);
	m->old_servers = 5;
	run_ms(m, 2000);
	assert_int_equal(phase_of(m), MH_ROLLOUT_OBSERVING);
	free_model(m);
}

/* Guards against a process that starts, or takes over, and sends requests to a
 * target of which it does not know the verdict. */
static void test_new_judge_waits_for_the_record(void **state)
{
	struct model *m = new_model(1);
	uint64_t granted;

	(void)state;
	give_order(m);
	run_ms(m, 1000);
	granted = m->granted[1];
	new_judge(m);
	give_order(m);
	assert_allowed(m, TARGET, false);
	run_ms(m, 3000);
	/* The store is down, and no link told anything. */
	mh_rollouts_set_store(m->set, MH_ROLLOUT_STORE_DOWN);
	run_ms(m, 1000);
	assert_int_equal(m->granted[1], granted);
	assert_int_equal(m->waiting, 0);
	assert_true(tell(m, TARGET, MH_ROLLOUT_OBSERVING, 5000));
	run_ms(m, 3000);
	assert_true(m->granted[1] > granted);
	free_model(m);
}

static void test_new_judge_reads_the_verdict(void **state)
{
	struct model *m = new_model(1);

	(void)state;
	new_judge(m);
	give_order(m);
	assert_true(tell(m, TARGET, MH_ROLLOUT_ROLLED_BACK, 3000));
	mh_rollouts_set_store(m->set, MH_ROLLOUT_STORE_READ);
	run_ms(m, 20000);
	assert_int_equal(m->granted[1], 0);
	assert_int_equal(phase_of(m), MH_ROLLOUT_ROLLED_BACK);
	free_model(m);
}

/* Processes that don't decide follow the last phase that they were told. */
static void test_followers(void **state)
{
	struct model *m = new_model(1);

	(void)state;
	mh_rollouts_set_judge(m->set, false);
	give_order(m);
	assert_allowed(m, OLD, true);
	assert_allowed(m, TARGET, false);
	assert_true(tell(m, TARGET, MH_ROLLOUT_SHIFTING, 4000));
	assert_allowed(m, OLD, false);
	assert_allowed(m, TARGET, true);
	run_ms(m, 30000);
	assert_int_equal(phase_of(m), MH_ROLLOUT_SHIFTING);
	assert_true(tell(m, TARGET, MH_ROLLOUT_ROLLED_BACK, 5000));
	assert_allowed(m, OLD, true);
	assert_allowed(m, TARGET, false);
	assert_false(tell(m, TARGET, MH_ROLLOUT_OBSERVING, 6000));
	assert_allowed(m, TARGET, false);
	free_model(m);
}

/* Guards against more requests than the bound for a bad version whose counts are
 * lost again and again: each judge is killed three seconds after its takeover, the
 * record is older by as much or missing. */
static void test_bound_over_many_takeovers(void **state)
{
	bool has_record;

	(void)state;
	for (has_record = false;; has_record = true) {
		struct model *m = new_model(1);
		int i;

		give_order(m);
		for (i = 0; i < 20; i++) {
			uint64_t granted = m->granted[0] + m->granted[1];
			struct mh_rollout_record rec = {
				.order = { SERVICE, TARGET, 600000 },
				.phase = MH_ROLLOUT_OBSERVING,
				.granted_service = granted,
				.granted_target = m->granted[1],
			};

			run_ms(m, 3000);
			new_judge(m);
			m->duration_ms = 600000;
			order_of(m, TARGET, m->duration_ms);
			if (has_record)
				mh_rollouts_merge(m->set, &rec);
			mh_rollouts_set_store(m->set, MH_ROLLOUT_STORE_READ);
		}
		assert_int_equal(phase_of(m), MH_ROLLOUT_OBSERVING);
		assert_true(m->granted[1] > 100);
		/* Half of the bound is left for a second judge. */
		assert_true((double)m->granted[1] <=
			    0.05 * (double)(m->granted[0] + m->granted[1]) +
				    26);
		free_model(m);
		if (has_record)
			return;
	}
}

/* Guards against success without evidence: no judge was there until shortly before the
 * end of the duration, so that the target gets all requests only after that. */
static void test_late_shift_needs_evidence(void **state)
{
	struct model *m = new_model(1);

	(void)state;
	m->duration_ms = 8000;
	m->rate_per_s = 30;
	set_fails(&m->target, 0.6);
	mh_rollouts_set_judge(m->set, false);
	give_order(m);
	run_ms(m, 7500);
	assert_int_equal(m->granted[1], 0);
	mh_rollouts_set_judge(m->set, true);
	assert_int_equal(run_all(m), MH_ROLLOUT_ROLLED_BACK);
	free_model(m);
}

/* Guards against a bound that two judges use up twice, while neither knows of the
 * other: each has seen the order, and grants to its own entries. */
static void test_bound_of_two_judges(void **state)
{
	struct model *a = new_model(1), *b = new_model(2);
	uint64_t all, target, ms;

	(void)state;
	set_fails(&a->target, 0.05);
	set_fails(&b->target, 0.05);
	a->duration_ms = b->duration_ms = 60000;
	a->rate_per_s = 300;
	b->rate_per_s = 30;
	give_order(a);
	give_order(b);
	for (ms = 0; ms < 10000; ms += 100) {
		run_ms(a, 100);
		run_ms(b, 100);
		target = a->granted[1] + b->granted[1];
		all = target + a->granted[0] + b->granted[0];
		assert_true((double)target <= 0.1 * (double)all + 50);
	}
	assert_int_equal(phase_of(a), MH_ROLLOUT_OBSERVING);
	assert_int_equal(phase_of(b), MH_ROLLOUT_OBSERVING);
	assert_true(a->granted[1] > 50 && b->granted[1] > 25);
	free_model(a);
	free_model(b);
}

/* Guards against evidence that a takeover loses. */
static void test_counts_of_the_record_are_evidence(void **state)
{
	struct mh_rollout_count counts[] = {
		{ 1, OLD, 900, 9, 0 },
		{ 1, TARGET, 30, 20, 0 },
	};
	struct mh_rollout_record rec = {
		.order = { SERVICE, TARGET, 12000 },
		.phase = MH_ROLLOUT_OBSERVING,
		.elapsed_ms = 3000,
		.granted_service = 1000,
		.granted_target = 50,
		.counts = counts,
		.n_counts = 2,
	};
	struct model *m = new_model(1);

	(void)state;
	new_judge(m);
	give_order(m);
	mh_rollouts_merge(m->set, &rec);
	mh_rollouts_set_store(m->set, MH_ROLLOUT_STORE_READ);
	tick(m);
	assert_int_equal(phase_of(m), MH_ROLLOUT_ROLLED_BACK);
	free_model(m);
}

/* Guards against a bad version that succeeds, as its failures were counted by
 * another process and the judge only learns their number. */
static void test_counts_told_to_the_judge_are_evidence(void **state)
{
	struct mh_rollout_count counts[] = { { 1, TARGET, 200, 100, 0 } };
	struct mh_rollout_record rec = {
		.order = { SERVICE, TARGET, 12000 },
		.phase = MH_ROLLOUT_OBSERVING,
		.counts = counts,
		.n_counts = 1,
	};
	struct model *m = new_model(1);

	(void)state;
	give_order(m);
	run_ms(m, 3000);
	assert_int_equal(phase_of(m), MH_ROLLOUT_OBSERVING);
	assert_true(mh_rollouts_merge(m->set, &rec));
	tick(m);
	assert_int_equal(phase_of(m), MH_ROLLOUT_ROLLED_BACK);
	free_model(m);
}

/* Guards against a bad version that succeeds, as its first answers come shortly before
 * the verdict: entries or servers were cut off until then. */
static void test_last_answers_count_before_a_success(void **state)
{
	struct model *m = new_model(1);
	uint64_t success_ms;
	int i;

	(void)state;
	give_order(m);
	success_ms = run_until(m, MH_ROLLOUT_SUCCEEDED);
	assert_int_equal(phase_of(m), MH_ROLLOUT_SUCCEEDED);
	free_model(m);
	m = new_model(1);
	give_order(m);
	run_ms(m, success_ms - STEP_MS);
	assert_int_equal(phase_of(m), MH_ROLLOUT_SHIFTING);
	for (i = 0; i < 15; i++)
		mh_rollouts_ended(m->set, SERVICE, TARGET, 1, true, 0);
	run_ms(m, STEP_MS);
	assert_int_equal(phase_of(m), MH_ROLLOUT_ROLLED_BACK);
	free_model(m);
}

/* Guards against a verdict that is reversed, by orders, records or outcomes. */
static void test_verdicts_are_never_reversed(void **state)
{
	struct model *m = new_model(1);
	int i;

	(void)state;
	assert_int_equal(run_all(m), MH_ROLLOUT_SUCCEEDED);
	assert_true(mh_rollouts_acknowledged(m->set, SERVICE, TARGET,
					     MH_ROLLOUT_SUCCEEDED));
	assert_false(mh_rollouts_acknowledged(m->set, SERVICE, TARGET,
					      MH_ROLLOUT_ROLLED_BACK));
	assert_false(tell(m, TARGET, MH_ROLLOUT_ROLLED_BACK, 0));
	for (i = 0; i < 1000; i++)
		mh_rollouts_ended(m->set, SERVICE, TARGET, 1, true, 0);
	run_ms(m, 10000);
	assert_int_equal(phase_of(m), MH_ROLLOUT_SUCCEEDED);
	assert_allowed(m, TARGET, true);
	free_model(m);
	m = new_model(1);
	set_fails(&m->target, 1);
	assert_int_equal(run_all(m), MH_ROLLOUT_ROLLED_BACK);
	assert_true(mh_rollouts_acknowledged(m->set, SERVICE, TARGET,
					     MH_ROLLOUT_ROLLED_BACK));
	assert_false(mh_rollouts_acknowledged(m->set, SERVICE, TARGET,
					      MH_ROLLOUT_SUCCEEDED));
	assert_false(tell(m, TARGET, MH_ROLLOUT_SUCCEEDED, 0));
	for (i = 0; i < 1000; i++)
		mh_rollouts_ended(m->set, SERVICE, TARGET, 1, false, 1);
	run_ms(m, 10000);
	assert_int_equal(phase_of(m), MH_ROLLOUT_ROLLED_BACK);
	free_model(m);
}

/* Of two judges that differ, the one that rolled back wins, and the old versions
 * get requests again. */
static void test_rolled_back_wins_before_an_acknowledgement(void **state)
{
	struct model *m = new_model(1);

	(void)state;
	assert_int_equal(run_all(m), MH_ROLLOUT_SUCCEEDED);
	assert_allowed(m, OLD, false);
	assert_true(tell(m, TARGET, MH_ROLLOUT_ROLLED_BACK, 0));
	assert_int_equal(phase_of(m), MH_ROLLOUT_ROLLED_BACK);
	assert_allowed(m, OLD, true);
	assert_allowed(m, TARGET, false);
	free_model(m);
}

/* Guards against processes that differ because records came in another order. */
#define N_RECORDS 5

static void merge_in_order(struct model *m,
			   const struct mh_rollout_record *recs,
			   uint32_t permutation)
{
	bool used[N_RECORDS] = { false };
	uint32_t left;

	for (left = N_RECORDS; left; left--) {
		uint32_t skip = permutation % left;
		uint32_t i = 0;

		permutation /= left;
		while (used[i] || skip) {
			skip -= !used[i];
			i++;
		}
		used[i] = true;
		mh_rollouts_merge(m->set, &recs[i]);
	}
}

static void test_merges_in_any_order(void **state)
{
	static const char *const v0[] = { "v0" };
	static const char *const v1[] = { "v0", "v1" };
	struct mh_rollout_count a[] = { { 1, OLD, 10, 2, 3 },
					{ 2, TARGET, 5, 0, 0 } };
	struct mh_rollout_count b[] = { { 1, OLD, 8, 4, 0 },
					{ 1, TARGET, 7, 0, 1 } };
	struct mh_rollout_order order = { SERVICE, TARGET, 12000 };
	struct mh_rollout_order other = { SERVICE, "v9", 12000 };
	struct mh_rollout_record recs[N_RECORDS] = {
		{ order, MH_ROLLOUT_OBSERVING, false, 3000, 90, 9, a, 2, NULL,
		  0 },
		{ order, MH_ROLLOUT_SHIFTING, false, 5000, 200, 30, b, 2, v0,
		  1 },
		{ order, MH_ROLLOUT_SUCCEEDED, false, 8000, 300, 100, b, 2, v1,
		  2 },
		{ order, MH_ROLLOUT_ROLLED_BACK, false, 7000, 250, 90, a, 2, v0,
		  1 },
		/* Of an older order. */
		{ other, MH_ROLLOUT_OBSERVING, false, 90000, 1, 1, NULL, 0,
		  NULL, 0 },
	};
	struct state first = { "", 0 };
	uint32_t i;

	(void)state;
	for (i = 0; i < 120; i++) {
		struct model *m = new_model(1);
		struct state s;

		mh_rollouts_set_judge(m->set, false);
		give_order(m);
		merge_in_order(m, recs, i);
		assert_false(mh_rollouts_merge(m->set, &recs[2]));
		s = state_of(m->set);
		if (!i)
			first = s;
		assert_string_equal(s.text, first.text);
		free_model(m);
	}
	assert_non_null(strstr(first.text, "rolled_back 0 8000 100/300"));
	assert_non_null(strstr(first.text, "1 v1 10 4 3\n"));
	assert_non_null(strstr(first.text, "excluded v0\n"));
	assert_null(strstr(first.text, "excluded v1\n"));
}

/* Guards against an old order that a late link or a lagging read brings back. */
static void test_the_later_order_holds(void **state)
{
	struct mh_rollout_order old = { SERVICE, "v0", 12000 };
	struct model *m = new_model(1);

	(void)state;
	mh_rollouts_set_judge(m->set, false);
	assert_true(tell(m, TARGET, MH_ROLLOUT_SHIFTING, 5000));
	assert_int_equal(mh_rollouts_order(m->set, &old, 60000),
			 MH_ROLLOUT_ORDER_UNCHANGED);
	assert_false(tell(m, "v0", MH_ROLLOUT_SUCCEEDED, 60000));
	assert_int_equal(phase_of(m), MH_ROLLOUT_SHIFTING);
	assert_true(tell(m, "v3", MH_ROLLOUT_OBSERVING, 1000));
	assert_int_equal(phase_of(m), MH_ROLLOUT_OBSERVING);
	assert_allowed(m, "v3", false);
	free_model(m);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_judge_waits_for_the_other_servers),
		cmocka_unit_test(test_new_judge_waits_for_the_record),
		cmocka_unit_test(test_new_judge_reads_the_verdict),
		cmocka_unit_test(test_followers),
		cmocka_unit_test(test_bound_over_many_takeovers),
		cmocka_unit_test(test_late_shift_needs_evidence),
		cmocka_unit_test(test_bound_of_two_judges),
		cmocka_unit_test(test_counts_of_the_record_are_evidence),
		cmocka_unit_test(test_counts_told_to_the_judge_are_evidence),
		cmocka_unit_test(test_last_answers_count_before_a_success),
		cmocka_unit_test(test_verdicts_are_never_reversed),
		cmocka_unit_test(
			test_rolled_back_wins_before_an_acknowledgement),
		cmocka_unit_test(test_merges_in_any_order),
		cmocka_unit_test(test_the_later_order_holds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
