/*
 * Fixture: a dispatcher that judges a roll-out, with a store that answers at once,
 * servers of two versions and a constant load.
 */
#ifndef MH_ROLLOUT_SITE_H
#define MH_ROLLOUT_SITE_H

#include "tests/dispatch_fixture.h"

#define OLD "v1"
#define TARGET "v2"
#define N_SERVERS 6
#define RUN_MS 60

static const struct mh_rollout_conf bounds = { 0.1, 50, 5000 };

struct site {
	struct fixture *f;
	struct mh_rollouts *set;
	uint64_t ordered_ns;
	uint64_t first_open; /* older requests have ended */
	/* Chooses the outcome of a run; NULL: all end well. */
	enum mh_slot_outcome (*outcome)(struct site *s, uint64_t id);
	uint32_t run_ms[2]; /* old, target */
	/* Duration of a run, in place of run_ms. */
	uint32_t (*run_of)(const struct site *s, uint64_t id);
	uint32_t variant; /* of the test */
	uint32_t granted[2];
	struct mh_rollout_record last; /* without its lists */
	uint64_t target_good, target_bad;
};

static inline void add_server_of(struct site *s, const char *id,
				 const char *version)
{
	struct mh_backend_server server = {
		.id = id,
		.service = SERVICE,
		.address = "127.0.0.1:1",
		.version = version,
		.places = 2,
		.born_ms = 1,
		.takes_work = true,
	};

	mh_dispatch_update_server(s->f->d, &server);
}

static inline void add_many(struct site *s, const char *prefix,
			    const char *version, int n)
{
	char id[16];
	int i;

	for (i = 0; i < n; i++) {
		snprintf(id, sizeof(id), "%s%d", prefix, i);
		add_server_of(s, id, version);
	}
}

static inline void add_servers(struct site *s, const char *prefix,
			       const char *version)
{
	add_many(s, prefix, version, N_SERVERS);
}

/* A dispatcher that has decided for a while, without servers. */
static inline struct site *new_site(void)
{
	struct site *s = calloc(1, sizeof(*s));

	assert_non_null(s);
	s->f = new_fixture();
	s->set = mh_rollouts_new(&bounds, &s->f->clock);
	mh_rollouts_set_judge(s->set, true);
	mh_rollouts_set_store(s->set, MH_ROLLOUT_STORE_READ);
	mh_dispatch_set_rollouts(s->f->d, s->set);
	s->f->now_ns += 5000 * MS;
	s->run_ms[0] = s->run_ms[1] = RUN_MS;
	return s;
}

static inline void free_site(struct site *s)
{
	free_fixture(s->f);
	mh_rollouts_free(s->set);
	free(s);
}

static inline void give_order(struct site *s)
{
	struct mh_rollout_order order = { SERVICE, TARGET, 12000 };

	s->ordered_ns = s->f->now_ns;
	assert_int_equal(mh_rollouts_order(s->set, &order, 0),
			 MH_ROLLOUT_ORDER_ACCEPTED);
}

static inline void tell(struct site *s, enum mh_rollout_phase phase)
{
	struct mh_rollout_record rec = {
		.order = { SERVICE, TARGET, 12000 },
		.phase = phase,
	};

	mh_rollouts_merge(s->set, &rec);
}

static inline void read_record(const struct mh_rollout_record *rec, void *data)
{
	struct site *s = data;
	size_t i;

	s->last = *rec;
	s->target_good = s->target_bad = 0;
	for (i = 0; i < rec->n_counts; i++) {
		if (strcmp(rec->counts[i].version, TARGET) != 0)
			continue;
		s->target_good += rec->counts[i].good;
		s->target_bad += rec->counts[i].failed + rec->counts[i].slow;
	}
}

static inline enum mh_rollout_phase phase_of(struct site *s)
{
	mh_rollouts_each(s->set, read_record, s);
	return s->last.phase;
}

static inline bool is_at_target(const struct site *s, uint64_t id)
{
	return s->f->results[id].placed && s->f->results[id].server[0] == 't';
}

static inline uint32_t held_by(const struct site *s, const char *server)
{
	uint64_t id;
	uint32_t n = 0;

	for (id = s->first_open; id < s->f->next_id; id++) {
		const struct slot_result *r = &s->f->results[id];

		n += r->placed && !r->ended && !strcmp(r->server, server);
	}
	return n;
}

static inline void end_runs(struct site *s)
{
	struct fixture *f = s->f;
	uint64_t id;

	for (id = s->first_open; id < f->next_id; id++) {
		struct slot_result *r = &f->results[id];
		uint32_t run_ms = s->run_ms[is_at_target(s, id)];
		enum mh_slot_outcome outcome = MH_SLOT_OK;

		if (r->placed && s->run_of)
			run_ms = s->run_of(s, id);

		if (!r->placed || r->ended ||
		    f->now_ns < r->at_ns + run_ms * MS)
			continue;
		if (s->outcome)
			outcome = s->outcome(s, id);
		r->ended = true;
		s->granted[is_at_target(s, id)]++;
		done(f, id, outcome, run_ms);
	}
	while (s->first_open < f->next_id &&
	       (f->results[s->first_open].ended ||
		f->results[s->first_open].refused))
		s->first_open++;
}

/* Requests arrive each so many ms. */
static inline void run_load(struct site *s, uint64_t ms, uint64_t each_ms)
{
	uint64_t t;

	for (t = 0; t < ms; t++) {
		advance_clock(s->f, 1);
		if (!(t % each_ms)) {
			struct mh_slot_request a = make_request(s->f, 0);

			a.kind = 1 + a.id % 2;
			a.is_repeatable = a.id % 3 != 0;
			mh_dispatch_request_slot(s->f->d, &a);
			mh_dispatch_tick(s->f->d);
		}
		end_runs(s);
		mh_rollouts_recorded(s->set, SERVICE, TARGET, phase_of(s));
	}
}

#endif
