/* State of a service, for logs and metrics. */
#include <stdio.h>
#include <string.h>
#include <utlist.h>

#include "core/dispatch_impl.h"

/* Bytes for one server in server_stats. */
#define SERVER_STATS_BYTES 32

void mh_dispatch_view(const struct mh_dispatch *d, const char *service,
		      struct mh_dispatch_view *view)
{
	struct server *s, *tmp;
	struct request *req;
	struct pool *p;
	size_t at = 0;
	int t;

	memset(view, 0, sizeof(*view));
	HASH_FIND_STR(d->pools, service, p);
	if (!p)
		return;
	HASH_ITER(hh, p->servers, s, tmp) {
		if (!mh_dispatch_server_takes_work(s))
			continue;
		view->servers++;
		view->limited += s->limit.max_millihz != MH_NO_LIMIT;
		view->places += mh_dispatch_server_slots(d, s);
		if (at + SERVER_STATS_BYTES < sizeof(view->server_stats))
			at += (size_t)snprintf(
				view->server_stats + at, SERVER_STATS_BYTES,
				"%s%.6s:%.2f:%u", at ? "," : "", s->info.id,
				s->latency_ratio, s->held);
	}
	view->held = p->held;
	for (t = 0; t < MH_TIERS; t++)
		view->waiting[t] = p->queues[t].timely.n + p->queues[t].late.n;
	DL_FOREACH(d->parked, req)
		view->waiting[req->tier] += req->pool == p;
}
