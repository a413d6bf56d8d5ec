#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "tests/soak/soak.h"

#define BLOCK_BYTES 16384
#define LOOK_MS 5
#define STACK_BYTES (64u << 10)

struct relay {
	uint32_t target;
	int listener;
	uint32_t delay_ms;
	bool cut_to;
	bool cut_back;
	uint32_t resets; /* number of times that all connections were reset */
	pthread_mutex_t lock;
	struct pair *pairs;
};

struct pair {
	struct relay *relay;
	int client;
	int target;
	uint32_t resets; /* of the relay, when it began */
	int refs;
	struct pair *prev, *next;
};

/* One direction of a connection. */
struct way {
	struct pair *pair;
	int from;
	int to;
	const bool *cut;
};

static void unref(struct pair *p)
{
	struct linger now = { 1, 0 };

	if (__atomic_sub_fetch(&p->refs, 1, __ATOMIC_ACQ_REL))
		return;
	pthread_mutex_lock(&p->relay->lock);
	DL_DELETE(p->relay->pairs, p);
	pthread_mutex_unlock(&p->relay->lock);
	if (__atomic_load_n(&p->relay->resets, __ATOMIC_RELAXED) != p->resets) {
		setsockopt(p->client, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		setsockopt(p->target, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	}
	close(p->client);
	close(p->target);
	free(p);
}

static bool was_reset(const struct pair *p)
{
	return __atomic_load_n(&p->relay->resets, __ATOMIC_RELAXED) !=
	       p->resets;
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

/* Bytes that are cut off wait, as they do in a network that loses them. */
static void *pass_on(void *data)
{
	struct way *w = data;
	struct pair *p = w->pair;
	uint8_t block[BLOCK_BYTES];
	ssize_t n;

	while ((n = recv(w->from, block, sizeof(block), 0)) > 0) {
		uint32_t delay_ms =
			__atomic_load_n(&p->relay->delay_ms, __ATOMIC_RELAXED);

		soak_sleep_ms(delay_ms);
		while (__atomic_load_n(w->cut, __ATOMIC_RELAXED) &&
		       !was_reset(p))
			soak_sleep_ms(LOOK_MS);
		if (was_reset(p) || !send_all(w->to, block, n))
			break;
	}
	/* An orderly end is passed on; after a reset both ways end. */
	if (n || was_reset(p)) {
		shutdown(p->client, SHUT_RDWR);
		shutdown(p->target, SHUT_RDWR);
	} else {
		shutdown(w->to, SHUT_WR);
	}
	free(w);
	unref(p);
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

static void start_way(struct pair *p, int from, int to, const bool *cut)
{
	struct way *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
	*w = (struct way){ p, from, to, cut };
	if (spawn(pass_on, w))
		return;
	free(w);
	unref(p);
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

static void *serve_pair(void *data)
{
	struct pair *p = data;
	struct relay *r = p->relay;

	/* A target that is cut off is not seen to refuse connections. */
	while (__atomic_load_n(&r->cut_to, __ATOMIC_RELAXED) && !was_reset(p))
		soak_sleep_ms(LOOK_MS);
	p->target = was_reset(p) ? -1 : soak_connect(r->target);
	if (p->target < 0) {
		close(p->client);
		free(p);
		return NULL;
	}
	p->refs = 2;
	pthread_mutex_lock(&r->lock);
	DL_APPEND(r->pairs, p);
	pthread_mutex_unlock(&r->lock);
	start_way(p, p->client, p->target, &r->cut_to);
	start_way(p, p->target, p->client, &r->cut_back);
	return NULL;
}

static void *serve(void *data)
{
	struct relay *r = data;
	int fd;

	while ((fd = accept4(r->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		struct pair *p = calloc(1, sizeof(*p));

		if (!p)
			abort();
		p->relay = r;
		p->client = fd;
		p->resets = __atomic_load_n(&r->resets, __ATOMIC_RELAXED);
		if (!spawn(serve_pair, p)) {
			close(fd);
			free(p);
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
	    listen(r->listener, 256) || !spawn(serve, r)) {
		perror("relay");
		close(r->listener);
		free(r);
		return NULL;
	}
	return r;
}

void relay_reset(struct relay *r)
{
	struct pair *p;

	__atomic_add_fetch(&r->resets, 1, __ATOMIC_RELAXED);
	pthread_mutex_lock(&r->lock);
	DL_FOREACH(r->pairs, p) {
		shutdown(p->client, SHUT_RD);
		shutdown(p->target, SHUT_RD);
	}
	pthread_mutex_unlock(&r->lock);
}

void relay_delay(struct relay *r, uint32_t ms)
{
	__atomic_store_n(&r->delay_ms, ms, __ATOMIC_RELAXED);
}

void relay_block(struct relay *r, bool to, bool back)
{
	__atomic_store_n(&r->cut_to, to, __ATOMIC_RELAXED);
	__atomic_store_n(&r->cut_back, back, __ATOMIC_RELAXED);
}
