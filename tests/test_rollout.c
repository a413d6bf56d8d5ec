/*
 * Unit tests of roll-outs without a dispatcher: orders, phases, bounds.
 */
#include "tests/rollout_simulation.h"

/* Guards against a change of traffic where no order is. */
static void test_without_an_order_all_versions_are_allowed(void **state)
{
	struct model *m = new_model(1);

	(void)state;
	assert_int_equal(choice(m, OLD), MH_ROLLOUT_ANY);
	assert_int_equal(choice(m, TARGET), MH_ROLLOUT_ANY);
	assert_int_equal(choice(m, NULL), MH_ROLLOUT_ANY);
	assert_int_equal(mh_rollouts_choice(NULL, SERVICE, OLD, true),
			 MH_ROLLOUT_ANY);
	mh_rollouts_granted(m->set, SERVICE, OLD);
	mh_rollouts_ended(m->set, SERVICE, OLD, 1, true, 0);
	assert_false(mh_rollouts_has_orders(m->set));
	assert_false(mh_rollouts_is_active(NULL));
	give_order(m);
	assert_int_equal(
		mh_rollouts_choice(m->set, "other service", TARGET, true),
		MH_ROLLOUT_ANY);
	free_model(m);
}

/* Guards against orders that an operator mistyped. */
static void test_malformed_orders_are_rejected(void **state)
{
	static const struct mh_rollout_order bad[] = {
		{ SERVICE, TARGET, 0 },
		{ SERVICE, TARGET, MH_ROLLOUT_DURATION_MAX_MS + 1 },
		{ SERVICE, "", 1000 },
		{ SERVICE, NULL, 1000 },
		{ "", TARGET, 1000 },
		{ NULL, TARGET, 1000 },
	};
	struct model *m = new_model(1);
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		assert_int_equal(mh_rollouts_order(m->set, &bad[i], 0),
				 MH_ROLLOUT_ORDER_REJECTED);
	assert_false(mh_rollouts_has_orders(m->set));
	give_order(m);
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		mh_rollouts_order(m->set, &bad[i], 0);
	assert_int_equal(order_of(m, TARGET, 12000),
			 MH_ROLLOUT_ORDER_UNCHANGED);
	free_model(m);
}

/* Guards against an order that begins anew when the store repeats it. */
static void test_repeated_order_changes_nothing(void **state)
{
	struct model *m = new_model(1);
	struct state before;

	(void)state;
	give_order(m);
	run_ms(m, 2000);
	before = state_of(m->set);
	assert_int_equal(order_of(m, TARGET, 12000),
			 MH_ROLLOUT_ORDER_UNCHANGED);
	assert_string_equal(before.text, state_of(m->set).text);
	assert_int_equal(run_all(m), MH_ROLLOUT_SUCCEEDED);
	assert_int_equal(order_of(m, TARGET, 12000),
			 MH_ROLLOUT_ORDER_UNCHANGED);
	assert_int_equal(phase_of(m), MH_ROLLOUT_SUCCEEDED);
	free_model(m);
}

/* Guards against requests for a target whose order was replaced. */
static void test_replaced_while_observing(void **state)
{
	struct model *m = new_model(1);

	(void)state;
	give_order(m);
	run_ms(m, 1000);
	assert_int_equal(order_of(m, "v3", 12000), MH_ROLLOUT_ORDER_ACCEPTED);
	assert_allowed(m, TARGET, false);
	assert_allowed(m, OLD, true);
	assert_allowed(m, "v3", true);
	/* An order for it makes it a target again. */
	assert_int_equal(order_of(m, TARGET, 12000), MH_ROLLOUT_ORDER_ACCEPTED);
	assert_allowed(m, TARGET, true);
	assert_allowed(m, "v3", false);
	free_model(m);
}

/* Guards against a service without any allowed version. */
static void test_replaced_while_shifting(void **state)
{
	struct model *m = new_model(1);

	(void)state;
	give_order(m);
	run_until(m, MH_ROLLOUT_SHIFTING);
	assert_int_equal(order_of(m, "v3", 12000), MH_ROLLOUT_ORDER_ACCEPTED);
	assert_int_equal(phase_of(m), MH_ROLLOUT_OBSERVING);
	assert_allowed(m, TARGET, true);
	assert_allowed(m, OLD, true);
	free_model(m);
}

