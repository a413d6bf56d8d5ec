#include "proxy/slot_frames.h"

static int32_t ms_until(uint64_t then_ns, uint64_t now_ns)
{
	int64_t ms =
		((int64_t)then_ns - (int64_t)now_ns) / (int64_t)MH_NS_PER_MS;

	if (ms > INT32_MAX)
		return INT32_MAX;
	return ms < INT32_MIN ? INT32_MIN : (int32_t)ms;
}

void mh_slot_frames_send_request(struct mh_links *links, uint32_t link,
				 const struct mh_slot_request *slot_req,
				 const char *server, uint64_t granted_ns,
				 uint64_t now_ns)
{
	int32_t left_ms = ms_until(slot_req->deadline_ns, now_ns);
	Mh__PlaceAsk msg = MH__PLACE_ASK__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.id = slot_req->id;
	msg.service = (char *)slot_req->service;
	msg.account = (char *)slot_req->account;
	msg.tier = slot_req->tier;
	msg.units = slot_req->units;
	msg.prompt_tokens = slot_req->prompt_tokens;
	msg.output_tokens = slot_req->output_tokens;
	msg.aim_in_ms = ms_until(slot_req->target_ns, now_ns);
	msg.deadline_in_ms = left_ms > 0 ? (uint32_t)left_ms : 0;
	msg.start_in_ms = ms_until(slot_req->start_by_ns, now_ns);
	msg.fingerprint = slot_req->fingerprint;
	msg.kind = slot_req->kind;
	msg.n_part = slot_req->n_parts;
	msg.part = (uint64_t *)slot_req->parts;
	msg.is_repeat = slot_req->is_repeat;
	msg.is_repeatable = slot_req->is_repeatable;
	msg.is_moved = slot_req->is_moved;
	msg.n_avoid = slot_req->n_avoid;
	msg.avoid = (char **)slot_req->avoid;
	if (server) {
		msg.server = (char *)server;
		msg.age_ms = (uint32_t)ms_until(now_ns, granted_ns);
	}
	frame.body_case = MH__FRAME__BODY_PLACE_ASK;
	frame.place_ask = &msg;
	mh_links_send(links, link, &frame);
}

void mh_slot_frames_send_release(struct mh_links *links, uint32_t link,
				 uint64_t id, enum mh_slot_outcome outcome,
				 uint32_t total_ms)
{
	Mh__PlaceDone msg = MH__PLACE_DONE__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.id = id;
	msg.outcome = outcome;
	msg.total_ms = total_ms;
	frame.body_case = MH__FRAME__BODY_PLACE_DONE;
	frame.place_done = &msg;
	mh_links_send(links, link, &frame);
}

void mh_slot_frames_send_probed(struct mh_links *links, uint32_t link,
				const char *server)
{
	Mh__ServerProbed msg = MH__SERVER_PROBED__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.server = (char *)server;
	frame.body_case = MH__FRAME__BODY_SERVER_PROBED;
	frame.server_probed = &msg;
	mh_links_send(links, link, &frame);
}

void mh_slot_frames_send_first_byte(struct mh_links *links, uint32_t link,
				    uint64_t id, uint32_t first_ms)
{
	Mh__PlaceFirst msg = MH__PLACE_FIRST__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.id = id;
	msg.first_ms = first_ms;
	frame.body_case = MH__FRAME__BODY_PLACE_FIRST;
	frame.place_first = &msg;
	mh_links_send(links, link, &frame);
}

void mh_slot_frames_send_ping(struct mh_links *links, uint32_t link,
			      bool is_used)
{
	Mh__Ping msg = MH__PING__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.is_used = is_used;
	frame.body_case = MH__FRAME__BODY_PING;
	frame.ping = &msg;
	mh_links_send(links, link, &frame);
}
