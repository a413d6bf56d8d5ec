/*
 * Unit tests of the dispatcher: order of service, refusals, and what it learns
 * about servers.
 */
#include "tests/dispatch_fixture.h"
#include "core/dispatch_view.h"

/* ---- order of service ---- */

static void test_routine_burst_waits_behind_urgent_request(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t first, routine[6], urgent;
	int i;

	(void)state;
	add_server(f, "a", 1, true);
	first = request(f, 0);
	request(f, 0);
	mh_dispatch_tick(f->d);
	for (i = 0; i < 6; i++)
		routine[i] = request(f, 2);
	mh_dispatch_tick(f->d);
	urgent = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_false(f->results[urgent].placed);
	done(f, first, MH_SLOT_OK, 10);
	assert_true(f->results[urgent].placed);
	for (i = 0; i < 6; i++)
		assert_false(f->results[routine[i]].placed);
	free_fixture(f);
}

static void test_late_requests_wait_behind_timely_ones(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t running, other, late, timely;

	(void)state;
	add_server(f, "a", 1, true);
	running = request(f, 0);
	other = request(f, 0);
	mh_dispatch_tick(f->d);
	late = request(f, 1);
	advance_clock(f, 150);
	timely = request(f, 1);
	mh_dispatch_tick(f->d);
	done(f, running, MH_SLOT_OK, 150);
	assert_true(f->results[timely].placed);
	assert_false(f->results[late].placed);
	done(f, other, MH_SLOT_OK, 150);
	assert_true(f->results[late].placed);
	free_fixture(f);
}

static void test_account_tier_precedes_route_tier(void **state)
{
	struct mh_client_account high = { .has_tier = true, .tier = 0 };
	struct mh_client_account low = { .has_tier = true, .tier = 1 };
	struct mh_client_account plain = { 0 };
	struct mh_route urgent = { .tier = 0 }, routine = { .tier = 2 };
	struct mh_route far = { .tier = 200 };

	(void)state;
	assert_true(mh_dispatch_tier(&high, &routine) <
		    mh_dispatch_tier(&low, &urgent));
	assert_true(mh_dispatch_tier(&low, &urgent) <
		    mh_dispatch_tier(&low, &routine));
	assert_true(mh_dispatch_tier(&plain, &urgent) <
		    mh_dispatch_tier(&plain, &routine));
	assert_true(mh_dispatch_tier(NULL, &far) < MH_TIERS - 1);
}

/* ---- refusals ---- */

static void test_unservable_requests_are_refused_at_once(void **state)
{
	struct fixture *f = new_fixture();
	uint32_t i, refused = 0, refused_late = 0;
	uint64_t ids[400], start;

	(void)state;
	add_server(f, "a", 1, true);
	start = f->now_ns;
	/* Two slots with runs of 20 ms serve 100 requests within 1 s. */
	for (i = 0; i < 400; i++)
		ids[i] = request(f, 1);
	mh_dispatch_tick(f->d);
	for (i = 0; i < 400; i++) {
		struct slot_result *a = &f->results[ids[i]];

		if (!a->refused)
			continue;
		refused++;
		/* Late: after an eighth of the target latency of 100 ms. */
		if (a->at_ns > start + 12 * MS)
			refused_late++;
		assert_int_equal(a->error, MH_ERR_OVERLOADED);
		assert_true(a->retry_ms >= 150);
	}
	assert_in_range(refused, 280, 320);
	assert_int_equal(refused_late, 0);
	free_fixture(f);
}

static void test_urgent_burst_refuses_waiting_routine_request(void **state)
{
	struct fixture *f = new_fixture();
	struct mh_slot_request routine;
	int i;

	(void)state;
	add_server(f, "a", 1, true);
	request(f, 0);
	request(f, 0);
	mh_dispatch_tick(f->d);
	routine = make_request(f, 2);
	routine.deadline_ns = f->now_ns + 500 * MS;
	mh_dispatch_request_slot(f->d, &routine);
	mh_dispatch_tick(f->d);
	assert_false(f->results[routine.id].refused);
	/* 60 urgent ones of 20 ms occupy both slots for 600 ms. */
	for (i = 0; i < 60; i++)
		request(f, 0);
	mh_dispatch_tick(f->d);
	assert_true(f->results[routine.id].refused);
	free_fixture(f);
}

static void test_no_refusal_while_slots_are_free(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t ids[4];
	int i;

	(void)state;
	add_server(f, "a", 1, true);
	add_server(f, "b", 1, true);
	for (i = 0; i < 4; i++)
		ids[i] = request(f, 2);
	mh_dispatch_tick(f->d);
	for (i = 0; i < 4; i++)
		assert_true(f->results[ids[i]].placed);
	free_fixture(f);
}

