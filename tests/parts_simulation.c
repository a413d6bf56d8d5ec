#include "tests/parts_simulation.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/dispatch.h"

#define MS MH_NS_PER_MS
#define SERVICE "pool"
#define SLOTS 4
#define SUBJECTS 40
#define MAX_RUNS 65536
#define SETTLED_MS 3000
#define COUNTED_CRASHES 5
#define CONNECT_MS 1
#define DOWN_MS 3000
#define GONE_MS 1000
#define CRASH_MIN_MS 80
#define CRASH_SPREAD_MS 45
#define RUN_MIN_MS 40
#define RUN_SPREAD_MS 700
#define INSTANT_MS 2
#define FIRST_MIN_MS 5
#define FIRST_SPREAD_MS 60
#define DEADLINE_MS 5000
#define MAX_ATTEMPTS 2
/* Beside further ones. */
#define PART_MAX 4
#define MAX_MESSAGES 16384 /* on their way at a time */

enum state { WAITING, RUNNING, ENDED };

struct run {
	uint32_t entry;
	uint32_t node;
	bool is_bad;
	uint32_t bad_part; /* number of the one that it has */
	bool was_companion;
	bool refused;
	enum state state;
	uint32_t attempts;
	uint64_t fingerprint;
	uint64_t parts[MH_PARTS_MAX];
	uint32_t n_parts;
	uint64_t arrived_ms;
	uint64_t waited_ms; /* of the first attempt */
	int server;
	uint32_t incarnation;
	uint64_t first_ms; /* of its response, 0: sent already */
	uint64_t end_ms;
	uint64_t lost_ms; /* when its connection breaks, 0: not */
	uint64_t probed_ms;
	bool reached;
};

struct server {
	uint32_t generation;
	bool up;
	bool listed;
	uint64_t unlisted_ms; /* when its registration ends */
	uint64_t back_ms;
};

/* What a node tells the others of a suspect, until it arrives. */
struct message {
	uint64_t due_ms;
	uint32_t from;
	struct mh_suspect record;
};

struct sim;

struct node {
	struct sim *sim;
	uint32_t number;
	struct mh_dispatch *d;
};

struct sim {
	const struct sim_case *c;
	uint64_t now_ms;
	struct mh_clock clock;
	struct mh_rng rng;
	struct node nodes[SIM_MAX_NODES + 2];
	uint32_t n_nodes;
	uint32_t in_use; /* dispatcher, of 0 and 1 */
	bool is_dispatcher_lost;
	bool is_splitting;
	bool is_split;
	bool all_lost;
	struct server servers[SIM_MAX_SERVERS];
	struct message messages[MAX_MESSAGES];
	uint32_t n_messages;  /* ever sent */
	uint32_t n_delivered; /* those of them that arrived */
	struct run *runs;
	uint32_t n_runs;
	uint32_t n_bad;
	uint32_t n_of_kind[2]; /* sound and bad ones that came */
	uint32_t oldest;       /* that has not ended */
	/* By bad part: crashes, runs later than allowed, and when the fifth
	 * crash was, 0: not yet. */
	uint32_t crashed[SIM_MAX_BAD_PARTS];
	uint32_t late[SIM_MAX_BAD_PARTS];
	uint64_t fifth_ms[SIM_MAX_BAD_PARTS];
	uint64_t
		last_ms; /* when the last crash was, of those up to the fifth */
	struct sim_result result;
};

static uint32_t below(struct sim *sim, uint32_t n)
{
	return (uint32_t)(mh_rng_next(&sim->rng) % n);
}

static uint64_t mono_ns(void *data)
{
	return ((struct sim *)data)->now_ms * MS;
}

static uint64_t wall_ms(void *data)
{
	return ((struct sim *)data)->now_ms;
}

static void name_of(const struct sim *sim, uint32_t i, char name[32])
{
	snprintf(name, 32, "s%u-%u", i, sim->servers[i].generation);
}

