#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "tests/soak/soak.h"

#define BLOCK_BYTES 16384
#define POLL_INTERVAL_MS 5
#define STACK_BYTES (64u << 10)
/* The handshake of a link begins with the name of the host. */
#define FIRST_BYTES 256

struct relay {
	uint32_t target;
	int listener;
	uint32_t delay_ms;
	bool block_to_target;
	bool block_from_target;
	char blocked_peer[32]; /* whose connections are held, "" for none */
	uint32_t resets;       /* how often all connections were reset */
	pthread_mutex_t lock;
	struct relay_conn *conns;
};

struct relay_conn {
	struct relay *relay;
	int client;
	int target;
	uint32_t resets; /* count of the relay when the connection began */
	bool broken;	 /* both sockets are reset when they are closed */
	char first[FIRST_BYTES]; /* bytes of the client, with its name */
	size_t n_first;
	int refs;
	struct relay_conn *prev, *next;
};

/* One direction of a connection. */
struct direction {
	struct relay_conn *relay_conn;
	int from;
	int to;
	const bool *blocked;
};

static void unref(struct relay_conn *conn)
{
	if (__atomic_sub_fetch(&conn->refs, 1, __ATOMIC_ACQ_REL))
		return;
	pthread_mutex_lock(&conn->relay->lock);
	DL_DELETE(conn->relay->conns, conn);
	pthread_mutex_unlock(&conn->relay->lock);
	close(conn->client);
	close(conn->target);
	free(conn);
}

static bool was_reset(const struct relay_conn *conn)
{
	return __atomic_load_n(&conn->relay->resets, __ATOMIC_RELAXED) !=
	       conn->resets;
}

static bool send_all(int fd, const uint8_t *bytes, ssize_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, bytes, (size_t)len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		len -= n;
	}
	return true;
}

/* Makes the close of both sockets a reset, and wakes the other direction. */
static void break_conn(struct relay_conn *conn)
{
	struct linger abort_on_close = { 1, 0 };
	int fds[] = { conn->client, conn->target }, i;

	__atomic_store_n(&conn->broken, true, __ATOMIC_RELEASE);
	for (i = 0; i < 2; i++) {
		setsockopt(fds[i], SOL_SOCKET, SO_LINGER, &abort_on_close,
			   sizeof(abort_on_close));
		shutdown(fds[i], SHUT_RD);
	}
}

static bool is_blocked_peer(struct relay_conn *conn)
{
	struct relay *r = conn->relay;
	size_t len;
	bool blocked;

	pthread_mutex_lock(&r->lock);
	len = strlen(r->blocked_peer);
	blocked =
		len && memmem(conn->first, conn->n_first, r->blocked_peer, len);
	pthread_mutex_unlock(&r->lock);
	return blocked;
}

static void keep_first(struct relay_conn *conn, const uint8_t *bytes, ssize_t n)
{
	size_t room = sizeof(conn->first) - conn->n_first;
	size_t len = (size_t)n < room ? (size_t)n : room;

	pthread_mutex_lock(&conn->relay->lock);
	memcpy(conn->first + conn->n_first, bytes, len);
	conn->n_first += len;
	pthread_mutex_unlock(&conn->relay->lock);
}

/* Forwards one direction. Blocked bytes are held back: to the peers this looks
 * like a network that loses packets and then delivers the retransmissions. */
static void *forward(void *data)
{
	struct direction *dir = data;
	struct relay_conn *conn = dir->relay_conn;
	uint8_t block[BLOCK_BYTES];
	ssize_t n;

	while ((n = recv(dir->from, block, sizeof(block), 0)) > 0) {
		uint32_t delay_ms = __atomic_load_n(&conn->relay->delay_ms,
						    __ATOMIC_RELAXED);

		if (dir->from == conn->client)
			keep_first(conn, block, n);
		soak_sleep_ms(delay_ms);
		while ((__atomic_load_n(dir->blocked, __ATOMIC_RELAXED) ||
			is_blocked_peer(conn)) &&
		       !was_reset(conn))
			soak_sleep_ms(POLL_INTERVAL_MS);
		if (was_reset(conn) || !send_all(dir->to, block, n))
			break;
	}
	/* An orderly close is forwarded; an error or a reset resets both
	 * connections. */
	if (n || was_reset(conn))
		break_conn(conn);
	else if (!__atomic_load_n(&conn->broken, __ATOMIC_ACQUIRE))
		shutdown(dir->to, SHUT_WR);
	free(dir);
	unref(conn);
	return NULL;
}

