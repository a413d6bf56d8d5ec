/*
 * Process of mangohead-entry: connects the core to the client API, the
 * administration API, links, the platform's log and the host list.
 */
#ifndef MH_ENTRY_APP_H
#define MH_ENTRY_APP_H

#include <microhttpd.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/machine.h"
#include "config/settings.h"
#include "core/entry.h"
#include "entry/unread.h"
#include "net/link.h"
#include "net/loop.h"
#include "net/signals.h"
#include "net/timers.h"
#include "platform/host_list.h"
#include "platform/log_client.h"

#define MH_TOPIC_CONFIG "config"
#define MH_TOPIC_CLAIMS "claims"
#define MH_MAX_FINISHED_REQUESTS 4096
#define MH_CLIENT_REQUEST_ID_BYTES 64

struct MHD_Daemon;

/**
 * struct mh_finished_request - result of a request, for /admin/v1/requests
 * @client_request_id: X-Request-Id of the client, else @id as text
 * @id: request id in this system
 * @account: client account
 * @pool: pool
 * @model: model
 * @tier: tier
 * @server: backend server that responded, "" if none
 * @error: error kind, MH_OK for a complete response
 * @when_ms: Unix time of the end
 * @first_us: time until the response's head, 0 if none came
 * @total_us: time until the end
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
 * struct mh_entry_app - entry process; owns all its parts
 * @settings: settings
 * @machine: what the process may use
 * @clients: connections of the client API, and what they hold
 * @unread: responses that clients have not read
 * @operators: connections of the administration API, and what they hold
 * @loop: event loop of the core's thread
 * @timers: timers of that thread
 * @core: scheduler
 * @links: links to sides and entries
 * @config_follower: reads the configuration topic
 * @claims_follower: reads the claims topic
 * @appender: appends the core's records to the log, with retries
 * @publisher: appends operators' changes, without retries
 * @store_era: era of the platform's store
 * @era_watch: tells the core of a new era
 * @host_list: follows the host list
 * @hosts_read: the host list was read
 * @links_stale: the host list or the manifest changed since links were chosen
 * @http: server of the client API
 * @admin: server of the administration API
 * @manifest: manifest in force, read under RCU
 * @ready: a manifest is in force and the process is not draining
 * @open_calls: HTTP requests that libmicrohttpd has not completed
 * @log_parts_up: which parts of the log client work, one bit each
 * @finished_requests: ring buffer of the last requests, used only on the core's
 *	thread
 * @n_finished_requests: number of requests ever added to the ring
 * @drain_signals: number of SIGTERM and SIGINT received; the first starts
 *	draining
 * @stop_by_ns: monotonic time at which to exit although calls are open
 * @submit_lock: protects @closed
 * @closed: no more calls are posted to the core's thread
 * @stopped: the loop has ended, the core's thread runs no more tasks
 * @signals: watch for SIGTERM and SIGINT
 */
struct mh_entry_app {
	struct mh_entry_settings settings;
	struct mh_machine machine;
	struct mh_http_clients *clients;
	struct mh_http_clients *operators;
	struct mh_unread_pool unread;
	struct mh_loop *loop;
	struct mh_timers timers;
	struct mh_entry *core;
	struct mh_links *links;
	struct mh_log_follower *config_follower;
	struct mh_log_follower *claims_follower;
	struct mh_log_appender *appender;
	struct mh_log_appender *publisher;
	struct mh_store_era store_era;
	struct mh_era_watch era_watch;
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
 * mh_entry_app_new() - start an entry
 * @settings: settings; ownership is taken, also on failure
 *
 * Return: entry, or NULL on failure; logged if listening on an address failed.
 */
struct mh_entry_app *mh_entry_app_new(struct mh_entry_settings *settings);

/**
 * mh_entry_app_run() - serve until signals stop the process
 * @app: entry
 */
void mh_entry_app_run(struct mh_entry_app *app);

/**
 * mh_entry_app_free() - stop all servers, close all links and free the entry
 * @app: entry or NULL
 */
void mh_entry_app_free(struct mh_entry_app *app);

/**
 * mh_entry_app_run_on_core() - run a function on the core's thread and wait
 * @app: entry
 * @fn: function
 * @arg: its argument
 *
 * During shutdown it may return without having run @fn.
 */
void mh_entry_app_run_on_core(struct mh_entry_app *app,
			      void (*fn)(struct mh_entry_app *, void *),
			      void *arg);

/**
 * mh_entry_app_append_config() - append a configuration record and wait
 * @app: entry
 * @text: record as JSON
 *
 * Return: result; MH_APPEND_UNKNOWN also when the process shuts down meanwhile.
 */
enum mh_append_result mh_entry_app_append_config(struct mh_entry_app *app,
						 const char *text);

/**
 * mh_entry_http_ops - callbacks of the core; their data is struct mh_entry_app
 */
extern const struct mh_entry_ops mh_entry_http_ops;

/**
 * mh_entry_http_start() - serve the client API
 * @app: entry
 *
 * Return: server, or NULL if listening on the address fails.
 */
struct MHD_Daemon *mh_entry_http_start(struct mh_entry_app *app);

/**
 * mh_entry_respond_locally() - respond to a request that does not need the core
 * @app: entry
 * @conn: connection
 * @uri: path
 * @result: set to the result of queueing the response
 *
 * Return: whether the path is one of these.
 */
bool mh_entry_respond_locally(struct mh_entry_app *app,
			      struct MHD_Connection *conn, const char *uri,
			      enum MHD_Result *result);

/**
 * mh_entry_admin_start() - serve the administration API
 * @app: entry
 *
 * Return: server, or NULL if listening on the address fails.
 */
struct MHD_Daemon *mh_entry_admin_start(struct mh_entry_app *app);

#endif
