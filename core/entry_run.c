/*
 * Runs: hand-over on a grant, attaching to a run, and receiving the response.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/entry_impl.h"

#define FIND_TIMEOUT_NS (150 * MH_NS_PER_MS)
#define POLL_INTERVAL_NS (1000 * MH_NS_PER_MS)
#define GAP_POLL_INTERVAL_NS (50 * MH_NS_PER_MS)
#define RECONNECT_TIMEOUT_NS (2000 * MH_NS_PER_MS)

/*
 * A side keeps the ids of runs for MH_RUN_ID_RETENTION_NS. Its reply that a run
 * was never started is trusted for half of that time after the hand-over.
 */
#define RUN_ID_TRUST_NS (60000 * MH_NS_PER_MS)

static void set_ref(struct mh_entry *e, struct mh_req *req)
{
	mh_id_make_v7(&req->ref, mh_clock_wall_ms(&e->clock),
		      mh_rng_next(&e->rng), mh_rng_next(&e->rng));
	HASH_ADD(hh_ref, e->by_ref, ref, sizeof(req->ref), req);
}

static void clear_ref(struct mh_entry *e, struct mh_req *req)
{
	if (mh_id_is_zero(&req->ref))
		return;
	HASH_DELETE(hh_ref, e->by_ref, req);
	memset(&req->ref, 0, sizeof(req->ref));
}

static struct mh_req *req_by_ref(struct mh_entry *e,
				 const ProtobufCBinaryData *field)
{
	struct mh_req *req;
	struct mh_id ref;

	if (!mh_id_from_bytes(&ref, field->data, field->len))
		return NULL;
	HASH_FIND(hh_ref, e->by_ref, &ref, sizeof(ref), req);
	return req;
}

static void send_cancel(struct mh_entry *e, const struct mh_server *s,
			const struct mh_id *ref)
{
	Mh__Cancel msg = MH__CANCEL__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	if (!s->up)
		return;
	msg.ref = mh_id_field(ref);
	frame.body_case = MH__FRAME__BODY_CANCEL;
	frame.cancel = &msg;
	mh_entry_send(e, s->link, &frame);
}

/* Ends a request's subscription to its run, in any state. */
void mh_entry_leave_server(struct mh_entry *e, struct mh_req *req, bool cancel)
{
	if (req->server) {
		if (cancel)
			send_cancel(e, req->server, &req->ref);
		req->server->running--;
		req->server = NULL;
	}
	clear_ref(e, req);
}

static void bind_server(struct mh_entry *e, struct mh_req *req,
			struct mh_server *s)
{
	uint64_t now = mh_entry_now(e);

	req->state = MH_REQ_SENT;
	req->server = s;
	req->server_incarnation = s->incarnation;
	snprintf(req->server_host, sizeof(req->server_host), "%s", s->host);
	s->running++;
	req->sent_ns = now;
	req->heard_ns = now;
	mh_entry_set_due(e, req, now + POLL_INTERVAL_NS);
}

static void reset_response(struct mh_req *req)
{
	req->next_seq = 0;
	XXH64_reset(&req->hash, 0);
}

static void join_followers(struct mh_entry *e, struct mh_req *req)
{
	struct mh_req *f, *tmp;

	DL_FOREACH_SAFE(req->followers, f, tmp) {
		if (f->state == MH_REQ_FOLLOW)
			mh_entry_join_leader(e, f);
	}
}

static uint32_t deadline_in_ms(struct mh_entry *e, const struct mh_req *req)
{
	uint64_t now = mh_entry_now(e);

	if (req->call->deadline_ns <= now)
		return 0;
	return (uint32_t)((req->call->deadline_ns - now) / MH_NS_PER_MS);
}

static void hand_over(struct mh_entry *e, struct mh_req *req,
		      struct mh_server *s, uint64_t grant_id)
{
	const struct mh_call *call = req->call;
	Mh__Handover msg = MH__HANDOVER__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	mh_entry_leave_wait_queue(e, req, true);
	set_ref(e, req);
	req->attached = false;
	reset_response(req);
	bind_server(e, req, s);
	msg.grant_id = grant_id;
	msg.run_id = mh_id_field(&req->ref);
	msg.tier = req->waiter.tier;
	msg.deadline_in_ms = deadline_in_ms(e, req);
	msg.account = (char *)call->account;
	msg.model = (char *)call->model;
	msg.method = (char *)call->method;
	msg.path = (char *)call->path;
	msg.content_type = (char *)call->content_type;
	msg.body.data = (uint8_t *)call->body;
	msg.body.len = call->body_len;
	if (call->has_key)
		msg.key = mh_id_field(&call->key);
	msg.fingerprint = mh_id_field(&call->fingerprint);
	msg.non_idempotent = call->non_idempotent;
	msg.prompt_tokens = call->prompt_tokens;
	msg.output_tokens = call->output_tokens;
	frame.body_case = MH__FRAME__BODY_HANDOVER;
	frame.handover = &msg;
	mh_count(&e->counters, MH_C_HANDOVERS);
	mh_entry_send(e, s->link, &frame);
	join_followers(e, req);
}

