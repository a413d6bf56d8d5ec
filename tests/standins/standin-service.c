/*
 * Stand-in for a plain service: echoes each request and counts the calls of
 * each method and path.
 *
 * GET /counts returns the counts; --delay_ms is the time that a call takes.
 */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standins/standin.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *counts;
static long delay_ms;

static json_int_t count(const char *method, const char *url)
{
	char key[512];
	json_int_t n;

	snprintf(key, sizeof(key), "%s %s", method, url);
	pthread_mutex_lock(&lock);
	n = json_integer_value(json_object_get(counts, key)) + 1;
	json_object_set_new(counts, key, json_integer(n));
	pthread_mutex_unlock(&lock);
	return n;
}

static enum MHD_Result handle(const struct standin_request *req)
{
	json_t *doc;
	json_int_t n;

	if (!strcmp(req->url, "/health"))
		return mh_http_reply_text(req->conn, 200, "text/plain", "ok\n");
	if (!strcmp(req->url, "/counts")) {
		pthread_mutex_lock(&lock);
		doc = json_deep_copy(counts);
		pthread_mutex_unlock(&lock);
		return mh_http_reply_json(req->conn, 200, doc);
	}
	n = count(req->method, req->url);
	if (delay_ms)
		standin_sleep_ms((double)delay_ms);
	doc = json_pack("{s:s, s:s, s:s%, s:I}", "method", req->method, "path",
			req->url, "echo", req->body, req->body_len, "run", n);
	return mh_http_reply_json(req->conn, 200, doc);
}

int main(int argc, char **argv)
{
	counts = json_object();
	delay_ms = standin_number(argc, argv, "delay_ms", 0);
	return standin_serve(
		standin_option(argc, argv, "listen", "127.0.0.1:7200"), handle);
}
