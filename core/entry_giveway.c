/*
 * Giving way between entries: before a request is shed, every entry of the pool
 * has to say that nothing of a lower tier waits there, and to keep it so for a
 * while. Whoever is asked sheds its own lowest tier first.
 */
#include <stdlib.h>
#include <string.h>

#include "core/entry_impl.h"

#define ASK_RETRY_NS (200 * MH_NS_PER_MS)

/* An assurance is used for this share of its term, to cover clock rates. */
#define TERM_USED_PERCENT 80

static struct mh_pool_floor *get_floor(struct mh_entry *e, const char *pool)
{
	struct mh_pool_floor *f;

	DL_FOREACH(e->floors, f) {
		if (!strcmp(f->pool, pool))
			return f;
	}
	f = calloc(1, sizeof(*f));
	if (!f)
		return NULL;
	f->pool = strdup(pool);
	DL_APPEND(e->floors, f);
	return f;
}

/* Whether a peer was promised that this tier stays out for now. */
bool mh_entry_below_floor(struct mh_entry *e, const char *pool, uint8_t tier)
{
	uint64_t now = mh_entry_now(e);
	struct mh_pool_floor *f;
	uint8_t i;

	DL_FOREACH(e->floors, f) {
		if (strcmp(f->pool, pool))
			continue;
		for (i = 0; i < tier; i++) {
			if (f->until_ns[i] > now)
				return true;
		}
	}
	return false;
}

static struct mh_admission_queue *get_ask(struct mh_entry *e, const char *pool,
					  uint8_t tier)
{
	struct mh_admission_queue *ask;

	DL_FOREACH(e->admission_queues, ask) {
		if (ask->tier == tier && !strcmp(ask->pool, pool))
			return ask;
	}
	ask = calloc(1, sizeof(*ask));
	if (!ask)
		return NULL;
	ask->pool = strdup(pool);
	ask->tier = tier;
	DL_APPEND(e->admission_queues, ask);
	return ask;
}

static bool is_lowest_tier(const struct mh_entry *e, uint8_t tier)
{
	return tier + 1 >= mh_entry_manifest(e)->n_tiers;
}

static struct mh_yield_state *get_assurance(struct mh_admission_queue *ask,
					    struct mh_peer *peer)
{
	struct mh_yield_state *a;

	DL_FOREACH(ask->yield_states, a) {
		if (a->peer == peer)
			return a;
	}
	a = calloc(1, sizeof(*a));
	if (!a)
		return NULL;
	a->peer = peer;
	DL_APPEND(ask->yield_states, a);
	return a;
}

static void send_give_way(struct mh_entry *e,
			  const struct mh_admission_queue *ask,
			  struct mh_yield_state *a, uint32_t count)
{
	Mh__GiveWay msg = MH__GIVE_WAY__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	a->ask_id = ++e->next_ask_id;
	a->sent_ns = mh_entry_now(e);
	a->outstanding = true;
	a->term_ms = mh_entry_manifest(e)->policy.give_way_term_ms;
	msg.ask_id = a->ask_id;
	msg.pool = ask->pool;
	msg.tier = ask->tier;
	msg.term_ms = a->term_ms;
	msg.count = count;
	frame.body_case = MH__FRAME__BODY_GIVE_WAY;
	frame.give_way = &msg;
	mh_count(&e->counters, MH_C_GIVE_WAY_SENT);
	mh_entry_send(e, a->peer->link, &frame);
}

static uint32_t count_up_peers(const struct mh_entry *e)
{
	const struct mh_peer *p;
	uint32_t n = 0;

	DL_FOREACH(e->peers, p)
		n += p->up;
	return n;
}

/*
 * Whether every other entry has said that nothing lower waits there. Those that
 * have not are asked, and share the number of requests that need room.
 */
static bool all_assured(struct mh_entry *e, struct mh_admission_queue *ask,
			uint32_t need)
{
	uint64_t now = mh_entry_now(e);
	uint32_t n_up = count_up_peers(e), turn;
	struct mh_peer *p;
	bool all = true;

	turn = n_up ? (uint32_t)(mh_rng_next(&e->rng) % n_up) : 0;

	DL_FOREACH(e->peers, p) {
		struct mh_yield_state *a;

		if (!p->up && !p->listed)
			continue;
		a = get_assurance(ask, p);
		if (a && a->none_lower_until_ns > now)
			continue;
		all = false;
		if (!a || !p->up || !n_up)
			continue;
		turn = (turn + 1) % n_up;
		if (!a->outstanding || now > a->sent_ns + ASK_RETRY_NS)
			send_give_way(e, ask, a, (need + turn) / n_up);
	}
	return all;
}

