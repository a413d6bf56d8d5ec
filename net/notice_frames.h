/*
 * What backend servers asked of an entry or stated, in both directions of a link.
 */
#ifndef MH_NOTICE_FRAMES_H
#define MH_NOTICE_FRAMES_H

#include "core/server_notices.h"
#include "net/link.h"

/**
 * mh_notice_send() - send a notice to the peer of a link
 * @links: links
 * @link: number of the link
 * @notice: notice
 * @now_ns: monotonic time
 */
void mh_notice_send(struct mh_links *links, uint32_t link,
		    const struct mh_server_notice *notice, uint64_t now_ns);

/**
 * mh_notice_send_limit() - send what a server stated of its limit
 * @links: links
 * @link: number of the link
 * @server: server
 * @stated: statement, also that it has no limit
 * @now_ns: monotonic time
 */
void mh_notice_send_limit(struct mh_links *links, uint32_t link,
			  const struct mh_server_ref *server,
			  const struct mh_server_limit *stated,
			  uint64_t now_ns);

/**
 * mh_notice_read() - read a notice that a peer sent
 * @msg: message
 * @server: filled in; strings point into @msg, the address is empty
 *
 * Return: rest of the pause in ms, 0 if there is none.
 */
uint32_t mh_notice_read(const Mh__ServerNotice *msg,
			struct mh_server_ref *server);

/**
 * mh_notice_read_limit() - read what a notice states of a limit
 * @msg: message
 * @now_ns: monotonic time
 * @stated: filled in
 *
 * Return: false if it states nothing.
 */
bool mh_notice_read_limit(const Mh__ServerNotice *msg, uint64_t now_ns,
			  struct mh_server_limit *stated);

#endif
