/* Clients that come back after a rejection for lack of room. */
#include "core/dispatch_impl.h"

/* Clients honour Retry-After up to this part of their remaining time. */
#define RETRY_PART 3

bool mh_dispatch_goes_first(const struct request *a, const struct request *b)
{
	if (a->is_returning != b->is_returning)
		return a->is_returning;
	return a->deadline_ns < b->deadline_ns;
}

void mh_dispatch_note_return(struct mh_dispatch *d, struct request *req)
{
	struct mh_returning_request known;
	enum mh_return how;

	if (!d->conf.returning_first || req->n_avoid)
		return;
	how = mh_returning_take(d->returning, req->features->request,
				mh_dispatch_now_ns(d), &known);
	if (how == MH_RETURN_NONE)
		return;
	req->has_returned = true;
	req->is_returning = how == MH_RETURN_ON_TIME;
	/* The client's target counts from its first attempt. */
	if (known.target_ns < req->target_ns)
		req->target_ns = known.target_ns;
}

/* Time in which the pool serves one request of this size. */
static uint64_t spacing_ns(const struct mh_dispatch *d,
			   const struct request *req)
{
	const struct server *s, *tmp;
	uint32_t places = 0;

	HASH_ITER(hh, req->pool->servers, s, tmp) {
		if (mh_dispatch_server_takes_work(s))
			places += mh_dispatch_server_slots(d, s);
	}
	return (uint64_t)(mh_dispatch_expected_ms(req->pool, req) *
			  MH_NS_PER_MS / (places ? places : 1));
}

uint32_t mh_dispatch_schedule_return(struct mh_dispatch *d,
				     const struct request *req,
				     uint32_t wait_ms)
{
	uint64_t now_ns = mh_dispatch_now_ns(d), until_ns;
	struct mh_returning_request back = {
		.fingerprint = req->features->request,
		.lane = mh_dispatch_hash(req->pool->name) + req->tier,
		.target_ns = req->target_ns,
	};
	uint32_t ms;

	if (req->has_returned)
		return wait_ms;
	until_ns = now_ns + MH_RETRY_AFTER_MIN_MS * MH_NS_PER_MS;
	if (req->deadline_ns > now_ns &&
	    until_ns < now_ns + (req->deadline_ns - now_ns) / RETRY_PART)
		until_ns = now_ns + (req->deadline_ns - now_ns) / RETRY_PART;
	back.told_ns = mh_returning_schedule(d->returning, back.lane,
					     now_ns + wait_ms * MH_NS_PER_MS,
					     until_ns, spacing_ns(d, req));
	ms = (uint32_t)((back.told_ns - now_ns) / MH_NS_PER_MS);
	/* Clients come back through another entry. */
	if (d->n_sharing == 1)
		mh_returning_add(d->returning, &back, now_ns);
	return ms;
}
