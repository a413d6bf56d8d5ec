/*
 * Clients that send requests at a steady rate over kept connections.
 *
 * load PORT CLIENTS INTERVAL-MS SECONDS PATH KEY TOKENS PREFIX
 *
 * Each client sends one request in each interval and waits for its response.
 * TOKENS is the value of X-Mangohead-Token-Usage, "-" for none. Prints a line
 * for each request: time of sending and of the response (CLOCK_BOOTTIME, ms), id,
 * status, 0 if the connection ended without one.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_MS 1000000ll
#define MAX_CLIENTS 256
#define RESPONSE_BYTES 65536
#define RESPONSE_TIMEOUT_S 5
#define DEADLINE_MS 4000

static struct {
	uint16_t port;
	int n_clients;
	int64_t interval_ms;
	int64_t end_ms;
	const char *path;
	const char *key;
	const char *tokens;
	const char *prefix;
} conf;

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return ts.tv_sec * 1000ll + ts.tv_nsec / NS_PER_MS;
}

static void sleep_until(int64_t at_ms)
{
	int64_t left_ms = at_ms - now_ms();
	struct timespec ts = { left_ms / 1000, left_ms % 1000 * NS_PER_MS };

	if (left_ms > 0)
		nanosleep(&ts, NULL);
}

static int dial(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(conf.port) };
	struct timeval timeout = { .tv_sec = RESPONSE_TIMEOUT_S };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa))) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Reads one response, which has a Content-Length.
 * Return: its status, or 0; *closes tells whether the connection ends. */
static int read_response(int fd, bool *closes)
{
	char text[RESPONSE_BYTES];
	size_t len = 0, body = 0;
	char *end = NULL, *field;
	int status = 0;

	*closes = true;
	while (!end || (size_t)(text + len - end) < 4 + body) {
		ssize_t n = recv(fd, text + len, sizeof(text) - 1 - len, 0);

		if (n <= 0)
			return 0;
		len += (size_t)n;
		text[len] = '\0';
		if (end)
			continue;
		end = strstr(text, "\r\n\r\n");
		if (!end)
			continue;
		field = strcasestr(text, "\r\nContent-Length:");
		if (sscanf(text, "HTTP/1.1 %d", &status) != 1 || !field)
			return 0;
		body = strtoul(field + strlen("\r\nContent-Length:"), NULL, 10);
		*closes = strcasestr(text, "\r\nConnection: close") != NULL;
	}
	return status;
}

static void *run_client(void *data)
{
	int client = (int)(intptr_t)data, fd = -1, n = 0;
	/* Clients spread over the interval. */
	int64_t at_ms = now_ms() + conf.interval_ms * client / conf.n_clients;

	for (; at_ms < conf.end_ms; at_ms += conf.interval_ms) {
		char id[64], text[1024], tokens[128] = "";
		int64_t sent_ms;
		int len, status;
		bool closes;

		sleep_until(at_ms);
		if (now_ms() > at_ms + conf.interval_ms)
			continue;
		snprintf(id, sizeof(id), "%s-%d-%d", conf.prefix, client, n++);
		if (strcmp(conf.tokens, "-"))
			snprintf(tokens, sizeof(tokens),
				 "X-Mangohead-Token-Usage: %s\r\n",
				 conf.tokens);
		len = snprintf(text, sizeof(text),
			       "GET %s HTTP/1.1\r\nHost: h.example\r\n"
			       "X-Mangohead-Request-Id: %s\r\n"
			       "X-Mangohead-Deadline-Ms: %d\r\n"
			       "Api-Key: %s\r\n%s\r\n",
			       conf.path, id, DEADLINE_MS, conf.key, tokens);
		if (fd < 0)
			fd = dial();
		if (fd < 0)
			continue;
		sent_ms = now_ms();
		status = 0;
		closes = true;
		if (send(fd, text, (size_t)len, MSG_NOSIGNAL) == len)
			status = read_response(fd, &closes);
		printf("%lld %lld %s %d\n", (long long)sent_ms,
		       (long long)now_ms(), id, status);
		if (closes) {
			close(fd);
			fd = -1;
		}
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t threads[MAX_CLIENTS];
	int i;

	if (argc != 9)
		return 2;
	conf.port = (uint16_t)atoi(argv[1]);
	conf.n_clients = atoi(argv[2]);
	conf.interval_ms = atoi(argv[3]);
	conf.end_ms = now_ms() + atoll(argv[4]) * 1000;
	conf.path = argv[5];
	conf.key = argv[6];
	conf.tokens = argv[7];
	conf.prefix = argv[8];
	if (conf.n_clients < 1 || conf.n_clients > MAX_CLIENTS ||
	    conf.interval_ms < 1)
		return 2;
	setvbuf(stdout, NULL, _IOLBF, 0);
	for (i = 0; i < conf.n_clients; i++) {
		if (pthread_create(&threads[i], NULL, run_client,
				   (void *)(intptr_t)i))
			return 2;
	}
	for (i = 0; i < conf.n_clients; i++)
		pthread_join(threads[i], NULL);
	return 0;
}
