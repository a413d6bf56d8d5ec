/*
 * TCP relay on loopback that cuts connections.
 *
 * relay PORT TARGET-PORT FLAG-FILE silent|reset [TEXT]
 *
 * While the flag file exists, connections are cut: "silent" holds their bytes in
 * both directions and opens no new ones to the target, as a partition does;
 * "reset" resets them and each new one. With TEXT only connections are cut whose
 * first bytes from the client contain it.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BLOCK_BYTES 65536
#define POLL_INTERVAL_MS 10

struct relay {
	uint16_t target;
	const char *flag;
	bool resets;
	const char *text; /* NULL: all connections are cut */
};

struct conn {
	const struct relay *relay;
	int client;
	int target;
	bool chosen;
	uint8_t block[BLOCK_BYTES];
};

static struct sockaddr_in loopback(uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(port) };

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return sa;
}

static bool is_cut(const struct conn *c)
{
	return c->chosen && !access(c->relay->flag, F_OK);
}

static void reset_on_close(int fd)
{
	struct linger abort_on_close = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort_on_close,
		   sizeof(abort_on_close));
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

static bool connect_target(struct conn *c)
{
	struct sockaddr_in sa = loopback(c->relay->target);

	c->target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	return c->target >= 0 &&
	       !connect(c->target, (struct sockaddr *)&sa, sizeof(sa));
}

/* Waits until one side has bytes, or a cut begins or ends.
 * Return: false if the connection ends. */
static bool forward_once(struct conn *c)
{
	struct pollfd fds[] = { { .fd = c->client, .events = POLLIN },
				{ .fd = c->target, .events = POLLIN } };
	int i;

	if (is_cut(c)) {
		if (c->relay->resets)
			return false;
		poll(NULL, 0, POLL_INTERVAL_MS);
		return true;
	}
	if (poll(fds, 2, POLL_INTERVAL_MS) <= 0 || is_cut(c))
		return true;
	for (i = 0; i < 2; i++) {
		ssize_t n;

		if (!fds[i].revents)
			continue;
		n = recv(fds[i].fd, c->block, sizeof(c->block), 0);
		if (n <= 0 || !send_all(fds[1 - i].fd, c->block, n))
			return false;
	}
	return true;
}

static void *serve(void *data)
{
	struct conn *c = data;
	const char *text = c->relay->text;
	ssize_t n;

	c->chosen = !text;
	if (text) {
		n = recv(c->client, c->block, sizeof(c->block), MSG_PEEK);
		c->chosen = n > 0 &&
			    memmem(c->block, (size_t)n, text, strlen(text));
	}
	while (is_cut(c) && !c->relay->resets)
		poll(NULL, 0, POLL_INTERVAL_MS);
	if (!is_cut(c) && connect_target(c)) {
		while (forward_once(c))
			;
	}
	if (is_cut(c)) {
		reset_on_close(c->client);
		reset_on_close(c->target);
	}
	close(c->client);
	if (c->target >= 0)
		close(c->target);
	free(c);
	return NULL;
}

int main(int argc, char **argv)
{
	struct sockaddr_in sa;
	struct relay r;
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	if (argc < 5)
		return 2;
	r = (struct relay){ (uint16_t)atoi(argv[2]), argv[3],
			    !strcmp(argv[4], "reset"),
			    argc > 5 ? argv[5] : NULL };
	sa = loopback((uint16_t)atoi(argv[1]));
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(listener, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(listener, 256)) {
		perror("relay");
		return 2;
	}
	for (;;) {
		struct conn *c = calloc(1, sizeof(*c));
		pthread_t thread;

		if (!c)
			return 2;
		c->relay = &r;
		c->target = -1;
		c->client = accept(listener, NULL, NULL);
		if (c->client < 0 || pthread_create(&thread, NULL, serve, c)) {
			free(c);
			continue;
		}
		pthread_detach(thread);
	}
}
