/*
 * Unit tests of the side's calls to its backend server: a cancelled run is
 * stopped there, even after the side has closed the run's connection.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "net/http_client.h"
#include "net/http_server.h"
#include "side/backend.h"

#define EVENT_GAP_MS 2
#define MAX_RUNS 4
#define WAIT_LIMIT_MS 10000
#define TEST_LIMIT_S 30

/*
 * Fake engine whose runs stream events until their connection is closed. It
 * answers cancel requests after a delay, or fails the first ones.
 */
static struct {
	pthread_mutex_t lock;
	struct MHD_Daemon *daemon;
	uint16_t port;
	unsigned int cancel_delay_ms;
	unsigned int cancels_to_fail;
	char stopped[MAX_RUNS][MH_ID_TEXT_BYTES];
	unsigned int n_stopped;
	unsigned int n_started;
	unsigned int n_ended;
	enum mh_error last_error;
	const char *stream; /* sent instead of events without end */
	bool endless;	    /* bytes without end and without events */
} engine = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void pause_ms(unsigned int ms)
{
	struct timespec ts = { .tv_sec = ms / 1000,
			       .tv_nsec = (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

static ssize_t next_event(void *cls, uint64_t pos, char *buf, size_t max)
{
	static const char event[] = "data: x\n\n";

	(void)cls;
	(void)pos;
	pause_ms(EVENT_GAP_MS);
	assert_true(max >= sizeof(event) - 1);
	memcpy(buf, event, sizeof(event) - 1);
	return sizeof(event) - 1;
}

static ssize_t next_bytes(void *cls, uint64_t pos, char *buf, size_t max)
{
	(void)cls;
	(void)pos;
	memset(buf, 'x', max);
	return (ssize_t)max;
}

/* Chunked, and ended as it should be. */
static ssize_t rest_of_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
	size_t len = strlen(engine.stream) - pos;

	(void)cls;
	if (!len)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (len > max)
		len = max;
	memcpy(buf, engine.stream + pos, len);
	return (ssize_t)len;
}

static enum MHD_Result reply_stream(struct MHD_Connection *conn)
{
	struct MHD_Response *r = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, engine.endless ? 65536 : 64,
		engine.endless ? next_bytes :
		engine.stream  ? rest_of_stream :
				 next_event,
		NULL, NULL);
	enum MHD_Result result;

	MHD_add_response_header(r, "Content-Type", "text/event-stream");
	result = MHD_queue_response(conn, 200, r);
	MHD_destroy_response(r);
	return result;
}

static enum MHD_Result cancel(struct MHD_Connection *conn, const char *id)
{
	bool fail;

	pause_ms(engine.cancel_delay_ms);
	pthread_mutex_lock(&engine.lock);
	fail = engine.cancels_to_fail > 0;
	if (fail)
		engine.cancels_to_fail--;
	else if (engine.n_stopped < MAX_RUNS)
		snprintf(engine.stopped[engine.n_stopped++], MH_ID_TEXT_BYTES,
			 "%s", id);
	pthread_mutex_unlock(&engine.lock);
	return mh_http_reply_text(conn, fail ? 500 : 200, "text/plain", "x\n");
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **ctx)
{
	static int seen;

	(void)cls;
	(void)version;
	(void)upload;
	if (!*ctx || *upload_size) {
		*ctx = &seen;
		*upload_size = 0;
		return MHD_YES;
	}
	if (!strcmp(method, "DELETE"))
		return cancel(conn, url + strlen("/v1/requests/"));
	if (!strcmp(method, "POST") || engine.endless)
		return reply_stream(conn);
	return mh_http_reply_text(conn, 200, "text/plain", "ok\n");
}

static int start_engine(void **state)
{
	const union MHD_DaemonInfo *info;

	(void)state;
	/* Ends a test whose calls to the engine don't. */
	alarm(TEST_LIMIT_S);
	engine.cancel_delay_ms = 0;
	engine.cancels_to_fail = 0;
	engine.n_stopped = 0;
	engine.n_started = 0;
	engine.n_ended = 0;
	engine.stream = NULL;
	engine.endless = false;
	engine.daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
		0, NULL, NULL, on_request, NULL, MHD_OPTION_END);
	if (!engine.daemon)
		return -1;
	info = MHD_get_daemon_info(engine.daemon, MHD_DAEMON_INFO_BIND_PORT);
	engine.port = info->port;
	return 0;
}

