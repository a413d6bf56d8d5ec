/*
 * Model of hedged requests: the dispatcher of a service of which one server in
 * twenty is slow for a while, on a simulated clock. Prints the time to the first
 * byte and the extra work, with and without hedged requests, for three seeds.
 *
 * A service without a model: 20 servers of 4 slots. A run takes 40 ms times 0.5 to
 * 1.5, one in fifty twice as long. For 2 s at a time one server takes 8 times as
 * long for what begins, then another one. All requests are repeatable; they have a
 * deadline of 1.5 s.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/check_alloc.h"
#include "core/dispatch.h"
#include "core/hedge.h"

#define SERVERS 20
#define SLOTS 4
#define MEAN_MS 40
#define DEADLINE_MS 1500
#define SLOW_FACTOR 8
#define SLOW_MS 2000
#define BEGIN_MS 1000000
#define LOAD_MS 60000
#define SEEDS 3
#define MAX_REQUESTS 200000
#define MAX_RUNS 1024

struct request {
	uint64_t arrived_ms;
	uint32_t size_percent;
	uint32_t first_ms; /* 0: not answered */
	bool is_ended;
	bool is_moved;
	char server[8]; /* it was moved from */
};

struct run {
	uint64_t id; /* 0: unused */
	uint64_t placed_ms;
	uint64_t ends_ms;
	char server[8];
};

struct model {
	uint64_t now_ms;
	struct mh_clock clock;
	struct mh_rng rng;
	uint64_t seed;
	struct mh_dispatch *d;
	struct request *requests;
	uint64_t n_requests;
	struct run runs[MAX_RUNS];
	uint64_t moves[MAX_RUNS];
	uint32_t n_moves;
	uint32_t hedges, late_hedges, refused, moved;
	uint64_t work_ms, second_work_ms;
};

static uint64_t mono_ns(void *data)
{
	return ((struct model *)data)->now_ms * MH_NS_PER_MS;
}

static uint64_t wall_ms(void *data)
{
	return ((struct model *)data)->now_ms;
}

/* Uniform below @n, the same for the same arguments in all runs of a seed. */
static uint32_t chance(const struct model *m, uint64_t a, uint64_t b,
		       uint32_t n)
{
	struct mh_rng rng = { m->seed ^ (a * 0x9e3779b97f4a7c15ull) ^ b };

	mh_rng_next(&rng);
	return (uint32_t)(mh_rng_next(&rng) % n);
}

static uint32_t run_ms(const struct model *m, uint64_t id, uint32_t server)
{
	uint64_t first = id & ~MH_HEDGE_ID_BIT;
	uint32_t ms = MEAN_MS * m->requests[first].size_percent / 100;

	if (!chance(m, id, server, 50))
		ms *= 2;
	if (chance(m, m->now_ms / SLOW_MS, 77, SERVERS) == server)
		ms *= SLOW_FACTOR;
	return ms;
}

static void begin_run(struct model *m, uint64_t id, const char *server)
{
	uint32_t i = 0;

	while (i < MAX_RUNS && m->runs[i].id)
		i++;
	if (i == MAX_RUNS)
		abort();
	m->runs[i].id = id;
	m->runs[i].placed_ms = m->now_ms;
	m->runs[i].ends_ms =
		m->now_ms + run_ms(m, id, (uint32_t)atoi(server + 1));
	snprintf(m->runs[i].server, sizeof(m->runs[i].server), "%s", server);
}

static struct run *find_run(struct model *m, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < MAX_RUNS; i++) {
		if (m->runs[i].id == id)
			return &m->runs[i];
	}
	return NULL;
}

static void on_grant(void *data, uint32_t owner, uint64_t id,
		     const struct mh_backend_server *server)
{
	(void)owner;
	begin_run(data, id, server->id);
}