static void grant(void *data, uint32_t owner, uint64_t id,
		  const struct mh_backend_server *server)
{
	struct node *node = data;
	struct sim *sim = node->sim;
	struct run *run = &sim->runs[id];
	uint32_t i, generation;
	bool lives;

	(void)owner;
	if (run->state != WAITING || run->node != node->number)
		return;
	sscanf(server->id, "s%u-%u", &i, &generation);
	lives = sim->servers[i].up && sim->servers[i].generation == generation;
	run->state = RUNNING;
	if (!run->attempts)
		run->waited_ms = sim->now_ms - run->arrived_ms;
	run->server = (int)i;
	run->incarnation = generation;
	run->lost_ms = run->first_ms = run->probed_ms = 0;
	run->reached = lives;
	if (!lives) {
		run->end_ms = sim->now_ms + CONNECT_MS;
		return;
	}
	run->first_ms =
		sim->now_ms + FIRST_MIN_MS + below(sim, FIRST_SPREAD_MS);
	run->end_ms = run->first_ms + RUN_MIN_MS + below(sim, RUN_SPREAD_MS);
	if (sim->c->instant) {
		run->first_ms = sim->now_ms + 1;
		run->end_ms = sim->now_ms + INSTANT_MS;
	}
	if (run->is_bad && sim->now_ms >= sim->c->bad_from_ms) {
		run->end_ms = 0;
		run->lost_ms = run->first_ms + CRASH_MIN_MS +
			       below(sim, CRASH_SPREAD_MS);
		if (sim->fifth_ms[run->bad_part] &&
		    sim->now_ms > sim->fifth_ms[run->bad_part] + SETTLED_MS)
			sim->late[run->bad_part]++;
	} else if (sim->c->ends == SIM_ENDS_CUTS && !below(sim, 10)) {
		run->probed_ms = run->lost_ms = run->first_ms + 20;
	}
}

static void refuse(void *data, uint32_t owner, uint64_t id,
		   const struct mh_slot_refusal *why)
{
	struct node *node = data;
	struct run *run = &node->sim->runs[id];

	(void)owner;
	run->state = ENDED;
	if (why->error != MH_ERR_CRASHES_SERVERS)
		return;
	run->refused = true;
	if (run->is_bad)
		node->sim->result.bad_refused++;
	else
		node->sim->result.sound_refused++;
}

static void move(void *data, uint32_t owner, uint64_t id)
{
	(void)data;
	(void)owner;
	(void)id;
}

static void lost(void *data, const struct mh_lost_run *run)
{
	(void)data;
	(void)run;
}

static void suspect(void *data, const struct mh_suspect *record)
{
	struct node *node = data;
	struct sim *sim = node->sim;

	assert(sim->n_messages - sim->n_delivered < MAX_MESSAGES);
	sim->messages[sim->n_messages++ % MAX_MESSAGES] = (struct message){
		sim->now_ms + sim->c->share_ms,
		node->number,
		*record,
	};
}

static void deliver_messages(struct sim *sim)
{
	while (sim->n_delivered < sim->n_messages) {
		const struct message *msg =
			&sim->messages[sim->n_delivered % MAX_MESSAGES];
		uint32_t i;

		if (sim->now_ms < msg->due_ms)
			return;
		for (i = 0; i < sim->n_nodes; i++) {
			if (i != msg->from)
				mh_dispatch_merge_suspect(sim->nodes[i].d,
							  &msg->record);
		}
		sim->n_delivered++;
	}
}

static const struct mh_dispatch_ops ops = { grant,   refuse, move, lost,
					    suspect, NULL,   NULL };

static void list_server(struct sim *sim, uint32_t i, bool is_gone)
{
	struct mh_backend_server s = {
		.service = SERVICE,
		.address = "127.0.0.1:1",
		.places = SLOTS,
		.born_ms = 1,
		.takes_work = !is_gone,
		.is_gone = is_gone,
	};
	char name[32];
	uint32_t n;

	name_of(sim, i, name);
	s.id = name;
	for (n = 0; n < sim->n_nodes; n++)
		mh_dispatch_update_server(sim->nodes[n].d, &s);
}

/* Entry e has node 2 + e, which it uses without a dispatcher. */
static uint32_t node_for(const struct sim *sim, uint32_t entry)
{
	if (sim->c->alone || sim->all_lost)
		return 2 + entry;
	return sim->is_split ? entry % 2 : sim->in_use;
}

