/*
 * Unit tests of what servers ask for in their responses: servers that leave, and
 * servers that want a pause from an entry.
 */
#include "tests/dispatch_fixture.h"

#include "core/server_notices.h"

#define BORN 1000

static const struct mh_server_ref s1 = { "s1", "127.0.0.1:1", BORN };

static enum mh_send_verdict check(const struct mh_server_notices *set,
				  const char *id, uint64_t born_ms)
{
	struct mh_server_ref server = { id, "", born_ms };

	return mh_server_notices_check(set, &server);
}

static void test_pause_ends_on_time(void **state)
{
	struct fixture *f = new_fixture();
	struct mh_server_notices *set = mh_server_notices_new(&f->clock);

	(void)state;
	assert_true(mh_server_notices_add_pause(set, &s1, 1500));
	assert_int_equal(check(set, "s1", BORN), MH_SEND_PAUSED);
	assert_int_equal(check(set, "s2", BORN), MH_SEND_ALLOWED);
	f->now_ns += 1500 * MS - 1;
	assert_int_equal(check(set, "s1", BORN), MH_SEND_PAUSED);
	f->now_ns++;
	assert_int_equal(check(set, "s1", BORN), MH_SEND_ALLOWED);
	mh_server_notices_free(set);
	free_fixture(f);
}

static void test_latest_end_of_pauses_holds(void **state)
{
	struct fixture *f = new_fixture();
	struct mh_server_notices *set = mh_server_notices_new(&f->clock);

	(void)state;
	assert_true(mh_server_notices_add_pause(set, &s1, 2000));
	f->now_ns += 500 * MS;
	assert_false(mh_server_notices_add_pause(set, &s1, 300));
	f->now_ns += 1400 * MS;
	assert_int_equal(check(set, "s1", BORN), MH_SEND_PAUSED);
	assert_true(mh_server_notices_add_pause(set, &s1, 300));
	f->now_ns += 200 * MS;
	assert_int_equal(check(set, "s1", BORN), MH_SEND_PAUSED);
	mh_server_notices_free(set);
	free_fixture(f);
}

static void test_pause_is_bounded(void **state)
{
	struct fixture *f = new_fixture();
	struct mh_server_notices *set = mh_server_notices_new(&f->clock);

	(void)state;
	mh_server_notices_add_pause(set, &s1, UINT32_MAX);
	f->now_ns += MH_PAUSE_MAX_MS * MS;
	assert_int_equal(check(set, "s1", BORN), MH_SEND_ALLOWED);
	mh_server_notices_free(set);
	free_fixture(f);
}

/* Guards against a notice that outlives its server's start, and one of an
 * earlier start that holds for a later one. */
static void test_notices_hold_for_one_incarnation(void **state)
{
	struct mh_server_ref next = { "s1", "", BORN + 1 };
	struct fixture *f = new_fixture();
	struct mh_server_notices *set = mh_server_notices_new(&f->clock);

	(void)state;
	assert_true(mh_server_notices_add_leaving(set, &s1));
	assert_false(mh_server_notices_add_leaving(set, &s1));
	f->now_ns += 3600000 * MS;
	assert_int_equal(check(set, "s1", BORN), MH_SEND_LEAVING);
	assert_int_equal(check(set, "s1", BORN + 1), MH_SEND_ALLOWED);
	assert_true(mh_server_notices_add_pause(set, &next, 1000));
	assert_false(mh_server_notices_add_leaving(set, &s1));
	assert_int_equal(check(set, "s1", BORN + 1), MH_SEND_PAUSED);
	f->now_ns += 1000 * MS;
	assert_int_equal(check(set, "s1", BORN + 1), MH_SEND_ALLOWED);
	mh_server_notices_free(set);
	free_fixture(f);
}

static void count_notice(void *data, const struct mh_server_notice *notice)
{
	assert_true(notice->is_leaving);
	++*(uint32_t *)data;
}

static void test_memory_of_notices_is_bounded(void **state)
{
	struct fixture *f = new_fixture();
	struct mh_server_notices *set = mh_server_notices_new(&f->clock);
	struct mh_server_ref server = { .born_ms = BORN };
	uint32_t i, n = 0;
	char id[16];

	(void)state;
	server.id = id;
	for (i = 0; i < 6000; i++) {
		snprintf(id, sizeof(id), "n%u", i);
		/* Pauses that ended go first. */
		if (i % 2)
			mh_server_notices_add_leaving(set, &server);
		else
			mh_server_notices_add_pause(set, &server, 0);
	}
	assert_int_equal(check(set, "n1", BORN), MH_SEND_LEAVING);
	assert_int_equal(check(set, "n5999", BORN), MH_SEND_LEAVING);
	mh_server_notices_each(set, count_notice, &n);
	assert_int_equal(n, 3000);
	mh_server_notices_free(set);
	free_fixture(f);
}

