/*
 * The comparison of the target version with the old ones. Answers are collected
 * over short periods, at whose end those of the target are weighed against the
 * share of bad answers that the old versions had in the same period: a burst
 * that fails both cancels out. One test for each kind finds a version that is
 * bad on one route only, one for all kinds a version that is bad everywhere.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/check_alloc.h"
#include "core/rollout_impl.h"

/* Short enough for a verdict well within rollback_ms, long enough for some ten
 * answers of the old versions at 20 requests a second. */
#define PERIOD_NS (500 * MH_NS_PER_MS)
/* Further kinds of a service share kind 0. */
#define MAX_KINDS 64
/* A duration beyond this multiple of the old versions' median is slow. */
#define SLOW_RATIO 2.5
/* Nor is it slow below this multiple of the old versions' 95th percentile: machines
 * differ by more than four times, and the old versions' requests avoid slow ones.
 * Of 470 good versions at 47 such machines 14 were lost with 1.25, 1 with 1.5, none
 * with 1.75; all of 47 that are 2.5 times slower were found with 1.75. */
#define SLOW_TAIL_RATIO 1.75
#define TAIL_PERCENT 95
/* Fewer durations of the old versions give no median. */
#define MIN_RATIOS 5
/* Difference of the bad shares that the tests are made for. */
#define MARGIN 0.2
/* Bounds of the bad share that is assumed of the old versions. The lower one
 * lets a version that fails once in a hundred pass beside one that never does.
 */
#define MIN_SHARE 0.02
#define MAX_SHARE 0.9
/* Greatest share that a bad target is assumed to have. */
#define MAX_BAD_SHARE 0.97
/* Good versions that are found bad, and the sum of 1/k^2 over all k. By Ville's
 * inequality each start of a test from 0 reaches a limit L with a probability
 * below exp(-L): with the limit of the k-th start at
 * ln(BASEL_SUM / GOOD_LOST * tests) + 2 ln(k) all starts of all tests together
 * stay below GOOD_LOST. */
#define GOOD_LOST 0.001
#define BASEL_SUM 1.645
/* Log-likelihood ratio below which a version is good: ln(0.01), for 1 in 100
 * versions that are MARGIN worse. */
#define GOOD_LIMIT (-4.6)
/* The ratio is not let further below, so that a version that gets worse loses
 * the result soon. */
#define GOOD_FLOOR (-7.0)
#define GOOD_CEILING 10.0
/* Bad answers above the prediction that end the test at once, unless chance
 * explains them: they must exceed this many standard deviations too. With 5, 6 of
 * 1,000 good versions that fail once in seven were lost: the excess is looked at
 * after each answer, and begins anew whenever it is 0. */
#define EXCESS_LIMIT 20.0
#define EXCESS_DEVIATIONS 6.5
/* Answers that stand for the share before any are known, and their bad part. */
#define PRIOR_N 10.0
#define PRIOR_BAD 1.0
/* Weight of the share since the order beside that of a period, in answers. */
#define HISTORY_WEIGHT 4.0
/* Standard normal quantile of the upper bound of the old versions' share. Of
 * 1,500 good versions, 1 at 25 and 3 at 150 requests a second were lost with 1.0,
 * none with 2.0, which keeps more bad ones at 25 to 60 requests a second. */
#define UPPER_Z 1.5
/* Kinds with fewer answers of the old versions need no result of their own
 * before the shift: absolutely, and as a share of the service's. */
#define MIN_KIND_ANSWERS 20
#define MIN_KIND_SHARE 0.01

struct kind *mh_rollout_kind(struct service *svc, uint64_t id)
{
	struct kind *k;

	HASH_FIND(hh, svc->kinds, &id, sizeof(id), k);
	if (k)
		return k;
	if (HASH_COUNT(svc->kinds) >= MAX_KINDS && id)
		return mh_rollout_kind(svc, 0);
	k = mh_check_alloc(calloc(1, sizeof(*k)));
	k->id = id;
	HASH_ADD(hh, svc->kinds, id, sizeof(k->id), k);
	return k;
}

struct count *mh_rollout_count(struct kind *k, struct version *v)
{
	struct count *c;

	DL_FOREACH(k->counts, c) {
		if (c->version == v)
			return c;
	}
	c = mh_check_alloc(calloc(1, sizeof(*c)));
	c->version = v;
	DL_APPEND(k->counts, c);
	return c;
}

