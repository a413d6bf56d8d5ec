#include "core/rollout.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/check_alloc.h"
#include "core/rollout_impl.h"

/* Half of the bounds on the target's requests is left to a second judge, which
 * may be active for a moment. */
#define EXPOSURE_PART 0.5
/* An order from the store that is this much older than one that a link told is
 * one that the other replaced; clocks of hosts differ less. */
#define OLDER_ORDER_MS 2000
/* One in so many requests of the target is for those that may run only once, as
 * long as both kinds of request arrive. */
#define UNRETRYABLE_PART 3
#define ARRIVES_NS (1000 * MH_NS_PER_MS)
/* Requests that the target gets in a row, and the time after which it gets fewer:
 * spread evenly, a twentieth of the requests would never load a server. */
#define BURST 6
#define BURST_WAIT_NS (2000 * MH_NS_PER_MS)

static const char *const phase_names[MH_ROLLOUT_PHASES] = {
	[MH_ROLLOUT_NONE] = "none",
	[MH_ROLLOUT_OBSERVING] = "observing",
	[MH_ROLLOUT_SHIFTING] = "shifting",
	[MH_ROLLOUT_SUCCEEDED] = "succeeded",
	[MH_ROLLOUT_ROLLED_BACK] = "rolled_back",
};

const char *mh_rollout_phase_name(enum mh_rollout_phase phase)
{
	return phase_names[phase];
}

enum mh_rollout_phase mh_rollout_phase_parse(const char *name)
{
	int i;

	for (i = 0; i < MH_ROLLOUT_PHASES; i++) {
		if (!strcmp(name, phase_names[i]))
			return (enum mh_rollout_phase)i;
	}
	return MH_ROLLOUT_NONE;
}

struct mh_rollouts *mh_rollouts_new(const struct mh_rollout_conf *conf,
				    const struct mh_clock *clock)
{
	struct mh_rollouts *set = mh_check_alloc(calloc(1, sizeof(*set)));

	set->conf = *conf;
	set->clock = clock;
	return set;
}

static void free_version(struct service *svc, struct version *v)
{
	DL_DELETE(svc->versions, v);
	free(v->name);
	free(v);
}

void mh_rollouts_free(struct mh_rollouts *set)
{
	struct service *svc, *tmp;
	struct version *v, *tmp_v;

	if (!set)
		return;
	HASH_ITER(hh, set->services, svc, tmp) {
		mh_rollout_drop_counts(svc);
		DL_FOREACH_SAFE(svc->versions, v, tmp_v)
			free_version(svc, v);
		/* The analyzer does not follow uthash's deletion macros. */
		/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
		HASH_DEL(set->services, svc);
		free(svc->name);
		free(svc);
	}
	free(set);
}

void mh_rollouts_set_conf(struct mh_rollouts *set,
			  const struct mh_rollout_conf *conf)
{
	set->conf = *conf;
}

struct service *mh_rollout_find(const struct mh_rollouts *set, const char *name)
{
	struct service *svc;

	if (!set || !set->services)
		return NULL;
	HASH_FIND_STR(set->services, name, svc);
	return svc;
}

static struct version *find_version(const struct service *svc, const char *name)
{
	struct version *v;

	DL_FOREACH(svc->versions, v) {
		if (!strcmp(v->name, name ? name : ""))
			return v;
	}
	return NULL;
}

struct version *mh_rollout_version(struct service *svc, const char *name)
{
	struct version *v = find_version(svc, name);

	if (v)
		return v;
	v = mh_check_alloc(calloc(1, sizeof(*v)));
	v->name = mh_check_alloc(strdup(name ? name : ""));
	DL_APPEND(svc->versions, v);
	return v;
}

uint64_t mh_rollout_elapsed_ms(const struct service *svc)
{
	return svc->elapsed_ms +
	       (mh_rollout_now_ns(svc->set) - svc->since_ns) / MH_NS_PER_MS;
}

void mh_rollout_set_elapsed(struct service *svc, uint64_t ms)
{
	svc->elapsed_ms = ms;
	svc->since_ns = mh_rollout_now_ns(svc->set);
}

void mh_rollout_set_phase(struct service *svc, enum mh_rollout_phase phase)
{
	if (svc->phase == phase)
		return;
	svc->phase = phase;
	svc->set->changes++;
	if (phase == MH_ROLLOUT_SHIFTING) {
		svc->shift_ns = mh_rollout_now_ns(svc->set);
		svc->target_gone_ns = 0;
	}
}

bool mh_rollout_is_excluded(const struct service *svc, const struct version *v)
{
	return v->is_excluded ||
	       (v->is_replaced && svc->phase == MH_ROLLOUT_SUCCEEDED);
}

