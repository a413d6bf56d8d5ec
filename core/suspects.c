#include "core/suspects.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#include "core/check_alloc.h"
#include "core/clock.h"

/* A request is refused after this many crashes, of which one has to be of a run
 * that began when it was a suspect already: several servers may go down at once
 * for a reason of their own while they run copies of the same request. */
#define REFUSED_CRASHES 3
/* How long a suspect is kept after its last crash, and one that is refused
 * after its last crash or refusal. */
#define SUSPECT_RETENTION_NS (60000 * MH_NS_PER_MS)
#define REFUSED_RETENTION_NS (MH_SUSPECT_RETENTION_MS * MH_NS_PER_MS)
/* Other processes are told of refusals at this interval. */
#define REFUSAL_REPORT_NS (30000 * MH_NS_PER_MS)
/* An equal request that ended well this recently keeps a crash from counting.
 */
#define RECENT_SUCCESS_NS (10000 * MH_NS_PER_MS)
/* Runs that are lost with a server are reported within this time. */
#define REPORTS_NS (100 * MH_NS_PER_MS)
/* Two processes that see the same crash see it within this time. */
#define SAME_CRASH_NS (1000 * MH_NS_PER_MS)
/* A server that cut a response and lives accepts a connection within this time.
 * Crashes that are refuted by then concern no other process: with servers that
 * cut streams they would be most of the traffic on the links. */
#define SHARE_DELAY_NS (150 * MH_NS_PER_MS)
#define MAX_SUSPECTS 1024
/* Fingerprints whose last good end is remembered; a power of two. */
#define SUCCESS_SLOTS 4096

struct row {
	struct mh_suspect suspect;
	uint64_t reported_ns; /* when other processes were told, 0: never */
	uint64_t share_ns;    /* when they will be told, 0: no need to */
	UT_hash_handle hh;
};

struct success {
	uint64_t fingerprint;
	uint64_t ended_ns;
};

struct mh_suspects {
	struct row *rows; /* in the order in which they were added */
	struct success successes[SUCCESS_SLOTS];
	uint32_t n_to_share;
	void (*changed)(void *data, const struct mh_suspect *suspect);
	void *data;
};

struct mh_suspects *
mh_suspects_new(void (*changed)(void *data, const struct mh_suspect *suspect),
		void *data)
{
	struct mh_suspects *set = mh_check_alloc(calloc(1, sizeof(*set)));

	set->changed = changed;
	set->data = data;
	return set;
}

static void set_share_time(struct mh_suspects *set, struct row *r,
			   uint64_t share_ns)
{
	set->n_to_share += !!share_ns;
	set->n_to_share -= !!r->share_ns;
	r->share_ns = share_ns;
}

