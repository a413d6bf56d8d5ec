/*
 * Shares the places of backend servers among the requests of many entry hosts:
 * who is served next, at which server, who waits and who is refused. Strict
 * tiers over all entries; within a tier, requests that can still be in time go
 * before late ones. No I/O: events in, answers out through the operations.
 */
#ifndef MH_DISPATCH_H
#define MH_DISPATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/budget.h"
#include "core/clock.h"
#include "core/err.h"
#include "core/routes.h"

#define MH_AVOID_MAX 3
/* Ranks of accounts, and of routes within an account's rank; less urgent ones
 * count as the last. */
#define MH_ACCOUNT_TIERS 4
#define MH_ROUTE_TIERS 4
/* The last one is for requests beyond their account's quota. */
#define MH_TIERS (MH_ACCOUNT_TIERS * MH_ROUTE_TIERS + 1)

/**
 * struct mh_slot_request - a request that needs a place
 * @owner: entry that asks
 * @id: number of the request, unique at its owner
 * @service: name of the service
 * @account: client account, "" if there is none
 * @tier: as mh_dispatch_tier() tells, 0 is the most urgent
 * @units: what it takes from the account's quota, 0 if that was done before
 * @prompt_tokens: size of the prompt, 0 for a plain request
 * @output_tokens: greatest size of the answer, 0 for a plain request
 * @target_ns: monotonic time by which the answer should begin
 * @start_by_ns: monotonic time by which the answer has to begin, since the
 *               caller leaves otherwise
 * @deadline_ns: monotonic time after which the answer is worth nothing
 * @fingerprint: same for the same request from the same caller
 * @is_repeat: it was sent to a server before
 * @is_repeatable: it may run once more after the place that is asked for
 * @is_moved: it comes from a server that it was asked to leave
 * @avoid: servers that it was sent to before
 * @n_avoid: number of @avoid
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
	uint64_t target_ns;
	uint64_t start_by_ns;
	uint64_t deadline_ns;
	uint64_t fingerprint;
	bool is_repeat;
	bool is_repeatable;
	bool is_moved;
	const char *avoid[MH_AVOID_MAX];
	uint32_t n_avoid;
};

/* How a request ended that had a place. */
enum mh_slot_outcome {
	MH_SLOT_OK,	     /* the server gave a whole answer */
	MH_SLOT_FAILED,	     /* the server answered with an error of its own */
	MH_SLOT_LOST,	     /* the connection broke after it was sent */
	MH_SLOT_REJECTED,    /* the server said that it did not run it */
	MH_SLOT_UNREACHABLE, /* no connection was made */
	MH_SLOT_TIMED_OUT,   /* no answer in time */
	MH_SLOT_CANCELLED,   /* the caller went away; says nothing */
	MH_SLOT_UNUSED,	     /* it was never sent */
	MH_SLOT_OUTCOMES,
};

/**
 * struct mh_dispatch_service_conf - what the configuration says of a service
 * @name: name
 * @places: requests that one server runs at a time, 0: as it registers
 * @is_engine: it serves a model
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
 * @places: requests that it runs at a time
 * @born_ms: Unix time of its start
 * @takes_work: it is neither leaving nor gone
 */
struct mh_backend_server {
	const char *id;
	const char *service;
	const char *address;
	uint32_t places;
	uint64_t born_ms;
	bool takes_work;
};

/**
 * struct mh_slot_refusal - why a request gets no place
 * @error: error kind
 * @retry_after_ms: when to come back, 0 if it makes no sense
 * @wait_ms: how long it would have waited, as was expected
 * @spent: units that its account spent in the window
 * @limit: units that it may spend
 */
struct mh_slot_refusal {
	enum mh_error error;
	uint32_t retry_after_ms;
	uint32_t wait_ms;
	uint64_t spent;
	uint64_t limit;
};

/**
 * struct mh_dispatch_ops - answers to requests that ask
 * @place: send the request to this server
 * @refuse: the request was not sent and gets no place
 * @move: its server owes an answer for too long: give the place back and ask
 *        for another one, with @is_moved
 */
