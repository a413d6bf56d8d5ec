/*
 * Runs at the backend: at most one dispatch per run id, responses retained
 * for resends, and the subscribers that receive them.
 */
#include <stdlib.h>
#include <string.h>

#include "core/claims.h"
#include "core/side_impl.h"

/*
 * How long an ended run that failed or has no key is kept for a link that
 * reconnects.
 */
#define ENDED_RUN_RETENTION_NS (5000 * MH_NS_PER_MS)

/* A run without subscribers is cancelled after this time. */
#define ORPHAN_TIMEOUT_NS (3000 * MH_NS_PER_MS)

/* A run with a key is kept longer, for the client's resend. */
#define KEYED_ORPHAN_TIMEOUT_NS (30000 * MH_NS_PER_MS)

#define MAX_RETAINED_BYTES (64u << 20)

static void send_refused(struct mh_side *s, uint32_t link,
			 const struct mh_id *ref, enum mh_error error)
{
	Mh__Refused msg = MH__REFUSED__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.ref = mh_id_field(ref);
	msg.error = error;
	frame.body_case = MH__FRAME__BODY_REFUSED;
	frame.refused = &msg;
	s->ops->send(s->data, link, &frame);
}

static void send_head(struct mh_side *s, const struct mh_run *run,
		      struct mh_subscriber *sub)
{
	Mh__Head msg = MH__HEAD__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.ref = mh_id_field(&sub->ref);
	msg.status = run->status;
	msg.content_type = run->content_type;
	frame.body_case = MH__FRAME__BODY_HEAD;
	frame.head = &msg;
	sub->head_sent = true;
	s->ops->send(s->data, sub->link, &frame);
}

static void send_data(struct mh_side *s, const struct mh_run *run,
		      struct mh_subscriber *sub)
{
	const struct mh_chunk *chunk = &run->chunks[sub->next_seq];
	Mh__Data msg = MH__DATA__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.ref = mh_id_field(&sub->ref);
	msg.seq = sub->next_seq++;
	msg.bytes.data = run->response + chunk->start;
	msg.bytes.len = chunk->len;
	frame.body_case = MH__FRAME__BODY_DATA;
	frame.data = &msg;
	s->ops->send(s->data, sub->link, &frame);
}

static void send_end(struct mh_side *s, const struct mh_run *run,
		     const struct mh_subscriber *sub)
{
	Mh__End msg = MH__END__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.ref = mh_id_field(&sub->ref);
	msg.count = run->n_chunks;
	msg.hash = XXH64_digest(&run->hash);
	msg.error = run->error;
	frame.body_case = MH__FRAME__BODY_END;
	frame.end = &msg;
	s->ops->send(s->data, sub->link, &frame);
}

/* Sends a subscriber everything that it was not sent before. */
static void catch_up(struct mh_side *s, const struct mh_run *run,
		     struct mh_subscriber *sub)
{
	if (run->status && !sub->head_sent)
		send_head(s, run, sub);
	while (sub->next_seq < run->n_chunks)
		send_data(s, run, sub);
	if (run->state == MH_RUN_ENDED)
		send_end(s, run, sub);
}

static struct mh_subscriber *find_subscriber(struct mh_run *run, uint32_t link,
					     const struct mh_id *ref)
{
	struct mh_subscriber *sub;

	DL_FOREACH(run->subscribers, sub) {
		if (sub->link == link && mh_id_equal(&sub->ref, ref))
			return sub;
	}
	return NULL;
}

static void subscribe(struct mh_side *s, struct mh_run *run, uint32_t link,
		      const struct mh_id *ref, uint32_t from_seq)
{
	struct mh_subscriber *sub = find_subscriber(run, link, ref);

	if (!sub) {
		sub = calloc(1, sizeof(*sub));
		if (!sub)
			return;
		sub->link = link;
		sub->ref = *ref;
		DL_APPEND(run->subscribers, sub);
	}
	run->orphaned_ns = 0;
	sub->head_sent = from_seq > 0;
	sub->next_seq = from_seq;
	catch_up(s, run, sub);
}

