/*
 * Simulation without a network of requests whose prompts share parts, at the
 * dispatchers of a site whose servers crash by one of these parts, or for reasons
 * of their own, and are back after some seconds under new identifiers.
 */
#ifndef PARTS_SIMULATION_H
#define PARTS_SIMULATION_H

#include <stdbool.h>
#include <stdint.h>

#define SIM_MAX_NODES 104
#define SIM_MAX_SERVERS 64
#define SIM_NONE 0

/* Parts with fixed meaning; those from SIM_SUBJECT on are of sound subjects. */
#define SIM_COMMON 0xa0
#define SIM_BAD 0xdead1 /* the first of them */
#define SIM_MAX_BAD_PARTS 4
#define SIM_COMPANION 0xc0
#define SIM_SUBJECT 0x100
#define SIM_FURTHER 0x100000

/* Ways in which servers end by themselves. */
enum sim_ends {
	SIM_ENDS_NEVER,
	SIM_ENDS_DOMAIN, /* a third of them at once, every 2 s */
	SIM_ENDS_SINGLE, /* one every 300 ms */
	SIM_ENDS_CUTS,	 /* none, but a tenth of the responses is cut */
};

/**
 * struct sim_case - what happens in a run of the simulation
 * @servers: servers, of 4 slots
 * @entries: entries that requests come to in turn
 * @alone: no dispatcher runs: each entry uses its own share
 * @share_ms: how long it takes until others are told of a suspect
 * @sound_per_s: sound requests a second
 * @bad_per_s: requests a second that hold a bad part
 * @bad_from_ms: from when on the bad part is bad; it is sound before
 * @first: part that stands first in bad requests, SIM_NONE if the bad one does
 * @sound_first: part that stands first in sound ones
 * @further: number of further parts, which stand before the others
 * @further_last: they stand behind them
 * @conversations: the further parts are the same only for as many requests of each
 *                 kind, 0: for all
 * @whole: no part is bad, but each bad request by itself
 * @bad_parts: number of bad parts, 0 and 1 for one; a bad request has one of them
 * @in_step: bad requests have the bad parts in turn, each always with the same
 *           companion, of which each sound request has one as well
 * @instant: sound requests are answered at once
 * @companion_from_ms: from then on sound requests hold the companion, 0: never
 * @ends: how servers end besides
 * @dispatcher_lost_at: number of the crash at which the dispatcher in use is
 *                      lost, 0: never
 * @split_at: number of the crash from which on every second entry uses the other
 *            dispatcher, 0: never
 * @all_lost_ms: when all dispatchers are lost, 0: never
 * @seconds: length
 */
struct sim_case {
	uint32_t servers;
	uint32_t entries;
	bool alone;
	uint32_t share_ms;
	uint32_t sound_per_s;
	uint32_t bad_per_s;
	uint32_t bad_from_ms;
	uint64_t first;
	uint64_t sound_first;
	uint32_t further;
	bool further_last;
	uint32_t conversations;
	bool whole;
	uint32_t bad_parts;
	bool in_step;
	bool instant;
	uint32_t companion_from_ms;
	enum sim_ends ends;
	uint32_t dispatcher_lost_at;
	uint32_t split_at;
	uint32_t all_lost_ms;
	uint32_t seconds;
};

/**
 * struct sim_result - what came of it
 * @crashed: servers that ended by bad requests
 * @late: bad requests with the same part that reached servers later than 3 s after
 *        its fifth crash, the most of any part
 * @sound: sound requests that came later than 6 s after the last fifth crash of a
 *         part, or the last one if there are fewer
 * @sound_begun: those of them that began at their first attempt
 * @sound_refused: sound ones at any time that were refused as crashing servers
 * @bad_refused: bad ones that were refused so
 * @mean_wait_ms: of all sound ones that began at their first attempt
 * @longest_wait_ms: the same
 * @companion: sound ones with the companion, in the last 2 s
 * @companion_begun: those of them that began
 */
struct sim_result {
	uint32_t crashed;
	uint32_t late;
	uint32_t sound;
	uint32_t sound_begun;
	uint32_t sound_refused;
	uint32_t bad_refused;
	uint32_t mean_wait_ms;
	uint32_t longest_wait_ms;
	uint32_t companion;
	uint32_t companion_begun;
};

/**
 * sim_run() - run a case
 * @c: case
 * @seed: seed of all random numbers
 */
struct sim_result sim_run(const struct sim_case *c, uint64_t seed);

#endif
