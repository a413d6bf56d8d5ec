#include "side/app.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "config/logging.h"
#include "config/machine.h"
#include "core/side.h"
#include "net/link.h"
#include "net/loop.h"
#include "net/signals.h"
#include "net/status.h"
#include "platform/host_list.h"
#include "platform/log_client.h"
#include "side/backend.h"

/* Delay before the exit, so that the last responses reach the entries. */
#define DRAIN_LINGER_NS (500 * MH_NS_PER_MS)

struct mh_side_app {
	struct mh_side_settings settings;
	struct mh_machine machine;
	struct mh_loop *loop;
	struct mh_timers timers;
	struct mh_side *core;
	struct mh_links *links;
	struct mh_backend *backend;
	struct mh_store_era store_era;
	struct mh_host_list *host_list;
	struct mh_status *metrics;
	struct mh_signals signals;
	int drain_signals;
	uint64_t idle_since_ns;
	bool backend_ok;
	bool listed_leaving;
};

enum backend_event {
	EVENT_HEAD,
	EVENT_DATA,
	EVENT_END,
	EVENT_NOT_STARTED,
	EVENT_HEALTH,
};

/* A backend event, passed from another thread to the core's. */
struct event_task {
	struct mh_task task;
	struct mh_side_app *app;
	enum backend_event kind;
	struct mh_id run;
	uint32_t value;
	size_t len;
	uint8_t bytes[];
};

static void set_backend_health(struct mh_side_app *app, bool ok)
{
	if (app->backend_ok != ok)
		mh_log_warn("backend", "state ok=%d", ok);
	app->backend_ok = ok;
	mh_side_backend_state(app->core, ok);
}

static void run_event(struct mh_task *task)
{
	struct event_task *t = (struct event_task *)task;
	struct mh_side *core = t->app->core;

	switch (t->kind) {
	case EVENT_HEAD:
		mh_side_run_head(core, &t->run, t->value,
				 (const char *)t->bytes);
		break;
	case EVENT_DATA:
		mh_side_run_data(core, &t->run, t->bytes, t->len);
		break;
	case EVENT_END:
		mh_side_run_end(core, &t->run, (enum mh_error)t->value);
		break;
	case EVENT_NOT_STARTED:
		mh_side_run_not_started(core, &t->run);
		break;
	case EVENT_HEALTH:
		set_backend_health(t->app, t->value);
		break;
	}
	free(t);
}

static void post_event(struct mh_side_app *app, enum backend_event kind,
		       const struct mh_id *run, uint32_t value,
		       const void *bytes, size_t len)
{
	struct event_task *t = calloc(1, sizeof(*t) + len);

	if (!t)
		abort();
	t->task.run = run_event;
	t->app = app;
	t->kind = kind;
	if (run)
		t->run = *run;
	t->value = value;
	t->len = len;
	if (len)
		memcpy(t->bytes, bytes, len);
	mh_loop_post(app->loop, &t->task);
}

static void on_head(void *data, const struct mh_id *run, uint32_t status,
		    const char *content_type)
{
	post_event(data, EVENT_HEAD, run, status, content_type,
		   strlen(content_type) + 1);
}

static void on_data(void *data, const struct mh_id *run, const uint8_t *bytes,
		    size_t len)
{
	post_event(data, EVENT_DATA, run, 0, bytes, len);
}

static void on_end(void *data, const struct mh_id *run, enum mh_error error)
{
	post_event(data, EVENT_END, run, error, NULL, 0);
}

static void on_not_started(void *data, const struct mh_id *run)
{
	post_event(data, EVENT_NOT_STARTED, run, 0, NULL, 0);
}

static void on_health(void *data, bool ok)
{
	post_event(data, EVENT_HEALTH, NULL, ok, NULL, 0);
}

static const struct mh_backend_events backend_events = {
	.head = on_head,
	.data = on_data,
	.end = on_end,
	.not_started = on_not_started,
	.health = on_health,
};

static void on_host_list(void *data, bool changed)
{
	struct mh_side_app *app = data;
	const struct mh_host_rows *hosts = mh_host_list_rows(app->host_list);
	bool leaving = app->listed_leaving;
	size_t i;

	for (i = 0; changed && i < hosts->n; i++) {
		if (!strcmp(hosts->v[i].name, app->settings.host))
			leaving = hosts->v[i].leaving;
	}
	app->listed_leaving = leaving;
	/* Also if the list is unchanged: each read confirms the state. */
	mh_side_host_state(app->core, leaving);
}

static void op_send(void *data, uint32_t link, const Mh__Frame *frame)
{
	struct mh_side_app *app = data;

	mh_links_send(app->links, link, frame);
}

static void op_start(void *data, const struct mh_run_call *call)
{
	struct mh_side_app *app = data;

	mh_backend_run(app->backend, call);
}

static void op_cancel(void *data, const struct mh_id *run)
{
	struct mh_side_app *app = data;

	mh_backend_cancel(app->backend, run);
}

static const struct mh_side_ops side_ops = {
	.send = op_send,
	.start = op_start,
	.cancel = op_cancel,
};

static void link_up(void *data, uint32_t link, const Mh__Hello *hello)
{
	struct mh_side_app *app = data;

	mh_log_info("link", "up host=%s zone=%s link=%u", hello->host,
		    hello->zone, link);
	mh_side_link_up(app->core, link);
}

static void link_down(void *data, uint32_t link)
{
	struct mh_side_app *app = data;

	mh_log_info("link", "down link=%u", link);
	mh_side_link_down(app->core, link);
}

