#include "proxy/slot_client_impl.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "core/check_alloc.h"
#include "core/store_reads.h"
#include "net/crash_log.h"
#include "net/link_peer.h"
#include "net/registrations.h"
#include "proxy/slot_frames.h"

/* Dispatchers send a heartbeat every 100 ms; a link that is silent for longer
 * than three missed heartbeats is closed. */
#define LINK_TIMEOUT_MS 450
#define SCAN_INTERVAL_NS (100 * MH_NS_PER_MS)
#define PING_INTERVAL_NS (400 * MH_NS_PER_MS)
/* Time to wait for a dispatcher before the entry uses its local share. */
#define FALLBACK_DELAY_NS (900 * MH_NS_PER_MS)
#define MAX_FRAME_BYTES (8u << 20)
#define MAX_QUEUE_BYTES (16u << 20)

static uint64_t now_of(const struct mh_slot_client *sc)
{
	return mh_clock_mono_ns(sc->clock);
}

static void send_slot_request(struct mh_slot_client *sc,
			      const struct mh_request *req)
{
	mh_slot_frames_send_request(sc->links, sc->current->link,
				    &req->slot_req, req->server,
				    req->granted_ns, now_of(sc));
}

static void request_local_slot(struct mh_slot_client *sc,
			       const struct mh_request *req)
{
	if (req->server)
		mh_dispatch_adopt_slot(
			sc->local, &req->slot_req, req->server,
			(uint32_t)((now_of(sc) - req->granted_ns) /
				   MH_NS_PER_MS));
	else
		mh_dispatch_request_slot(sc->local, &req->slot_req);
}

/* Entries may use different dispatchers, which learn of each other's grants
 * only through the entries. */
static void forward_usage(struct mh_slot_client *sc)
{
	mh_usage_forward_send(&sc->usage, !sc->current);
}

/* The dispatcher in use grants the slots that requests wait for, and adopts those
 * that they hold. */
static void send_slot_requests(struct mh_slot_client *sc)
{
	struct mh_request *req, *tmp;

	HASH_ITER(hh, sc->requests, req, tmp) {
		if (sc->current)
			send_slot_request(sc, req);
		else
			request_local_slot(sc, req);
	}
}

/* The dispatcher in use is back and has read the store. It dropped the requests when
 * the link broke, or has started anew. */
static void resume(struct mh_slot_client *sc)
{
	mh_suspect_relay_tell_observed(&sc->suspects, sc->current);
	mh_rollout_relay_tell(&sc->rollouts, sc->current);
	send_slot_requests(sc);
}

/* A dispatcher closes the link of an entry that sends nothing. The one in use
 * decides on roll-outs. */
static void send_pings(struct mh_slot_client *sc)
{
	const struct mh_candidate *c;

	DL_FOREACH(sc->candidates.first, c) {
		if (c->up)
			mh_slot_frames_send_ping(sc->links, c->link,
						 c == sc->current);
	}
}

/* Moves all requests to the next dispatcher. NULL stands for the local one. */
static void switch_dispatcher(struct mh_slot_client *sc,
			      struct mh_candidate *next)
{
	struct mh_candidate *old = sc->current;
	struct mh_request *req, *tmp;

	HASH_ITER(hh, sc->requests, req, tmp) {
		if (!old)
			mh_dispatch_done(sc->local, 0, req->id,
					 MH_SLOT_HANDED_OVER, 0);
		else if (old->up)
			mh_slot_frames_send_release(sc->links, old->link,
						    req->id,
						    MH_SLOT_HANDED_OVER, 0, 0);
	}
	mh_count(sc->counters, MH_C_DISPATCHER_CHANGES);
	mh_event(sc->log, MH_EV_DEPENDENCY,
		 "event=dispatcher from=%s to=%s fit=%d requests=%u entries=%u",
		 old ? old->name : "own", next ? next->name : "own",
		 next ? next->fit : 0, HASH_COUNT(sc->requests),
		 sc->candidates.entries);
	if (!old)
		sc->candidates.found_ns = now_of(sc);
	if (old && old->up)
		old->used_until_ns = now_of(sc);
	sc->current = next;
	if (!next)
		mh_dispatch_begin_share(sc->local);
	mh_suspect_relay_tell_observed(&sc->suspects, next);
	/* Before it grants slots of a version that gets no requests. */
	mh_rollout_relay_tell(&sc->rollouts, next);
	send_pings(sc);
	forward_usage(sc);
	send_slot_requests(sc);
}

