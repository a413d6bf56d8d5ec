/*
 * Benchmark of the scheduling policy at the present size of the installation:
 * nine engines of three speeds, three entries, five accounts. Runs the real
 * cores in the simulation; every arm (a policy or a baseline) gets the same
 * arrivals. Prints a table, or JSON lines with --json.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "tests/simulation.h"

#define N_ENTRIES 3
#define N_SIDES 9
#define SLOTS 32
#define LOAD_SECONDS 20
#define MAX_SAMPLES 200000
#define SEEDS 3
#define MAX_WAITING 400
#define N_SATURATION_CALLS 20000

/*
 * Load is relative to the capacity: the work per second of all nine engines at
 * saturation and without deadlines, as measure_capacity() finds it. Times are
 * multiplied by time_scale.
 */
struct scenario {
	const char *name;
	double load;  /* of all tiers, as a share of the capacity */
	double burst; /* factor on tier 0 from second 5 to 8 */
	int max_retries;
	uint32_t cancel_after_ms; /* tier 0 only, 0 for never */
	int flood_account;	  /* sends half of all calls, -1 for none */
	enum sim_fault_kind fault;
	uint64_t fault_at_ms;
	uint64_t fault_ms;
	bool crash_request;
};

static const struct scenario scenarios[] = {
	{ "steady-0.7", 0.7, 1, 0, 0, -1, FAULT_COUNT, 0, 0, false },
	{ "overload-2x", 2.0, 1, 0, 0, -1, FAULT_COUNT, 0, 0, false },
	{ "overload-3x", 3.0, 1, 0, 0, -1, FAULT_COUNT, 0, 0, false },
	{ "market-morning", 0.7, 10, 0, 0, -1, FAULT_COUNT, 0, 0, false },
	{ "resends-2x", 2.0, 1, 3, 2500, -1, FAULT_COUNT, 0, 0, false },
	{ "straggler", 1.0, 1, 0, 0, -1, FAULT_STRAGGLER, 5000, 8000, false },
	{ "server-lost", 1.0, 1, 0, 0, -1, FAULT_KILL_ENGINE, 7000, 3000,
	  false },
	{ "entry-lost-in-burst", 0.7, 10, 3, 0, -1, FAULT_KILL_ENTRY, 6000,
	  4000, false },
	{ "log-down-in-burst", 0.7, 10, 0, 0, -1, FAULT_LOG_OUTAGE, 5000, 8000,
	  false },
	{ "flood", 2.0, 1, 0, 0, 1, FAULT_COUNT, 0, 0, false },
	{ "crash-request", 1.0, 1, 0, 0, -1, FAULT_COUNT, 0, 0, true },
};

#define N_SCENARIOS (sizeof(scenarios) / sizeof(scenarios[0]))

struct arm {
	const char *name;
	enum sim_baseline baseline;
	unsigned int policy;
};

static const struct arm arms[] = {
	{ "mangohead", BASELINE_NONE, 0 },
	{ "ask-all", BASELINE_NONE, 1 },
	{ "no-estimate", BASELINE_NONE, 2 },
	{ "round-robin", BASELINE_ROUND_ROBIN, 0 },
	{ "least-load-1s", BASELINE_LEAST_LOAD, 0 },
};

#define N_ARMS (sizeof(arms) / sizeof(arms[0]))

struct request_class {
	int tier;
	uint32_t prompt, output; /* mean sizes */
	uint32_t deadline_ms;
	double share; /* of the offered work */
};

/* Price queries, reports, auction sheets, drafts; sizes differ 100-fold. */
static const struct request_class request_classes[] = {
	{ 0, 40, 24, 2000, 0.15 },
	{ 1, 400, 120, 8000, 0.25 },
	{ 1, 4000, 250, 15000, 0.30 },
	{ 2, 800, 300, 20000, 0.30 },
};

#define N_REQUEST_CLASSES (sizeof(request_classes) / sizeof(request_classes[0]))

#define BASE_STEP_US 3000.0

static uint32_t step_us = 3000;
/* Factor on all times but those of the network and the protocol. */
static double time_scale = 1;

static double capacity; /* prompt tokens of work per scaled second */

#define WORK_OF_OUTPUT_TOKEN 36

