#include "proxy/client.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <linux/sockios.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "net/socket.h"
#include "platform/wire.h"
#include "proxy/client_impl.h"

#define READ_BYTES 32768
#define LISTEN_BACKLOG 512
#define MAX_ACCEPTS_PER_EVENT 32
/* Above its part of this many unsent bytes the server's response to a client is no
 * longer read. */
#define MAX_UNSENT_BYTES (16u << 20)
#define MAX_UNSENT_BYTES_PER_CLIENT (256u << 10)
/* With fewer each write would be a small one. */
#define MIN_UNSENT_BYTES_PER_CLIENT (32u << 10)
/* Part of the budget of which unsent bytes may use as much. */
#define UNSENT_PART 4
/* Pipelined bytes that are buffered while a request is handled. */
#define MAX_PIPELINED_BYTES (16u << 10)
/* A refused request with a larger body is answered at once and closed; the body of
 * others is dropped, and the connection goes on. */
#define MAX_DROPPED_BYTES (64u << 10)
/* Time to receive a body after its head. */
#define BODY_TIMEOUT_NS (10000 * MH_NS_PER_MS)
/* Limits before the first configuration. */
#define DEFAULT_MAX_HEAD_BYTES 16384
#define DEFAULT_MAX_BODY_BYTES (4u << 20)
#define DEFAULT_HEAD_TIMEOUT_MS 5000
#define DEFAULT_IDLE_TIMEOUT_MS 15000

static uint32_t max_unsent_bytes(const struct mh_clients *set)
{
	uint64_t max = mh_client_budget_limit(&set->budget) / UNSENT_PART;
	uint32_t part;

	if (max > MAX_UNSENT_BYTES)
		max = MAX_UNSENT_BYTES;
	part = (uint32_t)max / set->n_open;
	if (part > MAX_UNSENT_BYTES_PER_CLIENT)
		return MAX_UNSENT_BYTES_PER_CLIENT;
	if (part < MIN_UNSENT_BYTES_PER_CLIENT)
		return MIN_UNSENT_BYTES_PER_CLIENT;
	return part;
}

static uint64_t now_of(const struct mh_client *cl)
{
	return mh_clock_mono_ns(cl->set->env.clock);
}

void mh_client_set_timer(struct mh_client *cl, uint64_t in_ns)
{
	mh_timer_set(cl->set->env.timers, &cl->timer, now_of(cl) + in_ns);
}

void mh_client_free(struct mh_client *cl)
{
	struct mh_clients *set = cl->set;

	DL_DELETE(set->all, cl);
	set->n_open--;
	mh_client_budget_remove(&set->budget, &cl->usage);
	mh_timer_clear(set->env.timers, &cl->timer);
	mh_timer_clear(set->env.timers, &cl->next_timer);
	mh_loop_remove(set->env.loop, &cl->watch);
	close(cl->watch.fd);
	mh_http_reader_release(&cl->reader);
	mh_buffer_release(&cl->in);
	mh_buffer_release(&cl->body);
	mh_buffer_release(&cl->out);
	free(cl);
}

static void close_client(struct mh_client *cl)
{
	struct mh_clients *set = cl->set;

	if (cl->state == CLIENT_RESPONDING)
		set->ops->closed(set->data, cl);
	mh_client_free(cl);
}

/* What is pipelined can wait in the socket. */
static bool may_read(const struct mh_client *cl)
{
	if (cl->state == CLIENT_READING || cl->unread)
		return true;
	return cl->in.len < MAX_PIPELINED_BYTES &&
	       (cl->in.cap || mh_client_budget_has_room(&cl->set->budget,
							MAX_PIPELINED_BYTES));
}

static void update_watch(struct mh_client *cl)
{
	uint32_t events = 0;

	/* A client that leaves is noticed although nothing is read from it. */
	events |= may_read(cl) ? EPOLLIN : EPOLLRDHUP;
	if (cl->out.len)
		events |= EPOLLOUT;
	if (events == cl->watched_events)
		return;
	cl->watched_events = events;
	mh_loop_change(cl->set->env.loop, &cl->watch, events);
}

static int on_head(void *data, const struct mh_http_head *head)
{
	struct mh_client *cl = data;
	struct mh_wire_request req;

	if (head->content_length > cl->set->limits.max_body_bytes) {
		cl->too_large = true;
		return 1;
	}
	if (head->content_length <= 0 && !head->chunked)
		return 0;
	mh_client_set_timer(cl, BODY_TIMEOUT_NS);
	mh_wire_read_request(head, &req);
	cl->refusal = cl->set->ops->head(cl->set->data, head);
	if (cl->refusal != MH_OK)
		return req.expects_continue ||
		       head->content_length > MAX_DROPPED_BYTES;
	if (req.expects_continue) {
		mh_buffer_add(&cl->out, "HTTP/1.1 100 Continue\r\n\r\n", 25);
		mh_client_flush(cl);
	}
	return 0;
}

