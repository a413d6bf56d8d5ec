#include "proxy/slot_client.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "core/candidates.h"
#include "core/keeper.h"
#include "core/need.h"
#include "core/spending.h"
#include "net/listener.h"
#include "net/words.h"

/* Dispatchers speak every 100 ms; three words lost mean that it is closed. */
#define SILENCE_MS 450
#define SCAN_NS (100 * MH_NS_PER_MS)
#define PING_NS (400 * MH_NS_PER_MS)
/* Time for a dispatcher to show up before the entry's own part is used. */
#define ALONE_NS (900 * MH_NS_PER_MS)
/* Entries without a dispatcher hear nothing from each other: each reads more
 * often than its part of all entries would be. */
#define LONE_PART 8.0
/* Stands for the entry's own dispatcher; incarnations are random. */
#define OWN_GIVER 0
#define NAME_BYTES 160
#define FRAME_BYTES (8u << 20)
#define QUEUE_BYTES (16u << 20)

/* A request that waits for a place or has one. */
struct place {
	uint64_t id;
	struct mh_ask ask; /* owns its texts */
	char *server;	   /* NULL while it waits */
	uint64_t placed_ns;
	UT_hash_handle hh;
};

struct mh_slot_client {
	const struct mh_clock *clock;
	struct mh_counters *counters;
	struct mh_event_log *log;
	const struct mh_slot_client_ops *ops;
	void *data;
	struct mh_links *links;
	struct mh_catalog *catalog;
	struct mh_dispatch *own;
	struct mh_candidates candidates;
	struct mh_candidate *used; /* NULL: the entry's own part is used */
	uint64_t standing_ns;	   /* newest word of the one in use */
	uint64_t lost_ns;
	uint64_t scan_ns;
	uint64_t ping_ns;
	uint32_t entries;
	uint32_t ready_servers;
	struct place *places;
	struct mh_spending *spending;
	struct mh_keeper *keeper;
};

static uint64_t now_of(const struct mh_slot_client *p)
{
	return mh_clock_mono_ns(p->clock);
}

static int32_t ms_until(uint64_t then_ns, uint64_t now_ns)
{
	int64_t ms =
		((int64_t)then_ns - (int64_t)now_ns) / (int64_t)MH_NS_PER_MS;

	if (ms > INT32_MAX)
		return INT32_MAX;
	return ms < INT32_MIN ? INT32_MIN : (int32_t)ms;
}

static void send_ask(struct mh_slot_client *p, const struct place *pl)
{
	const struct mh_ask *ask = &pl->ask;
	uint64_t now_ns = now_of(p);
	int32_t left_ms = ms_until(ask->deadline_ns, now_ns);
	Mh__PlaceAsk msg = MH__PLACE_ASK__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.id = pl->id;
	msg.service = (char *)ask->service;
	msg.account = (char *)ask->account;
	msg.tier = ask->tier;
	msg.units = ask->units;
	msg.prompt_tokens = ask->prompt_tokens;
	msg.output_tokens = ask->output_tokens;
	msg.aim_in_ms = ms_until(ask->aim_ns, now_ns);
	msg.deadline_in_ms = left_ms > 0 ? (uint32_t)left_ms : 0;
	msg.start_in_ms = ms_until(ask->start_by_ns, now_ns);
	msg.fingerprint = ask->fingerprint;
	msg.is_repeat = ask->is_repeat;
	msg.is_repeatable = ask->is_repeatable;
	msg.is_moved = ask->is_moved;
	msg.n_avoid = ask->n_avoid;
	msg.avoid = (char **)ask->avoid;
	if (pl->server) {
		msg.server = pl->server;
		msg.age_ms = (uint32_t)ms_until(now_ns, pl->placed_ns);
	}
	frame.body_case = MH__FRAME__BODY_PLACE_ASK;
	frame.place_ask = &msg;
	mh_links_send(p->links, p->used->link, &frame);
}

static void send_done(struct mh_slot_client *p, const struct mh_candidate *to,
		      uint64_t id, enum mh_place_outcome outcome,
		      uint32_t total_ms)
{
	Mh__PlaceDone msg = MH__PLACE_DONE__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.id = id;
	msg.outcome = outcome;
	msg.total_ms = total_ms;
	frame.body_case = MH__FRAME__BODY_PLACE_DONE;
	frame.place_done = &msg;
	mh_links_send(p->links, to->link, &frame);
}

