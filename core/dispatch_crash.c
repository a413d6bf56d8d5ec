/*
 * Requests that crash servers: counts a run that is lost with its server against
 * the features of its request.
 */
#include <utlist.h>

#include "core/dispatch_impl.h"

/* Runs that a server's crash ends are reported within this time. A run that
 * began before and is responded to later shows that the server survived. */
#define REPORTS_NS (500 * MH_NS_PER_MS)
/* A server takes longer than this to start again. */
#define RESTART_NS (500 * MH_NS_PER_MS)

/* The registration of a server that crashed ends within this time. */
#define REGISTRATION_NS (5000 * MH_NS_PER_MS)

const char *mh_lost_verdict_name(enum mh_lost_verdict verdict)
{
	static const char *const names[MH_LOST_VERDICTS] = {
		[MH_LOST_COUNTED] = "counted",
		[MH_LOST_SUCCEEDED] = "succeeded",
		[MH_LOST_BESIDE] = "beside",
		[MH_LOST_LEAVING] = "leaving",
		[MH_LOST_UNMARKED] = "unmarked",
	};

	return names[verdict];
}

void mh_dispatch_on_suspect(void *data, const struct mh_suspect *suspect)
{
	struct mh_dispatch *d = data;

	d->suspect_changes++;
	d->ops->suspect(d->data, suspect);
}

static struct mh_feature request_of(const struct request *req)
{
	return mh_features_at(req->features, 0);
}

bool mh_dispatch_refuses(struct mh_dispatch *d,
			 const struct mh_features *features,
			 struct mh_feature *by)
{
	return mh_suspects_refuses(d->suspects, features, mh_dispatch_now_ns(d),
				   by);
}

bool mh_dispatch_refuse_crashing(struct mh_dispatch *d, struct request *req)
{
	struct mh_slot_refusal why = { .error = MH_ERR_CRASHES_SERVERS };

	if (!mh_dispatch_refuses(d, req->features, &why.feature))
		return false;
	mh_dispatch_refuse(d, req, &why);
	return true;
}

/* Parts on trial in a run that may crash its server yet; none that was cleared
 * meanwhile. */
static struct mh_feature_set parts_on_trial(const struct mh_dispatch *d,
					    const struct request *req,
					    uint64_t now_ns)
{
	struct mh_feature_set on_trial = { 0 };
	uint32_t i;

	for (i = 1; req->is_open && i < mh_features_count(req->features); i++) {
		if (mh_feature_set_has(&req->trials, i) &&
		    mh_suspects_crashes(d->suspects,
					mh_features_at(req->features, i),
					now_ns))
			mh_feature_set_add(&on_trial, i);
	}
	return on_trial;
}

/* Whether a run began as that of a suspect request, and may crash its server yet. */
static bool is_request_on_trial(const struct mh_dispatch *d,
				const struct request *req, uint64_t now_ns)
{
	return mh_dispatch_has_just_begun(req, now_ns) &&
	       mh_suspects_was_known(d->suspects, request_of(req),
				     req->placed_ns, now_ns);
}

/* Features that a lost run counts against: the whole request, and its parts if it
 * had just begun. Beside parts on trial, those that recently did no harm are not the
 * cause. */
static struct mh_feature_set features_to_count(const struct mh_dispatch *d,
					       const struct request *req,
					       uint64_t now_ns)
{
	struct mh_feature_set on_trial = parts_on_trial(d, req, now_ns);
	struct mh_feature_set counted = { 0 };
	bool any_on_trial = mh_feature_set_any(&on_trial);
	uint32_t i;

	mh_feature_set_add(&counted, 0);
	if (!req->is_open)
		return counted;
	for (i = 1; i < mh_features_count(req->features); i++) {
		if (!any_on_trial || mh_feature_set_has(&on_trial, i) ||
		    !mh_suspects_survived_lately(
			    d->suspects, mh_features_at(req->features, i),
			    now_ns))
			mh_feature_set_add(&counted, i);
	}
	return counted;
}

/* A run that was lost with its server, and what it counts against. */
struct loss {
	const struct mh_features *features;
	struct mh_feature_set counted; /* features that it counts against */
	bool is_blamed;
	uint64_t placed_ns;
	bool was_responding;
};

/* Return: whether it counts against any feature. */
static bool count_crash(struct mh_dispatch *d, const struct server *s,
			const struct loss *run, uint64_t now_ns)
{
	const struct mh_features *features = run->features;
	struct mh_crash lost = {
		.server = s->incarnation,
		.request = features->request,
		.placed_ns = run->placed_ns,
		.lost_ns = now_ns,
	};
	struct mh_feature feature;
	bool counts = false;
	uint32_t i;

	for (i = 0; i < mh_features_count(features); i++) {
		if (!mh_feature_set_has(&run->counted, i))
			continue;
		lost.is_blamed = run->is_blamed && !i;
		feature = mh_features_at(features, i);
		/* Runs that began before the first crash prove nothing. */
		if (i && !mh_suspects_crashes(d->suspects, feature, now_ns))
			mh_open_runs_restart(d->open_runs, feature, now_ns);
		counts |= mh_suspects_add_crash(d->suspects, feature, &lost,
						run->was_responding);
	}
	mh_suspects_confirm(d->suspects, mh_dispatch_has_settled, d, now_ns);
	return counts;
}

