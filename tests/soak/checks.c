#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "tests/soak/soak.h"

/* These follow from the settings that fleet.c writes. */
#define QUOTA_WINDOW_MS 4000
/* (10 / s x 4 s + 10) x 1.1 + 20; the slack is in proportion to that of the
 * users' sites. */
#define QUOTA_MAX_RUNS 75
#define RETRY_WINDOW_MS 4000
#define RETRY_BUDGET_RATIO 0.2
#define RETRY_BUDGET_EXTRA 12
/* Time within which a connected process applies a new configuration. */
#define CONFIG_PROPAGATION_MS 2500
/* A third of what the smallest host of the users' sites has. */
#define MAX_PEAK_KB (64u << 10)
/* Time within which a run ends after its client has disconnected. */
#define CANCEL_TIMEOUT_MS 1000

/* One arrival of a request at a server. */
struct run {
	uint64_t begin_ms;
	uint64_t end_ms;
	char server[16];
	char id[ID_BYTES];
	char target[64];
	char account[16];
	bool shed;	  /* it was turned away and did not run */
	bool first;	  /* first arrival of its request */
	uint64_t sent_ms; /* time at which its client sent the request */
	struct run *next; /* next run of the same request */
};

struct request {
	char id[ID_BYTES];
	uint64_t sent_ms;
	struct run *runs;
	uint32_t n; /* runs */
	uint32_t arrivals;
	UT_hash_handle hh;
};

struct checks {
	const struct calls *calls;
	const struct plan *plan;
	const struct params *params;
	FILE *out;
	struct run *runs;
	size_t n_runs;
	struct request *requests;
	uint32_t violations;
};

