/*
 * HTTP server of the client API. Two threads handle a call: libmicrohttpd's,
 * which serves the client's connection, and the core's, which produces the
 * response. The call's lock protects the fields that both use.
 */
#include <microhttpd.h>
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <urcu-bp.h>

#include "entry/app.h"
#include "entry/parse.h"
#include "net/http_clients.h"
#include "net/http_server.h"

/* Part of the clients' budget that unread responses may use. */
#define UNREAD_PART 2
#define CONNECTION_TIMEOUT_S 120
#define READER_BLOCK_BYTES 16384
#define NS_PER_US 1000
/* For refusals before the core, which derives the delay from its load. */
#define RETRY_AFTER_MS 1000

struct http_call {
	struct mh_entry_app *app;
	struct MHD_Connection *conn;
	char *uri;
	struct mh_http_body body;
	bool begun;	   /* the head was looked at */
	uint64_t received; /* bytes of the body, also those not kept */
	enum mh_error refusal_early; /* why the body is not kept, or MH_OK */
	const char *detail;
	struct mh_parsed_call parsed;
	struct mh_id id;
	char client_request_id[MH_CLIENT_REQUEST_ID_BYTES];
	bool streams; /* the response is passed on as it comes */
	bool submitted;
	struct mh_task submit;
	struct mh_task cancel;

	/* used only on the core's thread */
	struct mh_watch hangup;
	bool in_core;
	uint64_t start_ns;
	uint64_t first_ns;

	pthread_mutex_t lock;
	int refs;
	bool suspended;
	bool head;
	uint32_t status;
	char *content_type;
	char *server;
	struct mh_unread out;
	bool complete;
	bool failed;
	struct mh_refusal refusal;
};

static void free_call(struct http_call *hc)
{
	mh_parsed_call_release(&hc->parsed);
	pthread_mutex_destroy(&hc->lock);
	free(hc->uri);
	free(hc->body.p);
	free(hc->content_type);
	free(hc->server);
	mh_unread_release(&hc->out, &hc->app->unread);
	free(hc);
}

static void unref(struct http_call *hc)
{
	bool last;

	pthread_mutex_lock(&hc->lock);
	last = !--hc->refs;
	pthread_mutex_unlock(&hc->lock);
	if (last)
		free_call(hc);
}

/* With the lock held. */
static void resume_connection(struct http_call *hc)
{
	if (!hc->suspended)
		return;
	hc->suspended = false;
	MHD_resume_connection(hc->conn);
}

static void add_finished_request(struct http_call *hc, enum mh_error error)
{
	struct mh_entry_app *app = hc->app;
	struct mh_finished_request *finished =
		&app->finished_requests[app->n_finished_requests++ %
					MH_MAX_FINISHED_REQUESTS];
	const struct mh_call *call = &hc->parsed.call;
	uint64_t now_ns = mh_clock_mono_ns(&mh_system_clock);

	memset(finished, 0, sizeof(*finished));
	memcpy(finished->client_request_id, hc->client_request_id,
	       sizeof(finished->client_request_id));
	finished->id = call->id;
	snprintf(finished->account, sizeof(finished->account), "%s",
		 call->account);
	snprintf(finished->pool, sizeof(finished->pool), "%s", call->pool);
	snprintf(finished->model, sizeof(finished->model), "%s", call->model);
	snprintf(finished->server, sizeof(finished->server), "%s",
		 hc->server ? hc->server : "");
	finished->tier = call->tier;
	finished->error = error;
	finished->when_ms = mh_clock_wall_ms(&mh_system_clock);
	if (hc->first_ns)
		finished->first_us = (hc->first_ns - hc->start_ns) / NS_PER_US;
	finished->total_us = (now_ns - hc->start_ns) / NS_PER_US;
}

static void stop_watching(struct http_call *hc)
{
	if (hc->hangup.fd < 0)
		return;
	mh_loop_remove(hc->app->loop, &hc->hangup);
	close(hc->hangup.fd);
	hc->hangup.fd = -1;
}

/* Called when the core no longer uses the call. */
static void finish_call(struct http_call *hc, enum mh_error error)
{
	hc->in_core = false;
	stop_watching(hc);
	add_finished_request(hc, error);
}