/* Guards against a bad version that gets requests again. */
static void test_rolled_back_target_stays_so(void **state)
{
	struct model *m = new_model(1);

	(void)state;
	set_fails(&m->target, 1);
	assert_int_equal(run_all(m), MH_ROLLOUT_ROLLED_BACK);
	assert_int_equal(order_of(m, TARGET, 12000),
			 MH_ROLLOUT_ORDER_UNCHANGED);
	assert_int_equal(order_of(m, TARGET, 60000), MH_ROLLOUT_ORDER_ACCEPTED);
	assert_int_equal(phase_of(m), MH_ROLLOUT_ROLLED_BACK);
	assert_allowed(m, TARGET, false);
	run_ms(m, 70000);
	assert_allowed(m, TARGET, false);
	/* Not by an order for another target in itself either. */
	assert_int_equal(order_of(m, "v3", 12000), MH_ROLLOUT_ORDER_ACCEPTED);
	assert_allowed(m, TARGET, false);
	assert_int_equal(order_of(m, TARGET, 12000), MH_ROLLOUT_ORDER_ACCEPTED);
	assert_int_equal(phase_of(m), MH_ROLLOUT_OBSERVING);
	free_model(m);
}

/* Guards against requests at servers that are being stopped. */
static void test_old_versions_are_excluded_after_success(void **state)
{
	struct model *m = new_model(1);

	(void)state;
	assert_int_equal(run_all(m), MH_ROLLOUT_SUCCEEDED);
	assert_allowed(m, OLD, false);
	assert_allowed(m, TARGET, true);
	assert_allowed(m, "v9", true);
	/* The next order keeps them out. */
	assert_int_equal(order_of(m, "v3", 12000), MH_ROLLOUT_ORDER_ACCEPTED);
	assert_allowed(m, OLD, false);
	assert_allowed(m, TARGET, true);
	/* Unless it is for one of them. */
	assert_int_equal(order_of(m, OLD, 12000), MH_ROLLOUT_ORDER_ACCEPTED);
	assert_allowed(m, OLD, true);
	free_model(m);
}

/* Guards against a truncated response at an old server. */
static void test_success_waits_for_old_attempts(void **state)
{
	struct mh_rollout_in_flight list[2] = {
		{ SERVICE, OLD, 1, 5 },
		{ SERVICE, TARGET, 0, 5 },
	};
	struct model *m = new_model(1);

	(void)state;
	give_order(m);
	run_until(m, MH_ROLLOUT_SHIFTING);
	m->now_ns += 20000 * MS;
	mh_rollouts_tick(m->set, list, 2);
	m->now_ns += 20000 * MS;
	mh_rollouts_tick(m->set, list, 2);
	assert_int_equal(phase_of(m), MH_ROLLOUT_SHIFTING);
	list[0].attempts = 0;
	assert_true(mh_rollouts_tick(m->set, list, 2));
	assert_int_equal(phase_of(m), MH_ROLLOUT_SUCCEEDED);
	free_model(m);
}

/* Guards against a verdict that the store does not know of. */
static void test_success_waits_for_the_store(void **state)
{
	struct model *m = new_model(1);

	(void)state;
	give_order(m);
	run_ms(m, 1000);
	mh_rollouts_set_store(m->set, MH_ROLLOUT_STORE_DOWN);
	run_ms(m, 30000);
	assert_int_equal(phase_of(m), MH_ROLLOUT_SHIFTING);
	assert_allowed(m, OLD, false);
	mh_rollouts_set_store(m->set, MH_ROLLOUT_STORE_READ);
	run_ms(m, 100);
	assert_int_equal(phase_of(m), MH_ROLLOUT_SUCCEEDED);
	free_model(m);
}

/* Guards against a shift that a successor does not know of, and against one that
 * a slow store holds up. */
static void test_shift_waits_for_its_record(void **state)
{
	struct mh_rollout_in_flight list[2] = {
		{ SERVICE, OLD, 0, 5 },
		{ SERVICE, TARGET, 0, 5 },
	};
	struct model *m = new_model(1);

	(void)state;
	give_order(m);
	mh_rollouts_tick(m->set, list, 2);
	m->now_ns += 8000 * MS;
	mh_rollouts_tick(m->set, list, 2);
	assert_int_equal(phase_of(m), MH_ROLLOUT_SHIFTING);
	assert_allowed(m, OLD, true);
	mh_rollouts_recorded(m->set, SERVICE, "v3", MH_ROLLOUT_SHIFTING);
	mh_rollouts_recorded(m->set, SERVICE, TARGET, MH_ROLLOUT_OBSERVING);
	assert_allowed(m, OLD, true);
	m->now_ns += 1000 * MS;
	assert_allowed(m, OLD, false);
	free_model(m);
}

