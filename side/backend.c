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
#include "core/response_judge.h"
#include "net/http1.h"
#include "net/http_client.h"
#include "net/loop.h"

#define READ_BLOCK_BYTES 16384
/* The side keeps the whole response, for entries that attach again. */
#define MAX_RESPONSE_BYTES (16u << 20)
#define HEALTH_INTERVAL_MS 500
/* Interval at which a failed cancel is retried. */
#define CANCEL_RETRY_MS HEALTH_INTERVAL_MS
/* Attempts to cancel a run before it is given up once its connection is closed,
 * since the backend may no longer know it. */
#define CANCEL_ATTEMPTS 5
#define HEALTH_TIMEOUT_S 2
#define CANCEL_TIMEOUT_S 2
#define STREAM_END_MARKER "data: [DONE]"
#define TAIL_BYTES 32

/* Last bytes of a response, to search for the end marker of a stream. */
struct tail {
	char bytes[TAIL_BYTES];
	size_t len;
};

/*
 * Operations that differ between kinds of backend servers.
 * @is_complete: whether a response that ended without an error is complete
 * @cancel: stops a run at the backend, may be NULL; returns whether it did
 * @health_path: path of the health check
 */
struct backend_ops {
	const char *kind;
	bool (*is_complete)(const char *content_type, const struct tail *tail);
	bool (*cancel)(const struct mh_backend *b, const struct mh_id *run);
	const char *health_path;
};

/*
 * A run and its cancel.
 * @call: invalid once the run's end is reported
 * @worker_done: the worker is done; the job is kept for its cancel
 */
