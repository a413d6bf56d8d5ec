/*
 * Requests sent to a backend server, and when its limit allows the next one.
 * They are counted whether or not a limit is in force, so that one that is new
 * or lowered takes what was sent before into account.
 */
#ifndef MH_SEND_WINDOW_H
#define MH_SEND_WINDOW_H

#include "core/clock.h"
#include "core/server_limit.h"
#include "core/sliding_window.h"

/* Time over which the limit holds. */
#define MH_SEND_WINDOW_MS 4000

/**
 * struct mh_send_window - requests sent to one server
 * @sent: their number over MH_SEND_WINDOW_MS
 * @last_ns: monotonic time of the last one, 0 if there was none
 * @due_ns: where many share a limit below one request each second: from when on
 *          the next one may be sent, 0 if that was not drawn yet
 * @rng: random numbers
 */
struct mh_send_window {
	struct mh_usage sent;
	uint64_t last_ns;
	uint64_t due_ns;
	struct mh_rng rng;
};

/**
 * mh_send_window_init() - set up an empty window
 * @w: window
 * @seed: seed of the random numbers
 */
void mh_send_window_init(struct mh_send_window *w, uint64_t seed);

/**
 * mh_send_window_add() - count requests
 * @w: window
 * @n: number of requests
 * @age_ms: time since they were sent
 * @now_ns: monotonic time
 */
void mh_send_window_add(struct mh_send_window *w, uint64_t n, uint32_t age_ms,
			uint64_t now_ns);

/**
 * mh_send_window_take_back() - subtract a request that was not sent after all
 * @w: window
 * @counted_ns: monotonic time at which it was counted
 * @now_ns: monotonic time
 */
void mh_send_window_take_back(struct mh_send_window *w, uint64_t counted_ns,
			      uint64_t now_ns);

/**
 * mh_send_window_begin_limit() - a limit is stated for the first time
 * @w: window
 * @max_millihz: limit, not MH_NO_LIMIT
 * @n_sharing: as for mh_send_window_hz()
 * @now_ns: monotonic time
 *
 * The server did not ask for fewer requests when it got the earlier ones, so that
 * they count as no more than what the limit allows. The next ones are due at the
 * rate of the limit from now on.
 */
void mh_send_window_begin_limit(struct mh_send_window *w, uint32_t max_millihz,
				uint32_t n_sharing, uint64_t now_ns);

/**
 * mh_send_window_fill() - assume that a server got all that its limit allows
 * @w: window
 * @max_millihz: limit, not MH_NO_LIMIT
 * @n_sharing: as for mh_send_window_hz()
 * @now_ns: monotonic time
 */
void mh_send_window_fill(struct mh_send_window *w, uint32_t max_millihz,
			 uint32_t n_sharing, uint64_t now_ns);

/**
 * mh_send_window_hz() - rate that a limit allows
 * @max_millihz: limit, not MH_NO_LIMIT
 * @n_sharing: senders that share it without knowing of each other's requests, 1
 *             if the window counts all
 *
 * Return: requests a second; positive also for a limit of 0, as a server that is
 * never asked can't state another limit.
 */
double mh_send_window_hz(uint32_t max_millihz, uint32_t n_sharing);

/**
 * mh_send_window_wait_ms() - time until a limit allows the next request
 * @w: window
 * @max_millihz: limit, may be MH_NO_LIMIT
 * @n_sharing: as for mh_send_window_hz()
 * @now_ns: monotonic time
 *
 * Return: 0 if it may be sent now.
 */
uint32_t mh_send_window_wait_ms(struct mh_send_window *w, uint32_t max_millihz,
				uint32_t n_sharing, uint64_t now_ns);

/**
 * mh_send_window_used() - fraction of a limit that was used
 * @w: window
 * @max_millihz: limit, may be MH_NO_LIMIT
 * @n_sharing: as for mh_send_window_hz()
 * @now_ns: monotonic time
 *
 * Return: 0 without a limit, and up to 1.
 */
double mh_send_window_used(struct mh_send_window *w, uint32_t max_millihz,
			   uint32_t n_sharing, uint64_t now_ns);

#endif
