/*
 * Unit tests of the proxy's connections to clients, on loopback.
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
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/client.h"

/* More than the buffers of both sockets hold. */
#define BODY_BYTES (24u << 20)
#define LIMIT_NS (10000 * MH_NS_PER_MS)
#define REQUEST(path) "GET " path " HTTP/1.1\r\nHost: h\r\n\r\n"

struct fixture {
	struct mh_loop *loop;
	struct mh_timers timers;
	struct mh_counters counters;
	struct mh_event_log *log;
	struct mh_clients *clients;
	int fd;
	uint64_t end_ns;
	uint32_t sent;	   /* requests, of the further ones */
	uint32_t requests; /* that were read */
	size_t received;
	char tail[64]; /* last bytes */
};

/* The first request gets a large response, each further one its path. */
static void on_request(void *data, struct mh_client *cl,
		       const struct mh_http_head *head,
		       const struct mh_buffer *body)
{
	struct fixture *fx = data;
	struct mh_buffer *out = mh_client_out(cl);
	char *bytes;

	(void)body;
	if (fx->requests++) {
		mh_buffer_printf(out,
				 "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
				 "\r\n%.*s",
				 head->target.len, (int)head->target.len,
				 head->target.p);
	} else {
		bytes = calloc(1, BODY_BYTES);
		assert_non_null(bytes);
		mh_buffer_printf(
			out, "HTTP/1.1 200 OK\r\nContent-Length: %u\r\n\r\n",
			BODY_BYTES);
		mh_buffer_add(out, bytes, BODY_BYTES);
		free(bytes);
	}
	mh_client_finish(cl);
}

static void ignore(void *data, struct mh_client *cl)
{
	(void)data;
	(void)cl;
}

static enum mh_error on_head(void *data, const struct mh_http_head *head)
{
	(void)data;
	(void)head;
	return MH_OK;
}

static void on_refused(void *data, struct mh_client *cl,
		       const struct mh_http_head *head, enum mh_error error)
{
	(void)data;
	mh_client_append_error(mh_client_out(cl), error, 0, head->method,
			       mh_client_will_close(cl), false);
	mh_client_finish(cl);
}

static const struct mh_client_ops ops = { on_head, on_refused, on_request,
					  ignore, ignore };

static void keep_tail(struct fixture *fx, const char *bytes, size_t n)
{
	size_t keep = sizeof(fx->tail) - 1;

	if (n > keep) {
		bytes += n - keep;
		n = keep;
	}
	memmove(fx->tail, fx->tail + n, keep - n);
	memcpy(fx->tail + keep - n, bytes, n);
}

/* The client sends its requests one after the other, in two parts each, then
 * reads. */
static uint64_t tick(void *data)
{
	static const char *const parts[] = { REQUEST("/second"), "GET /thi",
					     "rd HTTP/1.1\r\nHost: h\r\n\r\n" };
	struct fixture *fx = data;
	uint64_t now_ns = mh_clock_mono_ns(&mh_system_clock);
	char bytes[65536];
	ssize_t n;

	mh_timers_run(&fx->timers, now_ns);
	if (!fx->requests)
		return now_ns + MH_NS_PER_MS;
	if (fx->sent < 3) {
		n = (ssize_t)strlen(parts[fx->sent]);
		assert_int_equal(send(fx->fd, parts[fx->sent], (size_t)n, 0),
				 n);
		fx->sent++;
		return now_ns + 50 * MH_NS_PER_MS;
	}
	while ((n = recv(fx->fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0) {
		fx->received += (size_t)n;
		keep_tail(fx, bytes, (size_t)n);
	}
	if (now_ns > fx->end_ns ||
	    (fx->received > BODY_BYTES && strstr(fx->tail, "/third")))
		mh_loop_stop(fx->loop);
	return now_ns + MH_NS_PER_MS;
}

/* Guards against requests that are dropped while the end of a response waits for a
 * slow client: the responses to later ones came in their place. */
static void test_requests_wait_for_the_end_of_a_response(void **state)
{
	struct mh_limits limits = { .max_head_bytes = 8192,
				    .max_body_bytes = 8192,
				    .head_timeout_ms = 5000,
				    .idle_timeout_ms = 5000 };
	struct sockaddr_in sa = { .sin_family = AF_INET };
	struct fixture fx = { 0 };
	struct mh_client_env env;
	char address[32];
	uint16_t port;
	int null = open("/dev/null", O_WRONLY);

	(void)state;
	memset(fx.tail, ' ', sizeof(fx.tail) - 1);
	fx.loop = mh_loop_new();
	mh_timers_init(&fx.timers);
	fx.log = mh_event_log_new(null, "h", &mh_system_clock);
	env = (struct mh_client_env){ fx.loop,		&fx.timers,
				      &mh_system_clock, &fx.counters,
				      fx.log,		{ 64u << 20, 100 } };
	for (port = 26900; !fx.clients && port < 27000; port++) {
		snprintf(address, sizeof(address), "127.0.0.1:%u", port);
		fx.clients = mh_clients_new(&env, address, &ops, &fx);
		sa.sin_port = htons(port);
	}
	assert_non_null(fx.clients);
	mh_clients_set_limits(fx.clients, &limits);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fx.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	assert_int_equal(connect(fx.fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	assert_true(send(fx.fd, REQUEST("/first"), strlen(REQUEST("/first")),
			 0) > 0);
	fx.end_ns = mh_clock_mono_ns(&mh_system_clock) + LIMIT_NS;
	mh_loop_run(fx.loop, tick, &fx);
	assert_int_equal(fx.requests, 3);
	assert_non_null(strstr(fx.tail, "/third"));
	close(fx.fd);
	mh_clients_free(fx.clients);
	mh_event_log_free(fx.log);
	mh_timers_release(&fx.timers);
	mh_loop_free(fx.loop);
	close(null);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_requests_wait_for_the_end_of_a_response),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