/* Guards against a limit that is evicted, or outlives its server's start. */
static void test_limit_is_kept_with_the_notices(void **state)
{
	struct mh_server_ref next = { "s1", "", BORN + 1 };
	struct fixture *f = new_fixture();
	struct mh_server_notices *set = mh_server_notices_new(&f->clock);
	struct mh_server_limit limit = { 1700, f->now_ns };
	struct mh_server_limit none = { MH_NO_LIMIT, f->now_ns + 1000 * MS };
	struct mh_server_ref other = { .born_ms = BORN };
	char id[16];
	uint32_t i;

	(void)state;
	assert_int_equal(mh_server_notices_update_limit(set, &s1, &none),
			 MH_LIMIT_UNCHANGED);
	assert_int_equal(mh_server_notices_update_limit(set, &s1, &limit),
			 MH_LIMIT_CHANGED);
	other.id = id;
	for (i = 0; i < 5000; i++) {
		snprintf(id, sizeof(id), "n%u", i);
		mh_server_notices_add_pause(set, &other, 0);
	}
	assert_true(mh_server_notices_has_limit(set, &s1));
	assert_false(mh_server_notices_has_limit(set, &next));
	assert_int_equal(mh_server_notices_update_limit(set, &s1, &none),
			 MH_LIMIT_CHANGED);
	assert_false(mh_server_notices_has_limit(set, &s1));
	mh_server_notices_free(set);
	free_fixture(f);
}

/* ---- placement ---- */

static uint64_t request_of(struct fixture *f, uint32_t owner,
			   uint32_t deadline_ms)
{
	struct mh_slot_request a = make_request(f, 0);

	a.owner = owner;
	a.start_by_ns = a.deadline_ns = f->now_ns + deadline_ms * MS;
	mh_dispatch_request_slot(f->d, &a);
	mh_dispatch_tick(f->d);
	return a.id;
}

static bool is_placed_at(const struct fixture *f, uint64_t id,
			 const char *server)
{
	return f->results[id].placed && !strcmp(f->results[id].server, server);
}

static void finish(struct fixture *f, uint32_t owner, uint64_t id)
{
	mh_dispatch_done(f->d, owner, id, MH_SLOT_OK, 10);
	mh_dispatch_tick(f->d);
}

/* Guards against slots that an entry can't use being granted to it, and against
 * other entries losing them. */
static void test_paused_server_serves_other_entries_only(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t first, second, other;
	uint32_t i;

	(void)state;
	add_server(f, "s1", BORN, true);
	add_server(f, "s2", BORN, true);
	mh_dispatch_server_pause(f->d, 1, &s1, 2000);
	for (i = 0; i < 20; i++) {
		first = request_of(f, 1, 1000);
		second = request_of(f, 1, 1000);
		other = request_of(f, 2, 1000);
		assert_true(is_placed_at(f, first, "s2"));
		assert_true(is_placed_at(f, second, "s2"));
		assert_true(is_placed_at(f, other, "s1"));
		finish(f, 1, first);
		finish(f, 1, second);
		finish(f, 2, other);
	}
	free_fixture(f);
}

/* Guards against a request that a pause holds back keeping others from slots
 * that they can use, and against its being overtaken at those that it can. */
static void test_held_back_request_does_not_block_others(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t full[2], held, other;

	(void)state;
	add_server(f, "s1", BORN, true);
	add_server(f, "s2", BORN, true);
	mh_dispatch_server_pause(f->d, 1, &s1, 5000);
	full[0] = request_of(f, 1, 1000);
	full[1] = request_of(f, 1, 1000);
	held = request_of(f, 1, 1000);
	assert_false(f->results[held].placed || f->results[held].refused);
	other = request_of(f, 2, 1000);
	assert_true(is_placed_at(f, other, "s1"));
	other = request_of(f, 2, 1000);
	assert_true(is_placed_at(f, other, "s1"));
	other = request_of(f, 2, 1000);
	assert_false(f->results[other].placed);
	finish(f, 1, full[0]);
	assert_true(is_placed_at(f, held, "s2"));
	assert_false(f->results[other].placed);
	finish(f, 1, full[1]);
	assert_true(is_placed_at(f, other, "s2"));
	free_fixture(f);
}