struct mh_dispatch_ops {
	void (*place)(void *data, uint32_t owner, uint64_t id,
		      const struct mh_backend_server *server);
	void (*refuse)(void *data, uint32_t owner, uint64_t id,
		       const struct mh_slot_refusal *why);
	void (*move)(void *data, uint32_t owner, uint64_t id);
};

/**
 * struct mh_dispatch_conf - bounds
 * @retry_ratio: repeats allowed for each first try, over all entries
 * @retry_extra: repeats allowed besides, in one window
 * @retry_window_ms: length of the window
 * @quota_window_ms: window over which accounts' quotas hold
 * @quota_excess: share by which an account may exceed its quota
 * @quota_slack: units by which it may exceed it besides
 */
struct mh_dispatch_conf {
	double retry_ratio;
	double retry_extra;
	uint32_t retry_window_ms;
	uint32_t quota_window_ms;
	double quota_excess;
	double quota_slack;
};

/* Repeats at a service are told among dispatchers as units of this prefix and
 * the service's name, as what accounts spend. No account's name begins so. */
#define MH_RETRY_USAGE_PREFIX "\x01"

struct mh_dispatch;

/**
 * mh_dispatch_tier() - rank of a request
 * @account: its account, or NULL
 * @route: its route
 *
 * The account's rank goes before the route's; requests of accounts of one rank
 * are told apart by their routes.
 */
uint8_t mh_dispatch_tier(const struct mh_account *account,
			 const struct mh_route *route);

/**
 * mh_dispatch_new() - create a dispatcher without servers
 * @conf: bounds, copied
 * @clock: clock
 * @seed: random bits
 * @ops: answers
 * @data: first argument of @ops
 */
struct mh_dispatch *mh_dispatch_new(const struct mh_dispatch_conf *conf,
				    const struct mh_clock *clock, uint64_t seed,
				    const struct mh_dispatch_ops *ops,
				    void *data);

/**
 * mh_dispatch_free() - free a dispatcher; nobody is told
 * @d: dispatcher or NULL
 */
void mh_dispatch_free(struct mh_dispatch *d);

/**
 * mh_dispatch_set_conf() - change the bounds
 * @d: dispatcher
 * @conf: bounds, copied; the window's length holds for new services
 */
void mh_dispatch_set_conf(struct mh_dispatch *d,
			  const struct mh_dispatch_conf *conf);

/**
 * mh_dispatch_set_share() - use a part of all places and limits only
 * @d: dispatcher
 * @n_sharing: others that do the same besides this one, and itself; at least 1
 */
void mh_dispatch_set_share(struct mh_dispatch *d, uint32_t n_sharing);

/**
 * mh_dispatch_set_service() - the configuration describes a service
 * @d: dispatcher
 * @service: copied
 */
void mh_dispatch_set_service(struct mh_dispatch *d,
			     const struct mh_dispatch_service_conf *service);

/**
 * mh_dispatch_configure() - take services and quotas of a configuration
 * @d: dispatcher
 * @routes: configuration
 */
void mh_dispatch_configure(struct mh_dispatch *d,
			   const struct mh_routes *routes);

/**
 * mh_dispatch_update_server() - a server came, changed or went
 * @d: dispatcher
 * @server: copied
 */
void mh_dispatch_update_server(struct mh_dispatch *d,
			       const struct mh_backend_server *server);

/**
 * mh_dispatch_set_quota() - limits of a client account
 * @d: dispatcher
 * @account: name
 * @rate_per_s: units a second, 0: no limit
 * @burst: units on top
 */
void mh_dispatch_set_quota(struct mh_dispatch *d, const char *account,
			   double rate_per_s, double burst);

/**
 * mh_dispatch_now_ns() - monotonic time of the dispatcher's clock
 * @d: dispatcher
 */
uint64_t mh_dispatch_now_ns(const struct mh_dispatch *d);

/**
 * mh_dispatch_set_grantor() - number of this dispatcher's incarnation
 * @d: dispatcher
 * @grantor: differs from all others
 */
void mh_dispatch_set_grantor(struct mh_dispatch *d, uint64_t grantor);

/**
 * mh_dispatch_add_reported_usage() - units that another dispatcher let through, as one of
 *                       its entries says
 * @d: dispatcher
 * @account: name
 * @grantor: number of the other dispatcher
 * @units: units
 * @age_ms: how long ago
 */
