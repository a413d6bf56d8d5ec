#include "core/wait_queue.h"

#include <stdlib.h>
#include <string.h>

/* Virtual time advances by cost * VTIME_SCALE / share. */
#define VTIME_SCALE 1024

/* Empty account queues kept per tier. At this number, those that the tier's
 * virtual time has caught up with are freed. */
#define MAX_IDLE_QUEUES 256

/* Weight of the newest run in the average costs. */
#define EWMA_WEIGHT 0.05

static bool earlier(const void *a, const void *b)
{
	const struct mh_waiter *x = a, *y = b;

	return x->deadline_ns < y->deadline_ns;
}

static bool less_served(const void *a, const void *b)
{
	const struct mh_account_queue *x = a, *y = b;

	return x->vtime < y->vtime;
}

struct mh_wait_queue *mh_wait_queue_new(const char *pool, const char *model)
{
	struct mh_wait_queue *wait_queue = calloc(1, sizeof(*wait_queue));
	size_t i;

	if (!wait_queue)
		return NULL;
	wait_queue->pool = strdup(pool);
	wait_queue->model = strdup(model);
	for (i = 0; i < MH_MAX_TIERS; i++) {
		mh_heap_init(&wait_queue->tiers[i].by_deadline, earlier,
			     offsetof(struct mh_waiter, tier_index));
		mh_heap_init(&wait_queue->tiers[i].active, less_served,
			     offsetof(struct mh_account_queue, active_index));
	}
	return wait_queue;
}

static void free_queue(struct mh_wait_queue_tier *tier,
		       struct mh_account_queue *q)
{
	HASH_DEL(tier->queues, q);
	mh_heap_release(&q->waiters);
	free(q->account);
	free(q);
}

void mh_wait_queue_free(struct mh_wait_queue *wait_queue)
{
	struct mh_account_queue *q, *tmp;
	size_t i;

	if (!wait_queue)
		return;
	for (i = 0; i < MH_MAX_TIERS; i++) {
		struct mh_wait_queue_tier *tier = &wait_queue->tiers[i];

		HASH_ITER(hh, tier->queues, q, tmp)
			free_queue(tier, q);
		mh_heap_release(&tier->by_deadline);
		mh_heap_release(&tier->active);
	}
	free(wait_queue->pool);
	free(wait_queue->model);
	free(wait_queue);
}

static void drop_idle_queues(struct mh_wait_queue_tier *tier)
{
	struct mh_account_queue *q, *tmp;

	if (HASH_COUNT(tier->queues) < tier->active.n + MAX_IDLE_QUEUES)
		return;
	HASH_ITER(hh, tier->queues, q, tmp) {
		if (!q->waiters.n && q->vtime <= tier->vtime)
			free_queue(tier, q);
	}
}

static struct mh_account_queue *get_queue(struct mh_wait_queue_tier *tier,
					  const char *account)
{
	struct mh_account_queue *q;

	HASH_FIND_STR(tier->queues, account, q);
	if (q)
		return q;
	drop_idle_queues(tier);
	q = calloc(1, sizeof(*q));
	if (!q)
		return NULL;
	q->account = strdup(account);
	q->active_index = MH_HEAP_NONE;
	mh_heap_init(&q->waiters, earlier,
		     offsetof(struct mh_waiter, queue_index));
	HASH_ADD_KEYPTR(hh, tier->queues, q->account, strlen(q->account), q);
	return q;
}

