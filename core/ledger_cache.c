#include "core/ledger_cache.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/check_alloc.h"
#include "core/clock.h"

/* Enough for the dispatchers that are in use one after the other, out of the
 * dozens of hosts of a site that could dispatch. */
#define MAX_HOSTS 16

struct record {
	char *host;
	uint8_t *bytes;
	size_t len;
	uint64_t put_ns;
	UT_hash_handle hh;
};

struct mh_ledger_cache {
	struct record *records; /* in the order in which they were stored */
};

struct mh_ledger_cache *mh_ledger_cache_new(void)
{
	return mh_check_alloc(calloc(1, sizeof(struct mh_ledger_cache)));
}

static void drop(struct mh_ledger_cache *cache, struct record *r)
{
	/* The analyzer does not follow uthash's deletion macros. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(cache->records, r);
	free(r->host);
	free(r->bytes);
	free(r);
}

void mh_ledger_cache_free(struct mh_ledger_cache *cache)
{
	struct record *r, *tmp;

	if (!cache)
		return;
	HASH_ITER(hh, cache->records, r, tmp)
		drop(cache, r);
	free(cache);
}

void mh_ledger_cache_put(struct mh_ledger_cache *cache, const char *host,
			 const uint8_t *bytes, size_t len, uint64_t now_ns)
{
	struct record *r;

	HASH_FIND_STR(cache->records, host, r);
	if (r)
		drop(cache, r);
	else if (HASH_COUNT(cache->records) == MAX_HOSTS)
		drop(cache, cache->records);
	r = mh_check_alloc(calloc(1, sizeof(*r)));
	r->host = mh_check_alloc(strdup(host));
	r->bytes = mh_check_alloc(malloc(len ? len : 1));
	memcpy(r->bytes, bytes, len);
	r->len = len;
	r->put_ns = now_ns;
	HASH_ADD_KEYPTR(hh, cache->records, r->host, strlen(r->host), r);
}

void mh_ledger_cache_each(const struct mh_ledger_cache *cache, uint64_t now_ns,
			  void (*visit)(void *data, const char *host,
					const uint8_t *bytes, size_t len,
					uint32_t age_ms),
			  void *data)
{
	struct record *r, *tmp;

	HASH_ITER(hh, cache->records, r, tmp)
		visit(data, r->host, r->bytes, r->len,
		      (uint32_t)((now_ns - r->put_ns) / MH_NS_PER_MS));
}
