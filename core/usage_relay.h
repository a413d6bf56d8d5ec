/*
 * Usage of accounts, retries, and requests sent to servers with a limit, as one
 * entry saw them, by the dispatcher that granted it.
 * Entries may use different dispatchers for a while. Each dispatcher is told
 * what the others granted, so that quotas hold over all of them.
 */
#ifndef MH_USAGE_RELAY_H
#define MH_USAGE_RELAY_H

#include <stdint.h>

struct mh_usage_relay;

/**
 * mh_usage_relay_new() - create a relay without usage
 * @quota_window_ms: window over which quotas hold
 * @retry_window_ms: window over which the retry budget holds
 */
struct mh_usage_relay *mh_usage_relay_new(uint32_t quota_window_ms,
					  uint32_t retry_window_ms);

/**
 * mh_usage_relay_free() - free a relay
 * @relay: relay or NULL
 */
void mh_usage_relay_free(struct mh_usage_relay *relay);

/**
 * mh_usage_relay_add() - record units that an account used
 * @relay: relay
 * @account: name
 * @grantor: incarnation of the dispatcher that granted them
 * @units: units
 * @now_ns: monotonic time
 */
void mh_usage_relay_add(struct mh_usage_relay *relay, const char *account,
			uint64_t grantor, uint32_t units, uint64_t now_ns);

/**
 * mh_usage_relay_report() - report the usage that a dispatcher doesn't know yet
 * @relay: relay
 * @peer: incarnation of the dispatcher
 * @now_ns: monotonic time
 * @report: called for units that other dispatchers granted, with their age
 * @data: first argument of @report
 *
 * The first report to a dispatcher covers the whole window, later ones only
 * what was added since.
 */
void mh_usage_relay_report(struct mh_usage_relay *relay, uint64_t peer,
			   uint64_t now_ns,
			   void (*report)(void *data, const char *account,
					  uint64_t grantor, uint64_t units,
					  uint32_t age_ms),
			   void *data);

#endif
