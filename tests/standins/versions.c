/*
 * Faults of the versions of servers, and the operator's side of roll-outs: orders,
 * their status, and the stop of the servers that a roll-out replaces.
 *
 * Control requests of tests:
 *   POST /test/order?service=   publishes the body as the order of the service
 *   POST /test/version?version=[&base=][&fail=][&slow=][&prefix=][&from=][&after=]
 *                               how servers of a version run requests: for base ms
 *                               (default 0); a share of them fails, and their time
 *                               is multiplied, only of targets with this prefix,
 *                               only while the server runs so many, only after so
 *                               many ms from now on
 *   POST /test/stop?service=&on=  on=1: when the status of the service's order is
 *                               "succeeded", the servers of all other versions are
 *                               stopped at once
 *   GET  /test/status?service=  a line for each status of the service's orders:
 *                               time (CLOCK_BOOTTIME, ms) and JSON
 *   GET  /test/bad              a line for each response that was made to fail or
 *                               slow: time (CLOCK_BOOTTIME, ms) and server
 */
#include <jansson.h>
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standins/server.h"
#include "tests/standins/store.h"

#define MAX_ROWS 64
#define SHARE_UNITS 1000

struct version {
	char name[32];
	uint32_t base_ms;
	uint32_t failing; /* share in thousandths */
	double slow;
	char prefix[64];
	int from_running;
	uint64_t from_ms;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct version versions[MAX_ROWS];
static char stopping[MAX_ROWS][32]; /* services */
static struct mh_buffer bad_responses;

/* Return: row with a name, or the first unused one. */
static struct version *find(const char *name)
{
	int i;

	for (i = 0; i < MAX_ROWS - 1 && versions[i].name[0]; i++) {
		if (!strcmp(versions[i].name, name))
			break;
	}
	return &versions[i];
}

static void set_version(const struct conn *c)
{
	struct version v = { 0 };

	snprintf(v.name, sizeof(v.name), "%s", query_param(c, "version"));
	v.base_ms = (uint32_t)strtoul(query_param(c, "base"), NULL, 10);
	v.failing =
		(uint32_t)(strtod(query_param(c, "fail"), NULL) * SHARE_UNITS);
	v.slow = strtod(query_param(c, "slow"), NULL);
	snprintf(v.prefix, sizeof(v.prefix), "%s", query_param(c, "prefix"));
	v.from_running = atoi(query_param(c, "from"));
	v.from_ms = mono_now_ms() + strtoul(query_param(c, "after"), NULL, 10);
	pthread_mutex_lock(&lock);
	*find(v.name) = v;
	pthread_mutex_unlock(&lock);
}

static void set_stopping(const struct conn *c)
{
	const char *service = query_param(c, "service");
	int i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < MAX_ROWS - 1 && stopping[i][0]; i++) {
		if (!strcmp(stopping[i], service))
			break;
	}
	snprintf(stopping[i], sizeof(stopping[i]), "%s", service);
	pthread_mutex_unlock(&lock);
}

static void order_key(char key[64], const char *service)
{
	snprintf(key, 64, "rollout/%s", service);
}

bool versions_handle_control(struct conn *c)
{
	struct mh_buffer history = { 0 };
	char key[64];

	order_key(key, query_param(c, "service"));
	if (path_is(c, "/test/status")) {
		store_history("keyed.status", key, &history);
		write_response(c, 200, "text/plain", mh_buffer_front(&history),
			       history.len);
		mh_buffer_release(&history);
		return true;
	}
	if (path_is(c, "/test/bad")) {
		pthread_mutex_lock(&lock);
		write_response(c, 200, "text/plain",
			       mh_buffer_front(&bad_responses),
			       bad_responses.len);
		pthread_mutex_unlock(&lock);
		return true;
	}
	if (path_is(c, "/test/order"))
		store_put("keyed.op", key, mh_buffer_front(&c->body),
			  c->body.len);
	else if (path_is(c, "/test/version"))
		set_version(c);
	else if (path_is(c, "/test/stop"))
		set_stopping(c);
	else
		return false;
	write_text_response(c, 200, "done\n");
	return true;
}

static bool applies(const struct version *v, const struct conn *c)
{
	const struct mh_http_text *target = &c->reader.head.target;
	size_t len = strlen(v->prefix);

	return target->len >= len && !memcmp(target->p, v->prefix, len) &&
	       c->server->running >= v->from_running &&
	       mono_now_ms() >= v->from_ms;
}

bool versions_run(const struct conn *c)
{
	struct version v;
	bool is_bad, fails;

	pthread_mutex_lock(&lock);
	v = *find(c->server->version);
	pthread_mutex_unlock(&lock);
	if (!v.name[0])
		return false;
	is_bad = applies(&v, c);
	if (is_bad && v.slow > 0)
		sleep_ms((uint32_t)(v.base_ms * v.slow));
	else
		sleep_ms(v.base_ms);
	fails = is_bad && randombytes_uniform(SHARE_UNITS) < v.failing;
	if (fails || (is_bad && v.slow > 1)) {
		pthread_mutex_lock(&lock);
		mh_buffer_printf(&bad_responses, "%llu %s\n",
				 (unsigned long long)mono_now_ms(),
				 c->server->id);
		pthread_mutex_unlock(&lock);
	}
	return fails;
}

static bool is_stopping(const char *service)
{
	bool found = false;
	int i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < MAX_ROWS && stopping[i][0]; i++)
		found = found || !strcmp(stopping[i], service);
	pthread_mutex_unlock(&lock);
	return found;
}

bool versions_should_stop(const char *service, char target[32])
{
	struct mh_buffer history = { 0 };
	const char *state = NULL, *last;
	char key[64];
	json_t *doc;

	if (!is_stopping(service))
		return false;
	order_key(key, service);
	store_history("keyed.status", key, &history);
	mh_buffer_add(&history, "", 1);
	last = (const char *)mh_buffer_front(&history);
	while (strchr(last, '\n') && *(strchr(last, '\n') + 1))
		last = strchr(last, '\n') + 1;
	doc = json_loads(strchr(last, ' ') ? strchr(last, ' ') : "", 0, NULL);
	state = json_string_value(json_object_get(doc, "state"));
	if (json_string_value(json_object_get(doc, "target")))
		snprintf(target, 32, "%s",
			 json_string_value(json_object_get(doc, "target")));
	state = state && !strcmp(state, "succeeded") ? state : NULL;
	json_decref(doc);
	mh_buffer_release(&history);
	return state;
}
