/*
 * Load model: drives the dispatch core, without a network, with the load of two
 * customers (tests/dispatch_load.h) and compares policies. Clients whose request
 * is rejected come back once, through another entry.
 *
 * Usage: load_model [POLICY]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/check_alloc.h"
#include "core/dispatch.h"
#include "tests/dispatch_load.h"
#include "tests/load_report.h"

#define MS MH_NS_PER_MS
#define ENTRIES 11
#define SEEDS 3
/* A connection to a server that is down is refused after this time. */
#define UNREACHABLE_MS 2
/* Clients honour Retry-After up to this part of their remaining time. */
#define RETRY_PART 3
/* Tries at servers for one request of a client, repeatable or not sent. */
#define TRIES_MAX 4
#define ID_ATTEMPTS 2

/* The reference places nothing at a server that crashes within this time. */
#define CRASH_MARGIN_MS 1000

struct policy {
	const char *name;
	bool account_shares;
	bool returning_first;
};

static const struct policy policies[] = {
	{ .name = "today" },
	{ .name = "shares", .account_shares = true },
	{ .name = "returning", .returning_first = true },
	{ .name = "both", .account_shares = true, .returning_first = true },
};

#define N_POLICIES (sizeof(policies) / sizeof(policies[0]))

struct list {
	uint32_t *v;
	uint32_t n;
};

struct model {
	const struct load *load;
	struct mh_clock clock;
	struct mh_dispatch *d;
	struct call *calls;
	uint32_t now_ms;
	struct list running;   /* calls that hold a slot */
	struct list returning; /* calls whose clients come back */
	struct list again;     /* calls that need another server */
	uint64_t digest;
};

static uint64_t model_mono(void *data)
{
	/* The dispatcher has run for a while. */
	return (((struct model *)data)->now_ms + 100000) * MS;
}

static uint64_t model_wall(void *data)
{
	return model_mono(data) / MS;
}

static void list_add(struct list *list, uint32_t elem)
{
	list->v[list->n++] = elem;
}

static void note(struct model *m, uint64_t id, uint64_t what)
{
	uint64_t words[4] = { m->digest, m->now_ms, id, what };

	m->digest = XXH3_64bits(words, sizeof(words));
}

static const struct load_kind *kind_of(const struct model *m, uint32_t at)
{
	return &m->load->site->kinds[m->load->arrivals[at].kind];
}

static uint32_t owner_of(const struct call *call, uint32_t at)
{
	return (at + call->attempt) % ENTRIES + 1;
}

static uint64_t id_of(const struct call *call, uint32_t at)
{
	return (uint64_t)at * ID_ATTEMPTS + call->attempt;
}

static void server_id(char id[16], uint32_t server)
{
	snprintf(id, 16, "s%u", server);
}

static uint32_t remaining_ms(const struct model *m, uint32_t at)
{
	uint32_t end_ms =
		m->load->arrivals[at].at_ms + kind_of(m, at)->deadline_ms;

	return end_ms > m->now_ms ? end_ms - m->now_ms : 0;
}

/* What the entry knows of the client's request: not that it was here before. */
static void ask(struct model *m, uint32_t at)
{
	static const char *const services[] = { "model", "plain" };
	const struct load_arrival *a = &m->load->arrivals[at];
	const struct load_kind *k = kind_of(m, at);
	struct call *call = &m->calls[at];
	uint32_t begin_ms = call->attempt ? call->back_ms : a->at_ms;
	uint32_t end_ms = a->at_ms + k->deadline_ms;
	struct mh_route route = { .tier = k->tier };
	struct mh_slot_request slot_req = {
		.owner = owner_of(call, at),
		.id = id_of(call, at),
		.service = services[k->service],
		.prompt_tokens = a->prompt_tokens,
		.output_tokens = a->output_tokens,
		.fingerprint = XXH3_64bits(&at, sizeof(at)),
		.is_repeat = call->tries > 0,
		.is_repeatable = k->is_repeatable,
		.tier = mh_dispatch_tier(NULL, &route),
	};
	char account[16], avoid[16];

	if (end_ms > begin_ms + k->timeout_ms)
		end_ms = begin_ms + k->timeout_ms;
	snprintf(account, sizeof(account), "account-%u", a->account);
	slot_req.account = account;
	slot_req.target_ns = (begin_ms + 100000ull + k->target_ms) * MS;
	slot_req.deadline_ns = (end_ms + 100000ull) * MS;
	slot_req.start_by_ns = slot_req.deadline_ns;
	if (call->tries) {
		server_id(avoid, call->server);
		slot_req.avoid[slot_req.n_avoid++] = avoid;
	}
	call->state = CALL_WAITING;
	mh_dispatch_request_slot(m->d, &slot_req);
}

