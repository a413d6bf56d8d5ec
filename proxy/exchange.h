/*
 * Handles one request from its arrival to the end of its response: finds the
 * route and account, requests a slot, forwards the request to the server,
 * retries on another server where that is allowed, and forwards the response.
 */
#ifndef MH_EXCHANGE_H
#define MH_EXCHANGE_H

#include "core/metrics.h"
#include "core/routes.h"
#include "proxy/abandoned.h"
#include "proxy/client.h"
#include "proxy/probes.h"
#include "proxy/slot_client.h"
#include "proxy/upstream.h"

struct mh_exchanges;

/**
 * struct mh_exchange_env - dependencies of exchanges
 * @timers: timers of the loop's thread
 * @clock: clock
 * @counters: counters to increment
 * @metrics: metrics that observe durations
 * @log: log
 * @notices: what servers asked for
 * @upstreams: connections to servers
 * @abandoned: connections of requests that are given up
 * @probes: probes of servers at which runs were lost
 * @slot_client: slots at servers
 */
struct mh_exchange_env {
	struct mh_timers *timers;
	const struct mh_clock *clock;
	struct mh_counters *counters;
	struct mh_metrics *metrics;
	struct mh_event_log *log;
	const struct mh_server_notices *notices;
	struct mh_upstreams *upstreams;
	struct mh_abandoned *abandoned;
	struct mh_probes *probes;
	struct mh_slot_client *slot_client;
};

/**
 * mh_exchanges_new() - create an empty set
 * @env: copied
 */
struct mh_exchanges *mh_exchanges_new(const struct mh_exchange_env *env);

/**
 * mh_exchanges_free() - free all requests
 * @set: set or NULL
 */
void mh_exchanges_free(struct mh_exchanges *set);

/**
 * mh_exchanges_set_routes() - apply a configuration
 * @set: set
 * @routes: a reference is taken
 */
void mh_exchanges_set_routes(struct mh_exchanges *set,
			     struct mh_routes *routes);

/**
 * mh_exchanges_refuse_new() - refuse all requests that begin from now on
 * @set: set
 *
 * For a process that ends: they might not end before it does.
 */
void mh_exchanges_refuse_new(struct mh_exchanges *set);

/**
 * mh_exchanges_end_all() - end all requests at once
 * @set: set
 *
 * Requests that were not sent are refused, those that were get the error of a
 * time-out. A response that has begun is cut.
 */
void mh_exchanges_end_all(struct mh_exchanges *set);

/**
 * mh_exchanges_count() - number of requests in progress
 * @set: set
 */
uint32_t mh_exchanges_count(const struct mh_exchanges *set);

/**
 * mh_exchange_check_head() - whether a request's body is to be read
 * @set: set
 * @head: head of the request
 *
 * Return: MH_OK, or why the request will be refused whatever its body is.
 */
enum mh_error mh_exchange_check_head(struct mh_exchanges *set,
				     const struct mh_http_head *head);

/**
 * mh_exchange_refuse() - refuse a request whose body was not kept
 * @set: set
 * @cl: client's connection
 * @head: head of the request
 * @error: why
 */
void mh_exchange_refuse(struct mh_exchanges *set, struct mh_client *cl,
			const struct mh_http_head *head, enum mh_error error);

/**
 * mh_exchange_begin() - start to handle a request
 * @set: set
 * @cl: its connection
 * @head: its head; must stay valid until the end of the response
 * @body: its body; the same
 */
void mh_exchange_begin(struct mh_exchanges *set, struct mh_client *cl,
		       const struct mh_http_head *head,
		       const struct mh_buffer *body);

/**
 * mh_exchange_cancel() - the client closed its connection
 * @set: set
 * @cl: its connection
 */
void mh_exchange_cancel(struct mh_exchanges *set, struct mh_client *cl);

/**
 * mh_exchange_drained() - the client reads again; resume the response
 * @set: set
 * @cl: its connection
 */
void mh_exchange_drained(struct mh_exchanges *set, struct mh_client *cl);

/**
 * mh_exchange_granted() - a request was granted a slot
 * @set: set
 * @id: request
 * @server: server
 */
void mh_exchange_granted(struct mh_exchanges *set, uint64_t id,
			 const struct mh_server_ref *server);

/**
 * mh_exchange_refused() - a request gets no slot
 * @set: set
 * @id: request
 * @error: reason
 * @retry_after_ms: when the client may retry
 */
void mh_exchange_refused(struct mh_exchanges *set, uint64_t id,
			 enum mh_error error, uint32_t retry_after_ms);

/**
 * mh_exchange_move() - leave a server that has not responded for too long
 * @set: set
 * @id: request; retried on another server if that is still allowed
 */
void mh_exchange_move(struct mh_exchanges *set, uint64_t id);

/**
 * mh_exchange_hedge() - send a request to a second server as well
 * @set: set
 * @id: request; declined if it may not run there any more
 * @server: server of its second slot
 */
void mh_exchange_hedge(struct mh_exchanges *set, uint64_t id,
		       const struct mh_server_ref *server);

#endif
