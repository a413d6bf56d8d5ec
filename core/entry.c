#include "core/entry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/entry_impl.h"

#define TICK_INTERVAL_NS (50 * MH_NS_PER_MS)
#define RETRY_BASE_MS 500
#define RETRY_JITTER_MS 2000

/* Each this many waiting requests add RETRY_JITTER_MS to the random part. */
#define RETRY_STEP_REQUESTS 500

#define RESEND_MIN_AGE_MS 1000
#define DEFAULT_KEY_WINDOW_S 3600

uint64_t mh_entry_now(struct mh_entry *e)
{
	return mh_clock_mono_ns(&e->clock);
}

const struct mh_manifest *mh_entry_manifest(const struct mh_entry *e)
{
	return mh_config_state_manifest(e->config);
}

void mh_entry_send(struct mh_entry *e, uint32_t link, const Mh__Frame *frame)
{
	e->ops->send(e->data, link, frame);
}

static bool is_due_earlier(const void *a, const void *b)
{
	const struct mh_req *x = a, *y = b;

	return x->due_ns < y->due_ns;
}

struct mh_entry *mh_entry_new(const char *host, const struct mh_clock *clock,
			      uint64_t seed, const struct mh_entry_ops *ops,
			      void *data)
{
	struct mh_entry *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	snprintf(e->host, sizeof(e->host), "%s", host);
	e->clock = *clock;
	e->rng.state = seed;
	e->ops = ops;
	e->data = data;
	e->policy = &mh_policy_default;
	e->config = mh_config_state_new();
	e->key_window_s = DEFAULT_KEY_WINDOW_S;
	e->claims = mh_claims_new(DEFAULT_KEY_WINDOW_S);
	mh_heap_init(&e->due, is_due_earlier,
		     offsetof(struct mh_req, due_index));
	if (!e->config || !e->claims) {
		mh_entry_free(e);
		return NULL;
	}
	return e;
}

static struct mh_account_load *get_account_load(struct mh_entry *e,
						const char *account)
{
	struct mh_account_load *load;

	HASH_FIND_STR(e->loads, account, load);
	if (load)
		return load;
	load = calloc(1, sizeof(*load));
	if (!load)
		return NULL;
	load->account = strdup(account);
	HASH_ADD_KEYPTR(hh, e->loads, load->account, strlen(load->account),
			load);
	return load;
}

static void put_account_load(struct mh_entry *e, const char *account)
{
	struct mh_account_load *load;

	HASH_FIND_STR(e->loads, account, load);
	if (!load || --load->open)
		return;
	HASH_DEL(e->loads, load);
	free(load->account);
	free(load);
}

void mh_entry_set_due(struct mh_entry *e, struct mh_req *req, uint64_t due_ns)
{
	req->due_ns = due_ns;
	if (req->due_index == MH_HEAP_NONE)
		mh_heap_add(&e->due, req);
	else
		mh_heap_update(&e->due, req);
}

static struct mh_req *new_req(struct mh_entry *e, struct mh_call *call)
{
	struct mh_req *req = calloc(1, sizeof(*req));

	if (!req)
		return NULL;
	req->call = call;
	req->due_index = MH_HEAP_NONE;
	/* Without a prompt no cache helps, so spread requests at random. */
	req->prefix_hash =
		call->prefix_hash ? call->prefix_hash : mh_rng_next(&e->rng);
	req->waiter.tier = call->tier;
	req->waiter.share = call->share;
	req->waiter.cost_tokens = call->prompt_tokens + call->output_tokens;
	req->waiter.deadline_ns = call->deadline_ns;
	req->waiter.account = call->account;
	req->waiter.owner = req;
	HASH_ADD(hh_call, e->by_call, call->id, sizeof(call->id), req);
	return req;
}

static void become_leader(struct mh_entry *e, struct mh_req *req)
{
	req->is_leader = true;
	HASH_ADD(hh_leader, e->leaders, key_hash, sizeof(req->key_hash), req);
}

