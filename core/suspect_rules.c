#include "core/suspect_rules.h"

#include "core/clock.h"

/* A request is refused after this many crashes, of which one has to be of a run
 * that began when it was a suspect already: several servers may go down at once
 * for a reason of their own while they run copies of the same request. */
#define REFUSED_CRASHES 3
/* A part is refused after this many crashes in series. */
#define REFUSED_ROUNDS 3
/* One more is needed if the part recently did no harm, one if servers end for other
 * reasons at the same time, and one among entries without a dispatcher, which learn
 * late of each other's good runs, unless the record is full. */
#define REFUSED_ROUNDS_SURVIVED 4
/* Crashes from which on other processes are told of a part. */
#define SHARED_CRASHES 2
/* Crashes in series from which on runs with a part that recently did no harm are
 * limited: if no open one does well, and in any case. Most such parts only belong to
 * runs beside the cause. */
#define LIMITED_ROUNDS 2
#define LIMITED_ROUNDS_SETTLED 6
/* Brief survivals between crashes; a part that crashes servers has hardly any. */
#define BRIEF_SURVIVALS_MIN 5
/* A feature that has at least this many crashes of a part may be their cause. */
#define COMMON_CRASHES_MIN 2
/* An equal request that ended well this recently keeps a crash from counting.
 */
#define RECENT_SUCCESS_NS (10000 * MH_NS_PER_MS)
/* Two processes that see the same crash see it within this time. */
#define SAME_CRASH_NS (1000 * MH_NS_PER_MS)

uint32_t mh_suspect_crashes(const struct mh_suspect *suspect)
{
	uint32_t i, n = 0;

	for (i = 0; i < suspect->n_crashes; i++)
		n += !suspect->crashes[i].refuted;
	return n;
}

/* Whether a crash is of a run that began after another one, and of another
 * request: crashes of equal requests say little about their parts. */
static bool follows(const struct mh_crash *crash,
		    const struct mh_crash *earlier)
{
	return crash->placed_ns &&
	       crash->placed_ns + MH_SUSPECT_TIME_ERROR_NS >=
		       earlier->lost_ns &&
	       crash->lost_ns > earlier->lost_ns &&
	       (!crash->request || crash->request != earlier->request);
}

uint32_t mh_suspect_rounds(const struct mh_suspect *suspect)
{
	uint32_t rounds[MH_SUSPECT_CRASHES] = { 0 }, longest = 0, i, j, pass;

	/* Crashes of other processes are in any order. */
	for (pass = 0; pass < suspect->n_crashes; pass++) {
		bool changed = false;

		for (i = 0; i < suspect->n_crashes; i++) {
			const struct mh_crash *crash = &suspect->crashes[i];
			uint32_t n = 1;

			if (crash->refuted)
				continue;
			for (j = 0; j < suspect->n_crashes; j++) {
				if (rounds[j] >= n &&
				    follows(crash, &suspect->crashes[j]))
					n = rounds[j] + 1;
			}
			changed = changed || n != rounds[i];
			rounds[i] = n;
			if (n > longest)
				longest = n;
		}
		if (!changed)
			break;
	}
	return longest;
}

static bool is_request_refused(const struct mh_suspect *suspect)
{
	bool any_on_trial = false;
	uint32_t i;

	for (i = 0; i < suspect->n_crashes; i++)
		any_on_trial = any_on_trial || (!suspect->crashes[i].refuted &&
						suspect->crashes[i].on_trial);
	return any_on_trial && mh_suspect_crashes(suspect) >= REFUSED_CRASHES;
}

static bool is_request_shared(const struct mh_suspect *suspect,
			      const struct mh_suspect_context *context)
{
	(void)suspect;
	(void)context;
	return true;
}

static uint32_t request_trials(const struct mh_suspect *suspect,
			       const struct mh_suspect_context *context)
{
	(void)context;
	return mh_suspect_crashes(suspect) ? 1 : MH_TRIALS_UNLIMITED;
}

static bool is_part_refused(const struct mh_suspect *suspect)
{
	return suspect->is_confirmed &&
	       mh_suspect_rounds(suspect) >= REFUSED_ROUNDS;
}

