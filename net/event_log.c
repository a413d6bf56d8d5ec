#include "net/event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "net/buffer.h"
#include "net/log_format.h"

#define MAX_LINE_BYTES 700
/* Limit of the lines that wait for the pipe; further lines are dropped. */
#define MAX_QUEUE_BYTES 65536
/* Queued lines are written at this size, or this time after the last write. */
#define WRITE_THRESHOLD_BYTES 4096
#define WRITE_INTERVAL_NS (200 * MH_NS_PER_MS)
#define BUDGET_WINDOW_NS (1000 * MH_NS_PER_MS)

struct kind_info {
	const char *level;
	const char *name;
	uint32_t lines_per_s;
};

/* Failures have higher limits than successes. */
static const struct kind_info kinds[MH_EV_KINDS] = {
	[MH_EV_PROCESS] = { "info", "process", 100 },
	[MH_EV_DEPENDENCY] = { "warn", "dependency", 100 },
	[MH_EV_CONFIG] = { "info", "config", 50 },
	[MH_EV_SERVER] = { "info", "server", 100 },
	[MH_EV_CRASH] = { "warn", "crash", 50 },
	[MH_EV_POOL] = { "info", "pool", 20 },
	[MH_EV_FAILED] = { "warn", "failed", 200 },
	[MH_EV_REFUSED] = { "info", "refused", 100 },
	[MH_EV_RETRIED] = { "info", "again", 50 },
	[MH_EV_SENT] = { "info", "sent", 30 },
	[MH_EV_DONE] = { "info", "done", 30 },
	[MH_EV_ADMITTED] = { "info", "admitted", 20 },
};

struct mh_event_log {
	int fd;
	bool json;
	char *host;
	const struct mh_clock *clock;
	struct mh_buffer queue;
	uint64_t window_start_ns;
	uint64_t last_write_ns;
	uint32_t used[MH_EV_KINDS];
	uint32_t suppressed[MH_EV_KINDS];
	uint64_t dropped;
};

struct mh_event_log *mh_event_log_new(int fd, const char *host,
				      const struct mh_clock *clock)
{
	struct mh_event_log *log = calloc(1, sizeof(*log));
	int flags = fcntl(fd, F_GETFL);

	if (!log)
		return NULL;
	log->host = strdup(host);
	log->fd = fd;
	log->clock = clock;
	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	return log;
}

void mh_event_log_set_json(struct mh_event_log *log, bool json)
{
	log->json = json;
}

static void write_out(struct mh_event_log *log)
{
	while (log->queue.len) {
		ssize_t n = write(log->fd, mh_buffer_front(&log->queue),
				  log->queue.len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return;
		mh_buffer_consume(&log->queue, (size_t)n);
	}
}

void mh_event_log_free(struct mh_event_log *log)
{
	if (!log)
		return;
	write_out(log);
	mh_buffer_release(&log->queue);
	free(log->host);
	free(log);
}

/* Values come from outside the process and must not inject line breaks. */
static void replace_control_chars(char *text)
{
	for (; *text; text++) {
		if ((unsigned char)*text < ' ' || *text == 0x7f)
			*text = ' ';
	}
}

static void add_line(struct mh_event_log *log, enum mh_event_kind kind,
		     char *text)
{
	const struct kind_info *k = &kinds[kind];
	char *line = NULL, *json = NULL;
	const char *form;

	replace_control_chars(text);
	if (log->queue.len + 2 * MAX_LINE_BYTES > MAX_QUEUE_BYTES ||
	    asprintf(&line, "t=%llu level=%s host=%s kind=%s %s",
		     (unsigned long long)mh_clock_wall_ms(log->clock), k->level,
		     log->host, k->name, text) < 0) {
		log->dropped++;
		return;
	}
	if (log->json)
		json = mh_log_line_to_json(line);
	form = log->json ? json : line;
	if (!form || !mh_buffer_add(&log->queue, form, strlen(form)) ||
	    !mh_buffer_add(&log->queue, "\n", 1))
		log->dropped++;
	free(json);
	free(line);
}

static void start_budget_window(struct mh_event_log *log, uint64_t now_ns)
{
	char text[MAX_LINE_BYTES];
	int i;

	for (i = 0; i < MH_EV_KINDS; i++) {
		if (log->suppressed[i]) {
			snprintf(text, sizeof(text), "event=left_out lines=%u",
				 log->suppressed[i]);
			add_line(log, (enum mh_event_kind)i, text);
			log->dropped += log->suppressed[i];
		}
		log->used[i] = 0;
		log->suppressed[i] = 0;
	}
	log->window_start_ns = now_ns;
}

void mh_event(struct mh_event_log *log, enum mh_event_kind kind,
	      const char *fmt, ...)
{
	uint64_t now_ns;
	va_list args;
	char *text;
	int len;

	if (!log)
		return;
	now_ns = mh_clock_mono_ns(log->clock);
	if (now_ns >= log->window_start_ns + BUDGET_WINDOW_NS)
		start_budget_window(log, now_ns);
	if (log->used[kind] >= kinds[kind].lines_per_s) {
		log->suppressed[kind]++;
		return;
	}
	log->used[kind]++;
	va_start(args, fmt);
	len = vasprintf(&text, fmt, args);
	va_end(args);
	if (len < 0) {
		log->dropped++;
		return;
	}
	if (len >= MAX_LINE_BYTES)
		text[MAX_LINE_BYTES - 1] = '\0';
	add_line(log, kind, text);
	free(text);
}

void mh_event_log_flush(struct mh_event_log *log)
{
	uint64_t now_ns;

	if (!log || !log->queue.len)
		return;
	now_ns = mh_clock_mono_ns(log->clock);
	if (log->queue.len < WRITE_THRESHOLD_BYTES &&
	    now_ns < log->last_write_ns + WRITE_INTERVAL_NS)
		return;
	log->last_write_ns = now_ns;
	write_out(log);
}

uint32_t mh_event_log_lines_per_s(void)
{
	uint32_t sum = 0;
	int i;

	for (i = 0; i < MH_EV_KINDS; i++)
		sum += kinds[i].lines_per_s;
	return sum;
}

uint64_t mh_event_log_dropped(const struct mh_event_log *log)
{
	return log->dropped;
}