/* Makes the first follower the leader when the leader leaves. */
static void pass_leadership(struct mh_entry *e, struct mh_req *req)
{
	struct mh_req *successor = req->followers, *f, *tmp;

	if (!req->is_leader)
		return;
	HASH_DELETE(hh_leader, e->leaders, req);
	req->is_leader = false;
	if (!successor)
		return;
	DL_DELETE(req->followers, successor);
	successor->leader = NULL;
	become_leader(e, successor);
	/* No other event would wake it: the timer makes it look for the run. */
	if (successor->state == MH_REQ_FOLLOW)
		mh_entry_set_due(e, successor, 0);
	DL_FOREACH_SAFE(req->followers, f, tmp) {
		DL_DELETE(req->followers, f);
		f->leader = successor;
		DL_APPEND(successor->followers, f);
		/* It is in no queue yet, so its tier can simply be set. */
		if (successor->state == MH_REQ_FOLLOW &&
		    f->waiter.tier < successor->waiter.tier)
			successor->waiter.tier = f->waiter.tier;
	}
}

static void leave_queue_and_server(struct mh_entry *e, struct mh_req *req)
{
	if (req->state == MH_REQ_WAIT)
		mh_entry_leave_wait_queue(e, req, false);
	if (req->state == MH_REQ_ADMIT)
		mh_entry_leave_admission(e, req);
	mh_entry_leave_server(e, req, false);
}

/* Removes a request from all queues and indexes; frees it, not its call. */
void mh_entry_remove_req(struct mh_entry *e, struct mh_req *req)
{
	leave_queue_and_server(e, req);
	pass_leadership(e, req);
	if (req->leader)
		DL_DELETE(req->leader->followers, req);
	if (req->claim_owner)
		HASH_DELETE(hh_owner, e->by_owner, req);
	mh_heap_remove(&e->due, req);
	HASH_DELETE(hh_call, e->by_call, req);
	put_account_load(e, req->call->account);
	free(req);
}

static uint32_t retry_after_ms(struct mh_entry *e, const struct mh_req *req,
			       enum mh_error error)
{
	uint32_t waiting;

	if (!mh_error_info(error)->retry)
		return 0;
	waiting = mh_entry_count_waiting(e, req->call->pool, req->waiter.tier);
	return RETRY_BASE_MS +
	       (uint32_t)(mh_rng_next(&e->rng) % RETRY_JITTER_MS) *
		       (1 + waiting / RETRY_STEP_REQUESTS);
}

static bool run_may_have_started(const struct mh_req *req)
{
	return req->state == MH_REQ_SENT || req->state == MH_REQ_LOST;
}

static void refuse_followers(struct mh_entry *e, struct mh_req *req,
			     enum mh_error error)
{
	struct mh_req *f, *tmp;

	DL_FOREACH_SAFE(req->followers, f, tmp) {
		if (f->state == MH_REQ_FOLLOW)
			mh_entry_refuse(e, f, error);
	}
}

void mh_entry_refuse(struct mh_entry *e, struct mh_req *req,
		     enum mh_error error)
{
	struct mh_refusal refusal = { .error = error };
	struct mh_call *call = req->call;

	refusal.retry_after_ms = retry_after_ms(e, req, error);
	mh_count(&e->counters, MH_C_REFUSED);
	if (!run_may_have_started(req))
		mh_entry_release_claim(e, req);
	refuse_followers(e, req, error);
	mh_entry_leave_server(e, req, true);
	mh_entry_remove_req(e, req);
	e->ops->refuse(e->data, call, &refusal);
}

static enum mh_error check_call(struct mh_entry *e, const struct mh_call *call)
{
	const struct mh_manifest *m = mh_entry_manifest(e);
	const struct mh_account *account;
	struct mh_account_load *load;

	if (!m)
		return MH_ERR_NOT_READY;
	if (e->draining)
		return MH_ERR_DRAINING;
	if (!mh_manifest_pool(m, call->pool))
		return MH_ERR_UNKNOWN_POOL;
	account = mh_manifest_account(m, call->account);
	if (!account || call->tier >= m->n_tiers || call->tier < account->tier)
		return MH_ERR_FORBIDDEN;
	HASH_FIND_STR(e->loads, call->account, load);
	if (load && load->open > account->max_waiting)
		return MH_ERR_ACCOUNT_LIMIT;
	if (mh_entry_quarantined(e, &call->fingerprint)) {
		mh_count(&e->counters, MH_C_QUARANTINED);
		return MH_ERR_QUARANTINED;
	}
	if (call->non_idempotent)
		return mh_entry_check_key(e, call);
	return MH_OK;
}

