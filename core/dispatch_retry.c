/*
 * Retry budget: requests that ran at a server go to another one only while the
 * retries of all entries are few. One that waits counts from then on, and counts for
 * the window from the time at which it is sent.
 */
#include "core/dispatch_impl.h"

/*
 * Before its first full window a dispatcher allows no extra retries: its former
 * incarnation may have used them up, and its retries are not known if all
 * processes were killed. An entry's share of them grows over a window once its
 * dispatcher is lost, which leaves it to the entry as slowly.
 */
double mh_dispatch_granted_extra(const struct mh_dispatch *d, double extra,
				 uint64_t now_ns)
{
	uint64_t window_ns = d->conf.retry_window_ms * MH_NS_PER_MS;

	if (now_ns < d->began_ns + window_ns)
		return 0;
	extra *= mh_dispatch_granted_part(d, now_ns) / d->n_sharing;
	if (now_ns < d->share_began_ns + window_ns)
		extra *= (double)(now_ns - d->share_began_ns) /
			 (double)window_ns;
	return extra;
}

static double extra_retries(const struct mh_dispatch *d, uint64_t now_ns)
{
	return mh_dispatch_granted_extra(d, d->conf.retry_extra, now_ns);
}

bool mh_dispatch_take_retry(struct mh_dispatch *d, struct pool *p)
{
	uint64_t now_ns = mh_dispatch_now_ns(d);

	return mh_retry_window_take(&p->retry_window, d->conf.retry_ratio,
				    extra_retries(d, now_ns), now_ns);
}

bool mh_dispatch_is_charged_retry(const struct mh_slot_request *slot_req)
{
	return slot_req->is_repeat && !slot_req->is_moved;
}

bool mh_dispatch_reserve_retry(struct mh_dispatch *d, struct pool *p)
{
	uint64_t now_ns = mh_dispatch_now_ns(d);

	return mh_retry_window_reserve(&p->retry_window, d->conf.retry_ratio,
				       extra_retries(d, now_ns), now_ns);
}
