/*
 * Limits of servers: each takes so many requests a second from all entries, as it
 * states in its responses. One dispatcher grants all slots, so that it can keep
 * them; while there is none, each entry keeps a part.
 */
#include "core/dispatch_impl.h"

/* What the server got lately is not known, so that it begins as one that got all
 * that its limit allows. */
void mh_dispatch_begin_limit(struct mh_dispatch *d, struct server *s)
{
	struct mh_server_ref ref = { s->info.id, s->info.address,
				     s->info.born_ms };
	const struct mh_server_notice *notice =
		mh_server_notices_find(d->limits, &ref);

	if (!notice || notice->limit.max_millihz == MH_NO_LIMIT)
		return;
	s->limit = notice->limit;
	s->limited_ns = mh_dispatch_now_ns(d);
	mh_send_window_fill(&s->sends, s->limit.max_millihz, d->n_sharing,
			    s->limited_ns);
}

enum mh_limit_change
mh_dispatch_server_limit(struct mh_dispatch *d,
			 const struct mh_server_ref *server,
			 const struct mh_server_limit *stated)
{
	struct server *s = mh_dispatch_find_server(d, server->id);
	uint64_t now_ns = mh_dispatch_now_ns(d);
	enum mh_limit_change change;
	bool was_limited;

	if (s && s->info.born_ms > server->born_ms)
		return MH_LIMIT_UNCHANGED;
	change = mh_server_notices_update_limit(d->limits, server, stated);
	if (!s)
		return change;
	was_limited = s->limit.max_millihz != MH_NO_LIMIT;
	change = mh_server_limit_update(&s->limit, stated);
	if (change != MH_LIMIT_CHANGED)
		return change;
	/* A limit that comes and goes takes all into account. */
	if (!was_limited &&
	    (!s->limited_ns ||
	     now_ns > s->limited_ns + MH_SEND_WINDOW_MS * MH_NS_PER_MS))
		mh_send_window_begin_limit(&s->sends, s->limit.max_millihz,
					   d->n_sharing, now_ns);
	s->limited_ns = now_ns;
	d->review = true;
	return change;
}

uint32_t mh_dispatch_limit_millihz(const struct mh_dispatch *d,
				   const struct server *s, uint64_t now_ns)
{
	if (s->limit.max_millihz == MH_NO_LIMIT)
		return MH_NO_LIMIT;
	return (uint32_t)(s->limit.max_millihz *
			  mh_dispatch_granted_part(d, now_ns));
}

/* A request that no server takes now: whether that is for limits alone. */
void mh_dispatch_note_limited(const struct mh_dispatch *d, struct request *req,
			      uint64_t now_ns)
{
	struct server *s, *tmp;

	if (req->limited_ns)
		return;
	HASH_ITER(hh, req->pool->servers, s, tmp) {
		if (!mh_dispatch_limit_wait_ms(d, s, now_ns))
			continue;
		req->limited_ns = now_ns;
		return;
	}
}

void mh_dispatch_report_limited(struct mh_dispatch *d,
				const struct request *req, uint64_t now_ns)
{
	if (req->limited_ns && d->ops->limited)
		d->ops->limited(
			d->data, (uint32_t)req->key.owner, req->key.id,
			(uint32_t)((now_ns - req->limited_ns) / MH_NS_PER_MS));
}