/* Guards against a slot that an entry may use staying empty while a pause at
 * another server holds its request back. */
static void test_held_back_request_gets_a_released_slot(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t full[2], held;

	(void)state;
	add_server(f, "s1", BORN, true);
	add_server(f, "s2", BORN, true);
	mh_dispatch_server_pause(f->d, 1, &s1, 5000);
	full[0] = request_of(f, 1, 1000);
	full[1] = request_of(f, 1, 1000);
	held = request_of(f, 1, 1000);
	assert_false(f->results[held].placed);
	finish(f, 1, full[1]);
	assert_true(is_placed_at(f, held, "s2"));
	free_fixture(f);
}

/* Guards against requests being refused though they can wait for the end of the
 * pause, and held though they can't. */
static void test_request_waits_for_the_end_of_a_pause(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t patient, hasty;

	(void)state;
	add_server(f, "s1", BORN, true);
	mh_dispatch_server_pause(f->d, 1, &s1, 500);
	patient = request_of(f, 1, 1000);
	hasty = request_of(f, 1, 400);
	assert_true(f->results[hasty].refused);
	assert_int_equal(f->results[hasty].error, MH_ERR_SERVERS_PAUSED);
	assert_in_range(f->results[hasty].retry_ms, 500, 751);
	advance_clock(f, 480);
	assert_false(f->results[patient].placed);
	advance_clock(f, 20);
	assert_true(is_placed_at(f, patient, "s1"));
	free_fixture(f);
}

/* Return: number of requests that have a slot; their servers respond. */
static uint32_t count_placed(struct fixture *f, const uint64_t *ids, uint32_t n)
{
	uint32_t i, placed = 0;

	for (i = 0; i < n; i++) {
		if (!f->results[ids[i]].placed)
			continue;
		placed++;
		mh_dispatch_first_byte(f->d, 1, ids[i], 5);
	}
	return placed;
}

/* Guards against all that waited reaching the server at once. */
static void test_use_of_a_server_grows_after_a_pause(void **state)
{
	struct fixture *f = new_fixture();
	struct mh_dispatch_service_conf service = { SERVICE, 10, false };
	uint64_t ids[10];
	uint32_t i;

	(void)state;
	mh_dispatch_set_service(f->d, &service);
	add_server(f, "s1", BORN, true);
	mh_dispatch_server_pause(f->d, 1, &s1, 500);
	for (i = 0; i < 10; i++)
		ids[i] = request_of(f, 1, 4000);
	advance_clock(f, 500);
	assert_int_equal(count_placed(f, ids, 10), 1);
	advance_clock(f, 500);
	assert_in_range(count_placed(f, ids, 10), 5, 6);
	advance_clock(f, 500);
	assert_int_equal(count_placed(f, ids, 10), 10);
	free_fixture(f);
}

/* Guards against requests that a pause holds back being held until their
 * deadline, where too many wait for the servers that are left. */
static void test_held_back_requests_are_refused_early(void **state)
{
	struct fixture *f = new_fixture();
	uint32_t i, n_refused = 0;
	uint64_t ids[200];

	(void)state;
	add_server(f, "s1", BORN, true);
	add_server(f, "s2", BORN, true);
	mh_dispatch_server_pause(f->d, 1, &s1, 5000);
	for (i = 0; i < 200; i++)
		ids[i] = request_of(f, 1, 1000);
	advance_clock(f, 20);
	for (i = 0; i < 200; i++)
		n_refused += f->results[ids[i]].refused;
	/* Two slots serve about 100 runs of 20 ms in time. */
	assert_in_range(n_refused, 80, 120);
	free_fixture(f);
}

static void test_pause_does_not_back_off_other_entries(void **state)
{
	struct fixture *f = new_fixture();
	uint64_t id;

	(void)state;
	add_server(f, "s1", BORN, true);
	id = request_of(f, 1, 1000);
	mh_dispatch_server_pause(f->d, 1, &s1, 1000);
	mh_dispatch_done(f->d, 1, id, MH_SLOT_REJECTED, 1);
	id = request_of(f, 2, 1000);
	assert_true(is_placed_at(f, id, "s1"));
	free_fixture(f);
}