static void on_grant(void *data, uint32_t owner, uint64_t id,
		     const struct mh_backend_server *server)
{
	struct model *m = data;
	uint32_t at = (uint32_t)(id / ID_ATTEMPTS);
	const struct load_arrival *a = &m->load->arrivals[at];
	struct call *call = &m->calls[at];
	const struct load_server *s;

	(void)owner;
	call->state = CALL_RUNNING;
	call->server = (uint32_t)atoi(server->id + 1);
	s = &m->load->servers[call->server];
	call->placed_ms = m->now_ms;
	call->answered = false;
	call->tries++;
	call->first_ms = load_work_end(s, m->now_ms, a->first_ms);
	call->ends_ms = load_work_end(s, m->now_ms, a->run_ms);
	list_add(&m->running, at);
	note(m, id, call->server);
}

static void on_refuse(void *data, uint32_t owner, uint64_t id,
		      const struct mh_slot_refusal *why)
{
	struct model *m = data;
	uint32_t at = (uint32_t)(id / ID_ATTEMPTS);
	struct call *call = &m->calls[at];
	uint32_t left_ms = remaining_ms(m, at);
	uint32_t delay_ms = why->retry_after_ms;

	(void)owner;
	note(m, id, 1000 + why->retry_after_ms);
	call->state = CALL_ENDED;
	/* One that was sent to a server before gets a 502 or 504. */
	if (call->tries && why->error == MH_ERR_RETRY_BUDGET)
		return;
	call->rejections++;
	if (call->attempt || !left_ms)
		return;
	if (delay_ms > left_ms / RETRY_PART)
		delay_ms = left_ms / RETRY_PART;
	call->state = CALL_BACK;
	call->back_ms = m->now_ms + delay_ms + 1;
	list_add(&m->returning, at);
}

