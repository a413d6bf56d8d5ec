/*
 * Connections of callers: requests are read whole, one at a time and strictly;
 * answers are written as they come.
 */
#ifndef MH_CLIENT_H
#define MH_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

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
 * @request: a whole request came; it is answered by mh_client_write() and
 *           mh_client_finish(). The head stays until then.
 * @closed: the caller closed the connection before its request was answered
 * @drained: the answer's bytes have left after mh_client_is_congested()
 */
struct mh_client_ops {
	void (*request)(void *data, struct mh_client *cl,
			const struct mh_http_head *head,
			const struct mh_buffer *body);
	void (*closed)(void *data, struct mh_client *cl);
	void (*drained)(void *data, struct mh_client *cl);
};

/**
 * struct mh_client_env - what connections need
 * @loop: loop
 * @timers: timers of the loop's thread
 * @clock: clock
 * @counters: where to count
 * @log: log
 */
struct mh_client_env {
	struct mh_loop *loop;
	struct mh_timers *timers;
	const struct mh_clock *clock;
	struct mh_counters *counters;
	struct mh_event_log *log;
};

/**
 * mh_clients_new() - listen for callers
 * @env: copied
 * @address: "ip:port"
 * @ops: events
 * @data: first argument of @ops
 *
 * Return: NULL with errno set if the address can't be listened at.
 */
struct mh_clients *mh_clients_new(const struct mh_client_env *env,
				  const char *address,
				  const struct mh_client_ops *ops, void *data);

/**
 * mh_clients_free() - close all connections; no event follows
 * @set: set or NULL
 */
void mh_clients_free(struct mh_clients *set);

/**
 * mh_clients_set_limits() - bounds for requests from now on
 * @set: set
 * @limits: bounds
 */
void mh_clients_set_limits(struct mh_clients *set,
			   const struct mh_limits *limits);

/**
 * mh_clients_disable_keep_alive() - end each connection with its next answer
 * @set: set
 */
void mh_clients_disable_keep_alive(struct mh_clients *set);

/**
 * mh_clients_close_idle() - close the connections without a request, and
 *                           accept no more
 * @set: set
 */
void mh_clients_close_idle(struct mh_clients *set);

/**
 * mh_clients_count() - number of connections
 * @set: set
 */
uint32_t mh_clients_count(const struct mh_clients *set);

/**
 * mh_client_set_data() - keep something with a connection
 * @cl: connection
 * @data: kept until the answer's end
 */
void mh_client_set_data(struct mh_client *cl, void *data);

/**
 * mh_client_data() - what is kept with a connection
 * @cl: connection
 */
void *mh_client_data(const struct mh_client *cl);

/**
 * mh_client_out() - bytes that are to be written; append to them
 * @cl: connection
 */
struct mh_buffer *mh_client_out(struct mh_client *cl);

/**
 * mh_client_will_close() - whether the connection ends with this answer
 * @cl: connection
 */
bool mh_client_will_close(const struct mh_client *cl);

/**
 * mh_client_flush() - write what was appended
 * @cl: connection
 */
void mh_client_flush(struct mh_client *cl);

/**
 * mh_client_is_congested() - whether the caller reads too slowly
 * @cl: connection
 */
bool mh_client_is_congested(const struct mh_client *cl);

/**
 * mh_client_finish() - the answer is complete
 * @cl: connection; may be closed afterwards
 * @close: close it after the last byte
 */
void mh_client_finish(struct mh_client *cl, bool close);

/**
 * mh_client_abort() - break the answer off so that the caller sees it
 * @cl: connection; closed afterwards
 */
void mh_client_abort(struct mh_client *cl);

/**
 * mh_client_append_error() - append an own answer
 * @out: appended to
 * @error: error kind
 * @retry_after_ms: when to come back, 0 for none
 * @id: number of the request, may be empty
 * @close: the connection closes afterwards
 */
void mh_client_append_error(struct mh_buffer *out, enum mh_error error,
			    uint32_t retry_after_ms, struct mh_http_text id,
			    bool close);

#endif
