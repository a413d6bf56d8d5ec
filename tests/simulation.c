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
#define LINK_TIMEOUT_MS 3000
#define RECONNECT_MS 200
#define APPEND_RETRY_MS 200
#define MAX_LOG_RECORDS 65536
#define TOKEN_SUFFIX_BYTES 8
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
	uint64_t number; /* order of events at the same time */
	enum ev_kind kind;
	int node; /* receiver, -1 for the simulation itself */
	uint64_t incarnation_id;
	uint32_t link; /* EV_CONNECT: index of a node */
	int peer;      /* index of the other node, or of the one concerned */
	size_t call;
	int attempt;
	uint8_t *bytes;
	size_t len;
	/* EV_FAULT_END: NULL for the time-out of a frozen node's links */
	const struct sim_fault *fault;
	uint32_t heap_index;
};

struct link {
	uint32_t id;
	int a;
	int b;
	bool up;
	uint64_t last_delivery_ns[2]; /* of each direction, frames in order */
	UT_hash_handle hh;
};

/* A sequence that an engine generates. */
struct seq {
	struct mh_id run;
	size_t call;
	uint32_t prompt_left;
	uint32_t prompt_read;
	uint32_t emitted;
	uint32_t output;
	bool head_sent;
	bool of_baseline; /* bypasses the cores */
	struct seq *prev, *next;
};

struct append {
	uint8_t *bytes;
	size_t len;
	bool is_claims;
	struct append *prev, *next;
};

struct node {
	struct simulation *sim;
	int index;
	char name[24];
	bool is_entry;
	bool alive;
	/* Changes at each start and kill; older events are dropped. */
	uint64_t incarnation_id;
	uint64_t frozen_until_ns;
	uint64_t tick_at_ns;
	struct mh_entry *entry;
	struct mh_side *side;
	bool draining;
	/* entries only */
	uint64_t config_next_offset;
	uint64_t claims_next_offset;
	bool log_started;
	bool log_up;
	struct append *appends;
	bool append_scheduled;
	uint64_t version;
	/* sides only */
	struct seq *seqs;
	struct seq *backlog; /* queue of a baseline's engine */
	uint32_t reported_load;
	uint64_t reported_ns;
	bool engine_up;
	bool step_scheduled;
	uint64_t leaving_since_ns;
	bool leaving;
	bool drain_signalled;
	uint32_t speed_percent;
	uint32_t slowdown_percent;
};

struct record {
	uint64_t when_ms;
	uint8_t *bytes;
	size_t len;
};

struct topic {
	struct record v[MAX_LOG_RECORDS];
	uint64_t n;
};

struct call {
	struct sim_call spec;
	struct mh_call core_call;
	char body[64];
	char tag[32];
	char account[16];
	int attempt;
	bool open;
	int at_entry;
	uint64_t key_ms;
	bool reported_not_run[MAX_ATTEMPTS];
	uint32_t starts[MAX_ATTEMPTS];
	uint64_t start_ns;
	uint64_t first_ns;
	uint64_t last_ns;
	uint32_t received_tokens;
	bool corrupt;
	bool ended;
	bool completed;
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
	uint64_t now_ns;
	uint64_t next_event_number;
	uint32_t round_robin;
	uint32_t events_in_ms;
	uint64_t next_incarnation_id;
	uint32_t next_link;
	struct mh_heap events;
	struct node nodes[SIM_MAX_NODES];
	int n_nodes;
	struct link *links;
	struct topic config;
	struct topic claims;
	bool log_down;
	int acks_to_lose;
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
	uint64_t stopped_counters[MH_C_COUNT];
	char *violation;
};

static struct node *node_of(struct simulation *sim, int i)
{
	return &sim->nodes[i];
}

static struct node *side_node(struct simulation *sim, int side)
{
	return &sim->nodes[sim->o.n_entries + side % sim->o.n_sides];
}

static uint64_t random_below(struct simulation *sim, uint64_t n)
{
	return n ? mh_rng_next(&sim->rng) % n : 0;
}

static void report_violation(struct simulation *sim, const char *fmt, ...)
{
	char text[SIM_TEXT_BYTES];
	va_list args;
	int n;

	if (sim->violation)
		return;
	n = snprintf(text, sizeof(text),
		     "at %llu ms: ", (unsigned long long)(sim->now_ns / MS));
	va_start(args, fmt);
	vsnprintf(text + n, sizeof(text) - (size_t)n, fmt, args);
	va_end(args);
	sim->violation = strdup(text);
}

static bool ev_less(const void *a, const void *b)
{
	const struct ev *x = a, *y = b;

	return x->at_ns < y->at_ns ||
	       (x->at_ns == y->at_ns && x->number < y->number);
}

static struct ev *schedule(struct simulation *sim, enum ev_kind kind, int node,
			   uint64_t at_ns)
{
	struct ev *ev = calloc(1, sizeof(*ev));

	ev->at_ns = at_ns > sim->now_ns ? at_ns : sim->now_ns;
	ev->number = sim->next_event_number++;
	ev->kind = kind;
	ev->node = node;
	if (node >= 0)
		ev->incarnation_id = sim->nodes[node].incarnation_id;
	ev->heap_index = MH_HEAP_NONE;
	mh_heap_add(&sim->events, ev);
	return ev;
}

static void schedule_tick(struct simulation *sim, struct node *n,
			  uint64_t at_ns)
{
	if (n->tick_at_ns > sim->now_ns && n->tick_at_ns <= at_ns)
		return;
	n->tick_at_ns = at_ns > sim->now_ns ? at_ns : sim->now_ns + 1;
	schedule(sim, EV_TICK, n->index, n->tick_at_ns);
}

static uint64_t clock_mono(void *data)
{
	struct node *n = data;

	return n->sim->now_ns + 1000 * MS;
}

static uint64_t clock_wall(void *data)
{
	struct node *n = data;

	/* Wall clocks of hosts differ by up to a second. */
	return WALL_BASE_MS + n->sim->now_ns / MS +
	       (uint64_t)(n->index * 97 % 1000);
}

/*
 * Work of a complete response in prompt tokens. An output token counts as 36:
 * in tests/bench.c, a step of a full batch emits 32 tokens and takes as long as
 * 2.24 steps of one sequence, which process 512 prompt tokens each.
 */
