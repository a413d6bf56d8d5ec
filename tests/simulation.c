#include "tests/simulation.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/entry.h"
#include "core/heap.h"
#include "core/side.h"

#define MS MH_NS_PER_MS
#define WALL_BASE_MS 1760000000000ull
#define SILENCE_MS 3000
#define RECONNECT_MS 200
#define APPEND_RETRY_MS 200
#define MAX_LOG 65536
#define TOKEN_BYTES 8
#define WORK_OF_OUTPUT_TOKEN 36
#define TIERS 3
#define ACCOUNTS 5
#define LEAVING_LIMIT_MS 5000
#define MAX_ATTEMPTS 16
#define MAX_EVENTS_PER_MS 100000

enum ev_kind {
	EV_TICK,
	EV_FRAME,
	EV_LINK_UP,
	EV_LINK_DOWN,
	EV_SUBMIT,
	EV_CLIENT_CANCEL,
	EV_LOG_POLL,
	EV_LOG_APPEND,
	EV_HOSTS,
	EV_STEP,
	EV_ENGINE_RESTART,
	EV_FAULT,
	EV_FAULT_END,
	EV_RESTART,
	EV_CONNECT,
};

struct ev {
	uint64_t at_ns;
	uint64_t seq;
	enum ev_kind kind;
	int node; /* receiver, -1 for the simulation */
	uint64_t life;
	uint32_t link;
	int peer;
	size_t call;
	int attempt;
	uint8_t *bytes;
	size_t len;
	const struct sim_fault *fault;
	uint32_t heap_index;
};

struct link {
	uint32_t id;
	int a;
	int b;
	bool up;
	uint64_t last_at[2];
	UT_hash_handle hh;
};

/* A sequence in an engine. */
struct seq {
	struct mh_id run;
	size_t call;
	uint32_t prompt_left;
	uint32_t prompt_read;
	uint32_t emitted;
	uint32_t output;
	bool head_sent;
	bool direct; /* a baseline's, known to no core */
	struct seq *prev, *next;
};

struct append {
	uint8_t *bytes;
	size_t len;
	bool is_claims;
	struct append *prev, *next;
};

struct node {
	struct simulation *w;
	int index;
	char name[24];
	bool is_entry;
	bool alive;
	uint64_t life; /* changes with each start */
	uint64_t frozen_until;
	uint64_t tick_at;
	struct mh_entry *entry;
	struct mh_side *side;
	bool draining;
	/* entry */
	uint64_t config_at;
	uint64_t claims_at;
	bool log_started;
	bool log_up;
	struct append *appends;
	bool append_scheduled;
	uint64_t version;
	/* side */
	struct seq *seqs;
	struct seq *backlog; /* of a baseline's engine */
	uint32_t reported_load;
	uint64_t reported_ns;
	bool engine_up;
	bool step_scheduled;
	uint64_t leaving_since;
	bool leaving;
	bool drain_told;
	uint32_t speed_percent;
	uint32_t straggle_percent;
};

struct record {
	uint64_t when_ms;
	uint8_t *bytes;
	size_t len;
};

struct stream {
	struct record v[MAX_LOG];
	uint64_t n;
};

struct call {
	struct sim_call spec;
	struct mh_call mh;
	char body[64];
	char tag[32];
	char account[16];
	int attempt;
	bool open;
	int at_entry;
	uint64_t key_ms;
	bool told_not_run[MAX_ATTEMPTS];
	uint32_t starts[MAX_ATTEMPTS];
	uint64_t start_ns;
	uint64_t first_ns;
	uint64_t last_ns;
	uint32_t got_tokens;
	bool bad_bytes;
	bool ended;
	bool whole;
	bool in_time;
	enum mh_error error;
	uint64_t refused_ns;
};

struct key_count {
	uint32_t key;
	uint64_t starts;
	UT_hash_handle hh;
};

struct simulation {
	struct sim_options o;
	struct mh_rng rng;
	uint64_t now;
	uint64_t next_seq;
	uint32_t round_robin;
	uint32_t events_in_ms;
	uint64_t next_life;
	uint32_t next_link;
	struct mh_heap events;
	struct node nodes[SIM_MAX_NODES];
	int n_nodes;
	struct link *links;
	struct stream config;
	struct stream claims;
	bool log_down;
	int lose_answers;
	bool hosts_down;
	struct call **calls;
	size_t n_calls;
	struct sim_fault *faults[1024];
	size_t n_faults;
	struct key_count *keys;
	uint64_t starts;
	uint64_t prefilled;
	uint64_t wasted;
	uint64_t useful;
	int engines_lost;
	uint64_t old_counters[MH_C_COUNT];
	char *violation;
};

static struct node *node_of(struct simulation *w, int i)
{
	return &w->nodes[i];
}

static struct node *side_node(struct simulation *w, int side)
{
	return &w->nodes[w->o.n_entries + side % w->o.n_sides];
}

static uint64_t rnd(struct simulation *w, uint64_t n)
{
	return n ? mh_rng_next(&w->rng) % n : 0;
}

static void violate(struct simulation *w, const char *fmt, ...)
{
	char text[SIM_TEXT_BYTES];
	va_list args;
	int n;

	if (w->violation)
		return;
	n = snprintf(text, sizeof(text),
		     "at %llu ms: ", (unsigned long long)(w->now / MS));
	va_start(args, fmt);
	vsnprintf(text + n, sizeof(text) - (size_t)n, fmt, args);
	va_end(args);
	w->violation = strdup(text);
}

static bool ev_less(const void *a, const void *b)
{
	const struct ev *x = a, *y = b;

	return x->at_ns < y->at_ns || (x->at_ns == y->at_ns && x->seq < y->seq);
}

static struct ev *schedule(struct simulation *w, enum ev_kind kind, int node,
			   uint64_t at_ns)
{
	struct ev *ev = calloc(1, sizeof(*ev));

	ev->at_ns = at_ns > w->now ? at_ns : w->now;
	ev->seq = w->next_seq++;
	ev->kind = kind;
	ev->node = node;
	if (node >= 0)
		ev->life = w->nodes[node].life;
	ev->heap_index = MH_HEAP_NONE;
	mh_heap_add(&w->events, ev);
	return ev;
}

static void schedule_tick(struct simulation *w, struct node *n, uint64_t at_ns)
{
	if (n->tick_at > w->now && n->tick_at <= at_ns)
		return;
	n->tick_at = at_ns > w->now ? at_ns : w->now + 1;
	schedule(w, EV_TICK, n->index, n->tick_at);
}

static uint64_t clock_mono(void *data)
{
	struct node *n = data;

	return n->w->now + 1000 * MS;
}

