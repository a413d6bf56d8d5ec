/*
 * Decisions of an entry host: who waits, who is served next, who is refused.
 * No I/O and no threads: the shell feeds events in, and actions come out
 * through struct mh_entry_ops. All functions are called from one thread.
 */
#ifndef MH_ENTRY_H
#define MH_ENTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/clock.h"
#include "core/counters.h"
#include "core/err.h"
#include "core/config_state.h"
#include "core/id.h"
#include "core/manifest.h"
#include "core/policy.h"
#include "proto/mangohead.pb-c.h"

/**
 * struct mh_call - a caller's request
 * @id: request id, unique
 * @account: name of the client account
 * @pool: pool that serves it
 * @model: model, "" for a service
 * @method: HTTP method towards the backend
 * @path: path towards the backend
 * @content_type: type of @body
 * @body: bytes to send
 * @body_len: length of @body
 * @tier: tier, 0 is the highest
 * @share: weight of the account's contract
 * @non_idempotent: the call may run only once
 * @has_key: @key is set
 * @key: idempotency key
 * @fingerprint: hash of the body, for crash suspicion
 * @prefix_hash: hash of the prompt's beginning, for cache affinity
 * @prompt_tokens: estimate of the prompt's size
 * @output_tokens: estimate of the answer's size
 * @deadline_ns: monotonic time by which the whole answer is due
 * @data: the shell's own
 *
 * The shell owns it and keeps it unchanged until the call has ended: after
 * ops->end or ops->refuse, or when mh_entry_cancel() returned.
 */
struct mh_call {
	struct mh_id id;
	const char *account;
	const char *pool;
	const char *model;
	const char *method;
	const char *path;
	const char *content_type;
	const uint8_t *body;
	size_t body_len;
	uint8_t tier;
	uint32_t share;
	bool non_idempotent;
	bool has_key;
	struct mh_id key;
	struct mh_id fingerprint;
	uint64_t prefix_hash;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint64_t deadline_ns;
	void *data;
};

/**
 * struct mh_refusal - final answer to a call that gets no whole answer
 * @error: error kind
 * @retry_after_ms: when to come back, 0 if it makes no sense
 */
struct mh_refusal {
	enum mh_error error;
	uint32_t retry_after_ms;
};

/**
 * struct mh_entry_ops - actions of the core
 * @send: queue a frame on a link; the frame is the core's
 * @head: status and content type of the answer, and who gives it
 * @chunk: next bytes of the answer
 * @end: the answer is whole; the call is the shell's again
 * @refuse: final refusal; the call is the shell's again
 * @append_claims: append a record to the claims stream
 * @append_config: append a record to the configuration stream
 * @config_changed: a manifest came into force; @old is the shell's to free
 */
struct mh_entry_ops {
	void (*send)(void *data, uint32_t link, const Mh__Frame *frame);
	void (*head)(void *data, struct mh_call *call, uint32_t status,
		     const char *content_type, const char *server);
	void (*chunk)(void *data, struct mh_call *call, const uint8_t *bytes,
		      size_t len);
	void (*end)(void *data, struct mh_call *call);
	void (*refuse)(void *data, struct mh_call *call,
		       const struct mh_refusal *refusal);
	void (*append_claims)(void *data, const uint8_t *rec, size_t len);
	void (*append_config)(void *data, const char *rec, size_t len);
	void (*config_changed)(void *data, struct mh_manifest *old,
			       const struct mh_manifest *now);
};

/**
 * struct mh_remote - the process at the other end of a link
 * @host: name of its host
 * @incarnation: differs after each start
 * @is_side: a side process, otherwise an entry
 * @pool: pool of a side's backend server
 * @models: models that the backend server holds
 * @n_models: number of @models
 */
struct mh_remote {
	const char *host;
	uint64_t incarnation;
	bool is_side;
	const char *pool;
	const char *const *models;
	size_t n_models;
};

enum mh_host_state {
	MH_HOST_LIVE,
	MH_HOST_LEAVING,
};

/**
 * struct mh_host - one row of the platform's host list
 * @name: name of the host
 * @is_entry: an entry host, otherwise a backend server host
 * @state: what the platform says of it
 */
struct mh_host {
	const char *name;
	bool is_entry;
	enum mh_host_state state;
};

struct mh_entry;

/**
 * mh_entry_new() - create the core of an entry
 * @host: name of this host
 * @clock: clock; its data outlives the core
 * @seed: random bits
 * @ops: actions
 * @data: first argument of all actions
 */
struct mh_entry *mh_entry_new(const char *host, const struct mh_clock *clock,
			      uint64_t seed, const struct mh_entry_ops *ops,
			      void *data);

/**
 * mh_entry_set_policy() - use another policy, for measurements
 * @e: core without calls
 * @ops: policy; has to stay
 */
void mh_entry_set_policy(struct mh_entry *e, const struct mh_policy_ops *ops);

