#include "tests/dispatch_load.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/check_alloc.h"
#include "core/clock.h"

/* Nominal times of a model server, as in core/dispatch_server.c. */
#define FIRST_EVENT_MS 26.0
#define PROMPT_TOKENS_PER_MS 150.0
#define TOKEN_MS 3.9
#define PROMPT_TOKENS_MEAN 3000.0
/* Part of its greatest size that a response has, at least. */
#define OUTPUT_LEAST 0.4
/* Relative run times of the servers of a service. */
#define SLOWNESS_MIN 0.68
#define SLOWNESS_MAX 3.0
/* Most servers are near the minimum: exponent of a uniform random number. */
#define SLOWNESS_SKEW 5.0
/* The usual load of the model servers, as a part of their capacity. */
#define USUAL_LOAD 0.8
/* Part of the periods in which work takes longer on a server's machine, and how
 * much longer; mean over all periods. */
#define PACE_BUSY_PART 0.25
#define PACE_BUSY_MIN 1.5
#define PACE_BUSY_MAX 3.0
#define PACE_MEAN 1.31
#define HOT_FACTOR 8.0
#define MODEL_CRASHES 3
#define MAX_ARRIVALS 200000

/* Bursts of about twice the usual rate. */
static const struct {
	uint32_t from_ms, until_ms;
	double factor;
} bursts[] = {
	{ 3000, 7000, 2.1 },
	{ 22000, 25000, 1.9 },
	{ 27000, 33000, 2.0 },
};

const struct load_site load_sites[LOAD_SITES] = {
	{
		.name = "hanbit",
		.late_value = 0.5,
		.kinds = {
			{ "stream-500", LOAD_MODEL, 0, 224, 500, 8000, 8000,
			  true },
			{ "stream-800", LOAD_MODEL, 1, 168, 800, 5000, 5000,
			  false },
			{ "stream-1000", LOAD_MODEL, 2, 243, 1000, 10000, 10000,
			  true },
			{ "plain-once", LOAD_PLAIN, 0, 159, 300, 1500, 800,
			  false },
			{ "plain-idem", LOAD_PLAIN, 1, 64, 300, 1500, 800,
			  true },
		},
		.services = { { 47, 9, 0 }, { 5, 6, 60 } },
	},
	{
		.name = "optikos",
		.late_value = 0.1,
		.kinds = {
			{ "stream-800", LOAD_MODEL, 0, 92, 800, 8000, 8000,
			  true },
			{ "stream-1200", LOAD_MODEL, 1, 121, 1200, 5000, 5000,
			  false },
			{ "stream-1500", LOAD_MODEL, 2, 161, 1500, 10000, 10000,
			  true },
			{ "plain-once", LOAD_PLAIN, 0, 141, 120, 1500, 800,
			  false },
			{ "plain-idem", LOAD_PLAIN, 1, 32, 120, 1500, 800,
			  true },
		},
		.services = { { 57, 4, 0 }, { 3, 6, 15 } },
	},
};

static double uniform(struct mh_rng *rng)
{
	return (double)(mh_rng_next(rng) >> 11) / (double)(1ull << 53);
}

static double exponential(struct mh_rng *rng, double mean)
{
	return -mean * log(1 - uniform(rng));
}

static void draw_paces(struct load_server *s, struct mh_rng *rng)
{
	uint32_t i;

	s->pace_shift_ms = (uint32_t)(uniform(rng) * LOAD_PACE_MS);
	for (i = 0; i <= LOAD_PACES; i++) {
		s->paces[i] = 1;
		if (uniform(rng) < PACE_BUSY_PART)
			s->paces[i] =
				PACE_BUSY_MIN +
				(PACE_BUSY_MAX - PACE_BUSY_MIN) * uniform(rng);
	}
}

/* Return: capacity of the service in slots of speed 1. */
static double add_servers(struct load *load, enum load_service service,
			  struct mh_rng *rng)
{
	const struct load_service_conf *conf = &load->site->services[service];
	double capacity = 0;
	uint32_t i;

	for (i = 0; i < conf->servers; i++) {
		struct load_server *s = &load->servers[load->n_servers++];

		s->service = service;
		s->slots = conf->slots;
		s->slowness =
			SLOWNESS_MIN + (SLOWNESS_MAX - SLOWNESS_MIN) *
					       pow(uniform(rng), SLOWNESS_SKEW);
		s->down_from_ms = s->down_until_ms = UINT32_MAX;
		draw_paces(s, rng);
		capacity += s->slots / s->slowness / PACE_MEAN;
	}
	return capacity;
}

static void crash_servers(struct load *load, struct mh_rng *rng)
{
	uint32_t model = load->site->services[LOAD_MODEL].servers, i, at;

	for (i = 0; i <= MODEL_CRASHES; i++) {
		at = (uint32_t)(uniform(rng) * model);
		if (i == MODEL_CRASHES) /* one of the plain servers */
			at = model;
		load->servers[at].down_from_ms =
			8000 + (uint32_t)(uniform(rng) * 18000);
		load->servers[at].down_until_ms =
			load->servers[at].down_from_ms + 2000 +
			(uint32_t)(uniform(rng) * 2000);
	}
}

