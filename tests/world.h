/*
 * Test driver: a few entries and sides (the real cores) in one process, on a
 * clock of its own, with fakes for the network, the log, the host list and the
 * engines. It drops, delays, reorders and duplicates frames, kills, freezes
 * and cuts, and checks the promises at every step.
 */
#ifndef WORLD_H
#define WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/counter_names.h"
#include "core/err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define WORLD_MAX_NODES 32
#define WORLD_TEXT_BYTES 4096

/* Who decides: mangohead, or calls go straight to engines that queue FIFO. */
enum world_baseline {
	BASELINE_NONE,
	BASELINE_ROUND_ROBIN,
	BASELINE_LEAST_LOAD,
};

/**
 * struct world_options - shape of a world
 * @seed: decides everything that is random
 * @n_entries: number of entry hosts
 * @n_sides: number of backend servers
 * @slots: slots of a backend server
 * @max_waiting: requests that one entry holds
 * @step_us: duration of an engine step with one sequence
 * @batch_percent: growth of a step for each further sequence
 * @prefill_tokens: prompt tokens read in one step
 * @delay_us: one-way delay of a link
 * @drop_permille: frames that are lost without a cut
 * @dup_permille: frames that come twice
 * @late_permille: frames that come late and out of order
 * @baseline: what stands in for mangohead, for comparison
 * @load_lag_ms: age of the load that a baseline goes by
 * @appenders: entries that append claims, 0 for all
 * @policy: number of the entries' policy variant
 * @speed_percent: speed of each backend server, 0 means 100
 */
struct world_options {
	uint64_t seed;
	int n_entries;
	int n_sides;
	uint32_t slots;
	uint32_t max_waiting;
	uint32_t step_us;
	uint32_t batch_percent;
	uint32_t prefill_tokens;
	uint32_t delay_us;
	uint32_t drop_permille;
	uint32_t dup_permille;
	uint32_t late_permille;
	enum world_baseline baseline;
	uint32_t load_lag_ms;
	uint32_t appenders;
	unsigned int policy;
	uint32_t speed_percent[WORLD_MAX_NODES];
};

/**
 * struct world_call - a request that a caller makes
 * @at_ms: time of the first try
 * @entry: entry that it goes to; a resend goes to the next one
 * @account: number of the account, 0 to 4
 * @tier: tier
 * @prompt_tokens: size of the prompt
 * @output_tokens: size of the answer
 * @deadline_ms: deadline of each try
 * @key: number that stands for an idempotency key, 0 for none
 * @non_idempotent: may run once only
 * @crashes: takes its engine down
 * @resends: how often the caller tries again
 * @patience_ms: the caller gives up a try after this time, 0 for never
 */
struct world_call {
	uint64_t at_ms;
	int entry;
	int account;
	int tier;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint32_t deadline_ms;
	uint32_t key;
	bool non_idempotent;
	bool crashes;
	int resends;
	uint32_t patience_ms;
};

enum world_fault_kind {
	FAULT_CUT_LINK,	  /* a: entry, b: side */
	FAULT_CUT_PEERS,  /* a: entry, b: entry */
	FAULT_KILL_ENTRY, /* a: entry; comes back after the duration */
	FAULT_KILL_SIDE,  /* a: side; comes back after the duration */
	FAULT_FREEZE_ENTRY,
	FAULT_FREEZE_SIDE,
	FAULT_KILL_ENGINE, /* a: side */
	FAULT_LOG_OUTAGE,
	FAULT_LOG_LOSES_ANSWERS,
	FAULT_HOST_LEAVES, /* a: side; live again after the duration */
	FAULT_HOSTS_DOWN,
	FAULT_DRAIN_SIDE,   /* a: side; restarted after the duration */
	FAULT_DRAIN_ENTRY,  /* a: entry; restarted after the duration */
	FAULT_STRAGGLER,    /* a: side */
	FAULT_PUBLISH_RACE, /* two operators change the manifest at once */
	FAULT_KINDS,
};

/**
 * struct world_fault - something that goes wrong
 * @kind: what
 * @at_ms: when
 * @duration_ms: for how long
 * @a: first node
 * @b: second node
 */
struct world_fault {
	enum world_fault_kind kind;
	uint64_t at_ms;
	uint64_t duration_ms;
	int a;
	int b;
};

/**
 * struct world_tier_result - what became of the calls of a tier
 * @offered: calls
 * @whole: answered whole
 * @in_time: answered whole before the deadline
 * @refused: told that they did not run
 * @unknown: told that the outcome is unknown
 */
struct world_tier_result {
	uint64_t offered;
	uint64_t whole;
	uint64_t in_time;
	uint64_t refused;
	uint64_t unknown;
};

/**
 * struct world_sample - one call, for percentiles
 * @tier: tier
 * @account: account
 * @first_us: time to the first token, 0 if none came
 * @gap_us: mean time between tokens
 * @refusal_us: time to a refusal, 0 if it was not refused
 * @tokens: work of a whole answer in time, in prompt tokens
 */
struct world_sample {
	int tier;
	int account;
	uint64_t first_us;
	uint64_t gap_us;
	uint64_t refusal_us;
	uint64_t tokens;
};

struct world;

struct world *world_new(const struct world_options *options);
void world_free(struct world *w);

/* To be called before world_run(). */
void world_add_call(struct world *w, const struct world_call *call);
void world_add_fault(struct world *w, const struct world_fault *fault);

/* Runs until a time; stops early at the first broken promise. */
void world_run(struct world *w, uint64_t until_ms);

/* What promise was broken, and where; NULL if none was. */
const char *world_violation(const struct world *w);

/* Whether each call has ended and all entries agree on the manifest. */
bool world_settled(const struct world *w);

void world_tier(const struct world *w, int tier, struct world_tier_result *r);
uint64_t world_starts(const struct world *w);
uint64_t world_starts_of_key(const struct world *w, uint32_t key);
uint64_t world_prefilled(const struct world *w);
uint64_t world_wasted_prefill(const struct world *w);
uint64_t world_useful_work(const struct world *w);
uint64_t world_counter(const struct world *w, int counter);
int world_engines_lost(const struct world *w);
size_t world_samples(const struct world *w, struct world_sample *v, size_t max);
enum mh_error world_error_of(const struct world *w, size_t call);
bool world_whole(const struct world *w, size_t call);
uint64_t world_config_version(const struct world *w, int entry);

#ifdef __cplusplus
}
#endif

#endif
