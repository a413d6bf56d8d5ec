/*
 * HTTP server for readiness and metrics of a process, on its own thread.
 */
#ifndef MH_STATUS_H
#define MH_STATUS_H

#include <stdbool.h>

#include "core/counters.h"
#include "core/metrics.h"

struct mh_status;

/**
 * mh_status_new() - serve /ready and /metrics
 * @address: "ip:port"
 * @counters: counters to export; must outlive the server
 * @metrics: histograms and gauges to export, may be NULL; must outlive the
 *	server
 * @max_connections: a further connection ends the one that was silent for longest
 *
 * Return: server, or NULL if listening on the address fails.
 */
struct mh_status *mh_status_new(const char *address,
				struct mh_counters *counters,
				const struct mh_metrics *metrics,
				uint32_t max_connections);

/**
 * mh_status_free() - stop serving
 * @st: server or NULL
 */
void mh_status_free(struct mh_status *st);

/**
 * mh_status_set_ready() - set the readiness that /ready reports
 * @st: server
 * @ready: whether to respond with 200 rather than 503
 */
void mh_status_set_ready(struct mh_status *st, bool ready);

#endif
