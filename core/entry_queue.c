/*
 * Waiting requests: admission, demand sent to the sides, and the choice of the
 * request that a grant is used for.
 */
#include <stdlib.h>
#include <string.h>

#include "core/entry_impl.h"

#define WANT_REFRESH_NS (50 * MH_NS_PER_MS)
#define WANT_REPEAT_NS (1000 * MH_NS_PER_MS)
#define MAX_SLACK_MS 86400000u

static struct mh_wait_queue *get_wait_queue(struct mh_entry *e,
					    const char *pool, const char *model)
{
	struct mh_wait_queue **wait_queues;
	size_t i;

	for (i = 0; i < e->n_wait_queues; i++) {
		if (!strcmp(e->wait_queues[i]->pool, pool) &&
		    !strcmp(e->wait_queues[i]->model, model))
			return e->wait_queues[i];
	}
	wait_queues = realloc(e->wait_queues,
			      (e->n_wait_queues + 1) * sizeof(*wait_queues));
	if (!wait_queues)
		return NULL;
	e->wait_queues = wait_queues;
	wait_queues[e->n_wait_queues] = mh_wait_queue_new(pool, model);
	return wait_queues[e->n_wait_queues] ? wait_queues[e->n_wait_queues++] :
					       NULL;
}

bool mh_server_serves(const struct mh_server *s, const char *pool,
		      const char *model)
{
	size_t i;

	if (!s->pool || strcmp(s->pool, pool))
		return false;
	if (!*model)
		return true;
	for (i = 0; i < s->n_models; i++) {
		if (!strcmp(s->models[i], model))
			return true;
	}
	return false;
}

static uint32_t pool_waiting(const struct mh_entry *e, const char *pool)
{
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < e->n_wait_queues; i++) {
		if (!strcmp(e->wait_queues[i]->pool, pool))
			n += e->wait_queues[i]->count;
	}
	return n;
}

uint32_t mh_entry_count_waiting(const struct mh_entry *e, const char *pool,
				uint8_t tier)
{
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < e->n_wait_queues; i++) {
		if (!strcmp(e->wait_queues[i]->pool, pool))
			n += mh_wait_queue_count(e->wait_queues[i], tier);
	}
	return n;
}

struct mh_waiter *mh_entry_victim(struct mh_entry *e, const char *pool,
				  uint8_t tier)
{
	struct mh_waiter *victim = NULL;
	size_t i;

	for (i = 0; i < e->n_wait_queues; i++) {
		struct mh_waiter *w;

		if (strcmp(e->wait_queues[i]->pool, pool))
			continue;
		w = mh_wait_queue_victim(e->wait_queues[i], tier);
		if (w && (!victim || w->tier > victim->tier))
			victim = w;
	}
	return victim;
}

static uint32_t pool_max_waiting(const struct mh_entry *e, const char *pool)
{
	const struct mh_pool *p = mh_manifest_pool(mh_entry_manifest(e), pool);

	return p ? p->max_waiting : 0;
}

bool mh_entry_has_room(struct mh_entry *e, const struct mh_req *req)
{
	return pool_waiting(e, req->call->pool) <
	       pool_max_waiting(e, req->call->pool);
}

/* Score for rendezvous hashing of the start of a prompt over servers. */
static uint64_t affinity_score(uint64_t prefix_hash, const struct mh_server *s)
{
	return XXH64(s->host, strlen(s->host), prefix_hash);
}

static struct mh_server *pick_server(struct mh_entry *e,
				     const struct mh_req *req, bool by_load)
{
	struct mh_server *s, *best = NULL;
	uint64_t best_score = 0;

	DL_FOREACH(e->servers, s) {
		uint64_t score = affinity_score(req->prefix_hash, s);

		if (!mh_server_takes_work(e, s) ||
		    !mh_server_serves(s, req->call->pool, req->call->model))
			continue;
		if (by_load && best && s->running > best->running)
			continue;
		if (by_load && best && s->running < best->running)
			best = NULL;
		if (best && score <= best_score)
			continue;
		best = s;
		best_score = score;
	}
	return best;
}

void mh_server_want_changed(struct mh_entry *e, struct mh_server *s)
{
	s->want_dirty = true;
	e->wants_dirty = true;
}

static void add_preferred(struct mh_entry *e, struct mh_req *req,
			  struct mh_server *s)
{
	int i;

	for (i = 0; i < MH_MAX_PREFERRED; i++) {
		if (req->preferred[i] == s)
			return;
		if (req->preferred[i])
			continue;
		req->preferred[i] = s;
		s->n_preferring[req->waiter.tier]++;
		mh_server_want_changed(e, s);
		return;
	}
}