static void on_refuse(void *data, uint32_t owner, uint64_t id,
		      const struct mh_slot_refusal *why)
{
	struct model *m = data;

	(void)owner;
	(void)why;
	m->refused++;
	m->requests[id].is_ended = true;
}

static void on_move(void *data, uint32_t owner, uint64_t id)
{
	struct model *m = data;

	(void)owner;
	m->moves[m->n_moves++] = id;
}

static void on_lost(void *data, const struct mh_lost_run *run)
{
	(void)data;
	(void)run;
}

static void on_suspect(void *data, const struct mh_suspect *suspect)
{
	(void)data;
	(void)suspect;
}

static void on_hedge(void *data, uint32_t owner, uint64_t id,
		     const struct mh_backend_server *server)
{
	struct model *m = data;

	(void)owner;
	/* At full load slots become free once nothing arrives. */
	if (m->now_ms < BEGIN_MS + LOAD_MS)
		m->hedges++;
	else
		m->late_hedges++;
	begin_run(m, mh_hedge_id(id), server->id);
}

static const struct mh_dispatch_ops ops = { on_grant, on_refuse,  on_move,
					    on_lost,  on_suspect, NULL,
					    on_hedge };

static void request_slot(struct model *m, uint64_t id)
{
	const struct request *req = &m->requests[id];
	struct mh_slot_request a = {
		.owner = 1,
		.id = id,
		.service = "pool",
		.account = "",
		.target_ns = (req->arrived_ms + 300) * MH_NS_PER_MS,
		.start_by_ns = (req->arrived_ms + DEADLINE_MS) * MH_NS_PER_MS,
		.deadline_ns = (req->arrived_ms + DEADLINE_MS) * MH_NS_PER_MS,
		.kind = 1,
		.is_repeatable = !req->is_moved,
		.is_repeat = req->is_moved,
		.is_moved = req->is_moved,
	};

	if (req->is_moved)
		a.avoid[a.n_avoid++] = req->server;
	mh_dispatch_request_slot(m->d, &a);
}

static void release(struct model *m, struct run *run,
		    enum mh_slot_outcome outcome)
{
	uint32_t ms = (uint32_t)(m->now_ms - run->placed_ms);
	uint64_t id = run->id;

	m->work_ms += ms;
	if (mh_is_hedge_id(id))
		m->second_work_ms += ms;
	run->id = 0;
	if (outcome == MH_SLOT_OK)
		mh_dispatch_first_byte(m->d, 1, id, ms);
	mh_dispatch_done(m->d, 1, id, outcome, ms);
}

static void end_runs(struct model *m)
{
	uint32_t i;

	for (i = 0; i < MAX_RUNS; i++) {
		struct run *run = &m->runs[i], *other;
		struct request *req = &m->requests[run->id & ~MH_HEDGE_ID_BIT];

		if (!run->id || m->now_ms < run->ends_ms)
			continue;
		other = find_run(m, mh_hedge_id(run->id));
		req->first_ms = (uint32_t)(m->now_ms - req->arrived_ms);
		req->is_ended = true;
		release(m, run, MH_SLOT_OK);
		if (other)
			release(m, other, MH_SLOT_CANCELLED);
	}
}

static void move_requests(struct model *m)
{
	uint32_t i;

	for (i = 0; i < m->n_moves; i++) {
		struct run *run = find_run(m, m->moves[i]);
		struct request *req = &m->requests[m->moves[i]];

		if (!run)
			continue;
		m->moved++;
		req->is_moved = true;
		memcpy(req->server, run->server, sizeof(req->server));
		release(m, run, MH_SLOT_TIMED_OUT);
		request_slot(m, m->moves[i]);
	}
	m->n_moves = 0;
}