static double uniform(struct mh_rng *rng)
{
	return (double)(mh_rng_next(rng) >> 11) / (double)(1ull << 53);
}

static double work_of(const struct request_class *k)
{
	return k->prompt + (double)k->output * WORK_OF_OUTPUT_TOKEN;
}

/* Uniform from 0.5 to 1.5 times the mean. */
static uint32_t random_size(struct mh_rng *rng, uint32_t mean)
{
	return (uint32_t)(mean * (0.5 + uniform(rng))) + 1;
}

static struct simulation *make_simulation(const struct arm *arm, uint64_t seed,
					  uint32_t max_waiting)
{
	struct sim_options o = { 0 };
	int i;

	o.seed = seed;
	o.n_entries = N_ENTRIES;
	o.n_sides = N_SIDES;
	o.slots = SLOTS;
	o.max_waiting = max_waiting;
	o.step_us = step_us;
	o.batch_percent = 4;
	o.prefill_tokens = 512;
	o.delay_us = 1000;
	o.baseline = arm->baseline;
	o.load_lag_ms = 1000;
	o.policy = arm->policy;
	for (i = 0; i < N_SIDES; i++)
		o.speed_percent[i] = i % 3 == 0 ? 100 : i % 3 == 1 ? 70 : 40;
	return sim_new(&o);
}

static int pick_account(struct mh_rng *rng, const struct scenario *sc)
{
	double u = uniform(rng);

	if (sc->flood_account >= 0 && uniform(rng) < 0.5)
		return sc->flood_account;
	/* Two large accounts and three small ones. */
	return u < 0.4 ? 0 : u < 0.7 ? 1 : u < 0.8 ? 2 : u < 0.9 ? 3 : 4;
}

static void add_calls_of(struct simulation *sim, const struct scenario *sc,
			 const struct request_class *k, struct mh_rng *rng)
{
	double per_s = sc->load * capacity * k->share / work_of(k);
	double t = 1.0;

	while (t < 1.0 + LOAD_SECONDS) {
		double rate = per_s;
		struct sim_call c = { 0 };

		if (!k->tier && t >= 5 && t < 8)
			rate *= sc->burst;
		t += 1.0 / rate * 2 * uniform(rng);
		c.at_ms = (uint64_t)(t * 1000 * time_scale);
		c.entry = (int)(mh_rng_next(rng) % N_ENTRIES);
		c.account = pick_account(rng, sc);
		c.tier = k->tier;
		c.prompt_tokens = random_size(rng, k->prompt);
		c.output_tokens = random_size(rng, k->output);
		c.deadline_ms = (uint32_t)(k->deadline_ms * time_scale);
		c.max_retries = sc->max_retries;
		c.cancel_after_ms =
			k->tier ? 0 :
				  (uint32_t)(sc->cancel_after_ms * time_scale);
		sim_add_call(sim, &c);
	}
}

static void add_load(struct simulation *sim, const struct scenario *sc,
		     uint64_t seed)
{
	struct mh_rng rng = { seed * 1000003 };
	struct sim_fault fault = {
		sc->fault, (uint64_t)((double)sc->fault_at_ms * time_scale),
		(uint64_t)((double)sc->fault_ms * time_scale), 0, 0
	};
	struct sim_call bad = { .at_ms = (uint64_t)(6000 * time_scale),
				.prompt_tokens = 100,
				.output_tokens = 10,
				.deadline_ms = 5000,
				.crashes = true,
				.max_retries = 10 };
	size_t i;

	for (i = 0; i < N_REQUEST_CLASSES; i++)
		add_calls_of(sim, sc, &request_classes[i], &rng);
	if (sc->fault != FAULT_COUNT)
		sim_add_fault(sim, &fault);
	if (sc->crash_request)
		sim_add_call(sim, &bad);
}

/*
 * Saturates the engines: all calls at once, with deadlines of an hour.
 * Return: work per scaled second, in prompt tokens.
 */
