#include "dispatcher/app.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/bounds.h"
#include "core/dispatch.h"
#include "dispatcher/linked_entry.h"
#include "dispatcher/notices.h"
#include "dispatcher/pool_log.h"
#include "dispatcher/rollouts.h"
#include "dispatcher/slot_frames.h"
#include "dispatcher/slot_log.h"
#include "dispatcher/suspects.h"
#include "net/crash_log.h"
#include "net/dispatcher_frames.h"
#include "net/link.h"
#include "net/link_peer.h"
#include "net/process.h"
#include "net/registrations.h"
#include "net/suspect_frames.h"
#include "platform/directory.h"
#include "platform/ledger.h"

/* Entries treat a dispatcher as lost after several missed heartbeats. */
#define HEARTBEAT_INTERVAL_NS (100 * MH_NS_PER_MS)
/* A dispatcher counts as active for this long after its last slot request. */
#define ACTIVE_WINDOW_NS (3000 * MH_NS_PER_MS)
/* Factor on the store's read interval while no entry uses this dispatcher. */
#define STANDBY_READ_SLOWDOWN 2.2
/* Interval at which entries are told of other dispatchers without a change. */
#define DISPATCHERS_INTERVAL_NS (10000 * MH_NS_PER_MS)
#define MAINTENANCE_INTERVAL_NS (500 * MH_NS_PER_MS)
/* Entries learn of a phase, and the store of it, within this time. */
#define ROLLOUTS_INTERVAL_NS (20 * MH_NS_PER_MS)
/* Number of entries that hold copies of ledger records, and how often they
 * receive one. A copy costs a few KB of traffic between zones. */
#define LEDGER_COPIES 3
#define LEDGER_COPY_INTERVAL_NS (800 * MH_NS_PER_MS)
/* Time for a dispatcher that was not in use to read the store. */
#define FRESH_READ_NS (1000 * MH_NS_PER_MS)
/* A silent entry is disconnected after this time. Entries send a frame with
 * each request and ping at a fixed interval. */
#define LINK_TIMEOUT_MS 1500
#define MAX_FRAME_BYTES (8u << 20)
#define MAX_QUEUE_BYTES (16u << 20)
/* After SIGTERM: time for entries to switch to another dispatcher. */
#define SHUTDOWN_GRACE_NS (600 * MH_NS_PER_MS)

struct mh_dispatcher_app {
	struct mh_dispatcher_settings settings;
	struct mh_process process;
	struct mh_links *links;
	struct mh_catalog *catalog;
	struct mh_dispatch *dispatch;
	struct mh_directory *directory;
	struct mh_ledger *ledger;
	uint64_t ledger_copied_ns;
	struct mh_routes *routes;
	struct mh_linked_entry *linked_entries;
	struct mh_dispatcher_notices notices;
	struct mh_dispatcher_suspects suspects;
	struct mh_dispatcher_rollouts rollouts;
	uint64_t next_rollouts_ns;
	struct mh_candidates dispatchers;
	bool dispatchers_changed;
	uint64_t dispatchers_sent_ns;
	bool fit;
	uint64_t last_request_ns;
	uint64_t next_heartbeat_ns;
	uint64_t next_maintenance_ns;
};

static void grant_slot(void *data, uint32_t owner, uint64_t id,
		       const struct mh_backend_server *server)
{
	struct mh_dispatcher_app *app = data;

	mh_count(&app->process.counters, MH_C_GRANTS);
	mh_slot_frames_send_grant(app->links, owner, id, server);
}

static const char *entry_host(const struct mh_dispatcher_app *app,
			      uint32_t link)
{
	return mh_linked_entry_host(app->linked_entries, link);
}

static void refuse_slot(void *data, uint32_t owner, uint64_t id,
			const struct mh_slot_refusal *why)
{
	struct mh_dispatcher_app *app = data;

	mh_count(&app->process.counters, MH_C_REFUSED);
	mh_slot_log_refusal(app->process.log, entry_host(app, owner), id, why);
	mh_slot_frames_send_refusal(app->links, owner, id, why);
}

