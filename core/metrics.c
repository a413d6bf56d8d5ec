#include "core/metrics.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/check_alloc.h"
#include "core/clock.h"

/* Takes some 100 KiB. A site needs a series for each combination of route, tier
 * and outcome, and for each server. */
#define MAX_SERIES 512
#define LABEL_BYTES 160
#define OVERFLOW_LABELS "overflow=\"1\""

/* Upper bounds of the histograms' buckets, from the shortest run of a service
 * without a model to the longest deadline. */
static const uint64_t bounds_ms[] = { 1,   2,	5,    10,   20,	  50,	100,
				      200, 500, 1000, 2000, 5000, 10000 };

#define N_BOUNDS (sizeof(bounds_ms) / sizeof(bounds_ms[0]))

struct mh_series {
	char key[LABEL_BYTES + 4]; /* histogram and labels */
	enum mh_histogram id;
	const char *labels;
	_Atomic uint64_t buckets[N_BOUNDS + 1];
	_Atomic uint64_t sum_ms;
	struct mh_series *next;
	UT_hash_handle hh;
};

/* Value of a gauge for some labels. */
struct labelled_gauge {
	char key[LABEL_BYTES + 4]; /* gauge and labels */
	enum mh_gauge id;
	const char *labels;
	_Atomic int64_t value;
	struct labelled_gauge *next;
	UT_hash_handle hh;
};

struct mh_metrics {
	struct labelled_gauge *gauges_by_key; /* the recording thread's */
	uint32_t n_labelled;
	struct labelled_gauge *_Atomic first_labelled; /* the newest one */
	struct mh_series *by_key; /* used by the recording thread only */
	uint32_t n;
	/* The newest series; readers walk the list from it. */
	struct mh_series *_Atomic first;
	_Atomic int64_t gauges[MH_G_COUNT];
	atomic_bool is_set[MH_G_COUNT];
};

struct info {
	const char *name;
	const char *help;
};

static const struct info histograms[] = {
#define X(id, name, help) { #name, help },
	MH_HISTOGRAM_LIST(X)
#undef X
};

static const struct info gauges[] = {
#define X(id, name, help) { #name, help },
	MH_GAUGE_LIST(X)
#undef X
};

struct mh_metrics *mh_metrics_new(void)
{
	return calloc(1, sizeof(struct mh_metrics));
}

void mh_metrics_free(struct mh_metrics *m)
{
	struct labelled_gauge *g, *next;
	struct mh_series *s, *tmp;

	if (!m)
		return;
	HASH_ITER(hh, m->gauges_by_key, g, next) {
		/* The analyzer does not follow uthash's deletion macros. */
		/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
		HASH_DEL(m->gauges_by_key, g);
		free(g);
	}
	HASH_ITER(hh, m->by_key, s, tmp) {
		HASH_DEL(m->by_key, s);
		free(s);
	}
	free(m);
}

/* Names come from other writers: one that is too long or holds a quote would make
 * the whole page unreadable. */
static bool are_well_formed(const char *labels)
{
	if (strlen(labels) > LABEL_BYTES)
		return false;
	for (;;) {
		size_t n = strspn(labels, "abcdefghijklmnopqrstuvwxyz_");

		if (!n || strncmp(labels + n, "=\"", 2))
			return false;
		labels += n + 2;
		labels += strcspn(labels, "\"\\\n");
		if (*labels++ != '"')
			return false;
		if (!*labels)
			return true;
		if (*labels++ != ',')
			return false;
	}
}

static struct mh_series *add(struct mh_metrics *m, enum mh_histogram id,
			     const char *key)
{
	struct mh_series *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	snprintf(s->key, sizeof(s->key), "%s", key);
	s->id = id;
	s->labels = s->key + 2;
	HASH_ADD_STR(m->by_key, key, s);
	m->n++;
	s->next = atomic_load_explicit(&m->first, memory_order_relaxed);
	atomic_store_explicit(&m->first, s, memory_order_release);
	return s;
}

struct mh_series *mh_metrics_series(struct mh_metrics *m, enum mh_histogram id,
				    const char *labels)
{
	char key[LABEL_BYTES + 4];
	struct mh_series *s;

	if (!are_well_formed(labels))
		labels = OVERFLOW_LABELS;
	snprintf(key, sizeof(key), "%c:%s", 'a' + (int)id, labels);
	HASH_FIND_STR(m->by_key, key, s);
	if (s)
		return s;
	if (m->n < MAX_SERIES)
		return add(m, id, key);
	snprintf(key, sizeof(key), "%c:%s", 'a' + (int)id, OVERFLOW_LABELS);
	HASH_FIND_STR(m->by_key, key, s);
	return s ? s : add(m, id, key);
}

static void add_relaxed(_Atomic uint64_t *n, uint64_t by)
{
	atomic_fetch_add_explicit(n, by, memory_order_relaxed);
}

void mh_series_observe(struct mh_series *s, uint64_t ms)
{
	size_t i = 0;

	while (i < N_BOUNDS && ms > bounds_ms[i])
		i++;
	add_relaxed(&s->buckets[i], 1);
	add_relaxed(&s->sum_ms, ms);
}

