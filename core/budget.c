#include "core/budget.h"

#include <string.h>

#include "core/clock.h"

/* Part of the retry budget that is used. Repeats reach their servers up to some
 * 100 ms after they were let through, so that a window there holds others than
 * the one that was counted: 1 and 2 in 100 too many, seen by the soak. */
#define RETRY_BUDGET_USED 0.95

void mh_usage_init(struct mh_usage *u, uint32_t span_ms)
{
	memset(u, 0, sizeof(*u));
	/* The newest slot is not full yet: the others cover the span. */
	u->slot_ns = span_ms * MH_NS_PER_MS / (MH_USAGE_BUCKETS - 1);
}

static void advance(struct mh_usage *u, uint64_t now_ns)
{
	uint64_t at = now_ns / u->slot_ns, i;

	if (at > u->at + MH_USAGE_BUCKETS)
		u->at = at - MH_USAGE_BUCKETS;
	for (i = u->at + 1; i <= at; i++)
		u->units[i % MH_USAGE_BUCKETS] = 0;
	if (at > u->at)
		u->at = at;
}

/* Return: the slot of a time past, or NULL if the window has left it. */
static uint64_t *slot_of(struct mh_usage *u, uint32_t age_ms, uint64_t now_ns)
{
	uint64_t age = age_ms * MH_NS_PER_MS / u->slot_ns;

	advance(u, now_ns);
	if (age >= MH_USAGE_BUCKETS || age > u->at)
		return NULL;
	return &u->units[(u->at - age) % MH_USAGE_BUCKETS];
}

void mh_usage_add(struct mh_usage *u, uint64_t units, uint32_t age_ms,
		  uint64_t now_ns)
{
	uint64_t *slot = slot_of(u, age_ms, now_ns);

	if (slot)
		*slot += units;
}

void mh_usage_refund(struct mh_usage *u, uint64_t units, uint32_t age_ms,
		     uint64_t now_ns)
{
	uint64_t *slot = slot_of(u, age_ms, now_ns);

	if (slot)
		*slot -= *slot < units ? *slot : units;
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
	*age_ms = (uint32_t)(i * u->slot_ns / MH_NS_PER_MS);
	return i > u->at ? 0 : u->units[(u->at - i) % MH_USAGE_BUCKETS];
}

uint32_t mh_usage_wait_ms(struct mh_usage *u, uint64_t to, uint64_t now_ns)
{
	uint64_t sum = mh_usage_sum(u, now_ns), i;

	for (i = 1; sum > to && i <= MH_USAGE_BUCKETS; i++)
		sum -= u->units[(u->at + i) % MH_USAGE_BUCKETS];
	return (uint32_t)(i * u->slot_ns / MH_NS_PER_MS);
}

void mh_retry_window_init(struct mh_retry_window *w, uint32_t span_ms)
{
	memset(w, 0, sizeof(*w));
	/* The newest slot is not full yet: the others cover the span. */
	w->slot_ns = span_ms * MH_NS_PER_MS / (MH_RETRY_WINDOW_BUCKETS - 1);
}

static uint32_t slot_at(struct mh_retry_window *w, uint64_t now_ns)
{
	uint64_t at = now_ns / w->slot_ns, i;

	if (at > w->at + MH_RETRY_WINDOW_BUCKETS)
		w->at = at - MH_RETRY_WINDOW_BUCKETS;
	for (i = w->at + 1; i <= at; i++) {
		w->first[i % MH_RETRY_WINDOW_BUCKETS] = 0;
		w->again[i % MH_RETRY_WINDOW_BUCKETS] = 0;
	}
	if (at > w->at)
		w->at = at;
	return (uint32_t)(w->at % MH_RETRY_WINDOW_BUCKETS);
}

void mh_retry_window_add_first_try(struct mh_retry_window *w, uint64_t now_ns)
{
	w->first[slot_at(w, now_ns)]++;
}

bool mh_retry_window_take(struct mh_retry_window *w, double ratio, double extra,
			  uint64_t now_ns)
{
	uint32_t at = slot_at(w, now_ns),
		 oldest = (at + 1) % MH_RETRY_WINDOW_BUCKETS;
	uint32_t i;
	double first = 0, again = 0;

	/* Repeats of at least the span, requests of at most the span. */
	for (i = 0; i < MH_RETRY_WINDOW_BUCKETS; i++) {
		again += w->again[i];
		if (i != oldest)
			first += w->first[i];
	}
	if (again + 1 > RETRY_BUDGET_USED * (ratio * first + extra))
		return false;
	w->again[at]++;
	return true;
}

void mh_retry_window_add_retries(struct mh_retry_window *w, uint64_t n,
				 uint64_t now_ns)
{
	w->again[slot_at(w, now_ns)] += (uint32_t)n;
}
