/*
 * Number of entries, from the registrations that they keep in the platform's
 * store. Entries without a dispatcher share slots, quotas and the retry budget
 * by it.
 */
#ifndef MH_ENTRY_CENSUS_H
#define MH_ENTRY_CENSUS_H

#include <stddef.h>
#include <stdint.h>

/* An entry registers at its start and then at this interval. Clocks of hosts may
 * differ by much of an hour. */
#define MH_CENSUS_INTERVAL_MS (3600u * 1000u)
/* An entry whose registration is older was removed. */
#define MH_CENSUS_MAX_AGE_MS (24u * MH_CENSUS_INTERVAL_MS)

struct mh_entry_census;

/**
 * mh_entry_census_new() - create a census without entries
 */
struct mh_entry_census *mh_entry_census_new(void);

/**
 * mh_entry_census_free() - free a census
 * @census: census or NULL
 */
void mh_entry_census_free(struct mh_entry_census *census);

/**
 * mh_entry_census_clear() - forget all entries, before a full listing
 * @census: census
 */
void mh_entry_census_clear(struct mh_entry_census *census);

/**
 * mh_entry_census_add() - add or renew an entry
 * @census: census
 * @host: its host
 * @registered_ms: Unix time of its registration
 */
void mh_entry_census_add(struct mh_entry_census *census, const char *host,
			 uint64_t registered_ms);

/**
 * mh_entry_census_remove() - remove an entry
 * @census: census
 * @host: its host
 */
void mh_entry_census_remove(struct mh_entry_census *census, const char *host);

/**
 * mh_entry_census_count() - number of entries whose registration holds
 * @census: census
 * @now_ms: Unix time
 */
uint32_t mh_entry_census_count(const struct mh_entry_census *census,
			       uint64_t now_ms);

#endif
