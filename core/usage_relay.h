/*
 * What accounts spent with the places of each dispatcher, as one entry saw it.
 * Entries may use different dispatchers for a while: each is told what the
 * others let through, so that accounts' quotas hold over all of them.
 */
#ifndef MH_USAGE_RELAY_H
#define MH_USAGE_RELAY_H

#include <stdint.h>

struct mh_usage_relay;

/**
 * mh_usage_relay_new() - start with nothing spent
 * @window_ms: window over which quotas hold
 */
struct mh_usage_relay *mh_usage_relay_new(uint32_t window_ms);

/**
 * mh_usage_relay_free() - free it
 * @relay: spending or NULL
 */
void mh_usage_relay_free(struct mh_usage_relay *relay);

/**
 * mh_usage_relay_add() - an account spent units
 * @relay: spending
 * @account: name
 * @grantor: incarnation of the dispatcher that let them through
 * @units: units
 * @now_ns: monotonic time
 */
void mh_usage_relay_add(struct mh_usage_relay *relay, const char *account,
			uint64_t grantor, uint32_t units, uint64_t now_ns);

/**
 * mh_usage_relay_report() - what a dispatcher doesn't know yet
 * @relay: spending
 * @peer: incarnation of the dispatcher
 * @now_ns: monotonic time
 * @report: called for units that others let through, with their age
 * @data: first argument of @report
 *
 * A dispatcher that is new hears all of the window, later only what was added.
 */
void mh_usage_relay_report(struct mh_usage_relay *relay, uint64_t peer,
			   uint64_t now_ns,
			   void (*report)(void *data, const char *account,
					  uint64_t grantor, uint64_t units,
					  uint32_t age_ms),
			   void *data);

#endif
