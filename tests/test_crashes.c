/*
 * Unit tests of how dispatchers tell requests that crash servers from requests
 * that were at a server when it went down.
 */
#include "tests/dispatch_fixture.h"

/* Guards against crashes that the log can't be traced to a request from. */
static void test_lost_run_is_reported_with_its_fingerprint(void **state)
{
	struct fixture *f = new_fixture();
	struct mh_slot_request a = make_request(f, 0);

	(void)state;
	add_server(f, "x", 1, true);
	a.fingerprint = 77;
	mh_dispatch_request_slot(f->d, &a);
	request(f, 0);
	mh_dispatch_tick(f->d);
	mh_dispatch_first_byte(f->d, 1, a.id, 10);
	done(f, a.id, MH_SLOT_LOST, 20);
	assert_int_equal(f->n_lost, 1);
	assert_int_equal(f->last_lost.id, a.id);
	assert_int_equal(f->last_lost.fingerprint, 77);
	assert_int_equal(f->last_lost.outcome, MH_SLOT_LOST);
	assert_int_equal(f->last_lost.held, 1);
	assert_true(f->last_lost.answering);
	free_fixture(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_lost_run_is_reported_with_its_fingerprint),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