static void on_move(void *data, uint32_t owner, uint64_t id)
{
	(void)data;
	(void)owner;
	(void)id;
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

static const struct mh_dispatch_ops model_ops = { on_grant, on_refuse,	on_move,
						  on_lost,  on_suspect, NULL };

static void end_call(struct model *m, uint32_t at, enum mh_slot_outcome outcome)
{
	struct call *call = &m->calls[at];

	call->state = CALL_ENDED;
	mh_dispatch_done(m->d, owner_of(call, at), id_of(call, at), outcome,
			 m->now_ms - call->placed_ms);
}

/* A try failed: its entry asks for another slot if it may. */
static void fail_try(struct model *m, uint32_t at, enum mh_slot_outcome outcome)
{
	struct call *call = &m->calls[at];
	bool again =
		call->tries < TRIES_MAX && (outcome == MH_SLOT_UNREACHABLE ||
					    kind_of(m, at)->is_repeatable);

	end_call(m, at, outcome);
	if (again)
		list_add(&m->again, at);
}

static void first_byte(struct model *m, uint32_t at)
{
	const struct load_arrival *a = &m->load->arrivals[at];
	struct call *call = &m->calls[at];

	call->answered = true;
	call->in_target = m->now_ms <= a->at_ms + kind_of(m, at)->target_ms;
	call->in_target_again =
		m->now_ms <= (call->attempt ? call->back_ms : a->at_ms) +
				     kind_of(m, at)->target_ms;
	mh_dispatch_first_byte(m->d, owner_of(call, at), id_of(call, at),
			       m->now_ms - call->placed_ms);
}

/* Return: whether the call holds its slot yet. */
static bool step_call(struct model *m, uint32_t at)
{
	struct call *call = &m->calls[at];
	const struct load_server *s = &m->load->servers[call->server];

	if (load_is_down(s, m->now_ms)) {
		if (call->placed_ms < s->down_from_ms) {
			fail_try(m, at, MH_SLOT_LOST);
			return false;
		}
		if (m->now_ms < call->placed_ms + UNREACHABLE_MS)
			return true;
		fail_try(m, at, MH_SLOT_UNREACHABLE);
		return false;
	}
	if (!remaining_ms(m, at)) {
		end_call(m, at, MH_SLOT_CANCELLED);
		return false;
	}
	if (!call->answered && m->now_ms >= call->first_ms)
		first_byte(m, at);
	if (m->now_ms < call->ends_ms)
		return true;
	call->served = true;
	end_call(m, at, MH_SLOT_OK);
	return false;
}

static void step_running(struct model *m)
{
	struct list old = m->running;
	uint32_t i, n = 0;

	for (i = 0; i < old.n; i++) {
		if (step_call(m, old.v[i]))
			m->running.v[n++] = old.v[i];
	}
	m->running.n = n;
}

static void step_returning(struct model *m)
{
	uint32_t i, n = 0, count = m->returning.n;

	for (i = 0; i < count; i++) {
		uint32_t at = m->returning.v[i];

		if (m->calls[at].back_ms > m->now_ms) {
			m->returning.v[n++] = at;
			continue;
		}
		m->calls[at].attempt++;
		m->calls[at].tries = 0;
		if (remaining_ms(m, at))
			ask(m, at);
		else
			m->calls[at].state = CALL_ENDED;
	}
	/* Requests that were rejected meanwhile are behind the others. */
	memmove(m->returning.v + n, m->returning.v + count,
		(m->returning.n - count) * sizeof(*m->returning.v));
	m->returning.n -= count - n;
}

static void step_again(struct model *m)
{
	uint32_t i, n = m->again.n;

	m->again.n = 0;
	for (i = 0; i < n; i++)
		ask(m, m->again.v[i]);
}

static void update_server(struct model *m, uint32_t server, uint64_t born_ms)
{
	static const char *const services[] = { "model", "plain" };
	const struct load_server *s = &m->load->servers[server];
	char id[16];
	struct mh_backend_server info = {
		.id = id,
		.service = services[s->service],
		.address = "127.0.0.1:1",
		.places = s->slots,
		.born_ms = born_ms,
		.takes_work = true,
	};

	server_id(id, server);
	mh_dispatch_update_server(m->d, &info);
}

static const struct mh_dispatch_conf model_conf = {
	.retry_ratio = 0.1,
	.retry_extra = 20,
	.retry_window_ms = 10000,
	.quota_window_ms = 10000,
	.quota_excess = 0.1,
	.quota_slack = 1000,
};

static void start(struct model *m, const struct load *load,
		  const struct policy *policy, uint64_t seed)
{
	struct mh_dispatch_conf conf = model_conf;
	uint32_t n = load->n_arrivals, i;
	char account[16];

	conf.account_shares = policy->account_shares;
	conf.returning_first = policy->returning_first;
	memset(m, 0, sizeof(*m));
	m->load = load;
	m->clock = (struct mh_clock){ model_mono, model_wall, m };
	m->calls = mh_check_alloc(calloc(n, sizeof(*m->calls)));
	m->running.v = mh_check_alloc(calloc(n, sizeof(uint32_t)));
	m->returning.v = mh_check_alloc(calloc(n, sizeof(uint32_t)));
	m->again.v = mh_check_alloc(calloc(n, sizeof(uint32_t)));
	m->d = mh_dispatch_new(&conf, &m->clock, seed, &model_ops, m);
	mh_dispatch_set_grantor(m->d, 1);
	mh_dispatch_set_service(
		m->d, &(struct mh_dispatch_service_conf){
			      "model", load->servers[0].slots, true });
	mh_dispatch_set_service(
		m->d, &(struct mh_dispatch_service_conf){
			      "plain", load->servers[load->n_servers - 1].slots,
			      false });
	/* The requests charge no units, so that no account is near its quota. */
	for (i = 0; i < LOAD_ACCOUNTS; i++) {
		snprintf(account, sizeof(account), "account-%u", i);
		mh_dispatch_set_quota(m->d, account, 1e6 * load->weights[i], 0);
	}
	for (i = 0; i < load->n_servers; i++)
		update_server(m, i, 1);
}

static void play(struct model *m)
{
	const struct load *load = m->load;
	uint32_t next = 0, i;

	for (; m->now_ms < LOAD_MS + LOAD_DRAIN_MS; m->now_ms++) {
		for (i = 0; i < load->n_servers; i++) {
			if (load->servers[i].down_until_ms == m->now_ms)
				update_server(m, i, m->now_ms);
		}
		step_running(m);
		step_returning(m);
		step_again(m);
		while (next < load->n_arrivals &&
		       load->arrivals[next].at_ms == m->now_ms)
			ask(m, next++);
		mh_dispatch_tick(m->d);
	}
}

static void release(struct model *m)
{
	mh_dispatch_free(m->d);
	free(m->calls);
	free(m->running.v);
	free(m->returning.v);
	free(m->again.v);
}

/* ---- reference with exact knowledge ---- */

struct job {
	uint32_t at;
	double key;
	bool late; /* can't meet its target */
};

static int by_key(const void *a, const void *b)
{
	const struct job *x = a, *y = b;

	if (x->late != y->late)
		return x->late - y->late;
	return (x->key > y->key) - (x->key < y->key);
}

/* Quickest server of the service with a free slot that does not crash soon. */
static int quickest(const struct load *load, enum load_service service,
		    const uint32_t *held, uint32_t now_ms)
{
	double least = 0;
	int best = -1;
	uint32_t i;

	for (i = 0; i < load->n_servers; i++) {
		const struct load_server *s = &load->servers[i];
		double slowness = s->slowness * load_pace(s, now_ms);

		if (s->service != service || held[i] >= s->slots ||
		    (now_ms + CRASH_MARGIN_MS >= s->down_from_ms &&
		     now_ms < s->down_until_ms) ||
		    (best >= 0 && slowness >= least))
			continue;
		best = (int)i;
		least = slowness;
	}
	return best;
}

struct exact {
	const struct load *load;
	struct call *calls;
	struct job *jobs; /* that wait */
	uint32_t n_jobs;
	uint32_t next; /* arrival */
	struct list running;
	uint32_t held[LOAD_SERVERS_MAX];
	uint32_t now_ms;
	bool shortest_first;
};

static void exact_end_runs(struct exact *x)
{
	uint32_t i, n = 0;

	for (i = 0; i < x->running.n; i++) {
		struct call *call = &x->calls[x->running.v[i]];

		if (call->ends_ms > x->now_ms)
			x->running.v[n++] = x->running.v[i];
		else
			x->held[call->server]--;
	}
	x->running.n = n;
}

static void exact_sort(struct exact *x)
{
	uint32_t i;

	for (i = 0; i < x->n_jobs; i++) {
		const struct load_arrival *a =
			&x->load->arrivals[x->jobs[i].at];
		const struct load_kind *k = &x->load->site->kinds[a->kind];

		x->jobs[i].key = a->at_ms + k->target_ms - a->first_ms;
		x->jobs[i].late = x->jobs[i].key < x->now_ms;
		if (x->jobs[i].late || x->shortest_first)
			x->jobs[i].key = a->run_ms;
	}
	qsort(x->jobs, x->n_jobs, sizeof(*x->jobs), by_key);
}

/* Return: whether the job waits on. */
static bool exact_place(struct exact *x, uint32_t at)
{
	const struct load_arrival *a = &x->load->arrivals[at];
	const struct load_kind *k = &x->load->site->kinds[a->kind];
	struct call *call = &x->calls[at];
	int s = quickest(x->load, k->service, x->held, x->now_ms);
	uint32_t ends_ms;

	if (s < 0) {
		call->rejections = x->now_ms >= a->at_ms + k->deadline_ms;
		return !call->rejections;
	}
	ends_ms = load_work_end(&x->load->servers[s], x->now_ms, a->run_ms);
	call->rejections = ends_ms > a->at_ms + k->deadline_ms;
	if (call->rejections)
		return false;
	x->held[s]++;
	call->server = (uint32_t)s;
	call->served = true;
	call->ends_ms = ends_ms;
	call->in_target = load_work_end(&x->load->servers[s], x->now_ms,
					a->first_ms) <= a->at_ms + k->target_ms;
	list_add(&x->running, at);
	return false;
}

/*
 * On exact service times and without tiers, the earliest latest start or the
 * shortest run first; requests that can't meet their target come after all that
 * can, the shortest first. Nothing is lost with a server, and clients wait
 * instead of coming back.
 */
static void play_exact(struct exact *x)
{
	const struct load *load = x->load;
	uint32_t i, n;

	for (; x->now_ms < LOAD_MS + LOAD_DRAIN_MS; x->now_ms++) {
		exact_end_runs(x);
		while (x->next < load->n_arrivals &&
		       load->arrivals[x->next].at_ms == x->now_ms)
			x->jobs[x->n_jobs++].at = x->next++;
		exact_sort(x);
		for (i = n = 0; i < x->n_jobs; i++) {
			if (exact_place(x, x->jobs[i].at))
				x->jobs[n++] = x->jobs[i];
		}
		x->n_jobs = n;
	}
}

static const char *const exact_names[] = { "exact-earliest", "exact-shortest" };

#define N_EXACT 2

static void run_exact(const struct load *load, uint64_t seed, size_t order,
		      struct load_summary *summary)
{
	uint32_t n = load->n_arrivals;
	struct exact x = {
		.load = load,
		.shortest_first = order,
		.calls = mh_check_alloc(calloc(n, sizeof(*x.calls))),
		.jobs = mh_check_alloc(calloc(n, sizeof(*x.jobs))),
		.running = { mh_check_alloc(calloc(n, sizeof(uint32_t))), 0 },
	};

	play_exact(&x);
	load_report_print(load, x.calls, exact_names[order], seed, 0, summary);
	free(x.calls);
	free(x.jobs);
	free(x.running.v);
}

static void run_policy(const struct load *load, uint64_t seed,
		       const struct policy *policy,
		       struct load_summary *summary)
{
	struct model m;

	start(&m, load, policy, seed);
	play(&m);
	load_report_print(load, m.calls, policy->name, seed, m.digest, summary);
	release(&m);
}

static void run_site(const struct load_site *site, const char *only)
{
	struct load_summary sums[N_POLICIES + N_EXACT] = { 0 };
	uint64_t seed;
	size_t i;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct load load;

		load_init(&load, site, seed);
		for (i = 0; i < N_POLICIES; i++) {
			if (!only || !strcmp(only, policies[i].name))
				run_policy(&load, seed, &policies[i], &sums[i]);
		}
		for (i = 0; i < N_EXACT; i++) {
			if (!only || !strcmp(only, "exact"))
				run_exact(&load, seed, i,
					  &sums[N_POLICIES + i]);
		}
		load_release(&load);
	}
	for (i = 0; i < N_POLICIES; i++)
		load_report_print_summary(site->name, policies[i].name,
					  &sums[i]);
	for (i = 0; i < N_EXACT; i++)
		load_report_print_summary(site->name, exact_names[i],
					  &sums[N_POLICIES + i]);
}

int main(int argc, char **argv)
{
	size_t i;

	for (i = 0; i < LOAD_SITES; i++)
		run_site(&load_sites[i], argc > 1 ? argv[1] : NULL);
	return 0;
}
