#include "core/entry_set.h"

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

struct mh_entry_set {
	struct row *rows;
};

struct mh_entry_set *mh_entry_set_new(void)
{
	return mh_check_alloc(calloc(1, sizeof(struct mh_entry_set)));
}

static void free_row(struct mh_entry_set *set, struct row *r)
{
	/* The analyzer does not follow uthash's deletion macros. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(set->rows, r);
	free(r->host);
	free(r);
}

void mh_entry_set_free(struct mh_entry_set *set)
{
	struct row *r, *tmp;

	if (!set)
		return;
	HASH_ITER(hh, set->rows, r, tmp)
		free_row(set, r);
	free(set);
}

void mh_entry_set_note(struct mh_entry_set *set, const char *host,
		       uint32_t owner, uint64_t heard_ns)
{
	struct row *r;

	HASH_FIND_STR(set->rows, host, r);
	if (!r) {
		r = mh_check_alloc(calloc(1, sizeof(*r)));
		r->host = mh_check_alloc(strdup(host));
		HASH_ADD_KEYPTR(hh, set->rows, r->host, strlen(r->host), r);
	}
	if (owner)
		r->owner = owner;
	r->heard_ns = mh_later(r->heard_ns, heard_ns);
}

void mh_entry_set_remove(struct mh_entry_set *set, const char *host)
{
	struct row *r;

	HASH_FIND_STR(set->rows, host, r);
	if (r)
		free_row(set, r);
}

bool mh_entry_set_has(const struct mh_entry_set *set, const char *host)
{
	struct row *r;

	HASH_FIND_STR(set->rows, host, r);
	return r;
}

static void expire(struct mh_entry_set *set, uint64_t now_ns)
{
	struct row *r, *tmp;

	HASH_ITER(hh, set->rows, r, tmp) {
		if (now_ns > r->heard_ns + MH_ENTRY_HOLD_NS)
			free_row(set, r);
	}
}

uint32_t mh_entry_set_count(struct mh_entry_set *set, uint64_t now_ns)
{
	expire(set, now_ns);
	return HASH_COUNT(set->rows);
}

void mh_entry_set_each(struct mh_entry_set *set, uint64_t now_ns,
		       void (*visit)(void *data, const char *host,
				     uint32_t owner, uint32_t age_ms),
		       void *data)
{
	struct row *r, *tmp;

	expire(set, now_ns);
	HASH_ITER(hh, set->rows, r, tmp)
		visit(data, r->host, r->owner,
		      now_ns > r->heard_ns ? (uint32_t)((now_ns - r->heard_ns) /
							MH_NS_PER_MS) :
					     0);
}
