/*
 * What clients may make the process hold: counts it, evicts clients, and turns
 * away those that have no room.
 */
#include <errno.h>
#include <stddef.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/client_impl.h"

/* Time to read the rest of a rejected request before the connection is closed:
 * an early close resets it, and the client loses the response. */
#define REJECT_LINGER_NS (300 * MH_NS_PER_MS)
/* Retry-After of requests that were evicted: a stalled request is evicted after
 * half of that time. */
#define RETRY_AFTER_MS 1000
/* Without descriptors the listener would wake the loop again and again. */
#define ACCEPT_PAUSE_NS (100 * MH_NS_PER_MS)
/* What a connection needs besides: its request in the exchange and the slot client,
 * and what the allocator adds. */
#define CONNECTION_BYTES 4096
/* Each body grows by the factor 2, from this size on. */
#define MIN_BODY_BYTES 4096

static struct mh_client *client_of(struct mh_client_usage *u)
{
	return (struct mh_client *)((char *)u -
				    offsetof(struct mh_client, usage));
}

void mh_client_count_bytes(struct mh_client *cl)
{
	mh_client_budget_set_bytes(&cl->set->budget, &cl->usage,
				   sizeof(*cl) + CONNECTION_BYTES +
					   cl->reader.raw.cap + cl->in.cap +
					   cl->body.cap + cl->out.cap);
}

void mh_client_linger(struct mh_client *cl)
{
	cl->state = CLIENT_ENDING;
	cl->close_after = true;
	cl->unread = true;
	mh_client_budget_set_stage(&cl->set->budget, &cl->usage,
				   MH_CLIENT_LEAVING);
	mh_client_set_timer(cl, REJECT_LINGER_NS);
	shutdown(cl->watch.fd, SHUT_WR);
}

void mh_client_turn_away(struct mh_client *cl, enum mh_error error)
{
	const struct mh_error_info *info = mh_error_info(error);
	struct mh_http_text none = { 0 };

	mh_client_append_error(
		&cl->out, error, info->retry ? RETRY_AFTER_MS : 0, none, true,
		cl->reader.in_body && mh_http_is_head(&cl->reader.head));
	mh_buffer_release(&cl->in);
	mh_buffer_release(&cl->body);
	mh_client_flush(cl);
	mh_client_linger(cl);
	mh_client_count_bytes(cl);
}

/* Ends a connection that has no complete request: with a response if it has
 * begun one. */
static void evict(struct mh_client *cl, const char *why)
{
	struct mh_clients *set = cl->set;
	struct mh_event_log *log = set->env.log;
	bool is_reading = cl->usage.stage == MH_CLIENT_READING;

	mh_count(set->env.counters, MH_C_CLIENTS_EVICTED);
	mh_event(log, MH_EV_REFUSED,
		 "event=client_evicted why=%s bytes=%llu received=%zu "
		 "used_bytes=%llu connections=%u",
		 why, (unsigned long long)cl->usage.bytes, cl->body_bytes,
		 (unsigned long long)set->budget.bytes, set->n_open);
	if (is_reading)
		mh_client_turn_away(cl, MH_ERR_CLIENT_BUDGET);
	else
		mh_client_free(cl);
}

bool mh_client_make_room(struct mh_client *cl, uint64_t more)
{
	struct mh_client_budget *b = &cl->set->budget;
	struct mh_client_usage *u;

	while ((u = mh_client_budget_bytes_victim(b, &cl->usage, more))) {
		if (u == &cl->usage)
			return false;
		evict(client_of(u), "bytes");
	}
	return true;
}

static size_t next_body_cap(const struct mh_client *cl, size_t need)
{
	size_t cap = cl->body.cap * 2, max = cl->set->limits.max_body_bytes;

	if (cl->reader.head.content_length > 0)
		max = (size_t)cl->reader.head.content_length;
	if (cap < MIN_BODY_BYTES)
		cap = MIN_BODY_BYTES;
	if (cap < need)
		cap = need;
	return cap < max ? cap : max;
}

bool mh_client_add_body(struct mh_client *cl, const uint8_t *bytes, size_t len)
{
	size_t need = cl->body.len + len, cap;

	if (need > cl->body.cap) {
		cap = next_body_cap(cl, need);
		if (!mh_client_make_room(cl, cap - cl->body.cap) ||
		    !mh_buffer_grow(&cl->body, cap))
			return false;
		mh_client_count_bytes(cl);
	}
	return mh_buffer_add(&cl->body, bytes, len);
}

bool mh_clients_make_room(struct mh_clients *set)
{
	struct mh_client_usage *u =
		mh_client_budget_connection_victim(&set->budget);
	struct mh_client *cl;

	if (!u)
		return false;
	cl = client_of(u);
	/* Its descriptor is needed at once: it has no time to read the rest. */
	if (u->stage == MH_CLIENT_READING) {
		evict(cl, "connections");
		mh_client_free(cl);
	} else if (u->stage == MH_CLIENT_LEAVING) {
		mh_client_free(cl);
	} else {
		evict(cl, "connections");
	}
	return true;
}

void mh_clients_accept_again(void *data)
{
	struct mh_clients *set = data;

	mh_loop_change(set->env.loop, &set->listener, EPOLLIN);
}

void mh_clients_pause_accepting(struct mh_clients *set)
{
	mh_event(set->env.log, MH_EV_FAILED,
		 "event=no_descriptors connections=%u", set->n_open);
	mh_loop_change(set->env.loop, &set->listener, 0);
	mh_timer_set(set->env.timers, &set->accept_timer,
		     mh_clock_mono_ns(set->env.clock) + ACCEPT_PAUSE_NS);
}

void mh_clients_turn_away(struct mh_clients *set, int fd)
{
	struct mh_buffer out = { 0 };
	struct mh_http_text none = { 0 };

	mh_count(set->env.counters, MH_C_CLIENTS_TURNED_AWAY);
	mh_event(set->env.log, MH_EV_REFUSED,
		 "event=client_turned_away used_bytes=%llu connections=%u",
		 (unsigned long long)set->budget.bytes, set->n_open);
	mh_client_append_error(&out, MH_ERR_CLIENT_BUDGET, RETRY_AFTER_MS, none,
			       true, false);
	/* A new socket has room for it; if not, the close tells as much. */
	if (send(fd, mh_buffer_front(&out), out.len,
		 MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
		mh_event(set->env.log, MH_EV_FAILED, "event=no_answer errno=%d",
			 errno);
	mh_buffer_release(&out);
	close(fd);
}
