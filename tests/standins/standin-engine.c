/*
 * Stand-in for a model engine: continuous batching with prefill and decode
 * time, a limited prefix cache, a delayed load report, resume, cancel, and
 * orders that may be checked for stale fencing numbers.
 *
 * A prompt that contains "CRASH-THE-ENGINE" ends the process.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "tests/standins/standin.h"

#define CACHE_ENTRIES 32
#define PREFIX_BYTES 512
#define BYTES_PER_TOKEN 4
#define RETENTION_MS 10000

struct seq {
	char id[64];
	uint64_t body_hash;
	char model[64];
	bool chat;
	bool stream;
	long prompt_left;
	long out_tokens;
	long emitted;
	bool cancelled;
	uint64_t done_ms;
	int n_readers;
	struct seq *prev, *next;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t stepped = PTHREAD_COND_INITIALIZER;
static struct seq *seqs;
static uint64_t cache[CACHE_ENTRIES];
static unsigned int cache_next;
static double step_ms;
static long prefill_tokens, batch_cost_percent, load_lag_ms;
static bool checks_fence;
static json_int_t fence;
static long reported_running;
static uint64_t reported_ms;
static json_int_t prefilled, wasted;

static bool is_done(const struct seq *q)
{
	return q->cancelled || q->emitted >= q->out_tokens;
}

static void evict_finished(uint64_t now)
{
	struct seq *q, *tmp;

	DL_FOREACH_SAFE(seqs, q, tmp) {
		if (!is_done(q) || q->n_readers)
			continue;
		if (!q->done_ms)
			q->done_ms = now;
		if (now < q->done_ms + RETENTION_MS)
			continue;
		DL_DELETE(seqs, q);
		free(q);
	}
}

/* Runs one step of the batch. Return: number of sequences that decode. */
static long step(void)
{
	long budget = prefill_tokens, decoding = 0;
	struct seq *q;

	DL_FOREACH(seqs, q) {
		long n;

		if (is_done(q))
			continue;
		if (q->prompt_left <= 0) {
			q->emitted++;
			decoding++;
			continue;
		}
		n = q->prompt_left < budget ? q->prompt_left : budget;
		q->prompt_left -= n;
		budget -= n;
		prefilled += n;
	}
	return decoding;
}

static void *run_steps(void *arg)
{
	long decoding = 0;

	(void)arg;
	for (;;) {
		uint64_t now = standin_unix_ms();

		standin_sleep_ms(step_ms * (1.0 + (double)(decoding *
							   batch_cost_percent) /
							  100.0));
		pthread_mutex_lock(&lock);
		decoding = step();
		if (now > reported_ms + (uint64_t)load_lag_ms) {
			reported_ms = now;
			reported_running = decoding;
		}
		evict_finished(now);
		pthread_cond_broadcast(&stepped);
		pthread_mutex_unlock(&lock);
	}
	return NULL;
}

static bool cache_find_or_add(uint64_t hash)
{
	int i;

	for (i = 0; i < CACHE_ENTRIES; i++) {
		if (cache[i] == hash)
			return true;
	}
	cache[cache_next++ % CACHE_ENTRIES] = hash;
	return false;
}

static struct seq *find_sequence(const char *id)
{
	struct seq *q;

	DL_FOREACH(seqs, q) {
		if (!strcmp(q->id, id))
			return q;
	}
	return NULL;
}

static struct seq *add_sequence(const struct standin_request *req,
				const json_t *doc)
{
	const char *id = MHD_lookup_connection_value(req->conn, MHD_HEADER_KIND,
						     "X-Request-Id");
	const json_t *max = json_object_get(doc, "max_tokens");
	const char *model = json_string_value(json_object_get(doc, "model"));
	size_t prefix =
		req->body_len < PREFIX_BYTES ? req->body_len : PREFIX_BYTES;
	struct seq *q = calloc(1, sizeof(*q));

	snprintf(q->id, sizeof(q->id), "%s", id ? id : "none");
	snprintf(q->model, sizeof(q->model), "%s", model ? model : "");
	q->body_hash = XXH64(req->body, req->body_len, 0);
	q->chat = strstr(req->url, "chat") != NULL;
	q->stream = json_is_true(json_object_get(doc, "stream"));
	q->out_tokens = max ? (long)json_integer_value(max) : 16;
	q->prompt_left = (long)(req->body_len / BYTES_PER_TOKEN);
	if (cache_find_or_add(XXH64(req->body, prefix, 0)))
		q->prompt_left -= (long)(prefix / BYTES_PER_TOKEN);
	q->n_readers = 1;
	DL_APPEND(seqs, q);
	return q;
}

