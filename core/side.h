/*
 * Decisions of a side process: which entry gets a slot of the backend server,
 * what is dispatched, and who hears the answer. No I/O and no threads.
 */
#ifndef MH_SIDE_H
#define MH_SIDE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/clock.h"
#include "core/counters.h"
#include "core/err.h"
#include "core/id.h"
#include "proto/mangohead.pb-c.h"

struct mh_run;

/**
 * struct mh_run_call - what the shell needs to dispatch a run
 * @id: run id, unique
 * @account: client account
 * @model: model, "" for a service
 * @method: HTTP method
 * @path: path
 * @content_type: type of @body
 * @body: bytes to send
 * @body_len: length of @body
 */
struct mh_run_call {
	struct mh_id id;
	char *account;
	char *model;
	char *method;
	char *path;
	char *content_type;
	uint8_t *body;
	size_t body_len;
};

/**
 * struct mh_side_ops - actions of the core
 * @send: queue a frame on a link; the frame is the core's
 * @start: dispatch a run; @call is valid until the run's end was reported
 * @cancel: stop a run; its end is reported as usual
 */
struct mh_side_ops {
	void (*send)(void *data, uint32_t link, const Mh__Frame *frame);
	void (*start)(void *data, const struct mh_run_call *call);
	void (*cancel)(void *data, const struct mh_id *run);
};

struct mh_side;

/**
 * mh_side_new() - create the core of a side
 * @host: name of this host
 * @clock: clock
 * @seed: random bits
 * @slots: runs that the shell can have at the backend at a time
 * @ops: actions
 * @data: first argument of all actions
 */
struct mh_side *mh_side_new(const char *host, const struct mh_clock *clock,
			    uint64_t seed, uint32_t slots,
			    const struct mh_side_ops *ops, void *data);

/**
 * mh_side_free() - free the core
 * @s: core or NULL
 */
void mh_side_free(struct mh_side *s);

/**
 * mh_side_link_up() - a link to an entry passed its handshake
 * @s: core
 * @link: number of the link, not used before
 */
void mh_side_link_up(struct mh_side *s, uint32_t link);

/**
 * mh_side_link_down() - a link is gone
 * @s: core
 * @link: number of the link
 */
void mh_side_link_down(struct mh_side *s, uint32_t link);

/**
 * mh_side_recv() - a frame came in
 * @s: core
 * @link: number of the link
 * @frame: frame; the core keeps no part of it
 */
void mh_side_recv(struct mh_side *s, uint32_t link, const Mh__Frame *frame);

/**
 * mh_side_run_head() - the backend began to answer
 * @s: core
 * @run: run id
 * @status: HTTP status
 * @content_type: type of the answer
 */
void mh_side_run_head(struct mh_side *s, const struct mh_id *run,
		      uint32_t status, const char *content_type);

/**
 * mh_side_run_data() - next bytes of an answer
 * @s: core
 * @run: run id
 * @bytes: bytes
 * @len: length of @bytes
 */
void mh_side_run_data(struct mh_side *s, const struct mh_id *run,
		      const uint8_t *bytes, size_t len);

/**
 * mh_side_run_end() - a run has ended
 * @s: core
 * @run: run id
 * @error: MH_OK when the answer is whole
 */
void mh_side_run_end(struct mh_side *s, const struct mh_id *run,
		     enum mh_error error);

/**
 * mh_side_run_not_started() - the backend never got the run
 * @s: core
 * @run: run id
 *
 * Only to be said when no byte of the request reached the backend.
 */
void mh_side_run_not_started(struct mh_side *s, const struct mh_id *run);

/**
 * mh_side_backend_state() - result of a health check
 * @s: core
 * @ok: the backend takes connections
 */
void mh_side_backend_state(struct mh_side *s, bool ok);

/**
 * mh_side_host_state() - the platform's host list was read
 * @s: core
 * @leaving: it says that this host is leaving
 */
void mh_side_host_state(struct mh_side *s, bool leaving);

/**
 * mh_side_drain() - take no new work, finish the rest
 * @s: core
 */
void mh_side_drain(struct mh_side *s);

/**
 * mh_side_running() - number of runs at the backend
 * @s: core
 */
uint32_t mh_side_running(const struct mh_side *s);

/**
 * mh_side_limit() - number of runs that it may have at the backend
 * @s: core
 */
uint32_t mh_side_limit(const struct mh_side *s);

/**
 * mh_side_idle() - whether nothing runs and every answer was sent
 * @s: core
 */
bool mh_side_idle(const struct mh_side *s);

/**
 * mh_side_tick() - act on timers and grant what is free
 * @s: core
 *
 * Called after each batch of events as well.
 *
 * Return: monotonic time of the next tick.
 */
uint64_t mh_side_tick(struct mh_side *s);

/**
 * mh_side_counters() - counters of the core
 * @s: core
 */
struct mh_counters *mh_side_counters(struct mh_side *s);

#endif
