/*
 * What an entry knows of roll-outs: it follows what dispatchers tell it and the
 * orders that it reads itself, and tells the dispatchers that it is linked to.
 */
#ifndef MH_ROLLOUT_RELAY_H
#define MH_ROLLOUT_RELAY_H

#include "core/candidates.h"
#include "core/rollout.h"
#include "net/link.h"
#include "net/rollout_report.h"

/**
 * struct mh_rollout_relay - state
 * @set: roll-outs, which this process never decides on
 * @links: links to dispatchers
 * @candidates: dispatchers
 * @report: what was told last
 */
struct mh_rollout_relay {
	struct mh_rollouts *set;
	struct mh_links *links;
	const struct mh_candidates *candidates;
	struct mh_rollout_report report;
};

/**
 * mh_rollout_relay_init() - initialise
 * @relay: relay
 * @set: taken over
 * @links: links to dispatchers
 * @candidates: dispatchers
 */
void mh_rollout_relay_init(struct mh_rollout_relay *relay,
			   struct mh_rollouts *set, struct mh_links *links,
			   const struct mh_candidates *candidates);

/**
 * mh_rollout_relay_release() - free the roll-outs
 * @relay: relay
 */
void mh_rollout_relay_release(struct mh_rollout_relay *relay);

/**
 * mh_rollout_relay_receive() - merge what a dispatcher told
 * @relay: relay
 * @msg: its message
 */
void mh_rollout_relay_receive(struct mh_rollout_relay *relay,
			      const Mh__RolloutState *msg);

/**
 * mh_rollout_relay_tell() - tell one dispatcher all that is known
 * @relay: relay
 * @to: dispatcher; NULL or one whose link is down is told nothing
 */
void mh_rollout_relay_tell(const struct mh_rollout_relay *relay,
			   const struct mh_candidate *to);

/**
 * mh_rollout_relay_update() - report changes, and tell them all dispatchers that
 *                             are linked
 * @relay: relay
 */
void mh_rollout_relay_update(struct mh_rollout_relay *relay);

#endif
