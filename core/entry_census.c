#include "core/entry_census.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/check_alloc.h"

struct row {
	char *host;
	uint64_t registered_ms;
	UT_hash_handle hh;
};

struct mh_entry_census {
	struct row *rows;
};

struct mh_entry_census *mh_entry_census_new(void)
{
	return mh_check_alloc(calloc(1, sizeof(struct mh_entry_census)));
}

static void free_row(struct mh_entry_census *census, struct row *r)
{
	/* The analyzer does not follow uthash's deletion macros. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(census->rows, r);
	free(r->host);
	free(r);
}

void mh_entry_census_clear(struct mh_entry_census *census)
{
	struct row *r, *tmp;

	HASH_ITER(hh, census->rows, r, tmp)
		free_row(census, r);
}

void mh_entry_census_free(struct mh_entry_census *census)
{
	if (!census)
		return;
	mh_entry_census_clear(census);
	free(census);
}

void mh_entry_census_add(struct mh_entry_census *census, const char *host,
			 uint64_t registered_ms)
{
	struct row *r;

	HASH_FIND_STR(census->rows, host, r);
	if (!r) {
		r = mh_check_alloc(calloc(1, sizeof(*r)));
		r->host = mh_check_alloc(strdup(host));
		HASH_ADD_KEYPTR(hh, census->rows, r->host, strlen(r->host), r);
	}
	r->registered_ms = registered_ms;
}

void mh_entry_census_remove(struct mh_entry_census *census, const char *host)
{
	struct row *r;

	HASH_FIND_STR(census->rows, host, r);
	if (r)
		free_row(census, r);
}

uint32_t mh_entry_census_count(const struct mh_entry_census *census,
			       uint64_t now_ms)
{
	struct row *r, *tmp;
	uint32_t n = 0;

	HASH_ITER(hh, census->rows, r, tmp) {
		if (now_ms <= r->registered_ms + MH_CENSUS_MAX_AGE_MS)
			n++;
	}
	return n;
}