static uint64_t clock_wall(void *data)
{
	struct node *n = data;

	/* Hosts' clocks differ by up to a second. */
	return WALL_BASE_MS + n->w->now / MS + (uint64_t)(n->index * 97 % 1000);
}

/*
 * Work of an answer in prompt tokens: a step reads prefill_tokens of them, and
 * a full batch makes one output token a sequence in the time of a slower step.
 */
static uint64_t work_of(const struct call *c)
{
	return c->spec.prompt_tokens +
	       (uint64_t)c->spec.output_tokens * WORK_OF_OUTPUT_TOKEN;
}

/* ---- links ---- */

static struct link *find_link(struct simulation *w, uint32_t id)
{
	struct link *l;

	HASH_FIND(hh, w->links, &id, sizeof(id), l);
	return l;
}

static void send_frame(struct node *from, uint32_t id, const Mh__Frame *frame)
{
	struct simulation *w = from->w;
	struct link *l = find_link(w, id);
	size_t len = mh__frame__get_packed_size(frame);
	int copies = 1, to, dir;

	if (!l || !l->up)
		return;
	to = l->a == from->index ? l->b : l->a;
	dir = l->a == from->index;
	if (rnd(w, 1000) < w->o.drop_permille)
		return;
	if (rnd(w, 1000) < w->o.dup_permille)
		copies = 2;
	while (copies--) {
		uint64_t at = w->now + w->o.delay_us * 1000ull +
			      rnd(w, w->o.delay_us * 200ull + 1);
		struct ev *ev;

		if (rnd(w, 1000) < w->o.late_permille || copies)
			at += rnd(w, 400 * MS);
		else if (at < l->last_at[dir])
			at = l->last_at[dir];
		else
			l->last_at[dir] = at;
		ev = schedule(w, EV_FRAME, to, at);
		ev->link = id;
		ev->bytes = malloc(len);
		ev->len = len;
		mh__frame__pack(frame, ev->bytes);
	}
}

static void open_link(struct simulation *w, int a, int b)
{
	struct node *x = node_of(w, a), *y = node_of(w, b);
	struct link *l;
	struct ev *ev;

	if (!x->alive || !y->alive || x->frozen_until > w->now ||
	    y->frozen_until > w->now) {
		ev = schedule(w, EV_CONNECT, -1, w->now + RECONNECT_MS * MS);
		ev->link = (uint32_t)a;
		ev->peer = b;
		return;
	}
	l = calloc(1, sizeof(*l));
	l->id = ++w->next_link;
	l->a = a;
	l->b = b;
	l->up = true;
	HASH_ADD(hh, w->links, id, sizeof(l->id), l);
	ev = schedule(w, EV_LINK_UP, a, w->now);
	ev->link = l->id;
	ev->peer = b;
	ev = schedule(w, EV_LINK_UP, b, w->now);
	ev->link = l->id;
	ev->peer = a;
}

static void cut_link(struct simulation *w, struct link *l, uint64_t back_ns)
{
	struct ev *ev;

	if (!l->up)
		return;
	l->up = false;
	schedule(w, EV_LINK_DOWN, l->a, w->now + 1)->link = l->id;
	schedule(w, EV_LINK_DOWN, l->b, w->now + 1)->link = l->id;
	ev = schedule(w, EV_CONNECT, -1, back_ns);
	ev->link = (uint32_t)l->a;
	ev->peer = l->b;
}

static void cut_between(struct simulation *w, int a, int b, uint64_t back_ns)
{
	struct link *l, *tmp;

	HASH_ITER(hh, w->links, l, tmp) {
		if ((l->a == a && l->b == b) || (l->a == b && l->b == a))
			cut_link(w, l, back_ns);
	}
}

static void cut_all(struct simulation *w, int node, uint64_t back_ns)
{
	struct link *l, *tmp;

	HASH_ITER(hh, w->links, l, tmp) {
		if (l->a == node || l->b == node)
			cut_link(w, l, back_ns);
	}
}

static void deliver_link_up(struct simulation *w, struct node *n, struct ev *ev)
{
	static const char *const models[] = { "m" };
	struct node *p = node_of(w, ev->peer);
	struct mh_remote remote = { .host = p->name,
				    .incarnation = p->life,
				    .is_side = !p->is_entry,
				    .pool = p->is_entry ? "" : "llm",
				    .models = models,
				    .n_models = 1 };
	struct link *l = find_link(w, ev->link);

	if (!l->up)
		return;
	if (n->is_entry)
		mh_entry_link_up(n->entry, ev->link, &remote);
	else
		mh_side_link_up(n->side, ev->link);
}

/* ---- calls ---- */

static struct key_count *count_of_key(struct simulation *w, uint32_t key)
{
	struct key_count *k;

	HASH_FIND(hh, w->keys, &key, sizeof(key), k);
	if (k)
		return k;
	k = calloc(1, sizeof(*k));
	k->key = key;
	HASH_ADD(hh, w->keys, key, sizeof(k->key), k);
	return k;
}

static void resend_later(struct simulation *w, struct call *c,
			 uint64_t after_ms)
{
	struct ev *ev;

	if (c->attempt >= c->spec.resends || c->attempt + 1 == MAX_ATTEMPTS) {
		c->ended = true;
		return;
	}
	ev = schedule(w, EV_SUBMIT, -1, w->now + after_ms * MS);
	ev->call = (size_t)(uintptr_t)c->mh.data;
	ev->attempt = ++c->attempt;
}

static struct call *call_of(const struct mh_call *mh, struct node *n)
{
	return n->w->calls[(size_t)(uintptr_t)mh->data];
}

static void op_send(void *data, uint32_t link, const Mh__Frame *frame)
{
	send_frame(data, link, frame);
}

static void op_head(void *data, struct mh_call *mh, uint32_t status,
		    const char *type, const char *server)
{
	struct call *c = call_of(mh, data);

	(void)server;
	if (status != 200 || strcmp(type, "text/plain"))
		c->bad_bytes = true;
}

static void op_chunk(void *data, struct mh_call *mh, const uint8_t *bytes,
		     size_t len)
{
	struct node *n = data;
	struct call *c = call_of(mh, n);
	char want[TOKEN_BYTES + 64];

	/* Each token names the body that it answers, and its place. */
	snprintf(want, sizeof(want), "%s#%u;", c->body, c->got_tokens);
	if (len != strlen(want) || memcmp(want, bytes, len))
		c->bad_bytes = true;
	if (!c->first_ns)
		c->first_ns = n->w->now;
	c->last_ns = n->w->now;
	c->got_tokens++;
}