static void move_request(void *data, uint32_t owner, uint64_t id)
{
	struct mh_dispatcher_app *app = data;

	mh_slot_frames_send_move(app->links, owner, id);
}

static void log_lost_run(void *data, const struct mh_lost_run *run)
{
	struct mh_dispatcher_app *app = data;

	mh_crash_log_lost_run(app->process.log, entry_host(app, run->owner),
			      run);
}

static void on_suspect(void *data, const struct mh_suspect *suspect)
{
	struct mh_dispatcher_app *app = data;

	mh_dispatcher_suspects_share(&app->suspects, suspect, 0);
}

static void on_limited(void *data, uint32_t owner, uint64_t id,
		       uint32_t wait_ms)
{
	struct mh_dispatcher_app *app = data;

	mh_count(&app->process.counters, MH_C_LIMIT_WAITS);
	mh_event(app->process.log, MH_EV_SENT,
		 "event=limit_wait entry=%s request=%llu wait_ms=%u",
		 entry_host(app, owner), (unsigned long long)id, wait_ms);
}

static void hedge_request(void *data, uint32_t owner, uint64_t id,
			  const struct mh_backend_server *server)
{
	struct mh_dispatcher_app *app = data;

	mh_count(&app->process.counters, MH_C_HEDGES);
	mh_slot_log_hedge(app->process.log, entry_host(app, owner), id, server);
	mh_slot_frames_send_hedge(app->links, owner, id, server);
}

static const struct mh_dispatch_ops dispatch_ops = {
	grant_slot, refuse_slot, move_request,	log_lost_run,
	on_suspect, on_limited,	 hedge_request,
};

static void on_server(void *data, const struct mh_registration *reg)
{
	struct mh_dispatcher_app *app = data;
	struct mh_linked_entry *entry, *tmp;

	mh_event(app->process.log, MH_EV_SERVER,
		 "event=server server=%s service=%s address=%s state=%d "
		 "doubtful=%d sequence=%llu born=%llu",
		 reg->id, reg->service ? reg->service : "",
		 reg->address ? reg->address : "", reg->state, reg->is_doubtful,
		 (unsigned long long)reg->sequence,
		 (unsigned long long)reg->born_ms);
	mh_dispatch_update_registration(app->dispatch, reg);
	HASH_ITER(hh, app->linked_entries, entry, tmp)
		mh_registration_send(app->links, entry->link, reg);
}

static void send_document(struct mh_dispatcher_app *app, uint32_t link)
{
	uint64_t version;
	size_t len;
	const uint8_t *doc =
		mh_directory_document(app->directory, &version, &len);

	if (doc)
		mh_config_document_send(app->links, link, version, doc, len);
}

static void on_routes(void *data, struct mh_routes *routes)
{
	struct mh_dispatcher_app *app = data;
	struct mh_linked_entry *entry, *tmp;

	mh_routes_unref(app->routes);
	app->routes = mh_routes_ref(routes);
	mh_dispatch_configure(app->dispatch, routes);
	mh_account_log(app->process.log, routes);
	HASH_ITER(hh, app->linked_entries, entry, tmp)
		send_document(app, entry->link);
}

/* Dispatchers do not communicate with each other, but tell entries of each
 * other. */
static void on_dispatcher(void *data, const char *host, const char *address)
{
	struct mh_dispatcher_app *app = data;

	if (mh_candidates_learn(&app->dispatchers, host, address))
		app->dispatchers_changed = true;
}

static enum mh_rollout_order_result
on_order(void *data, const struct mh_rollout_order *order)
{
	struct mh_dispatcher_app *app = data;

	return mh_rollouts_order(app->rollouts.set, order, 0);
}

