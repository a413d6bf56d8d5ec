#include "core/dispatch.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/check_alloc.h"
#include "core/dispatch_impl.h"

/* Interval of the reviews, which refuse requests that can't be served in time
 * and move those whose servers don't respond. */
#define REVIEW_NS (20 * MH_NS_PER_MS)
/* Least time between two reviews with a policy by which more requests wait. */
#define REVIEW_GAP_NS (5 * MH_NS_PER_MS)
/* Period over which arrivals are counted and after which the means of servers
 * decay, and weight of the newest period in the arrival rate. */
#define RATE_PERIOD_NS (200 * MH_NS_PER_MS)
#define RATE_GAIN 0.25
/* Assumed before the first runs of a service: run time without a model, and
 * time for which a slot is held. */
#define INITIAL_PLAIN_MS 20.0
#define INITIAL_HOLD_MS 300.0

uint8_t mh_dispatch_tier(const struct mh_client_account *account,
			 const struct mh_route *route)
{
	uint8_t first =
		account && account->has_tier ? account->tier : route->tier;
	uint8_t second = route->tier;

	if (first >= MH_ACCOUNT_TIERS)
		first = MH_ACCOUNT_TIERS - 1;
	if (second >= MH_ROUTE_TIERS)
		second = MH_ROUTE_TIERS - 1;
	return first * MH_ROUTE_TIERS + second;
}

struct mh_dispatch *mh_dispatch_new(const struct mh_dispatch_conf *conf,
				    const struct mh_clock *clock, uint64_t seed,
				    const struct mh_dispatch_ops *ops,
				    void *data)
{
	struct mh_dispatch *d = mh_check_alloc(calloc(1, sizeof(*d)));

	d->conf = *conf;
	d->clock = clock;
	d->rng.state = d->seed = seed;
	d->ops = ops;
	d->data = data;
	d->n_sharing = 1;
	d->began_ns = mh_dispatch_now_ns(d);
	d->rates_updated_ns = d->began_ns;
	d->suspects = mh_suspects_new(mh_dispatch_on_suspect, d);
	d->open_runs = mh_open_runs_new();
	d->returning = mh_returning_new();
	d->limits = mh_server_notices_new(clock);
	d->linked = mh_entry_set_new();
	d->lost = mh_entry_set_new();
	return d;
}

