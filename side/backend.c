#include "side/backend.h"

#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

#include "config/logging.h"
#include "net/http_client.h"
#include "net/loop.h"

#define BLOCK_BYTES 16384
#define HEALTH_MS 500
/* Until a cancel that failed is sent again: as often as health is asked. */
#define CANCEL_RETRY_MS HEALTH_MS
/* For a run whose connection is closed: the backend may know of it no longer. */
#define CANCEL_TRIES 5
#define HEALTH_TIMEOUT_S 2
#define CANCEL_TIMEOUT_S 2
#define DONE_MARK "data: [DONE]"
#define TAIL_BYTES 32

/* The end of an answer, to look for a stream's closing mark. */
struct tail {
	char bytes[TAIL_BYTES];
	size_t len;
};

/*
 * What differs between kinds of backend servers.
 * complete: whether an answer that ended without an error is whole
 * cancel: tell the backend to stop a run, may be NULL; returns whether it did
 * health_path: path that is read to see whether it lives
 */
struct backend_ops {
	const char *kind;
	bool (*complete)(const char *content_type, const struct tail *tail);
	bool (*cancel)(const struct mh_backend *b, const struct mh_id *run);
	const char *health_path;
};

/*
 * @call: gone once the run's end is reported
 * @done: the worker has left it; the backend is still to be told to stop
 */
struct job {
	const struct mh_run_call *call;
	struct mh_id id;
	bool running;
	bool cancelled;
	bool done;
	bool cancelling;
	bool cancel_taken;
	uint32_t cancel_tries;
	uint64_t next_cancel_ns;
	struct job *prev, *next;
};

struct mh_backend {
	const struct backend_ops *ops;
	char *url;
	uint32_t timeout_s;
	const struct mh_backend_events *events;
	void *data;
	pthread_mutex_t lock;
	pthread_cond_t added;	  /* a job for one worker */
	pthread_cond_t cancelled; /* for the thread that sends cancels */
	struct job *jobs;
	bool stop;
	pthread_t health_thread;
	pthread_t cancel_thread;
	pthread_t *workers;
	uint32_t n_workers;
};

static bool is_event_stream(const char *content_type)
{
	return !strncmp(content_type, "text/event-stream", 17);
}

static void add_tail(struct tail *tail, const char *bytes, size_t len)
{
	size_t keep = TAIL_BYTES - 1;

	if (len >= keep) {
		memcpy(tail->bytes, bytes + len - keep, keep);
		tail->len = keep;
	} else {
		size_t old = tail->len + len > keep ? keep - len : tail->len;

		memmove(tail->bytes, tail->bytes + tail->len - old, old);
		memcpy(tail->bytes + old, bytes, len);
		tail->len = old + len;
	}
	tail->bytes[tail->len] = '\0';
}

/* A stream that ends without its mark was cut, however it was closed. */
static bool engine_complete(const char *content_type, const struct tail *tail)
{
	return !is_event_stream(content_type) ||
	       strstr(tail->bytes, DONE_MARK) != NULL;
}

static bool service_complete(const char *content_type, const struct tail *tail)
{
	(void)content_type;
	(void)tail;
	return true;
}

static bool is_success(int status)
{
	return status / 100 == 2;
}

static bool engine_cancel(const struct mh_backend *b, const struct mh_id *run)
{
	char path[64], id[MH_ID_TEXT_BYTES];
	int status;

	snprintf(path, sizeof(path), "/v1/requests/%s", mh_id_format(run, id));
	status = mh_http_request(b->url, "DELETE", path, CANCEL_TIMEOUT_S);
	if (!is_success(status))
		mh_log_warn("backend", "run not cancelled run=%s status=%d", id,
			    status);
	return is_success(status);
}

static const struct backend_ops engine_ops = {
	.kind = "engine",
	.complete = engine_complete,
	.cancel = engine_cancel,
	.health_path = "/health",
};

static const struct backend_ops service_ops = {
	.kind = "service",
	.complete = service_complete,
	.health_path = "/health",
};

static bool is_cancelled(struct mh_backend *b, const struct job *job)
{
	bool cancelled;

	pthread_mutex_lock(&b->lock);
	cancelled = job->cancelled || b->stop;
	pthread_mutex_unlock(&b->lock);
	return cancelled;
}

/* Without a length or chunks the end of an answer can't be told from a cut. */
static bool has_framing(ne_request *req, int status)
{
	return status == 204 || status == 304 ||
	       ne_get_response_header(req, "Content-Length") ||
	       ne_get_response_header(req, "Transfer-Encoding");
}

