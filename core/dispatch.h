/*
 * Dispatcher: assigns the slots of backend servers to the requests of many
 * entry hosts, and decides which request is placed next, at which server, and
 * which ones wait or are refused. Tiers have strict priority over all entries;
 * within a tier, requests that can still meet their target latency go before
 * late ones. No I/O: callers pass events in, and results leave through
 * struct mh_dispatch_ops.
 */
#ifndef MH_DISPATCH_H
#define MH_DISPATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/catalog.h"
#include "core/clock.h"
#include "core/err.h"
#include "core/features.h"
#include "core/lost_run.h"
#include "core/entry_set.h"
#include "core/rollout.h"
#include "core/routes.h"
#include "core/server_notices.h"
#include "core/sliding_window.h"
#include "core/suspects.h"

#define MH_AVOID_MAX 3
/* Tiers of accounts, and of routes within an account's tier; higher numbers
 * count as the last tier. */
#define MH_ACCOUNT_TIERS 4
#define MH_ROUTE_TIERS 4
/* The last tier is for requests beyond their account's quota. */
#define MH_TIERS (MH_ACCOUNT_TIERS * MH_ROUTE_TIERS + 1)

/**
 * struct mh_slot_request - a request that needs a slot of a server
 * @owner: entry that holds the request
 * @id: number of the request, unique for its owner
 * @service: name of the service
 * @account: client account, "" if there is none
 * @tier: result of mh_dispatch_tier(), 0 is the most urgent
 * @units: units to take from the account's quota, 0 if they are taken already
 * @prompt_tokens: size of the prompt, 0 for a request without one
 * @output_tokens: greatest size of the response, 0 for a request without a
 *                 prompt
 * @expected_tokens: length of the response as the client expects it, 0 if it
 *                   states none
 * @target_ns: monotonic time by which the response should begin
 * @start_by_ns: monotonic time by which the response has to begin, because the
 *               client gives up then
 * @deadline_ns: monotonic time after which the response is of no use
 * @fingerprint: equal for equal requests of the same client
 * @kind: equal for requests of the same route
 * @n_parts: number of elements in @parts
 * @parts: identifiers of the parts of its prompt that other requests may share,
 *         at most MH_PARTS_MAX
 * @is_repeat: it was sent to a server before
 * @is_repeatable: after a run in the requested slot it may be sent to a further
 *                 server
 * @is_moved: the dispatcher moved it away from its former server
 * @avoid: servers that it was sent to before
 * @n_avoid: number of elements in @avoid
 */
struct mh_slot_request {
	uint32_t owner;
	uint64_t id;
	const char *service;
	const char *account;
	uint8_t tier;
	uint32_t units;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint32_t expected_tokens;
	uint64_t target_ns;
	uint64_t start_by_ns;
	uint64_t deadline_ns;
	uint64_t fingerprint;
	uint64_t kind;
	uint32_t n_parts;
	const uint64_t *parts;
	bool is_repeat;
	bool is_repeatable;
	bool is_moved;
	const char *avoid[MH_AVOID_MAX];
	uint32_t n_avoid;
};

/**
 * mh_server_incarnation() - number that stands for a server in records of crashes
 * @server: server
 */
uint64_t mh_server_incarnation(const struct mh_server_ref *server);

/* How a request that had a slot ended. */
enum mh_slot_outcome {
	MH_SLOT_OK,	     /* the server sent a complete response */
	MH_SLOT_FAILED,	     /* the server responded with an error */
	MH_SLOT_LOST,	     /* the connection broke after it was sent */
	MH_SLOT_REJECTED,    /* the server declined to run it */
	MH_SLOT_UNREACHABLE, /* the connection could not be opened */
	MH_SLOT_TIMED_OUT,   /* no response in time */
	MH_SLOT_CANCELLED,   /* the client left; no failure of the server */
	MH_SLOT_UNUSED,	     /* the request was never sent */
	MH_SLOT_CORRUPT,     /* the server sent an invalid response */
	MH_SLOT_HANDED_OVER, /* another dispatcher has taken the slot over */
	MH_SLOT_HELD_BACK,   /* not sent: the server leaves or wants a pause */
	MH_SLOT_UNPROVEN,    /* the response ended with its connection only */
	MH_SLOT_DECLINED,    /* a complete response that is no success */
	MH_SLOT_OUTCOMES,
};

