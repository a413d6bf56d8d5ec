/*
 * Queue of the requests that wait at one entry for one model of a pool: strict
 * priority between tiers, weighted fair queueing between the accounts of a
 * tier, earliest deadline first within an account.
 */
#ifndef MH_WAIT_QUEUE_H
#define MH_WAIT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "core/heap.h"
#include "core/manifest.h"

struct mh_account_queue;

/**
 * struct mh_waiter - a request in a wait queue
 * @tier: tier, 0 is the highest
 * @cost_tokens: cost of the request, its prompt and output tokens
 * @share: weight of its account
 * @deadline_ns: monotonic time
 * @account: name of its account, outlives the waiter
 * @owner: request that the waiter belongs to
 */
struct mh_waiter {
	uint8_t tier;
	uint32_t cost_tokens;
	uint32_t share;
	uint64_t deadline_ns;
	const char *account;
	void *owner;
	/* private: */
	struct mh_account_queue *queue;
	uint32_t tier_index;
	uint32_t queue_index;
};

/* Requests of one account in one tier. */
struct mh_account_queue {
	char *account;
	uint64_t vtime;
	struct mh_heap waiters;
	uint32_t active_index;
	UT_hash_handle hh;
};

struct mh_wait_queue_tier {
	uint64_t vtime;
	uint64_t cost_tokens;
	struct mh_heap by_deadline;
	struct mh_heap active;
	struct mh_account_queue *queues;
};

/**
 * struct mh_run_costs - exponential moving averages over runs of a wait queue
 * @prompt_token_ns: time to the first token, per token of the prompt
 * @output_token_ns: time per further token
 * @output_ratio: tokens received per token requested
 * @samples: number of runs in the averages
 */
struct mh_run_costs {
	double prompt_token_ns;
	double output_token_ns;
	double output_ratio;
	uint64_t samples;
};

struct mh_wait_queue {
	char *pool;
	char *model;
	struct mh_wait_queue_tier tiers[MH_MAX_TIERS];
	uint32_t count;
	/* Waiters per tier that count as demand on all servers, not only on
	 * preferred ones. */
	uint32_t n_wide[MH_MAX_TIERS];
	struct mh_run_costs costs;
};

/**
 * mh_wait_queue_new() - create an empty wait queue
 * @pool: name of the pool, copied
 * @model: name of the model, "" for a service; copied
 *
 * Return: wait queue, NULL when memory runs out.
 */
struct mh_wait_queue *mh_wait_queue_new(const char *pool, const char *model);

/**
 * mh_wait_queue_free() - free a wait queue; waiters are owned by the caller
 * @wait_queue: wait queue or NULL
 */
void mh_wait_queue_free(struct mh_wait_queue *wait_queue);

/**
 * mh_wait_queue_add() - add a waiter
 * @wait_queue: wait queue
 * @w: waiter with its public members set
 *
 * Return: false when memory runs out.
 */
bool mh_wait_queue_add(struct mh_wait_queue *wait_queue, struct mh_waiter *w);

/**
 * mh_wait_queue_remove() - remove a waiter without charging its account
 * @wait_queue: wait queue
 * @w: waiter in the wait queue
 */
void mh_wait_queue_remove(struct mh_wait_queue *wait_queue,
			  struct mh_waiter *w);

/**
 * mh_wait_queue_serve() - remove a waiter and charge its account
 * @wait_queue: wait queue
 * @w: waiter in the wait queue
 */
void mh_wait_queue_serve(struct mh_wait_queue *wait_queue, struct mh_waiter *w);

/**
 * mh_wait_queue_update_costs() - update the costs from a run that completed
 * @wait_queue: wait queue
 * @first_ns: time from the hand-over to the first chunk
 * @rest_ns: time from there to the end
 * @prompt_tokens: size of the prompt
 * @requested_tokens: requested maximum size of the response
 * @received_tokens: number of chunks received, counted as one token each
 */
void mh_wait_queue_update_costs(struct mh_wait_queue *wait_queue,
				uint64_t first_ns, uint64_t rest_ns,
				uint32_t prompt_tokens,
				uint32_t requested_tokens,
				uint32_t received_tokens);

/**
 * mh_wait_queue_next() - waiter to serve next
 * @wait_queue: wait queue
 * @lowest_tier: tiers with a greater index are skipped
 *
 * Return: waiter, or NULL.
 */
struct mh_waiter *mh_wait_queue_next(const struct mh_wait_queue *wait_queue,
				     uint8_t lowest_tier);

/**
 * mh_wait_queue_victim() - waiter to shed for a request of a higher tier
 * @wait_queue: wait queue
 * @tier: only tiers with a greater index are considered
 *
 * Return: waiter of the lowest such tier, a leaf of its deadline heap, so not
 * always the one with the latest deadline; NULL if there is none.
 */
struct mh_waiter *mh_wait_queue_victim(const struct mh_wait_queue *wait_queue,
				       uint8_t tier);

/**
 * mh_wait_queue_count() - number of waiters of a tier
 * @wait_queue: wait queue
 * @tier: tier
 */
uint32_t mh_wait_queue_count(const struct mh_wait_queue *wait_queue,
			     uint8_t tier);

/**
 * mh_wait_queue_deadline_ns() - earliest deadline of a tier
 * @wait_queue: wait queue
 * @tier: tier
 *
 * Return: monotonic time, UINT64_MAX if there are no waiters.
 */
uint64_t mh_wait_queue_deadline_ns(const struct mh_wait_queue *wait_queue,
				   uint8_t tier);

#endif
