/*
 * Claims on the idempotency keys of non-idempotent calls: appends them in
 * batches and continues a call once the order in the log has decided who holds
 * its key.
 */
#include <string.h>

#include "core/entry_impl.h"
#include "core/rendezvous.h"

/* A claim that was forwarded to a peer and is not in the log after this time is
 * appended by this entry. */
#define FORWARD_TIMEOUT_NS (1000 * MH_NS_PER_MS)

/* After such a time-out, this entry appends its own claims for this long. */
#define APPEND_LOCALLY_NS (10000 * MH_NS_PER_MS)

#define APPENDERS_KEY "claim appenders"

/* How far a key's time may be ahead of this host's clock. */
#define MAX_FUTURE_SKEW_MS (60 * MH_MS_PER_S)

/* Margin for skew between the key's clock and the log's. */
#define MAX_START_SKEW_MS (60 * MH_MS_PER_S)

#define NS_PER_S 1000000000ull

static bool key_in_window(struct mh_entry *e, const struct mh_call *call)
{
	const struct mh_manifest *m = mh_entry_manifest(e);
	uint64_t window_ms = m->policy.key_window_s * MH_MS_PER_S;
	uint64_t now_ms = mh_clock_wall_ms(&e->clock);
	uint64_t key_ms = mh_id_time_ms(&call->key);

	if (key_ms > now_ms + MAX_FUTURE_SKEW_MS)
		return false;
	/* A tenth of the window is a margin for skew between hosts' clocks. */
	if (key_ms + window_ms - window_ms / 10 < now_ms)
		return false;
	return !e->claims_truncated ||
	       key_ms > e->claims_complete_since_ms + MAX_START_SKEW_MS;
}

/* Claims appended before @from_ms may be unknown from now on. */
static void set_complete_since(struct mh_entry *e, uint64_t from_ms)
{
	if (e->claims_truncated && e->claims_complete_since_ms >= from_ms)
		return;
	e->claims_truncated = true;
	e->claims_complete_since_ms = from_ms;
}

void mh_entry_set_key_window(struct mh_entry *e, uint32_t window_s)
{
	uint64_t now_ms = mh_clock_wall_ms(&e->clock);

	/* Claims older than the former, shorter window were removed. */
	if (window_s > e->key_window_s)
		set_complete_since(e, now_ms - e->key_window_s * MH_MS_PER_S);
	e->key_window_s = window_s;
	mh_claims_set_window(e->claims, window_s);
}

enum mh_error mh_entry_check_key(struct mh_entry *e, const struct mh_call *call)
{
	if (!call->has_key)
		return MH_ERR_KEY_REQUIRED;
	if (!mh_id_is_uuidv7(&call->key))
		return MH_ERR_KEY_INVALID;
	if (!mh_entry_claims_usable(e))
		return MH_ERR_LOG_UNAVAILABLE;
	if (!key_in_window(e, call))
		return MH_ERR_KEY_EXPIRED;
	return MH_OK;
}

static bool queue_claim(struct mh_entry *e, enum mh_claim_kind kind,
			const struct mh_req *req)
{
	struct mh_claim *claim;

	if (e->n_batch == MH_CLAIM_BATCH_MAX)
		return false;
	claim = &e->batch[e->n_batch++];
	claim->kind = kind;
	claim->key = req->key_hash;
	claim->owner = req->claim_owner;
	return true;
}

static void on_claim_lost(struct mh_entry *e, struct mh_req *req)
{
	mh_count(&e->counters, MH_C_CLAIMS_LOST);
	req->claim_lost = true;
	mh_entry_find_run(e, req);
}

static void set_claim_due(struct mh_entry *e, struct mh_req *req)
{
	uint64_t due = mh_entry_now(e) + FORWARD_TIMEOUT_NS;

	if (req->claim_retried || due > req->call->deadline_ns)
		due = req->call->deadline_ns;
	mh_entry_set_due(e, req, due);
}

