/*
 * Unit tests of how dispatchers tell requests that crash servers from requests
 * that were at a server when it went down.
 */
#include "tests/suspect_fixture.h"

/* Sends the bad request until it is refused. Return: servers that ran it. */
static uint32_t count_servers_of_bad(struct fixture *f, uint32_t most)
{
	uint32_t n;

	for (n = 0; n < most; n++) {
		uint64_t id = request_equal(f, BAD);

		if (f->results[id].refused) {
			assert_int_equal(f->results[id].error,
					 MH_ERR_CRASHES_SERVERS);
			return n;
		}
		assert_true(f->results[id].placed);
		crash_server(f, f->results[id].server);
	}
	return n;
}

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
	assert_int_equal(f->last_lost.verdict, MH_LOST_COUNTED);
	assert_int_equal(f->last_lost.held, 1);
	assert_true(f->last_lost.answering);
	free_fixture(f);
}

/* ---- requests that crash servers ---- */

/* Guards against crashes that aren't counted because the run's end is reported
 * before a connection to the server is refused (incident BUDGET). */
static void test_request_lost_before_its_server_is_refused(void **state)
{
	struct fixture *f = new_crash_fixture(9);

	(void)state;
	assert_int_equal(count_servers_of_bad(f, 10), 3);
	free_fixture(f);
}

static void test_request_that_crashes_servers_is_refused(void **state)
{
	struct fixture *f = new_fixture();
	char name[8];
	int i;

	(void)state;
	for (i = 0; i < 4; i++) {
		struct mh_slot_request bad = make_request(f, 0), next_req;

		bad.fingerprint = 99;
		snprintf(name, sizeof(name), "s%d", i);
		add_server(f, name, 1, true);
		mh_dispatch_request_slot(f->d, &bad);
		mh_dispatch_tick(f->d);
		if (i == 3) {
			assert_true(f->results[bad.id].refused);
			assert_int_equal(f->results[bad.id].error,
					 MH_ERR_CRASHES_SERVERS);
			break;
		}
		assert_true(f->results[bad.id].placed);
		next_req = make_request(f, 0);
		mh_dispatch_request_slot(f->d, &next_req);
		mh_dispatch_tick(f->d);
		/* The server is down: connections fail, and the run is lost. */
		done(f, next_req.id, MH_SLOT_UNREACHABLE, 0);
		done(f, bad.id, MH_SLOT_LOST, 10);
		add_server(f, name, 1, false);
	}
	free_fixture(f);
}

/* Guards against runs that aren't counted because the head of their response
 * was sent before the crash. */
static void test_request_that_crashes_while_responding_is_refused(void **state)
{
	struct fixture *f = new_crash_fixture(9);
	uint32_t n;

	(void)state;
	for (n = 0; n < 10; n++) {
		uint64_t id = request_equal(f, BAD);

		if (f->results[id].refused)
			break;
		advance_clock(f, 10);
		mh_dispatch_first_byte(f->d, 1, id, 10);
		advance_clock(f, 10);
		crash_server(f, f->results[id].server);
	}
	assert_int_equal(n, 3);
	free_fixture(f);
}

/* Guards against crashes that don't count because the server is the same. */
static void test_server_that_comes_back_under_its_id_counts_again(void **state)
{
	struct fixture *f = new_crash_fixture(1);
	uint32_t n;

	(void)state;
	for (n = 0; n < 10; n++) {
		uint64_t id = request_equal(f, BAD);

		if (f->results[id].refused)
			break;
		assert_true(f->results[id].placed);
		end(f, id, MH_SLOT_LOST);
		/* Back within 300 ms; it has served another request since. */
		advance_clock(f, 300);
		id = request_equal(f, 1);
		assert_true(f->results[id].placed);
		advance_clock(f, 10);
		end(f, id, MH_SLOT_OK);
		advance_clock(f, 500);
	}
	assert_int_equal(n, 3);
	free_fixture(f);
}

/* Guards against copies that get a slot after the third crash because they
 * waited for one before. */