static void op_head(void *data, struct mh_call *call, uint32_t status,
		    const char *content_type, const char *server)
{
	struct http_call *hc = call->data;

	(void)data;
	hc->first_ns = mh_clock_mono_ns(&mh_system_clock);
	pthread_mutex_lock(&hc->lock);
	hc->head = true;
	hc->status = status;
	hc->content_type = strdup(content_type);
	hc->server = strdup(server);
	if (hc->streams)
		resume_connection(hc);
	pthread_mutex_unlock(&hc->lock);
}

static void cancel_in_core(struct http_call *hc, enum mh_error error)
{
	if (!hc->in_core)
		return;
	mh_entry_cancel(hc->app->core, &hc->parsed.call);
	finish_call(hc, error);
	pthread_mutex_lock(&hc->lock);
	hc->failed = true;
	hc->refusal.error = error;
	resume_connection(hc);
	pthread_mutex_unlock(&hc->lock);
	unref(hc);
}

static void op_chunk(void *data, struct mh_call *call, const uint8_t *bytes,
		     size_t len)
{
	struct http_call *hc = call->data;
	bool overrun;

	(void)data;
	pthread_mutex_lock(&hc->lock);
	overrun = !mh_unread_has_room(&hc->out, &hc->app->unread, len) ||
		  !mh_unread_add(&hc->out, &hc->app->unread, bytes, len);
	if (overrun)
		/* Bytes are missing, so the response can't be completed. */
		hc->failed = true;
	if (hc->streams)
		resume_connection(hc);
	pthread_mutex_unlock(&hc->lock);
}

static void op_end(void *data, struct mh_call *call)
{
	struct http_call *hc = call->data;

	(void)data;
	finish_call(hc, MH_OK);
	pthread_mutex_lock(&hc->lock);
	hc->complete = !hc->failed;
	if (hc->failed)
		hc->refusal.error = MH_ERR_INTERNAL;
	resume_connection(hc);
	pthread_mutex_unlock(&hc->lock);
	unref(hc);
}

static void append_out(struct http_call *hc, const char *text)
{
	mh_unread_add(&hc->out, &hc->app->unread, (const uint8_t *)text,
		      strlen(text));
}

/* With the lock held. Tells the client why its stream ends early. */
static void append_error_event(struct http_call *hc)
{
	char *text =
		mh_problem_text(hc->refusal.error, NULL, hc->client_request_id,
				hc->refusal.retry_after_ms);

	if (!text)
		return;
	append_out(hc, "event: error\ndata: ");
	append_out(hc, text);
	append_out(hc, "\n\n");
	free(text);
}

static void op_refuse(void *data, struct mh_call *call,
		      const struct mh_refusal *refusal)
{
	struct http_call *hc = call->data;

	(void)data;
	finish_call(hc, refusal->error);
	pthread_mutex_lock(&hc->lock);
	hc->failed = true;
	hc->refusal = *refusal;
	if (hc->head && hc->streams)
		append_error_event(hc);
	resume_connection(hc);
	pthread_mutex_unlock(&hc->lock);
	unref(hc);
}

static void op_send(void *data, uint32_t link, const Mh__Frame *frame)
{
	struct mh_entry_app *app = data;

	mh_links_send(app->links, link, frame);
}

static void op_append_claims(void *data, const uint8_t *rec, size_t len)
{
	struct mh_entry_app *app = data;

	mh_log_append(app->appender, MH_TOPIC_CLAIMS, rec, len);
}

static void op_append_config(void *data, const char *rec, size_t len)
{
	struct mh_entry_app *app = data;

	mh_log_append(app->appender, MH_TOPIC_CONFIG, rec, len);
}

static void op_config_changed(void *data, struct mh_manifest *old,
			      const struct mh_manifest *current)
{
	struct mh_entry_app *app = data;

	rcu_assign_pointer(app->manifest, (struct mh_manifest *)current);
	app->links_stale = true;
	if (!app->drain_signals)
		__atomic_store_n(&app->ready, true, __ATOMIC_RELAXED);
	if (!old)
		return;
	/* A short wait: readers hold a manifest only within one callback. */
	synchronize_rcu();
	mh_manifest_free(old);
}

const struct mh_entry_ops mh_entry_http_ops = {
	.send = op_send,
	.head = op_head,
	.chunk = op_chunk,
	.end = op_end,
	.refuse = op_refuse,
	.append_claims = op_append_claims,
	.append_config = op_append_config,
	.config_changed = op_config_changed,
};

