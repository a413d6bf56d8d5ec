#include "config/logging.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>

#define ROOT_CATEGORY "mangohead"
#define CATEGORY_BYTES 64

void mh_log_init(const char *level)
{
	log4c_category_t *root;

	log4c_init();
	root = log4c_category_get(ROOT_CATEGORY);
	log4c_category_set_priority(root, log4c_priority_to_int(level));
	log4c_category_set_appender(root, log4c_appender_get("stderr"));
	log4c_appender_set_layout(log4c_appender_get("stderr"),
				  log4c_layout_get("dated"));
}

void mh_log_finish(void)
{
	log4c_fini();
}

static void write_line(const char *module, int priority, const char *fmt,
		       va_list args)
{
	char name[CATEGORY_BYTES];

	snprintf(name, sizeof(name), ROOT_CATEGORY ".%s", module);
	log4c_category_vlog(log4c_category_get(name), priority, fmt, args);
}

void mh_log_info(const char *module, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	write_line(module, LOG4C_PRIORITY_INFO, fmt, args);
	va_end(args);
}

void mh_log_warn(const char *module, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	write_line(module, LOG4C_PRIORITY_WARN, fmt, args);
	va_end(args);
}

void mh_log_error(const char *module, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	write_line(module, LOG4C_PRIORITY_ERROR, fmt, args);
	va_end(args);
}