static void link_frame(void *data, uint32_t link, const Mh__Frame *frame)
{
	struct mh_side_app *app = data;

	mh_side_recv(app->core, link, frame);
}

static const struct mh_link_ops link_ops = {
	.up = link_up,
	.down = link_down,
	.frame = link_frame,
};

static void on_signal(void *data)
{
	struct mh_side_app *app = data;

	if (app->drain_signals++) {
		mh_log_warn("side", "stopping at once running=%u",
			    mh_side_running(app->core));
		mh_loop_stop(app->loop);
		return;
	}
	mh_log_info("side", "draining running=%u", mh_side_running(app->core));
	mh_side_drain(app->core);
}

static struct mh_links *start_links(struct mh_side_app *app)
{
	struct mh_link_conf conf = {
		.host = app->settings.host,
		.zone = app->settings.zone,
		.role = MH_ROLE_SIDE,
		.pool = app->settings.pool,
		.models = app->settings.models.v,
		.n_models = app->settings.models.n,
		.max_frame_bytes = app->settings.link.max_frame_bytes,
		.max_queue_bytes = app->settings.link.max_queue_bytes,
		.max_unproven = mh_machine_new_links(&app->machine),
	};
	struct mh_links *links;

	randombytes_buf(&conf.incarnation, sizeof(conf.incarnation));
	memcpy(conf.key, app->settings.link.key, sizeof(conf.key));
	links = mh_links_new(app->loop, &conf, mh_side_counters(app->core),
			     &link_ops, app);
	sodium_memzero(conf.key, sizeof(conf.key));
	if (links && mh_links_listen(links, app->settings.links)) {
		mh_log_error("side", "can't listen address=%s",
			     app->settings.links);
		mh_links_free(links);
		return NULL;
	}
	return links;
}

static bool follow_hosts(struct mh_side_app *app)
{
	struct mh_host_list_env env = {
		app->loop,	  &app->timers,
		&mh_system_clock, app->settings.store,
		&app->store_era,  app->settings.hosts_poll_ms
	};

	app->store_era.report = mh_log_report_era;
	app->host_list = mh_host_list_new(&env, on_host_list, app);
	return app->host_list != NULL;
}

struct mh_side_app *mh_side_app_new(struct mh_side_settings *settings)
{
	struct mh_side_app *app = calloc(1, sizeof(*app));
	uint64_t seed;

	if (!app) {
		mh_side_settings_release(settings);
		return NULL;
	}
	app->settings = *settings;
	app->signals.watch.fd = -1;
	mh_timers_init(&app->timers);
	randombytes_buf(&seed, sizeof(seed));
	app->loop = mh_loop_new();
	if (!app->loop ||
	    mh_signals_watch(&app->signals, app->loop, on_signal, app))
		goto err;
	app->core = mh_side_new(app->settings.host, &mh_system_clock, seed,
				app->settings.max_running, &side_ops, app);
	if (!app->core)
		goto err;
	app->machine = mh_machine_detect(&app->settings.machine);
	app->links = start_links(app);
	if (!app->links)
		goto err;
	if (app->settings.metrics) {
		app->metrics = mh_status_new(
			app->settings.metrics, mh_side_counters(app->core),
			NULL, mh_machine_status_connections(&app->machine));
		if (!app->metrics) {
			mh_log_error("side", "can't listen address=%s",
				     app->settings.metrics);
			goto err;
		}
	}
	app->backend = mh_backend_start(
		app->settings.backend_kind, app->settings.backend_url,
		app->settings.max_running, app->settings.timeout_s,
		&backend_events, app);
	if (!app->backend)
		goto err;
	if (app->settings.store && !follow_hosts(app))
		goto err;
	return app;
err:
	mh_side_app_free(app);
	return NULL;
}

static bool drained(struct mh_side_app *app)
{
	uint64_t now_ns = mh_clock_mono_ns(&mh_system_clock);

	if (!app->drain_signals)
		return false;
	if (!mh_side_idle(app->core) || mh_links_unsent(app->links)) {
		app->idle_since_ns = 0;
		return false;
	}
	if (!app->idle_since_ns)
		app->idle_since_ns = now_ns;
	return now_ns > app->idle_since_ns + DRAIN_LINGER_NS;
}

static uint64_t tick(void *data)
{
	struct mh_side_app *app = data;
	uint64_t due = mh_timers_run(&app->timers, mh_now_ns());
	uint64_t next = mh_side_tick(app->core);

	mh_links_flush(app->links);
	if (drained(app)) {
		mh_log_info("side", "drained");
		mh_loop_stop(app->loop);
	}
	return mh_earlier(next, due);
}

void mh_side_app_run(struct mh_side_app *app)
{
	mh_log_info("side", "started host=%s zone=%s pool=%s backend=%s",
		    app->settings.host, app->settings.zone, app->settings.pool,
		    app->settings.backend_url);
	mh_loop_run(app->loop, tick, app);
}

void mh_side_app_free(struct mh_side_app *app)
{
	if (!app)
		return;
	mh_host_list_free(app->host_list);
	mh_backend_stop(app->backend);
	mh_status_free(app->metrics);
	mh_links_free(app->links);
	mh_side_free(app->core);
	mh_timers_release(&app->timers);
	mh_signals_release(&app->signals);
	mh_loop_free(app->loop);
	mh_side_settings_release(&app->settings);
	free(app);
}
