/* Unit tests of parts of prompts that may crash servers. */
#include "tests/suspect_fixture.h"

/* Return: whether requests with a part run beside each other, so that it is no
 * suspect. */
static bool part_runs_freely(struct fixture *f, uint64_t part)
{
	uint64_t a = request_with_part(f, part);
	uint64_t b = request_with_part(f, part);
	bool both = f->results[a].placed && f->results[b].placed;

	end(f, a, MH_SLOT_CANCELLED);
	end(f, b, MH_SLOT_CANCELLED);
	return both;
}

static void replace_server(struct fixture *f, const char *old, const char *new)
{
	remove_server(f, old);
	add_server(f, new, 1, true);
	advance_clock(f, 2000);
}

/* Guards against a part that turns bad and is cleared by a run from before. */
static void test_run_from_before_a_crash_clears_no_part(void **state)
{
	struct fixture *f = new_crash_fixture(4);
	uint64_t before, lost;
	uint32_t i;

	(void)state;
	before = request_with_part(f, 5);
	lost = request_with_part(f, 5);
	assert_string_not_equal(f->results[before].server,
				f->results[lost].server);
	mh_dispatch_first_byte(f->d, 1, before, 5);
	advance_clock(f, 10);
	end(f, lost, MH_SLOT_LOST);
	advance_clock(f, 1000);
	end(f, before, MH_SLOT_OK);
	/* One more than of a part that no run survived_briefly. */
	for (i = 0; i < 3; i++) {
		end(f, request_with_part(f, 5), MH_SLOT_LOST);
		advance_clock(f, 1000);
	}
	assert_int_equal(f->results[request_with_part(f, 5)].error,
			 MH_ERR_CRASHES_SERVERS);
	free_fixture(f);
}

/* Guards against a part that stays a suspect though it did no harm. */
static void test_run_from_after_a_crash_clears_its_part(void **state)
{
	struct fixture *f = new_crash_fixture(4);
	uint64_t id;

	(void)state;
	end(f, request_with_part(f, 5), MH_SLOT_LOST);
	advance_clock(f, 1000);
	assert_false(part_runs_freely(f, 5));
	id = request_with_part(f, 5);
	mh_dispatch_first_byte(f->d, 1, id, 5);
	advance_clock(f, 600);
	end(f, id, MH_SLOT_OK);
	assert_true(part_runs_freely(f, 5));
	free_fixture(f);
}

/* Guards against parts that are suspects for a crash long after they began. */
static void test_run_lost_late_counts_against_no_part(void **state)
{
	struct fixture *f = new_crash_fixture(4);
	uint64_t id = request_with_part(f, 5);

	(void)state;
	mh_dispatch_first_byte(f->d, 1, id, 5);
	advance_clock(f, 600);
	end(f, id, MH_SLOT_LOST);
	assert_true(part_runs_freely(f, 5));
	free_fixture(f);
}

/* Guards against sound parts that stay suspects for crashes whose cause is known.
 */
static void test_found_part_explains_the_crashes_of_others(void **state)
{
	struct fixture *f = new_crash_fixture(2);
	uint64_t bad, beside[3];
	uint32_t i, n_lost = 0;

	(void)state;
	bad = request_with_part(f, 9);
	for (i = 0; i < 3; i++)
		beside[i] = request_with_part(f, 5);
	end(f, bad, MH_SLOT_LOST);
	for (i = 0; i < 3; i++) {
		bool lost = is_at(f, beside[i], f->results[bad].server);

		n_lost += lost;
		end(f, beside[i], lost ? MH_SLOT_LOST : MH_SLOT_CANCELLED);
	}
	assert_true(n_lost > 0);
	advance_clock(f, 1000);
	for (i = 0; i < 2; i++) {
		end(f, request_with_part(f, 9), MH_SLOT_LOST);
		advance_clock(f, 1000);
	}
	assert_int_equal(f->results[request_with_part(f, 9)].error,
			 MH_ERR_CRASHES_SERVERS);
	assert_true(part_runs_freely(f, 5));
	free_fixture(f);
}

