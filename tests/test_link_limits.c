/*
 * Unit tests of what peers that are not authenticated may make a process hold, on
 * loopback, and of the limits that follow from the machine.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config/machine.h"
#include "net/link.h"
#include "net/loop.h"

#define MAX_UNPROVEN 8
#define PEERS 24
#define TICK_NS (5 * MH_NS_PER_MS)
/* So that the frame is not complete when the test ends. */
#define DRIP_NS (100 * MH_NS_PER_MS)
/* Longer than a handshake may take. */
#define RUN_MS 4000

struct fixture {
	struct mh_loop *loop;
	struct mh_counters counters;
	struct mh_links *links;
	uint16_t port;
	int fds[PEERS];
	uint32_t n_fds;
	uint64_t end_ns;
	bool drips; /* the last peer sends a byte now and then */
	uint64_t next_drip_ns;
	bool ends_with_last; /* once the last peer's connection is closed */
};

static void on_up(void *data, uint32_t link, const Mh__Hello *hello)
{
	(void)data;
	(void)link;
	(void)hello;
	fail();
}

static void on_down(void *data, uint32_t link)
{
	(void)data;
	(void)link;
}

static void on_frame(void *data, uint32_t link, const Mh__Frame *frame)
{
	(void)data;
	(void)link;
	(void)frame;
	fail();
}

static const struct mh_link_ops ops = { on_up, on_down, on_frame };

static void start(struct fixture *fx)
{
	struct mh_link_conf conf = {
		.host = "h",
		.zone = "z",
		.role = MH_ROLE_SIDE,
		.pool = "",
		.max_frame_bytes = 8u << 20,
		.max_queue_bytes = 8u << 20,
		.max_unproven = MAX_UNPROVEN,
	};
	char address[32];

	memset(fx, 0, sizeof(*fx));
	fx->loop = mh_loop_new();
	fx->links = mh_links_new(fx->loop, &conf, &fx->counters, &ops, fx);
	for (fx->port = 27200;; fx->port++) {
		assert_true(fx->port < 27300);
		snprintf(address, sizeof(address), "127.0.0.1:%u", fx->port);
		if (!mh_links_listen(fx->links, address))
			break;
	}
}

static void stop(struct fixture *fx)
{
	uint32_t i;

	for (i = 0; i < fx->n_fds; i++)
		close(fx->fds[i]);
	mh_links_free(fx->links);
	mh_loop_free(fx->loop);
}

static int open_peer(struct fixture *fx)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_port = htons(fx->port);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	fx->fds[fx->n_fds++] = fd;
	return fd;
}

/* Whether the process has closed the connection. */
static bool is_closed(int fd)
{
	char bytes[4096];
	ssize_t n;

	while ((n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
		;
	return !n || send(fd, "", 0, MSG_NOSIGNAL) < 0;
}

static uint32_t count_closed(const struct fixture *fx)
{
	uint32_t i, n = 0;

	for (i = 0; i < fx->n_fds; i++)
		n += is_closed(fx->fds[i]);
	return n;
}

static uint64_t tick(void *data)
{
	struct fixture *fx = data;
	uint64_t now_ns = mh_now_ns();
	int last = fx->fds[fx->n_fds - 1];

	mh_links_flush(fx->links);
	if (fx->drips && now_ns >= fx->next_drip_ns) {
		fx->next_drip_ns = now_ns + DRIP_NS;
		send(last, "", 1, MSG_DONTWAIT | MSG_NOSIGNAL);
	}
	if (now_ns > fx->end_ns || (fx->ends_with_last && is_closed(last)))
		mh_loop_stop(fx->loop);
	return now_ns + TICK_NS;
}

static void run(struct fixture *fx, uint32_t ms)
{
	fx->end_ns = mh_now_ns() + ms * MH_NS_PER_MS;
	mh_loop_run(fx->loop, tick, fx);
}

/* Guards against peers that use up the descriptors without a handshake. The oldest
 * ones go, so that a real peer gets its turn. */
static void test_peers_in_their_handshake_are_bounded(void **state)
{
	struct fixture fx;
	uint32_t i;

	(void)state;
	start(&fx);
	for (i = 0; i < PEERS; i++)
		open_peer(&fx);
	run(&fx, 300);
	assert_int_equal(count_closed(&fx), PEERS - MAX_UNPROVEN);
	assert_true(is_closed(fx.fds[0]));
	assert_false(is_closed(fx.fds[PEERS - 1]));
	assert_int_equal(mh_counter_read(&fx.counters, MH_C_LINKS_EVICTED),
			 PEERS - MAX_UNPROVEN);
	stop(&fx);
}

/* Guards against frames of peers that are not authenticated: each was kept up to
 * the limit of a frame. */
static void test_a_large_frame_before_the_handshake_is_refused(void **state)
{
	const uint32_t len = htonl(1u << 20);
	struct fixture fx;
	int fd;

	(void)state;
	start(&fx);
	fd = open_peer(&fx);
	assert_int_equal(send(fd, &len, sizeof(len), 0), sizeof(len));
	fx.ends_with_last = true;
	run(&fx, 1000);
	assert_true(is_closed(fd));
	assert_int_equal(mh_counter_read(&fx.counters, MH_C_BAD_FRAMES), 1);
	stop(&fx);
}

/* Guards against peers that stay for ever by sending a byte now and then. */
static void test_bytes_do_not_extend_the_handshake(void **state)
{
	const uint32_t len = htonl(60000);
	struct fixture fx;
	int fd;

	(void)state;
	start(&fx);
	fd = open_peer(&fx);
	assert_int_equal(send(fd, &len, sizeof(len), 0), sizeof(len));
	fx.drips = true;
	fx.ends_with_last = true;
	run(&fx, RUN_MS);
	assert_true(is_closed(fd));
	stop(&fx);
}

/* Guards against limits that a request within the limits exceeds on the smallest
 * host, and against limits that leave nothing to the process. */
static void test_limits_of_the_smallest_host(void **state)
{
	const struct mh_machine_settings small = { 160, 4100 };
	const struct mh_clients_settings derived = { 0, 0 }, set = { 7, 9 };
	struct mh_machine m = mh_machine_detect(&small);
	struct mh_client_budget_conf conf =
		mh_machine_client_budget(&m, &derived);

	(void)state;
	assert_int_equal(m.memory_bytes, 160000000);
	assert_in_range(conf.max_bytes, 8u << 20, m.memory_bytes / 2);
	/* Servers, links, store and status have a quarter. */
	assert_true(m.max_fds <= 4100);
	assert_in_range(conf.max_connections, m.max_fds / 2,
			m.max_fds - m.max_fds / 4);
	assert_true(mh_machine_status_connections(&m) +
			    mh_machine_new_links(&m) <
		    m.max_fds / 4);
	conf = mh_machine_client_budget(&m, &set);
	assert_int_equal(conf.max_bytes, 7u << 20);
	assert_int_equal(conf.max_connections, 9);
}

/* Guards against limits of nothing where the system tells nothing. */
static void test_limits_without_settings(void **state)
{
	const struct mh_machine_settings none = { 0, 0 };
	struct mh_machine m = mh_machine_detect(&none);

	(void)state;
	assert_true(m.memory_bytes > 16u << 20);
	assert_true(m.max_fds >= 64);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_peers_in_their_handshake_are_bounded),
		cmocka_unit_test(
			test_a_large_frame_before_the_handshake_is_refused),
		cmocka_unit_test(test_bytes_do_not_extend_the_handshake),
		cmocka_unit_test(test_limits_of_the_smallest_host),
		cmocka_unit_test(test_limits_without_settings),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