/* Whether another process has told that its trial ended the server. */
static bool is_beside_trial_elsewhere(const struct mh_dispatch *d,
				      const struct request *req,
				      uint64_t now_ns)
{
	struct mh_crash lost = {
		.server = req->server->incarnation,
		.request = req->features->request,
		.placed_ns = req->placed_ns,
		.lost_ns = now_ns,
	};

	return mh_suspects_blames_other(d->suspects, &lost);
}

static enum mh_lost_verdict judge(struct mh_dispatch *d, struct request *req,
				  uint64_t now_ns)
{
	struct loss run = {
		.features = req->features,
		.placed_ns = req->placed_ns,
		.was_responding = req->answering,
	};
	struct server *s = req->server;
	struct mh_feature_set on_trial;
	bool is_beside_trial;

	if (!req->features->request && !req->features->n_parts)
		return MH_LOST_UNMARKED;
	if ((!s->takes_work && !s->vanished) || s->is_leaving)
		return MH_LOST_LEAVING;
	mh_dispatch_record_survival(d, req, now_ns);
	mh_open_runs_unsettle(d->open_runs, req->features, s->incarnation);
	is_beside_trial =
		s->trial_lost_ns && now_ns < s->trial_lost_ns + REPORTS_NS;
	run.is_blamed = is_request_on_trial(d, req, now_ns);
	on_trial = parts_on_trial(d, req, now_ns);
	if (run.is_blamed || mh_feature_set_any(&on_trial)) {
		/* Of several trials each may be the cause. */
		if (!is_beside_trial)
			mh_suspects_blame(d->suspects, s->incarnation,
					  req->features, now_ns - REPORTS_NS,
					  now_ns);
		s->trial_lost_ns = now_ns;
	} else if (is_beside_trial) {
		return MH_LOST_BESIDE;
	}
	run.counted = features_to_count(d, req, now_ns);
	/* Its parts may be the cause all the same. */
	if (!run.is_blamed && is_beside_trial_elsewhere(d, req, now_ns))
		mh_feature_set_remove(&run.counted, 0);
	if (!mh_feature_set_any(&run.counted))
		return MH_LOST_BESIDE;
	s->lost_ns = now_ns;
	return count_crash(d, s, &run, now_ns) ? MH_LOST_COUNTED :
						 MH_LOST_SUCCEEDED;
}

/* Counts a run that ended without a response, or with one after which its server
 * may have crashed. */
static void count_ended_run(struct mh_dispatch *d, const struct server *s,
			    const struct ended_run *ended, uint64_t now_ns)
{
	struct loss run = {
		.features = ended->features,
		.placed_ns = ended->placed_ns,
	};
	uint32_t i;

	for (i = 0; i < mh_features_count(ended->features); i++)
		mh_feature_set_add(&run.counted, i);
	count_crash(d, s, &run, now_ns);
}

/* The newest runs replace the oldest ones. */
static void keep_ended(struct ended_run runs[MAX_ENDED_RUNS], uint32_t *n,
		       const struct request *req, uint64_t now_ns)
{
	struct ended_run *run = &runs[(*n)++ % MAX_ENDED_RUNS];

	mh_features_unref(run->features);
	run->features = mh_features_ref(req->features);
	run->placed_ns = req->placed_ns;
	run->ended_ns = now_ns;
}

static void drop_ended(struct ended_run runs[MAX_ENDED_RUNS], uint32_t *n)
{
	uint32_t i;

	for (i = 0; i < MAX_ENDED_RUNS; i++) {
		mh_features_unref(runs[i].features);
		runs[i].features = NULL;
	}
	*n = 0;
}

void mh_dispatch_drop_ended(struct server *s)
{
	drop_ended(s->silent, &s->n_silent);
	drop_ended(s->unproven, &s->n_unproven);
}

void mh_dispatch_record_lost(struct mh_dispatch *d, struct request *req,
			     uint64_t now_ns)
{
	struct mh_lost_run run = {
		.owner = (uint32_t)req->key.owner,
		.id = req->key.id,
		.server = req->server->info.id,
		.fingerprint = req->features->request,
		.features = req->features,
		.verdict = judge(d, req, now_ns),
		.answering = req->answering,
		.held = req->server->held - 1,
	};
	uint32_t i;

	run.crashes = mh_suspects_crashes(d->suspects, request_of(req), now_ns);
	for (i = 1; i < mh_features_count(req->features); i++) {
		uint32_t n = mh_suspects_crashes(
			d->suspects, mh_features_at(req->features, i), now_ns);

		if (n > run.part_crashes)
			run.part_crashes = n;
	}
	d->ops->lost(d->data, &run);
}

/* A server that crashes may fall silent instead of breaking its connections, as
 * does one that is slow or cut off: only its end tells which. */