/**
 * mh_entry_free() - free the core; open calls are the shell's
 * @e: core or NULL
 */
void mh_entry_free(struct mh_entry *e);

/**
 * mh_entry_submit() - take a call in
 * @e: core
 * @call: call; may be refused before this returns
 */
void mh_entry_submit(struct mh_entry *e, struct mh_call *call);

/**
 * mh_entry_cancel() - the caller went away
 * @e: core
 * @call: call; no action follows for it
 */
void mh_entry_cancel(struct mh_entry *e, struct mh_call *call);

/**
 * mh_entry_drain() - stop taking calls in, finish the rest
 * @e: core
 */
void mh_entry_drain(struct mh_entry *e);

/**
 * mh_entry_refuse_all() - refuse all open calls and take none any more
 * @e: core
 *
 * Runs that may have started are stopped, and their callers are told that the
 * outcome is unknown.
 */
void mh_entry_refuse_all(struct mh_entry *e);

/**
 * mh_entry_count_calls() - number of calls that have not ended
 * @e: core
 */
uint32_t mh_entry_count_calls(const struct mh_entry *e);

/**
 * mh_entry_link_up() - a link passed its handshake
 * @e: core
 * @link: number of the link, not used before
 * @remote: the other end
 */
void mh_entry_link_up(struct mh_entry *e, uint32_t link,
		      const struct mh_remote *remote);

/**
 * mh_entry_link_down() - a link is gone
 * @e: core
 * @link: number of the link
 */
void mh_entry_link_down(struct mh_entry *e, uint32_t link);

/**
 * mh_entry_recv() - a frame came in
 * @e: core
 * @link: number of the link
 * @frame: frame; the core keeps no part of it
 */
void mh_entry_recv(struct mh_entry *e, uint32_t link, const Mh__Frame *frame);

/**
 * mh_entry_set_hosts() - the platform's host list was read
 * @e: core
 * @hosts: all hosts
 * @n: number of @hosts
 */
void mh_entry_set_hosts(struct mh_entry *e, const struct mh_host *hosts,
			size_t n);

/**
 * mh_entry_set_log_up() - whether the log service can be used
 * @e: core
 * @up: usable
 */
void mh_entry_set_log_up(struct mh_entry *e, bool up);

/**
 * mh_entry_config_start() - where the configuration stream begins
 * @e: core
 * @first_offset: oldest record that can be read
 */
void mh_entry_config_start(struct mh_entry *e, uint64_t first_offset);

/**
 * mh_entry_config_record() - a record of the configuration stream was read
 * @e: core
 * @offset: its offset
 * @when_ms: time of its append
 * @rec: record
 * @len: length of @rec
 */
void mh_entry_config_record(struct mh_entry *e, uint64_t offset,
			    uint64_t when_ms, const char *rec, size_t len);

/**
 * mh_entry_claims_start() - where the claims stream begins
 * @e: core
 * @first_offset: oldest record that can be read
 * @first_ms: time of its append, 0 when @first_offset is 0
 */
void mh_entry_claims_start(struct mh_entry *e, uint64_t first_offset,
			   uint64_t first_ms);

/**
 * mh_entry_claims_record() - a record of the claims stream was read
 * @e: core
 * @offset: its offset
 * @when_ms: time of its append
 * @rec: record
 * @len: length of @rec
 */
void mh_entry_claims_record(struct mh_entry *e, uint64_t offset,
			    uint64_t when_ms, const uint8_t *rec, size_t len);

/**
 * mh_entry_tick() - act on timers and send what is due
 * @e: core
 *
 * Called after each batch of events as well.
 *
 * Return: monotonic time of the next tick.
 */
uint64_t mh_entry_tick(struct mh_entry *e);

/**
 * mh_entry_config_state() - configuration as this process sees it
 * @e: core
 */
const struct mh_config_state *mh_entry_config_state(const struct mh_entry *e);

/**
 * mh_entry_counters() - counters of the core
 * @e: core
 */
struct mh_counters *mh_entry_counters(struct mh_entry *e);

/**
 * struct mh_server_view - one backend server as an entry sees it
 * @host: name of the host
 * @pool: pool
 * @up: linked
 * @leaving: gets no new work
 * @running: calls of this entry that it runs
 */
struct mh_server_view {
	const char *host;
	const char *pool;
	bool up;
	bool leaving;
	uint32_t running;
};

/**
 * mh_entry_list_servers() - list the backend servers
 * @e: core
 * @v: array to fill
 * @max: size of @v
 *
 * Return: number of rows filled in.
 */
size_t mh_entry_list_servers(const struct mh_entry *e, struct mh_server_view *v,
			     size_t max);

/**
 * mh_entry_count_waiting() - number of calls that wait in a pool
 * @e: core
 * @pool: name of the pool
 * @tier: tier
 */
uint32_t mh_entry_count_waiting(const struct mh_entry *e, const char *pool,
				uint8_t tier);

#endif