static void drop_subscriber(struct mh_side *s, struct mh_run *run,
			    struct mh_subscriber *sub)
{
	DL_DELETE(run->subscribers, sub);
	free(sub);
	if (!run->subscribers)
		run->orphaned_ns = mh_side_now(s);
}

static struct mh_run_id_record *find_seen(struct mh_side *s,
					  const struct mh_id *id)
{
	struct mh_run_id_record *seen;

	HASH_FIND(hh, s->seen, id, sizeof(*id), seen);
	return seen;
}

/* Records an id, so that no later hand-over can dispatch it. */
static struct mh_run_id_record *mark_seen(struct mh_side *s,
					  const struct mh_id *id, bool started)
{
	struct mh_run_id_record *seen = calloc(1, sizeof(*seen));

	if (!seen)
		return NULL;
	seen->id = *id;
	seen->started = started;
	seen->when_ns = mh_side_now(s);
	HASH_ADD(hh, s->seen, id, sizeof(seen->id), seen);
	return seen;
}

static struct mh_run *find_by_key(struct mh_side *s,
				  const struct mh_id *key_hash)
{
	struct mh_run *run;

	HASH_FIND(hh_key, s->runs_by_key, key_hash, sizeof(*key_hash), run);
	return run;
}

static void free_run(struct mh_side *s, struct mh_run *run)
{
	struct mh_subscriber *sub, *tmp;

	DL_FOREACH_SAFE(run->subscribers, sub, tmp)
		free(sub);
	HASH_DELETE(hh, s->runs, run);
	if (run->has_key)
		HASH_DELETE(hh_key, s->runs_by_key, run);
	s->retained_bytes -= run->response_len;
	free(run->call.account);
	free(run->call.model);
	free(run->call.method);
	free(run->call.path);
	free(run->call.content_type);
	free(run->call.body);
	free(run->content_type);
	free(run->response);
	free(run->chunks);
	free(run);
}

static struct mh_run *new_run(const Mh__Handover *msg, const struct mh_id *id)
{
	struct mh_run *run = calloc(1, sizeof(*run));
	struct mh_id key;

	if (!run)
		return NULL;
	run->call.id = *id;
	run->call.account = strdup(msg->account);
	run->call.model = strdup(msg->model);
	run->call.method = strdup(msg->method);
	run->call.path = strdup(msg->path);
	run->call.content_type = strdup(msg->content_type);
	run->call.body_len = msg->body.len;
	run->call.body = malloc(msg->body.len + 1);
	if (run->call.body && msg->body.len)
		memcpy(run->call.body, msg->body.data, msg->body.len);
	run->tier = (uint8_t)msg->tier;
	run->non_idempotent = msg->non_idempotent;
	mh_id_from_bytes(&run->fingerprint, msg->fingerprint.data,
			 msg->fingerprint.len);
	run->has_key = mh_id_from_bytes(&key, msg->key.data, msg->key.len);
	if (run->has_key)
		run->key_hash = mh_claims_key(msg->account, &key);
	XXH64_reset(&run->hash, 0);
	return run;
}

static void start_run(struct mh_side *s, uint32_t link, const Mh__Handover *msg,
		      const struct mh_id *id)
{
	struct mh_run *run = new_run(msg, id);

	if (!run) {
		send_refused(s, link, id, MH_ERR_GRANT_EXPIRED);
		return;
	}
	HASH_ADD(hh, s->runs, call.id, sizeof(run->call.id), run);
	if (run->has_key)
		HASH_ADD(hh_key, s->runs_by_key, key_hash,
			 sizeof(run->key_hash), run);
	s->running++;
	mh_count(&s->counters, MH_C_STARTED);
	subscribe(s, run, link, id, 0);
	s->ops->start(s->data, &run->call);
}

/* Finds the run with the same key, which a resend joins. */
static struct mh_run *find_same_key_run(struct mh_side *s,
					const Mh__Handover *msg)
{
	struct mh_id key, key_hash;

	if (!mh_id_from_bytes(&key, msg->key.data, msg->key.len))
		return NULL;
	key_hash = mh_claims_key(msg->account, &key);
	return find_by_key(s, &key_hash);
}

