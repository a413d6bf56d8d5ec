#include "dispatcher/slot_frames.h"

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

void mh_slot_frames_send_heartbeat(struct mh_links *links, uint32_t link,
				   bool fit, uint64_t version, uint32_t entries)
{
	Mh__Standing msg = MH__STANDING__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.fit = fit;
	msg.version = version;
	msg.entries = entries;
	frame.body_case = MH__FRAME__BODY_STANDING;
	frame.standing = &msg;
	mh_links_send(links, link, &frame);
}