static void test_waiting_copies_are_refused_after_the_last_crash(void **state)
{
	struct fixture *f = new_crash_fixture(1);
	uint64_t copies[12], id;
	uint32_t i, ran = 0, refused = 0;
	char name[8];

	(void)state;
	for (i = 0; i < SLOTS - 1; i++)
		request(f, 0);
	mh_dispatch_tick(f->d);
	for (i = 0; i < 12; i++)
		copies[i] = request_equal(f, BAD);
	assert_true(f->results[copies[0]].placed);
	assert_false(f->results[copies[1]].placed);
	for (i = 0; i < 9; i++) {
		snprintf(name, sizeof(name), "n%u", i);
		add_server(f, name, 1, true);
	}
	for (i = 0; i < 12; i++) {
		for (id = copies[0]; id <= copies[11]; id++) {
			if (!f->results[id].placed || f->results[id].ended)
				continue;
			ran++;
			crash_server(f, f->results[id].server);
		}
	}
	assert_int_equal(ran, 3);
	for (i = 0; i < 12; i++)
		refused +=
			f->results[copies[i]].error == MH_ERR_CRASHES_SERVERS;
	assert_int_equal(refused, 9);
	free_fixture(f);
}

/* Guards against copies that crash many servers at once before the third crash
 * is known: after the first one, one runs at a time. */
static void test_copies_of_a_suspect_run_one_at_a_time(void **state)
{
	struct fixture *f = new_crash_fixture(9);
	uint32_t i, placed = 0;
	uint64_t id, copies[5];

	(void)state;
	id = request_equal(f, BAD);
	crash_server(f, f->results[id].server);
	for (i = 0; i < 5; i++) {
		copies[i] = request_equal(f, BAD);
		placed += f->results[copies[i]].placed;
	}
	assert_int_equal(placed, 1);
	crash_server(f, f->results[copies[0]].server);
	for (i = 1, placed = 0; i < 5; i++)
		placed += f->results[copies[i]].placed;
	assert_int_equal(placed, 1);
	for (i = 1; i < 5; i++) {
		if (f->results[copies[i]].placed)
			crash_server(f, f->results[copies[i]].server);
	}
	for (i = 1, placed = 0; i < 5; i++)
		placed += f->results[copies[i]].placed;
	assert_int_equal(placed, 1);
	free_fixture(f);
}

/* Guards against a request that comes back after a pause of its own and crashes
 * three more servers. */
static void test_request_stays_refused_while_it_keeps_coming(void **state)
{
	struct fixture *f = new_crash_fixture(9);
	uint32_t i;

	(void)state;
	assert_int_equal(count_servers_of_bad(f, 10), 3);
	for (i = 0; i < 100; i++) {
		uint64_t id;

		advance_clock(f, 50000);
		id = request_equal(f, BAD);
		assert_true(f->results[id].refused);
	}
	/* It did not come for ten minutes: it is tried again. */
	advance_clock(f, 601000);
	assert_int_equal(count_servers_of_bad(f, 10), 3);
	free_fixture(f);
}

/* Guards against a run whose dispatcher was replaced while it ran. */
static void test_adopted_run_is_counted(void **state)
{
	struct fixture *f = new_crash_fixture(9);
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		struct mh_slot_request a = make_request(f, 0);
		char name[8];

		advance_clock(f, 200);
		a.fingerprint = BAD;
		snprintf(name, sizeof(name), "s%u", i);
		mh_dispatch_adopt_slot(f->d, &a, name, 50);
		done(f, a.id, MH_SLOT_LOST, 60);
	}
	assert_true(f->results[request_equal(f, BAD)].refused);
	free_fixture(f);
}

static uint64_t fingerprint(const char *account, const char *method,
			    const char *target, const char *body)
{
	uint64_t h = mh_fingerprint_add(0, account, strlen(account));

	h = mh_fingerprint_add(h, method, strlen(method));
	h = mh_fingerprint_add(h, target, strlen(target));
	return mh_fingerprint_add(h, body, strlen(body));
}

/* Guards against different requests that share a fingerprint. */
static void test_fingerprint_tells_all_parts_apart(void **state)
{
	uint64_t a = fingerprint("x", "GET", "/a", "");

	(void)state;
	assert_true(a == fingerprint("x", "GET", "/a", ""));
	assert_true(a != fingerprint("y", "GET", "/a", ""));
	assert_true(a != fingerprint("x", "PUT", "/a", ""));
	assert_true(a != fingerprint("x", "GET", "/b", ""));
	assert_true(a != fingerprint("x", "GET", "/a", "b"));
	assert_true(fingerprint("x", "GET", "/ab", "c") !=
		    fingerprint("x", "GET", "/a", "bc"));
	assert_true(fingerprint("", "", "", "") != 0);
}