bool mh_suspect_suffices(const struct mh_suspect *suspect,
			 const struct mh_suspect_context *context,
			 uint32_t n_others)
{
	uint32_t needed =
		context->survived ? REFUSED_ROUNDS_SURVIVED : REFUSED_ROUNDS;

	if (n_others)
		needed++;
	if (context->is_shared_early &&
	    mh_suspect_crashes(suspect) < MH_SUSPECT_CRASHES)
		needed++;
	if (context->n_brief_survivals >= BRIEF_SURVIVALS_MIN)
		needed = LIMITED_ROUNDS_SETTLED;
	/* Most parts have too few crashes to look at their order. */
	return suspect->n_crashes >= needed &&
	       mh_suspect_rounds(suspect) >= needed;
}

/* Each crash makes suspects of all parts that ran at its server: few of them are
 * lost with another one. */
static bool is_part_shared(const struct mh_suspect *suspect,
			   const struct mh_suspect_context *context)
{
	if (context->is_shared_early)
		return mh_suspect_crashes(suspect) > 0;
	return context->survived ?
		       mh_suspect_rounds(suspect) >= LIMITED_ROUNDS :
		       mh_suspect_crashes(suspect) >= SHARED_CRASHES;
}

static uint32_t part_trials(const struct mh_suspect *suspect,
			    const struct mh_suspect_context *context)
{
	uint32_t limited = context->survived ? LIMITED_ROUNDS : 1;

	if (context->n_brief_survivals >= BRIEF_SURVIVALS_MIN ||
	    (context->survived && context->has_settled))
		limited = LIMITED_ROUNDS_SETTLED;
	return mh_suspect_rounds(suspect) >= limited ? 1 : MH_TRIALS_UNLIMITED;
}

const struct mh_suspect_rules *mh_suspect_rules_of(struct mh_feature feature)
{
	static const struct mh_suspect_rules rules[MH_FEATURE_KINDS] = {
		[MH_FEATURE_REQUEST] = { RECENT_SUCCESS_NS, is_request_refused,
					 is_request_shared, request_trials },
		/* A part may turn bad while its identifier stays. */
		[MH_FEATURE_PART] = { 0, is_part_refused, is_part_shared,
				      part_trials },
	};

	return &rules[feature.kind];
}

bool mh_suspect_is_refused(const struct mh_suspect *suspect)
{
	return mh_suspect_rules_of(suspect->feature)->is_refused(suspect);
}

static uint64_t distance(uint64_t a, uint64_t b)
{
	return a > b ? a - b : b - a;
}

/* Whether a run began after a server had crashed, so that it was lost with the
 * server's next crash. */
static bool began_after(const struct mh_crash *crash,
			const struct mh_crash *earlier)
{
	return crash->placed_ns > earlier->lost_ns + MH_CRASH_REPORTS_NS;
}

bool mh_crash_is_same(const struct mh_crash *a, const struct mh_crash *b)
{
	if (a->id == b->id)
		return true;
	return a->server == b->server && !began_after(a, b) &&
	       !began_after(b, a) &&
	       distance(a->lost_ns, b->lost_ns) < SAME_CRASH_NS;
}

static bool has_crash(const struct mh_suspect *suspect,
		      const struct mh_crash *crash)
{
	uint32_t i;

	for (i = 0; i < suspect->n_crashes; i++) {
		if (!suspect->crashes[i].refuted &&
		    mh_crash_is_same(&suspect->crashes[i], crash))
			return true;
	}
	return false;
}

bool mh_suspect_has_common(const struct mh_suspect *suspect,
			   const struct mh_suspect *other)
{
	uint32_t i;

	for (i = 0; i < other->n_crashes; i++) {
		if (!other->crashes[i].refuted &&
		    has_crash(suspect, &other->crashes[i]))
			return true;
	}
	return false;
}

void mh_suspect_explain(const struct mh_suspect *cause,
			const struct mh_suspect *suspect, bool *explained)
{
	bool common[MH_SUSPECT_CRASHES] = { false };
	uint32_t i, n = 0;

	for (i = 0; i < suspect->n_crashes; i++) {
		if (suspect->crashes[i].refuted ||
		    !has_crash(cause, &suspect->crashes[i]))
			continue;
		common[i] = true;
		n++;
	}
	for (i = 0; n >= COMMON_CRASHES_MIN && i < suspect->n_crashes; i++)
		explained[i] = explained[i] || common[i];
}

bool mh_suspect_may_explain(const struct mh_suspect *cause,
			    const struct mh_suspect *suspect)
{
	bool explained[MH_SUSPECT_CRASHES] = { false };
	uint32_t i, n = 0;

	mh_suspect_explain(cause, suspect, explained);
	for (i = 0; i < suspect->n_crashes; i++)
		n += explained[i];
	return n && n + MH_SUSPECT_MISSING_MAX >= mh_suspect_crashes(suspect);
}
