#include "proxy/probes.h"

#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <uthash.h>

#include "core/check_alloc.h"
#include "net/socket.h"

/* A process that ends closes its listening socket after some connections; it is
 * not back within this time. */
#define DELAY_NS (50 * MH_NS_PER_MS)
#define CONNECT_TIMEOUT_NS (350 * MH_NS_PER_MS)

struct probe {
	struct mh_probes *set;
	char *server;
	char *address;
	uint64_t born_ms;
	struct mh_watch watch; /* without a socket during the delay */
	struct mh_timer timer;
	UT_hash_handle hh;
};

struct mh_probes {
	struct mh_loop *loop;
	struct mh_timers *timers;
	const struct mh_clock *clock;
	struct mh_counters *counters;
	const struct mh_server_notices *notices;
	void (*accepted)(void *data, const struct mh_server_ref *server);
	void *data;
	struct probe *all;
};

struct mh_probes *
mh_probes_new(struct mh_loop *loop, struct mh_timers *timers,
	      const struct mh_clock *clock, struct mh_counters *counters,
	      const struct mh_server_notices *notices,
	      void (*accepted)(void *data, const struct mh_server_ref *server),
	      void *data)
{
	struct mh_probes *set = mh_check_alloc(calloc(1, sizeof(*set)));

	set->loop = loop;
	set->timers = timers;
	set->clock = clock;
	set->counters = counters;
	set->notices = notices;
	set->accepted = accepted;
	set->data = data;
	return set;
}

static void free_probe(struct probe *p)
{
	struct mh_probes *set = p->set;

	HASH_DEL(set->all, p);
	mh_timer_clear(set->timers, &p->timer);
	if (p->watch.fd >= 0) {
		mh_loop_remove(set->loop, &p->watch);
		close(p->watch.fd);
	}
	free(p->server);
	free(p->address);
	free(p);
}

void mh_probes_free(struct mh_probes *set)
{
	struct probe *p, *tmp;

	if (!set)
		return;
	HASH_ITER(hh, set->all, p, tmp)
		free_probe(p);
	free(set);
}

static void on_connected(void *data, uint32_t events)
{
	struct probe *p = data;
	struct mh_server_ref server = { p->server, p->address, p->born_ms };

	(void)events;
	if (!mh_socket_error(p->watch.fd))
		p->set->accepted(p->set->data, &server);
	free_probe(p);
}

static bool may_probe(const struct probe *p)
{
	struct mh_server_ref server = { p->server, p->address, p->born_ms };

	return mh_server_notices_check(p->set->notices, &server) ==
	       MH_SEND_ALLOWED;
}

static void on_timer(void *data)
{
	struct probe *p = data;
	struct mh_probes *set = p->set;

	if (p->watch.fd >= 0 || !may_probe(p)) {
		free_probe(p);
		return;
	}
	p->watch.fd = mh_socket_connect(p->address);
	if (p->watch.fd < 0) {
		free_probe(p);
		return;
	}
	if (mh_loop_add(set->loop, &p->watch, EPOLLOUT)) {
		close(p->watch.fd);
		p->watch.fd = -1;
		free_probe(p);
		return;
	}
	mh_count(set->counters, MH_C_UPSTREAMS);
	mh_timer_set(set->timers, &p->timer,
		     mh_clock_mono_ns(set->clock) + CONNECT_TIMEOUT_NS);
}

void mh_probes_start(struct mh_probes *set, const struct mh_server_ref *server)
{
	struct probe *p;

	HASH_FIND_STR(set->all, server->id, p);
	if (p)
		return;
	p = mh_check_alloc(calloc(1, sizeof(*p)));
	p->set = set;
	p->server = mh_check_alloc(strdup(server->id));
	p->address = mh_check_alloc(strdup(server->address));
	p->born_ms = server->born_ms;
	p->watch.fd = -1;
	p->watch.ready = on_connected;
	p->watch.data = p;
	mh_timer_init(&p->timer, on_timer, p);
	mh_timer_set(set->timers, &p->timer,
		     mh_clock_mono_ns(set->clock) + DELAY_NS);
	HASH_ADD_KEYPTR(hh, set->all, p->server, strlen(p->server), p);
}
