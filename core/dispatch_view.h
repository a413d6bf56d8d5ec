/*
 * State of a service at the dispatcher, for logs and metrics.
 */
#ifndef MH_DISPATCH_VIEW_H
#define MH_DISPATCH_VIEW_H

#include "core/dispatch.h"

/**
 * struct mh_dispatch_view - state of a service, for logs and metrics
 * @servers: number of servers that take work
 * @limited: those of them that have a limit
 * @places: number of their slots
 * @held: slots in use
 * @accounts: client accounts with waiting requests, of the tier with the most;
 *            0 without shares of accounts
 * @returning: rejected requests of all services that are expected back
 * @waiting: requests that wait, by tier
 * @server_stats: "id:latency ratio:slots in use" of the servers that fit in,
 *                separated by commas; ids are cut to 6 bytes
 */
struct mh_dispatch_view {
	uint32_t servers;
	uint32_t limited;
	uint32_t places;
	uint32_t held;
	uint32_t accounts;
	uint32_t returning;
	uint32_t waiting[MH_TIERS];
	char server_stats[320];
};

/**
 * mh_dispatch_view() - read the state of a service
 * @d: dispatcher
 * @service: name
 * @view: filled in
 */
void mh_dispatch_view(const struct mh_dispatch *d, const char *service,
		      struct mh_dispatch_view *view);

#endif