static bool is_resend(struct mh_entry *e, const struct mh_call *call)
{
	return mh_id_is_uuidv7(&call->key) &&
	       mh_id_time_ms(&call->key) + RESEND_MIN_AGE_MS <
		       mh_clock_wall_ms(&e->clock);
}

static void join_or_start(struct mh_entry *e, struct mh_req *req)
{
	struct mh_req *leader;

	if (!req->call->has_key) {
		mh_entry_admit(e, req);
		return;
	}
	HASH_FIND(hh_leader, e->leaders, &req->key_hash, sizeof(req->key_hash),
		  leader);
	if (leader &&
	    !mh_id_equal(&leader->call->fingerprint, &req->call->fingerprint)) {
		mh_entry_refuse(e, req, MH_ERR_KEY_REUSED);
		return;
	}
	if (leader) {
		mh_count(&e->counters, MH_C_JOINED);
		req->leader = leader;
		DL_APPEND(leader->followers, req);
		mh_entry_join_leader(e, req);
		return;
	}
	become_leader(e, req);
	if (req->call->non_idempotent)
		mh_entry_claim(e, req);
	else if (is_resend(e, req->call))
		mh_entry_find_run(e, req);
	else
		mh_entry_admit(e, req);
}

void mh_entry_submit(struct mh_entry *e, struct mh_call *call)
{
	struct mh_account_load *load;
	struct mh_req *req = new_req(e, call);
	struct mh_refusal no_memory = { .error = MH_ERR_OVERLOADED,
					.retry_after_ms = RETRY_BASE_MS };
	enum mh_error error;

	if (!req) {
		e->ops->refuse(e->data, call, &no_memory);
		return;
	}
	mh_count(&e->counters, MH_C_REQUESTS);
	load = get_account_load(e, call->account);
	if (load)
		load->open++;
	if (call->has_key)
		req->key_hash = mh_claims_key(call->account, &call->key);
	req->state = MH_REQ_FOLLOW;
	error = check_call(e, call);
	if (error) {
		mh_entry_refuse(e, req, error);
		return;
	}
	mh_entry_set_due(e, req, call->deadline_ns);
	join_or_start(e, req);
}

/* Continues with the successor of a leader that left before its run began. */
static void restart_successor(struct mh_entry *e, struct mh_req *successor,
			      const struct mh_req *old)
{
	if (successor->state != MH_REQ_FOLLOW)
		return;
	successor->claim_held = old->claim_held;
	successor->claim_lost = old->claim_lost;
	if (old->claim_owner) {
		successor->claim_owner = old->claim_owner;
		HASH_ADD(hh_owner, e->by_owner, claim_owner,
			 sizeof(successor->claim_owner), successor);
	}
	mh_entry_set_due(e, successor, successor->call->deadline_ns);
	if (successor->claim_owner && !successor->claim_held &&
	    !successor->claim_lost)
		successor->state = MH_REQ_CLAIM;
	else if (successor->call->non_idempotent && !successor->claim_held)
		mh_entry_find_run(e, successor);
	else
		mh_entry_admit(e, successor);
}

void mh_entry_cancel(struct mh_entry *e, struct mh_call *call)
{
	struct mh_req *req, *successor, old;

	HASH_FIND(hh_call, e->by_call, &call->id, sizeof(call->id), req);
	if (!req)
		return;
	mh_count(&e->counters, MH_C_CANCELLED);
	successor = req->is_leader ? req->followers : NULL;
	if (run_may_have_started(req))
		successor = NULL;
	if (!successor && !run_may_have_started(req))
		mh_entry_release_claim(e, req);
	old = *req;
	mh_entry_leave_server(e, req, true);
	mh_entry_remove_req(e, req);
	if (successor)
		restart_successor(e, successor, &old);
}

void mh_entry_set_policy(struct mh_entry *e, const struct mh_policy_ops *ops)
{
	e->policy = ops;
}