static void limit_excluded(struct service *svc)
{
	struct version *v, *oldest = NULL;
	uint32_t n = 0;

	DL_FOREACH(svc->versions, v) {
		n += v->is_excluded;
		if (v->is_excluded && !oldest)
			oldest = v;
	}
	if (n > MH_ROLLOUT_EXCLUDED_MAX)
		oldest->is_excluded = false;
}

/* Keeps the exclusions of the order that ends. */
static void keep_excluded(struct service *svc)
{
	struct version *v;

	DL_FOREACH(svc->versions, v) {
		v->is_excluded = mh_rollout_is_excluded(svc, v);
		v->is_replaced = false;
	}
	/* Its target goes with it, unless that had all requests. */
	if (svc->phase == MH_ROLLOUT_OBSERVING ||
	    svc->phase == MH_ROLLOUT_ROLLED_BACK)
		svc->target->is_excluded = true;
	limit_excluded(svc);
}

/* Requests that the target may get so far. */
static double exposure(const struct service *svc)
{
	const struct mh_rollout_conf *conf = &svc->set->conf;

	return EXPOSURE_PART * (conf->exposure_share * (double)svc->granted +
				conf->exposure_slack);
}

/* Grants that no record tells of may all have been for the target. By the bound
 * that held for them, they were not more than what is free at the known grants
 * and a share of their own number. */
void mh_rollout_assume_used(struct service *svc)
{
	if ((double)svc->granted_target < exposure(svc))
		svc->granted_target = (uint64_t)exposure(svc);
}

/* The judge was there from the order on: no other one granted anything. */
static bool is_watched(const struct mh_rollouts *set, uint32_t age_ms)
{
	uint64_t judged_ns = mh_rollout_now_ns(set) - set->judge_since_ns;

	return set->judges && judged_ns >= MH_ROLLOUT_NEW_JUDGE_NS &&
	       judged_ns >= age_ms * MH_NS_PER_MS;
}

static void drop_unused_versions(struct service *svc)
{
	struct version *v, *tmp;

	DL_FOREACH_SAFE(svc->versions, v, tmp) {
		if (!v->is_excluded)
			free_version(svc, v);
	}
}

static struct service *add_service(struct mh_rollouts *set, const char *name)
{
	struct service *svc = mh_check_alloc(calloc(1, sizeof(*svc)));

	svc->set = set;
	svc->name = mh_check_alloc(strdup(name));
	HASH_ADD_KEYPTR(hh, set->services, svc->name, strlen(svc->name), svc);
	return svc;
}

struct service *mh_rollout_begin(struct mh_rollouts *set,
				 const struct mh_rollout_order *order,
				 uint64_t age_ms)
{
	struct service *svc = mh_rollout_find(set, order->service);

	if (!svc)
		svc = add_service(set, order->service);
	keep_excluded(svc);
	mh_rollout_drop_counts(svc);
	drop_unused_versions(svc);
	svc->target = mh_rollout_version(svc, order->target);
	svc->target->is_excluded = false;
	svc->duration_ms = order->duration_ms;
	mh_rollout_set_elapsed(svc, age_ms);
	svc->is_acknowledged = false;
	svc->is_told = false;
	svc->granted = 0;
	svc->granted_target = 0;
	svc->is_settled = false;
	svc->was_watched = false;
	svc->ready_ns = 0;
	svc->alone_ns = 0;
	svc->unreachable = 0;
	svc->is_shift_recorded = false;
	svc->shifted_ns = 0;
	svc->retryable_ns = 0;
	svc->unretryable_ns = 0;
	svc->is_bursting = false;
	svc->canary_ns = mh_rollout_now_ns(svc->set);
	svc->period_ns = mh_rollout_now_ns(svc->set);
	svc->phase = MH_ROLLOUT_OBSERVING;
	svc->set->changes++;
	return svc;
}

static bool is_name(const char *name)
{
	return name && *name && strlen(name) <= MH_ROLLOUT_NAME_MAX;
}

bool mh_rollout_is_valid(const struct mh_rollout_order *order)
{
	return is_name(order->service) && is_name(order->target) &&
	       order->duration_ms &&
	       order->duration_ms <= MH_ROLLOUT_DURATION_MAX_MS;
}

static bool has_target(const struct service *svc, const char *target)
{
	return !strcmp(svc->target->name, target);
}

/* The same target for another duration: a new order, which changes nothing of
 * what is known of the target. */
static enum mh_rollout_order_result
order_again(struct service *svc, const struct mh_rollout_order *order,
	    uint32_t age_ms)
{
	svc->is_from_store = true;
	if (svc->duration_ms == order->duration_ms)
		return MH_ROLLOUT_ORDER_UNCHANGED;
	svc->duration_ms = order->duration_ms;
	mh_rollout_set_elapsed(svc, age_ms);
	svc->set->changes++;
	return MH_ROLLOUT_ORDER_ACCEPTED;
}

