/*
 * Hedged requests: a repeatable request whose response is late gets a second slot
 * at another server, as core/hedge.h decides. Both slots are requests of their
 * own here, which end separately. One with a second slot is not moved: it runs at
 * another server already.
 */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/dispatch_impl.h"

/* Most requests that get a second slot in one pass over a pool. */
#define HEDGES_MAX 32
/* Part of the absolute number that one dispatcher uses: two may be active at once
 * until they have heard of each other's hedged requests. */
#define EXTRA_USED 0.5

static bool is_on(const struct mh_dispatch *d)
{
	return d->ops->hedge &&
	       (d->conf.hedge_share > 0 || d->conf.hedge_extra > 0);
}

static struct mh_hedges *get_hedges(const struct mh_dispatch *d, struct pool *p)
{
	if (!p->hedges)
		p->hedges = mh_hedges_new(d->conf.retry_window_ms);
	return p->hedges;
}

void mh_dispatch_count_hedgeable(const struct mh_dispatch *d, struct pool *p)
{
	if (is_on(d))
		mh_hedges_add_request(get_hedges(d, p), mh_dispatch_now_ns(d));
}

void mh_dispatch_add_reported_hedges(struct mh_dispatch *d, const char *service,
				     uint64_t n)
{
	if (is_on(d))
		mh_hedges_add_reported(
			get_hedges(d, mh_dispatch_pool(d, service)), n,
			mh_dispatch_now_ns(d));
}

static double ratio_of(const struct request *req, double ms)
{
	return ms / mh_dispatch_expected_first_ms(req->pool, req);
}

static double age_ratio(const struct request *req, uint64_t now_ns)
{
	return ratio_of(req, (double)(now_ns - req->placed_ns) / MH_NS_PER_MS);
}

void mh_dispatch_observe_first_byte(const struct mh_dispatch *d,
				    const struct request *req,
				    uint32_t first_ms)
{
	if (is_on(d) && !req->answering)
		mh_hedges_observe(get_hedges(d, req->pool), req->kind,
				  ratio_of(req, first_ms),
				  mh_dispatch_now_ns(d));
}

/* The request of a slot's other slot, or NULL. */
static struct request *other_slot(struct mh_dispatch *d,
				  const struct request *req)
{
	return mh_dispatch_find_request(d, (uint32_t)req->key.owner,
					mh_hedge_id(req->key.id));
}

/* Either of both slots may be reported first. */
void mh_dispatch_adopt_hedge(struct mh_dispatch *d, struct request *req)
{
	struct request *other = other_slot(d, req);

	if (mh_is_hedge_id(req->key.id))
		req->is_repeatable = false;
	if (!other)
		return;
	if (mh_is_hedge_id(req->key.id))
		req = other;
	req->is_hedged = true;
	req->is_repeatable = false;
}

void mh_dispatch_end_hedge(struct mh_dispatch *d, struct request *req,
			   enum mh_slot_outcome outcome)
{
	uint64_t now_ns = mh_dispatch_now_ns(d);
	struct request *other;

	if (mh_is_hedge_id(req->key.id)) {
		/* No attempt was used up, so it may be moved again. */
		other = other_slot(d, req);
		if (other && mh_dispatch_is_unsent(outcome))
			other->is_repeatable = true;
		return;
	}
	if (!is_on(d) || !req->is_hedged || req->answering ||
	    outcome != MH_SLOT_CANCELLED)
		return;
	mh_hedges_observe(get_hedges(d, req->pool), req->kind,
			  age_ratio(req, now_ns), now_ns);
	mh_dispatch_record_beaten(req, age_ratio(req, now_ns));
}

static struct mh_hedge_load load_of(const struct mh_dispatch *d,
				    const struct pool *p, uint64_t now_ns)
{
	struct mh_hedge_load load = { .has_waiting =
					      mh_dispatch_has_waiting(p) };
	struct request *parked;
	struct server *s, *tmp;

	DL_FOREACH(d->parked, parked) {
		if (parked->pool == p)
			load.has_waiting = true;
	}
	HASH_ITER(hh, p->servers, s, tmp) {
		if (!mh_dispatch_server_takes_work(s))
			continue;
		load.slots += mh_dispatch_server_slots(d, s);
		load.free_slots += mh_dispatch_free_slots(d, s, now_ns);
	}
	return load;
}

static bool may_hedge(const struct request *req)
{
	return !req->answering && req->is_repeatable && req->is_first_try &&
	       !req->is_hedged && !req->over_quota;
}

/* A second slot's request, not yet among the others and without a slot. */
static struct request *new_hedge(const struct request *req, uint64_t now_ns)
{
	struct request *hedge = mh_check_alloc(calloc(1, sizeof(*hedge)));

	hedge->key = req->key;
	hedge->key.id = mh_hedge_id(req->key.id);
	hedge->pool = req->pool;
	hedge->account = mh_check_alloc(strdup(req->account));
	hedge->tier = req->tier;
	hedge->units = req->attempt_units;
	hedge->prompt_tokens = req->prompt_tokens;
	hedge->output_tokens = req->output_tokens;
	hedge->target_ns = req->target_ns;
	hedge->start_by_ns = req->start_by_ns;
	hedge->deadline_ns = req->deadline_ns;
	hedge->features = mh_features_ref(req->features);
	hedge->requested_ns = now_ns;
	hedge->kind = req->kind;
	hedge->heap_index = MH_HEAP_NONE;
	hedge->n_avoid = 1;
	hedge->avoid[0] = req->server->id_hash;
	return hedge;
}

