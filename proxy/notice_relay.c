#include "proxy/notice_relay.h"

#include <utlist.h>

#include "net/limit_report.h"
#include "net/notice_frames.h"

static uint64_t now_of(const struct mh_notice_relay *relay)
{
	return mh_clock_mono_ns(relay->clock);
}

/* Tells the local dispatcher and all linked ones but one what holds. */
static void forward(const struct mh_notice_relay *relay,
		    const struct mh_server_ref *server,
		    const struct mh_candidate *from)
{
	const struct mh_server_notice *notice =
		mh_server_notices_find(relay->notices, server);
	struct mh_server_ref known = *server;
	const struct mh_candidate *c;
	uint64_t now_ns = now_of(relay);
	uint32_t pause_ms;

	if (!notice)
		return;
	known.born_ms = notice->born_ms;
	pause_ms = mh_server_notice_pause_ms(notice, now_ns);
	if (notice->is_leaving)
		mh_dispatch_server_leaving(relay->local, &known);
	if (pause_ms)
		mh_dispatch_server_pause(relay->local, 0, &known, pause_ms);
	if (notice->limit.max_millihz != MH_NO_LIMIT)
		mh_dispatch_server_limit(relay->local, &known, &notice->limit);
	DL_FOREACH(relay->candidates->first, c) {
		if (c->up && c != from)
			mh_notice_send(relay->links, c->link, notice, now_ns);
	}
}

void mh_notice_relay_leaving(const struct mh_notice_relay *relay,
			     const struct mh_server_ref *server,
			     const struct mh_candidate *from)
{
	if (!mh_server_notices_add_leaving(relay->notices, server))
		return;
	mh_count(relay->counters, MH_C_SERVERS_LEAVING);
	mh_event(relay->log, MH_EV_SERVER,
		 "event=server_leaving server=%s born=%llu from=%s", server->id,
		 (unsigned long long)server->born_ms, from ? from->name : "");
	forward(relay, server, from);
}

void mh_notice_relay_pause(const struct mh_notice_relay *relay,
			   const struct mh_server_ref *server, uint32_t ms)
{
	if (!mh_server_notices_add_pause(relay->notices, server, ms))
		return;
	mh_count(relay->counters, MH_C_SERVER_PAUSES);
	mh_event(relay->log, MH_EV_SERVER,
		 "event=server_pause server=%s born=%llu pause_ms=%u",
		 server->id, (unsigned long long)server->born_ms, ms);
	forward(relay, server, NULL);
}

/* Tells the local dispatcher and all linked ones but one.
 * Return: whether there was any to tell. */
static bool forward_limit(const struct mh_notice_relay *relay,
			  const struct mh_server_ref *server,
			  const struct mh_server_limit *stated,
			  const struct mh_candidate *from)
{
	const struct mh_candidate *c;
	bool any = false;

	mh_dispatch_server_limit(relay->local, server, stated);
	DL_FOREACH(relay->candidates->first, c) {
		any = any || c->up;
		if (c->up && c != from)
			mh_notice_send_limit(relay->links, c->link, server,
					     stated, now_of(relay));
	}
	return any;
}

static enum mh_limit_change update_limit(const struct mh_notice_relay *relay,
					 const struct mh_server_ref *server,
					 const struct mh_server_limit *stated,
					 const char *from)
{
	enum mh_limit_change change =
		mh_server_notices_update_limit(relay->notices, server, stated);

	if (change == MH_LIMIT_CHANGED) {
		mh_count(relay->counters, MH_C_SERVER_LIMITS);
		mh_limit_report(relay->log, relay->metrics, server, stated,
				from);
	}
	return change;
}

static void limit_from_response(const struct mh_notice_relay *relay,
				const struct mh_server_ref *server,
				uint32_t millihz)
{
	struct mh_server_limit stated = { millihz, now_of(relay) };

	if (update_limit(relay, server, &stated, "") != MH_LIMIT_UNCHANGED)
		forward_limit(relay, server, &stated, NULL);
}

/* Other entries may know of a later limit, so the dispatcher decides whether it
 * has ended. */
void mh_notice_relay_no_limit(const struct mh_notice_relay *relay,
			      const struct mh_server_ref *server,
			      uint64_t sent_ns)
{
	struct mh_server_limit stated = { MH_NO_LIMIT, sent_ns };

	if (!mh_server_notices_has_limit(relay->notices, server))
		return;
	if (!forward_limit(relay, server, &stated, NULL))
		update_limit(relay, server, &stated, "");
}

void mh_notice_relay_response(const struct mh_notice_relay *relay,
			      const struct mh_server_ref *server,
			      const struct mh_wire_response *response)
{
	if (response->is_malformed) {
		mh_count(relay->counters, MH_C_BAD_NOTICES);
		mh_event(relay->log, MH_EV_SERVER,
			 "event=notice_rejected server=%s id=%.*s", server->id,
			 (int)response->id.len,
			 response->id.p ? response->id.p : "");
	}
	if (response->is_leaving)
		mh_notice_relay_leaving(relay, server, NULL);
	if (response->pause_ms)
		mh_notice_relay_pause(relay, server, response->pause_ms);
	if (response->limit_millihz != MH_NO_LIMIT)
		limit_from_response(relay, server, response->limit_millihz);
}

void mh_notice_relay_repeat(const struct mh_notice_relay *relay,
			    const struct mh_server_ref *server)
{
	forward(relay, server, NULL);
}

void mh_notice_relay_receive(const struct mh_notice_relay *relay,
			     const Mh__ServerNotice *msg,
			     const struct mh_candidate *from)
{
	struct mh_server_limit stated;
	struct mh_server_ref server;

	mh_notice_read(msg, &server);
	if (msg->is_leaving)
		mh_notice_relay_leaving(relay, &server, from);
	if (mh_notice_read_limit(msg, now_of(relay), &stated) &&
	    update_limit(relay, &server, &stated, from->name) ==
		    MH_LIMIT_CHANGED)
		forward_limit(relay, &server, &stated, from);
}

struct recipient {
	const struct mh_notice_relay *relay;
	uint32_t link;
};

static void send_notice(void *data, const struct mh_server_notice *notice)
{
	const struct recipient *to = data;

	mh_notice_send(to->relay->links, to->link, notice, now_of(to->relay));
}

void mh_notice_relay_send_all(const struct mh_notice_relay *relay,
			      uint32_t link)
{
	struct recipient to = { relay, link };

	mh_server_notices_each(relay->notices, send_notice, &to);
}