/**
 * mh_slot_is_uncharged() - whether a request did not run in its slot, so that
 *                          its account gets the units back
 * @outcome: how it ended
 */
bool mh_slot_is_uncharged(enum mh_slot_outcome outcome);

/**
 * struct mh_dispatch_service_conf - configuration of a service
 * @name: name
 * @places: slots of each server, 0: as many as the server registers
 * @is_engine: its servers run a model
 */
struct mh_dispatch_service_conf {
	const char *name;
	uint32_t places;
	bool is_engine;
};

/**
 * struct mh_backend_server - a backend server
 * @id: identifier
 * @service: service that it belongs to
 * @address: "ip:port"
 * @version: version, "" or NULL if it registered none
 * @places: slots, the number of requests that it runs at a time
 * @born_ms: Unix time of its start
 * @cold_ms: how much longer it stays slow after its start
 * @takes_work: it is neither draining nor gone
 * @is_doubtful: it may be gone: others are used first
 * @is_gone: its registration was removed
 */
struct mh_backend_server {
	const char *id;
	const char *service;
	const char *address;
	const char *version;
	uint32_t places;
	uint64_t born_ms;
	uint32_t cold_ms;
	bool takes_work;
	bool is_doubtful;
	bool is_gone;
};

/**
 * struct mh_slot_refusal - why a request gets no slot
 * @error: error kind
 * @retry_after_ms: delay before the next try, 0 if another try is pointless
 * @wait_ms: expected wait for a slot
 * @spent: units that its account used in the window
 * @limit: units that the account may use in the window
 * @feature: of a request that crashes servers, what tells so
 */
struct mh_slot_refusal {
	enum mh_error error;
	uint32_t retry_after_ms;
	uint32_t wait_ms;
	uint64_t spent;
	uint64_t limit;
	struct mh_feature feature;
};

/**
 * struct mh_dispatch_ops - results of slot requests
 * @grant: the request got a slot: send it to this server
 * @refuse: the request gets no slot and is not to be sent
 * @move: its server has not begun to respond in time: release the slot and
 *        request another one, with @is_moved set
 * @lost: a run was lost
 * @suspect: other dispatchers should learn of this
 * @limited: the limits of servers alone kept a request that is granted a slot now
 *           waiting for this time; may be NULL
 * @hedge: the request got a second slot: send it to this server as well, under
 *         the number mh_hedge_id(), by which the second slot is released; may be
 *         NULL, without which no request gets one
 */
struct mh_dispatch_ops {
	void (*grant)(void *data, uint32_t owner, uint64_t id,
		      const struct mh_backend_server *server);
	void (*refuse)(void *data, uint32_t owner, uint64_t id,
		       const struct mh_slot_refusal *why);
	void (*move)(void *data, uint32_t owner, uint64_t id);
	void (*lost)(void *data, const struct mh_lost_run *run);
	void (*suspect)(void *data, const struct mh_suspect *suspect);
	void (*limited)(void *data, uint32_t owner, uint64_t id,
			uint32_t wait_ms);
	void (*hedge)(void *data, uint32_t owner, uint64_t id,
		      const struct mh_backend_server *server);
};

