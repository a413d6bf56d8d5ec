/*
 * Yielding between entries: before a request is shed, every other entry has to
 * confirm that no lower tier waits there for the pool, and must not admit one
 * for a term. An entry that is asked to yield sheds its own lowest tier first.
 */
#include <stdlib.h>
#include <string.h>

#include "core/entry_impl.h"

#define YIELD_RETRY_NS (200 * MH_NS_PER_MS)

/* Share of its term in which a confirmation is used, as clock rates differ. */
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

/* Return: whether a term confirmed to a peer keeps this tier out for now. */
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

static struct mh_admission_queue *get_queue(struct mh_entry *e,
					    const char *pool, uint8_t tier)
{
	struct mh_admission_queue *queue;

	DL_FOREACH(e->admission_queues, queue) {
		if (queue->tier == tier && !strcmp(queue->pool, pool))
			return queue;
	}
	queue = calloc(1, sizeof(*queue));
	if (!queue)
		return NULL;
	queue->pool = strdup(pool);
	queue->tier = tier;
	DL_APPEND(e->admission_queues, queue);
	return queue;
}

static bool is_lowest_tier(const struct mh_entry *e, uint8_t tier)
{
	return tier + 1 >= mh_entry_manifest(e)->n_tiers;
}

static struct mh_yield_state *get_yield_state(struct mh_admission_queue *queue,
					      struct mh_peer *peer)
{
	struct mh_yield_state *yield;

	DL_FOREACH(queue->yield_states, yield) {
		if (yield->peer == peer)
			return yield;
	}
	yield = calloc(1, sizeof(*yield));
	if (!yield)
		return NULL;
	yield->peer = peer;
	DL_APPEND(queue->yield_states, yield);
	return yield;
}

static void send_give_way(struct mh_entry *e,
			  const struct mh_admission_queue *queue,
			  struct mh_yield_state *yield, uint32_t count)
{
	Mh__GiveWay msg = MH__GIVE_WAY__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	yield->ask_id = ++e->next_ask_id;
	yield->sent_ns = mh_entry_now(e);
	yield->outstanding = true;
	yield->term_ms = mh_entry_manifest(e)->policy.give_way_term_ms;
	msg.ask_id = yield->ask_id;
	msg.pool = queue->pool;
	msg.tier = queue->tier;
	msg.term_ms = yield->term_ms;
	msg.count = count;
	frame.body_case = MH__FRAME__BODY_GIVE_WAY;
	frame.give_way = &msg;
	mh_count(&e->counters, MH_C_GIVE_WAY_SENT);
	mh_entry_send(e, yield->peer->link, &frame);
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
 * Sends a request to yield to each entry that has not yet confirmed that no
 * tier below the queue's waits there. @need is divided among the linked ones;
 * the remainder goes to some of them at random. Return: whether all confirmed.
 */
static bool ask_peers_to_yield(struct mh_entry *e,
			       struct mh_admission_queue *queue, uint32_t need)
{
	uint64_t now = mh_entry_now(e);
	uint32_t n_up = count_up_peers(e), rotation;
	struct mh_peer *p;
	bool all = true;

	rotation = n_up ? (uint32_t)(mh_rng_next(&e->rng) % n_up) : 0;

