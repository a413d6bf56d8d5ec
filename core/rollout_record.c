/*
 * Records of roll-outs: merging those that the store and links give, and walking
 * those of this process.
 */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/check_alloc.h"
#include "core/rollout_impl.h"

/* Which phase wins if records differ: the higher one. */
static int rank(enum mh_rollout_phase phase, bool is_acknowledged)
{
	switch (phase) {
	case MH_ROLLOUT_OBSERVING:
		return 1;
	case MH_ROLLOUT_SHIFTING:
		return 2;
	case MH_ROLLOUT_SUCCEEDED:
		return is_acknowledged ? 6 : 3;
	case MH_ROLLOUT_ROLLED_BACK:
		return is_acknowledged ? 5 : 4;
	default:
		return 0;
	}
}

static bool raise(uint64_t *value, uint64_t other)
{
	if (other <= *value)
		return false;
	*value = other;
	return true;
}

/* Answers that only another process has counted so far are evidence of the present
 * period. */
static bool merge_count(struct service *svc, struct kind *k, struct version *v,
			const struct mh_rollout_count *theirs)
{
	struct tally *period =
		v == svc->target ? &k->period_target : &k->period_old;
	struct count *c = mh_rollout_count(k, v);
	uint64_t good = c->good, bad = c->failed + c->slow;
	bool changed;

	changed = raise(&c->good, theirs->good);
	changed |= raise(&c->failed, theirs->failed);
	changed |= raise(&c->slow, theirs->slow);
	bad = c->failed + c->slow - bad;
	period->n += c->good - good + bad;
	period->bad += bad;
	return changed;
}

static bool merge_counts(struct service *svc,
			 const struct mh_rollout_record *rec)
{
	bool changed = false;
	size_t i;

	for (i = 0; i < rec->n_counts; i++) {
		const struct mh_rollout_count *theirs = &rec->counts[i];

		changed |= merge_count(svc, mh_rollout_kind(svc, theirs->kind),
				       mh_rollout_version(svc, theirs->version),
				       theirs);
	}
	return changed;
}

/* Exclusions of a record that is succeeded hold only if that phase does. */
static bool merge_excluded(struct service *svc,
			   const struct mh_rollout_record *rec)
{
	bool changed = false;
	size_t i;

	for (i = 0; i < rec->n_excluded; i++) {
		struct version *v = mh_rollout_version(svc, rec->excluded[i]);
		bool *flag = rec->phase == MH_ROLLOUT_SUCCEEDED ?
				     &v->is_replaced :
				     &v->is_excluded;

		if (v == svc->target || *flag)
			continue;
		*flag = true;
		changed = true;
	}
	svc->set->changes += changed;
	return changed;
}

static bool merge_phase(struct service *svc,
			const struct mh_rollout_record *rec)
{
	int known = rank(svc->phase, svc->is_acknowledged);

	if (rank(rec->phase, rec->is_acknowledged) <= known)
		return false;
	svc->is_acknowledged = rec->is_acknowledged;
	mh_rollout_set_phase(svc, rec->phase);
	/* Its record was written, or other processes act on it already. */
	svc->is_shift_recorded |= rec->phase == MH_ROLLOUT_SHIFTING;
	if (rec->phase == MH_ROLLOUT_SUCCEEDED)
		mh_rollout_replace_others(svc);
	return true;
}

static bool merge_duration(struct service *svc,
			   const struct mh_rollout_record *rec)
{
	uint64_t elapsed_ms = mh_rollout_elapsed_ms(svc);
	bool changed = false;

	if (rec->order.duration_ms > svc->duration_ms && !svc->is_from_store) {
		svc->duration_ms = rec->order.duration_ms;
		changed = true;
	}
	/* Of an order for another duration, the time began with that order. */
	if (rec->order.duration_ms == svc->duration_ms &&
	    raise(&elapsed_ms, rec->elapsed_ms)) {
		mh_rollout_set_elapsed(svc, elapsed_ms);
		changed = true;
	}
	return changed;
}

