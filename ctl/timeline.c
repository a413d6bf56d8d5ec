#include "ctl/timeline.h"

#include <errno.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "config/cmdline.h"
#include "core/err.h"
#include "net/log_format.h"

#define VALUE_BYTES 128
/* A process handles a request with state that it received earlier, so lines on
 * its dependencies and servers are shown from this time before the request. */
#define CONTEXT_MS 2000

struct line {
	uint64_t when_ms;
	size_t order; /* position in the input; a process writes in order */
	char *text;   /* the line from "t=" on */
	bool shown;
};

struct timeline {
	struct line *v;
	size_t n;
	uint64_t begin_ms;
	uint64_t end_ms;
	const struct line *last; /* newest line with the request's id */
};

/* Copies the value of a field, without quotes. Return: whether it exists. */
static bool get_field(const char *text, const char *name,
		      char value[VALUE_BYTES])
{
	size_t len = strlen(name), n = 0;
	const char *p = text;
	bool quoted;

	value[0] = '\0';
	for (;; p++) {
		p = strstr(p, name);
		if (!p)
			return false;
		if ((p == text || p[-1] == ' ') && p[len] == '=')
			break;
	}
	p += len + 1;
	quoted = *p == '"';
	p += quoted;
	while (*p && *p != (quoted ? '"' : ' ') && n < VALUE_BYTES - 1)
		value[n++] = *p++;
	value[n] = '\0';
	return true;
}

static bool field_is(const char *text, const char *name, const char *expected)
{
	char value[VALUE_BYTES];

	return get_field(text, name, value) && !strcmp(value, expected);
}

static void add_text(struct timeline *tl, const char *text)
{
	const char *at = strncmp(text, "t=", 2) ? strstr(text, " t=") : text;
	char value[VALUE_BYTES];
	struct line *v;

	if (!at)
		return;
	at += *at == ' ';
	if (!get_field(at, "t", value) || !get_field(at, "event", value))
		return;
	v = realloc(tl->v, (tl->n + 1) * sizeof(*v));
	if (!v)
		abort();
	tl->v = v;
	v[tl->n] = (struct line){ .when_ms = strtoull(at + 2, NULL, 10),
				  .order = tl->n,
				  .text = strdup(at) };
	v[tl->n].text[strcspn(v[tl->n].text, "\r\n")] = '\0';
	tl->n++;
}

/* A log collector may have put a prefix before the line, such as a time. */
static void add_line(struct timeline *tl, const char *line)
{
	const char *object = strstr(line, "{\"t\":");
	char *text = object ? mh_log_line_from_json(object) : NULL;

	add_text(tl, text ? text : line);
	free(text);
}

static bool read_log(struct timeline *tl, const char *path)
{
	FILE *in = strcmp(path, "-") ? fopen(path, "r") : stdin;
	char *text = NULL;
	size_t cap = 0;

	if (!in) {
		fprintf(stderr, "mangoctl: %s: %s\n", path, strerror(errno));
		return false;
	}
	while (getline(&text, &cap, in) >= 0)
		add_line(tl, text);
	free(text);
	if (in != stdin)
		fclose(in);
	return true;
}

static int by_time(const void *a, const void *b)
{
	const struct line *x = a, *y = b;

	if (x->when_ms != y->when_ms)
		return x->when_ms < y->when_ms ? -1 : 1;
	return (x->order > y->order) - (x->order < y->order);
}

static void show(struct timeline *tl, struct line *line)
{
	line->shown = true;
	if (!tl->last || line->when_ms >= tl->last->when_ms)
		tl->last = line;
	if (!tl->begin_ms || line->when_ms < tl->begin_ms)
		tl->begin_ms = line->when_ms;
	if (line->when_ms > tl->end_ms)
		tl->end_ms = line->when_ms;
}

/* Marks the dispatchers' lines on a request, within CONTEXT_MS. They identify
 * it by the entry's host and the number that the entry gave it. */