static int on_body(void *data, const uint8_t *bytes, size_t len)
{
	struct mh_client *cl = data;

	cl->body_bytes += len;
	if (cl->body_bytes > cl->set->limits.max_body_bytes) {
		cl->too_large = true;
		return 1;
	}
	if (cl->refusal != MH_OK)
		return cl->body_bytes > MAX_DROPPED_BYTES;
	if (mh_client_add_body(cl, bytes, len))
		return 0;
	cl->refusal = MH_ERR_CLIENT_BUDGET;
	return 1;
}

static const struct mh_http_ops http_ops = { on_head, on_body };

void mh_client_append_error(struct mh_buffer *out, enum mh_error error,
			    uint32_t retry_after_ms, struct mh_http_text id,
			    bool close, bool no_body)
{
	const struct mh_error_info *info = mh_error_info(error);
	char body[256];
	int n = snprintf(body, sizeof(body),
			 "{\"type\":\"urn:mangohead:error:%s\","
			 "\"title\":\"%s\",\"status\":%u,\"outcome\":\"%s\"}",
			 info->name, info->title, info->status,
			 mh_outcome_name(info->outcome));

	mh_buffer_printf(out,
			 "HTTP/1.1 %u %s\r\n"
			 "Content-Type: application/problem+json\r\n"
			 "Content-Length: %d\r\n",
			 info->status, info->name, n);
	if (retry_after_ms)
		mh_buffer_printf(out, "Retry-After: %u.%03u\r\n",
				 retry_after_ms / 1000, retry_after_ms % 1000);
	mh_wire_write_request_id(out, id);
	if (close)
		mh_buffer_add(out, "Connection: close\r\n", 19);
	mh_buffer_add(out, "\r\n", 2);
	if (!no_body)
		mh_buffer_add(out, body, (size_t)n);
}

/* Rejects a malformed or incomplete request and closes the connection, since
 * the start of the next request is unknown. */
static void reject(struct mh_client *cl, enum mh_error error)
{
	mh_count(cl->set->env.counters, MH_C_MALFORMED);
	mh_event(cl->set->env.log, MH_EV_REFUSED,
		 "event=unreadable error=%s bytes=%zu",
		 mh_error_info(error)->name, cl->reader.raw.len);
	mh_client_turn_away(cl, error);
}

static enum mh_error read_error(const struct mh_client *cl,
				enum mh_http_result_code code)
{
	switch (code) {
	case MH_HTTP_HEAD_TOO_LARGE:
		return MH_ERR_HEAD_TOO_LARGE;
	case MH_HTTP_UNKNOWN_TRANSFER_CODING:
		return MH_ERR_UNKNOWN_TRANSFER_CODING;
	default:
		return cl->too_large ? MH_ERR_BODY_TOO_LARGE :
				       MH_ERR_BAD_REQUEST;
	}
}

static void begin_reading(struct mh_client *cl)
{
	cl->state = CLIENT_READING;
	cl->too_large = false;
	cl->refusal = MH_OK;
	cl->body_bytes = 0;
	mh_http_reader_reset(&cl->reader);
	mh_buffer_release(&cl->body);
	cl->reader.max_head_bytes = cl->set->limits.max_head_bytes;
	mh_client_set_timer(cl, cl->set->limits.idle_timeout_ms * MH_NS_PER_MS);
}

/* The request is answered next, though its end may not have been read. */
static void end_reading(struct mh_client *cl, bool is_complete)
{
	struct mh_clients *set = cl->set;

	mh_client_budget_set_stage(&set->budget, &cl->usage, MH_CLIENT_BUSY);
	cl->state = CLIENT_RESPONDING;
	cl->unread = !is_complete;
	cl->close_after = cl->unread || !cl->reader.head.keep_alive ||
			  set->keep_alive_disabled;
	mh_timer_clear(set->env.timers, &cl->timer);
}

