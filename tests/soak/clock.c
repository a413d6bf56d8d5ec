/*
 * LD_PRELOAD library that shifts a process's wall clock by the number of
 * milliseconds in the file that SOAK_CLOCK names. Monotonic clocks stay as they
 * are.
 */
#include <dlfcn.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/time.h>
#include <time.h>

/* The file is read again after this time. */
#define REREAD_INTERVAL_NS 20000000

static int real_time(clockid_t clock, struct timespec *ts)
{
	static int (*real)(clockid_t clock, struct timespec * ts);

	if (!real)
		real = (int (*)(clockid_t, struct timespec *))dlsym(
			RTLD_NEXT, "clock_gettime");
	return real(clock, ts);
}

static int64_t offset_ms(void)
{
	static __thread uint64_t read_ns;
	static __thread int64_t ms;
	const char *path = getenv("SOAK_CLOCK");
	struct timespec now;
	uint64_t now_ns;
	FILE *in;

	real_time(CLOCK_MONOTONIC, &now);
	now_ns = (uint64_t)now.tv_sec * 1000000000 + (uint64_t)now.tv_nsec;
	if (!path || (read_ns && now_ns < read_ns + REREAD_INTERVAL_NS))
		return ms;
	read_ns = now_ns;
	in = fopen(path, "r");
	if (!in)
		return ms;
	if (fscanf(in, "%ld", &ms) != 1)
		ms = 0;
	fclose(in);
	return ms;
}

int clock_gettime(clockid_t clock, struct timespec *ts)
{
	int rc = real_time(clock, ts);
	int64_t ns;

	if (rc || clock != CLOCK_REALTIME)
		return rc;
	ns = ts->tv_nsec + offset_ms() % 1000 * 1000000;
	ts->tv_sec += offset_ms() / 1000;
	if (ns < 0) {
		ns += 1000000000;
		ts->tv_sec--;
	}
	ts->tv_sec += ns / 1000000000;
	ts->tv_nsec = ns % 1000000000;
	return 0;
}

int gettimeofday(struct timeval *restrict tv, void *restrict zone)
{
	struct timespec ts;

	(void)zone;
	clock_gettime(CLOCK_REALTIME, &ts);
	tv->tv_sec = ts.tv_sec;
	tv->tv_usec = ts.tv_nsec / 1000;
	return 0;
}

time_t time(time_t *out)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	if (out)
		*out = ts.tv_sec;
	return ts.tv_sec;
}
