/*
 * Passes on what is known of requests that crash servers. Dispatchers do not
 * communicate with each other: it reaches them through the entries, which also
 * keep it for dispatchers that start and for their own share of the slots.
 */
#ifndef MH_SUSPECT_RELAY_H
#define MH_SUSPECT_RELAY_H

#include "core/candidates.h"
#include "core/dispatch.h"
#include "core/observed_crashes.h"
#include "net/event_log.h"
#include "net/link.h"

/**
 * struct mh_suspect_relay - what the relay works on, owned by the slot client
 * @clock: clock
 * @log: log
 * @links: links to dispatchers
 * @candidates: dispatchers
 * @local: local dispatcher, which keeps the records
 * @observed: what this entry saw itself
 */
struct mh_suspect_relay {
	const struct mh_clock *clock;
	struct mh_event_log *log;
	struct mh_links *links;
	struct mh_candidates *candidates;
	struct mh_dispatch *local;
	struct mh_observed_crashes *observed;
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

/**
 * mh_suspect_relay_tell_observed() - tell a dispatcher that comes into use what this
 *                                    entry saw and it does not know
 * @relay: relay
 * @to: dispatcher, NULL for the local one
 */
void mh_suspect_relay_tell_observed(const struct mh_suspect_relay *relay,
				    const struct mh_candidate *to);

#endif
