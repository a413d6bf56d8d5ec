#include "net/http_clients.h"

#include <pthread.h>
#include <stddef.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "net/loop.h"

/* Evicted connections whose ends libmicrohttpd has not handled yet. */
#define SPARE_CONNECTIONS 8
/* Memory of a connection beside that of its body: libmicrohttpd's pool, which has
 * the head of the request. */
#define CONNECTION_BYTES (32u << 10)

struct client {
	struct mh_client_usage usage;
	int fd;
};

struct mh_http_clients {
	pthread_mutex_t lock;
	struct mh_client_budget budget;
	struct mh_counters *counters;
};

struct mh_http_clients *
mh_http_clients_new(const struct mh_client_budget_conf *conf,
		    uint64_t max_request_bytes, struct mh_counters *counters)
{
	struct mh_http_clients *set = calloc(1, sizeof(*set));

	if (!set)
		return NULL;
	pthread_mutex_init(&set->lock, NULL);
	mh_client_budget_init(&set->budget, conf, &mh_system_clock);
	mh_client_budget_set_request(&set->budget,
				     max_request_bytes + CONNECTION_BYTES);
	set->counters = counters;
	return set;
}

void mh_http_clients_free(struct mh_http_clients *set)
{
	if (!set)
		return;
	pthread_mutex_destroy(&set->lock);
	free(set);
}

unsigned int mh_http_clients_limit(const struct mh_http_clients *set)
{
	return set->budget.conf.max_connections + SPARE_CONNECTIONS;
}

static struct client *client_of(struct mh_client_usage *u)
{
	return (struct client *)((char *)u - offsetof(struct client, usage));
}

/* With the lock held, so that the descriptor is still that of the connection. */
static void evict(struct mh_http_clients *set, struct client *c)
{
	mh_count(set->counters, MH_C_CLIENTS_EVICTED);
	shutdown(c->fd, SHUT_RDWR);
	/* Not to be evicted again. */
	mh_client_budget_set_stage(&set->budget, &c->usage, MH_CLIENT_BUSY);
}

static void add(struct mh_http_clients *set, struct MHD_Connection *conn,
		void **ctx)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct client *c = info ? calloc(1, sizeof(*c)) : NULL;
	struct mh_client_usage *victim;
	bool is_full;

	if (!c)
		return;
	c->fd = info->connect_fd;
	pthread_mutex_lock(&set->lock);
	is_full = mh_client_budget_is_full(&set->budget);
	victim = is_full ? mh_client_budget_connection_victim(&set->budget) :
			   NULL;
	mh_client_budget_add(&set->budget, &c->usage, CONNECTION_BYTES);
	if (victim)
		evict(set, client_of(victim));
	else if (is_full)
		evict(set, c);
	pthread_mutex_unlock(&set->lock);
	*ctx = c;
}

static void drop(struct mh_http_clients *set, struct client *c)
{
	pthread_mutex_lock(&set->lock);
	mh_client_budget_remove(&set->budget, &c->usage);
	pthread_mutex_unlock(&set->lock);
	free(c);
}

void mh_http_clients_notify(void *cls, struct MHD_Connection *conn, void **ctx,
			    enum MHD_ConnectionNotificationCode code)
{
	struct mh_http_clients *set = cls;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		add(set, conn, ctx);
	} else if (*ctx) {
		drop(set, *ctx);
		*ctx = NULL;
	}
}

static struct client *find(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

void mh_http_clients_set_stage(struct mh_http_clients *set,
			       struct MHD_Connection *conn,
			       enum mh_client_stage stage)
{
	struct client *c = find(conn);

	if (!c)
		return;
	pthread_mutex_lock(&set->lock);
	mh_client_budget_set_stage(&set->budget, &c->usage, stage);
	if (stage == MH_CLIENT_IDLE)
		mh_client_budget_set_bytes(&set->budget, &c->usage,
					   CONNECTION_BYTES);
	pthread_mutex_unlock(&set->lock);
}

bool mh_http_clients_hold(struct mh_http_clients *set,
			  struct MHD_Connection *conn, uint64_t bytes,
			  uint64_t received)
{
	struct client *c = find(conn);
	struct mh_client_usage *victim;
	uint64_t total = bytes + CONNECTION_BYTES;

	if (!c)
		return false;
	pthread_mutex_lock(&set->lock);
	mh_client_budget_received(&set->budget, &c->usage, received);
	victim = total > c->usage.bytes ?
			 mh_client_budget_bytes_victim(&set->budget, &c->usage,
						       total - c->usage.bytes) :
			 NULL;
	/* The memory of the other one is free only when its connection ended. */
	if (victim && victim != &c->usage)
		evict(set, client_of(victim));
	if (victim)
		total = CONNECTION_BYTES;
	mh_client_budget_set_bytes(&set->budget, &c->usage, total);
	pthread_mutex_unlock(&set->lock);
	return !victim;
}
