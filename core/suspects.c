#include "core/suspects.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/check_alloc.h"
#include "core/clock.h"
#include "core/suspects_impl.h"

/* How long a suspect is kept after its last crash, and one that is refused
 * after its last crash or refusal. */
#define SUSPECT_RETENTION_NS (60000 * MH_NS_PER_MS)
#define REFUSED_RETENTION_NS (MH_SUSPECT_RETENTION_MS * MH_NS_PER_MS)
/* A server that lived on after a run with the part this recently shows that it did
 * no harm. */
#define RECENT_SURVIVAL_NS (10000 * MH_NS_PER_MS)
/* A server that cut a response and lives accepts a connection within this time.
 * Crashes that are refuted by then concern no other process: with servers that
 * cut streams they would be most of the traffic on the links. */
#define SHARE_DELAY_NS (150 * MH_NS_PER_MS)
/* Room for the parts of several runs that were lost: a cause is known to be one only
 * when it is lost with a second server. */
#define MAX_SUSPECTS (16 * MH_PARTS_MAX)
/* Runs that are lost with a server are reported within this time of each other,
 * over all processes. */
#define SAME_END_NS (1000 * MH_NS_PER_MS)

struct mh_suspects *
mh_suspects_new(void (*changed)(void *data, const struct mh_suspect *suspect),
		void *data)
{
	struct mh_suspects *set = mh_check_alloc(calloc(1, sizeof(*set)));

	set->changed = changed;
	set->data = data;
	return set;
}

static void set_share_time(struct mh_suspects *set, struct suspect_row *r,
			   uint64_t share_ns)
{
	set->n_to_share += !!share_ns;
	set->n_to_share -= !!r->share_ns;
	r->share_ns = share_ns;
}

void mh_suspects_share_early(struct mh_suspects *set, bool on)
{
	set->is_shared_early = on;
}

static void free_row(struct mh_suspects *set, struct suspect_row *r)
{
	set_share_time(set, r, 0);
	/* The analyzer does not follow uthash's deletion macros. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(set->rows, r);
	free(r);
}

void mh_suspects_free(struct mh_suspects *set)
{
	struct suspect_row *r, *tmp;

	if (!set)
		return;
	HASH_ITER(hh, set->rows, r, tmp)
		free_row(set, r);
	free(set);
}

static struct suspect_key key_of(struct mh_feature feature)
{
	return (struct suspect_key){ feature.kind, feature.id };
}

struct suspect_row *mh_suspects_find(const struct mh_suspects *set,
				     struct mh_feature feature)
{
	struct suspect_key key = key_of(feature);
	struct suspect_row *r;

	if (!set->rows)
		return NULL;
	/* The analyzer does not follow uthash's hash function. */
	/* NOLINTNEXTLINE(clang-analyzer-core.UndefinedBinaryOperatorResult) */
	HASH_FIND(hh, set->rows, &key, sizeof(key), r);
	return r;
}

uint64_t mh_fingerprint_add(uint64_t fingerprint, const void *part, size_t len)
{
	uint64_t h = XXH3_64bits_withSeed(part, len, fingerprint + len);

	return h ? h : 1;
}

uint64_t mh_suspect_expiry_ns(const struct mh_suspect *suspect)
{
	return suspect->seen_ns + (mh_suspect_is_refused(suspect) ?
					   REFUSED_RETENTION_NS :
					   SUSPECT_RETENTION_NS);
}

/* Whether little is lost with a record: one crash says hardly anything. */
static bool is_weak(const struct suspect_row *r)
{
	return mh_suspect_crashes(&r->suspect) < 2 &&
	       !mh_suspect_is_refused(&r->suspect);
}

/* Makes room for a record: the oldest weak one has to go, else the oldest one
 * that is not refused. */
static void evict(struct mh_suspects *set)
{
	struct suspect_row *r, *tmp, *oldest = NULL;

	HASH_ITER(hh, set->rows, r, tmp) {
		if (is_weak(r)) {
			free_row(set, r);
			return;
		}
		if (!oldest && !mh_suspect_is_refused(&r->suspect))
			oldest = r;
	}
	free_row(set, oldest ? oldest : set->rows);
}

static struct suspect_row *get(struct mh_suspects *set,
			       struct mh_feature feature, uint64_t now_ns)
{
	struct suspect_row *r = mh_suspects_find(set, feature);

