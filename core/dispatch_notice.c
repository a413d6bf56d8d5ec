/*
 * Servers that leave, and servers that asked an entry for a pause: the former
 * get no further requests, the latter none of that entry until the pause ends.
 */
#include <stdlib.h>
#include <utlist.h>

#include "core/dispatch_impl.h"

/* After a pause, an entry's share of the server's slots grows over this time. */
#define RAMP_NS (1000 * MH_NS_PER_MS)
/* Most of the random part of a Retry-After. */
#define JITTER_MAX_MS 1000

static struct pause *find_pause(const struct server *s, uint32_t owner)
{
	struct pause *p;

	DL_FOREACH(s->pauses, p) {
		if (p->owner == owner)
			return p;
	}
	return NULL;
}

bool mh_dispatch_is_paused(const struct server *s, uint32_t owner,
			   uint64_t now_ns)
{
	const struct pause *p = find_pause(s, owner);

	return p && now_ns < p->until_ns;
}

bool mh_dispatch_allows(const struct mh_dispatch *d, const struct server *s,
			uint32_t owner, uint64_t now_ns)
{
	const struct pause *p = find_pause(s, owner);
	uint64_t slots;

	if (!p || now_ns >= p->until_ns + RAMP_NS)
		return true;
	if (now_ns < p->until_ns)
		return false;
	slots = mh_dispatch_server_slots(d, s);
	return s->held < 1 + slots * (now_ns - p->until_ns) / RAMP_NS;
}

void mh_dispatch_drop_pauses(struct server *s)
{
	struct pause *p, *tmp;

	DL_FOREACH_SAFE(s->pauses, p, tmp) {
		DL_DELETE(s->pauses, p);
		free(p);
	}
}

static void expire_pauses(struct server *s, uint64_t now_ns)
{
	struct pause *p, *tmp;

	DL_FOREACH_SAFE(s->pauses, p, tmp) {
		if (now_ns < p->until_ns + RAMP_NS)
			continue;
		DL_DELETE(s->pauses, p);
		free(p);
	}
}

/* Return: the server, unless a former incarnation is meant. A later one may be
 * registered in a moment. */
struct server *mh_dispatch_incarnation(const struct mh_dispatch *d,
				       const struct mh_server_ref *ref)
{
	struct server *s = mh_dispatch_find_server(d, ref->id);

	return s && s->info.born_ms <= ref->born_ms ? s : NULL;
}

bool mh_dispatch_server_leaving(struct mh_dispatch *d,
				const struct mh_server_ref *server)
{
	struct server *s = mh_dispatch_incarnation(d, server);

	if (!s || s->is_leaving)
		return false;
	s->is_leaving = true;
	d->review = true;
	return true;
}

void mh_dispatch_server_pause(struct mh_dispatch *d, uint32_t owner,
			      const struct mh_server_ref *server, uint32_t ms)
{
	struct server *s = mh_dispatch_incarnation(d, server);
	uint64_t now_ns = mh_dispatch_now_ns(d), until_ns;
	struct pause *p;

	if (!s)
		return;
	if (ms > MH_PAUSE_MAX_MS)
		ms = MH_PAUSE_MAX_MS;
	until_ns = now_ns + ms * MH_NS_PER_MS;
	expire_pauses(s, now_ns);
	p = find_pause(s, owner);
	if (!p) {
		p = mh_check_alloc(calloc(1, sizeof(*p)));
		p->owner = owner;
		DL_APPEND(s->pauses, p);
	}
	if (until_ns > p->until_ns)
		p->until_ns = until_ns;
	if (until_ns + RAMP_NS > s->pool->pauses_end_ns)
		s->pool->pauses_end_ns = until_ns + RAMP_NS;
	d->review = true;
}

void mh_dispatch_drop_owner_pauses(struct mh_dispatch *d, uint32_t owner)
{
	struct server *s, *tmp_s;
	struct pool *p, *tmp_p;

	HASH_ITER(hh, d->pools, p, tmp_p) {
		HASH_ITER(hh, p->servers, s, tmp_s) {
			struct pause *pause = find_pause(s, owner);

			if (!pause)
				continue;
			DL_DELETE(s->pauses, pause);
			free(pause);
		}
	}
}

void mh_dispatch_each_notice(
	const struct mh_dispatch *d,
	void (*visit)(void *data, const struct mh_server_notice *notice),
	void *data)
{
	struct server *s, *tmp_s;
	struct pool *p, *tmp_p;

	HASH_ITER(hh, d->pools, p, tmp_p) {
		HASH_ITER(hh, p->servers, s, tmp_s) {
			struct mh_server_notice notice = {
				.server = s->info.id,
				.born_ms = s->info.born_ms,
				.is_leaving = s->is_leaving,
				.limit = s->limit,
			};

			if (s->is_leaving ||
			    s->limit.max_millihz != MH_NO_LIMIT)
				visit(data, &notice);
		}
	}
}