enum mh_rollout_order_result
mh_rollouts_order(struct mh_rollouts *set, const struct mh_rollout_order *order,
		  uint32_t age_ms)
{
	struct service *svc;

	if (!mh_rollout_is_valid(order))
		return MH_ROLLOUT_ORDER_REJECTED;
	svc = mh_rollout_find(set, order->service);
	if (svc && has_target(svc, order->target))
		return order_again(svc, order, age_ms);
	if (svc && !svc->is_from_store && age_ms &&
	    age_ms > mh_rollout_elapsed_ms(svc) + OLDER_ORDER_MS)
		return MH_ROLLOUT_ORDER_UNCHANGED;
	svc = mh_rollout_begin(set, order, age_ms);
	svc->is_from_store = true;
	svc->was_watched = is_watched(set, age_ms);
	svc->is_settled = svc->was_watched;
	return MH_ROLLOUT_ORDER_ACCEPTED;
}

void mh_rollouts_set_unwatched(struct mh_rollouts *set)
{
	set->is_unwatched = true;
}

void mh_rollouts_set_judge(struct mh_rollouts *set, bool judges)
{
	struct service *svc, *tmp;

	if (set->judges == judges)
		return;
	set->judges = judges;
	set->judge_since_ns = mh_rollout_now_ns(set);
	HASH_ITER(hh, set->services, svc, tmp) {
		svc->is_settled = false;
		svc->was_watched = false;
		svc->ready_ns = 0;
		svc->alone_ns = 0;
		svc->unreachable = 0;
		svc->target_gone_ns = 0;
		svc->shifted_ns = 0;
		if (svc->phase == MH_ROLLOUT_SHIFTING)
			svc->shift_ns = mh_rollout_now_ns(set);
	}
}

void mh_rollouts_set_store(struct mh_rollouts *set, enum mh_rollout_store store)
{
	set->store = store;
}

void mh_rollouts_recorded(struct mh_rollouts *set, const char *service,
			  const char *target, enum mh_rollout_phase phase)
{
	struct service *svc = mh_rollout_find(set, service);

	if (svc && has_target(svc, target) && phase == MH_ROLLOUT_SHIFTING)
		svc->is_shift_recorded = true;
}

void mh_rollout_replace_others(struct service *svc)
{
	struct version *v;

	DL_FOREACH(svc->versions, v)
		v->is_replaced = v != svc->target;
}

bool mh_rollouts_acknowledged(struct mh_rollouts *set, const char *service,
			      const char *target, enum mh_rollout_phase phase)
{
	struct service *svc = mh_rollout_find(set, service);

	if (!svc || !has_target(svc, target) || svc->is_acknowledged ||
	    (phase != MH_ROLLOUT_SUCCEEDED && phase != MH_ROLLOUT_ROLLED_BACK))
		return false;
	svc->is_acknowledged = true;
	set->changes++;
	mh_rollout_set_phase(svc, phase);
	if (phase == MH_ROLLOUT_SUCCEEDED)
		mh_rollout_replace_others(svc);
	return true;
}

/* Whether a request is of the sort whose turn it is at the target. */
static bool is_turn(struct service *svc, bool is_retryable)
{
	bool once =
		svc->granted_target % UNRETRYABLE_PART == UNRETRYABLE_PART - 1;
	uint64_t now_ns = mh_rollout_now_ns(svc->set);
	uint64_t other_ns;

	*(is_retryable ? &svc->retryable_ns : &svc->unretryable_ns) = now_ns;
	if (once != is_retryable)
		return true;
	other_ns = is_retryable ? svc->unretryable_ns : svc->retryable_ns;
	return !other_ns || now_ns > other_ns + ARRIVES_NS;
}

/* Whether the target may get a request, within a burst of several. */
static bool is_exposure_free(struct service *svc)
{
	double free = exposure(svc) - (double)svc->granted_target;
	uint64_t now_ns = mh_rollout_now_ns(svc->set);

	if (free < 1)
		svc->is_bursting = false;
	else if (free >= BURST || now_ns >= svc->canary_ns + BURST_WAIT_NS)
		svc->is_bursting = true;
	return svc->is_bursting;
}

static enum mh_rollout_choice choose_observing(struct service *svc,
					       const struct version *v,
					       bool is_retryable)
{
	bool is_due = is_turn(svc, is_retryable);

	if (v != svc->target)
		return MH_ROLLOUT_ANY;
	if (!svc->set->judges || !svc->is_settled)
		return MH_ROLLOUT_FORBIDDEN;
	if (mh_rollout_is_alone(svc))
		return MH_ROLLOUT_ANY;
	if (!is_exposure_free(svc) || !is_due)
		return MH_ROLLOUT_FORBIDDEN;
	return MH_ROLLOUT_PREFERRED;
}

