/*
 * Test driver: a few entries and sides (the real cores) in one process, on a
 * clock of its own, with fakes for the network, the log, the host list and the
 * engines. It drops, delays, reorders and duplicates frames, kills, freezes
 * and cuts, and checks the promises at every step.
 */
#ifndef SIMULATION_H
#define SIMULATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/counter_names.h"
#include "core/err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SIM_MAX_NODES 32
#define SIM_TEXT_BYTES 4096

/* Who decides: mangohead, or calls go straight to engines that queue FIFO. */
enum sim_baseline {
	BASELINE_NONE,
	BASELINE_ROUND_ROBIN,
	BASELINE_LEAST_LOAD,
};

/**
 * struct sim_options - shape of a simulation
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
struct sim_options {
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
	enum sim_baseline baseline;
	uint32_t load_lag_ms;
	uint32_t appenders;
	unsigned int policy;
	uint32_t speed_percent[SIM_MAX_NODES];
};

/**
 * struct sim_call - a request that a caller makes
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
 * @max_retries: how often the caller tries again
 * @cancel_after_ms: the caller gives up a try after this time, 0 for never
 */
struct sim_call {
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
	int max_retries;
	uint32_t cancel_after_ms;
};

enum sim_fault_kind {
	FAULT_CUT_LINK,	      /* a: entry, b: side */
	FAULT_CUT_ENTRY_LINK, /* a: entry, b: entry */
	FAULT_KILL_ENTRY,     /* a: entry; comes back after the duration */
	FAULT_KILL_SIDE,      /* a: side; comes back after the duration */
	FAULT_FREEZE_ENTRY,
	FAULT_FREEZE_SIDE,
	FAULT_KILL_ENGINE, /* a: side */
	FAULT_LOG_OUTAGE,
	FAULT_LOG_LOSES_ACKS,
	FAULT_HOST_LEAVES, /* a: side; live again after the duration */
	FAULT_HOSTS_DOWN,
	FAULT_DRAIN_SIDE,   /* a: side; restarted after the duration */
	FAULT_DRAIN_ENTRY,  /* a: entry; restarted after the duration */
	FAULT_STRAGGLER,    /* a: side */
	FAULT_PUBLISH_RACE, /* two operators change the manifest at once */
	FAULT_COUNT,
};

/**
 * struct sim_fault - something that goes wrong
 * @kind: what
 * @at_ms: when
 * @duration_ms: for how long
 * @a: first node
 * @b: second node
 */
struct sim_fault {
	enum sim_fault_kind kind;
	uint64_t at_ms;
	uint64_t duration_ms;
	int a;
	int b;
};

/**
 * struct sim_tier_result - what became of the calls of a tier
 * @offered: calls
 * @completed: answered completed
 * @in_time: answered completed before the deadline
 * @refused: told that they did not run
 * @unknown: told that the outcome is unknown
 */
struct sim_tier_result {
	uint64_t offered;
	uint64_t completed;
	uint64_t in_time;
	uint64_t refused;
	uint64_t unknown;
};

/**
 * struct sim_sample - one call, for percentiles
 * @tier: tier
 * @account: account
 * @first_us: time to the first token, 0 if none came
 * @gap_us: mean time between tokens
 * @refusal_us: time to a refusal, 0 if it was not refused
 * @tokens: work of a completed answer in time, in prompt tokens
 */
struct sim_sample {
	int tier;
	int account;
	uint64_t first_us;
	uint64_t gap_us;
	uint64_t refusal_us;
	uint64_t tokens;
};

struct simulation;

struct simulation *sim_new(const struct sim_options *options);
void sim_free(struct simulation *sim);

/* To be called before sim_run(). */
void sim_add_call(struct simulation *sim, const struct sim_call *call);
void sim_add_fault(struct simulation *sim, const struct sim_fault *fault);

/* Runs until a time; stops early at the first broken promise. */
void sim_run(struct simulation *sim, uint64_t until_ms);

/* What promise was broken, and where; NULL if none was. */
const char *sim_violation(const struct simulation *sim);

/* Whether each call has ended and all entries agree on the manifest. */
bool sim_settled(const struct simulation *sim);

void sim_tier(const struct simulation *sim, int tier,
	      struct sim_tier_result *r);
uint64_t sim_starts(const struct simulation *sim);
uint64_t sim_starts_of_key(const struct simulation *sim, uint32_t key);
uint64_t sim_prefilled(const struct simulation *sim);
uint64_t sim_wasted_prefill(const struct simulation *sim);
uint64_t sim_useful_work(const struct simulation *sim);
uint64_t sim_counter(const struct simulation *sim, int counter);
int sim_engines_lost(const struct simulation *sim);
size_t sim_samples(const struct simulation *sim, struct sim_sample *v,
		   size_t max);
enum mh_error sim_error_of(const struct simulation *sim, size_t call);
bool sim_completed(const struct simulation *sim, size_t call);
uint64_t sim_config_version(const struct simulation *sim, int entry);

#ifdef __cplusplus
}
#endif

#endif