static void select_dispatcher(struct mh_slot_client *sc)
{
	uint64_t now_ns = now_of(sc);
	struct mh_candidate *best =
		mh_candidates_choose(&sc->candidates, sc->current, now_ns);

	if (best) {
		sc->lost_ns = 0;
		if (best != sc->current)
			switch_dispatcher(sc, best);
		return;
	}
	if (!sc->lost_ns)
		sc->lost_ns = now_ns;
}

static void on_link_up(void *data, uint32_t link, const Mh__Hello *hello)
{
	struct mh_slot_client *sc = data;
	struct mh_candidate *c = mh_dispatcher_finder_link_up(
		&sc->finder, link, hello->host, now_of(sc));

	if (!c)
		return;
	mh_candidate_up(c, link, hello->incarnation, now_of(sc));
	mh_ledger_cache_each(sc->ledger_cache, now_of(sc),
			     mh_link_peer_send_record,
			     &(struct mh_link_peer){ sc->links, link });
	mh_suspect_relay_send_all(&sc->suspects, link);
	mh_rollout_relay_tell(&sc->rollouts, c);
	mh_notice_relay_send_all(&sc->notices, link);
	/* Before the dispatcher grants others what this entry used of its share. */
	forward_usage(sc);
	mh_event(sc->log, MH_EV_DEPENDENCY, "event=link_up peer=%s", c->name);
}

static void on_link_down(void *data, uint32_t link)
{
	struct mh_slot_client *sc = data;
	struct mh_candidate *c = mh_candidates_of_link(&sc->candidates, link);

	if (!c)
		return;
	/* Frames of the time in which it fell silent may be lost. */
	if (c == sc->current)
		c->used_until_ns = now_of(sc) - LINK_TIMEOUT_MS * MH_NS_PER_MS;
	mh_candidate_down(c);
	mh_count(sc->counters, MH_C_LINK_LOST);
	mh_event(sc->log, MH_EV_DEPENDENCY, "event=link_lost peer=%s used=%d",
		 c->name, c == sc->current);
	select_dispatcher(sc);
}

/* Incarnation of the current dispatcher. */
static uint64_t current_grantor(const struct mh_slot_client *sc)
{
	return sc->current ? sc->current->incarnation : MH_LOCAL_GRANTOR;
}

void mh_slot_client_count_granted(const struct mh_slot_client *sc,
				  const struct mh_request *req,
				  const struct mh_server_ref *server)
{
	mh_usage_forward_granted(
		&sc->usage, &req->slot_req, current_grantor(sc),
		mh_server_notices_has_limit(sc->notices.notices, server) ?
			server->id :
			NULL);
}

static void accept_grant(struct mh_slot_client *sc, struct mh_request *req,
			 const struct mh_server_ref *server)
{
	mh_request_grant(req, server, now_of(sc));
	mh_slot_client_count_granted(sc, req, server);
	sc->ops->granted(sc->data, req->id, server);
}

static void on_granted(struct mh_slot_client *sc, struct mh_candidate *c,
		       const Mh__PlaceGiven *msg)
{
	struct mh_server_ref server = { msg->server, msg->address,
					msg->born_ms };
	struct mh_request *req = mh_request_find(sc->requests, msg->id);

	if (req && !req->server && c == sc->current) {
		accept_grant(sc, req, &server);
		return;
	}
	/* Nobody uses this slot: the request was withdrawn, or the entry has
	 * switched to another dispatcher. */
	if (!req || c != sc->current)
		mh_slot_frames_send_release(sc->links, c->link, msg->id,
					    MH_SLOT_UNUSED, 0, 0);
}

static void refuse_request(struct mh_slot_client *sc, uint64_t id,
			   enum mh_error error, uint32_t retry_after_ms)
{
	struct mh_request *req = mh_request_find(sc->requests, id);

	if (!req || req->server)
		return;
	mh_request_free(&sc->requests, req);
	sc->ops->refused(sc->data, id, error, retry_after_ms);
}

