#include "dispatcher/rollouts.h"

#include "net/rollout_frames.h"

/* Entries take a dispatcher for lost after 450 ms without a heartbeat. */
#define STANDSTILL_NS (400 * MH_NS_PER_MS)

static void broadcast(const struct mh_rollout_record *rec, void *data)
{
	const struct mh_dispatcher_rollouts *rollouts = data;
	struct mh_linked_entry *entry, *tmp;

	HASH_ITER(hh, *rollouts->linked_entries, entry, tmp)
		mh_rollout_send(rollouts->links, entry->link, rec);
}

void mh_dispatcher_rollouts_init(struct mh_dispatcher_rollouts *rollouts,
				 struct mh_process *process,
				 const struct mh_rollout_conf *conf,
				 const char *store,
				 struct mh_dispatch *dispatch)
{
	struct mh_stored_rollouts_env env = {
		.loop = process->loop,
		.timers = &process->timers,
		.clock = &mh_system_clock,
		.counters = &process->counters,
		.log = process->log,
		.era = &process->store_era,
	};

	rollouts->set = mh_rollouts_new(conf, &mh_system_clock);
	env.rollouts = rollouts->set;
	rollouts->stored = mh_stored_rollouts_new(&env, store);
	rollouts->report = (struct mh_rollout_report){
		.log = process->log,
		.counters = &process->counters,
		.metrics = process->metrics,
		.changed = broadcast,
		.data = rollouts,
	};
	mh_dispatch_set_rollouts(dispatch, rollouts->set);
}

void mh_dispatcher_rollouts_release(struct mh_dispatcher_rollouts *rollouts)
{
	mh_rollout_report_release(&rollouts->report);
	mh_stored_rollouts_free(rollouts->stored);
	if (rollouts->set)
		mh_rollouts_free(rollouts->set);
}

void mh_dispatcher_rollouts_link_up(
	const struct mh_dispatcher_rollouts *rollouts, uint32_t link)
{
	mh_rollout_send_all(rollouts->links, link, rollouts->set);
}

void mh_dispatcher_rollouts_receive(struct mh_dispatcher_rollouts *rollouts,
				    const Mh__RolloutState *msg)
{
	if (mh_rollout_receive(rollouts->set, msg))
		mh_rollout_report_update(&rollouts->report, rollouts->set);
}

/* One that only stands by sees no requests, and would take the target for one
 * with too little traffic. */
static bool is_used(const struct mh_dispatcher_rollouts *rollouts)
{
	struct mh_linked_entry *entry, *tmp;

	HASH_ITER(hh, *rollouts->linked_entries, entry, tmp) {
		if (entry->is_using)
			return true;
	}
	return false;
}

void mh_dispatcher_rollouts_wake(struct mh_dispatcher_rollouts *rollouts,
				 uint64_t now_ns)
{
	uint64_t stood_ns = now_ns - rollouts->ticked_ns;
	struct mh_linked_entry *entry, *tmp;

	rollouts->ticked_ns = now_ns;
	if (stood_ns < STANDSTILL_NS || !rollouts->judges)
		return;
	mh_event(rollouts->report.log, MH_EV_DEPENDENCY,
		 "event=rollout_judge judges=0 silent_ms=%llu",
		 (unsigned long long)(stood_ns / MH_NS_PER_MS));
	HASH_ITER(hh, *rollouts->linked_entries, entry, tmp)
		entry->is_using = false;
	mh_stored_rollouts_follow(rollouts->stored, false);
	rollouts->is_stale = true;
	rollouts->judges = false;
	mh_rollouts_set_judge(rollouts->set, false);
}

void mh_dispatcher_rollouts_tick(struct mh_dispatcher_rollouts *rollouts,
				 bool was_fit)
{
	enum mh_rollout_store state;
	bool judges;

	if (!mh_rollouts_has_orders(rollouts->set))
		return;
	mh_stored_rollouts_follow(rollouts->stored, *rollouts->linked_entries);
	state = mh_stored_rollouts_state(rollouts->stored);
	mh_rollouts_set_store(rollouts->set, state);
	rollouts->is_stale &= state == MH_ROLLOUT_STORE_UNREAD;
	judges = is_used(rollouts) && !rollouts->is_stale &&
		 (was_fit || rollouts->judges);
	if (judges != rollouts->judges)
		mh_event(rollouts->report.log, MH_EV_DEPENDENCY,
			 "event=rollout_judge judges=%d", judges);
	rollouts->judges = judges;
	mh_rollouts_set_judge(rollouts->set, judges);
	mh_rollout_report_update(&rollouts->report, rollouts->set);
	if (judges)
		mh_stored_rollouts_update(rollouts->stored);
}