static void show_slot_lines(struct timeline *tl, const struct line *own)
{
	char host[VALUE_BYTES], request[VALUE_BYTES];
	size_t i;

	if (!get_field(own->text, "host", host) ||
	    !get_field(own->text, "request", request))
		return;
	for (i = 0; i < tl->n; i++) {
		struct line *line = &tl->v[i];

		if (field_is(line->text, "entry", host) &&
		    field_is(line->text, "request", request) &&
		    line->when_ms + CONTEXT_MS >= own->when_ms &&
		    line->when_ms <= own->when_ms + CONTEXT_MS)
			line->shown = true;
	}
}

/* Return: whether a line that is shown so far has the same value of a field. */
static bool shares_field(const struct timeline *tl, const char *text,
			 const char *name)
{
	char value[VALUE_BYTES];
	size_t i;

	if (!get_field(text, name, value) || !*value)
		return false;
	for (i = 0; i < tl->n; i++) {
		if (tl->v[i].shown && field_is(tl->v[i].text, name, value))
			return true;
	}
	return false;
}

/* Return: the part of the prompt for which the request was refused, 0 if it was
 * not. */
static uint64_t refused_part(const struct timeline *tl)
{
	char part[VALUE_BYTES];
	size_t i;

	for (i = 0; i < tl->n; i++) {
		const char *text = tl->v[i].text;

		if (tl->v[i].shown && field_is(text, "event", "no_place") &&
		    field_is(text, "feature", "part") &&
		    get_field(text, "fingerprint", part))
			return strtoull(part, NULL, 16);
	}
	return 0;
}

/* Whether a line is of a run that was lost with this part in its prompt, or of
 * what became known of the part. */
static bool tells_of_part(const char *text, uint64_t part)
{
	char list[VALUE_BYTES], *p = list, *end;

	if (field_is(text, "event", "suspect"))
		return field_is(text, "feature", "part") &&
		       get_field(text, "fingerprint", list) &&
		       strtoull(list, NULL, 16) == part;
	if (!field_is(text, "event", "run_lost") ||
	    !get_field(text, "parts", list))
		return false;
	for (; *p; p = *end ? end + 1 : end) {
		if (strtoull(p, &end, 16) == part)
			return true;
	}
	return false;
}

/* Marks earlier runs that were lost with their servers and that count against
 * the request, of equal requests as well, or against a part of its prompt. */
static void show_lost_runs(struct timeline *tl)
{
	uint64_t part = refused_part(tl);
	size_t i;

	for (i = 0; i < tl->n; i++) {
		struct line *line = &tl->v[i];

		if (line->when_ms > tl->end_ms)
			continue;
		if ((field_is(line->text, "event", "run_lost") &&
		     shares_field(tl, line->text, "fingerprint")) ||
		    (part && tells_of_part(line->text, part)))
			line->shown = true;
	}
}

/* Marks the pauses that servers had asked the request's host for, and that had
 * not ended, if it was refused for them. */
static void show_pauses(struct timeline *tl)
{
	char host[VALUE_BYTES], ms[VALUE_BYTES];
	size_t i;

	if (!field_is(tl->last->text, "error", "servers_paused") ||
	    !get_field(tl->last->text, "host", host))
		return;
	for (i = 0; i < tl->n; i++) {
		struct line *line = &tl->v[i];

		if (field_is(line->text, "event", "server_pause") &&
		    field_is(line->text, "host", host) &&
		    get_field(line->text, "pause_ms", ms) &&
		    line->when_ms <= tl->end_ms &&
		    line->when_ms + strtoull(ms, NULL, 10) >= tl->begin_ms)
			line->shown = true;
	}
}

/* Return: whether a later line, up to the request's end, tells of the same
 * server's limit at the same host. */
static bool is_limit_outdated(const struct timeline *tl, size_t at,
			      const char *host, const char *server)
{
	size_t i;

	for (i = at + 1; i < tl->n && tl->v[i].when_ms <= tl->end_ms; i++) {
		if (field_is(tl->v[i].text, "event", "server_limit") &&
		    field_is(tl->v[i].text, "host", host) &&
		    field_is(tl->v[i].text, "server", server))
			return true;
	}
	return false;
}

