/*
 * Test of parts of prompts by which servers crash, at entries without any
 * dispatcher: nobody passes on what one of them sees.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>

#include "tests/parts_simulation.h"

/* As in test_parts.c. */
#define MAX_LATE 3
#define MIN_SOUND_SHARE 0.5
#define SEEDS 3

/* Guards against a part that each entry has to find for itself. */
static void test_part_at_entries_alone(void **state)
{
	const struct sim_case c = {
		.servers = 12,
		.entries = 18,
		.alone = true,
		.apart = true,
		.sound_per_s = 48,
		.bad_per_s = 12,
		.first = SIM_COMMON,
		.sound_first = SIM_COMMON,
		.seconds = 40,
	};
	uint64_t seed;
	bool ok = true;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		struct sim_result r = sim_run(&c, seed);

		printf("seed %llu: %u ended, %u late, sound %u of %u\n",
		       (unsigned long long)seed, r.crashed, r.late,
		       r.sound_begun, r.sound);
		ok = ok && r.late <= MAX_LATE &&
		     r.sound_begun >= MIN_SOUND_SHARE * r.sound;
	}
	assert_true(ok);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_part_at_entries_alone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
