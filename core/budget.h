/*
 * Limits over time: what client accounts spend, and the share of repeated
 * requests, both in a sliding window.
 */
#ifndef MH_BUDGET_H
#define MH_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define MH_USAGE_BUCKETS 32

/**
 * struct mh_usage - units spent over a sliding window, in slots of time
 * @slot_ns: length of a slot; 0 before mh_usage_init()
 * @at: number of the newest slot since the clock's start
 * @units: units spent in each slot
 */
struct mh_usage {
	uint64_t slot_ns;
	uint64_t at;
	uint64_t units[MH_USAGE_BUCKETS];
};

/**
 * mh_usage_init() - set up an empty window
 * @u: window
 * @span_ms: its length
 */
void mh_usage_init(struct mh_usage *u, uint32_t span_ms);

/**
 * mh_usage_add() - count units
 * @u: window
 * @units: units
 * @age_ms: how long ago they were spent
 * @now_ns: monotonic time
 */
void mh_usage_add(struct mh_usage *u, uint64_t units, uint32_t age_ms,
		  uint64_t now_ns);

/**
 * mh_usage_refund() - take units back that were not used
 * @u: window
 * @units: units
 * @age_ms: how long ago they were counted
 * @now_ns: monotonic time
 */
void mh_usage_refund(struct mh_usage *u, uint64_t units, uint32_t age_ms,
		     uint64_t now_ns);

/**
 * mh_usage_sum() - units spent in the window
 * @u: window
 * @now_ns: monotonic time
 */
uint64_t mh_usage_sum(struct mh_usage *u, uint64_t now_ns);

/**
 * mh_usage_bucket() - units of one slot
 * @u: window
 * @i: slot, 0 is the newest
 * @now_ns: monotonic time
 * @age_ms: set to the slot's age
 */
uint64_t mh_usage_bucket(struct mh_usage *u, uint32_t i, uint64_t now_ns,
			 uint32_t *age_ms);

/**
 * mh_usage_wait_ms() - when the sum will have fallen
 * @u: window
 * @to: to this sum or less
 * @now_ns: monotonic time
 */
uint32_t mh_usage_wait_ms(struct mh_usage *u, uint64_t to, uint64_t now_ns);

#define MH_RETRY_WINDOW_BUCKETS 40

/**
 * struct mh_retry_window - sums over a sliding window, in slots of time
 * @slot_ns: length of a slot
 * @at: number of the newest slot since the clock's start
 * @first: first tries in each slot
 * @again: repeats in each slot
 */
struct mh_retry_window {
	uint64_t slot_ns;
	uint64_t at;
	uint32_t first[MH_RETRY_WINDOW_BUCKETS];
	uint32_t again[MH_RETRY_WINDOW_BUCKETS];
};

/**
 * mh_retry_window_init() - set up an empty window
 * @w: window
 * @span_ms: its length
 */
void mh_retry_window_init(struct mh_retry_window *w, uint32_t span_ms);

/**
 * mh_retry_window_add_first_try() - count a first try
 * @w: window
 * @now_ns: monotonic time
 */
void mh_retry_window_add_first_try(struct mh_retry_window *w, uint64_t now_ns);

/**
 * mh_retry_window_take() - count a repeat if it stays within the bound
 * @w: window
 * @ratio: repeats allowed for each first try
 * @extra: repeats allowed besides
 * @now_ns: monotonic time
 *
 * Return: whether the repeat is allowed.
 */
bool mh_retry_window_take(struct mh_retry_window *w, double ratio, double extra,
			  uint64_t now_ns);

/**
 * mh_retry_window_add_retries() - count repeats that another one let through
 * @w: window
 * @n: number of repeats
 * @now_ns: monotonic time
 */
void mh_retry_window_add_retries(struct mh_retry_window *w, uint64_t n,
				 uint64_t now_ns);

#endif
