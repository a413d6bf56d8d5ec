#include "core/lost_entries.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/check_alloc.h"
#include "core/clock.h"

struct row {
	char *host;
	uint32_t owner;
	uint64_t heard_ns;
	UT_hash_handle hh;
};

struct mh_lost_entries {
	struct row *rows;
};

struct mh_lost_entries *mh_lost_entries_new(void)
{
	return mh_check_alloc(calloc(1, sizeof(struct mh_lost_entries)));
}

static void free_row(struct mh_lost_entries *lost, struct row *r)
{
	/* The analyzer does not follow uthash's deletion macros. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(lost->rows, r);
	free(r->host);
	free(r);
}

void mh_lost_entries_free(struct mh_lost_entries *lost)
{
	struct row *r, *tmp;

	if (!lost)
		return;
	HASH_ITER(hh, lost->rows, r, tmp)
		free_row(lost, r);
	free(lost);
}

void mh_lost_entries_add(struct mh_lost_entries *lost, const char *host,
			 uint32_t owner, uint64_t heard_ns)
{
	struct row *r;

	HASH_FIND_STR(lost->rows, host, r);
	if (!r) {
		r = mh_check_alloc(calloc(1, sizeof(*r)));
		r->host = mh_check_alloc(strdup(host));
		HASH_ADD_KEYPTR(hh, lost->rows, r->host, strlen(r->host), r);
	}
	if (owner)
		r->owner = owner;
	r->heard_ns = mh_later(r->heard_ns, heard_ns);
}

void mh_lost_entries_remove(struct mh_lost_entries *lost, const char *host)
{
	struct row *r;

	HASH_FIND_STR(lost->rows, host, r);
	if (r)
		free_row(lost, r);
}

static void expire(struct mh_lost_entries *lost, uint64_t now_ns)
{
	struct row *r, *tmp;

	HASH_ITER(hh, lost->rows, r, tmp) {
		if (now_ns > r->heard_ns + MH_LOST_ENTRY_HOLD_NS)
			free_row(lost, r);
	}
}

uint32_t mh_lost_entries_count(struct mh_lost_entries *lost, uint64_t now_ns)
{
	expire(lost, now_ns);
	return HASH_COUNT(lost->rows);
}

void mh_lost_entries_each(struct mh_lost_entries *lost, uint64_t now_ns,
			  void (*visit)(void *data, const char *host,
					uint32_t owner, uint32_t age_ms),
			  void *data)
{
	struct row *r, *tmp;

	expire(lost, now_ns);
	HASH_ITER(hh, lost->rows, r, tmp)
		visit(data, r->host, r->owner,
		      now_ns > r->heard_ns ? (uint32_t)((now_ns - r->heard_ns) /
							MH_NS_PER_MS) :
					     0);
}
