/*
 * What backend servers asked of entries or stated in their responses, at the
 * dispatcher: applies it, and tells other entries what concerns all.
 */
#ifndef MH_DISPATCHER_NOTICES_H
#define MH_DISPATCHER_NOTICES_H

#include "core/dispatch.h"
#include "core/metrics.h"
#include "dispatcher/linked_entry.h"
#include "net/event_log.h"
#include "net/link.h"

/**
 * struct mh_dispatcher_notices - what it works on, owned by the program
 * @clock: clock
 * @log: log
 * @metrics: metrics that show limits
 * @links: links to entries
 * @dispatch: dispatcher
 * @linked_entries: table of the linked entries
 */
struct mh_dispatcher_notices {
	const struct mh_clock *clock;
	struct mh_event_log *log;
	struct mh_metrics *metrics;
	struct mh_links *links;
	struct mh_dispatch *dispatch;
	struct mh_linked_entry **linked_entries;
};

/**
 * mh_dispatcher_notices_receive() - take a notice of an entry
 * @notices: notices
 * @link: link to the entry
 * @msg: message
 */
void mh_dispatcher_notices_receive(const struct mh_dispatcher_notices *notices,
				   uint32_t link, const Mh__ServerNotice *msg);

/**
 * mh_dispatcher_notices_send_all() - tell a new entry what concerns it
 * @notices: notices
 * @link: link to the entry
 */
void mh_dispatcher_notices_send_all(const struct mh_dispatcher_notices *notices,
				    uint32_t link);

#endif
