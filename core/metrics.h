/*
 * Histograms with labels, and gauges, of one process. One thread records
 * values; any thread may read them at the same time.
 */
#ifndef MH_METRICS_H
#define MH_METRICS_H

#include <stddef.h>
#include <stdint.h>

/* id, name, help text */
#define MH_HISTOGRAM_LIST(X)                                                   \
	X(REQUEST, request_ms, "time to the end of a request, by its outcome") \
	X(REFUSAL, refusal_ms, "time to a refusal, by its reason")             \
	X(PLACE_WAIT, place_wait_ms, "wait for a place at a server")           \
	X(FIRST_BYTE, first_byte_ms,                                           \
	  "time from sending to the head of an answer, by server")             \
	X(GAP, answer_gap_ms, "time between parts of an answer")

#define MH_GAUGE_LIST(X)                                                       \
	X(CONFIG_VERSION, config_version, "version of the configuration")      \
	X(CONFIG_AGE, config_age_ms,                                           \
	  "time since the configuration was last read or confirmed")           \
	X(SERVERS_AGE, servers_age_ms,                                         \
	  "time since the list of servers was last read or confirmed")         \
	X(STANDING_AGE, standing_age_ms,                                       \
	  "time since the dispatcher in use told how it stands")               \
	X(OPEN, open_requests, "requests that are open")                       \
	X(LINKS, links, "links that are up")                                   \
	X(READY, ready, "1 while requests are taken")                          \
	X(SERVER_LIMIT, server_limit_millihz,                                  \
	  "requests in 1000 s that a server takes, -1 if its limit ended")     \
	X(ROLLOUT_PHASE, rollout_phase,                                        \
	  "1 observing, 2 shifting, 3 succeeded, 4 rolled back")

enum mh_histogram {
#define X(id, name, help) MH_H_##id,
	MH_HISTOGRAM_LIST(X)
#undef X
		MH_H_COUNT
};

enum mh_gauge {
#define X(id, name, help) MH_G_##id,
	MH_GAUGE_LIST(X)
#undef X
		MH_G_COUNT
};

struct mh_metrics;
struct mh_series;

/**
 * mh_metrics_new() - create metrics without series
 *
 * Return: metrics, or NULL if memory allocation failed.
 */
struct mh_metrics *mh_metrics_new(void);

/**
 * mh_metrics_free() - free metrics and their series; no thread may read them
 * @m: metrics or NULL
 */
void mh_metrics_free(struct mh_metrics *m);

/**
 * mh_metrics_series() - find or add the series of a histogram for some labels
 * @m: metrics
 * @id: which histogram
 * @labels: labels in Prometheus' syntax, without braces: 'a="b",c="d"'
 *
 * The number of series is bounded; those beyond the bound share one series, as do
 * those whose labels are not well-formed, as a value holds a quote or is very long.
 *
 * Return: series, valid as long as @m.
 */
struct mh_series *mh_metrics_series(struct mh_metrics *m, enum mh_histogram id,
				    const char *labels);

/**
 * mh_series_observe() - record a value
 * @s: series
 * @ms: value in milliseconds
 */
void mh_series_observe(struct mh_series *s, uint64_t ms);

/**
 * mh_metrics_observe() - record a value in the series of some labels
 * @m: metrics
 * @id: which histogram
 * @ms: value in milliseconds
 * @fmt: format of the labels, see mh_metrics_series()
 */
void mh_metrics_observe(struct mh_metrics *m, enum mh_histogram id, uint64_t ms,
			const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/**
 * mh_metrics_set() - set a gauge
 * @m: metrics
 * @id: which gauge
 * @value: value
 */
void mh_metrics_set(struct mh_metrics *m, enum mh_gauge id, int64_t value);

/**
 * mh_metrics_set_labelled() - set a gauge that has a value for each of some labels
 * @m: metrics
 * @id: which gauge
 * @value: value
 * @fmt: format of the labels, see mh_metrics_series(), which bounds their number
 *       as well; none is set for labels that are not well-formed
 */
void mh_metrics_set_labelled(struct mh_metrics *m, enum mh_gauge id,
			     int64_t value, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/**
 * mh_metrics_set_age() - set a gauge to the time since an event, in ms
 * @m: metrics
 * @id: which gauge
 * @then_ns: monotonic time of the event; 0: it never happened, the gauge is -1
 * @now_ns: monotonic time
 */
void mh_metrics_set_age(struct mh_metrics *m, enum mh_gauge id,
			uint64_t then_ns, uint64_t now_ns);

/**
 * mh_metrics_text() - write all metrics in the Prometheus text format
 * @m: metrics
 *
 * Gauges that were never set are left out.
 *
 * Return: text for the caller to free, or NULL if memory allocation failed.
 */
char *mh_metrics_text(const struct mh_metrics *m);

#endif
