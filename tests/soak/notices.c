/*
 * Checks what reached servers that said that they leave, that were removed, that
 * turned requests away and asked for a pause, or that stated a limit.
 */
#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "tests/soak/soak.h"

/* The users' rule: from this long after a 503 with Retry-After to the end of
 * its time, at most this many requests reach the server from that proxy. */
#define PAUSE_MARGIN_MS 500
#define MAX_ARRIVALS 2
/* Requests that were on their way when a server said that it leaves. */
#define LEAVING_MARGIN_MS 500
/* The users' rule: from this long after a server first stated its limit it gets in
 * no window more than one and a half times what the limit allows, and a few more,
 * from proxies that passed on such a response a while before. */
#define LIMIT_SETTLE_MS 3000
#define LIMIT_WINDOW_MS 4000
#define LIMIT_TOLD_MS 500
#define LIMIT_EXTRA 5
/* A removal counts as checked if so much of the time after DRAIN_MS was. */
#define FIRST_LATE_MS 500

struct sent {
	char id[ID_BYTES];
	const struct call *call;
	UT_hash_handle hh;
};

struct arrival {
	uint64_t at_ms;
	char server[16];
	const struct call *call;
	bool leaving;
	unsigned long long born_ms;
	uint32_t pause_ms; /* that the server asked for, or 0 */
	bool limited;	   /* the server stated a limit */
};

struct notices {
	const struct plan *plan;
	const struct params *params;
	FILE *out;
	struct arrival *v;
	size_t n;
	uint32_t violations;
};

static void read_arrivals(struct notices *nt, const struct calls *calls,
			  char *text)
{
	struct sent *all = calloc(calls->n, sizeof(*all)), *by_id = NULL, *s;
	char *save = NULL, *line;
	size_t i, cap = 0;

	for (i = 0; i < calls->n; i++) {
		s = &all[i];
		snprintf(s->id, sizeof(s->id), "%s", calls->v[i].id);
		s->call = &calls->v[i];
		HASH_ADD_STR(by_id, id, s);
	}
	for (line = strtok_r(text, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save)) {
		struct arrival a = { 0 };
		unsigned long long at_ms;
		char id[ID_BYTES], what[8], leaving[8];
		double pause_s = 0;

		if (sscanf(line, "%llu %15s %23s %7s %7s %llu Retry-After:%lf",
			   &at_ms, a.server, id, what, leaving, &a.born_ms,
			   &pause_s) < 6)
			continue;
		HASH_FIND_STR(by_id, id, s);
		if (!s)
			continue;
		a.at_ms = at_ms;
		a.call = s->call;
		a.leaving = !strcmp(leaving, "leaving");
		a.pause_ms = (uint32_t)(pause_s * 1000);
		a.limited = strrchr(line, ' ')[1] != '-';
		if (nt->n == cap) {
			cap = cap ? cap * 2 : 1024;
			nt->v = realloc(nt->v, cap * sizeof(*nt->v));
			if (!nt->v)
				abort();
		}
		nt->v[nt->n++] = a;
	}
	HASH_CLEAR(hh, by_id);
	free(all);
}

/* Whether a restart or a freeze of the proxy excuses it. */
static bool is_excused(const struct notices *nt, uint32_t proxy,
		       uint64_t from_ms, uint64_t to_ms)
{
	size_t i;

	for (i = 0; i < nt->plan->n; i++) {
		const struct fault *f = &nt->plan->v[i];

		if (!fault_overlaps(f, from_ms, to_ms))
			continue;
		if (f->kind == FAULT_KILL_ALL ||
		    ((f->kind == FAULT_KILL || f->kind == FAULT_TERM ||
		      f->kind == FAULT_STOP) &&
		     f->target == proxy))
			return true;
	}
	return false;
}

/* Whether the way between the proxies and a server was cut or harmed. */
static bool was_cut(const struct notices *nt, const char *server,
		    uint64_t from_ms, uint64_t to_ms)
{
	uint32_t relay = relay_of_server(
		nt->params, (uint32_t)strtoul(server + 1, NULL, 10));
	size_t i;

	for (i = 0; i < nt->plan->n; i++) {
		const struct fault *f = &nt->plan->v[i];

		if (f->kind >= FAULT_RESET && f->kind <= FAULT_PARTITION &&
		    f->target == relay && fault_overlaps(f, from_ms, to_ms))
			return true;
	}
	return false;
}

static bool same_way(const struct arrival *a, const struct arrival *b)
{
	return a->call->proxy == b->call->proxy &&
	       !strcmp(a->server, b->server) && a->born_ms == b->born_ms;
}