static void mark_servers_want_changed(struct mh_entry *e,
				      const struct mh_wait_queue *wait_queue)
{
	struct mh_server *s;

	DL_FOREACH(e->servers, s) {
		if (s->up &&
		    mh_server_serves(s, wait_queue->pool, wait_queue->model))
			mh_server_want_changed(e, s);
	}
}

static void clear_preferred(struct mh_entry *e, struct mh_req *req)
{
	int i;

	for (i = 0; i < MH_MAX_PREFERRED; i++) {
		struct mh_server *s = req->preferred[i];

		if (!s)
			continue;
		s->n_preferring[req->waiter.tier]--;
		mh_server_want_changed(e, s);
		req->preferred[i] = NULL;
	}
}

void mh_entry_widen(struct mh_entry *e, struct mh_req *req)
{
	mh_entry_set_due(e, req, e->policy->expiry_ns(e, req));
	if (req->wide)
		return;
	clear_preferred(e, req);
	req->wide = true;
	req->wait_queue->n_wide[req->waiter.tier]++;
	mark_servers_want_changed(e, req->wait_queue);
}

void mh_entry_enter_wait_queue(struct mh_entry *e, struct mh_req *req)
{
	const struct mh_manifest *m = mh_entry_manifest(e);
	struct mh_server *preferred, *least_loaded;
	uint64_t widen_ns, expiry_ns;

	req->wait_queue = get_wait_queue(e, req->call->pool, req->call->model);
	if (!req->wait_queue ||
	    !mh_wait_queue_add(req->wait_queue, &req->waiter)) {
		mh_entry_refuse(e, req, MH_ERR_OVERLOADED);
		return;
	}
	req->state = MH_REQ_WAIT;
	req->wide = false;
	preferred = pick_server(e, req, false);
	least_loaded = pick_server(e, req, true);
	if (!preferred ||
	    !e->policy->preferred_first(e, req, preferred, least_loaded)) {
		mh_entry_widen(e, req);
		return;
	}
	add_preferred(e, req, preferred);
	widen_ns = mh_entry_now(e) + m->policy.widen_ms * MH_NS_PER_MS;
	expiry_ns = e->policy->expiry_ns(e, req);
	mh_entry_set_due(e, req, widen_ns < expiry_ns ? widen_ns : expiry_ns);
}

void mh_entry_leave_wait_queue(struct mh_entry *e, struct mh_req *req,
			       bool served)
{
	if (served)
		mh_wait_queue_serve(req->wait_queue, &req->waiter);
	else
		mh_wait_queue_remove(req->wait_queue, &req->waiter);
	clear_preferred(e, req);
	if (!req->wide)
		return;
	req->wide = false;
	req->wait_queue->n_wide[req->waiter.tier]--;
	mark_servers_want_changed(e, req->wait_queue);
}

/*
 * Queues a request if no floor excludes its tier, and there is room or a
 * request of a lower tier can be shed for it. Otherwise it waits until the
 * other entries have yielded; on the lowest tier it is refused.
 */
void mh_entry_admit(struct mh_entry *e, struct mh_req *req)
{
	const char *pool = req->call->pool;
	uint8_t tier = req->waiter.tier;

	if (!mh_entry_below_floor(e, pool, tier) &&
	    (mh_entry_has_room(e, req) || mh_entry_try_shed(e, pool, tier, 1)))
		mh_entry_enter_wait_queue(e, req);
	else
		mh_entry_enter_admission(e, req);
}

/* Raises a request to the tier of a request that waits for it, if higher. */
void mh_entry_raise_tier(struct mh_entry *e, struct mh_req *req, uint8_t tier)
{
	enum mh_req_state state = req->state;

	if (tier >= req->waiter.tier)
		return;
	if (state == MH_REQ_WAIT)
		mh_entry_leave_wait_queue(e, req, false);
	if (state == MH_REQ_ADMIT)
		mh_entry_leave_admission(e, req);
	req->waiter.tier = tier;
	if (state == MH_REQ_WAIT)
		mh_entry_enter_wait_queue(e, req);
	if (state == MH_REQ_ADMIT)
		mh_entry_admit(e, req);
}

struct mh_req *mh_entry_next_req(struct mh_entry *e, const struct mh_server *s,
				 uint8_t lowest_tier)
{
	struct mh_waiter *best = NULL;
	size_t i;

	for (i = 0; i < e->n_wait_queues; i++) {
		struct mh_wait_queue *wait_queue = e->wait_queues[i];
		struct mh_waiter *w;

		if (!wait_queue->count ||
		    !mh_server_serves(s, wait_queue->pool, wait_queue->model))
			continue;
		w = mh_wait_queue_next(wait_queue, lowest_tier);
		if (!w || (best && w->tier > best->tier))
			continue;
		if (!best || w->tier < best->tier ||
		    w->deadline_ns < best->deadline_ns)
			best = w;
	}
	return best ? best->owner : NULL;
}

