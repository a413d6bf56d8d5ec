#include "entry/app.h"

#include <microhttpd.h>
#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "config/logging.h"
#include "net/http_clients.h"
#include "core/rendezvous.h"

#define STOPPED_POLL_MS 100
/* Time for clients to read their refusals before the process exits. */
#define SHUTDOWN_TIMEOUT_MS 500
#define CLOSE_POLL_MS 5
#define LOG_CONFIG_READ (1u << 0)
#define LOG_CLAIMS_READ (1u << 1)
#define LOG_APPEND (1u << 2)
#define LOG_ALL (LOG_CONFIG_READ | LOG_CLAIMS_READ | LOG_APPEND)

struct sync_task {
	struct mh_task task;
	struct mh_entry_app *app;
	void (*fn)(struct mh_entry_app *, void *);
	void *arg;
	pthread_mutex_t lock;
	pthread_cond_t done_cond;
	bool done;
};

static void finish_sync(struct sync_task *sync)
{
	pthread_mutex_lock(&sync->lock);
	sync->done = true;
	pthread_cond_signal(&sync->done_cond);
	pthread_mutex_unlock(&sync->lock);
}

static void run_sync(struct mh_task *task)
{
	struct sync_task *sync = (struct sync_task *)task;

	sync->fn(sync->app, sync->arg);
	finish_sync(sync);
}

/* With the lock held. Times out, so that the caller notices the loop's end. */
static void wait_done(struct sync_task *sync)
{
	struct timespec until = mh_cond_deadline(STOPPED_POLL_MS);

	pthread_cond_timedwait(&sync->done_cond, &sync->lock, &until);
}

static void post_and_wait(struct sync_task *sync)
{
	struct mh_entry_app *app = sync->app;

	mh_loop_post(app->loop, &sync->task);
	pthread_mutex_lock(&sync->lock);
	while (!sync->done && !__atomic_load_n(&app->stopped, __ATOMIC_ACQUIRE))
		wait_done(sync);
	pthread_mutex_unlock(&sync->lock);
}

void mh_entry_app_run_on_core(struct mh_entry_app *app,
			      void (*fn)(struct mh_entry_app *, void *),
			      void *arg)
{
	struct sync_task sync = { .task.run = run_sync,
				  .app = app,
				  .fn = fn,
				  .arg = arg,
				  .lock = PTHREAD_MUTEX_INITIALIZER,
				  .done_cond = PTHREAD_COND_INITIALIZER };

	post_and_wait(&sync);
}

struct publish_task {
	struct sync_task sync;
	const char *text;
	enum mh_append_result result;
};

static void on_append_done(void *data, enum mh_append_result result)
{
	struct publish_task *t = data;

	t->result = result;
	finish_sync(&t->sync);
}

static void run_publish(struct mh_task *task)
{
	struct publish_task *t = (struct publish_task *)task;

	mh_log_append_once(t->sync.app->publisher, MH_TOPIC_CONFIG, t->text,
			   strlen(t->text), on_append_done, t);
}

enum mh_append_result mh_entry_app_append_config(struct mh_entry_app *app,
						 const char *text)
{
	struct publish_task t = {
		.sync = { .task.run = run_publish,
			  .app = app,
			  .lock = PTHREAD_MUTEX_INITIALIZER,
			  .done_cond = PTHREAD_COND_INITIALIZER },
		.text = text,
		.result = MH_APPEND_UNKNOWN,
	};

	post_and_wait(&t.sync);
	return t.result;
}

static void on_config_start(void *data, uint64_t first_offset,
			    uint64_t first_ms)
{
	struct mh_entry_app *app = data;

	(void)first_ms;
	mh_entry_set_config_start(app->core, first_offset);
}

static void on_config_record(void *data, uint64_t offset, uint64_t when_ms,
			     const uint8_t *bytes, size_t len)
{
	struct mh_entry_app *app = data;

	mh_entry_apply_config_record(app->core, offset, when_ms,
				     (const char *)bytes, len);
}

static void on_claims_start(void *data, uint64_t first_offset,
			    uint64_t first_ms)
{
	struct mh_entry_app *app = data;

	mh_entry_set_claims_start(app->core, first_offset, first_ms);
}

static void on_claims_record(void *data, uint64_t offset, uint64_t when_ms,
			     const uint8_t *bytes, size_t len)
{
	struct mh_entry_app *app = data;

	mh_entry_apply_claims_record(app->core, offset, when_ms, bytes, len);
}

