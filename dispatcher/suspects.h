/*
 * What a dispatcher and its entries tell each other of requests that may crash
 * servers.
 */
#ifndef MH_DISPATCHER_SUSPECTS_H
#define MH_DISPATCHER_SUSPECTS_H

#include "core/dispatch.h"
#include "dispatcher/linked_entry.h"
#include "net/event_log.h"
#include "net/link.h"

/**
 * struct mh_dispatcher_suspects - dependencies
 * @log: event log
 * @links: links to entries
 * @dispatch: dispatcher
 * @linked_entries: table of linked entries
 */
struct mh_dispatcher_suspects {
	struct mh_event_log *log;
	struct mh_links *links;
	struct mh_dispatch *dispatch;
	struct mh_linked_entry **linked_entries;
};

/**
 * mh_dispatcher_suspects_share() - tell entries of a record
 * @suspects: dependencies
 * @suspect: record
 * @from_link: link of the entry that told it, 0 if none did
 *
 * Entries pass it on to the other dispatchers that they are linked to, and use it
 * while they have none.
 */
void mh_dispatcher_suspects_share(const struct mh_dispatcher_suspects *suspects,
				  const struct mh_suspect *suspect,
				  uint32_t from_link);

/**
 * mh_dispatcher_suspects_send_all() - tell a new entry of all records
 * @suspects: dependencies
 * @link: its link
 */
void mh_dispatcher_suspects_send_all(
	const struct mh_dispatcher_suspects *suspects, uint32_t link);

/**
 * mh_dispatcher_suspects_receive() - merge what an entry told
 * @suspects: dependencies
 * @link: link of the entry
 * @msg: its message
 */
void mh_dispatcher_suspects_receive(
	const struct mh_dispatcher_suspects *suspects, uint32_t link,
	const Mh__CrashSuspect *msg);

#endif