/* Return: whether the arrival asked for a pause. */
static bool check_pause(struct notices *nt, size_t i)
{
	const struct arrival *a = &nt->v[i];
	uint64_t end_ms = a->at_ms + a->pause_ms;
	uint32_t n = 0;
	size_t j;

	if (!a->pause_ms)
		return false;
	for (j = i + 1; j < nt->n && nt->v[j].at_ms < end_ms; j++)
		n += nt->v[j].at_ms > a->at_ms + PAUSE_MARGIN_MS &&
		     same_way(a, &nt->v[j]);
	if (n <= MAX_ARRIVALS ||
	    is_excused(nt, a->call->proxy, a->at_ms, end_ms) ||
	    was_cut(nt, a->server, a->at_ms, end_ms))
		return true;
	nt->violations++;
	fprintf(nt->out,
		"BROKEN pauses: %u requests reached %s from proxy %u within a "
		"pause of %u ms from %llu\n",
		n, a->server, a->call->proxy, a->pause_ms,
		(unsigned long long)a->at_ms);
	return true;
}

/* Return: whether the proxy passed on that the server leaves. */
static bool check_leaving(struct notices *nt, size_t i)
{
	const struct arrival *a = &nt->v[i];
	uint64_t told_ms = a->call->end_ms;
	size_t j;

	if (!a->leaving || a->call->outcome != CALL_COMPLETE)
		return false;
	for (j = i + 1; j < nt->n; j++) {
		const struct arrival *b = &nt->v[j];

		if (!b->leaving || !same_way(a, b) ||
		    b->call->sent_ms <= told_ms + LEAVING_MARGIN_MS ||
		    is_excused(nt, a->call->proxy, a->at_ms, b->at_ms))
			continue;
		nt->violations++;
		fprintf(nt->out,
			"BROKEN leaving servers: request %s reached %s from "
			"proxy %u at %llu, which had told of it at %llu\n",
			b->call->id, b->server, b->call->proxy,
			(unsigned long long)b->at_ms,
			(unsigned long long)told_ms);
		break;
	}
	return true;
}

static bool is_of(const struct arrival *a, const struct fault *f,
		  unsigned long long born_ms)
{
	return a->limited && a->born_ms == born_ms && a->at_ms >= f->begin_ms &&
	       a->at_ms < f->end_ms &&
	       (uint32_t)atoi(a->server + 1) == f->target;
}

/* Return: when the proxy first passed on a response with the limit, UINT64_MAX if
 * it didn't. */
static uint64_t told_ms(const struct notices *nt, const struct fault *f,
			unsigned long long born_ms, uint32_t proxy)
{
	uint64_t ms = UINT64_MAX;
	size_t i;

	for (i = 0; i < nt->n; i++) {
		const struct arrival *a = &nt->v[i];

		if (is_of(a, f, born_ms) && a->call->proxy == proxy &&
		    a->call->outcome == CALL_COMPLETE && a->call->end_ms < ms)
			ms = a->call->end_ms;
	}
	return ms;
}

/* Return: number of arrivals that count in the window that ends with @last. */
static uint32_t count_in_window(const struct notices *nt, const struct fault *f,
				const uint64_t *told, size_t last)
{
	const struct arrival *end = &nt->v[last];
	uint32_t n = 0;
	size_t i;

	for (i = last + 1; i > 0; i--) {
		const struct arrival *a = &nt->v[i - 1];
		uint32_t proxy = a->call->proxy;

		if (a->at_ms + LIMIT_WINDOW_MS <= end->at_ms)
			break;
		n += is_of(a, f, end->born_ms) && told[proxy] != UINT64_MAX &&
		     a->at_ms >= told[proxy] + LIMIT_TOLD_MS &&
		     !is_excused(nt, proxy, a->at_ms, end->at_ms);
	}
	return n;
}

/* A new start of the server states the limit for the first time once more. */
static void check_limit(struct notices *nt, const struct fault *f)
{
	uint32_t allowed = (uint32_t)(1.5 * f->value * LIMIT_WINDOW_MS / 1e6 +
				      LIMIT_EXTRA);
	unsigned long long born_ms = ULLONG_MAX;
	uint64_t told[MAX_PROXIES], first_ms = 0;
	uint32_t p, n;
	size_t i;

	for (i = 0; i < nt->n; i++) {
		const struct arrival *a = &nt->v[i];

		if (!is_of(a, f, a->born_ms))
			continue;
		if (a->born_ms != born_ms) {
			born_ms = a->born_ms;
			first_ms = a->at_ms;
			for (p = 0; p < nt->params->proxies; p++)
				told[p] = told_ms(nt, f, born_ms, p);
		}
		if (a->at_ms < first_ms + LIMIT_SETTLE_MS)
			continue;
		n = count_in_window(nt, f, told, i);
		if (n <= allowed)
			continue;
		nt->violations++;
		fprintf(nt->out,
			"BROKEN limits: %u requests reached s%u in 4 s before "
			"%llu, which states %d mHz: %u allowed\n",
			n, f->target, (unsigned long long)a->at_ms, f->value,
			allowed);
		return;
	}
}

