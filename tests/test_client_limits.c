/*
 * Unit tests of what clients may make the proxy hold, on loopback: the clients are
 * sockets of the test, and no server is needed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/check_alloc.h"
#include "proxy/client.h"

#define KIB 1024u
#define MAX_BODY_BYTES (256 * KIB)
#define MAX_CLIENTS 64
#define RECEIVED_BYTES (64 * KIB)
#define LIMIT_MS 5000
#define TICK_NS (2 * MH_NS_PER_MS)
/* So slow that the socket is not writable again for longer than the time-out. */
#define SLOW_READ_NS (50 * MH_NS_PER_MS)
#define SLOW_READ_BYTES (32 * KIB)

struct fixture {
	struct mh_loop *loop;
	struct mh_timers timers;
	struct mh_counters counters;
	struct mh_event_log *log;
	struct mh_clients *clients;
	int null;
	uint16_t port;
	int fds[MAX_CLIENTS];
	uint32_t n_fds;
	uint64_t end_ns;
	uint64_t max_bytes; /* held at any time */
	bool (*is_done)(const struct fixture *fx);
	char received[RECEIVED_BYTES + 1]; /* by the client that is watched */
	size_t n_received;
	int watched;
	bool closed;
	uint32_t handled;
	uint32_t depth;
	uint32_t max_depth;
	size_t last_body;
	bool holds;	 /* requests are not answered */
	size_t response; /* bytes of the body of each response */
	int slow;	 /* client that reads slowly, 0: none */
	uint64_t next_read_ns;
	struct rlimit limit;	/* of descriptors, restored at that time */
	uint64_t limit_ends_ns; /* 0: not lowered */
	uint32_t ticks;		/* until then */
};

static enum mh_error on_head(void *data, const struct mh_http_head *head)
{
	(void)data;
	return memcmp(head->target.p, "/unknown", 8) ? MH_OK : MH_ERR_NO_ROUTE;
}

static void on_refused(void *data, struct mh_client *cl,
		       const struct mh_http_head *head, enum mh_error error)
{
	struct mh_http_text none = { 0 };

	(void)data;
	(void)head;
	mh_client_append_error(mh_client_out(cl), error,
			       mh_error_info(error)->retry ? 400 : 0, none,
			       mh_client_will_close(cl), false);
	mh_client_finish(cl);
}

static void on_request(void *data, struct mh_client *cl,
		       const struct mh_http_head *head,
		       const struct mh_buffer *body)
{
	struct fixture *fx = data;
	struct mh_buffer *out = mh_client_out(cl);
	char *bytes;

	(void)head;
	fx->handled++;
	fx->last_body = body->len;
	if (fx->holds)
		return;
	if (++fx->depth > fx->max_depth)
		fx->max_depth = fx->depth;
	mh_buffer_printf(out, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
			 fx->response);
	if (fx->response) {
		bytes = mh_check_alloc(calloc(1, fx->response));
		mh_buffer_add(out, bytes, fx->response);
		free(bytes);
	}
	mh_client_finish(cl);
	fx->depth--;
}

static void ignore(void *data, struct mh_client *cl)
{
	(void)data;
	(void)cl;
}

static const struct mh_client_ops ops = { on_head, on_refused, on_request,
					  ignore, ignore };

static void start(struct fixture *fx, uint64_t max_bytes,
		  uint32_t max_connections)
{
	struct mh_limits limits = { 16 * KIB, MAX_BODY_BYTES, 2000, 300 };
	struct mh_client_env env = { 0 };
	char address[32];

	memset(fx, 0, sizeof(*fx));
	fx->null = open("/dev/null", O_WRONLY);
	fx->loop = mh_loop_new();
	mh_timers_init(&fx->timers);
	fx->log = mh_event_log_new(fx->null, "h", &mh_system_clock);
	env.loop = fx->loop;
	env.timers = &fx->timers;
	env.clock = &mh_system_clock;
	env.counters = &fx->counters;
	env.log = fx->log;
	env.budget.max_bytes = max_bytes;
	env.budget.max_connections = max_connections;
	for (fx->port = 27000; !fx->clients; fx->port++) {
		assert_true(fx->port < 27100);
		snprintf(address, sizeof(address), "127.0.0.1:%u", fx->port);
		fx->clients = mh_clients_new(&env, address, &ops, fx);
	}
	fx->port--;
	mh_clients_set_limits(fx->clients, &limits);
}