static enum mh_error relay_body(struct mh_backend *b, const struct job *job,
				ne_request *req, const char *content_type)
{
	char block[BLOCK_BYTES];
	struct tail tail = { .len = 0 };
	ssize_t n;

	for (;;) {
		n = ne_read_response_block(req, block, sizeof(block));
		if (is_cancelled(b, job))
			return MH_ERR_CANCELLED;
		if (n < 0)
			return MH_ERR_BACKEND_CUT;
		if (!n)
			break;
		add_tail(&tail, block, (size_t)n);
		b->events->data(b->data, &job->id, (const uint8_t *)block,
				(size_t)n);
	}
	if (ne_end_request(req) != NE_OK)
		return MH_ERR_BACKEND_CUT;
	if (!b->ops->complete(content_type, &tail))
		return MH_ERR_BACKEND_CUT;
	return MH_OK;
}

static enum mh_error relay_answer(struct mh_backend *b, const struct job *job,
				  ne_request *req)
{
	const char *type = ne_get_response_header(req, "Content-Type");
	int status = ne_get_status(req)->code;

	if (!type)
		type = "";
	if (!has_framing(req, status))
		return MH_ERR_BACKEND_CUT;
	b->events->head(b->data, &job->id, (uint32_t)status, type);
	return relay_body(b, job, req, type);
}

static ne_request *build_request(ne_session *sess, const struct job *job,
				 const char *path)
{
	const struct mh_run_call *call = job->call;
	ne_request *req = ne_request_create(sess, call->method, path);
	char id[MH_ID_TEXT_BYTES];

	/* The library must not send a request a second time by itself. */
	ne_set_request_flag(req, NE_REQFLAG_IDEMPOTENT, 0);
	ne_add_request_header(req, "X-Request-Id", mh_id_format(&job->id, id));
	ne_add_request_header(req, "X-Account", call->account);
	if (*call->content_type)
		ne_add_request_header(req, "Content-Type", call->content_type);
	if (call->body_len)
		ne_set_request_body_buffer(req, (const char *)call->body,
					   call->body_len);
	return req;
}

/* Return: whether the backend may go on with the run. */
static bool perform(struct mh_backend *b, const struct job *job)
{
	enum mh_error error = MH_ERR_BACKEND_FAILED;
	char *base, *path;
	ne_session *sess = mh_http_session(b->url, (int)b->timeout_s, &base);
	ne_request *req;
	size_t len;
	int rc;

	if (!sess) {
		b->events->not_started(b->data, &job->id);
		return false;
	}
	len = strlen(base) + strlen(job->call->path) + 1;
	path = malloc(len);
	snprintf(path, len, "%s%s", base, job->call->path);
	req = build_request(sess, job, path);
	rc = ne_begin_request(req);
	if (rc == NE_OK)
		error = relay_answer(b, job, req);
	else if (is_cancelled(b, job))
		error = MH_ERR_CANCELLED;
	ne_request_destroy(req);
	ne_session_destroy(sess);
	free(base);
	free(path);
	if (rc == NE_CONNECT || rc == NE_LOOKUP) {
		b->events->not_started(b->data, &job->id);
		return false;
	}
	b->events->end(b->data, &job->id, error);
	return error != MH_OK;
}

static struct job *next_job(struct mh_backend *b)
{
	struct job *job;

	pthread_mutex_lock(&b->lock);
	for (;;) {
		DL_FOREACH(b->jobs, job) {
			if (!job->running)
				break;
		}
		if (job || b->stop)
			break;
		pthread_cond_wait(&b->added, &b->lock);
	}
	if (b->stop)
		job = NULL;
	if (job)
		job->running = true;
	pthread_mutex_unlock(&b->lock);
	return job;
}

/* With the lock held. */
static void remove_job(struct mh_backend *b, struct job *job)
{
	DL_DELETE(b->jobs, job);
	free(job);
}

/* A cancel that was not sent yet outlives the worker's part. */
static void finish_job(struct mh_backend *b, struct job *job,
		       bool may_still_run)
{
	pthread_mutex_lock(&b->lock);
	if (job->cancelling || (may_still_run && job->cancelled &&
				!job->cancel_taken && b->ops->cancel))
		job->done = true;
	else
		remove_job(b, job);
	pthread_mutex_unlock(&b->lock);
}

static void *work(void *arg)
{
	struct mh_backend *b = arg;
	struct job *job;

	while ((job = next_job(b))) {
		bool may_still_run = false;

		if (is_cancelled(b, job))
			b->events->end(b->data, &job->id, MH_ERR_CANCELLED);
		else
			may_still_run = perform(b, job);
		finish_job(b, job, may_still_run);
	}
	return NULL;
}

static void sleep_between_checks(void)
{
	struct timespec pause = { .tv_nsec = HEALTH_MS * 1000000 };

	nanosleep(&pause, NULL);
}

static void *check_health(void *arg)
{
	struct mh_backend *b = arg;

	while (!__atomic_load_n(&b->stop, __ATOMIC_RELAXED)) {
		int status = mh_http_request(b->url, "GET", b->ops->health_path,
					     HEALTH_TIMEOUT_S);

		b->events->health(b->data, is_success(status));
		sleep_between_checks();
	}
	return NULL;
}