static void op_end(void *data, struct mh_call *mh)
{
	struct node *n = data;
	struct simulation *w = n->w;
	struct call *c = call_of(mh, n);

	if (!c->open)
		violate(w, "call %s ended twice", c->tag);
	if (c->bad_bytes || c->got_tokens != c->spec.output_tokens)
		violate(w, "call %s: answer not whole or not its own: %u of %u",
			c->tag, c->got_tokens, c->spec.output_tokens);
	c->open = false;
	c->ended = true;
	c->whole = true;
	c->error = MH_OK;
	c->in_time = clock_mono(n) <= mh->deadline_ns;
	if (c->in_time)
		w->useful += work_of(c);
}

/* No request is shed for load while a lower tier waits anywhere. */
static void check_shed(struct node *n, const struct call *c,
		       enum mh_error error)
{
	struct simulation *w = n->w;
	int i, t;

	if (error != MH_ERR_OVERLOADED && error != MH_ERR_SHED_FOR_HIGHER_TIER)
		return;
	for (i = 0; i < w->o.n_entries; i++) {
		struct node *other = node_of(w, i);

		if (!other->alive)
			continue;
		for (t = c->spec.tier + 1; t < TIERS; t++) {
			if (mh_entry_count_waiting(other->entry, "llm",
						   (uint8_t)t))
				violate(w,
					"call %s of tier %d shed at %s while "
					"tier %d waits at %s",
					c->tag, c->spec.tier, n->name, t,
					other->name);
		}
	}
}

static void op_refuse(void *data, struct mh_call *mh,
		      const struct mh_refusal *refusal)
{
	struct node *n = data;
	struct simulation *w = n->w;
	struct call *c = call_of(mh, n);
	const struct mh_error_info *info = mh_error_info(refusal->error);

	if (!c->open)
		violate(w, "call %s ended twice", c->tag);
	c->open = false;
	c->error = refusal->error;
	c->refused_ns = w->now;
	check_shed(n, c, refusal->error);
	if (info->outcome == MH_OUTCOME_NOT_RUN) {
		c->told_not_run[c->attempt] = true;
		if (c->starts[c->attempt])
			violate(w, "call %s told %s, but it ran", c->tag,
				info->name);
	}
	if (refusal->error == MH_ERR_QUARANTINED)
		c->ended = true;
	else
		resend_later(w, c,
			     refusal->retry_after_ms ? refusal->retry_after_ms :
						       200 + rnd(w, 500));
}

static void op_append(struct node *n, const void *bytes, size_t len,
		      bool is_claims)
{
	struct append *a = calloc(1, sizeof(*a));

	a->bytes = malloc(len);
	memcpy(a->bytes, bytes, len);
	a->len = len;
	a->is_claims = is_claims;
	DL_APPEND(n->appends, a);
	if (n->append_scheduled)
		return;
	n->append_scheduled = true;
	schedule(n->w, EV_LOG_APPEND, n->index,
		 n->w->now + (1 + rnd(n->w, 8)) * MS);
}

static void op_append_claims(void *data, const uint8_t *rec, size_t len)
{
	op_append(data, rec, len, true);
}

static void op_append_config(void *data, const char *rec, size_t len)
{
	op_append(data, rec, len, false);
}

static void op_config_changed(void *data, struct mh_manifest *old,
			      const struct mh_manifest *now)
{
	struct node *n = data;

	if (now->version < n->version)
		violate(n->w, "%s went back from version %llu to %llu", n->name,
			(unsigned long long)n->version,
			(unsigned long long)now->version);
	n->version = now->version;
	mh_manifest_free(old);
}

static const struct mh_entry_ops entry_ops = {
	.send = op_send,
	.head = op_head,
	.chunk = op_chunk,
	.end = op_end,
	.refuse = op_refuse,
	.append_claims = op_append_claims,
	.append_config = op_append_config,
	.config_changed = op_config_changed,
};

/* ---- engines ---- */

static void schedule_step(struct node *n)
{
	struct simulation *w = n->w;
	uint64_t us = w->o.step_us;
	struct seq *q;
	int count;

	if (n->step_scheduled || !n->seqs || !n->engine_up)
		return;
	DL_COUNT(n->seqs, q, count);
	us += us * (uint64_t)(count - 1) * w->o.batch_percent / 100;
	us = us * 100 / n->speed_percent;
	us = us * n->straggle_percent / 100;
	n->step_scheduled = true;
	schedule(w, EV_STEP, n->index, w->now + us * 1000);
}

static void check_start(struct node *n, struct call *c, size_t attempt)
{
	struct simulation *w = n->w;
	struct key_count *k;

	w->starts++;
	if (++c->starts[attempt] > 1)
		violate(w, "call %s dispatched %u times", c->tag,
			c->starts[attempt]);
	if (c->told_not_run[attempt])
		violate(w, "call %s started after it was told not run", c->tag);
	if (n->leaving && w->now > n->leaving_since + LEAVING_LIMIT_MS * MS)
		violate(w, "call %s started at %s, leaving for %llu ms", c->tag,
			n->name,
			(unsigned long long)((w->now - n->leaving_since) / MS));
	if (!c->spec.key)
		return;
	k = count_of_key(w, c->spec.key);
	if (++k->starts > 1 && c->spec.non_idempotent)
		violate(w, "key %u ran %llu times", c->spec.key,
			(unsigned long long)k->starts);
}

static void end_direct(struct node *n, struct call *c, enum mh_error error)
{
	if (!c->open)
		return;
	if (!error) {
		op_end(n, &c->mh);
		return;
	}
	c->open = false;
	c->error = error;
	resend_later(n->w, c, 100 + rnd(n->w, 500));
}

static void end_seq(struct node *n, struct seq *q, enum mh_error error)
{
	struct call *c = n->w->calls[q->call];
	struct mh_id run = q->run;
	bool direct = q->direct;

	if (error)
		n->w->wasted += q->prompt_read;
	DL_DELETE(n->seqs, q);
	free(q);
	if (direct) {
		end_direct(n, c, error);
		return;
	}
	mh_side_run_end(n->side, &run, error);
}

static void fail_engine(struct node *n)
{
	struct simulation *w = n->w;

	w->engines_lost++;
	n->engine_up = false;
	while (n->seqs)
		end_seq(n, n->seqs, MH_ERR_BACKEND_CUT);
	mh_side_backend_state(n->side, false);
	schedule(w, EV_ENGINE_RESTART, n->index, w->now + 300 * MS);
}

static void op_start(void *data, const struct mh_run_call *run)
{
	struct node *n = data;
	struct simulation *w = n->w;
	size_t index = strtoul(run->content_type + 1, NULL, 10);
	struct call *c = w->calls[index / 100];
	struct seq *q;

	if (!n->engine_up) {
		mh_side_run_not_started(n->side, &run->id);
		return;
	}
	check_start(n, c, index % 100);
	q = calloc(1, sizeof(*q));
	q->run = run->id;
	q->call = index / 100;
	q->prompt_left = c->spec.prompt_tokens;
	q->output = c->spec.output_tokens;
	DL_APPEND(n->seqs, q);
	schedule_step(n);
}