static json_t *choice(const struct seq *q, const char *text, bool last,
		      bool is_message)
{
	json_t *c = json_pack("{s:i, s:s?}", "index", 0, "finish_reason",
			      last ? "stop" : NULL);

	if (!q->chat)
		json_object_set_new(c, "text", json_string(text));
	else
		json_object_set_new(c, is_message ? "message" : "delta",
				    json_pack("{s:s, s:s}", "role", "assistant",
					      "content", text));
	return c;
}

static void token_text(const struct seq *q, long i, char *buf, size_t len)
{
	snprintf(buf, len, "%016llx-%ld ", (unsigned long long)q->body_hash, i);
}

struct reader {
	struct seq *q;
	long next_token;
	char line[512];
	size_t len;
	size_t sent;
	bool finished;
};

static void fill_line(struct reader *r)
{
	char token[64], *text;
	json_t *doc;

	if (r->next_token == r->q->out_tokens) {
		r->len = (size_t)snprintf(r->line, sizeof(r->line),
					  "data: [DONE]\n\n");
		r->finished = true;
		return;
	}
	token_text(r->q, r->next_token, token, sizeof(token));
	r->next_token++;
	doc = json_pack(
		"{s:s, s:s, s:s, s:[o]}", "id", r->q->id, "object", "chunk",
		"model", r->q->model, "choices",
		choice(r->q, token, r->next_token == r->q->out_tokens, false));
	text = json_dumps(doc, JSON_COMPACT);
	r->len = (size_t)snprintf(r->line, sizeof(r->line), "data: %s\n\n",
				  text);
	free(text);
	json_decref(doc);
}

static ssize_t read_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct reader *r = cls;
	size_t n;

	(void)pos;
	if (r->sent == r->len) {
		if (r->finished)
			return MHD_CONTENT_READER_END_OF_STREAM;
		pthread_mutex_lock(&lock);
		while (r->next_token >= r->q->emitted && !is_done(r->q))
			pthread_cond_wait(&stepped, &lock);
		n = r->q->cancelled;
		pthread_mutex_unlock(&lock);
		if (n)
			return MHD_CONTENT_READER_END_WITH_ERROR;
		r->sent = 0;
		fill_line(r);
	}
	n = r->len - r->sent < max ? r->len - r->sent : max;
	memcpy(buf, r->line + r->sent, n);
	r->sent += n;
	return (ssize_t)n;
}

static void free_reader(void *cls)
{
	struct reader *r = cls;

	pthread_mutex_lock(&lock);
	/* The client disconnected: its remaining tokens are wasted. */
	if (!r->finished && !r->q->cancelled) {
		wasted += r->q->out_tokens - r->next_token;
	}
	r->q->n_readers--;
	pthread_mutex_unlock(&lock);
	free(r);
}

static enum MHD_Result reply_stream(const struct standin_request *req,
				    struct seq *q, long from)
{
	struct reader *r = calloc(1, sizeof(*r));
	struct MHD_Response *response;
	enum MHD_Result result;

