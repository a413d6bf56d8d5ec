/*
 * Entries that are linked to a dispatcher, by the number of the link, which is
 * also the owner of their requests.
 */
#ifndef MH_LINKED_ENTRY_H
#define MH_LINKED_ENTRY_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "core/dispatch.h"
#include "net/link.h"

/**
 * struct mh_linked_entry - an entry
 * @link: number of the link
 * @host: its host
 * @up_ns: monotonic time at which the link came up
 * @is_told: it was sent configuration and servers
 * @is_using: it requests its slots here
 */
struct mh_linked_entry {
	uint32_t link;
	char *host;
	uint64_t up_ns;
	bool is_told;
	bool is_using;
	UT_hash_handle hh;
};

/**
 * mh_linked_entry_add() - add an entry
 * @table: table
 * @link: number of the link
 * @host: copied
 * @now_ns: monotonic time
 */
struct mh_linked_entry *mh_linked_entry_add(struct mh_linked_entry **table,
					    uint32_t link, const char *host,
					    uint64_t now_ns);

/**
 * mh_linked_entry_find() - find an entry
 * @table: table
 * @link: number of the link
 *
 * Return: NULL if there is none.
 */
struct mh_linked_entry *mh_linked_entry_find(struct mh_linked_entry *table,
					     uint32_t link);

/**
 * mh_linked_entry_host() - host of an entry, for the log
 * @table: table
 * @link: number of its link
 *
 * Return: "" if there is none.
 */
const char *mh_linked_entry_host(struct mh_linked_entry *table, uint32_t link);

/**
 * mh_linked_entries_note() - tell a dispatcher which entries are linked
 * @table: table
 * @d: dispatcher: none of them is lost, whatever a stored record says
 */
void mh_linked_entries_note(struct mh_linked_entry *table,
			    struct mh_dispatch *d);

/**
 * mh_linked_entries_lose() - remove and free an entry whose link was lost
 * @table: table
 * @entry: entry
 * @d: dispatcher
 * @heard_ns: monotonic time at which it was last heard of, if it fell silent: it
 *            may live and grant its share by itself; 0 if its process has ended
 */
void mh_linked_entries_lose(struct mh_linked_entry **table,
			    struct mh_linked_entry *entry,
			    struct mh_dispatch *d, uint64_t heard_ns);

/**
 * mh_linked_entry_set_using() - set whether an entry requests its slots here
 * @table: table
 * @link: link of the entry
 * @is_using: whether it does
 */
void mh_linked_entry_set_using(struct mh_linked_entry *table, uint32_t link,
			       bool is_using);

/**
 * mh_linked_entries_copy_record() - send some entries a copy of a ledger record
 * @table: table
 * @links: links
 * @host: host of the record
 * @text: record
 * @n: number of entries that get it
 */
void mh_linked_entries_copy_record(struct mh_linked_entry *table,
				   struct mh_links *links, const char *host,
				   const char *text, uint32_t n);

/**
 * mh_linked_entry_remove() - remove and free an entry
 * @table: table
 * @entry: entry
 */
void mh_linked_entry_remove(struct mh_linked_entry **table,
			    struct mh_linked_entry *entry);

/**
 * mh_linked_entry_remove_all() - remove and free all entries
 * @table: table
 */
void mh_linked_entry_remove_all(struct mh_linked_entry **table);

#endif
