/*
 * The backend server as the side calls it: worker threads, each with one run.
 * Engines and plain services differ by a table of functions.
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
 * struct mh_backend_events - what the backend reports; on worker threads
 * @head: status and content type
 * @data: next bytes
 * @end: the run has ended
 * @not_started: no byte of the request was sent
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
 * mh_backend_start() - start the workers
 * @kind: "engine" or "service"
 * @url: address of the backend server
 * @slots: number of workers
 * @timeout_s: silence after which a run has failed
 * @events: what to call
 * @data: first argument of @events
 */
struct mh_backend *mh_backend_start(const char *kind, const char *url,
				    uint32_t slots, uint32_t timeout_s,
				    const struct mh_backend_events *events,
				    void *data);

/**
 * mh_backend_stop() - end the workers; runs in progress are given up
 * @b: backend or NULL
 */
void mh_backend_stop(struct mh_backend *b);

/**
 * mh_backend_run() - dispatch a run
 * @b: backend
 * @call: run; valid until its end is reported
 */
void mh_backend_run(struct mh_backend *b, const struct mh_run_call *call);

/**
 * mh_backend_cancel() - ask for the end of a run
 * @b: backend
 * @run: run id
 */
void mh_backend_cancel(struct mh_backend *b, const struct mh_id *run);

#endif