/* ---- proper requests at servers that go down ---- */

/* Guards against proper requests that are refused because they were at servers
 * beside a request that crashes them. */
static void test_requests_beside_the_crashing_one_are_served(void **state)
{
	struct fixture *f = new_crash_fixture(9);
	uint64_t bad, ids[30], i;
	uint32_t ran, round;

	(void)state;
	for (i = 0; i < 30; i++)
		ids[i] = request_equal(f, 1000 + i);
	for (ran = 0; ran < 10; ran++) {
		bad = request_equal(f, BAD);
		if (f->results[bad].refused)
			break;
		crash_server(f, f->results[bad].server);
		/* What was lost beside it is sent again at once. */
		for (i = 0; i < 30; i++) {
			if (f->results[ids[i]].ended)
				ids[i] = request_equal(f, 1000 + i);
			assert_false(f->results[ids[i]].refused);
		}
	}
	assert_int_equal(ran, 3);
	for (round = 0; round < 2; round++) {
		for (i = 0; i < 30; i++) {
			assert_true(f->results[ids[i]].placed);
			end(f, ids[i], MH_SLOT_OK);
			ids[i] = request_equal(f, 1000 + i);
		}
	}
	assert_true(f->results[request_equal(f, BAD)].refused);
	free_fixture(f);
}

/* The only server serves again, so that it gets more than one run at a time. */
static void recover_server(struct fixture *f)
{
	uint64_t id;

	advance_clock(f, 2000);
	id = request_equal(f, 0);
	assert_true(f->results[id].placed);
	advance_clock(f, 10);
	end(f, id, MH_SLOT_OK);
}

/* Guards against requests that become suspects because a known one was at the
 * same server, whichever loss is reported first. */
static void test_known_suspect_takes_the_blame(void **state)
{
	struct fixture *f = new_crash_fixture(1);
	uint64_t before, after, bad;

	(void)state;
	bad = request_equal(f, BAD);
	end(f, bad, MH_SLOT_LOST);
	recover_server(f);
	before = request_equal(f, 5);
	after = request_equal(f, 6);
	bad = request_equal(f, BAD);
	assert_true(f->results[bad].placed);
	advance_clock(f, 5);
	end(f, before, MH_SLOT_LOST);
	end(f, bad, MH_SLOT_LOST);
	end(f, after, MH_SLOT_LOST);
	assert_int_equal(f->last_lost.verdict, MH_LOST_BESIDE);
	add_server(f, "fresh", 1, true);
	assert_true(runs_freely(f, 5));
	assert_true(runs_freely(f, 6));
	assert_false(runs_freely(f, BAD));
	free_fixture(f);
}

/* Guards against a proper request that was lost with each server beside the bad
 * one, because both were sent on to the same server. */
static void test_suspect_lost_twice_is_kept_apart(void **state)
{
	struct fixture *f = new_crash_fixture(1);
	uint64_t bad = request_equal(f, BAD), good = request_equal(f, 5);

	(void)state;
	end(f, bad, MH_SLOT_LOST);
	end(f, good, MH_SLOT_LOST);
	recover_server(f);
	bad = request_equal(f, BAD);
	end(f, bad, MH_SLOT_LOST);
	recover_server(f);
	good = request_equal(f, 5);
	assert_true(f->results[good].placed);
	bad = request_equal(f, BAD);
	assert_false(f->results[bad].placed);
	/* It waits for the other one's response only. */
	mh_dispatch_first_byte(f->d, 1, good, 5);
	advance_clock(f, 150);
	assert_true(f->results[bad].placed);
	free_fixture(f);
}

/* Guards against proper requests that were lost with a server being sent to it
 * again first, because nothing else runs there. */