void mh_dispatch_free_request(struct mh_dispatch *d, struct request *req)
{
	/* The analyzer does not follow uthash's deletion macros. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(d->requests, req);
	mh_dispatch_close_run(d, req);
	if (req->has_waiting_retry)
		mh_retry_window_give_up(&req->pool->retry_window);
	mh_features_unref(req->features);
	free(req->account);
	free(req->version);
	free(req);
}

static void free_pool(struct mh_dispatch *d, struct pool *p)
{
	struct server *s, *tmp;
	int t;

	HASH_ITER(hh, p->servers, s, tmp)
		mh_dispatch_free_server(d, p, s);
	for (t = 0; t < MH_TIERS; t++) {
		mh_heap_release(&p->queues[t].timely);
		mh_heap_release(&p->queues[t].late);
		mh_account_shares_free(p->queues[t].shares);
	}
	HASH_DEL(d->pools, p);
	mh_hedges_free(p->hedges);
	free(p->name);
	free(p);
}

void mh_dispatch_free(struct mh_dispatch *d)
{
	struct request *req, *tmp;
	struct pool *p, *tmp_p;

	if (!d)
		return;
	HASH_ITER(hh, d->requests, req, tmp)
		mh_dispatch_free_request(d, req);
	HASH_ITER(hh, d->pools, p, tmp_p)
		free_pool(d, p);
	mh_dispatch_free_quotas(d);
	mh_suspects_free(d->suspects);
	mh_open_runs_free(d->open_runs);
	mh_returning_free(d->returning);
	mh_server_notices_free(d->limits);
	mh_entry_set_free(d->linked);
	mh_entry_set_free(d->lost);
	free(d);
}

static bool target_first(const void *a, const void *b)
{
	return ((const struct request *)a)->target_ns <
	       ((const struct request *)b)->target_ns;
}

static bool deadline_first(const void *a, const void *b)
{
	return mh_dispatch_goes_first(a, b);
}

struct pool *mh_dispatch_pool(struct mh_dispatch *d, const char *name)
{
	struct pool *p;
	int t;

	HASH_FIND_STR(d->pools, name, p);
	if (p)
		return p;
	p = mh_check_alloc(calloc(1, sizeof(*p)));
	p->name = mh_check_alloc(strdup(name));
	p->plain_ms = INITIAL_PLAIN_MS;
	p->first_byte_ratio = 1;
	p->high_plain_ms.value = INITIAL_PLAIN_MS;
	p->high_first_byte_ratio.value = 1;
	p->total_time_ratio = 1;
	mh_retry_window_init(&p->retry_window, d->conf.retry_window_ms);
	for (t = 0; t < MH_TIERS; t++) {
		size_t at = offsetof(struct request, heap_index);

		mh_heap_init(&p->queues[t].timely, target_first, at);
		mh_heap_init(&p->queues[t].late, deadline_first, at);
		p->queues[t].hold_ms = INITIAL_HOLD_MS;
	}
	mh_dispatch_update_shares(d, p);
	HASH_ADD_KEYPTR(hh, d->pools, p->name, strlen(p->name), p);
	return p;
}

void mh_dispatch_set_conf(struct mh_dispatch *d,
			  const struct mh_dispatch_conf *conf)
{
	struct pool *p, *tmp;

	d->conf = *conf;
	HASH_ITER(hh, d->pools, p, tmp)
		mh_dispatch_update_shares(d, p);
}

void mh_dispatch_set_service(struct mh_dispatch *d,
			     const struct mh_dispatch_service_conf *service)
{
	struct pool *p = mh_dispatch_pool(d, service->name);

	p->conf_places = service->places;
	p->is_engine = service->is_engine;
}

void mh_dispatch_configure(struct mh_dispatch *d,
			   const struct mh_routes *routes)
{
	const struct mh_service *service;
	const struct mh_client_account *account;
	size_t i;

	for (i = 0; (service = mh_routes_service_at(routes, i)); i++) {
		struct mh_dispatch_service_conf s = { service->name,
						      service->places,
						      service->is_engine };

		mh_dispatch_set_service(d, &s);
	}
	for (i = 0; (account = mh_routes_account_at(routes, i)); i++)
		mh_dispatch_set_quota(d, account->name, account->rate_per_s,
				      account->burst);
}

struct server *mh_dispatch_find_server(const struct mh_dispatch *d,
				       const char *id)
{
	struct pool *p, *tmp;
	struct server *s;

	HASH_ITER(hh, d->pools, p, tmp) {
		HASH_FIND_STR(p->servers, id, s);
		if (s)
			return s;
	}
	return NULL;
}

static void reset_server(struct mh_dispatch *d, struct server *s)
{
	s->latency_ratio = 1;
	s->pace = (struct mh_server_pace){ 0 };
	s->failure_rate = s->pool->failure_rate;
	s->backoff_until_ns = 0;
	s->backoff_ms = 0;
	s->half_open = false;
	s->lost_in_a_row = 0;
	s->last_answer_ns = 0;
	s->lost_ns = 0;
	s->trial_lost_ns = 0;
	mh_dispatch_drop_ended(s);
	mh_dispatch_drop_undecided(d, s);
	s->is_leaving = false;
	mh_dispatch_drop_pauses(s);
	s->limit = (struct mh_server_limit){ .max_millihz = MH_NO_LIMIT };
	s->limited_ns = 0;
	mh_send_window_init(&s->sends, d->seed ^ s->id_hash);
}

static struct server *add_server(struct mh_dispatch *d,
				 const struct mh_backend_server *info)
{
	struct pool *p = mh_dispatch_pool(d, info->service);
	struct server *s = mh_check_alloc(calloc(1, sizeof(*s)));

	s->pool = p;
	s->info.id = mh_check_alloc(strdup(info->id));
	s->info.service = mh_check_alloc(strdup(info->service));
	s->info.address = mh_check_alloc(strdup(info->address));
	s->info.version = mh_check_alloc(strdup(""));
	s->id_hash = mh_dispatch_hash(info->id);
	HASH_ADD_KEYPTR(hh, p->servers, s->info.id, strlen(s->info.id), s);
	reset_server(d, s);
	return s;
}

static void set_version(struct server *s, const char *version)
{
	char *copy = mh_check_alloc(strdup(version ? version : ""));

	free((char *)s->info.version);
	s->info.version = copy;
}

static void begin_incarnation(struct mh_dispatch *d, struct server *s,
			      const struct mh_backend_server *info)
{
	mh_dispatch_begin_limit(d, s);
	s->warm_ns = mh_dispatch_now_ns(d) + info->cold_ms * MH_NS_PER_MS;
	s->n_compared = s->n_slow = 0;
}

void mh_dispatch_update_server(struct mh_dispatch *d,
			       const struct mh_backend_server *info)
{
	struct server *s = mh_dispatch_find_server(d, info->id);
	bool is_new;

	if (s && (strcmp(s->info.service, info->service) ||
		  strcmp(s->info.address, info->address))) {
		/* Service or address changed: its statistics don't apply. */
		s->takes_work = false;
		if (s->held)
			return;
		mh_dispatch_free_server(d, s->pool, s);
		s = NULL;
	}
	if (!s && !info->takes_work)
		return;
	if (!s)
		s = add_server(d, info);
	if (info->is_gone ||
	    (s->incarnation && s->info.born_ms != info->born_ms))
		mh_dispatch_record_gone(d, s);
	else if (!info->takes_work)
		mh_dispatch_drop_ended(s);
	if (s->info.born_ms != info->born_ms)
		reset_server(d, s);
	is_new = !s->incarnation || s->info.born_ms != info->born_ms;
	s->info.born_ms = info->born_ms;
	if (is_new)
		begin_incarnation(d, s, info);
	s->incarnation = mh_server_incarnation(&(struct mh_server_ref){
		info->id, info->address, info->born_ms });
	s->info.places = info->places;
	set_version(s, info->version);
	s->vanished = info->is_gone && (s->takes_work || s->vanished);
	s->takes_work = info->takes_work;
	s->is_doubtful = info->is_doubtful;
	if (!s->takes_work && !s->held)
		mh_dispatch_free_server(d, s->pool, s);
}

