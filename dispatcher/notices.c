#include "dispatcher/notices.h"

#include "net/limit_report.h"
#include "net/notice_frames.h"

static uint64_t now_of(const struct mh_dispatcher_notices *notices)
{
	return mh_clock_mono_ns(notices->clock);
}

static const char *host_of(const struct mh_dispatcher_notices *notices,
			   uint32_t link)
{
	const struct mh_linked_entry *entry =
		mh_linked_entry_find(*notices->linked_entries, link);

	return entry ? entry->host : "";
}

/* A pause concerns the entry that was asked for it only. */
static void receive_pause(const struct mh_dispatcher_notices *notices,
			  uint32_t link, const struct mh_server_ref *server,
			  uint32_t ms)
{
	mh_dispatch_server_pause(notices->dispatch, link, server, ms);
	mh_event(notices->log, MH_EV_SERVER,
		 "event=server_pause server=%s born=%llu pause_ms=%u entry=%s",
		 server->id, (unsigned long long)server->born_ms, ms,
		 host_of(notices, link));
}

static void receive_leaving(const struct mh_dispatcher_notices *notices,
			    uint32_t link, const struct mh_server_ref *server)
{
	struct mh_server_notice notice = { .server = server->id,
					   .born_ms = server->born_ms,
					   .is_leaving = true,
					   .limit.max_millihz = MH_NO_LIMIT };
	struct mh_linked_entry *entry, *tmp;

	if (!mh_dispatch_server_leaving(notices->dispatch, server))
		return;
	mh_event(notices->log, MH_EV_SERVER,
		 "event=server_leaving server=%s born=%llu from=%s", server->id,
		 (unsigned long long)server->born_ms, host_of(notices, link));
	HASH_ITER(hh, *notices->linked_entries, entry, tmp) {
		if (entry->link != link)
			mh_notice_send(notices->links, entry->link, &notice,
				       now_of(notices));
	}
}

static void receive_limit(const struct mh_dispatcher_notices *notices,
			  uint32_t link, const struct mh_server_ref *server,
			  const struct mh_server_limit *stated)
{
	struct mh_linked_entry *entry, *tmp;

	if (mh_dispatch_server_limit(notices->dispatch, server, stated) !=
	    MH_LIMIT_CHANGED)
		return;
	mh_limit_report(notices->log, notices->metrics, server, stated,
			host_of(notices, link));
	/* The sender waits for this, too, if the limit has ended. */
	HASH_ITER(hh, *notices->linked_entries, entry, tmp)
		mh_notice_send_limit(notices->links, entry->link, server,
				     stated, now_of(notices));
}

void mh_dispatcher_notices_receive(const struct mh_dispatcher_notices *notices,
				   uint32_t link, const Mh__ServerNotice *msg)
{
	struct mh_server_limit stated;
	struct mh_server_ref server;
	uint32_t pause_ms = mh_notice_read(msg, &server);

	if (pause_ms)
		receive_pause(notices, link, &server, pause_ms);
	if (msg->is_leaving)
		receive_leaving(notices, link, &server);
	if (mh_notice_read_limit(msg, now_of(notices), &stated))
		receive_limit(notices, link, &server, &stated);
}

struct recipient {
	const struct mh_dispatcher_notices *notices;
	uint32_t link;
};

static void send_notice(void *data, const struct mh_server_notice *notice)
{
	const struct recipient *to = data;

	mh_notice_send(to->notices->links, to->link, notice,
		       now_of(to->notices));
}

void mh_dispatcher_notices_send_all(const struct mh_dispatcher_notices *notices,
				    uint32_t link)
{
	struct recipient to = { notices, link };

	mh_dispatch_each_notice(notices->dispatch, send_notice, &to);
}
