#include "core/returning.h"

#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

#include "core/check_alloc.h"
#include "core/clock.h"

/* Records that are kept: about 4 s of rejections at a thousand a second. */
#define MAX_RECORDS 4096
#define MAX_LANES 256
/* A client that is told a time may come earlier by the rounding of Retry-After and
 * the way of its request, and later by its own delays. */
#define EARLY_NS (5 * MH_NS_PER_MS)
#define LATE_NS (500 * MH_NS_PER_MS)

struct record {
	struct mh_returning_request req;
	struct record *prev, *next; /* in the order in which they were added */
	UT_hash_handle hh;
};

struct lane {
	uint64_t id;
	uint64_t next_ns; /* behind the last retry that was scheduled */
	UT_hash_handle hh;
};

struct mh_returning {
	struct record *records;
	struct record *list;
	struct lane *lanes;
};

struct mh_returning *mh_returning_new(void)
{
	return mh_check_alloc(calloc(1, sizeof(struct mh_returning)));
}

static void drop(struct mh_returning *set, struct record *r)
{
	/* The analyzer does not follow uthash's deletion macros. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(set->records, r);
	DL_DELETE(set->list, r);
	free(r);
}

static void drop_lane(struct mh_returning *set, struct lane *lane)
{
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(set->lanes, lane);
	free(lane);
}

void mh_returning_free(struct mh_returning *set)
{
	struct lane *lane, *tmp;

	if (!set)
		return;
	while (set->list)
		drop(set, set->list);
	HASH_ITER(hh, set->lanes, lane, tmp)
		drop_lane(set, lane);
	free(set);
}

static struct lane *get_lane(struct mh_returning *set, uint64_t id)
{
	struct lane *lane;

	HASH_FIND(hh, set->lanes, &id, sizeof(id), lane);
	if (lane)
		return lane;
	if (HASH_COUNT(set->lanes) == MAX_LANES)
		drop_lane(set, set->lanes);
	lane = mh_check_alloc(calloc(1, sizeof(*lane)));
	lane->id = id;
	HASH_ADD(hh, set->lanes, id, sizeof(lane->id), lane);
	return lane;
}

uint64_t mh_returning_schedule(struct mh_returning *set, uint64_t lane,
			       uint64_t from_ns, uint64_t until_ns,
			       uint64_t spacing_ns)
{
	struct lane *l = get_lane(set, lane);

	if (from_ns > until_ns)
		from_ns = until_ns;
	if (l->next_ns >= from_ns && l->next_ns <= until_ns)
		from_ns = l->next_ns;
	l->next_ns = from_ns + spacing_ns;
	return from_ns;
}

static struct record *find(const struct mh_returning *set, uint64_t fingerprint)
{
	struct record *r;

	HASH_FIND(hh, set->records, &fingerprint, sizeof(fingerprint), r);
	return r;
}

void mh_returning_add(struct mh_returning *set,
		      const struct mh_returning_request *req, uint64_t now_ns)
{
	struct record *r;

	if (!req->fingerprint)
		return;
	while (set->list && set->list->req.told_ns + LATE_NS < now_ns)
		drop(set, set->list);
	r = find(set, req->fingerprint);
	if (r)
		drop(set, r);
	else if (HASH_COUNT(set->records) == MAX_RECORDS)
		drop(set, set->list);
	r = mh_check_alloc(calloc(1, sizeof(*r)));
	r->req = *req;
	HASH_ADD(hh, set->records, req.fingerprint, sizeof(r->req.fingerprint),
		 r);
	DL_APPEND(set->list, r);
}

enum mh_return mh_returning_take(struct mh_returning *set, uint64_t fingerprint,
				 uint64_t now_ns,
				 struct mh_returning_request *req)
{
	struct record *r = find(set, fingerprint);

	if (!r)
		return MH_RETURN_NONE;
	*req = r->req;
	drop(set, r);
	if (now_ns + EARLY_NS < req->told_ns)
		return MH_RETURN_EARLY;
	return now_ns <= req->told_ns + LATE_NS ? MH_RETURN_ON_TIME :
						  MH_RETURN_NONE;
}

uint32_t mh_returning_count(const struct mh_returning *set)
{
	return HASH_COUNT(set->records);
}
