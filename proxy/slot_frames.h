/*
 * Frames by which an entry requests and releases slots.
 */
#ifndef MH_SLOT_FRAMES_H
#define MH_SLOT_FRAMES_H

#include "core/dispatch.h"
#include "net/link.h"

/**
 * mh_slot_frames_send_request() - request a slot, or report one that is in use
 * @links: links
 * @link: link to the dispatcher
 * @slot_req: slot request
 * @server: identifier of the server whose slot is in use, NULL to request one
 * @granted_ns: monotonic time at which it was granted
 * @now_ns: monotonic time
 */
void mh_slot_frames_send_request(struct mh_links *links, uint32_t link,
				 const struct mh_slot_request *slot_req,
				 const char *server, uint64_t granted_ns,
				 uint64_t now_ns);

/**
 * mh_slot_frames_send_release() - release a slot, or stop waiting for one
 * @links: links
 * @link: link to the dispatcher
 * @id: request
 * @outcome: how it ended
 * @total_ms: time since the request was sent, 0 if it was not
 */
void mh_slot_frames_send_release(struct mh_links *links, uint32_t link,
				 uint64_t id, enum mh_slot_outcome outcome,
				 uint32_t total_ms);

/**
 * mh_slot_frames_send_probed() - report that a server accepts connections
 * @links: links
 * @link: link to the dispatcher
 * @server: identifier of the server
 */
void mh_slot_frames_send_probed(struct mh_links *links, uint32_t link,
				const char *server);

/**
 * mh_slot_frames_send_first_byte() - report the first byte of a response
 * @links: links
 * @link: link to the dispatcher
 * @id: request
 * @first_ms: time since the request was sent
 */
void mh_slot_frames_send_first_byte(struct mh_links *links, uint32_t link,
				    uint64_t id, uint32_t first_ms);

/**
 * mh_slot_frames_send_ping() - show a dispatcher that this entry is alive
 * @links: links
 * @link: link to the dispatcher
 * @is_used: this entry requests its slots there
 */
void mh_slot_frames_send_ping(struct mh_links *links, uint32_t link,
			      bool is_used);

#endif