static bool same_fingerprint(const struct mh_run *run,
			     const ProtobufCBinaryData *field)
{
	struct mh_id fp;

	return mh_id_from_bytes(&fp, field->data, field->len) &&
	       mh_id_equal(&fp, &run->fingerprint);
}

static void consume_want(struct mh_side *s, uint32_t link, uint32_t tier)
{
	struct mh_entry_link *l = mh_side_link(s, link);

	if (tier < MH_MAX_TIERS && l->want[tier])
		l->want[tier]--;
}

void mh_side_on_handover(struct mh_side *s, uint32_t link,
			 const Mh__Handover *msg)
{
	struct mh_run *existing;
	struct mh_id id;
	bool granted;

	if (!mh_id_from_bytes(&id, msg->run_id.data, msg->run_id.len))
		return;
	/* Started, refused or cancelled before: the entry needs no reply. */
	if (find_seen(s, &id)) {
		mh_count(&s->counters, MH_C_FENCED);
		return;
	}
	granted = mh_side_use_grant(s, link, msg->grant_id);
	consume_want(s, link, msg->tier);
	if (!granted || !mh_side_takes_work(s)) {
		mark_seen(s, &id, false);
		mh_count(&s->counters, MH_C_FENCED);
		send_refused(s, link, &id,
			     granted ? MH_ERR_SIDE_LEAVING :
				       MH_ERR_GRANT_EXPIRED);
		return;
	}
	existing = find_same_key_run(s, msg);
	if (existing && !same_fingerprint(existing, &msg->fingerprint)) {
		mark_seen(s, &id, false);
		send_refused(s, link, &id, MH_ERR_KEY_REUSED);
		return;
	}
	/* Without a record of the id it could be dispatched twice. */
	if (!mark_seen(s, &id, true)) {
		send_refused(s, link, &id, MH_ERR_GRANT_EXPIRED);
		return;
	}
	if (existing) {
		mh_count(&s->counters, MH_C_JOINED);
		subscribe(s, existing, link, &id, 0);
		return;
	}
	start_run(s, link, msg, &id);
}

/* Finds the run with this id, or the one that the reference joined. */
static struct mh_run *run_of_ref(struct mh_side *s, uint32_t link,
				 const struct mh_id *ref)
{
	struct mh_run *run, *tmp;

	HASH_FIND(hh, s->runs, ref, sizeof(*ref), run);
	if (run)
		return run;
	HASH_ITER(hh, s->runs, run, tmp) {
		if (find_subscriber(run, link, ref))
			return run;
	}
	return NULL;
}

static void attach_by_id(struct mh_side *s, uint32_t link,
			 const Mh__Attach *msg, const struct mh_id *ref,
			 const struct mh_id *id)
{
	struct mh_run_id_record *seen = find_seen(s, id);
	struct mh_run *run = run_of_ref(s, link, id);

	if (run) {
		subscribe(s, run, link, ref, msg->from_seq);
		return;
	}
	if (!seen)
		seen = mark_seen(s, id, false);
	send_refused(s, link, ref,
		     seen && !seen->started ? MH_ERR_NOT_FOUND :
					      MH_ERR_LINK_LOST);
}

static void attach_by_key(struct mh_side *s, uint32_t link,
			  const Mh__Attach *msg, const struct mh_id *ref)
{
	struct mh_id key, key_hash;
	struct mh_run *run = NULL;

	if (mh_id_from_bytes(&key, msg->key.data, msg->key.len)) {
		key_hash = mh_claims_key(msg->account, &key);
		run = find_by_key(s, &key_hash);
	}
	if (!run) {
		send_refused(s, link, ref, MH_ERR_NOT_FOUND);
		return;
	}
	if (!same_fingerprint(run, &msg->fingerprint)) {
		send_refused(s, link, ref, MH_ERR_KEY_REUSED);
		return;
	}
	mh_count(&s->counters, MH_C_JOINED);
	subscribe(s, run, link, ref, msg->from_seq);
}