static void set_log_part_up(struct mh_entry_app *app, uint32_t part,
			    bool part_up)
{
	uint32_t before = app->log_parts_up;
	bool up;

	if (part_up)
		app->log_parts_up |= part;
	else
		app->log_parts_up &= ~part;
	up = app->log_parts_up == LOG_ALL;
	if (up != (before == LOG_ALL)) {
		mh_log_warn("log", "state up=%d", up);
		mh_entry_set_log_up(app->core, up);
	}
}

static void on_config_state(void *data, bool up)
{
	set_log_part_up(data, LOG_CONFIG_READ, up);
}

static void on_claims_state(void *data, bool up)
{
	set_log_part_up(data, LOG_CLAIMS_READ, up);
}

static void on_append_state(void *data, bool up)
{
	set_log_part_up(data, LOG_APPEND, up);
}

static void on_era_risen(void *data)
{
	struct mh_entry_app *app = data;

	mh_entry_store_rewound(app->core, app->store_era.current);
}

static const struct mh_log_ops config_log_ops = {
	.start = on_config_start,
	.record = on_config_record,
	.state = on_config_state,
};

static const struct mh_log_ops claims_log_ops = {
	.start = on_claims_start,
	.record = on_claims_record,
	.state = on_claims_state,
};

/* Of two entries, the one whose name sorts first opens the link. */
static bool should_dial_entry(const struct mh_entry_app *app, const char *name)
{
	return strcmp(app->settings.host, name) < 0;
}

/* Entry hosts among which each backend server's links are distributed. */
struct entry_names {
	const char **v;
	size_t n;
	uint32_t links_per_server;
};

static struct entry_names list_entries(const struct mh_entry_app *app,
				       const struct mh_manifest *m)
{
	const struct mh_host_rows *hosts = mh_host_list_rows(app->host_list);
	struct entry_names names = { .links_per_server =
					     m->policy.links_per_server };
	size_t i;

	names.v = calloc(hosts->n + 1, sizeof(*names.v));
	for (i = 0; names.v && i < hosts->n; i++) {
		if (hosts->v[i].is_entry && !hosts->v[i].leaving)
			names.v[names.n++] = hosts->v[i].name;
	}
	return names;
}

/* A backend server has links to only policy.links_per_server entries. */
static bool should_dial(const struct mh_entry_app *app,
			const struct entry_names *names,
			const struct mh_host_info *host)
{
	if (!strcmp(host->name, app->settings.host))
		return false;
	if (host->is_entry)
		return should_dial_entry(app, host->name);
	/* Without a manifest, links_per_server is unknown: dial no server. */
	return names->v &&
	       mh_rendezvous_chosen(host->name, app->settings.host, names->v,
				    names->n, names->links_per_server);
}

static bool should_dial_address(const struct mh_entry_app *app,
				const struct entry_names *names,
				const char *address)
{
	const struct mh_host_rows *hosts = mh_host_list_rows(app->host_list);
	size_t i;

	for (i = 0; i < hosts->n; i++) {
		if (!strcmp(hosts->v[i].address, address))
			return should_dial(app, names, &hosts->v[i]);
	}
	return false;
}

/* Applies the current host list and manifest to the set of links. */
static void update_links(struct mh_entry_app *app)
{
	const struct mh_manifest *m =
		mh_config_state_manifest(mh_entry_config_state(app->core));
	const struct mh_host_rows *hosts = mh_host_list_rows(app->host_list);
	struct entry_names names = { 0 };
	const char *address;
	size_t i;

	if (m)
		names = list_entries(app, m);
	for (i = 0; i < hosts->n; i++) {
		if (should_dial(app, &names, &hosts->v[i]))
			mh_links_dial(app->links, hosts->v[i].address);
	}
	for (i = 0; (address = mh_links_dialled(app->links, i));) {
		if (should_dial_address(app, &names, address))
			i++;
		else
			mh_links_undial(app->links, address);
	}
	free(names.v);
}

static void on_host_list(void *data, bool changed)
{
	const struct mh_host_rows *hosts;
	struct mh_entry_app *app = data;
	struct mh_host *rows;
	size_t i;

	if (!changed && app->hosts_read)
		return;
	hosts = mh_host_list_rows(app->host_list);
	rows = calloc(hosts->n + 1, sizeof(*rows));
	if (!rows)
		abort();
	for (i = 0; i < hosts->n; i++) {
		rows[i].name = hosts->v[i].name;
		rows[i].is_entry = hosts->v[i].is_entry;
		rows[i].state =
			hosts->v[i].leaving ? MH_HOST_LEAVING : MH_HOST_LIVE;
	}
	mh_entry_set_hosts(app->core, rows, hosts->n);
	app->hosts_read = true;
	app->links_stale = true;
	free(rows);
}

