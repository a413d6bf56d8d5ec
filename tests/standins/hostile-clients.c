/*
 * A crowd of hostile clients: opens connections to one address and sends on each
 * of them the same bytes, of the given kind. It never reads. Prints "sent" once
 * each connection has sent all of its bytes, is closed, or takes no more of them
 * for a while; then keeps the connections open.
 *
 * --address=ip:port --kind=... --connections=n --path=... --key=...
 * --body-bytes=n --head-bytes=n --hold-ms=n
 */
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/check_alloc.h"
#include "core/clock.h"
#include "net/buffer.h"
#include "net/http_server.h"
#include "net/loop.h"
#include "tests/standins/standin.h"

#define POLL_MS 20
/* A connection that takes nothing for this long is held up by its peer. */
#define STALLED_MS 300
#define PIECE_BYTES 1000
#define BLOCK_BYTES 65536
#define SLOW_INTERVAL_MS 20
#define SLOW_BYTES 25
#define CHUNK_BYTES 16384
#define REQUESTS 4000
#define OVER_LIMIT_TIMES 8

/* What each connection sends: prefix, then a unit repeated, then a suffix. */
struct script {
	struct mh_buffer prefix;
	struct mh_buffer unit;
	size_t n_units;
	struct mh_buffer suffix;
	size_t total;
	size_t max_send; /* bytes of one send, 0: as many as fit */
	bool slow;	 /* pauses between sends */
};

struct client {
	int fd;
	size_t sent;
	uint64_t moved_ms;
	bool ended;
};

struct request {
	const char *path;
	const char *key;
	size_t body_bytes;
	size_t head_bytes;
};

static uint64_t now_ms(void)
{
	return mh_clock_mono_ns(&mh_system_clock) / MH_NS_PER_MS;
}

static void add_fill(struct mh_buffer *b, size_t n)
{
	mh_check_alloc(mh_buffer_reserve(b, n + 1) ? b : NULL);
	memset(mh_buffer_back(b), 'x', n);
	b->len += n;
}

static void add_head(struct script *s, const struct request *req,
		     const char *framing)
{
	mh_buffer_printf(&s->prefix,
			 "POST %s HTTP/1.1\r\nHost: h.example\r\n"
			 "Api-Key: %s\r\nAuthorization: Bearer %s\r\n"
			 "Content-Type: application/json\r\n"
			 "X-Mangohead-Deadline-Ms: 4000\r\n%s",
			 req->path, req->key, req->key, framing);
}

static void add_length(struct script *s, const struct request *req, size_t n)
{
	char field[64];

	snprintf(field, sizeof(field), "Content-Length: %zu\r\n\r\n", n);
	add_head(s, req, field);
}

static void add_chunks(struct script *s, const struct request *req, size_t n,
		       size_t total)
{
	add_head(s, req, "Transfer-Encoding: chunked\r\n\r\n");
	mh_buffer_printf(&s->unit, "%zx\r\n", n);
	add_fill(&s->unit, n);
	mh_buffer_printf(&s->unit, "\r\n");
	s->n_units = (total - 1) / n;
}

static void build_body(struct script *s, const struct request *req,
		       const char *kind)
{
	size_t n = req->body_bytes;

	if (!strcmp(kind, "chunks")) {
		add_chunks(s, req, CHUNK_BYTES, n);
	} else if (!strcmp(kind, "byte-chunks")) {
		add_chunks(s, req, 1, n);
	} else if (!strcmp(kind, "over-chunks")) {
		add_chunks(s, req, CHUNK_BYTES, n * OVER_LIMIT_TIMES);
	} else if (!strcmp(kind, "extension")) {
		add_head(s, req, "Transfer-Encoding: chunked\r\n\r\n1;name=");
		add_fill(&s->unit, CHUNK_BYTES);
		s->n_units = n / CHUNK_BYTES;
	} else if (!strcmp(kind, "trailer")) {
		add_head(s, req,
			 "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n");
		mh_buffer_printf(&s->unit, "a:b\r\n");
		s->n_units = n / s->unit.len;
	} else {
		add_length(s, req,
			   strcmp(kind, "over") ? n : n * OVER_LIMIT_TIMES);
		add_fill(&s->unit, PIECE_BYTES);
		s->n_units = (n - 1) / PIECE_BYTES;
		if (!strcmp(kind, "over"))
			s->n_units *= OVER_LIMIT_TIMES;
		/* All but "whole" stop a byte short. */
		add_fill(&s->suffix,
			 (n - 1) % PIECE_BYTES + !strcmp(kind, "whole"));
		if (!strcmp(kind, "pieces"))
			s->max_send = PIECE_BYTES;
	}
}