void mh_rollout_drop_counts(struct service *svc)
{
	struct kind *k, *tmp_k;
	struct count *c, *tmp_c;

	HASH_ITER(hh, svc->kinds, k, tmp_k) {
		DL_FOREACH_SAFE(k->counts, c, tmp_c) {
			DL_DELETE(k->counts, c);
			free(c);
		}
		/* The analyzer does not follow uthash's deletion macros. */
		/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
		HASH_DEL(svc->kinds, k);
		free(k);
	}
	svc->all = (struct test){ 0 };
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static void add_ratio(struct kind *k, double ratio)
{
	double sorted[RATIO_SAMPLES];
	uint32_t n;

	k->ratios[k->n_ratios++ % RATIO_SAMPLES] = ratio;
	n = k->n_ratios < RATIO_SAMPLES ? k->n_ratios : RATIO_SAMPLES;
	memcpy(sorted, k->ratios, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), by_value);
	k->slow_ratio = SLOW_RATIO * sorted[n / 2];
	if (k->slow_ratio < SLOW_TAIL_RATIO * sorted[n * TAIL_PERCENT / 100])
		k->slow_ratio =
			SLOW_TAIL_RATIO * sorted[n * TAIL_PERCENT / 100];
}

bool mh_rollout_ratio_is_slow(const struct kind *k, double ratio)
{
	return k->n_ratios >= MIN_RATIOS && ratio > k->slow_ratio;
}

/* Answers since the order, of the target or of the other versions. */
static struct tally total(const struct service *svc, const struct kind *k,
			  bool of_target)
{
	struct tally t = { 0 };
	const struct count *c;

	DL_FOREACH(k->counts, c) {
		if ((c->version == svc->target) != of_target)
			continue;
		t.n += c->good + c->failed + c->slow;
		t.bad += c->failed + c->slow;
	}
	return t;
}

static struct tally total_of_all(const struct service *svc, bool of_target)
{
	struct tally sum = { 0 };
	struct kind *k, *tmp;

	HASH_ITER(hh, svc->kinds, k, tmp) {
		struct tally t = total(svc, k, of_target);

		sum.n += t.n;
		sum.bad += t.bad;
	}
	return sum;
}

static struct tally period_of_all(const struct service *svc)
{
	struct tally sum = { 0 };
	struct kind *k, *tmp;

	HASH_ITER(hh, svc->kinds, k, tmp) {
		sum.n += k->period_old.n;
		sum.bad += k->period_old.bad;
	}
	return sum;
}

static double share(const struct tally *t)
{
	return ((double)t->bad + PRIOR_BAD) / ((double)t->n + PRIOR_N);
}

/* Upper end of Wilson's interval: few answers of the old versions prove little.
 */
static double upper_share(const struct tally *t)
{
	double n = (double)t->n, bad = (double)t->bad;
	double z2 = UPPER_Z * UPPER_Z;
	double spread = n > 0 ? bad * (n - bad) / n : 0;

	return (bad + z2 / 2 + UPPER_Z * sqrt(spread + z2 / 4)) / (n + z2);
}

static double clamp(double value, double min, double max)
{
	if (value < min)
		return min;
	return value > max ? max : value;
}

/* How much worse the old versions are in this period than since the order, over
 * all kinds: rare kinds have no answers of their own to tell. */
static double rise(const struct service *svc)
{
	struct tally period = period_of_all(svc);
	struct tally all = total_of_all(svc, false);
	double now;

	if (period.n < MIN_RATIOS)
		return 0;
	now = (double)period.bad / (double)period.n;
	return now > share(&all) ? now - share(&all) : 0;
}

/* Share of bad answers that the old versions would have given in this period. */
static double predicted_share(const struct service *svc, const struct kind *k,
			      double risen)
{
	struct tally old = total(svc, k, false);
	double expected = clamp(share(&old) + risen, 0, MAX_SHARE);

	return ((double)k->period_old.bad + HISTORY_WEIGHT * expected) /
	       ((double)k->period_old.n + HISTORY_WEIGHT);
}

static double log_ratio(const struct tally *t, double usual)
{
	double p = clamp(usual, MIN_SHARE, MAX_SHARE);
	double bad = clamp(p + MARGIN, 0, MAX_BAD_SHARE);

	return (double)t->bad * log(bad / p) +
	       (double)(t->n - t->bad) * log((1 - bad) / (1 - p));
}

static void add_to_test(struct test *test, const struct test *step)
{
	if (test->to_bad <= 0 && step->to_bad > 0)
		test->starts++;
	test->to_bad = clamp(test->to_bad + step->to_bad, 0, INFINITY);
	test->to_good =
		clamp(test->to_good + step->to_good, GOOD_FLOOR, GOOD_CEILING);
	test->excess += step->excess;
	test->variance += step->variance;
	if (test->excess < 0)
		test->excess = test->variance = 0;
}

static struct test weigh(const struct tally *target, double predicted,
			 double upper)
{
	double n = (double)target->n;

	return (struct test){
		.to_bad = log_ratio(target,
				    upper > predicted ? upper : predicted),
		.to_good = log_ratio(target, predicted),
		.excess = (double)target->bad - n * predicted,
		.variance = n * predicted * (1 - predicted),
	};
}

