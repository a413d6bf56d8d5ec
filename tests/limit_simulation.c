#include "tests/limit_simulation.h"

#include "tests/dispatch_fixture.h"

#include "core/send_window.h"
#include "core/server_notices.h"
#include "core/usage_relay.h"

#define MAX_ENTRIES 103
#define SLOTS 4
#define MAX_RUNS 16384
#define MAX_MS 40000
#define SETTLE_MS 3000
#define TOLD_MS 500
#define RUN_MIN_MS 40
#define RUN_SPREAD_MS 200
#define DEADLINE_MS 2000
#define FALLBACK_MS 900
#define LOSS_MIN_MS 450
#define LOSS_SPREAD_MS 150
#define REPORT_MS 100
#define TRAVEL_MS 3
#define URGENT_TIER 0
#define ROUTINE_TIER 5

enum state { WAITING, RUNNING, ENDED };

struct run {
	enum state state;
	uint32_t entry;
	uint8_t tier;
	uint64_t arrived_ms;
	uint64_t granted_ms;
	uint64_t end_ms;
	int server;
};

struct sim;

struct node {
	struct sim *sim;
	uint32_t number;
	bool is_up;
	uint64_t incarnation;
	struct mh_dispatch *d;
};

struct entry {
	struct node local;
	struct node *used; /* NULL: the last one was lost */
	uint64_t lost_ms;  /* when that was noticed */
	uint64_t notice_ms;
	struct mh_server_notices *notices;
	struct mh_usage_relay *relay;
	uint64_t told_ms[SIM_SERVERS]; /* by its first response with a limit */
};

struct sim {
	const struct limit_case *c;
	uint64_t now_ms;
	struct mh_clock clock;
	struct mh_rng rng;
	struct node dispatchers[2];
	struct entry entries[MAX_ENTRIES];
	struct run runs[MAX_RUNS];
	uint32_t n_runs;
	uint32_t first_open;
	uint32_t n_responses;
	uint32_t arrivals[SIM_SERVERS][MAX_MS + TRAVEL_MS];
	uint32_t arrivals_told[SIM_SERVERS][MAX_MS + TRAVEL_MS];
	uint32_t urgent, urgent_begun, after, begun_after;
};

static uint32_t below(struct sim *sim, uint32_t n)
{
	return n ? (uint32_t)(mh_rng_next(&sim->rng) % n) : 0;
}

static uint64_t sim_mono(void *data)
{
	return ((struct sim *)data)->now_ms * MS;
}

static uint64_t sim_wall(void *data)
{
	return ((struct sim *)data)->now_ms;
}

static struct mh_server_ref ref_of(int server)
{
	static const char *const ids[SIM_SERVERS] = { "s0", "s1", "s2",
						      "s3", "s4", "s5" };

	return (struct mh_server_ref){ ids[server], "127.0.0.1:1", 1 };
}

/* Those that come just before the end may begin after it. */
static bool is_counted_urgent(const struct sim *sim, const struct run *run)
{
	return run->tier == URGENT_TIER &&
	       run->arrived_ms + DEADLINE_MS < sim->c->until_ms;
}

static bool is_after(const struct sim *sim, const struct run *run)
{
	return sim->c->ended_ms && run->arrived_ms >= sim->c->ended_ms + 1000;
}

static void sim_grant(void *data, uint32_t owner, uint64_t id,
		      const struct mh_backend_server *server)
{
	struct node *node = data;
	struct sim *sim = node->sim;
	struct run *run = &sim->runs[id];
	struct entry *e = &sim->entries[run->entry];
	struct mh_server_ref ref = { server->id, server->address, 1 };
	uint64_t at_ms;
	char name[16];

	(void)owner;
	assert_int_equal(run->state, WAITING);
	run->state = RUNNING;
	run->server = atoi(server->id + 1);
	run->granted_ms = sim->now_ms;
	run->end_ms = sim->now_ms + RUN_MIN_MS + below(sim, RUN_SPREAD_MS + 1);
	at_ms = sim->now_ms + below(sim, TRAVEL_MS);
	sim->arrivals[run->server][at_ms]++;
	if (e->told_ms[run->server] &&
	    sim->now_ms >= e->told_ms[run->server] + TOLD_MS)
		sim->arrivals_told[run->server][at_ms]++;
	if (mh_server_notices_has_limit(e->notices, &ref)) {
		snprintf(name, sizeof(name), MH_SENDS_USAGE_PREFIX "%s",
			 server->id);
		mh_usage_relay_add(e->relay, name, node->incarnation, 1,
				   sim->now_ms * MS);
	}
	sim->urgent_begun += is_counted_urgent(sim, run);
	sim->begun_after += is_after(sim, run);
}