static const struct mh_directory_ops directory_ops = {
	on_routes,
	on_dispatcher,
	on_order,
};

struct recipient {
	struct mh_dispatcher_app *app;
	uint32_t link;
};

static void send_registration(void *data, const struct mh_registration *reg)
{
	const struct recipient *to = data;

	mh_registration_send(to->app->links, to->link, reg);
}

/* While no entry is linked, nothing is read from the store, so what is known may
 * be old. A new entry is told of it after a fresh read, or if the store does not
 * answer for a while. */
static void tell_new_entries(struct mh_dispatcher_app *app, uint64_t now)
{
	struct mh_linked_entry *entry, *tmp;

	HASH_ITER(hh, app->linked_entries, entry, tmp) {
		struct recipient to = { app, entry->link };

		if (entry->is_told || (!mh_directory_is_fresh(app->directory) &&
				       now < entry->up_ns + FRESH_READ_NS))
			continue;
		entry->is_told = true;
		send_document(app, entry->link);
		mh_catalog_each(app->catalog, send_registration, &to);
	}
}

static void send_heartbeat(struct mh_dispatcher_app *app, uint32_t link)
{
	struct mh_dispatcher_state state = {
		.fit = app->fit,
		.entries = mh_dispatch_entries(app->dispatch),
		.store_era = app->process.store_era.current,
		.servers_age_ms = mh_directory_servers_age_ms(app->directory),
		.servers_in_doubt = mh_directory_doubts_servers(app->directory),
	};
	size_t len;

	mh_directory_document(app->directory, &state.version, &len);
	mh_slot_frames_send_heartbeat(app->links, link, &state);
}

/* A standby dispatcher reads the store less often than the active one. */
static double read_slowdown(const struct mh_dispatcher_app *app)
{
	return app->last_request_ns && mh_now_ns() < app->last_request_ns +
							     ACTIVE_WINDOW_NS ?
		       1 :
		       STANDBY_READ_SLOWDOWN;
}

static void on_link_up(void *data, uint32_t link, const Mh__Hello *hello)
{
	struct mh_dispatcher_app *app = data;

	mh_linked_entry_add(&app->linked_entries, link, hello->host,
			    mh_now_ns());
	mh_linked_entries_note(app->linked_entries, app->dispatch);
	mh_event(app->process.log, MH_EV_DEPENDENCY, "event=link_up peer=%s",
		 hello->host);
	mh_directory_follow(app->directory, read_slowdown(app), 0);
	mh_directory_follow_dispatchers(app->directory, true);
	mh_ledger_run(app->ledger, true);
	mh_dispatchers_send(app->links, link, &app->dispatchers,
			    app->settings.host);
	tell_new_entries(app, mh_now_ns());
	mh_dispatcher_suspects_send_all(&app->suspects, link);
	mh_dispatcher_rollouts_link_up(&app->rollouts, link);
	mh_dispatcher_notices_send_all(&app->notices, link);
	send_heartbeat(app, link);
}

static void on_link_down(void *data, uint32_t link)
{
	struct mh_dispatcher_app *app = data;
	struct mh_linked_entry *entry =
		mh_linked_entry_find(app->linked_entries, link);
	uint64_t heard_ns;

	if (!entry)
		return;
	heard_ns = mh_links_silent_since(app->links, link);
	mh_event(app->process.log, MH_EV_DEPENDENCY,
		 "event=link_lost peer=%s silent=%d", entry->host,
		 heard_ns > 0);
	mh_dispatch_owner_gone(app->dispatch, link);
	mh_linked_entries_lose(&app->linked_entries, entry, app->dispatch,
			       heard_ns);
	/* Without entries there are no slot requests, so stop reading the
	 * store. */
	if (!app->linked_entries) {
		mh_directory_follow(app->directory, 0, 0);
		mh_directory_follow_dispatchers(app->directory, false);
		mh_ledger_run(app->ledger, false);
		app->fit = false;
	}
}