	if (r)
		return r;
	/* All features of a run are added at the same time. */
	if (set->expired_ns != now_ns)
		mh_suspects_expire(set, now_ns);
	if (HASH_COUNT(set->rows) == MAX_SUSPECTS)
		evict(set);
	r = mh_check_alloc(calloc(1, sizeof(*r)));
	r->key = key_of(feature);
	r->suspect.feature = feature;
	HASH_ADD(hh, set->rows, key, sizeof(r->key), r);
	return r;
}

static uint32_t success_slot(struct mh_feature feature)
{
	return feature.id & (SUCCESS_SLOTS - 1);
}

/* Return: when the feature last showed to be harmless, 0 if it is not known. */
static uint64_t last_success_ns(const struct mh_suspects *set,
				struct mh_feature feature)
{
	const struct success *ok = &set->successes[success_slot(feature)];

	return ok->key.id == feature.id && ok->key.kind == feature.kind ?
		       ok->ended_ns :
		       0;
}

bool mh_suspects_survived_lately(const struct mh_suspects *set,
				 struct mh_feature feature, uint64_t now_ns)
{
	uint64_t ended_ns = last_success_ns(set, feature);

	return ended_ns && now_ns < ended_ns + RECENT_SURVIVAL_NS;
}

struct mh_suspect_context mh_suspects_context(const struct mh_suspects *set,
					      const struct suspect_row *r,
					      uint64_t now_ns)
{
	return (struct mh_suspect_context){
		.survived = mh_suspects_survived_lately(set, r->suspect.feature,
							now_ns),
		.is_shared_early = set->is_shared_early,
		.n_brief_survivals = r->n_brief_survivals,
	};
}

bool mh_suspects_is_shared(const struct mh_suspects *set,
			   const struct suspect_row *r, uint64_t now_ns)
{
	struct mh_suspect_context context = mh_suspects_context(set, r, now_ns);

	return mh_suspect_rules_of(r->suspect.feature)
		->is_shared(&r->suspect, &context);
}

/* Tells others of the parts that have crashes of one that they are told of, so that
 * they look for the same alternatives. */
static void report_alternatives(struct mh_suspects *set,
				const struct suspect_row *cause,
				uint64_t now_ns)
{
	struct suspect_row *r, *tmp;

	HASH_ITER(hh, set->rows, r, tmp) {
		if (r != cause && is_part(r) && r->has_untold_crash &&
		    mh_suspect_has_common(&r->suspect, &cause->suspect))
			mh_suspects_report(set, r, now_ns);
	}
}

void mh_suspects_report(struct mh_suspects *set, struct suspect_row *r,
			uint64_t now_ns)
{
	set_share_time(set, r, 0);
	set->untold_crash = 0;
	r->reported_ns = now_ns;
	r->has_untold_crash = false;
	if (set->changed)
		set->changed(set->data, &r->suspect);
	if (is_part(r))
		report_alternatives(set, r, now_ns);
}

/* Reports a record that counts less than before, unless nobody knows of it. */
void mh_suspects_report_less(struct mh_suspects *set, struct suspect_row *r,
			     uint64_t now_ns)
{
	if (r->reported_ns)
		mh_suspects_report(set, r, now_ns);
	else if (!mh_suspect_crashes(&r->suspect))
		set_share_time(set, r, 0);
}

bool mh_suspects_share(struct mh_suspects *set, uint64_t now_ns)
{
	struct suspect_row *r, *tmp;

	if (!set->n_to_share)
		return false;
	HASH_ITER(hh, set->rows, r, tmp) {
		if (r->share_ns && now_ns >= r->share_ns) {
			if (mh_suspects_is_shared(set, r, now_ns))
				mh_suspects_report(set, r, now_ns);
			else
				set_share_time(set, r, 0);
		}
	}
	return set->n_to_share > 0;
}

static void remember_success(struct mh_suspects *set, struct mh_feature feature,
			     uint64_t now_ns)
{
	struct success *ok = &set->successes[success_slot(feature)];

	ok->key = key_of(feature);
	ok->ended_ns = now_ns;
}

/* Whether a feature showed to be harmless shortly before a crash, or since. */
static bool succeeded_recently(const struct mh_suspects *set,
			       struct mh_feature feature, uint64_t lost_ns)
{
	uint64_t ended_ns = last_success_ns(set, feature);
	uint64_t earlier_ns = mh_suspect_rules_of(feature)->earlier_success_ns;
	const struct suspect_row *r = mh_suspects_find(set, feature);

	if (earlier_ns && ended_ns && lost_ns < ended_ns + earlier_ns)
		return true;
	return r && r->suspect.cleared_ns &&
	       lost_ns < r->suspect.cleared_ns + earlier_ns;
}

/* Which of the crashes to replace by a new one so that the longest series stays: the
 * oldest of those that it does not need. */
