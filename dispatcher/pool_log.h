/*
 * Log line on the state of a service.
 */
#ifndef MH_POOL_LOG_H
#define MH_POOL_LOG_H

#include "core/dispatch.h"
#include "net/event_log.h"

/**
 * mh_pool_log() - log the servers and requests of a service
 * @log: log
 * @d: dispatcher
 * @service: name of the service
 */
void mh_pool_log(struct mh_event_log *log, const struct mh_dispatch *d,
		 const char *service);

/**
 * mh_account_log() - log the quotas of a configuration
 * @log: event log
 * @routes: configuration
 */
void mh_account_log(struct mh_event_log *log, const struct mh_routes *routes);

#endif