static void link_up(void *data, uint32_t link, const Mh__Hello *hello)
{
	struct mh_entry_app *app = data;
	struct mh_remote remote = {
		.host = hello->host,
		.incarnation = hello->incarnation,
		.is_side = hello->role == MH_ROLE_SIDE,
		.pool = hello->pool,
		.models = (const char *const *)hello->models,
		.n_models = hello->n_models,
	};

	mh_log_info("link", "up host=%s zone=%s link=%u", hello->host,
		    hello->zone, link);
	mh_entry_link_up(app->core, link, &remote);
}

static void link_down(void *data, uint32_t link)
{
	struct mh_entry_app *app = data;

	mh_log_info("link", "down link=%u", link);
	mh_entry_link_down(app->core, link);
}

static void link_frame(void *data, uint32_t link, const Mh__Frame *frame)
{
	struct mh_entry_app *app = data;

	mh_entry_recv(app->core, link, frame);
}

static const struct mh_link_ops link_ops = {
	.up = link_up,
	.down = link_down,
	.frame = link_frame,
};

static void on_signal(void *data)
{
	struct mh_entry_app *app = data;

	if (app->drain_signals++) {
		mh_log_warn("entry", "stopping at once open=%u",
			    mh_entry_count_calls(app->core));
		app->stop_by_ns =
			mh_now_ns() + SHUTDOWN_TIMEOUT_MS * MH_NS_PER_MS;
		mh_entry_refuse_all(app->core);
		return;
	}
	mh_log_info("entry", "draining open=%u",
		    mh_entry_count_calls(app->core));
	mh_entry_drain(app->core);
	__atomic_store_n(&app->ready, false, __ATOMIC_RELAXED);
}

static struct mh_links *start_links(struct mh_entry_app *app)
{
	struct mh_link_conf conf = {
		.host = app->settings.host,
		.zone = app->settings.zone,
		.role = MH_ROLE_ENTRY,
		.pool = "",
		.max_frame_bytes = app->settings.link.max_frame_bytes,
		.max_queue_bytes = app->settings.link.max_queue_bytes,
		.max_unproven = mh_machine_new_links(&app->machine),
	};
	struct mh_links *links;

	randombytes_buf(&conf.incarnation, sizeof(conf.incarnation));
	memcpy(conf.key, app->settings.link.key, sizeof(conf.key));
	links = mh_links_new(app->loop, &conf, mh_entry_counters(app->core),
			     &link_ops, app);
	sodium_memzero(conf.key, sizeof(conf.key));
	if (links && mh_links_listen(links, app->settings.links)) {
		mh_log_error("entry", "can't listen address=%s",
			     app->settings.links);
		mh_links_free(links);
		return NULL;
	}
	return links;
}

static bool start_store(struct mh_entry_app *app)
{
	struct mh_log_env log = { app->loop, &app->timers, &mh_system_clock,
				  app->settings.store, &app->store_era };
	struct mh_host_list_env hosts = {
		app->loop,	  &app->timers,
		&mh_system_clock, app->settings.store,
		&app->store_era,  app->settings.hosts_poll_ms
	};

	app->store_era.report = mh_log_report_era;
	app->era_watch.risen = on_era_risen;
	app->era_watch.data = app;
	mh_store_era_watch(&app->store_era, &app->era_watch);

	app->appender = mh_log_appender_new(&log, on_append_state, app);
	app->publisher = mh_log_appender_new(&log, NULL, NULL);
	app->config_follower =
		mh_log_follow(&log, MH_TOPIC_CONFIG, &config_log_ops, app);
	app->claims_follower =
		mh_log_follow(&log, MH_TOPIC_CLAIMS, &claims_log_ops, app);
	app->host_list = mh_host_list_new(&hosts, on_host_list, app);
	return app->appender && app->publisher && app->config_follower &&
	       app->claims_follower && app->host_list;
}

struct mh_entry_app *mh_entry_app_new(struct mh_entry_settings *settings)
{
	struct mh_entry_app *app = calloc(1, sizeof(*app));
	uint64_t seed;