static void op_cancel(void *data, const struct mh_id *run)
{
	struct node *n = data;
	struct seq *q;

	DL_FOREACH(n->seqs, q) {
		if (mh_id_equal(&q->run, run))
			break;
	}
	if (q)
		end_seq(n, q, MH_ERR_CANCELLED);
}

static const struct mh_side_ops side_ops = {
	.send = op_send,
	.start = op_start,
	.cancel = op_cancel,
};

static void emit(struct node *n, struct seq *q)
{
	struct call *c = n->w->calls[q->call];
	char text[TOKEN_BYTES + 64];
	int len;

	if (q->direct) {
		q->emitted++;
		c->got_tokens++;
		c->first_ns = c->first_ns ? c->first_ns : n->w->now;
		c->last_ns = n->w->now;
		return;
	}
	if (!q->head_sent) {
		q->head_sent = true;
		mh_side_run_head(n->side, &q->run, 200, "text/plain");
	}
	len = snprintf(text, sizeof(text), "%s#%u;", c->body, q->emitted++);
	mh_side_run_data(n->side, &q->run, (uint8_t *)text, (size_t)len);
}

/* An engine admits as many sequences as its memory holds, in their order. */
static void admit_backlog(struct node *n)
{
	struct seq *q;
	int count;

	DL_COUNT(n->seqs, q, count);
	while (n->backlog && (uint32_t)count < n->w->o.slots) {
		q = n->backlog;
		DL_DELETE(n->backlog, q);
		DL_APPEND(n->seqs, q);
		count++;
	}
}

static uint32_t engine_load(struct node *n)
{
	int running, waiting;
	struct seq *q;

	DL_COUNT(n->seqs, q, running);
	DL_COUNT(n->backlog, q, waiting);
	return (uint32_t)(running + waiting);
}

static struct node *baseline_pick(struct simulation *w)
{
	struct node *best = NULL;
	int i;

	if (w->o.baseline == BASELINE_ROUND_ROBIN)
		return side_node(w, (int)(w->round_robin++ % 1000000));
	for (i = 0; i < w->o.n_sides; i++) {
		struct node *n = side_node(w, i);

		if (w->now >= n->reported_ns + w->o.load_lag_ms * MS) {
			n->reported_ns = w->now;
			n->reported_load = engine_load(n);
		}
		if (n->engine_up &&
		    (!best || n->reported_load < best->reported_load))
			best = n;
	}
	return best ? best : side_node(w, 0);
}

static void baseline_start(struct simulation *w, struct call *c, size_t index)
{
	struct node *n = baseline_pick(w);
	struct seq *q;

	if (!n->engine_up) {
		end_direct(n, c, MH_ERR_BACKEND_FAILED);
		return;
	}
	q = calloc(1, sizeof(*q));
	q->direct = true;
	q->call = index;
	q->prompt_left = c->spec.prompt_tokens;
	q->output = c->spec.output_tokens;
	DL_APPEND(n->backlog, q);
	admit_backlog(n);
	schedule_step(n);
}

static void baseline_give_up(struct simulation *w, size_t index)
{
	struct seq *q, *tmp;
	int i;

	for (i = 0; i < w->o.n_sides; i++) {
		struct node *n = side_node(w, i);

		DL_FOREACH_SAFE(n->seqs, q, tmp) {
			if (q->call == index)
				end_seq(n, q, MH_ERR_CALLER_GONE);
		}
		DL_FOREACH_SAFE(n->backlog, q, tmp) {
			if (q->call != index)
				continue;
			DL_DELETE(n->backlog, q);
			free(q);
			end_direct(n, w->calls[index], MH_ERR_CALLER_GONE);
		}
	}
}

static void engine_step(struct node *n)
{
	struct simulation *w = n->w;
	uint32_t budget = w->o.prefill_tokens;
	struct seq *q, *tmp;

	n->step_scheduled = false;
	admit_backlog(n);
	DL_FOREACH_SAFE(n->seqs, q, tmp) {
		uint32_t take;

		if (!q->prompt_left) {
			emit(n, q);
			if (q->emitted == q->output)
				end_seq(n, q, MH_OK);
			continue;
		}
		if (w->calls[q->call]->spec.crashes) {
			fail_engine(n);
			return;
		}
		take = q->prompt_left < budget ? q->prompt_left : budget;
		q->prompt_left -= take;
		q->prompt_read += take;
		budget -= take;
		w->prefilled += take;
	}
	schedule_step(n);
}

/* ---- life and death of nodes ---- */

static void start_node(struct simulation *w, struct node *n)
{
	struct mh_clock clock = { clock_mono, clock_wall, n };

	n->alive = true;
	n->life = ++w->next_life;
	n->frozen_until = 0;
	n->tick_at = 0;
	n->draining = false;
	/* A signal to leave was for the process before. */
	if (n->drain_told)
		n->leaving = false;
	n->drain_told = false;
	if (n->is_entry) {
		n->entry = mh_entry_new(n->name, &clock, rnd(w, UINT64_MAX),
					&entry_ops, n);
		mh_entry_set_policy(n->entry, mh_policy_variants(w->o.policy));
		n->config_at = 0;
		n->claims_at = 0;
		n->version = 0;
		n->log_started = false;
		n->log_up = false;
		n->append_scheduled = false;
		schedule(w, EV_LOG_POLL, n->index, w->now);
	} else {
		n->side = mh_side_new(n->name, &clock, rnd(w, UINT64_MAX),
				      w->o.slots, &side_ops, n);
		n->step_scheduled = false;
		mh_side_backend_state(n->side, n->engine_up);
	}
	schedule(w, EV_HOSTS, n->index, w->now);
	schedule_tick(w, n, w->now + 1);
}

static void keep_counters(struct simulation *w, struct node *n)
{
	struct mh_counters *c = n->is_entry ? mh_entry_counters(n->entry) :
					      mh_side_counters(n->side);
	int i;

	for (i = 0; i < MH_C_COUNT; i++)
		w->old_counters[i] += mh_counter_read(c, (enum mh_counter)i);
}

static void drop_calls_of(struct simulation *w, int entry)
{
	size_t i;

	for (i = 0; i < w->n_calls; i++) {
		struct call *c = w->calls[i];

		if (!c->open || c->at_entry != entry)
			continue;
		if (w->o.baseline) {
			baseline_give_up(w, i);
			continue;
		}
		/* Its caller sees a broken connection. */
		c->open = false;
		c->error = MH_ERR_LINK_LOST;
		resend_later(w, c, 100 + rnd(w, 1000));
	}
}

