/*
 * What an entry saw of servers that ended under its runs. It outlives the
 * dispatchers that were told how the runs ended, so that the next one need not find
 * the cause anew.
 */
#ifndef MH_OBSERVED_CRASHES_H
#define MH_OBSERVED_CRASHES_H

#include "core/dispatch.h"
#include "core/suspects.h"

/**
 * struct mh_observed_run - a run of this entry
 * @request: its request
 * @server: where it ran
 * @placed_ns: monotonic time at which it began
 * @responded_ns: monotonic time at which its response began, 0 if none did
 */
struct mh_observed_run {
	const struct mh_slot_request *request;
	const struct mh_server_ref *server;
	uint64_t placed_ns;
	uint64_t responded_ns;
};

struct mh_observed_crashes;

/**
 * mh_observed_crashes_new() - create an empty record
 */
struct mh_observed_crashes *mh_observed_crashes_new(void);

/**
 * mh_observed_crashes_free() - free a record
 * @observed: record or NULL
 */
void mh_observed_crashes_free(struct mh_observed_crashes *observed);

/**
 * mh_observed_crashes_end() - record how a run ended
 * @observed: record
 * @run: run
 * @outcome: how it ended
 * @now_ns: monotonic time
 */
void mh_observed_crashes_end(struct mh_observed_crashes *observed,
			     const struct mh_observed_run *run,
			     enum mh_slot_outcome outcome, uint64_t now_ns);

/**
 * mh_observed_crashes_probed() - a server accepted a connection just after a run
 *                                was lost there: it lives
 * @observed: record
 * @server: server
 * @now_ns: monotonic time
 */
void mh_observed_crashes_probed(struct mh_observed_crashes *observed,
				const struct mh_server_ref *server,
				uint64_t now_ns);

/**
 * mh_observed_crashes_each() - walk what a dispatcher does not know
 * @observed: record
 * @since_ns: monotonic time up to which it was told, 0 if it knows nothing
 * @visit: called for each suspect, with the crashes since then
 * @data: first argument of @visit
 * @now_ns: monotonic time
 */
void mh_observed_crashes_each(struct mh_observed_crashes *observed,
			      uint64_t since_ns,
			      void (*visit)(void *data,
					    const struct mh_suspect *suspect),
			      void *data, uint64_t now_ns);

#endif
