/*
 * Internals of the set of suspects, shared by its source files only.
 */
#ifndef MH_SUSPECTS_IMPL_H
#define MH_SUSPECTS_IMPL_H

#include <uthash.h>

#include "core/suspect_rules.h"
#include "core/suspects.h"

/* Other processes are told of refusals at this interval. */
#define REFUSAL_REPORT_NS (30000 * MH_NS_PER_MS)
/* Servers that ended lately; most faults end fewer in the time of a trial. */
#define MAX_ENDED 64
/* Features whose last good end is remembered; a power of two. */
#define SUCCESS_SLOTS 4096

/* Without padding. */
struct suspect_key {
	uint64_t kind;
	uint64_t id;
};

struct suspect_row {
	struct suspect_key key;
	struct mh_suspect suspect;
	uint64_t reported_ns;  /* when other processes were told, 0: never */
	uint64_t share_ns;     /* when they will be told, 0: no need to */
	bool has_untold_crash; /* seen here, and not reported since */
	/* Runs since its first crash after which their servers lived on. */
	uint32_t n_brief_survivals;
	/* Crashes that were cleared last, as a ring. */
	uint64_t cleared_ids[MH_SUSPECT_CRASHES];
	uint32_t n_cleared;
	UT_hash_handle hh;
};

struct success {
	struct suspect_key key;
	uint64_t ended_ns;
};

/* A server that ended. */
struct ended_server {
	uint64_t server;
	uint64_t lost_ns;
};

struct mh_suspects {
	struct suspect_row *rows; /* in the order in which they were added */
	struct ended_server ended[MAX_ENDED]; /* the newest ones */
	uint32_t n_ended;		      /* ever recorded */
	struct success successes[SUCCESS_SLOTS];
	uint32_t n_to_share;
	uint64_t expired_ns; /* when rows were expired last */
	uint64_t
		untold_crash; /* the last one that others were not told of, or 0 */
	bool is_shared_early;
	void (*changed)(void *data, const struct mh_suspect *suspect);
	void *data;
};

static inline bool is_part(const struct suspect_row *r)
{
	return r->suspect.feature.kind == MH_FEATURE_PART;
}

/* Records: suspects.c */
struct suspect_row *mh_suspects_find(const struct mh_suspects *set,
				     struct mh_feature feature);
struct mh_suspect_context mh_suspects_context(const struct mh_suspects *set,
					      const struct suspect_row *r,
					      uint64_t now_ns);
uint64_t mh_suspect_expiry_ns(const struct mh_suspect *suspect);
/* Tells other processes of a record; the latter one if they know of it, as it
 * counts less than before. */
void mh_suspects_report(struct mh_suspects *set, struct suspect_row *r,
			uint64_t now_ns);
void mh_suspects_report_less(struct mh_suspects *set, struct suspect_row *r,
			     uint64_t now_ns);
bool mh_suspects_is_shared(const struct mh_suspects *set,
			   const struct suspect_row *r, uint64_t now_ns);
bool mh_suspects_is_told(struct mh_suspects *set, const struct mh_crash *crash);

/* Blame: suspect_blame.c. Two processes may have placed a suspect on trial and
 * another request at a server, and each saw one of them lost: settles which crashes
 * of a record that was merged, and of others, count. */
void mh_suspects_settle_blame(struct mh_suspects *set,
			      struct suspect_row *merged, uint64_t now_ns);

#endif
