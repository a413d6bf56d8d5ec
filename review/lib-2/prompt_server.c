/*
 * Stand-in for a model server, as the pages describe it: it answers requests that name
 * it, and begins to write each answer some time after the request came in. With a part
 * in X-Mangohead-Prompt-Prefix, the last one excepted, whose identifier begins with
 * "dead" its process ends as it begins to write. A request whose connection closes
 * before that is dropped.
 *
 * prompt-server PORT ID BEGIN_MS BAD_BEGIN_MS
 *
 * Prints a line "WHAT id=ID at_ms=MS" (CLOCK_BOOTTIME) for each request that reached
 * it, began, was dropped, or crashed it.
 */
#include <arpa/inet.h>
#include <poll.h>
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

#define HEAD_BYTES 32768
#define VALUE_BYTES 16384

static const char *server_id;
static int begin_ms, bad_begin_ms;

struct conn {
	int fd;
	char buf[HEAD_BYTES + 1];
	size_t len;
};

static void print_line(const char *what, const char *id)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	printf("%s id=%s at_ms=%llu\n", what, id,
	       (unsigned long long)ts.tv_sec * 1000 +
		       (unsigned long long)ts.tv_nsec / 1000000);
	fflush(stdout);
}

/* Copies the value of a header field, or nothing. */
static void get_header(const char *head, const char *name, char *out,
		       size_t cap)
{
	const char *line = head, *end;
	size_t len = strlen(name);

	*out = '\0';
	while ((line = strstr(line, "\r\n"))) {
		line += 2;
		if (strncasecmp(line, name, len) || line[len] != ':')
			continue;
		line += len + 1;
		line += strspn(line, " ");
		end = strstr(line, "\r\n");
		len = (size_t)(end - line);
		if (len >= cap)
			len = cap - 1;
		memcpy(out, line, len);
		out[len] = '\0';
		return;
	}
}

static bool has_bad_part(const char *parts)
{
	const char *comma;

	for (; (comma = strchr(parts, ',')); parts = comma + 1) {
		if (!strncmp(parts, "dead", 4))
			return true;
	}
	return false;
}

static bool send_text(const struct conn *c, const char *text)
{
	size_t n = strlen(text);

	return send(c->fd, text, n, MSG_NOSIGNAL) == (ssize_t)n;
}

/* Return: whether the caller closed its connection in this time. */
static bool is_left(const struct conn *c, int ms)
{
	struct pollfd p = { .fd = c->fd, .events = POLLIN };

	return poll(&p, 1, ms) > 0;
}

/* Reads a head, and drops the body that follows it. */
static bool read_request(struct conn *c, char *head)
{
	char *end, value[32];
	size_t head_len, body_len;
	ssize_t n;

	for (;;) {
		c->buf[c->len] = '\0';
		end = strstr(c->buf, "\r\n\r\n");
		if (end)
			break;
		if (c->len == HEAD_BYTES)
			return false;
		n = recv(c->fd, c->buf + c->len, HEAD_BYTES - c->len, 0);
		if (n <= 0)
			return false;
		c->len += (size_t)n;
	}
	head_len = (size_t)(end - c->buf) + 4;
	memcpy(head, c->buf, head_len);
	head[head_len] = '\0';
	get_header(head, "Content-Length", value, sizeof(value));
	body_len = strtoul(value, NULL, 10);
	while (c->len < head_len + body_len) {
		if (c->len == HEAD_BYTES)
			return false;
		n = recv(c->fd, c->buf + c->len, HEAD_BYTES - c->len, 0);
		if (n <= 0)
			return false;
		c->len += (size_t)n;
	}
	c->len -= head_len + body_len;
	memmove(c->buf, c->buf + head_len + body_len, c->len);
	return true;
}

static bool serve(struct conn *c)
{
	static __thread char head[HEAD_BYTES + 1], parts[VALUE_BYTES];
	char id[128], expected[128], text[1024];
	bool bad;

	if (!read_request(c, head))
		return false;
	get_header(head, "X-Mangohead-Request-Id", id, sizeof(id));
	get_header(head, "X-Mangohead-Expect-Instance", expected,
		   sizeof(expected));
	get_header(head, "X-Mangohead-Prompt-Prefix", parts, sizeof(parts));
	if (strcmp(expected, server_id)) {
		snprintf(text, sizeof(text),
			 "HTTP/1.1 421 Misdirected\r\n"
			 "X-Mangohead-Request-Id: %s\r\n"
			 "Content-Length: 0\r\n\r\n",
			 id);
		return send_text(c, text);
	}
	bad = has_bad_part(parts);
	print_line("reached", id);
	if (is_left(c, bad ? bad_begin_ms : begin_ms)) {
		print_line("dropped", id);
		return false;
	}
	if (bad) {
		print_line("crashed", id);
		_exit(1);
	}
	print_line("began", id);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\n"
		 "X-Mangohead-Request-Id: %s\r\n"
		 "X-Mangohead-Response-Signature: s.%s.%s\r\n"
		 "Keep-Alive: timeout=5\r\n"
		 "Content-Length: 5\r\n\r\nhello",
		 id, server_id, id);
	return send_text(c, text);
}

static void *serve_connection(void *data)
{
	struct conn *c = data;

	while (serve(c))
		;
	close(c->fd);
	free(c);
	return NULL;
}

int main(int argc, char **argv)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	pthread_t thread;
	int fd, one = 1;

	if (argc != 5)
		return 2;
	server_id = argv[2];
	begin_ms = atoi(argv[3]);
	bad_begin_ms = atoi(argv[4]);
	sa.sin_port = htons((uint16_t)atoi(argv[1]));
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, 256))
		return 1;
	for (;;) {
		struct conn *c = calloc(1, sizeof(*c));

		c->fd = accept(fd, NULL, NULL);
		if (c->fd < 0 ||
		    pthread_create(&thread, NULL, serve_connection, c))
			free(c);
		else
			pthread_detach(thread);
	}
}