static void free_hedge(struct request *hedge)
{
	mh_features_unref(hedge->features);
	free(hedge->account);
	free(hedge);
}

/* Return: whether the account has units for one more attempt, which are charged
 * then. */
static bool charge(struct mh_dispatch *d, struct request *hedge)
{
	struct mh_slot_request slot_req = {
		.owner = (uint32_t)hedge->key.owner,
		.account = hedge->account,
		.tier = hedge->tier,
		.units = hedge->units,
	};
	struct mh_slot_refusal why = { 0 };

	if (!mh_dispatch_take_units(d, &slot_req, &hedge->over_quota, &why)) {
		hedge->over_quota = true;
		return false;
	}
	if (!hedge->over_quota)
		return true;
	mh_dispatch_return_units(d, hedge);
	return false;
}

/* Counts a hedged request in its limit, in the retry budget and in its account's
 * quota.
 * Return: whether all three allow it; otherwise none is changed. */
static bool take_budgets(struct mh_dispatch *d, struct request *hedge,
			 uint64_t now_ns)
{
	struct mh_hedge_limit limit = {
		.share = d->conf.hedge_share,
		.extra = EXTRA_USED * mh_dispatch_granted_extra(
					      d, d->conf.hedge_extra, now_ns),
	};
	struct pool *p = hedge->pool;

	if (!mh_hedges_reserve(p->hedges, &limit, now_ns))
		return false;
	if (!mh_dispatch_reserve_retry(d, p)) {
		mh_hedges_give_up(p->hedges);
		return false;
	}
	if (!charge(d, hedge)) {
		mh_retry_window_give_up(&p->retry_window);
		mh_hedges_give_up(p->hedges);
		return false;
	}
	mh_retry_window_sent(&p->retry_window, now_ns);
	mh_hedges_confirm(p->hedges, now_ns);
	return true;
}

static void hedge_request(struct mh_dispatch *d, struct request *req,
			  uint64_t now_ns)
{
	struct request *hedge = new_hedge(req, now_ns);
	struct server *s = NULL;

	if (!mh_dispatch_is_suspect(d, hedge, now_ns) &&
	    !mh_dispatch_is_too_late(hedge, 0, now_ns))
		s = mh_dispatch_pick_hedge(d, req->pool, hedge, now_ns);
	if (!s || !take_budgets(d, hedge, now_ns)) {
		/* Not tried again: each try would charge and return units. */
		req->over_quota = hedge->over_quota;
		free_hedge(hedge);
		return;
	}
	req->is_hedged = true;
	req->is_repeatable = false;
	HASH_ADD(hh, d->requests, key, sizeof(hedge->key), hedge);
	hedge->placed_ns = now_ns;
	mh_send_window_add(&s->sends, 1, 0, now_ns);
	mh_dispatch_open_run(d, hedge);
	mh_dispatch_take_slot(s, hedge);
	d->ops->hedge(d->data, (uint32_t)req->key.owner, req->key.id, &s->info);
}

/* Fills @late with requests whose first byte is later than the percentile.
 * Return: their number. */
static uint32_t find_late(struct mh_hedges *h, const struct pool *p,
			  struct request_key *late, uint64_t now_ns)
{
	struct server *s, *tmp;
	struct request *req;
	uint32_t n = 0;

	mh_hedges_begin_review(h, now_ns);
	HASH_ITER(hh, p->servers, s, tmp) {
		DL_FOREACH(s->requests, req) {
			if (!req->answering)
				mh_hedges_add_pending(h, req->kind,
						      age_ratio(req, now_ns));
		}
	}
	HASH_ITER(hh, p->servers, s, tmp) {
		DL_FOREACH(s->requests, req) {
			if (n < HEDGES_MAX && may_hedge(req) &&
			    mh_hedges_is_late(h, req->kind,
					      age_ratio(req, now_ns)))
				late[n++] = req->key;
		}
	}
	return n;
}

static void hedge_pool(struct mh_dispatch *d, struct pool *p, uint64_t now_ns)
{
	struct request_key late[HEDGES_MAX];
	uint32_t i, n;

	n = find_late(get_hedges(d, p), p, late, now_ns);
	/* A callback may end requests, and each hedged request takes a slot. */
	for (i = 0; i < n; i++) {
		struct request *req = mh_dispatch_find_request(
			d, (uint32_t)late[i].owner, late[i].id);
		struct mh_hedge_load load = load_of(d, p, now_ns);

		if (!mh_hedge_load_allows(&load))
			return;
		if (req && req->server && may_hedge(req))
			hedge_request(d, req, now_ns);
	}
}

/* Runs after waiting requests got their slots: those that still wait need the
 * capacity that is left. */
void mh_dispatch_hedge_late(struct mh_dispatch *d, uint64_t now_ns)
{
	struct pool *p, *tmp;

	if (!is_on(d))
		return;
	HASH_ITER(hh, d->pools, p, tmp) {
		if (p->held)
			hedge_pool(d, p, now_ns);
	}
}