void mh_entry_claim(struct mh_entry *e, struct mh_req *req)
{
	req->claim_owner = mh_rng_next(&e->rng) | 1;
	HASH_ADD(hh_owner, e->by_owner, claim_owner, sizeof(req->claim_owner),
		 req);
	if (mh_claims_holder(e->claims, &req->key_hash)) {
		on_claim_lost(e, req);
		return;
	}
	req->state = MH_REQ_CLAIM;
	set_claim_due(e, req);
	if (!queue_claim(e, MH_CLAIM_ACQUIRE, req)) {
		/* No claim was appended, so none needs a release. */
		req->claim_lost = true;
		mh_entry_refuse(e, req, MH_ERR_OVERLOADED);
		return;
	}
	mh_count(&e->counters, MH_C_CLAIMS);
}

/*
 * Releases the key of a request that will never run, so that the client can
 * retry with the same key. If the record is lost, the key stays claimed, which
 * is safe.
 */
void mh_entry_release_claim(struct mh_entry *e, struct mh_req *req)
{
	if (!req->claim_owner || req->claim_lost)
		return;
	if (queue_claim(e, MH_CLAIM_RELEASE, req))
		mh_count(&e->counters, MH_C_CLAIMS_RELEASED);
}

/* Lists the live entry hosts, this one too. Return: number of names. */
static size_t list_entries(struct mh_entry *e, const char **names, size_t max)
{
	struct mh_host_row *row, *tmp;
	size_t n = 0;

	HASH_ITER(hh, e->hosts, row, tmp) {
		if (row->is_entry && row->state == MH_HOST_LIVE && n < max)
			names[n++] = row->name;
	}
	return n;
}

static bool is_appender(const char *host, const char *const *names, size_t n,
			uint32_t n_appenders)
{
	return mh_rendezvous_chosen(APPENDERS_KEY, host, names, n, n_appenders);
}

/*
 * Return: the peer that appends this entry's claims, NULL if this entry does.
 * With many entries each append has to carry the claims of several, since the
 * log takes only a few hundred appends a second in all.
 */
static struct mh_peer *pick_appender(struct mh_entry *e)
{
	const struct mh_manifest *m = mh_entry_manifest(e);
	uint32_t n_appenders = m ? m->policy.claim_appenders : 0;
	const char *names[MH_MAX_ENTRIES];
	struct mh_peer *p, *best = NULL;
	uint64_t best_score = 0;
	size_t n;

	if (!n_appenders || mh_entry_now(e) < e->append_locally_until_ns)
		return NULL;
	n = list_entries(e, names, MH_MAX_ENTRIES);
	if (is_appender(e->host, names, n, n_appenders))
		return NULL;
	DL_FOREACH(e->peers, p) {
		uint64_t score = mh_rendezvous_score(e->host, p->host);

		if (!p->up || !p->listed || (best && score <= best_score) ||
		    !is_appender(p->host, names, n, n_appenders))
			continue;
		best = p;
		best_score = score;
	}
	return best;
}

static uint64_t append_interval_ns(const struct mh_entry *e)
{
	const struct mh_manifest *m = mh_entry_manifest(e);
	uint32_t appenders = e->n_entries ? e->n_entries : 1;

	if (!m)
		return NS_PER_S;
	if (m->policy.claim_appenders && m->policy.claim_appenders < appenders)
		appenders = m->policy.claim_appenders;
	return NS_PER_S * appenders / m->policy.appends_per_s;
}

static void forward_claims(struct mh_entry *e, const struct mh_peer *p,
			   uint8_t *records, size_t len)
{
	Mh__Claims msg = MH__CLAIMS__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.records.data = records;
	msg.records.len = len;
	frame.body_case = MH__FRAME__BODY_CLAIMS;
	frame.claims = &msg;
	mh_count(&e->counters, MH_C_CLAIMS_FORWARDED);
	mh_entry_send(e, p->link, &frame);
}

