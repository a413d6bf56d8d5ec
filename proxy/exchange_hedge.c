/*
 * Runs of a request at a second server. Until a response begins that may be
 * forwarded, both connections are open; then the other one is closed. If one run
 * ends without such a response, the other goes on. The second run takes the place
 * of the first one in either case, so that nothing else has to tell them apart.
 */
#include <stdlib.h>
#include <string.h>

#include "core/check_alloc.h"
#include "core/hedge.h"
#include "proxy/exchange_impl.h"

static struct mh_server_ref hedge_server(const struct exchange *x)
{
	return (struct mh_server_ref){ x->hedge.server, x->hedge.address,
				       x->hedge.born_ms };
}

static void release(const struct exchange *x, enum mh_slot_outcome outcome)
{
	mh_slot_client_release(
		x->set->env.slot_client, mh_hedge_id(x->id), outcome,
		x->hedge.sent_ns ? mh_exchange_elapsed_ms(x, x->hedge.sent_ns) :
				   0,
		0);
}

/* The second run is over, and its connection is closed. The server counts as
 * tried. */
static void end_hedge(struct exchange *x, enum mh_slot_outcome outcome,
		      const char *why)
{
	mh_event(mh_exchange_log(x), MH_EV_RETRIED,
		 "event=hedge_ended id=%.*s why=%s server=%s run_ms=%u",
		 (int)x->wire.id.len, x->wire.id.p, why, x->hedge.server,
		 mh_exchange_elapsed_ms(x, x->hedge.sent_ns));
	release(x, outcome);
	if (!mh_slot_is_uncharged(outcome)) {
		x->attempts++;
		x->may_have_run = true;
	}
	if (outcome != MH_SLOT_HELD_BACK && outcome != MH_SLOT_UNREACHABLE)
		x->servers_reached++;
	mh_exchange_add_tried(x, x->hedge.server);
	free(x->hedge.address);
	x->hedge = (struct hedged_run){ 0 };
}

static void close_hedge(struct exchange *x)
{
	struct mh_server_ref server = hedge_server(x);

	mh_abandoned_add(x->set->env.abandoned, x->hedge.upstream, &server);
	x->hedge.upstream = NULL;
}

void mh_exchange_drop_hedge(struct exchange *x, enum mh_slot_outcome outcome)
{
	if (!x->hedge.upstream)
		return;
	close_hedge(x);
	end_hedge(x, outcome, "first_server");
}

/* The second run becomes that of the request, whose first slot is released. */
bool mh_exchange_use_hedge(struct exchange *x)
{
	if (!x->hedge.upstream)
		return false;
	mh_event(mh_exchange_log(x), MH_EV_RETRIED,
		 "event=hedge_used id=%.*s server=%s instead_of=%s "
		 "held_ms=%u",
		 (int)x->wire.id.len, x->wire.id.p, x->hedge.server, x->server,
		 mh_exchange_elapsed_ms(x, x->arrived_ns));
	mh_exchange_add_tried(x, x->server);
	free(x->address);
	x->slot_id = mh_hedge_id(x->id);
	if (!x->charged_slot)
		x->charged_slot = x->slot_id;
	x->server = x->hedge.server;
	x->address = x->hedge.address;
	x->born_ms = x->hedge.born_ms;
	x->sent_ns = x->hedge.sent_ns;
	x->upstream = x->hedge.upstream;
	x->hedge = (struct hedged_run){ 0 };
	x->phase = PHASE_SENT;
	mh_exchange_init_response(x);
	mh_upstream_set_ops(x->upstream, &mh_exchange_upstream_ops);
	return true;
}

/* How the first run ends as the second one has responded. */
static enum mh_slot_outcome beaten_outcome(const struct exchange *x)
{
	if (!x->status)
		return MH_SLOT_CANCELLED;
	return x->verdict == VERDICT_NOT_RUN ? MH_SLOT_REJECTED :
					       MH_SLOT_FAILED;
}

/* The response of the second run is forwarded: the first one is cancelled. */
static void win(struct exchange *x)
{
	enum mh_slot_outcome outcome = beaten_outcome(x);

	mh_count(x->set->env.counters, MH_C_HEDGES_WON);
	x->servers_reached++;
	if (!mh_slot_is_uncharged(outcome))
		x->attempts++;
	mh_exchange_release_slot(x, outcome);
	mh_exchange_use_hedge(x);
}

