/*
 * Simulation without a network of servers that state limits: entries with their
 * local dispatchers, and two dispatchers, which are lost and come back. The load
 * is more than the limits allow.
 */
#ifndef LIMIT_SIMULATION_H
#define LIMIT_SIMULATION_H

#include <stdbool.h>
#include <stdint.h>

#define SIM_SERVERS 6

/**
 * struct limit_case - what happens
 * @entries: entries
 * @census: entries that each believes to share the limits when alone
 * @limited: servers that state a limit, the first ones
 * @millihz: their limit
 * @named_ms: from when on they state it
 * @ended_ms: from when on they don't, 0: never
 * @flaps: every other response has no limit
 * @per_s: requests a second
 * @urgent_per_s: those of them that are urgent
 * @lost_ms: when the first dispatcher is lost, 0: never
 * @all_lost_ms: when the second one is, too; 1: none is there from the start
 * @back_ms: when both are back, without what they knew, 0: never
 * @until_ms: length
 */
struct limit_case {
	uint32_t entries;
	uint32_t census;
	uint32_t limited;
	uint32_t millihz;
	uint32_t named_ms;
	uint32_t ended_ms;
	bool flaps;
	uint32_t per_s;
	uint32_t urgent_per_s;
	uint32_t lost_ms;
	uint32_t all_lost_ms;
	uint32_t back_ms;
	uint32_t until_ms;
};

/**
 * struct limit_result - what came of it
 * @most: most requests that reached a server with a limit in any 4 s
 * @most_told: the same, of entries that passed on the limit half a second before
 * @used: what reached these servers while the limit was in force, as a fraction of
 *        what it allows
 * @urgent_begun: fraction of the urgent requests that began
 * @begun_after: fraction of the requests that began, of those that came later than
 *               a second after its end
 */
struct limit_result {
	uint32_t most;
	uint32_t most_told;
	double used;
	double urgent_begun;
	double begun_after;
};

/**
 * limit_sim_run() - run a case
 * @c: case
 * @seed: seed of all random numbers
 */
struct limit_result limit_sim_run(const struct limit_case *c, uint64_t seed);

#endif