static uint64_t work_of(const struct call *c)
{
	return c->spec.prompt_tokens +
	       (uint64_t)c->spec.output_tokens * WORK_OF_OUTPUT_TOKEN;
}

/* ---- links ---- */

static struct link *find_link(struct simulation *sim, uint32_t id)
{
	struct link *l;

	HASH_FIND(hh, sim->links, &id, sizeof(id), l);
	return l;
}

static void send_frame(struct node *from, uint32_t id, const Mh__Frame *frame)
{
	struct simulation *sim = from->sim;
	struct link *l = find_link(sim, id);
	size_t len = mh__frame__get_packed_size(frame);
	int copies = 1, to, dir;

	if (!l || !l->up)
		return;
	to = l->a == from->index ? l->b : l->a;
	dir = l->a == from->index;
	if (random_below(sim, 1000) < sim->o.drop_permille)
		return;
	if (random_below(sim, 1000) < sim->o.dup_permille)
		copies = 2;
	while (copies--) {
		uint64_t at = sim->now_ns + sim->o.delay_us * 1000ull +
			      random_below(sim, sim->o.delay_us * 200ull + 1);
		struct ev *ev;

		if (random_below(sim, 1000) < sim->o.late_permille || copies)
			at += random_below(sim, 400 * MS);
		else if (at < l->last_delivery_ns[dir])
			at = l->last_delivery_ns[dir];
		else
			l->last_delivery_ns[dir] = at;
		ev = schedule(sim, EV_FRAME, to, at);
		ev->link = id;
		ev->bytes = malloc(len);
		ev->len = len;
		mh__frame__pack(frame, ev->bytes);
	}
}

static void open_link(struct simulation *sim, int a, int b)
{
	struct node *x = node_of(sim, a), *y = node_of(sim, b);
	struct link *l;
	struct ev *ev;

	if (!x->alive || !y->alive || x->frozen_until_ns > sim->now_ns ||
	    y->frozen_until_ns > sim->now_ns) {
		ev = schedule(sim, EV_CONNECT, -1,
			      sim->now_ns + RECONNECT_MS * MS);
		ev->link = (uint32_t)a;
		ev->peer = b;
		return;
	}
	l = calloc(1, sizeof(*l));
	l->id = ++sim->next_link;
	l->a = a;
	l->b = b;
	l->up = true;
	HASH_ADD(hh, sim->links, id, sizeof(l->id), l);
	ev = schedule(sim, EV_LINK_UP, a, sim->now_ns);
	ev->link = l->id;
	ev->peer = b;
	ev = schedule(sim, EV_LINK_UP, b, sim->now_ns);
	ev->link = l->id;
	ev->peer = a;
}

static void cut_link(struct simulation *sim, struct link *l,
		     uint64_t restore_ns)
{
	struct ev *ev;

	if (!l->up)
		return;
	l->up = false;
	schedule(sim, EV_LINK_DOWN, l->a, sim->now_ns + 1)->link = l->id;
	schedule(sim, EV_LINK_DOWN, l->b, sim->now_ns + 1)->link = l->id;
	ev = schedule(sim, EV_CONNECT, -1, restore_ns);
	ev->link = (uint32_t)l->a;
	ev->peer = l->b;
}

static void cut_links_between(struct simulation *sim, int a, int b,
			      uint64_t restore_ns)
{
	struct link *l, *tmp;

	HASH_ITER(hh, sim->links, l, tmp) {
		if ((l->a == a && l->b == b) || (l->a == b && l->b == a))
			cut_link(sim, l, restore_ns);
	}
}

static void cut_links_of(struct simulation *sim, int node, uint64_t restore_ns)
{
	struct link *l, *tmp;

	HASH_ITER(hh, sim->links, l, tmp) {
		if (l->a == node || l->b == node)
			cut_link(sim, l, restore_ns);
	}
}

static void deliver_link_up(struct simulation *sim, struct node *n,
			    struct ev *ev)
{
	static const char *const models[] = { "m" };
	struct node *p = node_of(sim, ev->peer);
	struct mh_remote remote = { .host = p->name,
				    .incarnation = p->incarnation_id,
				    .is_side = !p->is_entry,
				    .pool = p->is_entry ? "" : "llm",
				    .models = models,
				    .n_models = 1 };
	struct link *l = find_link(sim, ev->link);

	if (!l->up)
		return;
	if (n->is_entry)
		mh_entry_link_up(n->entry, ev->link, &remote);
	else
		mh_side_link_up(n->side, ev->link);
}

/* ---- calls ---- */

static struct key_count *count_of_key(struct simulation *sim, uint32_t key)
{
	struct key_count *k;

	HASH_FIND(hh, sim->keys, &key, sizeof(key), k);
	if (k)
		return k;
	k = calloc(1, sizeof(*k));
	k->key = key;
	HASH_ADD(hh, sim->keys, key, sizeof(k->key), k);
	return k;
}

static void schedule_retry(struct simulation *sim, struct call *c,
			   uint64_t after_ms)
{
	struct ev *ev;

	if (c->attempt >= c->spec.max_retries ||
	    c->attempt + 1 == MAX_ATTEMPTS) {
		c->ended = true;
		return;
	}
	ev = schedule(sim, EV_SUBMIT, -1, sim->now_ns + after_ms * MS);
	ev->call = (size_t)(uintptr_t)c->core_call.data;
	ev->attempt = ++c->attempt;
}

static struct call *call_of(const struct mh_call *core_call, struct node *n)
{
	return n->sim->calls[(size_t)(uintptr_t)core_call->data];
}

static void op_send(void *data, uint32_t link, const Mh__Frame *frame)
{
	send_frame(data, link, frame);
}

static void op_head(void *data, struct mh_call *core_call, uint32_t status,
		    const char *type, const char *server)
{
	struct call *c = call_of(core_call, data);

	(void)server;
	if (status != 200 || strcmp(type, "text/plain"))
		c->corrupt = true;
}

static void op_chunk(void *data, struct mh_call *core_call,
		     const uint8_t *bytes, size_t len)
{
	struct node *n = data;
	struct call *c = call_of(core_call, n);
	char want[TOKEN_SUFFIX_BYTES + 64];

	/* Each token holds the body of its request and the token's index. */
	snprintf(want, sizeof(want), "%s#%u;", c->body, c->received_tokens);
	if (len != strlen(want) || memcmp(want, bytes, len))
		c->corrupt = true;
	if (!c->first_ns)
		c->first_ns = n->sim->now_ns;
	c->last_ns = n->sim->now_ns;
	c->received_tokens++;
}

