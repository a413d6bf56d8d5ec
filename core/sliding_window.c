#include "core/sliding_window.h"

#include <string.h>

#include "core/clock.h"

/* Fraction of the retry budget that is used. Retries reach their servers up to
 * some 100 ms after they were counted, so a window measured at the servers may
 * hold 1 to 2 % more retries than the window counted here. */
#define RETRY_BUDGET_USED 0.95

void mh_usage_init(struct mh_usage *u, uint32_t span_ms)
{
	memset(u, 0, sizeof(*u));
	/* The newest bucket covers part of its time only, so the others have to
	 * cover the span. */
	u->bucket_ns = span_ms * MH_NS_PER_MS / (MH_USAGE_BUCKETS - 1);
}

static void advance(struct mh_usage *u, uint64_t now_ns)
{
	uint64_t newest = now_ns / u->bucket_ns, i;

	if (newest > u->newest + MH_USAGE_BUCKETS)
		u->newest = newest - MH_USAGE_BUCKETS;
	for (i = u->newest + 1; i <= newest; i++)
		u->units[i % MH_USAGE_BUCKETS] = 0;
	if (newest > u->newest)
		u->newest = newest;
}

/* Return: the bucket of an age, or NULL if it is older than the window. */
static uint64_t *bucket_of(struct mh_usage *u, uint32_t age_ms, uint64_t now_ns)
{
	uint64_t age = age_ms * MH_NS_PER_MS / u->bucket_ns;

	advance(u, now_ns);
	if (age >= MH_USAGE_BUCKETS || age > u->newest)
		return NULL;
	return &u->units[(u->newest - age) % MH_USAGE_BUCKETS];
}

void mh_usage_add(struct mh_usage *u, uint64_t units, uint32_t age_ms,
		  uint64_t now_ns)
{
	uint64_t *bucket = bucket_of(u, age_ms, now_ns);

	if (bucket)
		*bucket += units;
}

void mh_usage_refund(struct mh_usage *u, uint64_t units, uint64_t counted_ns,
		     uint64_t now_ns)
{
	uint64_t counted = counted_ns / u->bucket_ns, *bucket;

	advance(u, now_ns);
	if (counted > u->newest || counted + MH_USAGE_BUCKETS <= u->newest)
		return;
	bucket = &u->units[counted % MH_USAGE_BUCKETS];
	*bucket -= *bucket < units ? *bucket : units;
}

uint64_t mh_usage_sum(struct mh_usage *u, uint64_t now_ns)
{
	uint64_t sum = 0;
	int i;

	advance(u, now_ns);
	for (i = 0; i < MH_USAGE_BUCKETS; i++)
		sum += u->units[i];
	return sum;
}

uint64_t mh_usage_bucket(struct mh_usage *u, uint32_t i, uint64_t now_ns,
			 uint32_t *age_ms)
{
	advance(u, now_ns);
	*age_ms = (uint32_t)(i * u->bucket_ns / MH_NS_PER_MS);
	return i > u->newest ? 0 : u->units[(u->newest - i) % MH_USAGE_BUCKETS];
}

uint32_t mh_usage_wait_ms(struct mh_usage *u, uint64_t max_sum, uint64_t now_ns)
{
	uint64_t sum = mh_usage_sum(u, now_ns), i;

	for (i = 1; sum > max_sum && i <= MH_USAGE_BUCKETS; i++)
		sum -= u->units[(u->newest + i) % MH_USAGE_BUCKETS];
	return (uint32_t)(i * u->bucket_ns / MH_NS_PER_MS);
}

void mh_retry_window_init(struct mh_retry_window *w, uint32_t span_ms)
{
	memset(w, 0, sizeof(*w));
	/* The newest bucket covers part of its time only, so the others have to
	 * cover the span. */
	w->bucket_ns = span_ms * MH_NS_PER_MS / (MH_RETRY_WINDOW_BUCKETS - 1);
}

static uint32_t newest_bucket(struct mh_retry_window *w, uint64_t now_ns)
{
	uint64_t newest = now_ns / w->bucket_ns, i;

	if (newest > w->newest + MH_RETRY_WINDOW_BUCKETS)
		w->newest = newest - MH_RETRY_WINDOW_BUCKETS;
	for (i = w->newest + 1; i <= newest; i++) {
		w->first_tries[i % MH_RETRY_WINDOW_BUCKETS] = 0;
		w->retries[i % MH_RETRY_WINDOW_BUCKETS] = 0;
	}
	if (newest > w->newest)
		w->newest = newest;
	return (uint32_t)(w->newest % MH_RETRY_WINDOW_BUCKETS);
}

void mh_retry_window_add_first_try(struct mh_retry_window *w, uint64_t now_ns)
{
	w->first_tries[newest_bucket(w, now_ns)]++;
}

bool mh_retry_window_reserve(struct mh_retry_window *w, double ratio,
			     double extra, uint64_t now_ns)
{
	uint32_t newest = newest_bucket(w, now_ns),
		 oldest = (newest + 1) % MH_RETRY_WINDOW_BUCKETS;
	uint32_t i;
	double first_tries = 0, retries = w->n_waiting;

	/* Err on the side of fewer retries: all buckets of retries cover at
	 * least the span, first tries without the oldest bucket at most the
	 * span. */
	for (i = 0; i < MH_RETRY_WINDOW_BUCKETS; i++) {
		retries += w->retries[i];
		if (i != oldest)
			first_tries += w->first_tries[i];
	}
	if (retries + 1 > RETRY_BUDGET_USED * (ratio * first_tries + extra))
		return false;
	w->n_waiting++;
	return true;
}

void mh_retry_window_sent(struct mh_retry_window *w, uint64_t now_ns)
{
	w->n_waiting--;
	w->retries[newest_bucket(w, now_ns)]++;
}

void mh_retry_window_give_up(struct mh_retry_window *w)
{
	w->n_waiting--;
}

bool mh_retry_window_take(struct mh_retry_window *w, double ratio, double extra,
			  uint64_t now_ns)
{
	if (!mh_retry_window_reserve(w, ratio, extra, now_ns))
		return false;
	mh_retry_window_sent(w, now_ns);
	return true;
}

void mh_retry_window_add_retries(struct mh_retry_window *w, uint64_t n,
				 uint64_t now_ns)
{
	w->retries[newest_bucket(w, now_ns)] += (uint32_t)n;
}