static void test_leaving_server_gets_no_requests(void **state)
{
	struct mh_server_ref older = { "s1", "", BORN - 1 };
	struct fixture *f = new_fixture();
	uint32_t i;
	uint64_t id;

	(void)state;
	add_server(f, "s1", BORN, true);
	add_server(f, "s2", BORN, true);
	assert_false(mh_dispatch_server_leaving(f->d, &older));
	assert_true(mh_dispatch_server_leaving(f->d, &s1));
	assert_false(mh_dispatch_server_leaving(f->d, &s1));
	/* Its registration says nothing of it yet. */
	add_server(f, "s1", BORN, true);
	for (i = 0; i < 20; i++) {
		id = request_of(f, 1 + i % 2, 1000);
		assert_true(is_placed_at(f, id, "s2"));
		finish(f, 1 + i % 2, id);
	}
	add_server(f, "s2", BORN, false);
	add_server(f, "s1", BORN + 1, true);
	id = request_of(f, 1, 1000);
	assert_true(is_placed_at(f, id, "s1"));
	free_fixture(f);
}

/* Guards against slots at a server whose new start asked for none, granted by a
 * dispatcher that has not read its new registration yet. */
static void test_notice_of_a_start_that_is_not_registered_yet(void **state)
{
	struct mh_server_ref later = { "s1", "", BORN + 1 };
	struct fixture *f = new_fixture();
	uint64_t id;

	(void)state;
	add_server(f, "s1", BORN, true);
	add_server(f, "s2", BORN, true);
	mh_dispatch_server_pause(f->d, 1, &later, 1000);
	id = request_of(f, 1, 1000);
	assert_true(is_placed_at(f, id, "s2"));
	finish(f, 1, id);
	assert_true(mh_dispatch_server_leaving(f->d, &later));
	id = request_of(f, 2, 1000);
	assert_true(is_placed_at(f, id, "s2"));
	free_fixture(f);
}

/* Guards against a quota losing units to slots that were not used. */
static void test_held_back_slot_returns_its_units(void **state)
{
	struct fixture *f = new_fixture();
	struct mh_slot_request a;
	uint32_t i;

	(void)state;
	add_server(f, "s1", BORN, true);
	mh_dispatch_set_quota(f->d, "acct", 100, 100);
	for (i = 0; i < 40; i++) {
		a = make_request(f, 0);
		a.account = "acct";
		a.units = 500;
		mh_dispatch_request_slot(f->d, &a);
		mh_dispatch_tick(f->d);
		assert_true(f->results[a.id].placed);
		done(f, a.id, MH_SLOT_HELD_BACK, 0);
	}
	free_fixture(f);
}

/* Guards against requests to a server that may be gone while others have room. */
static void test_a_doubtful_server_is_the_last_choice(void **state)
{
	struct mh_backend_server doubtful = { .id = "a",
					      .service = SERVICE,
					      .address = "a:1",
					      .places = 2,
					      .born_ms = 1,
					      .takes_work = true,
					      .is_doubtful = true };
	struct fixture *f = new_fixture();
	uint64_t ids[4];
	uint32_t i;

	(void)state;
	mh_dispatch_update_server(f->d, &doubtful);
	add_server(f, "b", 1, true);
	for (i = 0; i < 4; i++) {
		ids[i] = request(f, 0);
		advance_clock(f, 1);
	}
	assert_string_equal(f->results[ids[0]].server, "b");
	assert_string_equal(f->results[ids[1]].server, "b");
	/* Rather than wait, or be refused. */
	assert_string_equal(f->results[ids[2]].server, "a");
	assert_string_equal(f->results[ids[3]].server, "a");
	free_fixture(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pause_ends_on_time),
		cmocka_unit_test(test_latest_end_of_pauses_holds),
		cmocka_unit_test(test_pause_is_bounded),
		cmocka_unit_test(test_notices_hold_for_one_incarnation),
		cmocka_unit_test(test_memory_of_notices_is_bounded),
		cmocka_unit_test(test_limit_is_kept_with_the_notices),
		cmocka_unit_test(test_paused_server_serves_other_entries_only),
		cmocka_unit_test(test_held_back_request_does_not_block_others),
		cmocka_unit_test(test_held_back_request_gets_a_released_slot),
		cmocka_unit_test(test_request_waits_for_the_end_of_a_pause),
		cmocka_unit_test(test_use_of_a_server_grows_after_a_pause),
		cmocka_unit_test(test_held_back_requests_are_refused_early),
		cmocka_unit_test(test_pause_does_not_back_off_other_entries),
		cmocka_unit_test(test_leaving_server_gets_no_requests),
		cmocka_unit_test(
			test_notice_of_a_start_that_is_not_registered_yet),
		cmocka_unit_test(test_a_doubtful_server_is_the_last_choice),
		cmocka_unit_test(test_held_back_slot_returns_its_units),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