struct job {
	const struct mh_run_call *call;
	struct mh_id id;
	bool running;
	bool cancelled;
	bool worker_done;
	bool cancelling;
	bool cancel_accepted;
	uint32_t cancel_attempts;
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
	pthread_cond_t job_added;	 /* wakes one worker */
	pthread_cond_t cancel_requested; /* wakes cancel_thread */
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

static void append_tail(struct tail *tail, const char *bytes, size_t len)
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

/* A stream without its end marker was cut off, even if it ended between two
 * events. */
static bool engine_complete(const char *content_type, const struct tail *tail)
{
	return !is_event_stream(content_type) ||
	       strstr(tail->bytes, STREAM_END_MARKER) != NULL;
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
	.is_complete = engine_complete,
	.cancel = engine_cancel,
	.health_path = "/health",
};

static const struct backend_ops service_ops = {
	.kind = "service",
	.is_complete = service_complete,
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

static enum mh_framing framing_of(ne_request *req, int status)
{
	if (status == 204 || status == 304)
		return MH_FRAMING_NONE;
	if (ne_get_response_header(req, "Transfer-Encoding"))
		return MH_FRAMING_CHUNKED;
	return ne_get_response_header(req, "Content-Length") ?
		       MH_FRAMING_LENGTH :
		       MH_FRAMING_CLOSE;
}

static enum mh_error relay_body(struct mh_backend *b, const struct job *job,
				ne_request *req, const char *content_type,
				struct mh_response_judge *judge)
{
	char block[READ_BLOCK_BYTES];
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
		mh_response_judge_read(judge, (const uint8_t *)block,
				       (size_t)n);
		if (judge->bytes > MAX_RESPONSE_BYTES)
			return MH_ERR_BACKEND_CUT;
		append_tail(&tail, block, (size_t)n);
		b->events->data(b->data, &job->id, (const uint8_t *)block,
				(size_t)n);
	}
	/* The side's protocol has no end that proves nothing. */
	if (mh_response_judge_end(judge, ne_end_request(req) == NE_OK) !=
	    MH_RESPONSE_WHOLE)
		return MH_ERR_BACKEND_CUT;
	if (!b->ops->is_complete(content_type, &tail))
		return MH_ERR_BACKEND_CUT;
	return MH_OK;
}

static enum mh_error relay_response(struct mh_backend *b, const struct job *job,
				    ne_request *req)
{
	const char *type = ne_get_response_header(req, "Content-Type");
	int status = ne_get_status(req)->code;
	struct mh_response_judge judge;

	if (!type)
		type = "";
	mh_response_judge_begin(&judge, framing_of(req, status),
				is_event_stream(type), false);
	if (judge.framing == MH_FRAMING_CLOSE || !mh_http_is_status(status))
		return MH_ERR_BACKEND_CUT;
	b->events->head(b->data, &job->id, (uint32_t)status, type);
	return relay_body(b, job, req, type, &judge);
}

static ne_request *build_request(ne_session *sess, const struct job *job,
				 const char *path)
{
	const struct mh_run_call *call = job->call;
	ne_request *req = ne_request_create(sess, call->method, path);
	char id[MH_ID_TEXT_BYTES];

	/* Keeps the library from retrying the request on its own. */
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

/* Return: whether the backend may still be executing the run. */
static bool run_job(struct mh_backend *b, const struct job *job)
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
		error = relay_response(b, job, req);
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
		pthread_cond_wait(&b->job_added, &b->lock);
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

/* Keeps the job while a cancel for it is being sent or has to be sent. */
static void finish_job(struct mh_backend *b, struct job *job,
		       bool may_still_run)
{
	pthread_mutex_lock(&b->lock);
	if (job->cancelling || (may_still_run && job->cancelled &&
				!job->cancel_accepted && b->ops->cancel))
		job->worker_done = true;
	else
		remove_job(b, job);
	pthread_mutex_unlock(&b->lock);
}

static void *run_worker(void *arg)
{
	struct mh_backend *b = arg;
	struct job *job;

	while ((job = next_job(b))) {
		bool may_still_run = false;

		if (is_cancelled(b, job))
			b->events->end(b->data, &job->id, MH_ERR_CANCELLED);
		else
			may_still_run = run_job(b, job);
		finish_job(b, job, may_still_run);
	}
	return NULL;
}

static void sleep_between_checks(void)
{
	struct timespec pause = { .tv_nsec = HEALTH_INTERVAL_MS * 1000000 };

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
		if (job->running && job->cancelled && !job->cancel_accepted &&
		    now_ns >= job->next_cancel_ns)
			break;
	}
	return job;
}

/* With the lock held. Waits for a cancel, the stop or the next attempt. */
static void wait_for_cancel(struct mh_backend *b)
{
	struct timespec until = mh_cond_deadline(CANCEL_RETRY_MS);

	pthread_cond_timedwait(&b->cancel_requested, &b->lock, &until);
}

/* With the lock held, which is released while the cancel is sent. */
static void send_cancel(struct mh_backend *b, struct job *job)
{
	struct mh_id id = job->id;
	bool accepted;

	job->cancelling = true;
	pthread_mutex_unlock(&b->lock);
	accepted = b->ops->cancel(b, &id);
	pthread_mutex_lock(&b->lock);
	job->cancelling = false;
	job->cancel_accepted = accepted;
	job->cancel_attempts++;
	job->next_cancel_ns = mh_now_ns() + CANCEL_RETRY_MS * MH_NS_PER_MS;
	if (job->worker_done &&
	    (accepted || job->cancel_attempts >= CANCEL_ATTEMPTS))
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
			wait_for_cancel(b);
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
	pthread_cond_init(&b->job_added, NULL);
	pthread_cond_init(&b->cancel_requested, NULL);
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
	       !pthread_create(&b->workers[b->n_workers], NULL, run_worker, b))
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
	pthread_cond_broadcast(&b->job_added);
	pthread_cond_broadcast(&b->cancel_requested);
	pthread_mutex_unlock(&b->lock);
	for (i = 0; i < b->n_workers; i++)
		pthread_join(b->workers[i], NULL);
	pthread_join(b->cancel_thread, NULL);
	pthread_join(b->health_thread, NULL);
	DL_FOREACH_SAFE(b->jobs, job, tmp)
		free(job);
	pthread_cond_destroy(&b->job_added);
	pthread_cond_destroy(&b->cancel_requested);
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
	pthread_cond_signal(&b->job_added);
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
	pthread_cond_signal(&b->cancel_requested);
	pthread_mutex_unlock(&b->lock);
}