static void on_slot_request(struct mh_dispatcher_app *app, uint32_t link,
			    const Mh__PlaceAsk *msg)
{
	uint64_t now = mh_now_ns();
	struct mh_slot_request slot_req;

	mh_slot_frames_read_request(msg, link, now, &slot_req);
	mh_linked_entry_set_using(app->linked_entries, link, true);
	if (!app->last_request_ns ||
	    now > app->last_request_ns + ACTIVE_WINDOW_NS) {
		app->last_request_ns = now;
		mh_directory_follow(app->directory, read_slowdown(app), 0);
	}
	app->last_request_ns = now;
	if (*msg->server)
		mh_dispatch_adopt_slot(app->dispatch, &slot_req, msg->server,
				       msg->age_ms);
	else
		mh_dispatch_request_slot(app->dispatch, &slot_req);
}

static void on_slot_released(struct mh_dispatcher_app *app, uint32_t link,
			     const Mh__PlaceDone *msg)
{
	enum mh_slot_outcome outcome = MH_SLOT_CANCELLED;

	if (msg->outcome < MH_SLOT_OUTCOMES)
		outcome = (enum mh_slot_outcome)msg->outcome;
	mh_dispatch_streamed(app->dispatch, link, msg->id, msg->events);
	mh_dispatch_done(app->dispatch, link, msg->id, outcome, msg->total_ms);
}

/* Copies the record to some entries, for dispatchers that start while the
 * store is down. */
static void on_ledger_written(void *data, const char *text)
{
	struct mh_dispatcher_app *app = data;
	uint64_t now = mh_now_ns();

	if (now < app->ledger_copied_ns + LEDGER_COPY_INTERVAL_NS)
		return;
	app->ledger_copied_ns = now;
	mh_linked_entries_copy_record(app->linked_entries, app->links,
				      app->settings.host, text, LEDGER_COPIES);
}

static void on_frame(void *data, uint32_t link, const Mh__Frame *frame)
{
	struct mh_dispatcher_app *app = data;
	struct mh_suspect observed;

	switch (frame->body_case) {
	case MH__FRAME__BODY_PLACE_ASK:
		on_slot_request(app, link, frame->place_ask);
		break;
	case MH__FRAME__BODY_PLACE_DONE:
		on_slot_released(app, link, frame->place_done);
		break;
	case MH__FRAME__BODY_PLACE_FIRST:
		mh_dispatch_first_byte(app->dispatch, link,
				       frame->place_first->id,
				       frame->place_first->first_ms);
		break;
	case MH__FRAME__BODY_SPENT:
		mh_dispatch_add_reported_usage(
			app->dispatch, frame->spent->account,
			frame->spent->giver, frame->spent->units,
			frame->spent->age_ms);
		break;
	case MH__FRAME__BODY_SERVER_WORDS:
		mh_registration_receive(
			app->catalog, frame->server_words, mh_now_ns(),
			&(struct mh_link_peer){ app->links, link });
		break;
	case MH__FRAME__BODY_CRASH_SUSPECT:
		mh_dispatcher_suspects_receive(&app->suspects, link,
					       frame->crash_suspect);
		break;
	case MH__FRAME__BODY_PING:
		mh_linked_entry_set_using(app->linked_entries, link,
					  frame->ping->is_used);
		break;
	case MH__FRAME__BODY_ROLLOUT_STATE:
		mh_dispatcher_rollouts_receive(&app->rollouts,
					       frame->rollout_state);
		break;
	case MH__FRAME__BODY_OBSERVED_CRASH:
		mh_suspect_read(frame->observed_crash, mh_now_ns(), &observed);
		mh_crash_log_observed(app->process.log, entry_host(app, link),
				      &observed);
		mh_dispatch_add_observed(app->dispatch, &observed);
		break;
	case MH__FRAME__BODY_SERVER_PROBED:
		mh_dispatch_server_probed(app->dispatch,
					  frame->server_probed->server);
		break;
	case MH__FRAME__BODY_SERVER_NOTICE:
		mh_dispatcher_notices_receive(&app->notices, link,
					      frame->server_notice);
		break;
	case MH__FRAME__BODY_LEDGER_RECORD:
		mh_ledger_receive(app->ledger, frame->ledger_record->bytes.data,
				  frame->ledger_record->bytes.len,
				  frame->ledger_record->age_ms);
		break;
	case MH__FRAME__BODY_DOCUMENT:
		mh_directory_apply_document(app->directory,
					    frame->document->bytes.data,
					    frame->document->bytes.len);
		break;
	default:
		break;
	}
}