static void report(struct checks *ck, const char *guarantee,
		   const struct call *call, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

static void report(struct checks *ck, const char *guarantee,
		   const struct call *call, const char *fmt, ...)
{
	va_list args;

	ck->violations++;
	fprintf(ck->out, "BROKEN %s: ", guarantee);
	va_start(args, fmt);
	vfprintf(ck->out, fmt, args);
	va_end(args);
	if (call)
		fprintf(ck->out,
			" (request %s, %s at proxy %u, sent %llu, ended "
			"%llu, %s, status %u)",
			call->id, call_kind_name(call->kind), call->proxy,
			(unsigned long long)call->sent_ms,
			(unsigned long long)call->end_ms,
			outcome_name(call->outcome), call->status);
	fputc('\n', ck->out);
}

static int by_begin(const void *a, const void *b)
{
	const struct run *x = a, *y = b;

	return (x->begin_ms > y->begin_ms) - (x->begin_ms < y->begin_ms);
}

static struct request *request_of(struct checks *ck, const char *id)
{
	struct request *r;

	HASH_FIND_STR(ck->requests, id, r);
	if (r)
		return r;
	r = calloc(1, sizeof(*r));
	if (!r)
		abort();
	snprintf(r->id, sizeof(r->id), "%s", id);
	HASH_ADD_STR(ck->requests, id, r);
	return r;
}

static void read_runs(struct checks *ck, char *text)
{
	char *save = NULL, *line;
	size_t cap = 0, i;

	for (line = strtok_r(text, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save)) {
		unsigned long long begin_ms, end_ms;
		struct run run = { 0 };
		char how[8];

		if (sscanf(line, "%llu %llu %15s %23s %63s %15s %7s", &begin_ms,
			   &end_ms, run.server, run.id, run.target, run.account,
			   how) != 7)
			continue;
		run.shed = !strcmp(how, "shed");
		run.begin_ms = begin_ms;
		run.end_ms = end_ms;
		if (ck->n_runs == cap) {
			cap = cap ? cap * 2 : 1024;
			ck->runs = realloc(ck->runs, cap * sizeof(*ck->runs));
			if (!ck->runs)
				abort();
		}
		ck->runs[ck->n_runs++] = run;
	}
	for (i = 0; i < ck->calls->n; i++)
		request_of(ck, ck->calls->v[i].id)->sent_ms =
			ck->calls->v[i].sent_ms;
	if (ck->n_runs)
		qsort(ck->runs, ck->n_runs, sizeof(*ck->runs), by_begin);
	for (i = 0; i < ck->n_runs; i++) {
		struct run *run = &ck->runs[i];
		struct request *r = request_of(ck, run->id);

		run->first = !r->arrivals++;
		run->sent_ms = r->sent_ms;
		if (run->shed)
			continue;
		r->n++;
		run->next = r->runs;
		r->runs = run;
	}
}

static const struct request *runs_of(const struct checks *ck, const char *id)
{
	struct request *r;

	HASH_FIND_STR(ck->requests, id, r);
	return r;
}

static bool is_relay_fault(const struct fault *f)
{
	return f->kind == FAULT_RESET || f->kind == FAULT_DELAY ||
	       f->kind == FAULT_BLOCK_TO_TARGET ||
	       f->kind == FAULT_BLOCK_FROM_TARGET || f->kind == FAULT_PARTITION;
}

/* Whether a fault can explain that a request at a proxy got no response: a
 * fault of the proxy itself, or one between it and the servers. */
static bool is_explained(const struct checks *ck, uint32_t proxy,
			 uint64_t from_ms, uint64_t to_ms)
{
	size_t i;

	for (i = 0; i < ck->plan->n; i++) {
		const struct fault *f = &ck->plan->v[i];

		if (!fault_overlaps(f, from_ms, to_ms))
			continue;
		if (f->kind == FAULT_KILL_ALL)
			return true;
		if ((f->kind == FAULT_KILL || f->kind == FAULT_STOP) &&
		    f->target == proxy)
			return true;
		if (is_relay_fault(f) &&
		    f->target < relay_of_dispatcher(ck->params, 0))
			return true;
	}
	return false;
}

/* Whether a run was at a server that wrote a refusal again on its connection, so
 * that its outcome is unknown. */
static bool was_spoiled(const struct checks *ck, const struct request *r)
{
	const struct run *run;
	size_t i;

	for (run = r ? r->runs : NULL; run; run = run->next) {
		for (i = 0; i < ck->plan->n; i++) {
			const struct fault *f = &ck->plan->v[i];

			if (f->kind == FAULT_SERVER_REPEAT &&
			    f->target == (uint32_t)atoi(run->server + 1) &&
			    fault_overlaps(f, run->begin_ms, run->end_ms))
				return true;
		}
	}
	return false;
}

static void check_responses(struct checks *ck)
{
	size_t i;

	for (i = 0; i < ck->calls->n; i++) {
		const struct call *c = &ck->calls->v[i];
		const struct request *r = runs_of(ck, c->id);
		uint32_t n = r ? r->n : 0;

		if (c->outcome == CALL_FRAMED_CUT ||
		    (c->outcome == CALL_COMPLETE && c->kind == CALL_CUT_STREAM))
			report(ck, "cut streams", c,
			       "framed as complete, and cut inside an event");
		if (c->outcome == CALL_MISMATCHED)
			report(ck, "own answers", c,
			       "the response is not that of the request");
		if ((c->kind == CALL_NON_IDEMPOTENT || c->kind == CALL_STREAM ||
		     c->kind == CALL_CUT_STREAM) &&
		    n > 1)
			report(ck, "one run", c, "%u runs", n);
		if (c->outcome == CALL_REFUSED && n)
			report(ck, "true refusals", c, "%u runs", n);
		if (c->outcome == CALL_COMPLETE && !n)
			report(ck, "own answers", c, "no server ran it");
		if (c->kind == CALL_BAD_RESPONSE ||
		    ((c->kind == CALL_CUT_STREAM ||
		      c->kind == CALL_CUT_RESUMABLE) &&
		     n) ||
		    c->outcome == CALL_COMPLETE || c->outcome == CALL_REFUSED ||
		    c->outcome == CALL_CANCELLED)
			continue;
		/* An idle connection may be closed at any time. */
		if (c->outcome == CALL_CLOSED && c->reused && !n)
			continue;
		if (!is_explained(ck, c->proxy, c->sent_ms, c->end_ms) &&
		    !was_spoiled(ck, r))
			report(ck, "planned work without a cut", c,
			       "no injected fault explains the outcome");
	}
}

static void check_cancellation(struct checks *ck)
{
	size_t i;

	for (i = 0; i < ck->calls->n; i++) {
		const struct call *c = &ck->calls->v[i];
		const struct request *r = runs_of(ck, c->id);
		const struct run *run = r ? r->runs : NULL;

		if (c->outcome != CALL_CANCELLED)
			continue;
		for (; run; run = run->next) {
			if (run->end_ms <= c->end_ms + CANCEL_TIMEOUT_MS ||
			    is_explained(ck, c->proxy, c->sent_ms, run->end_ms))
				continue;
			report(ck, "cancelled work", c,
			       "its run ended %llu ms after the client left",
			       (unsigned long long)(run->end_ms - c->end_ms));
		}
	}
}

/* For each run, counts the runs that were sent and begun within the window that
 * ends at its begin. The largest count must be within the limit. */
static void check_quota(struct checks *ck)
{
	uint64_t when_ms = 0;
	uint32_t most = 0;
	size_t i, j;

	for (i = 0; i < ck->n_runs; i++) {
		uint64_t to_ms = ck->runs[i].begin_ms, from_ms;
		uint32_t n = 0;

		if (strcmp(ck->runs[i].account, "small") || ck->runs[i].shed)
			continue;
		from_ms = to_ms - QUOTA_WINDOW_MS;
		for (j = i + 1; j-- && ck->runs[j].begin_ms > from_ms;)
			n += ck->runs[j].sent_ms > from_ms &&
			     !ck->runs[j].shed &&
			     !strcmp(ck->runs[j].account, "small");
		if (n <= most)
			continue;
		most = n;
		when_ms = to_ms;
	}
	fprintf(ck->out, "quota: at most %u runs in a window, limit %d\n", most,
		QUOTA_MAX_RUNS);
	if (most > QUOTA_MAX_RUNS)
		report(ck, "quota", NULL,
		       "%u runs in the window that ends at %llu", most,
		       (unsigned long long)when_ms);
}

static uint32_t sent_between(const struct checks *ck, uint64_t from_ms,
			     uint64_t to_ms)
{
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < ck->calls->n; i++)
		n += ck->calls->v[i].sent_ms > from_ms &&
		     ck->calls->v[i].sent_ms <= to_ms;
	return n;
}

