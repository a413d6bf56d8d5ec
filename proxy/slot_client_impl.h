/*
 * Internals of the slot client, shared by its source files only.
 */
#ifndef MH_SLOT_CLIENT_IMPL_H
#define MH_SLOT_CLIENT_IMPL_H

#include "core/candidates.h"
#include "core/ledger_cache.h"
#include "proxy/dispatcher_finder.h"
#include "proxy/requests.h"
#include "proxy/rollout_relay.h"
#include "proxy/slot_client.h"
#include "proxy/suspect_relay.h"
#include "proxy/usage_forward.h"

struct mh_slot_client {
	const struct mh_clock *clock;
	struct mh_counters *counters;
	struct mh_event_log *log;
	struct mh_store_era *store_era;
	const struct mh_slot_client_ops *ops;
	void *data;
	struct mh_links *links;
	struct mh_catalog *catalog;
	struct mh_dispatch *local;
	struct mh_candidates candidates;
	struct mh_dispatcher_finder finder;
	uint32_t patience_ms;	      /* as in struct mh_store_reads */
	struct mh_candidate *current; /* NULL: the local share is used */
	uint64_t heartbeat_ns;	      /* last heartbeat of the current one */
	uint64_t lost_ns; /* since when no dispatcher is usable, 0 if one is */
	uint64_t next_scan_ns;
	uint64_t next_ping_ns;
	uint32_t ready_registrations; /* received so far, never decreases */
	struct mh_request *requests;
	struct mh_usage_forward usage;
	struct mh_ledger_cache *ledger_cache;
	struct mh_suspect_relay suspects;
	struct mh_notice_relay notices;
	struct mh_rollout_relay rollouts;
};

#endif