static void sim_refuse(void *data, uint32_t owner, uint64_t id,
		       const struct mh_slot_refusal *why)
{
	struct node *node = data;

	(void)owner;
	assert_true(why->retry_after_ms > 0);
	node->sim->runs[id].state = ENDED;
}

static void sim_move(void *data, uint32_t owner, uint64_t id)
{
	(void)data;
	(void)owner;
	(void)id;
}

static void sim_lost(void *data, const struct mh_lost_run *run)
{
	(void)data;
	(void)run;
}

static void sim_suspect(void *data, const struct mh_suspect *suspect)
{
	(void)data;
	(void)suspect;
}

static const struct mh_dispatch_ops sim_ops = {
	sim_grant, sim_refuse, sim_move, sim_lost, sim_suspect, NULL, NULL
};

static void start_node(struct sim *sim, struct node *node, uint32_t number)
{
	struct mh_dispatch_service_conf service = { SERVICE, SLOTS, false };
	int i;

	node->sim = sim;
	node->number = number;
	node->is_up = true;
	node->incarnation = number ? mh_rng_next(&sim->rng) : 0;
	node->d = mh_dispatch_new(&conf, &sim->clock, mh_rng_next(&sim->rng),
				  &sim_ops, node);
	mh_dispatch_set_grantor(node->d, node->incarnation);
	mh_dispatch_set_service(node->d, &service);
	for (i = 0; i < SIM_SERVERS; i++) {
		struct mh_backend_server s = {
			.id = ref_of(i).id,
			.service = SERVICE,
			.address = "127.0.0.1:1",
			.places = SLOTS,
			.born_ms = 1,
			.takes_work = true,
		};

		mh_dispatch_update_server(node->d, &s);
	}
}

static struct mh_slot_request slot_request_of(struct sim *sim, uint64_t id)
{
	const struct run *run = &sim->runs[id];

	return (struct mh_slot_request){
		.owner = run->entry + 1,
		.id = id,
		.service = SERVICE,
		.account = "",
		.tier = run->tier,
		.target_ns = (run->arrived_ms + 100) * MS,
		.start_by_ns = (run->arrived_ms + DEADLINE_MS) * MS,
		.deadline_ns = (run->arrived_ms + DEADLINE_MS) * MS,
	};
}

static void request_slot(struct sim *sim, uint64_t id)
{
	struct mh_slot_request slot_req = slot_request_of(sim, id);

	mh_dispatch_request_slot(sim->entries[sim->runs[id].entry].used->d,
				 &slot_req);
}

/* Tells a dispatcher, which tells all entries that use it of a change. */
static void tell(struct sim *sim, struct node *node,
		 const struct mh_server_ref *server,
		 const struct mh_server_limit *stated)
{
	uint32_t i;

	if (!node->is_up || mh_dispatch_server_limit(node->d, server, stated) !=
				    MH_LIMIT_CHANGED)
		return;
	for (i = 0; i < sim->c->entries; i++) {
		struct entry *e = &sim->entries[i];

		mh_server_notices_update_limit(e->notices, server, stated);
		mh_dispatch_server_limit(e->local.d, server, stated);
	}
}

static void on_response(struct sim *sim, struct run *run)
{
	const struct limit_case *c = sim->c;
	struct entry *e = &sim->entries[run->entry];
	struct mh_server_ref server = ref_of(run->server);
	bool has_limit = run->server < (int)c->limited &&
			 sim->now_ms >= c->named_ms &&
			 (!c->ended_ms || sim->now_ms < c->ended_ms) &&
			 !(c->flaps && sim->n_responses++ % 2);
	struct mh_server_limit stated = {
		has_limit ? c->millihz : MH_NO_LIMIT,
		(has_limit ? sim->now_ms : run->granted_ms) * MS
	};
	bool is_linked = sim->dispatchers[0].is_up || sim->dispatchers[1].is_up;

	if (has_limit && !e->told_ms[run->server])
		e->told_ms[run->server] = sim->now_ms;
	if (!has_limit && !mh_server_notices_has_limit(e->notices, &server))
		return;
	if ((has_limit || !is_linked) &&
	    mh_server_notices_update_limit(e->notices, &server, &stated) ==
		    MH_LIMIT_UNCHANGED)
		return;
	mh_dispatch_server_limit(e->local.d, &server, &stated);
	tell(sim, &sim->dispatchers[0], &server, &stated);
	tell(sim, &sim->dispatchers[1], &server, &stated);
}