void mh_dispatch_update_registration(struct mh_dispatch *d,
				     const struct mh_registration *reg)
{
	struct mh_backend_server s = {
		.id = reg->id,
		.service = reg->service,
		.address = reg->address,
		.version = reg->version,
		.places = reg->places,
		.born_ms = reg->born_ms,
		.cold_ms = reg->cold_remaining_ms,
		.takes_work = reg->state == MH_SERVER_READY,
		.is_gone = reg->state == MH_SERVER_GONE,
		.is_doubtful = reg->is_doubtful,
	};

	if (reg->service)
		mh_dispatch_update_server(d, &s);
}

struct request *mh_dispatch_find_request(struct mh_dispatch *d, uint32_t owner,
					 uint64_t id)
{
	struct request_key key;
	struct request *req;

	memset(&key, 0, sizeof(key));
	key.id = id;
	key.owner = owner;
	HASH_FIND(hh, d->requests, &key, sizeof(key), req);
	return req;
}

/* Takes over @features. */
static struct request *add_request(struct mh_dispatch *d,
				   const struct mh_slot_request *slot_req,
				   struct mh_features *features)
{
	struct request *req = mh_check_alloc(calloc(1, sizeof(*req)));
	uint32_t i;

	req->key.id = slot_req->id;
	req->key.owner = slot_req->owner;
	req->pool = mh_dispatch_pool(d, slot_req->service);
	req->account = mh_check_alloc(strdup(slot_req->account));
	req->tier = slot_req->tier < MH_TIERS ? slot_req->tier : MH_TIERS - 1;
	req->units = slot_req->units;
	req->prompt_tokens = slot_req->prompt_tokens;
	req->output_tokens = slot_req->output_tokens;
	if (d->conf.length_aware)
		req->expected_tokens = slot_req->expected_tokens;
	req->target_ns = slot_req->target_ns;
	req->start_by_ns = slot_req->start_by_ns;
	req->deadline_ns = slot_req->deadline_ns;
	req->features = features;
	req->requested_ns = mh_dispatch_now_ns(d);
	req->kind = slot_req->kind;
	req->is_first_try = !slot_req->is_repeat && !slot_req->n_avoid;
	req->attempt_units = slot_req->units;
	req->is_repeatable = slot_req->is_repeatable;
	req->kind = slot_req->kind;
	req->heap_index = MH_HEAP_NONE;
	req->n_avoid = slot_req->n_avoid;
	for (i = 0; i < slot_req->n_avoid; i++)
		req->avoid[i] = mh_dispatch_hash(slot_req->avoid[i]);
	HASH_ADD(hh, d->requests, key, sizeof(req->key), req);
	return req;
}

