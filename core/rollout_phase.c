/*
 * Phases of roll-outs: when a verdict is due. Only the judge comes to one.
 */
#include <string.h>
#include <utlist.h>

#include "core/rollout_impl.h"

/* The shift does not wait longer for its record: a slow store must not make a
 * verdict late. */
#define RECORD_WAIT_NS (1000 * MH_NS_PER_MS)
/* Parts of the duration: from which a good result begins the shift; from which
 * it begins without a result, unless the answers speak for a bad version; from
 * which it begins unless they do so clearly; from which it begins in any case, for
 * a verdict in time. */
#define GOOD_RESULT_PART (1.0 / 3)
#define NO_RESULT_PART (1.0 / 2)
#define WORSE_RESULT_PART (2.0 / 3)
#define ANY_RESULT_PART (3.0 / 4)
/* Log-likelihood ratios from which answers speak for a bad version, and clearly.
 * The latter is ln(100): few good versions reach it by chance. */
#define LEANS 0.0
#define LEANS_FAR 4.6
/* For which the target is observed at least after its first server was ready,
 * and for which it gets all requests before it can succeed, since some versions
 * are bad under load only. */
#define MIN_OBSERVED_PART (1.0 / 6)
#define MIN_SHIFTED_PART (1.0 / 6)
/* With no ready server of the target for this time, the shift has failed. */
#define TARGET_GONE_NS (3000 * MH_NS_PER_MS)

/* Connections to the target that fail in a row, without any response: such
 * attempts are not counted, since nothing was sent, but a version that none can
 * be sent to must not replace another. From the first number on it gets no
 * further phase, at the second it is bad. A dead server among others that respond
 * reaches neither. */
#define DOUBTFUL_UNREACHABLE 3
#define BAD_UNREACHABLE 10

bool mh_rollout_is_alone(const struct service *svc)
{
	uint64_t wait_ns = svc->was_watched ? 0 : MH_ROLLOUT_NEW_JUDGE_NS;

	return svc->alone_ns &&
	       mh_rollout_now_ns(svc->set) >= svc->alone_ns + wait_ns;
}

bool mh_rollout_has_shifted(const struct service *svc)
{
	const struct mh_rollouts *set = svc->set;

	return !set->judges || svc->is_shift_recorded ||
	       set->store == MH_ROLLOUT_STORE_DOWN ||
	       mh_rollout_now_ns(set) >= svc->shift_ns + RECORD_WAIT_NS;
}

void mh_rollout_roll_back_if_bad(struct service *svc)
{
	if (mh_rollout_decides(svc) &&
	    (svc->unreachable >= BAD_UNREACHABLE || mh_rollout_is_bad(svc)))
		mh_rollout_set_phase(svc, MH_ROLLOUT_ROLLED_BACK);
}

static void update_versions(struct service *svc,
			    const struct mh_rollout_in_flight *in_flight,
			    size_t n_in_flight)
{
	struct version *v;
	size_t i;

	DL_FOREACH(svc->versions, v)
		v->attempts = v->ready_servers = 0;
	for (i = 0; i < n_in_flight; i++) {
		if (strcmp(in_flight[i].service, svc->name))
			continue;
		v = mh_rollout_version(svc, in_flight[i].version);
		v->attempts += in_flight[i].attempts;
		v->ready_servers += in_flight[i].ready_servers;
	}
}

/* Takes up a roll-out that another judge may have begun. */
static void settle(struct service *svc)
{
	const struct mh_rollouts *set = svc->set;

	if (svc->is_settled || mh_rollout_is_final(svc) ||
	    (set->store != MH_ROLLOUT_STORE_READ &&
	     !(set->store == MH_ROLLOUT_STORE_DOWN && svc->is_told)))
		return;
	mh_rollout_assume_used(svc);
	mh_rollout_seed_tests(svc);
	svc->period_ns = mh_rollout_now_ns(set);
	svc->is_settled = true;
}

static bool has_other_version(const struct service *svc)
{
	const struct version *v;

	DL_FOREACH(svc->versions, v) {
		if (v != svc->target && !v->is_excluded)
			return true;
	}
	return false;
}