/**
 * struct mh_dispatch_conf - retry budget, tolerance of quotas, policy, hedged requests
 * @retry_ratio: retries allowed for each first try, over all entries
 * @retry_extra: retries allowed in a window regardless of the first tries
 * @retry_window_ms: length of the retry budget's window
 * @quota_window_ms: length of the window over which quotas hold
 * @quota_excess: share of its quota by which an account may exceed it
 * @quota_slack: units by which an account may exceed its quota in addition
 * @latest_start_percentile: a request counts as late once it would miss its target
 *                           with this percentile of the times to the first byte;
 *                           0: with the mean
 * @length_aware: place requests by the expected length of their responses
 * @account_shares: waiting requests of a tier are served by weighted shares of
 *                  their accounts
 * @returning_first: requests of clients that come back at the time that they were
 *                   told go before new ones, and fewer are rejected
 * @hedge_share: hedged requests allowed for each request of a service, over all
 *               entries and in the retry budget's window
 * @hedge_extra: those allowed regardless of the requests; with both 0 there are
 *               none
 */
struct mh_dispatch_conf {
	double retry_ratio;
	double retry_extra;
	uint32_t retry_window_ms;
	uint32_t quota_window_ms;
	double quota_excess;
	double quota_slack;
	double latest_start_percentile;
	bool length_aware;
	bool account_shares;
	bool returning_first;
	double hedge_share;
	double hedge_extra;
};

/* Entries report the retries at a service to dispatchers as usage of an account
 * whose name is this prefix and the service's name. No client account's name
 * begins with it. */
#define MH_RETRY_USAGE_PREFIX "\x01"

/* The same for requests that were sent to a server with a limit, the server's
 * identifier behind the prefix. */
#define MH_SENDS_USAGE_PREFIX "\x02"

/* The same for hedged requests at a service, which count as retries as well. */
#define MH_HEDGE_USAGE_PREFIX "\x03"

struct mh_dispatch;

/**
 * mh_dispatch_tier() - tier of a request
 * @account: its account, or NULL
 * @route: its route
 *
 * The account's tier comes first; the route's tier decides between requests of
 * accounts of the same tier. Without an account's tier the route's counts as
 * both.
 *
 * Return: tier for struct mh_slot_request, 0 is the most urgent.
 */
uint8_t mh_dispatch_tier(const struct mh_client_account *account,
			 const struct mh_route *route);

/**
 * mh_dispatch_new() - create a dispatcher without servers
 * @conf: limits, copied
 * @clock: clock
 * @seed: seed of the random numbers
 * @ops: callbacks for results
 * @data: first argument of @ops
 */
struct mh_dispatch *mh_dispatch_new(const struct mh_dispatch_conf *conf,
				    const struct mh_clock *clock, uint64_t seed,
				    const struct mh_dispatch_ops *ops,
				    void *data);

/**
 * mh_dispatch_free() - free a dispatcher without calling back
 * @d: dispatcher or NULL
 */
void mh_dispatch_free(struct mh_dispatch *d);

/**
 * mh_dispatch_set_conf() - change the limits
 * @d: dispatcher
 * @conf: limits, copied; new lengths of the windows hold for services and
 *        accounts that are added later
 */
void mh_dispatch_set_conf(struct mh_dispatch *d,
			  const struct mh_dispatch_conf *conf);

/**
 * mh_dispatch_set_rollouts() - follow the orders of a set of roll-outs
 * @d: dispatcher, which reports grants and outcomes, and calls mh_rollouts_tick()
 * @set: set, or NULL for none
 */
void mh_dispatch_set_rollouts(struct mh_dispatch *d, struct mh_rollouts *set);

/**
 * mh_dispatch_set_share() - use only a share of all slots and limits
 * @d: dispatcher
 * @n_sharing: number of dispatchers that share them, this one included; at
 *             least 1
 */
void mh_dispatch_set_share(struct mh_dispatch *d, uint32_t n_sharing);

/**
 * mh_dispatch_begin_share() - the share is used from now on
 * @d: dispatcher of an entry that has lost the others'
 *
 * The others leave this share to it little by little, so that it grows over a
 * window of the limits.
 */
void mh_dispatch_begin_share(struct mh_dispatch *d);

