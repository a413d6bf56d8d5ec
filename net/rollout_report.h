/*
 * Finds changes of the phase of roll-outs, logs them with the counts that decided
 * them, and shows them in the metrics.
 */
#ifndef MH_ROLLOUT_REPORT_H
#define MH_ROLLOUT_REPORT_H

#include "core/counters.h"
#include "core/metrics.h"
#include "core/rollout.h"
#include "net/event_log.h"

/**
 * struct mh_rollout_report - what was last reported
 * @log: event log
 * @counters: counts changes
 * @metrics: metrics
 * @changed: called for each roll-out that has changed
 * @data: second argument of @changed
 * @changes: mh_rollouts_changes() at the last update
 * @rows: what was last reported of each service
 */
struct mh_rollout_report {
	struct mh_event_log *log;
	struct mh_counters *counters;
	struct mh_metrics *metrics;
	mh_rollout_visit_fn *changed;
	void *data;
	uint64_t changes;
	struct mh_rollout_report_row *rows;
};

/**
 * mh_rollout_report_update() - report what has changed
 * @report: report
 * @set: roll-outs
 */
void mh_rollout_report_update(struct mh_rollout_report *report,
			      const struct mh_rollouts *set);

/**
 * mh_rollout_report_release() - free what was reported
 * @report: report
 */
void mh_rollout_report_release(struct mh_rollout_report *report);

#endif