void mh_side_on_attach(struct mh_side *s, uint32_t link, const Mh__Attach *msg)
{
	struct mh_id ref, id;

	if (!mh_id_from_bytes(&ref, msg->ref.data, msg->ref.len))
		return;
	if (mh_id_from_bytes(&id, msg->run_id.data, msg->run_id.len))
		attach_by_id(s, link, msg, &ref, &id);
	else
		attach_by_key(s, link, msg, &ref);
}

/* Lets no further resend join the run; a non-idempotent run keeps its key. */
static void forget_key(struct mh_side *s, struct mh_run *run)
{
	if (!run->has_key || run->non_idempotent)
		return;
	HASH_DELETE(hh_key, s->runs_by_key, run);
	run->has_key = false;
}

static void cancel_run(struct mh_side *s, struct mh_run *run)
{
	if (run->state != MH_RUN_RUNNING || run->cancelling)
		return;
	run->cancelling = true;
	forget_key(s, run);
	mh_count(&s->counters, MH_C_RUNS_CANCELLED);
	s->ops->cancel(s->data, &run->call.id);
}

void mh_side_on_cancel(struct mh_side *s, uint32_t link, const Mh__Cancel *msg)
{
	struct mh_subscriber *sub = NULL;
	struct mh_run *run;
	struct mh_id ref;

	if (!mh_id_from_bytes(&ref, msg->ref.data, msg->ref.len))
		return;
	run = run_of_ref(s, link, &ref);
	if (run)
		sub = find_subscriber(run, link, &ref);
	if (sub)
		drop_subscriber(s, run, sub);
	if (run && !run->subscribers && !run->has_key)
		cancel_run(s, run);
	/* The hand-over may still come; it must not start the run. */
	if (!run && !find_seen(s, &ref))
		mark_seen(s, &ref, false);
}

void mh_side_unsubscribe_link(struct mh_side *s, uint32_t link)
{
	struct mh_subscriber *sub, *tmp_sub;
	struct mh_run *run, *tmp;

	HASH_ITER(hh, s->runs, run, tmp) {
		DL_FOREACH_SAFE(run->subscribers, sub, tmp_sub) {
			if (sub->link == link)
				drop_subscriber(s, run, sub);
		}
	}
}

static struct mh_run *find_running(struct mh_side *s, const struct mh_id *id)
{
	struct mh_run *run;

	HASH_FIND(hh, s->runs, id, sizeof(*id), run);
	return run && run->state == MH_RUN_RUNNING ? run : NULL;
}

static void update_subscribers(struct mh_side *s, struct mh_run *run)
{
	struct mh_subscriber *sub;

	DL_FOREACH(run->subscribers, sub)
		catch_up(s, run, sub);
}

void mh_side_run_head(struct mh_side *s, const struct mh_id *id,
		      uint32_t status, const char *content_type)
{
	struct mh_run *run = find_running(s, id);

	if (!run || run->status)
		return;
	run->status = status;
	run->content_type = strdup(content_type);
	update_subscribers(s, run);
}

static bool append_chunk(struct mh_run *run, const uint8_t *bytes, size_t len)
{
	if (run->n_chunks == run->cap_chunks) {
		uint32_t cap = run->cap_chunks ? run->cap_chunks * 2 : 16;
		struct mh_chunk *p = realloc(run->chunks, cap * sizeof(*p));

		if (!p)
			return false;
		run->chunks = p;
		run->cap_chunks = cap;
	}
	if (run->response_len + len > run->response_cap) {
		size_t cap = (run->response_len + len) * 2;
		uint8_t *p = realloc(run->response, cap);

		if (!p)
			return false;
		run->response = p;
		run->response_cap = cap;
	}
	run->chunks[run->n_chunks].start = run->response_len;
	run->chunks[run->n_chunks++].len = len;
	memcpy(run->response + run->response_len, bytes, len);
	run->response_len += len;
	return true;
}