/**
 * mh_dispatch_entry_linked() - an entry is linked to this dispatcher
 * @d: dispatcher
 * @host: its host
 */
void mh_dispatch_entry_linked(struct mh_dispatch *d, const char *host);

/**
 * mh_dispatch_entry_ended() - an entry's process has ended
 * @d: dispatcher
 * @host: its host
 */
void mh_dispatch_entry_ended(struct mh_dispatch *d, const char *host);

/**
 * mh_dispatch_entry_lost() - an entry fell silent
 * @d: dispatcher
 * @host: its host
 * @owner: owner of its slot requests, 0 if not known
 * @heard_ns: monotonic time at which it was last heard of
 *
 * It may live, cut off, and use its share of the limits by itself, which this
 * dispatcher leaves to it.
 */
void mh_dispatch_entry_lost(struct mh_dispatch *d, const char *host,
			    uint32_t owner, uint64_t heard_ns);

/**
 * mh_dispatch_entry_recorded() - another dispatcher heard of an entry
 * @d: dispatcher, for which the entry counts as lost unless it is linked
 * @host: its host
 * @heard_ns: monotonic time at which it was last heard of
 */
void mh_dispatch_entry_recorded(struct mh_dispatch *d, const char *host,
				uint64_t heard_ns);

/**
 * mh_dispatch_linked_entries() - entries that are linked to this dispatcher
 * @d: dispatcher
 */
struct mh_entry_set *mh_dispatch_linked_entries(const struct mh_dispatch *d);

/**
 * mh_dispatch_lost_entries() - entries that may use their share by themselves
 * @d: dispatcher that grants the whole otherwise
 */
struct mh_entry_set *mh_dispatch_lost_entries(const struct mh_dispatch *d);

/**
 * mh_dispatch_entries() - number of entries that share slots and limits
 * @d: dispatcher
 *
 * Return: linked and lost ones.
 */
uint32_t mh_dispatch_entries(const struct mh_dispatch *d);

/**
 * mh_dispatch_set_linked() - set the number of entries that use this dispatcher
 * @d: dispatcher
 * @n_linked: number of entries
 */
void mh_dispatch_set_linked(struct mh_dispatch *d, uint32_t n_linked);

/**
 * mh_dispatch_set_service() - set the configuration of a service
 * @d: dispatcher
 * @service: copied
 */
void mh_dispatch_set_service(struct mh_dispatch *d,
			     const struct mh_dispatch_service_conf *service);

/**
 * mh_dispatch_configure() - apply the services and quotas of a configuration
 * @d: dispatcher
 * @routes: configuration
 */
void mh_dispatch_configure(struct mh_dispatch *d,
			   const struct mh_routes *routes);

/**
 * mh_dispatch_update_server() - add, change or remove a server
 * @d: dispatcher
 * @server: copied
 */
void mh_dispatch_update_server(struct mh_dispatch *d,
			       const struct mh_backend_server *server);

/**
 * mh_dispatch_update_registration() - add, change or remove the server of a
 *                                     registration
 * @d: dispatcher
 * @reg: registration; without a service it is ignored
 */
void mh_dispatch_update_registration(struct mh_dispatch *d,
				     const struct mh_registration *reg);

/**
 * mh_dispatch_set_quota() - set the quota of a client account
 * @d: dispatcher
 * @account: name
 * @rate_per_s: units per second, 0: no limit
 * @burst: units allowed in a window in addition to the rate
 */
void mh_dispatch_set_quota(struct mh_dispatch *d, const char *account,
			   double rate_per_s, double burst);

/**
 * mh_dispatch_now_ns() - monotonic time of the dispatcher's clock
 * @d: dispatcher
 */
uint64_t mh_dispatch_now_ns(const struct mh_dispatch *d);

/**
 * mh_dispatch_set_grantor() - set the number of this dispatcher's incarnation
 * @d: dispatcher
 * @grantor: unique among all dispatchers
 */
void mh_dispatch_set_grantor(struct mh_dispatch *d, uint64_t grantor);