static uint32_t old_attempts(const struct service *svc)
{
	const struct version *v;
	uint32_t n = 0;

	DL_FOREACH(svc->versions, v)
		n += v == svc->target ? 0 : v->attempts;
	return n;
}

static void succeed(struct service *svc)
{
	if (svc->set->store != MH_ROLLOUT_STORE_READ)
		return;
	/* The answers of the period that is not over count, too. */
	mh_rollout_weigh_period(svc);
	mh_rollout_roll_back_if_bad(svc);
	if (mh_rollout_is_final(svc))
		return;
	mh_rollout_set_phase(svc, MH_ROLLOUT_SUCCEEDED);
	mh_rollout_replace_others(svc);
}

/* Whether this part of the duration is past since a time. */
static bool is_past(const struct service *svc, uint64_t since_ns, double part)
{
	uint64_t now_ns = mh_rollout_now_ns(svc->set);

	return (double)(now_ns - since_ns) / MH_NS_PER_MS >=
	       part * svc->duration_ms;
}

static bool is_shift_due(const struct service *svc)
{
	double done = (double)mh_rollout_elapsed_ms(svc) / svc->duration_ms;

	if (!svc->target->ready_servers ||
	    svc->unreachable >= DOUBTFUL_UNREACHABLE)
		return false;
	if (done >= GOOD_RESULT_PART && mh_rollout_is_good(svc))
		return true;
	if (done < NO_RESULT_PART ||
	    !is_past(svc, svc->ready_ns, MIN_OBSERVED_PART))
		return false;
	return done >= ANY_RESULT_PART ||
	       !mh_rollout_leans_to_bad(
		       svc, done < WORSE_RESULT_PART ? LEANS : LEANS_FAR);
}

static void step_observing(struct service *svc, uint64_t now_ns)
{
	if (svc->target->ready_servers && !svc->ready_ns)
		svc->ready_ns = now_ns;
	if (!svc->target->ready_servers || has_other_version(svc))
		svc->alone_ns = 0;
	else if (!svc->alone_ns)
		svc->alone_ns = now_ns;
	if (mh_rollout_is_alone(svc))
		succeed(svc);
	else if (mh_rollout_elapsed_ms(svc) >= svc->duration_ms &&
		 !svc->ready_ns && !mh_rollout_has_answers(svc))
		mh_rollout_set_phase(svc, MH_ROLLOUT_ROLLED_BACK);
	else if (is_shift_due(svc))
		mh_rollout_set_phase(svc, MH_ROLLOUT_SHIFTING);
}

static void step_shifting(struct service *svc, uint64_t now_ns)
{
	if (!svc->target->ready_servers) {
		if (!svc->target_gone_ns)
			svc->target_gone_ns = now_ns;
		if (now_ns >= svc->target_gone_ns + TARGET_GONE_NS)
			mh_rollout_set_phase(svc, MH_ROLLOUT_ROLLED_BACK);
		return;
	}
	svc->target_gone_ns = 0;
	if (!mh_rollout_has_shifted(svc))
		return;
	if (!svc->shifted_ns)
		svc->shifted_ns = now_ns;
	/* Also after the end of the duration: a shift that began late, as judges
	 * were lost, has shown nothing yet. */
	if (!old_attempts(svc) && svc->unreachable < DOUBTFUL_UNREACHABLE &&
	    is_past(svc, svc->shifted_ns, MIN_SHIFTED_PART))
		succeed(svc);
}

static void step(struct service *svc, uint64_t now_ns)
{
	settle(svc);
	mh_rollout_end_period(svc);
	mh_rollout_roll_back_if_bad(svc);
	if (!mh_rollout_decides(svc))
		return;
	if (svc->phase == MH_ROLLOUT_OBSERVING)
		step_observing(svc, now_ns);
	else
		step_shifting(svc, now_ns);
}

bool mh_rollouts_tick(struct mh_rollouts *set,
		      const struct mh_rollout_in_flight *in_flight,
		      size_t n_in_flight)
{
	uint64_t before = set->changes;
	struct service *svc, *tmp;

	HASH_ITER(hh, set->services, svc, tmp) {
		if (mh_rollout_is_final(svc))
			continue;
		update_versions(svc, in_flight, n_in_flight);
		if (set->judges)
			step(svc, mh_rollout_now_ns(set));
	}
	return set->changes != before;
}