static void ask_own(struct mh_slot_client *p, const struct place *pl)
{
	if (pl->server)
		mh_dispatch_held(p->own, &pl->ask, pl->server,
				 (uint32_t)ms_until(now_of(p), pl->placed_ns));
	else
		mh_dispatch_ask(p->own, &pl->ask);
}

static void free_place(struct mh_slot_client *p, struct place *pl)
{
	uint32_t i;

	HASH_DEL(p->places, pl);
	free((char *)pl->ask.service);
	free((char *)pl->ask.account);
	for (i = 0; i < pl->ask.n_avoid; i++)
		free((char *)pl->ask.avoid[i]);
	free(pl->server);
	free(pl);
}

static void tell_own(void *data, const char *account, uint64_t giver,
		     uint64_t units, uint32_t age_ms)
{
	struct mh_slot_client *p = data;

	mh_dispatch_spent(p->own, account, giver, units, age_ms);
}

/* Entries may use different dispatchers, and none knows what another one let
 * through but from them. */
static void tell_spending(struct mh_slot_client *p)
{
	uint64_t now_ns = now_of(p);
	struct mh_candidate *c;

	DL_FOREACH(p->candidates.first, c) {
		struct mh_listener to = { p->links, c->link };

		if (c->up)
			mh_spending_tell(p->spending, c->incarnation, now_ns,
					 mh_listener_spent, &to);
	}
	if (!p->used)
		mh_spending_tell(p->spending, OWN_GIVER, now_ns, tell_own, p);
}

/* Leave the dispatcher that was used until now, and tell the new one, or the
 * entry's own, what waits and what runs. */
static void use(struct mh_slot_client *p, struct mh_candidate *now)
{
	struct mh_candidate *old = p->used;
	struct place *pl, *tmp;

	HASH_ITER(hh, p->places, pl, tmp) {
		if (!old)
			mh_dispatch_done(p->own, 0, pl->id, MH_PLACE_CANCELLED,
					 0);
		else if (old->up)
			send_done(p, old, pl->id, MH_PLACE_CANCELLED, 0);
	}
	mh_count(p->counters, MH_C_DISPATCHER_CHANGES);
	mh_event(p->log, MH_EV_DEPENDENCY,
		 "event=dispatcher from=%s to=%s fit=%d requests=%u entries=%u",
		 old ? old->name : "own", now ? now->name : "own",
		 now ? now->fit : 0, HASH_COUNT(p->places), p->entries);
	p->used = now;
	tell_spending(p);
	HASH_ITER(hh, p->places, pl, tmp) {
		if (now)
			send_ask(p, pl);
		else
			ask_own(p, pl);
	}
}

static void choose_again(struct mh_slot_client *p)
{
	uint64_t now_ns = now_of(p);
	struct mh_candidate *best =
		mh_candidates_choose(&p->candidates, p->used, now_ns);

	if (best) {
		p->lost_ns = 0;
		if (best != p->used)
			use(p, best);
		return;
	}
	if (!p->lost_ns)
		p->lost_ns = now_ns;
}

static void change_link(void *data, struct mh_candidate *c, bool dial)
{
	struct mh_slot_client *p = data;

	if (dial) {
		mh_links_dial(p->links, c->address);
		return;
	}
	mh_links_undial(p->links, c->address);
	if (c->up)
		mh_links_close(p->links, c->link);
}

/* A dispatcher that hears nothing takes this entry for closed. */
static void send_pings(struct mh_slot_client *p)
{
	Mh__Ping msg = MH__PING__INIT;
	Mh__Frame frame = MH__FRAME__INIT;
	struct mh_candidate *c;

	frame.body_case = MH__FRAME__BODY_PING;
	frame.ping = &msg;
	DL_FOREACH(p->candidates.first, c) {
		if (c->up)
			mh_links_send(p->links, c->link, &frame);
	}
}

static void on_up(void *data, uint32_t link, const Mh__Hello *hello)
{
	struct mh_slot_client *p = data;
	struct mh_candidate *c =
		mh_candidates_find(&p->candidates, hello->host);

	if (!c)
		return;
	mh_candidate_up(c, link, hello->incarnation, now_of(p));
	mh_keeper_each(p->keeper, now_of(p), mh_listener_record,
		       &(struct mh_listener){ p->links, link });
	mh_event(p->log, MH_EV_DEPENDENCY, "event=link_up peer=%s", c->name);
}