/* Guards against an order for a version that never starts. */
static void test_no_target_server_until_the_end(void **state)
{
	struct model *m = new_model(1);

	(void)state;
	m->target_servers = 0;
	give_order(m);
	run_ms(m, 11900);
	assert_int_equal(phase_of(m), MH_ROLLOUT_OBSERVING);
	run_ms(m, 200);
	assert_int_equal(phase_of(m), MH_ROLLOUT_ROLLED_BACK);
	assert_int_equal(m->waiting, 0);
	free_model(m);
}

/* Guards against a rollback by the clock alone: servers that come late, or that
 * are away for a while. */
static void test_late_target_servers(void **state)
{
	struct model *m = new_model(1);

	(void)state;
	m->target_servers = 0;
	give_order(m);
	run_ms(m, 11000);
	m->target_servers = 5;
	run_ms(m, 500);
	assert_int_equal(phase_of(m), MH_ROLLOUT_OBSERVING);
	m->target_servers = 0;
	run_ms(m, 2000);
	assert_int_equal(phase_of(m), MH_ROLLOUT_OBSERVING);
	m->target_servers = 5;
	assert_int_equal(run_all(m), MH_ROLLOUT_SUCCEEDED);
	free_model(m);
}

/* Guards against a service that waits for ever for servers that all stopped. */
static void test_target_servers_vanish_while_shifting(void **state)
{
	struct model *m = new_model(1);

	(void)state;
	give_order(m);
	run_until(m, MH_ROLLOUT_SHIFTING);
	m->target_servers = 0;
	run_ms(m, 3200);
	assert_int_equal(phase_of(m), MH_ROLLOUT_ROLLED_BACK);
	assert_allowed(m, OLD, true);
	free_model(m);
}

/* Guards against requests that are held up by an order for what runs already. */
static void test_order_for_the_version_of_all_servers(void **state)
{
	struct model *m = new_model(1);

	(void)state;
	m->old_servers = 0;
	give_order(m);
	step(m);
	run_ms(m, 100);
	assert_int_equal(phase_of(m), MH_ROLLOUT_SUCCEEDED);
	assert_int_equal(m->waiting, 0);
	free_model(m);
}

/* Guards against requests that may run only once being used for canaries while
 * retryable ones are there, and against a route of them that is never seen. */
static void test_retryable_requests_go_first(void **state)
{
	uint32_t n = 0, n_retryable = 0;
	struct model *m = new_model(1);
	int i;

	(void)state;
	give_order(m);
	for (i = 0; i < 2000; i++) {
		bool is_retryable = i % 2;
		bool at_target = mh_rollouts_choice(m->set, SERVICE, TARGET,
						    is_retryable) ==
				 MH_ROLLOUT_PREFERRED;

		mh_rollouts_granted(m->set, SERVICE, at_target ? TARGET : OLD);
		if (i < 100)
			continue;
		n += at_target;
		n_retryable += at_target && is_retryable;
	}
	assert_true(n_retryable * 2 > n);
	assert_true(n_retryable < n);
	/* Without others they are not held up. */
	m->now_ns += 2000 * MS;
	n = 0;
	for (i = 0; i < 200; i++) {
		n += mh_rollouts_choice(m->set, SERVICE, TARGET, false) ==
		     MH_ROLLOUT_PREFERRED;
		mh_rollouts_granted(m->set, SERVICE, OLD);
	}
	assert_true(n > 0);
	free_model(m);
}

static void test_names_of_phases(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < MH_ROLLOUT_PHASES; i++)
		assert_int_equal(mh_rollout_phase_parse(mh_rollout_phase_name(
					 (enum mh_rollout_phase)i)),
				 i);
	assert_int_equal(mh_rollout_phase_parse("running"), MH_ROLLOUT_NONE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_without_an_order_all_versions_are_allowed),
		cmocka_unit_test(test_malformed_orders_are_rejected),
		cmocka_unit_test(test_repeated_order_changes_nothing),
		cmocka_unit_test(test_replaced_while_observing),
		cmocka_unit_test(test_replaced_while_shifting),
		cmocka_unit_test(test_rolled_back_target_stays_so),
		cmocka_unit_test(test_old_versions_are_excluded_after_success),
		cmocka_unit_test(test_success_waits_for_old_attempts),
		cmocka_unit_test(test_success_waits_for_the_store),
		cmocka_unit_test(test_shift_waits_for_its_record),
		cmocka_unit_test(test_no_target_server_until_the_end),
		cmocka_unit_test(test_late_target_servers),
		cmocka_unit_test(test_target_servers_vanish_while_shifting),
		cmocka_unit_test(test_order_for_the_version_of_all_servers),
		cmocka_unit_test(test_retryable_requests_go_first),
		cmocka_unit_test(test_names_of_phases),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