static void send_return(struct mh_entry *e, const struct mh_server *s,
			uint64_t grant_id)
{
	Mh__Return msg = MH__RETURN__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.grant_id = grant_id;
	frame.body_case = MH__FRAME__BODY_RET;
	frame.ret = &msg;
	mh_count(&e->counters, MH_C_GRANTS_UNUSED);
	mh_entry_send(e, s->link, &frame);
}

/* Return: the request to use a grant for. Refuses those that must not run. */
static struct mh_req *next_runnable(struct mh_entry *e, struct mh_server *s,
				    uint8_t lowest_tier)
{
	uint64_t now = mh_entry_now(e);

	for (;;) {
		struct mh_req *req = mh_entry_next_req(e, s, lowest_tier);

		if (!req)
			return NULL;
		if (e->policy->expiry_ns(e, req) <= now)
			mh_entry_refuse(e, req, MH_ERR_DEADLINE);
		else if (!mh_entry_claim_is_valid(e, req))
			mh_entry_refuse(e, req, MH_ERR_KEY_EXPIRED);
		else if (mh_entry_quarantined(e, &req->call->fingerprint))
			mh_entry_refuse(e, req, MH_ERR_QUARANTINED);
		else
			return req;
	}
}

void mh_entry_on_grant(struct mh_entry *e, struct mh_server *s,
		       const Mh__Grant *msg)
{
	uint32_t lowest = msg->lowest_tier;
	struct mh_req *req = NULL;

	if (lowest >= MH_MAX_TIERS)
		lowest = MH_MAX_TIERS - 1;
	mh_count(&e->counters, MH_C_GRANTS);
	if (mh_server_takes_work(e, s))
		req = next_runnable(e, s, (uint8_t)lowest);
	if (!req) {
		/* The side's view of the demand is outdated: send it again. */
		s->want_sent_valid = false;
		mh_server_want_changed(e, s);
		send_return(e, s, msg->grant_id);
		return;
	}
	hand_over(e, req, s, msg->grant_id);
}

static void send_attach(struct mh_entry *e, const struct mh_req *req,
			uint32_t link, bool by_key)
{
	Mh__Attach msg = MH__ATTACH__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.ref = mh_id_field(&req->ref);
	if (by_key) {
		msg.account = (char *)req->call->account;
		msg.key = mh_id_field(&req->call->key);
		msg.fingerprint = mh_id_field(&req->call->fingerprint);
	} else {
		msg.run_id = mh_id_field(&req->ref);
	}
	msg.from_seq = req->next_seq;
	frame.body_case = MH__FRAME__BODY_ATTACH;
	frame.attach = &msg;
	mh_entry_send(e, link, &frame);
}

/* Asks for the rest of a response: periodically, after a gap or a reconnect. */
void mh_entry_poll_run(struct mh_entry *e, struct mh_req *req)
{
	req->heard_ns = mh_entry_now(e);
	mh_entry_set_due(e, req, req->heard_ns + POLL_INTERVAL_NS);
	send_attach(e, req, req->server->link, req->attached);
}

/* Looks for a run of the same key on every side of the pool. */
void mh_entry_find_run(struct mh_entry *e, struct mh_req *req)
{
	struct mh_server *s;

	clear_ref(e, req);
	set_ref(e, req);
	reset_response(req);
	req->state = MH_REQ_FIND;
	req->attached = true;
	req->find_pending = 0;
	DL_FOREACH(e->servers, s) {
		if (!s->up || !s->pool || strcmp(s->pool, req->call->pool))
			continue;
		req->find_pending++;
		send_attach(e, req, s->link, true);
	}
	/* Without a side to ask, the search ends at the next tick. */
	mh_entry_set_due(e, req,
			 req->find_pending ? mh_entry_now(e) + FIND_TIMEOUT_NS :
					     0);
}