/* Retry budget of the window that ends at to_ms. Of the windows that end then,
 * half a window earlier and one window earlier, the one with the most requests
 * determines it. */
static double allowed_retries(const struct checks *ck, uint64_t to_ms)
{
	uint32_t most = 0, i;

	for (i = 0; i < 3; i++) {
		uint64_t end_ms = to_ms - i * RETRY_WINDOW_MS / 2;
		uint32_t n = sent_between(ck, end_ms - RETRY_WINDOW_MS, end_ms);

		most = n > most ? n : most;
	}
	return most * RETRY_BUDGET_RATIO + RETRY_BUDGET_EXTRA;
}

static void check_retries(struct checks *ck)
{
	uint32_t retries = 0, worst_retries = 0;
	uint64_t worst_ms = 0;
	double worst = 0;
	size_t i, from = 0;

	for (i = 0; i < ck->n_runs; i++) {
		double used;

		retries += !ck->runs[i].first;
		while (ck->runs[from].begin_ms + RETRY_WINDOW_MS <=
		       ck->runs[i].begin_ms)
			retries -= !ck->runs[from++].first;
		used = retries / allowed_retries(ck, ck->runs[i].begin_ms);
		if (used <= worst)
			continue;
		worst = used;
		worst_retries = retries;
		worst_ms = ck->runs[i].begin_ms;
	}
	fprintf(ck->out, "retries: at most %.2f of the budget used\n", worst);
	if (worst > 1)
		report(ck, "retry budget", NULL,
		       "%.3f of it used, %u retries in the window that ends at %llu",
		       worst, worst_retries, (unsigned long long)worst_ms);
}

static bool is_restart_of(const struct fault *f, uint32_t proxy)
{
	return f->kind == FAULT_KILL_ALL ||
	       ((f->kind == FAULT_TERM || f->kind == FAULT_KILL) &&
		f->target == proxy);
}

/* Whether a restart of the proxy lies between two times. */
static bool was_restarted(const struct checks *ck, uint32_t proxy,
			  uint64_t from_ms, uint64_t to_ms)
{
	size_t i;

	for (i = 0; i < ck->plan->n; i++) {
		const struct fault *f = &ck->plan->v[i];

		if (is_restart_of(f, proxy) && f->begin_ms <= to_ms &&
		    (!f->end_ms || f->end_ms >= from_ms) && f->begin_ms)
			return true;
	}
	return false;
}

/* Whether a fault may have kept a proxy from learning a configuration. */
static bool was_disconnected(const struct checks *ck, uint32_t proxy,
			     uint64_t from_ms, uint64_t to_ms)
{
	size_t i;

	for (i = 0; i < ck->plan->n; i++) {
		const struct fault *f = &ck->plan->v[i];

		if (!fault_overlaps(f, from_ms, to_ms))
			continue;
		if (is_relay_fault(f) &&
		    f->target < relay_of_dispatcher(ck->params, 0))
			continue;
		if (f->kind == FAULT_CONFIG || f->kind == FAULT_SERVER_LEAVE ||
		    f->kind == FAULT_SERVER_SHED ||
		    f->kind == FAULT_SERVER_SAYS ||
		    f->kind == FAULT_SERVER_LIMIT ||
		    f->kind == FAULT_SERVER_REPEAT || f->kind == FAULT_RELOAD ||
		    f->kind == FAULT_CLOCK || f->kind == FAULT_TRUNCATE_LOG)
			continue;
		if ((f->kind == FAULT_TERM || f->kind == FAULT_CUT_ENTRY) &&
		    f->target < ck->params->proxies && f->target != proxy)
			continue;
		/* The others go on reading. */
		if (f->kind == FAULT_CUT_FROM_STORE || f->kind == FAULT_REMOVAL)
			continue;
		return true;
	}
	return false;
}

