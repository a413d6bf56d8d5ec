/*
 * Backend server of a plain service on loopback.
 *
 * server PORT ID
 *
 * Answers GET requests: a path that ends with /big-N with N KB, others with some
 * bytes; each line of a body contains the request's id. Prints a line for each
 * request: time (CLOCK_BOOTTIME, ms), id, target, "run" or the status of a
 * refusal. Each connection has a thread of its own.
 */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_BYTES 16384
#define LINE_BYTES 64
#define LINES_PER_KB (1024 / LINE_BYTES)

static const char *instance;

static long long now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return ts.tv_sec * 1000ll + ts.tv_nsec / 1000000;
}

static bool send_all(int fd, const char *bytes, size_t len)
{
	while (len) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		len -= (size_t)n;
	}
	return true;
}

/* Copies the value of a header field, "-" if there is none. */
static void find_field(const char *head, const char *name, char value[128])
{
	const char *p = strcasestr(head, name);

	if (!p || sscanf(p + strlen(name), ": %127[^\r\n]", value) != 1)
		strcpy(value, "-");
}

static bool answer(int fd, const char *head)
{
	char id[128], expected[128], target[256] = "", fields[512], line[256];
	const char *big;
	int lines = 2, n, i;
	bool ok;

	find_field(head, "\r\nX-Mangohead-Request-Id", id);
	find_field(head, "\r\nX-Mangohead-Expect-Instance", expected);
	if (sscanf(head, "%*s %255s", target) != 1)
		return false;
	if (strcmp(expected, instance)) {
		printf("%lld %s %s 421\n", now_ms(), id, target);
		n = snprintf(fields, sizeof(fields),
			     "HTTP/1.1 421 X\r\nX-Mangohead-Request-Id: %s\r\n"
			     "X-Mangohead-Not-Executed: 1\r\n"
			     "Content-Length: 0\r\n\r\n",
			     id);
		return send_all(fd, fields, (size_t)n);
	}
	printf("%lld %s %s run\n", now_ms(), id, target);
	big = strstr(target, "/big-");
	if (big)
		lines = atoi(big + strlen("/big-")) * LINES_PER_KB;
	n = snprintf(fields, sizeof(fields),
		     "HTTP/1.1 200 OK\r\nX-Mangohead-Request-Id: %s\r\n"
		     "X-Mangohead-Response-Signature: s.1\r\n"
		     "Keep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n",
		     id, lines * LINE_BYTES);
	ok = send_all(fd, fields, (size_t)n);
	snprintf(line, sizeof(line), "%-*.40s\n", LINE_BYTES - 1, id);
	for (i = 0; i < lines && ok; i++)
		ok = send_all(fd, line, LINE_BYTES);
	return ok;
}

static void *serve(void *data)
{
	int fd = (int)(intptr_t)data;
	char head[HEAD_BYTES + 1];
	size_t len = 0;
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	for (;;) {
		ssize_t n = recv(fd, head + len, HEAD_BYTES - len, 0);
		char *end;

		if (n <= 0)
			break;
		len += (size_t)n;
		head[len] = '\0';
		end = strstr(head, "\r\n\r\n");
		if (!end && len == HEAD_BYTES)
			break;
		if (!end)
			continue;
		end[2] = '\0';
		if (!answer(fd, head))
			break;
		/* The proxy sends one request at a time, without a body. */
		len = 0;
	}
	close(fd);
	return NULL;
}

int main(int argc, char **argv)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	if (argc != 3)
		return 2;
	instance = argv[2];
	sa.sin_port = htons((uint16_t)atoi(argv[1]));
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setvbuf(stdout, NULL, _IOLBF, 0);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(listener, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(listener, 256)) {
		perror("server");
		return 2;
	}
	for (;;) {
		int fd = accept(listener, NULL, NULL);
		pthread_t thread;

		if (fd < 0)
			continue;
		if (pthread_create(&thread, NULL, serve, (void *)(intptr_t)fd))
			close(fd);
		else
			pthread_detach(thread);
	}
}
