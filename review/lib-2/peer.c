#include "review/lib-2/peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CONTROL_TIMEOUT_MS 3000
#define FIELD_BYTES 512

static FILE *record_file;
static uint64_t record_began_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

const char *ending_name(enum ending ending)
{
	static const char *const names[] = {
		[ENDED_TIMEOUT] = "open",
		[ENDED_CLOSED] = "closed in order",
		[ENDED_RESET] = "reset",
	};

	return names[ending];
}

uint64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

void sleep_ms(uint32_t ms)
{
	struct timespec ts = { ms / 1000, (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

void record_open(const char *path)
{
	record_began_ms = now_ms();
	record_file = fopen(path, "ae");
	if (!record_file) {
		perror(path);
		exit(CASE_NOT_RUN);
	}
}

void record(const char *fmt, ...)
{
	va_list args;
	char *text = NULL;
	int len;

	va_start(args, fmt);
	len = vasprintf(&text, fmt, args);
	va_end(args);
	if (len < 0)
		abort();
	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%6llu ms  %s\n",
		(unsigned long long)(now_ms() - record_began_ms), text);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
	free(text);
}

static struct sockaddr_in loopback(int port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };

	sa.sin_port = htons((uint16_t)port);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return sa;
}

static void give_up(const char *what)
{
	perror(what);
	exit(CASE_NOT_RUN);
}

int listen_on(int port, int receive_bytes)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
	struct sockaddr_in sa = loopback(port);

	if (fd < 0)
		give_up("socket");
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (receive_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
			   sizeof(receive_bytes));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, 64))
		give_up("listen");
	return fd;
}

int try_connect(int port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in sa = loopback(port);

	if (fd < 0)
		give_up("socket");
	if (!connect(fd, (struct sockaddr *)&sa, sizeof(sa)))
		return fd;
	close(fd);
	return -1;
}

int connect_to(int port)
{
	int fd = try_connect(port);

	if (fd < 0)
		give_up("connect");
	return fd;
}

bool send_bytes(int fd, const void *bytes, size_t len)
{
	const char *p = bytes;

	while (len) {
		ssize_t n = send(fd, p, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		p += n;
		len -= (size_t)n;
	}
	return true;
}

void reset_on_close(int fd)
{
	struct linger now = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

/* Return: what recv() returns; -1 with ETIMEDOUT if nothing came in time. */
static ssize_t receive(int fd, void *to, size_t size, uint32_t timeout_ms)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };

	if (poll(&p, 1, (int)timeout_ms) > 0)
		return recv(fd, to, size, 0);
	errno = ETIMEDOUT;
	return -1;
}

size_t read_head(int fd, char head[HEAD_BYTES], size_t *rest,
		 uint32_t timeout_ms)
{
	uint64_t until_ms = now_ms() + timeout_ms;
	size_t len = 0;

	for (;;) {
		uint64_t at_ms = now_ms();
		const char *end;
		ssize_t n;

		if (len == HEAD_BYTES - 1 || at_ms >= until_ms)
			return 0;
		n = receive(fd, head + len, HEAD_BYTES - 1 - len,
			    (uint32_t)(until_ms - at_ms));
		if (n <= 0)
			return 0;
		len += (size_t)n;
		head[len] = '\0';
		end = strstr(head, "\r\n\r\n");
		if (!end)
			continue;
		*rest = len - (size_t)(end + 4 - head);
		return (size_t)(end + 4 - head);
	}
}

const char *field(const char *head, const char *name)
{
	static _Thread_local char value[FIELD_BYTES];
	size_t len = strlen(name);
	const char *line = head;

	value[0] = '\0';
	while ((line = strstr(line, "\r\n"))) {
		line += 2;
		if (!strncmp(line, "\r\n", 2))
			break;
		if (!strncasecmp(line, name, len) && line[len] == ':') {
			sscanf(line + len + 1, " %511[^\r\n]", value);
			break;
		}
	}
	return value;
}

int status_of(const char *head)
{
	int status = 0;

	sscanf(head, "HTTP/1.%*d %d", &status);
	return status;
}

size_t read_rest(int fd, char *to, size_t size, uint32_t quiet_ms,
		 enum ending *ending)
{
	size_t len = 0;

	*ending = ENDED_TIMEOUT;
	while (len < size) {
		ssize_t n = receive(fd, to + len, size - len, quiet_ms);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			*ending = errno == ETIMEDOUT ? ENDED_TIMEOUT :
						       ENDED_RESET;
		else if (!n)
			*ending = ENDED_CLOSED;
		if (n <= 0)
			break;
		len += (size_t)n;
	}
	return len;
}

bool control(int store_port, const char *target, const char *body)
{
	char request[512], head[HEAD_BYTES];
	int fd = connect_to(store_port);
	size_t rest;
	bool ok;

	snprintf(request, sizeof(request),
		 "POST %s HTTP/1.1\r\nHost: store\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 target, strlen(body));
	ok = send_bytes(fd, request, strlen(request)) &&
	     send_bytes(fd, body, strlen(body)) &&
	     read_head(fd, head, &rest, CONTROL_TIMEOUT_MS) &&
	     status_of(head) == 200;
	close(fd);
	return ok;
}
