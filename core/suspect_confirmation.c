/* Which parts are refused, and which crashes they explain. */
#include "core/clock.h"
#include "core/suspects_impl.h"

/* Whether a server's end counts against a part that crashed others before and did
 * no harm recently: it has a cause of its own. */
static bool has_own_cause(const struct mh_suspects *set,
			  const struct ended_server *end,
			  const struct mh_suspect *except, uint64_t now_ns)
{
	struct suspect_row *r, *tmp;
	uint32_t i;

	HASH_ITER(hh, set->rows, r, tmp) {
		const struct mh_suspect *suspect = &r->suspect;

		if (suspect == except || !is_part(r) ||
		    mh_suspect_rounds(suspect) < 2 ||
		    mh_suspects_survived_lately(set, suspect->feature, now_ns))
			continue;
		for (i = 0; i < suspect->n_crashes; i++) {
			if (!suspect->crashes[i].refuted &&
			    suspect->crashes[i].server == end->server)
				return true;
		}
	}
	return false;
}

/* Return: number of servers that ended since the first crash that counts against
 * a suspect, and by none that is known if it crashed those. */
static uint32_t count_others(const struct mh_suspects *set,
			     const struct mh_suspect *suspect, uint64_t now_ns)
{
	uint32_t i, j, others = 0;
	uint32_t n = set->n_ended < MAX_ENDED ? set->n_ended : MAX_ENDED;
	uint64_t first_ns = UINT64_MAX;

	for (i = 0; i < suspect->n_crashes; i++) {
		const struct mh_crash *crash = &suspect->crashes[i];

		if (!crash->refuted && crash->lost_ns < first_ns)
			first_ns = crash->lost_ns;
	}
	/* The record has no room for more: any other may be its own. */
	if (suspect->n_crashes == MH_SUSPECT_CRASHES)
		return 0;
	for (i = 0; i < n; i++) {
		const struct ended_server *end = &set->ended[i];

		if (end->lost_ns + MH_CRASH_REPORTS_NS < first_ns)
			continue;
		for (j = 0; j < suspect->n_crashes &&
			    (suspect->crashes[j].refuted ||
			     suspect->crashes[j].server != end->server);
		     j++)
			;
		others += j == suspect->n_crashes &&
			  !has_own_cause(set, end, suspect, now_ns);
	}
	return others;
}

/* Refutes the crashes of a part that a refused part or request explains.
 * Return: whether there were any. */
static bool refute_explained(struct mh_suspect *suspect,
			     const struct mh_suspect *cause)
{
	bool changed = false;
	uint32_t i, j;

	for (i = 0; i < suspect->n_crashes; i++) {
		struct mh_crash *crash = &suspect->crashes[i];

		for (j = 0; j < cause->n_crashes && !crash->refuted; j++) {
			if (cause->crashes[j].refuted ||
			    !mh_crash_is_same(&cause->crashes[j], crash))
				continue;
			crash->refuted = true;
			changed = true;
		}
	}
	return changed;
}

/* Whether other suspects than those of a request may be the causes of a suspect's
 * crashes: one of nearly all, or several of some each. Entries without a dispatcher
 * see too few of the runs that do well to look for several.
 * @except: features of the request, NULL for none */
static bool is_explained(const struct mh_suspects *set,
			 const struct suspect_row *r,
			 const struct mh_features *except)
{
	bool explained[MH_SUSPECT_CRASHES] = { false };
	uint32_t i, n = mh_suspect_crashes(&r->suspect), missing = 0;
	struct suspect_row *other, *tmp;

	HASH_ITER(hh, set->rows, other, tmp) {
		if (other == r ||
		    (except &&
		     mh_features_hold(except, other->suspect.feature)))
			continue;
		if (mh_suspect_may_explain(&other->suspect, &r->suspect))
			return true;
		if (!set->is_shared_early)
			mh_suspect_explain(&other->suspect, &r->suspect,
					   explained);
	}
	for (i = 0; i < r->suspect.n_crashes; i++)
		missing += !r->suspect.crashes[i].refuted && !explained[i];
	return missing <= MH_SUSPECT_MISSING_MAX && missing < n;
}

/* Return: number of crashes of a suspect that another one has as well, if they are
 * several. */
