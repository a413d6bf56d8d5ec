/*
 * HTTP server of the administration API: publish, status, manifest, audit,
 * drain, explain. Each connection has a thread, which runs functions on the
 * core's thread and waits for them.
 */
#include <microhttpd.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <urcu-bp.h>

#include "config/toml.h"
#include "entry/app.h"
#include "entry/parse.h"
#include "net/http_clients.h"
#include "net/http_server.h"

#define MAX_BODY_BYTES (32u << 20)
/* Beside one whole body. */
#define MAX_BUFFERED_BYTES (8u << 20)
/* Operators are few, and each connection has a thread. */
#define MAX_CONNECTIONS 32
#define PUBLISH_TIMEOUT_MS 5000
#define PUBLISH_POLL_MS 20
#define MAX_SERVERS 8192
#define DRAIN_ATTEMPTS 5
#define NONCE_BYTES 16
#define NONCE_TEXT_BYTES (2 * NONCE_BYTES + 1)
#define CONNECTION_TIMEOUT_S 60
#define RETRY_AFTER_MS 1000
#define API_PREFIX "/admin/v1/"

struct admin_request {
	struct mh_entry_app *app;
	struct MHD_Connection *conn;
	struct mh_http_body body;
	uint64_t received; /* bytes of the body, also those not kept */
	bool is_operator;
	bool has_no_room;
	const char *method;
	const char *path; /* after API_PREFIX */
	char operator_name[64];
	bool may_publish;
};

/* A configuration change that is published, and its result. */
struct publication {
	const char *kind;
	const char *who;
	const char *note;
	uint64_t base;
	json_t *doc;
	char nonce[NONCE_TEXT_BYTES];
	char *errors;
	bool found;
	struct mh_audit_entry result;
};

static bool role_may_publish(const char *role)
{
	return !strcmp(role, "publisher") || !strcmp(role, "admin");
}

static bool equal_hash(const char *a, const char *b)
{
	return strlen(a) == strlen(b) && !sodium_memcmp(a, b, strlen(a));
}

static bool authenticate(struct admin_request *ar)
{
	const struct mh_entry_settings *settings = &ar->app->settings;
	const char *token = mh_bearer_token(MHD_lookup_connection_value(
		ar->conn, MHD_HEADER_KIND, "Authorization"));
	const struct mh_manifest *m;
	bool known = false;
	char hex[65];
	size_t i;

	if (!token)
		return false;
	mh_sha256_hex(token, hex);
	rcu_read_lock();
	m = rcu_dereference(ar->app->manifest);
	for (i = 0; m && i < m->n_operators; i++) {
		const struct mh_operator *op = &m->operators[i];

		if (!equal_hash(op->token_sha256, hex))
			continue;
		known = true;
		ar->may_publish = role_may_publish(op->role);
		snprintf(ar->operator_name, sizeof(ar->operator_name), "%s",
			 op->name);
	}
	/* The bootstrap token is valid until the manifest names operators. */
	if ((!m || !m->n_operators) && settings->bootstrap_token_sha256 &&
	    equal_hash(settings->bootstrap_token_sha256, hex)) {
		known = true;
		ar->may_publish = true;
		snprintf(ar->operator_name, sizeof(ar->operator_name),
			 "bootstrap");
	}
	rcu_read_unlock();
	return known;
}

static json_t *servers_json(struct mh_entry_app *app)
{
	struct mh_server_view *v = calloc(MAX_SERVERS, sizeof(*v));
	json_t *array = json_array();
	size_t i, n = v ? mh_entry_list_servers(app->core, v, MAX_SERVERS) : 0;

	for (i = 0; i < n; i++)
		json_array_append_new(
			array, json_pack("{s:s, s:s, s:b, s:b, s:i}", "host",
					 v[i].host, "pool", v[i].pool, "up",
					 v[i].up, "leaving", v[i].leaving,
					 "running", (int)v[i].running));
	free(v);
	return array;
}

static json_t *pools_json(struct mh_entry_app *app)
{
	const struct mh_manifest *m =
		mh_config_state_manifest(mh_entry_config_state(app->core));
	json_t *pools = json_array();
	uint8_t t;
	size_t i;

	for (i = 0; m && i < m->n_pools; i++) {
		json_t *waiting = json_object();

		for (t = 0; t < m->n_tiers; t++)
			json_object_set_new(
				waiting, m->tiers[t].name,
				json_integer(mh_entry_count_waiting(
					app->core, m->pools[i].name, t)));
		json_array_append_new(pools, json_pack("{s:s, s:s, s:o}",
						       "name", m->pools[i].name,
						       "kind", m->pools[i].kind,
						       "waiting", waiting));
	}
	return pools;
}

