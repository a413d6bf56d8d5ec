/*
 * Links of an entry to sides and other entries, the host list, and the exchange
 * of the configuration with them and with the log.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/entry_impl.h"

#define PING_INTERVAL_NS (1000 * MH_NS_PER_MS)
#define SNAPSHOT_MAX_AGE_MS (6 * 3600 * MH_MS_PER_S)
#define SNAPSHOT_JITTER_MS (600 * MH_MS_PER_S)

static struct mh_server *server_by_link(struct mh_entry *e, uint32_t link)
{
	struct mh_server *s;

	DL_FOREACH(e->servers, s) {
		if (s->up && s->link == link)
			return s;
	}
	return NULL;
}

static struct mh_peer *peer_by_link(struct mh_entry *e, uint32_t link)
{
	struct mh_peer *p;

	DL_FOREACH(e->peers, p) {
		if (p->up && p->link == link)
			return p;
	}
	return NULL;
}

static void clear_models(struct mh_server *s)
{
	size_t i;

	for (i = 0; i < s->n_models; i++)
		free(s->models[i]);
	free(s->models);
	free(s->pool);
	s->models = NULL;
	s->n_models = 0;
	s->pool = NULL;
}

static struct mh_server *get_server(struct mh_entry *e, const char *host)
{
	struct mh_server *s;

	DL_FOREACH(e->servers, s) {
		if (!strcmp(s->host, host))
			return s;
	}
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	snprintf(s->host, sizeof(s->host), "%s", host);
	DL_APPEND(e->servers, s);
	return s;
}

static struct mh_peer *get_peer(struct mh_entry *e, const char *host)
{
	struct mh_peer *p;

	DL_FOREACH(e->peers, p) {
		if (!strcmp(p->host, host))
			return p;
	}
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	snprintf(p->host, sizeof(p->host), "%s", host);
	DL_APPEND(e->peers, p);
	return p;
}

static bool is_host_leaving(struct mh_entry *e, const char *host)
{
	const struct mh_manifest *m = mh_entry_manifest(e);
	struct mh_host_row *row;

	HASH_FIND_STR(e->hosts, host, row);
	if (row && row->state == MH_HOST_LEAVING)
		return true;
	return m && mh_manifest_drained(m, host);
}

bool mh_server_takes_work(const struct mh_entry *e, const struct mh_server *s)
{
	return s->up && !s->leaving &&
	       !is_host_leaving((struct mh_entry *)e, s->host);
}

static void send_side_config(struct mh_entry *e, struct mh_server *s)
{
	const struct mh_manifest *m = mh_entry_manifest(e);
	const struct mh_pool *pool;
	Mh__SideConfig msg = MH__SIDE_CONFIG__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	if (!m || !s->up)
		return;
	pool = mh_manifest_pool(m, s->pool);
	msg.as_of = mh_entry_config_position(e);
	s->config_sent_offset = msg.as_of;
	msg.draining = mh_manifest_drained(m, s->host);
	msg.max_running = pool ? pool->max_running : 0;
	msg.reserve_percent = pool ? pool->reserve_percent : 0;
	msg.keep_ms = m->policy.keep_ms;
	msg.grant_term_ms = m->policy.grant_term_ms;
	frame.body_case = MH__FRAME__BODY_SIDE_CONFIG;
	frame.side_config = &msg;
	mh_entry_send(e, s->link, &frame);
}

static void send_ping(struct mh_entry *e, uint32_t link, const char *host)
{
	Mh__Ping msg = MH__PING__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.config_offset = mh_entry_config_position(e);
	msg.leaving = e->draining;
	msg.peer_leaving = is_host_leaving(e, host);
	frame.body_case = MH__FRAME__BODY_PING;
	frame.ping = &msg;
	mh_entry_send(e, link, &frame);
}

static void server_link_up(struct mh_entry *e, uint32_t link,
			   const struct mh_remote *remote)
{
	struct mh_server *s = get_server(e, remote->host);
	size_t i;

	if (!s)
		return;
	if (s->up)
		mh_entry_server_down(e, s);
	clear_models(s);
	s->pool = strdup(remote->pool);
	s->models = calloc(remote->n_models + 1, sizeof(*s->models));
	for (i = 0; s->models && i < remote->n_models; i++)
		s->models[s->n_models++] = strdup(remote->models[i]);
	s->link = link;
	s->incarnation = remote->incarnation;
	s->up = true;
	s->leaving = false;
	s->want_sent_valid = false;
	mh_server_want_changed(e, s);
	send_ping(e, link, s->host);
	send_side_config(e, s);
	mh_entry_server_up(e, s);
}

void mh_entry_link_up(struct mh_entry *e, uint32_t link,
		      const struct mh_remote *remote)
{
	struct mh_peer *p;

	if (remote->is_side) {
		server_link_up(e, link, remote);
		return;
	}
	p = get_peer(e, remote->host);
	if (!p)
		return;
	p->link = link;
	p->up = true;
	send_ping(e, link, p->host);
	mh_entry_send_suspicions(e, link);
}

void mh_entry_link_down(struct mh_entry *e, uint32_t link)
{
	struct mh_server *s = server_by_link(e, link);
	struct mh_peer *p = peer_by_link(e, link);

	if (s) {
		mh_count(&e->counters, MH_C_LINK_LOST);
		mh_entry_server_down(e, s);
	}
	if (p) {
		p->up = false;
		mh_entry_peer_down(e, p);
	}
}

static void send_pull(struct mh_entry *e, uint32_t link)
{
	Mh__ConfigPull msg = MH__CONFIG_PULL__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.have_offset = mh_config_state_next_offset(e->config);
	frame.body_case = MH__FRAME__BODY_CONFIG_PULL;
	frame.config_pull = &msg;
	mh_entry_send(e, link, &frame);
}

static void send_config_state(struct mh_entry *e, uint32_t link)
{
	const struct mh_manifest *m = mh_entry_manifest(e);
	Mh__ConfigState msg = MH__CONFIG_STATE__INIT;
	Mh__Frame frame = MH__FRAME__INIT;
	char *text;

	if (!m)
		return;
	text = json_dumps(m->doc, JSON_COMPACT);
	if (!text)
		return;
	msg.as_of = mh_entry_config_position(e);
	msg.version = m->version;
	msg.document.data = (uint8_t *)text;
	msg.document.len = strlen(text);
	frame.body_case = MH__FRAME__BODY_CONFIG_STATE;
	frame.config_state = &msg;
	mh_entry_send(e, link, &frame);
	free(text);
}

static void config_applied(struct mh_entry *e)
{
	struct mh_manifest *old = mh_config_state_take_replaced(e->config);
	const struct mh_manifest *now = mh_entry_manifest(e);
	struct mh_server *s;

	if (!now)
		return;
	mh_count(&e->counters, MH_C_CONFIG_CHANGES);
	mh_entry_set_key_window(e, now->policy.key_window_s);
	e->ops->config_changed(e->data, old, now);
	DL_FOREACH(e->servers, s) {
		mh_server_want_changed(e, s);
		send_side_config(e, s);
	}
}

static void on_config_state(struct mh_entry *e, const Mh__ConfigState *msg)
{
	uint64_t as_of;

	if (mh_entry_is_position_of_era(e, msg->as_of, &as_of) && !e->replay &&
	    mh_config_state_adopt(e->config, as_of, msg->version,
				  (const char *)msg->document.data,
				  msg->document.len))
		config_applied(e);
}

static void on_ping(struct mh_entry *e, uint32_t link, struct mh_server *s,
		    struct mh_peer *p, const Mh__Ping *msg)
{
	if (s && s->leaving != (bool)msg->leaving) {
		s->leaving = msg->leaving;
		mh_server_want_changed(e, s);
	}
	if (s && msg->config_offset < s->config_sent_offset)
		send_side_config(e, s);
	if (p && msg->config_offset > mh_entry_config_position(e))
		send_pull(e, link);
}

static void recv_from_server(struct mh_entry *e, struct mh_server *s,
			     const Mh__Frame *frame)
{
	switch (frame->body_case) {
	case MH__FRAME__BODY_GRANT:
		mh_entry_on_grant(e, s, frame->grant);
		break;
	case MH__FRAME__BODY_REFUSED:
		mh_entry_on_refused(e, s, frame->refused);
		break;
	case MH__FRAME__BODY_HEAD:
		mh_entry_on_head(e, s, frame->head);
		break;
	case MH__FRAME__BODY_DATA:
		mh_entry_on_data(e, s, frame->data);
		break;
	case MH__FRAME__BODY_END:
		mh_entry_on_end(e, s, frame->end);
		break;
	default:
		break;
	}
}

static void recv_from_peer(struct mh_entry *e, struct mh_peer *p,
			   const Mh__Frame *frame)
{
	switch (frame->body_case) {
	case MH__FRAME__BODY_GIVE_WAY:
		mh_entry_on_give_way(e, p->link, frame->give_way);
		break;
	case MH__FRAME__BODY_GAVE:
		mh_entry_on_gave(e, frame->gave);
		break;
	case MH__FRAME__BODY_CLAIMS:
		mh_entry_on_claims(e, frame->claims);
		break;
	case MH__FRAME__BODY_CONFIG_PULL:
		send_config_state(e, p->link);
		break;
	case MH__FRAME__BODY_CONFIG_STATE:
		on_config_state(e, frame->config_state);
		break;
	default:
		break;
	}
}

void mh_entry_recv(struct mh_entry *e, uint32_t link, const Mh__Frame *frame)
{
	struct mh_server *s = server_by_link(e, link);
	struct mh_peer *p = s ? NULL : peer_by_link(e, link);

	if (!s && !p) {
		mh_count(&e->counters, MH_C_LATE_FRAMES);
		return;
	}
	if (frame->body_case == MH__FRAME__BODY_PING)
		on_ping(e, link, s, p, frame->ping);
	else if (frame->body_case == MH__FRAME__BODY_SUSPECT)
		mh_entry_on_suspect(e, link, frame->suspect);
	else if (s)
		recv_from_server(e, s, frame);
	else
		recv_from_peer(e, p, frame);
}

static void clear_hosts(struct mh_entry *e)
{
	struct mh_host_row *row, *tmp;

	HASH_ITER(hh, e->hosts, row, tmp) {
		HASH_DEL(e->hosts, row);
		free(row);
	}
}

static void mark_peers(struct mh_entry *e)
{
	struct mh_host_row *row, *tmp;
	struct mh_peer *p;

	DL_FOREACH(e->peers, p)
		p->listed = false;
	HASH_ITER(hh, e->hosts, row, tmp) {
		if (!row->is_entry || !strcmp(row->name, e->host))
			continue;
		p = get_peer(e, row->name);
		if (p)
			p->listed = true;
	}
}

void mh_entry_set_hosts(struct mh_entry *e, const struct mh_host *hosts,
			size_t n)
{
	struct mh_host_row *row;
	struct mh_server *s;
	size_t i;

	clear_hosts(e);
	e->n_entries = 0;
	for (i = 0; i < n; i++) {
		HASH_FIND_STR(e->hosts, hosts[i].name, row);
		if (row)
			continue;
		row = calloc(1, sizeof(*row));
		if (!row)
			return;
		snprintf(row->name, sizeof(row->name), "%s", hosts[i].name);
		row->is_entry = hosts[i].is_entry;
		row->state = hosts[i].state;
		e->n_entries += row->is_entry;
		HASH_ADD_STR(e->hosts, name, row);
	}
	mark_peers(e);
	DL_FOREACH(e->servers, s)
		mh_server_want_changed(e, s);
}

void mh_entry_set_config_start(struct mh_entry *e, uint64_t first_offset)
{
	mh_config_state_set_log_start(e->replay ? e->replay : e->config,
				      first_offset);
}

void mh_entry_apply_config_record(struct mh_entry *e, uint64_t offset,
				  uint64_t when_ms, const char *rec, size_t len)
{
	uint64_t before = mh_config_state_version(e->config);

	mh_config_state_apply(e->replay ? e->replay : e->config, offset,
			      when_ms, rec, len);
	if (e->replay)
		mh_entry_end_replay(e);
	if (mh_config_state_version(e->config) != before)
		config_applied(e);
}

/* The entry that checks first writes it; a second snapshot is harmless. */
void mh_entry_write_snapshot(struct mh_entry *e)
{
	uint64_t now_ms = mh_clock_wall_ms(&e->clock);
	char *text;

	if (!mh_entry_manifest(e) || !e->log_up || e->replay ||
	    now_ms < e->next_snapshot_ms)
		return;
	e->next_snapshot_ms =
		now_ms + mh_rng_next(&e->rng) % SNAPSHOT_JITTER_MS;
	if (now_ms <
	    mh_config_state_full_record_ms(e->config) + SNAPSHOT_MAX_AGE_MS)
		return;
	text = mh_config_state_snapshot(e->config,
					mh_config_state_next_offset(e->config));
	if (text)
		e->ops->append_config(e->data, text, strlen(text));
	free(text);
}

