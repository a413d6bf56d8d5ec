/*
 * Sliding windows: quota usage of client accounts, and the retry budget, which
 * limits the ratio of retries to first tries.
 */
#ifndef MH_SLIDING_WINDOW_H
#define MH_SLIDING_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#define MH_USAGE_BUCKETS 32

/**
 * struct mh_usage - units used in a sliding window, in buckets of time
 * @bucket_ns: length of a bucket; 0 before mh_usage_init()
 * @newest: number of the newest bucket, counted from the clock's zero
 * @units: units used in each bucket
 */
struct mh_usage {
	uint64_t bucket_ns;
	uint64_t newest;
	uint64_t units[MH_USAGE_BUCKETS];
};

/**
 * mh_usage_init() - set up an empty window
 * @u: window
 * @span_ms: length of the window
 */
void mh_usage_init(struct mh_usage *u, uint32_t span_ms);

/**
 * mh_usage_add() - count used units
 * @u: window
 * @units: units
 * @age_ms: time since they were used
 * @now_ns: monotonic time
 *
 * Units that are older than the window are ignored.
 */
void mh_usage_add(struct mh_usage *u, uint64_t units, uint32_t age_ms,
		  uint64_t now_ns);

/**
 * mh_usage_refund() - subtract units that were counted but not used, at most
 *                     as many as their bucket holds
 * @u: window
 * @units: units
 * @counted_ns: monotonic time at which they were counted
 * @now_ns: monotonic time
 */
void mh_usage_refund(struct mh_usage *u, uint64_t units, uint64_t counted_ns,
		     uint64_t now_ns);

/**
 * mh_usage_sum() - units used in the window
 * @u: window
 * @now_ns: monotonic time
 */
uint64_t mh_usage_sum(struct mh_usage *u, uint64_t now_ns);

/**
 * mh_usage_bucket() - units of one bucket
 * @u: window
 * @i: bucket, 0 is the newest
 * @now_ns: monotonic time
 * @age_ms: set to the age of the bucket
 */
uint64_t mh_usage_bucket(struct mh_usage *u, uint32_t i, uint64_t now_ns,
			 uint32_t *age_ms);

/**
 * mh_usage_wait_ms() - time until the sum has fallen far enough
 * @u: window
 * @max_sum: wait until the sum is at most this
 * @now_ns: monotonic time
 *
 * Return: milliseconds, rounded up to whole buckets; at least one bucket.
 */
uint32_t mh_usage_wait_ms(struct mh_usage *u, uint64_t max_sum,
			  uint64_t now_ns);

#define MH_RETRY_WINDOW_BUCKETS 40

/**
 * struct mh_retry_window - tries in a sliding window, in buckets of time
 * @bucket_ns: length of a bucket
 * @newest: number of the newest bucket, counted from the clock's zero
 * @first_tries: first tries in each bucket
 * @retries: retries in each bucket
 * @n_waiting: retries that are allowed but not sent yet
 */
struct mh_retry_window {
	uint64_t bucket_ns;
	uint64_t newest;
	uint32_t first_tries[MH_RETRY_WINDOW_BUCKETS];
	uint32_t retries[MH_RETRY_WINDOW_BUCKETS];
	uint32_t n_waiting;
};

/**
 * mh_retry_window_init() - set up an empty window
 * @w: window
 * @span_ms: length of the window
 */
void mh_retry_window_init(struct mh_retry_window *w, uint32_t span_ms);

/**
 * mh_retry_window_add_first_try() - count a first try
 * @w: window
 * @now_ns: monotonic time
 */
void mh_retry_window_add_first_try(struct mh_retry_window *w, uint64_t now_ns);

/**
 * mh_retry_window_take() - count a retry if the retry budget allows it
 * @w: window
 * @ratio: retries allowed for each first try
 * @extra: retries allowed in a window regardless of the first tries
 * @now_ns: monotonic time
 *
 * Return: whether the retry is allowed.
 */
bool mh_retry_window_take(struct mh_retry_window *w, double ratio, double extra,
			  uint64_t now_ns);

/**
 * mh_retry_window_reserve() - the same for a retry that is sent later
 * @w: window
 * @ratio: retries allowed for each first try
 * @extra: retries allowed in a window regardless of the first tries
 * @now_ns: monotonic time
 *
 * Return: whether the retry is allowed; it counts until it is sent or given up.
 */
bool mh_retry_window_reserve(struct mh_retry_window *w, double ratio,
			     double extra, uint64_t now_ns);

/**
 * mh_retry_window_sent() - a retry that waited is sent
 * @w: window
 * @now_ns: monotonic time
 */
void mh_retry_window_sent(struct mh_retry_window *w, uint64_t now_ns);

/**
 * mh_retry_window_give_up() - a retry that waited won't be sent
 * @w: window
 */
void mh_retry_window_give_up(struct mh_retry_window *w);

/**
 * mh_retry_window_add_retries() - count retries that another dispatcher allowed
 * @w: window
 * @n: number of retries
 * @now_ns: monotonic time
 */
void mh_retry_window_add_retries(struct mh_retry_window *w, uint64_t n,
				 uint64_t now_ns);

#endif