static void get_status(struct mh_entry_app *app, void *arg)
{
	const struct mh_config_state *state = mh_entry_config_state(app->core);
	json_t **out = arg;

	*out = json_pack("{s:s, s:s, s:b, s:I, s:I, s:i, s:o, s:o}", "host",
			 app->settings.host, "zone", app->settings.zone,
			 "draining", app->drain_signals > 0, "version",
			 (json_int_t)mh_config_state_version(state),
			 "next_offset",
			 (json_int_t)mh_config_state_next_offset(state), "open",
			 (int)mh_entry_count_calls(app->core), "servers",
			 servers_json(app), "pools", pools_json(app));
}

static void get_manifest(struct mh_entry_app *app, void *arg)
{
	const struct mh_manifest *m =
		mh_config_state_manifest(mh_entry_config_state(app->core));
	json_t **out = arg;

	*out = m ? json_pack("{s:I, s:o}", "version", (json_int_t)m->version,
			     "doc", json_deep_copy(m->doc)) :
		   json_pack("{s:i, s:n}", "version", 0, "doc");
}

static json_t *audit_json(const struct mh_audit_entry *a)
{
	return json_pack("{s:I, s:s, s:I, s:I, s:I, s:s, s:s, s:s}", "offset",
			 (json_int_t)a->offset, "result",
			 mh_config_result_name(a->result), "base",
			 (json_int_t)a->base, "version", (json_int_t)a->version,
			 "when_ms", (json_int_t)a->when_ms, "who", a->who,
			 "kind", a->kind, "note", a->note);
}

static void get_audit(struct mh_entry_app *app, void *arg)
{
	const struct mh_audit_entry *a;
	json_t **out = arg;
	size_t i;

	*out = json_array();
	for (i = 0;
	     (a = mh_config_state_audit(mh_entry_config_state(app->core), i));
	     i++)
		json_array_append_new(*out, audit_json(a));
}

struct explain_query {
	const char *id;
	json_t *found;
};

static json_t *finished_request_json(const struct mh_finished_request *finished)
{
	const struct mh_error_info *info = mh_error_info(finished->error);
	char id[MH_ID_TEXT_BYTES];

	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:s, s:s, s:s, s:I, "
			 "s:I, s:I}",
			 "request_id", finished->client_request_id, "id",
			 mh_id_format(&finished->id, id), "account",
			 finished->account, "pool", finished->pool, "model",
			 finished->model, "tier", (int)finished->tier, "server",
			 finished->server, "result", info->name, "outcome",
			 finished->error ? mh_outcome_name(info->outcome) :
					   "run",
			 "when_ms", (json_int_t)finished->when_ms, "first_us",
			 (json_int_t)finished->first_us, "total_us",
			 (json_int_t)finished->total_us);
}

static void find_finished_requests(struct mh_entry_app *app, void *arg)
{
	struct explain_query *q = arg;
	char id[MH_ID_TEXT_BYTES];
	uint64_t i;

	q->found = json_array();
	for (i = 0;
	     i < app->n_finished_requests && i < MH_MAX_FINISHED_REQUESTS;
	     i++) {
		const struct mh_finished_request *finished =
			&app->finished_requests[(app->n_finished_requests - 1 -
						 i) %
						MH_MAX_FINISHED_REQUESTS];

		if (!strcmp(finished->client_request_id, q->id) ||
		    !strcmp(mh_id_format(&finished->id, id), q->id))
			json_array_append_new(q->found,
					      finished_request_json(finished));
	}
}

static json_t *new_document(struct mh_entry_app *app,
			    const struct publication *p)
{
	const struct mh_manifest *m =
		mh_config_state_manifest(mh_entry_config_state(app->core));

	if (!strcmp(p->kind, "manifest"))
		return json_incref(p->doc);
	return m ? mh_manifest_merge(m->doc, p->doc) : NULL;
}

/* Same check as on replay, so that an invalid manifest is not appended. */
static void check_publication(struct mh_entry_app *app, void *arg)
{
	struct mh_config_report rep = { .file = "manifest" };
	struct publication *p = arg;
	json_t *doc = new_document(app, p);
	struct mh_manifest *m = doc ? mh_manifest_read(doc, &rep) : NULL;

	if (!m)
		p->errors = strdup(rep.text ? rep.text :
					      "a delta needs a manifest\n");
	mh_config_report_clear(&rep);
	mh_manifest_free(m);
	json_decref(doc);
}