static void end_runs(struct sim *sim)
{
	uint32_t i;

	while (sim->first_open < sim->n_runs &&
	       sim->runs[sim->first_open].state == ENDED)
		sim->first_open++;
	for (i = sim->first_open; i < sim->n_runs; i++) {
		struct run *run = &sim->runs[i];
		struct entry *e = &sim->entries[run->entry];
		struct node *node = e->used;

		if (run->state == WAITING &&
		    sim->now_ms >= run->arrived_ms + DEADLINE_MS) {
			run->state = ENDED;
			if (node && node->is_up)
				mh_dispatch_done(node->d, run->entry + 1, i,
						 MH_SLOT_UNUSED, 0);
		}
		if (run->state != RUNNING || sim->now_ms < run->end_ms)
			continue;
		on_response(sim, run);
		run->state = ENDED;
		if (node && node->is_up)
			mh_dispatch_done(
				node->d, run->entry + 1, i, MH_SLOT_OK,
				(uint32_t)(sim->now_ms - run->granted_ms));
	}
}

struct reporter {
	struct node *node;
};

static void report(void *data, const char *account, uint64_t grantor,
		   uint64_t units, uint32_t age_ms)
{
	struct reporter *r = data;

	mh_dispatch_add_reported_usage(r->node->d, account, grantor, units,
				       age_ms);
}

static void report_to(struct sim *sim, struct entry *e, struct node *node)
{
	struct reporter r = { node };

	if (node->is_up)
		mh_usage_relay_report(e->relay, node->incarnation,
				      sim->now_ms * MS, report, &r);
}

static void send_notice(void *data, const struct mh_server_notice *notice)
{
	struct mh_server_ref server = { notice->server, "", notice->born_ms };

	mh_dispatch_server_limit(((struct node *)data)->d, &server,
				 &notice->limit);
}

/* The entry uses another dispatcher from now on, which learns what it knows. */
static void use(struct sim *sim, uint32_t entry, struct node *node)
{
	struct entry *e = &sim->entries[entry];
	uint32_t i;

	e->used = node;
	mh_server_notices_each(e->notices, send_notice, node);
	report_to(sim, e, node);
	for (i = sim->first_open; i < sim->n_runs; i++) {
		struct run *run = &sim->runs[i];
		struct mh_slot_request slot_req = slot_request_of(sim, i);

		if (run->entry != entry || run->state == ENDED)
			continue;
		if (run->state == WAITING)
			mh_dispatch_request_slot(node->d, &slot_req);
		else
			mh_dispatch_adopt_slot(
				node->d, &slot_req, ref_of(run->server).id,
				(uint32_t)(sim->now_ms - run->granted_ms));
	}
}

static void lose(struct sim *sim, struct node *node)
{
	uint32_t i;

	if (!node->is_up)
		return;
	node->is_up = false;
	for (i = 0; i < sim->c->entries; i++) {
		struct entry *e = &sim->entries[i];

		if (e->used != node)
			continue;
		e->notice_ms =
			sim->now_ms + LOSS_MIN_MS + below(sim, LOSS_SPREAD_MS);
	}
}

static void change_dispatchers(struct sim *sim)
{
	const struct limit_case *c = sim->c;
	struct node *best;
	uint32_t i;

	if (c->lost_ms && sim->now_ms == c->lost_ms)
		lose(sim, &sim->dispatchers[0]);
	if (c->all_lost_ms && sim->now_ms == c->all_lost_ms)
		lose(sim, &sim->dispatchers[1]);
	if (c->back_ms && sim->now_ms == c->back_ms) {
		for (i = 0; i < 2; i++) {
			mh_dispatch_free(sim->dispatchers[i].d);
			start_node(sim, &sim->dispatchers[i], i + 1);
		}
	}
	best = sim->dispatchers[0].is_up ? &sim->dispatchers[0] :
	       sim->dispatchers[1].is_up ? &sim->dispatchers[1] :
					   NULL;
	for (i = 0; i < c->entries; i++) {
		struct entry *e = &sim->entries[i];

		if (e->used && !e->used->is_up && sim->now_ms >= e->notice_ms) {
			e->used = NULL;
			e->lost_ms = sim->now_ms;
		}
		if (!e->used && best)
			use(sim, i, best);
		else if (!e->used && sim->now_ms >= e->lost_ms + FALLBACK_MS)
			use(sim, i, &e->local);
		else if (e->used == &e->local && best &&
			 sim->now_ms >= c->back_ms + below(sim, 1000))
			use(sim, i, best);
	}
}

static void arrive(struct sim *sim, uint8_t tier)
{
	struct run *run = &sim->runs[sim->n_runs];

	assert_true(sim->n_runs < MAX_RUNS);
	run->entry = below(sim, sim->c->entries);
	run->tier = tier;
	run->arrived_ms = sim->now_ms;
	sim->urgent += is_counted_urgent(sim, run);
	sim->after += is_after(sim, run);
	sim->n_runs++;
	if (sim->entries[run->entry].used &&
	    sim->entries[run->entry].used->is_up)
		request_slot(sim, sim->n_runs - 1);
}