static uint32_t count_common(const struct mh_suspect *suspect,
			     const struct mh_suspect *other)
{
	bool explained[MH_SUSPECT_CRASHES] = { false };
	uint32_t i, n = 0;

	mh_suspect_explain(other, suspect, explained);
	for (i = 0; i < suspect->n_crashes; i++)
		n += explained[i];
	return n;
}

/* A part that may be the cause itself, of all or some of the crashes, is not cleared
 * by another one. */
static bool may_clear(const struct mh_suspects *set,
		      const struct suspect_row *cause,
		      const struct suspect_row *r)
{
	if (cause == r || !is_part(r))
		return false;
	return set->is_shared_early ?
		       !mh_suspect_may_explain(&r->suspect, &cause->suspect) :
		       !count_common(&cause->suspect, &r->suspect);
}

static bool may_be_confirmed(const struct suspect_row *r)
{
	return is_part(r) && !r->suspect.is_confirmed &&
	       mh_suspect_suffices(&r->suspect,
				   &(struct mh_suspect_context){ 0 }, 0);
}

static void confirm(struct mh_suspects *set, struct suspect_row *r,
		    uint64_t now_ns)
{
	struct mh_suspect *suspect = &r->suspect;
	struct mh_suspect_context context = mh_suspects_context(set, r, now_ns);

	if (!mh_suspect_suffices(suspect, &context,
				 count_others(set, suspect, now_ns)))
		return;
	suspect->is_confirmed = true;
	mh_suspects_report(set, r, now_ns);
}

void mh_suspects_confirm(struct mh_suspects *set,
			 bool (*has_settled)(void *data,
					     struct mh_feature feature),
			 void *data, uint64_t now_ns)
{
	struct suspect_row *cause, *r, *tmp, *tmp_r;

	HASH_ITER(hh, set->rows, r, tmp) {
		if (may_be_confirmed(r) &&
		    !has_settled(data, r->suspect.feature))
			confirm(set, r, now_ns);
	}
	HASH_ITER(hh, set->rows, cause, tmp) {
		/* While others may be the causes, nothing is explained yet. */
		if (!mh_suspect_is_refused(&cause->suspect) ||
		    (!set->is_shared_early && is_explained(set, cause, NULL)))
			continue;
		HASH_ITER(hh, set->rows, r, tmp_r) {
			if (may_clear(set, cause, r) &&
			    refute_explained(&r->suspect, &cause->suspect))
				mh_suspects_report_less(set, r, now_ns);
		}
	}
}

/* Whether a request is refused without the crashes that may be the fault of another
 * refused suspect: two dispatchers may have placed both at a server at the same time.
 * Suspects that have several crashes in common are no such case. */
static bool has_own_crashes(const struct mh_suspects *set,
			    const struct suspect_row *r,
			    const struct mh_features *features)
{
	struct mh_suspect own = r->suspect;
	struct suspect_row *other, *tmp;

	HASH_ITER(hh, set->rows, other, tmp) {
		if (!mh_features_hold(features, other->suspect.feature) &&
		    mh_suspect_is_refused(&other->suspect) &&
		    !count_common(&r->suspect, &other->suspect))
			refute_explained(&own, &other->suspect);
	}
	return mh_suspect_is_refused(&own);
}

static bool refuses(const struct mh_suspects *set, const struct suspect_row *r,
		    const struct mh_features *features, uint64_t now_ns)
{
	if (!r || !mh_suspect_is_refused(&r->suspect) ||
	    now_ns >= mh_suspect_expiry_ns(&r->suspect))
		return false;
	return is_part(r) ? !is_explained(set, r, features) :
			    has_own_crashes(set, r, features);
}

bool mh_suspects_refuses(struct mh_suspects *set,
			 const struct mh_features *features, uint64_t now_ns,
			 struct mh_feature *by)
{
	uint32_t i;

	for (i = 0; set->rows && i < mh_features_count(features); i++) {
		struct suspect_row *r =
			mh_suspects_find(set, mh_features_at(features, i));

		if (!refuses(set, r, features, now_ns))
			continue;
		r->suspect.seen_ns = now_ns;
		if (now_ns >= r->reported_ns + REFUSAL_REPORT_NS)
			mh_suspects_report(set, r, now_ns);
		*by = r->suspect.feature;
		return true;
	}
	return false;
}