static const struct mh_link_ops link_ops = { on_link_up, on_link_down,
					     on_frame };

static void on_term(void *data)
{
	struct mh_dispatcher_app *app = data;

	app->next_heartbeat_ns = 0;
	mh_event(app->process.log, MH_EV_PROCESS, "event=stopping entries=%u",
		 HASH_COUNT(app->linked_entries));
}

static void reload(void *data)
{
	struct mh_dispatcher_app *app = data;
	struct mh_dispatcher_settings updated;
	struct mh_config_report rep = { 0 };
	struct mh_rollout_conf rollout_conf;
	struct mh_dispatch_conf conf;

	if (!mh_dispatcher_settings_read(app->process.path, &updated, &rep)) {
		mh_event(app->process.log, MH_EV_PROCESS,
			 "event=settings_rejected error=\"%.400s\"", rep.text);
		mh_dispatcher_settings_release(&updated);
		mh_config_report_clear(&rep);
		return;
	}
	app->settings.bounds = updated.bounds;
	app->settings.policy = updated.policy;
	app->settings.hedging = updated.hedging;
	mh_process_set_log_format(&app->process, updated.log_format);
	conf = mh_bounds_to_dispatch_conf(&updated.bounds, &updated.policy,
					  &updated.hedging);
	rollout_conf = mh_bounds_to_rollout_conf(&updated.bounds);
	mh_dispatch_set_conf(app->dispatch, &conf);
	mh_rollouts_set_conf(app->rollouts.set, &rollout_conf);
	mh_event(app->process.log, MH_EV_PROCESS,
		 "event=reloaded restart_needed=%d",
		 strcmp(updated.store, app->settings.store) ||
			 strcmp(updated.links, app->settings.links));
	mh_dispatcher_settings_release(&updated);
}

static bool is_fit(const struct mh_dispatcher_app *app)
{
	return !app->process.leaving && mh_directory_is_fresh(app->directory) &&
	       mh_ledger_is_loaded(app->ledger);
}

static void set_gauges(struct mh_dispatcher_app *app)
{
	struct mh_metrics *m = app->process.metrics;

	mh_directory_update_metrics(app->directory, m);
	mh_metrics_set(m, MH_G_LINKS, HASH_COUNT(app->linked_entries));
	mh_metrics_set(m, MH_G_READY, app->fit);
}

static void broadcast_dispatchers(struct mh_dispatcher_app *app, uint64_t now)
{
	struct mh_linked_entry *entry, *tmp;

	if (!app->dispatchers_changed &&
	    now < app->dispatchers_sent_ns + DISPATCHERS_INTERVAL_NS)
		return;
	app->dispatchers_changed = false;
	app->dispatchers_sent_ns = now;
	HASH_ITER(hh, app->linked_entries, entry, tmp)
		mh_dispatchers_send(app->links, entry->link, &app->dispatchers,
				    app->settings.host);
}

static void broadcast_heartbeat(struct mh_dispatcher_app *app)
{
	bool fit = is_fit(app);
	struct mh_linked_entry *entry, *tmp;

	if (fit != app->fit)
		mh_event(app->process.log, MH_EV_DEPENDENCY, "event=fit fit=%d",
			 fit);
	app->fit = fit;
	mh_linked_entries_note(app->linked_entries, app->dispatch);
	set_gauges(app);
	HASH_ITER(hh, app->linked_entries, entry, tmp)
		send_heartbeat(app, entry->link);
}

