#include "net/process.h"

#include <string.h>
#include <unistd.h>

#include "config/settings.h"

/* Interval of the checks whether the settings file changed. */
#define SETTINGS_POLL_INTERVAL_NS (500 * MH_NS_PER_MS)
/* Bytes of a malformed era in the log. */
#define MAX_ERA_TEXT 32

static void on_reload(void *data)
{
	struct mh_process *p = data;

	p->settings_stamp = mh_file_stamp(p->path);
	p->ops->reload(p->data);
}

static void on_stop(void *data)
{
	struct mh_process *p = data;

	if (p->leaving)
		return;
	p->leaving = true;
	p->leaving_ns = mh_now_ns();
	p->ops->stop(p->data);
}

static void on_store_era(void *data, enum mh_era_change change,
			 const char *text, size_t len)
{
	struct mh_process *p = data;

	if (change == MH_ERA_RISEN)
		mh_count(&p->counters, MH_C_ERA_RISES);
	else if (change != MH_ERA_FIRST)
		mh_count(&p->counters, MH_C_BAD_ERAS);
	mh_event(p->log, MH_EV_DEPENDENCY,
		 "event=store_era change=%s said=%.*s known=%llu",
		 mh_era_change_name(change),
		 (int)(len < MAX_ERA_TEXT ? len : MAX_ERA_TEXT), text,
		 (unsigned long long)p->store_era.current);
}

bool mh_process_init(struct mh_process *p, const char *path, const char *host,
		     const struct mh_process_ops *ops, void *data)
{
	p->path = path;
	p->settings_stamp = mh_file_stamp(path);
	p->ops = ops;
	p->data = data;
	p->signals.watch.fd = -1;
	p->signals.reload = on_reload;
	p->store_era.report = on_store_era;
	p->store_era.data = p;
	mh_timers_init(&p->timers);
	p->log = mh_event_log_new(STDOUT_FILENO, host, &mh_system_clock);
	p->metrics = mh_metrics_new();
	p->loop = mh_loop_new();
	return p->log && p->metrics && p->loop &&
	       !mh_signals_watch(&p->signals, p->loop, on_stop, p);
}

void mh_process_set_log_format(struct mh_process *p, const char *format)
{
	mh_event_log_set_json(p->log, !strcmp(format, "json"));
}

static struct mh_status *serve(struct mh_process *p, const char *address)
{
	struct mh_status *st =
		mh_status_new(address, &p->counters, p->metrics,
			      mh_machine_status_connections(&p->machine));

	if (!st)
		mh_event(p->log, MH_EV_FAILED, "event=no_listen address=%s",
			 address);
	return st;
}

bool mh_process_serve_status(struct mh_process *p, const char *address)
{
	if (!address)
		return true;
	p->status = serve(p, address);
	return p->status;
}

bool mh_process_serve_metrics(struct mh_process *p, const char *address)
{
	if (!address)
		return true;
	p->extra_status = serve(p, address);
	return p->extra_status;
}

/* Reloads changed settings, and exports the number of dropped log lines. */
static void do_periodic_checks(struct mh_process *p)
{
	if (mh_file_stamp(p->path) != p->settings_stamp)
		on_reload(p);
	atomic_store(&p->counters.v[MH_C_LOG_DROPPED],
		     mh_event_log_dropped(p->log));
}

static uint64_t tick(void *data)
{
	struct mh_process *p = data;
	uint64_t now_ns = mh_now_ns(), next = mh_timers_run(&p->timers, now_ns);

	if (now_ns >= p->next_poll_ns) {
		p->next_poll_ns = now_ns + SETTINGS_POLL_INTERVAL_NS;
		do_periodic_checks(p);
	}
	next = mh_earlier(next, p->ops->tick(p->data));
	mh_event_log_flush(p->log);
	return mh_earlier(p->next_poll_ns, next);
}

void mh_process_run(struct mh_process *p)
{
	mh_loop_run(p->loop, tick, p);
}

void mh_process_release(struct mh_process *p)
{
	mh_status_free(p->extra_status);
	mh_status_free(p->status);
	mh_signals_release(&p->signals);
	mh_timers_release(&p->timers);
	mh_loop_free(p->loop);
	mh_event_log_free(p->log);
	mh_metrics_free(p->metrics);
}
