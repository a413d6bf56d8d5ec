/*
 * Load generator: each thread sends one call after another on a persistent
 * connection. Prints calls per second and latencies in microseconds as JSON.
 *
 * --address=ip:port --path=... --key=... --threads=n --seconds=n --body=...
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"
#include "net/http_server.h"
#include "net/loop.h"
#include "tests/standins/standin.h"

#define MAX_SAMPLES 2000000
#define RESPONSE_BYTES 65536

static struct sockaddr_in address;
static char request[8192];
static uint64_t end_ns;
static uint32_t *samples;
static uint32_t n_samples;
static uint32_t n_errors;

static uint64_t now_ns(void)
{
	return mh_clock_mono_ns(&mh_system_clock);
}

static int connect_to_server(void)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd >= 0 &&
	    connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Reads one response that has a Content-Length. Return: status, or -1. */
static int read_response(int fd, char *buf)
{
	size_t len = 0, head = 0, body_len = 0;

	while (!head || len < head + body_len) {
		ssize_t n = recv(fd, buf + len, RESPONSE_BYTES - 1 - len, 0);
		char *end, *field;

		if (n <= 0)
			return -1;
		len += (size_t)n;
		buf[len] = '\0';
		end = head ? NULL : strstr(buf, "\r\n\r\n");
		if (!end)
			continue;
		head = (size_t)(end - buf) + 4;
		field = strcasestr(buf, "content-length:");
		body_len = field ? strtoul(field + 15, NULL, 10) : 0;
	}
	return atoi(buf + 9);
}

static void add_sample(uint64_t ns)
{
	uint32_t i = __atomic_fetch_add(&n_samples, 1, __ATOMIC_RELAXED);

	if (i < MAX_SAMPLES)
		samples[i] = (uint32_t)(ns / 1000);
}

static void *run_client(void *arg)
{
	char *buf = malloc(RESPONSE_BYTES);
	int fd = connect_to_server();

	(void)arg;
	while (now_ns() < end_ns) {
		uint64_t start = now_ns();

		if (fd < 0)
			fd = connect_to_server();
		if (fd >= 0 &&
		    send(fd, request, strlen(request), MSG_NOSIGNAL) > 0 &&
		    read_response(fd, buf) == 200) {
			add_sample(now_ns() - start);
			continue;
		}
		__atomic_add_fetch(&n_errors, 1, __ATOMIC_RELAXED);
		if (fd >= 0)
			close(fd);
		fd = -1;
	}
	if (fd >= 0)
		close(fd);
	free(buf);
	return NULL;
}

static int compare(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static uint32_t quantile(double q)
{
	return n_samples ? samples[(uint32_t)(q * (n_samples - 1))] : 0;
}

int main(int argc, char **argv)
{
	long threads = standin_number(argc, argv, "threads", 16);
	long seconds = standin_number(argc, argv, "seconds", 5), i;
	const char *body = standin_option(argc, argv, "body", "x");
	pthread_t *t = calloc((size_t)threads, sizeof(*t));

	samples = malloc(MAX_SAMPLES * sizeof(*samples));
	if (!mh_http_sockaddr(standin_option(argc, argv, "address", ""),
			      &address))
		return 2;
	snprintf(request, sizeof(request),
		 "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
		 "Content-Type: application/json\r\nContent-Length: %zu\r\n"
		 "\r\n%s",
		 standin_option(argc, argv, "path", "/"),
		 standin_option(argc, argv, "key", ""), strlen(body), body);
	end_ns = now_ns() + (uint64_t)seconds * 1000 * MH_NS_PER_MS;
	for (i = 0; i < threads; i++)
		pthread_create(&t[i], NULL, run_client, NULL);
	for (i = 0; i < threads; i++)
		pthread_join(t[i], NULL);
	if (n_samples > MAX_SAMPLES)
		n_samples = MAX_SAMPLES;
	qsort(samples, n_samples, sizeof(*samples), compare);
	printf("{\"calls_per_s\": %.0f, \"errors\": %u, \"p50_us\": %u, "
	       "\"p95_us\": %u, \"p99_us\": %u}\n",
	       (double)n_samples / (double)seconds, n_errors, quantile(0.5),
	       quantile(0.95), quantile(0.99));
	free(samples);
	free(t);
	return 0;
}
