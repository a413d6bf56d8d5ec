/*
 * Requests that were given up before their servers responded. Their connections
 * are closed for sending, which tells the server to stop, and read a little
 * longer: a response may say that the server leaves or wants a pause.
 */
#ifndef MH_ABANDONED_H
#define MH_ABANDONED_H

#include "proxy/notice_relay.h"
#include "proxy/upstream.h"

struct mh_abandoned;

/**
 * mh_abandoned_new() - create an empty set
 * @timers: timers of the loop's thread
 * @clock: clock
 * @relay: learns of what servers ask for
 */
struct mh_abandoned *mh_abandoned_new(struct mh_timers *timers,
				      const struct mh_clock *clock,
				      const struct mh_notice_relay *relay);

/**
 * mh_abandoned_free() - close all connections and free the set
 * @set: set or NULL
 */
void mh_abandoned_free(struct mh_abandoned *set);

/**
 * mh_abandoned_add() - take over the connection of a request
 * @set: set
 * @u: connection; no further event reaches its request
 * @server: its server
 */
void mh_abandoned_add(struct mh_abandoned *set, struct mh_upstream *u,
		      const struct mh_server_ref *server);

#endif
