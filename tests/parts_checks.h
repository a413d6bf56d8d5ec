/*
 * Checks of the simulation of parts by which servers crash. Include cmocka first.
 */
#ifndef PARTS_CHECKS_H
#define PARTS_CHECKS_H

#include <stdio.h>

#include "tests/parts_simulation.h"

/* The users' rule: at most so many runs later than 3 s after the fifth crash,
 * and so large a share of the sound requests as without such a fault. */
#define MAX_LATE 3
#define MIN_SOUND_SHARE 0.5

static inline void print_result(const char *name, uint64_t seed,
				const struct sim_result *r)
{
	printf("%-16s seed %llu: %u ended, %u late, sound %u of %u, refused "
	       "%u sound %u bad, companion %u of %u, waits %u ms %u ms\n",
	       name, (unsigned long long)seed, r->crashed, r->late,
	       r->sound_begun, r->sound, r->sound_refused, r->bad_refused,
	       r->companion_begun, r->companion, r->mean_wait_ms,
	       r->longest_wait_ms);
}

static inline void assert_contained(const char *name, const struct sim_case *c,
				    uint64_t seeds)
{
	uint64_t seed;
	bool ok = true;

	for (seed = 1; seed <= seeds; seed++) {
		struct sim_result r = sim_run(c, seed);

		print_result(name, seed, &r);
		ok = ok && r.crashed && r.late <= MAX_LATE && r.bad_refused &&
		     r.sound && r.sound_begun >= MIN_SOUND_SHARE * r.sound;
	}
	assert_true(ok);
}

#endif