static void op_end(void *data, struct mh_call *core_call)
{
	struct node *n = data;
	struct simulation *sim = n->sim;
	struct call *c = call_of(core_call, n);

	if (!c->open)
		report_violation(sim, "call %s ended twice", c->tag);
	if (c->corrupt || c->received_tokens != c->spec.output_tokens)
		report_violation(
			sim,
			"call %s: response corrupt or cut: %u of %u tokens",
			c->tag, c->received_tokens, c->spec.output_tokens);
	c->open = false;
	c->ended = true;
	c->completed = true;
	c->error = MH_OK;
	c->in_time = clock_mono(n) <= core_call->deadline_ns;
	if (c->in_time)
		sim->useful += work_of(c);
}

/*
 * No request is shed while a request of a lower tier (a higher number) waits at
 * any entry.
 */
static void check_shed(struct node *n, const struct call *c,
		       enum mh_error error)
{
	struct simulation *sim = n->sim;
	int i, t;

	if (error != MH_ERR_OVERLOADED && error != MH_ERR_SHED_FOR_HIGHER_TIER)
		return;
	for (i = 0; i < sim->o.n_entries; i++) {
		struct node *other = node_of(sim, i);

		if (!other->alive)
			continue;
		for (t = c->spec.tier + 1; t < TIERS; t++) {
			if (mh_entry_count_waiting(other->entry, "llm",
						   (uint8_t)t))
				report_violation(
					sim,
					"call %s of tier %d shed at %s while "
					"tier %d waits at %s",
					c->tag, c->spec.tier, n->name, t,
					other->name);
		}
	}
}

