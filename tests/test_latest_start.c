/*
 * Unit tests of the latest start: under overload requests get their slots close to
 * it, so that it has to leave room for runs that take longer than the mean.
 */
#include "tests/dispatch_fixture.h"

#include "core/quantile.h"

/* One of five runs takes longer. */
static uint32_t run_ms(int i)
{
	return i % 5 == 4 ? 70 : 20;
}

static struct fixture *new_measured_fixture(double percentile)
{
	struct mh_dispatch_conf with = conf;
	struct fixture *f = new_fixture();
	int i;

	with.latest_start_percentile = percentile;
	mh_dispatch_set_conf(f->d, &with);
	add_server(f, "a", 1, true);
	for (i = 0; i < 800; i++) {
		uint64_t id = request(f, 0);

		advance_clock(f, 0);
		assert_true(f->results[id].placed);
		advance_clock(f, run_ms(i));
		done(f, id, MH_SLOT_OK, run_ms(i));
	}
	return f;
}

/* Return: whether a request that has waited for @waited_ms of its 100 ms goes before
 * one that has just come. */
static bool goes_first(struct fixture *f, uint64_t waited_ms)
{
	uint64_t running[2], old, fresh;
	int i;

	for (i = 0; i < 2; i++)
		running[i] = request(f, 0);
	advance_clock(f, 0);
	old = request(f, 1);
	advance_clock(f, waited_ms);
	fresh = request(f, 1);
	done(f, running[0], MH_SLOT_OK, 20);
	assert_true(f->results[old].placed != f->results[fresh].placed);
	return f->results[old].placed;
}

/* Lasting overload: a request that a run of one of five would make late no longer
 * keeps others from meeting their target. */
static void test_latest_start_leaves_room_for_slow_runs(void **state)
{
	struct fixture *f = new_measured_fixture(95);

	(void)state;
	assert_false(goes_first(f, 45));
	free_fixture(f);
	/* The mean is about 30 ms. */
	f = new_measured_fixture(0);
	assert_true(goes_first(f, 45));
	free_fixture(f);
}

/* In calm a request that has just come is timely, however slow some runs are. */
static void test_no_request_is_late_at_once(void **state)
{
	struct fixture *f = new_measured_fixture(80);

	(void)state;
	assert_true(goes_first(f, 10));
	free_fixture(f);
}

/* A service that turns slow, and quick again: the estimate follows. */
static void test_percentile_follows_the_load(void **state)
{
	struct mh_quantile q = { 20 };
	int i;

	(void)state;
	for (i = 0; i < 1000; i++)
		mh_quantile_add(&q, 0.9, i % 100);
	assert_in_range(q.value, 70, 110);
	for (i = 0; i < 300; i++)
		mh_quantile_add(&q, 0.9, 1000 + i % 100);
	assert_in_range(q.value, 900, 1200);
	for (i = 0; i < 3000; i++)
		mh_quantile_add(&q, 0.9, i % 100);
	assert_in_range(q.value, 70, 110);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_latest_start_leaves_room_for_slow_runs),
		cmocka_unit_test(test_no_request_is_late_at_once),
		cmocka_unit_test(test_percentile_follows_the_load),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
