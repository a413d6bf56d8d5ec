/*
 * Hedged requests of one service: decides when a request whose response is late
 * may be sent to a second server as well. A request is late when the time since
 * it was sent exceeds the 95th percentile of its kind at the present load; the
 * number of hedged requests is bounded; none is sent near saturation. No I/O and
 * no clock of its own.
 */
#ifndef MH_HEDGE_H
#define MH_HEDGE_H

#include <stdbool.h>
#include <stdint.h>

/* Entries count their requests from 1, so that this bit is free. */
#define MH_HEDGE_ID_BIT (1ull << 63)

/**
 * mh_hedge_id() - number of the second slot of a request, or of its first one
 * @id: number of the other slot
 */
static inline uint64_t mh_hedge_id(uint64_t id)
{
	return id ^ MH_HEDGE_ID_BIT;
}

/**
 * mh_is_hedge_id() - whether a number is one of a second slot
 * @id: number
 */
static inline bool mh_is_hedge_id(uint64_t id)
{
	return id & MH_HEDGE_ID_BIT;
}

/**
 * struct mh_hedge_limit - limit of the hedged requests in a window
 * @share: hedged requests allowed for each request of the service
 * @extra: hedged requests allowed regardless of the requests
 */
struct mh_hedge_limit {
	double share;
	double extra;
};

/**
 * struct mh_hedge_load - load of the service
 * @slots: slots of all servers that take work
 * @free_slots: slots that a request may get now
 * @has_waiting: requests wait for a slot
 */
struct mh_hedge_load {
	uint32_t slots;
	uint32_t free_slots;
	bool has_waiting;
};

struct mh_hedges;

/**
 * mh_hedges_new() - create the state of a service
 * @window_ms: length of the limit's window
 */
struct mh_hedges *mh_hedges_new(uint32_t window_ms);

/**
 * mh_hedges_free() - free the state of a service
 * @h: state or NULL
 */
void mh_hedges_free(struct mh_hedges *h);

/**
 * mh_hedges_observe() - record when a response began
 * @h: state
 * @kind: kind of the request
 * @ratio: time to the first byte relative to the expected one; for an attempt
 *         that another one beat, the time until then
 * @now_ns: monotonic time
 */
void mh_hedges_observe(struct mh_hedges *h, uint64_t kind, double ratio,
		       uint64_t now_ns);

/**
 * mh_hedges_begin_review() - forget which requests wait for their first byte
 * @h: state
 * @now_ns: monotonic time
 */
void mh_hedges_begin_review(struct mh_hedges *h, uint64_t now_ns);

/**
 * mh_hedges_add_pending() - add a request that waits for its first byte
 * @h: state
 * @kind: kind of the request
 * @ratio: time since it was sent relative to the expected one
 *
 * Pending requests count with their present age, so that the percentile follows
 * a service that has become slow before its responses show it.
 */
void mh_hedges_add_pending(struct mh_hedges *h, uint64_t kind, double ratio);

/**
 * mh_hedges_is_late() - whether a pending request exceeds the 95th percentile
 * @h: state
 * @kind: kind of the request
 * @ratio: time since it was sent relative to the expected one
 *
 * Return: false while there are too few observations of the kind.
 */
bool mh_hedges_is_late(const struct mh_hedges *h, uint64_t kind, double ratio);

/**
 * mh_hedge_load_allows() - whether the service has capacity to spare
 * @load: load
 */
bool mh_hedge_load_allows(const struct mh_hedge_load *load);

/**
 * mh_hedges_add_request() - count a request of the service
 * @h: state
 * @now_ns: monotonic time
 */
void mh_hedges_add_request(struct mh_hedges *h, uint64_t now_ns);

/**
 * mh_hedges_add_reported() - count hedged requests that another process granted
 * @h: state
 * @n: number of hedged requests
 * @now_ns: monotonic time
 */
void mh_hedges_add_reported(struct mh_hedges *h, uint64_t n, uint64_t now_ns);

/**
 * mh_hedges_reserve() - count a hedged request if the limit allows it
 * @h: state
 * @limit: limit
 * @now_ns: monotonic time
 *
 * Return: whether it is allowed; it is to be confirmed or given up.
 */
bool mh_hedges_reserve(struct mh_hedges *h, const struct mh_hedge_limit *limit,
		       uint64_t now_ns);

/**
 * mh_hedges_confirm() - the hedged request is sent
 * @h: state
 * @now_ns: monotonic time
 */
void mh_hedges_confirm(struct mh_hedges *h, uint64_t now_ns);

/**
 * mh_hedges_give_up() - the hedged request is not sent
 * @h: state
 */
void mh_hedges_give_up(struct mh_hedges *h);

#endif
