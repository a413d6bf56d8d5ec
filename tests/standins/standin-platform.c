/*
 * Stand-in for the users' platform: its store and backend servers, with the
 * published formats. Each connection has a thread of its own.
 *
 * standin-platform PORT SERVER...
 *   SERVER is PORT:ID:SERVICE:SLOTS[:REGISTERED-PORT[:VERSION]]; by default a
 *   server registers the port that it listens on, and version v1. One with port 0 is only registered:
 *   another process serves it. With PORT 0 there is no store.
 *
 * The store listens on PORT. Control requests of tests:
 *   POST /test/config           publishes a configuration
 *   POST /test/server?id=&state=[&born=][&slots=]  sets a server to ready,
 *                               draining or gone, of the incarnation that began
 *                               then, and its slots
 *   POST /test/leaving?id=&on=[&text=]  on=1: all responses of a server have
 *                               Server-Leaving with this text, by default 1
 *   POST /test/limit?id=&text=  all responses of a server have Server-Limit with
 *                               this text, if it isn't empty; | separates several
 *   POST /test/repeat?id=&mode=  a server refuses the first request of each
 *                               connection, and repeats these bytes 20 ms after
 *                               each later one came in, which it runs for 300 ms.
 *                               Mode "named": with the request's id, "unnamed":
 *                               without; "later": the first request is served,
 *                               and only the later ones get such bytes, without
 *                               an id; "": ends that
 *   POST /test/shed?id=&ms=&text=  for that time a server does not run requests
 *                               and responds with 503 and these header fields,
 *                               such as Retry-After:1.5; | separates several
 *   POST /test/register?id=&service=&slots=&port=[&version=][&listen=1]
 *                               registers a further server, which another
 *                               process serves unless listen=1
 *   POST /test/hosts            replaces the host list: {"hosts": [{"name",
 *                               "address", "role", "state"}]}
 *   POST /test/down?ms=         the store answers 503 for that time
 *   POST /test/store            {"outage": bool, "lose_answers": n,
 *                               "slow_ms": n, "retain": n, "spoiled": "body",
 *                               "head", "interim" (without end) or "cut": in
 *                               all answers}
 *   POST /test/fail?id=&on=     on=1: a server answers with 500; 0: ends that
 *   POST /test/silent?id=&ms=   a server does not answer for that time
 *   POST /test/late?first_ms=&first=&then_ms=&then=  the first run of each request
 *                               id, and further ones, are answered this much later,
 *                               unless the client closes the connection before;
 *                               "fail": with 500, "drop": without a response
 *   GET  /test/runs             a line for each run: server, id, method,
 *                               target, account, deadline, event, body length,
 *                               key
 *   GET  /test/arrivals         a line for each request that reached a server:
 *                               time (CLOCK_BOOTTIME, ms), server, id, status of
 *                               a refusal or "run", "leaving" if it said so,
 *                               start of the server, header fields of a refusal,
 *                               limit that it states
 *   GET  /test/ends             a line for each run that has ended: begin and
 *                               end (CLOCK_BOOTTIME, ms), server, id, target,
 *                               account, "whole" (response sent), "gone", or
 *                               "shed" (turned away)
 *   GET  /test/calls            number of calls to the store
 *   GET  /test/stops            a line for each server that was stopped as its
 *                               version was replaced: server, requests that it ran
 * Those of versions.c.
 *
 * A request with a part in X-Mangohead-Prompt-Prefix, the last one excepted,
 * whose identifier begins with "dead" ends the process after 80 ms, with a head
 * sent; its arrival is printed as well.
 *
 * The last path segment of a request selects the response: stream, cut, reset,
 * wrongid, unsigned, encoded, reject, fail, busy, unframed, extra, slow; own
 * and ownstream, whose bytes contain the request id; hold, which runs until the
 * client disconnects, at most 3 s; drop, which closes the connection
 * without a response; crash, which ends the process, crashsoon and crashlate,
 * which do so after 60 and 400 ms; answerlate, which is answered or turned away
 * after 60 ms; those of shapes.c; any other, such as ok: "hello".
 */