static uint32_t least_needed(const struct mh_suspect *suspect,
			     const struct mh_crash *crash)
{
	uint32_t i, best = 0, most = 0;

	for (i = 0; i < MH_SUSPECT_CRASHES; i++) {
		struct mh_suspect with = *suspect;
		uint32_t rounds;

		with.crashes[i] = *crash;
		rounds = mh_suspect_rounds(&with);
		if (rounds < most ||
		    (rounds == most && suspect->crashes[i].lost_ns >=
					       suspect->crashes[best].lost_ns))
			continue;
		most = rounds;
		best = i;
	}
	return best;
}

static void record_end(struct mh_suspects *set, uint64_t server,
		       uint64_t lost_ns)
{
	uint32_t i, n = set->n_ended < MAX_ENDED ? set->n_ended : MAX_ENDED;

	for (i = 0; i < n; i++) {
		const struct ended_server *known = &set->ended[i];

		if (known->server == server &&
		    lost_ns < known->lost_ns + SAME_END_NS)
			return;
	}
	set->ended[set->n_ended++ % MAX_ENDED] =
		(struct ended_server){ server, lost_ns };
}

/* Adds a crash if there is room for it or it makes a difference.
 * Return: whether it was added. */
static bool append_crash(struct mh_suspect *suspect,
			 const struct mh_crash *crash)
{
	uint32_t i;

	if (suspect->n_crashes < MH_SUSPECT_CRASHES) {
		suspect->crashes[suspect->n_crashes++] = *crash;
		return true;
	}
	if (crash->refuted ||
	    (mh_suspect_is_refused(suspect) && !crash->on_trial))
		return false;
	for (i = 0; i < MH_SUSPECT_CRASHES && !suspect->crashes[i].refuted; i++)
		;
	if (i == MH_SUSPECT_CRASHES) {
		if (!crash->on_trial)
			return false;
		i = least_needed(suspect, crash);
		/* Full records that replace each other's have to agree at last. */
		if (crash->lost_ns <= suspect->crashes[i].lost_ns)
			return false;
	}
	suspect->crashes[i] = *crash;
	return true;
}

/* Mixes a server and a time into the number of a crash. */
static uint64_t crash_id(uint64_t server, uint64_t now_ns)
{
	struct mh_rng rng = { server ^ now_ns };

	return mh_rng_next(&rng);
}

static bool was_known(const struct mh_suspect *suspect, uint64_t placed_ns)
{
	uint32_t i;

	for (i = 0; i < suspect->n_crashes; i++) {
		if (!suspect->crashes[i].refuted &&
		    suspect->crashes[i].lost_ns <= placed_ns)
			return true;
	}
	return false;
}

/* Whether others were told of a crash with another part: they have to know its
 * alternatives, too. */
bool mh_suspects_is_told(struct mh_suspects *set, const struct mh_crash *crash)
{
	const struct mh_suspect one = { .n_crashes = 1, .crashes = { *crash } };
	struct suspect_row *r, *tmp;

	if (set->untold_crash && set->untold_crash == crash->id)
		return false;
	HASH_ITER(hh, set->rows, r, tmp) {
		if (is_part(r) && r->reported_ns && !r->has_untold_crash &&
		    mh_suspect_has_common(&r->suspect, &one))
			return true;
	}
	set->untold_crash = crash->id;
	return false;
}

bool mh_suspects_add_crash(struct mh_suspects *set, struct mh_feature feature,
			   const struct mh_crash *lost, bool was_responding)
{
	uint64_t now_ns = lost->lost_ns;
	struct mh_crash crash = *lost;
	struct mh_suspect *suspect;
	struct suspect_row *r;
	bool is_urgent;
	uint32_t i;

	if (!feature.id || succeeded_recently(set, feature, now_ns))
		return false;
	crash.id = crash_id(lost->server, now_ns);
	record_end(set, lost->server, now_ns);
	r = get(set, feature, now_ns);
	suspect = &r->suspect;
	for (i = 0; i < suspect->n_crashes; i++) {
		const struct mh_crash *known = &suspect->crashes[i];

		if (known->server == lost->server &&
		    (lost->placed_ns <= known->lost_ns ||
		     now_ns < known->lost_ns + MH_CRASH_REPORTS_NS))
			return !known->refuted;
	}
	crash.on_trial = was_known(suspect, lost->placed_ns);
	suspect->seen_ns = now_ns;
	if (append_crash(suspect, &crash))
		r->has_untold_crash = true;
	is_urgent = mh_suspect_is_refused(suspect) ||
		    (is_part(r) && mh_suspects_is_told(set, &crash));
	if (!is_urgent && !mh_suspects_is_shared(set, r, now_ns))
		return true;
	if (!was_responding || is_urgent)
		mh_suspects_report(set, r, now_ns);
	else if (!r->share_ns)
		set_share_time(set, r, now_ns + SHARE_DELAY_NS);
	return true;
}