static bool merge_grants(struct service *svc,
			 const struct mh_rollout_record *rec)
{
	bool changed = raise(&svc->granted_target, rec->granted_target);

	if (raise(&svc->granted, rec->granted_service)) {
		changed = true;
		/* Of another judge, which may have granted more since. */
		if (svc->is_settled)
			mh_rollout_assume_used(svc);
	}
	return changed;
}

/* Return: the service, with the order of the record, or NULL if a later order
 * for another target is known. */
static struct service *adopt_order(struct mh_rollouts *set,
				   const struct mh_rollout_record *rec,
				   bool *changed)
{
	struct service *svc = mh_rollout_find(set, rec->order.service);

	if (svc && !strcmp(svc->target->name, rec->order.target))
		return svc;
	if (svc && rec->elapsed_ms >= mh_rollout_elapsed_ms(svc))
		return NULL;
	*changed = true;
	svc = mh_rollout_begin(set, &rec->order, rec->elapsed_ms);
	svc->is_from_store = false;
	return svc;
}

bool mh_rollouts_merge(struct mh_rollouts *set,
		       const struct mh_rollout_record *rec)
{
	bool changed = false;
	struct service *svc;

	if (!mh_rollout_is_valid(&rec->order) ||
	    !rank(rec->phase, rec->is_acknowledged))
		return false;
	svc = adopt_order(set, rec, &changed);
	if (!svc)
		return changed;
	svc->is_told = true;
	changed |= merge_counts(svc, rec);
	changed |= merge_excluded(svc, rec);
	changed |= merge_phase(svc, rec);
	changed |= merge_duration(svc, rec);
	changed |= merge_grants(svc, rec);
	return changed;
}

static size_t number_of_counts(const struct service *svc)
{
	struct kind *k, *tmp;
	size_t n = 0;

	HASH_ITER(hh, svc->kinds, k, tmp) {
		const struct count *c;

		DL_FOREACH(k->counts, c)
			n++;
	}
	return n;
}

static size_t list_counts(const struct service *svc,
			  struct mh_rollout_count *counts)
{
	struct kind *k, *tmp;
	size_t n = 0;

	HASH_ITER(hh, svc->kinds, k, tmp) {
		const struct count *c;

		DL_FOREACH(k->counts, c) {
			counts[n++] = (struct mh_rollout_count){
				.kind = k->id,
				.version = c->version->name,
				.good = c->good,
				.failed = c->failed,
				.slow = c->slow,
			};
		}
	}
	return n;
}

static void visit_service(const struct service *svc, mh_rollout_visit_fn *visit,
			  void *data)
{
	const char *excluded[MH_ROLLOUT_EXCLUDED_MAX];
	struct mh_rollout_count *counts = mh_check_alloc(
		calloc(number_of_counts(svc) + 1, sizeof(*counts)));
	struct mh_rollout_record rec = {
		.order = { svc->name, svc->target->name, svc->duration_ms },
		.phase = svc->phase,
		.is_acknowledged = svc->is_acknowledged,
		.elapsed_ms = mh_rollout_elapsed_ms(svc),
		.granted_service = svc->granted,
		.granted_target = svc->granted_target,
		.counts = counts,
		.excluded = excluded,
	};
	const struct version *v;

	rec.n_counts = list_counts(svc, counts);
	DL_FOREACH(svc->versions, v) {
		if (mh_rollout_is_excluded(svc, v) &&
		    rec.n_excluded < MH_ROLLOUT_EXCLUDED_MAX)
			excluded[rec.n_excluded++] = v->name;
	}
	visit(&rec, data);
	free(counts);
}

void mh_rollouts_each(const struct mh_rollouts *set, mh_rollout_visit_fn *visit,
		      void *data)
{
	struct service *svc, *tmp;

	HASH_ITER(hh, set->services, svc, tmp)
		visit_service(svc, visit, data);
}
