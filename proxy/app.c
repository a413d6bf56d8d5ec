#include "proxy/app.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/bounds.h"
#include "net/process.h"
#include "platform/directory.h"
#include "platform/rollout_store.h"
#include "platform/shared_suspects.h"
#include "proxy/client.h"
#include "proxy/exchange.h"
#include "proxy/slot_client.h"
#include "proxy/upstream.h"

/* The load balancer checks readiness once a second and removes the host after
 * two failures, so accept connections this long after SIGTERM. */
#define UNLIST_DELAY_NS (2500 * MH_NS_PER_MS)
/* A request that is read later may not end before the process does. Its caller is
 * told that it has not run. */
#define REFUSE_DELAY_NS (3000 * MH_NS_PER_MS)
/* The process stops this long before the end of the grace period, at which it
 * would be killed. */
#define KILL_MARGIN_NS (300 * MH_NS_PER_MS)
#define MAINTENANCE_INTERVAL_NS (500 * MH_NS_PER_MS)

struct mh_proxy_app {
	struct mh_proxy_settings settings;
	struct mh_process process;
	struct mh_server_notices *notices;
	struct mh_upstreams *upstreams;
	struct mh_abandoned *abandoned;
	struct mh_probes *probes;
	struct mh_slot_client *slot_client;
	struct mh_exchanges *exchanges;
	struct mh_clients *clients;
	struct mh_directory *directory;
	struct mh_shared_suspects *shared_suspects;
	struct mh_stored_rollouts *stored_rollouts;
	struct mh_routes *routes;
	bool unlisted;
	bool ready;
	bool reads_store;
	uint32_t read_phase_ms; /* different for each entry */
	uint64_t next_maintenance_ns;
};

static enum mh_error on_head(void *data, const struct mh_http_head *head)
{
	struct mh_proxy_app *app = data;

	return mh_exchange_check_head(app->exchanges, head);
}

static void on_request_refused(void *data, struct mh_client *cl,
			       const struct mh_http_head *head,
			       enum mh_error error)
{
	struct mh_proxy_app *app = data;

	mh_exchange_refuse(app->exchanges, cl, head, error);
}

static void on_request(void *data, struct mh_client *cl,
		       const struct mh_http_head *head,
		       const struct mh_buffer *body)
{
	struct mh_proxy_app *app = data;

	mh_exchange_begin(app->exchanges, cl, head, body);
}

static void on_closed(void *data, struct mh_client *cl)
{
	struct mh_proxy_app *app = data;

	mh_exchange_cancel(app->exchanges, cl);
}

static void on_drained(void *data, struct mh_client *cl)
{
	struct mh_proxy_app *app = data;

	mh_exchange_drained(app->exchanges, cl);
}

static const struct mh_client_ops client_ops = {
	on_head, on_request_refused, on_request, on_closed, on_drained,
};

static void on_granted(void *data, uint64_t id,
		       const struct mh_server_ref *server)
{
	struct mh_proxy_app *app = data;

	mh_exchange_granted(app->exchanges, id, server);
}

static void on_refused(void *data, uint64_t id, enum mh_error error,
		       uint32_t retry_after_ms)
{
	struct mh_proxy_app *app = data;

	mh_exchange_refused(app->exchanges, id, error, retry_after_ms);
}

static void on_move(void *data, uint64_t id)
{
	struct mh_proxy_app *app = data;

	mh_exchange_move(app->exchanges, id);
}

static void on_hedge(void *data, uint64_t id,
		     const struct mh_server_ref *server)
{
	struct mh_proxy_app *app = data;

	mh_exchange_hedge(app->exchanges, id, server);
}

static void on_peer_document(void *data, uint64_t version, const uint8_t *bytes,
			     size_t len)
{
	struct mh_proxy_app *app = data;

	if (!app->routes || version > mh_routes_version(app->routes))
		mh_directory_apply_document(app->directory, bytes, len);
}

