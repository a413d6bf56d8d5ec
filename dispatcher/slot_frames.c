#include "dispatcher/slot_frames.h"

static uint64_t time_in(uint64_t now_ns, int32_t ms)
{
	return (uint64_t)((int64_t)now_ns + ms * (int64_t)MH_NS_PER_MS);
}

void mh_slot_frames_read_request(const Mh__PlaceAsk *msg, uint32_t link,
				 uint64_t now_ns,
				 struct mh_slot_request *slot_req)
{
	*slot_req = (struct mh_slot_request){
		.owner = link,
		.id = msg->id,
		.service = msg->service,
		.account = msg->account,
		.tier = (uint8_t)(msg->tier > UINT8_MAX ? UINT8_MAX :
							  msg->tier),
		.units = msg->units,
		.prompt_tokens = msg->prompt_tokens,
		.output_tokens = msg->output_tokens,
		.expected_tokens = msg->expected_tokens,
		.target_ns = time_in(now_ns, msg->aim_in_ms),
		.start_by_ns = time_in(now_ns, msg->start_in_ms),
		.deadline_ns = now_ns + msg->deadline_in_ms * MH_NS_PER_MS,
		.fingerprint = msg->fingerprint,
		.kind = msg->kind,
		.n_parts =
			(uint32_t)(msg->n_part < MH_PARTS_MAX ? msg->n_part :
								MH_PARTS_MAX),
		.parts = msg->part,
		.is_repeat = msg->is_repeat,
		.is_repeatable = msg->is_repeatable,
		.is_moved = msg->is_moved,
	};
	while (slot_req->n_avoid < msg->n_avoid &&
	       slot_req->n_avoid < MH_AVOID_MAX) {
		slot_req->avoid[slot_req->n_avoid] =
			msg->avoid[slot_req->n_avoid];
		slot_req->n_avoid++;
	}
}

void mh_slot_frames_send_grant(struct mh_links *links, uint32_t link,
			       uint64_t id,
			       const struct mh_backend_server *server)
{
	Mh__PlaceGiven msg = MH__PLACE_GIVEN__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.id = id;
	msg.server = (char *)server->id;
	msg.address = (char *)server->address;
	msg.born_ms = server->born_ms;
	frame.body_case = MH__FRAME__BODY_PLACE_GIVEN;
	frame.place_given = &msg;
	mh_links_send(links, link, &frame);
}

void mh_slot_frames_send_refusal(struct mh_links *links, uint32_t link,
				 uint64_t id, const struct mh_slot_refusal *why)
{
	Mh__PlaceRefused msg = MH__PLACE_REFUSED__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.id = id;
	msg.error = why->error;
	msg.retry_after_ms = why->retry_after_ms;
	frame.body_case = MH__FRAME__BODY_PLACE_REFUSED;
	frame.place_refused = &msg;
	mh_links_send(links, link, &frame);
}

void mh_slot_frames_send_move(struct mh_links *links, uint32_t link,
			      uint64_t id)
{
	Mh__PlaceMove msg = MH__PLACE_MOVE__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.id = id;
	frame.body_case = MH__FRAME__BODY_PLACE_MOVE;
	frame.place_move = &msg;
	mh_links_send(links, link, &frame);
}

void mh_slot_frames_send_hedge(struct mh_links *links, uint32_t link,
			       uint64_t id,
			       const struct mh_backend_server *server)
{
	Mh__PlaceHedge msg = MH__PLACE_HEDGE__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.id = id;
	msg.server = (char *)server->id;
	msg.address = (char *)server->address;
	msg.born_ms = server->born_ms;
	frame.body_case = MH__FRAME__BODY_PLACE_HEDGE;
	frame.place_hedge = &msg;
	mh_links_send(links, link, &frame);
}

void mh_slot_frames_send_heartbeat(struct mh_links *links, uint32_t link,
				   const struct mh_dispatcher_state *state)
{
	Mh__Standing msg = MH__STANDING__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.fit = state->fit;
	msg.version = state->version;
	msg.entries = state->entries;
	msg.store_era = state->store_era;
	msg.servers_age_ms = state->servers_age_ms;
	msg.servers_in_doubt = state->servers_in_doubt;
	frame.body_case = MH__FRAME__BODY_STANDING;
	frame.standing = &msg;
	mh_links_send(links, link, &frame);
}