static void arrive(struct model *m, double per_ms)
{
	/* As many coin tosses as make the number nearly a Poisson one. */
	int i;

	for (i = 0; i < 100; i++) {
		struct request *req;

		if ((double)(mh_rng_next(&m->rng) % 1000000) >= per_ms * 10000)
			continue;
		if (m->n_requests == MAX_REQUESTS)
			abort();
		req = &m->requests[m->n_requests];
		memset(req, 0, sizeof(*req));
		req->arrived_ms = m->now_ms;
		req->size_percent = 50 + (uint32_t)(mh_rng_next(&m->rng) % 101);
		request_slot(m, m->n_requests++);
	}
}

static int by_number(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static void report(struct model *m, double load, uint64_t seed, double share)
{
	uint32_t *ms =
		mh_check_alloc(malloc((m->n_requests + 1) * sizeof(*ms)));
	uint32_t n = 0, in_time = 0;
	uint64_t i;

	for (i = 1; i < m->n_requests; i++) {
		if (!m->requests[i].first_ms)
			continue;
		in_time += m->requests[i].first_ms <= 300;
		ms[n++] = m->requests[i].first_ms;
	}
	qsort(ms, n, sizeof(*ms), by_number);
	printf("%4.2f %4llu %5s %6llu %6u %6u %5u %5u %5u %5u %6u %6u %5u %6.2f\n",
	       load, (unsigned long long)seed, share > 0 ? "on" : "off",
	       (unsigned long long)m->n_requests - 1, in_time, m->refused,
	       ms[n / 2], ms[(size_t)(n * 0.95)], ms[(size_t)(n * 0.99)],
	       ms[(size_t)(n * 0.999)], m->moved, m->hedges, m->late_hedges,
	       100.0 * (double)m->second_work_ms / (double)m->work_ms);
	free(ms);
}

static void play(double load, uint64_t seed, double share, double extra)
{
	struct mh_dispatch_conf conf = {
		.retry_ratio = 0.2,
		.retry_extra = 50,
		.retry_window_ms = 10000,
		.quota_window_ms = 8000,
		.hedge_share = share,
		.hedge_extra = extra,
	};
	struct mh_dispatch_service_conf service = { "pool", SLOTS, false };
	struct model *m = mh_check_alloc(calloc(1, sizeof(*m)));
	double per_ms = load * SERVERS * SLOTS / MEAN_MS;
	uint32_t i;

	m->requests =
		mh_check_alloc(calloc(MAX_REQUESTS, sizeof(struct request)));
	m->now_ms = BEGIN_MS;
	m->clock = (struct mh_clock){ mono_ns, wall_ms, m };
	m->seed = m->rng.state = seed * 1000003;
	m->n_requests = 1;
	m->d = mh_dispatch_new(&conf, &m->clock, seed, &ops, m);
	mh_dispatch_set_service(m->d, &service);
	for (i = 0; i < SERVERS; i++) {
		char id[8];
		struct mh_backend_server s = {
			.id = id,
			.service = "pool",
			.address = "127.0.0.1:1",
			.places = SLOTS,
			.born_ms = 1,
			.takes_work = true,
		};

		snprintf(id, sizeof(id), "s%u", i);
		mh_dispatch_update_server(m->d, &s);
	}
	for (; m->now_ms < BEGIN_MS + LOAD_MS + DEADLINE_MS; m->now_ms++) {
		end_runs(m);
		if (m->now_ms < BEGIN_MS + LOAD_MS)
			arrive(m, per_ms);
		mh_dispatch_tick(m->d);
		move_requests(m);
	}
	report(m, load, seed, share);
	mh_dispatch_free(m->d);
	free(m->requests);
	free(m);
}

int main(void)
{
	static const double loads[] = { 0.3, 0.5, 0.7, 1.2 };
	size_t i;
	int seed;

	printf("load seed hedge    all in-300 refuse   p50   p95   p99 p99.9  moved hedges after extra%%\n");
	for (i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
		for (seed = 1; seed <= SEEDS; seed++) {
			play(loads[i], (uint64_t)seed, 0, 0);
			play(loads[i], (uint64_t)seed, 0.02, 20);
		}
	}
	return 0;
}