/* Return: bytes consumed. The state tells whether the request is to be handled. */
static size_t read_request(struct mh_client *cl, const uint8_t *bytes,
			   size_t len)
{
	const struct mh_limits *limits = &cl->set->limits;
	struct mh_client_budget *budget = &cl->set->budget;
	bool was_idle = mh_http_reader_idle(&cl->reader);
	enum mh_http_result_code code;
	size_t used;

	mh_client_budget_set_stage(budget, &cl->usage, MH_CLIENT_READING);
	code = mh_http_read(&cl->reader, bytes, len, &used);
	if (cl->refusal != MH_OK)
		mh_buffer_release(&cl->body);
	mh_client_count_bytes(cl);
	switch (code) {
	case MH_HTTP_MORE:
		mh_client_budget_received(budget, &cl->usage, used);
		if (was_idle && !mh_http_reader_idle(&cl->reader) &&
		    !cl->reader.in_body)
			mh_client_set_timer(cl, limits->head_timeout_ms *
							MH_NS_PER_MS);
		if (!cl->reader.in_body &&
		    !mh_client_make_room(cl, limits->max_head_bytes))
			mh_client_turn_away(cl, MH_ERR_CLIENT_BUDGET);
		break;
	case MH_HTTP_DONE:
		if (cl->refusal == MH_OK && !mh_client_make_room(cl, 0))
			cl->refusal = MH_ERR_CLIENT_BUDGET;
		end_reading(cl, true);
		break;
	default:
		if (cl->refusal == MH_OK)
			reject(cl, read_error(cl, code));
		else
			end_reading(cl, false);
	}
	return used;
}

static void handle_request(struct mh_client *cl)
{
	struct mh_clients *set = cl->set;

	if (cl->refusal != MH_OK)
		set->ops->refused(set->data, cl, &cl->reader.head, cl->refusal);
	else
		set->ops->request(set->data, cl, &cl->reader.head, &cl->body);
}

/* Reads the next pipelined request. */
static void read_pipelined(struct mh_client *cl)
{
	size_t used;

	used = read_request(cl, mh_buffer_front(&cl->in), cl->in.len);
	/* The budget may have turned the client away, and its bytes with it. */
	if (cl->in.len)
		mh_buffer_consume(&cl->in, used);
	if (!cl->in.len)
		mh_buffer_release(&cl->in);
	if (cl->state == CLIENT_RESPONDING)
		handle_request(cl);
}

/* Requests of one connection are handled from the loop, one at a time: the handling
 * of one that is answered at once must not nest in that of the one before. */
static void on_next(void *data)
{
	struct mh_client *cl = data;

	if (cl->state == CLIENT_READING && cl->in.len)
		read_pipelined(cl);
}

static void keep_pipelined(struct mh_client *cl, const uint8_t *bytes, size_t n)
{
	if (!n)
		return;
	if (!mh_buffer_grow(&cl->in, MAX_PIPELINED_BYTES) ||
	    !mh_buffer_add(&cl->in, bytes, n))
		abort();
	mh_client_count_bytes(cl);
}

static size_t max_read_bytes(const struct mh_client *cl)
{
	if (cl->state == CLIENT_READING || cl->unread)
		return READ_BYTES;
	return cl->in.len < MAX_PIPELINED_BYTES ?
		       MAX_PIPELINED_BYTES - cl->in.len :
		       0;
}

static void read_socket(struct mh_client *cl)
{
	uint8_t bytes[READ_BYTES];
	ssize_t n = recv(cl->watch.fd, bytes, max_read_bytes(cl), 0);
	size_t used;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		close_client(cl);
		return;
	}
	/* The rest of a request that was rejected. */
	if (cl->unread || (cl->state == CLIENT_ENDING && cl->close_after))
		return;
	if (cl->state != CLIENT_READING || cl->in.len) {
		keep_pipelined(cl, bytes, (size_t)n);
		if (cl->state == CLIENT_READING)
			read_pipelined(cl);
		else
			update_watch(cl);
		return;
	}
	used = read_request(cl, bytes, (size_t)n);
	if (cl->state == CLIENT_RESPONDING) {
		if (!cl->unread)
			keep_pipelined(cl, bytes + used, (size_t)n - used);
		handle_request(cl);
	}
}

static void write_socket(struct mh_client *cl)
{
	while (cl->out.len) {
		ssize_t n = send(cl->watch.fd, mh_buffer_front(&cl->out),
				 cl->out.len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			/* The next read reports the error as well. */
			mh_buffer_release(&cl->out);
			break;
		}
		mh_buffer_consume(&cl->out, (size_t)n);
	}
	if (!cl->out.len && cl->out.cap > READ_BYTES)
		mh_buffer_release(&cl->out);
}

