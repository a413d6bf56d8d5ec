/*
 * Frames that tell entries of dispatchers.
 */
#ifndef MH_DISPATCHER_FRAMES_H
#define MH_DISPATCHER_FRAMES_H

#include "core/candidates.h"
#include "net/link.h"

/**
 * mh_dispatchers_send() - send the best candidates and the sender itself
 * @links: set of links
 * @link: number of the link
 * @known: all known dispatchers
 * @self: name of the sender's host
 */
void mh_dispatchers_send(struct mh_links *links, uint32_t link,
			 const struct mh_candidates *known, const char *self);

#endif
