/*
 * Routes, services and client accounts of one configuration version, as an
 * immutable snapshot. It maps requests to services, by host and longest path
 * prefix, and keys to accounts.
 */
#ifndef MH_ROUTES_H
#define MH_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Whether a request may be sent again if it may have run already. */
enum mh_route_kind {
	MH_ROUTE_IDEMPOTENT,
	MH_ROUTE_NON_IDEMPOTENT,
	MH_ROUTE_STREAM, /* only if the route is resumable */
};

/**
 * struct mh_route_target - service that gets a share of a route's requests
 * @service: name of the service
 * @weight: its share, relative to the other targets
 */
struct mh_route_target {
	char *service;
	uint32_t weight;
};

/**
 * struct mh_route - destination of the requests for a host and path prefix
 * @name: name, for logs
 * @host: host that the request names
 * @prefix: path prefix, begins and ends with a slash
 * @kind: whether requests may be sent again
 * @timeout_ms: time for the whole response, 0: no limit
 * @target_latency_ms: time within which a response (of a stream: its first
 *                     event) is in time
 * @client_idle_timeout_ms: time after which clients leave if no response has
 *                          begun, 0: never
 * @target_gap_ms: longest pause between two events that is in time, 0: no limit
 * @tier: 0 is the most urgent
 * @max_attempts: servers that one request may be sent to
 * @is_public: requests need no key
 * @is_generation: requests carry a prompt for a model
 * @is_resumable: a stream that broke off may be resumed at another server
 * @targets: services
 * @n_targets: number of @targets
 */
struct mh_route {
	char *name;
	char *host;
	char *prefix;
	enum mh_route_kind kind;
	uint32_t timeout_ms;
	uint32_t target_latency_ms;
	uint32_t client_idle_timeout_ms;
	uint32_t target_gap_ms;
	uint8_t tier;
	uint32_t max_attempts;
	bool is_public;
	bool is_generation;
	bool is_resumable;
	struct mh_route_target *targets;
	size_t n_targets;
};

/**
 * struct mh_service - configuration of a pool of servers
 * @name: name
 * @max_connections: connections that one server accepts in total
 * @places: slots of one server: requests that it runs at a time, 0 if not given
 * @kv_tokens: KV cache of one server in tokens, 0 if it serves no model
 * @is_engine: it serves a model
 */
struct mh_service {
	char *name;
	uint32_t max_connections;
	uint32_t places;
	uint64_t kv_tokens;
	bool is_engine;
};

/**
 * struct mh_client_account - a client account
 * @name: name
 * @has_tier: @tier overrides the route's tier
 * @tier: tier of all its requests
 * @rate_per_s: units per second over all hosts, 0: no limit
 * @burst: units allowed on top of the rate
 * @in_tokens: units are tokens, otherwise requests
 * @plain_tokens: units of a request that states no number of tokens
 */
struct mh_client_account {
	char *name;
	bool has_tier;
	uint8_t tier;
	double rate_per_s;
	double burst;
	bool in_tokens;
	uint32_t plain_tokens;
};

/**
 * struct mh_limits - limits on the size and pace of clients' requests
 * @max_head_bytes: size of the start line and header fields
 * @max_body_bytes: size of the body
 * @head_timeout_ms: time for the whole head
 * @idle_timeout_ms: time between two requests of a connection
 */
struct mh_limits {
	uint32_t max_head_bytes;
	uint32_t max_body_bytes;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct mh_routes;

/**
 * mh_routes_new() - create an empty snapshot with one reference
 * @version: version of the configuration
 */
struct mh_routes *mh_routes_new(uint64_t version);

/**
 * mh_routes_ref() - take a reference to a snapshot
 * @set: snapshot
 */
struct mh_routes *mh_routes_ref(struct mh_routes *set);

/**
 * mh_routes_unref() - drop a reference; the last one frees the snapshot
 * @set: snapshot or NULL
 */
void mh_routes_unref(struct mh_routes *set);

/**
 * mh_routes_add() - add a route
 * @set: snapshot that is still being built
 * @route: copied; replaces one with the same host and prefix; ignored if both
 *         together are longer than 511 bytes
 */
void mh_routes_add(struct mh_routes *set, const struct mh_route *route);

/**
 * mh_routes_add_service() - add a service
 * @set: snapshot that is still being built
 * @service: copied; ignored if one with its name was added before
 */
void mh_routes_add_service(struct mh_routes *set,
			   const struct mh_service *service);

/**
 * mh_routes_add_account() - add a client account
 * @set: snapshot that is still being built
 * @account: copied; ignored if one with its name was added before
 * @keys: its keys; one that was added for another account stays there
 * @n_keys: number of @keys
 */
void mh_routes_add_account(struct mh_routes *set,
			   const struct mh_client_account *account,
			   const char *const *keys, size_t n_keys);

/**
 * mh_routes_set_limits() - set the limits for clients
 * @set: snapshot that is still being built
 * @limits: limits
 */
void mh_routes_set_limits(struct mh_routes *set,
			  const struct mh_limits *limits);

/**
 * mh_routes_version() - version of the configuration
 * @set: snapshot
 */
uint64_t mh_routes_version(const struct mh_routes *set);

/**
 * mh_routes_limits() - limits for clients
 * @set: snapshot
 */
const struct mh_limits *mh_routes_limits(const struct mh_routes *set);

/**
 * mh_routes_has_accounts() - whether there are accounts, so that requests need
 *                            a key
 * @set: snapshot
 */
bool mh_routes_has_accounts(const struct mh_routes *set);

/**
 * mh_routes_find() - route of a request
 * @set: snapshot
 * @host: host without its port
 * @host_len: length of @host
 * @path: path, may be followed by a query
 * @path_len: length of @path
 *
 * Return: the route with the longest matching prefix, or NULL.
 */
const struct mh_route *mh_routes_find(const struct mh_routes *set,
				      const char *host, size_t host_len,
				      const char *path, size_t path_len);

/**
 * mh_routes_pick_service() - pick the service for a request
 * @route: route
 * @hash: evenly distributed hash of the request
 *
 * Return: name of the service, or NULL if the route has none.
 */
const char *mh_routes_pick_service(const struct mh_route *route, uint64_t hash);

/**
 * mh_routes_account_by_key() - look up the account that a key belongs to
 * @set: snapshot
 * @key: key
 * @len: length of @key
 *
 * Return: NULL if there is none.
 */
const struct mh_client_account *
mh_routes_account_by_key(const struct mh_routes *set, const char *key,
			 size_t len);

/**
 * mh_routes_service() - look up a service
 * @set: snapshot
 * @name: name
 *
 * Return: NULL if there is none.
 */
const struct mh_service *mh_routes_service(const struct mh_routes *set,
					   const char *name);

/**
 * mh_routes_service_at() - walk the services
 * @set: snapshot
 * @i: index
 *
 * Return: service, or NULL past the last.
 */
const struct mh_service *mh_routes_service_at(const struct mh_routes *set,
					      size_t i);

/**
 * mh_routes_account_at() - walk the accounts
 * @set: snapshot
 * @i: index
 *
 * Return: account, or NULL past the last.
 */
const struct mh_client_account *
mh_routes_account_at(const struct mh_routes *set, size_t i);

#endif