static void on_hangup(void *data, uint32_t events)
{
	struct http_call *hc = data;

	(void)events;
	cancel_in_core(hc, MH_ERR_CALLER_GONE);
}

static void prepare_hangup(struct http_call *hc)
{
	const union MHD_ConnectionInfo *info;

	hc->hangup.fd = -1;
	info = MHD_get_connection_info(hc->conn,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	if (!info)
		return;
	/* Duplicated, since libmicrohttpd may close its descriptor. */
	hc->hangup.fd = dup(info->connect_fd);
	hc->hangup.ready = on_hangup;
	hc->hangup.data = hc;
}

static void run_submit(struct mh_task *task)
{
	struct http_call *hc = caa_container_of(task, struct http_call, submit);

	hc->in_core = true;
	if (hc->hangup.fd >= 0)
		mh_loop_add(hc->app->loop, &hc->hangup, EPOLLRDHUP);
	mh_entry_submit(hc->app->core, &hc->parsed.call);
}

static void run_cancel(struct mh_task *task)
{
	struct http_call *hc = caa_container_of(task, struct http_call, cancel);

	cancel_in_core(hc, MH_ERR_CALLER_GONE);
	unref(hc);
}

static void *on_uri(void *cls, const char *uri, struct MHD_Connection *conn)
{
	struct mh_entry_app *app = cls;
	struct http_call *hc = calloc(1, sizeof(*hc));

	if (!hc)
		return NULL;
	hc->app = app;
	hc->conn = conn;
	hc->uri = strdup(uri);
	hc->body.max = app->settings.max_body_bytes;
	hc->refs = 1;
	hc->hangup.fd = -1;
	pthread_mutex_init(&hc->lock, NULL);
	__atomic_add_fetch(&app->open_calls, 1, __ATOMIC_RELAXED);
	return hc;
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
			 enum MHD_RequestTerminationCode code)
{
	struct http_call *hc = *ctx;
	struct mh_entry_app *app = cls;

	(void)code;
	if (!hc)
		return;
	*ctx = NULL;
	__atomic_sub_fetch(&app->open_calls, 1, __ATOMIC_RELAXED);
	mh_http_clients_set_stage(app->clients, conn, MH_CLIENT_IDLE);
	if (!hc->submitted) {
		unref(hc);
		return;
	}
	/* The task takes over the reference. */
	hc->cancel.run = run_cancel;
	mh_loop_post(app->loop, &hc->cancel);
}

static const char *request_header(struct MHD_Connection *conn, const char *name)
{
	return MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name);
}

static enum mh_error parse(struct http_call *hc, const struct mh_id *id,
			   const char *method, const char **detail)
{
	struct mh_client_request req = {
		.id = *id,
		.method = method,
		.uri = hc->uri,
		.content_type = request_header(hc->conn, "Content-Type"),
		.authorization = request_header(hc->conn, "Authorization"),
		.tier = request_header(hc->conn, "X-Tier"),
		.deadline_ms = request_header(hc->conn, "X-Deadline-Ms"),
		.key = request_header(hc->conn, "Idempotency-Key"),
		.non_idempotent = request_header(hc->conn, "X-Non-Idempotent"),
		.body = hc->body.p,
		.body_len = hc->body.len,
	};
	const struct mh_manifest *m;
	enum mh_error error = MH_ERR_NOT_READY;

	rcu_read_lock();
	m = rcu_dereference(hc->app->manifest);
	if (m)
		error = mh_call_parse(m, &req,
				      mh_clock_mono_ns(&mh_system_clock),
				      &hc->parsed, detail);
	rcu_read_unlock();
	return error;
}

/* Return: why a request is refused whatever its body is, or MH_OK. */
static enum mh_error check_head(struct http_call *hc)
{
	const struct mh_manifest *m;
	enum mh_error error = MH_ERR_NOT_READY;

	rcu_read_lock();
	m = rcu_dereference(hc->app->manifest);
	if (m)
		error = mh_call_check_head(
			m, hc->uri, request_header(hc->conn, "Authorization"),
			&hc->detail);
	rcu_read_unlock();
	return error;
}

