#include "net/notice_frames.h"

/* Values of the message's field "limit". */
#define LIMIT_NOT_STATED 0
#define LIMIT_NONE 1
#define LIMIT_BASE 2

static void write_limit(Mh__ServerNotice *msg,
			const struct mh_server_limit *stated, uint64_t now_ns)
{
	msg->limit = stated->max_millihz == MH_NO_LIMIT ?
			     LIMIT_NONE :
			     LIMIT_BASE + (uint64_t)stated->max_millihz;
	msg->limit_age_ms = now_ns > stated->stated_ns ?
				    (uint32_t)((now_ns - stated->stated_ns) /
					       MH_NS_PER_MS) :
				    0;
}

static void send_message(struct mh_links *links, uint32_t link,
			 Mh__ServerNotice *msg)
{
	Mh__Frame frame = MH__FRAME__INIT;

	frame.body_case = MH__FRAME__BODY_SERVER_NOTICE;
	frame.server_notice = msg;
	mh_links_send(links, link, &frame);
}

void mh_notice_send(struct mh_links *links, uint32_t link,
		    const struct mh_server_notice *notice, uint64_t now_ns)
{
	Mh__ServerNotice msg = MH__SERVER_NOTICE__INIT;

	msg.server = (char *)notice->server;
	msg.born_ms = notice->born_ms;
	msg.is_leaving = notice->is_leaving;
	msg.pause_ms = mh_server_notice_pause_ms(notice, now_ns);
	if (notice->limit.max_millihz != MH_NO_LIMIT)
		write_limit(&msg, &notice->limit, now_ns);
	send_message(links, link, &msg);
}

void mh_notice_send_limit(struct mh_links *links, uint32_t link,
			  const struct mh_server_ref *server,
			  const struct mh_server_limit *stated, uint64_t now_ns)
{
	Mh__ServerNotice msg = MH__SERVER_NOTICE__INIT;

	msg.server = (char *)server->id;
	msg.born_ms = server->born_ms;
	write_limit(&msg, stated, now_ns);
	send_message(links, link, &msg);
}

uint32_t mh_notice_read(const Mh__ServerNotice *msg,
			struct mh_server_ref *server)
{
	*server = (struct mh_server_ref){ msg->server, "", msg->born_ms };
	return msg->pause_ms;
}

bool mh_notice_read_limit(const Mh__ServerNotice *msg, uint64_t now_ns,
			  struct mh_server_limit *stated)
{
	uint64_t age_ns = msg->limit_age_ms * MH_NS_PER_MS;

	if (msg->limit == LIMIT_NOT_STATED)
		return false;
	stated->max_millihz = MH_NO_LIMIT;
	if (msg->limit >= LIMIT_BASE && msg->limit - LIMIT_BASE < MH_NO_LIMIT)
		stated->max_millihz = (uint32_t)(msg->limit - LIMIT_BASE);
	stated->stated_ns = now_ns > age_ns ? now_ns - age_ns : 0;
	return true;
}
