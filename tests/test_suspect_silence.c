/*
 * Unit tests of requests at servers that fall silent instead of breaking their
 * connections.
 */
#include "tests/suspect_fixture.h"

/* Runs the request at a server that falls silent, so that its client leaves. */
static void run_silent(struct fixture *f, uint64_t fingerprint, char server[32])
{
	uint64_t id = request_equal(f, fingerprint);

	assert_true(f->results[id].placed);
	snprintf(server, 32, "%s", f->results[id].server);
	advance_clock(f, 2000);
	end(f, id, MH_SLOT_CANCELLED);
}

/* Guards against servers that fall silent under a request, which no broken
 * connection tells of. */
static void test_request_that_silences_servers_is_refused(void **state)
{
	struct fixture *f = new_crash_fixture(9);
	char server[32];
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		run_silent(f, BAD, server);
		advance_clock(f, 2500);
		remove_server(f, server);
	}
	assert_int_equal(f->results[request_equal(f, BAD)].error,
			 MH_ERR_CRASHES_SERVERS);
	free_fixture(f);
}

/* Guards against silence alone being counted, or servers that respond again or
 * leave as planned. */
static void test_silent_servers_that_live_did_not_crash(void **state)
{
	struct fixture *f = new_crash_fixture(9);
	char server[32];
	uint64_t other;
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		run_silent(f, 7, server);
		advance_clock(f, 1000);
	}
	assert_true(runs_freely(f, 7));
	for (i = 0; i < 3; i++) {
		run_silent(f, 7, server);
		add_server(f, server, 1, false);
		remove_server(f, server);
	}
	assert_true(runs_freely(f, 7));
	free_fixture(f);
	f = new_crash_fixture(0);
	for (i = 0; i < 4; i++) {
		char name[8];

		snprintf(name, sizeof(name), "n%u", i);
		add_server(f, name, 1, true);
		other = request_equal(f, 100 + i);
		assert_true(is_at(f, other, name));
		run_silent(f, 7, server);
		assert_string_equal(server, name);
		end(f, other, MH_SLOT_OK);
		remove_server(f, name);
	}
	add_server(f, "fresh", 1, true);
	assert_true(runs_freely(f, 7));
	free_fixture(f);
}

/* Guards against a crash not counting because the entry reports the end of the
 * run after the server's registration has ended, as one that was frozen does. */
static void test_run_reported_after_its_server_is_gone_counts(void **state)
{
	static const enum mh_slot_outcome outcomes[] = {
		MH_SLOT_LOST,
		MH_SLOT_TIMED_OUT,
		MH_SLOT_LOST,
	};
	struct fixture *f = new_crash_fixture(9);
	char server[32];
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		uint64_t id = request_equal(f, BAD);

		assert_true(f->results[id].placed);
		snprintf(server, sizeof(server), "%s", f->results[id].server);
		advance_clock(f, 1500);
		remove_server(f, server);
		end(f, id, outcomes[i]);
		advance_clock(f, 1000);
	}
	assert_int_equal(f->results[request_equal(f, BAD)].error,
			 MH_ERR_CRASHES_SERVERS);
	free_fixture(f);
}

/* Guards against the same being counted at a server that left as planned. */
static void test_run_lost_after_draining_is_no_crash(void **state)
{
	struct fixture *f = new_crash_fixture(9);
	char server[32];
	uint32_t i;

	(void)state;
	for (i = 0; i < 4; i++) {
		uint64_t id = request_equal(f, BAD);

		assert_true(f->results[id].placed);
		snprintf(server, sizeof(server), "%s", f->results[id].server);
		add_server(f, server, 1, false);
		remove_server(f, server);
		end(f, id, MH_SLOT_LOST);
	}
	assert_true(runs_freely(f, BAD));
	free_fixture(f);
}

/* Guards against a run at a server that drains and goes being counted, because
 * another one holds a slot there. */
static void test_silent_run_at_a_draining_server_is_no_crash(void **state)
{
	struct fixture *f = new_crash_fixture(0);
	char server[32], name[8];
	uint64_t other;
	uint32_t i;

	(void)state;
	for (i = 0; i < 4; i++) {
		snprintf(name, sizeof(name), "d%u", i);
		add_server(f, name, 1, true);
		other = request_equal(f, 100 + i);
		assert_true(is_at(f, other, name));
		mh_dispatch_first_byte(f->d, 1, other, 5);
		advance_clock(f, 150);
		run_silent(f, 7, server);
		assert_string_equal(server, name);
		add_server(f, name, 1, false);
		remove_server(f, name);
		end(f, other, MH_SLOT_OK);
	}
	add_server(f, "fresh", 1, true);
	assert_true(runs_freely(f, 7));
	free_fixture(f);
}

/* Guards against a server that comes back under its identifier, with a new start,
 * hiding that it had gone. */
static void test_silent_server_that_restarts_counts(void **state)
{
	struct fixture *f = new_crash_fixture(0);
	char server[32];
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		add_server(f, "x", 1 + i, true);
		run_silent(f, BAD, server);
		advance_clock(f, 1000);
	}
	add_server(f, "x", 9, true);
	assert_int_equal(f->results[request_equal(f, BAD)].error,
			 MH_ERR_CRASHES_SERVERS);
	free_fixture(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_that_silences_servers_is_refused),
		cmocka_unit_test(test_silent_servers_that_live_did_not_crash),
		cmocka_unit_test(
			test_run_reported_after_its_server_is_gone_counts),
		cmocka_unit_test(test_run_lost_after_draining_is_no_crash),
		cmocka_unit_test(
			test_silent_run_at_a_draining_server_is_no_crash),
		cmocka_unit_test(test_silent_server_that_restarts_counts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