static void weigh_kind(struct service *svc, struct kind *k, double risen)
{
	struct tally old = total(svc, k, false);
	struct tally all_old = total_of_all(svc, false);
	double predicted = predicted_share(svc, k, risen);
	struct test step =
		weigh(&k->period_target, predicted, upper_share(&old));

	add_to_test(&k->test, &step);
	/* The error of the share over all kinds is smaller. */
	step = weigh(&k->period_target, predicted,
		     share(&old) + upper_share(&all_old) - share(&all_old));
	add_to_test(&svc->all, &step);
}

void mh_rollout_weigh_period(struct service *svc)
{
	double risen = rise(svc);
	struct kind *k, *tmp;

	HASH_ITER(hh, svc->kinds, k, tmp) {
		if (k->period_target.n)
			weigh_kind(svc, k, risen);
	}
	HASH_ITER(hh, svc->kinds, k, tmp) {
		k->period_old = (struct tally){ 0 };
		k->period_target = (struct tally){ 0 };
	}
	svc->period_ns = mh_rollout_now_ns(svc->set);
}

void mh_rollout_end_period(struct service *svc)
{
	if (mh_rollout_now_ns(svc->set) >= svc->period_ns + PERIOD_NS)
		mh_rollout_weigh_period(svc);
}

void mh_rollout_seed_tests(struct service *svc)
{
	struct kind *k, *tmp;

	svc->all = (struct test){ 0 };
	HASH_ITER(hh, svc->kinds, k, tmp) {
		struct tally old = total(svc, k, false);
		struct tally target = total(svc, k, true);
		struct test step =
			weigh(&target, share(&old), upper_share(&old));

		k->test = (struct test){ 0 };
		k->period_old = (struct tally){ 0 };
		k->period_target = (struct tally){ 0 };
		add_to_test(&k->test, &step);
		add_to_test(&svc->all, &step);
	}
}

void mh_rollout_add_answer(struct service *svc, struct kind *k,
			   struct version *v, bool failed, double ratio)
{
	bool of_target = v == svc->target;
	bool slow = !failed && mh_rollout_ratio_is_slow(k, ratio);
	struct tally *period = of_target ? &k->period_target : &k->period_old;
	struct count *c = mh_rollout_count(k, v);

	if (failed)
		c->failed++;
	else if (slow)
		c->slow++;
	else
		c->good++;
	period->n++;
	period->bad += failed || slow;
	if (!of_target && !failed && ratio > 0)
		add_ratio(k, ratio);
}

/* @step: what the present period adds.
 * The old versions' share is an estimate, whose error grows with the target's
 * answers: the factor of the variance allows for it. */
static bool exceeds(const struct test *test, const struct test *step,
		    const struct tally *old, const struct tally *target)
{
	double excess = test->excess + step->excess;
	double factor = 1 + (double)target->n / ((double)old->n + 2 * PRIOR_N);
	double variance = (test->variance + step->variance) * factor;

	return excess >= EXCESS_LIMIT &&
	       excess >= EXCESS_DEVIATIONS * sqrt(variance);
}

static bool reaches_limit(const struct service *svc, const struct test *test)
{
	uint32_t n_tests = HASH_COUNT(svc->kinds) + 1;

	return test->starts &&
	       test->to_bad >= log(BASEL_SUM / GOOD_LOST * n_tests) +
				       2 * log(test->starts);
}

bool mh_rollout_is_bad(const struct service *svc)
{
	struct tally all_old = total_of_all(svc, false);
	struct tally all_target = total_of_all(svc, true);
	struct test all_step = { 0 };
	double risen = rise(svc);
	struct kind *k, *tmp;

	if (reaches_limit(svc, &svc->all))
		return true;
	HASH_ITER(hh, svc->kinds, k, tmp) {
		struct tally old = total(svc, k, false);
		struct tally target = total(svc, k, true);
		struct test step = weigh(&k->period_target,
					 predicted_share(svc, k, risen), 0);

		if (reaches_limit(svc, &k->test) ||
		    exceeds(&k->test, &step, &old, &target))
			return true;
		all_step.excess += step.excess;
		all_step.variance += step.variance;
	}
	return exceeds(&svc->all, &all_step, &all_old, &all_target);
}

bool mh_rollout_is_good(const struct service *svc)
{
	struct tally all = total_of_all(svc, false);
	struct kind *k, *tmp;

	if (svc->all.to_good > GOOD_LIMIT)
		return false;
	HASH_ITER(hh, svc->kinds, k, tmp) {
		struct tally old = total(svc, k, false);

		if (old.n >= MIN_KIND_ANSWERS &&
		    (double)old.n >= MIN_KIND_SHARE * (double)all.n &&
		    k->test.to_good > GOOD_LIMIT)
			return false;
	}
	return true;
}

bool mh_rollout_leans_to_bad(const struct service *svc, double limit)
{
	struct kind *k, *tmp;

	if (svc->all.to_good > limit)
		return true;
	HASH_ITER(hh, svc->kinds, k, tmp) {
		if (k->test.to_good > limit)
			return true;
	}
	return false;
}

bool mh_rollout_has_answers(const struct service *svc)
{
	return total_of_all(svc, true).n > 0;
}