static void on_heartbeat(struct mh_slot_client *sc, struct mh_candidate *c,
			 const Mh__Standing *msg)
{
	bool was_fit;

	mh_candidates_count_entries(&sc->candidates, msg->entries,
				    c == sc->current, now_of(sc));
	if (c->fit != msg->fit)
		mh_event(sc->log, MH_EV_DEPENDENCY,
			 "event=dispatcher_fit peer=%s fit=%d version=%llu",
			 c->name, msg->fit, (unsigned long long)msg->version);
	was_fit = c->was_fit;
	mh_candidate_heartbeat(c, msg->fit, now_of(sc));
	mh_candidate_know_servers(c, msg->servers_age_ms, msg->servers_in_doubt,
				  now_of(sc));
	if (c == sc->current && c->was_fit && !was_fit)
		resume(sc);
	/* An entry that reads nothing from the store learns it this way. */
	mh_store_era_learn(sc->store_era, msg->store_era);
	if (c == sc->current)
		sc->heartbeat_ns = now_of(sc);
	if (c->fit && (!sc->current || !sc->current->fit))
		select_dispatcher(sc);
}

static void on_frame(void *data, uint32_t link, const Mh__Frame *frame)
{
	struct mh_slot_client *sc = data;
	struct mh_candidate *c = mh_candidates_of_link(&sc->candidates, link);

	if (!c)
		return;
	switch (frame->body_case) {
	case MH__FRAME__BODY_PLACE_GIVEN:
		on_granted(sc, c, frame->place_given);
		break;
	case MH__FRAME__BODY_PLACE_REFUSED:
		if (c == sc->current)
			refuse_request(
				sc, frame->place_refused->id,
				(enum mh_error)frame->place_refused->error,
				frame->place_refused->retry_after_ms);
		break;
	case MH__FRAME__BODY_PLACE_MOVE:
		if (c == sc->current)
			sc->ops->move(sc->data, frame->place_move->id);
		break;
	case MH__FRAME__BODY_PLACE_HEDGE:
		mh_slot_client_on_hedge(sc, c, frame->place_hedge);
		break;
	case MH__FRAME__BODY_SERVER_WORDS:
		mh_registration_receive(sc->catalog, frame->server_words,
					now_of(sc), NULL);
		break;
	case MH__FRAME__BODY_DOCUMENT:
		sc->ops->document(sc->data, frame->document->version,
				  frame->document->bytes.data,
				  frame->document->bytes.len);
		break;
	case MH__FRAME__BODY_LEDGER_RECORD:
		mh_ledger_cache_put(
			sc->ledger_cache, frame->ledger_record->host,
			frame->ledger_record->bytes.data,
			frame->ledger_record->bytes.len, now_of(sc));
		break;
	case MH__FRAME__BODY_CRASH_SUSPECT:
		mh_suspect_relay_receive(&sc->suspects, frame->crash_suspect,
					 c);
		break;
	case MH__FRAME__BODY_SERVER_NOTICE:
		mh_notice_relay_receive(&sc->notices, frame->server_notice, c);
		break;
	case MH__FRAME__BODY_ROLLOUT_STATE:
		mh_rollout_relay_receive(&sc->rollouts, frame->rollout_state);
		break;
	case MH__FRAME__BODY_DISPATCHERS:
		mh_dispatcher_finder_receive(&sc->finder, frame->dispatchers,
					     c->name);
		sc->next_scan_ns = 0;
		break;
	case MH__FRAME__BODY_STANDING:
		on_heartbeat(sc, c, frame->standing);
		break;
	default:
		break;
	}
}

static const struct mh_link_ops link_ops = { on_link_up, on_link_down,
					     on_frame };

static void local_grant(void *data, uint32_t owner, uint64_t id,
			const struct mh_backend_server *server)
{
	struct mh_server_ref ref = { server->id, server->address,
				     server->born_ms };
	struct mh_slot_client *sc = data;
	struct mh_request *req = mh_request_find(sc->requests, id);

	(void)owner;
	if (req && !req->server)
		accept_grant(sc, req, &ref);
}

static void local_refuse(void *data, uint32_t owner, uint64_t id,
			 const struct mh_slot_refusal *why)
{
	(void)owner;
	refuse_request(data, id, why->error, why->retry_after_ms);
}

static void local_move(void *data, uint32_t owner, uint64_t id)
{
	struct mh_slot_client *sc = data;

	(void)owner;
	sc->ops->move(sc->data, id);
}

