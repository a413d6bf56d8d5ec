#include "ctl/metrics_report.h"

#include <errno.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "config/cmdline.h"
#include "core/check_alloc.h"

#define MAX_BUCKETS 32
#define PATH_BYTES 4096
#define BUCKET_SUFFIX "_bucket"

/* A counter or histogram, summed over all files, or the maximum of a gauge. */
struct series {
	char *key; /* name and labels, without the label "le" */
	bool is_histogram;
	bool has_value;
	double value;
	uint32_t n_buckets;
	double le[MAX_BUCKETS];		/* upper bounds of the buckets */
	double cumulative[MAX_BUCKETS]; /* number of values up to le */
	UT_hash_handle hh;
};

static struct series *get_series(struct series **all, const char *key)
{
	struct series *s;

	HASH_FIND_STR(*all, key, s);
	if (s)
		return s;
	s = mh_check_alloc(calloc(1, sizeof(*s)));
	s->key = mh_check_alloc(strdup(key));
	HASH_ADD_KEYPTR(hh, *all, s->key, strlen(s->key), s);
	return s;
}

/* Removes the label "le" from @labels and copies its value.
 * Return: @value, or NULL if there is no such label or @size is too small. */
static const char *extract_le_label(char *labels, char *value, size_t size)
{
	char *at = strstr(labels, "le=\"");
	size_t n;

	while (at && at != labels && at[-1] != '{' && at[-1] != ',')
		at = strstr(at + 1, "le=\"");
	if (!at)
		return NULL;
	n = strcspn(at + 4, "\"");
	if (n >= size)
		return NULL;
	memcpy(value, at + 4, n);
	value[n] = '\0';
	/* Remove one comma as well, before or after the label. */
	n += 5;
	if (at[-1] == ',') {
		at--;
		n++;
	} else if (at[n] == ',') {
		n++;
	}
	memmove(at, at + n, strlen(at + n) + 1);
	return value;
}

static bool add_bucket(struct series **all, char *key, double count)
{
	char text[32], *end = strstr(key, BUCKET_SUFFIX);
	struct series *s;
	double le;
	uint32_t i;

	if (!extract_le_label(key, text, sizeof(text)))
		return false;
	le = strtod(text, NULL);
	memmove(end, end + strlen(BUCKET_SUFFIX),
		strlen(end + strlen(BUCKET_SUFFIX)) + 1);
	s = get_series(all, key);
	s->is_histogram = true;
	for (i = 0; i < s->n_buckets && s->le[i] != le; i++)
		;
	if (i == MAX_BUCKETS)
		return false;
	if (i == s->n_buckets)
		s->le[s->n_buckets++] = le;
	s->cumulative[i] += count;
	return true;
}

/* Counters are summed. Of a gauge the maximum is kept: a sum has no meaning. */
static void add_value(struct series *s, double value, bool is_counter)
{
	if (is_counter)
		s->value += value;
	else if (!s->has_value || value > s->value)
		s->value = value;
	s->has_value = true;
}

/* Return: length of the name and labels at the start of a line. */
static size_t key_len(const char *line)
{
	const char *close = strchr(line, '}');

	return close ? (size_t)(close - line) + 1 : strcspn(line, " \t");
}

static bool ends_with(const char *name, size_t len, const char *end)
{
	size_t n = strlen(end);

	return len > n && !memcmp(name + len - n, end, n);
}

static bool read_line(struct series **all, char *line)
{
	size_t len = key_len(line), name_len = strcspn(line, "{ \t");
	char *key, *rest;
	double value;
	bool ok = true;

	value = strtod(line + len, &rest);
	if (!name_len || rest == line + len || *rest)
		return false;
	key = mh_check_alloc(strndup(line, len));
	if (ends_with(key, name_len, BUCKET_SUFFIX))
		ok = add_bucket(all, key, value);
	/* The buckets give the count; the sum is only needed for a mean, which
	 * is not reported. */
	else if (!ends_with(key, name_len, "_sum") &&
		 !ends_with(key, name_len, "_count"))
		add_value(get_series(all, key), value,
			  ends_with(key, name_len, "_total"));
	free(key);
	return ok;
}

static int read_file(struct series **all, const char *path)
{
	FILE *in = strcmp(path, "-") ? fopen(path, "r") : stdin;
	unsigned int n = 0;
	int rc = MH_EXIT_OK;
	char *line = NULL;
	size_t cap = 0;

	if (!in) {
		fprintf(stderr, "mangoctl: %s: %s\n", path, strerror(errno));
		return MH_EXIT_FAILED;
	}
	while (rc == MH_EXIT_OK && getline(&line, &cap, in) >= 0) {
		n++;
		line[strcspn(line, "\r\n")] = '\0';
		if (!*line || *line == '#' || read_line(all, line))
			continue;
		fprintf(stderr, "mangoctl: %s:%u: invalid metric line: %.60s\n",
			path, n, line);
		rc = MH_EXIT_CONFIG;
	}
	free(line);
	if (in != stdin)
		fclose(in);
	return rc;
}