static void set_reset_on_close(struct mh_client *cl, bool on)
{
	struct linger linger = { .l_onoff = on };

	cl->resets = on;
	if (setsockopt(cl->watch.fd, SOL_SOCKET, SO_LINGER, &linger,
		       sizeof(linger)))
		mh_event(cl->set->env.log, MH_EV_FAILED,
			 "event=no_linger errno=%d", errno);
}

/* The socket reports that it is writable only once a good part of its buffer is free,
 * which takes a slow client long. */
static int count_unacked(const struct mh_client *cl)
{
	int n = 0;

	return ioctl(cl->watch.fd, SIOCOUTQ, &n) ? 0 : n;
}

/* A response that the client does not read ends after the same time as a connection
 * on which it sends nothing. */
static void set_write_timer(struct mh_client *cl)
{
	cl->unacked = count_unacked(cl);
	mh_client_set_timer(cl, cl->set->limits.idle_timeout_ms * MH_NS_PER_MS);
}

static void close_or_read_next(struct mh_client *cl)
{
	struct mh_clients *set = cl->set;

	if (cl->out.len) {
		update_watch(cl);
		return;
	}
	if (cl->unread) {
		if (cl->usage.stage != MH_CLIENT_LEAVING)
			mh_client_linger(cl);
		update_watch(cl);
		return;
	}
	if (cl->close_after) {
		if (cl->resets)
			set_reset_on_close(cl, false);
		mh_client_free(cl);
		return;
	}
	mh_client_budget_set_stage(&set->budget, &cl->usage, MH_CLIENT_IDLE);
	begin_reading(cl);
	mh_client_count_bytes(cl);
	update_watch(cl);
	if (cl->in.len)
		mh_timer_set(set->env.timers, &cl->next_timer, now_of(cl));
}

/* Return: whether the connection may go on to read; it may be closed if not. */
static bool on_writable(struct mh_client *cl)
{
	struct mh_clients *set = cl->set;
	size_t unsent = cl->out.len;

	write_socket(cl);
	mh_client_count_bytes(cl);
	if (cl->state == CLIENT_ENDING) {
		if (cl->out.len < unsent && !cl->unread)
			set_write_timer(cl);
		close_or_read_next(cl);
		return false;
	}
	update_watch(cl);
	if (cl->congested && cl->out.len < max_unsent_bytes(set) / 2) {
		cl->congested = false;
		set->ops->drained(set->data, cl);
		return false;
	}
	return true;
}

static void on_ready(void *data, uint32_t events)
{
	struct mh_client *cl = data;

	if ((events & EPOLLOUT) && !on_writable(cl))
		return;
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR | EPOLLRDHUP))
		read_socket(cl);
}

static void on_timeout(void *data)
{
	struct mh_client *cl = data;

	if (cl->state == CLIENT_READING && !mh_http_reader_idle(&cl->reader))
		reject(cl, MH_ERR_NOT_READ);
	else if (cl->state == CLIENT_ENDING && !cl->unread &&
		 count_unacked(cl) < cl->unacked)
		set_write_timer(cl);
	else
		close_client(cl);
}

static void add_client(struct mh_clients *set, int fd)
{
	struct mh_client *cl = calloc(1, sizeof(*cl));

	if (!cl)
		abort();
	cl->set = set;
	cl->watch.fd = fd;
	cl->watch.ready = on_ready;
	cl->watch.data = cl;
	cl->watched_events = EPOLLIN;
	mh_timer_init(&cl->timer, on_timeout, cl);
	mh_timer_init(&cl->next_timer, on_next, cl);
	mh_http_reader_init(&cl->reader, HTTP_REQUEST,
			    set->limits.max_head_bytes, &http_ops, cl);
	DL_APPEND(set->all, cl);
	set->n_open++;
	mh_client_budget_add(&set->budget, &cl->usage, 0);
	mh_client_count_bytes(cl);
	mh_count(set->env.counters, MH_C_CLIENTS);
	if (mh_loop_add(set->env.loop, &cl->watch, EPOLLIN)) {
		mh_event(set->env.log, MH_EV_FAILED, "event=no_watch errno=%d",
			 errno);
		mh_client_free(cl);
		return;
	}
	begin_reading(cl);
}

static void on_accept(void *data, uint32_t events)
{
	struct mh_clients *set = data;
	int i, fd;

	(void)events;
	for (i = 0; i < MAX_ACCEPTS_PER_EVENT; i++) {
		fd = mh_socket_accept(set->listener.fd);
		if (fd < 0 && errno != EMFILE && errno != ENFILE)
			break;
		if (fd < 0) {
			if (mh_clients_make_room(set))
				continue;
			mh_clients_pause_accepting(set);
			break;
		}
		if (mh_client_budget_is_full(&set->budget) &&
		    !mh_clients_make_room(set))
			mh_clients_turn_away(set, fd);
		else
			add_client(set, fd);
	}
}

