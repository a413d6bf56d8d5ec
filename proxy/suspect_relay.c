#include "proxy/suspect_relay.h"

#include <utlist.h>

#include "net/crash_log.h"
#include "net/suspect_frames.h"

static uint64_t now_of(const struct mh_suspect_relay *relay)
{
	return mh_clock_mono_ns(relay->clock);
}

void mh_suspect_relay_forward(const struct mh_suspect_relay *relay,
			      const struct mh_suspect *suspect,
			      const struct mh_candidate *from)
{
	const struct mh_candidate *c;

	mh_crash_log_suspect(relay->log, from ? from->name : "", suspect);
	DL_FOREACH(relay->candidates->first, c) {
		if (c->up && c != from)
			mh_suspect_send(relay->links, c->link, suspect,
					now_of(relay));
	}
}

void mh_suspect_relay_merge(const struct mh_suspect_relay *relay,
			    const struct mh_suspect *suspect,
			    const struct mh_candidate *from)
{
	if (mh_dispatch_merge_suspect(relay->local, suspect))
		mh_suspect_relay_forward(relay, suspect, from);
}

void mh_suspect_relay_receive(const struct mh_suspect_relay *relay,
			      const Mh__CrashSuspect *msg,
			      const struct mh_candidate *from)
{
	struct mh_suspect suspect;

	mh_suspect_read(msg, now_of(relay), &suspect);
	mh_suspect_relay_merge(relay, &suspect, from);
}

struct recipient {
	const struct mh_suspect_relay *relay;
	uint32_t link;
};

static void send_suspect(void *data, const struct mh_suspect *suspect)
{
	const struct recipient *to = data;

	mh_suspect_send(to->relay->links, to->link, suspect, now_of(to->relay));
}

void mh_suspect_relay_send_all(const struct mh_suspect_relay *relay,
			       uint32_t link)
{
	struct recipient to = { relay, link };

	mh_dispatch_each_suspect(relay->local, send_suspect, &to);
}

static void send_observed(void *data, const struct mh_suspect *observed)
{
	const struct recipient *to = data;

	mh_suspect_send_observed(to->relay->links, to->link, observed,
				 now_of(to->relay));
}

static void add_observed(void *data, const struct mh_suspect *observed)
{
	const struct mh_suspect_relay *relay = data;

	mh_dispatch_add_observed(relay->local, observed);
}

void mh_suspect_relay_tell_observed(const struct mh_suspect_relay *relay,
				    const struct mh_candidate *to)
{
	if (to)
		mh_observed_crashes_each(
			relay->observed, to->used_until_ns, send_observed,
			&(struct recipient){ relay, to->link }, now_of(relay));
	else
		mh_observed_crashes_each(relay->observed, 0, add_observed,
					 (void *)relay, now_of(relay));
}