/**
 * mh_dispatch_add_reported_usage() - add units that another dispatcher granted,
 *                                    as one of its entries reports
 * @d: dispatcher
 * @account: name
 * @grantor: incarnation of the other dispatcher
 * @units: units
 * @age_ms: time since they were granted
 */
void mh_dispatch_add_reported_usage(struct mh_dispatch *d, const char *account,
				    uint64_t grantor, uint64_t units,
				    uint32_t age_ms);

/**
 * mh_dispatch_set_usage_known() - set whether it is known what accounts used before
 *                                 the start
 * @d: dispatcher; by default it is
 * @known: the stored usage was read, or came from an entry
 */
void mh_dispatch_set_usage_known(struct mh_dispatch *d, bool known);

/**
 * mh_dispatch_add_stored_usage() - add all usage that a dispatcher granted, as
 *                                  read from a stored record
 * @d: dispatcher
 * @account: name
 * @grantor: incarnation of the dispatcher
 * @usage: its usage; the greatest of several records holds
 */
void mh_dispatch_add_stored_usage(struct mh_dispatch *d, const char *account,
				  uint64_t grantor, struct mh_usage *usage);

/**
 * mh_dispatch_new_usage() - empty usage window of the quotas' length
 * @d: dispatcher
 */
struct mh_usage mh_dispatch_new_usage(const struct mh_dispatch *d);

/**
 * mh_dispatch_each_usage() - walk all known usage of the window to store it;
 *                            includes usage expected before the next record
 * @d: dispatcher
 * @visit: called for each account, dispatcher and bucket with usage
 * @data: first argument of @visit
 */
void mh_dispatch_each_usage(struct mh_dispatch *d,
			    void (*visit)(void *data, const char *account,
					  uint64_t grantor, uint64_t units,
					  uint32_t age_ms),
			    void *data);

/**
 * mh_dispatch_total_granted_units() - units that this dispatcher ever granted
 * @d: dispatcher
 */
uint64_t mh_dispatch_total_granted_units(const struct mh_dispatch *d);

/**
 * mh_dispatch_is_near_limit() - whether any account was recently near its quota
 * @d: dispatcher
 */
bool mh_dispatch_is_near_limit(const struct mh_dispatch *d);

/**
 * mh_dispatch_server_probed() - record that a server accepts connections, so
 *                               that runs which were just lost did not crash it
 * @d: dispatcher
 * @server: identifier of the server
 */
void mh_dispatch_server_probed(struct mh_dispatch *d, const char *server);

/**
 * mh_dispatch_server_leaving() - place no further requests at a server
 * @d: dispatcher
 * @server: server that said that it leaves; ignored if a later incarnation of
 *          it is registered
 *
 * Return: whether this is new.
 */
bool mh_dispatch_server_leaving(struct mh_dispatch *d,
				const struct mh_server_ref *server);

/**
 * mh_dispatch_server_pause() - place no requests of an entry at a server for a
 *                              while, and few for a moment after that
 * @d: dispatcher
 * @owner: entry that the server asked for it
 * @server: server; ignored if a later incarnation of it is registered
 * @ms: for how long, at most MH_PAUSE_MAX_MS
 */
void mh_dispatch_server_pause(struct mh_dispatch *d, uint32_t owner,
			      const struct mh_server_ref *server, uint32_t ms);

/**
 * mh_dispatch_server_limit() - take what a server stated of its limit
 * @d: dispatcher
 * @server: server; ignored if a later incarnation of it is registered
 * @stated: statement
 *
 * Return: what it changed.
 */
enum mh_limit_change
mh_dispatch_server_limit(struct mh_dispatch *d,
			 const struct mh_server_ref *server,
			 const struct mh_server_limit *stated);

/**
 * mh_dispatch_each_notice() - walk the servers that leave or have a limit
 * @d: dispatcher
 * @visit: called for each
 * @data: first argument of @visit
 */