static int stop_engine(void **state)
{
	(void)state;
	alarm(0);
	MHD_stop_daemon(engine.daemon);
	return 0;
}

static void increment(unsigned int *n)
{
	pthread_mutex_lock(&engine.lock);
	++*n;
	pthread_mutex_unlock(&engine.lock);
}

static bool wait_for_count(const unsigned int *n, unsigned int wanted)
{
	unsigned int waited_ms, now = 0;

	for (waited_ms = 0; waited_ms < WAIT_LIMIT_MS;
	     waited_ms += EVENT_GAP_MS) {
		pthread_mutex_lock(&engine.lock);
		now = *n;
		pthread_mutex_unlock(&engine.lock);
		if (now >= wanted)
			return true;
		pause_ms(EVENT_GAP_MS);
	}
	return false;
}

static void on_head(void *data, const struct mh_id *run, uint32_t status,
		    const char *content_type)
{
	(void)data;
	(void)run;
	(void)status;
	(void)content_type;
	increment(&engine.n_started);
}

static void on_data(void *data, const struct mh_id *run, const uint8_t *bytes,
		    size_t len)
{
	(void)data;
	(void)run;
	(void)bytes;
	(void)len;
}

static void on_end(void *data, const struct mh_id *run, enum mh_error error)
{
	(void)data;
	(void)run;
	engine.last_error = error;
	increment(&engine.n_ended);
}

static void on_not_started(void *data, const struct mh_id *run)
{
	on_end(data, run, MH_ERR_BACKEND_FAILED);
}

static void on_health(void *data, bool ok)
{
	(void)data;
	(void)ok;
}

static const struct mh_backend_events events = {
	.head = on_head,
	.data = on_data,
	.end = on_end,
	.not_started = on_not_started,
	.health = on_health,
};

static struct mh_backend *
start_runs_at(const char *kind, struct mh_run_call *calls, unsigned int n)
{
	struct mh_backend *b;
	unsigned int i;
	char url[64];

	snprintf(url, sizeof(url), "http://127.0.0.1:%u", engine.port);
	b = mh_backend_start(kind, url, n, 5, &events, NULL);
	assert_non_null(b);
	for (i = 0; i < n; i++) {
		calls[i] = (struct mh_run_call){
			.id = { .b = { 7, (uint8_t)i } },
			.method = "POST",
			.path = "/v1/completions",
			.account = "a",
			.content_type = "application/json",
			.body = (uint8_t *)"{}",
			.body_len = 2,
		};
		mh_backend_run(b, &calls[i]);
	}
	assert_true(wait_for_count(&engine.n_started, n));
	return b;
}

static struct mh_backend *start_runs(struct mh_run_call *calls, unsigned int n)
{
	return start_runs_at("engine", calls, n);
}

/* Return: how a run ends whose backend sends this stream. */
static enum mh_error end_of_stream(const char *kind, const char *stream)
{
	unsigned int ended = engine.n_ended;
	struct mh_run_call call;
	struct mh_backend *b;

	engine.stream = stream;
	engine.n_started = 0;
	b = start_runs_at(kind, &call, 1);
	assert_true(wait_for_count(&engine.n_ended, ended + 1));
	mh_backend_stop(b);
	return engine.last_error;
}

static bool was_stopped(const struct mh_id *id)
{
	char text[MH_ID_TEXT_BYTES];
	unsigned int i;
	bool found = false;

	mh_id_format(id, text);
	pthread_mutex_lock(&engine.lock);
	for (i = 0; i < engine.n_stopped; i++)
		found = found || !strcmp(engine.stopped[i], text);
	pthread_mutex_unlock(&engine.lock);
	return found;
}

