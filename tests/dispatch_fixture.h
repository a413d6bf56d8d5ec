/*
 * Fixture: a dispatcher with a fake clock that records the results of slot
 * requests. It has one service, whose servers have two slots each. A run is
 * expected to take 20 ms until one has been measured.
 */
#ifndef MH_DISPATCH_FIXTURE_H
#define MH_DISPATCH_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/dispatch.h"

#define MS MH_NS_PER_MS
#define MAX_REQUESTS 4096
#define SERVICE "pool"

struct slot_result {
	bool placed;
	bool refused;
	bool moved;
	bool ended; /* for tests that keep track of it */
	char server[32];
	char hedge_server[32]; /* of its second slot, "" without one */
	enum mh_error error;
	uint32_t retry_ms;
	uint64_t at_ns;
};

struct fixture {
	uint64_t now_ns;
	struct mh_clock clock;
	struct mh_dispatch *d;
	struct slot_result results[MAX_REQUESTS];
	uint64_t next_id;
	bool releases_on_move; /* like an entry that runs its own dispatcher */
	uint32_t n_hedges;
	uint32_t n_lost;
	struct mh_lost_run last_lost; /* its strings may be stale */
	struct mh_suspect last_suspect;
	uint32_t n_back; /* servers that came back after a crash */
	void (*shares_suspect)(struct fixture *f,
			       const struct mh_suspect *suspect);
	struct cluster *cluster; /* of tests with several dispatchers */
	uint32_t number;	 /* in the cluster */
};

static inline uint64_t fake_mono(void *data)
{
	return ((struct fixture *)data)->now_ns;
}

static inline uint64_t fake_wall(void *data)
{
	return ((struct fixture *)data)->now_ns / MS;
}

static inline void on_place(void *data, uint32_t owner, uint64_t id,
			    const struct mh_backend_server *server)
{
	struct fixture *f = data;
	struct slot_result *a = &f->results[id];

	(void)owner;
	assert_false(a->placed || a->refused);
	a->placed = true;
	a->at_ns = f->now_ns;
	snprintf(a->server, sizeof(a->server), "%s", server->id);
}

static inline void on_refuse(void *data, uint32_t owner, uint64_t id,
			     const struct mh_slot_refusal *why)
{
	struct fixture *f = data;
	struct slot_result *a = &f->results[id];

	(void)owner;
	assert_false(a->placed || a->refused);
	a->refused = true;
	a->error = why->error;
	a->retry_ms = why->retry_after_ms;
	a->at_ns = f->now_ns;
}

static inline void on_move(void *data, uint32_t owner, uint64_t id)
{
	struct fixture *f = data;

	assert_true(f->results[id].placed);
	assert_false(f->results[id].moved);
	f->results[id].moved = true;
	if (f->releases_on_move)
		mh_dispatch_done(f->d, owner, id, MH_SLOT_TIMED_OUT, 700);
}

static inline void on_lost(void *data, const struct mh_lost_run *run)
{
	struct fixture *f = data;

	f->n_lost++;
	f->last_lost = *run;
}

static inline void on_suspect(void *data, const struct mh_suspect *suspect)
{
	struct fixture *f = data;

	f->last_suspect = *suspect;
	if (f->shares_suspect)
		f->shares_suspect(f, suspect);
}

static inline void on_hedge(void *data, uint32_t owner, uint64_t id,
			    const struct mh_backend_server *server)
{
	struct fixture *f = data;
	struct slot_result *a = &f->results[id];

	(void)owner;
	assert_true(a->placed && !a->moved);
	assert_string_not_equal(a->server, server->id);
	assert_string_equal(a->hedge_server, "");
	snprintf(a->hedge_server, sizeof(a->hedge_server), "%s", server->id);
	f->n_hedges++;
}

static const struct mh_dispatch_ops ops = { on_place, on_refuse,  on_move,
					    on_lost,  on_suspect, NULL,
					    on_hedge };

