/*
 * Finds out whether a server still accepts connections after a run was lost
 * there: a server that crashed refuses them until it has started again.
 */
#ifndef MH_PROBES_H
#define MH_PROBES_H

#include "core/clock.h"
#include "core/counters.h"
#include "core/server_notices.h"
#include "net/loop.h"
#include "net/timers.h"

struct mh_probes;

/**
 * mh_probes_new() - create an empty set
 * @loop: loop
 * @timers: timers of the loop's thread
 * @clock: clock
 * @counters: counters to increment
 * @notices: what servers asked for; none that leaves or wants a pause is probed
 * @accepted: a server accepted a connection
 * @data: first argument of @accepted
 */
struct mh_probes *
mh_probes_new(struct mh_loop *loop, struct mh_timers *timers,
	      const struct mh_clock *clock, struct mh_counters *counters,
	      const struct mh_server_notices *notices,
	      void (*accepted)(void *data, const struct mh_server_ref *server),
	      void *data);

/**
 * mh_probes_free() - end all probes without further events
 * @set: set or NULL
 */
void mh_probes_free(struct mh_probes *set);

/**
 * mh_probes_start() - try to connect to a server a moment later
 * @set: set
 * @server: server
 *
 * A server that is being probed is not probed again at the same time.
 */
void mh_probes_start(struct mh_probes *set, const struct mh_server_ref *server);

#endif
