#include <stdlib.h>

#include "tests/soak/soak.h"

#define MIN_DURATION_MS 100
#define MAX_DURATION_MS 1500
/* Mean time between two notices of servers, in mean gaps between faults. */
#define NOTICE_GAP 6
/* The same between servers that state a limit, or write refusals again. */
#define LIMIT_GAP 12
#define MIN_LIMIT_MILLIHZ 200
#define MAX_LIMIT_MILLIHZ 6000
/* The limit has to hold for longer than the time after which it counts. */
#define MIN_LIMIT_MS 5000
#define MAX_LIMIT_MS 9000
#define REPEAT_MODES 3
/* The same between faults that two processes see differently, and drills. */
#define PARTITION_GAP 10
#define MIN_PARTITION_MS 500
#define MAX_PARTITION_MS 6000
/* The same between removals of servers in a cut. */
#define REMOVAL_GAP 20
#define MAX_CUT_BEFORE_REMOVAL_MS 1000
#define MIN_PAUSE_MS 700
#define MAX_PAUSE_MS 3000
/* Time after a fault during which its effects on requests that were in
 * progress may still be seen. */
#define FAULT_TAIL_MS 500

static const char *const names[FAULT_KINDS] = {
	[FAULT_TERM] = "term",
	[FAULT_KILL] = "kill",
	[FAULT_STOP] = "stop",
	[FAULT_KILL_ALL] = "kill all",
	[FAULT_CLOCK] = "clock",
	[FAULT_STORE] = "store",
	[FAULT_TRUNCATE_LOG] = "truncate",
	[FAULT_RESET] = "reset",
	[FAULT_DELAY] = "delay",
	[FAULT_BLOCK_TO_TARGET] = "block to",
	[FAULT_BLOCK_FROM_TARGET] = "block from",
	[FAULT_PARTITION] = "partition",
	[FAULT_CONFIG] = "config",
	[FAULT_RELOAD] = "reload",
	[FAULT_SERVER_LEAVE] = "leave",
	[FAULT_SERVER_SHED] = "shed",
	[FAULT_SERVER_SAYS] = "says",
	[FAULT_SERVER_LIMIT] = "limit",
	[FAULT_SERVER_REPEAT] = "repeat",
	[FAULT_CUT_FROM_STORE] = "no store",
	[FAULT_CUT_ENTRY] = "cut off",
	[FAULT_TURN_AWAY] = "turn away",
	[FAULT_DRILL] = "drill",
	[FAULT_REMOVAL] = "removal",
};

/* Relative probability of each kind in the first pass of plan_make(). */
static const uint32_t weights[FAULT_KINDS] = {
	[FAULT_TERM] = 12,
	[FAULT_KILL] = 8,
	[FAULT_STOP] = 8,
	[FAULT_KILL_ALL] = 1,
	[FAULT_CLOCK] = 6,
	[FAULT_STORE] = 10,
	[FAULT_TRUNCATE_LOG] = 3,
	[FAULT_RESET] = 8,
	[FAULT_DELAY] = 8,
	[FAULT_BLOCK_TO_TARGET] = 6,
	[FAULT_BLOCK_FROM_TARGET] = 6,
	[FAULT_PARTITION] = 6,
	[FAULT_CONFIG] = 12,
	[FAULT_RELOAD] = 4,
	[FAULT_SERVER_LEAVE] = 6,
};

const char *fault_name(enum fault_kind kind)
{
	return names[kind];
}

bool fault_overlaps(const struct fault *f, uint64_t from_ms, uint64_t to_ms)
{
	return f->begin_ms && f->begin_ms <= to_ms &&
	       (!f->end_ms || f->end_ms + FAULT_TAIL_MS >= from_ms);
}

static uint32_t draw(struct mh_rng *rng, uint32_t n)
{
	return (uint32_t)(mh_rng_next(rng) % n);
}

static enum fault_kind draw_kind(struct mh_rng *rng)
{
	uint32_t sum = 0, at, i;

	for (i = 0; i < FAULT_KINDS; i++)
		sum += weights[i];
	at = draw(rng, sum);
	for (i = 0; at >= weights[i]; i++)
		at -= weights[i];
	return (enum fault_kind)i;
}

static void draw_fault(struct fault *f, struct mh_rng *rng,
		       const struct params *params)
{
	f->kind = draw_kind(rng);
	f->ms = MIN_DURATION_MS + draw(rng, MAX_DURATION_MS - MIN_DURATION_MS);
	switch (f->kind) {
	case FAULT_RESET:
	case FAULT_DELAY:
	case FAULT_BLOCK_TO_TARGET:
	case FAULT_BLOCK_FROM_TARGET:
	case FAULT_PARTITION:
		f->target = draw(rng, relay_count(params));
		f->value = (int32_t)(10 + draw(rng, 150));
		break;
	case FAULT_SERVER_LEAVE:
		f->target = draw(rng, params->servers);
		break;
	case FAULT_STORE:
		f->value = (int32_t)draw(rng, 3);
		break;
	case FAULT_CLOCK:
		f->target = draw(rng, params->proxies + params->dispatchers);
		f->value = (int32_t)draw(rng, 7200000) - 3600000;
		break;
	default:
		f->target = draw(rng, params->proxies + params->dispatchers);
		break;
	}
}