void mh_entry_drain(struct mh_entry *e)
{
	e->draining = true;
}

/*
 * False if the request was handed over, or if it looks for a run of its key or
 * joins one: such a run may still complete.
 */
static bool is_before_any_run(const struct mh_req *req)
{
	return req->state == MH_REQ_ADMIT || req->state == MH_REQ_WAIT ||
	       req->state == MH_REQ_CLAIM;
}

void mh_entry_refuse_all(struct mh_entry *e)
{
	e->draining = true;
	while (e->by_call) {
		struct mh_req *req = e->by_call;

		/* Refusing a leader refuses its followers too. */
		if (req->leader)
			req = req->leader;
		mh_entry_refuse(e, req,
				is_before_any_run(req) ? MH_ERR_DRAINING :
							 MH_ERR_CANCELLED);
	}
}

uint32_t mh_entry_count_calls(const struct mh_entry *e)
{
	return HASH_CNT(hh_call, e->by_call);
}

static void on_timer(struct mh_entry *e, struct mh_req *req, uint64_t now)
{
	switch (req->state) {
	case MH_REQ_FIND:
		mh_entry_find_run_done(e, req);
		return;
	case MH_REQ_SENT:
		mh_entry_poll_run(e, req);
		return;
	case MH_REQ_LOST:
		mh_entry_refuse(e, req, MH_ERR_LINK_LOST);
		return;
	case MH_REQ_FOLLOW:
		if (req->is_leader && now < req->call->deadline_ns) {
			mh_entry_find_run(e, req);
			return;
		}
		/* The leader's run may still complete. */
		mh_entry_refuse(e, req, MH_ERR_DUPLICATE);
		return;
	case MH_REQ_WAIT:
		if (now < e->policy->expiry_ns(e, req)) {
			mh_entry_widen(e, req);
			return;
		}
		break;
	case MH_REQ_CLAIM:
		if (mh_entry_claims_usable(e) && now >= req->call->deadline_ns)
			break;
		if (mh_entry_claims_usable(e))
			mh_entry_retry_claim(e, req);
		else
			mh_entry_refuse(e, req, MH_ERR_LOG_UNAVAILABLE);
		return;
	case MH_REQ_ADMIT:
		break;
	}
	mh_entry_refuse(e, req, MH_ERR_DEADLINE);
}

uint64_t mh_entry_tick(struct mh_entry *e)
{
	uint64_t now = mh_entry_now(e), next = now + TICK_INTERVAL_NS;
	struct mh_req *req;

	for (req = mh_heap_min(&e->due); req && req->due_ns <= now;
	     req = mh_heap_min(&e->due))
		on_timer(e, req, now);
	mh_entry_resolve_admissions(e);
	mh_entry_rewrite_lost(e);
	mh_entry_flush_claims(e);
	mh_entry_flush_wants(e);
	mh_entry_write_snapshot(e);
	mh_entry_send_pings(e, now);
	/* The steps above may have changed the earliest timer. */
	req = mh_heap_min(&e->due);
	if (req && req->due_ns < next)
		next = req->due_ns;
	if (e->n_batch && e->log_up && e->next_append_ns < next)
		next = e->next_append_ns > now ? e->next_append_ns : now;
	return next;
}

const struct mh_config_state *mh_entry_config_state(const struct mh_entry *e)
{
	return e->config;
}

struct mh_counters *mh_entry_counters(struct mh_entry *e)
{
	return &e->counters;
}

void mh_entry_free(struct mh_entry *e)
{
	struct mh_req *req, *tmp_req;
	struct mh_suspicion *sus, *tmp_sus;

	if (!e)
		return;
	HASH_ITER(hh_call, e->by_call, req, tmp_req)
		mh_entry_remove_req(e, req);
	mh_entry_free_queues(e);
	mh_entry_free_hosts(e);
	HASH_ITER(hh, e->suspicions, sus, tmp_sus) {
		HASH_DEL(e->suspicions, sus);
		free(sus);
	}
	mh_heap_release(&e->due);
	mh_claims_free(e->claims);
	mh_config_state_free(e->replay);
	mh_config_state_free(e->config);
	free(e);
}
