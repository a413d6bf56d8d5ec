/*
 * Unit tests of crashes that an entry tells the dispatchers which it uses one after
 * the other.
 */
#include "core/candidates.h"
#include "core/observed_crashes.h"
#include "tests/suspect_fixture.h"

#define PART 5

static uint64_t n_runs;

/* A run of a request like no other one, with PART in its prompt. */
static void end_run(struct mh_observed_crashes *observed,
		    const struct fixture *f, const char *server,
		    uint64_t placed_ns, enum mh_slot_outcome outcome)
{
	static const uint64_t part = PART;
	struct mh_slot_request request = {
		.fingerprint = 1000 + n_runs++,
		.parts = &part,
		.n_parts = 1,
	};
	struct mh_server_ref ref = { server, "127.0.0.1:1", 1 };
	struct mh_observed_run run = { &request, &ref, placed_ns, 0 };

	mh_observed_crashes_end(observed, &run, outcome, f->now_ns);
}

static void add_to(void *data, const struct mh_suspect *observed)
{
	mh_dispatch_add_observed(((struct fixture *)data)->d, observed);
}

static void tell(struct mh_observed_crashes *observed, struct fixture *f,
		 uint64_t since_ns)
{
	mh_observed_crashes_each(observed, since_ns, add_to, f, f->now_ns);
}

static void count(void *data, const struct mh_suspect *observed)
{
	if (observed->feature.kind == MH_FEATURE_PART)
		*(uint32_t *)data += observed->n_crashes;
}

static uint32_t n_told(struct mh_observed_crashes *observed,
		       const struct fixture *f, uint64_t since_ns)
{
	uint32_t n = 0;

	mh_observed_crashes_each(observed, since_ns, count, &n, f->now_ns);
	return n;
}

static bool is_refused(struct fixture *f)
{
	return f->results[request_with_part(f, PART)].error ==
	       MH_ERR_CRASHES_SERVERS;
}

/* Guards against a part that crashes servers without end while dispatchers restart,
 * each of which sees one crash. */
static void test_crashes_outlive_dispatchers(void **state)
{
	struct mh_observed_crashes *observed = mh_observed_crashes_new();
	static const char *const names[] = { "s0", "s1", "s2" };
	uint64_t now_ns = 0;
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		struct fixture *f = new_crash_fixture(8);

		f->now_ns = now_ns ? now_ns : f->now_ns;
		tell(observed, f, 0);
		assert_false(is_refused(f));
		f->now_ns += 300 * MS;
		end_run(observed, f, names[i], f->now_ns - 20 * MS,
			MH_SLOT_LOST);
		now_ns = f->now_ns + 1000 * MS;
		free_fixture(f);
	}
	{
		struct fixture *f = new_crash_fixture(8);

		f->now_ns = now_ns;
		tell(observed, f, 0);
		assert_true(is_refused(f));
		free_fixture(f);
	}
	mh_observed_crashes_free(observed);
}

/* Guards against parts that are refused for servers that cut streams and live. */
static void test_server_that_lives_did_not_crash(void **state)
{
	struct mh_observed_crashes *observed = mh_observed_crashes_new();
	struct fixture *f = new_crash_fixture(8);
	struct mh_server_ref s0 = { "s0", "127.0.0.1:1", 1 };

	(void)state;
	end_run(observed, f, "s0", f->now_ns - 20 * MS, MH_SLOT_LOST);
	end_run(observed, f, "s1", f->now_ns - 20 * MS, MH_SLOT_LOST);
	assert_int_equal(n_told(observed, f, 0), 2);
	f->now_ns += 60 * MS;
	mh_observed_crashes_probed(observed, &s0, f->now_ns);
	assert_int_equal(n_told(observed, f, 0), 1);
	mh_observed_crashes_free(observed);
	free_fixture(f);
}

/* Guards against the same if the entry finds out after it told the dispatcher. */
static void test_dispatcher_learns_that_a_server_lives(void **state)
{
	struct mh_observed_crashes *observed = mh_observed_crashes_new();
	struct fixture *f = new_crash_fixture(8);
	struct mh_feature part = { MH_FEATURE_PART, PART };
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		f->now_ns += 300 * MS;
		end_run(observed, f, "s0", f->now_ns - 20 * MS, MH_SLOT_LOST);
		tell(observed, f, 0);
		f->now_ns += 60 * MS;
		mh_dispatch_server_probed(f->d, "s0");
	}
	assert_false(is_refused(f));
	assert_int_equal(f->last_suspect.feature.id == part.id &&
				 mh_suspect_crashes(&f->last_suspect) > 0,
			 0);
	mh_observed_crashes_free(observed);
	free_fixture(f);
}

