/*
 * Results of the load model, as printed.
 */
#ifndef MH_LOAD_REPORT_H
#define MH_LOAD_REPORT_H

#include "tests/dispatch_load.h"

enum call_state { CALL_NEW, CALL_WAITING, CALL_RUNNING, CALL_BACK, CALL_ENDED };

/**
 * struct call - a request of a client with its retry
 * @state: state
 * @attempt: 0, or 1 for the client's retry
 * @rejections: how often it was rejected
 * @tries: times that it was sent to a server
 * @back_ms: when the client comes back
 * @server: where it runs
 * @placed_ms: since when
 * @answered: its first byte was received
 * @first_ms: when its server answers
 * @ends_ms: when its run ends
 * @in_target: response in time, counted from the first arrival
 * @in_target_again: the same, counted from its last arrival
 * @served: response whole before the deadline
 */
struct call {
	enum call_state state;
	uint8_t attempt;
	uint8_t rejections;
	uint8_t tries;
	uint32_t back_ms;
	uint32_t server;
	uint32_t placed_ms;
	bool answered;
	uint32_t first_ms;
	uint32_t ends_ms;
	bool in_target;
	bool in_target_again;
	bool served;
};

/**
 * struct load_summary - sums over the seeds of a policy
 */
struct load_summary {
	double goodput, in_target, late, rejected, twice, worst, others, again;
	uint32_t runs;
};

/**
 * load_report_print() - print one run, and add it to a summary
 * @load: load
 * @calls: its requests after the run
 * @policy: name of the policy
 * @seed: seed of the load
 * @digest: hash of all decisions
 * @summary: added to
 */
void load_report_print(const struct load *load, const struct call *calls,
		       const char *policy, uint64_t seed, uint64_t digest,
		       struct load_summary *summary);

/**
 * load_report_print_summary() - print the mean of the seeds
 * @site: name of the deployment
 * @policy: name of the policy
 * @s: summary; nothing is printed for one without runs
 */
void load_report_print_summary(const char *site, const char *policy,
			       const struct load_summary *s);

#endif