static void test_waiting_request_is_refused_at_its_start_by_time(void **state)
{
	struct fixture *f = new_fixture();
	struct mh_slot_request a;

	(void)state;
	add_server(f, "a", 1, true);
	request(f, 0);
	request(f, 0);
	mh_dispatch_tick(f->d);
	a = make_request(f, 1);
	a.deadline_ns = f->now_ns + 10000 * MS;
	a.start_by_ns = f->now_ns + 300 * MS;
	mh_dispatch_request_slot(f->d, &a);
	mh_dispatch_tick(f->d);
	assert_false(f->results[a.id].refused);
	advance_clock(f, 301);
	assert_true(f->results[a.id].refused);
	free_fixture(f);
}

static void test_waiting_request_can_be_withdrawn(void **state)
{
	struct fixture *f = new_fixture();
	struct mh_dispatch_view view;
	uint64_t id;

	(void)state;
	add_server(f, "a", 1, true);
	request(f, 0);
	request(f, 0);
	id = request(f, 0);
	mh_dispatch_tick(f->d);
	mh_dispatch_view(f->d, SERVICE, &view);
	assert_int_equal(view.waiting[0], 1);
	done(f, id, MH_SLOT_UNUSED, 0);
	mh_dispatch_view(f->d, SERVICE, &view);
	assert_int_equal(view.waiting[0], 0);
	assert_int_equal(view.held, 2);
	free_fixture(f);
}

/* ---- servers ---- */

static void test_slow_server_gets_fewer_requests(void **state)
{
	struct fixture *f = new_fixture();
	uint32_t i, slow = 0;

	(void)state;
	add_server(f, "fast", 1, true);
	add_server(f, "slow", 1, true);
	for (i = 0; i < 200; i++) {
		uint64_t id = request(f, 0);
		bool is_slow;

		mh_dispatch_tick(f->d);
		is_slow = !strcmp(f->results[id].server, "slow");
		slow += is_slow;
		f->now_ns += 20 * MS;
		done(f, id, MH_SLOT_OK, is_slow ? 200 : 20);
	}
	assert_true(slow < 40);
	free_fixture(f);
}

static void test_server_that_was_slow_is_tried_again(void **state)
{
	struct fixture *f = new_fixture();
	uint32_t i, again = 0;

	(void)state;
	add_server(f, "fast", 1, true);
	add_server(f, "slow", 1, true);
	for (i = 0; i < 40; i++) {
		uint64_t id = request(f, 0);
		bool is_slow;

		mh_dispatch_tick(f->d);
		is_slow = !strcmp(f->results[id].server, "slow");
		done(f, id, MH_SLOT_OK, is_slow ? 200 : 20);
	}
	for (i = 0; i < 300; i++) {
		uint64_t id = request(f, 0);

		mh_dispatch_tick(f->d);
		again += !strcmp(f->results[id].server, "slow");
		f->now_ns += 100 * MS;
		done(f, id, MH_SLOT_OK, 20);
	}
	assert_true(again > 20);
	free_fixture(f);
}

static void test_grey_server_is_avoided(void **state)
{
	struct fixture *f = new_fixture();
	uint32_t i, grey = 0;

	(void)state;
	add_server(f, "grey", 1, true);
	add_server(f, "sound", 1, true);
	for (i = 0; i < 200; i++) {
		uint64_t id = request(f, 0);
		bool is_grey;

		mh_dispatch_tick(f->d);
		is_grey = !strcmp(f->results[id].server, "grey");
		grey += is_grey;
		f->now_ns += 20 * MS;
		done(f, id, is_grey && i % 2 ? MH_SLOT_FAILED : MH_SLOT_OK, 20);
	}
	assert_true(grey < 50);
	free_fixture(f);
}

/* Sends a request each 5 ms. Return: number of requests lost at "bad". */
static uint32_t count_lost_at_bad_server(struct fixture *f,
					 enum mh_slot_outcome outcome)
{
	uint64_t held[400];
	uint32_t i, n = 0, lost = 0;

	for (i = 0; i < 400; i++) {
		uint64_t id = request(f, 0);

		advance_clock(f, 5);
		if (!f->results[id].placed)
			continue;
		if (!strcmp(f->results[id].server, "bad")) {
			lost++;
			done(f, id, outcome, 2);
		} else {
			held[n++] = id;
		}
		/* The sound server takes 200 ms for each request. */
		if (n && f->now_ns > f->results[held[0]].at_ns + 200 * MS) {
			done(f, held[0], MH_SLOT_OK, 200);
			memmove(held, held + 1, --n * sizeof(*held));
		}
	}
	return lost;
}

