/*
 * Client connections: a request is parsed strictly and read completely before
 * the next one; responses are written as they arrive.
 */
#ifndef MH_CLIENT_H
#define MH_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/client_budget.h"
#include "core/counters.h"
#include "core/err.h"
#include "core/routes.h"
#include "net/buffer.h"
#include "net/event_log.h"
#include "net/http1.h"
#include "net/loop.h"
#include "net/timers.h"

struct mh_client;
struct mh_clients;

/**
 * struct mh_client_ops - events of connections
 * @head: the head of a request with a body was read; returns MH_OK if the body is
 *        to be read, or why the request is refused
 * @refused: @head has refused the request, whose body was not kept; respond with
 *           the error, as to @request
 * @request: a complete request was read; respond by appending to
 *           mh_client_out(), then mh_client_flush() and mh_client_finish().
 *           The head stays valid until then.
 * @closed: the client closed the connection before its response was complete
 * @drained: the output buffer of a congested connection has been written out
 *           far enough to append more
 */
struct mh_client_ops {
	enum mh_error (*head)(void *data, const struct mh_http_head *head);
	void (*refused)(void *data, struct mh_client *cl,
			const struct mh_http_head *head, enum mh_error error);
	void (*request)(void *data, struct mh_client *cl,
			const struct mh_http_head *head,
			const struct mh_buffer *body);
	void (*closed)(void *data, struct mh_client *cl);
	void (*drained)(void *data, struct mh_client *cl);
};

/**
 * struct mh_client_env - dependencies of connections
 * @loop: loop
 * @timers: timers of the loop's thread
 * @clock: clock
 * @counters: counters to increment
 * @log: log
 * @budget: limits of memory and connections
 */
struct mh_client_env {
	struct mh_loop *loop;
	struct mh_timers *timers;
	const struct mh_clock *clock;
	struct mh_counters *counters;
	struct mh_event_log *log;
	struct mh_client_budget_conf budget;
};

/**
 * mh_clients_new() - listen for clients
 * @env: copied
 * @address: "ip:port"
 * @ops: events
 * @data: first argument of @ops
 *
 * Return: NULL with errno set if it cannot listen on the address.
 */
struct mh_clients *mh_clients_new(const struct mh_client_env *env,
				  const char *address,
				  const struct mh_client_ops *ops, void *data);

/**
 * mh_clients_free() - close all connections without further events
 * @set: set or NULL
 */
void mh_clients_free(struct mh_clients *set);

/**
 * mh_clients_set_limits() - set the limits of further requests
 * @set: set
 * @limits: limits
 */
void mh_clients_set_limits(struct mh_clients *set,
			   const struct mh_limits *limits);

/**
 * mh_clients_disable_keep_alive() - close each connection after its next
 *                                   response
 * @set: set
 */
void mh_clients_disable_keep_alive(struct mh_clients *set);

/**
 * mh_clients_close_idle() - close idle connections and accept no more
 * @set: set
 */
void mh_clients_close_idle(struct mh_clients *set);

/**
 * mh_clients_count() - number of connections
 * @set: set
 */
uint32_t mh_clients_count(const struct mh_clients *set);

/**
 * mh_clients_budget() - budget of the connections, for metrics
 * @set: set
 */
const struct mh_client_budget *mh_clients_budget(const struct mh_clients *set);

/**
 * mh_client_set_data() - attach user data to a connection
 * @cl: connection
 * @data: kept until the end of the response
 */
void mh_client_set_data(struct mh_client *cl, void *data);

/**
 * mh_client_data() - user data of a connection
 * @cl: connection
 */
void *mh_client_data(const struct mh_client *cl);

/**
 * mh_client_out() - output buffer, to append to
 * @cl: connection
 */
struct mh_buffer *mh_client_out(struct mh_client *cl);

/**
 * mh_client_will_close() - whether the connection closes after this response
 * @cl: connection
 */
bool mh_client_will_close(const struct mh_client *cl);

/**
 * mh_client_ends_by_close() - the end of the connection marks the end of the
 *                             response
 * @cl: connection
 *
 * Until mh_client_finish() any other end of the connection is a reset, also
 * that of the process, so that no cut response looks whole.
 */
void mh_client_ends_by_close(struct mh_client *cl);

/**
 * mh_client_flush() - write the output buffer to the socket
 * @cl: connection
 */
void mh_client_flush(struct mh_client *cl);

/**
 * mh_client_is_congested() - whether the client reads too slowly
 * @cl: connection
 */
bool mh_client_is_congested(const struct mh_client *cl);

/**
 * mh_client_finish() - complete the response
 * @cl: connection; may be closed afterwards
 */
void mh_client_finish(struct mh_client *cl);

/**
 * mh_client_abort() - abort the response; the client sees that it is incomplete
 * @cl: connection; closed afterwards
 */
void mh_client_abort(struct mh_client *cl);

/**
 * mh_client_append_error() - append an error response
 * @out: appended to
 * @error: error kind
 * @retry_after_ms: value of Retry-After, 0 for none
 * @id: request id, may be empty
 * @close: the connection closes afterwards
 * @no_body: the response ends with its head (HEAD)
 */
void mh_client_append_error(struct mh_buffer *out, enum mh_error error,
			    uint32_t retry_after_ms, struct mh_http_text id,
			    bool close, bool no_body);

#endif