static const struct mh_dispatch_conf conf = {
	.retry_ratio = 0.2,
	.retry_extra = 5,
	.retry_window_ms = 10000,
	.quota_window_ms = 8000,
	.quota_excess = 0.1,
	.quota_slack = 1000,
};

static inline struct fixture *new_fixture_of_seed(uint64_t now_ns,
						  uint64_t seed)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct mh_dispatch_service_conf service = { SERVICE, 2, false };

	assert_non_null(f);
	f->now_ns = now_ns;
	f->clock.mono_ns = fake_mono;
	f->clock.wall_ms = fake_wall;
	f->clock.data = f;
	f->d = mh_dispatch_new(&conf, &f->clock, seed, &ops, f);
	mh_dispatch_set_grantor(f->d, 1);
	mh_dispatch_set_service(f->d, &service);
	return f;
}

/* A dispatcher that starts at a given time. */
static inline struct fixture *new_fixture_at(uint64_t now_ns)
{
	return new_fixture_of_seed(now_ns, 7);
}

/* A dispatcher that has run for a whole retry window. */
static inline struct fixture *new_fixture(void)
{
	struct fixture *f = new_fixture_at(100000 * MS);

	f->now_ns += conf.retry_window_ms * MS;
	return f;
}

static inline void free_fixture(struct fixture *f)
{
	mh_dispatch_free(f->d);
	free(f);
}

static inline void update_server(struct fixture *f, const char *id,
				 uint64_t born_ms, bool takes_work,
				 bool is_gone)
{
	struct mh_backend_server s = {
		.id = id,
		.service = SERVICE,
		.address = "127.0.0.1:1",
		.places = 2,
		.born_ms = born_ms,
		.takes_work = takes_work,
		.is_gone = is_gone,
	};

	mh_dispatch_update_server(f->d, &s);
}

/* Adds a server, or sets whether it is ready or draining. */
static inline void add_server(struct fixture *f, const char *id,
			      uint64_t born_ms, bool takes_work)
{
	update_server(f, id, born_ms, takes_work, false);
}

static inline void remove_server(struct fixture *f, const char *id)
{
	update_server(f, id, 1, false, true);
}

/* A request with a target latency of 100 ms and a deadline of 1 s. */
static inline struct mh_slot_request make_request(struct fixture *f,
						  uint8_t tier)
{
	struct mh_slot_request request = {
		.owner = 1,
		.id = f->next_id++,
		.service = SERVICE,
		.account = "",
		.tier = tier,
		.target_ns = f->now_ns + 100 * MS,
		.start_by_ns = f->now_ns + 1000 * MS,
		.deadline_ns = f->now_ns + 1000 * MS,
	};

	assert_true(request.id < MAX_REQUESTS);
	return request;
}

static inline uint64_t request(struct fixture *f, uint8_t tier)
{
	struct mh_slot_request a = make_request(f, tier);

	mh_dispatch_request_slot(f->d, &a);
	return a.id;
}

static inline void advance_clock(struct fixture *f, uint64_t ms)
{
	f->now_ns += ms * MS;
	mh_dispatch_tick(f->d);
}

static inline void done(struct fixture *f, uint64_t id,
			enum mh_slot_outcome outcome, uint32_t total_ms)
{
	mh_dispatch_done(f->d, 1, id, outcome, total_ms);
	mh_dispatch_tick(f->d);
}

/*
 * Requests a slot for quota units of an account and ends its run at once.
 * Return: whether the slot was granted.
 */
static inline bool request_units(struct fixture *f, const char *account,
				 uint32_t units)
{
	struct mh_slot_request a = make_request(f, 0);

	a.account = account;
	a.units = units;
	mh_dispatch_request_slot(f->d, &a);
	mh_dispatch_tick(f->d);
	if (f->results[a.id].placed)
		done(f, a.id, MH_SLOT_OK, 10);
	return f->results[a.id].placed;
}

#endif
