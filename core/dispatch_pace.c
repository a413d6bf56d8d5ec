/* Requests that wait for a slot of a faster server while slower ones are free. */
#include "core/dispatch_impl.h"

/* A server counts as faster than another one up to this ratio of the times between
 * two events. */
#define FASTER 0.67

double mh_dispatch_record_pace(const struct request *req, uint32_t total_ms)
{
	uint32_t stream_ms =
		total_ms > req->first_ms ? total_ms - req->first_ms : 0;

	return mh_server_pace_record(&req->server->pace, &req->pool->pace,
				     stream_ms, req->events,
				     req->expected_tokens);
}

/* Servers that are faster than @free and have no free slot, for a request that
 * @n_ahead others wait for as well. */
static struct mh_pace_faster faster_servers(const struct mh_dispatch *d,
					    const struct request *req,
					    const struct server *free,
					    uint32_t n_ahead, uint64_t now_ns)
{
	const struct pool *p = req->pool;
	double hold_ms = p->queues[req->tier].hold_ms;
	struct mh_pace_faster faster = { 0 };
	double slots_per_ms = 0, sum = 0, version_cost;
	struct server *s, *tmp;

	HASH_ITER(hh, p->servers, s, tmp) {
		double per_ms;

		if (!mh_dispatch_version_allows(d, s, req, &version_cost) ||
		    s->pace.event_ms <= 0 ||
		    s->pace.event_ms > FASTER * free->pace.event_ms ||
		    !mh_dispatch_server_takes_work(s) ||
		    now_ns < s->backoff_until_ns ||
		    mh_dispatch_is_silent(s, now_ns))
			continue;
		per_ms = mh_dispatch_server_slots(d, s) * p->pace.event_ms /
			 (hold_ms * s->pace.event_ms);
		slots_per_ms += per_ms;
		sum += per_ms * s->pace.event_ms;
	}
	if (slots_per_ms <= 0)
		return faster;
	faster.event_ms = sum / slots_per_ms;
	faster.wait_ms = (n_ahead + 1) / slots_per_ms;
	return faster;
}

static double ms_until(uint64_t then_ns, uint64_t now_ns)
{
	return then_ns > now_ns ? (double)(then_ns - now_ns) / MH_NS_PER_MS : 0;
}

bool mh_dispatch_awaits_faster(const struct mh_dispatch *d,
			       const struct request *req,
			       const struct server *free, uint32_t n_ahead,
			       uint64_t now_ns)
{
	const struct pool *p = req->pool;
	struct mh_pace_run run = {
		.first_ms = mh_dispatch_expected_first_ms(p, req),
		.expected_tokens = req->expected_tokens,
		.left_ms = ms_until(req->deadline_ns, now_ns),
		.in_target_ms = ms_until(req->target_ns, now_ns),
	};
	struct mh_pace_faster faster;

	if (!d->conf.length_aware || !p->is_engine)
		return false;
	faster = faster_servers(d, req, free, n_ahead, now_ns);
	return faster.event_ms > 0 &&
	       mh_server_pace_waits(&p->pace, &run, &free->pace, &faster);
}