void mh_entry_find_run_done(struct mh_entry *e, struct mh_req *req)
{
	struct mh_server *s;

	DL_FOREACH(e->servers, s) {
		if (s->up && s->pool && !strcmp(s->pool, req->call->pool) &&
		    req->find_pending)
			send_cancel(e, s, &req->ref);
	}
	clear_ref(e, req);
	if (req->call->non_idempotent)
		mh_entry_refuse(e, req, MH_ERR_DUPLICATE);
	else
		mh_entry_admit(e, req);
}

void mh_entry_join_leader(struct mh_entry *e, struct mh_req *req)
{
	struct mh_req *leader = req->leader;

	req->state = MH_REQ_FOLLOW;
	if (leader->state != MH_REQ_SENT || !leader->server) {
		mh_entry_set_due(e, req, req->call->deadline_ns);
		/* Comes last, since it may refuse and free both requests. */
		mh_entry_raise_tier(e, leader, req->waiter.tier);
		return;
	}
	set_ref(e, req);
	req->attached = true;
	if (!req->head_seen)
		reset_response(req);
	bind_server(e, req, leader->server);
	send_attach(e, req, leader->server->link, true);
}

/*
 * Binds a request that looks for a run to the side that sends its response.
 * Return: whether the request gets its response from @s.
 */
static bool bind_if_finding(struct mh_entry *e, struct mh_req *req,
			    struct mh_server *s)
{
	struct mh_server *other;

	if (req->state != MH_REQ_FIND)
		return req->server == s;
	mh_count(&e->counters, MH_C_JOINED);
	DL_FOREACH(e->servers, other) {
		if (other != s && other->up && other->pool &&
		    !strcmp(other->pool, req->call->pool))
			send_cancel(e, other, &req->ref);
	}
	bind_server(e, req, s);
	join_followers(e, req);
	return true;
}

static void requeue(struct mh_entry *e, struct mh_req *req)
{
	mh_count(&e->counters, MH_C_REQUEUED);
	mh_entry_leave_server(e, req, false);
	/* It has certainly not run: a later refusal may report that. */
	req->state = MH_REQ_FOLLOW;
	mh_entry_admit(e, req);
}

/* The side does not have, or no longer has, the run to attach to. */
static void attach_failed(struct mh_entry *e, struct mh_req *req)
{
	mh_entry_leave_server(e, req, false);
	if (req->head_seen) {
		mh_entry_refuse(e, req, MH_ERR_LINK_LOST);
		return;
	}
	if (req->leader) {
		mh_entry_join_leader(e, req);
		return;
	}
	if (req->call->non_idempotent) {
		mh_entry_refuse(e, req, MH_ERR_DUPLICATE);
		return;
	}
	mh_entry_admit(e, req);
}

static void find_refused(struct mh_entry *e, struct mh_req *req,
			 enum mh_error error)
{
	if (error == MH_ERR_KEY_REUSED) {
		mh_entry_refuse(e, req, error);
		return;
	}
	if (req->find_pending && !--req->find_pending)
		mh_entry_find_run_done(e, req);
}

void mh_entry_on_refused(struct mh_entry *e, struct mh_server *s,
			 const Mh__Refused *msg)
{
	struct mh_req *req = req_by_ref(e, &msg->ref);
	bool proved_not_run, stale;

	if (!req || (req->state != MH_REQ_FIND && req->server != s)) {
		mh_count(&e->counters, MH_C_LATE_FRAMES);
		return;
	}
	if (req->state == MH_REQ_FIND) {
		find_refused(e, req, (enum mh_error)msg->error);
		return;
	}
	if (req->attached) {
		if (msg->error == MH_ERR_KEY_REUSED)
			mh_entry_refuse(e, req, MH_ERR_KEY_REUSED);
		else
			attach_failed(e, req);
		return;
	}
	proved_not_run = msg->error == MH_ERR_GRANT_EXPIRED ||
			 msg->error == MH_ERR_SIDE_LEAVING ||
			 msg->error == MH_ERR_NOT_FOUND;
	stale = mh_entry_now(e) > req->sent_ns + RUN_ID_TRUST_NS;
	if (!proved_not_run || stale || req->head_seen)
		mh_entry_refuse(e, req, MH_ERR_LINK_LOST);
	else
		requeue(e, req);
}

void mh_entry_on_head(struct mh_entry *e, struct mh_server *s,
		      const Mh__Head *msg)
{
	struct mh_req *req = req_by_ref(e, &msg->ref);

	if (!req || !bind_if_finding(e, req, s)) {
		mh_count(&e->counters, MH_C_LATE_FRAMES);
		return;
	}
	req->heard_ns = mh_entry_now(e);
	if (req->head_seen) {
		mh_count(&e->counters, MH_C_DUPLICATE_FRAMES);
		return;
	}
	req->head_seen = true;
	req->head_ns = req->heard_ns;
	e->ops->head(e->data, req->call, msg->status, msg->content_type,
		     s->host);
}