/*
 * Overload, and a server that fails each request immediately. Its slots are
 * always free, so it would get every request that finds the others busy.
 */
static void test_failing_server_gets_few_requests(void **state)
{
	struct fixture *f = new_fixture();

	(void)state;
	add_server(f, "bad", 1, true);
	add_server(f, "sound", 1, true);
	assert_in_range(count_lost_at_bad_server(f, MH_SLOT_FAILED), 1, 12);
	free_fixture(f);
}

/* The same with reset connections, while an older response is streamed. */
static void test_resetting_server_gets_few_requests(void **state)
{
	struct mh_dispatch_service_conf service = { SERVICE, 6, false };
	struct fixture *f = new_fixture();
	uint64_t old;

	(void)state;
	mh_dispatch_set_service(f->d, &service);
	add_server(f, "bad", 1, true);
	old = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_true(f->results[old].placed);
	mh_dispatch_first_byte(f->d, 1, old, 20);
	add_server(f, "sound", 1, true);
	assert_in_range(count_lost_at_bad_server(f, MH_SLOT_LOST), 1, 12);
	free_fixture(f);
}

/* If all servers of the service fail, they are used nevertheless. */
static void test_only_failing_servers_are_still_used(void **state)
{
	struct fixture *f = new_fixture();
	uint32_t i, placed = 0;

	(void)state;
	add_server(f, "a", 1, true);
	add_server(f, "b", 1, true);
	for (i = 0; i < 100; i++) {
		uint64_t id = request(f, 0);

		advance_clock(f, 10);
		if (!f->results[id].placed)
			continue;
		placed++;
		done(f, id, MH_SLOT_FAILED, 2);
	}
	assert_true(placed >= 95);
	free_fixture(f);
}

/* Guards against callers that wait because others call a target that is answered
 * with invalid responses, at one server after the other. */
static void test_invalid_responses_leave_a_server_in_use(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t id;
	uint32_t i;

	(void)state;
	add_server(f, "a", 1, true);
	add_server(f, "b", 1, true);
	add_server(f, "c", 1, true);
	for (i = 0; i < 20; i++) {
		id = request(f, 0);
		advance_clock(f, 5);
		assert_true(f->results[id].placed);
		done(f, id, MH_SLOT_CORRUPT, 2);
	}
	free_fixture(f);
}

static void test_silent_server_gets_no_new_requests(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t id, next;

	(void)state;
	add_server(f, "dark", 1, true);
	id = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_true(f->results[id].placed);
	advance_clock(f, 700);
	next = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_false(f->results[next].placed);
	/* It is used again after its first byte. */
	mh_dispatch_first_byte(f->d, 1, id, 710);
	mh_dispatch_tick(f->d);
	assert_true(f->results[next].placed);
	free_fixture(f);
}

/*
 * The host of a model server freezes, and clients disconnect before it responds
 * (seen on vbst-flotte with deploy/days/sides-fall.toml --vary
 * --seed 635738524806).
 */
static void test_requests_move_away_from_frozen_server(void **state)
{
	struct fixture *f = new_fixture();
	struct mh_slot_request a = make_request(f, 0), once, moved;

	(void)state;
	add_server(f, "frozen", 1, true);
	a.is_repeatable = true;
	mh_dispatch_request_slot(f->d, &a);
	once = make_request(f, 0);
	mh_dispatch_request_slot(f->d, &once);
	mh_dispatch_tick(f->d);
	advance_clock(f, 700);
	/* There is no other server yet. */
	assert_false(f->results[a.id].moved);
	add_server(f, "sound", 1, true);
	advance_clock(f, 21);
	assert_true(f->results[a.id].moved);
	assert_false(f->results[once.id].moved);
	advance_clock(f, 21);
	done(f, a.id, MH_SLOT_TIMED_OUT, 800);
	moved = make_request(f, 0);
	moved.is_repeat = true;
	moved.is_moved = true;
	moved.avoid[0] = "frozen";
	moved.n_avoid = 1;
	mh_dispatch_request_slot(f->d, &moved);
	mh_dispatch_tick(f->d);
	assert_string_equal(f->results[moved.id].server, "sound");
	free_fixture(f);
}

/*
 * An entry that runs its own dispatcher releases the slot inside the move
 * callback. Entries crashed when the dispatcher read the released slot again
 * (seen on vbst-flotte, trial quiet-1 without dispatchers).
 */