void mh_suspects_clear(struct mh_suspects *set, uint64_t fingerprint,
		       uint64_t now_ns)
{
	struct mh_feature feature = { MH_FEATURE_REQUEST, fingerprint };
	struct suspect_row *r;

	if (!fingerprint)
		return;
	remember_success(set, feature, now_ns);
	r = mh_suspects_find(set, feature);
	if (!r)
		return;
	r->suspect.cleared_ns = now_ns;
	if (!r->suspect.n_crashes)
		return;
	r->suspect.n_crashes = 0;
	mh_suspects_report_less(set, r, now_ns);
}

/* Return: whether there were any. */
static bool drop_cleared_crashes(struct suspect_row *r, uint64_t error_ns)
{
	struct mh_suspect *suspect = &r->suspect;
	uint32_t i, n = 0, n_before = suspect->n_crashes;

	for (i = 0; i < suspect->n_crashes; i++) {
		if (suspect->crashes[i].lost_ns >=
		    suspect->cleared_ns + error_ns)
			suspect->crashes[n++] = suspect->crashes[i];
		else
			r->cleared_ids[r->n_cleared++ % MH_SUSPECT_CRASHES] =
				suspect->crashes[i].id;
	}
	suspect->n_crashes = n;
	/* What is left may not suffice: the next crash decides anew. */
	suspect->is_confirmed = suspect->is_confirmed && n == n_before;
	return n < n_before;
}

void mh_suspects_survived(struct mh_suspects *set,
			  const struct mh_features *features,
			  uint64_t placed_ns, uint64_t now_ns)
{
	uint32_t i;

	for (i = 0; i < features->n_parts; i++) {
		struct mh_feature part = { MH_FEATURE_PART,
					   features->parts[i] };
		struct suspect_row *r = mh_suspects_find(set, part);

		remember_success(set, part, now_ns);
		if (!r || placed_ns <= r->suspect.cleared_ns)
			continue;
		r->suspect.cleared_ns = placed_ns;
		if (!drop_cleared_crashes(r, 0))
			continue;
		if (!r->suspect.n_crashes)
			r->n_brief_survivals = 0;
		mh_suspects_report_less(set, r, now_ns);
	}
}

void mh_suspects_survived_briefly(struct mh_suspects *set,
				  const struct mh_features *features,
				  uint64_t placed_ns)
{
	uint64_t first_ns, last_ns;
	uint32_t i;

	for (i = 0; set->rows && i < features->n_parts; i++) {
		struct mh_feature part = { MH_FEATURE_PART,
					   features->parts[i] };
		struct suspect_row *r = mh_suspects_find(set, part);

		if (!r)
			continue;
		mh_suspects_crash_times(set, part, &first_ns, &last_ns);
		r->n_brief_survivals += first_ns && placed_ns > first_ns;
	}
}

uint32_t mh_suspects_crashes(const struct mh_suspects *set,
			     struct mh_feature feature, uint64_t now_ns)
{
	const struct suspect_row *r = mh_suspects_find(set, feature);

	return r && now_ns < mh_suspect_expiry_ns(&r->suspect) ?
		       mh_suspect_crashes(&r->suspect) :
		       0;
}

void mh_suspects_crash_times(const struct mh_suspects *set,
			     struct mh_feature feature, uint64_t *first_ns,
			     uint64_t *last_ns)
{
	const struct suspect_row *r = mh_suspects_find(set, feature);
	uint32_t i;

	*first_ns = *last_ns = 0;
	for (i = 0; r && i < r->suspect.n_crashes; i++) {
		const struct mh_crash *crash = &r->suspect.crashes[i];

		if (crash->refuted)
			continue;
		if (crash->lost_ns > *last_ns)
			*last_ns = crash->lost_ns;
		if (!*first_ns || crash->lost_ns < *first_ns)
			*first_ns = crash->lost_ns;
	}
}

bool mh_suspects_was_known(const struct mh_suspects *set,
			   struct mh_feature feature, uint64_t placed_ns,
			   uint64_t now_ns)
{
	const struct suspect_row *r = mh_suspects_find(set, feature);

	return r && now_ns < mh_suspect_expiry_ns(&r->suspect) &&
	       was_known(&r->suspect, placed_ns);
}

