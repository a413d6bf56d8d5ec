/*
 * The verdicts of roll-outs under load: good and bad versions of many kinds, by
 * seeded trials on the model of tests/rollout_simulation.h.
 */
#include "tests/rollout_simulation.h"

#define SEEDS 100

/* Adds noise to both versions: one response in fifty fails, on one route one in
 * seven. */
static void add_noise(struct model *m)
{
	set_fails(&m->old, 0.02);
	set_fails(&m->target, 0.02);
	m->old.fails[2] = m->target.fails[2] = 0.14;
}

struct result {
	uint32_t succeeded;
	uint32_t rolled_back;
	uint64_t latest_ms;  /* of the verdicts */
	uint64_t target_bad; /* most */
	uint64_t late_ms;
	uint32_t n_over_bound; /* trials */
	double over_bound;     /* requests, most */
};

static void run_trial(struct result *r, uint64_t seed,
		      void (*prepare)(struct model *m))
{
	struct model *m = new_model(seed);
	uint64_t end_ms;

	prepare(m);
	give_order(m);
	while (phase_of(m) < MH_ROLLOUT_SUCCEEDED &&
	       since_order_ms(m) < 2 * m->duration_ms)
		step(m);
	end_ms = since_order_ms(m);
	run_ms(m, 1000);
	r->succeeded += m->phase == MH_ROLLOUT_SUCCEEDED;
	r->rolled_back += m->phase == MH_ROLLOUT_ROLLED_BACK;
	assert_int_equal(phase_of(m), m->phase);
	if (r->latest_ms < end_ms)
		r->latest_ms = end_ms;
	if (r->target_bad < m->target_bad)
		r->target_bad = m->target_bad;
	if (r->late_ms < late_ms(m))
		r->late_ms = late_ms(m);
	r->n_over_bound += m->max_over_bound > 0;
	if (r->over_bound < m->max_over_bound)
		r->over_bound = m->max_over_bound;
	free_model(m);
}

static struct result run_trials(const char *name, uint32_t n,
				void (*prepare)(struct model *m))
{
	struct result r = { 0 };
	uint64_t seed;

	for (seed = 1; seed <= n; seed++)
		run_trial(&r, seed, prepare);
	print_message("%s: %u succeeded, %u rolled back of %u, verdict at "
		      "%llu ms or before, %llu bad responses, last request "
		      "%llu ms after the 50th, %u over the bound, by %.0f\n",
		      name, r.succeeded, r.rolled_back, n,
		      (unsigned long long)r.latest_ms,
		      (unsigned long long)r.target_bad,
		      (unsigned long long)r.late_ms, r.n_over_bound,
		      r.over_bound);
	return r;
}

static void assert_all_good(const struct result *r, uint32_t n)
{
	assert_int_equal(r->rolled_back, 0);
	assert_int_equal(r->succeeded, n);
	assert_true(r->latest_ms < 12000);
}

static void assert_all_bad(const struct result *r, uint32_t n)
{
	assert_int_equal(r->succeeded, 0);
	assert_int_equal(r->rolled_back, n);
	assert_true(r->latest_ms < 12000);
	assert_true(r->late_ms <= model_conf.rollback_ms);
}

/* Guards against a rollback for failures that both versions have. */
static void prepare_burst(struct model *m)
{
	add_noise(m);
	set_fails(&m->burst, 0.4);
	m->burst.from_ms = 1500;
	m->burst_end_ms = 3500;
}

static void test_good_beside_noise_and_a_burst(void **state)
{
	struct result r = run_trials("burst", SEEDS, prepare_burst);

	(void)state;
	assert_all_good(&r, SEEDS);
}

/* The same after a long calm, when the share since the order is low. */
static void prepare_late_burst(struct model *m)
{
	add_noise(m);
	m->duration_ms = 60000;
	set_fails(&m->burst, 0.8);
	m->burst.from_ms = 15000;
	m->burst_end_ms = 18000;
}

