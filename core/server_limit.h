/*
 * Limit on the requests a second that a backend server takes from all hosts
 * together. It holds for as long as the server states it in its responses,
 * which reach hosts and dispatchers out of order.
 */
#ifndef MH_SERVER_LIMIT_H
#define MH_SERVER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Stands for a server that states no limit. */
#define MH_NO_LIMIT UINT32_MAX

/**
 * struct mh_server_limit - what a server stated last
 * @max_millihz: requests that it takes in 1000 s, MH_NO_LIMIT if no limit holds
 * @stated_ns: monotonic time at which this was so: when a response with a limit
 *             came in, or when the request of one without a limit was sent
 */
struct mh_server_limit {
	uint32_t max_millihz;
	uint64_t stated_ns;
};

/* What a statement changed. */
enum mh_limit_change {
	MH_LIMIT_UNCHANGED, /* it is out of date, or tells nothing new */
	MH_LIMIT_CONFIRMED, /* the same limit, some time later */
	MH_LIMIT_CHANGED,
};

/**
 * mh_server_limit_update() - take a statement
 * @limit: what is known, changed
 * @stated: statement
 *
 * A message does not tell how long it was on its way, so the order of two statements
 * may be unknown: of values stated at nearly the same time the lower one holds.
 */
enum mh_limit_change
mh_server_limit_update(struct mh_server_limit *limit,
		       const struct mh_server_limit *stated);

#endif
