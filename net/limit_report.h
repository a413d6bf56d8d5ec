/*
 * Shows the limit of a backend server in log and metrics.
 */
#ifndef MH_LIMIT_REPORT_H
#define MH_LIMIT_REPORT_H

#include "core/metrics.h"
#include "core/server_notices.h"
#include "net/event_log.h"

/**
 * mh_limit_report() - log a limit that has changed, and set its gauge
 * @log: log
 * @metrics: metrics
 * @server: server
 * @limit: limit that is in force now, or none
 * @from: host that told of it, "" for a response to this host
 */
void mh_limit_report(struct mh_event_log *log, struct mh_metrics *metrics,
		     const struct mh_server_ref *server,
		     const struct mh_server_limit *limit, const char *from);

#endif