void mh_dispatch_record_unanswered(struct mh_dispatch *d,
				   const struct request *req, uint64_t now_ns)
{
	struct server *s = req->server;

	if (req->answering || s->last_answer_ns > req->placed_ns)
		return;
	if (s->vanished)
		count_ended_run(
			d, s,
			&(struct ended_run){ .features = req->features,
					     .placed_ns = req->placed_ns },
			now_ns);
	if (s->takes_work)
		keep_ended(s->silent, &s->n_silent, req, now_ns);
}

void mh_dispatch_record_unproven(const struct request *req, uint64_t now_ns)
{
	struct server *s = req->server;

	if (s->takes_work)
		keep_ended(s->unproven, &s->n_unproven, req, now_ns);
}

/* Runs whose responses had ended when this one began ended well: their server
 * lives. */
void mh_dispatch_resolve_unproven(struct mh_dispatch *d,
				  const struct request *req, uint64_t now_ns)
{
	struct server *s = req->server;
	uint32_t i, kept = 0;

	for (i = 0; i < MAX_ENDED_RUNS && s->unproven[i].features; i++) {
		struct ended_run run = s->unproven[i];

		s->unproven[i].features = NULL;
		if (run.ended_ns < req->placed_ns) {
			mh_suspects_clear(d->suspects, run.features->request,
					  now_ns);
			mh_features_unref(run.features);
		} else {
			s->unproven[kept++] = run;
		}
	}
	s->n_unproven = kept;
}

void mh_dispatch_record_gone(struct mh_dispatch *d, struct server *s)
{
	uint64_t now_ns = mh_dispatch_now_ns(d);
	uint32_t i;

	for (i = 0; i < MAX_ENDED_RUNS && s->silent[i].features; i++) {
		if (s->last_answer_ns <= s->silent[i].placed_ns)
			count_ended_run(d, s, &s->silent[i], now_ns);
	}
	for (i = 0; i < MAX_ENDED_RUNS && s->unproven[i].features; i++) {
		if (now_ns < s->unproven[i].ended_ns + REGISTRATION_NS)
			count_ended_run(d, s, &s->unproven[i], now_ns);
	}
	mh_dispatch_drop_ended(s);
}

void mh_dispatch_record_response(struct mh_dispatch *d,
				 const struct request *req, uint64_t now_ns)
{
	struct server *s = req->server;

	if (!s->lost_ns || req->placed_ns >= s->lost_ns ||
	    now_ns < s->lost_ns + REPORTS_NS)
		return;
	s->lost_ns = 0;
	s->trial_lost_ns = 0;
	mh_suspects_refute(d->suspects, s->incarnation, req->placed_ns, now_ns);
}

void mh_dispatch_server_probed(struct mh_dispatch *d, const char *server)
{
	uint64_t now_ns = mh_dispatch_now_ns(d);
	struct server *s = mh_dispatch_find_server(d, server);

	if (!s || !s->lost_ns || now_ns >= s->lost_ns + RESTART_NS)
		return;
	s->lost_ns = 0;
	s->trial_lost_ns = 0;
	mh_suspects_refute(d->suspects, s->incarnation, now_ns - RESTART_NS,
			   now_ns);
}

bool mh_dispatch_merge_suspect(struct mh_dispatch *d,
			       const struct mh_suspect *suspect)
{
	return mh_suspects_merge(d->suspects, suspect, mh_dispatch_now_ns(d));
}

void mh_dispatch_restore_suspect(struct mh_dispatch *d,
				 const struct mh_suspect *suspect)
{
	if (mh_dispatch_merge_suspect(d, suspect))
		d->ops->suspect(d->data, suspect);
}

/* Servers that turn out to live clear what was lost with them. */
static void mark_servers(struct mh_dispatch *d,
			 const struct mh_suspect *observed, uint64_t now_ns)
{
	struct pool *p, *tmp_p;
	struct server *s, *tmp;
	uint32_t i;

	for (i = 0; i < observed->n_crashes; i++) {
		const struct mh_crash *crash = &observed->crashes[i];

		if (now_ns >= crash->lost_ns + RESTART_NS)
			continue;
		HASH_ITER(hh, d->pools, p, tmp_p) {
			HASH_ITER(hh, p->servers, s, tmp) {
				if (s->incarnation == crash->server)
					s->lost_ns = mh_later(s->lost_ns,
							      crash->lost_ns);
			}
		}
	}
}

void mh_dispatch_add_observed(struct mh_dispatch *d,
			      const struct mh_suspect *observed)
{
	uint64_t now_ns = mh_dispatch_now_ns(d);

	mark_servers(d, observed, now_ns);
	mh_suspects_add_observed(d->suspects, observed, now_ns);
	mh_suspects_confirm(d->suspects, mh_dispatch_has_settled, d, now_ns);
}

void mh_dispatch_each_suspect(const struct mh_dispatch *d,
			      void (*visit)(void *data,
					    const struct mh_suspect *suspect),
			      void *data)
{
	mh_suspects_each(d->suspects, visit, data);
}

uint64_t mh_dispatch_suspect_changes(const struct mh_dispatch *d)
{
	return d->suspect_changes;
}
