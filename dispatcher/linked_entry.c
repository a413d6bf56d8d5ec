#include "dispatcher/linked_entry.h"

#include <stdlib.h>
#include <string.h>

#include "core/check_alloc.h"
#include "net/link_peer.h"

struct mh_linked_entry *mh_linked_entry_add(struct mh_linked_entry **table,
					    uint32_t link, const char *host,
					    uint64_t now_ns)
{
	struct mh_linked_entry *entry =
		mh_check_alloc(calloc(1, sizeof(*entry)));

	entry->link = link;
	entry->host = mh_check_alloc(strdup(host));
	entry->up_ns = now_ns;
	HASH_ADD(hh, *table, link, sizeof(entry->link), entry);
	return entry;
}

struct mh_linked_entry *mh_linked_entry_find(struct mh_linked_entry *table,
					     uint32_t link)
{
	struct mh_linked_entry *entry;

	HASH_FIND(hh, table, &link, sizeof(link), entry);
	return entry;
}

const char *mh_linked_entry_host(struct mh_linked_entry *table, uint32_t link)
{
	const struct mh_linked_entry *entry = mh_linked_entry_find(table, link);

	return entry ? entry->host : "";
}

void mh_linked_entry_set_using(struct mh_linked_entry *table, uint32_t link,
			       bool is_using)
{
	struct mh_linked_entry *entry = mh_linked_entry_find(table, link);

	if (entry)
		entry->is_using = is_using;
}

void mh_linked_entries_copy_record(struct mh_linked_entry *table,
				   struct mh_links *links, const char *host,
				   const char *text, uint32_t n)
{
	struct mh_linked_entry *entry, *tmp;

	HASH_ITER(hh, table, entry, tmp) {
		struct mh_link_peer to = { links, entry->link };

		if (!n--)
			break;
		mh_link_peer_send_record(&to, host, (const uint8_t *)text,
					 strlen(text), 0);
	}
}

void mh_linked_entry_remove(struct mh_linked_entry **table,
			    struct mh_linked_entry *entry)
{
	/* The analyzer does not follow uthash's deletion macros. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(*table, entry);
	free(entry->host);
	free(entry);
}

void mh_linked_entries_note(struct mh_linked_entry *table,
			    struct mh_dispatch *d)
{
	struct mh_linked_entry *entry, *tmp;

	HASH_ITER(hh, table, entry, tmp)
		mh_dispatch_entry_linked(d, entry->host);
	mh_dispatch_set_linked(d, HASH_COUNT(table));
}

void mh_linked_entries_lose(struct mh_linked_entry **table,
			    struct mh_linked_entry *entry,
			    struct mh_dispatch *d, uint64_t heard_ns)
{
	if (heard_ns)
		mh_dispatch_entry_lost(d, entry->host, entry->link, heard_ns);
	else
		mh_dispatch_entry_ended(d, entry->host);
	mh_linked_entry_remove(table, entry);
	/* It may have linked again meanwhile. */
	mh_linked_entries_note(*table, d);
}

void mh_linked_entry_remove_all(struct mh_linked_entry **table)
{
	struct mh_linked_entry *entry, *tmp;

	HASH_ITER(hh, *table, entry, tmp)
		mh_linked_entry_remove(table, entry);
}