static void on_down(void *data, uint32_t link)
{
	struct mh_slot_client *p = data;
	struct mh_candidate *c = mh_candidates_of_link(&p->candidates, link);

	if (!c)
		return;
	mh_candidate_down(c);
	mh_count(p->counters, MH_C_LINK_LOST);
	mh_event(p->log, MH_EV_DEPENDENCY, "event=link_lost peer=%s used=%d",
		 c->name, c == p->used);
	choose_again(p);
}

static struct place *find_place(struct mh_slot_client *p, uint64_t id)
{
	struct place *pl;

	HASH_FIND(hh, p->places, &id, sizeof(id), pl);
	return pl;
}

/* Incarnation of the dispatcher in use. */
static uint64_t giver_of(const struct mh_slot_client *p)
{
	return p->used ? p->used->incarnation : OWN_GIVER;
}

static void take_place(struct mh_slot_client *p, struct place *pl,
		       const char *server, const char *address)
{
	pl->server = mh_need(strdup(server));
	pl->placed_ns = now_of(p);
	mh_spending_add(p->spending, pl->ask.account, giver_of(p),
			pl->ask.units, now_of(p));
	if (pl->ask.is_repeat) {
		char name[NAME_BYTES];

		snprintf(name, sizeof(name), MH_REPEATS_OF "%s",
			 pl->ask.service);
		mh_spending_add(p->spending, name, giver_of(p), 1, now_of(p));
	}
	p->ops->granted(p->data, pl->id, server, address);
}

static void on_given(struct mh_slot_client *p, struct mh_candidate *c,
		     const Mh__PlaceGiven *msg)
{
	struct place *pl = find_place(p, msg->id);

	if (pl && !pl->server && c == p->used) {
		take_place(p, pl, msg->server, msg->address);
		return;
	}
	/* The request was withdrawn, or another dispatcher is in use. */
	if (!pl || c != p->used)
		send_done(p, c, msg->id, MH_PLACE_UNUSED, 0);
}

static void refuse_place(struct mh_slot_client *p, uint64_t id,
			 enum mh_error error, uint32_t retry_after_ms)
{
	struct place *pl = find_place(p, id);

	if (!pl || pl->server)
		return;
	free_place(p, pl);
	p->ops->refused(p->data, id, error, retry_after_ms);
}

static void on_standing(struct mh_slot_client *p, struct mh_candidate *c,
			const Mh__Standing *msg)
{
	if (msg->entries)
		p->entries = msg->entries;
	if (c->fit != msg->fit)
		mh_event(p->log, MH_EV_DEPENDENCY,
			 "event=dispatcher_fit peer=%s fit=%d version=%llu",
			 c->name, msg->fit, (unsigned long long)msg->version);
	mh_candidate_says(c, msg->fit, now_of(p));
	if (c == p->used)
		p->standing_ns = now_of(p);
	if (c->fit && (!p->used || !p->used->fit))
		choose_again(p);
}

static void on_frame(void *data, uint32_t link, const Mh__Frame *frame)
{
	struct mh_slot_client *p = data;
	struct mh_candidate *c = mh_candidates_of_link(&p->candidates, link);

	if (!c)
		return;
	switch (frame->body_case) {
	case MH__FRAME__BODY_PLACE_GIVEN:
		on_given(p, c, frame->place_given);
		break;
	case MH__FRAME__BODY_PLACE_REFUSED:
		if (c == p->used)
			refuse_place(p, frame->place_refused->id,
				     (enum mh_error)frame->place_refused->error,
				     frame->place_refused->retry_after_ms);
		break;
	case MH__FRAME__BODY_PLACE_MOVE:
		if (c == p->used)
			p->ops->move(p->data, frame->place_move->id);
		break;
	case MH__FRAME__BODY_SERVER_WORDS:
		mh_words_hear(p->catalog, frame->server_words, now_of(p));
		break;
	case MH__FRAME__BODY_DOCUMENT:
		p->ops->document(p->data, frame->document->version,
				 frame->document->bytes.data,
				 frame->document->bytes.len);
		break;
	case MH__FRAME__BODY_LEDGER_RECORD:
		mh_keeper_put(p->keeper, frame->ledger_record->host,
			      frame->ledger_record->bytes.data,
			      frame->ledger_record->bytes.len, now_of(p));
		break;
	case MH__FRAME__BODY_STANDING:
		on_standing(p, c, frame->standing);
		break;
	default:
		break;
	}
}

static const struct mh_link_ops link_ops = { on_up, on_down, on_frame };