static double count_of(const struct series *s)
{
	return s->n_buckets ? s->cumulative[s->n_buckets - 1] : 0;
}

/* Interpolates in a bucket. Return: infinity for the +Inf bucket. */
static double quantile(const struct series *s, double fraction)
{
	double rank = fraction * count_of(s), below = 0, from = 0;
	uint32_t i;

	for (i = 0; i < s->n_buckets; i++) {
		if (s->cumulative[i] >= rank && s->cumulative[i] > below)
			return from + (s->le[i] - from) * (rank - below) /
					      (s->cumulative[i] - below);
		below = s->cumulative[i];
		from = s->le[i];
	}
	return 0;
}

static int by_key(const struct series *a, const struct series *b)
{
	return strcmp(a->key, b->key);
}

static void print_quantile(FILE *out, const struct series *s, double fraction)
{
	double ms = quantile(s, fraction);

	if (isinf(ms))
		fprintf(out, " %8s", "beyond");
	else
		fprintf(out, " %8.1f", ms);
}

static void print_tables(const struct series *all, FILE *out)
{
	const struct series *s;

	fprintf(out, "%9s %8s %8s %8s  histogram, ms\n", "count", "median",
		"90 %", "99 %");
	for (s = all; s; s = s->hh.next) {
		if (!s->is_histogram || !count_of(s))
			continue;
		fprintf(out, "%9.0f", count_of(s));
		print_quantile(out, s, 0.5);
		print_quantile(out, s, 0.9);
		print_quantile(out, s, 0.99);
		fprintf(out, "  %s\n", s->key);
	}
	fprintf(out, "\n%9s  counter, summed, or greatest gauge\n", "value");
	for (s = all; s; s = s->hh.next) {
		if (!s->is_histogram && s->value != 0)
			fprintf(out, "%9.0f  %s\n", s->value, s->key);
	}
}

static FILE *open_in(const char *dir, const char *name)
{
	char path[PATH_BYTES];
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s", dir, name);
	f = fopen(path, "w");
	if (!f)
		fprintf(stderr, "mangoctl: %s: %s\n", path, strerror(errno));
	return f;
}

/* Writes a gnuplot data block: upper bound in ms, cumulative share. */
static void write_block(const struct series *s, FILE *data)
{
	uint32_t i;

	fprintf(data, "# %s\n", s->key);
	for (i = 0; i < s->n_buckets; i++) {
		if (!isinf(s->le[i]))
			fprintf(data, "%g %g\n", s->le[i],
				s->cumulative[i] / count_of(s));
	}
	fprintf(data, "\n\n");
}

/* Writes one data file and one plot per metric name. @all is sorted by key, so
 * the series of a name are adjacent. */
static int write_all(const struct series *all, const char *dir, FILE *script)
{
	char name[PATH_BYTES] = "", file[PATH_BYTES + sizeof(".dat")];
	const struct series *s;
	FILE *data = NULL;
	uint32_t block = 0;

	for (s = all; s; s = s->hh.next) {
		size_t len = strcspn(s->key, "{");

		if (!s->is_histogram || !count_of(s))
			continue;
		if (strlen(name) != len || memcmp(name, s->key, len)) {
			snprintf(name, sizeof(name), "%.*s", (int)len, s->key);
			snprintf(file, sizeof(file), "%s.dat", name);
			if (data)
				fclose(data);
			data = open_in(dir, file);
			if (!data)
				return MH_EXIT_FAILED;
			block = 0;
			fprintf(script, "\nset output \"%s.svg\"\n", name);
		}
		write_block(s, data);
		fprintf(script, "%s\"%s\" index %u with linespoints title '%s'",
			block ? ", \\\n     " : "plot ", file, block,
			s->key + len);
		block++;
	}
	fprintf(script, "\n");
	if (data)
		fclose(data);
	return MH_EXIT_OK;
}

static int write_plots(const struct series *all, const char *dir)
{
	FILE *script = open_in(dir, "report.gp");
	int rc;

	if (!script)
		return MH_EXIT_FAILED;
	fprintf(script, "set terminal svg size 1000,600\nset logscale x\n"
			"set xlabel \"ms\"\nset ylabel \"share at or below\"\n"
			"set yrange [0:1]\nset key bottom right noenhanced\n");
	rc = write_all(all, dir, script);
	fclose(script);
	return rc;
}

int mh_metrics_report(char **paths, int n, const char *plot_dir, FILE *out)
{
	struct series *all = NULL, *s, *tmp;
	int i, rc = MH_EXIT_OK;

	for (i = 0; i < n && rc == MH_EXIT_OK; i++)
		rc = read_file(&all, paths[i]);
	if (rc == MH_EXIT_OK) {
		HASH_SORT(all, by_key);
		print_tables(all, out);
		if (plot_dir)
			rc = write_plots(all, plot_dir);
	}
	HASH_ITER(hh, all, s, tmp) {
		HASH_DEL(all, s);
		free(s->key);
		free(s);
	}
	return rc;
}
