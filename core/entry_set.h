/*
 * Entries by host, each with the time at which it was last heard of. After a while
 * without a word it is forgotten.
 */
#ifndef MH_ENTRY_SET_H
#define MH_ENTRY_SET_H

#include <stdbool.h>
#include <stdint.h>

/* An entry that was not heard of for so long counts as dead. */
#define MH_ENTRY_HOLD_NS (30000 * MH_NS_PER_MS)

struct mh_entry_set;

/**
 * mh_entry_set_new() - create an empty set
 */
struct mh_entry_set *mh_entry_set_new(void);

/**
 * mh_entry_set_free() - free a set
 * @set: set or NULL
 */
void mh_entry_set_free(struct mh_entry_set *set);

/**
 * mh_entry_set_note() - an entry was heard of
 * @set: set
 * @host: its host
 * @owner: owner of its slot requests, 0 if not known
 * @heard_ns: monotonic time at which it was last heard of
 */
void mh_entry_set_note(struct mh_entry_set *set, const char *host,
		       uint32_t owner, uint64_t heard_ns);

/**
 * mh_entry_set_remove() - drop an entry
 * @set: set
 * @host: its host
 */
void mh_entry_set_remove(struct mh_entry_set *set, const char *host);

/**
 * mh_entry_set_has() - look up an entry
 * @set: set
 * @host: its host
 */
bool mh_entry_set_has(const struct mh_entry_set *set, const char *host);

/**
 * mh_entry_set_count() - number of entries
 * @set: set
 * @now_ns: monotonic time
 */
uint32_t mh_entry_set_count(struct mh_entry_set *set, uint64_t now_ns);

/**
 * mh_entry_set_each() - walk all
 * @set: set
 * @now_ns: monotonic time
 * @visit: called for each with its host, its owner and the time since it was heard
 *         of, in ms
 * @data: first argument of @visit
 */
void mh_entry_set_each(struct mh_entry_set *set, uint64_t now_ns,
		       void (*visit)(void *data, const char *host,
				     uint32_t owner, uint32_t age_ms),
		       void *data);

#endif