static double rate_factor(uint32_t now_ms)
{
	size_t i;

	for (i = 0; i < sizeof(bursts) / sizeof(bursts[0]); i++) {
		if (now_ms >= bursts[i].from_ms && now_ms < bursts[i].until_ms)
			return bursts[i].factor;
	}
	return 1;
}

static void add_arrival(struct load *load, struct mh_rng *rng, uint32_t at_ms,
			uint8_t kind, uint8_t account, double model_ms)
{
	const struct load_kind *k = &load->site->kinds[kind];
	struct load_arrival *a = &load->arrivals[load->n_arrivals++];
	double tokens;

	if (load->n_arrivals == MAX_ARRIVALS)
		abort();
	a->at_ms = at_ms;
	a->kind = kind;
	a->account = account;
	if (k->service == LOAD_PLAIN) {
		a->run_ms = load->site->services[LOAD_PLAIN].work_ms *
			    (0.8 + 0.4 * uniform(rng));
		a->first_ms = a->run_ms;
		return;
	}
	a->prompt_tokens =
		(uint32_t)(PROMPT_TOKENS_MEAN * (0.2 + 1.6 * uniform(rng)));
	a->first_ms = FIRST_EVENT_MS + a->prompt_tokens / PROMPT_TOKENS_PER_MS;
	/* Half of the mean is fixed, so that few responses are tiny. */
	tokens = (model_ms - FIRST_EVENT_MS -
		  PROMPT_TOKENS_MEAN / PROMPT_TOKENS_PER_MS) /
		 TOKEN_MS;
	tokens = tokens / 2 + exponential(rng, tokens / 2);
	a->output_tokens =
		(uint32_t)(tokens /
			   (OUTPUT_LEAST + (1 - OUTPUT_LEAST) * uniform(rng))) +
		1;
	a->run_ms = a->first_ms + tokens * TOKEN_MS;
}

/* A few accounts are large. */
static void draw_weights(struct load *load)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < LOAD_ACCOUNTS; i++)
		sum += load->weights[i] = 1.0 / (i + 1);
	for (i = 0; i < LOAD_ACCOUNTS; i++)
		load->weights[i] /= sum;
}

static double account_rate(const struct load *load, uint32_t account,
			   uint32_t now_ms)
{
	bool hot = account == LOAD_HOT_ACCOUNT && now_ms >= LOAD_HOT_FROM_MS &&
		   now_ms < LOAD_HOT_UNTIL_MS;

	return load->weights[account] * (hot ? HOT_FACTOR : 1);
}

void load_init(struct load *load, const struct load_site *site, uint64_t seed)
{
	struct mh_rng rng = { seed };
	double capacity, model_rate = 0, model_ms;
	uint32_t now_ms;
	uint8_t kind, account;

	memset(load, 0, sizeof(*load));
	load->site = site;
	load->arrivals =
		mh_check_alloc(calloc(MAX_ARRIVALS, sizeof(*load->arrivals)));
	capacity = add_servers(load, LOAD_MODEL, &rng);
	add_servers(load, LOAD_PLAIN, &rng);
	crash_servers(load, &rng);
	draw_weights(load);
	for (kind = 0; kind < LOAD_KINDS; kind++) {
		if (site->kinds[kind].service == LOAD_MODEL)
			model_rate += site->kinds[kind].rate;
	}
	model_ms = USUAL_LOAD * capacity * MH_MS_PER_S / model_rate;
	for (now_ms = 0; now_ms < LOAD_MS; now_ms++) {
		for (kind = 0; kind < LOAD_KINDS; kind++) {
			double per_ms = site->kinds[kind].rate / MH_MS_PER_S *
					rate_factor(now_ms);

			for (account = 0; account < LOAD_ACCOUNTS; account++) {
				double p = per_ms *
					   account_rate(load, account, now_ms);

				if (uniform(&rng) < p)
					add_arrival(load, &rng, now_ms, kind,
						    account, model_ms);
			}
		}
	}
}

uint32_t load_work_end(const struct load_server *s, uint32_t from_ms,
		       double work_ms)
{
	double slowness, left_ms;

	for (;;) {
		slowness = s->slowness * load_pace(s, from_ms);
		left_ms = LOAD_PACE_MS -
			  (from_ms + s->pace_shift_ms) % LOAD_PACE_MS;
		if (work_ms * slowness <= left_ms)
			return from_ms + (uint32_t)ceil(work_ms * slowness);
		work_ms -= left_ms / slowness;
		from_ms += (uint32_t)left_ms;
	}
}

void load_release(struct load *load)
{
	free(load->arrivals);
}