static void on_suspect(void *data, const struct mh_suspect *suspect)
{
	struct mh_proxy_app *app = data;

	mh_shared_suspects_tell(app->shared_suspects, suspect);
}

static const struct mh_slot_client_ops slot_client_ops = {
	on_granted, on_refused, on_move, on_peer_document, on_suspect, on_hedge,
};

static void on_shared_suspect(void *data, const struct mh_suspect *suspect)
{
	struct mh_proxy_app *app = data;

	mh_slot_client_merge_suspect(app->slot_client, suspect);
}

static void each_suspect(void *data,
			 void (*visit)(void *visit_data,
				       const struct mh_suspect *suspect),
			 void *visit_data)
{
	struct mh_proxy_app *app = data;

	mh_dispatch_each_suspect(mh_slot_client_local(app->slot_client), visit,
				 visit_data);
}

static void on_routes(void *data, struct mh_routes *routes)
{
	struct mh_proxy_app *app = data;

	mh_routes_unref(app->routes);
	app->routes = mh_routes_ref(routes);
	/* Other entries may learn it from this one first. */
	if (app->reads_store)
		app->next_maintenance_ns = 0;
	mh_slot_client_set_routes(app->slot_client, routes);
	mh_clients_set_limits(app->clients, mh_routes_limits(routes));
	/* Begins the requests that wait for the first configuration. */
	mh_exchanges_set_routes(app->exchanges, routes);
}

static void on_dispatcher(void *data, const char *host, const char *address)
{
	struct mh_proxy_app *app = data;

	mh_slot_client_add_dispatcher(app->slot_client, host, address);
}

static enum mh_rollout_order_result
on_order(void *data, const struct mh_rollout_order *order)
{
	struct mh_proxy_app *app = data;

	return mh_slot_client_order(app->slot_client, order);
}

static const struct mh_directory_ops directory_ops = {
	on_routes,
	on_dispatcher,
	on_order,
};

static void on_term(void *data)
{
	struct mh_proxy_app *app = data;

	mh_status_set_ready(app->process.status, false);
	mh_clients_disable_keep_alive(app->clients);
	mh_event(app->process.log, MH_EV_PROCESS, "event=stopping requests=%u",
		 mh_exchanges_count(app->exchanges));
}

/* Applies changed bounds and the log format. Changed addresses take effect at
 * the next start. */
static void reload(void *data)
{
	struct mh_proxy_app *app = data;
	struct mh_proxy_settings updated;
	struct mh_config_report rep = { 0 };
	struct mh_rollout_conf rollout_conf;
	struct mh_dispatch_conf conf;

	if (!mh_proxy_settings_read(app->process.path, &updated, &rep)) {
		mh_event(app->process.log, MH_EV_PROCESS,
			 "event=settings_rejected error=\"%.400s\"", rep.text);
		mh_proxy_settings_release(&updated);
		mh_config_report_clear(&rep);
		return;
	}
	app->settings.bounds = updated.bounds;
	app->settings.policy = updated.policy;
	app->settings.hedging = updated.hedging;
	mh_slot_client_set_seeds(app->slot_client, updated.seeds.v,
				 updated.seeds.n);
	mh_process_set_log_format(&app->process, updated.log_format);
	conf = mh_bounds_to_dispatch_conf(&updated.bounds, &updated.policy,
					  &updated.hedging);
	rollout_conf = mh_bounds_to_rollout_conf(&updated.bounds);
	mh_slot_client_set_conf(app->slot_client, &conf, &rollout_conf);
	mh_event(app->process.log, MH_EV_PROCESS,
		 "event=reloaded restart_needed=%d",
		 strcmp(updated.store, app->settings.store) ||
			 strcmp(updated.callers, app->settings.callers) ||
			 strcmp(updated.status, app->settings.status) ||
			 !mh_machine_same(&updated.machine,
					  &app->settings.machine) ||
			 updated.clients.max_buffered_mib !=
				 app->settings.clients.max_buffered_mib ||
			 updated.clients.max_connections !=
				 app->settings.clients.max_connections);
	mh_proxy_settings_release(&updated);
}