static void enter_ask_list(struct mh_entry *e, struct mh_admission_queue *ask,
			   struct mh_req *req)
{
	req->state = MH_REQ_ADMIT;
	DL_APPEND(ask->reqs, req);
	ask->n_reqs++;
	mh_entry_set_due(e, req, req->call->deadline_ns);
}

/* Nothing is lower than the lowest tier, so nobody has to be asked for it. */
void mh_entry_enter_admission(struct mh_entry *e, struct mh_req *req)
{
	struct mh_admission_queue *ask =
		get_ask(e, req->call->pool, req->waiter.tier);

	if (!ask || is_lowest_tier(e, req->waiter.tier))
		mh_entry_refuse(e, req, MH_ERR_OVERLOADED);
	else
		enter_ask_list(e, ask, req);
}

void mh_entry_leave_admission(struct mh_entry *e, struct mh_req *req)
{
	struct mh_admission_queue *ask =
		get_ask(e, req->call->pool, req->waiter.tier);

	if (!ask)
		return;
	DL_DELETE(ask->reqs, req);
	ask->n_reqs--;
}

/*
 * Sheds the lowest request that waits here for one of @tier. If a lower tier
 * than the victim's may wait elsewhere, the other entries are asked first.
 */
bool mh_entry_try_shed(struct mh_entry *e, const char *pool, uint8_t tier,
		       uint32_t need)
{
	struct mh_waiter *victim = mh_entry_victim(e, pool, tier);
	struct mh_admission_queue *ask;

	if (!victim)
		return false;
	if (!is_lowest_tier(e, victim->tier)) {
		ask = get_ask(e, pool, victim->tier);
		if (!ask || !all_assured(e, ask, need))
			return false;
	}
	mh_count(&e->counters, MH_C_GIVE_WAY_SHED);
	mh_entry_refuse(e, victim->owner, MH_ERR_SHED_FOR_HIGHER_TIER);
	return true;
}

static void admit_from_ask(struct mh_entry *e, struct mh_req *req)
{
	mh_entry_leave_admission(e, req);
	mh_entry_enter_wait_queue(e, req);
}

static void resolve_ask(struct mh_entry *e, struct mh_admission_queue *ask)
{
	bool out = mh_entry_below_floor(e, ask->pool, ask->tier);

	while (ask->reqs && !out &&
	       (mh_entry_has_room(e, ask->reqs) ||
		mh_entry_try_shed(e, ask->pool, ask->tier, ask->n_reqs)))
		admit_from_ask(e, ask->reqs);
	if (!ask->reqs || mh_entry_victim(e, ask->pool, ask->tier) ||
	    !all_assured(e, ask, ask->n_reqs))
		return;
	while (ask->reqs)
		mh_entry_refuse(e, ask->reqs, MH_ERR_OVERLOADED);
}

/* Keeps the tiers below @debt's out for the term that the peer named. */
static void raise_floor(struct mh_entry *e, const struct mh_yield_request *debt)
{
	struct mh_pool_floor *floor = get_floor(e, debt->pool);
	uint64_t until = mh_entry_now(e) + debt->term_ms * MH_NS_PER_MS;

	if (floor && floor->until_ns[debt->tier] < until)
		floor->until_ns[debt->tier] = until;
}

static void send_gave(struct mh_entry *e, const struct mh_yield_request *debt,
		      bool none_left)
{
	Mh__Gave msg = MH__GAVE__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.ask_id = debt->ask_id;
	msg.shed = debt->shed;
	msg.none_left = none_left;
	frame.body_case = MH__FRAME__BODY_GAVE;
	frame.gave = &msg;
	mh_entry_send(e, debt->link, &frame);
}

static void free_debt(struct mh_entry *e, struct mh_yield_request *debt)
{
	DL_DELETE(e->yield_requests, debt);
	free(debt->pool);
	free(debt);
}

