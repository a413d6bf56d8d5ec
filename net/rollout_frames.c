#include "net/rollout_frames.h"

#include <string.h>

void mh_rollout_send(struct mh_links *links, uint32_t link,
		     const struct mh_rollout_record *rec)
{
	Mh__RolloutState msg = MH__ROLLOUT_STATE__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.service = (char *)rec->order.service;
	msg.target = (char *)rec->order.target;
	msg.duration_ms = rec->order.duration_ms;
	msg.phase = rec->phase;
	msg.is_acknowledged = rec->is_acknowledged;
	msg.n_excluded = rec->n_excluded;
	msg.excluded = (char **)rec->excluded;
	msg.elapsed_ms = rec->elapsed_ms;
	msg.granted_service = rec->granted_service;
	msg.granted_target = rec->granted_target;
	frame.body_case = MH__FRAME__BODY_ROLLOUT_STATE;
	frame.rollout_state = &msg;
	mh_links_send(links, link, &frame);
}

struct recipient {
	struct mh_links *links;
	uint32_t link;
};

static void send_one(const struct mh_rollout_record *rec, void *data)
{
	const struct recipient *to = data;

	mh_rollout_send(to->links, to->link, rec);
}

void mh_rollout_send_all(struct mh_links *links, uint32_t link,
			 const struct mh_rollouts *set)
{
	struct recipient to = { links, link };

	mh_rollouts_each(set, send_one, &to);
}

static bool is_name(const char *text)
{
	return *text && strlen(text) <= MH_ROLLOUT_NAME_MAX;
}

bool mh_rollout_receive(struct mh_rollouts *set, const Mh__RolloutState *msg)
{
	struct mh_rollout_record rec = {
		.order = { msg->service, msg->target, msg->duration_ms },
		.phase = (enum mh_rollout_phase)msg->phase,
		.is_acknowledged = msg->is_acknowledged,
		.elapsed_ms = msg->elapsed_ms,
		.granted_service = msg->granted_service,
		.granted_target = msg->granted_target,
		.excluded = (const char *const *)msg->excluded,
		.n_excluded = msg->n_excluded,
	};

	if (!is_name(msg->service) || !is_name(msg->target) ||
	    !msg->duration_ms ||
	    msg->duration_ms > MH_ROLLOUT_DURATION_MAX_MS || !msg->phase ||
	    msg->phase >= MH_ROLLOUT_PHASES)
		return false;
	return mh_rollouts_merge(set, &rec);
}