uint32_t mh_suspects_trials(const struct mh_suspects *set,
			    struct mh_feature feature, bool has_settled,
			    uint64_t now_ns)
{
	const struct suspect_row *r = mh_suspects_find(set, feature);
	struct mh_suspect_context context;

	if (!r || now_ns >= mh_suspect_expiry_ns(&r->suspect))
		return MH_TRIALS_UNLIMITED;
	context = mh_suspects_context(set, r, now_ns);
	context.has_settled = has_settled;
	return mh_suspect_rules_of(feature)->trials(&r->suspect, &context);
}

/* What clears a part drops its earlier crashes, and those that the error of times
 * may have made later: the latter must not be added again. */
/* Times drift from one process to the next: a crash that was cleared may look like
 * a later one, and would be dropped and added again without end. */
static bool was_cleared(const struct suspect_row *r, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < MH_SUSPECT_CRASHES && i < r->n_cleared; i++) {
		if (r->cleared_ids[i] == id)
			return true;
	}
	return false;
}

static bool merge_crash(struct mh_suspects *set, struct suspect_row *r,
			const struct mh_crash *other, uint64_t error_ns)
{
	struct mh_suspect *suspect = &r->suspect;
	struct mh_crash *crash;
	uint32_t i;

	for (i = 0; i < suspect->n_crashes; i++) {
		crash = &suspect->crashes[i];
		if (!mh_crash_is_same(crash, other))
			continue;
		if (crash->refuted >= other->refuted &&
		    crash->on_trial >= other->on_trial &&
		    crash->is_blamed >= other->is_blamed)
			return false;
		crash->is_blamed = crash->is_blamed || other->is_blamed;
		crash->refuted = crash->refuted || other->refuted;
		crash->on_trial = crash->on_trial || other->on_trial;
		return true;
	}
	if (was_cleared(r, other->id) ||
	    succeeded_recently(set, suspect->feature,
			       other->lost_ns - error_ns))
		return false;
	return append_crash(suspect, other);
}

bool mh_suspects_merge(struct mh_suspects *set, const struct mh_suspect *other,
		       uint64_t now_ns)
{
	uint64_t error_ns = other->feature.kind == MH_FEATURE_PART ?
				    MH_SUSPECT_TIME_ERROR_NS :
				    0;
	bool changed = false;
	struct suspect_row *r;
	uint32_t i;

	if (!other->feature.id || now_ns >= mh_suspect_expiry_ns(other))
		return false;
	r = get(set, other->feature, now_ns);
	if (other->cleared_ns > r->suspect.cleared_ns) {
		r->suspect.cleared_ns = other->cleared_ns;
		changed = drop_cleared_crashes(r, error_ns);
	}
	for (i = 0; i < other->n_crashes; i++) {
		changed |= merge_crash(set, r, &other->crashes[i], error_ns);
		record_end(set, other->crashes[i].server,
			   other->crashes[i].lost_ns);
	}
	if (changed)
		mh_suspects_settle_blame(set, r, now_ns);
	/* Unless it was confirmed before it was cleared. */
	if (other->is_confirmed && !r->suspect.is_confirmed &&
	    other->cleared_ns + MH_SUSPECT_TIME_ERROR_NS >=
		    r->suspect.cleared_ns &&
	    mh_suspect_rounds(&r->suspect)) {
		r->suspect.is_confirmed = true;
		changed = true;
	}
	if (other->seen_ns > r->suspect.seen_ns) {
		changed = changed || other->seen_ns > r->suspect.seen_ns +
							      REFUSAL_REPORT_NS;
		r->suspect.seen_ns = other->seen_ns;
	}
	if (changed) {
		set->untold_crash = 0;
		r->reported_ns = now_ns;
	}
	return changed;
}

void mh_suspects_each(const struct mh_suspects *set,
		      void (*visit)(void *data,
				    const struct mh_suspect *suspect),
		      void *data)
{
	struct suspect_row *r, *tmp;

	HASH_ITER(hh, set->rows, r, tmp) {
		if (r->reported_ns ||
		    (r->suspect.feature.kind == MH_FEATURE_REQUEST &&
		     mh_suspect_crashes(&r->suspect)))
			visit(data, &r->suspect);
	}
}

void mh_suspects_expire(struct mh_suspects *set, uint64_t now_ns)
{
	struct suspect_row *r, *tmp;

	set->expired_ns = now_ns;
	HASH_ITER(hh, set->rows, r, tmp) {
		if (now_ns >= mh_suspect_expiry_ns(&r->suspect))
			free_row(set, r);
	}
}
