#include "proxy/rollout_relay.h"

#include <utlist.h>

#include "net/rollout_frames.h"

/* Dispatchers that stand by learn of a verdict before they take over. */
static void forward(const struct mh_rollout_record *rec, void *data)
{
	const struct mh_rollout_relay *relay = data;
	const struct mh_candidate *c;

	DL_FOREACH(relay->candidates->first, c) {
		if (c->up)
			mh_rollout_send(relay->links, c->link, rec);
	}
}

void mh_rollout_relay_init(struct mh_rollout_relay *relay,
			   struct mh_rollouts *set, struct mh_links *links,
			   const struct mh_candidates *candidates)
{
	*relay = (struct mh_rollout_relay){
		.set = set,
		.links = links,
		.candidates = candidates,
		.report = { .changed = forward, .data = relay },
	};
}

void mh_rollout_relay_release(struct mh_rollout_relay *relay)
{
	mh_rollout_report_release(&relay->report);
	mh_rollouts_free(relay->set);
}

void mh_rollout_relay_receive(struct mh_rollout_relay *relay,
			      const Mh__RolloutState *msg)
{
	if (mh_rollout_receive(relay->set, msg))
		mh_rollout_relay_update(relay);
}

void mh_rollout_relay_tell(const struct mh_rollout_relay *relay,
			   const struct mh_candidate *to)
{
	if (to && to->up)
		mh_rollout_send_all(relay->links, to->link, relay->set);
}

void mh_rollout_relay_update(struct mh_rollout_relay *relay)
{
	mh_rollout_report_update(&relay->report, relay->set);
}