#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <utlist.h>

#include "net/buffer.h"
#include "net/http1.h"
#include "tests/standins/server.h"
#include "tests/standins/store.h"

#define READ_BYTES 16384
#define HEAD_BYTES 32768
#define MAX_SERVERS 256
#define HEARTBEAT_MS 300
#define HOLD_MS 3000
#define ANSWER_LATE_MS 60
#define REPEAT_AFTER_MS 20
#define REPEAT_RUN_MS 280
#define CRASH_SOON_MS 60
#define CRASH_LATE_MS 400
#define CRASH_OF_PART_MS 80
#define DEADLY_PART "dead"
#define ID_LINES 50
#define STOP_POLL_MS 5

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct server servers[MAX_SERVERS];
static int n_servers;
static struct mh_buffer runs;
static struct mh_buffer arrivals;
static struct mh_buffer ends;
static struct mh_buffer stops;
static struct conn *server_conns;

/* How runs are answered late: the first one of a request, and further ones. */
struct lateness {
	uint32_t ms;
	char how[8];
};

static struct lateness first_runs, further_runs;

static int on_head(void *data, const struct mh_http_head *head)
{
	(void)data;
	(void)head;
	return 0;
}

static int on_body(void *data, const uint8_t *bytes, size_t len)
{
	return !mh_buffer_add(&((struct conn *)data)->body, bytes, len);
}

static const struct mh_http_ops http_ops = { on_head, on_body };

static void put_registration(struct server *s)
{
	char text[512], born[48] = "";

	if (!strcmp(s->state, "gone"))
		return;
	s->sequence++;
	if (s->born_ms)
		snprintf(born, sizeof(born), "\"born\":%llu,", s->born_ms);
	snprintf(text, sizeof(text),
		 "{%s\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
		 "\"zone\":\"z\",\"version\":\"%s\",\"slots\":%d,"
		 "\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":%d}",
		 born, s->service, s->registered_port, s->version, s->slots,
		 s->state, s->sequence);
	store_put("keyed.servers", s->id, text, strlen(text));
}

static void set_lateness(const struct conn *c, struct lateness *l,
			 const char *ms, const char *how)
{
	l->ms = (uint32_t)strtoul(query_param(c, ms), NULL, 10);
	snprintf(l->how, sizeof(l->how), "%s", query_param(c, how));
}
static int listen_at(int port, struct server *server);

static struct server *find_server(const char *id)
{
	int i;

	for (i = 0; i < n_servers; i++) {
		if (!strcmp(servers[i].id, id))
			return &servers[i];
	}
	return NULL;
}

static void register_server(const struct conn *c)
{
	struct server *s = &servers[n_servers++];

	snprintf(s->id, sizeof(s->id), "%s", query_param(c, "id"));
	snprintf(s->service, sizeof(s->service), "%s",
		 query_param(c, "service"));
	s->slots = atoi(query_param(c, "slots"));
	s->registered_port = atoi(query_param(c, "port"));
	snprintf(s->version, sizeof(s->version), "%s",
		 *query_param(c, "version") ? query_param(c, "version") : "v1");
	snprintf(s->state, sizeof(s->state), "ready");
	if (atoi(query_param(c, "listen")))
		listen_at(s->registered_port, s);
	put_registration(s);
}

/* Stops a server without draining. */
static void stop_server(struct server *s)
{
	struct conn *c;

	mh_buffer_printf(&stops, "%s %d\n", s->id, s->running);
	s->is_stopped = true;
	snprintf(s->state, sizeof(s->state), "gone");
	store_put("keyed.servers", s->id, NULL, 0);
	DL_FOREACH(server_conns, c) {
		if (c->server == s)
			shutdown(c->fd, SHUT_RDWR);
	}
}

