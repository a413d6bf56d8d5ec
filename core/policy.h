/*
 * Scheduling policy of an entry, as a table of functions, so that variants can
 * be compared in benchmarks.
 */
#ifndef MH_POLICY_H
#define MH_POLICY_H

#include <stdbool.h>
#include <stdint.h>

struct mh_entry;
struct mh_req;
struct mh_server;

/**
 * struct mh_policy_ops - decisions of a policy
 * @name: name in the output of benchmarks
 * @preferred_first: whether a new request is at first demand on @preferred
 *                   only, not on all servers; @preferred is chosen by the
 *                   prompt's prefix, @least_loaded runs the fewest requests
 * @expiry_ns: monotonic time at which a waiting request is refused
 */
struct mh_policy_ops {
	const char *name;
	bool (*preferred_first)(const struct mh_entry *e,
				const struct mh_req *req,
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
 * mh_policy_variants() - walk the policies, the default first
 * @i: index
 *
 * Return: policy, or NULL past the last.
 */
const struct mh_policy_ops *mh_policy_variants(unsigned int i);

#endif