static struct mh_slot_request slot_request(const struct sim *sim, uint32_t id)
{
	const struct run *run = &sim->runs[id];
	uint64_t deadline_ns = (run->arrived_ms + DEADLINE_MS) * MS;

	return (struct mh_slot_request){
		.owner = run->entry,
		.id = id,
		.service = SERVICE,
		.account = "",
		.target_ns = run->arrived_ms * MS + 500 * MS,
		.start_by_ns = deadline_ns,
		.deadline_ns = deadline_ns,
		.fingerprint = run->fingerprint,
		.n_parts = run->n_parts,
		.parts = run->parts,
		.is_repeat = run->attempts > 0,
	};
}

static void ask(struct sim *sim, uint32_t id)
{
	struct run *run = &sim->runs[id];
	struct mh_slot_request slot_req = slot_request(sim, id);

	run->state = WAITING;
	run->node = node_for(sim, run->entry);
	mh_dispatch_request_slot(sim->nodes[run->node].d, &slot_req);
}

static void add_part(struct run *run, uint64_t part)
{
	if (part != SIM_NONE)
		run->parts[run->n_parts++] = part;
}

static void add_further_parts(struct sim *sim, struct run *run)
{
	const struct sim_case *c = sim->c;
	uint64_t first = SIM_FURTHER;
	uint32_t i;

	assert(c->further + PART_MAX <= MH_PARTS_MAX);
	if (c->conversations)
		first += (uint64_t)(sim->n_of_kind[run->is_bad]++ /
				    c->conversations)
			 << 16;
	for (i = 0; i < c->further; i++)
		add_part(run, first + i);
}

static void arrive(struct sim *sim, bool is_bad)
{
	const struct sim_case *c = sim->c;
	uint32_t id = sim->n_runs++;
	struct run *run = &sim->runs[id];
	uint64_t subject = SIM_SUBJECT + below(sim, SUBJECTS);

	assert(id < MAX_RUNS);
	run->is_bad = is_bad;
	run->entry = below(sim, c->entries);
	run->fingerprint = mh_rng_next(&sim->rng) | 1;
	run->arrived_ms = sim->now_ms;
	if (!c->further_last)
		add_further_parts(sim, run);
	if (is_bad) {
		run->bad_part = c->bad_parts ?
					(c->in_step ? sim->n_bad++ : id) %
						c->bad_parts :
					0;
		add_part(run, c->first);
		if (c->in_step)
			add_part(run, SIM_COMPANION + run->bad_part);
		if (!c->whole)
			add_part(run, SIM_BAD + run->bad_part);
		add_part(run, subject);
	} else {
		run->was_companion = c->companion_from_ms &&
				     sim->now_ms >= c->companion_from_ms &&
				     id % 4 == 0;
		add_part(run,
			 run->was_companion ? SIM_COMPANION : c->sound_first);
		if (c->in_step)
			add_part(run, SIM_COMPANION + below(sim, c->bad_parts));
		add_part(run, subject);
	}
	if (c->further_last)
		add_further_parts(sim, run);
	ask(sim, id);
}

static void arrivals(struct sim *sim)
{
	if (below(sim, 1000) < sim->c->sound_per_s)
		arrive(sim, false);
	if (below(sim, 1000) < sim->c->bad_per_s)
		arrive(sim, true);
}

static void end_server(struct sim *sim, uint32_t i)
{

	struct server *s = &sim->servers[i];
	uint32_t id;

	if (!s->up)
		return;
	s->up = false;
	s->unlisted_ms = sim->now_ms + GONE_MS;
	s->back_ms = sim->now_ms + DOWN_MS + below(sim, 1000);
	for (id = sim->oldest; id < sim->n_runs; id++) {
		struct run *run = &sim->runs[id];

		if (run->state == RUNNING && run->server == (int)i &&
		    run->reached && run->incarnation == s->generation)
			run->lost_ms = sim->now_ms + below(sim, 3);
	}
}

