#include "net/rollout_report.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/check_alloc.h"

struct mh_rollout_report_row {
	char *service;
	char *target;
	uint32_t duration_ms;
	enum mh_rollout_phase phase;
	bool is_acknowledged;
	size_t n_excluded;
	UT_hash_handle hh;
};

/* Counts over all kinds. */
struct sum {
	unsigned long long good, failed, slow;
};

static void add(struct sum *sum, const struct mh_rollout_count *count)
{
	sum->good += count->good;
	sum->failed += count->failed;
	sum->slow += count->slow;
}

static void log_change(const struct mh_rollout_report *report,
		       const struct mh_rollout_record *rec,
		       enum mh_rollout_phase was)
{
	struct sum target = { 0 }, others = { 0 };
	size_t i;

	for (i = 0; i < rec->n_counts; i++)
		add(strcmp(rec->counts[i].version, rec->order.target) ?
			    &others :
			    &target,
		    &rec->counts[i]);
	mh_count(report->counters, MH_C_ROLLOUT_CHANGES);
	mh_event(
		report->log, MH_EV_CONFIG,
		"event=rollout service=%s target=%s phase=%s was=%s written=%d "
		"duration_ms=%u elapsed_ms=%llu granted=%llu "
		"granted_target=%llu good=%llu failed=%llu slow=%llu "
		"old_good=%llu old_failed=%llu old_slow=%llu",
		rec->order.service, rec->order.target,
		mh_rollout_phase_name(rec->phase), mh_rollout_phase_name(was),
		rec->is_acknowledged, rec->order.duration_ms,
		(unsigned long long)rec->elapsed_ms,
		(unsigned long long)rec->granted_service,
		(unsigned long long)rec->granted_target, target.good,
		target.failed, target.slow, others.good, others.failed,
		others.slow);
}

static struct mh_rollout_report_row *
get_row(struct mh_rollout_report *report, const struct mh_rollout_record *rec)
{
	struct mh_rollout_report_row *row;

	HASH_FIND_STR(report->rows, rec->order.service, row);
	if (row)
		return row;
	row = mh_check_alloc(calloc(1, sizeof(*row)));
	row->service = mh_check_alloc(strdup(rec->order.service));
	row->target = mh_check_alloc(strdup(""));
	HASH_ADD_KEYPTR(hh, report->rows, row->service, strlen(row->service),
			row);
	return row;
}

static void update(const struct mh_rollout_record *rec, void *data)
{
	struct mh_rollout_report *report = data;
	struct mh_rollout_report_row *row = get_row(report, rec);
	bool is_same = !strcmp(row->target, rec->order.target) &&
		       row->duration_ms == rec->order.duration_ms;

	if (is_same && row->phase == rec->phase &&
	    row->is_acknowledged == rec->is_acknowledged &&
	    row->n_excluded == rec->n_excluded)
		return;
	if (!is_same || row->phase != rec->phase)
		log_change(report, rec, is_same ? row->phase : MH_ROLLOUT_NONE);
	mh_metrics_set_labelled(report->metrics, MH_G_ROLLOUT_PHASE, rec->phase,
				"service=\"%s\"", rec->order.service);
	if (!is_same) {
		free(row->target);
		row->target = mh_check_alloc(strdup(rec->order.target));
		row->duration_ms = rec->order.duration_ms;
	}
	row->phase = rec->phase;
	row->is_acknowledged = rec->is_acknowledged;
	row->n_excluded = rec->n_excluded;
	report->changed(rec, report->data);
}

void mh_rollout_report_update(struct mh_rollout_report *report,
			      const struct mh_rollouts *set)
{
	uint64_t changes = mh_rollouts_changes(set);

	if (changes == report->changes)
		return;
	report->changes = changes;
	mh_rollouts_each(set, update, report);
}

void mh_rollout_report_release(struct mh_rollout_report *report)
{
	struct mh_rollout_report_row *row, *tmp;

	HASH_ITER(hh, report->rows, row, tmp) {
		/* The analyzer does not follow uthash's deletion macros. */
		/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
		HASH_DEL(report->rows, row);
		free(row->service);
		free(row->target);
		free(row);
	}
}