static bool in_sequence(struct mh_entry *e, struct mh_req *req, uint32_t seq)
{
	if (req->head_seen && seq == req->next_seq)
		return true;
	if (seq < req->next_seq) {
		mh_count(&e->counters, MH_C_DUPLICATE_FRAMES);
		return false;
	}
	mh_count(&e->counters, MH_C_GAPS);
	/* Frames after a gap are out of sequence too: one poll is enough. */
	if (mh_entry_now(e) >= req->gap_poll_ns + GAP_POLL_INTERVAL_NS) {
		req->gap_poll_ns = mh_entry_now(e);
		mh_entry_poll_run(e, req);
	}
	return false;
}

void mh_entry_on_data(struct mh_entry *e, struct mh_server *s,
		      const Mh__Data *msg)
{
	struct mh_req *req = req_by_ref(e, &msg->ref);

	if (!req || !bind_if_finding(e, req, s)) {
		mh_count(&e->counters, MH_C_LATE_FRAMES);
		return;
	}
	if (!in_sequence(e, req, msg->seq))
		return;
	req->heard_ns = mh_entry_now(e);
	req->next_seq++;
	XXH64_update(&req->hash, msg->bytes.data, msg->bytes.len);
	e->ops->chunk(e->data, req->call, msg->bytes.data, msg->bytes.len);
}

static void complete_call(struct mh_entry *e, struct mh_req *req)
{
	struct mh_call *call = req->call;

	mh_count(&e->counters, MH_C_WHOLE);
	if (mh_entry_now(e) > call->deadline_ns)
		mh_count(&e->counters, MH_C_LATE);
	mh_entry_clear_suspicion(e, &call->fingerprint);
	if (!req->attached && req->wait_queue)
		mh_wait_queue_update_costs(
			req->wait_queue, req->head_ns - req->sent_ns,
			mh_entry_now(e) - req->head_ns, call->prompt_tokens,
			call->output_tokens, req->next_seq);
	mh_entry_remove_req(e, req);
	e->ops->end(e->data, call);
}

void mh_entry_on_end(struct mh_entry *e, struct mh_server *s,
		     const Mh__End *msg)
{
	struct mh_req *req = req_by_ref(e, &msg->ref);

	if (!req || !bind_if_finding(e, req, s)) {
		mh_count(&e->counters, MH_C_LATE_FRAMES);
		return;
	}
	if (msg->error) {
		mh_entry_refuse(e, req, (enum mh_error)msg->error);
		return;
	}
	if (!in_sequence(e, req, msg->count))
		return;
	if (XXH64_digest(&req->hash) != msg->hash) {
		mh_entry_refuse(e, req, MH_ERR_CORRUPT_ANSWER);
		return;
	}
	complete_call(e, req);
}

static bool prefers(const struct mh_req *req, const struct mh_server *s)
{
	int i;

	for (i = 0; i < MH_MAX_PREFERRED; i++) {
		if (req->preferred[i] == s)
			return true;
	}
	return false;
}

/* Updates the requests that preferred or ran on a server whose link is lost. */
void mh_entry_server_down(struct mh_entry *e, struct mh_server *s)
{
	uint64_t limit = mh_entry_now(e) + RECONNECT_TIMEOUT_NS;
	struct mh_req *req, *tmp;

	s->up = false;
	s->want_sent_valid = false;
	HASH_ITER(hh_call, e->by_call, req, tmp) {
		if (req->state == MH_REQ_WAIT && prefers(req, s))
			mh_entry_widen(e, req);
		if (req->server != s)
			continue;
		req->server = NULL;
		s->running--;
		req->state = MH_REQ_LOST;
		mh_entry_set_due(e, req, limit);
	}
}

static void resume_run(struct mh_entry *e, struct mh_req *req,
		       struct mh_server *s)
{
	uint64_t sent_ns = req->sent_ns;

	bind_server(e, req, s);
	req->sent_ns = sent_ns;
	mh_entry_poll_run(e, req);
}

void mh_entry_server_up(struct mh_entry *e, struct mh_server *s)
{
	struct mh_req *req, *tmp;

	HASH_ITER(hh_call, e->by_call, req, tmp) {
		if (req->state != MH_REQ_LOST ||
		    strcmp(req->server_host, s->host))
			continue;
		if (req->server_incarnation == s->incarnation)
			resume_run(e, req, s);
		else /* The side was restarted; the next tick refuses it. */
			mh_entry_set_due(e, req, 0);
	}
}