/* Keeps the bytes of the body as long as the budget has room for them. */
static void keep_body(struct http_call *hc, const char *bytes, size_t len)
{
	if (!mh_http_clients_hold(hc->app->clients, hc->conn,
				  mh_http_body_next_cap(&hc->body, len), len)) {
		hc->refusal_early = MH_ERR_CLIENT_BUDGET;
		mh_http_body_drop(&hc->body);
		return;
	}
	mh_http_body_add(&hc->body, bytes, len);
	if (hc->body.too_large)
		hc->refusal_early = MH_ERR_BODY_TOO_LARGE;
}

/* The rest of a body that is not kept is read, so that the client gets to its
 * response, but not without end. */
static uint64_t max_received(const struct http_call *hc)
{
	return 2 * (uint64_t)hc->body.max;
}

/* Return: MHD_NO to close the connection. */
static enum MHD_Result receive(struct http_call *hc, const char *bytes,
			       size_t len)
{
	hc->received += len;
	if (hc->received > max_received(hc))
		return MHD_NO;
	if (hc->refusal_early == MH_OK)
		keep_body(hc, bytes, len);
	return MHD_YES;
}

static void make_ids(struct http_call *hc, struct mh_id *id)
{
	const char *given = request_header(hc->conn, "X-Request-Id");
	uint64_t rand[2];
	char text[MH_ID_TEXT_BYTES];

	randombytes_buf(rand, sizeof(rand));
	mh_id_make_v7(id, mh_clock_wall_ms(&mh_system_clock), rand[0], rand[1]);
	mh_id_format(id, text);
	snprintf(hc->client_request_id, sizeof(hc->client_request_id), "%s",
		 given ? given : text);
}

/* Return: whether the call was posted to the core's thread. */
static bool submit(struct http_call *hc)
{
	struct mh_entry_app *app = hc->app;
	bool accepted;

	hc->parsed.call.data = hc;
	hc->start_ns = mh_clock_mono_ns(&mh_system_clock);
	hc->submit.run = run_submit;
	pthread_mutex_lock(&app->submit_lock);
	accepted = !app->closed;
	if (accepted) {
		hc->submitted = true;
		pthread_mutex_lock(&hc->lock);
		hc->refs++;
		hc->suspended = true;
		MHD_suspend_connection(hc->conn);
		pthread_mutex_unlock(&hc->lock);
		mh_loop_post(app->loop, &hc->submit);
	}
	pthread_mutex_unlock(&app->submit_lock);
	return accepted;
}

static void add_headers(struct http_call *hc, struct MHD_Response *response)
{
	MHD_add_response_header(response, "X-Request-Id",
				hc->client_request_id);
	if (hc->server)
		MHD_add_response_header(response, "X-Mangohead-Server",
					hc->server);
	if (hc->content_type && *hc->content_type)
		MHD_add_response_header(response, "Content-Type",
					hc->content_type);
}

static ssize_t read_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct http_call *hc = cls;
	size_t n;
	ssize_t result;

	(void)pos;
	pthread_mutex_lock(&hc->lock);
	n = hc->out.len - hc->out.start;
	if (n) {
		n = n < max ? n : max;
		memcpy(buf, hc->out.p + hc->out.start, n);
		hc->out.start += n;
		result = (ssize_t)n;
	} else if (hc->complete) {
		result = MHD_CONTENT_READER_END_OF_STREAM;
	} else if (hc->failed) {
		result = MHD_CONTENT_READER_END_WITH_ERROR;
	} else {
		hc->suspended = true;
		MHD_suspend_connection(hc->conn);
		result = 0;
	}
	pthread_mutex_unlock(&hc->lock);
	return result;
}

static enum MHD_Result queue_response(struct http_call *hc,
				      struct MHD_Response *response)
{
	enum MHD_Result result;