static void count_demand(const struct mh_entry *e, const struct mh_server *s,
			 uint32_t *want)
{
	size_t i, t;

	memcpy(want, s->n_preferring, sizeof(s->n_preferring));
	for (i = 0; i < e->n_wait_queues; i++) {
		const struct mh_wait_queue *wait_queue = e->wait_queues[i];

		if (!wait_queue->count ||
		    !mh_server_serves(s, wait_queue->pool, wait_queue->model))
			continue;
		for (t = 0; t < MH_MAX_TIERS; t++)
			want[t] += wait_queue->n_wide[t];
	}
}

static uint32_t slack_ms(struct mh_entry *e, const struct mh_server *s,
			 uint8_t tier)
{
	uint64_t now = mh_entry_now(e), earliest = UINT64_MAX;
	size_t i;

	for (i = 0; i < e->n_wait_queues; i++) {
		uint64_t t;

		if (!e->wait_queues[i]->count ||
		    !mh_server_serves(s, e->wait_queues[i]->pool,
				      e->wait_queues[i]->model))
			continue;
		t = mh_wait_queue_deadline_ns(e->wait_queues[i], tier);
		if (t < earliest)
			earliest = t;
	}
	if (earliest <= now)
		return 0;
	if (earliest - now > MAX_SLACK_MS * MH_NS_PER_MS)
		return MAX_SLACK_MS;
	return (uint32_t)((earliest - now) / MH_NS_PER_MS);
}

/* New, grown or ended demand is sent now, not at the next refresh. */
static bool must_send_now(const struct mh_server *s, const uint32_t *want)
{
	size_t t;

	if (!s->want_sent_valid)
		return true;
	for (t = 0; t < MH_MAX_TIERS; t++) {
		if (!want[t] != !s->want_sent[t] || want[t] > s->want_sent[t])
			return true;
	}
	return false;
}

static void send_want(struct mh_entry *e, struct mh_server *s,
		      const uint32_t *want)
{
	Mh__Want msg = MH__WANT__INIT;
	Mh__Frame frame = MH__FRAME__INIT;
	uint32_t counts[MH_MAX_TIERS], slack[MH_MAX_TIERS];
	uint8_t t, n = 0;

	for (t = 0; t < MH_MAX_TIERS; t++) {
		counts[t] = want[t];
		slack[t] = want[t] ? slack_ms(e, s, t) : 0;
		if (want[t])
			n = (uint8_t)(t + 1);
	}
	msg.n_count = n;
	msg.count = counts;
	msg.n_slack_ms = n;
	msg.slack_ms = slack;
	frame.body_case = MH__FRAME__BODY_WANT;
	frame.want = &msg;
	mh_count(&e->counters, MH_C_WANTS);
	mh_entry_send(e, s->link, &frame);
	memcpy(s->want_sent, want, sizeof(s->want_sent));
	s->want_sent_valid = true;
	s->want_dirty = false;
	s->want_sent_ns = mh_entry_now(e);
}

static bool sent_any_demand(const struct mh_server *s)
{
	size_t t;

	for (t = 0; t < MH_MAX_TIERS; t++) {
		if (s->want_sent[t])
			return true;
	}
	return false;
}

void mh_entry_flush_wants(struct mh_entry *e)
{
	static const uint32_t no_demand[MH_MAX_TIERS];
	uint64_t now = mh_entry_now(e);
	struct mh_server *s;

	if (!e->wants_dirty && now < e->next_want_scan_ns)
		return;
	e->wants_dirty = false;
	e->next_want_scan_ns = now + WANT_REFRESH_NS;
	DL_FOREACH(e->servers, s) {
		uint32_t want[MH_MAX_TIERS];

		/* The side may have dropped the demand, so it is sent again
		 * while there is any. */
		if (s->want_sent_valid &&
		    now > s->want_sent_ns + WANT_REPEAT_NS) {
			s->want_dirty = true;
			s->want_sent_valid = !sent_any_demand(s);
		}
		if (!s->up || !s->want_dirty)
			continue;
		if (mh_server_takes_work(e, s))
			count_demand(e, s, want);
		else
			memcpy(want, no_demand, sizeof(want));
		if (s->want_sent_valid &&
		    !memcmp(want, s->want_sent, sizeof(want))) {
			s->want_dirty = false;
			continue;
		}
		if (must_send_now(s, want) ||
		    now > s->want_sent_ns + WANT_REFRESH_NS)
			send_want(e, s, want);
	}
}

void mh_entry_free_queues(struct mh_entry *e)
{
	size_t i;

	mh_entry_free_admissions(e);
	for (i = 0; i < e->n_wait_queues; i++)
		mh_wait_queue_free(e->wait_queues[i]);
	free(e->wait_queues);
}