/* Return: whether the request may wait for a slot; if not, @why tells the reason.
 */
static bool admit(struct mh_dispatch *d, const struct mh_slot_request *slot_req,
		  const struct mh_features *features, bool *over_quota,
		  struct mh_slot_refusal *why)
{
	struct pool *p = mh_dispatch_pool(d, slot_req->service);

	if (mh_dispatch_refuses(d, features, &why->feature)) {
		why->error = MH_ERR_CRASHES_SERVERS;
		return false;
	}
	if (mh_dispatch_is_charged_retry(slot_req) &&
	    !mh_dispatch_reserve_retry(d, p)) {
		why->error = MH_ERR_RETRY_BUDGET;
		why->retry_after_ms = MH_RETRY_AFTER_MAX_MS;
		return false;
	}
	if (mh_dispatch_take_units(d, slot_req, over_quota, why))
		return true;
	if (mh_dispatch_is_charged_retry(slot_req))
		mh_retry_window_give_up(&p->retry_window);
	return false;
}

static struct mh_features *features_of(const struct mh_slot_request *slot_req)
{
	return mh_features_new(slot_req->fingerprint, slot_req->parts,
			       slot_req->n_parts);
}

void mh_dispatch_request_slot(struct mh_dispatch *d,
			      const struct mh_slot_request *slot_req)
{
	struct pool *p = mh_dispatch_pool(d, slot_req->service);
	struct mh_slot_refusal why = { 0 };
	struct mh_features *features;
	bool over_quota = false;
	struct request *req;

	if (mh_dispatch_find_request(d, slot_req->owner, slot_req->id))
		return;
	features = features_of(slot_req);
	if (!admit(d, slot_req, features, &over_quota, &why)) {
		mh_features_unref(features);
		d->ops->refuse(d->data, slot_req->owner, slot_req->id, &why);
		return;
	}
	/* One with a server to avoid asked before. */
	if (!slot_req->is_repeat && !slot_req->n_avoid) {
		mh_retry_window_add_first_try(&p->retry_window,
					      mh_dispatch_now_ns(d));
		mh_dispatch_count_hedgeable(d, p);
	}
	req = add_request(d, slot_req, features);
	req->has_waiting_retry = mh_dispatch_is_charged_retry(slot_req);
	req->over_quota = over_quota;
	/* Requests beyond a quota must not delay those within theirs. */
	if (over_quota)
		req->tier = MH_TIERS - 1;
	p->queues[req->tier].arrived++;
	/* From here on target_ns is the latest start that meets the target. */
	req->target_ns -= (uint64_t)(mh_dispatch_latest_start_ms(d, p, req) *
				     MH_NS_PER_MS);
	mh_dispatch_note_return(d, req);
	req->late = req->target_ns <= req->requested_ns;
	mh_dispatch_enter_queue(d, req);
	d->review = true;
}

void mh_dispatch_adopt_slot(struct mh_dispatch *d,
			    const struct mh_slot_request *slot_req,
			    const char *server, uint32_t age_ms)
{
	struct server *s = mh_dispatch_find_server(d, server);
	struct request *req;

	if (!s || mh_dispatch_find_request(d, slot_req->owner, slot_req->id))
		return;
	req = add_request(d, slot_req, features_of(slot_req));
	req->placed_ns = mh_dispatch_now_ns(d) - age_ms * MH_NS_PER_MS;
	/* Its units count at the dispatcher that granted it. */
	req->units = 0;
	mh_dispatch_take_slot(s, req);
	mh_dispatch_note_version(d, req, false);
	mh_dispatch_open_run(d, req);
	mh_dispatch_adopt_hedge(d, req);
}