void mh_dispatch_add_reported_usage(struct mh_dispatch *d, const char *account,
				    uint64_t grantor, uint64_t units,
				    uint32_t age_ms);

/**
 * mh_dispatch_add_stored_usage() - all that a dispatcher let through, as was written down
 * @d: dispatcher
 * @account: name
 * @grantor: number of the dispatcher
 * @usage: its spending; the greatest of several records holds
 */
void mh_dispatch_add_stored_usage(struct mh_dispatch *d, const char *account,
				  uint64_t grantor, struct mh_usage *usage);

/**
 * mh_dispatch_new_usage() - empty window of the length of quotas
 * @d: dispatcher
 */
struct mh_usage mh_dispatch_new_usage(const struct mh_dispatch *d);

/**
 * mh_dispatch_each_usage() - walk all spending of the window that is known, to
 *                            write it down; foresees a little of what follows
 * @d: dispatcher
 * @visit: called for each account, dispatcher and slot of time with spending
 * @data: first argument of @visit
 */
void mh_dispatch_each_usage(struct mh_dispatch *d,
			    void (*visit)(void *data, const char *account,
					  uint64_t grantor, uint64_t units,
					  uint32_t age_ms),
			    void *data);

/**
 * mh_dispatch_total_granted_units() - all that this dispatcher ever let through
 * @d: dispatcher
 */
uint64_t mh_dispatch_total_granted_units(const struct mh_dispatch *d);

/**
 * mh_dispatch_is_near_limit() - whether an account came close to its quota
 * @d: dispatcher
 */
bool mh_dispatch_is_near_limit(const struct mh_dispatch *d);

/**
 * mh_dispatch_request_slot() - a request needs a place; answered now or by a later tick
 * @d: dispatcher
 * @ask: copied
 */
void mh_dispatch_request_slot(struct mh_dispatch *d,
			      const struct mh_slot_request *ask);

/**
 * mh_dispatch_adopt_slot() - a request has a place that another dispatcher gave
 * @d: dispatcher
 * @ask: the request
 * @server: server that it was sent to
 * @age_ms: time since then
 */
void mh_dispatch_adopt_slot(struct mh_dispatch *d,
			    const struct mh_slot_request *ask,
			    const char *server, uint32_t age_ms);

/**
 * mh_dispatch_first_byte() - a server began to answer
 * @d: dispatcher
 * @owner: entry
 * @id: request
 * @first_ms: time since it was sent
 */
void mh_dispatch_first_byte(struct mh_dispatch *d, uint32_t owner, uint64_t id,
			    uint32_t first_ms);

/**
 * mh_dispatch_done() - a request gives its place back, or waits no more
 * @d: dispatcher
 * @owner: entry
 * @id: request
 * @outcome: how it ended
 * @total_ms: time since it was sent
 */
void mh_dispatch_done(struct mh_dispatch *d, uint32_t owner, uint64_t id,
		      enum mh_slot_outcome outcome, uint32_t total_ms);

/**
 * mh_dispatch_owner_gone() - forget all requests of an entry
 * @d: dispatcher
 * @owner: entry
 */
void mh_dispatch_owner_gone(struct mh_dispatch *d, uint32_t owner);

/**
 * mh_dispatch_tick() - give free places away, refuse what can't be served
 * @d: dispatcher
 *
 * Return: monotonic time of the next tick.
 */
uint64_t mh_dispatch_tick(struct mh_dispatch *d);

/**
 * struct mh_dispatch_view - state of a service, for logs and metrics
 * @servers: servers that take work
 * @places: their places
 * @held: places that are taken
 * @waiting: requests that wait, by tier
 * @server_stats: of each server its pace and what it holds, as far as there is room
 */
struct mh_dispatch_view {
	uint32_t servers;
	uint32_t places;
	uint32_t held;
	uint32_t waiting[MH_TIERS];
	char server_stats[320];
};

/**
 * mh_dispatch_view() - look at a service
 * @d: dispatcher
 * @service: name
 * @view: filled in
 */
void mh_dispatch_view(const struct mh_dispatch *d, const char *service,
		      struct mh_dispatch_view *view);

#endif