static uint64_t published_ms(const struct checks *ck, uint32_t version)
{
	size_t i;

	for (i = 0; i < ck->plan->n; i++) {
		const struct fault *f = &ck->plan->v[i];

		if (f->kind == FAULT_CONFIG && f->begin_ms &&
		    (uint32_t)f->value == version)
			return f->begin_ms;
	}
	return 0;
}

static int by_sent(const void *a, const void *b)
{
	const struct call *x = a, *y = b;

	return (x->sent_ms > y->sent_ms) - (x->sent_ms < y->sent_ms);
}

/* A call of kind CALL_ROUTE uses the route that its version added: a complete
 * response shows that the proxy has that version, a 404 that it does not. */
static void check_configuration(struct checks *ck)
{
	uint32_t served_version[MAX_PROXIES] = { 0 };
	uint64_t served_ms[MAX_PROXIES] = { 0 };
	size_t i;

	qsort(ck->calls->v, ck->calls->n, sizeof(*ck->calls->v), by_sent);
	for (i = 0; i < ck->calls->n; i++) {
		const struct call *c = &ck->calls->v[i];
		uint32_t p = c->proxy;
		uint64_t ms;

		if (c->kind != CALL_ROUTE)
			continue;
		if (c->outcome == CALL_COMPLETE &&
		    c->version > served_version[p]) {
			served_version[p] = c->version;
			served_ms[p] = c->end_ms;
		}
		if (c->status != 404)
			continue;
		if (c->version <= served_version[p] &&
		    c->sent_ms > served_ms[p] &&
		    !was_restarted(ck, p, served_ms[p], c->sent_ms))
			report(ck, "configuration never goes back", c,
			       "version %u was already in force %llu ms earlier",
			       c->version,
			       (unsigned long long)(c->sent_ms - served_ms[p]));
		if (was_restarted(ck, p, served_ms[p], c->sent_ms))
			served_version[p] = 0;
		ms = published_ms(ck, c->version);
		if (ms && c->sent_ms > ms + CONFIG_PROPAGATION_MS &&
		    !was_disconnected(ck, p, ms, c->sent_ms))
			report(ck, "configuration in time", c,
			       "version %u was published %llu ms earlier",
			       c->version,
			       (unsigned long long)(c->sent_ms - ms));
	}
}

static void check_memory(struct checks *ck)
{
	uint32_t peak_kb = fleet_peak_kb();

	fprintf(ck->out, "memory: at most %u KiB\n", peak_kb);
	if (peak_kb > MAX_PEAK_KB)
		report(ck, "bounded memory", NULL, "a process used %u KiB",
		       peak_kb);
}

static void print_outcomes(const struct checks *ck)
{
	uint32_t n[CALL_KINDS][CALL_NOT_CONNECTED + 1] = { 0 };
	size_t i;
	int k, o;

	for (i = 0; i < ck->calls->n; i++)
		n[ck->calls->v[i].kind][ck->calls->v[i].outcome]++;
	for (k = 0; k < CALL_KINDS; k++) {
		fprintf(ck->out, "%-7s", call_kind_name((enum call_kind)k));
		for (o = 0; o < CALL_NOT_CONNECTED; o++)
			fprintf(ck->out, " %s %u",
				outcome_name((enum call_outcome)o), n[k][o]);
		fputc('\n', ck->out);
	}
}

/* Keeps the run records for the analysis of a failure. */
static void save_run_log(const struct params *params, const char *text)
{
	char path[512];
	FILE *out;

	snprintf(path, sizeof(path), "%s/ends", params->dir);
	out = fopen(path, "w");
	if (!out)
		abort();
	fputs(text, out);
	fclose(out);
}

uint32_t checks_run(const struct calls *calls, const struct plan *plan,
		    const struct params *params, FILE *out)
{
	struct checks ck = { calls, plan, params, out, NULL, 0, NULL, 0 };
	char *text = fleet_platform_request("GET", "/test/ends", NULL);
	struct request *r, *tmp;

	if (!text) {
		fprintf(out,
			"BROKEN soak: the platform stand-in does not answer\n");
		return 1;
	}
	save_run_log(params, text);
	read_runs(&ck, text);
	free(text);
	print_outcomes(&ck);
	check_responses(&ck);
	check_cancellation(&ck);
	check_quota(&ck);
	check_retries(&ck);
	check_configuration(&ck);
	check_memory(&ck);
	HASH_ITER(hh, ck.requests, r, tmp) {
		HASH_DEL(ck.requests, r);
		free(r);
	}
	free(ck.runs);
	return ck.violations;
}
