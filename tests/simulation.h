/*
 * Discrete-event simulation of a small cluster: the real cores of entries and
 * sides run in one process on a simulated clock. Network, log, host list and
 * engines are fakes. The simulation drops, delays, reorders and duplicates
 * frames, kills and freezes nodes, cuts links, and checks the invariants at
 * every event.
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

/*
 * Who chooses the backend server: mangohead, or a baseline that sends calls
 * straight to engines with a FIFO queue each.
 */
enum sim_baseline {
	BASELINE_NONE,
	BASELINE_ROUND_ROBIN,
	BASELINE_LEAST_LOAD,
};

/**
 * struct sim_options - options of a simulation
 * @seed: seed of all random numbers
 * @n_entries: number of entry hosts
 * @n_sides: number of backend servers, each with its side
 * @slots: slots of a backend server
 * @max_waiting: limit on the requests that wait at one entry
 * @step_us: duration of an engine step with one sequence
 * @batch_percent: increase of the step time for each further sequence
 * @prefill_tokens: prompt tokens that an engine processes in one step
 * @delay_us: one-way delay of a link
 * @drop_permille: frames that are lost while the link stays up
 * @dup_permille: frames that are delivered twice
 * @late_permille: frames that are delayed and arrive out of order
 * @baseline: policy that replaces mangohead, for comparison
 * @load_lag_ms: greatest age of the load reports that a baseline uses
 * @appenders: number of entries that append claims, 0 for all
 * @policy: index of the entries' policy, see mh_policy_variants()
 * @speed_percent: speed of each backend server's engine, 0 means 100
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
 * struct sim_call - a client's request
 * @at_ms: time of the first attempt
 * @entry: entry of the first attempt; each retry goes to the next one
 * @account: index of the account, 0 to 4
 * @tier: tier
 * @prompt_tokens: length of the prompt in tokens
 * @output_tokens: length of the response in tokens
 * @deadline_ms: deadline of each attempt, from its start
 * @key: number of the idempotency key, 0 for none
 * @non_idempotent: must run at most once
 * @crashes: crashes the engine that runs it
 * @max_retries: limit on the client's retries
 * @cancel_after_ms: the client cancels an attempt after this time, 0 for never
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
	FAULT_KILL_ENTRY,     /* a: entry; restarted after the duration */
	FAULT_KILL_SIDE,      /* a: side; restarted after the duration */
	FAULT_FREEZE_ENTRY,   /* a: entry */
	FAULT_FREEZE_SIDE,    /* a: side */
	FAULT_KILL_ENGINE,    /* a: side */
	FAULT_LOG_OUTAGE,     /* no reads, no appends */
	FAULT_LOG_LOSES_ACKS, /* three appends succeed unacknowledged */
	FAULT_HOST_LEAVES,    /* a: side; live again after the duration */
	FAULT_HOSTS_DOWN,     /* the host list can't be read */
	FAULT_DRAIN_SIDE,     /* a: side; restarted after the duration */
	FAULT_DRAIN_ENTRY,    /* a: entry; restarted after the duration */
	FAULT_STRAGGLER, /* a: side, whose engine takes three times as long */
	FAULT_PUBLISH_RACE, /* two concurrent changes of the manifest */
	FAULT_COUNT,
};

/**
 * struct sim_fault - an injected fault
 * @kind: kind of fault
 * @at_ms: start
 * @duration_ms: duration
 * @a: index of the first node, see the kind
 * @b: index of the second node, see the kind
 */
struct sim_fault {
	enum sim_fault_kind kind;
	uint64_t at_ms;
	uint64_t duration_ms;
	int a;
	int b;
};

/**
 * struct sim_tier_result - outcomes of the calls of a tier
 * @offered: number of calls
 * @completed: calls that got a complete response
 * @in_time: calls that got a complete response before the deadline
 * @refused: calls whose client was told that they did not run
 * @unknown: calls whose client was told that the outcome is unknown
 */
struct sim_tier_result {
	uint64_t offered;
	uint64_t completed;
	uint64_t in_time;
	uint64_t refused;
	uint64_t unknown;
};

/**
 * struct sim_sample - measurements of one call
 * @tier: tier
 * @account: account
 * @first_us: time to the first token of a complete response, 0 if none
 * @gap_us: mean time between tokens of a complete response
 * @refusal_us: time to a refusal, 0 if it was not refused
 * @tokens: work of a response completed in time, in prompt tokens, else 0
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

/* Calls and faults must be added before sim_run(). */
void sim_add_call(struct simulation *sim, const struct sim_call *call);
void sim_add_fault(struct simulation *sim, const struct sim_fault *fault);

/* Runs until a simulated time; stops at the first violated invariant. */
void sim_run(struct simulation *sim, uint64_t until_ms);

/* The first violated invariant and its time; NULL if none was violated. */
const char *sim_violation(const struct simulation *sim);

/* Whether all calls have ended and all entries have the expected manifest. */
bool sim_settled(const struct simulation *sim);

void sim_tier(const struct simulation *sim, int tier,
	      struct sim_tier_result *r);
/* Runs started at engines, of all calls or of a key; 0 with a baseline. */
uint64_t sim_starts(const struct simulation *sim);
uint64_t sim_starts_of_key(const struct simulation *sim, uint32_t key);

/* Prompt tokens that engines processed: all, and those of incomplete runs. */
uint64_t sim_prefilled(const struct simulation *sim);
uint64_t sim_wasted_prefill(const struct simulation *sim);

/* Work of the responses completed in time, in prompt tokens. */
uint64_t sim_useful_work(const struct simulation *sim);

/* Sum of an enum mh_counter over all nodes, killed ones included. */
uint64_t sim_counter(const struct simulation *sim, int counter);
int sim_engines_lost(const struct simulation *sim);

/* Writes a sample of each call, in the order added. Return: their number. */
size_t sim_samples(const struct simulation *sim, struct sim_sample *v,
		   size_t max);
enum mh_error sim_error_of(const struct simulation *sim, size_t call);
bool sim_completed(const struct simulation *sim, size_t call);
uint64_t sim_config_version(const struct simulation *sim, int entry);

#ifdef __cplusplus
}
#endif

#endif