/* Whether a pause alone keeps the request from a free slot. */
static bool is_held_back(const struct mh_dispatch *d, const struct request *req,
			 uint64_t now_ns)
{
	struct server *s, *tmp;

	HASH_ITER(hh, req->pool->servers, s, tmp) {
		if (mh_dispatch_version_serves(d, s) &&
		    mh_dispatch_free_slots(d, s, now_ns) &&
		    !mh_dispatch_allows(d, s, (uint32_t)req->key.owner, now_ns))
			return true;
	}
	return false;
}

/* Slots that an entry may use now, of servers that did not ask it for a pause.
 * Without any, @resume_ns is the end of the first pause, 0 without servers. */
static uint32_t usable_slots(const struct mh_dispatch *d, const struct pool *p,
			     uint32_t owner, uint64_t now_ns,
			     uint64_t *resume_ns)
{
	struct server *s, *tmp;
	uint32_t n = 0;

	*resume_ns = 0;
	HASH_ITER(hh, p->servers, s, tmp) {
		const struct pause *pause = find_pause(s, owner);

		if (!mh_dispatch_server_takes_work(s) ||
		    !mh_dispatch_version_serves(d, s))
			continue;
		if (!pause || now_ns >= pause->until_ns)
			n += mh_dispatch_server_slots(d, s);
		else if (!*resume_ns || pause->until_ns < *resume_ns)
			*resume_ns = pause->until_ns;
	}
	return n;
}

static void refuse_paused(struct mh_dispatch *d, struct request *req,
			  uint64_t wait_ns)
{
	uint32_t ms = (uint32_t)(wait_ns / MH_NS_PER_MS) + 1;
	uint32_t jitter_ms = ms / 2 < JITTER_MAX_MS ? ms / 2 : JITTER_MAX_MS;
	struct mh_slot_refusal why = {
		.error = MH_ERR_SERVERS_PAUSED,
		.wait_ms = ms,
	};

	/* Jitter, so that requests refused together don't return together. */
	why.retry_after_ms =
		ms + (uint32_t)(mh_rng_next(&d->rng) % (jitter_ms + 1));
	mh_dispatch_refuse(d, req, &why);
}

bool mh_dispatch_hold_back(struct mh_dispatch *d, struct request *req,
			   uint64_t now_ns)
{
	const struct pool *p = req->pool;
	uint64_t resume_ns;

	if (now_ns >= p->pauses_end_ns)
		return false;
	if (!usable_slots(d, p, (uint32_t)req->key.owner, now_ns, &resume_ns) &&
	    resume_ns) {
		uint64_t first_ns =
			resume_ns +
			(uint64_t)(mh_dispatch_expected_first_ms(p, req) *
				   MH_NS_PER_MS);

		if (first_ns > req->start_by_ns || first_ns > req->deadline_ns)
			refuse_paused(d, req, resume_ns - now_ns);
		else
			mh_dispatch_park(d, req);
		return true;
	}
	if (!is_held_back(d, req, now_ns))
		return false;
	mh_dispatch_park(d, req);
	return true;
}

/* Expected run times of the parked requests of an entry. */
struct backlog {
	uint32_t owner;
	double ahead_ms;
	UT_hash_handle hh;
};

static struct backlog *get_backlog(struct backlog **all, uint32_t owner)
{
	struct backlog *b;

	HASH_FIND(hh, *all, &owner, sizeof(owner), b);
	if (b)
		return b;
	b = mh_check_alloc(calloc(1, sizeof(*b)));
	b->owner = owner;
	HASH_ADD(hh, *all, owner, sizeof(b->owner), b);
	return b;
}

void mh_dispatch_review_parked(struct mh_dispatch *d, struct pool *p,
			       uint64_t now_ns)
{
	struct backlog *all = NULL, *b, *tmp_b;
	struct request *req, *tmp;

	if (now_ns >= p->pauses_end_ns)
		return;
	DL_FOREACH_SAFE(d->parked, req, tmp) {
		uint32_t owner = (uint32_t)req->key.owner;
		double run_ms = mh_dispatch_expected_ms(p, req);
		uint64_t resume_ns, n;
		double wait_ms;

		if (req->pool != p || mh_dispatch_is_suspect(d, req, now_ns))
			continue;
		n = usable_slots(d, p, owner, now_ns, &resume_ns);
		if (!n)
			continue;
		b = get_backlog(&all, owner);
		wait_ms = b->ahead_ms / (double)n;
		if (mh_dispatch_is_too_late(req, wait_ms, now_ns))
			mh_dispatch_refuse_late(d, req, wait_ms);
		else
			b->ahead_ms += run_ms;
	}
	HASH_ITER(hh, all, b, tmp_b) {
		HASH_DEL(all, b);
		free(b);
	}
}
