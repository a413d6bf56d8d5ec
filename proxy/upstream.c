#include "proxy/upstream.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>
#include <uthash.h>
#include <utlist.h>

#include "net/socket.h"

#define READ_BYTES 32768
#define MAX_HEAD_BYTES 32768
/* Connecting to a server in another zone takes a few ms. */
#define CONNECT_TIMEOUT_NS (350 * MH_NS_PER_MS)
/* Fraction of a server's idle timeout for which a connection is reused. The
 * margin avoids sending a request while the server closes the connection. */
#define IDLE_TIME_FRACTION 0.6
/* For servers that send no Keep-Alive timeout. */
#define DEFAULT_IDLE_MS 1500

struct pool {
	char *address;
	struct mh_upstream *idle; /* most recently used first */
	UT_hash_handle hh;
};

struct mh_upstream {
	struct mh_upstreams *set;
	struct pool *pool;
	struct mh_watch watch;
	uint32_t watched_events;
	bool connecting;
	bool busy;
	bool bytes_sent;
	bool was_reset; /* a write took the socket's error */
	bool reused;	/* it carried a request before this one */
	bool reusable;
	bool paused;
	bool reading;
	bool cancelled;
	uint32_t max_idle_ms;
	uint64_t idle_since_ns;
	struct mh_http_reader reader;
	struct mh_buffer out; /* unsent part of the request's head */
	const uint8_t *body;  /* unsent part of its body, the caller's */
	size_t body_len;
	struct mh_timer connect_timer;
	struct mh_server_ref server; /* its strings are the caller's */
	const struct mh_upstream_ops *ops;
	void *data;
	struct mh_upstream *prev, *next;
};

struct mh_upstreams {
	struct mh_loop *loop;
	struct mh_timers *timers;
	const struct mh_clock *clock;
	struct mh_counters *counters;
	const struct mh_server_notices *notices;
	struct pool *pools;
	struct mh_upstream *busy;
};

static uint64_t now_of(const struct mh_upstreams *set)
{
	return mh_clock_mono_ns(set->clock);
}

static int on_head(void *data, const struct mh_http_head *head)
{
	struct mh_upstream *u = data;

	u->reusable = u->reusable && head->keep_alive;
	return u->ops->head(u->data, head) || u->cancelled;
}

static int on_body(void *data, const uint8_t *bytes, size_t len)
{
	struct mh_upstream *u = data;

	return u->ops->body(u->data, bytes, len) || u->cancelled;
}

static const struct mh_http_ops http_ops = { on_head, on_body };

struct mh_upstreams *mh_upstreams_new(struct mh_loop *loop,
				      struct mh_timers *timers,
				      const struct mh_clock *clock,
				      struct mh_counters *counters,
				      const struct mh_server_notices *notices)
{
	struct mh_upstreams *set = calloc(1, sizeof(*set));

	if (!set)
		abort();
	set->loop = loop;
	set->timers = timers;
	set->clock = clock;
	set->counters = counters;
	set->notices = notices;
	return set;
}

static void free_upstream(struct mh_upstream *u)
{
	struct mh_upstreams *set = u->set;

	mh_timer_clear(set->timers, &u->connect_timer);
	if (u->busy)
		DL_DELETE(set->busy, u);
	else
		DL_DELETE(u->pool->idle, u);
	mh_loop_remove(set->loop, &u->watch);
	close(u->watch.fd);
	mh_http_reader_release(&u->reader);
	mh_buffer_release(&u->out);
	free(u);
}

static void free_pool(struct mh_upstreams *set, struct pool *p)
{
	while (p->idle)
		free_upstream(p->idle);
	HASH_DEL(set->pools, p);
	free(p->address);
	free(p);
}

void mh_upstreams_free(struct mh_upstreams *set)
{
	struct pool *p, *tmp;

	if (!set)
		return;
	while (set->busy)
		free_upstream(set->busy);
	HASH_ITER(hh, set->pools, p, tmp)
		free_pool(set, p);
	free(set);
}

static uint64_t idle_limit_ns(const struct mh_upstream *u)
{
	return u->max_idle_ms * MH_NS_PER_MS;
}

void mh_upstreams_close_expired(struct mh_upstreams *set)
{
	uint64_t now_ns = now_of(set);
	struct mh_upstream *u, *next;
	struct pool *p, *tmp;

	HASH_ITER(hh, set->pools, p, tmp) {
		DL_FOREACH_SAFE(p->idle, u, next) {
			if (now_ns > u->idle_since_ns + idle_limit_ns(u))
				free_upstream(u);
		}
	}
}

static void fail(struct mh_upstream *u, enum mh_upstream_failure why)
{
	const struct mh_upstream_ops *ops = u->ops;
	void *data = u->data;

	free_upstream(u);
	ops->failed(data, why);
}