/* Stops the servers of the versions that have been replaced. */
static void *stop_replaced(void *data)
{
	char target[32];
	int i;

	for (;;) {
		sleep_ms(STOP_POLL_MS);
		pthread_mutex_lock(&lock);
		for (i = 0; i < n_servers; i++) {
			struct server *s = &servers[i];

			if (!s->is_stopped && strcmp(s->state, "gone") &&
			    versions_should_stop(s->service, target) &&
			    strcmp(s->version, target))
				stop_server(s);
		}
		pthread_mutex_unlock(&lock);
	}
	return data;
}

static void handle_server_control(struct conn *c)
{
	struct server *s;
	char id[64];

	snprintf(id, sizeof(id), "%s", query_param(c, "id"));
	s = find_server(id);
	if (path_is(c, "/test/fail") && s) {
		s->fails_all = !strcmp(query_param(c, "on"), "1");
	} else if (path_is(c, "/test/late")) {
		set_lateness(c, &first_runs, "first_ms", "first");
		set_lateness(c, &further_runs, "then_ms", "then");
	} else if (path_is(c, "/test/silent") && s) {
		s->silent_until_ms =
			mono_now_ms() + strtoul(query_param(c, "ms"), NULL, 10);
	} else if (path_is(c, "/test/leaving") && s) {
		bool on = !strcmp(query_param(c, "on"), "1");
		const char *text = query_param(c, "text");

		snprintf(s->leaving, sizeof(s->leaving), "%s",
			 on ? *text ? text : "1" : "");
	} else if (path_is(c, "/test/repeat") && s) {
		snprintf(s->repeats, sizeof(s->repeats), "%s",
			 query_param(c, "mode"));
	} else if (path_is(c, "/test/limit") && s) {
		snprintf(s->limit, sizeof(s->limit), "%s",
			 query_param(c, "text"));
	} else if (path_is(c, "/test/shed") && s) {
		snprintf(s->shed_fields, sizeof(s->shed_fields), "%s",
			 query_param(c, "text"));
		s->sheds_until_ms =
			mono_now_ms() + strtoul(query_param(c, "ms"), NULL, 10);
	} else if (path_is(c, "/test/server") && s) {
		if (*query_param(c, "born"))
			s->born_ms = strtoull(query_param(c, "born"), NULL, 10);
		if (*query_param(c, "slots"))
			s->slots = atoi(query_param(c, "slots"));
		snprintf(s->state, sizeof(s->state), "%s",
			 query_param(c, "state"));
		if (!strcmp(s->state, "gone"))
			store_put("keyed.servers", s->id, NULL, 0);
		put_registration(s);
	} else if (path_is(c, "/test/register") && !s &&
		   n_servers < MAX_SERVERS) {
		register_server(c);
	} else if (path_is(c, "/test/runs")) {
		write_response(c, 200, "text/plain", mh_buffer_front(&runs),
			       runs.len);
		return;
	} else if (path_is(c, "/test/arrivals")) {
		write_response(c, 200, "text/plain", mh_buffer_front(&arrivals),
			       arrivals.len);
		return;
	} else if (path_is(c, "/test/stops")) {
		write_response(c, 200, "text/plain", mh_buffer_front(&stops),
			       stops.len);
		return;
	} else if (path_is(c, "/test/ends")) {
		write_response(c, 200, "text/plain", mh_buffer_front(&ends),
			       ends.len);
		return;
	} else {
		write_text_response(c, 404,
				    "unknown control request or server\n");
		return;
	}
	write_text_response(c, 200, "done\n");
}

static bool serve_store(struct conn *c)
{
	if (c->reader.head.target.len <= 6 ||
	    memcmp(c->reader.head.target.p, "/test/", 6))
		return store_serve(c);
	if (!versions_handle_control(c) && !store_handle_control(c)) {
		pthread_mutex_lock(&lock);
		handle_server_control(c);
		pthread_mutex_unlock(&lock);
	}
	return send_all(c);
}

/* ---- servers ---- */

struct mh_http_text header(const struct conn *c, const char *name)
{
	struct mh_http_text t = mh_http_header_find(&c->reader.head, name);

	if (!t.p)
		t.p = "-", t.len = 1;
	return t;
}