static bool spawn(void *(*run)(void *data), void *data)
{
	pthread_attr_t attr;
	pthread_t thread;
	int rc;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	rc = pthread_create(&thread, &attr, run, data);
	pthread_attr_destroy(&attr);
	return !rc;
}

static void start_direction(struct relay_conn *conn, int from, int to,
			    const bool *blocked)
{
	struct direction *dir = calloc(1, sizeof(*dir));

	if (!dir)
		abort();
	*dir = (struct direction){ conn, from, to, blocked };
	if (spawn(forward, dir))
		return;
	free(dir);
	unref(conn);
}

int soak_connect(uint32_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa))) {
		close(fd);
		return -1;
	}
	return fd;
}

static void *serve_conn(void *data)
{
	struct relay_conn *conn = data;
	struct relay *r = conn->relay;

	/* While the target is blocked, the client must not see it refuse
	 * connections. */
	while (__atomic_load_n(&r->block_to_target, __ATOMIC_RELAXED) &&
	       !was_reset(conn))
		soak_sleep_ms(POLL_INTERVAL_MS);
	conn->target = was_reset(conn) ? -1 : soak_connect(r->target);
	if (conn->target < 0) {
		close(conn->client);
		free(conn);
		return NULL;
	}
	conn->refs = 2;
	pthread_mutex_lock(&r->lock);
	DL_APPEND(r->conns, conn);
	pthread_mutex_unlock(&r->lock);
	start_direction(conn, conn->client, conn->target, &r->block_to_target);
	start_direction(conn, conn->target, conn->client,
			&r->block_from_target);
	return NULL;
}

static void *accept_loop(void *data)
{
	struct relay *r = data;
	int fd;

	while ((fd = accept4(r->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		struct relay_conn *conn = calloc(1, sizeof(*conn));

		if (!conn)
			abort();
		conn->relay = r;
		conn->client = fd;
		conn->resets = __atomic_load_n(&r->resets, __ATOMIC_RELAXED);
		if (!spawn(serve_conn, conn)) {
			close(fd);
			free(conn);
		}
	}
	return NULL;
}

struct relay *relay_new(uint32_t port, uint32_t target)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	struct relay *r = calloc(1, sizeof(*r));
	int one = 1;

	if (!r)
		abort();
	r->target = target;
	pthread_mutex_init(&r->lock, NULL);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	r->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(r->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(r->listener, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(r->listener, 256) || !spawn(accept_loop, r)) {
		perror("relay");
		close(r->listener);
		free(r);
		return NULL;
	}
	return r;
}

void relay_reset(struct relay *r)
{
	struct relay_conn *conn;

	__atomic_add_fetch(&r->resets, 1, __ATOMIC_RELAXED);
	pthread_mutex_lock(&r->lock);
	DL_FOREACH(r->conns, conn) {
		shutdown(conn->client, SHUT_RD);
		shutdown(conn->target, SHUT_RD);
	}
	pthread_mutex_unlock(&r->lock);
}

void relay_delay(struct relay *r, uint32_t ms)
{
	__atomic_store_n(&r->delay_ms, ms, __ATOMIC_RELAXED);
}

void relay_block_peer(struct relay *r, const char *peer)
{
	pthread_mutex_lock(&r->lock);
	snprintf(r->blocked_peer, sizeof(r->blocked_peer), "%s",
		 peer ? peer : "");
	pthread_mutex_unlock(&r->lock);
}

void relay_block(struct relay *r, bool to_target, bool from_target)
{
	__atomic_store_n(&r->block_to_target, to_target, __ATOMIC_RELAXED);
	__atomic_store_n(&r->block_from_target, from_target, __ATOMIC_RELAXED);
}