void mh_dispatch_first_byte(struct mh_dispatch *d, uint32_t owner, uint64_t id,
			    uint32_t first_ms)
{
	struct request *req = mh_dispatch_find_request(d, owner, id);

	if (!req || !req->server)
		return;
	mh_dispatch_judge_first_byte(d, req, first_ms);
	mh_dispatch_observe_first_byte(d, req, first_ms);
	mh_dispatch_record_first_byte(d, req, first_ms, mh_dispatch_now_ns(d));
	mh_dispatch_run_responds(d, req, mh_dispatch_now_ns(d));
	mh_dispatch_record_response(d, req, mh_dispatch_now_ns(d));
	mh_dispatch_resolve_unproven(d, req, mh_dispatch_now_ns(d));
	mh_dispatch_record_alive(d, req->server, mh_dispatch_now_ns(d));
}

void mh_dispatch_enter_queue(const struct mh_dispatch *d, struct request *req)
{
	struct queue *queue = &req->pool->queues[req->tier];

	if (!mh_heap_add(req->late ? &queue->late : &queue->timely, req))
		abort();
	mh_dispatch_share_add(d, queue, req);
}

void mh_dispatch_leave_queue(struct mh_dispatch *d, struct request *req)
{
	struct queue *queue = &req->pool->queues[req->tier];

	if (req->parked) {
		mh_dispatch_unpark(d, req);
		return;
	}
	mh_dispatch_share_remove(queue, req);
	mh_heap_remove(req->late ? &queue->late : &queue->timely, req);
}

bool mh_slot_is_uncharged(enum mh_slot_outcome outcome)
{
	return outcome == MH_SLOT_UNUSED || outcome == MH_SLOT_REJECTED ||
	       outcome == MH_SLOT_UNREACHABLE || outcome == MH_SLOT_HELD_BACK;
}

/* Whether the server got nothing of a request that had its slot. */
bool mh_dispatch_is_unsent(enum mh_slot_outcome outcome)
{
	return outcome == MH_SLOT_UNUSED || outcome == MH_SLOT_UNREACHABLE ||
	       outcome == MH_SLOT_HELD_BACK;
}

static void free_if_gone(struct mh_dispatch *d, struct server *s)
{
	if (!s->takes_work && !s->held)
		mh_dispatch_free_server(d, s->pool, s);
}

void mh_dispatch_streamed(struct mh_dispatch *d, uint32_t owner, uint64_t id,
			  uint32_t events)
{
	struct request *req = mh_dispatch_find_request(d, owner, id);

	if (req)
		req->events = events;
}

void mh_dispatch_done(struct mh_dispatch *d, uint32_t owner, uint64_t id,
		      enum mh_slot_outcome outcome, uint32_t total_ms)
{
	struct request *req = mh_dispatch_find_request(d, owner, id);
	struct server *s;

	if (!req)
		return;
	s = req->server;
	if (s) {
		mh_dispatch_judge_outcome(d, req, outcome, total_ms,
					  mh_dispatch_now_ns(d));
		mh_dispatch_record_outcome(d, req, outcome, total_ms,
					   mh_dispatch_now_ns(d));
		mh_dispatch_end_run(d, req, outcome, mh_dispatch_now_ns(d));
		mh_dispatch_end_hedge(d, req, outcome);
		if (mh_dispatch_is_unsent(outcome)) {
			mh_send_window_take_back(&s->sends, req->placed_ns,
						 mh_dispatch_now_ns(d));
			mh_dispatch_share_refund(req);
		}
		mh_dispatch_release_slot(req);
		/* Requests held back by pauses are due again. */
		if (mh_dispatch_now_ns(d) < s->pool->pauses_end_ns)
			d->review = true;
		free_if_gone(d, s);
	} else {
		mh_dispatch_leave_queue(d, req);
	}
	if (!s || mh_slot_is_uncharged(outcome))
		mh_dispatch_return_units(d, req);
	mh_dispatch_free_request(d, req);
}

