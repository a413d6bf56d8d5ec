/*
 * Tests of parts of prompts by which servers crash, at entries without any
 * dispatcher. Each sees few of the crashes and tells the others through the store.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>

#include "tests/parts_checks.h"

#define SEEDS 5

static const struct sim_case base = {
	.servers = 12,
	.entries = 18,
	.alone = true,
	.share_ms = 80,
	.sound_per_s = 48,
	.bad_per_s = 12,
	.first = SIM_COMMON,
	.sound_first = SIM_COMMON,
	.seconds = 30,
};

/* Guards against a part that each entry has to find for itself, and against sound
 * requests that are refused for the part that they share with the bad ones. */
static void test_part_at_entries_alone(void **state)
{
	struct sim_case c = base;

	(void)state;
	assert_contained("middle", &c, SEEDS);
	c.first = SIM_NONE;
	assert_contained("first", &c, SEEDS);
}

static void test_few_and_many_entries_alone(void **state)
{
	struct sim_case c = base;

	(void)state;
	c.entries = 4;
	assert_contained("4 entries", &c, SEEDS);
	c.servers = 60;
	c.entries = 102;
	c.sound_per_s = c.bad_per_s = 300;
	c.seconds = 20;
	assert_contained("102 entries", &c, SEEDS);
}

/* Guards against what is known of one part being mixed up with another one. */
static void test_two_parts_at_entries_alone(void **state)
{
	struct sim_case c = base;

	(void)state;
	c.bad_parts = 2;
	assert_contained("two", &c, SEEDS);
	c.bad_parts = 1;
	c.first = SIM_COMPANION;
	c.companion_from_ms = 22000;
	assert_contained("companion", &c, SEEDS);
}

/* Guards against good runs of before that hide the crashes of a part that turns
 * bad. */
static void test_part_that_turns_bad_at_entries_alone(void **state)
{
	struct sim_case c = base;

	(void)state;
	c.bad_from_ms = 18000;
	assert_contained("turns bad", &c, SEEDS);
}

/* Few requests: no entry sees the part twice within seconds. */
static void test_rare_part_at_entries_alone(void **state)
{
	struct sim_case c = base;

	(void)state;
	c.bad_per_s = 1;
	c.seconds = 40;
	assert_contained("one a second", &c, SEEDS);
}

/* The store answers slowly. */
static void test_part_at_entries_that_learn_late(void **state)
{
	struct sim_case c = base;

	(void)state;
	c.share_ms = 200;
	assert_contained("slow store", &c, SEEDS);
}

/* Servers that end for reasons of their own: no part may be refused for that. */
static void test_entries_alone_refuse_no_part_for_other_ends(void **state)
{
	static const enum sim_ends ends[] = {
		SIM_ENDS_DOMAIN,
		SIM_ENDS_SINGLE,
		SIM_ENDS_CUTS,
	};
	struct sim_case c = base;
	uint64_t seed;
	bool ok = true;
	size_t i;

	(void)state;
	c.bad_per_s = 0;
	for (i = 0; i < sizeof(ends) / sizeof(ends[0]); i++) {
		c.ends = ends[i];
		for (seed = 1; seed <= SEEDS; seed++) {
			struct sim_result r = sim_run(&c, seed);

			print_result("other ends", seed, &r);
			ok = ok && !r.sound_refused;
		}
	}
	assert_true(ok);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_part_at_entries_alone),
		cmocka_unit_test(test_few_and_many_entries_alone),
		cmocka_unit_test(test_two_parts_at_entries_alone),
		cmocka_unit_test(test_part_that_turns_bad_at_entries_alone),
		cmocka_unit_test(test_rare_part_at_entries_alone),
		cmocka_unit_test(test_part_at_entries_that_learn_late),
		cmocka_unit_test(
			test_entries_alone_refuse_no_part_for_other_ends),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