/* Return: how to answer a run that is not recorded yet. */
static struct lateness lateness_of(const struct conn *c)
{
	struct mh_http_text id = header(c, "X-Mangohead-Request-Id");
	struct lateness l;
	char text[128];
	int n = snprintf(text, sizeof(text), " %.*s ", (int)id.len, id.p);

	pthread_mutex_lock(&lock);
	l = runs.len && memmem(mh_buffer_front(&runs), runs.len, text,
			       (size_t)n) ?
		    further_runs :
		    first_runs;
	pthread_mutex_unlock(&lock);
	return l;
}

static void record_run(const struct conn *c)
{
	struct mh_http_text id = header(c, "X-Mangohead-Request-Id");
	struct mh_http_text account = header(c, "X-Mangohead-Tenant");
	struct mh_http_text deadline = header(c, "X-Mangohead-Deadline-Ms");
	struct mh_http_text event = header(c, "Last-Event-Id");
	struct mh_http_text key = header(c, "Api-Key");
	const struct mh_http_head *h = &c->reader.head;

	pthread_mutex_lock(&lock);
	mh_buffer_printf(&runs, "%s %.*s %.*s %.*s %.*s %.*s %.*s %zu %.*s\n",
			 c->server->id, (int)id.len, id.p, (int)h->method.len,
			 h->method.p, (int)h->target.len, h->target.p,
			 (int)account.len, account.p, (int)deadline.len,
			 deadline.p, (int)event.len, event.p, c->body.len,
			 (int)key.len, key.p);
	pthread_mutex_unlock(&lock);
}

bool target_ends_with(const struct conn *c, const char *what)
{
	const struct mh_http_text *t = &c->reader.head.target;
	size_t len = strlen(what);

	return t->len > len && !memcmp(t->p + t->len - len, what, len) &&
	       t->p[t->len - len - 1] == '/';
}

/* What the server says in all responses. Each limit of the list "VALUE|VALUE"
 * becomes a line. */
static void write_notices(const struct conn *c, struct mh_buffer *out)
{
	char values[sizeof(c->server->limit)], *save = NULL, *value;

	if (*c->server->leaving)
		mh_buffer_printf(out, "Server-Leaving: %s\r\n",
				 c->server->leaving);
	memcpy(values, c->server->limit, sizeof(values));
	for (value = strtok_r(values, "|", &save); value;
	     value = strtok_r(NULL, "|", &save))
		mh_buffer_printf(out, "Server-Limit: %s\r\n", value);
}

void begin_response(struct conn *c, int status, const char *fields)
{
	struct mh_http_text id = header(c, "X-Mangohead-Request-Id");

	mh_buffer_printf(&c->out, "HTTP/1.1 %d X\r\n", status);
	write_notices(c, &c->out);
	mh_buffer_printf(&c->out,
			 "X-Mangohead-Request-Id: %.*s\r\n"
			 "X-Mangohead-Server-Load: 1,0,%d\r\n"
			 "Keep-Alive: timeout=5\r\n%s",
			 (int)id.len, id.p, c->server->slots, fields);
}

static void record_arrival(const struct conn *c, const char *what)
{
	struct mh_http_text id = header(c, "X-Mangohead-Request-Id");

	pthread_mutex_lock(&lock);
	mh_buffer_printf(
		&arrivals, "%llu %s %.*s %s %s %llu %s %s\n",
		(unsigned long long)mono_now_ms(), c->server->id, (int)id.len,
		id.p, what, strcmp(c->server->leaving, "1") ? "-" : "leaving",
		c->server->born_ms, c->shed ? c->server->shed_fields : "-",
		*c->server->limit ? c->server->limit : "-");
	pthread_mutex_unlock(&lock);
}