static void local_lost(void *data, const struct mh_lost_run *run)
{
	struct mh_slot_client *sc = data;

	mh_crash_log_lost_run(sc->log, "own", run);
}

static void local_suspect(void *data, const struct mh_suspect *suspect)
{
	struct mh_slot_client *sc = data;

	mh_suspect_relay_forward(&sc->suspects, suspect, NULL);
	sc->ops->suspect(sc->data, suspect);
}

static void local_limited(void *data, uint32_t owner, uint64_t id,
			  uint32_t wait_ms)
{
	struct mh_slot_client *sc = data;

	(void)owner;
	mh_count(sc->counters, MH_C_LIMIT_WAITS);
	mh_event(sc->log, MH_EV_SENT,
		 "event=limit_wait request=%llu wait_ms=%u",
		 (unsigned long long)id, wait_ms);
}

static const struct mh_dispatch_ops local_ops = {
	local_grant,
	local_refuse,
	local_move,
	local_lost,
	local_suspect,
	local_limited,
	mh_slot_client_local_hedge,
};

static void on_server(void *data, const struct mh_registration *reg)
{
	struct mh_slot_client *sc = data;

	mh_event(sc->log, MH_EV_SERVER,
		 "event=server server=%s service=%s state=%d sequence=%llu",
		 reg->id, reg->service ? reg->service : "", reg->state,
		 (unsigned long long)reg->sequence);
	if (reg->state == MH_SERVER_READY)
		sc->ready_registrations++;
	mh_dispatch_update_registration(sc->local, reg);
}

struct mh_slot_client *
mh_slot_client_new(struct mh_loop *loop, const struct mh_clock *clock,
		   const struct mh_slot_client_conf *conf,
		   struct mh_counters *counters, struct mh_event_log *log,
		   const struct mh_slot_client_ops *ops, void *data)
{
	struct mh_slot_client *sc = mh_check_alloc(calloc(1, sizeof(*sc)));
	struct mh_link_conf link_conf = {
		.host = conf->host,
		.zone = conf->zone,
		.role = MH_ROLE_ENTRY,
		.pool = "",
		.max_frame_bytes = MAX_FRAME_BYTES,
		.max_queue_bytes = MAX_QUEUE_BYTES,
		.receive_timeout_ms = LINK_TIMEOUT_MS,
	};
	uint64_t seed;

	randombytes_buf(&seed, sizeof(seed));
	randombytes_buf(&link_conf.incarnation, sizeof(link_conf.incarnation));
	memcpy(link_conf.key, conf->key, sizeof(link_conf.key));
	sc->clock = clock;
	sc->counters = counters;
	sc->log = log;
	sc->ops = ops;
	sc->data = data;
	sc->store_era = conf->store_era;
	sc->patience_ms = MH_STORE_PATIENCE_MIN_MS +
			  randombytes_uniform(MH_STORE_PATIENCE_MAX_MS -
					      MH_STORE_PATIENCE_MIN_MS);
	sc->ledger_cache = mh_ledger_cache_new();
	sc->lost_ns = mh_clock_mono_ns(clock);
	sc->links = mh_check_alloc(
		mh_links_new(loop, &link_conf, counters, &link_ops, sc));
	sc->finder = (struct mh_dispatcher_finder){ sc->links, &sc->candidates,
						    log, NULL, 0 };
	mh_dispatcher_finder_set_seeds(&sc->finder, conf->seeds, conf->n_seeds);
	sc->catalog = mh_catalog_new(on_server, sc);
	sc->local =
		mh_dispatch_new(&conf->dispatch, clock, seed, &local_ops, sc);
	sc->usage = (struct mh_usage_forward){
		clock,
		mh_usage_relay_new(conf->dispatch.quota_window_ms,
				   conf->dispatch.retry_window_ms),
		sc->links, &sc->candidates, sc->local
	};
	sc->suspects = (struct mh_suspect_relay){
		clock,		 log,	    sc->links,
		&sc->candidates, sc->local, mh_observed_crashes_new()
	};
	sc->notices = (struct mh_notice_relay){
		clock,		 counters,  log,	   sc->links,
		&sc->candidates, sc->local, conf->notices, conf->metrics,
	};
	mh_rollout_relay_init(&sc->rollouts,
			      mh_rollouts_new(&conf->rollouts, clock),
			      sc->links, &sc->candidates);
	/* Dispatchers choose servers while there are any. */
	mh_rollouts_set_unwatched(sc->rollouts.set);
	sc->rollouts.report.log = log;
	sc->rollouts.report.counters = counters;
	sc->rollouts.report.metrics = conf->metrics;
	mh_dispatch_set_rollouts(sc->local, sc->rollouts.set);
	return sc;
}

