/* Unit tests of histograms and gauges. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
/* cmocka.h needs the headers above. */
#include <cmocka.h>

#include "core/clock.h"
#include "core/metrics.h"

static void assert_line(const char *text, const char *line)
{
	const char *at = strstr(text, line);

	if (!at || (at != text && at[-1] != '\n') || at[strlen(line)] != '\n')
		fail_msg("no line \"%s\" in:\n%s", line, text);
}

static int count_of(const char *text, const char *part)
{
	int n = 0;

	while ((text = strstr(text, part))) {
		text += strlen(part);
		n++;
	}
	return n;
}

static void test_values_fall_into_buckets(void **state)
{
	struct mh_metrics *m = mh_metrics_new();
	char *text;

	(void)state;
	mh_metrics_observe(m, MH_H_REQUEST, 1, "route=\"%s\"", "a");
	mh_metrics_observe(m, MH_H_REQUEST, 2, "route=\"%s\"", "a");
	mh_metrics_observe(m, MH_H_REQUEST, 10001, "route=\"%s\"", "a");
	mh_metrics_observe(m, MH_H_REQUEST, 7, "route=\"%s\"", "b");
	text = mh_metrics_text(m);
	assert_line(text, "# TYPE mangohead_request_ms histogram");
	assert_line(text,
		    "mangohead_request_ms_bucket{route=\"a\",le=\"1\"} 1");
	assert_line(text,
		    "mangohead_request_ms_bucket{route=\"a\",le=\"2\"} 2");
	assert_line(text,
		    "mangohead_request_ms_bucket{route=\"a\",le=\"10000\"} 2");
	assert_line(text,
		    "mangohead_request_ms_bucket{route=\"a\",le=\"+Inf\"} 3");
	assert_line(text, "mangohead_request_ms_sum{route=\"a\"} 10004");
	assert_line(text, "mangohead_request_ms_count{route=\"a\"} 3");
	assert_line(text,
		    "mangohead_request_ms_bucket{route=\"b\",le=\"5\"} 0");
	assert_line(text, "mangohead_request_ms_count{route=\"b\"} 1");
	assert_int_equal(count_of(text, "# TYPE mangohead_request_ms "), 1);
	assert_null(strstr(text, "refusal_ms"));
	free(text);
	mh_metrics_free(m);
}

/* The same labels under two histograms are two series. */
static void test_histograms_are_kept_apart(void **state)
{
	struct mh_metrics *m = mh_metrics_new();
	char *text;

	(void)state;
	mh_metrics_observe(m, MH_H_REQUEST, 3, "x=\"1\"");
	mh_metrics_observe(m, MH_H_GAP, 3, "x=\"1\"");
	assert_ptr_equal(mh_metrics_series(m, MH_H_GAP, "x=\"1\""),
			 mh_metrics_series(m, MH_H_GAP, "x=\"1\""));
	text = mh_metrics_text(m);
	assert_line(text, "mangohead_request_ms_count{x=\"1\"} 1");
	assert_line(text, "mangohead_answer_gap_ms_count{x=\"1\"} 1");
	free(text);
	mh_metrics_free(m);
}

/* The number of series stays bounded when many servers come and go. */
static void test_number_of_series_is_bounded(void **state)
{
	struct mh_metrics *m = mh_metrics_new();
	char *text;
	int i;

	(void)state;
	for (i = 0; i < 5000; i++)
		mh_metrics_observe(m, MH_H_FIRST_BYTE, 3, "server=\"i-%d\"", i);
	text = mh_metrics_text(m);
	assert_in_range(count_of(text, "mangohead_first_byte_ms_count{"), 100,
			600);
	assert_non_null(
		strstr(text, "mangohead_first_byte_ms_count{overflow=\"1\"} "));
	free(text);
	mh_metrics_free(m);
}

static void test_gauges(void **state)
{
	struct mh_metrics *m = mh_metrics_new();
	char *text;

	(void)state;
	mh_metrics_set(m, MH_G_CONFIG_VERSION, 7);
	mh_metrics_set_age(m, MH_G_CONFIG_AGE, 5 * MH_NS_PER_MS,
			   25 * MH_NS_PER_MS);
	mh_metrics_set_age(m, MH_G_SERVERS_AGE, 0, 25 * MH_NS_PER_MS);
	text = mh_metrics_text(m);
	assert_line(text, "# TYPE mangohead_config_version gauge");
	assert_line(text, "mangohead_config_version 7");
	assert_line(text, "mangohead_config_age_ms 20");
	assert_line(text, "mangohead_servers_age_ms -1");
	/* A gauge that was never set is left out, not shown as zero. */
	assert_null(strstr(text, "mangohead_ready"));
	free(text);
	mh_metrics_free(m);
}

/* Guards against a page that no reader takes, for one odd name of a server. */
static void test_odd_names_spoil_no_page(void **state)
{
	static const char *const odd[] = { "a\"b", "a\\", "a\nb" };
	struct mh_metrics *m = mh_metrics_new();
	char name[256] = "";
	char *text;
	size_t i;

	(void)state;
	memset(name, 'x', sizeof(name) - 1);
	for (i = 0; i < 4; i++) {
		const char *server = i < 3 ? odd[i] : name;

		mh_metrics_observe(m, MH_H_FIRST_BYTE, 3, "server=\"%s\"",
				   server);
		mh_metrics_set_labelled(m, MH_G_SERVER_LIMIT, 5,
					"server=\"%s\"", server);
	}
	mh_metrics_set_labelled(m, MH_G_SERVER_LIMIT, 7, "server=\"i-1\"");
	text = mh_metrics_text(m);
	assert_line(text, "mangohead_server_limit_millihz{server=\"i-1\"} 7");
	assert_int_equal(count_of(text, "mangohead_server_limit_millihz{"), 1);
	assert_line(text, "mangohead_first_byte_ms_count{overflow=\"1\"} 4");
	assert_int_equal(count_of(text, "mangohead_first_byte_ms_count{"), 1);
	free(text);
	mh_metrics_free(m);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_values_fall_into_buckets),
		cmocka_unit_test(test_histograms_are_kept_apart),
		cmocka_unit_test(test_number_of_series_is_bounded),
		cmocka_unit_test(test_gauges),
		cmocka_unit_test(test_odd_names_spoil_no_page),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