/* Each field of the list "NAME:VALUE|NAME:VALUE" becomes a line. */
static bool serve_shed(struct conn *c)
{
	char fields[256], *save = NULL, *field;

	begin_response(c, 503, "X-Mangohead-Not-Executed: 1\r\n");
	snprintf(fields, sizeof(fields), "%s", c->server->shed_fields);
	for (field = strtok_r(fields, "|", &save); field;
	     field = strtok_r(NULL, "|", &save))
		mh_buffer_printf(&c->out, "%s\r\n", field);
	mh_buffer_printf(&c->out, "Content-Length: 0\r\n\r\n");
	return send_all(c);
}

static void record_run_end(const struct conn *c, uint64_t begin_ms,
			   bool complete)
{
	struct mh_http_text id = header(c, "X-Mangohead-Request-Id");
	struct mh_http_text account = header(c, "X-Mangohead-Tenant");
	const struct mh_http_head *h = &c->reader.head;

	pthread_mutex_lock(&lock);
	mh_buffer_printf(&ends, "%llu %llu %s %.*s %.*s %.*s %s\n",
			 (unsigned long long)begin_ms,
			 (unsigned long long)mono_now_ms(), c->server->id,
			 (int)id.len, id.p, (int)h->target.len, h->target.p,
			 (int)account.len, account.p,
			 c->shed  ? "shed" :
			 complete ? "whole" :
				    "gone");
	pthread_mutex_unlock(&lock);
}

/* Each line of the body contains the request id. */
static bool serve_id_lines(struct conn *c)
{
	struct mh_http_text id = header(c, "X-Mangohead-Request-Id");
	struct mh_buffer body = { 0 };
	int i;

	for (i = 1; i <= ID_LINES; i++)
		mh_buffer_printf(&body, "%.*s %d\n", (int)id.len, id.p, i);
	begin_response(c, 200, SIGNED);
	mh_buffer_printf(&c->out, "Content-Length: %zu\r\n\r\n", body.len);
	mh_buffer_add(&c->out, mh_buffer_front(&body), body.len);
	mh_buffer_release(&body);
	sleep_ms(EVENT_GAP_MS);
	return send_all(c);
}

/* Return: whether the client closed its connection in this time. */
static bool client_leaves(const struct conn *c, uint32_t ms)
{
	struct pollfd p = { .fd = c->fd, .events = POLLIN };

	return ms && poll(&p, 1, (int)ms) > 0;
}

static bool serve_hold(struct conn *c)
{
	if (client_leaves(c, HOLD_MS))
		return false;
	begin_response(c, 200, SIGNED "Content-Length: 5\r\n\r\nhello");
	return send_all(c);
}

void reset_on_close(const struct conn *c)
{
	struct linger abort_on_close = { 1, 0 };

	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &abort_on_close,
		   sizeof(abort_on_close));
}

static bool serve_stream(struct conn *c, int cut_at, bool reset)
{
	struct mh_http_text last = header(c, "Last-Event-Id");
	struct mh_http_text id = header(c, "X-Mangohead-Request-Id");
	bool with_id = target_ends_with(c, "ownstream");
	int i = last.p[0] == '-' ? 0 : atoi(last.p);
	bool resumed = i > 0;

	begin_response(c, 200,
		       SIGNED "Content-Type: text/event-stream\r\n"
			      "Transfer-Encoding: chunked\r\n\r\n");
	for (i++; i <= EVENTS; i++) {
		char event[128];
		int n = snprintf(event, sizeof(event),
				 "id: %d\ndata: %.*s%s%d\n\n", i,
				 with_id ? (int)id.len : 0, id.p,
				 with_id ? " " : "e", i);

		if (!resumed && i == cut_at) {
			/* Ends in the middle of an event. */
			mh_buffer_printf(&c->out, "%x\r\n%.*s", n, n / 2,
					 event);
			send_all(c);
			if (reset)
				reset_on_close(c);
			return false;
		}
		mh_buffer_printf(&c->out, "%x\r\n%s\r\n", n, event);
		if (!send_all(c))
			return false;
		sleep_ms(EVENT_GAP_MS);
	}
	mh_buffer_printf(&c->out, "0\r\n\r\n");
	return send_all(c);
}

