/*
 * The state of roll-outs on links between entries and dispatchers.
 */
#ifndef MH_ROLLOUT_FRAMES_H
#define MH_ROLLOUT_FRAMES_H

#include "core/rollout.h"
#include "net/link.h"

/**
 * mh_rollout_send() - send the state of one service's roll-out
 * @links: links
 * @link: link to send it on
 * @rec: state; its counts by kind are not sent
 */
void mh_rollout_send(struct mh_links *links, uint32_t link,
		     const struct mh_rollout_record *rec);

/**
 * mh_rollout_send_all() - send the state of all roll-outs
 * @links: links
 * @link: link to send it on
 * @set: roll-outs
 */
void mh_rollout_send_all(struct mh_links *links, uint32_t link,
			 const struct mh_rollouts *set);

/**
 * mh_rollout_receive() - merge the state that a peer sent
 * @set: roll-outs
 * @msg: message; a malformed one changes nothing
 *
 * Return: whether any state changed.
 */
bool mh_rollout_receive(struct mh_rollouts *set, const Mh__RolloutState *msg);

#endif