static double measure_capacity(void)
{
	struct simulation *sim =
		make_simulation(&arms[0], 1, N_SATURATION_CALLS);
	struct mh_rng rng = { 1 };
	double tokens, total = 0;
	size_t i;
	int n;

	for (i = 0; i < N_REQUEST_CLASSES; i++)
		total +=
			request_classes[i].share / work_of(&request_classes[i]);

	for (n = 0; n < N_SATURATION_CALLS; n++) {
		double u = uniform(&rng), sum = 0;
		struct sim_call c = { 0 };

		/* Picks classes so that each has its share of the work. */
		for (i = 0; i < N_REQUEST_CLASSES - 1; i++) {
			sum += request_classes[i].share /
			       work_of(&request_classes[i]) / total;
			if (u < sum)
				break;
		}
		c.at_ms = 1000;
		c.entry = n % N_ENTRIES;
		c.account = n % 5;
		c.tier = 1;
		c.prompt_tokens = random_size(&rng, request_classes[i].prompt);
		c.output_tokens = random_size(&rng, request_classes[i].output);
		c.deadline_ms = 3600000;
		sim_add_call(sim, &c);
	}
	sim_run(sim, (uint64_t)(11000 * time_scale));
	tokens = (double)sim_useful_work(sim);
	sim_free(sim);
	return tokens / 10.0;
}

struct result {
	double goodput[3]; /* of each tier: calls in time by calls offered */
	double useful;	   /* work in time as a share of the capacity */
	double wasted;	   /* share of the prompt tokens processed */
	/* 0.5, 0.95 and 0.99 quantiles; first_ms without tier 2 */
	double first_ms[3], gap_ms[3];
	double refusal_ms; /* median */
	double starts_per_call;
	double control_bytes;
	int engines_lost;
	double share_ratio; /* work of account 0 over that of account 2 */
};

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Sorts the values. */
static double quantile(double *v, size_t n, double q)
{
	if (!n)
		return 0;
	qsort(v, n, sizeof(*v), compare);
	return v[(size_t)(q * (double)(n - 1))];
}

static void read_samples(const struct simulation *sim, struct result *r)
{
	static struct sim_sample s[MAX_SAMPLES];
	static double first[MAX_SAMPLES], gap[MAX_SAMPLES],
		refusal[MAX_SAMPLES];
	size_t n = sim_samples(sim, s, MAX_SAMPLES), i;
	size_t n_first = 0, n_gap = 0, n_ref = 0;
	double tokens[5] = { 0 };

	for (i = 0; i < n; i++) {
		if (s[i].first_us && s[i].tier < 2)
			first[n_first++] = (double)s[i].first_us / 1000.0;
		if (s[i].gap_us)
			gap[n_gap++] = (double)s[i].gap_us / 1000.0;
		if (s[i].refusal_us)
			refusal[n_ref++] = (double)s[i].refusal_us / 1000.0;
		tokens[s[i].account] += (double)s[i].tokens;
	}
	r->first_ms[0] = quantile(first, n_first, 0.5);
	r->first_ms[1] = quantile(first, n_first, 0.95);
	r->first_ms[2] = quantile(first, n_first, 0.99);
	r->gap_ms[0] = quantile(gap, n_gap, 0.5);
	r->gap_ms[1] = quantile(gap, n_gap, 0.95);
	r->gap_ms[2] = quantile(gap, n_gap, 0.99);
	r->refusal_ms = quantile(refusal, n_ref, 0.5);
	r->share_ratio = tokens[2] > 0 ? tokens[0] / tokens[2] : 0;
}

static void run(const struct scenario *sc, const struct arm *arm, uint64_t seed,
		struct result *r)
{
	struct simulation *sim = make_simulation(arm, seed, MAX_WAITING);
	struct sim_tier_result t;
	double offered = 0;
	int i;

	memset(r, 0, sizeof(*r));
	add_load(sim, sc, seed);
	sim_run(sim, (uint64_t)((1000 + LOAD_SECONDS * 1000) * time_scale));
	/* Counts only work that completed while load was offered. */
	r->useful = (double)sim_useful_work(sim) / (capacity * LOAD_SECONDS);
	sim_run(sim, (uint64_t)(90000 * time_scale));
	for (i = 0; i < 3; i++) {
		sim_tier(sim, i, &t);
		r->goodput[i] =
			t.offered ? (double)t.in_time / (double)t.offered : 0;
		offered += (double)t.offered;
	}
	r->wasted = sim_prefilled(sim) ? (double)sim_wasted_prefill(sim) /
						 (double)sim_prefilled(sim) :
					 0;
	r->starts_per_call = (double)sim_starts(sim) / offered;
	r->engines_lost = sim_engines_lost(sim);
	r->control_bytes = 0;
	read_samples(sim, r);
	if (sim_violation(sim))
		printf("INVARIANT VIOLATED: %s\n", sim_violation(sim));
	sim_free(sim);
}