static void draw_notice(struct fault *f, struct mh_rng *rng,
			const struct params *params)
{
	f->kind = draw(rng, 3) ? FAULT_SERVER_SHED : FAULT_SERVER_SAYS;
	f->ms = MIN_DURATION_MS + draw(rng, MAX_DURATION_MS - MIN_DURATION_MS);
	f->target = draw(rng, params->servers);
	f->value = (int32_t)(MIN_PAUSE_MS +
			     draw(rng, MAX_PAUSE_MS - MIN_PAUSE_MS));
}

static void draw_limit(struct fault *f, struct mh_rng *rng,
		       const struct params *params)
{
	f->target = draw(rng, params->servers);
	if (!draw(rng, 3)) {
		f->kind = FAULT_SERVER_REPEAT;
		f->ms = MIN_DURATION_MS +
			draw(rng, MAX_DURATION_MS - MIN_DURATION_MS);
		f->value = (int32_t)draw(rng, REPEAT_MODES);
		return;
	}
	f->kind = FAULT_SERVER_LIMIT;
	f->ms = MIN_LIMIT_MS + draw(rng, MAX_LIMIT_MS - MIN_LIMIT_MS);
	f->value = (int32_t)(MIN_LIMIT_MILLIHZ +
			     draw(rng, MAX_LIMIT_MILLIHZ - MIN_LIMIT_MILLIHZ));
}

static void draw_partition(struct fault *f, struct mh_rng *rng,
			   const struct params *params)
{
	static const enum fault_kind kinds[] = { FAULT_CUT_FROM_STORE,
						 FAULT_CUT_ENTRY,
						 FAULT_TURN_AWAY, FAULT_DRILL };

	f->kind = kinds[draw(rng, sizeof(kinds) / sizeof(kinds[0]))];
	f->ms = MIN_PARTITION_MS +
		draw(rng, MAX_PARTITION_MS - MIN_PARTITION_MS);
	f->target = draw(rng, f->kind == FAULT_CUT_ENTRY ?
				      params->proxies :
				      params->proxies + params->dispatchers);
	/* Absence of the store, or which processes are turned away. */
	f->value = (int32_t)draw(rng, MIN_PARTITION_MS);
}

static void draw_removal(struct fault *f, struct mh_rng *rng,
			 const struct params *params)
{
	f->kind = FAULT_REMOVAL;
	f->ms = MIN_PARTITION_MS +
		draw(rng, MAX_PARTITION_MS - MIN_PARTITION_MS);
	f->target = draw(rng, params->servers);
	f->value = (int32_t)draw(rng, MAX_CUT_BEFORE_REMOVAL_MS);
}

/* Adds faults of one kind of servers, in a pass of its own, so that a seed gives
 * the same faults of the other kinds as before. */
static void add_pass(struct plan *plan, const struct params *params,
		     struct mh_rng rng, uint32_t gap_ms,
		     void (*draw_one)(struct fault *f, struct mh_rng *rng,
				      const struct params *params))
{
	uint32_t at_ms = 0;

	for (; plan->n < MAX_FAULTS; plan->n++) {
		struct fault *f = &plan->v[plan->n];

		at_ms += draw(&rng, 2 * gap_ms);
		if (at_ms >= params->seconds * 1000)
			break;
		*f = (struct fault){ .at_ms = at_ms };
		draw_one(f, &rng, params);
	}
}

static int by_start(const void *a, const void *b)
{
	const struct fault *x = a, *y = b;

	return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

/* One fault in four begins together with the one before; faults overlap. */
void plan_make(struct plan *plan, const struct params *params)
{
	struct mh_rng rng = { params->seed };
	uint32_t at_ms = 0;

	plan->n = 0;
	for (;;) {
		struct fault *f = &plan->v[plan->n];

		if (draw(&rng, 4))
			at_ms += draw(&rng, 2 * params->gap_ms);
		if (at_ms >= params->seconds * 1000 || plan->n == MAX_FAULTS)
			break;
		*f = (struct fault){ .at_ms = at_ms };
		draw_fault(f, &rng, params);
		plan->n++;
	}
	add_pass(plan, params, (struct mh_rng){ params->seed * 31 + 7 },
		 NOTICE_GAP * params->gap_ms, draw_notice);
	add_pass(plan, params, (struct mh_rng){ params->seed * 37 + 11 },
		 LIMIT_GAP * params->gap_ms, draw_limit);
	add_pass(plan, params, (struct mh_rng){ params->seed * 41 + 13 },
		 PARTITION_GAP * params->gap_ms, draw_partition);
	add_pass(plan, params, (struct mh_rng){ params->seed * 43 + 17 },
		 REMOVAL_GAP * params->gap_ms, draw_removal);
	qsort(plan->v, plan->n, sizeof(*plan->v), by_start);
}

void plan_print(const struct plan *plan, const struct params *params, FILE *out)
{
	size_t i;

	fprintf(out,
		"seed %llu: %u proxies, %u dispatchers, %u servers, %u "
		"clients, %u s, %zu faults\n",
		(unsigned long long)params->seed, params->proxies,
		params->dispatchers, params->servers, params->clients,
		params->seconds, plan->n);
	for (i = 0; i < plan->n; i++) {
		const struct fault *f = &plan->v[i];

		fprintf(out, "%7u ms %-10s target %u for %u ms, value %d\n",
			f->at_ms, names[f->kind], f->target, f->ms, f->value);
	}
}