static void own_place(void *data, uint32_t owner, uint64_t id,
		      const struct mh_place_server *server)
{
	struct mh_slot_client *p = data;
	struct place *pl = find_place(p, id);

	(void)owner;
	if (pl && !pl->server)
		take_place(p, pl, server->id, server->address);
}

static void own_refuse(void *data, uint32_t owner, uint64_t id,
		       const struct mh_no_place *why)
{
	(void)owner;
	refuse_place(data, id, why->error, why->retry_after_ms);
}

static void own_move(void *data, uint32_t owner, uint64_t id)
{
	struct mh_slot_client *p = data;

	(void)owner;
	p->ops->move(p->data, id);
}

static const struct mh_dispatch_ops own_ops = { own_place, own_refuse,
						own_move };

static void on_server(void *data, const struct mh_server_entry *now)
{
	struct mh_slot_client *p = data;
	struct mh_place_server s = {
		.id = now->id,
		.service = now->service,
		.address = now->address,
		.places = now->places,
		.born_ms = now->born_ms,
		.takes_work = now->state == MH_SERVER_READY,
	};

	mh_event(p->log, MH_EV_SERVER,
		 "event=server server=%s service=%s state=%d sequence=%llu",
		 now->id, now->service ? now->service : "", now->state,
		 (unsigned long long)now->sequence);
	if (now->state == MH_SERVER_READY)
		p->ready_servers++;
	if (now->service)
		mh_dispatch_server(p->own, &s);
}

struct mh_slot_client *
mh_slot_client_new(struct mh_loop *loop, const struct mh_clock *clock,
		   const struct mh_slot_client_conf *conf,
		   struct mh_counters *counters, struct mh_event_log *log,
		   const struct mh_slot_client_ops *ops, void *data)
{
	struct mh_slot_client *p = mh_need(calloc(1, sizeof(*p)));
	struct mh_link_conf link_conf = {
		.host = conf->host,
		.zone = conf->zone,
		.role = MH_ROLE_ENTRY,
		.pool = "",
		.max_frame_bytes = FRAME_BYTES,
		.max_queue_bytes = QUEUE_BYTES,
		.silence_ms = SILENCE_MS,
	};
	uint64_t seed;

	randombytes_buf(&seed, sizeof(seed));
	randombytes_buf(&link_conf.incarnation, sizeof(link_conf.incarnation));
	memcpy(link_conf.key, conf->key, sizeof(link_conf.key));
	p->clock = clock;
	p->counters = counters;
	p->log = log;
	p->ops = ops;
	p->data = data;
	p->entries = 1;
	p->keeper = mh_keeper_new();
	p->spending = mh_spending_new(conf->dispatch.quota_window_ms);
	p->lost_ns = mh_clock_mono_ns(clock);
	p->links =
		mh_need(mh_links_new(loop, &link_conf, counters, &link_ops, p));
	p->catalog = mh_catalog_new(on_server, p);
	p->own = mh_dispatch_new(&conf->dispatch, clock, seed, &own_ops, p);
	return p;
}

void mh_slot_client_free(struct mh_slot_client *p)
{
	struct place *pl, *tmp;

	if (!p)
		return;
	mh_links_free(p->links);
	HASH_ITER(hh, p->places, pl, tmp)
		free_place(p, pl);
	mh_candidates_release(&p->candidates);
	mh_spending_free(p->spending);
	mh_keeper_free(p->keeper);
	mh_dispatch_free(p->own);
	mh_catalog_free(p->catalog);
	free(p);
}

void mh_slot_client_set_candidate(struct mh_slot_client *p, const char *name,
				  const char *address)
{
	struct mh_candidate *c = mh_candidates_find(&p->candidates, name);

	if (c && address && !strcmp(c->address, address))
		return;
	if (c) {
		if (c->dialled)
			change_link(p, c, false);
		c->dialled = false;
		if (address) {
			free(c->address);
			c->address = mh_need(strdup(address));
		}
	} else if (address) {
		mh_candidates_add(&p->candidates, name, address);
	}
	/* With the next tick, when all that are listed together are known. */
	p->scan_ns = 0;
}

void mh_slot_client_set_routes(struct mh_slot_client *p,
			       const struct mh_routes *routes)
{
	mh_dispatch_configure(p->own, routes);
}

void mh_slot_client_set_conf(struct mh_slot_client *p,
			     const struct mh_dispatch_conf *conf)
{
	mh_dispatch_set_conf(p->own, conf);
}