static void free_row(struct mh_suspects *set, struct row *r)
{
	set_share_time(set, r, 0);
	/* The analyzer does not follow uthash's deletion macros. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(set->rows, r);
	free(r);
}

void mh_suspects_free(struct mh_suspects *set)
{
	struct row *r, *tmp;

	if (!set)
		return;
	HASH_ITER(hh, set->rows, r, tmp)
		free_row(set, r);
	free(set);
}

static struct row *find(const struct mh_suspects *set, uint64_t fingerprint)
{
	struct row *r;

	HASH_FIND(hh, set->rows, &fingerprint, sizeof(fingerprint), r);
	return r;
}

uint64_t mh_fingerprint_add(uint64_t fingerprint, const void *part, size_t len)
{
	uint64_t h = XXH3_64bits_withSeed(part, len, fingerprint + len);

	return h ? h : 1;
}

uint32_t mh_suspect_crashes(const struct mh_suspect *suspect)
{
	uint32_t i, n = 0;

	for (i = 0; i < suspect->n_crashes; i++)
		n += !suspect->crashes[i].refuted;
	return n;
}

bool mh_suspect_is_refused(const struct mh_suspect *suspect)
{
	bool any_on_trial = false;
	uint32_t i;

	for (i = 0; i < suspect->n_crashes; i++)
		any_on_trial = any_on_trial || (!suspect->crashes[i].refuted &&
						suspect->crashes[i].on_trial);
	return any_on_trial && mh_suspect_crashes(suspect) >= REFUSED_CRASHES;
}

static uint64_t expiry_ns(const struct mh_suspect *suspect)
{
	return suspect->seen_ns + (mh_suspect_is_refused(suspect) ?
					   REFUSED_RETENTION_NS :
					   SUSPECT_RETENTION_NS);
}

/* Makes room for a record: the oldest one that is not refused has to go. */
static void evict(struct mh_suspects *set)
{
	struct row *r, *tmp;

	HASH_ITER(hh, set->rows, r, tmp) {
		if (mh_suspect_is_refused(&r->suspect))
			continue;
		free_row(set, r);
		return;
	}
	free_row(set, set->rows);
}

static struct row *get(struct mh_suspects *set, uint64_t fingerprint,
		       uint64_t now_ns)
{
	struct row *r = find(set, fingerprint);

	if (r)
		return r;
	mh_suspects_expire(set, now_ns);
	if (HASH_COUNT(set->rows) == MAX_SUSPECTS)
		evict(set);
	r = mh_check_alloc(calloc(1, sizeof(*r)));
	r->suspect.fingerprint = fingerprint;
	HASH_ADD(hh, set->rows, suspect.fingerprint, sizeof(fingerprint), r);
	return r;
}

static void report(struct mh_suspects *set, struct row *r, uint64_t now_ns)
{
	set_share_time(set, r, 0);
	r->reported_ns = now_ns;
	if (set->changed)
		set->changed(set->data, &r->suspect);
}

/* Reports a record that counts less than before, unless nobody knows of it. */
static void report_less(struct mh_suspects *set, struct row *r, uint64_t now_ns)
{
	if (r->reported_ns)
		report(set, r, now_ns);
	else if (!mh_suspect_crashes(&r->suspect))
		set_share_time(set, r, 0);
}

bool mh_suspects_share(struct mh_suspects *set, uint64_t now_ns)
{
	struct row *r, *tmp;

	if (!set->n_to_share)
		return false;
	HASH_ITER(hh, set->rows, r, tmp) {
		if (r->share_ns && now_ns >= r->share_ns)
			report(set, r, now_ns);
	}
	return set->n_to_share > 0;
}

static struct success *success_of(struct mh_suspects *set, uint64_t fingerprint)
{
	return &set->successes[fingerprint & (SUCCESS_SLOTS - 1)];
}

/* Whether an equal request ended well shortly before a crash, or since. */
static bool succeeded_recently(struct mh_suspects *set, uint64_t fingerprint,
			       uint64_t lost_ns)
{
	const struct success *ok = success_of(set, fingerprint);
	const struct row *r = find(set, fingerprint);

	if (ok->fingerprint == fingerprint && ok->ended_ns &&
	    lost_ns < ok->ended_ns + RECENT_SUCCESS_NS)
		return true;
	return r && r->suspect.cleared_ns &&
	       lost_ns < r->suspect.cleared_ns + RECENT_SUCCESS_NS;
}

static uint64_t distance(uint64_t a, uint64_t b)
{
	return a > b ? a - b : b - a;
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
	if (crash->refuted || mh_suspect_is_refused(suspect))
		return false;
	for (i = 0; i < MH_SUSPECT_CRASHES && !suspect->crashes[i].refuted; i++)
		;
	if (i == MH_SUSPECT_CRASHES && !crash->on_trial)
		return false;
	suspect->crashes[i % MH_SUSPECT_CRASHES] = *crash;
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

bool mh_suspects_add_crash(struct mh_suspects *set, uint64_t fingerprint,
			   uint64_t server, uint64_t placed_ns,
			   bool was_responding, uint64_t now_ns)
{
	struct mh_crash crash = {
		.id = crash_id(server, now_ns),
		.server = server,
		.placed_ns = placed_ns,
		.lost_ns = now_ns,
	};
	struct mh_suspect *suspect;
	struct row *r;
	uint32_t i;

	if (!fingerprint || succeeded_recently(set, fingerprint, now_ns))
		return false;
	r = get(set, fingerprint, now_ns);
	suspect = &r->suspect;
	for (i = 0; i < suspect->n_crashes; i++) {
		const struct mh_crash *known = &suspect->crashes[i];

		if (known->server == server &&
		    (placed_ns <= known->lost_ns ||
		     now_ns < known->lost_ns + REPORTS_NS))
			return !known->refuted;
	}
	crash.on_trial = was_known(suspect, placed_ns);
	suspect->seen_ns = now_ns;
	append_crash(suspect, &crash);
	if (!was_responding || mh_suspect_is_refused(suspect))
		report(set, r, now_ns);
	else if (!r->share_ns)
		set_share_time(set, r, now_ns + SHARE_DELAY_NS);
	return true;
}

/* Refutes crashes of a server, except those of one fingerprint and those that
 * were on trial if @blamed is given. */
static void refute(struct mh_suspects *set, uint64_t server, uint64_t blamed,
		   uint64_t since_ns, uint64_t now_ns)
{
	struct row *r, *tmp;
	uint32_t i;

	HASH_ITER(hh, set->rows, r, tmp) {
		bool changed = false;

		if (blamed && r->suspect.fingerprint == blamed)
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
			report_less(set, r, now_ns);
	}
}

void mh_suspects_refute(struct mh_suspects *set, uint64_t server,
			uint64_t since_ns, uint64_t now_ns)
{
	refute(set, server, 0, since_ns, now_ns);
}

void mh_suspects_blame(struct mh_suspects *set, uint64_t server,
		       uint64_t fingerprint, uint64_t since_ns, uint64_t now_ns)
{
	refute(set, server, fingerprint, since_ns, now_ns);
}

void mh_suspects_clear(struct mh_suspects *set, uint64_t fingerprint,
		       uint64_t now_ns)
{
	struct success *ok = success_of(set, fingerprint);
	struct row *r = find(set, fingerprint);

	if (!fingerprint)
		return;
	ok->fingerprint = fingerprint;
	ok->ended_ns = now_ns;
	if (!r)
		return;
	r->suspect.cleared_ns = now_ns;
	if (!r->suspect.n_crashes)
		return;
	r->suspect.n_crashes = 0;
	report_less(set, r, now_ns);
}

uint32_t mh_suspects_crashes(const struct mh_suspects *set,
			     uint64_t fingerprint, uint64_t now_ns)
{
	const struct row *r = set->rows ? find(set, fingerprint) : NULL;

	return r && now_ns < expiry_ns(&r->suspect) ?
		       mh_suspect_crashes(&r->suspect) :
		       0;
}

bool mh_suspects_was_known(const struct mh_suspects *set, uint64_t fingerprint,
			   uint64_t placed_ns, uint64_t now_ns)
{
	const struct row *r = set->rows ? find(set, fingerprint) : NULL;

	return r && now_ns < expiry_ns(&r->suspect) &&
	       was_known(&r->suspect, placed_ns);
}

bool mh_suspects_is_refused(struct mh_suspects *set, uint64_t fingerprint,
			    uint64_t now_ns)
{
	struct row *r = set->rows ? find(set, fingerprint) : NULL;

	if (!r || !mh_suspect_is_refused(&r->suspect) ||
	    now_ns >= expiry_ns(&r->suspect))
		return false;
	r->suspect.seen_ns = now_ns;
	if (now_ns >= r->reported_ns + REFUSAL_REPORT_NS)
		report(set, r, now_ns);
	return true;
}

/* Whether a run began after a server had crashed, so that it was lost with the
 * server's next crash. */
static bool began_after(const struct mh_crash *crash,
			const struct mh_crash *earlier)
{
	return crash->placed_ns > earlier->lost_ns + REPORTS_NS;
}

static bool is_same_crash(const struct mh_crash *a, const struct mh_crash *b)
{
	if (a->id == b->id)
		return true;
	return a->server == b->server && !began_after(a, b) &&
	       !began_after(b, a) &&
	       distance(a->lost_ns, b->lost_ns) < SAME_CRASH_NS;
}

static bool merge_crash(struct mh_suspects *set, struct mh_suspect *suspect,
			const struct mh_crash *other)
{
	struct mh_crash *crash;
	uint32_t i;

	for (i = 0; i < suspect->n_crashes; i++) {
		crash = &suspect->crashes[i];
		if (!is_same_crash(crash, other))
			continue;
		if (crash->refuted >= other->refuted &&
		    crash->on_trial >= other->on_trial)
			return false;
		crash->refuted = crash->refuted || other->refuted;
		crash->on_trial = crash->on_trial || other->on_trial;
		return true;
	}
	if (succeeded_recently(set, suspect->fingerprint, other->lost_ns))
		return false;
	return append_crash(suspect, other);
}

/* Return: whether there were any. */
static bool drop_cleared_crashes(struct mh_suspect *suspect)
{
	uint32_t i, n = 0, n_before = suspect->n_crashes;

	for (i = 0; i < suspect->n_crashes; i++) {
		if (suspect->crashes[i].lost_ns >= suspect->cleared_ns)
			suspect->crashes[n++] = suspect->crashes[i];
	}
	suspect->n_crashes = n;
	return n < n_before;
}

bool mh_suspects_merge(struct mh_suspects *set, const struct mh_suspect *other,
		       uint64_t now_ns)
{
	bool changed = false;
	struct row *r;
	uint32_t i;

	if (!other->fingerprint || now_ns >= expiry_ns(other))
		return false;
	r = get(set, other->fingerprint, now_ns);
	if (other->cleared_ns > r->suspect.cleared_ns) {
		r->suspect.cleared_ns = other->cleared_ns;
		changed = drop_cleared_crashes(&r->suspect);
	}
	for (i = 0; i < other->n_crashes; i++)
		changed |= merge_crash(set, &r->suspect, &other->crashes[i]);
	if (other->seen_ns > r->suspect.seen_ns) {
		changed = changed || other->seen_ns > r->suspect.seen_ns +
							      REFUSAL_REPORT_NS;
		r->suspect.seen_ns = other->seen_ns;
	}
	if (changed)
		r->reported_ns = now_ns;
	return changed;
}

void mh_suspects_each(const struct mh_suspects *set,
		      void (*visit)(void *data,
				    const struct mh_suspect *suspect),
		      void *data)
{
	struct row *r, *tmp;

	HASH_ITER(hh, set->rows, r, tmp) {
		if (r->reported_ns || mh_suspect_crashes(&r->suspect))
			visit(data, &r->suspect);
	}
}

void mh_suspects_expire(struct mh_suspects *set, uint64_t now_ns)
{
	struct row *r, *tmp;

	HASH_ITER(hh, set->rows, r, tmp) {
		if (now_ns >= expiry_ns(&r->suspect))
			free_row(set, r);
	}
}
