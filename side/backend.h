/*
 * HTTP client of the side's backend server: worker threads, each with one run
 * at a time. A table of functions holds what engines and services do
 * differently.
 */
#ifndef MH_BACKEND_H
#define MH_BACKEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/err.h"
#include "core/side.h"

struct mh_backend;

/**
 * struct mh_backend_events - callbacks, called on the client's threads
 * @head: status and content type of the response
 * @data: next bytes of the response
 * @end: the run has ended; MH_OK for a complete response
 * @not_started: no byte of the request was sent; replaces @end
 * @health: result of a health check
 */
struct mh_backend_events {
	void (*head)(void *data, const struct mh_id *run, uint32_t status,
		     const char *content_type);
	void (*data)(void *data, const struct mh_id *run, const uint8_t *bytes,
		     size_t len);
	void (*end)(void *data, const struct mh_id *run, enum mh_error error);
	void (*not_started)(void *data, const struct mh_id *run);
	void (*health)(void *data, bool ok);
};

/**
 * mh_backend_start() - start the threads
 * @kind: "engine" or "service"
 * @url: address of the backend server
 * @slots: number of workers, the limit of concurrent runs
 * @timeout_s: time without data after which a run fails
 * @events: callbacks; must outlive the backend client
 * @data: first argument of @events
 *
 * Return: backend client, or NULL without memory or threads.
 */
struct mh_backend *mh_backend_start(const char *kind, const char *url,
				    uint32_t slots, uint32_t timeout_s,
				    const struct mh_backend_events *events,
				    void *data);

/**
 * mh_backend_stop() - abort runs in progress and stop the threads
 * @b: backend client or NULL
 */
void mh_backend_stop(struct mh_backend *b);

/**
 * mh_backend_run() - queue a run for a worker
 * @b: backend client
 * @call: run; must stay valid until its end is reported
 */
void mh_backend_run(struct mh_backend *b, const struct mh_run_call *call);

/**
 * mh_backend_cancel() - cancel a run; its end is still reported
 * @b: backend client
 * @run: run id
 */
void mh_backend_cancel(struct mh_backend *b, const struct mh_id *run);

#endif