static void test_slot_may_be_released_in_move_callback(void **state)
{
	struct fixture *f = new_fixture();
	struct mh_slot_request a, b;

	(void)state;
	f->releases_on_move = true;
	add_server(f, "frozen", 1, true);
	a = make_request(f, 0);
	a.is_repeatable = true;
	mh_dispatch_request_slot(f->d, &a);
	b = make_request(f, 0);
	b.is_repeatable = true;
	mh_dispatch_request_slot(f->d, &b);
	mh_dispatch_tick(f->d);
	advance_clock(f, 700);
	add_server(f, "sound", 1, true);
	advance_clock(f, 21);
	assert_true(f->results[a.id].moved);
	assert_true(f->results[b.id].moved);
	free_fixture(f);
}

static void test_few_requests_move_when_all_servers_are_slow(void **state)
{
	struct fixture *f = new_fixture();
	uint32_t i, moved = 0;
	char name[8];

	(void)state;
	for (i = 0; i < 40; i++) {
		struct mh_slot_request a = make_request(f, 0);

		snprintf(name, sizeof(name), "s%u", i);
		add_server(f, name, 1, true);
		a.is_repeatable = true;
		a.deadline_ns += 5000 * MS;
		mh_dispatch_request_slot(f->d, &a);
		mh_dispatch_tick(f->d);
	}
	for (i = 0; i < 100; i++)
		advance_clock(f, 20);
	for (i = 0; i < 40; i++)
		moved += f->results[i].moved;
	/* The retry budget: 0.2 x 40 + 5. */
	assert_true(moved <= 13);
	free_fixture(f);
}

static void test_crashed_server_gets_a_single_trial_request(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t id, a, b;

	(void)state;
	add_server(f, "x", 1, true);
	id = request(f, 0);
	mh_dispatch_tick(f->d);
	done(f, id, MH_SLOT_UNREACHABLE, 0);
	a = request(f, 0);
	b = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_false(f->results[a].placed);
	advance_clock(f, 200);
	assert_true(f->results[a].placed != f->results[b].placed);
	done(f, f->results[a].placed ? a : b, MH_SLOT_OK, 10);
	assert_true(f->results[a].placed && f->results[b].placed);
	free_fixture(f);
}

static void test_restarted_server_has_no_penalty(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t id, next;

	(void)state;
	add_server(f, "x", 1, true);
	id = request(f, 0);
	mh_dispatch_tick(f->d);
	done(f, id, MH_SLOT_UNREACHABLE, 0);
	add_server(f, "x", 2, true);
	next = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_true(f->results[next].placed);
	free_fixture(f);
}

/* Guards against a server that backs off after one lost connection, because its
 * former incarnation had lost one. */
static void test_restarted_server_has_lost_no_connection(void **state)
{
	struct mh_dispatch_service_conf service = { SERVICE, 6, false };
	struct fixture *f = new_fixture();
	uint64_t responding, next;
	uint32_t i;

	(void)state;
	mh_dispatch_set_service(f->d, &service);
	add_server(f, "x", 1, true);
	responding = request(f, 0);
	mh_dispatch_tick(f->d);
	mh_dispatch_first_byte(f->d, 1, responding, 5);
	for (i = 1; i <= 2; i++) {
		add_server(f, "x", i, true);
		next = request(f, 0);
		mh_dispatch_tick(f->d);
		done(f, next, MH_SLOT_LOST, 5);
	}
	next = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_true(f->results[next].placed);
	free_fixture(f);
}

static void test_draining_server_gets_no_requests(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t id, next;

	(void)state;
	add_server(f, "x", 1, true);
	id = request(f, 0);
	mh_dispatch_tick(f->d);
	add_server(f, "x", 1, false);
	next = request(f, 0);
	advance_clock(f, 1);
	assert_false(f->results[next].placed);
	/* Its last run may still end; the server is removed then. */
	done(f, id, MH_SLOT_OK, 10);
	free_fixture(f);
}

static void test_retry_avoids_servers_tried_before(void **state)
{
	struct fixture *f = new_fixture();
	int i;

	(void)state;
	add_server(f, "a", 1, true);
	add_server(f, "b", 1, true);
	/* As many retries as the budget allows without first tries. */
	for (i = 0; i < 4; i++) {
		struct mh_slot_request a = make_request(f, 0);

		a.is_repeat = true;
		a.avoid[0] = "a";
		a.n_avoid = 1;
		mh_dispatch_request_slot(f->d, &a);
		mh_dispatch_tick(f->d);
		assert_string_equal(f->results[a.id].server, "b");
		done(f, a.id, MH_SLOT_OK, 10);
	}
	free_fixture(f);
}