static void send_word(void *data, const struct mh_server_entry *entry)
{
	struct mh_slot_client *p = data;

	mh_words_send(p->links, p->used->link, entry);
}

void mh_slot_client_forward_state(struct mh_slot_client *p, uint64_t version,
				  const uint8_t *bytes, size_t len)
{
	if (!p->used)
		return;
	mh_catalog_each(p->catalog, send_word, p);
	if (bytes)
		mh_words_send_document(p->links, p->used->link, version, bytes,
				       len);
}

struct mh_catalog *mh_slot_client_catalog(struct mh_slot_client *p)
{
	return p->catalog;
}

void mh_slot_client_request(struct mh_slot_client *p, const struct mh_ask *ask)
{
	struct place *pl = mh_need(calloc(1, sizeof(*pl)));
	uint32_t i;

	pl->id = ask->id;
	pl->ask = *ask;
	pl->ask.owner = 0;
	pl->ask.service = mh_need(strdup(ask->service));
	pl->ask.account = mh_need(strdup(ask->account));
	for (i = 0; i < ask->n_avoid; i++)
		pl->ask.avoid[i] = mh_need(strdup(ask->avoid[i]));
	HASH_ADD(hh, p->places, id, sizeof(pl->id), pl);
	if (p->used)
		send_ask(p, pl);
	else if (now_of(p) > p->lost_ns + ALONE_NS)
		ask_own(p, pl);
}

void mh_slot_client_first_byte(struct mh_slot_client *p, uint64_t id,
			       uint32_t first_ms)
{
	Mh__PlaceFirst msg = MH__PLACE_FIRST__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	if (!p->used) {
		mh_dispatch_first(p->own, 0, id, first_ms);
		return;
	}
	msg.id = id;
	msg.first_ms = first_ms;
	frame.body_case = MH__FRAME__BODY_PLACE_FIRST;
	frame.place_first = &msg;
	mh_links_send(p->links, p->used->link, &frame);
}

void mh_slot_client_release(struct mh_slot_client *p, uint64_t id,
			    enum mh_place_outcome outcome, uint32_t total_ms)
{
	struct place *pl = find_place(p, id);

	if (!pl)
		return;
	if (p->used)
		send_done(p, p->used, id, outcome, total_ms);
	else
		mh_dispatch_done(p->own, 0, id, outcome, total_ms);
	free_place(p, pl);
}

double mh_slot_client_store_readers(const struct mh_slot_client *p)
{
	if (p->used && p->used->fit)
		return 0;
	/* What one of them reads reaches the others through the dispatcher. */
	if (p->used)
		return p->entries;
	return p->entries / LONE_PART;
}

uint64_t mh_slot_client_heartbeat_ns(const struct mh_slot_client *p)
{
	return p->used ? p->standing_ns : 0;
}

bool mh_slot_client_is_ready(const struct mh_slot_client *p)
{
	return p->used ? p->used->fit || p->ready_servers :
			 p->ready_servers > 0;
}

/* Requests that came while a dispatcher was still hoped for. */
static void ask_own_for_all(struct mh_slot_client *p)
{
	struct place *pl, *tmp;

	HASH_ITER(hh, p->places, pl, tmp)
		ask_own(p, pl);
}

static bool is_alone(const struct mh_slot_client *p, uint64_t now_ns)
{
	return p->lost_ns && now_ns > p->lost_ns + ALONE_NS;
}

uint64_t mh_slot_client_tick(struct mh_slot_client *p)
{
	uint64_t now_ns = now_of(p), next_ns = p->scan_ns;

	if (now_ns >= p->scan_ns) {
		p->scan_ns = now_ns + SCAN_NS;
		next_ns = p->scan_ns;
		mh_dispatch_set_share(p->own, p->entries);
		mh_candidates_dial(&p->candidates, p->used, now_ns, change_link,
				   p);
		choose_again(p);
		tell_spending(p);
		if (now_ns >= p->ping_ns) {
			p->ping_ns = now_ns + PING_NS;
			send_pings(p);
		}
		if (p->used && is_alone(p, now_ns))
			use(p, NULL);
		else if (!p->used && is_alone(p, now_ns))
			ask_own_for_all(p);
	}
	if (!p->used && is_alone(p, now_ns)) {
		uint64_t own_ns;

		mh_catalog_tick(p->catalog, now_ns);
		own_ns = mh_dispatch_tick(p->own);
		if (own_ns < next_ns)
			next_ns = own_ns;
	}
	mh_links_flush(p->links);
	return next_ns;
}