static void run_maintenance(struct mh_dispatcher_app *app)
{
	const struct mh_service *service;
	size_t i;

	if (app->linked_entries)
		mh_directory_follow(app->directory, read_slowdown(app), 0);
	mh_catalog_tick(app->catalog, mh_now_ns());
	for (i = 0; app->routes && app->linked_entries &&
		    (service = mh_routes_service_at(app->routes, i));
	     i++)
		mh_pool_log(app->process.log, app->dispatch, service->name);
}

static uint64_t tick(void *data)
{
	struct mh_dispatcher_app *app = data;
	uint64_t now = mh_now_ns(), next;

	mh_dispatcher_rollouts_wake(&app->rollouts, now);
	if (now >= app->next_maintenance_ns) {
		app->next_maintenance_ns = now + MAINTENANCE_INTERVAL_NS;
		run_maintenance(app);
	}
	tell_new_entries(app, now);
	/* Send a heartbeat as soon as the store has been read. */
	if (app->linked_entries && (now >= app->next_heartbeat_ns ||
				    (!app->fit && !app->process.leaving &&
				     mh_directory_is_fresh(app->directory)))) {
		app->next_heartbeat_ns = now + HEARTBEAT_INTERVAL_NS;
		broadcast_dispatchers(app, now);
		broadcast_heartbeat(app);
	}
	next = app->next_maintenance_ns;
	if (app->linked_entries)
		next = mh_earlier(next, app->next_heartbeat_ns);
	next = mh_earlier(next, mh_dispatch_tick(app->dispatch));
	if (now >= app->next_rollouts_ns) {
		app->next_rollouts_ns = now + ROLLOUTS_INTERVAL_NS;
		mh_dispatcher_rollouts_tick(&app->rollouts, app->fit);
	}
	if (mh_rollouts_is_active(app->rollouts.set))
		next = mh_earlier(next, app->next_rollouts_ns);
	mh_links_flush(app->links);
	if (app->process.leaving) {
		uint64_t end = app->process.leaving_ns + SHUTDOWN_GRACE_NS;

		if (!app->linked_entries || now >= end)
			mh_loop_stop(app->process.loop);
		next = mh_earlier(next, end);
	}
	return next;
}

static const struct mh_process_ops process_ops = { reload, on_term, tick };