static void crash(struct sim *sim, uint32_t i, uint32_t bad_part)
{
	if (!sim->servers[i].up)
		return;
	end_server(sim, i);
	if (++sim->crashed[bad_part] <= COUNTED_CRASHES)
		sim->last_ms = sim->now_ms;
	if (sim->crashed[bad_part] == COUNTED_CRASHES)
		sim->fifth_ms[bad_part] = sim->now_ms;
	if (++sim->result.crashed == sim->c->dispatcher_lost_at)
		sim->is_dispatcher_lost = true;
	if (sim->result.crashed == sim->c->split_at)
		sim->is_splitting = true;
}

static void revive_servers(struct sim *sim)
{
	uint32_t i;

	for (i = 0; i < sim->c->servers; i++) {
		struct server *s = &sim->servers[i];

		if (s->up)
			continue;
		if (s->listed && sim->now_ms >= s->unlisted_ms) {
			s->listed = false;
			list_server(sim, i, true);
		}
		if (sim->now_ms < s->back_ms)
			continue;
		s->generation++;
		s->up = s->listed = true;
		list_server(sim, i, false);
	}
}

static void end_run(struct sim *sim, uint32_t id, enum mh_slot_outcome outcome)
{
	struct run *run = &sim->runs[id];
	uint32_t owner = run->entry;

	run->state = ENDED;
	mh_dispatch_done(sim->nodes[run->node].d, owner, id, outcome, 50);
	if (outcome == MH_SLOT_OK)
		return;
	if (outcome == MH_SLOT_LOST)
		run->attempts++;
	if (run->attempts < MAX_ATTEMPTS &&
	    sim->now_ms + 100 < run->arrived_ms + DEADLINE_MS)
		ask(sim, id);
}

static void step_run(struct sim *sim, uint32_t id)
{
	struct run *run = &sim->runs[id];
	struct mh_dispatch *d = sim->nodes[run->node].d;
	char name[32];

	if (run->state != RUNNING)
		return;
	if (run->lost_ms && sim->now_ms >= run->lost_ms) {
		uint32_t i = (uint32_t)run->server;

		if (run->is_bad && sim->servers[i].up &&
		    sim->servers[i].generation == run->incarnation)
			crash(sim, i, run->bad_part);
		name_of(sim, i, name);
		end_run(sim, id, MH_SLOT_LOST);
		if (run->probed_ms)
			mh_dispatch_server_probed(d, name);
		return;
	}
	if (run->first_ms && sim->now_ms >= run->first_ms) {
		run->first_ms = 0;
		mh_dispatch_first_byte(d, run->entry, id, 20);
	}
	if (run->end_ms && sim->now_ms >= run->end_ms)
		end_run(sim, id,
			run->reached ? MH_SLOT_OK : MH_SLOT_UNREACHABLE);
}

static void end_servers(struct sim *sim)
{
	uint32_t i, n = sim->c->servers, first;

	switch (sim->c->ends) {
	case SIM_ENDS_DOMAIN:
		if (sim->now_ms % 2000 != 1000)
			return;
		first = below(sim, 3) * (n / 3);
		for (i = first; i < first + n / 3; i++)
			end_server(sim, i);
		break;
	case SIM_ENDS_SINGLE:
		if (sim->now_ms % 300 == 0)
			end_server(sim, below(sim, n));
		break;
	default:
		break;
	}
}

/* Requests move to other nodes, which take over the slots that they hold. */
static void move_requests(struct sim *sim)
{
	uint32_t id;
	char name[32];

	for (id = sim->oldest; id < sim->n_runs; id++) {
		struct run *run = &sim->runs[id];
		struct mh_slot_request slot_req = slot_request(sim, id);

		if (run->state == ENDED)
			continue;
		run->node = node_for(sim, run->entry);
		if (run->state == WAITING) {
			mh_dispatch_request_slot(sim->nodes[run->node].d,
						 &slot_req);
			continue;
		}
		snprintf(name, sizeof(name), "s%d-%u", run->server,
			 run->incarnation);
		mh_dispatch_adopt_slot(sim->nodes[run->node].d, &slot_req, name,
				       5);
	}
}

