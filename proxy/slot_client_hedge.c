/* Second slots of requests whose responses are late. */
#include "core/hedge.h"
#include "proxy/slot_client_impl.h"
#include "proxy/slot_frames.h"

static void accept_hedge(struct mh_slot_client *sc,
			 const struct mh_request *first,
			 const struct mh_server_ref *server)
{
	struct mh_slot_request slot_req = first->slot_req;
	struct mh_request *req;

	slot_req.id = mh_hedge_id(first->id);
	slot_req.is_repeat = true;
	slot_req.is_repeatable = false;
	req = mh_request_add(&sc->requests, &slot_req);
	mh_request_grant(req, server, mh_clock_mono_ns(sc->clock));
	mh_slot_client_count_granted(sc, req, server);
	sc->ops->hedge(sc->data, first->id, server);
}

/* A second slot is of use only while the request has the first one. */
static bool may_hedge(const struct mh_slot_client *sc,
		      const struct mh_request *first)
{
	return first && first->server && !mh_is_hedge_id(first->id) &&
	       !mh_request_find(sc->requests, mh_hedge_id(first->id));
}

void mh_slot_client_on_hedge(struct mh_slot_client *sc, struct mh_candidate *c,
			     const Mh__PlaceHedge *msg)
{
	struct mh_server_ref server = { msg->server, msg->address,
					msg->born_ms };
	struct mh_request *first = mh_request_find(sc->requests, msg->id);

	if (c == sc->current && may_hedge(sc, first)) {
		accept_hedge(sc, first, &server);
		return;
	}
	mh_count(sc->counters, MH_C_HEDGES_DECLINED);
	mh_slot_frames_send_release(sc->links, c->link, mh_hedge_id(msg->id),
				    MH_SLOT_UNUSED, 0, 0);
}

void mh_slot_client_local_hedge(void *data, uint32_t owner, uint64_t id,
				const struct mh_backend_server *server)
{
	struct mh_server_ref ref = { server->id, server->address,
				     server->born_ms };
	struct mh_slot_client *sc = data;
	struct mh_request *first = mh_request_find(sc->requests, id);

	mh_count(sc->counters, MH_C_HEDGES);
	if (may_hedge(sc, first)) {
		accept_hedge(sc, first, &ref);
		return;
	}
	mh_count(sc->counters, MH_C_HEDGES_DECLINED);
	mh_dispatch_done(sc->local, owner, mh_hedge_id(id), MH_SLOT_UNUSED, 0);
}
