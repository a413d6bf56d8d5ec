/*
 * Passes on what is known of requests that crash servers. Dispatchers do not
 * communicate with each other: it reaches them through the entries, which also
 * keep it for dispatchers that start and for their own share of the slots.
 */
#ifndef MH_SUSPECT_RELAY_H
#define MH_SUSPECT_RELAY_H

#include "core/candidates.h"
#include "core/dispatch.h"
#include "net/event_log.h"
#include "net/link.h"

/**
 * struct mh_suspect_relay - what the relay works on, owned by the slot client
 * @clock: clock
 * @log: log
 * @links: links to dispatchers
 * @candidates: dispatchers
 * @local: local dispatcher, which keeps the records
 */
struct mh_suspect_relay {
	const struct mh_clock *clock;
	struct mh_event_log *log;
	struct mh_links *links;
	struct mh_candidates *candidates;
	struct mh_dispatch *local;
};

/**
 * mh_suspect_relay_forward() - send a record to the linked dispatchers
 * @relay: relay
 * @suspect: record
 * @from: dispatcher that sent it, NULL if the local one made it
 */
void mh_suspect_relay_forward(const struct mh_suspect_relay *relay,
			      const struct mh_suspect *suspect,
			      const struct mh_candidate *from);

/**
 * mh_suspect_relay_merge() - keep a record and pass it on if it is new
 * @relay: relay
 * @suspect: record
 * @from: dispatcher that sent it, NULL for none
 */
void mh_suspect_relay_merge(const struct mh_suspect_relay *relay,
			    const struct mh_suspect *suspect,
			    const struct mh_candidate *from);

/**
 * mh_suspect_relay_receive() - the same for a record of a dispatcher
 * @relay: relay
 * @msg: record as received
 * @from: dispatcher that sent it
 */
void mh_suspect_relay_receive(const struct mh_suspect_relay *relay,
			      const Mh__CrashSuspect *msg,
			      const struct mh_candidate *from);

/**
 * mh_suspect_relay_send_all() - send all records to a new link
 * @relay: relay
 * @link: number of the link
 */
void mh_suspect_relay_send_all(const struct mh_suspect_relay *relay,
			       uint32_t link);

#endif
