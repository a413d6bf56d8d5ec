/*
 * Roll-outs at the dispatcher: which servers a request may go to, and what became
 * of it. The decisions are those of core/rollout.h.
 */
#include <stdlib.h>
#include <string.h>

#include "core/dispatch_impl.h"

/* A canary goes before all other servers. */
#define CANARY_COST (-1000.0)
/* Servers of the target that have canary requests at a time: some, and one in so
 * many, so that one slow machine does not decide. After a while others are used.
 */
#define MIN_CANARIES 2
#define SERVERS_PER_CANARY 16
#define ROTATION_NS (2000 * MH_NS_PER_MS)
/* Weight of a server's latency ratio in the choice of canaries, and its greatest
 * value there: slow machines are left out as far as for regular requests. */
#define LATENCY_COST 300.0
#define MAX_LATENCY_COST 900.0
/* A server whose share of slow responses is this many times that of the others of
 * its version is a slow machine. It takes some responses to tell. */
#define SLOW_MACHINE_FACTOR 4
#define SLOW_MACHINE_MIN_SLOW 2
#define SLOW_MACHINE_MIN_OTHERS 6
/* Interval of the ticks of an active roll-out. */
#define TICK_NS (50 * MH_NS_PER_MS)
/* Connections of one server that break within this time broke together: they
 * count as one failure, since the next ones don't depend on their number. */
#define LOST_TOGETHER_NS (200 * MH_NS_PER_MS)

void mh_dispatch_set_rollouts(struct mh_dispatch *d, struct mh_rollouts *set)
{
	d->rollouts = set;
}

bool mh_dispatch_version_serves(const struct mh_dispatch *d,
				const struct server *s)
{
	return mh_rollouts_serves(d->rollouts, s->info.service,
				  s->info.version);
}

/* Canary requests fill one server to the load of a regular one before the next
 * gets any, so that faults which come with load are seen. */
static bool is_canary_full(const struct mh_dispatch *d, const struct server *s)
{
	uint32_t slots = 0, held = 0, n_target = 0, n_canaries = 0;
	struct server *other, *tmp;

	HASH_ITER(hh, s->pool->servers, other, tmp) {
		if (!strcmp(other->info.version, s->info.version)) {
			n_target++;
			n_canaries += other->held > 0;
		} else if (mh_dispatch_server_takes_work(other) &&
			   mh_dispatch_version_serves(d, other)) {
			slots += mh_dispatch_server_slots(d, other);
			held += other->held;
		}
	}
	if (!s->held)
		return n_canaries >=
		       MIN_CANARIES + n_target / SERVERS_PER_CANARY;
	return slots &&
	       s->held >= 1 + mh_dispatch_server_slots(d, s) * held / slots;
}

/* Of several servers the same is first at each pick, for a while. */
static double canary_cost(const struct mh_dispatch *d, const struct server *s)
{
	uint64_t turn = mh_dispatch_now_ns(d) / ROTATION_NS;
	uint64_t rank = mh_dispatch_mix(s->id_hash ^ mh_dispatch_mix(turn));

	double slowness = LATENCY_COST * s->latency_ratio;

	if (slowness > MAX_LATENCY_COST)
		slowness = MAX_LATENCY_COST;
	return CANARY_COST * (2.0 - (double)rank / (double)UINT64_MAX) +
	       slowness;
}

bool mh_dispatch_version_allows(const struct mh_dispatch *d,
				const struct server *s,
				const struct request *req, double *cost)
{
	enum mh_rollout_choice choice;

	*cost = 0;
	if (!mh_rollouts_has_orders(d->rollouts))
		return true;
	choice = mh_rollouts_choice(d->rollouts, s->info.service,
				    s->info.version, req->is_repeatable);
	if (choice != MH_ROLLOUT_PREFERRED)
		return choice == MH_ROLLOUT_ANY;
	*cost = canary_cost(d, s);
	return !is_canary_full(d, s);
}

void mh_dispatch_note_version(const struct mh_dispatch *d, struct request *req,
			      bool is_granted)
{
	const struct mh_backend_server *info = &req->server->info;

	if (!mh_rollouts_has_orders(d->rollouts))
		return;
	req->version = mh_check_alloc(strdup(info->version));
	if (is_granted)
		mh_rollouts_granted(d->rollouts, info->service, info->version);
}

/* Whether one machine is slow, rather than its version: machines differ by more
 * than four times, and regular requests avoid the slow ones. */
static bool is_slow_machine(const struct server *s)
{
	uint64_t others = 0, others_slow = 0;
	const struct server *other;

	for (other = s->pool->servers; other; other = other->hh.next) {
		if (other == s || strcmp(other->info.version, s->info.version))
			continue;
		others += other->n_compared;
		others_slow += other->n_slow;
	}
	return s->n_slow >= SLOW_MACHINE_MIN_SLOW &&
	       others >= SLOW_MACHINE_MIN_OTHERS &&
	       others_slow * SLOW_MACHINE_FACTOR * s->n_compared <
		       s->n_slow * others;
}

