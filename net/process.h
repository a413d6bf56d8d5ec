/*
 * What every process that runs on an event loop has: the loop, timers, signals,
 * counters, log, readiness and metrics, and a settings file that may change.
 */
#ifndef MH_PROCESS_H
#define MH_PROCESS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/counters.h"
#include "core/metrics.h"
#include "net/event_log.h"
#include "net/loop.h"
#include "net/signals.h"
#include "net/status.h"
#include "net/timers.h"

/**
 * struct mh_process_ops - what makes one program differ from another
 * @reload: the settings file changed
 * @stop: a signal asks the program to end; called once
 * @tick: called after each batch of events; returns when to call it next
 */
struct mh_process_ops {
	void (*reload)(void *data);
	void (*stop)(void *data);
	uint64_t (*tick)(void *data);
};

/**
 * struct mh_process - shell of a program
 * @loop: event loop
 * @timers: timers of the loop's thread
 * @counters: counters
 * @metrics: histograms and gauges
 * @log: log
 * @status: readiness and metrics, NULL if not served
 * @leaving: a signal asked the program to end
 * @leaving_ns: monotonic time of that
 *
 * All other members are the module's own.
 */
struct mh_process {
	struct mh_loop *loop;
	struct mh_timers timers;
	struct mh_counters counters;
	struct mh_metrics *metrics;
	struct mh_event_log *log;
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
 * mh_process_init() - set the shell up
 * @p: shell, all zeroes
 * @path: settings file; has to stay
 * @host: name of this host, for the log
 * @ops: what makes the program differ
 * @data: first argument of @ops
 *
 * Return: false if a part can't be had; to be released all the same.
 */
bool mh_process_init(struct mh_process *p, const char *path, const char *host,
		     const struct mh_process_ops *ops, void *data);

/**
 * mh_process_set_log_format() - choose the form of log lines
 * @p: shell
 * @format: "text" or "json"
 */
void mh_process_set_log_format(struct mh_process *p, const char *format);

/**
 * mh_process_serve_status() - serve readiness and metrics
 * @p: shell
 * @address: "ip:port"
 *
 * Return: false after a line in the log if the address can't be listened at.
 */
bool mh_process_serve_status(struct mh_process *p, const char *address);

/**
 * mh_process_serve_metrics() - show the same at a further address
 * @p: shell
 * @address: "ip:port", NULL: at none
 *
 * Return: false after logging that it can't be listened at.
 */
bool mh_process_serve_metrics(struct mh_process *p, const char *address);

/**
 * mh_process_run() - run until mh_loop_stop()
 * @p: shell
 */
void mh_process_run(struct mh_process *p);

/**
 * mh_process_release() - free the shell's parts, after those that use them
 * @p: shell
 */
void mh_process_release(struct mh_process *p);

#endif
