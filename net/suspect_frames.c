#include "net/suspect_frames.h"

#include <string.h>

#include "core/clock.h"

static uint32_t age_ms(uint64_t then_ns, uint64_t now_ns)
{
	return then_ns < now_ns ?
		       (uint32_t)((now_ns - then_ns) / MH_NS_PER_MS) :
		       0;
}

static uint64_t time_ns(uint32_t age_ms, uint64_t now_ns)
{
	uint64_t age_ns = age_ms * MH_NS_PER_MS;

	/* 0 stands for "never". */
	return age_ns < now_ns ? now_ns - age_ns : 1;
}

/* How long the run took that was lost, at least 1. */
static uint32_t run_ms(const struct mh_crash *crash)
{
	if (!crash->placed_ns)
		return 0;
	return age_ms(crash->placed_ns, crash->lost_ns) + 1;
}

static uint64_t placed_ns(uint32_t run_ms, uint64_t lost_ns)
{
	return run_ms ? time_ns(run_ms - 1, lost_ns) : 0;
}

static void send_record(struct mh_links *links, uint32_t link,
			const struct mh_suspect *suspect, bool is_observed,
			uint64_t now_ns)
{
	Mh__CrashSuspect msg = MH__CRASH_SUSPECT__INIT;
	Mh__Crash crashes[MH_SUSPECT_CRASHES];
	Mh__Crash *list[MH_SUSPECT_CRASHES];
	Mh__Frame frame = MH__FRAME__INIT;
	uint32_t i;

	for (i = 0; i < suspect->n_crashes; i++) {
		const struct mh_crash *crash = &suspect->crashes[i];

		mh__crash__init(&crashes[i]);
		crashes[i].id = crash->id;
		crashes[i].server = crash->server;
		crashes[i].age_ms = age_ms(crash->lost_ns, now_ns);
		crashes[i].on_trial = crash->on_trial;
		crashes[i].is_blamed = crash->is_blamed;
		crashes[i].refuted = crash->refuted;
		crashes[i].run_ms = run_ms(crash);
		crashes[i].request = crash->request;
		list[i] = &crashes[i];
	}
	msg.fingerprint = suspect->feature.id;
	msg.kind = suspect->feature.kind;
	msg.is_confirmed = suspect->is_confirmed;
	msg.seen_age_ms = age_ms(suspect->seen_ns, now_ns);
	msg.is_cleared = suspect->cleared_ns;
	msg.cleared_age_ms = age_ms(suspect->cleared_ns, now_ns);
	msg.n_crash = suspect->n_crashes;
	msg.crash = list;
	if (is_observed) {
		frame.body_case = MH__FRAME__BODY_OBSERVED_CRASH;
		frame.observed_crash = &msg;
	} else {
		frame.body_case = MH__FRAME__BODY_CRASH_SUSPECT;
		frame.crash_suspect = &msg;
	}
	mh_links_send(links, link, &frame);
}

void mh_suspect_send(struct mh_links *links, uint32_t link,
		     const struct mh_suspect *suspect, uint64_t now_ns)
{
	send_record(links, link, suspect, false, now_ns);
}

void mh_suspect_send_observed(struct mh_links *links, uint32_t link,
			      const struct mh_suspect *observed,
			      uint64_t now_ns)
{
	send_record(links, link, observed, true, now_ns);
}

void mh_suspect_read(const Mh__CrashSuspect *msg, uint64_t now_ns,
		     struct mh_suspect *suspect)
{
	size_t i;

	memset(suspect, 0, sizeof(*suspect));
	/* Of a kind that is not known, nothing is kept. */
	if (msg->kind >= MH_FEATURE_KINDS)
		return;
	suspect->feature.kind = (enum mh_feature_kind)msg->kind;
	suspect->feature.id = msg->fingerprint;
	suspect->is_confirmed = msg->is_confirmed;
	suspect->seen_ns = time_ns(msg->seen_age_ms, now_ns);
	if (msg->is_cleared)
		suspect->cleared_ns = time_ns(msg->cleared_age_ms, now_ns);
	for (i = 0; i < msg->n_crash && i < MH_SUSPECT_CRASHES; i++) {
		const Mh__Crash *from = msg->crash[i];
		uint64_t lost_ns = time_ns(from->age_ms, now_ns);

		suspect->crashes[suspect->n_crashes++] = (struct mh_crash){
			.id = from->id,
			.server = from->server,
			.request = from->request,
			.placed_ns = placed_ns(from->run_ms, lost_ns),
			.lost_ns = lost_ns,
			.on_trial = from->on_trial,
			.is_blamed = from->is_blamed,
			.refuted = from->refuted,
		};
	}
}
