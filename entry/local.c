/*
 * Paths of the client API that are served without the core.
 */
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "entry/app.h"
#include "net/http_server.h"

static enum MHD_Result list_models(struct mh_entry_app *app,
				   struct MHD_Connection *conn)
{
	const struct mh_manifest *m;
	json_t *data = json_array();
	size_t i, j;

	rcu_read_lock();
	m = rcu_dereference(app->manifest);
	for (i = 0; m && i < m->n_pools; i++) {
		for (j = 0; j < m->pools[i].models.n; j++)
			json_array_append_new(
				data, json_pack("{s:s, s:s, s:s}", "id",
						m->pools[i].models.v[j],
						"object", "model", "owned_by",
						m->pools[i].name));
	}
	rcu_read_unlock();
	return mh_http_reply_json(
		conn, MHD_HTTP_OK,
		json_pack("{s:s, s:o}", "object", "list", "data", data));
}

static enum MHD_Result reply_metrics(struct mh_entry_app *app,
				     struct MHD_Connection *conn)
{
	char *text = mh_http_counters_text(mh_entry_counters(app->core));
	enum MHD_Result result;

	if (!text)
		return MHD_NO;
	result = mh_http_reply_text(conn, MHD_HTTP_OK,
				    "text/plain; version=0.0.4", text);
	free(text);
	return result;
}

bool mh_entry_respond_locally(struct mh_entry_app *app,
			      struct MHD_Connection *conn, const char *uri,
			      enum MHD_Result *result)
{
	bool ready = __atomic_load_n(&app->ready, __ATOMIC_RELAXED);

	if (!strcmp(uri, "/healthz"))
		*result = mh_http_reply_text(conn, MHD_HTTP_OK, "text/plain",
					     "ok\n");
	else if (!strcmp(uri, "/readyz"))
		*result = mh_http_reply_text(conn, ready ? 200 : 503,
					     "text/plain",
					     ready ? "ready\n" : "not ready\n");
	else if (!strcmp(uri, "/metrics"))
		*result = reply_metrics(app, conn);
	else if (!strcmp(uri, "/v1/models"))
		*result = list_models(app, conn);
	else
		return false;
	return true;
}
