/*
 * Records of requests that may crash servers, in both directions of a link.
 */
#ifndef MH_SUSPECT_FRAMES_H
#define MH_SUSPECT_FRAMES_H

#include "core/suspects.h"
#include "net/link.h"

/**
 * mh_suspect_send() - send a record to the peer of a link
 * @links: links
 * @link: number of the link
 * @suspect: record
 * @now_ns: monotonic time
 */
void mh_suspect_send(struct mh_links *links, uint32_t link,
		     const struct mh_suspect *suspect, uint64_t now_ns);

/**
 * mh_suspect_send_observed() - the same for what an entry saw itself
 * @links: links
 * @link: number of the link
 * @observed: record
 * @now_ns: monotonic time
 */
void mh_suspect_send_observed(struct mh_links *links, uint32_t link,
			      const struct mh_suspect *observed,
			      uint64_t now_ns);

/**
 * mh_suspect_read() - read a record that a peer sent
 * @msg: message
 * @now_ns: monotonic time
 * @suspect: filled in; crashes beyond the most that are kept are left out
 */
void mh_suspect_read(const Mh__CrashSuspect *msg, uint64_t now_ns,
		     struct mh_suspect *suspect);

#endif