static void find_publication(struct mh_entry_app *app, void *arg)
{
	const struct mh_audit_entry *a;
	struct publication *p = arg;
	size_t i;

	for (i = 0;
	     (a = mh_config_state_audit(mh_entry_config_state(app->core), i));
	     i++) {
		if (strcmp(a->nonce, p->nonce))
			continue;
		p->found = true;
		p->result = *a;
		return;
	}
}

static void wait_for_publication(struct mh_entry_app *app,
				 struct publication *p)
{
	struct timespec pause = { .tv_nsec = PUBLISH_POLL_MS * 1000000 };
	int waited_ms;

	for (waited_ms = 0; waited_ms < PUBLISH_TIMEOUT_MS;
	     waited_ms += PUBLISH_POLL_MS) {
		mh_entry_app_run_on_core(app, find_publication, p);
		if (p->found)
			return;
		nanosleep(&pause, NULL);
	}
}

static char *publication_record(const struct publication *p)
{
	json_t *rec =
		json_pack("{s:s, s:I, s:s, s:s, s:s, s:O}", "kind", p->kind,
			  "base", (json_int_t)p->base, "who", p->who, "nonce",
			  p->nonce, "note", p->note, "doc", p->doc);
	char *text = json_dumps(rec, JSON_COMPACT);

	json_decref(rec);
	return text;
}

/* Return: MH_OK once the record was read back, also if it was refused. */
static enum mh_error publish(struct mh_entry_app *app, struct publication *p)
{
	enum mh_append_result result;
	uint8_t nonce[NONCE_BYTES];
	char *text;

	mh_entry_app_run_on_core(app, check_publication, p);
	if (p->errors)
		return MH_ERR_BAD_REQUEST;
	randombytes_buf(nonce, sizeof(nonce));
	sodium_bin2hex(p->nonce, sizeof(p->nonce), nonce, sizeof(nonce));
	text = publication_record(p);
	if (!text)
		return MH_ERR_INTERNAL;
	result = mh_entry_app_append_config(app, text);
	free(text);
	if (result == MH_APPEND_REFUSED)
		return MH_ERR_LOG_UNAVAILABLE;
	/* If only the response was lost, the log still holds the record. */
	wait_for_publication(app, p);
	return p->found ? MH_OK : MH_ERR_INTERNAL;
}

static enum MHD_Result reply_publication(struct admin_request *ar,
					 enum mh_error error,
					 struct publication *p)
{
	bool accepted = p->found && p->result.result == MH_CONFIG_ACCEPTED;
	json_t *doc;

	if (error == MH_ERR_INTERNAL)
		return mh_http_reply_problem(
			ar->conn, error,
			"the log did not tell in time; see the audit trail",
			NULL, 0);
	if (error)
		return mh_http_reply_problem(ar->conn, error, p->errors, NULL,
					     0);
	doc = audit_json(&p->result);
	json_object_set_new(doc, "accepted", json_boolean(accepted));
	return mh_http_reply_json(ar->conn, accepted ? 200 : 409, doc);
}

static json_t *document_from_body(const json_t *body, char *err, size_t err_len)
{
	const char *toml = json_string_value(json_object_get(body, "toml"));
	json_t *doc = json_object_get(body, "doc");

	if (json_is_object(doc))
		return json_incref(doc);
	if (!toml) {
		snprintf(err, err_len, "toml or doc is missing");
		return NULL;
	}
	doc = mh_toml_parse(toml, strlen(toml), "manifest", err, err_len);
	mh_toml_strip_lines(doc);
	return doc;
}

static enum MHD_Result handle_publish(struct admin_request *ar)
{
	json_t *body =
		json_loadb((const char *)ar->body.p, ar->body.len, 0, NULL);
	const char *kind = json_string_value(json_object_get(body, "kind"));
	const char *note = json_string_value(json_object_get(body, "note"));
	struct publication p = { .kind = kind ? kind : "manifest",
				 .who = ar->operator_name,
				 .note = note ? note : "" };
	char err[512] = "the body must be a JSON object";
	enum MHD_Result result;
	enum mh_error error;

	p.base = (uint64_t)json_integer_value(json_object_get(body, "base"));
	if (json_is_object(body))
		p.doc = document_from_body(body, err, sizeof(err));
	if (p.doc && strcmp(p.kind, "manifest") && strcmp(p.kind, "delta")) {
		snprintf(err, sizeof(err), "kind must be manifest or delta");
		json_decref(p.doc);
		p.doc = NULL;
	}
	if (!p.doc) {
		json_decref(body);
		return mh_http_reply_problem(ar->conn, MH_ERR_BAD_REQUEST, err,
					     NULL, 0);
	}
	error = publish(ar->app, &p);
	result = reply_publication(ar, error, &p);
	free(p.errors);
	json_decref(p.doc);
	json_decref(body);
	return result;
}