/* A whole request without a body, whose response is not read. */
static void add_whole(struct mh_buffer *b, const struct request *req)
{
	mh_buffer_printf(b,
			 "GET %s HTTP/1.1\r\nHost: h.example\r\nApi-Key: %s\r\n"
			 "\r\n",
			 req->path, req->key);
}

static bool build(struct script *s, const struct request *req, const char *kind)
{
	static const char *const bodies[] = {
		"body",	       "pieces",    "chunks", "byte-chunks", "over",
		"over-chunks", "extension", "whole",  "trailer"
	};
	uint32_t len;
	size_t i;

	for (i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++) {
		if (!strcmp(kind, bodies[i])) {
			build_body(s, req, kind);
			return true;
		}
	}
	if (!strcmp(kind, "fields") || !strcmp(kind, "open-head")) {
		add_head(s, req, "");
		mh_buffer_printf(&s->unit, "a:b\r\n");
		s->n_units =
			(req->head_bytes - s->prefix.len) / s->unit.len - 1;
		if (!strcmp(kind, "fields"))
			mh_buffer_printf(&s->suffix, "\r\n");
	} else if (!strcmp(kind, "pipeline")) {
		add_whole(&s->unit, req);
		s->n_units = REQUESTS;
	} else if (!strcmp(kind, "short-pipeline")) {
		mh_buffer_printf(&s->unit, "GET / HTTP/1.1\r\nHost:\r\n\r\n");
		s->n_units = REQUESTS * 8;
	} else if (!strcmp(kind, "unread")) {
		add_whole(&s->prefix, req);
	} else if (!strcmp(kind, "slow-head") || !strcmp(kind, "slow-body")) {
		if (!strcmp(kind, "slow-body"))
			add_length(s, req, req->body_bytes);
		else
			add_head(s, req, "X-Slow: ");
		add_fill(&s->unit, SLOW_BYTES);
		s->n_units = SLOW_BYTES;
		s->max_send = SLOW_BYTES;
		s->slow = true;
	} else if (!strcmp(kind, "noise")) {
		mh_buffer_printf(&s->unit, "%c%c%cnoise\n", 1, 255, 2);
		s->n_units = req->body_bytes / s->unit.len;
	} else if (!strcmp(kind, "large-frame") ||
		   !strcmp(kind, "open-frame")) {
		/* A link's frame begins with its length. */
		len = htonl(strcmp(kind, "open-frame") ?
				    UINT32_MAX :
				    (uint32_t)req->body_bytes);
		mh_buffer_add(&s->prefix, &len, sizeof(len));
		add_fill(&s->unit, PIECE_BYTES);
		s->n_units = (req->body_bytes - 1) / PIECE_BYTES;
	} else {
		return !strcmp(kind, "silent");
	}
	return true;
}

static void copy_unit(const struct script *s, size_t at, uint8_t *to, size_t n)
{
	size_t i = (at - s->prefix.len) % s->unit.len, part;

	for (; n; n -= part, to += part, i = 0) {
		part = s->unit.len - i < n ? s->unit.len - i : n;
		memcpy(to, mh_buffer_front(&s->unit) + i, part);
	}
}