static void test_suspect_prefers_a_server_that_is_up(void **state)
{
	struct fixture *f = new_crash_fixture(2);
	uint64_t lost, probe, other, again;
	char down[32];

	(void)state;
	lost = request_equal(f, 5);
	snprintf(down, sizeof(down), "%s", f->results[lost].server);
	end(f, lost, MH_SLOT_LOST);
	advance_clock(f, 300);
	/* The other server runs something; this one may be tried again. */
	do {
		other = request_equal(f, 0);
		assert_true(f->results[other].placed);
	} while (is_at(f, other, down));
	for (probe = 0; probe < other; probe++) {
		if (is_at(f, probe, down))
			end(f, probe, MH_SLOT_UNREACHABLE);
	}
	mh_dispatch_first_byte(f->d, 1, other, 5);
	advance_clock(f, 1300);
	again = request_equal(f, 5);
	assert_true(f->results[again].placed);
	assert_string_not_equal(f->results[again].server, down);
	free_fixture(f);
}

/* Guards against a content that was served until several servers went down at
 * once, and one more a moment later. */
static void test_equal_request_that_ended_well_before_counts(void **state)
{
	struct fixture *f = new_crash_fixture(4);
	uint64_t ids[4];
	uint32_t i;

	(void)state;
	end(f, request_equal(f, 7), MH_SLOT_OK);
	for (i = 0; i < 4; i++)
		ids[i] = request_equal(f, 7);
	advance_clock(f, 10);
	for (i = 0; i < 4; i++) {
		end(f, ids[i], MH_SLOT_LOST);
		assert_int_equal(f->last_lost.verdict, MH_LOST_SUCCEEDED);
		advance_clock(f, 300);
	}
	add_server(f, "fresh", 1, true);
	assert_true(runs_freely(f, 7));
	free_fixture(f);
}

/* Guards against open requests of a server that is cut off being counted once
 * for each connection that can't be opened (day reborn, seed 13). */
static void test_unreachable_server_is_no_crash(void **state)
{
	struct fixture *f = new_crash_fixture(1);
	uint64_t open, ids[SLOTS - 1];
	uint32_t i;

	(void)state;
	open = request_equal(f, 5);
	for (i = 0; i < SLOTS - 1; i++)
		ids[i] = request_equal(f, 6);
	advance_clock(f, 350);
	for (i = 0; i < SLOTS - 1; i++)
		end(f, ids[i], MH_SLOT_UNREACHABLE);
	end(f, open, MH_SLOT_TIMED_OUT);
	add_server(f, "fresh", 1, true);
	for (i = 5; i <= 6; i++)
		assert_false(f->results[request_equal(f, i)].refused);
	free_fixture(f);
}

/* Guards against requests that many clients send at the same time being refused
 * because several servers go down at once (srv_crash domain). */
static void test_servers_that_go_down_at_once_refuse_no_request(void **state)
{
	struct fixture *f = new_crash_fixture(6);
	uint64_t ids[6], id, i;

	(void)state;
	for (i = 0; i < 6; i++)
		ids[i] = request_equal(f, 7);
	advance_clock(f, 10);
	for (i = 0; i < 6; i++) {
		f->results[ids[i]].ended = true;
		mh_dispatch_done(f->d, 1, ids[i], MH_SLOT_LOST, 10);
	}
	for (i = 0; i < 6; i++) {
		char name[8];

		snprintf(name, sizeof(name), "s%u", (uint32_t)i);
		add_server(f, name, 1, false);
	}
	add_server(f, "fresh", 1, true);
	for (i = 0; i < 6; i++) {
		id = request_equal(f, 7);
		assert_true(f->results[id].placed);
		advance_clock(f, 10);
		end(f, id, MH_SLOT_OK);
	}
	free_fixture(f);
}

/* Guards against a content that many callers ask for being refused because some
 * of its requests are at each server that crashes. */
static void test_equal_request_that_ended_well_clears(void **state)
{
	struct fixture *f = new_crash_fixture(9);
	uint32_t i;

	(void)state;
	for (i = 0; i < 20; i++) {
		uint64_t lost = request_equal(f, 7), well;

		assert_true(f->results[lost].placed);
		crash_server(f, f->results[lost].server);
		well = request_equal(f, 7);
		assert_true(f->results[well].placed);
		advance_clock(f, 10);
		end(f, well, MH_SLOT_OK);
	}
	free_fixture(f);
}

/* Guards against lost responses of live servers being counted as crashes: a run
 * that began before is responded to afterwards. */
