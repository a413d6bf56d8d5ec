/*
 * Decisions of a side process: which entry gets a slot of the backend server,
 * which runs are dispatched, and which links receive the responses. Does no I/O
 * and starts no threads.
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
 * struct mh_run_call - request that the I/O layer sends to the backend
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
 * struct mh_side_ops - callbacks of the core into the I/O layer
 * @send: queue a frame on a link; the frame is valid during the call only
 * @start: dispatch a run; @call is valid until the run's end is reported
 * @cancel: stop a run; its end still has to be reported
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
 * @seed: seed of the random numbers
 * @slots: limit of concurrent runs that the I/O layer supports
 * @ops: callbacks
 * @data: first argument of all callbacks
 *
 * Return: core, NULL when memory runs out.
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
 * mh_side_link_up() - a link to an entry completed its handshake
 * @s: core
 * @link: number of the link, not used before
 */
void mh_side_link_up(struct mh_side *s, uint32_t link);

/**
 * mh_side_link_down() - a link was lost
 * @s: core
 * @link: number of the link
 */
void mh_side_link_down(struct mh_side *s, uint32_t link);

/**
 * mh_side_recv() - a frame was received
 * @s: core
 * @link: number of the link
 * @frame: frame; not used after the call
 */
void mh_side_recv(struct mh_side *s, uint32_t link, const Mh__Frame *frame);

/**
 * mh_side_run_head() - the head of the backend's response was received
 * @s: core
 * @run: run id
 * @status: HTTP status
 * @content_type: type of the response
 */
void mh_side_run_head(struct mh_side *s, const struct mh_id *run,
		      uint32_t status, const char *content_type);

/**
 * mh_side_run_data() - the next bytes of a response were received
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
 * @error: MH_OK if the response is complete
 */
void mh_side_run_end(struct mh_side *s, const struct mh_id *run,
		     enum mh_error error);

/**
 * mh_side_run_not_started() - a run did not reach the backend
 * @s: core
 * @run: run id
 *
 * To be called only if the backend got no byte of the request.
 */
void mh_side_run_not_started(struct mh_side *s, const struct mh_id *run);

/**
 * mh_side_backend_state() - result of a health check
 * @s: core
 * @ok: whether the backend accepts connections
 */
void mh_side_backend_state(struct mh_side *s, bool ok);

/**
 * mh_side_host_state() - the platform's host list was read
 * @s: core
 * @leaving: whether the list marks this host as leaving
 */
void mh_side_host_state(struct mh_side *s, bool leaving);

/**
 * mh_side_drain() - accept no new runs, finish those at the backend
 * @s: core
 */
void mh_side_drain(struct mh_side *s);

/**
 * mh_side_running() - number of runs at the backend
 * @s: core
 */
uint32_t mh_side_running(const struct mh_side *s);

/**
 * mh_side_limit() - current limit of concurrent runs at the backend
 * @s: core
 */
uint32_t mh_side_limit(const struct mh_side *s);

/**
 * mh_side_idle() - whether there is neither a run nor an unused grant
 * @s: core
 */
bool mh_side_idle(const struct mh_side *s);

/**
 * mh_side_tick() - handle timers and grant free slots
 * @s: core
 *
 * Also to be called after each batch of events.
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
