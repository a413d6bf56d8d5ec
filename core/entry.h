/*
 * Scheduler of an entry host: decides which request waits, is served next or is
 * refused. It does no I/O and starts no threads: the I/O layer (the entry
 * process or a simulation) feeds events in and carries out the actions of
 * struct mh_entry_ops. All functions are called from one thread.
 */
#ifndef MH_ENTRY_H
#define MH_ENTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/clock.h"
#include "core/config_state.h"
#include "core/counters.h"
#include "core/err.h"
#include "core/id.h"
#include "core/manifest.h"
#include "core/policy.h"
#include "proto/mangohead.pb-c.h"

/**
 * struct mh_call - a client's request
 * @id: request id, unique
 * @account: name of the client account
 * @pool: pool of backend servers that serves it
 * @model: model, "" for a service
 * @method: HTTP method of the request to the backend server
 * @path: path of the request to the backend server
 * @content_type: content type of @body
 * @body: body of the request to the backend server
 * @body_len: length of @body
 * @tier: tier, 0 is the highest
 * @share: weight of the account in fair sharing
 * @non_idempotent: the call must not run more than once
 * @has_key: @key is set
 * @key: idempotency key
 * @fingerprint: hash of the client's method, URI and body; finds requests that
 *               crash servers, and keys that are reused for another request
 * @prefix_hash: hash of the start of the prompt for cache affinity, 0 if none
 * @prompt_tokens: estimated number of tokens of the prompt
 * @output_tokens: estimated number of tokens of the response
 * @deadline_ns: monotonic time by which the response must be complete
 * @data: the I/O layer's pointer, not used by the core
 *
 * The I/O layer owns it and keeps it unchanged until the call has ended, that
 * is after ops->end or ops->refuse, or when mh_entry_cancel() has returned.
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
 * struct mh_refusal - final result of a call that gets no complete response
 * @error: error kind
 * @retry_after_ms: delay before a retry, 0 if a retry is not advised
 */
struct mh_refusal {
	enum mh_error error;
	uint32_t retry_after_ms;
};

/**
 * struct mh_entry_ops - actions that the I/O layer carries out for the core
 * @send: queue a frame on a link; the core keeps ownership of the frame
 * @head: status and content type of the response, and host of its server
 * @chunk: next bytes of the response
 * @end: the response is complete; the core no longer uses the call
 * @refuse: the call is refused; the core no longer uses the call
 * @append_claims: append a record to the claims topic
 * @append_config: append a record to the configuration topic
 * @config_changed: a manifest came into force; the I/O layer frees @old
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
 * @is_side: a side process, otherwise an entry process
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
 * @state: its state according to the platform
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
 * @seed: seed of the random number generator
 * @ops: actions; must outlive the core
 * @data: first argument of all actions
 *
 * Return: core, NULL when memory runs out.
 */
struct mh_entry *mh_entry_new(const char *host, const struct mh_clock *clock,
			      uint64_t seed, const struct mh_entry_ops *ops,
			      void *data);

/**
 * mh_entry_set_policy() - use another scheduling policy, for benchmarks
 * @e: core without calls
 * @ops: policy; must outlive the core
 */
void mh_entry_set_policy(struct mh_entry *e, const struct mh_policy_ops *ops);

/**
 * mh_entry_free() - free the core; the I/O layer still owns open calls
 * @e: core or NULL
 */
void mh_entry_free(struct mh_entry *e);

/**
 * mh_entry_submit() - accept a call
 * @e: core
 * @call: call; may be refused before this returns
 */
void mh_entry_submit(struct mh_entry *e, struct mh_call *call);

/**
 * mh_entry_cancel() - drop a call whose client has disconnected
 * @e: core
 * @call: call; no action follows for it
 */
void mh_entry_cancel(struct mh_entry *e, struct mh_call *call);

/**
 * mh_entry_drain() - refuse new calls, finish the open ones
 * @e: core
 */
void mh_entry_drain(struct mh_entry *e);

/**
 * mh_entry_refuse_all() - refuse all open calls and all new ones
 * @e: core
 *
 * Runs that may have started are cancelled, and their clients are told that the
 * outcome is unknown.
 */
void mh_entry_refuse_all(struct mh_entry *e);

/**
 * mh_entry_count_calls() - number of calls that have not ended
 * @e: core
 */