static bool start(struct mh_dispatcher_app *app)
{
	struct mh_dispatch_conf conf = mh_bounds_to_dispatch_conf(
		&app->settings.bounds, &app->settings.policy,
		&app->settings.hedging);
	struct mh_link_conf link_conf = {
		.host = app->settings.host,
		.zone = app->settings.zone,
		.role = MH_ROLE_SIDE,
		.pool = "",
		.max_frame_bytes = MAX_FRAME_BYTES,
		.max_queue_bytes = MAX_QUEUE_BYTES,
		.receive_timeout_ms = LINK_TIMEOUT_MS,
	};
	struct mh_directory_env env = {
		.loop = app->process.loop,
		.timers = &app->process.timers,
		.clock = &mh_system_clock,
		.counters = &app->process.counters,
		.log = app->process.log,
		.era = &app->process.store_era,
	};
	struct mh_ledger_env ledger_env = {
		.loop = app->process.loop,
		.timers = &app->process.timers,
		.clock = &mh_system_clock,
		.counters = &app->process.counters,
		.log = app->process.log,
		.era = &app->process.store_era,
	};
	struct mh_rollout_conf rollout_conf;
	const char *address = app->settings.announce ? app->settings.announce :
						       app->settings.links;
	uint64_t seed;

	mh_process_set_log_format(&app->process, app->settings.log_format);
	app->process.machine = mh_machine_detect(&app->settings.machine);
	link_conf.max_unproven = mh_machine_new_links(&app->process.machine);
	randombytes_buf(&seed, sizeof(seed));
	randombytes_buf(&link_conf.incarnation, sizeof(link_conf.incarnation));
	memcpy(link_conf.key, app->settings.link.key, sizeof(link_conf.key));
	app->catalog = mh_catalog_new(on_server, app);
	app->dispatch = mh_dispatch_new(&conf, &mh_system_clock, seed,
					&dispatch_ops, app);
	mh_dispatch_set_grantor(app->dispatch, link_conf.incarnation);
	env.catalog = app->catalog;
	app->directory = mh_directory_new(&env, app->settings.store,
					  &directory_ops, app);
	ledger_env.dispatch = app->dispatch;
	ledger_env.written = on_ledger_written;
	ledger_env.data = app;
	app->ledger = mh_ledger_new(&ledger_env, app->settings.store,
				    app->settings.host);
	app->links = mh_links_new(app->process.loop, &link_conf,
				  &app->process.counters, &link_ops, app);
	app->notices = (struct mh_dispatcher_notices){
		&mh_system_clock, app->process.log, app->process.metrics,
		app->links,	  app->dispatch,    &app->linked_entries,
	};
	app->suspects =
		(struct mh_dispatcher_suspects){ app->process.log, app->links,
						 app->dispatch,
						 &app->linked_entries };
	rollout_conf = mh_bounds_to_rollout_conf(&app->settings.bounds);
	mh_dispatcher_rollouts_init(&app->rollouts, &app->process,
				    &rollout_conf, app->settings.store,
				    app->dispatch);
	app->rollouts.links = app->links;
	app->rollouts.linked_entries = &app->linked_entries;
	if (!app->links || mh_links_listen(app->links, app->settings.links)) {
		mh_event(app->process.log, MH_EV_FAILED,
			 "event=no_listen address=%s", app->settings.links);
		return false;
	}
	if (!mh_process_serve_status(&app->process, app->settings.status))
		return false;
	mh_candidates_learn(&app->dispatchers, app->settings.host, address);
	mh_directory_announce_dispatcher(app->directory, app->settings.host,
					 address);
	return true;
}

struct mh_dispatcher_app *
mh_dispatcher_app_new(const char *path, struct mh_dispatcher_settings *settings)
{
	struct mh_dispatcher_app *app = calloc(1, sizeof(*app));

	if (!app) {
		mh_dispatcher_settings_release(settings);
		return NULL;
	}
	app->settings = *settings;
	if (mh_process_init(&app->process, path, app->settings.host,
			    &process_ops, app) &&
	    start(app))
		return app;
	mh_dispatcher_app_free(app);
	return NULL;
}

void mh_dispatcher_app_run(struct mh_dispatcher_app *app)
{
	mh_event(app->process.log, MH_EV_PROCESS,
		 "event=started zone=%s links=%s store=%s", app->settings.zone,
		 app->settings.links, app->settings.store);
	mh_process_run(&app->process);
	mh_event(app->process.log, MH_EV_PROCESS, "event=stopped entries=%u",
		 HASH_COUNT(app->linked_entries));
}

void mh_dispatcher_app_free(struct mh_dispatcher_app *app)
{
	if (!app)
		return;
	mh_links_free(app->links);
	mh_linked_entry_remove_all(&app->linked_entries);
	mh_directory_free(app->directory);
	mh_candidates_release(&app->dispatchers);
	mh_ledger_free(app->ledger);
	mh_dispatch_free(app->dispatch);
	mh_dispatcher_rollouts_release(&app->rollouts);
	mh_catalog_free(app->catalog);
	mh_routes_unref(app->routes);
	mh_process_release(&app->process);
	mh_dispatcher_settings_release(&app->settings);
	free(app);
}
