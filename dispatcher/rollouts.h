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
 */
struct mh_dispatcher_rollouts {
	struct mh_rollouts *set;
	struct mh_stored_rollouts *stored;
	struct mh_links *links;
	struct mh_linked_entry **linked_entries;
	struct mh_rollout_report report;
	bool judges;
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
 * mh_dispatcher_rollouts_tick() - decide, tell and write what is due
 * @rollouts: roll-outs
 * @was_fit: this dispatcher has been fit since an entry linked to it
 */
void mh_dispatcher_rollouts_tick(struct mh_dispatcher_rollouts *rollouts,
				 bool was_fit);

#endif