void mh_dispatch_owner_gone(struct mh_dispatch *d, uint32_t owner)
{
	struct request *req, *tmp;

	mh_dispatch_drop_owner_pauses(d, owner);
	HASH_ITER(hh, d->requests, req, tmp) {
		struct server *s = req->server;

		if (req->key.owner != owner)
			continue;
		if (s) {
			mh_dispatch_orphan_run(req);
			mh_dispatch_release_slot(req);
			free_if_gone(d, s);
		} else {
			mh_dispatch_leave_queue(d, req);
			mh_dispatch_return_units(d, req);
		}
		mh_dispatch_free_request(d, req);
	}
}

static void update_stats(struct mh_dispatch *d, uint64_t now_ns)
{
	double span_s = (double)(now_ns - d->rates_updated_ns) /
			(double)(MH_MS_PER_S * MH_NS_PER_MS);
	struct server *s, *tmp_s;
	struct pool *p, *tmp;
	int t;

	HASH_ITER(hh, d->pools, p, tmp) {
		mh_dispatch_decay_stats(p);
		HASH_ITER(hh, p->servers, s, tmp_s)
			mh_dispatch_expire_open_runs(d, s, now_ns);
		for (t = 0; t < MH_TIERS; t++) {
			struct queue *queue = &p->queues[t];

			queue->arrivals_per_s += (queue->arrived / span_s -
						  queue->arrivals_per_s) *
						 RATE_GAIN;
			queue->arrived = 0;
		}
	}
	d->rates_updated_ns = now_ns;
	mh_suspects_expire(d->suspects, now_ns);
}

bool mh_dispatch_has_waiting(const struct pool *p)
{
	int t;

	for (t = 0; t < MH_TIERS; t++) {
		if (p->queues[t].timely.n || p->queues[t].late.n)
			return true;
	}
	return false;
}

/* With more requests waiting, a review for each arrival takes too much processor
 * time. */
static bool is_review_due(const struct mh_dispatch *d, uint64_t now_ns)
{
	bool has_gap = d->conf.account_shares || d->conf.returning_first;

	if (now_ns >= d->next_review_ns)
		return true;
	return d->review &&
	       (!has_gap ||
		now_ns >= d->next_review_ns - REVIEW_NS + REVIEW_GAP_NS);
}

uint64_t mh_dispatch_tick(struct mh_dispatch *d)
{
	uint64_t now_ns = mh_dispatch_now_ns(d);
	bool due = is_review_due(d, now_ns);
	bool is_put_off = d->review && !due;
	bool any = mh_suspects_share(d->suspects, now_ns);
	struct pool *p, *tmp;

	mh_dispatch_tick_rollouts(d, now_ns);
	if (now_ns >= d->rates_updated_ns + RATE_PERIOD_NS)
		update_stats(d, now_ns);
	if (due)
		mh_dispatch_unpark_all(d);
	HASH_ITER(hh, d->pools, p, tmp) {
		if (due && p->held)
			mh_dispatch_move_overdue(d, p, now_ns);
		any = any || p->held;
		if (!mh_dispatch_has_waiting(p))
			continue;
		mh_dispatch_place_waiting(d, p, now_ns);
		if (due && d->parked)
			mh_dispatch_review_parked(d, p, now_ns);
		if (due && mh_dispatch_has_waiting(p))
			mh_dispatch_review(d, p, now_ns);
		any = any || mh_dispatch_has_waiting(p);
	}
	if (due) {
		mh_dispatch_hedge_late(d, now_ns);
		d->next_review_ns = now_ns + REVIEW_NS;
	}
	d->review = is_put_off;
	if (is_put_off)
		return mh_dispatch_next_tick_ns(
			d, d->next_review_ns - REVIEW_NS + REVIEW_GAP_NS);
	return mh_dispatch_next_tick_ns(
		d, any || d->parked ? d->next_review_ns : UINT64_MAX);
}
