/*
 * Logging by log4c: one line for each change of state, key=value fields.
 */
#ifndef MH_LOGGING_H
#define MH_LOGGING_H

/**
 * mh_log_init() - set up logging to standard error
 * @level: "error", "warn", "info" or "debug"
 */
void mh_log_init(const char *level);

/**
 * mh_log_finish() - release what logging holds
 */
void mh_log_finish(void);

/**
 * mh_log_info() - a change of state
 * @module: category
 * @fmt: event name and key=value fields
 */
void mh_log_info(const char *module, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * mh_log_warn() - a change of state that an operator should know of
 * @module: category
 * @fmt: event name and key=value fields
 */
void mh_log_warn(const char *module, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * mh_log_error() - something failed for good
 * @module: category
 * @fmt: event name and key=value fields
 */
void mh_log_error(const char *module, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#endif