void mh_entry_flush_claims(struct mh_entry *e)
{
	uint8_t buf[MH_CLAIM_BATCH_MAX * MH_CLAIM_RECORD_BYTES];
	uint64_t now = mh_entry_now(e);
	struct mh_peer *appender;
	size_t len;

	if (!e->n_batch || !e->log_up)
		return;
	appender = pick_appender(e);
	if (!appender && now < e->next_append_ns)
		return;
	len = mh_claims_encode(e->batch, e->n_batch, buf);
	e->n_batch = 0;
	if (appender) {
		forward_claims(e, appender, buf, len);
		return;
	}
	e->next_append_ns = now + append_interval_ns(e);
	mh_count(&e->counters, MH_C_APPENDS);
	e->ops->append_claims(e->data, buf, len);
}

/* Appends a claim here that was forwarded but is not in the log in time. */
void mh_entry_retry_claim(struct mh_entry *e, struct mh_req *req)
{
	e->append_locally_until_ns = mh_entry_now(e) + APPEND_LOCALLY_NS;
	req->claim_retried = true;
	set_claim_due(e, req);
	queue_claim(e, MH_CLAIM_ACQUIRE, req);
}

static void add_forwarded(void *data, const struct mh_claim *claim)
{
	struct mh_entry *e = data;

	if (e->n_batch == MH_CLAIM_BATCH_MAX)
		mh_entry_flush_claims(e);
	/* Without room it is dropped; its owner appends it after a timeout. */
	if (e->n_batch < MH_CLAIM_BATCH_MAX)
		e->batch[e->n_batch++] = *claim;
}

void mh_entry_on_claims(struct mh_entry *e, const Mh__Claims *msg)
{
	if (!mh_claims_each(msg->records.data, msg->records.len, add_forwarded,
			    e))
		mh_count(&e->counters, MH_C_BAD_FRAMES);
}

static void on_decided(void *data, const struct mh_claim *claim,
		       uint64_t holder)
{
	struct mh_entry *e = data;
	struct mh_req *req;

	if (claim->kind != MH_CLAIM_ACQUIRE)
		return;
	HASH_FIND(hh_owner, e->by_owner, &claim->owner, sizeof(claim->owner),
		  req);
	if (!req || req->state != MH_REQ_CLAIM)
		return;
	if (holder != claim->owner) {
		on_claim_lost(e, req);
		return;
	}
	req->claim_held = true;
	mh_entry_admit(e, req);
}

void mh_entry_set_claims_start(struct mh_entry *e, uint64_t first_offset,
			       uint64_t first_ms)
{
	if (e->claims_started && first_offset <= e->claims_next_offset)
		return;
	/* Records between the last one read and the start are unreadable. */
	e->claims_started = true;
	if (first_offset > 0)
		set_complete_since(e, first_ms);
	e->claims_next_offset = first_offset;
}

void mh_entry_apply_claims_record(struct mh_entry *e, uint64_t offset,
				  uint64_t when_ms, const uint8_t *rec,
				  size_t len)
{
	if (offset < e->claims_next_offset)
		return;
	e->claims_next_offset = offset + 1;
	if (!mh_claims_apply(e->claims, rec, len, when_ms, on_decided, e))
		mh_count(&e->counters, MH_C_BAD_FRAMES);
}

void mh_entry_set_log_up(struct mh_entry *e, bool up)
{
	struct mh_req *req, *tmp;

	if (e->log_up == up)
		return;
	e->log_up = up;
	if (up)
		return;
	HASH_ITER(hh_call, e->by_call, req, tmp) {
		/* The next tick refuses it. */
		if (req->state == MH_REQ_CLAIM)
			mh_entry_set_due(e, req, 0);
	}
}

/* Checked right before the hand-over, when no more waiting follows. */
bool mh_entry_claim_is_valid(struct mh_entry *e, const struct mh_req *req)
{
	if (!req->call->non_idempotent)
		return true;
	return req->claim_held && key_in_window(e, req->call) &&
	       mh_claims_holder(e->claims, &req->key_hash) == req->claim_owner;
}
