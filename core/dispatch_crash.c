/*
 * Requests that crash servers. A suspect, whose run was lost with a server,
 * runs one at a time, and two suspects are kept apart as soon as one of them
 * was lost twice, so that what a server crashes by becomes unambiguous.
 */
#include <utlist.h>

#include "core/dispatch_impl.h"

/* A run that began to be responded to this long ago is not on trial any more:
 * servers crash as they begin to run such a request. */
#define TRIAL_NS (100 * MH_NS_PER_MS)
/* From this number of crashes on a suspect is kept apart from others. */
#define APART_CRASHES 2
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

static uint32_t crashes_of(const struct mh_dispatch *d,
			   const struct request *req, uint64_t now_ns)
{
	return mh_suspects_crashes(d->suspects, req->fingerprint, now_ns);
}

bool mh_dispatch_is_suspect(const struct mh_dispatch *d,
			    const struct request *req, uint64_t now_ns)
{
	return crashes_of(d, req, now_ns) > 0;
}

/* Whether a run of a suspect has not shown yet that it is harmless. */
static bool has_just_begun(const struct request *req, uint64_t now_ns)
{
	return !req->answering || now_ns < req->answered_ns + TRIAL_NS;
}

bool mh_dispatch_may_run(const struct mh_dispatch *d, const struct request *req,
			 uint64_t now_ns)
{
	struct request *other, *tmp;

	HASH_ITER(hh, d->requests, other, tmp) {
		if (other != req && other->server &&
		    other->fingerprint == req->fingerprint &&
		    has_just_begun(other, now_ns))
			return false;
	}
	return true;
}

bool mh_dispatch_may_run_at(const struct mh_dispatch *d, const struct server *s,
			    const struct request *req, uint64_t now_ns)
{
	uint32_t crashes = crashes_of(d, req, now_ns);
	const struct request *other;

	DL_FOREACH(s->requests, other) {
		uint32_t n = crashes_of(d, other, now_ns);

		if (n && has_just_begun(other, now_ns) &&
		    (n >= APART_CRASHES || crashes >= APART_CRASHES))
			return false;
	}
	return true;
}

void mh_dispatch_park(struct mh_dispatch *d, struct request *req)
{
	mh_dispatch_leave_queue(d, req);
	req->parked = true;
	DL_APPEND(d->parked, req);
}

void mh_dispatch_unpark(struct mh_dispatch *d, struct request *req)
{
	DL_DELETE(d->parked, req);
	req->parked = false;
}

void mh_dispatch_unpark_all(struct mh_dispatch *d)
{
	while (d->parked) {
		struct request *req = d->parked;

		mh_dispatch_unpark(d, req);
		mh_dispatch_enter_queue(req);
	}
}

bool mh_dispatch_refuse_crashing(struct mh_dispatch *d, struct request *req,
				 uint64_t now_ns)
{
	struct mh_slot_refusal why = { .error = MH_ERR_CRASHES_SERVERS };

	if (!mh_suspects_is_refused(d->suspects, req->fingerprint, now_ns))
		return false;
	mh_dispatch_refuse(d, req, &why);
	return true;
}

/* Whether a run began as that of a suspect, and may crash its server yet. */
static bool is_on_trial(const struct mh_dispatch *d, const struct request *req,
			uint64_t now_ns)
{
	return has_just_begun(req, now_ns) &&
	       mh_suspects_was_known(d->suspects, req->fingerprint,
				     req->placed_ns, now_ns);
}

static enum mh_lost_verdict judge(struct mh_dispatch *d, struct request *req,
				  uint64_t now_ns)
{
	struct server *s = req->server;

	if (!req->fingerprint)
		return MH_LOST_UNMARKED;
	if ((!s->takes_work && !s->vanished) || s->is_leaving)
		return MH_LOST_LEAVING;
	if (is_on_trial(d, req, now_ns)) {
		s->trial_lost_ns = now_ns;
		mh_suspects_blame(d->suspects, s->incarnation, req->fingerprint,
				  now_ns - REPORTS_NS, now_ns);
	} else if (s->trial_lost_ns && now_ns < s->trial_lost_ns + REPORTS_NS) {
		return MH_LOST_BESIDE;
	}
	s->lost_ns = now_ns;
	return mh_suspects_add_crash(d->suspects, req->fingerprint,
				     s->incarnation, req->placed_ns,
				     req->answering, now_ns) ?
		       MH_LOST_COUNTED :
		       MH_LOST_SUCCEEDED;
}