static void step(struct sim *sim)
{
	const struct limit_case *c = sim->c;
	uint32_t i;

	change_dispatchers(sim);
	if (below(sim, 1000) < c->urgent_per_s)
		arrive(sim, URGENT_TIER);
	if (below(sim, 1000) < c->per_s - c->urgent_per_s)
		arrive(sim, ROUTINE_TIER);
	end_runs(sim);
	for (i = 0; i < 2; i++) {
		if (sim->dispatchers[i].is_up)
			mh_dispatch_tick(sim->dispatchers[i].d);
	}
	for (i = 0; i < c->entries; i++) {
		struct entry *e = &sim->entries[i];

		if ((sim->now_ms + i) % REPORT_MS == 0) {
			report_to(sim, e, &sim->dispatchers[0]);
			report_to(sim, e, &sim->dispatchers[1]);
			if (e->used == &e->local)
				report_to(sim, e, &e->local);
		}
		if (e->used == &e->local)
			mh_dispatch_tick(e->local.d);
	}
	sim->now_ms++;
}

static void start(struct sim *sim)
{
	const struct limit_case *c = sim->c;
	uint32_t i;

	for (i = 0; i < 2; i++)
		start_node(sim, &sim->dispatchers[i], i + 1);
	for (i = 0; i < c->entries; i++) {
		struct entry *e = &sim->entries[i];

		start_node(sim, &e->local, 0);
		mh_dispatch_set_share(e->local.d, c->census);
		e->notices = mh_server_notices_new(&sim->clock);
		e->relay = mh_usage_relay_new(conf.quota_window_ms,
					      conf.retry_window_ms);
		e->used = &sim->dispatchers[0];
	}
	if (c->all_lost_ms == 1) {
		lose(sim, &sim->dispatchers[0]);
		lose(sim, &sim->dispatchers[1]);
	}
}

static void stop(struct sim *sim)
{
	uint32_t i;

	for (i = 0; i < 2; i++)
		mh_dispatch_free(sim->dispatchers[i].d);
	for (i = 0; i < sim->c->entries; i++) {
		mh_dispatch_free(sim->entries[i].local.d);
		mh_server_notices_free(sim->entries[i].notices);
		mh_usage_relay_free(sim->entries[i].relay);
	}
}

/* Most in any 4 s that ends 3 s after the first statement or later, of the requests
 * from half a second after it on. */
static uint32_t most_of(const struct limit_case *c, const uint32_t *arrivals,
			uint32_t end_ms)
{
	uint32_t from_ms = c->named_ms + TOLD_MS, sum = 0, most = 0, ms;

	for (ms = from_ms; ms < end_ms; ms++) {
		sum += arrivals[ms];
		if (ms >= from_ms + MH_SEND_WINDOW_MS)
			sum -= arrivals[ms - MH_SEND_WINDOW_MS];
		if (ms >= c->named_ms + SETTLE_MS && sum > most)
			most = sum;
	}
	return most;
}

static void count_arrivals(const struct sim *sim, struct limit_result *r)
{
	const struct limit_case *c = sim->c;
	uint32_t end_ms = c->ended_ms ? c->ended_ms : c->until_ms;
	uint32_t i, ms, n, total = 0;

	for (i = 0; i < c->limited; i++) {
		n = most_of(c, sim->arrivals[i], end_ms);
		r->most = n > r->most ? n : r->most;
		n = most_of(c, sim->arrivals_told[i], end_ms);
		r->most_told = n > r->most_told ? n : r->most_told;
		for (ms = c->named_ms + MH_SEND_WINDOW_MS; ms < end_ms; ms++)
			total += sim->arrivals[i][ms];
	}
	r->used = total / (c->limited * c->millihz / 1000.0 *
			   (end_ms - c->named_ms - MH_SEND_WINDOW_MS) / 1000.0);
}

struct limit_result limit_sim_run(const struct limit_case *c, uint64_t seed)
{
	struct sim *sim = calloc(1, sizeof(*sim));
	struct limit_result r = { 0 };

	assert_non_null(sim);
	sim->c = c;
	sim->now_ms = 1;
	sim->rng.state = seed;
	sim->clock = (struct mh_clock){ sim_mono, sim_wall, sim };
	start(sim);
	while (sim->now_ms < c->until_ms)
		step(sim);
	count_arrivals(sim, &r);
	r.urgent_begun =
		sim->urgent ? (double)sim->urgent_begun / sim->urgent : 1;
	r.begun_after = sim->after ? (double)sim->begun_after / sim->after : 1;
	printf("%u entries, seed %llu: most %u, told %u, used %.2f, urgent "
	       "begun %.3f, after the limit %.2f\n",
	       c->entries, (unsigned long long)seed, r.most, r.most_told,
	       r.used, r.urgent_begun, r.begun_after);
	stop(sim);
	free(sim);
	return r;
}
