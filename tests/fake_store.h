/*
 * A fake store on a thread of its own, which gives one scripted response for each
 * call, and a loop for its clients. The tests that include it make one of each.
 */
#ifndef MH_TESTS_FAKE_STORE_H
#define MH_TESTS_FAKE_STORE_H

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/loop.h"
#include "platform/log_client.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
#define WAIT_LIMIT_MS 5000
#define HELD -1
#define HELD_LIMIT_S 3

/* A call that the store expects, and its response. */
struct step {
	const char *expect; /* part of the request line */
	int status;	    /* 0: closes the connection without a response;
			     * HELD: waits until the client closes it */
	const void *body;
	size_t len;
	const char *era; /* NULL: without one */
};

struct fixture {
	struct mh_loop *loop;
	struct mh_timers timers;
	struct mh_log_env env;
	struct mh_store_era era;
	char address[32];
	int listener;
	pthread_t thread;
	const struct step *steps;
	size_t n_steps;
	size_t calls;
	bool unexpected;
	uint64_t end_ns;
	size_t stop_after_calls;
	size_t stop_after_events;
	char events[512];
	size_t n_events;
};

static inline void add_event(struct fixture *fx, const char *text)
{
	size_t len = strlen(fx->events);

	snprintf(fx->events + len, sizeof(fx->events) - len, "%s ", text);
	fx->n_events++;
}

/* Return: whether a complete request was read. */
static bool read_request(int fd, char *text, size_t max)
{
	size_t len = 0, body = 0;
	const char *at;

	for (;;) {
		ssize_t n = recv(fd, text + len, max - len - 1, 0);

		if (n <= 0)
			return false;
		len += (size_t)n;
		text[len] = '\0';
		at = memmem(text, len, "\r\n\r\n", 4);
		if (!at)
			continue;
		if (strstr(text, "Content-Length: "))
			body = strtoul(strstr(text, "Content-Length: ") + 16,
				       NULL, 10);
		if (len >= (size_t)(at - text) + 4 + body)
			return true;
	}
}

static void wait_for_close(int fd)
{
	struct timeval limit = { .tv_sec = HELD_LIMIT_S };
	char byte;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	while (recv(fd, &byte, 1, 0) > 0)
		continue;
}

static bool serve_call(struct fixture *fx, int fd)
{
	const struct step *step = &fx->steps[fx->calls];
	char text[4096], head[128];

	if (!read_request(fd, text, sizeof(text)))
		return false;
	if (fx->calls == fx->n_steps) {
		sleep(1);
		return false;
	}
	fx->calls++;
	if (!strstr(text, step->expect)) {
		print_error("expected %s in %.80s\n", step->expect, text);
		fx->unexpected = true;
	}
	if (step->status == HELD)
		wait_for_close(fd);
	if (step->status <= 0)
		return false;
	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d X\r\n%s%s%sContent-Length: %zu\r\n\r\n",
		 step->status, step->era ? "Store-Era: " : "",
		 step->era ? step->era : "", step->era ? "\r\n" : "",
		 step->len);
	return send(fd, head, strlen(head), MSG_NOSIGNAL) > 0 &&
	       (!step->len ||
		send(fd, step->body, step->len, MSG_NOSIGNAL) > 0);
}

static void *serve(void *data)
{
	struct fixture *fx = data;
	int fd;

	while ((fd = accept(fx->listener, NULL, NULL)) >= 0) {
		while (serve_call(fx, fd))
			;
		close(fd);
	}
	return NULL;
}

static void open_store(struct fixture *fx, const struct step *steps, size_t n)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);

	memset(fx, 0, sizeof(*fx));
	fx->steps = steps;
	fx->n_steps = n;
	fx->loop = mh_loop_new();
	mh_timers_init(&fx->timers);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fx->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	assert_int_equal(bind(fx->listener, (struct sockaddr *)&sa, len), 0);
	assert_int_equal(listen(fx->listener, 16), 0);
	getsockname(fx->listener, (struct sockaddr *)&sa, &len);
	snprintf(fx->address, sizeof(fx->address), "127.0.0.1:%d",
		 ntohs(sa.sin_port));
	fx->env = (struct mh_log_env){ fx->loop, &fx->timers, &mh_system_clock,
				       fx->address, &fx->era };
	pthread_create(&fx->thread, NULL, serve, fx);
}

static uint64_t tick(void *data)
{
	struct fixture *fx = data;
	uint64_t now_ns = mh_clock_mono_ns(&mh_system_clock);
	uint64_t due_ns = mh_timers_run(&fx->timers, now_ns);

	if ((fx->calls >= fx->stop_after_calls &&
	     fx->n_events >= fx->stop_after_events) ||
	    now_ns > fx->end_ns)
		mh_loop_stop(fx->loop);
	return due_ns < fx->end_ns ? due_ns : fx->end_ns;
}

static inline void run_loop(struct fixture *fx)
{
	fx->end_ns = mh_clock_mono_ns(&mh_system_clock) +
		     WAIT_LIMIT_MS * MH_NS_PER_MS;
	mh_loop_run(fx->loop, tick, fx);
	assert_in_range(fx->calls, fx->stop_after_calls, SIZE_MAX);
	assert_in_range(fx->n_events, fx->stop_after_events, SIZE_MAX);
}

static inline void run_until_events(struct fixture *fx, size_t n_events)
{
	fx->stop_after_events = n_events;
	run_loop(fx);
}

static inline void run_until_calls(struct fixture *fx, size_t calls)
{
	fx->stop_after_calls = calls;
	run_loop(fx);
}

static void close_store(struct fixture *fx)
{
	shutdown(fx->listener, SHUT_RDWR);
	pthread_join(fx->thread, NULL);
	close(fx->listener);
	mh_timers_release(&fx->timers);
	mh_loop_free(fx->loop);
	assert_false(fx->unexpected);
}

#endif