static void fail_connection(struct mh_upstream *u)
{
	fail(u, u->bytes_sent ? MH_UPSTREAM_LOST : MH_UPSTREAM_UNREACHABLE);
}

static void on_connect_timeout(void *data)
{
	fail_connection(data);
}

static void watch_for(struct mh_upstream *u, uint32_t events)
{
	if (u->watched_events == events)
		return;
	u->watched_events = events;
	mh_loop_change(u->set->loop, &u->watch, events);
}

static bool is_unsent(const struct mh_upstream *u)
{
	return u->out.len || u->body_len;
}

static void update_watch(struct mh_upstream *u)
{
	uint32_t events = u->paused ? 0 : EPOLLIN;

	if (u->connecting || is_unsent(u))
		events |= EPOLLOUT;
	watch_for(u, events);
}

static bool may_send(const struct mh_upstream *u)
{
	return mh_server_notices_check(u->set->notices, &u->server) ==
	       MH_SEND_ALLOWED;
}

static ssize_t send_some(struct mh_upstream *u)
{
	struct iovec parts[] = {
		{ mh_buffer_front(&u->out), u->out.len },
		/* Never written to. */
		{ (void *)(uintptr_t)u->body, u->body_len },
	};
	struct msghdr msg = { .msg_iov = parts, .msg_iovlen = 2 };

	return sendmsg(u->watch.fd, &msg, MSG_NOSIGNAL);
}

static void consume(struct mh_upstream *u, size_t n)
{
	size_t of_head = n < u->out.len ? n : u->out.len;

	mh_buffer_consume(&u->out, of_head);
	u->body += n - of_head;
	u->body_len -= n - of_head;
}

/* Return: false if the connection broke. */
static bool write_socket(struct mh_upstream *u)
{
	while (is_unsent(u)) {
		ssize_t n = send_some(u);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n < 0) {
			/* EPIPE: the server had ended its response in order
			 * before, or the error was taken by an earlier write. */
			u->was_reset |= errno != EPIPE;
			return false;
		}
		u->bytes_sent = true;
		consume(u, (size_t)n);
	}
	if (!u->out.len)
		mh_buffer_release(&u->out);
	update_watch(u);
	return true;
}

static void finish(struct mh_upstream *u, bool leftover)
{
	const struct mh_upstream_ops *ops = u->ops;
	struct mh_upstreams *set = u->set;
	void *data = u->data;

	/* A server that responded early has not read the whole request. */
	if (!u->reusable || leftover || is_unsent(u)) {
		free_upstream(u);
	} else {
		DL_DELETE(set->busy, u);
		u->busy = false;
		u->reused = true;
		u->paused = false;
		u->idle_since_ns = now_of(set);
		mh_http_reader_reset(&u->reader);
		watch_for(u, EPOLLIN | EPOLLRDHUP);
		DL_PREPEND(u->pool->idle, u);
	}
	ops->done(data);
}

static void read_socket(struct mh_upstream *u)
{
	uint8_t bytes[READ_BYTES];
	ssize_t n = recv(u->watch.fd, bytes, sizeof(bytes), 0);
	enum mh_http_result_code code;
	size_t used = 0;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (!u->busy) {
		/* The server closed the idle connection or sent unsolicited
		 * bytes. */
		free_upstream(u);
		return;
	}
	if (n <= 0) {
		if (n == 0 && !u->was_reset && mh_http_read_eof(&u->reader)) {
			u->reusable = false;
			finish(u, false);
		} else {
			fail_connection(u);
		}
		return;
	}
	u->reading = true;
	code = mh_http_read(&u->reader, bytes, (size_t)n, &used);
	u->reading = false;
	if (u->cancelled) {
		free_upstream(u);
		return;
	}
	switch (code) {
	case MH_HTTP_MORE:
		u->ops->flush(u->data);
		break;
	case MH_HTTP_DONE:
		finish(u, used < (size_t)n);
		break;
	default:
		fail(u, MH_UPSTREAM_MALFORMED);
	}
}

static void on_ready(void *data, uint32_t events)
{
	struct mh_upstream *u = data;

	if (u->connecting) {
		if (mh_socket_error(u->watch.fd)) {
			fail_connection(u);
			return;
		}
		u->connecting = false;
		mh_timer_clear(u->set->timers, &u->connect_timer);
		/* The server may have asked for a pause meanwhile. */
		if (!may_send(u)) {
			fail(u, MH_UPSTREAM_HELD_BACK);
			return;
		}
	}
	if ((events & EPOLLOUT) && !write_socket(u)) {
		/* An early response may be readable although writing failed. */
		events |= EPOLLIN;
	}
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR | EPOLLRDHUP))
		read_socket(u);
}

