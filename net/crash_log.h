/*
 * Log lines of lost runs and of requests that may crash servers, the same for
 * dispatchers and for entries that use their own share.
 */
#ifndef MH_CRASH_LOG_H
#define MH_CRASH_LOG_H

#include "core/dispatch.h"
#include "net/event_log.h"

/**
 * mh_crash_log_lost_run() - log a lost run
 * @log: log
 * @entry: entry that holds the request
 * @run: run
 */
void mh_crash_log_lost_run(struct mh_event_log *log, const char *entry,
			   const struct mh_lost_run *run);

/**
 * mh_crash_log_suspect() - log a change of what is known of a feature
 * @log: log
 * @from: host that told of it, "" if it was seen here
 * @suspect: record
 */
void mh_crash_log_suspect(struct mh_event_log *log, const char *from,
			  const struct mh_suspect *suspect);

/**
 * mh_crash_log_observed() - log crashes that an entry saw and tells a dispatcher
 * @log: log
 * @from: entry
 * @observed: record
 */
void mh_crash_log_observed(struct mh_event_log *log, const char *from,
			   const struct mh_suspect *observed);

#endif