void mh_metrics_observe(struct mh_metrics *m, enum mh_histogram id, uint64_t ms,
			const char *fmt, ...)
{
	char *labels;
	va_list args;
	int len;

	va_start(args, fmt);
	len = vasprintf(&labels, fmt, args);
	va_end(args);
	if (len < 0)
		abort();
	mh_series_observe(mh_metrics_series(m, id, labels), ms);
	free(labels);
}

void mh_metrics_set(struct mh_metrics *m, enum mh_gauge id, int64_t value)
{
	atomic_store_explicit(&m->gauges[id], value, memory_order_relaxed);
	atomic_store_explicit(&m->is_set[id], true, memory_order_relaxed);
}

static void set_labelled(struct mh_metrics *m, enum mh_gauge id, int64_t value,
			 const char *labels)
{
	char key[LABEL_BYTES + 4];
	struct labelled_gauge *g;

	if (!are_well_formed(labels))
		return;
	snprintf(key, sizeof(key), "%c:%s", 'a' + (int)id, labels);
	HASH_FIND_STR(m->gauges_by_key, key, g);
	if (!g) {
		if (m->n_labelled == MAX_SERIES)
			return;
		g = mh_check_alloc(calloc(1, sizeof(*g)));
		memcpy(g->key, key, sizeof(key));
		g->id = id;
		g->labels = g->key + 2;
		HASH_ADD_STR(m->gauges_by_key, key, g);
		m->n_labelled++;
		g->next = atomic_load_explicit(&m->first_labelled,
					       memory_order_relaxed);
		atomic_store_explicit(&g->value, value, memory_order_relaxed);
		atomic_store_explicit(&m->first_labelled, g,
				      memory_order_release);
	}
	atomic_store_explicit(&g->value, value, memory_order_relaxed);
}

void mh_metrics_set_labelled(struct mh_metrics *m, enum mh_gauge id,
			     int64_t value, const char *fmt, ...)
{
	char *labels;
	va_list args;
	int len;

	va_start(args, fmt);
	len = vasprintf(&labels, fmt, args);
	va_end(args);
	if (len < 0)
		abort();
	set_labelled(m, id, value, labels);
	free(labels);
}

void mh_metrics_set_age(struct mh_metrics *m, enum mh_gauge id,
			uint64_t then_ns, uint64_t now_ns)
{
	mh_metrics_set(m, id,
		       then_ns ? (int64_t)((now_ns - then_ns) / MH_NS_PER_MS) :
				 -1);
}

static void write_head(FILE *out, const struct info *info, const char *type)
{
	fprintf(out,
		"# HELP mangohead_%s %s\n"
		"# TYPE mangohead_%s %s\n",
		info->name, info->help, info->name, type);
}

static void write_series(FILE *out, const struct mh_series *s)
{
	const char *name = histograms[s->id].name;
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i <= N_BOUNDS; i++) {
		char le[24] = "+Inf";

		if (i < N_BOUNDS)
			snprintf(le, sizeof(le), "%" PRIu64, bounds_ms[i]);
		sum += atomic_load_explicit(&s->buckets[i],
					    memory_order_relaxed);
		fprintf(out, "mangohead_%s_bucket{%s,le=\"%s\"} %" PRIu64 "\n",
			name, s->labels, le, sum);
	}
	fprintf(out,
		"mangohead_%s_sum{%s} %" PRIu64 "\n"
		"mangohead_%s_count{%s} %" PRIu64 "\n",
		name, s->labels,
		atomic_load_explicit(&s->sum_ms, memory_order_relaxed), name,
		s->labels, sum);
}

static void write_labelled(FILE *out, const struct mh_metrics *m, int id)
{
	const struct labelled_gauge *g =
		atomic_load_explicit(&m->first_labelled, memory_order_acquire);
	bool any = false;

	for (; g; g = g->next) {
		if ((int)g->id != id)
			continue;
		if (!any)
			write_head(out, &gauges[id], "gauge");
		any = true;
		fprintf(out, "mangohead_%s{%s} %" PRId64 "\n", gauges[id].name,
			g->labels,
			atomic_load_explicit(&g->value, memory_order_relaxed));
	}
}

char *mh_metrics_text(const struct mh_metrics *m)
{
	const struct mh_series *first =
		atomic_load_explicit(&m->first, memory_order_acquire);
	const struct mh_series *s;
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	int i;

	if (!out)
		return NULL;
	for (i = 0; i < MH_G_COUNT; i++) {
		write_labelled(out, m, i);
		if (!atomic_load_explicit(&m->is_set[i], memory_order_relaxed))
			continue;
		write_head(out, &gauges[i], "gauge");
		fprintf(out, "mangohead_%s %" PRId64 "\n", gauges[i].name,
			atomic_load_explicit(&m->gauges[i],
					     memory_order_relaxed));
	}
	for (i = 0; i < MH_H_COUNT; i++) {
		bool any = false;

		for (s = first; s; s = s->next) {
			if ((int)s->id != i)
				continue;
			if (!any)
				write_head(out, &histograms[i], "histogram");
			any = true;
			write_series(out, s);
		}
	}
	fclose(out);
	return text;
}
