/*
 * Connections to backend servers: kept alive between requests, used by one
 * request at a time, closed after any protocol error.
 */
#ifndef MH_UPSTREAM_H
#define MH_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "core/counters.h"
#include "core/server_notices.h"
#include "net/buffer.h"
#include "net/http1.h"
#include "net/loop.h"
#include "net/timers.h"

/* Why no complete response arrived. */
enum mh_upstream_failure {
	MH_UPSTREAM_UNREACHABLE, /* no byte of the request was sent */
	MH_UPSTREAM_HELD_BACK, /* the same, since the server's notice forbids it */
	MH_UPSTREAM_LOST,      /* the request may have run */
	MH_UPSTREAM_MALFORMED, /* the response could not be parsed */
};

/**
 * struct mh_upstream_ops - events of one request
 * @head: head of the response; returns 0 to continue
 * @body: next bytes of the body; returns 0 to continue
 * @flush: all bytes read so far have been passed to @body
 * @done: the response is complete; the connection no longer belongs to the
 *        request
 * @failed: no complete response will arrive; the connection is closed
 */
struct mh_upstream_ops {
	int (*head)(void *data, const struct mh_http_head *head);
	int (*body)(void *data, const uint8_t *bytes, size_t len);
	void (*flush)(void *data);
	void (*done)(void *data);
	void (*failed)(void *data, enum mh_upstream_failure why);
};

struct mh_upstreams;
struct mh_upstream;

/**
 * mh_upstreams_new() - create an empty set
 * @loop: loop
 * @timers: timers of the loop's thread
 * @clock: clock
 * @counters: counters to increment
 * @notices: what servers asked for; no request is sent against it
 */
struct mh_upstreams *mh_upstreams_new(struct mh_loop *loop,
				      struct mh_timers *timers,
				      const struct mh_clock *clock,
				      struct mh_counters *counters,
				      const struct mh_server_notices *notices);

/**
 * mh_upstreams_free() - close all connections without further events
 * @set: set or NULL
 */
void mh_upstreams_free(struct mh_upstreams *set);

/**
 * mh_upstreams_close_expired() - close connections idle for too long
 * @set: set
 */
void mh_upstreams_close_expired(struct mh_upstreams *set);

/**
 * mh_upstream_send() - send a request over an idle or a new connection
 * @set: set
 * @server: server
 * @head: head of the request; ownership is taken unless NULL is returned, and it
 *        is empty afterwards
 * @body: body of the request, not copied: it has to stay as it is until the request
 *        ends, by an event or by mh_upstream_cancel()
 * @no_body: the response has no body (HEAD)
 * @ops: events, only after this returns
 * @data: first argument of @ops
 *
 * Return: the connection, or NULL if it could not be opened or the server's
 * notice forbids it.
 */
struct mh_upstream *
mh_upstream_send(struct mh_upstreams *set, const struct mh_server_ref *server,
		 struct mh_buffer *head, const struct mh_buffer *body,
		 bool no_body, const struct mh_upstream_ops *ops, void *data);

/**
 * mh_upstream_cancel() - cancel the request and close the connection
 * @u: connection; no event follows
 */
void mh_upstream_cancel(struct mh_upstream *u);

/**
 * mh_upstream_half_close() - give up a request, but read its response
 * @u: connection
 * @server: the same server; its strings are the caller's
 * @ops: further events
 * @data: first argument of @ops
 *
 * The connection is closed for sending and not used again.
 *
 * Return: false, and nothing is changed, if the request was not sent completely
 * or its response is just being read.
 */
bool mh_upstream_half_close(struct mh_upstream *u,
			    const struct mh_server_ref *server,
			    const struct mh_upstream_ops *ops, void *data);

/**
 * mh_upstream_set_ops() - pass further events to another receiver
 * @u: connection
 * @ops: further events
 */
void mh_upstream_set_ops(struct mh_upstream *u,
			 const struct mh_upstream_ops *ops);

/**
 * mh_upstream_is_reused() - whether the connection carried a request before
 * @u: connection
 */
bool mh_upstream_is_reused(const struct mh_upstream *u);

/**
 * mh_upstream_retire() - close the connection after this response
 * @u: connection
 */
void mh_upstream_retire(struct mh_upstream *u);

/**
 * mh_upstream_pause() - pause or resume reading the response
 * @u: connection
 * @paused: whether to pause
 */
void mh_upstream_pause(struct mh_upstream *u, bool paused);

/**
 * mh_upstream_set_idle_timeout() - set how long the server keeps the connection
 *                                  while it is idle
 * @u: connection
 * @seconds: as sent by the server; 0 if not sent, which changes nothing
 */
void mh_upstream_set_idle_timeout(struct mh_upstream *u, uint32_t seconds);

#endif