void mh_entry_send_pings(struct mh_entry *e, uint64_t now)
{
	struct mh_server *s;
	struct mh_peer *p;

	if (now < e->next_ping_ns)
		return;
	e->next_ping_ns = now + PING_INTERVAL_NS;
	DL_FOREACH(e->servers, s) {
		if (s->up)
			send_ping(e, s->link, s->host);
	}
	DL_FOREACH(e->peers, p) {
		if (p->up)
			send_ping(e, p->link, p->host);
	}
}

size_t mh_entry_list_servers(const struct mh_entry *e, struct mh_server_view *v,
			     size_t max)
{
	const struct mh_server *s;
	size_t n = 0;

	DL_FOREACH(e->servers, s) {
		if (n == max)
			break;
		v[n].host = s->host;
		v[n].pool = s->pool ? s->pool : "";
		v[n].up = s->up;
		v[n].leaving = !mh_server_takes_work(e, s);
		v[n].running = s->running;
		n++;
	}
	return n;
}

void mh_entry_free_hosts(struct mh_entry *e)
{
	struct mh_server *s, *tmp_s;
	struct mh_peer *p, *tmp_p;

	DL_FOREACH_SAFE(e->servers, s, tmp_s) {
		clear_models(s);
		free(s);
	}
	DL_FOREACH_SAFE(e->peers, p, tmp_p)
		free(p);
	clear_hosts(e);
}