/* Guards against the same for crashes by one request that comes again and again. */
static void test_found_request_explains_the_crashes_of_parts(void **state)
{
	struct fixture *f = new_crash_fixture(1);
	uint64_t beside, bad;

	(void)state;
	bad = request_equal(f, BAD);
	beside = request_with_part(f, 5);
	assert_true(f->results[bad].placed && f->results[beside].placed);
	end(f, bad, MH_SLOT_LOST);
	end(f, beside, MH_SLOT_LOST);
	replace_server(f, "s0", "s1");
	bad = request_equal(f, BAD);
	assert_true(f->results[bad].placed);
	end(f, bad, MH_SLOT_LOST);
	replace_server(f, "s1", "s2");
	bad = request_equal(f, BAD);
	assert_true(f->results[bad].placed);
	end(f, bad, MH_SLOT_LOST);
	replace_server(f, "s2", "s3");
	assert_int_equal(f->results[request_equal(f, BAD)].error,
			 MH_ERR_CRASHES_SERVERS);
	assert_true(part_runs_freely(f, 5));
	free_fixture(f);
}

static void lose_request_with_part(struct fixture *f, uint64_t fingerprint,
				   uint64_t part)
{
	struct mh_slot_request a = make_request(f, 0);

	a.fingerprint = fingerprint;
	a.parts = &part;
	a.n_parts = 1;
	mh_dispatch_request_slot(f->d, &a);
	mh_dispatch_tick(f->d);
	end(f, a.id, MH_SLOT_LOST);
	advance_clock(f, 1000);
}

/* Guards against parts that are refused for one request which crashes servers. */
static void test_equal_requests_confirm_no_part(void **state)
{
	struct fixture *f = new_crash_fixture(8);
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++)
		lose_request_with_part(f, BAD, 5);
	assert_int_equal(f->results[request_equal(f, BAD)].error,
			 MH_ERR_CRASHES_SERVERS);
	assert_true(f->results[request_with_part(f, 5)].placed);
	free_fixture(f);
}

/* Guards against the same before the request is refused. */
static void test_equal_requests_count_once_against_a_part(void **state)
{
	struct fixture *f = new_crash_fixture(8);

	(void)state;
	lose_request_with_part(f, BAD, 5);
	lose_request_with_part(f, BAD, 5);
	lose_request_with_part(f, BAD + 1, 5);
	assert_true(f->results[request_with_part(f, 5)].placed);
	free_fixture(f);
}

/* Guards against a server's refusal that clears a part which it did not run. */
static void test_declined_request_clears_no_part(void **state)
{
	struct fixture *f = new_crash_fixture(4);
	uint64_t a, b;

	(void)state;
	a = request_with_part(f, 5);
	end(f, a, MH_SLOT_LOST);
	advance_clock(f, 1000);
	a = request_with_part(f, 5);
	mh_dispatch_first_byte(f->d, 1, a, 5);
	advance_clock(f, 600);
	end(f, a, MH_SLOT_DECLINED);
	a = request_with_part(f, 5);
	b = request_with_part(f, 5);
	assert_true(f->results[a].placed);
	assert_false(f->results[b].placed);
	free_fixture(f);
}

/* Guards against requests that wait for a run which a silent server keeps. */
static void test_silent_trial_keeps_no_others_waiting(void **state)
{
	struct fixture *f = new_crash_fixture(4);
	uint64_t silent, next;

	(void)state;
	end(f, request_with_part(f, 5), MH_SLOT_LOST);
	advance_clock(f, 1000);
	silent = request_with_part(f, 5);
	next = request_with_part(f, 5);
	assert_true(f->results[silent].placed);
	advance_clock(f, 1000);
	assert_false(f->results[next].placed);
	advance_clock(f, 1300);
	advance_clock(f, 100);
	assert_true(f->results[next].placed);
	free_fixture(f);
}

/* Requests with a part that others have, too, and one that only they have; the part
 * that they share is a suspect already. */
static uint64_t request_with_parts(struct fixture *f, uint64_t shared,
				   uint64_t own)
{
	uint64_t parts[] = { shared, own };
	struct mh_slot_request a = make_request(f, 0);

	a.fingerprint = 5000 + own;
	a.parts = parts;
	a.n_parts = 2;
	a.start_by_ns = a.deadline_ns = f->now_ns + 8000 * MS;
	mh_dispatch_request_slot(f->d, &a);
	mh_dispatch_tick(f->d);
	return a.id;
}

/* Guards against a bad part that goes free: runs of a suspect were lost with its
 * server beside the bad one, and took the blame. */
