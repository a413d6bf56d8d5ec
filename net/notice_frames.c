#include "net/notice_frames.h"

#include "net/link_peer.h"

void mh_notice_send(struct mh_links *links, uint32_t link,
		    const struct mh_server_notice *notice, uint64_t now_ns)
{
	Mh__ServerNotice msg = MH__SERVER_NOTICE__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.server = (char *)notice->server;
	msg.born_ms = notice->born_ms;
	msg.is_leaving = notice->is_leaving;
	msg.pause_ms = mh_server_notice_pause_ms(notice, now_ns);
	frame.body_case = MH__FRAME__BODY_SERVER_NOTICE;
	frame.server_notice = &msg;
	mh_links_send(links, link, &frame);
}

void mh_notice_send_leaving(void *peer, const struct mh_server_ref *server)
{
	const struct mh_link_peer *to = peer;
	struct mh_server_notice notice = {
		.server = server->id,
		.born_ms = server->born_ms,
		.is_leaving = true,
	};

	mh_notice_send(to->links, to->link, &notice, 0);
}

uint32_t mh_notice_read(const Mh__ServerNotice *msg,
			struct mh_server_ref *server)
{
	*server = (struct mh_server_ref){ msg->server, "", msg->born_ms };
	return msg->pause_ms;
}
