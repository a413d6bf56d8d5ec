/*
 * Unit tests of connections to backend servers that respond before they have read
 * the request, and then end.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/upstream.h"

#define UPLOAD_BYTES 4000000
#define RECEIVE_BYTES 16384
#define LIMIT_MS 5000
#define PAUSE_US 50000

/* How the server ends its response, of which it has sent a part. */
enum ending {
	END_RESET,	/* at once, the upload is unread */
	END_RESET_LATE, /* after a pause */
	END_IN_ORDER,	/* reads the upload, sends the rest, closes */
	END_FIN_FIRST,	/* sends the rest and ends it, then resets */
};

struct fixture {
	const char *head;
	enum ending ending;
	int listener;
	pthread_t thread;
	struct mh_loop *loop;
	struct mh_timers timers;
	struct mh_counters counters;
	struct mh_server_notices *notices;
	struct mh_upstreams *upstreams;
	struct mh_upstream *upstream;
	uint64_t end_ns;
	bool has_head, is_done, has_failed;
	enum mh_upstream_failure failure;
	size_t body;
};

static void send_text(int fd, const char *text)
{
	send(fd, text, strlen(text), MSG_NOSIGNAL);
}

static void reset_connection(int fd)
{
	struct linger none = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
}

static void *serve(void *data)
{
	const struct fixture *fx = data;
	size_t len = 0;
	char bytes[RECEIVE_BYTES];
	int fd = accept(fx->listener, NULL, NULL);
	ssize_t n = recv(fd, bytes, sizeof(bytes), 0);

	send_text(fd, fx->head);
	send_text(fd, "half of");
	/* The upload is being written, and the first part has been read. */
	usleep(PAUSE_US);
	if (fx->ending == END_RESET_LATE)
		usleep(3 * PAUSE_US);
	if (fx->ending == END_IN_ORDER) {
		for (len = (size_t)n; len < UPLOAD_BYTES; len += (size_t)n) {
			n = recv(fd, bytes, sizeof(bytes), 0);
			if (n <= 0)
				break;
		}
		send_text(fd, " it");
	} else if (fx->ending == END_FIN_FIRST) {
		send_text(fd, " it");
		shutdown(fd, SHUT_WR);
		usleep(PAUSE_US);
	} else {
		reset_connection(fd);
	}
	close(fd);
	return NULL;
}

static int on_head(void *data, const struct mh_http_head *head)
{
	struct fixture *fx = data;

	fx->has_head = head->status == 200;
	return 0;
}

static int on_body(void *data, const uint8_t *bytes, size_t len)
{
	struct fixture *fx = data;

	(void)bytes;
	fx->body += len;
	/* Its end in order and its reset are then found at the same time. */
	if (fx->ending == END_FIN_FIRST)
		mh_upstream_pause(fx->upstream, true);
	return 0;
}

static void on_flush(void *data)
{
	(void)data;
}

static void on_done(void *data)
{
	struct fixture *fx = data;

	fx->is_done = true;
	mh_loop_stop(fx->loop);
}

static void on_failed(void *data, enum mh_upstream_failure why)
{
	struct fixture *fx = data;

	fx->has_failed = true;
	fx->failure = why;
	mh_loop_stop(fx->loop);
}

static const struct mh_upstream_ops ops = { on_head, on_body, on_flush, on_done,
					    on_failed };

static uint64_t tick(void *data)
{
	struct fixture *fx = data;
	uint64_t now_ns = mh_now_ns(), next_ns;

	next_ns = mh_timers_run(&fx->timers, now_ns);
	if (now_ns > fx->end_ns)
		mh_loop_stop(fx->loop);
	return next_ns < fx->end_ns ? next_ns : fx->end_ns;
}

/* Sends a long upload to a server that responds at once. */
static void upload(struct fixture *fx, const char *head, enum ending ending)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct mh_buffer request = { 0 }, body = { 0 };
	socklen_t len = sizeof(at);
	struct mh_server_ref server = { .id = "s" };
	int size = RECEIVE_BYTES;
	char address[32];

	memset(fx, 0, sizeof(*fx));
	fx->head = head;
	fx->ending = ending;
	fx->listener = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fx->listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	assert_int_equal(bind(fx->listener, (struct sockaddr *)&at, len), 0);
	assert_int_equal(listen(fx->listener, 1), 0);
	getsockname(fx->listener, (struct sockaddr *)&at, &len);
	assert_int_equal(pthread_create(&fx->thread, NULL, serve, fx), 0);
	snprintf(address, sizeof(address), "127.0.0.1:%u", ntohs(at.sin_port));
	server.address = address;
	fx->loop = mh_loop_new();
	fx->notices = mh_server_notices_new(&mh_system_clock);
	fx->upstreams =
		mh_upstreams_new(fx->loop, &fx->timers, &mh_system_clock,
				 &fx->counters, fx->notices);
	mh_buffer_printf(&request,
			 "POST / HTTP/1.1\r\nHost: h\r\n"
			 "Content-Length: %d\r\n\r\n",
			 UPLOAD_BYTES);
	assert_true(mh_buffer_reserve(&body, UPLOAD_BYTES));
	memset(mh_buffer_back(&body), 'x', UPLOAD_BYTES);
	body.len = UPLOAD_BYTES;
	fx->end_ns = mh_now_ns() + LIMIT_MS * MH_NS_PER_MS;
	fx->upstream = mh_upstream_send(fx->upstreams, &server, &request, &body,
					false, &ops, fx);
	assert_non_null(fx->upstream);
	mh_loop_run(fx->loop, tick, fx);
	pthread_join(fx->thread, NULL);
	mh_upstreams_free(fx->upstreams);
	mh_server_notices_free(fx->notices);
	mh_timers_release(&fx->timers);
	mh_loop_free(fx->loop);
	close(fx->listener);
	mh_buffer_release(&request);
	mh_buffer_release(&body);
}

#define WITHOUT_LENGTH "HTTP/1.1 200 X\r\n\r\n"
#define OLD_VERSION "HTTP/1.0 200 X\r\n\r\n"
#define WITH_LENGTH "HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\n"

static const char *const heads[] = { WITHOUT_LENGTH, OLD_VERSION, WITH_LENGTH };

/* Guards against a response that its server reset and that passes for a whole one,
 * as the failed write of the request took the socket's error. */
static void test_reset_beside_an_upload_cuts_the_response(void **state)
{
	struct fixture fx;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		upload(&fx, heads[i], END_RESET);
		assert_true(fx.has_failed);
		assert_false(fx.is_done);
		assert_int_equal(fx.failure, MH_UPSTREAM_LOST);
		upload(&fx, heads[i], END_RESET_LATE);
		assert_true(fx.has_head);
		assert_true(fx.has_failed);
		assert_false(fx.is_done);
	}
}

/* Guards against a whole response that counts as cut, as its server did not read
 * the request to its end. */
static void test_end_in_order_is_no_reset(void **state)
{
	struct fixture fx;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		upload(&fx, heads[i], END_IN_ORDER);
		assert_true(fx.is_done);
		assert_int_equal(fx.body, strlen("half of it"));
		upload(&fx, heads[i], END_FIN_FIRST);
		assert_true(fx.is_done);
		assert_int_equal(fx.body, strlen("half of it"));
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reset_beside_an_upload_cuts_the_response),
		cmocka_unit_test(test_end_in_order_is_no_reset),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
