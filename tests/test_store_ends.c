/*
 * Unit tests of the store's client: answers that end with their connection, are
 * cut, or never end. A fake store on a thread of its own sends raw bytes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/loop.h"
#include "platform/store.h"

#define TIMEOUT_MS 1000

/* An answer: its begin, and what follows again and again. */
struct script {
	const char *begin;
	const char *repeated;
};

struct fixture {
	struct mh_loop *loop;
	struct mh_timers timers;
	struct mh_store_era era;
	struct mh_store *store;
	int listener;
	pthread_t thread;
	const struct script *script;
	const struct script *next; /* of a second call */
	uint64_t begin_ns;
	uint64_t sent;
	bool ended;
	struct mh_store_reply reply;
};

static void serve_script(struct fixture *fx, int fd)
{
	char request[1024], block[8192];
	size_t len = strlen(fx->script->repeated), n = 0;
	ssize_t sent;

	if (recv(fd, request, sizeof(request), 0) <= 0)
		return;
	sent = send(fd, fx->script->begin, strlen(fx->script->begin),
		    MSG_NOSIGNAL);
	while (len && n + len <= sizeof(block)) {
		memcpy(block + n, fx->script->repeated, len);
		n += len;
	}
	while (n && sent > 0) {
		sent = send(fd, block, n, MSG_NOSIGNAL);
		if (sent > 0)
			fx->sent += (uint64_t)sent;
	}
}

static void *serve(void *data)
{
	struct fixture *fx = data;
	int fd;

	while ((fd = accept(fx->listener, NULL, NULL)) >= 0) {
		serve_script(fx, fd);
		close(fd);
	}
	return NULL;
}

static uint64_t tick(void *data)
{
	struct fixture *fx = data;

	return mh_timers_run(&fx->timers, mh_clock_mono_ns(&mh_system_clock));
}

static void start_call(struct fixture *fx);

static void on_reply(void *data, const struct mh_store_reply *reply)
{
	struct fixture *fx = data;

	if (fx->next) {
		assert_int_equal(reply->status, 200);
		fx->script = fx->next;
		fx->next = NULL;
		fx->begin_ns = mh_clock_mono_ns(&mh_system_clock);
		start_call(fx);
		return;
	}
	fx->reply = *reply;
	fx->ended = true;
	mh_loop_stop(fx->loop);
}

static void start_call(struct fixture *fx)
{
	mh_store_call(fx->store, "GET", "/x", NULL, 0, TIMEOUT_MS, on_reply,
		      fx);
}

/* Makes a call after one that was answered.
 * Return: the status of its answer, 0 without one. */
static uint16_t call(const struct script *script, uint64_t *sent,
		     uint64_t *took_ms)
{
	static const struct script first = {
		"HTTP/1.1 200 X\r\nConnection: close\r\n"
		"Content-Length: 2\r\n\r\n{}",
		""
	};
	struct sockaddr_in sa = { .sin_family = AF_INET };
	struct fixture fx = { .script = &first, .next = script };
	socklen_t len = sizeof(sa);
	char address[32];

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fx.listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	assert_int_equal(bind(fx.listener, (struct sockaddr *)&sa, len), 0);
	assert_int_equal(listen(fx.listener, 4), 0);
	getsockname(fx.listener, (struct sockaddr *)&sa, &len);
	snprintf(address, sizeof(address), "127.0.0.1:%u", ntohs(sa.sin_port));
	fx.loop = mh_loop_new();
	mh_timers_init(&fx.timers);
	assert_int_equal(pthread_create(&fx.thread, NULL, serve, &fx), 0);
	fx.store = mh_store_new(fx.loop, &fx.timers, &mh_system_clock, address,
				&fx.era);
	start_call(&fx);
	mh_loop_run(fx.loop, tick, &fx);
	*took_ms = (mh_clock_mono_ns(&mh_system_clock) - fx.begin_ns) /
		   MH_NS_PER_MS;
	assert_true(fx.ended);
	mh_store_free(fx.store);
	shutdown(fx.listener, SHUT_RDWR);
	pthread_join(fx.thread, NULL);
	close(fx.listener);
	mh_timers_release(&fx.timers);
	mh_loop_free(fx.loop);
	*sent = fx.sent;
	return fx.reply.status;
}

/* Return: the status of the answer to one call, 0 without one. */
static uint16_t status_of(const char *answer)
{
	struct script script = { answer, "" };
	uint64_t sent, took_ms;

	return call(&script, &sent, &took_ms);
}

/* Guards against an answer that is cut being taken for whole. */
static void test_only_framed_answers_are_whole(void **state)
{
	(void)state;
	assert_int_equal(
		status_of("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}"),
		200);
	assert_int_equal(status_of("HTTP/1.1 200 X\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n"
				   "2\r\n{}\r\n0\r\n\r\n"),
			 200);
	assert_int_equal(status_of("HTTP/1.1 204 X\r\n\r\n"), 204);
	assert_int_equal(status_of("HTTP/1.1 200 X\r\n\r\n{}"), 0);
	assert_int_equal(
		status_of("HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{}"), 0);
	assert_int_equal(status_of("HTTP/1.1 200 X\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n"
				   "2\r\n{}\r\n"),
			 0);
}

/* Guards against an answer whose head breaks off being taken for whole. */
static void test_head_that_breaks_off_is_no_answer(void **state)
{
	static const char whole[] = "HTTP/1.1 102 X\r\n\r\n"
				    "HTTP/1.1 204 X\r\nStore-Era: 7\r\n\r\n";
	char head[sizeof(whole)] = "";
	size_t len;

	(void)state;
	for (len = 1; len < sizeof(whole) - 1; len++) {
		head[len - 1] = whole[len - 1];
		assert_int_equal(status_of(head), 0);
	}
	assert_int_equal(status_of(whole), 204);
}

/* Guards against answers without end that are kept until the time-out. */
static void test_answers_without_end_are_given_up(void **state)
{
	static const struct script scripts[] = {
		{ "HTTP/1.1 200 X\r\n\r\n", "[1, 2]  " },
		{ "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n",
		  "4\r\nabcd\r\n" },
		{ "HTTP/1.1 200 X\r\nContent-Length: 900000000\r\n\r\n",
		  "[1, 2]  " },
		{ "HTTP/1.1 200 X\r\n", "A: b\r\n" },
		{ "", "HTTP/1.1 102 X\r\n\r\n" },
		{ "", "\r\n" },
	};
	uint64_t sent, took_ms;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(scripts) / sizeof(scripts[0]); i++) {
		assert_int_equal(call(&scripts[i], &sent, &took_ms), 0);
		assert_true(took_ms < TIMEOUT_MS / 2);
		assert_true(sent < 64u << 20);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_only_framed_answers_are_whole),
		cmocka_unit_test(test_head_that_breaks_off_is_no_answer),
		cmocka_unit_test(test_answers_without_end_are_given_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
