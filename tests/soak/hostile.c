#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/check_alloc.h"
#include "tests/soak/soak.h"

/* Together they hold more than the settings allow (fleet.c). */
#define CONNECTIONS 24
/* The limit of the configuration, less a byte. */
#define BODY_BYTES 99999
#define HOLD_MS 600
#define MAX_PAUSE_MS 2000

struct hostile {
	const struct params *params;
	struct mh_rng rng;
	bool stop;
	uint32_t crowds;
	pthread_t thread;
};

static struct hostile hostile;

/* Sends what the connection takes at once; the body stops a byte short. */
static int open_connection(uint32_t proxy, const char *body)
{
	static const char head[] =
		"POST /once/hostile/own HTTP/1.1\r\nHost: h.example\r\n"
		"Api-Key: key-1\r\nContent-Length: 100000\r\n\r\n";
	int fd = soak_connect(proxy_port(hostile.params, proxy));

	if (fd >= 0 &&
	    (send(fd, head, strlen(head), MSG_DONTWAIT | MSG_NOSIGNAL) < 0 ||
	     send(fd, body, BODY_BYTES, MSG_DONTWAIT | MSG_NOSIGNAL) < 0)) {
		close(fd);
		return -1;
	}
	return fd;
}

static void run_crowd(const char *body)
{
	uint32_t proxy =
		(uint32_t)(mh_rng_next(&hostile.rng) % hostile.params->proxies);
	int fds[CONNECTIONS], i;

	for (i = 0; i < CONNECTIONS; i++)
		fds[i] = open_connection(proxy, body);
	soak_sleep_ms(HOLD_MS);
	for (i = 0; i < CONNECTIONS; i++) {
		if (fds[i] >= 0)
			close(fds[i]);
	}
	hostile.crowds++;
}

static void *run(void *data)
{
	char *body = mh_check_alloc(calloc(1, BODY_BYTES));

	(void)data;
	while (!__atomic_load_n(&hostile.stop, __ATOMIC_RELAXED)) {
		run_crowd(body);
		soak_sleep_ms(
			(uint32_t)(mh_rng_next(&hostile.rng) % MAX_PAUSE_MS));
	}
	free(body);
	return NULL;
}

bool hostile_start(const struct params *params)
{
	hostile.params = params;
	hostile.rng.state = params->seed * 1000 + 700000;
	return !pthread_create(&hostile.thread, NULL, run, NULL);
}

void hostile_stop(void)
{
	__atomic_store_n(&hostile.stop, true, __ATOMIC_RELAXED);
	pthread_join(hostile.thread, NULL);
	printf("%u crowds of hostile clients\n", hostile.crowds);
}
