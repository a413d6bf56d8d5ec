/*
 * Records of what dispatchers let through, the newest of each host, which an
 * entry keeps for dispatchers that start while the store is down.
 */
#ifndef MH_LEDGER_CACHE_H
#define MH_LEDGER_CACHE_H

#include <stddef.h>
#include <stdint.h>

struct mh_ledger_cache;

/**
 * mh_ledger_cache_new() - keep nothing yet
 */
struct mh_ledger_cache *mh_ledger_cache_new(void);

/**
 * mh_ledger_cache_free() - free all records
 * @cache: ledger_cache or NULL
 */
void mh_ledger_cache_free(struct mh_ledger_cache *cache);

/**
 * mh_ledger_cache_put() - keep a host's newest record; the number of hosts is bounded
 * @cache: ledger_cache
 * @host: name of the host that wrote it
 * @bytes: record, copied
 * @len: length of @bytes
 * @now_ns: monotonic time
 */
void mh_ledger_cache_put(struct mh_ledger_cache *cache, const char *host,
			 const uint8_t *bytes, size_t len, uint64_t now_ns);

/**
 * mh_ledger_cache_each() - walk the records
 * @cache: ledger_cache
 * @now_ns: monotonic time
 * @visit: called for each, with the time since it was put
 * @data: first argument of @visit
 */
void mh_ledger_cache_each(const struct mh_ledger_cache *cache, uint64_t now_ns,
			  void (*visit)(void *data, const char *host,
					const uint8_t *bytes, size_t len,
					uint32_t age_ms),
			  void *data);

#endif
