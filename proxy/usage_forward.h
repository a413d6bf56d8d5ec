/*
 * Tells dispatchers what others granted to this entry: units of accounts,
 * retries, and requests to servers with a limit.
 */
#ifndef MH_USAGE_FORWARD_H
#define MH_USAGE_FORWARD_H

#include <stdbool.h>

#include "core/candidates.h"
#include "core/dispatch.h"
#include "core/usage_relay.h"
#include "net/link.h"

/* Incarnation of the entry's local dispatcher; real ones are random. */
#define MH_LOCAL_GRANTOR 0

/**
 * struct mh_usage_forward - what it works on, owned by the slot client
 * @clock: clock
 * @relay: usage
 * @links: links to dispatchers
 * @candidates: dispatchers
 * @local: local dispatcher
 */
struct mh_usage_forward {
	const struct mh_clock *clock;
	struct mh_usage_relay *relay;
	struct mh_links *links;
	struct mh_candidates *candidates;
	struct mh_dispatch *local;
};

/**
 * mh_usage_forward_granted() - count a request that got a slot
 * @forward: usage
 * @slot_req: request
 * @grantor: incarnation of the dispatcher that granted it
 * @server: identifier of its server if that has a limit, or NULL
 */
void mh_usage_forward_granted(const struct mh_usage_forward *forward,
			      const struct mh_slot_request *slot_req,
			      uint64_t grantor, const char *server);

/**
 * mh_usage_forward_send() - tell all linked dispatchers what is new to them
 * @forward: usage
 * @is_local_used: whether the local dispatcher is in use and is told as well
 */
void mh_usage_forward_send(const struct mh_usage_forward *forward,
			   bool is_local_used);

#endif
