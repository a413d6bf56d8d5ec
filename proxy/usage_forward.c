#include "proxy/usage_forward.h"

#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#include "core/check_alloc.h"
#include "core/hedge.h"
#include "net/link_peer.h"

static uint64_t now_of(const struct mh_usage_forward *forward)
{
	return mh_clock_mono_ns(forward->clock);
}

static void count_one(const struct mh_usage_forward *forward,
		      const char *prefix, const char *what, uint64_t grantor)
{
	char *name = NULL;

	if (asprintf(&name, "%s%s", prefix, what) < 0)
		name = NULL;
	mh_check_alloc(name);
	mh_usage_relay_add(forward->relay, name, grantor, 1, now_of(forward));
	free(name);
}

void mh_usage_forward_granted(const struct mh_usage_forward *forward,
			      const struct mh_slot_request *slot_req,
			      uint64_t grantor, const char *server)
{
	mh_usage_relay_add(forward->relay, slot_req->account, grantor,
			   slot_req->units, now_of(forward));
	if (slot_req->is_repeat)
		count_one(forward, MH_RETRY_USAGE_PREFIX, slot_req->service,
			  grantor);
	if (mh_is_hedge_id(slot_req->id))
		count_one(forward, MH_HEDGE_USAGE_PREFIX, slot_req->service,
			  grantor);
	if (server)
		count_one(forward, MH_SENDS_USAGE_PREFIX, server, grantor);
}

static void report_local(void *data, const char *account, uint64_t grantor,
			 uint64_t units, uint32_t age_ms)
{
	mh_dispatch_add_reported_usage(data, account, grantor, units, age_ms);
}

void mh_usage_forward_send(const struct mh_usage_forward *forward,
			   bool is_local_used)
{
	uint64_t now_ns = now_of(forward);
	struct mh_candidate *c;

	DL_FOREACH(forward->candidates->first, c) {
		struct mh_link_peer to = { forward->links, c->link };

		if (c->up)
			mh_usage_relay_report(forward->relay, c->incarnation,
					      now_ns, mh_link_peer_send_usage,
					      &to);
	}
	if (is_local_used)
		mh_usage_relay_report(forward->relay, MH_LOCAL_GRANTOR, now_ns,
				      report_local, forward->local);
}
