#include "core/policy.h"

#include "core/entry_impl.h"

/* Runs that the average costs need before they are used for estimates. */
#define MIN_SAMPLES 20

/*
 * Share of the estimated run time that is counted, so that a request that might
 * still end in time is run.
 */
#define ESTIMATE_PERCENT 80

/*
 * A request is demand on the preferred server only while that runs at most this
 * many requests more than the least loaded one.
 */
#define PREFERRED_MAX_EXTRA_RUNS 1

static bool ask_preferred_first(const struct mh_entry *e,
				const struct mh_req *req,
				const struct mh_server *preferred,
				const struct mh_server *least_loaded)
{
	(void)e;
	/* If other requests wait already, it is demand on all servers. */
	return req->wait_queue->count == 1 &&
	       preferred->running <=
		       least_loaded->running + PREFERRED_MAX_EXTRA_RUNS;
}

static bool ask_all(const struct mh_entry *e, const struct mh_req *req,
		    const struct mh_server *preferred,
		    const struct mh_server *least_loaded)
{
	(void)e;
	(void)req;
	(void)preferred;
	(void)least_loaded;
	return false;
}

static uint64_t at_deadline(const struct mh_entry *e, const struct mh_req *req)
{
	(void)e;
	return req->call->deadline_ns;
}

/* The latest start at which the response is expected to end by its deadline. */
static uint64_t at_latest_start(const struct mh_entry *e,
				const struct mh_req *req)
{
	const struct mh_run_costs *costs = &req->wait_queue->costs;
	uint64_t deadline_ns = req->call->deadline_ns;
	double run_ns;

	(void)e;
	if (costs->samples < MIN_SAMPLES)
		return deadline_ns;
	run_ns = costs->prompt_token_ns * req->call->prompt_tokens +
		 costs->output_token_ns * costs->output_ratio *
			 req->call->output_tokens;
	run_ns = run_ns * ESTIMATE_PERCENT / 100;
	return run_ns < (double)deadline_ns ? deadline_ns - (uint64_t)run_ns :
					      0;
}

const struct mh_policy_ops mh_policy_default = {
	.name = "mangohead",
	.preferred_first = ask_preferred_first,
	.expiry_ns = at_latest_start,
};

static const struct mh_policy_ops ask_all_policy = {
	.name = "ask-all",
	.preferred_first = ask_all,
	.expiry_ns = at_latest_start,
};

static const struct mh_policy_ops no_estimate_policy = {
	.name = "no-estimate",
	.preferred_first = ask_preferred_first,
	.expiry_ns = at_deadline,
};

const struct mh_policy_ops *mh_policy_variants(unsigned int i)
{
	static const struct mh_policy_ops *const all[] = {
		&mh_policy_default,
		&ask_all_policy,
		&no_estimate_policy,
	};

	return i < sizeof(all) / sizeof(all[0]) ? all[i] : NULL;
}