void mh_slot_client_free(struct mh_slot_client *sc)
{
	struct mh_request *req, *tmp;

	if (!sc)
		return;
	mh_links_free(sc->links);
	HASH_ITER(hh, sc->requests, req, tmp)
		mh_request_free(&sc->requests, req);
	mh_dispatcher_finder_release(&sc->finder);
	mh_candidates_release(&sc->candidates);
	mh_usage_relay_free(sc->usage.relay);
	mh_observed_crashes_free(sc->suspects.observed);
	mh_ledger_cache_free(sc->ledger_cache);
	mh_dispatch_free(sc->local);
	mh_rollout_relay_release(&sc->rollouts);
	mh_catalog_free(sc->catalog);
	free(sc);
}

void mh_slot_client_add_dispatcher(struct mh_slot_client *sc, const char *name,
				   const char *address)
{
	mh_dispatcher_finder_learn(&sc->finder, name, address);
	/* At the next tick all candidates of the same listing are known. */
	sc->next_scan_ns = 0;
}

void mh_slot_client_set_seeds(struct mh_slot_client *sc, char *const *seeds,
			      size_t n)
{
	mh_dispatcher_finder_set_seeds(&sc->finder, seeds, n);
	sc->next_scan_ns = 0;
}

void mh_slot_client_set_registered(struct mh_slot_client *sc, uint32_t entries)
{
	sc->candidates.registered = entries;
}

void mh_slot_client_set_routes(struct mh_slot_client *sc,
			       const struct mh_routes *routes)
{
	mh_dispatch_configure(sc->local, routes);
}

void mh_slot_client_set_conf(struct mh_slot_client *sc,
			     const struct mh_dispatch_conf *conf,
			     const struct mh_rollout_conf *rollouts)
{
	mh_dispatch_set_conf(sc->local, conf);
	mh_rollouts_set_conf(sc->rollouts.set, rollouts);
}

void mh_slot_client_request(struct mh_slot_client *sc,
			    const struct mh_slot_request *slot_req)
{
	struct mh_request *req = mh_request_add(&sc->requests, slot_req);

	if (!sc->current && now_of(sc) > sc->lost_ns + FALLBACK_DELAY_NS)
		request_local_slot(sc, req);
	else if (sc->current && sc->current->up && sc->current->was_fit)
		send_slot_request(sc, req);
}

void mh_slot_client_first_byte(struct mh_slot_client *sc, uint64_t id,
			       uint32_t first_ms)
{
	struct mh_request *req = mh_request_find(sc->requests, id);

	if (req)
		req->responded_ns = now_of(sc);
	if (sc->current)
		mh_slot_frames_send_first_byte(sc->links, sc->current->link, id,
					       first_ms);
	else
		mh_dispatch_first_byte(sc->local, 0, id, first_ms);
}

/* The slot may be another dispatcher's that is lost: the local one takes it
 * over, so that how the run ended is not lost as well. */
static void release_local_slot(struct mh_slot_client *sc,
			       const struct mh_request *req,
			       enum mh_slot_outcome outcome, uint32_t total_ms,
			       uint32_t events)
{
	if (req->server)
		request_local_slot(sc, req);
	mh_dispatch_streamed(sc->local, 0, req->id, events);
	mh_dispatch_done(sc->local, 0, req->id, outcome, total_ms);
}

void mh_slot_client_release(struct mh_slot_client *sc, uint64_t id,
			    enum mh_slot_outcome outcome, uint32_t total_ms,
			    uint32_t events)
{
	struct mh_request *req = mh_request_find(sc->requests, id);

	if (!req)
		return;
	if (sc->current && sc->current->up)
		mh_slot_frames_send_release(sc->links, sc->current->link, id,
					    outcome, total_ms, events);
	else
		release_local_slot(sc, req, outcome, total_ms, events);
	mh_request_observe_end(req, sc->suspects.observed, outcome, now_of(sc));
	mh_request_free(&sc->requests, req);
}

