/*
 * Cache of ledger records: for each dispatcher's host, the newest record of the
 * usage that it granted. Entries keep them for dispatchers that start while the
 * store is down.
 */
#ifndef MH_LEDGER_CACHE_H
#define MH_LEDGER_CACHE_H

#include <stddef.h>
#include <stdint.h>

struct mh_ledger_cache;

/**
 * mh_ledger_cache_new() - create an empty cache
 */
struct mh_ledger_cache *mh_ledger_cache_new(void);

/**
 * mh_ledger_cache_free() - free a cache and its records
 * @cache: cache or NULL
 */
void mh_ledger_cache_free(struct mh_ledger_cache *cache);

/**
 * mh_ledger_cache_put() - store a host's newest record
 * @cache: cache
 * @host: name of the host that wrote it
 * @bytes: record, copied
 * @len: length of @bytes
 * @now_ns: monotonic time
 *
 * The number of hosts is bounded: the record that was stored longest ago is
 * evicted.
 */
void mh_ledger_cache_put(struct mh_ledger_cache *cache, const char *host,
			 const uint8_t *bytes, size_t len, uint64_t now_ns);

/**
 * mh_ledger_cache_each() - walk the records
 * @cache: cache
 * @now_ns: monotonic time
 * @visit: called for each, with the time since it was stored
 * @data: first argument of @visit
 */
void mh_ledger_cache_each(const struct mh_ledger_cache *cache, uint64_t now_ns,
			  void (*visit)(void *data, const char *host,
					const uint8_t *bytes, size_t len,
					uint32_t age_ms),
			  void *data);

#endif
