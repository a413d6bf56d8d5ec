/*
 * Common parts of mangohead-proxy and mangohead-dispatcher: event loop, timers,
 * signals, counters, log, readiness, metrics, and reload of the settings file.
 */
#ifndef MH_PROCESS_H
#define MH_PROCESS_H

#include <stdbool.h>
#include <stdint.h>

#include "config/machine.h"
#include "core/counters.h"
#include "core/metrics.h"
#include "core/store_era.h"
#include "net/event_log.h"
#include "net/loop.h"
#include "net/signals.h"
#include "net/status.h"
#include "net/timers.h"

/**
 * struct mh_process_ops - callbacks of a program
 * @reload: the settings file changed, or SIGHUP was received
 * @stop: a signal asked the program to terminate; called once
 * @tick: called first, then after each batch of events; returns the monotonic
 *	time, in ns, of the next call
 */
struct mh_process_ops {
	void (*reload)(void *data);
	void (*stop)(void *data);
	uint64_t (*tick)(void *data);
};

/**
 * struct mh_process - common parts of a program
 * @loop: event loop
 * @timers: timers of the loop's thread
 * @counters: counters
 * @metrics: histograms and gauges
 * @log: log
 * @store_era: era of the platform's store
 * @machine: what the process may use, to be set before a status address is served
 * @status: readiness and metrics, NULL if not served
 * @leaving: a signal asked the program to terminate
 * @leaving_ns: monotonic time of that signal
 *
 * All other members are private.
 */
struct mh_process {
	struct mh_loop *loop;
	struct mh_timers timers;
	struct mh_counters counters;
	struct mh_metrics *metrics;
	struct mh_event_log *log;
	struct mh_store_era store_era;
	struct mh_machine machine;
	struct mh_status *status;
	struct mh_status *extra_status;
	bool leaving;
	uint64_t leaving_ns;
	struct mh_signals signals;
	const char *path;
	uint64_t settings_stamp;
	uint64_t next_poll_ns;
	const struct mh_process_ops *ops;
	void *data;
};

/**
 * mh_process_init() - initialize a process
 * @p: process, zeroed
 * @path: path of the settings file; must outlive @p
 * @host: name of this host, for the log
 * @ops: callbacks
 * @data: first argument of @ops
 *
 * Return: false on failure; mh_process_release() is still required.
 */
bool mh_process_init(struct mh_process *p, const char *path, const char *host,
		     const struct mh_process_ops *ops, void *data);

/**
 * mh_process_set_log_format() - set the format of log lines
 * @p: process
 * @format: "text" or "json"
 */
void mh_process_set_log_format(struct mh_process *p, const char *format);

/**
 * mh_process_serve_status() - serve readiness and metrics
 * @p: process
 * @address: "ip:port"
 *
 * Return: false, after logging it, if listening on the address fails.
 */
bool mh_process_serve_status(struct mh_process *p, const char *address);

/**
 * mh_process_serve_metrics() - serve the status at an additional address
 * @p: process
 * @address: "ip:port", NULL for none
 *
 * Return: false, after logging it, if listening on the address fails.
 */
bool mh_process_serve_metrics(struct mh_process *p, const char *address);

/**
 * mh_process_run() - run until mh_loop_stop()
 * @p: process
 */
void mh_process_run(struct mh_process *p);

/**
 * mh_process_release() - free the parts; call it after freeing what uses them
 * @p: process
 */
void mh_process_release(struct mh_process *p);

#endif
