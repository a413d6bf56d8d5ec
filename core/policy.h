/*
 * The scheduling policy of an entry, as a table of functions, so that variants
 * can be measured against each other.
 */
#ifndef MH_POLICY_H
#define MH_POLICY_H

#include <stdbool.h>
#include <stdint.h>

struct mh_entry;
struct mh_req;
struct mh_server;

/**
 * struct mh_policy_ops - decisions that vary
 * @name: name for tables
 * @ask_one: whether a request that arrives asks one server before all
 * @expiry_ns: time at which a waiting request is given up
 */
struct mh_policy_ops {
	const char *name;
	bool (*ask_one)(const struct mh_entry *e, const struct mh_req *req,
			const struct mh_server *preferred,
			const struct mh_server *least_loaded);
	uint64_t (*expiry_ns)(const struct mh_entry *e,
			      const struct mh_req *req);
};

/**
 * mh_policy_default - the policy in use
 */
extern const struct mh_policy_ops mh_policy_default;

/**
 * mh_policy_variants() - all policies, the default first
 * @i: index
 *
 * Return: policy, or NULL past the last.
 */
const struct mh_policy_ops *mh_policy_variants(unsigned int i);

#endif