static void test_good_beside_a_late_burst(void **state)
{
	struct result r =
		run_trials("late burst", SEEDS / 4, prepare_late_burst);

	(void)state;
	assert_int_equal(r.succeeded, SEEDS / 4);
	assert_true(r.latest_ms < 60000);
}

/* Guards against a verdict that an old server in gray failure distorts: one of
 * five fails most of its requests. */
static void prepare_gray(struct model *m)
{
	add_noise(m);
	set_fails(&m->old, 0.14);
	m->old.from_ms = 1000;
}

static void test_old_server_in_gray_failure(void **state)
{
	struct result r = run_trials("gray", SEEDS, prepare_gray);

	(void)state;
	assert_all_good(&r, SEEDS);
}

/* Beside such a server a bad version must still be found. */
static void prepare_gray_and_bad(struct model *m)
{
	prepare_gray(m);
	set_fails(&m->target, 0.6);
}

static void test_bad_beside_gray_failure(void **state)
{
	struct result r =
		run_trials("gray and bad", SEEDS, prepare_gray_and_bad);

	(void)state;
	assert_all_bad(&r, SEEDS);
}

/* Guards against a version that fails from its first request on. */
static void prepare_bad(struct model *m)
{
	add_noise(m);
	set_fails(&m->target, 0.3);
}

static void test_bad_at_once_by_failures(void **state)
{
	struct result r = run_trials("bad at once", SEEDS, prepare_bad);

	(void)state;
	assert_all_bad(&r, SEEDS);
	/* One that is found only after the shift, which none may be at 0.5. */
	assert_true(r.n_over_bound <= SEEDS / 100);
}

static void prepare_worse_at_once(struct model *m)
{
	add_noise(m);
	set_fails(&m->target, 0.5);
}

static void test_much_worse_at_once(void **state)
{
	struct result r = run_trials("half fail", SEEDS, prepare_worse_at_once);

	(void)state;
	assert_all_bad(&r, SEEDS);
	assert_int_equal(r.n_over_bound, 0);
}

/* The retries of its failures must not give it more than the bound. */
static void prepare_bad_with_retries(struct model *m)
{
	set_fails(&m->target, 1);
	m->retries = true;
}

static void test_bad_with_retries(void **state)
{
	struct result r = run_trials("all fail, with retries", SEEDS,
				     prepare_bad_with_retries);

	(void)state;
	assert_all_bad(&r, SEEDS);
	assert_true(r.over_bound == 0);
}

/* Guards against a version whose responses are whole, but late. */
static void prepare_slow(struct model *m)
{
	add_noise(m);
	m->target.slowness = 4;
}

static void test_bad_at_once_by_slowness(void **state)
{
	struct result r = run_trials("slow", SEEDS, prepare_slow);

	(void)state;
	assert_all_bad(&r, SEEDS);
	assert_true(r.over_bound == 0);
}

/* Guards against a version that is good until the test leans that way. */
static void prepare_bad_later(struct model *m)
{
	set_fails(&m->target, 0.4);
	m->target.from_ms = 3000;
}

static void test_bad_later(void **state)
{
	struct result r = run_trials("bad later", SEEDS, prepare_bad_later);

	(void)state;
	assert_all_bad(&r, SEEDS);
	assert_true(r.over_bound == 0);
}

/* Guards against one that fails only once it has all requests. */
static void prepare_bad_when_shifted(struct model *m)
{
	set_fails(&m->target, 0.4);
	m->target.from_ms = 4300;
}

static void test_bad_once_shifted(void **state)
{
	struct result r =
		run_trials("bad once shifted", SEEDS, prepare_bad_when_shifted);

	(void)state;
	assert_all_bad(&r, SEEDS);
}

/* Guards against a verdict that waits for the end of a period while hundreds of
 * requests fail. Those in flight when 20 have failed are bad too. */
static void prepare_all_fail_when_shifted(struct model *m)
{
	m->rate_per_s = 400;
	set_fails(&m->target, 1);
	m->target.from_ms = 4300;
}

