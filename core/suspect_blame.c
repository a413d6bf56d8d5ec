/* Which of the runs that a server ended with take the blame. */
#include "core/clock.h"
#include "core/suspects_impl.h"

/* Whether a crash takes the blame for that of another run. */
static bool takes_blame(const struct mh_crash *crash,
			const struct mh_crash *other)
{
	return crash->is_blamed && !crash->refuted && !other->on_trial &&
	       crash->request != other->request &&
	       mh_crash_is_same(crash, other);
}

static bool blames(const struct suspect_row *r, const struct mh_crash *other)
{
	uint32_t i;

	for (i = 0; i < r->suspect.n_crashes; i++) {
		if (takes_blame(&r->suspect.crashes[i], other))
			return true;
	}
	return false;
}

bool mh_suspects_blames_other(const struct mh_suspects *set,
			      const struct mh_crash *lost)
{
	struct suspect_row *r, *tmp;

	HASH_ITER(hh, set->rows, r, tmp) {
		if (blames(r, lost))
			return true;
	}
	return false;
}

/* Return: whether crashes of a suspect were refuted. */
static bool refute_blamed_on(struct mh_suspect *suspect,
			     const struct suspect_row *cause)
{
	bool changed = false;
	uint32_t i;

	for (i = 0; i < suspect->n_crashes; i++) {
		struct mh_crash *crash = &suspect->crashes[i];

		if (crash->refuted || !blames(cause, crash))
			continue;
		crash->refuted = true;
		changed = true;
	}
	return changed;
}

void mh_suspects_settle_blame(struct mh_suspects *set,
			      struct suspect_row *merged, uint64_t now_ns)
{
	struct suspect_row *r, *tmp;

	if (is_part(merged))
		return;
	HASH_ITER(hh, set->rows, r, tmp) {
		if (r == merged || is_part(r))
			continue;
		refute_blamed_on(&merged->suspect, r);
		if (refute_blamed_on(&r->suspect, merged))
			mh_suspects_report_less(set, r, now_ns);
	}
}

/* Refutes crashes of a server, except those of @blamed and those that were on
 * trial if it is given. */
static void refute(struct mh_suspects *set, uint64_t server,
		   const struct mh_features *blamed, uint64_t since_ns,
		   uint64_t now_ns)
{
	struct suspect_row *r, *tmp;
	uint32_t i;

	HASH_ITER(hh, set->rows, r, tmp) {
		bool changed = false;

		if (blamed && mh_features_hold(blamed, r->suspect.feature))
			continue;
		for (i = 0; i < r->suspect.n_crashes; i++) {
			struct mh_crash *crash = &r->suspect.crashes[i];

			if (crash->server != server || crash->refuted ||
			    crash->lost_ns < since_ns ||
			    (blamed && crash->on_trial))
				continue;
			crash->refuted = true;
			changed = true;
		}
		if (changed)
			mh_suspects_report_less(set, r, now_ns);
	}
}

void mh_suspects_refute(struct mh_suspects *set, uint64_t server,
			uint64_t since_ns, uint64_t now_ns)
{
	refute(set, server, NULL, since_ns, now_ns);
}

void mh_suspects_blame(struct mh_suspects *set, uint64_t server,
		       const struct mh_features *blamed, uint64_t since_ns,
		       uint64_t now_ns)
{
	refute(set, server, blamed, since_ns, now_ns);
}