/* Whether another fault put a server back after its removal, or made the store
 * unstable. */
static bool is_removal_uncertain(const struct notices *nt,
				 const struct fault *removal, uint64_t to_ms)
{
	size_t i;

	for (i = 0; i < nt->plan->n; i++) {
		const struct fault *f = &nt->plan->v[i];

		if (f == removal || !fault_overlaps(f, removal->gone_ms, to_ms))
			continue;
		if (f->kind == FAULT_STORE || f->kind == FAULT_DRILL ||
		    f->kind == FAULT_KILL_ALL ||
		    ((f->kind == FAULT_SERVER_LEAVE ||
		      f->kind == FAULT_SERVER_SAYS) &&
		     f->target == removal->target))
			return true;
	}
	return false;
}

/* Whether a fault kept a proxy from reading the store. */
static bool was_out_of_touch(const struct notices *nt, uint32_t proxy,
			     uint64_t from_ms, uint64_t to_ms)
{
	uint32_t relay = relay_of_store(nt->params, proxy);
	size_t i;

	for (i = 0; i < nt->plan->n; i++) {
		const struct fault *f = &nt->plan->v[i];

		if (!fault_overlaps(f, from_ms, to_ms))
			continue;
		if (f->kind == FAULT_TURN_AWAY ||
		    ((f->kind == FAULT_CUT_FROM_STORE ||
		      f->kind == FAULT_CUT_ENTRY) &&
		     f->target == proxy) ||
		    (f->kind >= FAULT_RESET && f->kind <= FAULT_PARTITION &&
		     f->target == relay))
			return true;
	}
	return false;
}

/* Return: whether it was checked at least a while. */
static bool check_removal(struct notices *nt, const struct fault *f)
{
	uint32_t n = 0;
	uint64_t last_ms = 0;
	size_t i;

	if (!f->gone_ms ||
	    is_removal_uncertain(nt, f, f->gone_ms + DRAIN_MS + FIRST_LATE_MS))
		return false;
	for (i = 0; i < nt->n; i++) {
		const struct arrival *a = &nt->v[i];
		uint64_t from_ms = a->at_ms - DRAIN_MS;

		if ((uint32_t)atoi(a->server + 1) != f->target ||
		    a->at_ms <= f->gone_ms + DRAIN_MS ||
		    a->at_ms >= f->back_ms ||
		    is_removal_uncertain(nt, f, a->at_ms) ||
		    is_excused(nt, a->call->proxy, from_ms, a->at_ms) ||
		    was_cut(nt, a->server, from_ms, a->at_ms) ||
		    was_out_of_touch(nt, a->call->proxy, from_ms, a->at_ms))
			continue;
		n++;
		last_ms = a->at_ms;
	}
	if (!n)
		return true;
	nt->violations++;
	fprintf(nt->out,
		"BROKEN removed servers: %u requests reached s%u later than "
		"%u ms after its removal, up to %llu ms\n",
		n, f->target, DRAIN_MS,
		(unsigned long long)(last_ms - f->gone_ms));
	return true;
}

uint32_t notices_check(const struct calls *calls, const struct plan *plan,
		       const struct params *params, FILE *out)
{
	struct notices nt = { plan, params, out, NULL, 0, 0 };
	char *text = fleet_platform_request("GET", "/test/arrivals", NULL);
	uint32_t pauses = 0, leaving = 0, limits = 0, removals = 0;
	size_t i;

	if (!text) {
		fprintf(out,
			"BROKEN soak: the platform stand-in does not answer\n");
		return 1;
	}
	read_arrivals(&nt, calls, text);
	free(text);
	for (i = 0; i < nt.n; i++) {
		pauses += check_pause(&nt, i);
		leaving += check_leaving(&nt, i);
	}
	for (i = 0; i < plan->n; i++) {
		const struct fault *f = &plan->v[i];

		if (f->kind == FAULT_REMOVAL)
			removals += check_removal(&nt, f);
		if (f->kind != FAULT_SERVER_LIMIT || !f->value || !f->begin_ms)
			continue;
		limits++;
		check_limit(&nt, f);
	}
	fprintf(out,
		"notices: %u pauses asked for, %u responses of servers "
		"that leave, %u limits, %u removals\n",
		pauses, leaving, limits, removals);
	free(nt.v);
	return nt.violations;
}