static void free_core(struct node *n)
{
	struct append *a, *tmp;
	struct seq *q, *tmp_q;

	DL_FOREACH_SAFE(n->appends, a, tmp) {
		DL_DELETE(n->appends, a);
		free(a->bytes);
		free(a);
	}
	DL_FOREACH_SAFE(n->backlog, q, tmp_q) {
		DL_DELETE(n->backlog, q);
		free(q);
	}
	DL_FOREACH_SAFE(n->seqs, q, tmp_q) {
		n->w->wasted += q->prompt_read;
		DL_DELETE(n->seqs, q);
		free(q);
	}
	if (n->entry)
		mh_entry_free(n->entry);
	if (n->side)
		mh_side_free(n->side);
	n->entry = NULL;
	n->side = NULL;
}

static void kill_node(struct simulation *w, struct node *n, uint64_t back_ns)
{
	if (!n->alive)
		return;
	cut_all(w, n->index, back_ns + RECONNECT_MS * MS);
	keep_counters(w, n);
	if (n->is_entry)
		drop_calls_of(w, n->index);
	free_core(n);
	n->alive = false;
	n->life = ++w->next_life;
	schedule(w, EV_RESTART, -1, back_ns)->peer = n->index;
}

static void freeze_node(struct simulation *w, struct node *n,
			uint64_t duration_ns)
{
	if (!n->alive || n->frozen_until > w->now)
		return;
	n->frozen_until = w->now + duration_ns;
	if (duration_ns > SILENCE_MS * MS)
		/* The others cut the links; it hears of it when it wakes. */
		schedule(w, EV_FAULT_END, -1, w->now + SILENCE_MS * MS)->peer =
			n->index;
}

/* ---- the log and the host list ---- */

static uint64_t log_append(struct simulation *w, struct stream *s,
			   const uint8_t *bytes, size_t len)
{
	struct record *r = &s->v[s->n];

	if (s->n == MAX_LOG)
		abort();
	r->when_ms = WALL_BASE_MS + w->now / MS;
	r->bytes = malloc(len + 1);
	memcpy(r->bytes, bytes, len);
	r->len = len;
	return s->n++;
}

static void set_log_state(struct node *n, bool up)
{
	if (n->log_up == up)
		return;
	n->log_up = up;
	mh_entry_set_log_up(n->entry, up);
}

static void log_poll(struct simulation *w, struct node *n)
{
	schedule(w, EV_LOG_POLL, n->index, w->now + (2 + rnd(w, 20)) * MS);
	if (w->log_down) {
		set_log_state(n, false);
		return;
	}
	if (!n->log_started) {
		n->log_started = true;
		mh_entry_config_start(n->entry, 0);
		mh_entry_claims_start(n->entry, 0, 0);
	}
	while (n->config_at < w->config.n) {
		struct record *r = &w->config.v[n->config_at];

		mh_entry_config_record(n->entry, n->config_at++, r->when_ms,
				       (char *)r->bytes, r->len);
	}
	while (n->claims_at < w->claims.n) {
		struct record *r = &w->claims.v[n->claims_at];

		mh_entry_claims_record(n->entry, n->claims_at++, r->when_ms,
				       r->bytes, r->len);
	}
	set_log_state(n, true);
}

static void append_next(struct simulation *w, struct node *n)
{
	struct append *a = n->appends;

	n->append_scheduled = false;
	if (!a)
		return;
	n->append_scheduled = true;
	if (w->log_down) {
		set_log_state(n, false);
		schedule(w, EV_LOG_APPEND, n->index,
			 w->now + APPEND_RETRY_MS * MS);
		return;
	}
	log_append(w, a->is_claims ? &w->claims : &w->config, a->bytes, a->len);
	if (w->lose_answers > 0) {
		/* It was appended, but the entry tries again. */
		w->lose_answers--;
		schedule(w, EV_LOG_APPEND, n->index,
			 w->now + APPEND_RETRY_MS * MS);
		return;
	}
	DL_DELETE(n->appends, a);
	free(a->bytes);
	free(a);
	schedule(w, EV_LOG_APPEND, n->index, w->now + (1 + rnd(w, 8)) * MS);
}

static void read_hosts(struct simulation *w, struct node *n)
{
	struct mh_host rows[SIM_MAX_NODES];
	int i;

	schedule(w, EV_HOSTS, n->index, w->now + (500 + rnd(w, 500)) * MS);
	if (w->hosts_down)
		return;
	if (!n->is_entry) {
		mh_side_host_state(n->side, n->leaving && !n->drain_told);
		return;
	}
	for (i = 0; i < w->n_nodes; i++) {
		struct node *other = node_of(w, i);

		rows[i].name = other->name;
		rows[i].is_entry = other->is_entry;
		rows[i].state = other->leaving && !other->drain_told ?
					MH_HOST_LEAVING :
					MH_HOST_LIVE;
	}
	mh_entry_set_hosts(n->entry, rows, (size_t)w->n_nodes);
}

static char *manifest_record(const struct simulation *w, uint64_t base,
			     uint32_t keep_ms)
{
	json_t *accounts = json_array(), *rec;
	char name[16], hash[65], *text;
	int i;

	for (i = 0; i < ACCOUNTS; i++) {
		snprintf(name, sizeof(name), "acct-%d", i);
		snprintf(hash, sizeof(hash), "%064d", i);
		json_array_append_new(
			accounts,
			json_pack("{s:s, s:[s], s:s, s:i, s:i}", "name", name,
				  "keys_sha256", hash, "tier", "high", "share",
				  i < 2 ? 300 : 100, "max_waiting", 100000));
	}
	rec = json_pack(
		"{s:s, s:I, s:s, s:s, s:{s:i, s:[{s:s}, {s:s}, {s:s}], "
		"s:[{s:s, s:s, s:[s], s:i, s:i}], s:o, s:{s:i, s:i, s:i}}}",
		"kind", "manifest", "base", (json_int_t)base, "who", "test",
		"nonce", "n", "doc", "schema", 1, "tier", "name", "high",
		"name", "middle", "name", "low", "pool", "name", "llm", "kind",
		"engine", "models", "m", "max_waiting", (int)w->o.max_waiting,
		"max_running", (int)w->o.slots, "account", accounts, "policy",
		"keep_ms", (int)keep_ms, "appends_per_s", 300,
		"claim_appenders", (int)w->o.appenders);
	text = json_dumps(rec, JSON_COMPACT);
	json_decref(rec);
	return text;
}

static void publish(struct simulation *w, uint64_t base, uint32_t keep_ms)
{
	char *text = manifest_record(w, base, keep_ms);

	log_append(w, &w->config, (uint8_t *)text, strlen(text));
	free(text);
}

/* ---- faults ---- */