void mh_dispatch_record_lost(struct mh_dispatch *d, struct request *req,
			     uint64_t now_ns)
{
	struct mh_lost_run run = {
		.owner = (uint32_t)req->key.owner,
		.id = req->key.id,
		.server = req->server->info.id,
		.fingerprint = req->fingerprint,
		.features = req->features,
		.verdict = judge(d, req, now_ns),
		.answering = req->answering,
		.held = req->server->held - 1,
	};

	run.crashes = crashes_of(d, req, now_ns);
	d->ops->lost(d->data, &run);
}

/* A server that crashes may fall silent instead of breaking its connections, as
 * does one that is slow or cut off: only its end tells which. */
void mh_dispatch_record_unanswered(struct mh_dispatch *d,
				   const struct request *req, uint64_t now_ns)
{
	struct server *s = req->server;

	if (!req->fingerprint || req->answering ||
	    s->last_answer_ns > req->placed_ns)
		return;
	if (s->vanished)
		mh_suspects_add_crash(d->suspects, req->fingerprint,
				      s->incarnation, req->placed_ns, false,
				      now_ns);
	if (!s->takes_work)
		return;
	s->silent[s->n_silent++ % MAX_SILENT_RUNS] =
		(struct unanswered_run){ req->fingerprint, req->placed_ns };
}

void mh_dispatch_record_unproven(const struct request *req, uint64_t now_ns)
{
	struct server *s = req->server;

	if (!req->fingerprint || !s->takes_work)
		return;
	s->unproven[s->n_unproven++ % MAX_UNPROVEN_RUNS] =
		(struct unproven_run){ req->fingerprint, req->placed_ns,
				       now_ns };
}

static uint32_t unproven_count(const struct server *s)
{
	return s->n_unproven < MAX_UNPROVEN_RUNS ? s->n_unproven :
						   MAX_UNPROVEN_RUNS;
}

/* Runs whose responses had ended when this one began ended well: their server
 * lives. */
void mh_dispatch_record_survived(struct mh_dispatch *d,
				 const struct request *req, uint64_t now_ns)
{
	struct server *s = req->server;
	uint32_t i, n = unproven_count(s), kept = 0;

	for (i = 0; i < n; i++) {
		struct unproven_run run = s->unproven[i];

		if (run.ended_ns < req->placed_ns)
			mh_suspects_clear(d->suspects, run.fingerprint, now_ns);
		else
			s->unproven[kept++] = run;
	}
	s->n_unproven = kept;
}

static void record_unproven_gone(struct mh_dispatch *d, struct server *s,
				 uint64_t now_ns)
{
	uint32_t i, n = unproven_count(s);

	for (i = 0; i < n; i++) {
		const struct unproven_run *run = &s->unproven[i];

		if (now_ns < run->ended_ns + REGISTRATION_NS)
			mh_suspects_add_crash(d->suspects, run->fingerprint,
					      s->incarnation, run->placed_ns,
					      false, now_ns);
	}
	s->n_unproven = 0;
}

void mh_dispatch_record_gone(struct mh_dispatch *d, struct server *s)
{
	uint32_t n =
		s->n_silent < MAX_SILENT_RUNS ? s->n_silent : MAX_SILENT_RUNS;
	uint32_t i;

	for (i = 0; i < n; i++) {
		const struct unanswered_run *run = &s->silent[i];

		if (s->last_answer_ns <= run->placed_ns)
			mh_suspects_add_crash(d->suspects, run->fingerprint,
					      s->incarnation, run->placed_ns,
					      false, mh_dispatch_now_ns(d));
	}
	s->n_silent = 0;
	record_unproven_gone(d, s, mh_dispatch_now_ns(d));
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