bool mh_wait_queue_add(struct mh_wait_queue *wait_queue, struct mh_waiter *w)
{
	struct mh_wait_queue_tier *tier = &wait_queue->tiers[w->tier];
	struct mh_account_queue *q = get_queue(tier, w->account);

	w->tier_index = MH_HEAP_NONE;
	w->queue_index = MH_HEAP_NONE;
	if (!q)
		return false;
	if (!mh_heap_add(&tier->by_deadline, w))
		return false;
	if (!mh_heap_add(&q->waiters, w)) {
		mh_heap_remove(&tier->by_deadline, w);
		return false;
	}
	w->queue = q;
	if (q->waiters.n == 1) {
		/* An account gets no credit for the time it was idle. */
		if (q->vtime < tier->vtime)
			q->vtime = tier->vtime;
		mh_heap_add(&tier->active, q);
	}
	tier->cost_tokens += w->cost_tokens;
	wait_queue->count++;
	return true;
}

void mh_wait_queue_remove(struct mh_wait_queue *wait_queue, struct mh_waiter *w)
{
	struct mh_wait_queue_tier *tier = &wait_queue->tiers[w->tier];

	mh_heap_remove(&tier->by_deadline, w);
	mh_heap_remove(&w->queue->waiters, w);
	if (!w->queue->waiters.n)
		mh_heap_remove(&tier->active, w->queue);
	w->queue = NULL;
	tier->cost_tokens -= w->cost_tokens;
	wait_queue->count--;
}

void mh_wait_queue_serve(struct mh_wait_queue *wait_queue, struct mh_waiter *w)
{
	struct mh_wait_queue_tier *tier = &wait_queue->tiers[w->tier];
	struct mh_account_queue *q = w->queue;
	uint64_t cost = w->cost_tokens ? w->cost_tokens : 1;
	uint32_t share = w->share ? w->share : 1;

	if (tier->vtime < q->vtime)
		tier->vtime = q->vtime;
	mh_wait_queue_remove(wait_queue, w);
	q->vtime += cost * VTIME_SCALE / share;
	if (q->waiters.n)
		mh_heap_update(&tier->active, q);
}

static void ewma_update(double *value, double sample, bool first)
{
	*value += (first ? 1 : EWMA_WEIGHT) * (sample - *value);
}

void mh_wait_queue_update_costs(struct mh_wait_queue *wait_queue,
				uint64_t first_ns, uint64_t rest_ns,
				uint32_t prompt_tokens,
				uint32_t requested_tokens,
				uint32_t received_tokens)
{
	struct mh_run_costs *c = &wait_queue->costs;
	bool first;

	if (!prompt_tokens || !requested_tokens || !received_tokens)
		return;
	first = !c->samples++;
	ewma_update(&c->prompt_token_ns, (double)first_ns / prompt_tokens,
		    first);
	ewma_update(&c->output_token_ns, (double)rest_ns / received_tokens,
		    first);
	ewma_update(&c->output_ratio,
		    (double)received_tokens / requested_tokens, first);
}

struct mh_waiter *mh_wait_queue_next(const struct mh_wait_queue *wait_queue,
				     uint8_t lowest_tier)
{
	uint8_t i;

	for (i = 0; i < MH_MAX_TIERS && i <= lowest_tier; i++) {
		struct mh_account_queue *q =
			mh_heap_min(&wait_queue->tiers[i].active);

		if (q)
			return mh_heap_min(&q->waiters);
	}
	return NULL;
}

struct mh_waiter *mh_wait_queue_victim(const struct mh_wait_queue *wait_queue,
				       uint8_t tier)
{
	int i;

	for (i = MH_MAX_TIERS - 1; i > (int)tier; i--) {
		struct mh_waiter *w =
			mh_heap_any_leaf(&wait_queue->tiers[i].by_deadline);

		if (w)
			return w;
	}
	return NULL;
}

uint32_t mh_wait_queue_count(const struct mh_wait_queue *wait_queue,
			     uint8_t tier)
{
	return wait_queue->tiers[tier].by_deadline.n;
}

uint64_t mh_wait_queue_deadline_ns(const struct mh_wait_queue *wait_queue,
				   uint8_t tier)
{
	struct mh_waiter *w = mh_heap_min(&wait_queue->tiers[tier].by_deadline);

	return w ? w->deadline_ns : UINT64_MAX;
}
