/*
 * Fixture of the tests of hedged requests: a pool of servers whose requests take 18
 * to 22 ms, so that the dispatcher knows the percentile.
 */
#ifndef MH_HEDGE_FIXTURE_H
#define MH_HEDGE_FIXTURE_H

#include "core/hedge.h"
#include "tests/dispatch_fixture.h"
#include "core/dispatch_view.h"

#define KIND 77
#define SHARE 0.05
#define EXTRA 8
/* Most hedged requests in a window with so many requests. */
#define ALLOWED(requests) (SHARE * (requests) + EXTRA)

static inline void set_hedging(struct fixture *f, double share, double extra)
{
	struct mh_dispatch_conf with = conf;

	with.retry_ratio = 1;
	with.hedge_share = share;
	with.hedge_extra = extra;
	mh_dispatch_set_conf(f->d, &with);
}

static inline struct mh_slot_request repeatable(struct fixture *f)
{
	struct mh_slot_request a = make_request(f, 0);

	a.kind = KIND;
	a.is_repeatable = true;
	a.start_by_ns = a.deadline_ns = f->now_ns + 10000 * MS;
	return a;
}

static inline uint64_t send(struct fixture *f, const struct mh_slot_request *a)
{
	mh_dispatch_request_slot(f->d, a);
	mh_dispatch_tick(f->d);
	return a->id;
}

static inline uint64_t send_repeatable(struct fixture *f)
{
	struct mh_slot_request a = repeatable(f);

	return send(f, &a);
}

static inline void end(struct fixture *f, uint64_t id, uint32_t ms)
{
	mh_dispatch_first_byte(f->d, 1, id, ms);
	done(f, id, MH_SLOT_OK, ms);
}

/* Requests of 18 to 22 ms, so that the percentile is known. */
static inline void observe(struct fixture *f, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		uint64_t id = send_repeatable(f);

		assert_true(f->results[id].placed);
		advance_clock(f, 18 + i % 5);
		end(f, id, 18 + i % 5);
	}
}

/* A dispatcher with servers of two slots each that has seen requests. */
static inline struct fixture *new_pool_of(uint32_t servers, double share,
					  double extra)
{
	struct fixture *f = new_fixture();
	char id[8];
	uint32_t i;

	set_hedging(f, share, extra);
	for (i = 0; i < servers; i++) {
		snprintf(id, sizeof(id), "s%u", i);
		add_server(f, id, 1, true);
	}
	observe(f, 100);
	return f;
}

static inline void wait_ms(struct fixture *f, uint32_t ms)
{
	uint32_t t;

	for (t = 0; t < ms; t += 20)
		advance_clock(f, 20);
}

#endif