static void stop(struct fixture *fx)
{
	uint32_t i;

	for (i = 0; i < fx->n_fds; i++)
		close(fx->fds[i]);
	mh_clients_free(fx->clients);
	mh_event_log_free(fx->log);
	mh_timers_release(&fx->timers);
	mh_loop_free(fx->loop);
	close(fx->null);
}

static int open_client(struct fixture *fx)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_port = htons(fx->port);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	assert_true(fx->n_fds < MAX_CLIENTS);
	fx->fds[fx->n_fds++] = fd;
	return fd;
}

/* Sends what the socket takes, which is less than asked for if it is much. */
static void send_text(int fd, const char *text)
{
	(void)!send(fd, text, strlen(text), MSG_DONTWAIT | MSG_NOSIGNAL);
}

static void send_fill(int fd, size_t len)
{
	char *bytes = mh_check_alloc(malloc(len));

	memset(bytes, 'x', len);
	(void)!send(fd, bytes, len, MSG_DONTWAIT | MSG_NOSIGNAL);
	free(bytes);
}

static void send_head(int fd, const char *path, size_t body)
{
	char head[256];

	snprintf(head, sizeof(head),
		 "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n"
		 "\r\n",
		 path, body);
	send_text(fd, head);
}

static uint64_t tick(void *data)
{
	struct fixture *fx = data;
	uint64_t now_ns = mh_clock_mono_ns(&mh_system_clock), held;
	char bytes[SLOW_READ_BYTES];
	ssize_t n;

	if (fx->limit_ends_ns) {
		fx->ticks++;
		if (now_ns >= fx->limit_ends_ns) {
			fx->limit_ends_ns = 0;
			setrlimit(RLIMIT_NOFILE, &fx->limit);
		}
	}
	mh_timers_run(&fx->timers, now_ns);
	held = mh_clients_budget(fx->clients)->bytes;
	if (held > fx->max_bytes)
		fx->max_bytes = held;
	n = recv(fx->watched, fx->received + fx->n_received,
		 RECEIVED_BYTES - fx->n_received, MSG_DONTWAIT);
	if (n > 0)
		fx->n_received += (size_t)n;
	fx->closed = !n;
	if (fx->slow && now_ns >= fx->next_read_ns) {
		fx->next_read_ns = now_ns + SLOW_READ_NS;
		(void)!recv(fx->slow, bytes, sizeof(bytes), MSG_DONTWAIT);
	}
	fx->received[fx->n_received] = '\0';
	if (now_ns > fx->end_ns || (fx->is_done && fx->is_done(fx)))
		mh_loop_stop(fx->loop);
	return now_ns + TICK_NS;
}

/* Runs until the condition holds, or for the time. Each fixture runs once. */
static void run(struct fixture *fx, int watched, uint32_t ms,
		bool (*is_done)(const struct fixture *fx))
{
	fx->watched = watched;
	fx->is_done = is_done;
	fx->end_ns = mh_clock_mono_ns(&mh_system_clock) + ms * MH_NS_PER_MS;
	mh_loop_run(fx->loop, tick, fx);
}

static bool is_closed(const struct fixture *fx)
{
	return fx->closed;
}

static bool has_ok(const struct fixture *fx)
{
	return strstr(fx->received, " 200 ");
}

/* Guards against bodies that are bounded one by one only. */
static void test_bodies_stay_in_the_budget(void **state)
{
	const uint64_t max = 2048 * KIB;
	struct fixture fx;
	int i, fd;

	(void)state;
	start(&fx, max, 100);
	for (i = 0; i < 40; i++) {
		fd = open_client(&fx);
		send_head(fd, "/a", MAX_BODY_BYTES);
		send_fill(fd, MAX_BODY_BYTES - 1);
	}
	fd = open_client(&fx);
	send_head(fd, "/ordinary", 10);
	send_fill(fd, 10);
	run(&fx, fd, LIMIT_MS, has_ok);
	assert_non_null(strstr(fx.received, " 200 "));
	assert_int_equal(fx.last_body, 10);
	assert_true(fx.max_bytes > max / 2);
	assert_in_range(fx.max_bytes, 0, max + 64 * KIB);
	assert_true(mh_counter_read(&fx.counters, MH_C_CLIENTS_EVICTED) +
			    mh_clients_count(fx.clients) >=
		    10);
	stop(&fx);
}

