/*
 * The entry program: wires the core to callers, operators, links and the
 * platform's services.
 */
#ifndef MH_ENTRY_APP_H
#define MH_ENTRY_APP_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/settings.h"
#include "core/entry.h"
#include "net/link.h"
#include "net/loop.h"
#include "net/signals.h"
#include "net/timers.h"
#include "platform/host_list.h"
#include "platform/log_client.h"

#define MH_STREAM_CONFIG "config"
#define MH_STREAM_CLAIMS "claims"
#define MH_MAX_FINISHED_REQUESTS 4096
#define MH_CLIENT_REQUEST_ID_BYTES 64

struct MHD_Daemon;

/**
 * struct mh_finished_request - what became of one request
 * @client_request_id: request id as the caller knows it
 * @id: request id
 * @account: client account
 * @pool: pool
 * @model: model
 * @tier: tier
 * @server: backend server that answered, "" if none
 * @error: error kind, MH_OK for a whole answer
 * @when_ms: Unix time of the end
 * @first_us: time to the first byte, 0 if none came
 * @total_us: time to the end
 */
struct mh_finished_request {
	char client_request_id[MH_CLIENT_REQUEST_ID_BYTES];
	struct mh_id id;
	char account[64];
	char pool[64];
	char model[64];
	uint8_t tier;
	char server[64];
	enum mh_error error;
	uint64_t when_ms;
	uint64_t first_us;
	uint64_t total_us;
};

/**
 * struct mh_entry_app - the program's parts, each owned by it
 * @settings: settings
 * @loop: loop of the core's thread
 * @timers: timers of that thread
 * @core: decisions
 * @links: links to sides and entries
 * @config_follower: reads the configuration stream
 * @claims_follower: reads the claims stream
 * @appender: appends to the log
 * @publisher: appends operators' changes, which are tried once
 * @host_list: follows the host list
 * @hosts_read: the host list was read
 * @links_stale: the host list or the manifest changed since links were chosen
 * @http: callers' server
 * @admin: operators' server
 * @manifest: manifest in force, read under RCU
 * @ready: a manifest is held and the program does not drain
 * @open_calls: calls whose connection is not finished
 * @log_parts_up: which parts of the log client work, one bit each
 * @finished_requests: ring of finished requests, the core thread's
 * @n_finished_requests: number of requests ever entered into @finished_requests
 * @drain_signals: number of signals that asked to drain
 * @stop_by_ns: when to end though callers are not done, monotonic
 * @submit_lock: protects @closed
 * @closed: calls are no longer handed to the core's thread
 * @stopped: the loop has ended, nothing more runs on the core's thread
 * @signals: watch for the signals that end the program
 */
struct mh_entry_app {
	struct mh_entry_settings settings;
	struct mh_loop *loop;
	struct mh_timers timers;
	struct mh_entry *core;
	struct mh_links *links;
	struct mh_log_follower *config_follower;
	struct mh_log_follower *claims_follower;
	struct mh_log_appender *appender;
	struct mh_log_appender *publisher;
	struct mh_host_list *host_list;
	bool hosts_read;
	bool links_stale;
	struct MHD_Daemon *http;
	struct MHD_Daemon *admin;
	struct mh_manifest *manifest;
	bool ready;
	uint32_t open_calls;
	uint32_t log_parts_up;
	struct mh_finished_request finished_requests[MH_MAX_FINISHED_REQUESTS];
	uint64_t n_finished_requests;
	int drain_signals;
	uint64_t stop_by_ns;
	pthread_mutex_t submit_lock;
	bool closed;
	bool stopped;
	struct mh_signals signals;
};

/**
 * mh_entry_app_new() - build all parts in order
 * @settings: settings, taken over
 *
 * Return: the program, or NULL after logging why not.
 */
struct mh_entry_app *mh_entry_app_new(struct mh_entry_settings *settings);

/**
 * mh_entry_app_run() - run until a signal ends it
 * @app: program
 */
void mh_entry_app_run(struct mh_entry_app *app);

/**
 * mh_entry_app_free() - tear all parts down in reverse
 * @app: program or NULL
 */
void mh_entry_app_free(struct mh_entry_app *app);

/**
 * mh_entry_app_run_on_core() - run a function on the core's thread and wait for it
 * @app: program
 * @fn: function
 * @arg: its argument
 *
 * While the program ends it may return without having run @fn.
 */
void mh_entry_app_run_on_core(struct mh_entry_app *app,
			      void (*fn)(struct mh_entry_app *, void *),
			      void *arg);

/**
 * mh_entry_app_append_config() - append a change of the configuration and wait
 * @app: program
 * @text: record
 *
 * Return: how it ended; unknown also when the program ends meanwhile.
 */
enum mh_append_result mh_entry_app_append_config(struct mh_entry_app *app,
						 const char *text);

/* http.c: the callers' side */
extern const struct mh_entry_ops mh_http_entry_ops;
struct MHD_Daemon *mh_http_start(struct mh_entry_app *app);

/* admin.c: the operators' side */
struct MHD_Daemon *mh_admin_start(struct mh_entry_app *app);

#endif