	DL_FOREACH(e->peers, p) {
		struct mh_yield_state *yield;

		if (!p->up && !p->listed)
			continue;
		yield = get_yield_state(queue, p);
		if (yield && yield->none_lower_until_ns > now)
			continue;
		all = false;
		if (!yield || !p->up || !n_up)
			continue;
		rotation = (rotation + 1) % n_up;
		if (!yield->outstanding ||
		    now > yield->sent_ns + YIELD_RETRY_NS)
			send_give_way(e, queue, yield,
				      (need + rotation) / n_up);
	}
	return all;
}

static void append_to_queue(struct mh_entry *e,
			    struct mh_admission_queue *queue,
			    struct mh_req *req)
{
	req->state = MH_REQ_ADMIT;
	DL_APPEND(queue->reqs, req);
	queue->n_reqs++;
	mh_entry_set_due(e, req, req->call->deadline_ns);
}

/* The lowest tier is refused at once: there is no lower one to shed. */
void mh_entry_enter_admission(struct mh_entry *e, struct mh_req *req)
{
	struct mh_admission_queue *queue =
		get_queue(e, req->call->pool, req->waiter.tier);

	if (!queue || is_lowest_tier(e, req->waiter.tier))
		mh_entry_refuse(e, req, MH_ERR_OVERLOADED);
	else
		append_to_queue(e, queue, req);
}

void mh_entry_leave_admission(struct mh_entry *e, struct mh_req *req)
{
	struct mh_admission_queue *queue =
		get_queue(e, req->call->pool, req->waiter.tier);

	if (!queue)
		return;
	DL_DELETE(queue->reqs, req);
	queue->n_reqs--;
}

/*
 * Sheds a request of the lowest tier that waits here to make room for one of
 * @tier. If a tier below the victim's may wait at another entry, that entry has
 * to yield first. Return: whether a request was shed.
 */
bool mh_entry_try_shed(struct mh_entry *e, const char *pool, uint8_t tier,
		       uint32_t need)
{
	struct mh_waiter *victim = mh_entry_victim(e, pool, tier);
	struct mh_admission_queue *queue;

	if (!victim)
		return false;
	if (!is_lowest_tier(e, victim->tier)) {
		queue = get_queue(e, pool, victim->tier);
		if (!queue || !ask_peers_to_yield(e, queue, need))
			return false;
	}
	mh_count(&e->counters, MH_C_GIVE_WAY_SHED);
	mh_entry_refuse(e, victim->owner, MH_ERR_SHED_FOR_HIGHER_TIER);
	return true;
}

static void admit_from_queue(struct mh_entry *e, struct mh_req *req)
{
	mh_entry_leave_admission(e, req);
	mh_entry_enter_wait_queue(e, req);
}

/* Admits what it can; refuses the rest once no lower tier waits anywhere. */
static void resolve_queue(struct mh_entry *e, struct mh_admission_queue *queue)
{
	bool below_floor = mh_entry_below_floor(e, queue->pool, queue->tier);

	while (queue->reqs && !below_floor &&
	       (mh_entry_has_room(e, queue->reqs) ||
		mh_entry_try_shed(e, queue->pool, queue->tier, queue->n_reqs)))
		admit_from_queue(e, queue->reqs);
	if (!queue->reqs || mh_entry_victim(e, queue->pool, queue->tier) ||
	    !ask_peers_to_yield(e, queue, queue->n_reqs))
		return;
	while (queue->reqs)
		mh_entry_refuse(e, queue->reqs, MH_ERR_OVERLOADED);
}

/* Admits no tier below that of @request for the term that the peer named. */
static void raise_floor(struct mh_entry *e,
			const struct mh_yield_request *request)
{
	struct mh_pool_floor *floor = get_floor(e, request->pool);
	uint64_t until = mh_entry_now(e) + request->term_ms * MH_NS_PER_MS;

	if (floor && floor->until_ns[request->tier] < until)
		floor->until_ns[request->tier] = until;
}

static void send_gave(struct mh_entry *e,
		      const struct mh_yield_request *request, bool none_left)
{
	Mh__Gave msg = MH__GAVE__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.ask_id = request->ask_id;
	msg.shed = request->shed;
	msg.none_left = none_left;
	frame.body_case = MH__FRAME__BODY_GAVE;
	frame.gave = &msg;
	mh_entry_send(e, request->link, &frame);
}

static void free_yield_request(struct mh_entry *e,
			       struct mh_yield_request *request)
{
	DL_DELETE(e->yield_requests, request);
	free(request->pool);
	free(request);
}

static void resolve_yield_request(struct mh_entry *e,
				  struct mh_yield_request *request)
{
	bool none_left;