void mh_side_run_data(struct mh_side *s, const struct mh_id *id,
		      const uint8_t *bytes, size_t len)
{
	struct mh_run *run = find_running(s, id);
	uint64_t now = mh_side_now(s);

	if (!run || !run->status || !len)
		return;
	if (!append_chunk(run, bytes, len)) {
		cancel_run(s, run);
		return;
	}
	s->retained_bytes += len;
	XXH64_update(&run->hash, bytes, len);
	if (run->last_data_ns)
		mh_side_note_gap(s, now - run->last_data_ns);
	run->last_data_ns = now;
	update_subscribers(s, run);
}

static void note_failure(struct mh_side *s, const struct mh_run *run)
{
	struct mh_id *failed =
		realloc(s->failed, (s->n_failed + 1) * sizeof(*failed));

	mh_count(&s->counters, MH_C_RUNS_FAILED);
	if (!failed)
		return;
	if (!s->n_failed)
		s->first_failed_ns = mh_side_now(s);
	s->failed = failed;
	s->failed[s->n_failed++] = run->fingerprint;
}

void mh_side_run_end(struct mh_side *s, const struct mh_id *id,
		     enum mh_error error)
{
	struct mh_run *run = find_running(s, id);

	if (!run)
		return;
	run->state = MH_RUN_ENDED;
	run->ended_ns = mh_side_now(s);
	run->error = error;
	s->running--;
	if (!error)
		mh_count(&s->counters, MH_C_RUNS_WHOLE);
	else if (!run->cancelling)
		note_failure(s, run);
	if (error)
		forget_key(s, run);
	update_subscribers(s, run);
}

void mh_side_run_not_started(struct mh_side *s, const struct mh_id *id)
{
	struct mh_run *run = find_running(s, id);
	struct mh_subscriber *sub;
	struct mh_run_id_record *seen;

	if (!run)
		return;
	seen = find_seen(s, id);
	if (seen)
		seen->started = false;
	s->running--;
	s->backend_ok = false;
	DL_FOREACH(run->subscribers, sub)
		send_refused(s, sub->link, &sub->ref, MH_ERR_NOT_FOUND);
	free_run(s, run);
}

static uint64_t retention_ns(const struct mh_side *s, const struct mh_run *run)
{
	if (run->has_key && !run->error)
		return s->keep_ms * MH_NS_PER_MS;
	return ENDED_RUN_RETENTION_NS;
}

static void sweep_run(struct mh_side *s, struct mh_run *run, uint64_t now)
{
	if (run->state == MH_RUN_ENDED) {
		if (now > run->ended_ns + retention_ns(s, run))
			free_run(s, run);
		return;
	}
	if (!run->orphaned_ns || run->non_idempotent)
		return;
	if (now > run->orphaned_ns + (run->has_key ? KEYED_ORPHAN_TIMEOUT_NS :
						     ORPHAN_TIMEOUT_NS))
		cancel_run(s, run);
}

/* Frees ended runs, oldest first, until the retained responses fit. */
static void evict_ended_runs(struct mh_side *s)
{
	struct mh_run *run, *tmp;

	HASH_ITER(hh, s->runs, run, tmp) {
		if (s->retained_bytes <= MAX_RETAINED_BYTES)
			return;
		if (run->state == MH_RUN_ENDED)
			free_run(s, run);
	}
}

void mh_side_sweep_runs(struct mh_side *s)
{
	uint64_t now = mh_side_now(s);
	struct mh_run *run, *tmp;
	struct mh_run_id_record *seen, *tmp_seen;

	HASH_ITER(hh, s->runs, run, tmp)
		sweep_run(s, run, now);
	evict_ended_runs(s);
	/* The table is in insertion order: the oldest records come first. */
	HASH_ITER(hh, s->seen, seen, tmp_seen) {
		if (now < seen->when_ns + MH_RUN_ID_RETENTION_NS)
			break;
		HASH_DEL(s->seen, seen);
		free(seen);
	}
}

void mh_side_free_runs(struct mh_side *s)
{
	struct mh_run *run, *tmp;
	struct mh_run_id_record *seen, *tmp_seen;

	HASH_ITER(hh, s->runs, run, tmp)
		free_run(s, run);
	HASH_ITER(hh, s->seen, seen, tmp_seen) {
		HASH_DEL(s->seen, seen);
		free(seen);
	}
}