/* Guards against evicted requests that are told nothing, or not the truth. */
static void test_an_evicted_request_is_told_so(void **state)
{
	struct fixture fx;
	int i, first, fd;

	(void)state;
	start(&fx, 512 * KIB, 100);
	first = open_client(&fx);
	send_head(first, "/first", MAX_BODY_BYTES);
	send_fill(first, MAX_BODY_BYTES - 1);
	/* The ones after it have no room, as it makes progress for now. */
	for (i = 0; i < 4; i++) {
		fd = open_client(&fx);
		send_head(fd, "/next", MAX_BODY_BYTES);
		send_fill(fd, MAX_BODY_BYTES - 1);
	}
	run(&fx, fd, LIMIT_MS, is_closed);
	assert_non_null(strstr(fx.received, " 503 client_budget"));
	assert_non_null(strstr(fx.received, "\r\nRetry-After: "));
	assert_non_null(strstr(fx.received, "\"not_run\""));
	stop(&fx);
}

/* Guards against bodies that are kept though their request will be refused, and
 * against closing the connection for each of them. */
static void test_a_refused_body_is_not_kept(void **state)
{
	struct fixture fx;
	int fd;

	(void)state;
	start(&fx, 4096 * KIB, 100);
	fd = open_client(&fx);
	send_head(fd, "/unknown", 60000);
	send_fill(fd, 60000);
	send_head(fd, "/known", 5);
	send_fill(fd, 5);
	run(&fx, fd, LIMIT_MS, has_ok);
	assert_non_null(strstr(fx.received, " 404 "));
	assert_non_null(strstr(fx.received, " 200 "));
	assert_int_equal(fx.handled, 1);
	assert_int_equal(fx.last_body, 5);
	assert_in_range(fx.max_bytes, 0, 40 * KIB);
	stop(&fx);
}

/* Guards against a large body that is read to its end though nobody wants it; the
 * client still gets the response. */
static void test_a_large_refused_body_is_answered_at_once(void **state)
{
	struct fixture fx;
	int fd;

	(void)state;
	start(&fx, 4096 * KIB, 100);
	fd = open_client(&fx);
	send_head(fd, "/unknown", MAX_BODY_BYTES);
	send_fill(fd, 1000);
	run(&fx, fd, LIMIT_MS, is_closed);
	assert_non_null(strstr(fx.received, " 404 "));
	assert_non_null(strstr(fx.received, "Connection: close"));
	assert_int_equal(fx.handled, 0);
	assert_in_range(fx.max_bytes, 0, 40 * KIB);
	stop(&fx);
}

/* Guards against the handling of pipelined requests within each other, which used
 * as much stack as there were requests, and against missing ones. */
static void test_pipelined_requests_do_not_nest(void **state)
{
	struct fixture fx;
	int fd, i;

	(void)state;
	start(&fx, 4096 * KIB, 100);
	fd = open_client(&fx);
	for (i = 0; i < 300; i++)
		send_text(fd, "GET / HTTP/1.1\r\nHost:\r\n\r\n");
	send_text(fd, "GET / HTTP/1.1\r\nHost:\r\nConnection: close\r\n\r\n");
	run(&fx, fd, LIMIT_MS, is_closed);
	assert_int_equal(fx.handled, 301);
	assert_int_equal(fx.max_depth, 1);
	stop(&fx);
}

/* Guards against pipelined bytes that are read without bound while a request is
 * handled. */
