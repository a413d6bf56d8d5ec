#include "proxy/abandoned.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/check_alloc.h"
#include "platform/wire.h"

/* A server that turns a request away does so in this time after it stopped
 * waiting for it; well below the time within which its work has to stop. */
#define READ_NS (100 * MH_NS_PER_MS)

struct abandoned {
	struct mh_abandoned *set;
	struct mh_upstream *upstream;
	char *server;
	char *address;
	uint64_t born_ms;
	struct mh_timer timer;
	struct abandoned *prev, *next;
};

struct mh_abandoned {
	struct mh_timers *timers;
	const struct mh_clock *clock;
	const struct mh_notice_relay *relay;
	struct abandoned *all;
};

struct mh_abandoned *mh_abandoned_new(struct mh_timers *timers,
				      const struct mh_clock *clock,
				      const struct mh_notice_relay *relay)
{
	struct mh_abandoned *set = mh_check_alloc(calloc(1, sizeof(*set)));

	set->timers = timers;
	set->clock = clock;
	set->relay = relay;
	return set;
}

/* Its connection is closed already, or passed on. */
static void free_abandoned(struct abandoned *a)
{
	DL_DELETE(a->set->all, a);
	mh_timer_clear(a->set->timers, &a->timer);
	free(a->server);
	free(a->address);
	free(a);
}

static void close_abandoned(struct abandoned *a)
{
	mh_upstream_cancel(a->upstream);
	free_abandoned(a);
}

void mh_abandoned_free(struct mh_abandoned *set)
{
	if (!set)
		return;
	while (set->all)
		close_abandoned(set->all);
	free(set);
}

static int on_head(void *data, const struct mh_http_head *head)
{
	struct abandoned *a = data;
	struct mh_server_ref server = { a->server, a->address, a->born_ms };
	struct mh_wire_response response;

	mh_wire_read_response(head, &response);
	mh_notice_relay_response(a->set->relay, &server, &response);
	return 1;
}

static int on_body(void *data, const uint8_t *bytes, size_t len)
{
	(void)data;
	(void)bytes;
	(void)len;
	return 1;
}

static void on_flush(void *data)
{
	(void)data;
}

static void on_done(void *data)
{
	free_abandoned(data);
}

static void on_failed(void *data, enum mh_upstream_failure why)
{
	(void)why;
	free_abandoned(data);
}

static const struct mh_upstream_ops ops = {
	on_head, on_body, on_flush, on_done, on_failed,
};

static void on_timeout(void *data)
{
	close_abandoned(data);
}

void mh_abandoned_add(struct mh_abandoned *set, struct mh_upstream *u,
		      const struct mh_server_ref *server)
{
	struct abandoned *a = mh_check_alloc(calloc(1, sizeof(*a)));
	struct mh_server_ref own;

	a->set = set;
	a->upstream = u;
	a->server = mh_check_alloc(strdup(server->id));
	a->address = mh_check_alloc(strdup(server->address));
	a->born_ms = server->born_ms;
	mh_timer_init(&a->timer, on_timeout, a);
	DL_APPEND(set->all, a);
	own = (struct mh_server_ref){ a->server, a->address, a->born_ms };
	if (!mh_upstream_half_close(u, &own, &ops, a)) {
		close_abandoned(a);
		return;
	}
	mh_timer_set(set->timers, &a->timer,
		     mh_clock_mono_ns(set->clock) + READ_NS);
}