void crash(const struct conn *c)
{
	struct mh_http_text id = header(c, "X-Mangohead-Request-Id");

	printf("crashed server=%s id=%.*s at_ms=%llu\n", c->server->id,
	       (int)id.len, id.p, (unsigned long long)mono_now_ms());
	fflush(stdout);
	_exit(1);
}

static bool has_deadly_part(const struct conn *c)
{
	struct mh_http_text parts = header(c, "X-Mangohead-Prompt-Prefix");
	const char *p = parts.p, *end = parts.p + parts.len;
	const char *comma = memchr(p, ',', parts.len);
	size_t len = strlen(DEADLY_PART);

	for (; comma; comma = memchr(p, ',', (size_t)(end - p))) {
		if ((size_t)(comma - p) > len && !memcmp(p, DEADLY_PART, len))
			return true;
		p = comma + 1;
	}
	return false;
}

static void crash_of_part(struct conn *c)
{
	struct mh_http_text id = header(c, "X-Mangohead-Request-Id");

	printf("reached server=%s id=%.*s at_ms=%llu\n", c->server->id,
	       (int)id.len, id.p, (unsigned long long)mono_now_ms());
	fflush(stdout);
	begin_response(c, 200, SIGNED "Transfer-Encoding: chunked\r\n\r\n");
	send_all(c);
	sleep_ms(CRASH_OF_PART_MS);
	crash(c);
}

static void write_refusal(struct conn *c, bool is_named)
{
	struct mh_http_text id = header(c, "X-Mangohead-Request-Id");

	mh_buffer_release(&c->refusal);
	mh_buffer_printf(&c->refusal, "HTTP/1.1 503 X\r\n"
				      "X-Mangohead-Not-Executed: 1\r\n"
				      "Content-Length: 0\r\n");
	if (is_named)
		mh_buffer_printf(&c->refusal,
				 "X-Mangohead-Request-Id: %.*s\r\n",
				 (int)id.len, id.p);
	write_notices(c, &c->refusal);
	mh_buffer_printf(&c->refusal, "\r\n");
}

/* Serves a request at a server that repeats refusals.
 * Return: whether it did; *ok tells whether the connection stays open. */
static bool serve_repeat(struct conn *c, bool *ok)
{
	bool is_first = c->requests == 1;
	bool is_later = !strcmp(c->server->repeats, "later");

	if (is_first != is_later)
		write_refusal(c, !strcmp(c->server->repeats, "named"));
	if (!c->refusal.len)
		return false;
	mh_buffer_add(&c->out, mh_buffer_front(&c->refusal), c->refusal.len);
	if (is_first) {
		record_arrival(c, "503");
		c->shed = true; /* in the list of ends */
		*ok = send_all(c);
		return true;
	}
	record_arrival(c, "run");
	record_run(c);
	sleep_ms(REPEAT_AFTER_MS);
	*ok = send_all(c);
	if (!*ok)
		return true;
	sleep_ms(REPEAT_RUN_MS);
	begin_response(c, 200, SIGNED "Content-Length: 5\r\n\r\nhello");
	*ok = send_all(c);
	return true;
}