	if (!response)
		return MHD_NO;
	add_headers(hc, response);
	result = MHD_queue_response(hc->conn, hc->status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result respond(struct http_call *hc)
{
	bool complete, failed, streaming;

	pthread_mutex_lock(&hc->lock);
	complete = hc->complete;
	failed = hc->failed;
	streaming = hc->streams && hc->head;
	pthread_mutex_unlock(&hc->lock);
	if (streaming)
		return queue_response(hc, MHD_create_response_from_callback(
						  MHD_SIZE_UNKNOWN,
						  READER_BLOCK_BYTES,
						  read_stream, hc, NULL));
	if (failed)
		return mh_http_reply_problem(hc->conn, hc->refusal.error, NULL,
					     hc->client_request_id,
					     hc->refusal.retry_after_ms);
	if (!complete)
		return MHD_YES;
	return queue_response(
		hc, MHD_create_response_from_buffer(hc->out.len, hc->out.p,
						    MHD_RESPMEM_PERSISTENT));
}

static enum MHD_Result refuse(struct http_call *hc, enum mh_error error)
{
	return mh_http_reply_problem(
		hc->conn, error, hc->detail, hc->client_request_id,
		mh_error_info(error)->retry ? RETRY_AFTER_MS : 0);
}

/* The first callback of a request comes before its body. A response to it ends the
 * connection if there is a body. */
static enum MHD_Result begin(struct http_call *hc)
{
	const char *length = request_header(hc->conn, "Content-Length");
	enum MHD_Result result;

	hc->begun = true;
	mh_http_clients_set_stage(hc->app->clients, hc->conn,
				  MH_CLIENT_READING);
	mh_http_body_add(&hc->body, "", 0);
	if (mh_entry_respond_locally(hc->app, hc->conn, hc->uri, &result))
		return result;
	hc->refusal_early = check_head(hc);
	if (length && strtoull(length, NULL, 10) > max_received(hc))
		hc->refusal_early = MH_ERR_BODY_TOO_LARGE;
	else if (hc->refusal_early == MH_OK ||
		 !request_header(hc->conn, "Expect"))
		return MHD_YES;
	return refuse(hc, hc->refusal_early);
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **ctx)
{
	struct http_call *hc = *ctx;
	enum mh_error error;

	(void)cls;
	(void)conn;
	(void)url;
	if (!hc || !hc->uri)
		return MHD_NO;
	if (hc->submitted)
		return respond(hc);
	if (*upload_size) {
		size_t len = *upload_size;

		*upload_size = 0;
		return receive(hc, upload, len);
	}
	if (!hc->begun) {
		mh_count(mh_entry_counters(hc->app->core), MH_C_HTTP_REQUESTS);
		make_ids(hc, &hc->id);
		return begin(hc);
	}
	mh_http_clients_set_stage(hc->app->clients, hc->conn, MH_CLIENT_BUSY);
	error = hc->refusal_early;
	if (!error)
		error = parse(hc, &hc->id, method, &hc->detail);
	if (!error) {
		/* HTTP/1.0 has no end mark that a cut stream would lack. */
		hc->streams = hc->parsed.stream &&
			      strcmp(version, MHD_HTTP_VERSION_1_0) != 0;
		prepare_hangup(hc);
		if (submit(hc))
			return MHD_YES;
		error = MH_ERR_DRAINING;
	}
	return refuse(hc, error);
}

struct MHD_Daemon *mh_entry_http_start(struct mh_entry_app *app)
{
	struct mh_client_budget_conf conf =
		mh_machine_client_budget(&app->machine, &app->settings.clients);
	struct sockaddr_in sa;

	if (conf.max_connections > app->settings.max_connections)
		conf.max_connections = app->settings.max_connections;
	app->unread.max = conf.max_bytes / UNREAD_PART;
	app->clients = mh_http_clients_new(&conf, app->settings.max_body_bytes,
					   mh_entry_counters(app->core));
	if (!app->clients || !mh_http_sockaddr(app->settings.callers, &sa))
		return NULL;
	return MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0,
		NULL, NULL, on_request, app, MHD_OPTION_SOCK_ADDR, &sa,
		MHD_OPTION_THREAD_POOL_SIZE, app->settings.http_threads,
		MHD_OPTION_CONNECTION_LIMIT,
		/* libmicrohttpd divides it among its threads, and they do not
		 * get the same number of connections. */
		mh_http_clients_limit(app->clients) *
			app->settings.http_threads,
		MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_S,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1,
		MHD_OPTION_URI_LOG_CALLBACK, on_uri, app,
		MHD_OPTION_NOTIFY_CONNECTION, mh_http_clients_notify,
		app->clients, MHD_OPTION_NOTIFY_COMPLETED, on_completed, app,
		MHD_OPTION_END);
}
