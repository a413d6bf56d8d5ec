/* Suspects whose runs ended with their connection, in order: whole, or cut by a
 * crash where nothing in the bytes shows it. */
#include "tests/suspect_fixture.h"

/* Lets a request equal to others run and end so. Return: its server. */
static const char *run_unproven(struct fixture *f, uint64_t fingerprint)
{
	uint64_t id = request_equal(f, fingerprint);

	assert_true(f->results[id].placed);
	mh_dispatch_first_byte(f->d, 1, id, 5);
	advance_clock(f, 20);
	end(f, id, MH_SLOT_UNPROVEN);
	return f->results[id].server;
}

/* Guards against a request that crashes servers where its response could have
 * ended being cleared by that end. */
static void test_unproven_end_at_a_server_that_goes_counts(void **state)
{
	struct fixture *f = new_crash_fixture(9);
	char server[32];
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		snprintf(server, sizeof(server), "%s", run_unproven(f, BAD));
		advance_clock(f, 1000);
		remove_server(f, server);
		advance_clock(f, 1000);
	}
	assert_int_equal(f->results[request_equal(f, BAD)].error,
			 MH_ERR_CRASHES_SERVERS);
	free_fixture(f);
}

/* Guards against such an end clearing a suspect by itself. */
static void test_unproven_end_clears_nothing(void **state)
{
	struct fixture *f = new_crash_fixture(9);
	char server[32];
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		uint64_t id = request_equal(f, BAD);

		snprintf(server, sizeof(server), "%s", f->results[id].server);
		end(f, id, MH_SLOT_LOST);
		remove_server(f, server);
		advance_clock(f, 600);
		if (i == 1)
			run_unproven(f, BAD);
		advance_clock(f, 600);
	}
	assert_int_equal(f->results[request_equal(f, BAD)].error,
			 MH_ERR_CRASHES_SERVERS);
	free_fixture(f);
}

/* Guards against proper requests being refused because their servers send no
 * framing and end later by another cause, or as planned. */
static void test_unproven_end_at_a_server_that_lives_clears(void **state)
{
	struct fixture *f = new_crash_fixture(0);
	char name[8];
	uint32_t i;

	(void)state;
	for (i = 0; i < 4; i++) {
		uint64_t id;

		snprintf(name, sizeof(name), "s%u", i);
		add_server(f, name, 1, true);
		run_unproven(f, 7);
		advance_clock(f, 1);
		id = request_equal(f, 100);
		mh_dispatch_first_byte(f->d, 1, id, 5);
		end(f, id, MH_SLOT_OK);
		remove_server(f, name);
	}
	for (; i < 8; i++) {
		uint64_t other;

		snprintf(name, sizeof(name), "s%u", i);
		add_server(f, name, 1, true);
		other = request_equal(f, 200 + i);
		mh_dispatch_first_byte(f->d, 1, other, 5);
		advance_clock(f, 150);
		run_unproven(f, 8);
		add_server(f, name, 1, false);
		remove_server(f, name);
		end(f, other, MH_SLOT_OK);
	}
	add_server(f, "fresh", 1, true);
	assert_true(runs_freely(f, 7));
	assert_true(runs_freely(f, 8));
	free_fixture(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_unproven_end_at_a_server_that_goes_counts),
		cmocka_unit_test(test_unproven_end_clears_nothing),
		cmocka_unit_test(
			test_unproven_end_at_a_server_that_lives_clears),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
