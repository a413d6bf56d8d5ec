/*
 * Measures the CPU time of the structured log: per written line, as text and as
 * JSON; per line dropped because its budget is used up; and as a share of a
 * core when the budgets of all kinds of lines are used up.
 * Usage: log_cost
 */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "net/event_log.h"
#include "net/loop.h"

#define WRITTEN_LINES 200000
#define DROPPED_LINES 20000000
/* Requests per second that an entry serves on one core: docs/CAPACITY.md. */
#define REQUESTS_PER_S 12000
#define LOG_CALLS_PER_REQUEST 3

static uint64_t fake_ns = 1000 * MH_NS_PER_MS;

static uint64_t fake_mono(void *data)
{
	(void)data;
	return fake_ns;
}

static uint64_t fake_wall(void *data)
{
	(void)data;
	return 1789728664012;
}

static const struct mh_clock fake_clock = { fake_mono, fake_wall, NULL };

static double cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

static void log_done(struct mh_event_log *log, int i)
{
	mh_event(log, MH_EV_DONE,
		 "event=done id=%016x status=%u route=%s account=%s server=%s "
		 "total_ms=%u server_ms=%u first_ms=%u gap_ms=%u servers=%u "
		 "events=%u",
		 i, 200, "r-cx4ag5z", "noxa621", "i-b6f5898619", 113, 111, 64,
		 27, 1, 14);
}

/*
 * The clock advances 40 ms per line, so that the budget of lines per second is
 * not used up. Return: ns per line.
 */
static double written_line_ns(struct mh_event_log *log)
{
	double begin = cpu_ns();
	int i;

	for (i = 0; i < WRITTEN_LINES; i++) {
		fake_ns += 40 * MH_NS_PER_MS;
		log_done(log, i);
		mh_event_log_flush(log);
	}
	return (cpu_ns() - begin) / WRITTEN_LINES;
}

static double dropped_line_ns(struct mh_event_log *log)
{
	double begin = cpu_ns();
	int i;

	for (i = 0; i < DROPPED_LINES; i++)
		log_done(log, i);
	return (cpu_ns() - begin) / DROPPED_LINES;
}

int main(void)
{
	int fd = open("/dev/null", O_WRONLY | O_CLOEXEC);
	struct mh_event_log *log = mh_event_log_new(fd, "front-1", &fake_clock);
	double text, json, dropped, lines_per_s;

	if (fd < 0 || !log)
		return 1;
	text = written_line_ns(log);
	mh_event_log_set_json(log, true);
	json = written_line_ns(log);
	dropped = dropped_line_ns(log);
	lines_per_s = mh_event_log_lines_per_s();
	printf("a written line: %.0f ns, as JSON %.0f ns\n", text, json);
	printf("a line beyond the budget: %.0f ns\n", dropped);
	printf("all %.0f lines of a second, and %d calls of %d requests/s: "
	       "%.2f %% of a core, as JSON %.2f %%\n",
	       lines_per_s, LOG_CALLS_PER_REQUEST, REQUESTS_PER_S,
	       (lines_per_s * text +
		dropped * LOG_CALLS_PER_REQUEST * REQUESTS_PER_S) /
		       1e7,
	       (lines_per_s * json +
		dropped * LOG_CALLS_PER_REQUEST * REQUESTS_PER_S) /
		       1e7);
	mh_event_log_free(log);
	return 0;
}