static void test_server_that_survives_did_not_crash(void **state)
{
	struct fixture *f = new_crash_fixture(4);
	uint64_t others[4], id;
	uint32_t i, n;

	(void)state;
	for (n = 0; n < 10; n++) {
		for (i = 0; i < 4; i++)
			others[i] = request_equal(f, 1000 + 4 * n + i);
		id = request_equal(f, 7);
		assert_true(f->results[id].placed);
		advance_clock(f, 10);
		end(f, id, MH_SLOT_LOST);
		advance_clock(f, 600);
		for (i = 0; i < 4; i++)
			end(f, others[i], MH_SLOT_OK);
		advance_clock(f, 100);
	}
	free_fixture(f);
}

/* The same if nothing else ran there: the server accepts a new connection. */
static void test_server_that_accepts_connections_did_not_crash(void **state)
{
	struct fixture *f = new_crash_fixture(4);
	uint32_t n;

	(void)state;
	for (n = 0; n < 10; n++) {
		uint64_t id = request_equal(f, 7);

		assert_true(f->results[id].placed);
		end(f, id, MH_SLOT_LOST);
		advance_clock(f, 2);
		mh_dispatch_server_probed(f->d, f->results[id].server);
		advance_clock(f, 1000);
	}
	free_fixture(f);
}

/* Guards against runs that a draining server ends being counted as crashes. */
static void test_end_of_a_draining_server_is_no_crash(void **state)
{
	struct fixture *f = new_crash_fixture(1);
	char name[8] = "s0", next[8];
	uint32_t n;

	(void)state;
	for (n = 0; n < 6; n++) {
		uint64_t id = request_equal(f, 7);

		assert_true(is_at(f, id, name));
		snprintf(next, sizeof(next), "n%u", n);
		add_server(f, next, 1, true);
		add_server(f, name, 1, false);
		end(f, id, MH_SLOT_LOST);
		assert_int_equal(f->last_lost.verdict, MH_LOST_LEAVING);
		memcpy(name, next, sizeof(name));
		advance_clock(f, 100);
	}
	free_fixture(f);
}

/* Guards against invalid responses being counted as crashes. */
static void test_invalid_response_is_no_crash(void **state)
{
	struct fixture *f = new_crash_fixture(9);
	uint32_t n;

	(void)state;
	for (n = 0; n < 6; n++) {
		uint64_t id = request_equal(f, 7);

		assert_true(f->results[id].placed);
		end(f, id, MH_SLOT_CORRUPT);
		advance_clock(f, 1000);
	}
	free_fixture(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_lost_run_is_reported_with_its_fingerprint),
		cmocka_unit_test(
			test_request_lost_before_its_server_is_refused),
		cmocka_unit_test(test_request_that_crashes_servers_is_refused),
		cmocka_unit_test(
			test_request_that_crashes_while_responding_is_refused),
		cmocka_unit_test(
			test_server_that_comes_back_under_its_id_counts_again),
		cmocka_unit_test(
			test_waiting_copies_are_refused_after_the_last_crash),
		cmocka_unit_test(test_copies_of_a_suspect_run_one_at_a_time),
		cmocka_unit_test(
			test_request_stays_refused_while_it_keeps_coming),
		cmocka_unit_test(test_adopted_run_is_counted),
		cmocka_unit_test(test_fingerprint_tells_all_parts_apart),
		cmocka_unit_test(
			test_requests_beside_the_crashing_one_are_served),
		cmocka_unit_test(test_known_suspect_takes_the_blame),
		cmocka_unit_test(test_suspect_lost_twice_is_kept_apart),
		cmocka_unit_test(test_suspect_prefers_a_server_that_is_up),
		cmocka_unit_test(
			test_equal_request_that_ended_well_before_counts),
		cmocka_unit_test(test_unreachable_server_is_no_crash),
		cmocka_unit_test(
			test_servers_that_go_down_at_once_refuse_no_request),
		cmocka_unit_test(test_equal_request_that_ended_well_clears),
		cmocka_unit_test(test_server_that_survives_did_not_crash),
		cmocka_unit_test(
			test_server_that_accepts_connections_did_not_crash),
		cmocka_unit_test(test_end_of_a_draining_server_is_no_crash),
		cmocka_unit_test(test_invalid_response_is_no_crash),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
