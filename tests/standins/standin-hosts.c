/*
 * Stand-in for the platform's host list: shows live and leaving hosts, with a
 * lag.
 *
 * PUT /hosts {"hosts": [...]} replaces the list,
 * POST /control {"outage": bool, "lag_ms": n}
 */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "tests/standins/standin.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *shown, *coming;
static uint64_t coming_ms;
static long lag_ms;
static bool outage;

/* With the lock held. */
static void apply_lag(void)
{
	if (!coming || standin_now_ms() < coming_ms)
		return;
	json_decref(shown);
	shown = coming;
	coming = NULL;
}

static enum MHD_Result put_list(const struct standin_request *req)
{
	json_t *doc = json_loadb(req->body, req->body_len, 0, NULL);

	if (!json_is_array(json_object_get(doc, "hosts"))) {
		json_decref(doc);
		return mh_http_reply_text(req->conn, 400, "text/plain", "?\n");
	}
	pthread_mutex_lock(&lock);
	apply_lag();
	json_decref(coming);
	coming = doc;
	coming_ms = standin_now_ms() + (uint64_t)lag_ms;
	pthread_mutex_unlock(&lock);
	return mh_http_reply_text(req->conn, 200, "text/plain", "ok\n");
}

static enum MHD_Result control(const struct standin_request *req)
{
	json_t *doc = json_loadb(req->body, req->body_len, 0, NULL);

	pthread_mutex_lock(&lock);
	if (json_object_get(doc, "outage"))
		outage = json_is_true(json_object_get(doc, "outage"));
	if (json_object_get(doc, "lag_ms"))
		lag_ms = (long)json_integer_value(
			json_object_get(doc, "lag_ms"));
	pthread_mutex_unlock(&lock);
	json_decref(doc);
	return mh_http_reply_text(req->conn, 200, "text/plain", "ok\n");
}

static enum MHD_Result reply_list(const struct standin_request *req,
				  json_t *doc)
{
	const char *known = MHD_lookup_connection_value(
		req->conn, MHD_HEADER_KIND, "If-None-Match");
	char *text = json_dumps(doc, JSON_COMPACT), etag[32];
	struct MHD_Response *response;
	enum MHD_Result result;
	bool same;

	snprintf(etag, sizeof(etag), "\"%016llx\"",
		 (unsigned long long)XXH64(text, strlen(text), 0));
	same = known && !strcmp(known, etag);
	response = MHD_create_response_from_buffer(same ? 0 : strlen(text),
						   text, MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, "ETag", etag);
	result = MHD_queue_response(req->conn, same ? 304 : 200, response);
	MHD_destroy_response(response);
	json_decref(doc);
	return result;
}

static enum MHD_Result handle(const struct standin_request *req)
{
	json_t *doc;
	bool down;

	if (!strcmp(req->url, "/control"))
		return control(req);
	if (!strcmp(req->method, "PUT"))
		return put_list(req);
	pthread_mutex_lock(&lock);
	apply_lag();
	down = outage;
	doc = shown ? json_deep_copy(shown) : json_pack("{s:[]}", "hosts");
	pthread_mutex_unlock(&lock);
	if (!down)
		return reply_list(req, doc);
	json_decref(doc);
	return mh_http_reply_text(req->conn, 503, "text/plain", "outage\n");
}

int main(int argc, char **argv)
{
	const char *file = standin_option(argc, argv, "file", NULL);

	lag_ms = standin_number(argc, argv, "lag_ms", 0);
	if (file)
		shown = json_load_file(file, 0, NULL);
	return standin_serve(
		standin_option(argc, argv, "listen", "127.0.0.1:7001"), handle);
}