static struct pool *get_pool(struct mh_upstreams *set, const char *address)
{
	struct pool *p;

	HASH_FIND_STR(set->pools, address, p);
	if (p)
		return p;
	p = calloc(1, sizeof(*p));
	if (!p)
		abort();
	p->address = strdup(address);
	HASH_ADD_KEYPTR(hh, set->pools, p->address, strlen(p->address), p);
	return p;
}

/* Peeks at the socket to detect that the server has just closed it. */
static bool is_usable(const struct mh_upstream *u)
{
	uint8_t byte;

	return recv(u->watch.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       errno == EAGAIN;
}

static struct mh_upstream *take_idle(struct mh_upstreams *set, struct pool *p)
{
	uint64_t now_ns = now_of(set);
	struct mh_upstream *u;

	while ((u = p->idle)) {
		if (now_ns <= u->idle_since_ns + idle_limit_ns(u) &&
		    is_usable(u)) {
			DL_DELETE(p->idle, u);
			return u;
		}
		free_upstream(u);
	}
	return NULL;
}

static struct mh_upstream *open_new(struct mh_upstreams *set, struct pool *p)
{
	struct mh_upstream *u = calloc(1, sizeof(*u));

	if (!u)
		return NULL;
	u->set = set;
	u->pool = p;
	u->connecting = true;
	u->max_idle_ms = DEFAULT_IDLE_MS;
	u->watch.ready = on_ready;
	u->watch.data = u;
	u->watched_events = EPOLLIN | EPOLLOUT;
	u->watch.fd = mh_socket_connect(p->address);
	if (u->watch.fd < 0)
		goto err;
	if (mh_loop_add(set->loop, &u->watch, u->watched_events)) {
		close(u->watch.fd);
		goto err;
	}
	mh_timer_init(&u->connect_timer, on_connect_timeout, u);
	mh_timer_set(set->timers, &u->connect_timer,
		     now_of(set) + CONNECT_TIMEOUT_NS);
	mh_http_reader_init(&u->reader, HTTP_RESPONSE, MAX_HEAD_BYTES,
			    &http_ops, u);
	mh_count(set->counters, MH_C_UPSTREAMS);
	return u;
err:
	free(u);
	return NULL;
}

struct mh_upstream *
mh_upstream_send(struct mh_upstreams *set, const struct mh_server_ref *server,
		 struct mh_buffer *head, const struct mh_buffer *body,
		 bool no_body, const struct mh_upstream_ops *ops, void *data)
{
	struct mh_upstream *u;
	struct pool *p;

	if (mh_server_notices_check(set->notices, server) != MH_SEND_ALLOWED)
		return NULL;
	p = get_pool(set, server->address);
	u = take_idle(set, p);
	if (!u)
		u = open_new(set, p);
	if (!u)
		return NULL;
	u->busy = true;
	DL_PREPEND(set->busy, u);
	u->server = *server;
	u->ops = ops;
	u->data = data;
	u->bytes_sent = false;
	u->was_reset = false;
	u->reusable = true;
	u->reader.no_body = no_body;
	u->out = *head;
	memset(head, 0, sizeof(*head));
	u->body = mh_buffer_front(body);
	u->body_len = body->len;
	if (u->connecting)
		return u;
	/* The event loop reports the failed socket later. */
	if (!write_socket(u))
		update_watch(u);
	return u;
}

void mh_upstream_cancel(struct mh_upstream *u)
{
	if (u->reading)
		u->cancelled = true;
	else
		free_upstream(u);
}

bool mh_upstream_half_close(struct mh_upstream *u,
			    const struct mh_server_ref *server,
			    const struct mh_upstream_ops *ops, void *data)
{
	if (u->connecting || is_unsent(u) || u->reading ||
	    shutdown(u->watch.fd, SHUT_WR))
		return false;
	u->server = *server;
	u->ops = ops;
	u->data = data;
	u->reusable = false;
	mh_upstream_pause(u, false);
	return true;
}

void mh_upstream_set_ops(struct mh_upstream *u,
			 const struct mh_upstream_ops *ops)
{
	u->ops = ops;
}

bool mh_upstream_is_reused(const struct mh_upstream *u)
{
	return u->reused;
}

void mh_upstream_retire(struct mh_upstream *u)
{
	u->reusable = false;
}

void mh_upstream_pause(struct mh_upstream *u, bool paused)
{
	if (u->paused == paused)
		return;
	u->paused = paused;
	update_watch(u);
}

void mh_upstream_set_idle_timeout(struct mh_upstream *u, uint32_t seconds)
{
	if (seconds)
		u->max_idle_ms =
			(uint32_t)(seconds * MH_MS_PER_S * IDLE_TIME_FRACTION);
}
