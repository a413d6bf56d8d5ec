/*
 * Logging of mangohead-entry and mangohead-side through log4c: one line per
 * state change, with key=value fields.
 */
#ifndef MH_LOGGING_H
#define MH_LOGGING_H

/**
 * mh_log_init() - start logging to standard error
 * @level: lowest level to log: "error", "warn", "info" or "debug"
 */
void mh_log_init(const char *level);

/**
 * mh_log_finish() - stop logging and free its resources
 */
void mh_log_finish(void);

/**
 * mh_log_info() - log a state change
 * @module: log category below the root category
 * @fmt: event name and key=value fields
 */
void mh_log_info(const char *module, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * mh_log_warn() - log a state change that needs an operator's attention
 * @module: log category below the root category
 * @fmt: event name and key=value fields
 */
void mh_log_warn(const char *module, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * mh_log_error() - log a permanent failure
 * @module: log category below the root category
 * @fmt: event name and key=value fields
 */
void mh_log_error(const char *module, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#endif
