/*
 * Unit tests of the budget of libmicrohttpd's servers, on loopback: the status
 * address, and a server that keeps bodies.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/unread.h"
#include "net/http_clients.h"
#include "net/http_server.h"
#include "net/status.h"

#define KIB 1024u
#define MAX_CONNECTIONS 8
#define SILENT 40
#define MAX_BODY_BYTES (256 * KIB)
#define ANSWER_MS 3000

struct server {
	struct MHD_Daemon *daemon;
	struct mh_http_clients *clients;
	struct mh_counters counters;
	uint64_t kept; /* bytes of bodies */
	uint64_t max_kept;
};

struct request {
	struct mh_http_body body;
	bool refused;
};

static int connect_to(uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_port = htons(port);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	return fd;
}

/* Return: status of the response, 0 if none comes in time. */
static int read_status(int fd)
{
	struct pollfd pfd = { .fd = fd, .events = POLLIN };
	char text[512] = "";

	if (poll(&pfd, 1, ANSWER_MS) != 1 ||
	    recv(fd, text, sizeof(text) - 1, MSG_DONTWAIT) < 12)
		return 0;
	return atoi(text + 9);
}

static void send_text(int fd, const char *text)
{
	(void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Guards against silent connections that keep the load balancer's checks out: it
 * removes a host that does not answer. */
static void test_silent_connections_leave_the_status_reachable(void **state)
{
	struct mh_counters counters = { 0 };
	struct mh_status *st = NULL;
	char address[32];
	int fds[SILENT + 1], i;
	uint16_t port;

	(void)state;
	for (port = 27400; !st; port++) {
		assert_true(port < 27500);
		snprintf(address, sizeof(address), "127.0.0.1:%u", port);
		st = mh_status_new(address, &counters, NULL, MAX_CONNECTIONS);
	}
	port--;
	mh_status_set_ready(st, true);
	for (i = 0; i < SILENT; i++)
		fds[i] = connect_to(port);
	fds[SILENT] = connect_to(port);
	send_text(fds[SILENT], "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
	assert_int_equal(read_status(fds[SILENT]), 200);
	assert_true(mh_counter_read(&counters, MH_C_CLIENTS_EVICTED) >=
		    SILENT - MAX_CONNECTIONS);
	for (i = 0; i <= SILENT; i++)
		close(fds[i]);
	mh_status_free(st);
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **ctx)
{
	struct server *s = cls;
	struct request *req = *ctx;
	size_t n = *upload_size;

	(void)url;
	(void)method;
	(void)version;
	if (!req) {
		req = calloc(1, sizeof(*req));
		assert_non_null(req);
		req->body.max = MAX_BODY_BYTES;
		*ctx = req;
		mh_http_clients_set_stage(s->clients, conn, MH_CLIENT_READING);
		return MHD_YES;
	}
	*upload_size = 0;
	if (!n)
		return mh_http_reply_text(conn, req->refused ? 503 : 200, "t",
					  "");
	s->kept -= req->body.cap;
	if (!req->refused &&
	    !mh_http_clients_hold(s->clients, conn,
				  mh_http_body_next_cap(&req->body, n), n)) {
		req->refused = true;
		mh_http_body_drop(&req->body);
	}
	mh_http_body_add(&req->body, upload, n);
	s->kept += req->body.cap;
	if (s->kept > s->max_kept)
		s->max_kept = s->kept;
	return MHD_YES;
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
			 enum MHD_RequestTerminationCode code)
{
	struct server *s = cls;
	struct request *req = *ctx;

	(void)code;
	if (!req)
		return;
	mh_http_clients_set_stage(s->clients, conn, MH_CLIENT_IDLE);
	s->kept -= req->body.cap;
	free(req->body.p);
	free(req);
}

static uint16_t start(struct server *s, uint64_t max_bytes)
{
	struct mh_client_budget_conf conf = { max_bytes, 100 };
	struct sockaddr_in sa;
	char address[32];
	uint16_t port;

	memset(s, 0, sizeof(*s));
	s->clients = mh_http_clients_new(&conf, MAX_BODY_BYTES, &s->counters);
	assert_non_null(s->clients);
	for (port = 27500; !s->daemon; port++) {
		assert_true(port < 27600);
		snprintf(address, sizeof(address), "127.0.0.1:%u", port);
		assert_true(mh_http_sockaddr(address, &sa));
		s->daemon = MHD_start_daemon(
			MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL,
			on_request, s, MHD_OPTION_SOCK_ADDR, &sa,
			MHD_OPTION_NOTIFY_CONNECTION, mh_http_clients_notify,
			s->clients, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
			s, MHD_OPTION_END);
	}
	return port - 1;
}

/* Guards against bodies at entries that are bounded one by one only. */
static void test_bodies_stay_in_the_budget(void **state)
{
	const uint64_t max = 2048 * KIB;
	struct server s;
	uint16_t port = start(&s, max);
	char *body = calloc(1, MAX_BODY_BYTES);
	char head[128];
	int fds[21], i;

	(void)state;
	assert_non_null(body);
	snprintf(head, sizeof(head),
		 "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %u\r\n\r\n",
		 MAX_BODY_BYTES);
	for (i = 0; i < 20; i++) {
		fds[i] = connect_to(port);
		send_text(fds[i], head);
		(void)!send(fds[i], body, MAX_BODY_BYTES - 1, MSG_NOSIGNAL);
	}
	fds[20] = connect_to(port);
	send_text(fds[20], "POST / HTTP/1.1\r\nHost: h\r\n"
			   "Content-Length: 4\r\n\r\nbody");
	assert_int_equal(read_status(fds[20]), 200);
	for (i = 0; i < 21; i++)
		close(fds[i]);
	MHD_stop_daemon(s.daemon);
	assert_in_range(s.max_kept, max / 4, max);
	assert_int_equal(s.kept, 0);
	mh_http_clients_free(s.clients);
	free(body);
}

/* Guards against unread responses that are bounded one by one only, and against
 * small ones that are cut off for the large ones of others. */
static void test_unread_responses_are_bounded_together(void **state)
{
	static uint8_t block[64 * KIB];
	struct mh_unread_pool pool = { .max = 4096 * KIB };
	struct mh_unread large[16] = { 0 }, small = { 0 };
	int i, j;

	(void)state;
	for (j = 0; j < 32; j++) {
		for (i = 0; i < 16; i++) {
			if (mh_unread_has_room(&large[i], &pool, sizeof(block)))
				assert_true(mh_unread_add(&large[i], &pool,
							  block,
							  sizeof(block)));
		}
	}
	/* Memory grows by doubling. */
	assert_in_range(pool.bytes, pool.max / 2, 4 * pool.max);
	assert_true(mh_unread_has_room(&small, &pool, sizeof(block)));
	assert_false(mh_unread_has_room(&large[0], &pool, sizeof(block)));
	for (i = 0; i < 16; i++)
		mh_unread_release(&large[i], &pool);
	assert_int_equal(pool.bytes, 0);
	assert_true(mh_unread_has_room(&large[0], &pool, 1024 * KIB));
}

/* Guards against bytes that are lost or doubled where read ones make room. */
static void test_unread_bytes_stay_in_order(void **state)
{
	struct mh_unread_pool pool = { .max = 4096 * KIB };
	struct mh_unread u = { 0 };
	uint8_t sent = 0, read = 0, bytes[100];
	uint32_t i, k;

	(void)state;
	for (i = 0; i < 1000; i++) {
		for (k = 0; k < sizeof(bytes); k++)
			bytes[k] = sent++;
		assert_true(mh_unread_add(&u, &pool, bytes, sizeof(bytes)));
		for (k = 0; k < 90 + i % 20 && u.start < u.len; k++)
			assert_int_equal(u.p[u.start++], read++);
	}
	assert_in_range(pool.bytes, 1, 64 * KIB);
	mh_unread_release(&u, &pool);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_silent_connections_leave_the_status_reachable),
		cmocka_unit_test(test_bodies_stay_in_the_budget),
		cmocka_unit_test(test_unread_responses_are_bounded_together),
		cmocka_unit_test(test_unread_bytes_stay_in_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
