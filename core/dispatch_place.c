/* Gives free slots to waiting requests, the most urgent tier first. */
#include <stdlib.h>

#include "core/dispatch_impl.h"

/* Requests that are set aside in one pass over a pool. */
#define MAX_SET_ASIDE 32

/* Moves requests that can no longer meet their target behind those that can. */
static void move_late_to_back(const struct mh_dispatch *d, struct queue *queue,
			      uint64_t now_ns)
{
	struct request *req;

	while ((req = mh_heap_min(&queue->timely)) &&
	       req->target_ns <= now_ns) {
		mh_dispatch_share_remove(queue, req);
		mh_heap_remove(&queue->timely, req);
		req->late = true;
		mh_dispatch_enter_queue(d, req);
	}
}

static void place(struct mh_dispatch *d, struct request *req, struct server *s,
		  uint64_t now_ns)
{
	mh_dispatch_share_charge(req);
	mh_dispatch_leave_queue(d, req);
	mh_dispatch_report_limited(d, req, now_ns);
	req->placed_ns = now_ns;
	if (req->has_waiting_retry)
		mh_retry_window_sent(&req->pool->retry_window, now_ns);
	req->has_waiting_retry = false;
	mh_send_window_add(&s->sends, 1, 0, now_ns);
	mh_dispatch_begin_trials(d, req, now_ns);
	mh_dispatch_open_run(d, req);
	mh_dispatch_take_slot(s, req);
	mh_dispatch_note_version(d, req, true);
	d->ops->grant(d->data, (uint32_t)req->key.owner, req->key.id, &s->info);
}

/* Requests that wait for a faster server while slower ones have free slots. */
struct set_aside {
	struct request *requests[MAX_SET_ASIDE];
	uint32_t n;
};

static bool set_aside(struct mh_dispatch *d, struct request *req,
		      const struct server *free, struct set_aside *aside,
		      uint64_t now_ns)
{
	if (aside->n == MAX_SET_ASIDE ||
	    !mh_dispatch_awaits_faster(d, req, free, aside->n, now_ns))
		return false;
	mh_dispatch_leave_queue(d, req);
	aside->requests[aside->n++] = req;
	return true;
}

/* Return: whether less urgent requests may be placed. */
static bool place_tier(struct mh_dispatch *d, struct pool *p,
		       struct queue *queue, struct set_aside *aside,
		       uint64_t now_ns)
{
	move_late_to_back(d, queue, now_ns);
	for (;;) {
		struct request *req = mh_dispatch_next(d, p, queue);
		struct server *s;

		if (!req)
			return true;
		if (req->deadline_ns <= now_ns || req->start_by_ns <= now_ns) {
			mh_dispatch_refuse_late(d, req, MH_RETRY_AFTER_MIN_MS);
			continue;
		}
		if (mh_dispatch_refuse_crashing(d, req))
			continue;
		s = mh_dispatch_pick(d, p, req, now_ns);
		if (s && set_aside(d, req, s, aside, now_ns))
			continue;
		if (s) {
			place(d, req, s, now_ns);
		} else if (mh_dispatch_is_suspect(d, req, now_ns)) {
			mh_dispatch_park(d, req);
		} else if (!mh_dispatch_hold_back(d, req, now_ns)) {
			mh_dispatch_note_limited(d, req, now_ns);
			return false;
		}
	}
}

void mh_dispatch_place_waiting(struct mh_dispatch *d, struct pool *p,
			       uint64_t now_ns)
{
	struct set_aside aside = { 0 };
	int t;

	for (t = 0; t < MH_TIERS; t++) {
		if (!place_tier(d, p, &p->queues[t], &aside, now_ns))
			break;
	}
	while (aside.n)
		mh_dispatch_enter_queue(d, aside.requests[--aside.n]);
}