/* Decides at each tick what this entry reads from the store itself. */
static void update_store_reads(struct mh_proxy_app *app)
{
	struct mh_store_reads reads =
		mh_slot_client_store_reads(app->slot_client);
	bool reads_lists = mh_store_reads_dispatchers(&reads);
	double factor;

	reads.store_answers = mh_directory_store_ok(app->directory);
	factor = mh_store_reads_interval_factor(&reads);
	mh_directory_follow(app->directory, factor, app->read_phase_ms);
	mh_directory_follow_dispatchers(app->directory, reads_lists);
	mh_directory_follow_entries(app->directory, reads_lists);
	mh_shared_suspects_run(app->shared_suspects, reads_lists,
			       mh_slot_client_sharing(app->slot_client));
	mh_slot_client_set_registered(app->slot_client,
				      mh_directory_entries(app->directory));
	if (app->reads_store != (factor > 0))
		mh_event(app->process.log, MH_EV_DEPENDENCY,
			 "event=reads_store on=%d used=%d fit=%d stale=%d",
			 factor > 0, reads.has_dispatcher, reads.is_fit,
			 reads.is_stale);
	app->reads_store = factor > 0;
	/* An order alone does not tell how it ended. */
	mh_stored_rollouts_follow(
		app->stored_rollouts,
		app->reads_store && !reads.has_dispatcher &&
			mh_rollouts_is_active(
				mh_slot_client_rollouts(app->slot_client)));
}

static void run_maintenance(struct mh_proxy_app *app)
{
	uint64_t version;
	size_t len;
	const uint8_t *doc;

	mh_upstreams_close_expired(app->upstreams);
	if (app->reads_store) {
		doc = mh_directory_document(app->directory, &version, &len);
		mh_slot_client_forward_state(app->slot_client, version, doc,
					     len);
	}
}

static void set_gauges(struct mh_proxy_app *app)
{
	const struct mh_client_budget *budget = mh_clients_budget(app->clients);
	struct mh_metrics *m = app->process.metrics;

	mh_directory_update_metrics(app->directory, m);
	mh_metrics_set_age(m, MH_G_STANDING_AGE,
			   mh_slot_client_heartbeat_ns(app->slot_client),
			   mh_now_ns());
	mh_metrics_set(m, MH_G_OPEN, mh_exchanges_count(app->exchanges));
	mh_metrics_set(m, MH_G_CLIENT_BYTES, (int64_t)budget->bytes);
	mh_metrics_set(m, MH_G_CLIENT_BYTES_MAX,
		       (int64_t)mh_client_budget_limit(budget));
	mh_metrics_set(m, MH_G_CLIENT_CONNECTIONS, budget->n);
	mh_metrics_set(m, MH_G_CLIENT_CONNECTIONS_MAX,
		       budget->conf.max_connections);
}

static void update_ready(struct mh_proxy_app *app)
{
	bool ready = app->routes && !app->process.leaving &&
		     mh_slot_client_is_ready(app->slot_client);

	if (ready == app->ready)
		return;
	app->ready = ready;
	mh_metrics_set(app->process.metrics, MH_G_READY, ready);
	mh_status_set_ready(app->process.status, ready);
	mh_event(app->process.log, MH_EV_PROCESS,
		 "event=ready ready=%d version=%llu", ready,
		 app->routes ?
			 (unsigned long long)mh_routes_version(app->routes) :
			 0);
}

