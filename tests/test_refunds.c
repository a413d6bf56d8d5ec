/*
 * Unit tests of units that an account was charged and did not use: requests that
 * their servers turned away, or whose slot was not used.
 */
#include "core/sliding_window.h"
#include "core/usage_relay.h"
#include "tests/dispatch_fixture.h"

/* Requests that don't run, one after the other: all get a slot. */
static void assert_refunded(int n, uint64_t held_ms, uint64_t gap_ms,
			    enum mh_slot_outcome outcome)
{
	struct fixture *f = new_fixture();
	int i;

	add_server(f, "a", 1, true);
	mh_dispatch_set_quota(f->d, "x", 100, 200);
	for (i = 0; i < n; i++) {
		struct mh_slot_request a = make_request(f, 0);

		a.account = "x";
		a.units = 100;
		mh_dispatch_request_slot(f->d, &a);
		mh_dispatch_tick(f->d);
		assert_true(f->results[a.id].placed);
		advance_clock(f, held_ms);
		done(f, a.id, outcome, 0);
		f->now_ns += gap_ms * MS;
	}
	free_fixture(f);
}

static void test_units_of_an_unused_slot_are_refunded(void **state)
{
	(void)state;
	assert_refunded(50, 0, 1500, MH_SLOT_UNREACHABLE);
}

/* Guards against an account that is refused although it uses nothing: a unit was
 * taken from the bucket after the one that it was counted in, if a new bucket had
 * begun since. */
static void test_refund_takes_units_where_they_were_counted(void **state)
{
	(void)state;
	assert_refunded(1000, 37, 0, MH_SLOT_UNUSED);
}

static void test_refund_of_units_that_left_the_window(void **state)
{
	struct mh_usage u;

	(void)state;
	mh_usage_init(&u, 8000);
	mh_usage_add(&u, 5, 0, 100000 * MS);
	mh_usage_add(&u, 7, 0, 109000 * MS);
	mh_usage_refund(&u, 5, 100000 * MS, 109000 * MS);
	assert_int_equal(mh_usage_sum(&u, 109000 * MS), 7);
	mh_usage_refund(&u, 9, 109000 * MS, 109100 * MS);
	assert_int_equal(mh_usage_sum(&u, 109100 * MS), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_units_of_an_unused_slot_are_refunded),
		cmocka_unit_test(
			test_refund_takes_units_where_they_were_counted),
		cmocka_unit_test(test_refund_of_units_that_left_the_window),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
