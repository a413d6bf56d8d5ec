/*
 * Log lines of a dispatcher about the requests of entries.
 */
#ifndef MH_DISPATCHER_SLOT_LOG_H
#define MH_DISPATCHER_SLOT_LOG_H

#include "core/dispatch.h"
#include "net/event_log.h"

/**
 * mh_slot_log_refusal() - a request gets no slot
 * @log: log
 * @entry: host of its entry
 * @id: request
 * @why: reason
 */
void mh_slot_log_refusal(struct mh_event_log *log, const char *entry,
			 uint64_t id, const struct mh_slot_refusal *why);

/**
 * mh_slot_log_hedge() - a request got a second slot
 * @log: log
 * @entry: host of its entry
 * @id: request
 * @server: server of the second slot
 */
void mh_slot_log_hedge(struct mh_event_log *log, const char *entry, uint64_t id,
		       const struct mh_backend_server *server);

#endif