uint32_t mh_entry_count_calls(const struct mh_entry *e);

/**
 * mh_entry_link_up() - a link has completed its handshake
 * @e: core
 * @link: number of the link, not used before
 * @remote: process at the other end
 */
void mh_entry_link_up(struct mh_entry *e, uint32_t link,
		      const struct mh_remote *remote);

/**
 * mh_entry_link_down() - a link was closed or lost
 * @e: core
 * @link: number of the link
 */
void mh_entry_link_down(struct mh_entry *e, uint32_t link);

/**
 * mh_entry_recv() - handle a received frame
 * @e: core
 * @link: number of the link
 * @frame: frame; the core keeps no reference to it
 */
void mh_entry_recv(struct mh_entry *e, uint32_t link, const Mh__Frame *frame);

/**
 * mh_entry_set_hosts() - replace the copy of the platform's host list
 * @e: core
 * @hosts: all hosts
 * @n: number of @hosts
 */
void mh_entry_set_hosts(struct mh_entry *e, const struct mh_host *hosts,
			size_t n);

/**
 * mh_entry_set_log_up() - set whether the log service is available
 * @e: core
 * @up: available
 */
void mh_entry_set_log_up(struct mh_entry *e, bool up);

/**
 * mh_entry_set_store_era() - set the era of the platform's store
 * @e: core
 * @era: era, 0 if the store names none
 *
 * Non-idempotent calls are refused for a moment: a claim of their key may be lost
 * and not written again yet.
 */
void mh_entry_set_store_era(struct mh_entry *e, uint64_t era);

/**
 * mh_entry_store_rewound() - the store came back from an older copy
 * @e: core
 * @era: new era
 *
 * All records of the topics follow again. The configuration in force and the
 * claims that are known stay. What the topics lack of them is written again.
 */
void mh_entry_store_rewound(struct mh_entry *e, uint64_t era);

/**
 * mh_entry_set_config_start() - set where the configuration topic begins
 * @e: core
 * @first_offset: oldest record that can be read
 */
void mh_entry_set_config_start(struct mh_entry *e, uint64_t first_offset);

/**
 * mh_entry_apply_config_record() - apply a record of the configuration topic
 * @e: core
 * @offset: its offset
 * @when_ms: Unix time of its append
 * @rec: record
 * @len: length of @rec
 */
void mh_entry_apply_config_record(struct mh_entry *e, uint64_t offset,
				  uint64_t when_ms, const char *rec,
				  size_t len);

/**
 * mh_entry_set_claims_start() - set where the claims topic begins
 * @e: core
 * @first_offset: oldest record that can be read
 * @first_ms: Unix time of its append, 0 when @first_offset is 0
 */
void mh_entry_set_claims_start(struct mh_entry *e, uint64_t first_offset,
			       uint64_t first_ms);

/**
 * mh_entry_apply_claims_record() - apply a record of the claims topic
 * @e: core
 * @offset: its offset
 * @when_ms: Unix time of its append
 * @rec: record
 * @len: length of @rec
 */
void mh_entry_apply_claims_record(struct mh_entry *e, uint64_t offset,
				  uint64_t when_ms, const uint8_t *rec,
				  size_t len);

/**
 * mh_entry_tick() - handle expired timers and send pending messages
 * @e: core
 *
 * Must also be called after each batch of events.
 *
 * Return: monotonic time of the next tick.
 */
uint64_t mh_entry_tick(struct mh_entry *e);

/**
 * mh_entry_config_state() - configuration in force in this process
 * @e: core
 */
const struct mh_config_state *mh_entry_config_state(const struct mh_entry *e);

/**
 * mh_entry_counters() - counters of the core
 * @e: core
 */
struct mh_counters *mh_entry_counters(struct mh_entry *e);

/**
 * struct mh_server_view - state of a backend server as known to an entry
 * @host: name of its host
 * @pool: name of its pool
 * @up: its side is linked
 * @leaving: gets no new requests
 * @running: number of calls of this entry that it runs
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
 * mh_entry_count_waiting() - number of calls of a tier that wait for a pool
 * @e: core
 * @pool: name of the pool
 * @tier: tier
 */
uint32_t mh_entry_count_waiting(const struct mh_entry *e, const char *pool,
				uint8_t tier);

#endif