	if (!app) {
		mh_entry_settings_release(settings);
		return NULL;
	}
	app->stop_by_ns = UINT64_MAX;
	pthread_mutex_init(&app->submit_lock, NULL);
	app->settings = *settings;
	app->signals.watch.fd = -1;
	/* Appending is assumed to work until it fails. */
	app->log_parts_up = LOG_APPEND;
	mh_timers_init(&app->timers);
	randombytes_buf(&seed, sizeof(seed));
	app->loop = mh_loop_new();
	if (!app->loop ||
	    mh_signals_watch(&app->signals, app->loop, on_signal, app))
		goto err;
	app->core = mh_entry_new(app->settings.host, &mh_system_clock, seed,
				 &mh_entry_http_ops, app);
	if (!app->core)
		goto err;
	app->machine = mh_machine_detect(&app->settings.machine);
	app->links = start_links(app);
	if (!app->links)
		goto err;
	app->http = mh_entry_http_start(app);
	app->admin = app->http ? mh_entry_admin_start(app) : NULL;
	if (!app->admin) {
		mh_log_error("entry", "can't listen callers=%s admin=%s",
			     app->settings.callers, app->settings.admin);
		goto err;
	}
	if (!start_store(app))
		goto err;
	return app;
err:
	mh_entry_app_free(app);
	return NULL;
}

/* Released claims must be in the log before the exit, unless appends fail. */
static bool appends_settled(const struct mh_entry_app *app)
{
	return mh_log_appender_idle(app->appender) ||
	       !(app->log_parts_up & LOG_APPEND);
}

static bool drained(struct mh_entry_app *app)
{
	return app->drain_signals && appends_settled(app) &&
	       !mh_entry_count_calls(app->core) &&
	       !__atomic_load_n(&app->open_calls, __ATOMIC_RELAXED) &&
	       !mh_links_unsent(app->links);
}

static uint64_t tick(void *data)
{
	struct mh_entry_app *app = data;
	uint64_t now_ns = mh_now_ns(),
		 due = mh_timers_run(&app->timers, now_ns);
	uint64_t next;

	mh_entry_set_store_era(app->core, app->store_era.current);
	next = mh_entry_tick(app->core);

	if (app->links_stale && app->hosts_read) {
		app->links_stale = false;
		update_links(app);
	}
	mh_links_flush(app->links);
	if (drained(app)) {
		mh_log_info("entry", "drained");
		mh_loop_stop(app->loop);
	} else if (now_ns >= app->stop_by_ns) {
		mh_log_warn(
			"entry", "stopped unread=%u",
			__atomic_load_n(&app->open_calls, __ATOMIC_RELAXED));
		mh_loop_stop(app->loop);
	}
	return mh_earlier(mh_earlier(next, due), app->stop_by_ns);
}

/*
 * Refuses calls that were submitted after the loop had ended. The HTTP server
 * must not be stopped while it waits for the responses to them.
 */
static void close_submissions(struct mh_entry_app *app)
{
	struct timespec pause = { .tv_nsec = CLOSE_POLL_MS * MH_NS_PER_MS };
	uint64_t until_ns = mh_now_ns() + SHUTDOWN_TIMEOUT_MS * MH_NS_PER_MS;

	pthread_mutex_lock(&app->submit_lock);
	app->closed = true;
	pthread_mutex_unlock(&app->submit_lock);
	mh_entry_drain(app->core);
	mh_loop_drain_tasks(app->loop);
	while (__atomic_load_n(&app->open_calls, __ATOMIC_RELAXED) &&
	       mh_now_ns() < until_ns)
		nanosleep(&pause, NULL);
}

void mh_entry_app_run(struct mh_entry_app *app)
{
	mh_log_info("entry", "started host=%s zone=%s callers=%s",
		    app->settings.host, app->settings.zone,
		    app->settings.callers);
	mh_loop_run(app->loop, tick, app);
	close_submissions(app);
	/* Releases administration requests that wait for the core's thread. */
	__atomic_store_n(&app->stopped, true, __ATOMIC_RELEASE);
}

void mh_entry_app_free(struct mh_entry_app *app)
{
	if (!app)
		return;
	mh_host_list_free(app->host_list);
	mh_log_unfollow(app->claims_follower);
	mh_log_unfollow(app->config_follower);
	mh_log_appender_free(app->publisher);
	mh_log_appender_free(app->appender);
	if (app->admin)
		MHD_stop_daemon(app->admin);
	if (app->http)
		MHD_stop_daemon(app->http);
	mh_http_clients_free(app->operators);
	mh_http_clients_free(app->clients);
	mh_links_free(app->links);
	mh_entry_free(app->core);
	mh_timers_release(&app->timers);
	mh_signals_release(&app->signals);
	mh_loop_free(app->loop);
	pthread_mutex_destroy(&app->submit_lock);
	mh_entry_settings_release(&app->settings);
	free(app);
}