/* The other runs' workers end while the engine delays the first cancel. */
static void test_concurrent_cancels_all_arrive(void **state)
{
	struct mh_run_call calls[3];
	struct mh_backend *b;
	int i;

	(void)state;
	engine.cancel_delay_ms = 200;
	b = start_runs(calls, 3);
	for (i = 0; i < 3; i++)
		mh_backend_cancel(b, &calls[i].id);
	assert_true(wait_for_count(&engine.n_ended, 3));
	assert_true(wait_for_count(&engine.n_stopped, 3));
	for (i = 0; i < 3; i++)
		assert_true(was_stopped(&calls[i].id));
	mh_backend_stop(b);
}

static void test_failed_cancel_is_retried(void **state)
{
	struct mh_run_call call;
	struct mh_backend *b;

	(void)state;
	engine.cancels_to_fail = 2;
	b = start_runs(&call, 1);
	mh_backend_cancel(b, &call.id);
	assert_true(wait_for_count(&engine.n_ended, 1));
	assert_true(wait_for_count(&engine.n_stopped, 1));
	assert_true(was_stopped(&call.id));
	mh_backend_stop(b);
}

/* Cancels that the engine never accepts don't keep the side from stopping. */
static void test_stop_does_not_wait_for_failing_cancels(void **state)
{
	struct mh_run_call calls[2];
	struct mh_backend *b;

	(void)state;
	engine.cancels_to_fail = 1000;
	b = start_runs(calls, 2);
	mh_backend_cancel(b, &calls[0].id);
	assert_true(wait_for_count(&engine.n_ended, 1));
	mh_backend_stop(b);
	assert_int_equal(engine.n_ended, 2);
	assert_int_equal(engine.n_stopped, 0);
}

/* Guards against a stream that ended inside an event being taken for whole. */
static void test_stream_that_ends_inside_an_event_is_cut(void **state)
{
	(void)state;
	assert_int_equal(end_of_stream("engine", "data: a\n\ndata: [DONE]\n\n"),
			 MH_OK);
	assert_int_equal(end_of_stream("engine", "data: a\n\ndata: [DONE]"),
			 MH_ERR_BACKEND_CUT);
	assert_int_equal(end_of_stream("engine", "data: a\n\n"),
			 MH_ERR_BACKEND_CUT);
	assert_int_equal(end_of_stream("service", "data: a\n\ndata: b\n\n"),
			 MH_OK);
	assert_int_equal(end_of_stream("service", "data: a\n\ndata: b\n"),
			 MH_ERR_BACKEND_CUT);
}

/* Guards against a response without end that is kept. */
static void test_response_without_end_is_given_up(void **state)
{
	struct mh_run_call call;
	struct mh_backend *b;

	(void)state;
	engine.endless = true;
	b = start_runs(&call, 1);
	assert_true(wait_for_count(&engine.n_ended, 1));
	assert_int_equal(engine.last_error, MH_ERR_BACKEND_CUT);
	mh_backend_stop(b);
}

/* Guards against a health check that reads for as long as bytes come. */
static void test_health_check_without_end_fails(void **state)
{
	char url[64];

	(void)state;
	engine.endless = true;
	snprintf(url, sizeof(url), "http://127.0.0.1:%u", engine.port);
	assert_int_equal(mh_http_request(url, "GET", "/health", 2), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_concurrent_cancels_all_arrive, start_engine,
			stop_engine),
		cmocka_unit_test_setup_teardown(test_failed_cancel_is_retried,
						start_engine, stop_engine),
		cmocka_unit_test_setup_teardown(
			test_stop_does_not_wait_for_failing_cancels,
			start_engine, stop_engine),
		cmocka_unit_test_setup_teardown(
			test_stream_that_ends_inside_an_event_is_cut,
			start_engine, stop_engine),
		cmocka_unit_test_setup_teardown(
			test_response_without_end_is_given_up, start_engine,
			stop_engine),
		cmocka_unit_test_setup_teardown(
			test_health_check_without_end_fails, start_engine,
			stop_engine),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
