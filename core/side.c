#include "core/side.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/side_impl.h"

#define PING_INTERVAL_NS (1000 * MH_NS_PER_MS)
#define TICK_INTERVAL_NS (50 * MH_NS_PER_MS)
#define SWEEP_INTERVAL_NS (500 * MH_NS_PER_MS)

/* Without a ping or a host list for this long, no run is accepted. */
#define CONTACT_TIMEOUT_NS (3000 * MH_NS_PER_MS)

/* Failures within this time of the first are one crash if no run is left. */
#define CRASH_WINDOW_NS (100 * MH_NS_PER_MS)

#define DEFAULT_KEEP_MS 60000
#define DEFAULT_GRANT_TERM_MS 250

uint64_t mh_side_now(struct mh_side *s)
{
	return mh_clock_mono_ns(&s->clock);
}

struct mh_side *mh_side_new(const char *host, const struct mh_clock *clock,
			    uint64_t seed, uint32_t slots,
			    const struct mh_side_ops *ops, void *data)
{
	struct mh_side *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	snprintf(s->host, sizeof(s->host), "%s", host);
	s->clock = *clock;
	s->rng.state = seed;
	s->ops = ops;
	s->data = data;
	s->slots = slots;
	s->max_running = slots;
	s->limit = slots;
	s->keep_ms = DEFAULT_KEEP_MS;
	s->grant_term_ms = DEFAULT_GRANT_TERM_MS;
	return s;
}

void mh_side_free(struct mh_side *s)
{
	struct mh_entry_link *l, *tmp;

	if (!s)
		return;
	mh_side_free_runs(s);
	/* Dropping a grant updates its link, so the grants go first. */
	DL_FOREACH(s->links, l)
		mh_side_drop_grants(s, l->link);
	DL_FOREACH_SAFE(s->links, l, tmp)
		free(l);
	free(s->failed);
	free(s);
}

/* The entries read the host list too; a report by any of them counts. */
static bool entries_report_leaving(const struct mh_side *s)
{
	const struct mh_entry_link *l;

	DL_FOREACH(s->links, l) {
		if (l->reports_leaving)
			return true;
	}
	return false;
}

static bool leaving(const struct mh_side *s)
{
	return s->draining || s->config_draining || s->host_leaving ||
	       entries_report_leaving(s);
}

bool mh_side_takes_work(struct mh_side *s)
{
	if (leaving(s) || !s->backend_ok)
		return false;
	return mh_side_now(s) < s->last_contact_ns + CONTACT_TIMEOUT_NS;
}

struct mh_entry_link *mh_side_link(struct mh_side *s, uint32_t link)
{
	struct mh_entry_link *l;

	DL_FOREACH(s->links, l) {
		if (l->link == link)
			return l;
	}
	return NULL;
}

void mh_side_broadcast(struct mh_side *s, const Mh__Frame *frame)
{
	struct mh_entry_link *l;

	DL_FOREACH(s->links, l)
		s->ops->send(s->data, l->link, frame);
}

static void broadcast_ping(struct mh_side *s)
{
	Mh__Ping msg = MH__PING__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.config_offset = s->config_as_of;
	msg.leaving = leaving(s);
	frame.body_case = MH__FRAME__BODY_PING;
	frame.ping = &msg;
	mh_side_broadcast(s, &frame);
}

void mh_side_link_up(struct mh_side *s, uint32_t link)
{
	struct mh_entry_link *l = calloc(1, sizeof(*l));

	if (!l)
		return;
	l->link = link;
	DL_APPEND(s->links, l);
	s->next_ping_ns = 0;
}

void mh_side_link_down(struct mh_side *s, uint32_t link)
{
	struct mh_entry_link *l = mh_side_link(s, link);

	if (!l)
		return;
	mh_count(&s->counters, MH_C_LINK_LOST);
	mh_side_drop_grants(s, link);
	mh_side_unsubscribe_link(s, link);
	DL_DELETE(s->links, l);
	free(l);
}

static void note_contact(struct mh_side *s)
{
	s->last_contact_ns = mh_side_now(s);
}

static void on_ping(struct mh_side *s, uint32_t link, const Mh__Ping *msg)
{
	note_contact(s);
	mh_side_link(s, link)->reports_leaving = msg->peer_leaving;
}