	while (request->shed < request->count &&
	       mh_entry_try_shed(e, request->pool, request->tier,
				 request->count - request->shed))
		request->shed++;
	none_left = !mh_entry_victim(e, request->pool, request->tier);
	if (!none_left && request->shed < request->count)
		return;
	if (none_left)
		raise_floor(e, request);
	send_gave(e, request, none_left);
	free_yield_request(e, request);
}

void mh_entry_resolve_admissions(struct mh_entry *e)
{
	struct mh_yield_request *request, *tmp;
	struct mh_admission_queue *queue;

	DL_FOREACH_SAFE(e->yield_requests, request, tmp)
		resolve_yield_request(e, request);
	DL_FOREACH(e->admission_queues, queue) {
		if (queue->reqs)
			resolve_queue(e, queue);
	}
}

/*
 * Drops a peer's requests for a pool and tier, or all if @tier is negative. A
 * newer request of the peer replaces the former one.
 */
static void drop_yield_requests(struct mh_entry *e, uint32_t link,
				const char *pool, int tier)
{
	struct mh_yield_request *request, *tmp;

	DL_FOREACH_SAFE(e->yield_requests, request, tmp) {
		if (request->link != link)
			continue;
		if (tier < 0 ||
		    (request->tier == tier && !strcmp(request->pool, pool)))
			free_yield_request(e, request);
	}
}

void mh_entry_on_give_way(struct mh_entry *e, uint32_t link,
			  const Mh__GiveWay *msg)
{
	struct mh_yield_request *request;

	if (msg->tier >= MH_MAX_TIERS || !mh_entry_manifest(e))
		return;
	drop_yield_requests(e, link, msg->pool, (int)msg->tier);
	request = calloc(1, sizeof(*request));
	if (!request)
		return;
	request->link = link;
	request->ask_id = msg->ask_id;
	request->pool = strdup(msg->pool);
	request->tier = (uint8_t)msg->tier;
	request->term_ms = msg->term_ms;
	request->count = msg->count;
	DL_APPEND(e->yield_requests, request);
	resolve_yield_request(e, request);
}

static void apply_gave(struct mh_entry *e, struct mh_admission_queue *queue,
		       struct mh_yield_state *yield, const Mh__Gave *msg)
{
	uint32_t room = msg->shed;

	yield->outstanding = false;
	if (msg->none_left)
		yield->none_lower_until_ns =
			yield->sent_ns +
			yield->term_ms * MH_NS_PER_MS * TERM_USED_PERCENT / 100;
	/* A request shed by the peer admits one here, even above the limit. */
	while (room-- && queue->reqs &&
	       !mh_entry_below_floor(e, queue->pool, queue->tier))
		admit_from_queue(e, queue->reqs);
}

void mh_entry_on_gave(struct mh_entry *e, const Mh__Gave *msg)
{
	struct mh_yield_state *yield;
	struct mh_admission_queue *queue;

	DL_FOREACH(e->admission_queues, queue) {
		DL_FOREACH(queue->yield_states, yield) {
			if (!yield->outstanding || yield->ask_id != msg->ask_id)
				continue;
			apply_gave(e, queue, yield, msg);
			return;
		}
	}
	mh_count(&e->counters, MH_C_LATE_FRAMES);
}

void mh_entry_peer_down(struct mh_entry *e, struct mh_peer *peer)
{
	struct mh_yield_state *yield;
	struct mh_admission_queue *queue;

	drop_yield_requests(e, peer->link, NULL, -1);
	DL_FOREACH(e->admission_queues, queue) {
		DL_FOREACH(queue->yield_states, yield) {
			if (yield->peer != peer)
				continue;
			/* A restarted peer does not keep what it confirmed. */
			yield->outstanding = false;
			yield->none_lower_until_ns = 0;
		}
	}
}

static void free_queue(struct mh_admission_queue *queue)
{
	struct mh_yield_state *yield, *tmp;

	DL_FOREACH_SAFE(queue->yield_states, yield, tmp)
		free(yield);
	free(queue->pool);
	free(queue);
}

void mh_entry_free_admissions(struct mh_entry *e)
{
	struct mh_pool_floor *f, *tmp_f;
	struct mh_admission_queue *queue, *tmp;

	while (e->yield_requests)
		free_yield_request(e, e->yield_requests);
	DL_FOREACH_SAFE(e->admission_queues, queue, tmp)
		free_queue(queue);
	DL_FOREACH_SAFE(e->floors, f, tmp_f) {
		free(f->pool);
		free(f);
	}
}