static void begin_fault(struct simulation *w, const struct sim_fault *f)
{
	uint64_t back = w->now + f->duration_ms * MS;
	struct node *entry = node_of(w, f->a % w->o.n_entries);
	struct node *side = side_node(w, f->a);
	uint64_t base = 0;
	int i;

	switch (f->kind) {
	case FAULT_CUT_LINK:
		cut_between(w, f->a % w->o.n_entries, side_node(w, f->b)->index,
			    back);
		break;
	case FAULT_CUT_ENTRY_LINK:
		cut_between(w, f->a % w->o.n_entries, f->b % w->o.n_entries,
			    back);
		break;
	case FAULT_KILL_ENTRY:
		kill_node(w, entry, back);
		break;
	case FAULT_KILL_SIDE:
		kill_node(w, side, back);
		break;
	case FAULT_FREEZE_ENTRY:
		freeze_node(w, entry, f->duration_ms * MS);
		break;
	case FAULT_FREEZE_SIDE:
		freeze_node(w, side, f->duration_ms * MS);
		break;
	case FAULT_KILL_ENGINE:
		if (side->alive && side->engine_up)
			fail_engine(side);
		break;
	case FAULT_LOG_OUTAGE:
		w->log_down = true;
		break;
	case FAULT_LOG_LOSES_ACKS:
		w->lose_answers += 3;
		break;
	case FAULT_HOST_LEAVES:
		if (side->leaving)
			break;
		side->leaving = true;
		side->leaving_since = w->now;
		break;
	case FAULT_HOSTS_DOWN:
		w->hosts_down = true;
		break;
	case FAULT_DRAIN_SIDE:
		if (!side->alive || side->leaving)
			break;
		side->draining = true;
		side->leaving = true;
		side->drain_told = true;
		side->leaving_since = w->now;
		mh_side_drain(side->side);
		break;
	case FAULT_DRAIN_ENTRY:
		if (!entry->alive)
			break;
		entry->draining = true;
		mh_entry_drain(entry->entry);
		break;
	case FAULT_STRAGGLER:
		side->straggle_percent = 300;
		break;
	case FAULT_PUBLISH_RACE:
		for (i = 0; i < w->o.n_entries; i++) {
			if (node_of(w, i)->version > base)
				base = node_of(w, i)->version;
		}
		publish(w, base, 50000 + (uint32_t)rnd(w, 1000));
		publish(w, base, 60000 + (uint32_t)rnd(w, 1000));
		break;
	case FAULT_KINDS:
		break;
	}
}

/* A drained process ends once it is idle, and another takes its place. */
static void replace_drained(struct simulation *w, struct node *n,
			    const struct sim_fault *f)
{
	bool idle;
	struct ev *ev;

	if (!n->alive || !n->draining)
		return;
	idle = n->is_entry ? !mh_entry_count_calls(n->entry) :
			     mh_side_idle(n->side);
	if (!idle) {
		ev = schedule(w, EV_FAULT_END, -1, w->now + 100 * MS);
		ev->fault = f;
		return;
	}
	kill_node(w, n, w->now + 100 * MS);
	n->leaving = false;
}

static void end_fault(struct simulation *w, const struct sim_fault *f)
{
	struct node *side = side_node(w, f->a);

	switch (f->kind) {
	case FAULT_LOG_OUTAGE:
		w->log_down = false;
		break;
	case FAULT_HOST_LEAVES:
		if (!side->drain_told)
			side->leaving = false;
		break;
	case FAULT_HOSTS_DOWN:
		w->hosts_down = false;
		break;
	case FAULT_DRAIN_SIDE:
		replace_drained(w, side, f);
		break;
	case FAULT_DRAIN_ENTRY:
		replace_drained(w, node_of(w, f->a % w->o.n_entries), f);
		break;
	case FAULT_STRAGGLER:
		side->straggle_percent = 100;
		break;
	default:
		break;
	}
}

/* ---- callers ---- */

static void prepare(struct simulation *w, struct call *c, struct node *n)
{
	struct mh_call *mh = &c->mh;
	void *data = mh->data;
	uint64_t key_rand[2] = { c->spec.key, c->spec.key * 7919ull };

	memset(mh, 0, sizeof(*mh));
	mh->data = data;
	mh_id_make_v7(&mh->id, WALL_BASE_MS + w->now / MS, mh_rng_next(&w->rng),
		      mh_rng_next(&w->rng));
	mh->account = c->account;
	mh->pool = "llm";
	mh->model = "m";
	mh->method = "POST";
	mh->path = "/";
	snprintf(c->tag, sizeof(c->tag), "c%zu",
		 (size_t)(uintptr_t)data * 100 + (size_t)c->attempt);
	mh->content_type = c->tag;
	mh->body = (uint8_t *)c->body;
	mh->body_len = strlen(c->body);
	mh->tier = (uint8_t)c->spec.tier;
	mh->share = c->spec.account < 2 ? 300 : 100;
	mh->non_idempotent = c->spec.non_idempotent;
	mh->has_key = c->spec.key > 0;
	mh_id_make_v7(&mh->key, WALL_BASE_MS + c->key_ms, key_rand[0],
		      key_rand[1]);
	mh->fingerprint.b[0] = 1;
	memcpy(mh->fingerprint.b + 1, c->body, 15);
	mh->prefix_hash = mh_rng_next(&w->rng);
	mh->prompt_tokens = c->spec.prompt_tokens;
	mh->output_tokens = c->spec.output_tokens;
	mh->deadline_ns = clock_mono(n) + c->spec.deadline_ms * MS;
}

static void submit(struct simulation *w, size_t index, int attempt)
{
	struct call *c = w->calls[index];
	int entry = (c->spec.entry + attempt) % w->o.n_entries, i;
	struct node *n = NULL;
	struct ev *ev;

	/* The balancer passes over entries that are down or draining. */
	for (i = 0; i < w->o.n_entries; i++) {
		n = node_of(w, (entry + i) % w->o.n_entries);
		if (n->alive && !n->draining)
			break;
	}
	if (!n->alive || n->draining) {
		/* No entry took it, so this try has not begun. */
		ev = schedule(w, EV_SUBMIT, -1, w->now + 500 * MS);
		ev->call = index;
		ev->attempt = attempt;
		return;
	}
	prepare(w, c, n);
	c->open = true;
	c->at_entry = n->index;
	c->got_tokens = 0;
	c->bad_bytes = false;
	c->first_ns = 0;
	if (!attempt)
		c->start_ns = w->now;
	if (w->o.baseline) {
		/* Its caller waits until the deadline, if not less. */
		ev = schedule(w, EV_CLIENT_CANCEL, -1,
			      w->now + c->spec.deadline_ms * MS);
		ev->call = index;
		ev->attempt = attempt;
	}
	if (c->spec.patience_ms) {
		ev = schedule(w, EV_CLIENT_CANCEL, -1,
			      w->now + c->spec.patience_ms * MS);
		ev->call = index;
		ev->attempt = attempt;
	}
	if (w->o.baseline) {
		baseline_start(w, c, index);
		return;
	}
	if (n->frozen_until > w->now) {
		/* It waits in the host's socket until the process wakes. */
		ev = schedule(w, EV_SUBMIT, n->index, n->frozen_until);
		ev->call = index;
		ev->attempt = -1;
		return;
	}
	mh_entry_submit(n->entry, &c->mh);
}

