/* Shares of client accounts in the slots of a service, within each tier. */
#include <stdlib.h>

#include "core/check_alloc.h"
#include "core/dispatch_impl.h"

/* Accounts whose use differs by less than this time of all slots count as even;
 * their requests go by target. */
#define ROUND_MS 100.0

static bool target_first(const void *a, const void *b)
{
	return ((const struct request *)a)->target_ns <
	       ((const struct request *)b)->target_ns;
}

static bool deadline_first(const void *a, const void *b)
{
	return mh_dispatch_goes_first(a, b);
}

static const struct mh_account_share_order share_order = {
	target_first, deadline_first, offsetof(struct request, share_index)
};

void mh_dispatch_share_add(const struct mh_dispatch *d,
			   const struct queue *queue, struct request *req)
{
	if (queue->shares)
		mh_account_shares_add(queue->shares, req->account,
				      mh_dispatch_quota_rate(d, req->account),
				      req, req->late);
}

void mh_dispatch_share_remove(const struct queue *queue, struct request *req)
{
	if (queue->shares)
		mh_account_shares_remove(queue->shares, req->account, req,
					 req->late);
}

static void share_heap(const struct mh_dispatch *d, const struct queue *queue,
		       const struct mh_heap *heap)
{
	uint32_t i;

	for (i = 0; i < heap->n; i++)
		mh_dispatch_share_add(d, queue, heap->v[i]);
}

void mh_dispatch_update_shares(const struct mh_dispatch *d, struct pool *p)
{
	int t;

	for (t = 0; t < MH_TIERS; t++) {
		struct queue *queue = &p->queues[t];

		if (d->conf.account_shares == (queue->shares != NULL))
			continue;
		mh_account_shares_free(queue->shares);
		queue->shares = NULL;
		if (!d->conf.account_shares)
			continue;
		queue->shares = mh_account_shares_new(&share_order);
		share_heap(d, queue, &queue->timely);
		share_heap(d, queue, &queue->late);
	}
}

/* Virtual time of a round of the accounts that wait: all slots are used for
 * ROUND_MS. */
static double round_of(const struct mh_dispatch *d, const struct pool *p,
		       const struct queue *queue)
{
	uint32_t n = mh_account_shares_waiting(queue->shares), places = 0;
	struct server *s, *tmp;

	HASH_ITER(hh, p->servers, s, tmp)
		places += mh_dispatch_server_slots(d, s);
	return ROUND_MS * (places ? places : 1) / (n ? n : 1);
}

struct request *mh_dispatch_next(const struct mh_dispatch *d,
				 const struct pool *p,
				 const struct queue *queue)
{
	struct request *req;

	/* With a single account, its order is that of the queue. */
	if (queue->shares && mh_account_shares_waiting(queue->shares) > 1) {
		double round = round_of(d, p, queue);

		req = mh_account_shares_next(queue->shares, round, false);
		return req ? req :
			     mh_account_shares_next(queue->shares, round, true);
	}
	req = mh_heap_min(&queue->timely);
	return req ? req : mh_heap_min(&queue->late);
}

void mh_dispatch_share_charge(struct request *req)
{
	struct queue *queue = &req->pool->queues[req->tier];

	if (queue->shares)
		req->share_vtime = mh_account_shares_charge(
			queue->shares, req->account,
			mh_dispatch_expected_ms(req->pool, req));
}

void mh_dispatch_share_refund(const struct request *req)
{
	const struct queue *queue = &req->pool->queues[req->tier];

	if (queue->shares)
		mh_account_shares_refund(queue->shares, req->account,
					 req->share_vtime);
}

uint32_t mh_dispatch_waiting_accounts(const struct pool *p)
{
	uint32_t most = 0, n;
	int t;

	for (t = 0; t < MH_TIERS; t++) {
		if (!p->queues[t].shares)
			continue;
		n = mh_account_shares_waiting(p->queues[t].shares);
		if (n > most)
			most = n;
	}
	return most;
}

struct planned {
	struct request *req;
	uint64_t round;
	uint32_t position;
};

static int by_round(const void *a, const void *b)
{
	const struct planned *x = a, *y = b;

	if (x->round != y->round)
		return x->round > y->round ? 1 : -1;
	return (x->position > y->position) - (x->position < y->position);
}

void mh_dispatch_order_by_share(const struct mh_dispatch *d,
				const struct mh_heap *heap, void **v)
{
	struct request *first = v[0];
	const struct queue *queue = &first->pool->queues[first->tier];
	struct planned *planned;
	double round;
	uint32_t i;

	if (!queue->shares || mh_account_shares_waiting(queue->shares) < 2)
		return;
	/* Late requests go on from where the timely ones end. */
	if (heap == &queue->timely || !queue->timely.n)
		mh_account_shares_begin_plan(queue->shares);
	round = round_of(d, first->pool, queue);
	planned = mh_check_alloc(malloc(heap->n * sizeof(*planned)));
	for (i = 0; i < heap->n; i++) {
		struct request *req = v[i];
		double vtime = mh_account_shares_plan(
			queue->shares, req->account,
			mh_dispatch_expected_ms(req->pool, req));

		planned[i] =
			(struct planned){ req, (uint64_t)(vtime / round), i };
	}
	qsort(planned, heap->n, sizeof(*planned), by_round);
	for (i = 0; i < heap->n; i++)
		v[i] = planned[i].req;
	free(planned);
}
