/*
 * Entries that a dispatcher has lost without a word. They may live, cut off, and
 * grant their part of the quotas, of the retry budget and of servers' limits by
 * themselves: the dispatcher leaves that part to them.
 */
#ifndef MH_LOST_ENTRIES_H
#define MH_LOST_ENTRIES_H

#include <stdint.h>

/* After this time a lost entry counts as dead. */
#define MH_LOST_ENTRY_HOLD_NS (30000 * MH_NS_PER_MS)

struct mh_lost_entries;

/**
 * mh_lost_entries_new() - create an empty set
 */
struct mh_lost_entries *mh_lost_entries_new(void);

/**
 * mh_lost_entries_free() - free a set
 * @lost: set or NULL
 */
void mh_lost_entries_free(struct mh_lost_entries *lost);

/**
 * mh_lost_entries_add() - an entry fell silent
 * @lost: set
 * @host: its host
 * @owner: owner of its slot requests, 0 if not known
 * @heard_ns: monotonic time at which it was last heard of
 */
void mh_lost_entries_add(struct mh_lost_entries *lost, const char *host,
			 uint32_t owner, uint64_t heard_ns);

/**
 * mh_lost_entries_remove() - an entry is back
 * @lost: set
 * @host: its host
 */
void mh_lost_entries_remove(struct mh_lost_entries *lost, const char *host);

/**
 * mh_lost_entries_count() - number of entries that may live
 * @lost: set
 * @now_ns: monotonic time
 */
uint32_t mh_lost_entries_count(struct mh_lost_entries *lost, uint64_t now_ns);

/**
 * mh_lost_entries_each() - walk all
 * @lost: set
 * @now_ns: monotonic time
 * @visit: called for each with its host, its owner and the time since it was heard
 *         of, in ms
 * @data: first argument of @visit
 */
void mh_lost_entries_each(struct mh_lost_entries *lost, uint64_t now_ns,
			  void (*visit)(void *data, const char *host,
					uint32_t owner, uint32_t age_ms),
			  void *data);

#endif