static bool serve_run(struct conn *c)
{
	struct mh_http_text expected = header(c, "X-Mangohead-Expect-Instance");
	size_t id_len = strlen(c->server->id);
	struct lateness late;
	bool ok;

	c->requests++;
	while (mono_now_ms() < c->server->silent_until_ms)
		sleep_ms(10);
	if (expected.len != id_len ||
	    memcmp(expected.p, c->server->id, id_len)) {
		record_arrival(c, "421");
		begin_response(c, 421, "Content-Length: 0\r\n\r\n");
		return send_all(c);
	}
	if (target_ends_with(c, "answerlate"))
		sleep_ms(ANSWER_LATE_MS);
	c->shed = mono_now_ms() < c->server->sheds_until_ms;
	if (c->shed) {
		record_arrival(c, "503");
		return serve_shed(c);
	}
	if (*c->server->repeats && serve_repeat(c, &ok))
		return ok;
	record_arrival(c, "run");
	if (target_ends_with(c, "reject")) {
		begin_response(c, 503,
			       "X-Mangohead-Not-Executed: 1\r\n"
			       "Content-Length: 0\r\n\r\n");
		return send_all(c);
	}
	late = lateness_of(c);
	record_run(c);
	if (client_leaves(c, late.ms) || !strcmp(late.how, "drop"))
		return false;
	if (has_deadly_part(c))
		crash_of_part(c);
	if (versions_run(c)) {
		begin_response(c, 500, SIGNED "Content-Length: 5\r\n\r\nwrong");
		return send_all(c);
	}
	if (serve_shape(c, &ok))
		return ok;
	if (target_ends_with(c, "drop"))
		return false;
	if (target_ends_with(c, "crash"))
		crash(c);
	if (target_ends_with(c, "crashsoon")) {
		sleep_ms(CRASH_SOON_MS);
		crash(c);
	}
	if (target_ends_with(c, "crashlate")) {
		sleep_ms(CRASH_LATE_MS);
		crash(c);
	}
	if (target_ends_with(c, "own"))
		return serve_id_lines(c);
	if (target_ends_with(c, "hold"))
		return serve_hold(c);
	if (target_ends_with(c, "ownstream") || target_ends_with(c, "stream"))
		return serve_stream(c, 0, false);
	if (target_ends_with(c, "cut"))
		return serve_stream(c, 4, false);
	if (target_ends_with(c, "reset"))
		return serve_stream(c, 4, true);
	if (target_ends_with(c, "wrongid")) {
		mh_buffer_printf(&c->out, "HTTP/1.1 200 X\r\n" SIGNED
					  "X-Mangohead-Request-Id: other\r\n"
					  "Content-Length: 5\r\n\r\nother");
	} else if (target_ends_with(c, "unsigned")) {
		begin_response(c, 200, "Content-Length: 5\r\n\r\nhello");
	} else if (target_ends_with(c, "encoded")) {
		begin_response(c, 200,
			       SIGNED "Content-Encoding: gzip\r\n"
				      "Content-Length: 5\r\n\r\nhello");
	} else if (c->server->fails_all || !strcmp(late.how, "fail") ||
		   target_ends_with(c, "fail")) {
		begin_response(c, 500, SIGNED "Content-Length: 5\r\n\r\nwrong");
	} else if (target_ends_with(c, "busy")) {
		begin_response(c, 503, "Content-Length: 4\r\n\r\nbusy");
	} else if (target_ends_with(c, "unframed")) {
		begin_response(c, 200, SIGNED "Connection: close\r\n\r\nhello");
		send_all(c);
		return false;
	} else if (target_ends_with(c, "extra")) {
		begin_response(
			c, 200,
			SIGNED
			"Content-Length: 5\r\n\r\nhelloHTTP/1.1 200 X\r\n"
			"Content-Length: 3\r\n\r\nbad");
	} else if (target_ends_with(c, "slow")) {
		sleep_ms(700);
		begin_response(c, 200, SIGNED "Content-Length: 5\r\n\r\nhello");
	} else {
		begin_response(c, 200, SIGNED "Content-Length: 5\r\n\r\nhello");
	}
	return send_all(c);
}

/* ---- connections ---- */

static bool read_request(struct conn *c, struct mh_buffer *in)
{
	size_t used;

	mh_http_reader_reset(&c->reader);
	mh_buffer_release(&c->body);
	for (;;) {
		enum mh_http_result_code code = MH_HTTP_MORE;
		ssize_t n;

		if (in->len) {
			code = mh_http_read(&c->reader, mh_buffer_front(in),
					    in->len, &used);
			mh_buffer_consume(in, used);
		}
		if (code == MH_HTTP_DONE)
			return true;
		if (code != MH_HTTP_MORE || !mh_buffer_reserve(in, READ_BYTES))
			return false;
		n = recv(c->fd, mh_buffer_back(in), READ_BYTES, 0);
		if (n <= 0)
			return false;
		in->len += (size_t)n;
	}
}

