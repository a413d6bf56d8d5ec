/*
 * Unit tests of the side's calls to a backend server that sends any bytes: heads
 * that break off, heads without end.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_client.h"
#include "net/loop.h"
#include "side/backend.h"

#define TIMEOUT_S 1
#define MAX_CALL_MS (2500 * TIMEOUT_S)
#define TEST_LIMIT_S 30
#define REQUEST_BYTES 4096
#define BLOCK_BYTES 4096

/* What the server sends; others are repeated until its peer closes. */
struct bytes {
	const char *begin;
	size_t len;
	const char *repeated; /* NULL: it closes */
};

static struct {
	int listener;
	uint16_t port;
	pthread_t thread;
	pthread_mutex_t lock;
	struct bytes bytes;
} server = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* What the side made of a run. */
static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	bool has_head;
	bool has_ended;
	enum mh_error error;
} run = { PTHREAD_MUTEX_INITIALIZER, PTHREAD_COND_INITIALIZER, false, false,
	  0 };

static void *answer(void *arg)
{
	int fd = (int)(intptr_t)arg;
	char request[REQUEST_BYTES], block[BLOCK_BYTES];
	struct bytes bytes;
	size_t len = 0, unit;

	if (recv(fd, request, sizeof(request), 0) <= 0)
		goto out;
	pthread_mutex_lock(&server.lock);
	bytes = server.bytes;
	pthread_mutex_unlock(&server.lock);
	if (send(fd, bytes.begin, bytes.len, MSG_NOSIGNAL) < 0 ||
	    !bytes.repeated)
		goto out;
	unit = strlen(bytes.repeated);
	for (; len + unit <= sizeof(block); len += unit)
		memcpy(block + len, bytes.repeated, unit);
	while (send(fd, block, len, MSG_NOSIGNAL) > 0)
		continue;
out:
	shutdown(fd, SHUT_WR);
	while (recv(fd, request, sizeof(request), 0) > 0)
		continue;
	close(fd);
	return NULL;
}

static void *accept_all(void *arg)
{
	int fd;

	(void)arg;
	while ((fd = accept(server.listener, NULL, NULL)) >= 0) {
		pthread_t thread;

		assert_int_equal(pthread_create(&thread, NULL, answer,
						(void *)(intptr_t)fd),
				 0);
		pthread_detach(thread);
	}
	return NULL;
}

static int start_server(void **state)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(at);

	(void)state;
	/* Ends a test whose calls don't. */
	alarm(TEST_LIMIT_S);
	server.listener = socket(AF_INET, SOCK_STREAM, 0);
	if (bind(server.listener, (struct sockaddr *)&at, sizeof(at)) ||
	    listen(server.listener, 16) ||
	    getsockname(server.listener, (struct sockaddr *)&at, &len))
		return -1;
	server.port = ntohs(at.sin_port);
	return pthread_create(&server.thread, NULL, accept_all, NULL);
}

static int stop_server(void **state)
{
	(void)state;
	alarm(0);
	shutdown(server.listener, SHUT_RDWR);
	pthread_join(server.thread, NULL);
	close(server.listener);
	return 0;
}

static void on_head(void *data, const struct mh_id *id, uint32_t status,
		    const char *content_type)
{
	(void)data;
	(void)id;
	(void)status;
	(void)content_type;
	run.has_head = true;
}

static void on_data(void *data, const struct mh_id *id, const uint8_t *bytes,
		    size_t len)
{
	(void)data;
	(void)id;
	(void)bytes;
	(void)len;
}

static void on_end(void *data, const struct mh_id *id, enum mh_error error)
{
	(void)data;
	(void)id;
	pthread_mutex_lock(&run.lock);
	run.error = error;
	run.has_ended = true;
	pthread_cond_signal(&run.changed);
	pthread_mutex_unlock(&run.lock);
}

static void on_not_started(void *data, const struct mh_id *id)
{
	on_end(data, id, MH_ERR_BACKEND_FAILED);
}

static void on_health(void *data, bool ok)
{
	(void)data;
	(void)ok;
}

static const struct mh_backend_events events = {
	on_head, on_data, on_end, on_not_started, on_health,
};