/* What the largest allowed request needs, with the response to it. */
static void set_request_bytes(struct mh_clients *set)
{
	mh_client_budget_set_request(&set->budget,
				     (uint64_t)set->limits.max_body_bytes +
					     2ull * set->limits.max_head_bytes +
					     MAX_UNSENT_BYTES_PER_CLIENT);
}

struct mh_clients *mh_clients_new(const struct mh_client_env *env,
				  const char *address,
				  const struct mh_client_ops *ops, void *data)
{
	struct mh_clients *set = calloc(1, sizeof(*set));

	if (!set)
		abort();
	set->env = *env;
	set->ops = ops;
	set->data = data;
	set->limits.max_head_bytes = DEFAULT_MAX_HEAD_BYTES;
	set->limits.max_body_bytes = DEFAULT_MAX_BODY_BYTES;
	set->limits.head_timeout_ms = DEFAULT_HEAD_TIMEOUT_MS;
	set->limits.idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
	mh_client_budget_init(&set->budget, &env->budget, env->clock);
	set_request_bytes(set);
	mh_timer_init(&set->accept_timer, mh_clients_accept_again, set);
	set->listener.ready = on_accept;
	set->listener.data = set;
	set->listener.fd = mh_socket_listen(address, LISTEN_BACKLOG);
	if (set->listener.fd < 0)
		goto err;
	if (mh_loop_add(env->loop, &set->listener, EPOLLIN)) {
		close(set->listener.fd);
		goto err;
	}
	return set;
err:
	free(set);
	return NULL;
}

static void stop_listening(struct mh_clients *set)
{
	if (set->listener.fd < 0)
		return;
	mh_timer_clear(set->env.timers, &set->accept_timer);
	mh_loop_remove(set->env.loop, &set->listener);
	close(set->listener.fd);
	set->listener.fd = -1;
}

void mh_clients_free(struct mh_clients *set)
{
	if (!set)
		return;
	stop_listening(set);
	while (set->all)
		mh_client_free(set->all);
	free(set);
}

void mh_clients_set_limits(struct mh_clients *set,
			   const struct mh_limits *limits)
{
	set->limits = *limits;
	set_request_bytes(set);
}

const struct mh_client_budget *mh_clients_budget(const struct mh_clients *set)
{
	return &set->budget;
}

void mh_clients_disable_keep_alive(struct mh_clients *set)
{
	struct mh_client *cl;

	set->keep_alive_disabled = true;
	DL_FOREACH(set->all, cl)
		cl->close_after = true;
}

void mh_clients_close_idle(struct mh_clients *set)
{
	struct mh_client *cl, *next;

	stop_listening(set);
	DL_FOREACH_SAFE(set->all, cl, next) {
		if (cl->state == CLIENT_READING &&
		    mh_http_reader_idle(&cl->reader))
			mh_client_free(cl);
	}
}

uint32_t mh_clients_count(const struct mh_clients *set)
{
	return set->n_open;
}

void mh_client_set_data(struct mh_client *cl, void *data)
{
	cl->data = data;
}

void *mh_client_data(const struct mh_client *cl)
{
	return cl->data;
}

struct mh_buffer *mh_client_out(struct mh_client *cl)
{
	return &cl->out;
}

bool mh_client_will_close(const struct mh_client *cl)
{
	return cl->close_after;
}

void mh_client_ends_by_close(struct mh_client *cl)
{
	cl->close_after = true;
	set_reset_on_close(cl, true);
}

void mh_client_flush(struct mh_client *cl)
{
	write_socket(cl);
	mh_client_count_bytes(cl);
	if (cl->out.len > max_unsent_bytes(cl->set))
		cl->congested = true;
	update_watch(cl);
}

bool mh_client_is_congested(const struct mh_client *cl)
{
	return cl->congested;
}

void mh_client_finish(struct mh_client *cl)
{
	cl->state = CLIENT_ENDING;
	cl->congested = false;
	cl->data = NULL;
	write_socket(cl);
	if (cl->out.len)
		set_write_timer(cl);
	close_or_read_next(cl);
}

void mh_client_abort(struct mh_client *cl)
{
	/* The bytes written so far are delivered; the missing end shows the
	 * client that the response is incomplete. */
	cl->state = CLIENT_ENDING;
	cl->data = NULL;
	write_socket(cl);
	mh_client_free(cl);
}