/* ---- entries ---- */

static void test_slots_of_a_lost_entry_are_released(void **state)
{
	struct fixture *f = new_fixture();
	struct mh_slot_request a;
	uint64_t other;
	int i;

	(void)state;
	add_server(f, "x", 1, true);
	for (i = 0; i < 3; i++) {
		a = make_request(f, 0);
		a.owner = 2;
		mh_dispatch_request_slot(f->d, &a);
	}
	mh_dispatch_tick(f->d);
	other = request(f, 1);
	mh_dispatch_tick(f->d);
	assert_false(f->results[other].placed);
	mh_dispatch_owner_gone(f->d, 2);
	mh_dispatch_tick(f->d);
	assert_true(f->results[other].placed);
	free_fixture(f);
}

static void test_new_dispatcher_adopts_slots_in_use(void **state)
{
	struct fixture *f = new_fixture();
	struct mh_dispatch_view view;
	struct mh_slot_request a = make_request(f, 0);
	uint64_t waits;

	(void)state;
	add_server(f, "x", 1, true);
	mh_dispatch_adopt_slot(f->d, &a, "x", 50);
	mh_dispatch_adopt_slot(f->d, &a, "x", 50);
	a = make_request(f, 0);
	mh_dispatch_adopt_slot(f->d, &a, "x", 50);
	mh_dispatch_view(f->d, SERVICE, &view);
	assert_int_equal(view.held, 2);
	waits = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_false(f->results[waits].placed);
	done(f, a.id, MH_SLOT_OK, 60);
	assert_true(f->results[waits].placed);
	free_fixture(f);
}

static void test_entries_without_dispatcher_share_slots_and_quotas(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t a, b;
	uint32_t granted_units = 0;

	(void)state;
	add_server(f, "x", 1, true);
	mh_dispatch_set_share(f->d, 2);
	a = request(f, 0);
	b = request(f, 0);
	mh_dispatch_tick(f->d);
	assert_true(f->results[a].placed);
	assert_false(f->results[b].placed);
	done(f, a, MH_SLOT_OK, 10);
	done(f, b, MH_SLOT_OK, 10);
	mh_dispatch_set_quota(f->d, "x", 100, 200);
	while (request_units(f, "x", 10))
		granted_units += 10;
	assert_true(granted_units <= 1050);
	free_fixture(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_routine_burst_waits_behind_urgent_request),
		cmocka_unit_test(test_late_requests_wait_behind_timely_ones),
		cmocka_unit_test(test_account_tier_precedes_route_tier),
		cmocka_unit_test(test_unservable_requests_are_refused_at_once),
		cmocka_unit_test(
			test_urgent_burst_refuses_waiting_routine_request),
		cmocka_unit_test(test_no_refusal_while_slots_are_free),
		cmocka_unit_test(
			test_waiting_request_is_refused_at_its_start_by_time),
		cmocka_unit_test(test_waiting_request_can_be_withdrawn),
		cmocka_unit_test(test_slow_server_gets_fewer_requests),
		cmocka_unit_test(test_server_that_was_slow_is_tried_again),
		cmocka_unit_test(test_grey_server_is_avoided),
		cmocka_unit_test(test_failing_server_gets_few_requests),
		cmocka_unit_test(test_resetting_server_gets_few_requests),
		cmocka_unit_test(test_only_failing_servers_are_still_used),
		cmocka_unit_test(test_invalid_responses_leave_a_server_in_use),
		cmocka_unit_test(test_silent_server_gets_no_new_requests),
		cmocka_unit_test(test_requests_move_away_from_frozen_server),
		cmocka_unit_test(test_slot_may_be_released_in_move_callback),
		cmocka_unit_test(
			test_few_requests_move_when_all_servers_are_slow),
		cmocka_unit_test(
			test_crashed_server_gets_a_single_trial_request),
		cmocka_unit_test(test_restarted_server_has_no_penalty),
		cmocka_unit_test(test_restarted_server_has_lost_no_connection),
		cmocka_unit_test(test_draining_server_gets_no_requests),
		cmocka_unit_test(test_retry_avoids_servers_tried_before),
		cmocka_unit_test(test_slots_of_a_lost_entry_are_released),
		cmocka_unit_test(test_new_dispatcher_adopts_slots_in_use),
		cmocka_unit_test(
			test_entries_without_dispatcher_share_slots_and_quotas),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
