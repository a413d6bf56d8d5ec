#include "core/hedge.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/check_alloc.h"
#include "core/clock.h"
#include "core/sliding_window.h"

/* Fraction of the requests of a kind that may begin later than the trigger: it
 * is their 95th percentile. */
#define LATE_FRACTION 0.05
/* Below this number the percentile is determined by one or two requests. */
#define MIN_OBSERVATIONS 60
/* The observations of the present period and the one before count, so that the
 * percentile follows the load within one to two of them. */
#define PERIOD_NS (5000 * MH_NS_PER_MS)
/* Buckets of ratios: each octave from the lowest ratio on has eight of the same
 * width. All ratios above the last octave share the last bucket. */
#define BUCKETS_PER_OCTAVE 8
#define LOWEST_RATIO 0.0625
#define N_BUCKETS (12 * BUCKETS_PER_OCTAVE)
/* Routes of a service whose percentiles are kept; all further ones share the
 * kind 0. */
#define MAX_KINDS 64
/* Part of the slots that has to be free. */
#define MIN_FREE_FRACTION 0.1

struct histogram {
	uint32_t n;
	uint32_t counts[N_BUCKETS];
};

/* Observations of a kind: those of the present period, of the one before, and
 * requests that wait for their first byte. */
struct kind {
	uint64_t id;
	struct histogram present, former, pending;
	UT_hash_handle hh;
};

struct mh_hedges {
	struct kind *kinds;
	uint64_t period; /* number of the present one */
	/* Counts requests as first tries and hedged ones as retries. */
	struct mh_retry_window window;
};

struct mh_hedges *mh_hedges_new(uint32_t window_ms)
{
	struct mh_hedges *h = mh_check_alloc(calloc(1, sizeof(*h)));

	mh_retry_window_init(&h->window, window_ms);
	return h;
}

void mh_hedges_free(struct mh_hedges *h)
{
	struct kind *k, *tmp;

	if (!h)
		return;
	HASH_ITER(hh, h->kinds, k, tmp) {
		/* The analyzer does not follow uthash's deletion macros. */
		/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
		HASH_DEL(h->kinds, k);
		free(k);
	}
	free(h);
}

static struct kind *lookup(const struct mh_hedges *h, uint64_t id)
{
	struct kind *k;

	HASH_FIND(hh, h->kinds, &id, sizeof(id), k);
	return k;
}

static struct kind *find_kind(const struct mh_hedges *h, uint64_t id)
{
	struct kind *k = lookup(h, id);

	return k || HASH_COUNT(h->kinds) < MAX_KINDS ? k : lookup(h, 0);
}

static struct kind *get_kind(struct mh_hedges *h, uint64_t id)
{
	struct kind *k = find_kind(h, id);

	if (k)
		return k;
	k = mh_check_alloc(calloc(1, sizeof(*k)));
	k->id = HASH_COUNT(h->kinds) < MAX_KINDS ? id : 0;
	HASH_ADD(hh, h->kinds, id, sizeof(k->id), k);
	return k;
}

static uint32_t bucket_of(double ratio)
{
	uint32_t octave_begin = 0;

	ratio /= LOWEST_RATIO;
	if (!(ratio >= 1))
		return 0;
	while (ratio >= 2 && octave_begin < N_BUCKETS) {
		ratio /= 2;
		octave_begin += BUCKETS_PER_OCTAVE;
	}
	if (octave_begin >= N_BUCKETS)
		return N_BUCKETS - 1;
	return octave_begin + (uint32_t)((ratio - 1) * BUCKETS_PER_OCTAVE);
}

static void add(struct histogram *g, double ratio)
{
	g->n++;
	g->counts[bucket_of(ratio)]++;
}

static uint32_t count_from(const struct histogram *g, uint32_t bucket)
{
	uint32_t n = 0;

	for (; bucket < N_BUCKETS; bucket++)
		n += g->counts[bucket];
	return n;
}

static void advance(struct mh_hedges *h, uint64_t now_ns)
{
	uint64_t period = now_ns / PERIOD_NS;
	struct kind *k, *tmp;

	if (period == h->period)
		return;
	HASH_ITER(hh, h->kinds, k, tmp) {
		if (period == h->period + 1)
			k->former = k->present;
		else
			memset(&k->former, 0, sizeof(k->former));
		memset(&k->present, 0, sizeof(k->present));
	}
	h->period = period;
}

void mh_hedges_observe(struct mh_hedges *h, uint64_t kind, double ratio,
		       uint64_t now_ns)
{
	advance(h, now_ns);
	add(&get_kind(h, kind)->present, ratio);
}

void mh_hedges_begin_review(struct mh_hedges *h, uint64_t now_ns)
{
	struct kind *k, *tmp;

	advance(h, now_ns);
	HASH_ITER(hh, h->kinds, k, tmp) {
		if (k->pending.n)
			memset(&k->pending, 0, sizeof(k->pending));
	}
}

void mh_hedges_add_pending(struct mh_hedges *h, uint64_t kind, double ratio)
{
	struct kind *k = find_kind(h, kind);

	/* Without any observation nothing is late. */
	if (k)
		add(&k->pending, ratio);
}

bool mh_hedges_is_late(const struct mh_hedges *h, uint64_t kind, double ratio)
{
	const struct kind *k = find_kind(h, kind);
	uint32_t bucket = bucket_of(ratio), late, pending;

	if (!k || k->present.n + k->former.n < MIN_OBSERVATIONS)
		return false;
	/* A younger pending request may begin in time or not: it tells nothing. */
	pending = count_from(&k->pending, bucket);
	late = count_from(&k->present, bucket) +
	       count_from(&k->former, bucket) + pending;
	return late <=
	       LATE_FRACTION * (k->present.n + k->former.n + (double)pending);
}

bool mh_hedge_load_allows(const struct mh_hedge_load *load)
{
	return !load->has_waiting && load->free_slots &&
	       load->free_slots >= MIN_FREE_FRACTION * load->slots;
}

void mh_hedges_add_request(struct mh_hedges *h, uint64_t now_ns)
{
	mh_retry_window_add_first_try(&h->window, now_ns);
}

void mh_hedges_add_reported(struct mh_hedges *h, uint64_t n, uint64_t now_ns)
{
	mh_retry_window_add_retries(&h->window, n, now_ns);
}

bool mh_hedges_reserve(struct mh_hedges *h, const struct mh_hedge_limit *limit,
		       uint64_t now_ns)
{
	return mh_retry_window_reserve(&h->window, limit->share, limit->extra,
				       now_ns);
}

void mh_hedges_confirm(struct mh_hedges *h, uint64_t now_ns)
{
	mh_retry_window_sent(&h->window, now_ns);
}

void mh_hedges_give_up(struct mh_hedges *h)
{
	mh_retry_window_give_up(&h->window);
}