/* With the lock held. */
static struct job *job_to_cancel(struct mh_backend *b, uint64_t now_ns)
{
	struct job *job;

	DL_FOREACH(b->jobs, job) {
		if (job->running && job->cancelled && !job->cancel_taken &&
		    now_ns >= job->next_cancel_ns)
			break;
	}
	return job;
}

/* With the lock held: waits for a cancel or the end, or for the next try. */
static void wait_cancelled(struct mh_backend *b)
{
	struct timespec until = mh_cond_deadline(CANCEL_RETRY_MS);

	pthread_cond_timedwait(&b->cancelled, &b->lock, &until);
}

/* With the lock held, but for the time of the call. */
static void send_cancel(struct mh_backend *b, struct job *job)
{
	struct mh_id id = job->id;
	bool taken;

	job->cancelling = true;
	pthread_mutex_unlock(&b->lock);
	taken = b->ops->cancel(b, &id);
	pthread_mutex_lock(&b->lock);
	job->cancelling = false;
	job->cancel_taken = taken;
	job->cancel_tries++;
	job->next_cancel_ns = mh_now_ns() + CANCEL_RETRY_MS * MH_NS_PER_MS;
	if (job->done && (taken || job->cancel_tries >= CANCEL_TRIES))
		remove_job(b, job);
}

static void *send_cancels(void *arg)
{
	struct mh_backend *b = arg;
	struct job *job;

	pthread_mutex_lock(&b->lock);
	while (!b->stop) {
		job = b->ops->cancel ? job_to_cancel(b, mh_now_ns()) : NULL;
		if (job)
			send_cancel(b, job);
		else
			wait_cancelled(b);
	}
	pthread_mutex_unlock(&b->lock);
	return NULL;
}

struct mh_backend *mh_backend_start(const char *kind, const char *url,
				    uint32_t slots, uint32_t timeout_s,
				    const struct mh_backend_events *events,
				    void *data)
{
	struct mh_backend *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->ops = strcmp(kind, "engine") ? &service_ops : &engine_ops;
	b->url = strdup(url);
	b->timeout_s = timeout_s;
	b->events = events;
	b->data = data;
	pthread_mutex_init(&b->lock, NULL);
	pthread_cond_init(&b->added, NULL);
	pthread_cond_init(&b->cancelled, NULL);
	b->workers = calloc(slots, sizeof(*b->workers));
	if (!b->workers ||
	    pthread_create(&b->health_thread, NULL, check_health, b))
		goto err;
	if (pthread_create(&b->cancel_thread, NULL, send_cancels, b)) {
		__atomic_store_n(&b->stop, true, __ATOMIC_RELAXED);
		pthread_join(b->health_thread, NULL);
		goto err;
	}
	while (b->n_workers < slots &&
	       !pthread_create(&b->workers[b->n_workers], NULL, work, b))
		b->n_workers++;
	return b;
err:
	free(b->workers);
	free(b->url);
	free(b);
	return NULL;
}

void mh_backend_stop(struct mh_backend *b)
{
	struct job *job, *tmp;
	uint32_t i;

	if (!b)
		return;
	pthread_mutex_lock(&b->lock);
	__atomic_store_n(&b->stop, true, __ATOMIC_RELAXED);
	pthread_cond_broadcast(&b->added);
	pthread_cond_broadcast(&b->cancelled);
	pthread_mutex_unlock(&b->lock);
	for (i = 0; i < b->n_workers; i++)
		pthread_join(b->workers[i], NULL);
	pthread_join(b->cancel_thread, NULL);
	pthread_join(b->health_thread, NULL);
	DL_FOREACH_SAFE(b->jobs, job, tmp)
		free(job);
	pthread_cond_destroy(&b->added);
	pthread_cond_destroy(&b->cancelled);
	pthread_mutex_destroy(&b->lock);
	free(b->workers);
	free(b->url);
	free(b);
}

void mh_backend_run(struct mh_backend *b, const struct mh_run_call *call)
{
	struct job *job = calloc(1, sizeof(*job));

	if (!job) {
		b->events->not_started(b->data, &call->id);
		return;
	}
	job->call = call;
	job->id = call->id;
	pthread_mutex_lock(&b->lock);
	DL_APPEND(b->jobs, job);
	pthread_cond_signal(&b->added);
	pthread_mutex_unlock(&b->lock);
}

void mh_backend_cancel(struct mh_backend *b, const struct mh_id *run)
{
	struct job *job;

	pthread_mutex_lock(&b->lock);
	DL_FOREACH(b->jobs, job) {
		if (mh_id_equal(&job->id, run))
			job->cancelled = true;
	}
	pthread_cond_signal(&b->cancelled);
	pthread_mutex_unlock(&b->lock);
}