	r->q = q;
	r->next_token = from;
	response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, 4096, read_stream, r, free_reader);
	MHD_add_response_header(response, "Content-Type", "text/event-stream");
	result = MHD_queue_response(req->conn, 200, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result reply_complete(const struct standin_request *req,
				      struct seq *q)
{
	size_t cap = (size_t)q->out_tokens * 32 + 1, len = 0;
	char *text = calloc(1, cap);
	bool cancelled;
	json_t *doc;
	long i;

	pthread_mutex_lock(&lock);
	while (!is_done(q))
		pthread_cond_wait(&stepped, &lock);
	cancelled = q->cancelled;
	pthread_mutex_unlock(&lock);
	for (i = 0; i < q->out_tokens && !cancelled; i++) {
		char token[64];

		token_text(q, i, token, sizeof(token));
		len += (size_t)snprintf(text + len, cap - len, "%s", token);
	}
	doc = json_pack("{s:s, s:s, s:[o]}", "id", q->id, "model", q->model,
			"choices", choice(q, text, true, true));
	free(text);
	pthread_mutex_lock(&lock);
	q->n_readers--;
	pthread_mutex_unlock(&lock);
	if (cancelled) {
		json_decref(doc);
		return MHD_NO;
	}
	return mh_http_reply_json(req->conn, 200, doc);
}

static enum MHD_Result handle_completion(const struct standin_request *req)
{
	json_t *doc = json_loadb(req->body, req->body_len, 0, NULL);
	struct seq *q;

	if (!doc)
		return mh_http_reply_text(req->conn, 400, "text/plain", "?\n");
	if (strstr(req->body, "CRASH-THE-ENGINE"))
		_Exit(9);
	pthread_mutex_lock(&lock);
	q = add_sequence(req, doc);
	pthread_mutex_unlock(&lock);
	json_decref(doc);
	return q->stream ? reply_stream(req, q, 0) : reply_complete(req, q);
}

static enum MHD_Result
handle_resume_or_cancel(const struct standin_request *req)
{
	const char *from = MHD_lookup_connection_value(
		req->conn, MHD_GET_ARGUMENT_KIND, "from");
	struct seq *q;

	pthread_mutex_lock(&lock);
	q = find_sequence(req->url + strlen("/v1/requests/"));
	if (q && !strcmp(req->method, "DELETE"))
		q->cancelled = true;
	else if (q)
		q->n_readers++;
	pthread_mutex_unlock(&lock);
	if (!q)
		return mh_http_reply_text(req->conn, 404, "text/plain", "?\n");
	if (!strcmp(req->method, "DELETE"))
		return mh_http_reply_text(req->conn, 200, "text/plain", "ok\n");
	return reply_stream(req, q, from ? strtol(from, NULL, 10) : 0);
}

static enum MHD_Result handle_order(const struct standin_request *req)
{
	json_t *doc = json_loadb(req->body, req->body_len, 0, NULL);
	json_int_t order_fence =
		json_integer_value(json_object_get(doc, "fence"));
	bool refuse;

	pthread_mutex_lock(&lock);
	refuse = checks_fence && order_fence < fence;
	if (!refuse)
		fence = order_fence;
	pthread_mutex_unlock(&lock);
	json_decref(doc);
	return mh_http_reply_text(req->conn, refuse ? 409 : 200, "text/plain",
				  refuse ? "old fencing number\n" : "ok\n");
}

static enum MHD_Result handle_load(const struct standin_request *req)
{
	json_t *doc;

	pthread_mutex_lock(&lock);
	doc = json_pack("{s:i, s:I, s:I}", "running", (int)reported_running,
			"prefilled", prefilled, "wasted", wasted);
	pthread_mutex_unlock(&lock);
	return mh_http_reply_json(req->conn, 200, doc);
}

static enum MHD_Result handle(const struct standin_request *req)
{
	if (!strcmp(req->url, "/health"))
		return mh_http_reply_text(req->conn, 200, "text/plain", "ok\n");
	if (!strcmp(req->url, "/load"))
		return handle_load(req);
	if (!strcmp(req->url, "/orders"))
		return handle_order(req);
	if (!strncmp(req->url, "/v1/requests/", 13))
		return handle_resume_or_cancel(req);
	if (!strcmp(req->method, "POST"))
		return handle_completion(req);
	return mh_http_reply_text(req->conn, 404, "text/plain", "?\n");
}

int main(int argc, char **argv)
{
	pthread_t thread;

	step_ms = strtod(standin_option(argc, argv, "step_ms", "3"), NULL);
	prefill_tokens = standin_number(argc, argv, "prefill_tokens", 512);
	batch_cost_percent = standin_number(argc, argv, "batch_cost", 4);
	load_lag_ms = standin_number(argc, argv, "load_lag_ms", 1000);
	checks_fence = standin_number(argc, argv, "checks_fence", 1);
	pthread_create(&thread, NULL, run_steps, NULL);
	return standin_serve(
		standin_option(argc, argv, "listen", "127.0.0.1:7100"), handle);
}
