/* Refuses waiting requests that are not expected to be served in time. */
#include <stdlib.h>
#include <string.h>

#include "core/check_alloc.h"
#include "core/dispatch_impl.h"

/* Fraction of a pool's capacity that a tier is assumed to get even if higher
 * tiers use all of it. */
#define MIN_CAPACITY_FRACTION 0.04
/* Expected wait at a service without any slot. */
#define NO_CAPACITY_WAIT_MS 1e9

void mh_dispatch_refuse(struct mh_dispatch *d, struct request *req,
			const struct mh_slot_refusal *why)
{
	uint32_t owner = (uint32_t)req->key.owner;
	uint64_t id = req->key.id;

	mh_dispatch_leave_queue(d, req);
	mh_dispatch_return_units(d, req);
	mh_dispatch_free_request(d, req);
	d->ops->refuse(d->data, owner, id, why);
}

/* Whether all servers of a pool have a limit. */
static bool are_all_limited(const struct pool *p)
{
	struct server *s, *tmp;
	bool any = false;

	HASH_ITER(hh, p->servers, s, tmp) {
		if (!mh_dispatch_server_takes_work(s))
			continue;
		if (s->limit.max_millihz == MH_NO_LIMIT)
			return false;
		any = true;
	}
	return any;
}

void mh_dispatch_refuse_late(struct mh_dispatch *d, struct request *req,
			     double wait_ms)
{
	struct mh_slot_refusal why = { .error = MH_ERR_OVERLOADED,
				       .wait_ms = (uint32_t)wait_ms };
	uint32_t ms;

	if (wait_ms > MH_RETRY_AFTER_MAX_MS)
		wait_ms = MH_RETRY_AFTER_MAX_MS;
	if (wait_ms < MH_RETRY_AFTER_MIN_MS)
		wait_ms = MH_RETRY_AFTER_MIN_MS;
	/* Jitter, so that requests refused together don't return together. */
	ms = (uint32_t)wait_ms;
	ms += (uint32_t)(mh_rng_next(&d->rng) % (ms / 2 + 1));
	if (d->conf.returning_first)
		ms = mh_dispatch_schedule_return(d, req, (uint32_t)wait_ms);
	if (req->over_quota)
		why.error = MH_ERR_ACCOUNT_LIMIT;
	else if (are_all_limited(req->pool))
		why.error = MH_ERR_SERVERS_LIMITED;
	why.retry_after_ms = ms;
	mh_dispatch_refuse(d, req, &why);
}

/**
 * struct capacity - what the servers of a pool can serve
 * @places: slots of servers with normal latency; a server with a limit counts as
 *          those that this many requests use
 * @wait_ms: time until a server takes the next request, if all have limits and
 *           none takes one now
 */
struct capacity {
	double places;
	double wait_ms;
};

static double sum_expected_ms(const struct mh_heap *heap)
{
	double ms = 0;
	uint32_t i;

	for (i = 0; i < heap->n; i++) {
		const struct request *req = heap->v[i];

		ms += mh_dispatch_expected_ms(req->pool, req);
	}
	return ms;
}

/* Mean expected run time of the requests that wait. */
static double mean_expected_ms(const struct pool *p)
{
	double ms = 0;
	uint32_t n = 0;
	int t;

	for (t = 0; t < MH_TIERS; t++) {
		const struct queue *queue = &p->queues[t];

		ms += sum_expected_ms(&queue->timely) +
		      sum_expected_ms(&queue->late);
		n += queue->timely.n + queue->late.n;
	}
	return n ? ms / n : 0;
}

