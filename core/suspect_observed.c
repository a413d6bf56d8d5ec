/* Crashes that entries tell a dispatcher, which did not see them itself. */
#include "core/suspects_impl.h"

static bool has_told_crash(struct mh_suspects *set,
			   const struct mh_suspect *suspect)
{
	uint32_t i;

	for (i = 0; i < suspect->n_crashes; i++) {
		if (mh_suspects_is_told(set, &suspect->crashes[i]))
			return true;
	}
	return false;
}

void mh_suspects_add_observed(struct mh_suspects *set,
			      const struct mh_suspect *observed,
			      uint64_t now_ns)
{
	const struct suspect_row *known =
		mh_suspects_find(set, observed->feature);
	uint64_t reported_ns = known ? known->reported_ns : 0;
	struct suspect_row *r;

	if (!mh_suspects_merge(set, observed, now_ns))
		return;
	r = mh_suspects_find(set, observed->feature);
	r->reported_ns = reported_ns;
	r->has_untold_crash = true;
	if (mh_suspect_is_refused(&r->suspect) ||
	    mh_suspects_is_shared(set, r, now_ns) ||
	    (is_part(r) && has_told_crash(set, observed)))
		mh_suspects_report(set, r, now_ns);
}

void mh_suspects_each_since(const struct mh_suspects *set, uint64_t since_ns,
			    void (*visit)(void *data,
					  const struct mh_suspect *suspect),
			    void *data)
{
	struct suspect_row *r, *tmp;
	uint32_t i;

	HASH_ITER(hh, set->rows, r, tmp) {
		struct mh_suspect recent = r->suspect;

		recent.n_crashes = 0;
		for (i = 0; i < r->suspect.n_crashes; i++) {
			const struct mh_crash *crash = &r->suspect.crashes[i];

			if (!crash->refuted && crash->lost_ns > since_ns)
				recent.crashes[recent.n_crashes++] = *crash;
		}
		if (recent.n_crashes)
			visit(data, &recent);
	}
}
