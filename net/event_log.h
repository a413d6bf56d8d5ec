/*
 * Structured log of mangohead-proxy and mangohead-dispatcher, on standard
 * output: one line per decision, as key=value fields or a JSON object.
 * Bounded and non-blocking: each kind of line has a limit per second, and lines
 * that the pipe can't take are dropped. Both are counted and reported.
 */
#ifndef MH_EVENT_LOG_H
#define MH_EVENT_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include "core/clock.h"

/* Kinds of lines; event_log.c has the limit per second of each. */
enum mh_event_kind {
	MH_EV_PROCESS,	  /* start, stop, reload */
	MH_EV_DEPENDENCY, /* store, link or dispatcher lost or regained */
	MH_EV_CONFIG,	  /* a configuration was applied or rejected */
	MH_EV_SERVER,	  /* the known state of a backend server changed */
	MH_EV_CRASH,	  /* a run was lost with its server */
	MH_EV_POOL,	  /* state of the servers of a service */
	MH_EV_FAILED,	  /* a request got no full response; a socket error */
	MH_EV_REFUSED,	  /* a request was refused and did not run */
	MH_EV_RETRIED,	  /* a request is retried on another server */
	MH_EV_SENT,	  /* a request was sent to a server */
	MH_EV_DONE,	  /* a request ended with its response */
	MH_EV_ADMITTED,	  /* a request was accepted */
	MH_EV_KINDS,
};

struct mh_event_log;

/**
 * mh_event_log_new() - open the log
 * @fd: file descriptor to write to; set to non-blocking
 * @host: name of this host, part of each line
 * @clock: clock
 *
 * Return: log, or NULL if out of memory.
 */
struct mh_event_log *mh_event_log_new(int fd, const char *host,
				      const struct mh_clock *clock);

/**
 * mh_event_log_set_json() - set the format of the lines
 * @log: log
 * @json: whether lines are JSON objects rather than key=value fields
 */
void mh_event_log_set_json(struct mh_event_log *log, bool json);

/**
 * mh_event_log_free() - write the queued lines and free the log
 * @log: log or NULL
 */
void mh_event_log_free(struct mh_event_log *log);

/**
 * mh_event() - log one line
 * @log: log; NULL logs nothing
 * @kind: kind of line
 * @fmt: event name and key=value fields
 */
void mh_event(struct mh_event_log *log, enum mh_event_kind kind,
	      const char *fmt, ...) __attribute__((format(printf, 3, 4)));

/**
 * mh_event_log_flush() - write queued lines without blocking; part of a tick
 * @log: log
 */
void mh_event_log_flush(struct mh_event_log *log);

/**
 * mh_event_log_lines_per_s() - limit of lines per second, summed over all kinds
 */
uint32_t mh_event_log_lines_per_s(void);

/**
 * mh_event_log_dropped() - lines dropped since the start
 * @log: log
 */
uint64_t mh_event_log_dropped(const struct mh_event_log *log);

#endif
