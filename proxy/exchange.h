/*
 * One request from its arrival to its final answer: route and account, a place
 * at a server, sending, a further server where that is allowed, the answer.
 */
#ifndef MH_EXCHANGE_H
#define MH_EXCHANGE_H

#include "core/metrics.h"
#include "core/routes.h"
#include "proxy/client.h"
#include "proxy/slot_client.h"
#include "proxy/upstream.h"

struct mh_exchanges;

/**
 * struct mh_exchange_env - what requests need
 * @timers: timers of the loop's thread
 * @clock: clock
 * @counters: where to count
 * @metrics: where to observe times
 * @log: log
 * @upstreams: connections to servers
 * @slot_client: places at servers
 */
struct mh_exchange_env {
	struct mh_timers *timers;
	const struct mh_clock *clock;
	struct mh_counters *counters;
	struct mh_metrics *metrics;
	struct mh_event_log *log;
	struct mh_upstreams *upstreams;
	struct mh_slot_client *slot_client;
};

/**
 * mh_exchanges_new() - create a set without requests
 * @env: copied
 */
struct mh_exchanges *mh_exchanges_new(const struct mh_exchange_env *env);

/**
 * mh_exchanges_free() - drop all requests
 * @set: set or NULL
 */
void mh_exchanges_free(struct mh_exchanges *set);

/**
 * mh_exchanges_set_routes() - a configuration came into force
 * @set: set
 * @routes: a reference is taken
 */
void mh_exchanges_set_routes(struct mh_exchanges *set,
			     struct mh_routes *routes);

/**
 * mh_exchanges_count() - number of requests without their final answer
 * @set: set
 */
uint32_t mh_exchanges_count(const struct mh_exchanges *set);

/**
 * mh_exchange_begin() - a request came
 * @set: set
 * @cl: its connection
 * @head: its head; stays until the answer's end
 * @body: its body; the same
 */
void mh_exchange_begin(struct mh_exchanges *set, struct mh_client *cl,
		       const struct mh_http_head *head,
		       const struct mh_buffer *body);

/**
 * mh_exchange_cancel() - the caller went away
 * @set: set
 * @cl: its connection
 */
void mh_exchange_cancel(struct mh_exchanges *set, struct mh_client *cl);

/**
 * mh_exchange_drained() - the caller reads on
 * @set: set
 * @cl: its connection
 */
void mh_exchange_drained(struct mh_exchanges *set, struct mh_client *cl);

/**
 * mh_exchange_granted() - a request got a place
 * @set: set
 * @id: request
 * @server: identifier of the server
 * @address: "ip:port" of the server
 */
void mh_exchange_granted(struct mh_exchanges *set, uint64_t id,
			 const char *server, const char *address);

/**
 * mh_exchange_refused() - a request gets no place
 * @set: set
 * @id: request
 * @error: why
 * @retry_after_ms: when to come back
 */
void mh_exchange_refused(struct mh_exchanges *set, uint64_t id,
			 enum mh_error error, uint32_t retry_after_ms);

/**
 * mh_exchange_move() - a request's server owes an answer for too long
 * @set: set
 * @id: request; goes to another server if that is still allowed
 */
void mh_exchange_move(struct mh_exchanges *set, uint64_t id);

#endif