static uint64_t drain(struct mh_proxy_app *app, uint64_t now)
{
	uint64_t grace_ns =
		(uint64_t)(app->settings.bounds.grace_s * MH_MS_PER_S) *
		MH_NS_PER_MS;
	uint64_t unlist_ns = app->process.leaving_ns + UNLIST_DELAY_NS;
	uint64_t refuse_ns = app->process.leaving_ns + REFUSE_DELAY_NS;
	uint64_t last_ns = app->process.leaving_ns + grace_ns - KILL_MARGIN_NS;

	if (now < unlist_ns)
		return unlist_ns;
	if (now >= refuse_ns)
		mh_exchanges_refuse_new(app->exchanges);
	if (!app->unlisted) {
		app->unlisted = true;
		mh_clients_close_idle(app->clients);
	}
	if (now >= last_ns)
		mh_exchanges_end_all(app->exchanges);
	if (!mh_clients_count(app->clients) || now >= last_ns)
		mh_loop_stop(app->process.loop);
	return now < refuse_ns ? mh_earlier(refuse_ns, last_ns) : last_ns;
}

static uint64_t tick(void *data)
{
	struct mh_proxy_app *app = data;
	uint64_t now = mh_now_ns(), next;

	update_store_reads(app);
	if (now >= app->next_maintenance_ns) {
		app->next_maintenance_ns = now + MAINTENANCE_INTERVAL_NS;
		run_maintenance(app);
		set_gauges(app);
	}
	next = mh_earlier(app->next_maintenance_ns,
			  mh_slot_client_tick(app->slot_client));
	update_ready(app);
	if (app->process.leaving)
		next = mh_earlier(next, drain(app, now));
	return next;
}

static const struct mh_process_ops process_ops = { reload, on_term, tick };

static void on_server_accepted(void *data, const struct mh_server_ref *server)
{
	struct mh_proxy_app *app = data;

	mh_slot_client_server_probed(app->slot_client, server);
}