static void change_dispatchers(struct sim *sim)
{
	if (sim->is_dispatcher_lost) {
		sim->is_dispatcher_lost = false;
		sim->in_use = 1;
		move_requests(sim);
	}
	if (sim->is_splitting) {
		sim->is_splitting = false;
		sim->is_split = true;
		move_requests(sim);
	}
	if (sim->c->all_lost_ms && sim->now_ms == sim->c->all_lost_ms) {
		sim->all_lost = true;
		move_requests(sim);
	}
}

static void count(struct sim *sim)
{
	uint64_t sum_ms = 0, n = 0;
	uint32_t id, i;

	for (i = 0; i < SIM_MAX_BAD_PARTS; i++) {
		if (sim->late[i] > sim->result.late)
			sim->result.late = sim->late[i];
	}
	for (id = 0; id < sim->n_runs; id++) {
		const struct run *run = &sim->runs[id];
		bool begun = run->reached && !run->refused && !run->attempts;

		if (run->is_bad)
			continue;
		if (begun) {
			sum_ms += run->waited_ms;
			n++;
		}
		if (begun && run->waited_ms > sim->result.longest_wait_ms)
			sim->result.longest_wait_ms = (uint32_t)run->waited_ms;
		if (run->arrived_ms > sim->last_ms + 2 * SETTLED_MS) {
			sim->result.sound++;
			sim->result.sound_begun += begun;
		}
		if (run->was_companion &&
		    run->arrived_ms + 2500 > sim->now_ms &&
		    run->arrived_ms + 500 < sim->now_ms) {
			sim->result.companion++;
			sim->result.companion_begun += begun;
		}
	}
	sim->result.mean_wait_ms = (uint32_t)(n ? sum_ms / n : 0);
}

static void add_nodes(struct sim *sim)
{
	static const struct mh_dispatch_conf conf = {
		.retry_ratio = 1,
		.retry_extra = 1000,
		.retry_window_ms = 1000,
		.quota_window_ms = 8000,
		.quota_excess = 0.1,
		.quota_slack = 1000,
	};
	struct mh_dispatch_service_conf service = { SERVICE, SLOTS, false };
	uint32_t i;

	sim->n_nodes = 2 + sim->c->entries;
	for (i = 0; i < sim->n_nodes; i++) {
		struct node *node = &sim->nodes[i];

		node->sim = sim;
		node->number = i;
		node->d = mh_dispatch_new(&conf, &sim->clock,
					  mh_rng_next(&sim->rng), &ops, node);
		mh_dispatch_set_service(node->d, &service);
		if (i >= 2)
			mh_dispatch_set_share(node->d, sim->c->entries);
	}
}

struct sim_result sim_run(const struct sim_case *c, uint64_t seed)
{
	struct sim *sim = calloc(1, sizeof(*sim));
	struct sim_result result;
	uint64_t end_ms;
	uint32_t i;

	sim->c = c;
	sim->rng.state = seed;
	sim->now_ms = 10000;
	end_ms = sim->now_ms + c->seconds * 1000;
	sim->clock = (struct mh_clock){ mono_ns, wall_ms, sim };
	sim->runs = calloc(MAX_RUNS, sizeof(*sim->runs));
	add_nodes(sim);
	for (i = 0; i < c->servers; i++) {
		sim->servers[i].up = sim->servers[i].listed = true;
		list_server(sim, i, false);
	}
	for (; sim->now_ms < end_ms; sim->now_ms++) {
		uint32_t id;

		revive_servers(sim);
		end_servers(sim);
		arrivals(sim);
		change_dispatchers(sim);
		for (id = sim->oldest; id < sim->n_runs; id++)
			step_run(sim, id);
		deliver_messages(sim);
		while (sim->oldest < sim->n_runs &&
		       sim->runs[sim->oldest].state == ENDED)
			sim->oldest++;
		for (i = 0; i < sim->n_nodes; i++)
			mh_dispatch_tick(sim->nodes[i].d);
	}
	count(sim);
	for (i = 0; i < sim->n_nodes; i++)
		mh_dispatch_free(sim->nodes[i].d);
	result = sim->result;
	free(sim->runs);
	free(sim);
	return result;
}
