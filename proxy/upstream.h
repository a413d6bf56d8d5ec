/*
 * Connections to backend servers: kept open between requests, used by one
 * request at a time, closed after anything odd.
 */
#ifndef MH_UPSTREAM_H
#define MH_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "core/counters.h"
#include "net/buffer.h"
#include "net/http1.h"
#include "net/loop.h"
#include "net/timers.h"

/* Why no whole answer came. */
enum mh_upstream_failure {
	MH_UPSTREAM_UNREACHABLE, /* no byte of the request left */
	MH_UPSTREAM_LOST,	 /* it may have run */
	MH_UPSTREAM_MALFORMED,	 /* bytes came that are no answer */
};

/**
 * struct mh_upstream_ops - events of one request
 * @head: head of the answer; 0 to go on
 * @body: next bytes of the body; 0 to go on
 * @flush: the bytes that were there have been passed on
 * @done: the answer is whole; the connection is no longer the request's
 * @failed: no whole answer will come; the connection is closed
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
 * mh_upstreams_new() - create a set without connections
 * @loop: loop
 * @timers: timers of the loop's thread
 * @clock: clock
 * @counters: where to count
 */
struct mh_upstreams *mh_upstreams_new(struct mh_loop *loop,
				      struct mh_timers *timers,
				      const struct mh_clock *clock,
				      struct mh_counters *counters);

/**
 * mh_upstreams_free() - close all connections; no event follows
 * @set: set or NULL
 */
void mh_upstreams_free(struct mh_upstreams *set);

/**
 * mh_upstreams_close_expired() - close what was idle for too long
 * @set: set
 */
void mh_upstreams_close_expired(struct mh_upstreams *set);

/**
 * mh_upstream_send() - send a request over a kept or a new connection
 * @set: set
 * @address: "ip:port"
 * @request: bytes of the whole request; taken over, empty afterwards
 * @no_body: the answer has no body (HEAD)
 * @ops: events, never before this returns
 * @data: first argument of @ops
 *
 * Return: the connection, or NULL if none could be opened.
 */
struct mh_upstream *mh_upstream_send(struct mh_upstreams *set,
				     const char *address,
				     struct mh_buffer *request, bool no_body,
				     const struct mh_upstream_ops *ops,
				     void *data);

/**
 * mh_upstream_cancel() - give the request up and close the connection
 * @u: connection; no event follows
 */
void mh_upstream_cancel(struct mh_upstream *u);

/**
 * mh_upstream_pause() - stop or go on reading the answer
 * @u: connection
 * @paused: stop
 */
void mh_upstream_pause(struct mh_upstream *u, bool paused);

/**
 * mh_upstream_set_keep_alive() - how long the server keeps an idle connection
 * @u: connection
 * @seconds: as the server said, 0 if it didn't
 */
void mh_upstream_set_keep_alive(struct mh_upstream *u, uint32_t seconds);

#endif