static bool start(struct mh_proxy_app *app)
{
	struct mh_client_env client_env = {
		.loop = app->process.loop,
		.timers = &app->process.timers,
		.clock = &mh_system_clock,
		.counters = &app->process.counters,
		.log = app->process.log,
	};
	struct mh_slot_client_conf slot_client_conf = {
		.host = app->settings.host,
		.zone = app->settings.zone,
		.key = app->settings.link.key,
		.dispatch = mh_bounds_to_dispatch_conf(&app->settings.bounds,
						       &app->settings.policy,
						       &app->settings.hedging),
		.rollouts = mh_bounds_to_rollout_conf(&app->settings.bounds),
		.seeds = app->settings.seeds.v,
		.n_seeds = app->settings.seeds.n,
	};
	struct mh_exchange_env exchange_env = {
		.timers = &app->process.timers,
		.clock = &mh_system_clock,
		.counters = &app->process.counters,
		.metrics = app->process.metrics,
		.log = app->process.log,
	};
	struct mh_shared_suspects_env suspects_env = {
		.loop = app->process.loop,
		.timers = &app->process.timers,
		.clock = &mh_system_clock,
		.counters = &app->process.counters,
		.log = app->process.log,
		.era = &app->process.store_era,
		.received = on_shared_suspect,
		.each = each_suspect,
		.data = app,
	};
	struct mh_stored_rollouts_env rollouts_env = {
		.loop = app->process.loop,
		.timers = &app->process.timers,
		.clock = &mh_system_clock,
		.counters = &app->process.counters,
		.log = app->process.log,
		.era = &app->process.store_era,
		.never_judges = true,
	};
	struct mh_directory_env directory_env = {
		.loop = app->process.loop,
		.timers = &app->process.timers,
		.clock = &mh_system_clock,
		.counters = &app->process.counters,
		.log = app->process.log,
		.era = &app->process.store_era,
	};

	mh_process_set_log_format(&app->process, app->settings.log_format);
	app->process.machine = mh_machine_detect(&app->settings.machine);
	client_env.budget = mh_machine_client_budget(&app->process.machine,
						     &app->settings.clients);
	if (!mh_process_serve_status(&app->process, app->settings.status) ||
	    !mh_process_serve_metrics(&app->process, app->settings.metrics))
		return false;
	app->clients = mh_clients_new(&client_env, app->settings.callers,
				      &client_ops, app);
	if (!app->clients) {
		mh_event(app->process.log, MH_EV_FAILED,
			 "event=no_listen address=%s", app->settings.callers);
		return false;
	}
	app->notices = mh_server_notices_new(&mh_system_clock);
	slot_client_conf.notices = app->notices;
	slot_client_conf.metrics = app->process.metrics;
	slot_client_conf.store_era = &app->process.store_era;
	app->upstreams = mh_upstreams_new(
		app->process.loop, &app->process.timers, &mh_system_clock,
		&app->process.counters, app->notices);
	app->slot_client =
		mh_slot_client_new(app->process.loop, &mh_system_clock,
				   &slot_client_conf, &app->process.counters,
				   app->process.log, &slot_client_ops, app);
	app->shared_suspects = mh_shared_suspects_new(
		&suspects_env, app->settings.store, app->settings.host);
	app->probes = mh_probes_new(app->process.loop, &app->process.timers,
				    &mh_system_clock, &app->process.counters,
				    app->notices, on_server_accepted, app);
	app->abandoned =
		mh_abandoned_new(&app->process.timers, &mh_system_clock,
				 mh_slot_client_notices(app->slot_client));
	exchange_env.notices = app->notices;
	exchange_env.abandoned = app->abandoned;
	exchange_env.upstreams = app->upstreams;
	exchange_env.probes = app->probes;
	exchange_env.slot_client = app->slot_client;
	app->exchanges = mh_exchanges_new(&exchange_env);
	directory_env.catalog = mh_slot_client_catalog(app->slot_client);
	app->directory = mh_directory_new(&directory_env, app->settings.store,
					  &directory_ops, app);
	rollouts_env.rollouts = mh_slot_client_rollouts(app->slot_client);
	app->stored_rollouts =
		mh_stored_rollouts_new(&rollouts_env, app->settings.store);
	app->read_phase_ms = randombytes_uniform(MH_STORE_FIRST_READ_MS);
	mh_directory_announce_entry(app->directory, app->settings.host);
	return true;
}

struct mh_proxy_app *mh_proxy_app_new(const char *path,
				      struct mh_proxy_settings *settings)
{
	struct mh_proxy_app *app = calloc(1, sizeof(*app));

	if (!app) {
		mh_proxy_settings_release(settings);
		return NULL;
	}
	app->settings = *settings;
	if (mh_process_init(&app->process, path, app->settings.host,
			    &process_ops, app) &&
	    start(app))
		return app;
	mh_proxy_app_free(app);
	return NULL;
}

void mh_proxy_app_run(struct mh_proxy_app *app)
{
	mh_event(app->process.log, MH_EV_PROCESS,
		 "event=started zone=%s callers=%s store=%s",
		 app->settings.zone, app->settings.callers,
		 app->settings.store);
	mh_process_run(&app->process);
	mh_event(app->process.log, MH_EV_PROCESS, "event=stopped requests=%u",
		 mh_exchanges_count(app->exchanges));
}

void mh_proxy_app_free(struct mh_proxy_app *app)
{
	if (!app)
		return;
	mh_directory_free(app->directory);
	mh_stored_rollouts_free(app->stored_rollouts);
	mh_shared_suspects_free(app->shared_suspects);
	mh_exchanges_free(app->exchanges);
	mh_clients_free(app->clients);
	mh_probes_free(app->probes);
	mh_abandoned_free(app->abandoned);
	mh_upstreams_free(app->upstreams);
	mh_slot_client_free(app->slot_client);
	mh_server_notices_free(app->notices);
	mh_routes_unref(app->routes);
	mh_process_release(&app->process);
	mh_proxy_settings_release(&app->settings);
	free(app);
}