struct drain_change {
	const char *host;
	bool drain;
	uint64_t base;
	json_t *drained;
};

static void build_drained_list(struct mh_entry_app *app, void *arg)
{
	const struct mh_manifest *m =
		mh_config_state_manifest(mh_entry_config_state(app->core));
	struct drain_change *c = arg;
	size_t i;

	c->drained = json_array();
	if (!m)
		return;
	c->base = m->version;
	for (i = 0; i < m->drained.n; i++) {
		if (strcmp(m->drained.v[i], c->host))
			json_array_append_new(c->drained,
					      json_string(m->drained.v[i]));
	}
	if (c->drain)
		json_array_append_new(c->drained, json_string(c->host));
}

static enum MHD_Result handle_drain(struct admin_request *ar, const char *host,
				    bool drain)
{
	struct publication p;
	enum MHD_Result result;
	enum mh_error error;
	char note[128];
	int i;

	snprintf(note, sizeof(note), "%s %s", drain ? "drain" : "undrain",
		 host);
	for (i = 0; i < DRAIN_ATTEMPTS; i++) {
		struct drain_change c = { .host = host, .drain = drain };

		mh_entry_app_run_on_core(ar->app, build_drained_list, &c);
		if (!c.drained)
			return MHD_NO;
		memset(&p, 0, sizeof(p));
		p.kind = "delta";
		p.who = ar->operator_name;
		p.note = note;
		p.base = c.base;
		p.doc = json_pack("{s:o}", "drained", c.drained);
		error = publish(ar->app, &p);
		json_decref(p.doc);
		/* Another change was published first: retry on top of it. */
		if (error || p.result.result != MH_CONFIG_REFUSED_BASE)
			break;
	}
	result = reply_publication(ar, error, &p);
	free(p.errors);
	return result;
}

static enum MHD_Result handle_host(struct admin_request *ar)
{
	const char *rest = ar->path + strlen("hosts/");
	const char *slash = strrchr(rest, '/');
	char host[64];
	bool drain;

	if (!slash || (size_t)(slash - rest) >= sizeof(host))
		return mh_http_reply_problem(ar->conn, MH_ERR_NOT_FOUND, NULL,
					     NULL, 0);
	memcpy(host, rest, (size_t)(slash - rest));
	host[slash - rest] = '\0';
	drain = !strcmp(slash, "/drain");
	if (!drain && strcmp(slash, "/undrain"))
		return mh_http_reply_problem(ar->conn, MH_ERR_NOT_FOUND, NULL,
					     NULL, 0);
	return handle_drain(ar, host, drain);
}

static enum MHD_Result handle_explain(struct admin_request *ar)
{
	struct explain_query q = { .id = ar->path + strlen("requests/") };

	mh_entry_app_run_on_core(ar->app, find_finished_requests, &q);
	if (!q.found)
		return MHD_NO;
	if (json_array_size(q.found))
		return mh_http_reply_json(ar->conn, 200, q.found);
	json_decref(q.found);
	return mh_http_reply_problem(ar->conn, MH_ERR_NOT_FOUND,
				     "not among the requests kept here", NULL,
				     0);
}

static enum MHD_Result reply_from_core(struct admin_request *ar,
				       void (*fn)(struct mh_entry_app *,
						  void *))
{
	json_t *doc = NULL;

	mh_entry_app_run_on_core(ar->app, fn, &doc);
	if (!doc)
		return MHD_NO;
	return mh_http_reply_json(ar->conn, 200, doc);
}

static bool starts_with(const char *s, const char *prefix)
{
	return !strncmp(s, prefix, strlen(prefix));
}

static enum MHD_Result handle_api_request(struct admin_request *ar)
{
	bool is_get = !strcmp(ar->method, "GET");
	bool is_post = !strcmp(ar->method, "POST");

	if (is_get && !strcmp(ar->path, "status"))
		return reply_from_core(ar, get_status);
	if (is_get && !strcmp(ar->path, "manifest"))
		return reply_from_core(ar, get_manifest);
	if (is_get && !strcmp(ar->path, "audit"))
		return reply_from_core(ar, get_audit);
	if (is_get && starts_with(ar->path, "requests/"))
		return handle_explain(ar);
	if (is_post && !ar->may_publish)
		return mh_http_reply_problem(ar->conn, MH_ERR_FORBIDDEN,
					     "the role may only read", NULL, 0);
	if (is_post && !strcmp(ar->path, "publish"))
		return handle_publish(ar);
	if (is_post && starts_with(ar->path, "hosts/"))
		return handle_host(ar);
	return mh_http_reply_problem(ar->conn, MH_ERR_NOT_FOUND, NULL, NULL, 0);
}