static bool is_held_by_limits(const struct timeline *tl)
{
	size_t i;

	if (field_is(tl->last->text, "error", "servers_limited"))
		return true;
	for (i = 0; i < tl->n; i++) {
		if (tl->v[i].shown &&
		    field_is(tl->v[i].text, "event", "limit_wait"))
			return true;
	}
	return false;
}

/* Marks the limits of servers that the request's host knew of, if the request
 * waited or was refused for them. */
static void show_limits(struct timeline *tl)
{
	char host[VALUE_BYTES], server[VALUE_BYTES];
	size_t i;

	if (!is_held_by_limits(tl) || !get_field(tl->last->text, "host", host))
		return;
	for (i = 0; i < tl->n; i++) {
		struct line *line = &tl->v[i];

		if (line->when_ms <= tl->end_ms &&
		    field_is(line->text, "event", "server_limit") &&
		    field_is(line->text, "host", host) &&
		    !field_is(line->text, "limit_millihz", "-1") &&
		    get_field(line->text, "server", server) &&
		    !is_limit_outdated(tl, i, host, server))
			line->shown = true;
	}
}

static bool is_context(const struct timeline *tl, const char *text)
{
	char kind[VALUE_BYTES];

	get_field(text, "kind", kind);
	if (!strcmp(kind, "server"))
		return shares_field(tl, text, "server");
	if (!shares_field(tl, text, "host"))
		return false;
	if (!strcmp(kind, "pool"))
		return shares_field(tl, text, "service");
	return !strcmp(kind, "dependency") || !strcmp(kind, "config") ||
	       !strcmp(kind, "process") || field_is(text, "event", "left_out");
}

/* Marks lines on the state of the same hosts and servers, from CONTEXT_MS
 * before the request to its end. */
static void show_context(struct timeline *tl)
{
	bool *in_context = calloc(tl->n, sizeof(*in_context));
	size_t i;

	if (!in_context)
		abort();
	for (i = 0; i < tl->n; i++) {
		const struct line *line = &tl->v[i];

		in_context[i] = !line->shown &&
				line->when_ms + CONTEXT_MS >= tl->begin_ms &&
				line->when_ms <= tl->end_ms &&
				is_context(tl, line->text);
	}
	for (i = 0; i < tl->n; i++)
		tl->v[i].shown = tl->v[i].shown || in_context[i];
	free(in_context);
}

static void print_cause(const struct timeline *tl, FILE *out)
{
	const char *text = tl->last->text;
	char event[VALUE_BYTES], error[VALUE_BYTES], value[VALUE_BYTES];
	size_t i;

	get_field(text, "event", event);
	if (get_field(text, "error", error) || get_field(text, "why", error))
		fprintf(out, "cause: %s, %s", event, error);
	else
		fprintf(out, "cause: %s", event);
	if (get_field(text, "status", value))
		fprintf(out, ", answered with %s", value);
	if (get_field(text, "version", value))
		fprintf(out, ", by configuration %s", value);
	fputc('\n', out);
	for (i = MH_OK + 1; i < MH_ERR_COUNT; i++) {
		const struct mh_error_info *info =
			mh_error_info((enum mh_error)i);

		if (!strcmp(info->name, error))
			fprintf(out, "       %s\n", info->title);
	}
	for (i = 0; i < tl->n; i++) {
		char spent[VALUE_BYTES], limit[VALUE_BYTES];

		if (!tl->v[i].shown)
			continue;
		if (field_is(tl->v[i].text, "event", "limit_wait") &&
		    get_field(tl->v[i].text, "wait_ms", value))
			fprintf(out,
				"       waited %s ms for the limits of "
				"servers\n",
				value);
		if (!field_is(tl->v[i].text, "event", "no_place"))
			continue;
		get_field(tl->v[i].text, "wait_ms", value);
		get_field(tl->v[i].text, "spent", spent);
		get_field(tl->v[i].text, "limit", limit);
		if (strcmp(value, "0"))
			fprintf(out, "       expected wait for a slot: %s ms\n",
				value);
		if (strcmp(limit, "0"))
			fprintf(out,
				"       its account had used %s of %s units "
				"in the quota window\n",
				spent, limit);
	}
}