static void on_config(struct mh_side *s, const Mh__SideConfig *msg)
{
	if (msg->as_of < s->config_as_of)
		return;
	s->config_as_of = msg->as_of;
	s->config_draining = msg->draining;
	s->reserve_percent = msg->reserve_percent;
	s->keep_ms = msg->keep_ms;
	if (msg->grant_term_ms)
		s->grant_term_ms = msg->grant_term_ms;
	if (!msg->max_running || msg->max_running == s->max_running)
		return;
	s->max_running = msg->max_running;
	if (s->max_running > s->slots)
		s->max_running = s->slots;
	s->limit = s->max_running;
}

void mh_side_recv(struct mh_side *s, uint32_t link, const Mh__Frame *frame)
{
	if (!mh_side_link(s, link)) {
		mh_count(&s->counters, MH_C_LATE_FRAMES);
		return;
	}
	switch (frame->body_case) {
	case MH__FRAME__BODY_PING:
		on_ping(s, link, frame->ping);
		break;
	case MH__FRAME__BODY_SIDE_CONFIG:
		on_config(s, frame->side_config);
		break;
	case MH__FRAME__BODY_WANT:
		mh_side_on_want(s, link, frame->want);
		break;
	case MH__FRAME__BODY_RET:
		mh_side_on_return(s, link, frame->ret->grant_id);
		break;
	case MH__FRAME__BODY_HANDOVER:
		mh_side_on_handover(s, link, frame->handover);
		break;
	case MH__FRAME__BODY_ATTACH:
		mh_side_on_attach(s, link, frame->attach);
		break;
	case MH__FRAME__BODY_CANCEL:
		mh_side_on_cancel(s, link, frame->cancel);
		break;
	default:
		break;
	}
}

void mh_side_backend_state(struct mh_side *s, bool ok)
{
	/* Slow start: a backend that recovers after failures gets one run. */
	if (ok && !s->backend_ok && s->n_failed)
		s->limit = 1;
	s->backend_ok = ok;
}

void mh_side_host_state(struct mh_side *s, bool is_leaving)
{
	note_contact(s);
	if (s->host_leaving != is_leaving)
		s->next_ping_ns = 0;
	s->host_leaving = is_leaving;
}

void mh_side_drain(struct mh_side *s)
{
	s->draining = true;
	s->next_ping_ns = 0;
}

uint32_t mh_side_running(const struct mh_side *s)
{
	return s->running;
}

uint32_t mh_side_limit(const struct mh_side *s)
{
	return s->limit;
}

bool mh_side_idle(const struct mh_side *s)
{
	return !s->running && !s->n_grants;
}

static void send_suspects(struct mh_side *s)
{
	Mh__Suspect msg = MH__SUSPECT__INIT;
	Mh__Frame frame = MH__FRAME__INIT;
	ProtobufCBinaryData *fields = calloc(s->n_failed, sizeof(*fields));
	size_t i;

	if (!fields)
		return;
	for (i = 0; i < s->n_failed; i++)
		fields[i] = mh_id_field(&s->failed[i]);
	msg.n_fingerprint = s->n_failed;
	msg.fingerprint = fields;
	msg.server = s->host;
	msg.event = mh_rng_next(&s->rng);
	frame.body_case = MH__FRAME__BODY_SUSPECT;
	frame.suspect = &msg;
	mh_side_broadcast(s, &frame);
	mh_count(&s->counters, MH_C_SUSPECTS);
	free(fields);
}

/* Reports recent failures as a crash if no run is left at the backend. */
static void detect_crash(struct mh_side *s)
{
	if (!s->n_failed ||
	    mh_side_now(s) < s->first_failed_ns + CRASH_WINDOW_NS)
		return;
	if (!s->running)
		send_suspects(s);
	s->n_failed = 0;
}

uint64_t mh_side_tick(struct mh_side *s)
{
	uint64_t now = mh_side_now(s);

	detect_crash(s);
	if (now >= s->next_sweep_ns) {
		s->next_sweep_ns = now + SWEEP_INTERVAL_NS;
		mh_side_sweep_runs(s);
	}
	mh_side_adjust_limit(s);
	mh_side_grant_slots(s);
	if (now >= s->next_ping_ns) {
		s->next_ping_ns = now + PING_INTERVAL_NS;
		broadcast_ping(s);
	}
	return now + TICK_INTERVAL_NS;
}

struct mh_counters *mh_side_counters(struct mh_side *s)
{
	return &s->counters;
}
