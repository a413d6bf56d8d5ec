/*
 * What the crashes of a suspect say, by the kind of its feature.
 */
#ifndef MH_SUSPECT_RULES_H
#define MH_SUSPECT_RULES_H

#include "core/clock.h"
#include "core/suspects.h"

/* Runs that are lost with a server are reported within this time. */
#define MH_CRASH_REPORTS_NS (100 * MH_NS_PER_MS)
/* Error of times that other processes tell, which are rounded. */
#define MH_SUSPECT_TIME_ERROR_NS (2 * MH_NS_PER_MS)

/**
 * struct mh_suspect_context - evidence for a suspect that only this process has
 * @survived: a server recently lived on after a run with the feature
 * @has_settled: an open run with it has not crashed its server so far
 * @is_shared_early: other processes see too few crashes each to find it
 * @n_brief_survivals: runs since its first crash after which their servers lived
 *                     on for a short time, at least
 */
struct mh_suspect_context {
	bool survived;
	bool has_settled;
	bool is_shared_early;
	uint32_t n_brief_survivals;
};

/**
 * struct mh_suspect_rules - rules of a kind of feature
 * @earlier_success_ns: a good end this shortly before a crash keeps it from
 *                      counting
 * @is_refused: whether the crashes suffice to refuse requests
 * @is_shared: whether the crashes are enough to tell other processes
 * @trials: how many runs may be open at a time
 */
struct mh_suspect_rules {
	uint64_t earlier_success_ns;
	bool (*is_refused)(const struct mh_suspect *suspect);
	bool (*is_shared)(const struct mh_suspect *suspect,
			  const struct mh_suspect_context *context);
	uint32_t (*trials)(const struct mh_suspect *suspect,
			   const struct mh_suspect_context *context);
};

/**
 * mh_suspect_rules_of() - rules of a feature's kind
 * @feature: feature
 */
const struct mh_suspect_rules *mh_suspect_rules_of(struct mh_feature feature);

/**
 * mh_suspect_suffices() - whether the crashes suffice to confirm a part
 * @suspect: record of a part
 * @context: evidence for it
 * @n_others: crashes in the time of these that the part had no share in: servers
 *            end for other reasons as well
 */
bool mh_suspect_suffices(const struct mh_suspect *suspect,
			 const struct mh_suspect_context *context,
			 uint32_t n_others);

/**
 * mh_crash_is_same() - whether two records are of the same crash
 * @a: crash
 * @b: crash
 */
bool mh_crash_is_same(const struct mh_crash *a, const struct mh_crash *b);

/* Crashes of a suspect that may be left unexplained where others are looked for as
 * the causes of the rest. */
#define MH_SUSPECT_MISSING_MAX 1

/**
 * mh_suspect_explain() - mark the crashes of a suspect that may be the fault of
 *                        another one
 * @cause: possible cause; nothing is marked if it has too few of the crashes
 * @suspect: suspect
 * @explained: elements for the suspect's crashes; those that are explained are set
 */
void mh_suspect_explain(const struct mh_suspect *cause,
			const struct mh_suspect *suspect, bool *explained);

/**
 * mh_suspect_has_common() - whether two suspects have a crash in common that counts
 * @suspect: suspect
 * @other: suspect
 */
bool mh_suspect_has_common(const struct mh_suspect *suspect,
			   const struct mh_suspect *other);

/**
 * mh_suspect_may_explain() - whether the crashes of one suspect may be the fault of
 *                       another one
 * @cause: possible cause
 * @suspect: suspect
 *
 * Return: whether all crashes but one that count against @suspect count against
 * @cause as well, and those are several.
 */
bool mh_suspect_may_explain(const struct mh_suspect *cause,
			    const struct mh_suspect *suspect);

#endif