static void test_good_end_clears_a_part(void **state)
{
	struct mh_observed_crashes *observed = mh_observed_crashes_new();
	struct fixture *f = new_crash_fixture(8);

	(void)state;
	end_run(observed, f, "s0", f->now_ns - 20 * MS, MH_SLOT_LOST);
	f->now_ns += 300 * MS;
	end_run(observed, f, "s1", f->now_ns - 100 * MS, MH_SLOT_OK);
	assert_int_equal(n_told(observed, f, 0), 0);
	mh_observed_crashes_free(observed);
	free_fixture(f);
}

/* Guards against crashes that a dispatcher judged itself and gets to hear again. */
static void test_known_crashes_are_left_out(void **state)
{
	struct mh_observed_crashes *observed = mh_observed_crashes_new();
	struct fixture *f = new_crash_fixture(8);
	uint64_t since_ns;

	(void)state;
	end_run(observed, f, "s0", f->now_ns - 20 * MS, MH_SLOT_LOST);
	since_ns = f->now_ns;
	f->now_ns += 300 * MS;
	end_run(observed, f, "s1", f->now_ns - 20 * MS, MH_SLOT_LOST);
	assert_int_equal(n_told(observed, f, since_ns), 1);
	assert_int_equal(n_told(observed, f, 0), 2);
	mh_observed_crashes_free(observed);
	free_fixture(f);
}

static uint32_t n_part_records;

static void count_part_record(struct fixture *f,
			      const struct mh_suspect *suspect)
{
	(void)f;
	n_part_records += suspect->feature.kind == MH_FEATURE_PART;
}

/* Guards against traffic with each crash for each part that ran beside it. */
static void test_single_crashes_are_not_passed_on(void **state)
{
	struct mh_observed_crashes *observed = mh_observed_crashes_new();
	struct fixture *f = new_crash_fixture(8);

	(void)state;
	f->shares_suspect = count_part_record;
	end_run(observed, f, "s0", f->now_ns - 20 * MS, MH_SLOT_LOST);
	tell(observed, f, 0);
	assert_int_equal(n_part_records, 0);
	f->now_ns += 300 * MS;
	end_run(observed, f, "s1", f->now_ns - 20 * MS, MH_SLOT_LOST);
	tell(observed, f, 0);
	assert_int_equal(n_part_records, 1);
	mh_observed_crashes_free(observed);
	free_fixture(f);
}

/* Guards against parts that are blamed for the end of a long response. */
static void test_long_response_counts_against_no_part(void **state)
{
	struct mh_observed_crashes *observed = mh_observed_crashes_new();
	struct fixture *f = new_crash_fixture(8);
	static const uint64_t part = PART;
	struct mh_slot_request request = { .fingerprint = 7,
					   .parts = &part,
					   .n_parts = 1 };
	struct mh_server_ref ref = { "s0", "127.0.0.1:1", 1 };
	struct mh_observed_run run = { &request, &ref, f->now_ns - 900 * MS,
				       f->now_ns - 800 * MS };

	(void)state;
	mh_observed_crashes_end(observed, &run, MH_SLOT_LOST, f->now_ns);
	assert_int_equal(n_told(observed, f, 0), 0);
	run.responded_ns = f->now_ns - 100 * MS;
	mh_observed_crashes_end(observed, &run, MH_SLOT_LOST, f->now_ns);
	assert_int_equal(n_told(observed, f, 0), 1);
	mh_observed_crashes_free(observed);
	free_fixture(f);
}

/* Guards against a dispatcher that restarts and is taken for one that knows all. */
static void test_restarted_dispatcher_knows_nothing(void **state)
{
	struct mh_candidate c = { 0 };

	(void)state;
	mh_candidate_up(&c, 1, 77, 1000 * MS);
	c.used_until_ns = 2000 * MS;
	mh_candidate_down(&c);
	mh_candidate_up(&c, 2, 77, 3000 * MS);
	assert_int_equal(c.used_until_ns, 2000 * MS);
	mh_candidate_down(&c);
	mh_candidate_up(&c, 3, 78, 4000 * MS);
	assert_int_equal(c.used_until_ns, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_crashes_outlive_dispatchers),
		cmocka_unit_test(test_server_that_lives_did_not_crash),
		cmocka_unit_test(test_dispatcher_learns_that_a_server_lives),
		cmocka_unit_test(test_good_end_clears_a_part),
		cmocka_unit_test(test_known_crashes_are_left_out),
		cmocka_unit_test(test_single_crashes_are_not_passed_on),
		cmocka_unit_test(test_long_response_counts_against_no_part),
		cmocka_unit_test(test_restarted_dispatcher_knows_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
