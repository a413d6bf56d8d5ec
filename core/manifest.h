/*
 * The manifest: tiers, pools, client accounts and their contracts, policy.
 * mangoctl, the API and every process that replays the log check it with the
 * same function.
 */
#ifndef MH_MANIFEST_H
#define MH_MANIFEST_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "config/reader.h"

#define MH_MAX_TIERS 8
#define MH_SCHEMA_VERSION 1

/**
 * struct mh_tier - a priority tier; the first in the manifest is the highest
 * @name: name
 * @deadline_ms: deadline of a request that states none
 */
struct mh_tier {
	char *name;
	uint32_t deadline_ms;
};

/**
 * struct mh_pool - a pool of backend servers
 * @name: name
 * @kind: "engine" or "service"
 * @models: models that the pool serves; empty for a service
 * @not_repeatable: "METHOD /path" prefixes of calls that may run only once
 * @max_waiting: limit of requests that wait for the pool at one entry
 * @max_running: limit of concurrent runs at one backend server
 * @reserve_percent: share of the slots that each tier leaves to those above it,
 *                   adding up from tier to tier
 * @is_service: @kind is "service"
 */
struct mh_pool {
	char *name;
	char *kind;
	struct mh_strings models;
	struct mh_strings not_repeatable;
	uint32_t max_waiting;
	uint32_t max_running;
	uint32_t reserve_percent;
	bool is_service;
};

/**
 * struct mh_account - a client account and its contract
 * @name: name
 * @keys_sha256: hex hashes of the account's API keys; several during rotation
 * @tier_name: highest tier that the account may use
 * @share: weight against other accounts of the same tier
 * @max_waiting: limit of open requests of the account at one entry
 * @tier: index of @tier_name
 */
struct mh_account {
	char *name;
	struct mh_strings keys_sha256;
	char *tier_name;
	uint32_t share;
	uint32_t max_waiting;
	uint8_t tier;
};

/**
 * struct mh_operator - a user of the administration API
 * @name: name in the audit trail
 * @token_sha256: hex hash of the token
 * @role: "reader", "publisher" or "admin"
 */
struct mh_operator {
	char *name;
	char *token_sha256;
	char *role;
};

/**
 * struct mh_policy - settings of the scheduling policy
 * @grant_term_ms: how long a grant is valid
 * @widen_ms: wait for the preferred backend server before all get the demand
 * @give_way_term_ms: how long lower tiers are not admitted after yielding
 * @keep_ms: how long a side retains a complete response for a resend
 * @key_window_s: how long an idempotency key is remembered
 * @appends_per_s: rate limit of log appends for all entries together
 * @claim_appenders: number of entries that append claims for all; 0: each entry
 * @links_per_server: number of entries that link to a backend server; 0: all
 */
struct mh_policy {
	uint32_t grant_term_ms;
	uint32_t widen_ms;
	uint32_t give_way_term_ms;
	uint32_t keep_ms;
	uint32_t key_window_s;
	uint32_t appends_per_s;
	uint32_t claim_appenders;
	uint32_t links_per_server;
};

struct mh_key_ref {
	char *hash;
	const struct mh_account *account;
	UT_hash_handle hh;
};

struct mh_manifest {
	uint64_t version;
	struct mh_tier tiers[MH_MAX_TIERS];
	uint8_t n_tiers;
	struct mh_pool *pools;
	size_t n_pools;
	struct mh_account *accounts;
	size_t n_accounts;
	struct mh_operator *operators;
	size_t n_operators;
	struct mh_strings drained;
	struct mh_policy policy;
	struct mh_key_ref *by_key;
	json_t *doc;
};

/**
 * mh_manifest_read() - check a document and build the manifest
 * @doc: document; a reference is taken
 * @rep: report that every error is added to
 *
 * Return: the manifest, or NULL when @rep has errors or memory runs out.
 */
struct mh_manifest *mh_manifest_read(json_t *doc, struct mh_config_report *rep);

/**
 * mh_manifest_free() - free a manifest and all it owns
 * @m: manifest or NULL
 */
void mh_manifest_free(struct mh_manifest *m);

/**
 * mh_manifest_merge() - apply a delta to a document
 * @doc: current document
 * @delta: tables to merge; arrays of named tables merge by name, and the
 *         array "remove" lists tables to remove, each as "section:name"
 *
 * Return: a new document, or NULL when memory runs out.
 */
json_t *mh_manifest_merge(const json_t *doc, const json_t *delta);

/**
 * mh_manifest_pool() - find a pool by name
 * @m: manifest
 * @name: name of the pool
 *
 * Return: pool, or NULL.
 */
const struct mh_pool *mh_manifest_pool(const struct mh_manifest *m,
				       const char *name);

/**
 * mh_manifest_pool_for_model() - find the pool that serves a model
 * @m: manifest
 * @model: name of the model
 *
 * Return: pool, or NULL.
 */
const struct mh_pool *mh_manifest_pool_for_model(const struct mh_manifest *m,
						 const char *model);

/**
 * mh_manifest_account() - find an account by name
 * @m: manifest
 * @name: name of the account
 *
 * Return: account, or NULL.
 */
const struct mh_account *mh_manifest_account(const struct mh_manifest *m,
					     const char *name);

/**
 * mh_manifest_account_by_key() - find an account by the hash of a key
 * @m: manifest
 * @sha256_hex: lower-case hex hash
 *
 * Return: account, or NULL.
 */
const struct mh_account *mh_manifest_account_by_key(const struct mh_manifest *m,
						    const char *sha256_hex);

/**
 * mh_manifest_tier() - index of a tier by name
 * @m: manifest
 * @name: name of the tier
 *
 * Return: index, or -1.
 */
int mh_manifest_tier(const struct mh_manifest *m, const char *name);

/**
 * mh_manifest_drained() - whether the manifest lists a host as drained
 * @m: manifest
 * @host: name of the host
 */
bool mh_manifest_drained(const struct mh_manifest *m, const char *host);

/**
 * mh_pool_repeatable() - whether a call may run more than once
 * @pool: pool of the call
 * @method: HTTP method
 * @path: path of the call within the pool
 */
bool mh_pool_repeatable(const struct mh_pool *pool, const char *method,
			const char *path);

#endif
