/*
 * Unit tests of usage that entries tell dispatchers: what others granted.
 */
#include "core/usage_relay.h"
#include "proxy/usage_forward.h"
#include "tests/dispatch_fixture.h"

struct reports {
	uint64_t units;
	uint32_t oldest_ms;
	uint32_t n;
};

static void on_report(void *data, const char *account, uint64_t grantor,
		      uint64_t units, uint32_t age_ms)
{
	struct reports *got = data;

	assert_string_equal(account, "a");
	assert_int_equal(grantor, 7);
	got->units += units;
	got->n++;
	if (age_ms > got->oldest_ms)
		got->oldest_ms = age_ms;
}

/*
 * Entries use different dispatchers for a while, and the store is down. Each
 * entry reports to each dispatcher, once, what the other one granted.
 */
static void test_usage_is_reported_once_to_each_dispatcher(void **state)
{
	struct mh_usage_relay *relay = mh_usage_relay_new(8000, 10000);
	uint64_t now_ns = 1000000 * MH_NS_PER_MS;
	struct reports got = { 0 };

	(void)state;
	mh_usage_relay_add(relay, "a", 7, 10, now_ns);
	now_ns += 3000 * MH_NS_PER_MS;
	mh_usage_relay_add(relay, "a", 7, 5, now_ns);
	/* The grantor knows its own usage. */
	mh_usage_relay_report(relay, 7, now_ns, on_report, &got);
	assert_int_equal(got.n, 0);
	mh_usage_relay_report(relay, 8, now_ns, on_report, &got);
	assert_int_equal(got.units, 15);
	assert_in_range(got.oldest_ms, 2700, 3300);
	/* Later reports hold only what was added, for each peer separately. */
	mh_usage_relay_report(relay, 8, now_ns, on_report, &got);
	assert_int_equal(got.units, 15);
	mh_usage_relay_add(relay, "a", 7, 3, now_ns);
	mh_usage_relay_report(relay, 8, now_ns, on_report, &got);
	assert_int_equal(got.units, 18);
	got = (struct reports){ 0 };
	mh_usage_relay_report(relay, 9, now_ns, on_report, &got);
	assert_int_equal(got.units, 18);
	/* Usage that left the window is not reported. */
	got = (struct reports){ 0 };
	now_ns += 9000 * MH_NS_PER_MS;
	mh_usage_relay_report(relay, 10, now_ns, on_report, &got);
	assert_int_equal(got.units, 0);
	mh_usage_relay_free(relay);
}

#define LONG_NAME_LEN 250

static void on_long_name(void *data, const char *account, uint64_t grantor,
			 uint64_t units, uint32_t age_ms)
{
	(void)grantor;
	(void)age_ms;
	assert_int_equal(strlen(account), LONG_NAME_LEN);
	if (account[LONG_NAME_LEN - 1] == 'a')
		*(uint64_t *)data += units;
}

/* Guards against usage that is told to the dispatcher that granted it, as another
 * one's. */
static void test_long_names_are_kept_apart(void **state)
{
	struct mh_usage_relay *relay = mh_usage_relay_new(8000, 10000);
	uint64_t now_ns = 1000000 * MH_NS_PER_MS, n = 0;
	char name[LONG_NAME_LEN + 1] = "";

	(void)state;
	memset(name, 'a', LONG_NAME_LEN);
	mh_usage_relay_add(relay, name, 7, 10, now_ns);
	mh_usage_relay_add(relay, name, 8, 5, now_ns);
	name[LONG_NAME_LEN - 1] = 'b';
	mh_usage_relay_add(relay, name, 7, 100, now_ns);
	mh_usage_relay_report(relay, 7, now_ns, on_long_name, &n);
	assert_int_equal(n, 5);
	mh_usage_relay_report(relay, 8, now_ns, on_long_name, &n);
	assert_int_equal(n, 5 + 10);
	mh_usage_relay_free(relay);
}

/* Guards against a limit that two dispatchers use in turn, each in full, as the
 * server's name is cut off on the way. */
static void test_sends_are_counted_by_a_long_name(void **state)
{
	struct fixture *f = new_fixture();
	char name[LONG_NAME_LEN + 1] = "";
	struct mh_server_ref server = { name, "127.0.0.1:1", 1 };
	struct mh_server_limit limit = { 4000, f->now_ns };
	struct mh_slot_request granted = { .service = SERVICE, .account = "" };
	struct mh_candidates none = { 0 };
	struct mh_usage_forward forward = { &f->clock,
					    mh_usage_relay_new(8000, 10000),
					    NULL, &none, f->d };
	uint64_t id;
	int i;

	(void)state;
	memset(name, 's', LONG_NAME_LEN);
	add_server(f, name, 1, true);
	mh_dispatch_server_limit(f->d, &server, &limit);
	for (i = 0; i < 16; i++)
		mh_usage_forward_granted(&forward, &granted, 8, name);
	mh_usage_forward_send(&forward, true);
	id = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_false(f->results[id].placed);
	mh_usage_relay_free(forward.relay);
	free_fixture(f);
}

static void on_retries(void *data, const char *account, uint64_t grantor,
		       uint64_t units, uint32_t age_ms)
{
	(void)grantor;
	(void)age_ms;
	assert_string_equal(account, MH_RETRY_USAGE_PREFIX "pool");
	*(uint64_t *)data += units;
}

/* Guards against a new dispatcher that is not told of retries of the last part of
 * the budget's window, which is longer than that of quotas. */
static void test_retries_are_reported_for_the_whole_window(void **state)
{
	struct mh_usage_relay *relay = mh_usage_relay_new(8000, 10000);
	uint64_t now_ns = 1000000 * MH_NS_PER_MS, n = 0;

	(void)state;
	mh_usage_relay_add(relay, MH_RETRY_USAGE_PREFIX "pool", 7, 30, now_ns);
	now_ns += 9500 * MH_NS_PER_MS;
	mh_usage_relay_report(relay, 8, now_ns, on_retries, &n);
	assert_int_equal(n, 30);
	now_ns += 1500 * MH_NS_PER_MS;
	mh_usage_relay_report(relay, 9, now_ns, on_retries, &n);
	assert_int_equal(n, 30);
	mh_usage_relay_free(relay);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_usage_is_reported_once_to_each_dispatcher),
		cmocka_unit_test(
			test_retries_are_reported_for_the_whole_window),
		cmocka_unit_test(test_long_names_are_kept_apart),
		cmocka_unit_test(test_sends_are_counted_by_a_long_name),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