static void give_up(struct simulation *w, size_t index, int attempt)
{
	struct call *c = w->calls[index];
	struct node *n = node_of(w, c->at_entry);

	if (!c->open || c->attempt != attempt || n->frozen_until > w->now)
		return;
	if (w->o.baseline) {
		baseline_give_up(w, index);
		return;
	}
	mh_entry_cancel(n->entry, &c->mh);
	schedule_tick(w, n, w->now + 1);
	c->open = false;
	c->error = MH_ERR_CALLER_GONE;
	resend_later(w, c, 100);
}

/* ---- the loop ---- */

static void deliver_frame(struct simulation *w, struct node *n, struct ev *ev)
{
	struct link *l = find_link(w, ev->link);
	Mh__Frame *frame;

	/* What was under way when the link was cut is lost. */
	if (!l->up && w->o.late_permille == 0)
		return;
	frame = mh__frame__unpack(NULL, ev->len, ev->bytes);
	if (n->is_entry)
		mh_entry_recv(n->entry, ev->link, frame);
	else
		mh_side_recv(n->side, ev->link, frame);
	mh__frame__free_unpacked(frame, NULL);
}

static void deliver(struct simulation *w, struct node *n, struct ev *ev)
{
	switch (ev->kind) {
	case EV_FRAME:
		deliver_frame(w, n, ev);
		break;
	case EV_LINK_UP:
		deliver_link_up(w, n, ev);
		break;
	case EV_LINK_DOWN:
		if (n->is_entry)
			mh_entry_link_down(n->entry, ev->link);
		else
			mh_side_link_down(n->side, ev->link);
		break;
	case EV_LOG_POLL:
		log_poll(w, n);
		break;
	case EV_LOG_APPEND:
		append_next(w, n);
		break;
	case EV_HOSTS:
		read_hosts(w, n);
		break;
	case EV_STEP:
		engine_step(n);
		break;
	case EV_ENGINE_RESTART:
		n->engine_up = true;
		mh_side_backend_state(n->side, true);
		admit_backlog(n);
		schedule_step(n);
		break;
	case EV_SUBMIT:
		if (w->calls[ev->call]->open)
			mh_entry_submit(n->entry, &w->calls[ev->call]->mh);
		break;
	default:
		break;
	}
	if (w->violation)
		return;
	schedule_tick(w, n,
		      (n->is_entry ? mh_entry_tick(n->entry) :
				     mh_side_tick(n->side)) -
			      1000 * MS);
}

static void deliver_to_world(struct simulation *w, struct ev *ev)
{
	switch (ev->kind) {
	case EV_SUBMIT:
		submit(w, ev->call, ev->attempt);
		schedule_tick(w, node_of(w, w->calls[ev->call]->at_entry),
			      w->now + 1);
		break;
	case EV_CLIENT_CANCEL:
		give_up(w, ev->call, ev->attempt);
		break;
	case EV_FAULT:
		begin_fault(w, ev->fault);
		schedule(w, EV_FAULT_END, -1,
			 w->now + ev->fault->duration_ms * MS)
			->fault = ev->fault;
		break;
	case EV_FAULT_END:
		if (ev->fault)
			end_fault(w, ev->fault);
		else
			cut_all(w, ev->peer,
				node_of(w, ev->peer)->frozen_until + 1);
		break;
	case EV_RESTART:
		start_node(w, node_of(w, ev->peer));
		break;
	case EV_CONNECT:
		open_link(w, (int)ev->link, ev->peer);
		break;
	default:
		break;
	}
}

/* An engine outlives the freezing and the death of its side. */
static bool handle_while_frozen(struct simulation *w, struct node *n,
				struct ev *ev)
{
	if (n->frozen_until <= w->now)
		return false;
	ev->at_ns = n->frozen_until;
	ev->heap_index = MH_HEAP_NONE;
	mh_heap_add(&w->events, ev);
	return true;
}

/* A core that asks to be called again and again would spin a processor. */
static void check_progress(struct simulation *w, const struct ev *ev)
{
	if (ev->at_ns / MS != w->now / MS)
		w->events_in_ms = 0;
	if (++w->events_in_ms > MAX_EVENTS_PER_MS)
		violate(w, "no progress: %u events in a millisecond",
			w->events_in_ms);
}

void sim_run(struct simulation *w, uint64_t until_ms)
{
	struct ev *ev;

	while (!w->violation && (ev = mh_heap_min(&w->events)) &&
	       ev->at_ns <= until_ms * MS) {
		struct node *n = ev->node < 0 ? NULL : node_of(w, ev->node);

		mh_heap_remove(&w->events, ev);
		check_progress(w, ev);
		w->now = ev->at_ns;
		if (!n)
			deliver_to_world(w, ev);
		else if (n->alive && n->life == ev->life) {
			if (handle_while_frozen(w, n, ev))
				continue;
			deliver(w, n, ev);
		}
		free(ev->bytes);
		free(ev);
	}
	if (w->now < until_ms * MS)
		w->now = until_ms * MS;
}

struct simulation *sim_new(const struct sim_options *o)
{
	struct simulation *w = calloc(1, sizeof(*w));
	int i, j;

	w->o = *o;
	w->rng.state = o->seed;
	w->n_nodes = o->n_entries + o->n_sides;
	mh_heap_init(&w->events, ev_less, offsetof(struct ev, heap_index));
	publish(w, 0, 60000);
	for (i = 0; i < w->n_nodes; i++) {
		struct node *n = node_of(w, i);

		n->w = w;
		n->index = i;
		n->is_entry = i < o->n_entries;
		n->engine_up = true;
		n->straggle_percent = 100;
		n->speed_percent = 100;
		if (!n->is_entry && o->speed_percent[i - o->n_entries])
			n->speed_percent = o->speed_percent[i - o->n_entries];
		snprintf(n->name, sizeof(n->name), "%s-%d",
			 n->is_entry ? "entry" : "side", i);
		start_node(w, n);
	}
	for (i = 0; i < o->n_entries; i++) {
		for (j = i + 1; j < w->n_nodes; j++)
			open_link(w, i, j);
	}
	return w;
}