static enum mh_rollout_choice
choose_shifting(struct service *svc, const struct version *v, bool is_retryable)
{
	if (svc->set->is_unwatched || !mh_rollout_has_shifted(svc))
		return choose_observing(svc, v, is_retryable);
	if (v != svc->target)
		return MH_ROLLOUT_FORBIDDEN;
	return svc->set->judges && !svc->is_settled ? MH_ROLLOUT_FORBIDDEN :
						      MH_ROLLOUT_ANY;
}

enum mh_rollout_choice mh_rollouts_choice(struct mh_rollouts *set,
					  const char *service,
					  const char *version,
					  bool is_retryable)
{
	struct service *svc = mh_rollout_find(set, service);
	const struct version *v;

	if (!svc)
		return MH_ROLLOUT_ANY;
	v = find_version(svc, version);
	if (v && mh_rollout_is_excluded(svc, v))
		return MH_ROLLOUT_FORBIDDEN;
	switch (svc->phase) {
	case MH_ROLLOUT_OBSERVING:
		return choose_observing(svc, v, is_retryable);
	case MH_ROLLOUT_SHIFTING:
		return choose_shifting(svc, v, is_retryable);
	case MH_ROLLOUT_ROLLED_BACK:
		return v == svc->target ? MH_ROLLOUT_FORBIDDEN : MH_ROLLOUT_ANY;
	default:
		return MH_ROLLOUT_ANY;
	}
}

bool mh_rollouts_serves(const struct mh_rollouts *set, const char *service,
			const char *version)
{
	const struct service *svc = mh_rollout_find(set, service);
	const struct version *v;

	if (!svc)
		return true;
	v = find_version(svc, version);
	if (v && mh_rollout_is_excluded(svc, v))
		return false;
	if (svc->phase == MH_ROLLOUT_SHIFTING && !set->is_unwatched &&
	    mh_rollout_has_shifted(svc))
		return v == svc->target;
	return v != svc->target || svc->phase == MH_ROLLOUT_SUCCEEDED ||
	       (svc->phase == MH_ROLLOUT_OBSERVING && mh_rollout_is_alone(svc));
}

void mh_rollouts_granted(struct mh_rollouts *set, const char *service,
			 const char *version)
{
	struct service *svc = mh_rollout_find(set, service);

	if (!svc || mh_rollout_is_final(svc))
		return;
	svc->granted++;
	if (mh_rollout_version(svc, version) != svc->target)
		return;
	svc->granted_target++;
	svc->canary_ns = mh_rollout_now_ns(set);
}

bool mh_rollouts_is_slow(const struct mh_rollouts *set, const char *service,
			 uint64_t kind, double ratio)
{
	struct service *svc = mh_rollout_find(set, service);

	return svc && !mh_rollout_is_final(svc) &&
	       mh_rollout_ratio_is_slow(mh_rollout_kind(svc, kind), ratio);
}

void mh_rollouts_ended(struct mh_rollouts *set, const char *service,
		       const char *version, uint64_t kind, bool failed,
		       double ratio)
{
	struct service *svc = mh_rollout_find(set, service);
	struct version *v;

	if (!svc || mh_rollout_is_final(svc))
		return;
	v = mh_rollout_version(svc, version);
	if (!failed)
		mh_rollouts_answering(set, service, version);
	mh_rollout_add_answer(svc, mh_rollout_kind(svc, kind), v, failed,
			      ratio);
	if (v == svc->target)
		mh_rollout_roll_back_if_bad(svc);
}

static bool is_target(const struct service *svc, const char *version)
{
	return find_version(svc, version) == svc->target;
}

void mh_rollouts_unreachable(struct mh_rollouts *set, const char *service,
			     const char *version)
{
	struct service *svc = mh_rollout_find(set, service);

	if (!svc || mh_rollout_is_final(svc) || !is_target(svc, version))
		return;
	svc->unreachable++;
	mh_rollout_roll_back_if_bad(svc);
}

void mh_rollouts_answering(struct mh_rollouts *set, const char *service,
			   const char *version)
{
	struct service *svc = mh_rollout_find(set, service);

	if (svc && is_target(svc, version))
		svc->unreachable = 0;
}

bool mh_rollouts_is_active(const struct mh_rollouts *set)
{
	struct service *svc, *tmp;

	if (!set)
		return false;
	HASH_ITER(hh, set->services, svc, tmp) {
		if (!mh_rollout_is_final(svc))
			return true;
	}
	return false;
}

bool mh_rollouts_has_orders(const struct mh_rollouts *set)
{
	return set && set->services;
}

uint64_t mh_rollouts_changes(const struct mh_rollouts *set)
{
	return set->changes;
}