static struct capacity capacity(const struct mh_dispatch *d, struct pool *p,
				uint64_t now_ns)
{
	double run_ms = mean_expected_ms(p), least_wait_ms = -1;
	bool all_limited = are_all_limited(p);
	struct capacity c = { 0 };
	struct server *s, *tmp;

	HASH_ITER(hh, p->servers, s, tmp) {
		double latency_ratio =
			s->latency_ratio > 1 ? s->latency_ratio : 1;
		double places, hz, wait_ms;

		if (!mh_dispatch_server_takes_work(s) ||
		    !mh_dispatch_version_serves(d, s))
			continue;
		places = mh_dispatch_server_slots(d, s) / latency_ratio;
		if (s->limit.max_millihz != MH_NO_LIMIT) {
			hz = mh_send_window_hz(
				mh_dispatch_limit_millihz(d, s, now_ns),
				d->n_sharing);
			if (places > hz * run_ms / MH_MS_PER_S)
				places = hz * run_ms / MH_MS_PER_S;
			wait_ms = mh_dispatch_limit_wait_ms(d, s, now_ns);
			if (least_wait_ms < 0 || wait_ms < least_wait_ms)
				least_wait_ms = wait_ms;
		}
		c.places += places;
	}
	if (all_limited && least_wait_ms > 0)
		c.wait_ms = least_wait_ms;
	return c;
}

static int by_target(const void *a, const void *b)
{
	const struct request *x = *(struct request *const *)a;
	const struct request *y = *(struct request *const *)b;

	return (x->target_ns > y->target_ns) - (x->target_ns < y->target_ns);
}

static int by_deadline(const void *a, const void *b)
{
	const struct request *x = *(struct request *const *)a;
	const struct request *y = *(struct request *const *)b;

	return mh_dispatch_goes_first(y, x) - mh_dispatch_goes_first(x, y);
}

static bool is_past(uint64_t now_ns, double in_ms, uint64_t limit_ns)
{
	return now_ns + (uint64_t)(in_ms * MH_NS_PER_MS) > limit_ns;
}

bool mh_dispatch_is_too_late(const struct request *req, double wait_ms,
			     uint64_t now_ns)
{
	double run_ms = mh_dispatch_expected_ms(req->pool, req);
	double first_ms = mh_dispatch_expected_first_ms(req->pool, req);

	return is_past(now_ns, wait_ms + run_ms, req->deadline_ns) ||
	       is_past(now_ns, wait_ms + first_ms, req->start_by_ns);
}

/* @begin_ms: time until the first of all waiting requests gets a slot.
 * Return: @ahead_ms plus the expected run times, in ms, of the requests that
 * remain in this heap. */
static double review_heap(struct mh_dispatch *d, struct mh_heap *heap,
			  int (*order)(const void *a, const void *b),
			  double ahead_ms, double places, double begin_ms,
			  uint64_t now_ns)
{
	uint32_t i, n = heap->n;
	void **v;

	if (!n)
		return ahead_ms;
	v = mh_check_alloc(malloc(n * sizeof(*v)));
	memcpy(v, heap->v, n * sizeof(*v));
	qsort(v, n, sizeof(*v), order);
	mh_dispatch_order_by_share(d, heap, v);
	for (i = 0; i < n; i++) {
		struct request *req = v[i];
		double wait_ms = places > 0 ? begin_ms + ahead_ms / places :
					      NO_CAPACITY_WAIT_MS;

		if (mh_dispatch_is_too_late(req, wait_ms, now_ns))
			mh_dispatch_refuse_late(d, req, wait_ms);
		else
			ahead_ms += mh_dispatch_expected_ms(req->pool, req);
	}
	free(v);
	return ahead_ms;
}

void mh_dispatch_review(struct mh_dispatch *d, struct pool *p, uint64_t now_ns)
{
	struct capacity c = capacity(d, p, now_ns);
	double left = c.places, ahead_ms = 0, least = c.places;
	int t;

	/* A rejection uses up the client's only retry. So where retries are
	 * remembered, requests are rejected only if they can't be served even
	 * without further urgent ones: bursts end before most deadlines. */
	if (!d->conf.returning_first)
		least *= MIN_CAPACITY_FRACTION;

	for (t = 0; t < MH_TIERS; t++) {
		struct queue *queue = &p->queues[t];

		if (left < least)
			left = least;
		ahead_ms = review_heap(d, &queue->timely, by_target, ahead_ms,
				       left, c.wait_ms, now_ns);
		ahead_ms = review_heap(d, &queue->late, by_deadline, ahead_ms,
				       left, c.wait_ms, now_ns);
		left -= queue->arrivals_per_s * queue->hold_ms / MH_MS_PER_S;
	}
}