static void op_refuse(void *data, struct mh_call *core_call,
		      const struct mh_refusal *refusal)
{
	struct node *n = data;
	struct simulation *sim = n->sim;
	struct call *c = call_of(core_call, n);
	const struct mh_error_info *info = mh_error_info(refusal->error);

	if (!c->open)
		report_violation(sim, "call %s ended twice", c->tag);
	c->open = false;
	c->error = refusal->error;
	c->refused_ns = sim->now_ns;
	check_shed(n, c, refusal->error);
	if (info->outcome == MH_OUTCOME_NOT_RUN) {
		c->reported_not_run[c->attempt] = true;
		if (c->starts[c->attempt])
			report_violation(
				sim,
				"call %s got error %s (not run), but it ran",
				c->tag, info->name);
	}
	if (refusal->error == MH_ERR_QUARANTINED)
		c->ended = true;
	else
		schedule_retry(sim, c,
			       refusal->retry_after_ms ?
				       refusal->retry_after_ms :
				       200 + random_below(sim, 500));
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
	schedule(n->sim, EV_LOG_APPEND, n->index,
		 n->sim->now_ns + (1 + random_below(n->sim, 8)) * MS);
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
		report_violation(n->sim,
				 "%s reverted from version %llu to %llu",
				 n->name, (unsigned long long)n->version,
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
	struct simulation *sim = n->sim;
	uint64_t us = sim->o.step_us;
	struct seq *q;
	int count;

	if (n->step_scheduled || !n->seqs || !n->engine_up)
		return;
	DL_COUNT(n->seqs, q, count);
	us += us * (uint64_t)(count - 1) * sim->o.batch_percent / 100;
	us = us * 100 / n->speed_percent;
	us = us * n->slowdown_percent / 100;
	n->step_scheduled = true;
	schedule(sim, EV_STEP, n->index, sim->now_ns + us * 1000);
}

static void check_start(struct node *n, struct call *c, size_t attempt)
{
	struct simulation *sim = n->sim;
	struct key_count *k;

	sim->starts++;
	if (++c->starts[attempt] > 1)
		report_violation(sim, "call %s dispatched %u times", c->tag,
				 c->starts[attempt]);
	if (c->reported_not_run[attempt])
		report_violation(
			sim, "call %s started after it was reported not run",
			c->tag);
	if (n->leaving &&
	    sim->now_ns > n->leaving_since_ns + LEAVING_LIMIT_MS * MS)
		report_violation(sim,
				 "call %s started at %s, leaving for %llu ms",
				 c->tag, n->name,
				 (unsigned long long)((sim->now_ns -
						       n->leaving_since_ns) /
						      MS));
	if (!c->spec.key)
		return;
	k = count_of_key(sim, c->spec.key);
	if (++k->starts > 1 && c->spec.non_idempotent)
		report_violation(
			sim,
			"requests with key %u ran %llu times, but may run once",
			c->spec.key, (unsigned long long)k->starts);
}

static void end_baseline_call(struct node *n, struct call *c,
			      enum mh_error error)
{
	if (!c->open)
		return;
	if (!error) {
		op_end(n, &c->core_call);
		return;
	}
	c->open = false;
	c->error = error;
	schedule_retry(n->sim, c, 100 + random_below(n->sim, 500));
}

static void end_seq(struct node *n, struct seq *q, enum mh_error error)
{
	struct call *c = n->sim->calls[q->call];
	struct mh_id run = q->run;
	bool of_baseline = q->of_baseline;

	if (error)
		n->sim->wasted += q->prompt_read;
	DL_DELETE(n->seqs, q);
	free(q);
	if (of_baseline) {
		end_baseline_call(n, c, error);
		return;
	}
	mh_side_run_end(n->side, &run, error);
}

static void fail_engine(struct node *n)
{
	struct simulation *sim = n->sim;

	sim->engines_lost++;
	n->engine_up = false;
	while (n->seqs)
		end_seq(n, n->seqs, MH_ERR_BACKEND_CUT);
	mh_side_backend_state(n->side, false);
	schedule(sim, EV_ENGINE_RESTART, n->index, sim->now_ns + 300 * MS);
}

static void op_start(void *data, const struct mh_run_call *run)
{
	struct node *n = data;
	struct simulation *sim = n->sim;
	/* Call and attempt, as prepare_request() encodes them. */
	size_t index = strtoul(run->content_type + 1, NULL, 10);
	struct call *c = sim->calls[index / 100];
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
	struct call *c = n->sim->calls[q->call];
	char text[TOKEN_SUFFIX_BYTES + 64];
	int len;

	if (q->of_baseline) {
		q->emitted++;
		c->received_tokens++;
		c->first_ns = c->first_ns ? c->first_ns : n->sim->now_ns;
		c->last_ns = n->sim->now_ns;
		return;
	}
	if (!q->head_sent) {
		q->head_sent = true;
		mh_side_run_head(n->side, &q->run, 200, "text/plain");
	}
	len = snprintf(text, sizeof(text), "%s#%u;", c->body, q->emitted++);
	mh_side_run_data(n->side, &q->run, (uint8_t *)text, (size_t)len);
}

/* An engine runs as many sequences as it has slots, first in, first out. */
static void admit_backlog(struct node *n)
{
	struct seq *q;
	int count;

	DL_COUNT(n->seqs, q, count);
	while (n->backlog && (uint32_t)count < n->sim->o.slots) {
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

static struct node *baseline_pick(struct simulation *sim)
{
	struct node *best = NULL;
	int i;

	if (sim->o.baseline == BASELINE_ROUND_ROBIN)
		return side_node(sim, (int)(sim->round_robin++ % 1000000));
	for (i = 0; i < sim->o.n_sides; i++) {
		struct node *n = side_node(sim, i);

		if (sim->now_ns >= n->reported_ns + sim->o.load_lag_ms * MS) {
			n->reported_ns = sim->now_ns;
			n->reported_load = engine_load(n);
		}
		if (n->engine_up &&
		    (!best || n->reported_load < best->reported_load))
			best = n;
	}
	return best ? best : side_node(sim, 0);
}

static void baseline_start(struct simulation *sim, struct call *c, size_t index)
{
	struct node *n = baseline_pick(sim);
	struct seq *q;

	if (!n->engine_up) {
		end_baseline_call(n, c, MH_ERR_BACKEND_FAILED);
		return;
	}
	q = calloc(1, sizeof(*q));
	q->of_baseline = true;
	q->call = index;
	q->prompt_left = c->spec.prompt_tokens;
	q->output = c->spec.output_tokens;
	DL_APPEND(n->backlog, q);
	admit_backlog(n);
	schedule_step(n);
}

static void baseline_cancel(struct simulation *sim, size_t index)
{
	struct seq *q, *tmp;
	int i;

	for (i = 0; i < sim->o.n_sides; i++) {
		struct node *n = side_node(sim, i);

		DL_FOREACH_SAFE(n->seqs, q, tmp) {
			if (q->call == index)
				end_seq(n, q, MH_ERR_CALLER_GONE);
		}
		DL_FOREACH_SAFE(n->backlog, q, tmp) {
			if (q->call != index)
				continue;
			DL_DELETE(n->backlog, q);
			free(q);
			end_baseline_call(n, sim->calls[index],
					  MH_ERR_CALLER_GONE);
		}
	}
}

static void engine_step(struct node *n)
{
	struct simulation *sim = n->sim;
	uint32_t budget = sim->o.prefill_tokens;
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
		if (sim->calls[q->call]->spec.crashes) {
			fail_engine(n);
			return;
		}
		take = q->prompt_left < budget ? q->prompt_left : budget;
		q->prompt_left -= take;
		q->prompt_read += take;
		budget -= take;
		sim->prefilled += take;
	}
	schedule_step(n);
}

/* ---- start, kill and freeze of nodes ---- */

static void start_node(struct simulation *sim, struct node *n)
{
	struct mh_clock clock = { clock_mono, clock_wall, n };

	n->alive = true;
	n->incarnation_id = ++sim->next_incarnation_id;
	n->frozen_until_ns = 0;
	n->tick_at_ns = 0;
	n->draining = false;
	/* The drain signal went to the previous process. */
	if (n->drain_signalled)
		n->leaving = false;
	n->drain_signalled = false;
	if (n->is_entry) {
		n->entry = mh_entry_new(n->name, &clock,
					random_below(sim, UINT64_MAX),
					&entry_ops, n);
		mh_entry_set_policy(n->entry,
				    mh_policy_variants(sim->o.policy));
		n->config_next_offset = 0;
		n->claims_next_offset = 0;
		n->version = 0;
		n->log_started = false;
		n->log_up = false;
		n->append_scheduled = false;
		schedule(sim, EV_LOG_POLL, n->index, sim->now_ns);
	} else {
		n->side = mh_side_new(n->name, &clock,
				      random_below(sim, UINT64_MAX),
				      sim->o.slots, &side_ops, n);
		n->step_scheduled = false;
		mh_side_backend_state(n->side, n->engine_up);
	}
	schedule(sim, EV_HOSTS, n->index, sim->now_ns);
	schedule_tick(sim, n, sim->now_ns + 1);
}

static void save_counters(struct simulation *sim, struct node *n)
{
	struct mh_counters *c = n->is_entry ? mh_entry_counters(n->entry) :
					      mh_side_counters(n->side);
	int i;

	for (i = 0; i < MH_C_COUNT; i++)
		sim->stopped_counters[i] +=
			mh_counter_read(c, (enum mh_counter)i);
}

static void disconnect_clients_of(struct simulation *sim, int entry)
{
	size_t i;

	for (i = 0; i < sim->n_calls; i++) {
		struct call *c = sim->calls[i];

		if (!c->open || c->at_entry != entry)
			continue;
		if (sim->o.baseline) {
			baseline_cancel(sim, i);
			continue;
		}
		/* The client sees a broken connection. */
		c->open = false;
		c->error = MH_ERR_LINK_LOST;
		schedule_retry(sim, c, 100 + random_below(sim, 1000));
	}
}

static void free_node_state(struct node *n)
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
		n->sim->wasted += q->prompt_read;
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

static void kill_node(struct simulation *sim, struct node *n,
		      uint64_t restore_ns)
{
	if (!n->alive)
		return;
	cut_links_of(sim, n->index, restore_ns + RECONNECT_MS * MS);
	save_counters(sim, n);
	if (n->is_entry)
		disconnect_clients_of(sim, n->index);
	free_node_state(n);
	n->alive = false;
	n->incarnation_id = ++sim->next_incarnation_id;
	schedule(sim, EV_RESTART, -1, restore_ns)->peer = n->index;
}

static void freeze_node(struct simulation *sim, struct node *n,
			uint64_t duration_ns)
{
	if (!n->alive || n->frozen_until_ns > sim->now_ns)
		return;
	n->frozen_until_ns = sim->now_ns + duration_ns;
	if (duration_ns > LINK_TIMEOUT_MS * MS)
		/* Peers time out; the node learns of it when it resumes. */
		schedule(sim, EV_FAULT_END, -1,
			 sim->now_ns + LINK_TIMEOUT_MS * MS)
			->peer = n->index;
}

/* ---- the log and the host list ---- */

static uint64_t log_append(struct simulation *sim, struct topic *s,
			   const uint8_t *bytes, size_t len)
{
	struct record *r = &s->v[s->n];

	if (s->n == MAX_LOG_RECORDS)
		abort();
	r->when_ms = WALL_BASE_MS + sim->now_ns / MS;
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

static void log_poll(struct simulation *sim, struct node *n)
{
	schedule(sim, EV_LOG_POLL, n->index,
		 sim->now_ns + (2 + random_below(sim, 20)) * MS);
	if (sim->log_down) {
		set_log_state(n, false);
		return;
	}
	if (!n->log_started) {
		n->log_started = true;
		mh_entry_set_config_start(n->entry, 0);
		mh_entry_set_claims_start(n->entry, 0, 0);
	}
	while (n->config_next_offset < sim->config.n) {
		struct record *r = &sim->config.v[n->config_next_offset];

		mh_entry_apply_config_record(n->entry, n->config_next_offset++,
					     r->when_ms, (char *)r->bytes,
					     r->len);
	}
	while (n->claims_next_offset < sim->claims.n) {
		struct record *r = &sim->claims.v[n->claims_next_offset];

		mh_entry_apply_claims_record(n->entry, n->claims_next_offset++,
					     r->when_ms, r->bytes, r->len);
	}
	set_log_state(n, true);
}

static void append_next(struct simulation *sim, struct node *n)
{
	struct append *a = n->appends;

	n->append_scheduled = false;
	if (!a)
		return;
	n->append_scheduled = true;
	if (sim->log_down) {
		set_log_state(n, false);
		schedule(sim, EV_LOG_APPEND, n->index,
			 sim->now_ns + APPEND_RETRY_MS * MS);
		return;
	}
	log_append(sim, a->is_claims ? &sim->claims : &sim->config, a->bytes,
		   a->len);
	if (sim->acks_to_lose > 0) {
		/* The append succeeded, but the entry retries it. */
		sim->acks_to_lose--;
		schedule(sim, EV_LOG_APPEND, n->index,
			 sim->now_ns + APPEND_RETRY_MS * MS);
		return;
	}
	DL_DELETE(n->appends, a);
	free(a->bytes);
	free(a);
	schedule(sim, EV_LOG_APPEND, n->index,
		 sim->now_ns + (1 + random_below(sim, 8)) * MS);
}

static void read_hosts(struct simulation *sim, struct node *n)
{
	struct mh_host rows[SIM_MAX_NODES];
	int i;

	schedule(sim, EV_HOSTS, n->index,
		 sim->now_ns + (500 + random_below(sim, 500)) * MS);
	if (sim->hosts_down)
		return;
	if (!n->is_entry) {
		mh_side_host_state(n->side, n->leaving && !n->drain_signalled);
		return;
	}
	for (i = 0; i < sim->n_nodes; i++) {
		struct node *other = node_of(sim, i);

		rows[i].name = other->name;
		rows[i].is_entry = other->is_entry;
		rows[i].state = other->leaving && !other->drain_signalled ?
					MH_HOST_LEAVING :
					MH_HOST_LIVE;
	}
	mh_entry_set_hosts(n->entry, rows, (size_t)sim->n_nodes);
}

static char *manifest_record(const struct simulation *sim, uint64_t base,
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
		"engine", "models", "m", "max_waiting", (int)sim->o.max_waiting,
		"max_running", (int)sim->o.slots, "account", accounts, "policy",
		"keep_ms", (int)keep_ms, "appends_per_s", 300,
		"claim_appenders", (int)sim->o.appenders);
	text = json_dumps(rec, JSON_COMPACT);
	json_decref(rec);
	return text;
}

static void publish(struct simulation *sim, uint64_t base, uint32_t keep_ms)
{
	char *text = manifest_record(sim, base, keep_ms);

	log_append(sim, &sim->config, (uint8_t *)text, strlen(text));
	free(text);
}

/* ---- faults ---- */

static void begin_fault(struct simulation *sim, const struct sim_fault *f)
{
	uint64_t back = sim->now_ns + f->duration_ms * MS;
	struct node *entry = node_of(sim, f->a % sim->o.n_entries);
	struct node *side = side_node(sim, f->a);
	uint64_t base = 0;
	int i;

	switch (f->kind) {
	case FAULT_CUT_LINK:
		cut_links_between(sim, f->a % sim->o.n_entries,
				  side_node(sim, f->b)->index, back);
		break;
	case FAULT_CUT_ENTRY_LINK:
		cut_links_between(sim, f->a % sim->o.n_entries,
				  f->b % sim->o.n_entries, back);
		break;
	case FAULT_KILL_ENTRY:
		kill_node(sim, entry, back);
		break;
	case FAULT_KILL_SIDE:
		kill_node(sim, side, back);
		break;
	case FAULT_FREEZE_ENTRY:
		freeze_node(sim, entry, f->duration_ms * MS);
		break;
	case FAULT_FREEZE_SIDE:
		freeze_node(sim, side, f->duration_ms * MS);
		break;
	case FAULT_KILL_ENGINE:
		if (side->alive && side->engine_up)
			fail_engine(side);
		break;
	case FAULT_LOG_OUTAGE:
		sim->log_down = true;
		break;
	case FAULT_LOG_LOSES_ACKS:
		sim->acks_to_lose += 3;
		break;
	case FAULT_HOST_LEAVES:
		if (side->leaving)
			break;
		side->leaving = true;
		side->leaving_since_ns = sim->now_ns;
		break;
	case FAULT_HOSTS_DOWN:
		sim->hosts_down = true;
		break;
	case FAULT_DRAIN_SIDE:
		if (!side->alive || side->leaving)
			break;
		side->draining = true;
		side->leaving = true;
		side->drain_signalled = true;
		side->leaving_since_ns = sim->now_ns;
		mh_side_drain(side->side);
		break;
	case FAULT_DRAIN_ENTRY:
		if (!entry->alive)
			break;
		entry->draining = true;
		mh_entry_drain(entry->entry);
		break;
	case FAULT_STRAGGLER:
		side->slowdown_percent = 300;
		break;
	case FAULT_PUBLISH_RACE:
		for (i = 0; i < sim->o.n_entries; i++) {
			if (node_of(sim, i)->version > base)
				base = node_of(sim, i)->version;
		}
		publish(sim, base, 50000 + (uint32_t)random_below(sim, 1000));
		publish(sim, base, 60000 + (uint32_t)random_below(sim, 1000));
		break;
	case FAULT_COUNT:
		break;
	}
}

/* A drained process exits once it is idle and is then restarted. */
static void replace_drained(struct simulation *sim, struct node *n,
			    const struct sim_fault *f)
{
	bool idle;
	struct ev *ev;

	if (!n->alive || !n->draining)
		return;
	idle = n->is_entry ? !mh_entry_count_calls(n->entry) :
			     mh_side_idle(n->side);
	if (!idle) {
		ev = schedule(sim, EV_FAULT_END, -1, sim->now_ns + 100 * MS);
		ev->fault = f;
		return;
	}
	kill_node(sim, n, sim->now_ns + 100 * MS);
	n->leaving = false;
}

static void end_fault(struct simulation *sim, const struct sim_fault *f)
{
	struct node *side = side_node(sim, f->a);

	switch (f->kind) {
	case FAULT_LOG_OUTAGE:
		sim->log_down = false;
		break;
	case FAULT_HOST_LEAVES:
		if (!side->drain_signalled)
			side->leaving = false;
		break;
	case FAULT_HOSTS_DOWN:
		sim->hosts_down = false;
		break;
	case FAULT_DRAIN_SIDE:
		replace_drained(sim, side, f);
		break;
	case FAULT_DRAIN_ENTRY:
		replace_drained(sim, node_of(sim, f->a % sim->o.n_entries), f);
		break;
	case FAULT_STRAGGLER:
		side->slowdown_percent = 100;
		break;
	default:
		break;
	}
}

/* ---- clients ---- */

static void prepare_request(struct simulation *sim, struct call *c,
			    struct node *n)
{
	struct mh_call *core_call = &c->core_call;
	void *data = core_call->data;
	uint64_t key_rand[2] = { c->spec.key, c->spec.key * 7919ull };

	memset(core_call, 0, sizeof(*core_call));
	core_call->data = data;
	mh_id_make_v7(&core_call->id, WALL_BASE_MS + sim->now_ns / MS,
		      mh_rng_next(&sim->rng), mh_rng_next(&sim->rng));
	core_call->account = c->account;
	core_call->pool = "llm";
	core_call->model = "m";
	core_call->method = "POST";
	core_call->path = "/";
	/* The content type tells the engine which call and attempt it runs. */
	snprintf(c->tag, sizeof(c->tag), "c%zu",
		 (size_t)(uintptr_t)data * 100 + (size_t)c->attempt);
	core_call->content_type = c->tag;
	core_call->body = (uint8_t *)c->body;
	core_call->body_len = strlen(c->body);
	core_call->tier = (uint8_t)c->spec.tier;
	core_call->share = c->spec.account < 2 ? 300 : 100;
	core_call->non_idempotent = c->spec.non_idempotent;
	core_call->has_key = c->spec.key > 0;
	mh_id_make_v7(&core_call->key, WALL_BASE_MS + c->key_ms, key_rand[0],
		      key_rand[1]);
	core_call->fingerprint.b[0] = 1;
	memcpy(core_call->fingerprint.b + 1, c->body, 15);
	core_call->prefix_hash = mh_rng_next(&sim->rng);
	core_call->prompt_tokens = c->spec.prompt_tokens;
	core_call->output_tokens = c->spec.output_tokens;
	core_call->deadline_ns = clock_mono(n) + c->spec.deadline_ms * MS;
}

static void submit(struct simulation *sim, size_t index, int attempt)
{
	struct call *c = sim->calls[index];
	int entry = (c->spec.entry + attempt) % sim->o.n_entries, i;
	struct node *n = NULL;
	struct ev *ev;

	/* The load balancer skips entries that are down or draining. */
	for (i = 0; i < sim->o.n_entries; i++) {
		n = node_of(sim, (entry + i) % sim->o.n_entries);
		if (n->alive && !n->draining)
			break;
	}
	if (!n->alive || n->draining) {
		/* No entry is available: the same attempt begins later. */
		ev = schedule(sim, EV_SUBMIT, -1, sim->now_ns + 500 * MS);
		ev->call = index;
		ev->attempt = attempt;
		return;
	}
	prepare_request(sim, c, n);
	c->open = true;
	c->at_entry = n->index;
	c->received_tokens = 0;
	c->corrupt = false;
	c->first_ns = 0;
	if (!attempt)
		c->start_ns = sim->now_ns;
	if (sim->o.baseline) {
		/* No core enforces the deadline: the client cancels by then. */
		ev = schedule(sim, EV_CLIENT_CANCEL, -1,
			      sim->now_ns + c->spec.deadline_ms * MS);
		ev->call = index;
		ev->attempt = attempt;
	}
	if (c->spec.cancel_after_ms) {
		ev = schedule(sim, EV_CLIENT_CANCEL, -1,
			      sim->now_ns + c->spec.cancel_after_ms * MS);
		ev->call = index;
		ev->attempt = attempt;
	}
	if (sim->o.baseline) {
		baseline_start(sim, c, index);
		return;
	}
	if (n->frozen_until_ns > sim->now_ns) {
		/* The request waits in the socket until the process resumes. */
		ev = schedule(sim, EV_SUBMIT, n->index, n->frozen_until_ns);
		ev->call = index;
		ev->attempt = -1;
		return;
	}
	mh_entry_submit(n->entry, &c->core_call);
}

static void client_cancel(struct simulation *sim, size_t index, int attempt)
{
	struct call *c = sim->calls[index];
	struct node *n = node_of(sim, c->at_entry);

	if (!c->open || c->attempt != attempt ||
	    n->frozen_until_ns > sim->now_ns)
		return;
	if (sim->o.baseline) {
		baseline_cancel(sim, index);
		return;
	}
	mh_entry_cancel(n->entry, &c->core_call);
	schedule_tick(sim, n, sim->now_ns + 1);
	c->open = false;
	c->error = MH_ERR_CALLER_GONE;
	schedule_retry(sim, c, 100);
}

/* ---- event loop ---- */

static void deliver_frame(struct simulation *sim, struct node *n, struct ev *ev)
{
	struct link *l = find_link(sim, ev->link);
	Mh__Frame *frame;

	/* A cut loses frames in flight, unless frames may be late. */
	if (!l->up && sim->o.late_permille == 0)
		return;
	frame = mh__frame__unpack(NULL, ev->len, ev->bytes);
	if (n->is_entry)
		mh_entry_recv(n->entry, ev->link, frame);
	else
		mh_side_recv(n->side, ev->link, frame);
	mh__frame__free_unpacked(frame, NULL);
}

static void handle_node_event(struct simulation *sim, struct node *n,
			      struct ev *ev)
{
	switch (ev->kind) {
	case EV_FRAME:
		deliver_frame(sim, n, ev);
		break;
	case EV_LINK_UP:
		deliver_link_up(sim, n, ev);
		break;
	case EV_LINK_DOWN:
		if (n->is_entry)
			mh_entry_link_down(n->entry, ev->link);
		else
			mh_side_link_down(n->side, ev->link);
		break;
	case EV_LOG_POLL:
		log_poll(sim, n);
		break;
	case EV_LOG_APPEND:
		append_next(sim, n);
		break;
	case EV_HOSTS:
		read_hosts(sim, n);
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
		if (sim->calls[ev->call]->open)
			mh_entry_submit(n->entry,
					&sim->calls[ev->call]->core_call);
		break;
	default:
		break;
	}
	if (sim->violation)
		return;
	/* The next tick is in the node's monotonic time: see clock_mono(). */
	schedule_tick(sim, n,
		      (n->is_entry ? mh_entry_tick(n->entry) :
				     mh_side_tick(n->side)) -
			      1000 * MS);
}

static void handle_sim_event(struct simulation *sim, struct ev *ev)
{
	switch (ev->kind) {
	case EV_SUBMIT:
		submit(sim, ev->call, ev->attempt);
		schedule_tick(sim, node_of(sim, sim->calls[ev->call]->at_entry),
			      sim->now_ns + 1);
		break;
	case EV_CLIENT_CANCEL:
		client_cancel(sim, ev->call, ev->attempt);
		break;
	case EV_FAULT:
		begin_fault(sim, ev->fault);
		schedule(sim, EV_FAULT_END, -1,
			 sim->now_ns + ev->fault->duration_ms * MS)
			->fault = ev->fault;
		break;
	case EV_FAULT_END:
		if (ev->fault)
			end_fault(sim, ev->fault);
		else /* Links to a frozen node time out: see freeze_node(). */
			cut_links_of(sim, ev->peer,
				     node_of(sim, ev->peer)->frozen_until_ns +
					     1);
		break;
	case EV_RESTART:
		start_node(sim, node_of(sim, ev->peer));
		break;
	case EV_CONNECT:
		open_link(sim, (int)ev->link, ev->peer);
		break;
	default:
		break;
	}
}

/* Defers events of a frozen node, engine steps included, until it resumes. */
static bool defer_if_frozen(struct simulation *sim, struct node *n,
			    struct ev *ev)
{
	if (n->frozen_until_ns <= sim->now_ns)
		return false;
	ev->at_ns = n->frozen_until_ns;
	ev->heap_index = MH_HEAP_NONE;
	mh_heap_add(&sim->events, ev);
	return true;
}

/* Detects a core that keeps asking for an immediate tick: a busy loop. */
static void check_progress(struct simulation *sim, const struct ev *ev)
{
	if (ev->at_ns / MS != sim->now_ns / MS)
		sim->events_in_ms = 0;
	if (++sim->events_in_ms > MAX_EVENTS_PER_MS)
		report_violation(
			sim, "no progress: %u events within one millisecond",
			sim->events_in_ms);
}

void sim_run(struct simulation *sim, uint64_t until_ms)
{
	struct ev *ev;

	while (!sim->violation && (ev = mh_heap_min(&sim->events)) &&
	       ev->at_ns <= until_ms * MS) {
		struct node *n = ev->node < 0 ? NULL : node_of(sim, ev->node);

		mh_heap_remove(&sim->events, ev);
		check_progress(sim, ev);
		sim->now_ns = ev->at_ns;
		if (!n)
			handle_sim_event(sim, ev);
		else if (n->alive && n->incarnation_id == ev->incarnation_id) {
			if (defer_if_frozen(sim, n, ev))
				continue;
			handle_node_event(sim, n, ev);
		}
		free(ev->bytes);
		free(ev);
	}
	if (sim->now_ns < until_ms * MS)
		sim->now_ns = until_ms * MS;
}

struct simulation *sim_new(const struct sim_options *o)
{
	struct simulation *sim = calloc(1, sizeof(*sim));
	int i, j;

	sim->o = *o;
	sim->rng.state = o->seed;
	sim->n_nodes = o->n_entries + o->n_sides;
	mh_heap_init(&sim->events, ev_less, offsetof(struct ev, heap_index));
	publish(sim, 0, 60000);
	for (i = 0; i < sim->n_nodes; i++) {
		struct node *n = node_of(sim, i);

		n->sim = sim;
		n->index = i;
		n->is_entry = i < o->n_entries;
		n->engine_up = true;
		n->slowdown_percent = 100;
		n->speed_percent = 100;
		if (!n->is_entry && o->speed_percent[i - o->n_entries])
			n->speed_percent = o->speed_percent[i - o->n_entries];
		snprintf(n->name, sizeof(n->name), "%s-%d",
			 n->is_entry ? "entry" : "side", i);
		start_node(sim, n);
	}
	for (i = 0; i < o->n_entries; i++) {
		for (j = i + 1; j < sim->n_nodes; j++)
			open_link(sim, i, j);
	}
	return sim;
}

static uint64_t time_of_key(const struct simulation *sim,
			    const struct sim_call *spec)
{
	size_t i;

	for (i = 0; spec->key && i < sim->n_calls; i++) {
		if (sim->calls[i]->spec.key == spec->key)
			return sim->calls[i]->key_ms;
	}
	return spec->at_ms;
}

void sim_add_call(struct simulation *sim, const struct sim_call *spec)
{
	struct call *c = calloc(1, sizeof(*c));
	struct ev *ev;

	sim->calls =
		realloc(sim->calls, (sim->n_calls + 1) * sizeof(*sim->calls));
	c->spec = *spec;
	c->key_ms = time_of_key(sim, spec);
	c->core_call.data = (void *)(uintptr_t)sim->n_calls;
	snprintf(c->account, sizeof(c->account), "acct-%d", spec->account);
	/* Calls with the same key are the same request, from any client. */
	if (spec->key)
		snprintf(c->body, sizeof(c->body), "key%010u", spec->key);
	else if (spec->crashes)
		snprintf(c->body, sizeof(c->body), "crash%08d", spec->account);
	else
		snprintf(c->body, sizeof(c->body), "call%010zu", sim->n_calls);
	sim->calls[sim->n_calls] = c;
	ev = schedule(sim, EV_SUBMIT, -1, spec->at_ms * MS);
	ev->call = sim->n_calls++;
}

void sim_add_fault(struct simulation *sim, const struct sim_fault *fault)
{
	struct sim_fault *copy = malloc(sizeof(*copy));

	*copy = *fault;
	sim->faults[sim->n_faults++] = copy;
	schedule(sim, EV_FAULT, -1, fault->at_ms * MS)->fault = copy;
}

const char *sim_violation(const struct simulation *sim)
{
	return sim->violation;
}

/*
 * Version that entries must have after all records of the log: a record is
 * accepted if its base is the version in force. Does not use the cores' code.
 */
static uint64_t expected_version(const struct simulation *sim)
{
	uint64_t version = 0, i;

	for (i = 0; i < sim->config.n; i++) {
		json_t *rec = json_loadb((char *)sim->config.v[i].bytes,
					 sim->config.v[i].len, 0, NULL);

		if (json_object_get(rec, "base") &&
		    (uint64_t)json_integer_value(
			    json_object_get(rec, "base")) == version)
			version = i + 1;
		json_decref(rec);
	}
	return version;
}

bool sim_settled(const struct simulation *sim)
{
	uint64_t version = expected_version(sim);
	size_t i;
	int j;

	for (i = 0; i < sim->n_calls; i++) {
		if (!sim->calls[i]->ended)
			return false;
	}
	for (j = 0; j < sim->o.n_entries; j++) {
		if (sim->nodes[j].alive && sim->nodes[j].version != version)
			return false;
	}
	return true;
}

void sim_tier(const struct simulation *sim, int tier, struct sim_tier_result *r)
{
	size_t i;

	memset(r, 0, sizeof(*r));
	for (i = 0; i < sim->n_calls; i++) {
		const struct call *c = sim->calls[i];

		if (c->spec.tier != tier)
			continue;
		r->offered++;
		r->completed += c->completed;
		r->in_time += c->in_time;
		if (c->completed || !c->ended)
			continue;
		if (mh_error_info(c->error)->outcome == MH_OUTCOME_NOT_RUN)
			r->refused++;
		else
			r->unknown++;
	}
}

uint64_t sim_starts(const struct simulation *sim)
{
	return sim->starts;
}

uint64_t sim_starts_of_key(const struct simulation *sim, uint32_t key)
{
	struct key_count *k;

	HASH_FIND(hh, sim->keys, &key, sizeof(key), k);
	return k ? k->starts : 0;
}

uint64_t sim_prefilled(const struct simulation *sim)
{
	return sim->prefilled;
}

uint64_t sim_wasted_prefill(const struct simulation *sim)
{
	return sim->wasted;
}

uint64_t sim_useful_work(const struct simulation *sim)
{
	return sim->useful;
}

uint64_t sim_counter(const struct simulation *sim, int counter)
{
	enum mh_counter id = (enum mh_counter)counter;
	uint64_t sum = sim->stopped_counters[id];
	int i;

	for (i = 0; i < sim->n_nodes; i++) {
		const struct node *n = &sim->nodes[i];

		if (!n->alive)
			continue;
		sum += mh_counter_read(n->is_entry ?
					       mh_entry_counters(n->entry) :
					       mh_side_counters(n->side),
				       id);
	}
	return sum;
}

int sim_engines_lost(const struct simulation *sim)
{
	return sim->engines_lost;
}

size_t sim_samples(const struct simulation *sim, struct sim_sample *v,
		   size_t max)
{
	size_t i, n = 0;

	for (i = 0; i < sim->n_calls && n < max; i++) {
		const struct call *c = sim->calls[i];
		struct sim_sample *s = &v[n++];

		memset(s, 0, sizeof(*s));
		s->tier = c->spec.tier;
		s->account = c->spec.account;
		if (c->completed) {
			s->first_us = (c->first_ns - c->start_ns) / 1000 + 1;
			if (c->received_tokens > 1)
				s->gap_us = (c->last_ns - c->first_ns) / 1000 /
					    (c->received_tokens - 1);
			if (c->in_time)
				s->tokens = work_of(c);
		} else if (c->refused_ns) {
			s->refusal_us =
				(c->refused_ns - c->start_ns) / 1000 + 1;
		}
	}
	return n;
}

enum mh_error sim_error_of(const struct simulation *sim, size_t call)
{
	return sim->calls[call]->error;
}

bool sim_completed(const struct simulation *sim, size_t call)
{
	return sim->calls[call]->completed;
}

uint64_t sim_config_version(const struct simulation *sim, int entry)
{
	return sim->nodes[entry].version;
}

static void free_topic(struct topic *s)
{
	uint64_t i;

	for (i = 0; i < s->n; i++)
		free(s->v[i].bytes);
}

void sim_free(struct simulation *sim)
{
	struct link *l, *tmp;
	struct key_count *k, *tmp_k;
	struct ev *ev;
	size_t i;
	int j;

	for (j = 0; j < sim->n_nodes; j++)
		free_node_state(&sim->nodes[j]);
	while ((ev = mh_heap_min(&sim->events))) {
		mh_heap_remove(&sim->events, ev);
		free(ev->bytes);
		free(ev);
	}
	mh_heap_release(&sim->events);
	HASH_ITER(hh, sim->links, l, tmp) {
		HASH_DEL(sim->links, l);
		free(l);
	}
	HASH_ITER(hh, sim->keys, k, tmp_k) {
		HASH_DEL(sim->keys, k);
		free(k);
	}
	for (i = 0; i < sim->n_calls; i++)
		free(sim->calls[i]);
	for (i = 0; i < sim->n_faults; i++)
		free(sim->faults[i]);
	free_topic(&sim->config);
	free_topic(&sim->claims);
	free(sim->calls);
	free(sim->violation);
	free(sim);
}
