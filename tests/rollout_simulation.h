/*
 * Model of a roll-out without a dispatcher: requests of several routes arrive at a
 * constant rate, go where the roll-out allows, and end a little later, well or
 * badly by the share of their version, route and time. One judge, no network.
 */
#ifndef MH_ROLLOUT_SIMULATION_H
#define MH_ROLLOUT_SIMULATION_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/rollout.h"

#define MS MH_NS_PER_MS
#define SERVICE "pool"
#define OLD "v1"
#define TARGET "v2"
#define N_KINDS 3
#define STEP_MS 10
/* How long a request runs, and a ring for those in flight. */
#define RUN_MS 100
#define MAX_PENDING 4096

/* How the responses of a version are, from a time on. */
struct behaviour {
	uint64_t from_ms;      /* since the order */
	double fails[N_KINDS]; /* share of failures, by route */
	double slowness;       /* factor of the durations; 0: 1 */
};

struct pending {
	uint64_t due_ns;
	uint64_t kind;
	bool at_target;
	bool failed;
	double ratio;
};

struct model {
	uint64_t now_ns;
	struct mh_clock clock;
	struct mh_rollout_conf conf;
	struct mh_rollouts *set;
	struct mh_rng rng;
	double rate_per_s;
	uint32_t duration_ms;
	uint64_t ordered_ns;
	uint32_t old_servers;
	uint32_t target_servers;
	struct behaviour old;
	struct behaviour target;
	struct behaviour burst; /* of both versions, until burst_end_ms */
	uint64_t burst_end_ms;
	double due;   /* part of a request that is due */
	bool retries; /* a failed attempt is sent again */
	struct pending pending[MAX_PENDING];
	uint32_t first_pending, n_pending;
	uint32_t in_flight[2]; /* old, target */
	uint64_t granted[2];
	uint64_t waiting;
	uint64_t target_bad;
	uint64_t fiftieth_bad_ns;
	uint64_t last_target_ns;
	double max_over_bound; /* requests of the target above its bound */
	/* Last record that was written, at most one a second. */
	enum mh_rollout_phase phase;
	uint64_t elapsed_ms;
};

static inline uint64_t model_mono(void *data)
{
	return ((struct model *)data)->now_ns;
}

static inline uint64_t model_wall(void *data)
{
	return ((struct model *)data)->now_ns / MS;
}

static const struct mh_rollout_conf model_conf = { 0.1, 50, 5000 };

static inline void new_judge(struct model *m)
{
	mh_rollouts_free(m->set);
	m->set = mh_rollouts_new(&m->conf, &m->clock);
	mh_rollouts_set_judge(m->set, true);
}

/* A judge that has decided for a while, with its store read. */
static inline struct model *new_model(uint64_t seed)
{
	struct model *m = calloc(1, sizeof(*m));

	assert_non_null(m);
	m->now_ns = 100000 * MS;
	m->clock.mono_ns = model_mono;
	m->clock.wall_ms = model_wall;
	m->clock.data = m;
	m->conf = model_conf;
	m->rng.state = seed * 7919 + 1;
	m->rate_per_s = 150;
	m->duration_ms = 12000;
	m->old_servers = m->target_servers = 5;
	new_judge(m);
	mh_rollouts_set_store(m->set, MH_ROLLOUT_STORE_READ);
	m->now_ns += 10000 * MS;
	return m;
}

static inline void free_model(struct model *m)
{
	mh_rollouts_free(m->set);
	free(m);
}

static inline enum mh_rollout_order_result
order_of(struct model *m, const char *target, uint32_t duration_ms)
{
	struct mh_rollout_order order = { SERVICE, target, duration_ms };

	return mh_rollouts_order(m->set, &order, 0);
}

static inline void give_order(struct model *m)
{
	m->ordered_ns = m->now_ns;
	assert_int_equal(order_of(m, TARGET, m->duration_ms),
			 MH_ROLLOUT_ORDER_ACCEPTED);
}

static inline void read_phase(const struct mh_rollout_record *rec, void *data)
{
	struct model *m = data;

	m->phase = rec->phase;
	m->elapsed_ms = rec->elapsed_ms;
}

static inline enum mh_rollout_phase phase_of(struct model *m)
{
	m->phase = MH_ROLLOUT_NONE;
	mh_rollouts_each(m->set, read_phase, m);
	return m->phase;
}