static void test_pipelined_bytes_are_bounded(void **state)
{
	struct fixture fx;
	int fd, i;

	(void)state;
	start(&fx, 4096 * KIB, 100);
	fx.holds = true;
	fd = open_client(&fx);
	for (i = 0; i < 20000; i++)
		send_text(fd, "GET / HTTP/1.1\r\nHost:\r\n\r\n");
	run(&fx, fd, 200, NULL);
	assert_int_equal(fx.handled, 1);
	assert_in_range(fx.max_bytes, 0, 100 * KIB);
	stop(&fx);
}

/* Guards against connections that use up the descriptors, and against silent ones
 * that keep others out. */
static void test_connections_are_bounded(void **state)
{
	struct fixture fx;
	int fd, i;

	(void)state;
	start(&fx, 4096 * KIB, 16);
	for (i = 0; i < 60; i++)
		open_client(&fx);
	fd = open_client(&fx);
	send_head(fd, "/ordinary", 0);
	run(&fx, fd, LIMIT_MS, has_ok);
	assert_non_null(strstr(fx.received, " 200 "));
	assert_in_range(mh_clients_count(fx.clients), 1, 16);
	stop(&fx);
}

/* Guards against connections whose client never reads the end of its response: they
 * stayed open for ever. */
static void test_an_unread_response_ends(void **state)
{
	struct fixture fx;
	int fd, null = open("/dev/null", O_RDONLY);

	(void)state;
	start(&fx, 64 * 1024 * KIB, 16);
	fx.response = 32 * 1024 * KIB;
	fd = open_client(&fx);
	send_head(fd, "/large", 0);
	/* Nothing is read from the client's socket: another one is watched. */
	run(&fx, null, 1000, NULL);
	assert_int_equal(fx.handled, 1);
	assert_int_equal(mh_clients_count(fx.clients), 0);
	close(null);
	stop(&fx);
}

/* Guards against a slow client that is taken for one that does not read: the socket
 * becomes writable only once a good part of its buffer is free. */
static void test_a_slow_reader_is_not_cut_off(void **state)
{
	struct fixture fx;
	int fd, bytes = 64 * KIB, null = open("/dev/null", O_RDONLY);

	(void)state;
	start(&fx, 64 * 1024 * KIB, 16);
	fx.response = 32 * 1024 * KIB;
	fd = open_client(&fx);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	send_head(fd, "/large", 0);
	fx.slow = fd;
	run(&fx, null, 1500, NULL);
	assert_int_equal(fx.handled, 1);
	assert_int_equal(mh_clients_count(fx.clients), 1);
	close(null);
	stop(&fx);
}

/* Guards against a listener that keeps the loop busy while there is no descriptor
 * for its connections, and against one that never accepts again. */
static void test_no_descriptor_does_not_keep_the_loop_busy(void **state)
{
	struct rlimit low;
	struct fixture fx;
	int fd;

	(void)state;
	start(&fx, 4096 * KIB, 100);
	fd = open_client(&fx);
	send_head(fd, "/a", 0);
	assert_int_equal(getrlimit(RLIMIT_NOFILE, &fx.limit), 0);
	low = fx.limit;
	low.rlim_cur = (rlim_t)fd + 1;
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &low), 0);
	fx.limit_ends_ns =
		mh_clock_mono_ns(&mh_system_clock) + 300 * MH_NS_PER_MS;
	run(&fx, fd, LIMIT_MS, has_ok);
	assert_int_equal(fx.handled, 1);
	/* One each TICK_NS, with room for other events. */
	assert_in_range(fx.ticks, 1, 400);
	stop(&fx);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bodies_stay_in_the_budget),
		cmocka_unit_test(test_an_evicted_request_is_told_so),
		cmocka_unit_test(test_a_refused_body_is_not_kept),
		cmocka_unit_test(test_a_large_refused_body_is_answered_at_once),
		cmocka_unit_test(test_pipelined_requests_do_not_nest),
		cmocka_unit_test(test_pipelined_bytes_are_bounded),
		cmocka_unit_test(test_connections_are_bounded),
		cmocka_unit_test(test_an_unread_response_ends),
		cmocka_unit_test(test_a_slow_reader_is_not_cut_off),
		cmocka_unit_test(
			test_no_descriptor_does_not_keep_the_loop_busy),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