static void print_lines(const struct timeline *tl, FILE *out)
{
	size_t i;

	for (i = 0; i < tl->n; i++) {
		const struct line *line = &tl->v[i];
		const char *rest = strchr(line->text, ' ');

		if (line->shown)
			fprintf(out, "%+6" PRId64 " ms %s\n",
				(int64_t)(line->when_ms - tl->begin_ms),
				rest ? rest + 1 : "");
	}
}

static int read_logs(struct timeline *tl, char **paths, int n)
{
	int rc = MH_EXIT_OK, i;

	for (i = 0; i < n; i++) {
		if (!read_log(tl, paths[i]))
			rc = MH_EXIT_FAILED;
	}
	if (tl->n)
		qsort(tl->v, tl->n, sizeof(*tl->v), by_time);
	return rc;
}

static void release(struct timeline *tl)
{
	size_t k;

	for (k = 0; k < tl->n; k++)
		free(tl->v[k].text);
	free(tl->v);
}

static bool is_of_rollouts(const char *text)
{
	char event[VALUE_BYTES];

	return get_field(text, "event", event) &&
	       !strncmp(event, "rollout", strlen("rollout"));
}

/* Return: whether a later line tells of a phase of the same service. */
static bool is_superseded(const struct timeline *tl, size_t k)
{
	char service[VALUE_BYTES];
	size_t i;

	get_field(tl->v[k].text, "service", service);
	for (i = k + 1; i < tl->n; i++) {
		if (field_is(tl->v[i].text, "event", "rollout") &&
		    field_is(tl->v[i].text, "service", service))
			return true;
	}
	return false;
}

/* Return: whether the store has acknowledged the status of a line's phase. */
static bool is_written(const struct timeline *tl, const char *text)
{
	static const char *const names[] = { "service", "target", "phase" };
	char value[VALUE_BYTES];
	size_t i, k, same;

	if (field_is(text, "written", "1"))
		return true;
	for (i = 0; i < tl->n; i++) {
		if (!field_is(tl->v[i].text, "event", "rollout_status"))
			continue;
		for (k = same = 0; k < sizeof(names) / sizeof(names[0]); k++)
			same += get_field(text, names[k], value) &&
				field_is(tl->v[i].text, names[k], value);
		if (same == k)
			return true;
	}
	return false;
}

int mh_timeline_print_rollouts(char **paths, int n, FILE *out)
{
	char service[VALUE_BYTES], target[VALUE_BYTES], phase[VALUE_BYTES];
	struct timeline tl = { 0 };
	int rc = read_logs(&tl, paths, n);
	size_t k;

	for (k = 0; k < tl.n; k++) {
		if (is_of_rollouts(tl.v[k].text))
			show(&tl, &tl.v[k]);
	}
	print_lines(&tl, out);
	for (k = 0; k < tl.n; k++) {
		const char *text = tl.v[k].text;

		if (!field_is(text, "event", "rollout") ||
		    is_superseded(&tl, k))
			continue;
		get_field(text, "service", service);
		get_field(text, "target", target);
		get_field(text, "phase", phase);
		fprintf(out, "order: %s to version %s: %s%s\n", service, target,
			phase,
			is_written(&tl, text) ? ", written to the store" : "");
	}
	release(&tl);
	return rc;
}

int mh_timeline_print(const char *id, char **paths, int n, FILE *out)
{
	struct timeline tl = { 0 };
	int rc = read_logs(&tl, paths, n);
	size_t k;

	for (k = 0; k < tl.n; k++) {
		if (field_is(tl.v[k].text, "id", id))
			show(&tl, &tl.v[k]);
	}
	if (!tl.last) {
		fprintf(stderr, "mangoctl: no log line of request %s found\n",
			id);
		rc = MH_EXIT_FAILED;
		goto out;
	}
	for (k = 0; k < tl.n; k++) {
		if (tl.v[k].shown && field_is(tl.v[k].text, "id", id))
			show_slot_lines(&tl, &tl.v[k]);
	}
	show_lost_runs(&tl);
	show_pauses(&tl);
	show_limits(&tl);
	show_context(&tl);
	print_lines(&tl, out);
	print_cause(&tl, out);
out:
	release(&tl);
	return rc;
}