static uint64_t time_of_key(const struct simulation *w,
			    const struct sim_call *spec)
{
	size_t i;

	for (i = 0; spec->key && i < w->n_calls; i++) {
		if (w->calls[i]->spec.key == spec->key)
			return w->calls[i]->key_ms;
	}
	return spec->at_ms;
}

void sim_add_call(struct simulation *w, const struct sim_call *spec)
{
	struct call *c = calloc(1, sizeof(*c));
	struct ev *ev;

	w->calls = realloc(w->calls, (w->n_calls + 1) * sizeof(*w->calls));
	c->spec = *spec;
	c->key_ms = time_of_key(w, spec);
	c->mh.data = (void *)(uintptr_t)w->n_calls;
	snprintf(c->account, sizeof(c->account), "acct-%d", spec->account);
	/* Tries of one key are the same request, from whomever they come. */
	if (spec->key)
		snprintf(c->body, sizeof(c->body), "key%010u", spec->key);
	else if (spec->crashes)
		snprintf(c->body, sizeof(c->body), "crash%08d", spec->account);
	else
		snprintf(c->body, sizeof(c->body), "call%010zu", w->n_calls);
	w->calls[w->n_calls] = c;
	ev = schedule(w, EV_SUBMIT, -1, spec->at_ms * MS);
	ev->call = w->n_calls++;
}

void sim_add_fault(struct simulation *w, const struct sim_fault *fault)
{
	struct sim_fault *copy = malloc(sizeof(*copy));

	*copy = *fault;
	w->faults[w->n_faults++] = copy;
	schedule(w, EV_FAULT, -1, fault->at_ms * MS)->fault = copy;
}

const char *sim_violation(const struct simulation *w)
{
	return w->violation;
}

/* The rule of acceptance, told a second time: the base has to be in force. */
static uint64_t expected_version(const struct simulation *w)
{
	uint64_t version = 0, i;

	for (i = 0; i < w->config.n; i++) {
		json_t *rec = json_loadb((char *)w->config.v[i].bytes,
					 w->config.v[i].len, 0, NULL);

		if (json_object_get(rec, "base") &&
		    (uint64_t)json_integer_value(
			    json_object_get(rec, "base")) == version)
			version = i + 1;
		json_decref(rec);
	}
	return version;
}

bool sim_settled(const struct simulation *w)
{
	uint64_t version = expected_version(w);
	size_t i;
	int j;

	for (i = 0; i < w->n_calls; i++) {
		if (!w->calls[i]->ended)
			return false;
	}
	for (j = 0; j < w->o.n_entries; j++) {
		if (w->nodes[j].alive && w->nodes[j].version != version)
			return false;
	}
	return true;
}

void sim_tier(const struct simulation *w, int tier, struct sim_tier_result *r)
{
	size_t i;

	memset(r, 0, sizeof(*r));
	for (i = 0; i < w->n_calls; i++) {
		const struct call *c = w->calls[i];

		if (c->spec.tier != tier)
			continue;
		r->offered++;
		r->whole += c->whole;
		r->in_time += c->in_time;
		if (c->whole || !c->ended)
			continue;
		if (mh_error_info(c->error)->outcome == MH_OUTCOME_NOT_RUN)
			r->refused++;
		else
			r->unknown++;
	}
}

uint64_t sim_starts(const struct simulation *w)
{
	return w->starts;
}

uint64_t sim_starts_of_key(const struct simulation *w, uint32_t key)
{
	struct key_count *k;

	HASH_FIND(hh, w->keys, &key, sizeof(key), k);
	return k ? k->starts : 0;
}

uint64_t sim_prefilled(const struct simulation *w)
{
	return w->prefilled;
}

uint64_t sim_wasted_prefill(const struct simulation *w)
{
	return w->wasted;
}

uint64_t sim_useful_work(const struct simulation *w)
{
	return w->useful;
}

uint64_t sim_counter(const struct simulation *w, int counter)
{
	enum mh_counter id = (enum mh_counter)counter;
	uint64_t sum = w->old_counters[id];
	int i;

	for (i = 0; i < w->n_nodes; i++) {
		const struct node *n = &w->nodes[i];

		if (!n->alive)
			continue;
		sum += mh_counter_read(n->is_entry ?
					       mh_entry_counters(n->entry) :
					       mh_side_counters(n->side),
				       id);
	}
	return sum;
}

int sim_engines_lost(const struct simulation *w)
{
	return w->engines_lost;
}

size_t sim_samples(const struct simulation *w, struct sim_sample *v, size_t max)
{
	size_t i, n = 0;

	for (i = 0; i < w->n_calls && n < max; i++) {
		const struct call *c = w->calls[i];
		struct sim_sample *s = &v[n++];

		memset(s, 0, sizeof(*s));
		s->tier = c->spec.tier;
		s->account = c->spec.account;
		if (c->whole) {
			s->first_us = (c->first_ns - c->start_ns) / 1000 + 1;
			if (c->got_tokens > 1)
				s->gap_us = (c->last_ns - c->first_ns) / 1000 /
					    (c->got_tokens - 1);
			if (c->in_time)
				s->tokens = work_of(c);
		} else if (c->refused_ns) {
			s->refusal_us =
				(c->refused_ns - c->start_ns) / 1000 + 1;
		}
	}
	return n;
}

enum mh_error sim_error_of(const struct simulation *w, size_t call)
{
	return w->calls[call]->error;
}

bool sim_completed(const struct simulation *w, size_t call)
{
	return w->calls[call]->whole;
}

uint64_t sim_config_version(const struct simulation *w, int entry)
{
	return w->nodes[entry].version;
}

static void free_stream(struct stream *s)
{
	uint64_t i;

	for (i = 0; i < s->n; i++)
		free(s->v[i].bytes);
}

void sim_free(struct simulation *w)
{
	struct link *l, *tmp;
	struct key_count *k, *tmp_k;
	struct ev *ev;
	size_t i;
	int j;

	for (j = 0; j < w->n_nodes; j++)
		free_core(&w->nodes[j]);
	while ((ev = mh_heap_min(&w->events))) {
		mh_heap_remove(&w->events, ev);
		free(ev->bytes);
		free(ev);
	}
	mh_heap_release(&w->events);
	HASH_ITER(hh, w->links, l, tmp) {
		HASH_DEL(w->links, l);
		free(l);
	}
	HASH_ITER(hh, w->keys, k, tmp_k) {
		HASH_DEL(w->keys, k);
		free(k);
	}
	for (i = 0; i < w->n_calls; i++)
		free(w->calls[i]);
	for (i = 0; i < w->n_faults; i++)
		free(w->faults[i]);
	free_stream(&w->config);
	free_stream(&w->claims);
	free(w->calls);
	free(w->violation);
	free(w);
}