/* Return: the ratio by which the version is judged, 0 for none. */
static double compare(const struct mh_dispatch *d, const struct request *req,
		      double ratio)
{
	struct server *s = req->server;

	if (ratio <= 0)
		return 0;
	s->n_compared++;
	if (!mh_rollouts_is_slow(d->rollouts, req->pool->name, req->kind,
				 ratio))
		return ratio;
	s->n_slow++;
	return is_slow_machine(s) ? 0 : ratio;
}

static void report(const struct mh_dispatch *d, struct request *req,
		   bool failed, double ratio)
{
	mh_rollouts_ended(d->rollouts, req->pool->name, req->version, req->kind,
			  failed, ratio);
	free(req->version);
	req->version = NULL;
}

/* Servers of a new version have just started: that they are slow at first says
 * nothing of the version. */
static double judged_ratio(const struct request *req, double ms,
			   double expected_ms)
{
	return req->placed_ns < req->server->warm_ns ? 0 : ms / expected_ms;
}

void mh_dispatch_judge_first_byte(const struct mh_dispatch *d,
				  struct request *req, uint32_t first_ms)
{
	if (!req->version || req->answering)
		return;
	mh_rollouts_answering(d->rollouts, req->pool->name, req->version);
	if (!req->pool->is_engine)
		return;
	req->first_byte_ratio = judged_ratio(
		req, first_ms, mh_dispatch_expected_first_ms(req->pool, req));
	req->first_byte_ratio = compare(d, req, req->first_byte_ratio);
	/* A stream may last for long: slowness counts before its end. */
	if (mh_rollouts_is_slow(d->rollouts, req->pool->name, req->kind,
				req->first_byte_ratio))
		report(d, req, false, req->first_byte_ratio);
}

static bool is_lost_with_others(struct server *s, uint64_t now_ns)
{
	if (s->judged_lost_ns && now_ns < s->judged_lost_ns + LOST_TOGETHER_NS)
		return true;
	s->judged_lost_ns = now_ns;
	return false;
}

void mh_dispatch_judge_outcome(const struct mh_dispatch *d, struct request *req,
			       enum mh_slot_outcome outcome, uint32_t total_ms,
			       uint64_t now_ns)
{
	double ratio = req->first_byte_ratio;

	if (!req->version)
		return;
	if (!req->pool->is_engine)
		ratio = judged_ratio(req, total_ms,
				     mh_dispatch_expected_ms(req->pool, req));
	switch (outcome) {
	case MH_SLOT_OK:
	case MH_SLOT_DECLINED:
	case MH_SLOT_UNPROVEN:
		report(d, req, false,
		       req->pool->is_engine ? ratio : compare(d, req, ratio));
		break;
	case MH_SLOT_LOST:
		if (!is_lost_with_others(req->server, now_ns))
			report(d, req, true, 0);
		break;
	case MH_SLOT_FAILED:
	case MH_SLOT_REJECTED:
	case MH_SLOT_TIMED_OUT:
	case MH_SLOT_CORRUPT:
		report(d, req, true, 0);
		break;
	case MH_SLOT_UNREACHABLE:
		mh_rollouts_unreachable(d->rollouts, req->pool->name,
					req->version);
		break;
	default:
		/* Not sent, or cancelled by the client. */
		break;
	}
}

void mh_dispatch_orphan_run(const struct request *req)
{
	struct server *s = req->server;

	if (req->deadline_ns > s->orphans_until_ns)
		s->orphans_until_ns = req->deadline_ns;
}

static size_t number_of_servers(const struct mh_dispatch *d)
{
	struct pool *p, *tmp;
	size_t n = 0;

	HASH_ITER(hh, d->pools, p, tmp)
		n += HASH_COUNT(p->servers);
	return n;
}

void mh_dispatch_tick_rollouts(struct mh_dispatch *d, uint64_t now_ns)
{
	bool any_lost = mh_entry_set_count(d->lost, now_ns) > 0;
	struct mh_rollout_in_flight *list;
	struct server *s, *tmp_s;
	struct pool *p, *tmp;
	size_t n = 0;

	if (!mh_rollouts_is_active(d->rollouts) ||
	    now_ns < d->next_rollout_tick_ns)
		return;
	list = mh_check_alloc(calloc(number_of_servers(d) + 1, sizeof(*list)));
	HASH_ITER(hh, d->pools, p, tmp) {
		HASH_ITER(hh, p->servers, s, tmp_s) {
			list[n++] = (struct mh_rollout_in_flight){
				.service = p->name,
				.version = s->info.version,
				/* A lost entry may send to any server. */
				.attempts = s->held + any_lost +
					    (now_ns < s->orphans_until_ns),
				.ready_servers =
					mh_dispatch_server_takes_work(s),
			};
		}
	}
	if (mh_rollouts_tick(d->rollouts, list, n))
		d->review = true;
	free(list);
	d->next_rollout_tick_ns = now_ns + TICK_NS;
}

uint64_t mh_dispatch_next_tick_ns(const struct mh_dispatch *d, uint64_t next_ns)
{
	return mh_rollouts_is_active(d->rollouts) ?
		       mh_earlier(next_ns, d->next_rollout_tick_ns) :
		       next_ns;
}
