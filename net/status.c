#include "net/status.h"

#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/http_clients.h"
#include "net/http_server.h"

/* A small stack is enough for /ready and /metrics. */
#define STACK_BYTES (128u << 10)
#define CONNECTION_TIMEOUT_S 30
/* Memory of a connection, for its head. */
#define CONNECTION_BYTES (8u << 10)

struct mh_status {
	struct MHD_Daemon *daemon;
	struct mh_http_clients *clients;
	const struct mh_counters *counters;
	const struct mh_metrics *metrics;
	atomic_bool ready;
};

static enum MHD_Result reply_metrics(const struct mh_status *st,
				     struct MHD_Connection *conn)
{
	char *counters = mh_http_counters_text(st->counters), *all = NULL;
	char *metrics = st->metrics ? mh_metrics_text(st->metrics) : NULL;
	enum MHD_Result result = MHD_NO;

	if (counters &&
	    asprintf(&all, "%s%s", counters, metrics ? metrics : "") >= 0)
		result = mh_http_reply_text(conn, 200,
					    "text/plain; version=0.0.4", all);
	free(counters);
	free(metrics);
	free(all);
	return result;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **ctx)
{
	struct mh_status *st = cls;

	(void)method;
	(void)version;
	(void)upload;
	(void)upload_size;
	(void)ctx;
	/* Answered at once, and nothing of a body is kept. */
	mh_http_clients_set_stage(st->clients, conn, MH_CLIENT_IDLE);
	if (!strcmp(url, "/ready")) {
		bool ready = atomic_load(&st->ready);

		return mh_http_reply_text(conn, ready ? 200 : 503, "text/plain",
					  ready ? "ready\n" : "not ready\n");
	}
	if (strcmp(url, "/metrics"))
		return mh_http_reply_text(conn, 404, "text/plain",
					  "not found\n");
	return reply_metrics(st, conn);
}

struct mh_status *mh_status_new(const char *address,
				struct mh_counters *counters,
				const struct mh_metrics *metrics,
				uint32_t max_connections)
{
	/* Connections are what is short here: no bodies are kept. */
	struct mh_client_budget_conf conf = { UINT32_MAX, max_connections };
	struct mh_status *st = calloc(1, sizeof(*st));
	struct sockaddr_in sa;

	if (!st)
		return NULL;
	st->clients = mh_http_clients_new(&conf, 0, counters);
	st->counters = counters;
	st->metrics = metrics;
	atomic_init(&st->ready, false);
	if (st->clients && mh_http_sockaddr(address, &sa))
		st->daemon = MHD_start_daemon(
			MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL,
			on_request, st, MHD_OPTION_SOCK_ADDR, &sa,
			MHD_OPTION_THREAD_STACK_SIZE, (size_t)STACK_BYTES,
			MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_S,
			MHD_OPTION_CONNECTION_LIMIT,
			mh_http_clients_limit(st->clients),
			MHD_OPTION_CONNECTION_MEMORY_LIMIT,
			(size_t)CONNECTION_BYTES, MHD_OPTION_NOTIFY_CONNECTION,
			mh_http_clients_notify, st->clients,
			MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, MHD_OPTION_END);
	if (st->daemon)
		return st;
	mh_http_clients_free(st->clients);
	free(st);
	return NULL;
}

void mh_status_free(struct mh_status *st)
{
	if (!st)
		return;
	MHD_stop_daemon(st->daemon);
	mh_http_clients_free(st->clients);
	free(st);
}

void mh_status_set_ready(struct mh_status *st, bool ready)
{
	atomic_store(&st->ready, ready);
}
