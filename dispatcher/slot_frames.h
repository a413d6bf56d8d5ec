/*
 * Frames between a dispatcher and an entry about its requests.
 */
#ifndef MH_DISPATCHER_SLOT_FRAMES_H
#define MH_DISPATCHER_SLOT_FRAMES_H

#include "core/dispatch.h"
#include "net/link.h"

/**
 * mh_slot_frames_read_request() - decode a request for a slot
 * @msg: message; @slot_req refers to its strings
 * @link: link to the entry
 * @now_ns: monotonic time
 * @slot_req: set to the request
 */
void mh_slot_frames_read_request(const Mh__PlaceAsk *msg, uint32_t link,
				 uint64_t now_ns,
				 struct mh_slot_request *slot_req);

/**
 * mh_slot_frames_send_grant() - a request got a slot
 * @links: links
 * @link: link to the entry
 * @id: request
 * @server: server of the slot
 */
void mh_slot_frames_send_grant(struct mh_links *links, uint32_t link,
			       uint64_t id,
			       const struct mh_backend_server *server);

/**
 * mh_slot_frames_send_refusal() - a request gets no slot
 * @links: links
 * @link: link to the entry
 * @id: request
 * @why: reason
 */
void mh_slot_frames_send_refusal(struct mh_links *links, uint32_t link,
				 uint64_t id,
				 const struct mh_slot_refusal *why);

/**
 * mh_slot_frames_send_move() - a request should leave its server
 * @links: links
 * @link: link to the entry
 * @id: request
 */
void mh_slot_frames_send_move(struct mh_links *links, uint32_t link,
			      uint64_t id);

/**
 * mh_slot_frames_send_hedge() - a request got a second slot
 * @links: links
 * @link: link to the entry
 * @id: request
 * @server: server of the second slot
 */
void mh_slot_frames_send_hedge(struct mh_links *links, uint32_t link,
			       uint64_t id,
			       const struct mh_backend_server *server);

/**
 * struct mh_dispatcher_state - what entries are told of a dispatcher
 * @fit: it can reach the store
 * @version: version of its configuration
 * @entries: number of linked entries
 * @store_era: era of the store, 0 if not known
 * @servers_age_ms: time since its last successful read of the backend servers began,
 *                  UINT32_MAX if there was none
 * @servers_in_doubt: it can't tell whether some of them are gone
 */
struct mh_dispatcher_state {
	bool fit;
	uint64_t version;
	uint32_t entries;
	uint64_t store_era;
	uint32_t servers_age_ms;
	bool servers_in_doubt;
};

/**
 * mh_slot_frames_send_heartbeat() - state of the dispatcher
 * @links: links
 * @link: link to an entry
 * @state: state
 */
void mh_slot_frames_send_heartbeat(struct mh_links *links, uint32_t link,
				   const struct mh_dispatcher_state *state);

#endif
