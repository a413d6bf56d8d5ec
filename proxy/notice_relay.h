/*
 * Keeps what backend servers asked of this entry and tells the dispatchers,
 * which then place no requests of this entry there. They tell other entries of
 * servers that leave, and of limits.
 */
#ifndef MH_NOTICE_RELAY_H
#define MH_NOTICE_RELAY_H

#include "core/candidates.h"
#include "core/dispatch.h"
#include "core/metrics.h"
#include "core/server_notices.h"
#include "net/event_log.h"
#include "net/link.h"
#include "platform/wire.h"

/**
 * struct mh_notice_relay - what the relay works on, owned by the slot client
 * @clock: clock
 * @counters: counters to increment
 * @log: log
 * @links: links to dispatchers
 * @candidates: dispatchers
 * @local: local dispatcher
 * @notices: notices, owned by the caller of the slot client
 * @metrics: metrics that show limits
 */
struct mh_notice_relay {
	const struct mh_clock *clock;
	struct mh_counters *counters;
	struct mh_event_log *log;
	struct mh_links *links;
	struct mh_candidates *candidates;
	struct mh_dispatch *local;
	struct mh_server_notices *notices;
	struct mh_metrics *metrics;
};

/**
 * mh_notice_relay_leaving() - record that a server said that it leaves
 * @relay: relay
 * @server: server
 * @from: dispatcher that told of it, NULL if it is from the server's response
 */
void mh_notice_relay_leaving(const struct mh_notice_relay *relay,
			     const struct mh_server_ref *server,
			     const struct mh_candidate *from);

/**
 * mh_notice_relay_pause() - record that a server asked for a pause
 * @relay: relay
 * @server: server
 * @ms: length of the pause
 */
void mh_notice_relay_pause(const struct mh_notice_relay *relay,
			   const struct mh_server_ref *server, uint32_t ms);

/**
 * mh_notice_relay_response() - record what a server's response asks for
 * @relay: relay
 * @server: server
 * @response: its response, whatever becomes of that
 */
void mh_notice_relay_response(const struct mh_notice_relay *relay,
			      const struct mh_server_ref *server,
			      const struct mh_wire_response *response);

/**
 * mh_notice_relay_no_limit() - record that a response states no limit
 * @relay: relay
 * @server: server
 * @sent_ns: monotonic time at which its request was sent
 */
void mh_notice_relay_no_limit(const struct mh_notice_relay *relay,
			      const struct mh_server_ref *server,
			      uint64_t sent_ns);

/**
 * mh_notice_relay_repeat() - tell the dispatchers once more what holds for a
 *                            server that one of them offered
 * @relay: relay
 * @server: server
 */
void mh_notice_relay_repeat(const struct mh_notice_relay *relay,
			    const struct mh_server_ref *server);

/**
 * mh_notice_relay_receive() - take what a dispatcher knows from other entries
 * @relay: relay
 * @msg: notice as received
 * @from: dispatcher that sent it
 */
void mh_notice_relay_receive(const struct mh_notice_relay *relay,
			     const Mh__ServerNotice *msg,
			     const struct mh_candidate *from);

/**
 * mh_notice_relay_send_all() - send all notices to a new link
 * @relay: relay
 * @link: number of the link
 */
void mh_notice_relay_send_all(const struct mh_notice_relay *relay,
			      uint32_t link);

#endif