static enum MHD_Result reply_metrics(struct admin_request *ar)
{
	char *text = mh_http_counters_text(mh_entry_counters(ar->app->core));
	enum MHD_Result result;

	if (!text)
		return MHD_NO;
	result = mh_http_reply_text(ar->conn, 200, "text/plain; version=0.0.4",
				    text);
	free(text);
	return result;
}

/* Return: MHD_NO to close the connection. */
static enum MHD_Result receive(struct admin_request *ar, const char *bytes,
			       size_t len)
{
	struct mh_http_body *body = &ar->body;

	ar->received += len;
	if (ar->received > 2 * (uint64_t)body->max)
		return MHD_NO;
	if (!ar->is_operator || body->too_large)
		return MHD_YES;
	if (mh_http_clients_hold(ar->app->operators, ar->conn,
				 mh_http_body_next_cap(body, len), len)) {
		mh_http_body_add(body, bytes, len);
	} else {
		ar->has_no_room = true;
		mh_http_body_drop(body);
	}
	return MHD_YES;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **ctx)
{
	struct admin_request *ar = *ctx;

	(void)version;
	if (!ar) {
		ar = calloc(1, sizeof(*ar));
		if (!ar)
			return MHD_NO;
		ar->app = cls;
		ar->conn = conn;
		ar->body.max = MAX_BODY_BYTES;
		*ctx = ar;
		mh_http_clients_set_stage(ar->app->operators, conn,
					  MH_CLIENT_READING);
		/* Only operators' bodies are kept. */
		ar->is_operator =
			starts_with(url, API_PREFIX) && authenticate(ar);
		return MHD_YES;
	}
	if (*upload_size) {
		size_t len = *upload_size;

		*upload_size = 0;
		return receive(ar, upload, len);
	}
	mh_http_clients_set_stage(ar->app->operators, conn, MH_CLIENT_BUSY);
	if (!strcmp(url, "/healthz"))
		return mh_http_reply_text(conn, 200, "text/plain", "ok\n");
	if (!strcmp(url, "/metrics"))
		return reply_metrics(ar);
	if (!starts_with(url, API_PREFIX))
		return mh_http_reply_problem(conn, MH_ERR_NOT_FOUND, NULL, NULL,
					     0);
	if (!ar->is_operator)
		return mh_http_reply_problem(conn, MH_ERR_UNAUTHORIZED, NULL,
					     NULL, 0);
	if (ar->has_no_room)
		return mh_http_reply_problem(conn, MH_ERR_CLIENT_BUDGET, NULL,
					     NULL, RETRY_AFTER_MS);
	if (ar->body.too_large)
		return mh_http_reply_problem(conn, MH_ERR_BODY_TOO_LARGE, NULL,
					     NULL, 0);
	ar->method = method;
	ar->path = url + strlen(API_PREFIX);
	return handle_api_request(ar);
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
			 enum MHD_RequestTerminationCode code)
{
	struct admin_request *ar = *ctx;

	(void)cls;
	(void)code;
	if (!ar)
		return;
	mh_http_clients_set_stage(ar->app->operators, conn, MH_CLIENT_IDLE);
	free(ar->body.p);
	free(ar);
	*ctx = NULL;
}

struct MHD_Daemon *mh_entry_admin_start(struct mh_entry_app *app)
{
	struct mh_client_budget_conf conf = { MAX_BUFFERED_BYTES,
					      MAX_CONNECTIONS };
	struct sockaddr_in sa;

	app->operators = mh_http_clients_new(&conf, MAX_BODY_BYTES,
					     mh_entry_counters(app->core));
	if (!app->operators || !mh_http_sockaddr(app->settings.admin, &sa))
		return NULL;
	return MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
		0, NULL, NULL, on_request, app, MHD_OPTION_SOCK_ADDR, &sa,
		MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_S,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1,
		MHD_OPTION_CONNECTION_LIMIT,
		mh_http_clients_limit(app->operators),
		MHD_OPTION_NOTIFY_CONNECTION, mh_http_clients_notify,
		app->operators, MHD_OPTION_NOTIFY_COMPLETED, on_completed, app,
		MHD_OPTION_END);
}