static double median3(double a, double b, double c)
{
	double v[3] = { a, b, c };

	qsort(v, 3, sizeof(v[0]), compare);
	return v[1];
}

#define MEDIAN(field) median3(r[0].field, r[1].field, r[2].field)

static void print_row(const struct scenario *sc, const struct arm *arm,
		      const struct result *r, bool json)
{
	const char *format =
		json ? "{\"scenario\":\"%s\",\"arm\":\"%s\",\"step_us\":%u,"
		       "\"goodput_top\":%.4f,\"goodput_middle\":%.4f,"
		       "\"goodput_low\":%.4f,\"spread_top\":%.4f,"
		       "\"useful\":%.4f,\"wasted_prefill\":%.4f,"
		       "\"first_ms\":[%.1f,%.1f,%.1f],"
		       "\"gap_ms\":[%.1f,%.1f,%.1f],\"refusal_ms\":%.1f,"
		       "\"engines_lost\":%d,\"share_ratio\":%.2f}\n" :
		       "%-20s %-14s %4u %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f "
		       "%7.1f %7.1f %7.1f %5.1f %5.1f %5.1f %8.1f %3d %5.2f\n";
	double top[3] = { r[0].goodput[0], r[1].goodput[0], r[2].goodput[0] };

	qsort(top, 3, sizeof(top[0]), compare);
	printf(format, sc->name, arm->name, step_us / 1000, top[1],
	       MEDIAN(goodput[1]), MEDIAN(goodput[2]), top[2] - top[0],
	       MEDIAN(useful), MEDIAN(wasted), MEDIAN(first_ms[0]),
	       MEDIAN(first_ms[1]), MEDIAN(first_ms[2]), MEDIAN(gap_ms[0]),
	       MEDIAN(gap_ms[1]), MEDIAN(gap_ms[2]), MEDIAN(refusal_ms),
	       (int)MEDIAN(engines_lost), MEDIAN(share_ratio));
	fflush(stdout);
}

int main(int argc, char **argv)
{
	const char *only_scenario = NULL, *only_arm = NULL;
	bool json = false;
	struct result r[SEEDS];
	size_t i, j;
	int k;

	for (k = 1; k < argc; k++) {
		if (!strcmp(argv[k], "--json"))
			json = true;
		else if (!strncmp(argv[k], "--step-ms=", 10))
			step_us = (uint32_t)atoi(argv[k] + 10) * 1000;
		else if (!strncmp(argv[k], "--arm=", 6))
			only_arm = argv[k] + 6;
		else
			only_scenario = argv[k];
	}
	time_scale = (double)step_us / BASE_STEP_US;
	capacity = measure_capacity();
	if (!json)
		printf("capacity %.0f prompt tokens/s of work at a step of %u ms\n"
		       "%-20s %-14s %4s %6s %6s %6s %6s %6s %6s %23s %17s %8s "
		       "%3s %5s\n",
		       capacity, step_us / 1000, "scenario", "arm", "step",
		       "top", "mid", "low", "spread", "useful", "waste",
		       "first ms 50/95/99", "gap ms 50/95/99", "refusal", "eng",
		       "share");
	for (i = 0; i < N_SCENARIOS; i++) {
		if (only_scenario && strcmp(only_scenario, scenarios[i].name))
			continue;
		for (j = 0; j < N_ARMS; j++) {
			if (only_arm && strcmp(only_arm, arms[j].name))
				continue;
			for (k = 0; k < SEEDS; k++)
				run(&scenarios[i], &arms[j], (uint64_t)k + 1,
				    &r[k]);
			print_row(&scenarios[i], &arms[j], r, json);
		}
	}
	return 0;
}