static void send_bytes(const char *begin, size_t len, const char *repeated)
{
	pthread_mutex_lock(&server.lock);
	server.bytes = (struct bytes){ begin, len, repeated };
	pthread_mutex_unlock(&server.lock);
}

static struct mh_backend *start_backend(void)
{
	struct mh_backend *b;
	char url[64];

	snprintf(url, sizeof(url), "http://127.0.0.1:%u", server.port);
	b = mh_backend_start("service", url, 1, TIMEOUT_S, &events, NULL);
	assert_non_null(b);
	return b;
}

/* Return: how a run ends, whose backend sends what the server does now. */
static enum mh_error end_of_run(struct mh_backend *b)
{
	struct mh_run_call call = {
		.id = { .b = { 7 } },
		.method = "POST",
		.path = "/v1/completions",
		.account = "a",
		.content_type = "application/json",
		.body = (uint8_t *)"{}",
		.body_len = 2,
	};

	run.has_head = false;
	run.has_ended = false;
	mh_backend_run(b, &call);
	pthread_mutex_lock(&run.lock);
	while (!run.has_ended)
		pthread_cond_wait(&run.changed, &run.lock);
	pthread_mutex_unlock(&run.lock);
	return run.error;
}

static int health_status(void)
{
	char url[64];

	snprintf(url, sizeof(url), "http://127.0.0.1:%u", server.port);
	return mh_http_request(url, "GET", "/health", TIMEOUT_S);
}

static const char *const heads[] = {
	"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	"Content-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	"Transfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 204 No Content\r\nA: b\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
	"Content-Length: 0\r\n\r\n",
};

/* Guards against a response whose head breaks off and that passes for a whole one
 * without a body. */
static void test_head_that_breaks_off_is_no_response(void **state)
{
	struct mh_backend *b = start_backend();
	size_t i, len;

	(void)state;
	for (i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		for (len = strlen(heads[i]) - 1; len > 0; len--) {
			send_bytes(heads[i], len, NULL);
			assert_int_equal(health_status(), 0);
			assert_int_not_equal(end_of_run(b), MH_OK);
			assert_false(run.has_head);
		}
	}
	send_bytes(heads[0], strlen(heads[0]), NULL);
	assert_int_equal(health_status(), 200);
	assert_int_equal(end_of_run(b), MH_OK);
	mh_backend_stop(b);
}

static const char *const repeated[] = {
	"HTTP/1.1 102 Processing\r\nA: b\r\n\r\n",
	"HTTP/1.1 200 OK\r\n",
	"A: b\r\n",
	"x",
	"\r\n",
};

/* Guards against a head without end that is read for as long as bytes come. */
static void test_head_without_end_is_given_up(void **state)
{
	struct mh_backend *b = start_backend();
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(repeated) / sizeof(repeated[0]); i++) {
		const char *begin = i == 2 ? "HTTP/1.1 200 OK\r\n" : "";
		uint64_t begin_ns = mh_now_ns();

		send_bytes(begin, strlen(begin), repeated[i]);
		assert_int_equal(health_status(), 0);
		assert_int_not_equal(end_of_run(b), MH_OK);
		assert_in_range(mh_now_ns() - begin_ns, 0,
				2 * MAX_CALL_MS * MH_NS_PER_MS);
	}
	mh_backend_stop(b);
}

/* Guards against numbers that are no status being handed on as one, and against
 * a backend that counts as healthy by them. */
static void test_odd_statuses_are_no_responses(void **state)
{
	static const char *const odd[] = { "000",  "099", "600", "999",
					   "0200", "20x", "2000" };
	struct mh_backend *b = start_backend();
	char head[128];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		snprintf(head, sizeof(head),
			 "HTTP/1.1 %s X\r\nContent-Type: text/plain\r\n"
			 "Content-Length: 0\r\n\r\n",
			 odd[i]);
		send_bytes(head, strlen(head), NULL);
		assert_int_equal(health_status(), 0);
		assert_int_not_equal(end_of_run(b), MH_OK);
		assert_false(run.has_head);
	}
	mh_backend_stop(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_head_that_breaks_off_is_no_response, start_server,
			stop_server),
		cmocka_unit_test_setup_teardown(
			test_head_without_end_is_given_up, start_server,
			stop_server),
		cmocka_unit_test_setup_teardown(
			test_odd_statuses_are_no_responses, start_server,
			stop_server),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