static inline double uniform(struct model *m)
{
	return (double)(mh_rng_next(&m->rng) >> 11) / 9007199254740992.0;
}

static inline uint64_t since_order_ms(const struct model *m)
{
	return (m->now_ns - m->ordered_ns) / MS;
}

static inline bool applies(const struct model *m, const struct behaviour *b)
{
	return since_order_ms(m) >= b->from_ms;
}

static inline bool is_burst(const struct model *m)
{
	return applies(m, &m->burst) && since_order_ms(m) < m->burst_end_ms;
}

static inline void add_pending(struct model *m, bool at_target, uint64_t kind)
{
	const struct behaviour *b = at_target ? &m->target : &m->old;
	uint32_t at = (m->first_pending + m->n_pending) % MAX_PENDING;
	struct pending *p = &m->pending[at];
	double fails = applies(m, b) ? b->fails[kind] : 0;
	double slowness = applies(m, b) && b->slowness > 0 ? b->slowness : 1;

	assert_true(m->n_pending < MAX_PENDING);
	if (is_burst(m))
		fails += (1 - fails) * m->burst.fails[kind];
	m->n_pending++;
	p->due_ns = m->now_ns + RUN_MS * MS;
	p->kind = kind;
	p->at_target = at_target;
	p->failed = uniform(m) < fails;
	/* Half to one and a half of the expected duration, some twice that. */
	p->ratio = (0.5 + uniform(m)) * slowness;
	if (uniform(m) < 0.02)
		p->ratio *= 2;
	m->in_flight[at_target]++;
}

static inline void check_bound(struct model *m)
{
	uint64_t all = m->granted[0] + m->granted[1];
	double bound =
		m->conf.exposure_share * (double)all + m->conf.exposure_slack;
	double over = (double)m->granted[1] - bound;

	if (m->max_over_bound < over)
		m->max_over_bound = over;
}

/* Return: whether the request was sent. */
static inline bool send_request(struct model *m, uint64_t kind)
{
	bool is_retryable = kind != 0;
	enum mh_rollout_choice target = MH_ROLLOUT_FORBIDDEN;
	enum mh_rollout_choice old = MH_ROLLOUT_FORBIDDEN;
	bool at_target;

	if (m->target_servers)
		target = mh_rollouts_choice(m->set, SERVICE, TARGET,
					    is_retryable);
	if (m->old_servers)
		old = mh_rollouts_choice(m->set, SERVICE, OLD, is_retryable);
	if (target == MH_ROLLOUT_FORBIDDEN && old == MH_ROLLOUT_FORBIDDEN) {
		m->waiting++;
		return false;
	}
	at_target =
		target == MH_ROLLOUT_PREFERRED || old == MH_ROLLOUT_FORBIDDEN;
	mh_rollouts_granted(m->set, SERVICE, at_target ? TARGET : OLD);
	m->granted[at_target]++;
	if (at_target)
		m->last_target_ns = m->now_ns;
	check_bound(m);
	add_pending(m, at_target, kind);
	return true;
}

static inline void end_due(struct model *m)
{
	while (m->n_pending &&
	       m->pending[m->first_pending].due_ns <= m->now_ns) {
		struct pending p = m->pending[m->first_pending];

		m->first_pending = (m->first_pending + 1) % MAX_PENDING;
		m->n_pending--;
		m->in_flight[p.at_target]--;
		if (p.at_target && (p.failed || m->target.slowness > 2)) {
			if (++m->target_bad == 50)
				m->fiftieth_bad_ns = m->now_ns;
		}
		mh_rollouts_ended(m->set, SERVICE, p.at_target ? TARGET : OLD,
				  p.kind, p.failed, p.ratio);
		if (p.failed && m->retries)
			send_request(m, p.kind);
	}
}

static inline void tick(struct model *m)
{
	struct mh_rollout_in_flight list[2] = {
		{ SERVICE, OLD, m->in_flight[0], m->old_servers },
		{ SERVICE, TARGET, m->in_flight[1], m->target_servers },
	};
	size_t first = m->old_servers || m->in_flight[0] ? 0 : 1;

	mh_rollouts_tick(m->set, list + first, 2 - first);
	/* The store takes less than a step. */
	mh_rollouts_recorded(m->set, SERVICE, TARGET, phase_of(m));
}