static void test_all_fail_once_shifted(void **state)
{
	struct result r = run_trials("all fail once shifted", SEEDS / 4,
				     prepare_all_fail_when_shifted);

	(void)state;
	assert_all_bad(&r, SEEDS / 4);
	assert_true(r.target_bad <= 20 + 400 * RUN_MS / 1000 * 3 / 2);
}

/* Guards against faults on one route that the other routes, of which one fails
 * naturally, hide. */
static void prepare_bad_route(struct model *m)
{
	add_noise(m);
	m->target.fails[1] = 0.5;
}

static void test_bad_on_one_route(void **state)
{
	struct result r = run_trials("bad route", SEEDS, prepare_bad_route);

	(void)state;
	assert_all_bad(&r, SEEDS);
	assert_true(r.over_bound == 0);
}

/* The same on the route whose requests may run only once. */
static void prepare_bad_unretryable_route(struct model *m)
{
	add_noise(m);
	m->target.fails[0] = 0.5;
}

static void test_bad_on_the_route_that_may_run_once(void **state)
{
	struct result r = run_trials("bad route, run once", SEEDS,
				     prepare_bad_unretryable_route);

	(void)state;
	assert_all_bad(&r, SEEDS);
}

/* Guards against a roll-out that waits for answers which never come. */
static void prepare_little_traffic(struct model *m)
{
	m->rate_per_s = 1;
}

static void test_too_little_traffic(void **state)
{
	struct result r =
		run_trials("little traffic", SEEDS, prepare_little_traffic);

	(void)state;
	assert_all_good(&r, SEEDS);
}

/* The bound on rollback_ms for small to total shares of bad responses. */
static double bad_share;

static void prepare_share(struct model *m)
{
	set_fails(&m->target, bad_share);
}

static void test_requests_after_the_50th_bad_response(void **state)
{
	static const double shares[] = { 0.1, 0.2, 0.5, 1 };
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(shares) / sizeof(*shares); i++) {
		struct result r;

		bad_share = shares[i];
		r = run_trials("50 bad", SEEDS, prepare_share);
		assert_true(r.late_ms <= model_conf.rollback_ms);
		/* The test is made for 0.2. */
		assert_true(shares[i] < 0.2 || r.rolled_back == SEEDS);
	}
}

/* The stated error rates: 1 in 1,000 good versions, 1 in 100 of those with a bad
 * share of 0.2 above the old one's. */
#define GOOD_TRIALS 3000
#define BAD_TRIALS 600

static void prepare_worse(struct model *m)
{
	add_noise(m);
	set_fails(&m->target, 0.22);
	m->target.fails[2] = 0.34;
}

static void test_error_rates(void **state)
{
	struct result good = run_trials("good", GOOD_TRIALS, add_noise);
	struct result bad = run_trials("0.2 worse", BAD_TRIALS, prepare_worse);

	(void)state;
	assert_true(good.rolled_back <= GOOD_TRIALS / 1000);
	assert_true(bad.succeeded <= BAD_TRIALS / 100);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_good_beside_noise_and_a_burst),
		cmocka_unit_test(test_good_beside_a_late_burst),
		cmocka_unit_test(test_old_server_in_gray_failure),
		cmocka_unit_test(test_bad_beside_gray_failure),
		cmocka_unit_test(test_bad_at_once_by_failures),
		cmocka_unit_test(test_much_worse_at_once),
		cmocka_unit_test(test_bad_with_retries),
		cmocka_unit_test(test_bad_at_once_by_slowness),
		cmocka_unit_test(test_bad_later),
		cmocka_unit_test(test_bad_once_shifted),
		cmocka_unit_test(test_all_fail_once_shifted),
		cmocka_unit_test(test_bad_on_one_route),
		cmocka_unit_test(test_bad_on_the_route_that_may_run_once),
		cmocka_unit_test(test_too_little_traffic),
		cmocka_unit_test(test_requests_after_the_50th_bad_response),
		cmocka_unit_test(test_error_rates),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