static int on_head(void *data, const struct mh_http_head *head)
{
	struct exchange *x = data;
	struct mh_server_ref server = hedge_server(x);
	struct mh_upstream *upstream = x->hedge.upstream;
	struct mh_wire_response response;
	enum verdict verdict;

	if (!mh_exchange_read_head(x, upstream, &server, x->hedge.sent_ns, head,
				   &response))
		return 1;
	verdict = mh_exchange_classify(x, head, &response);
	if (verdict == VERDICT_CORRUPT)
		return 1;
	if (verdict == VERDICT_FORWARD) {
		win(x);
		return mh_exchange_take_head(x, head, &response);
	}
	mh_upstream_cancel(upstream);
	end_hedge(x,
		  verdict == VERDICT_NOT_RUN ? MH_SLOT_REJECTED :
					       MH_SLOT_FAILED,
		  verdict == VERDICT_NOT_RUN ? "rejected" : "error");
	return 1;
}

/* No further event of the second run arrives once its head has been read. */
static int on_body(void *data, const uint8_t *bytes, size_t len)
{
	(void)data;
	(void)bytes;
	(void)len;
	return 1;
}

static void on_flush(void *data)
{
	(void)data;
}

static void on_done(void *data)
{
	(void)data;
}

static void on_failed(void *data, enum mh_upstream_failure why)
{
	struct exchange *x = data;
	struct mh_server_ref server = hedge_server(x);

	switch (why) {
	case MH_UPSTREAM_UNREACHABLE:
		end_hedge(x, MH_SLOT_UNREACHABLE, "unreachable");
		return;
	case MH_UPSTREAM_HELD_BACK:
		end_hedge(x, MH_SLOT_HELD_BACK, "held_back");
		return;
	case MH_UPSTREAM_LOST:
		mh_probes_start(x->set->env.probes, &server);
		end_hedge(x, MH_SLOT_LOST, "lost");
		return;
	case MH_UPSTREAM_MALFORMED:
		mh_count(x->set->env.counters, MH_C_BAD_ANSWERS);
		end_hedge(x, MH_SLOT_CORRUPT, "corrupt");
	}
}

static const struct mh_upstream_ops hedge_ops = {
	on_head, on_body, on_flush, on_done, on_failed,
};

/* The dispatcher knows the request as it was when its slot was requested. */
static bool may_hedge(const struct exchange *x,
		      const struct mh_server_ref *server)
{
	return x->phase == PHASE_SENT && !x->head_forwarded && !x->status &&
	       x->upstream && !x->hedge.upstream &&
	       mh_exchange_is_repeatable(x) &&
	       x->attempts + 1 < x->route->max_attempts &&
	       strcmp(server->id, x->server) != 0 &&
	       mh_exchange_remaining_ms(x) > MH_EXCHANGE_MIN_REMAINING_MS;
}

static void decline(struct exchange *x, enum mh_slot_outcome outcome)
{
	mh_count(x->set->env.counters, MH_C_HEDGES_DECLINED);
	release(x, outcome);
}

void mh_exchange_hedge(struct mh_exchanges *set, uint64_t id,
		       const struct mh_server_ref *server)
{
	struct exchange *x = mh_exchange_find(set, id);
	struct mh_server_ref own;

	if (!x)
		return;
	if (!may_hedge(x, server)) {
		decline(x, MH_SLOT_UNUSED);
		return;
	}
	if (mh_exchange_check_server(&set->env, server) != MH_SEND_ALLOWED) {
		decline(x, MH_SLOT_HELD_BACK);
		return;
	}
	x->hedge.server = mh_check_alloc(strdup(server->id));
	x->hedge.address = mh_check_alloc(strdup(server->address));
	x->hedge.born_ms = server->born_ms;
	x->hedge.sent_ns = mh_exchange_now_ns(x);
	own = hedge_server(x);
	x->hedge.upstream = mh_exchange_open(x, &own, &hedge_ops);
	if (!x->hedge.upstream) {
		end_hedge(x, MH_SLOT_UNREACHABLE, "no_connection");
		return;
	}
	mh_count(set->env.counters, MH_C_HEDGED);
	mh_count(set->env.counters, MH_C_SENT);
	mh_event(mh_exchange_log(x), MH_EV_RETRIED,
		 "event=hedged id=%.*s request=%llu server=%s first_server=%s "
		 "deadline_ms=%u waited_ms=%u fingerprint=%016llx",
		 (int)x->wire.id.len, x->wire.id.p, (unsigned long long)x->id,
		 x->hedge.server, x->server, mh_exchange_remaining_ms(x),
		 mh_exchange_elapsed_ms(x, x->sent_ns),
		 (unsigned long long)x->fingerprint);
}
