/*
 * Unit tests of records of suspects that processes send each other: what is no news
 * any more is not passed on.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/clock.h"
#include "core/features.h"
#include "core/suspects.h"

#define MS MH_NS_PER_MS
/* Times drift by this much from one process to the next: a message does not tell
 * how long it was on its way. */
#define DRIFT_NS (MS * 2 / 5)
#define MAX_HOPS 8
#define SETS 1000 /* pairs of full records */

static void copy_suspect(void *data, const struct mh_suspect *suspect)
{
	*(struct mh_suspect *)data = *suspect;
}

/* Sends what one set knows of a part to the other and back while that is news.
 * Return: number of messages, MAX_HOPS if there is no end. */
static uint32_t exchange(struct mh_suspects *a, struct mh_suspects *b)
{
	struct mh_suspects *sets[] = { a, b };
	struct mh_suspect record = { 0 };
	uint32_t hops, i;

	for (hops = 0; hops < MAX_HOPS; hops++) {
		mh_suspects_each(sets[hops % 2], copy_suspect, &record);
		if (record.cleared_ns)
			record.cleared_ns += DRIFT_NS;
		for (i = 0; i < record.n_crashes; i++)
			record.crashes[i].lost_ns += DRIFT_NS;
		if (!mh_suspects_merge(sets[(hops + 1) % 2], &record,
				       30000 * MS))
			break;
	}
	return hops;
}

static const struct mh_feature part_5 = { MH_FEATURE_PART, 5 };

static void add_crashes(struct mh_suspects *set, uint32_t first_ms,
			uint32_t step_ms, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		uint64_t lost_ms = first_ms + i * step_ms;
		uint64_t lost_ns = lost_ms * MS;

		mh_suspects_add_crash(
			set, part_5,
			&(struct mh_crash){ .server = lost_ms,
					    .request = lost_ms,
					    .placed_ns =
						    lost_ns - step_ms * MS / 2,
					    .lost_ns = lost_ns },
			false);
	}
}

/* Guards against links that are swamped: a crash shortly after the run that cleared
 * its part was dropped and added again with each message, without end. */
static void test_crash_beside_the_clearing_run_is_told_once(void **state)
{
	struct mh_suspects *a = mh_suspects_new(NULL, NULL);
	struct mh_suspects *b = mh_suspects_new(NULL, NULL);
	uint64_t part = part_5.id;
	struct mh_features *features = mh_features_new(1, &part, 1);

	(void)state;
	add_crashes(a, 9000, 1000, 2);
	assert_int_equal(exchange(a, b), 1);
	mh_suspects_survived(a, features, 10000 * MS - DRIFT_NS, 10600 * MS);
	assert_true(exchange(a, b) < MAX_HOPS);
	mh_features_unref(features);
	mh_suspects_free(a);
	mh_suspects_free(b);
}

/* Guards against the same on slow links: the time of a crash drifts past that of the
 * run that cleared its part, which drifts in turn. */
static void test_a_cleared_crash_does_not_come_back(void **state)
{
	struct mh_suspects *set = mh_suspects_new(NULL, NULL);
	struct mh_suspect uncleared = { .feature = part_5,
					.seen_ns = 29000 * MS,
					.n_crashes = 1 };
	struct mh_suspect cleared;
	uint32_t hop, changes = 0;

	(void)state;
	uncleared.crashes[0] = (struct mh_crash){ .id = 3,
						  .server = 3,
						  .placed_ns = 19000 * MS,
						  .lost_ns = 20000 * MS };
	cleared = uncleared;
	cleared.n_crashes = 0;
	cleared.cleared_ns = 20100 * MS;
	for (hop = 0; hop < MAX_HOPS; hop++) {
		changes += mh_suspects_merge(set, &uncleared, 30000 * MS);
		changes += mh_suspects_merge(set, &cleared, 30000 * MS);
		uncleared.crashes[0].lost_ns += 400 * MS;
		cleared.cleared_ns += 400 * MS;
	}
	/* Added once, and dropped once. */
	assert_int_equal(changes, 2);
	mh_suspects_free(set);
}

/* Guards against the same by two processes whose records are full of unlike
 * crashes. */
static void test_full_records_are_told_once(void **state)
{
	struct mh_rng rng = { 1 };
	uint32_t i;

	(void)state;
	for (i = 0; i < SETS; i++) {
		struct mh_suspects *a = mh_suspects_new(NULL, NULL);
		struct mh_suspects *b = mh_suspects_new(NULL, NULL);

		add_crashes(a, 1000 + mh_rng_next(&rng) % 3000,
			    200 + mh_rng_next(&rng) % 1000, 12);
		add_crashes(b, 1000 + mh_rng_next(&rng) % 3000,
			    200 + mh_rng_next(&rng) % 1000, 12);
		assert_true(exchange(a, b) < MAX_HOPS);
		mh_suspects_free(a);
		mh_suspects_free(b);
	}
}

/* A crash of a run that began half a second before. */
static void crash(struct mh_suspects *set, uint64_t request, uint64_t server,
		  uint64_t lost_ms)
{
	struct mh_feature feature = { MH_FEATURE_REQUEST, request };

	mh_suspects_add_crash(
		set, feature,
		&(struct mh_crash){ .server = server,
				    .request = request,
				    .placed_ns = (lost_ms - 500) * MS,
				    .lost_ns = lost_ms * MS },
		false);
}

static bool is_refused(struct mh_suspects *set, uint64_t request)
{
	struct mh_features *features = mh_features_new(request, NULL, 0);
	struct mh_feature by;
	bool refused = mh_suspects_refuses(set, features, 5000 * MS, &by);

	mh_features_unref(features);
	return refused;
}

/* Guards against sound requests that are refused, as two dispatchers placed one
 * beside a request that crashes servers. */
static void test_crash_of_two_requests_counts_for_neither(void **state)
{
	struct mh_suspects *set = mh_suspects_new(NULL, NULL);
	const uint64_t sound = 1, bad = 2;

	(void)state;
	crash(set, sound, 11, 1000);
	crash(set, sound, 12, 2000);
	crash(set, bad, 13, 1500);
	crash(set, bad, 14, 2500);
	crash(set, sound, 15, 3000);
	assert_true(is_refused(set, sound));
	crash(set, bad, 15, 3000);
	assert_false(is_refused(set, sound));
	assert_false(is_refused(set, bad));
	crash(set, bad, 16, 4000);
	assert_false(is_refused(set, sound));
	assert_true(is_refused(set, bad));
	mh_suspects_free(set);
}

/* Guards against two requests that excuse each other for ever. */
static void test_requests_that_crash_together_are_refused(void **state)
{
	struct mh_suspects *set = mh_suspects_new(NULL, NULL);
	uint64_t n;

	(void)state;
	for (n = 1; n <= 3; n++) {
		crash(set, 1, n, n * 1000);
		crash(set, 2, n, n * 1000);
	}
	assert_true(is_refused(set, 1));
	assert_true(is_refused(set, 2));
	mh_suspects_free(set);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_crash_beside_the_clearing_run_is_told_once),
		cmocka_unit_test(test_a_cleared_crash_does_not_come_back),
		cmocka_unit_test(test_full_records_are_told_once),
		cmocka_unit_test(test_crash_of_two_requests_counts_for_neither),
		cmocka_unit_test(test_requests_that_crash_together_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