static void resolve_debt(struct mh_entry *e, struct mh_yield_request *debt)
{
	bool none_left;

	while (debt->shed < debt->count &&
	       mh_entry_try_shed(e, debt->pool, debt->tier,
				 debt->count - debt->shed))
		debt->shed++;
	none_left = !mh_entry_victim(e, debt->pool, debt->tier);
	if (!none_left && debt->shed < debt->count)
		return;
	if (none_left)
		raise_floor(e, debt);
	send_gave(e, debt, none_left);
	free_debt(e, debt);
}

void mh_entry_resolve_admissions(struct mh_entry *e)
{
	struct mh_yield_request *debt, *tmp;
	struct mh_admission_queue *ask;

	DL_FOREACH_SAFE(e->yield_requests, debt, tmp)
		resolve_debt(e, debt);
	DL_FOREACH(e->admission_queues, ask) {
		if (ask->reqs)
			resolve_ask(e, ask);
	}
}

/* A peer that admission_queues again has given up on its former question. */
static void drop_debts_of(struct mh_entry *e, uint32_t link, const char *pool,
			  int tier)
{
	struct mh_yield_request *debt, *tmp;

	DL_FOREACH_SAFE(e->yield_requests, debt, tmp) {
		if (debt->link != link)
			continue;
		if (tier < 0 ||
		    (debt->tier == tier && !strcmp(debt->pool, pool)))
			free_debt(e, debt);
	}
}

void mh_entry_on_give_way(struct mh_entry *e, uint32_t link,
			  const Mh__GiveWay *msg)
{
	struct mh_yield_request *debt;

	if (msg->tier >= MH_MAX_TIERS || !mh_entry_manifest(e))
		return;
	drop_debts_of(e, link, msg->pool, (int)msg->tier);
	debt = calloc(1, sizeof(*debt));
	if (!debt)
		return;
	debt->link = link;
	debt->ask_id = msg->ask_id;
	debt->pool = strdup(msg->pool);
	debt->tier = (uint8_t)msg->tier;
	debt->term_ms = msg->term_ms;
	debt->count = msg->count;
	DL_APPEND(e->yield_requests, debt);
	resolve_debt(e, debt);
}

static void apply_gave(struct mh_entry *e, struct mh_admission_queue *ask,
		       struct mh_yield_state *a, const Mh__Gave *msg)
{
	uint32_t room = msg->shed;

	a->outstanding = false;
	if (msg->none_left)
		a->none_lower_until_ns =
			a->sent_ns +
			a->term_ms * MH_NS_PER_MS * TERM_USED_PERCENT / 100;
	/* Room given up by a peer may be used here, over this entry's limit. */
	while (room-- && ask->reqs &&
	       !mh_entry_below_floor(e, ask->pool, ask->tier))
		admit_from_ask(e, ask->reqs);
}

void mh_entry_on_gave(struct mh_entry *e, const Mh__Gave *msg)
{
	struct mh_yield_state *a;
	struct mh_admission_queue *ask;

	DL_FOREACH(e->admission_queues, ask) {
		DL_FOREACH(ask->yield_states, a) {
			if (!a->outstanding || a->ask_id != msg->ask_id)
				continue;
			apply_gave(e, ask, a, msg);
			return;
		}
	}
	mh_count(&e->counters, MH_C_LATE_FRAMES);
}

void mh_entry_peer_down(struct mh_entry *e, struct mh_peer *peer)
{
	struct mh_yield_state *a;
	struct mh_admission_queue *ask;

	drop_debts_of(e, peer->link, NULL, -1);
	DL_FOREACH(e->admission_queues, ask) {
		DL_FOREACH(ask->yield_states, a) {
			if (a->peer != peer)
				continue;
			/* A process that is started anew keeps no promise. */
			a->outstanding = false;
			a->none_lower_until_ns = 0;
		}
	}
}

static void free_ask(struct mh_admission_queue *ask)
{
	struct mh_yield_state *a, *tmp;

	DL_FOREACH_SAFE(ask->yield_states, a, tmp)
		free(a);
	free(ask->pool);
	free(ask);
}

void mh_entry_free_admissions(struct mh_entry *e)
{
	struct mh_pool_floor *f, *tmp_f;
	struct mh_admission_queue *ask, *tmp;

	while (e->yield_requests)
		free_debt(e, e->yield_requests);
	DL_FOREACH_SAFE(e->admission_queues, ask, tmp)
		free_ask(ask);
	DL_FOREACH_SAFE(e->floors, f, tmp_f) {
		free(f->pool);
		free(f);
	}
}