void mh_dispatch_each_notice(
	const struct mh_dispatch *d,
	void (*visit)(void *data, const struct mh_server_notice *notice),
	void *data);

/**
 * mh_dispatch_merge_suspect() - add what another dispatcher knows
 * @d: dispatcher
 * @suspect: its record
 *
 * Return: whether it held anything new.
 */
bool mh_dispatch_merge_suspect(struct mh_dispatch *d,
			       const struct mh_suspect *suspect);

/**
 * mh_dispatch_restore_suspect() - add what was stored, and share it if it is new
 * @d: dispatcher
 * @suspect: stored record
 */
void mh_dispatch_restore_suspect(struct mh_dispatch *d,
				 const struct mh_suspect *suspect);

/**
 * mh_dispatch_add_observed() - add crashes that an entry saw
 * @d: dispatcher
 * @observed: the entry's record
 *
 * Others are told of them as of those that the dispatcher sees itself.
 */
void mh_dispatch_add_observed(struct mh_dispatch *d,
			      const struct mh_suspect *observed);

/**
 * mh_dispatch_each_suspect() - walk what other dispatchers should know
 * @d: dispatcher
 * @visit: called for each record
 * @data: first argument of @visit
 */
void mh_dispatch_each_suspect(const struct mh_dispatch *d,
			      void (*visit)(void *data,
					    const struct mh_suspect *suspect),
			      void *data);

/**
 * mh_dispatch_suspect_changes() - number of changes that this dispatcher made
 * @d: dispatcher
 */
uint64_t mh_dispatch_suspect_changes(const struct mh_dispatch *d);

/**
 * mh_dispatch_request_slot() - request a slot; the result follows at once or in
 *                              a later tick
 * @d: dispatcher
 * @slot_req: slot request, copied
 */
void mh_dispatch_request_slot(struct mh_dispatch *d,
			      const struct mh_slot_request *slot_req);

/**
 * mh_dispatch_adopt_slot() - record a slot that another dispatcher granted
 * @d: dispatcher
 * @slot_req: the request that has the slot
 * @server: server that it was sent to
 * @age_ms: time since it was sent
 */
void mh_dispatch_adopt_slot(struct mh_dispatch *d,
			    const struct mh_slot_request *slot_req,
			    const char *server, uint32_t age_ms);

/**
 * mh_dispatch_first_byte() - record that a server began to respond
 * @d: dispatcher
 * @owner: entry
 * @id: request
 * @first_ms: time from sending the request to the first byte of its response
 */
void mh_dispatch_first_byte(struct mh_dispatch *d, uint32_t owner, uint64_t id,
			    uint32_t first_ms);

/**
 * mh_dispatch_streamed() - record the length of a response, before its slot is
 *                          released
 * @d: dispatcher
 * @owner: entry
 * @id: request
 * @events: events of the stream that the server sent
 */
void mh_dispatch_streamed(struct mh_dispatch *d, uint32_t owner, uint64_t id,
			  uint32_t events);

/**
 * mh_dispatch_done() - release the slot of a request, or stop waiting for one
 * @d: dispatcher
 * @owner: entry
 * @id: request
 * @outcome: how it ended
 * @total_ms: time from sending the request to its end
 */
void mh_dispatch_done(struct mh_dispatch *d, uint32_t owner, uint64_t id,
		      enum mh_slot_outcome outcome, uint32_t total_ms);

/**
 * mh_dispatch_owner_gone() - remove all requests of an entry
 * @d: dispatcher
 * @owner: entry
 */
void mh_dispatch_owner_gone(struct mh_dispatch *d, uint32_t owner);

/**
 * mh_dispatch_tick() - assign free slots, refuse requests that can't be served
 * @d: dispatcher
 *
 * Return: monotonic time of the next tick, UINT64_MAX if no request waits or
 * has a slot.
 */
uint64_t mh_dispatch_tick(struct mh_dispatch *d);

#endif