void mh_slot_client_server_probed(struct mh_slot_client *sc,
				  const struct mh_server_ref *server)
{
	mh_observed_crashes_probed(sc->suspects.observed, server, now_of(sc));
	if (sc->current && sc->current->up)
		mh_slot_frames_send_probed(sc->links, sc->current->link,
					   server->id);
	else
		mh_dispatch_server_probed(sc->local, server->id);
}

void mh_slot_client_merge_suspect(struct mh_slot_client *sc,
				  const struct mh_suspect *suspect)
{
	mh_suspect_relay_merge(&sc->suspects, suspect, NULL);
}

const struct mh_dispatch *mh_slot_client_local(const struct mh_slot_client *sc)
{
	return sc->local;
}

const struct mh_notice_relay *
mh_slot_client_notices(const struct mh_slot_client *sc)
{
	return &sc->notices;
}

uint32_t mh_slot_client_sharing(const struct mh_slot_client *sc)
{
	return mh_candidates_sharing(&sc->candidates);
}

/* Whether servers may have left that no dispatcher has told of. */
static bool is_stale(const struct mh_slot_client *sc, uint64_t now_ns)
{
	uint64_t known_ns = mh_candidates_servers_ns(&sc->candidates);

	if (sc->current && (mh_candidates_doubt_servers(&sc->candidates) ||
			    mh_catalog_defers_removals(sc->catalog)))
		return true;
	return known_ns && now_ns > known_ns + MH_STORE_STALE_MS * MH_NS_PER_MS;
}

struct mh_store_reads
mh_slot_client_store_reads(const struct mh_slot_client *sc)
{
	uint64_t now_ns = now_of(sc);
	struct mh_store_reads r = {
		.has_dispatcher = sc->current != NULL,
		.is_fit = sc->current && sc->current->fit,
		.is_stale = is_stale(sc, now_ns),
		.has_seeds = sc->finder.n_seeds > 0,
		.entries = sc->candidates.entries,
		.patience_ms = sc->patience_ms,
	};

	if (sc->lost_ns && now_ns > sc->lost_ns)
		r.lost_ms = 1 + (now_ns - sc->lost_ns) / MH_NS_PER_MS;
	return r;
}

uint64_t mh_slot_client_heartbeat_ns(const struct mh_slot_client *sc)
{
	return sc->current ? sc->heartbeat_ns : 0;
}

bool mh_slot_client_is_ready(const struct mh_slot_client *sc)
{
	return sc->current ? sc->current->fit || sc->ready_registrations :
			     sc->ready_registrations > 0;
}

static bool is_fallback_due(const struct mh_slot_client *sc, uint64_t now_ns)
{
	return sc->lost_ns && now_ns > sc->lost_ns + FALLBACK_DELAY_NS;
}

uint64_t mh_slot_client_tick(struct mh_slot_client *sc)
{
	uint64_t now_ns = now_of(sc), next_ns = sc->next_scan_ns;

	if (now_ns >= sc->next_scan_ns) {
		sc->next_scan_ns = now_ns + SCAN_INTERVAL_NS;
		next_ns = sc->next_scan_ns;
		mh_dispatch_set_share(sc->local,
				      mh_candidates_sharing(&sc->candidates));
		mh_dispatcher_finder_dial(&sc->finder, sc->current, now_ns);
		select_dispatcher(sc);
		forward_usage(sc);
		mh_rollout_relay_update(&sc->rollouts);
		if (mh_catalog_defers_removals(sc->catalog))
			mh_catalog_tick(sc->catalog, now_ns);
		if (now_ns >= sc->next_ping_ns) {
			sc->next_ping_ns = now_ns + PING_INTERVAL_NS;
			send_pings(sc);
		}
		if (sc->current && is_fallback_due(sc, now_ns))
			switch_dispatcher(sc, NULL);
		else if (!sc->current && is_fallback_due(sc, now_ns))
			/* The local dispatcher ignores those that it has. */
			send_slot_requests(sc);
	}
	if (!sc->current && is_fallback_due(sc, now_ns)) {
		mh_catalog_tick(sc->catalog, now_ns);
		next_ns = mh_earlier(next_ns, mh_dispatch_tick(sc->local));
	}
	mh_links_flush(sc->links);
	return next_ns;
}
