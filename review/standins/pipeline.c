/*
 * A client that sends further requests on its connection before it has read the
 * response to the first one, as HTTP/1.1 allows for idempotent requests.
 *
 * pipeline PORT BYTES-A-TICK PREFIX KB
 *
 * Sends GET /again/big-KB and then, once in each tick of 20 ms, GET /again/ok, until
 * half a second after the first response is read. It reads at most BYTES-A-TICK in a tick, 0 for no
 * such limit. Prints a line for each request: its id and that of the response
 * that came in its place, "none" if no response came within 3 s.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define TICK_NS 20000000l
#define MAX_REQUESTS 1000
#define MORE_TICKS 25
#define LAST_TICKS 150
#define RECEIVE_BUFFER_BYTES 65536
#define READ_BYTES 65536
#define HEAD_BYTES 4096

static struct {
	int fd;
	const char *prefix;
	int sent;
	int answered;
	size_t body_left;
	char head[HEAD_BYTES + 1];
	size_t head_len;
	bool closed;
} client;

static void send_request(const char *path)
{
	char text[512];
	int n = snprintf(text, sizeof(text),
			 "GET %s HTTP/1.1\r\nHost: h.example\r\n"
			 "X-Mangohead-Request-Id: %s-%d\r\n"
			 "X-Mangohead-Deadline-Ms: 30000\r\n"
			 "Api-Key: key-1\r\n\r\n",
			 path, client.prefix, client.sent);

	if (client.sent < MAX_REQUESTS &&
	    send(client.fd, text, (size_t)n, MSG_NOSIGNAL | MSG_DONTWAIT) == n)
		client.sent++;
}

static void on_head(void)
{
	const char *id = strcasestr(client.head, "\r\nX-Mangohead-Request-Id:");
	const char *len = strcasestr(client.head, "\r\nContent-Length:");
	char value[128] = "-";
	int status = 0;

	sscanf(client.head, "HTTP/1.1 %d", &status);
	if (id)
		sscanf(strchr(id, ':'), ": %127[^\r\n]", value);
	client.body_left = len ? strtoul(strchr(len, ':') + 1, NULL, 10) : 0;
	printf("request %s-%d response %s status %d\n", client.prefix,
	       client.answered++, value, status);
	client.head_len = 0;
}

static void on_bytes(const char *p, size_t len)
{
	while (len) {
		size_t n = len < client.body_left ? len : client.body_left;

		client.body_left -= n;
		p += n;
		len -= n;
		if (!len)
			return;
		if (client.head_len == HEAD_BYTES) {
			client.closed = true;
			return;
		}
		client.head[client.head_len++] = *p++;
		client.head[client.head_len] = '\0';
		len--;
		if (client.head_len >= 4 &&
		    !strcmp(client.head + client.head_len - 4, "\r\n\r\n"))
			on_head();
	}
}

static void read_for_a_tick(size_t limit)
{
	static char bytes[READ_BYTES];
	size_t sum = 0;

	while (!client.closed && (!limit || sum < limit)) {
		size_t room = limit && limit - sum < sizeof(bytes) ?
				      limit - sum :
				      sizeof(bytes);
		ssize_t n = recv(client.fd, bytes, room, MSG_DONTWAIT);

		if (n < 0 && errno == EAGAIN)
			return;
		if (n <= 0) {
			client.closed = true;
			return;
		}
		sum += (size_t)n;
		on_bytes(bytes, (size_t)n);
	}
}

int main(int argc, char **argv)
{
	struct timespec tick = { 0, TICK_NS };
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int buffer_bytes = RECEIVE_BUFFER_BYTES, i, last = 0;
	char path[64];
	size_t limit;

	if (argc != 5)
		return 2;
	limit = strtoul(argv[2], NULL, 10);
	client.prefix = argv[3];
	sa.sin_port = htons((uint16_t)atoi(argv[1]));
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	client.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(client.fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
	if (connect(client.fd, (struct sockaddr *)&sa, sizeof(sa))) {
		perror("pipeline");
		return 2;
	}
	snprintf(path, sizeof(path), "/again/big-%d", atoi(argv[4]));
	send_request(path);
	while (!client.closed && last < LAST_TICKS &&
	       (last < MORE_TICKS ||
		client.answered - !!client.body_left < client.sent)) {
		nanosleep(&tick, NULL);
		read_for_a_tick(limit);
		/* The first response ends when the second one begins, or all
		 * of its bytes are read. */
		if (client.answered > 1 ||
		    (client.answered && !client.body_left))
			last++;
		if (last < MORE_TICKS)
			send_request("/again/ok");
	}
	for (i = client.answered; i < client.sent; i++)
		printf("request %s-%d response none%s\n", client.prefix, i,
		       client.closed ? " (closed)" : "");
	return 0;
}