/* Copies the next bytes of the script. Return: their number. */
static size_t next_bytes(const struct script *s, size_t at, uint8_t *to,
			 size_t max)
{
	size_t units = s->prefix.len + s->n_units * s->unit.len, n;

	if (at < s->prefix.len) {
		n = s->prefix.len - at < max ? s->prefix.len - at : max;
		memcpy(to, mh_buffer_front(&s->prefix) + at, n);
	} else if (at < units) {
		n = units - at < max ? units - at : max;
		copy_unit(s, at, to, n);
	} else {
		n = s->total - at < max ? s->total - at : max;
		memcpy(to, mh_buffer_front(&s->suffix) + (at - units), n);
	}
	return n;
}

static void send_some(const struct script *s, struct client *c)
{
	uint8_t block[BLOCK_BYTES];
	size_t len = next_bytes(s, c->sent, block,
				s->max_send ? s->max_send : sizeof(block));
	ssize_t n = send(c->fd, block, len, MSG_NOSIGNAL | MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		c->ended = true;
		return;
	}
	c->sent += (size_t)n;
	c->moved_ms = now_ms();
	c->ended = c->sent == s->total;
}

static bool run_once(const struct script *s, struct client *clients,
		     struct pollfd *fds, size_t n)
{
	bool moving = false;
	size_t i;

	for (i = 0; i < n; i++) {
		fds[i].fd = clients[i].ended ? -1 : clients[i].fd;
		fds[i].events = POLLOUT;
		fds[i].revents = 0;
	}
	poll(fds, (nfds_t)n, POLL_MS);
	for (i = 0; i < n; i++) {
		if (clients[i].ended)
			continue;
		if (fds[i].revents & (POLLERR | POLLHUP))
			clients[i].ended = true;
		else if (fds[i].revents)
			send_some(s, &clients[i]);
		else if (now_ms() > clients[i].moved_ms + STALLED_MS)
			continue;
		moving |= !clients[i].ended;
	}
	if (s->slow)
		usleep(SLOW_INTERVAL_MS * 1000);
	return moving;
}

static int connect_to(const struct sockaddr_in *sa)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	/* The peer may stop accepting, but its backlog takes the connection or
	 * not: no wait either way. */
	if (fd < 0 || fcntl(fd, F_SETFL, O_NONBLOCK) ||
	    (connect(fd, (const struct sockaddr *)sa, sizeof(*sa)) &&
	     errno != EINPROGRESS))
		return -1;
	return fd;
}

int main(int argc, char **argv)
{
	size_t n = (size_t)standin_number(argc, argv, "connections", 32), i;
	const char *kind = standin_option(argc, argv, "kind", "silent");
	struct request req = {
		.path = standin_option(argc, argv, "path", "/"),
		.key = standin_option(argc, argv, "key", "key-1"),
		.body_bytes = (size_t)standin_number(argc, argv, "body-bytes",
						     4u << 20),
		.head_bytes =
			(size_t)standin_number(argc, argv, "head-bytes", 16384),
	};
	struct client *clients = mh_check_alloc(calloc(n, sizeof(*clients)));
	struct pollfd *fds = mh_check_alloc(calloc(n, sizeof(*fds)));
	struct script s = { 0 };
	struct sockaddr_in sa;

	if (!mh_http_sockaddr(standin_option(argc, argv, "address", ""), &sa) ||
	    !build(&s, &req, kind))
		return 2;
	s.total = s.prefix.len + s.n_units * s.unit.len + s.suffix.len;
	for (i = 0; i < n; i++) {
		clients[i].fd = connect_to(&sa);
		clients[i].ended = clients[i].fd < 0 || !s.total;
		clients[i].moved_ms = now_ms();
	}
	while (run_once(&s, clients, fds, n))
		;
	printf("sent\n");
	fflush(stdout);
	usleep((useconds_t)standin_number(argc, argv, "hold-ms", 0) * 1000);
	return 0;
}
