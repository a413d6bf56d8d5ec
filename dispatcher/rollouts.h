/*
 * Roll-outs in a dispatcher: keeps their state in the store, tells entries, and
 * sets whether this dispatcher decides.
 */
#ifndef MH_DISPATCHER_ROLLOUTS_H
#define MH_DISPATCHER_ROLLOUTS_H

#include "core/dispatch.h"
#include "core/rollout.h"
#include "dispatcher/linked_entry.h"
#include "net/link.h"
#include "net/process.h"
#include "net/rollout_report.h"
#include "platform/rollout_store.h"

/**
 * struct mh_dispatcher_rollouts - state
 * @set: roll-outs
 * @stored: their records in the store
 * @links: links to entries
 * @linked_entries: table of linked entries
 * @report: what was told last
 * @judges: this dispatcher decides
 * @is_stale: what it knows is to be read again before it decides
 * @ticked_ns: monotonic time of the last mh_dispatcher_rollouts_wake()
 */
struct mh_dispatcher_rollouts {
	struct mh_rollouts *set;
	struct mh_stored_rollouts *stored;
	struct mh_links *links;
	struct mh_linked_entry **linked_entries;
	struct mh_rollout_report report;
	bool judges;
	bool is_stale;
	uint64_t ticked_ns;
};

/**
 * mh_dispatcher_rollouts_init() - initialise without orders
 * @rollouts: roll-outs
 * @process: process
 * @conf: bounds
 * @store: "ip:port" of the store
 * @dispatch: dispatcher that keeps to them
 */
void mh_dispatcher_rollouts_init(struct mh_dispatcher_rollouts *rollouts,
				 struct mh_process *process,
				 const struct mh_rollout_conf *conf,
				 const char *store,
				 struct mh_dispatch *dispatch);

/**
 * mh_dispatcher_rollouts_release() - free all
 * @rollouts: roll-outs
 */
void mh_dispatcher_rollouts_release(struct mh_dispatcher_rollouts *rollouts);

/**
 * mh_dispatcher_rollouts_link_up() - tell a new entry
 * @rollouts: roll-outs
 * @link: its link
 */
void mh_dispatcher_rollouts_link_up(
	const struct mh_dispatcher_rollouts *rollouts, uint32_t link);

/**
 * mh_dispatcher_rollouts_receive() - merge what an entry told
 * @rollouts: roll-outs
 * @msg: its message
 */
void mh_dispatcher_rollouts_receive(struct mh_dispatcher_rollouts *rollouts,
				    const Mh__RolloutState *msg);

/**
 * mh_dispatcher_rollouts_wake() - note that this process runs; first part of a tick
 * @rollouts: roll-outs
 * @now_ns: monotonic time
 *
 * While a process stood still, entries went on to another dispatcher, which may have
 * written a verdict. Nothing is decided until the records were read again and an
 * entry said that it uses this one.
 */
void mh_dispatcher_rollouts_wake(struct mh_dispatcher_rollouts *rollouts,
				 uint64_t now_ns);

/**
 * mh_dispatcher_rollouts_tick() - decide, tell and write what is due
 * @rollouts: roll-outs
 * @was_fit: this dispatcher has been fit since an entry linked to it
 */
void mh_dispatcher_rollouts_tick(struct mh_dispatcher_rollouts *rollouts,
				 bool was_fit);

#endif