static void count_running(const struct conn *c, int n)
{
	if (!c->server)
		return;
	pthread_mutex_lock(&lock);
	c->server->running += n;
	pthread_mutex_unlock(&lock);
}

static void *serve_connection(void *data)
{
	struct mh_buffer in = { 0 };
	struct conn *c = data;

	mh_http_reader_init(&c->reader, HTTP_REQUEST, HEAD_BYTES, &http_ops, c);
	if (c->server) {
		pthread_mutex_lock(&lock);
		DL_APPEND(server_conns, c);
		if (c->server->is_stopped)
			shutdown(c->fd, SHUT_RDWR);
		pthread_mutex_unlock(&lock);
	}
	while (read_request(c, &in)) {
		uint64_t begin_ms = mono_now_ms();
		bool ok;

		count_running(c, 1);
		ok = c->server ? serve_run(c) : serve_store(c);
		count_running(c, -1);
		if (c->server)
			record_run_end(c, begin_ms, ok);
		if (!ok)
			break;
	}
	if (c->server) {
		pthread_mutex_lock(&lock);
		DL_DELETE(server_conns, c);
		pthread_mutex_unlock(&lock);
	}
	close(c->fd);
	mh_http_reader_release(&c->reader);
	mh_buffer_release(&c->body);
	mh_buffer_release(&c->out);
	mh_buffer_release(&c->refusal);
	mh_buffer_release(&in);
	free(c);
	return NULL;
}

struct acceptor {
	int fd;
	struct server *server;
};

static void *accept_loop(void *data)
{
	struct acceptor *a = data;

	for (;;) {
		struct conn *c = calloc(1, sizeof(*c));
		pthread_t thread;

		c->fd = accept(a->fd, NULL, NULL);
		c->server = a->server;
		if (c->fd < 0 ||
		    pthread_create(&thread, NULL, serve_connection, c)) {
			free(c);
			continue;
		}
		pthread_detach(thread);
	}
	return NULL;
}

static int listen_at(int port, struct server *server)
{
	struct acceptor *a = calloc(1, sizeof(*a));
	struct sockaddr_in sa = { .sin_family = AF_INET };
	pthread_t thread;
	int one = 1;

	sa.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, "127.0.0.1", &sa.sin_addr);
	a->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	a->server = server;
	setsockopt(a->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(a->fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(a->fd, 256) ||
	    pthread_create(&thread, NULL, accept_loop, a)) {
		perror("standin-platform");
		return -1;
	}
	pthread_detach(thread);
	return 0;
}

int main(int argc, char **argv)
{
	pthread_t stopper;
	int i;

	if (argc < 2 || argc > 2 + MAX_SERVERS || sodium_init() < 0)
		return 2;
	for (i = 2; i < argc; i++) {
		struct server *s = &servers[n_servers++];

		snprintf(s->version, sizeof(s->version), "v1");
		if (sscanf(argv[i], "%d:%31[^:]:%31[^:]:%d:%d:%31[^:]",
			   &s->port, s->id, s->service, &s->slots,
			   &s->registered_port, s->version) < 4 ||
		    (s->port &&
		     listen_at(s->port,
			       strcmp(s->service, "store") ? s : NULL)))
			return 2;
		if (!s->registered_port)
			s->registered_port = s->port;
		/* A further port of the store, for one process. */
		if (!strcmp(s->service, "store")) {
			memset(s, 0, sizeof(*s));
			n_servers--;
			continue;
		}
		snprintf(s->state, sizeof(s->state), "ready");
	}
	if (atoi(argv[1]) && listen_at(atoi(argv[1]), NULL))
		return 1;
	if (pthread_create(&stopper, NULL, stop_replaced, NULL))
		return 1;
	for (;;) {
		pthread_mutex_lock(&lock);
		for (i = 0; i < n_servers; i++) {
			if (!store_is_down())
				put_registration(&servers[i]);
		}
		pthread_mutex_unlock(&lock);
		sleep_ms(HEARTBEAT_MS);
	}
}