static void test_trials_lost_together_are_all_counted(void **state)
{
	struct fixture *f = new_crash_fixture(1);
	uint64_t settled, bad, sound;

	(void)state;
	end(f, request_with_parts(f, 1, 2), MH_SLOT_LOST);
	replace_server(f, "s0", "s1");
	settled = request_with_parts(f, 1, 3);
	mh_dispatch_first_byte(f->d, 1, settled, 5);
	advance_clock(f, 200);
	bad = request_with_parts(f, 1, 4);
	sound = request_with_parts(f, 1, 5);
	assert_true(f->results[bad].placed && f->results[sound].placed);
	end(f, bad, MH_SLOT_LOST);
	end(f, sound, MH_SLOT_LOST);
	replace_server(f, "s1", "s2");
	assert_false(part_runs_freely(f, 4));
	free_fixture(f);
}

static bool never_settles(void *data, struct mh_feature feature)
{
	(void)data;
	(void)feature;
	return false;
}

static uint64_t server_at_ms(uint64_t ms)
{
	return 1000 + ms;
}

/* Counts a crash against two parts, of which the first is known to others. */
static void crash_both(struct mh_suspects *set, uint64_t a, uint64_t b,
		       uint64_t ms)
{
	struct mh_feature features[] = { { MH_FEATURE_PART, a },
					 { MH_FEATURE_PART, b } };
	uint32_t i;

	for (i = 0; i < 2; i++)
		mh_suspects_add_crash(
			set, features[i],
			&(struct mh_crash){ .server = server_at_ms(ms),
					    .request = ms,
					    .placed_ns = (ms - 50) * MS,
					    .lost_ns = ms * MS },
			true);
}

static void note_part(void *data, const struct mh_suspect *suspect)
{
	uint32_t *crashes_told = data;

	crashes_told[suspect->feature.id] = suspect->n_crashes;
}

/* Guards against others that refuse a part, as they don't know of the parts that
 * have its crashes as well. */
static void test_alternatives_are_told_with_a_part(void **state)
{
	uint32_t crashes_told[4] = { 0 };
	struct mh_suspects *set = mh_suspects_new(note_part, crashes_told);

	(void)state;
	crash_both(set, 1, 2, 1000);
	crash_both(set, 1, 3, 2000);
	assert_int_equal(crashes_told[1], 0);
	mh_suspects_share(set, 2200 * MS);
	assert_int_equal(crashes_told[1], 2);
	assert_int_equal(crashes_told[2], 1);
	assert_int_equal(crashes_told[3], 1);
	mh_suspects_share(set, 3000 * MS);
	crash_both(set, 1, 2, 4000);
	mh_suspects_confirm(set, never_settles, NULL, 4000 * MS);
	assert_int_equal(crashes_told[1], 3);
	assert_int_equal(crashes_told[2], 2);
	crash_both(set, 1, 3, 6000);
	assert_int_equal(crashes_told[1], 4);
	assert_int_equal(crashes_told[3], 2);
	mh_suspects_free(set);
}

/* Guards against a part that is forgotten before it crashes the next server, as many
 * runs with the most parts are lost with the first ones. */
static void test_records_outlast_those_of_many_parts(void **state)
{
	struct mh_suspects *set = mh_suspects_new(NULL, NULL);
	struct mh_feature bad = { MH_FEATURE_PART, 5 };
	struct mh_crash lost = { .server = 1, .placed_ns = MS };
	uint64_t run, i;

	(void)state;
	lost.lost_ns = 100 * MS;
	mh_suspects_add_crash(set, bad, &lost, false);
	for (run = 1; run <= 2 * SLOTS; run++) {
		lost.server = 1 + run / SLOTS;
		for (i = 1; i < MH_PARTS_MAX; i++) {
			struct mh_feature part = { MH_FEATURE_PART,
						   run * 1000 + i };

			mh_suspects_add_crash(set, part, &lost, false);
		}
	}
	assert_int_equal(mh_suspects_crashes(set, bad, 200 * MS), 1);
	mh_suspects_free(set);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_silent_trial_keeps_no_others_waiting),
		cmocka_unit_test(test_run_from_before_a_crash_clears_no_part),
		cmocka_unit_test(test_run_from_after_a_crash_clears_its_part),
		cmocka_unit_test(test_run_lost_late_counts_against_no_part),
		cmocka_unit_test(
			test_found_part_explains_the_crashes_of_others),
		cmocka_unit_test(
			test_found_request_explains_the_crashes_of_parts),
		cmocka_unit_test(test_equal_requests_confirm_no_part),
		cmocka_unit_test(test_equal_requests_count_once_against_a_part),
		cmocka_unit_test(test_declined_request_clears_no_part),
		cmocka_unit_test(test_trials_lost_together_are_all_counted),
		cmocka_unit_test(test_records_outlast_those_of_many_parts),
		cmocka_unit_test(test_alternatives_are_told_with_a_part),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