static inline void step(struct model *m)
{
	m->now_ns += STEP_MS * MS;
	end_due(m);
	tick(m);
	/* Arrivals are random, with the given mean. */
	m->due += 2 * uniform(m) * m->rate_per_s * STEP_MS / 1000;
	for (; m->due >= 1; m->due--)
		send_request(m, mh_rng_next(&m->rng) % N_KINDS);
}

static inline void run_ms(struct model *m, uint64_t ms)
{
	uint64_t until_ns = m->now_ns + ms * MS;

	while (m->now_ns < until_ns)
		step(m);
}

/* Runs a roll-out for twice its duration. Return: its phase then. */
static inline enum mh_rollout_phase run_all(struct model *m)
{
	if (!m->ordered_ns)
		give_order(m);
	run_ms(m, 2 * m->duration_ms);
	return phase_of(m);
}

/* Runs until the phase is reached. Return: time since the order, in ms. */
static inline uint64_t run_until(struct model *m, enum mh_rollout_phase phase)
{
	uint64_t end_ns = m->ordered_ns + 2 * m->duration_ms * MS;

	while (m->now_ns < end_ns && phase_of(m) != phase)
		step(m);
	assert_int_equal(phase_of(m), phase);
	return since_order_ms(m);
}

/* Return: ms from the 50th bad response to the last request that was sent to the
 * target, 0 if that came before. */
static inline uint64_t late_ms(const struct model *m)
{
	if (m->target_bad < 50 || m->last_target_ns < m->fiftieth_bad_ns)
		return 0;
	return (m->last_target_ns - m->fiftieth_bad_ns) / MS;
}

static inline void set_fails(struct behaviour *b, double share)
{
	int i;

	for (i = 0; i < N_KINDS; i++)
		b->fails[i] = share;
}

#define STATE_BYTES 2048

/* Text of a set's records, for comparisons. */
struct state {
	char text[STATE_BYTES];
	size_t len;
};

static inline int by_text(const void *a, const void *b)
{
	return strcmp(a, b);
}

static inline void write_state(const struct mh_rollout_record *rec, void *data)
{
	struct state *s = data;
	char rows[16][96];
	size_t n = 0, i;

	assert_true(rec->n_counts + rec->n_excluded <= 16);
	for (i = 0; i < rec->n_counts; i++)
		snprintf(rows[n++], sizeof(*rows), "%llu %s %llu %llu %llu",
			 (unsigned long long)rec->counts[i].kind,
			 rec->counts[i].version,
			 (unsigned long long)rec->counts[i].good,
			 (unsigned long long)rec->counts[i].failed,
			 (unsigned long long)rec->counts[i].slow);
	for (i = 0; i < rec->n_excluded; i++)
		snprintf(rows[n++], sizeof(*rows), "excluded %s",
			 rec->excluded[i]);
	qsort(rows, n, sizeof(*rows), by_text);
	s->len += (size_t)snprintf(
		s->text + s->len, sizeof(s->text) - s->len,
		"%s %s %u %s %d %llu %llu/%llu\n", rec->order.service,
		rec->order.target, rec->order.duration_ms,
		mh_rollout_phase_name(rec->phase), rec->is_acknowledged,
		(unsigned long long)rec->elapsed_ms,
		(unsigned long long)rec->granted_target,
		(unsigned long long)rec->granted_service);
	for (i = 0; i < n; i++)
		s->len += (size_t)snprintf(s->text + s->len,
					   sizeof(s->text) - s->len, "%s\n",
					   rows[i]);
}

static inline struct state state_of(const struct mh_rollouts *set)
{
	struct state s = { "", 0 };

	mh_rollouts_each(set, write_state, &s);
	return s;
}

static inline enum mh_rollout_choice choice(struct model *m,
					    const char *version)
{
	return mh_rollouts_choice(m->set, SERVICE, version, true);
}

static inline void assert_allowed(struct model *m, const char *version,
				  bool allowed)
{
	assert_int_equal(choice(m, version) != MH_ROLLOUT_FORBIDDEN, allowed);
}

/* Merges a record without counts. */
static inline bool tell(struct model *m, const char *target,
			enum mh_rollout_phase phase, uint64_t elapsed_ms)
{
	struct mh_rollout_record rec = {
		.order = { SERVICE, target, 12000 },
		.phase = phase,
		.elapsed_ms = elapsed_ms,
	};

	return mh_rollouts_merge(m->set, &rec);
}

#endif
