/*
 * Unit tests of the budget for clients: who is evicted when memory or connections
 * run out.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/client_budget.h"

#define MIB (1u << 20)
#define BODY_BYTES (4 * MIB)
/* Memory of a host with 160 MB that clients may use, about. */
#define MAX_BYTES (48 * MIB)
#define MAX_CONNECTIONS 100
#define CROWD 60
#define CONNECTION_BYTES 4096

static uint64_t now_ns;

static uint64_t mono_ns(void *data)
{
	(void)data;
	return now_ns;
}

static const struct mh_clock clock_of_test = { mono_ns, mono_ns, NULL };

static void pass_ms(uint32_t ms)
{
	now_ns += ms * MH_NS_PER_MS;
}

static void init(struct mh_client_budget *b, uint64_t max_bytes,
		 uint32_t max_connections)
{
	struct mh_client_budget_conf conf = { max_bytes, max_connections };

	now_ns = 1000 * MH_NS_PER_MS;
	mh_client_budget_init(b, &conf, &clock_of_test);
	mh_client_budget_set_request(b, BODY_BYTES + MH_CLIENT_SMALL_BYTES);
}

static void connect_client(struct mh_client_budget *b,
			   struct mh_client_usage *u)
{
	mh_client_budget_add(b, u, CONNECTION_BYTES);
}

/* Return: whom the budget evicts so that the request may grow, NULL if nobody. */
static struct mh_client_usage *grow(struct mh_client_budget *b,
				    struct mh_client_usage *u, uint64_t more)
{
	struct mh_client_usage *v;

	mh_client_budget_set_stage(b, u, MH_CLIENT_READING);
	v = mh_client_budget_bytes_victim(b, u, more);
	if (!v) {
		mh_client_budget_set_bytes(b, u, u->bytes + more);
		mh_client_budget_received(b, u, more);
	}
	return v;
}

static void evict(struct mh_client_budget *b, struct mh_client_usage *u)
{
	mh_client_budget_set_stage(b, u, MH_CLIENT_LEAVING);
	mh_client_budget_set_bytes(b, u, CONNECTION_BYTES);
}

/* Grows with evictions. Return: whether it was not evicted itself. */
static bool grow_by_force(struct mh_client_budget *b, struct mh_client_usage *u,
			  uint64_t more, uint32_t *evicted)
{
	struct mh_client_usage *v;

	while ((v = grow(b, u, more))) {
		evict(b, v);
		++*evicted;
		if (v == u)
			return false;
	}
	return true;
}

/* Guards against bodies that are bounded one by one only: sixty of 4 MiB less a
 * byte took 331 to 406 MiB on hosts of 160 MB. */
static void test_a_crowd_of_bodies_stays_in_the_budget(void **state)
{
	struct mh_client_usage crowd[CROWD], other;
	struct mh_client_budget b;
	uint32_t evicted = 0, kept = 0, i, j;

	(void)state;
	init(&b, MAX_BYTES, MAX_CONNECTIONS);
	for (i = 0; i < CROWD; i++)
		connect_client(&b, &crowd[i]);
	for (j = 0; j < 4; j++) {
		for (i = 0; i < CROWD; i++) {
			if (crowd[i].stage != MH_CLIENT_LEAVING)
				grow_by_force(&b, &crowd[i], MIB, &evicted);
			assert_true(b.bytes <= MAX_BYTES);
		}
		pass_ms(10);
	}
	for (i = 0; i < CROWD; i++)
		kept += crowd[i].bytes > BODY_BYTES;
	assert_in_range(kept, 8, 9);
	/* An ordinary request is served beside them, also a large one, once they
	 * have stopped. */
	connect_client(&b, &other);
	evicted = 0;
	assert_true(grow_by_force(&b, &other, 16384, &evicted));
	assert_int_equal(evicted, 0);
	pass_ms(600);
	assert_true(grow_by_force(&b, &other, BODY_BYTES, &evicted));
	assert_in_range(evicted, 1, 2);
}

/* Guards against newcomers that end requests which are being sent. */
static void test_progress_is_not_evicted_for_newcomers(void **state)
{
	struct mh_client_usage first[8], newcomer;
	struct mh_client_budget b;
	uint32_t i, round;

	(void)state;
	init(&b, MAX_BYTES, MAX_CONNECTIONS);
	for (i = 0; i < 8; i++) {
		connect_client(&b, &first[i]);
		pass_ms(1);
		assert_null(grow(&b, &first[i], BODY_BYTES));
	}
	for (round = 0; round < 4; round++) {
		pass_ms(300);
		for (i = 0; i < 8; i++)
			mh_client_budget_received(&b, &first[i], 1500);
	}
	connect_client(&b, &newcomer);
	assert_ptr_equal(grow(&b, &newcomer, BODY_BYTES), &newcomer);
	evict(&b, &newcomer);
	/* Among those that make progress the one that began last goes, so that
	 * the first ones reach their end. */
	assert_ptr_equal(grow(&b, &first[1], 5 * MIB), &first[7]);
}

/* Guards against slow clients that are evicted without need, and against ones that
 * send so little that they hold their memory for ever. */
static void test_slow_clients_are_evicted_in_need_only(void **state)
{
	struct mh_client_usage slow, fast, third;
	struct mh_client_budget b;
	uint32_t i;

	(void)state;
	init(&b, 12 * MIB, MAX_CONNECTIONS);
	connect_client(&b, &slow);
	assert_null(grow(&b, &slow, BODY_BYTES));
	for (i = 0; i < 100; i++) {
		pass_ms(100);
		mh_client_budget_received(&b, &slow, 10);
	}
	connect_client(&b, &fast);
	assert_null(grow(&b, &fast, BODY_BYTES));
	pass_ms(1);
	connect_client(&b, &third);
	assert_ptr_equal(grow(&b, &third, BODY_BYTES), &slow);
}

static void test_who_holds_most_for_longest_goes_first(void **state)
{
	struct mh_client_usage small, large, old, next;
	struct mh_client_budget b;

	(void)state;
	init(&b, 12 * MIB, MAX_CONNECTIONS);
	connect_client(&b, &old);
	assert_null(grow(&b, &old, MIB / 4));
	pass_ms(1000);
	connect_client(&b, &small);
	assert_null(grow(&b, &small, MIB));
	connect_client(&b, &large);
	assert_null(grow(&b, &large, 6 * MIB));
	pass_ms(600);
	connect_client(&b, &next);
	assert_ptr_equal(grow(&b, &next, BODY_BYTES), &large);
	evict(&b, &large);
	assert_null(grow(&b, &next, BODY_BYTES));
}

/* Guards against complete requests that are evicted: they may have been sent to a
 * server. */
static void test_complete_requests_are_never_evicted(void **state)
{
	struct mh_client_usage busy[20], next, small;
	struct mh_client_budget b;
	uint32_t i, n = 0;

	(void)state;
	init(&b, MAX_BYTES, MAX_CONNECTIONS);
	for (i = 0; i < 20; i++) {
		connect_client(&b, &busy[i]);
		if (grow(&b, &busy[i], BODY_BYTES))
			break;
		mh_client_budget_set_stage(&b, &busy[i], MH_CLIENT_BUSY);
		n++;
	}
	assert_in_range(n, 8, 9);
	pass_ms(60000);
	connect_client(&b, &next);
	assert_ptr_equal(grow(&b, &next, BODY_BYTES), &next);
	evict(&b, &next);
	connect_client(&b, &small);
	assert_null(grow(&b, &small, 16384));
}

/* Guards against large requests that leave nothing to ordinary ones, and against
 * small ones that use up all in their great number. */
static void test_small_requests_have_a_part_of_their_own(void **state)
{
	static struct mh_client_usage crowd[2000], large;
	struct mh_client_budget b;
	uint32_t i, evicted = 0, own = 0;

	(void)state;
	init(&b, 16 * MIB, 4000);
	connect_client(&b, &large);
	assert_null(grow(&b, &large, 11 * MIB));
	for (i = 0; i < 2000; i++) {
		connect_client(&b, &crowd[i]);
		own += !grow_by_force(&b, &crowd[i], 16384, &evicted);
		if (evicted)
			break;
	}
	/* None is stalled yet: who comes last is rejected. */
	assert_in_range(i, 200, 300);
	assert_int_equal(own, 1);
	mh_client_budget_received(&b, &large, MH_CLIENT_PROGRESS_BYTES);
	pass_ms(600);
	mh_client_budget_received(&b, &large, MH_CLIENT_PROGRESS_BYTES);
	connect_client(&b, &crowd[i + 1]);
	assert_ptr_equal(grow(&b, &crowd[i + 1], 16384), &crowd[0]);
}

static void test_idle_connections_give_way_to_requests(void **state)
{
	static struct mh_client_usage idle[1100], next;
	struct mh_client_budget b;
	uint32_t i;

	(void)state;
	init(&b, 4 * MIB, 4000);
	mh_client_budget_set_request(&b, MIB);
	for (i = 0; i < 1024; i++) {
		connect_client(&b, &idle[i]);
		mh_client_budget_set_stage(&b, &idle[i], MH_CLIENT_IDLE);
	}
	connect_client(&b, &next);
	assert_ptr_equal(grow(&b, &next, 16384), &idle[0]);
}

/* Guards against a budget that is smaller than one request within the limits. */
static void test_one_request_always_fits(void **state)
{
	struct mh_client_usage only, small;
	struct mh_client_budget b;

	(void)state;
	init(&b, MIB, MAX_CONNECTIONS);
	connect_client(&b, &only);
	assert_null(grow(&b, &only, BODY_BYTES));
	assert_true(mh_client_budget_limit(&b) > BODY_BYTES);
	connect_client(&b, &small);
	assert_null(grow(&b, &small, 16384));
}

/* Guards against silent connections that keep others out. */
static void test_silent_connections_are_closed_first(void **state)
{
	struct mh_client_usage silent, idle, reading, busy, leaving;
	struct mh_client_budget b;

	(void)state;
	init(&b, MAX_BYTES, 4);
	connect_client(&b, &busy);
	mh_client_budget_set_stage(&b, &busy, MH_CLIENT_READING);
	mh_client_budget_set_stage(&b, &busy, MH_CLIENT_BUSY);
	connect_client(&b, &reading);
	assert_null(grow(&b, &reading, 1000));
	assert_false(mh_client_budget_is_full(&b));
	assert_null(mh_client_budget_connection_victim(&b));
	pass_ms(600);
	connect_client(&b, &silent);
	connect_client(&b, &idle);
	mh_client_budget_set_stage(&b, &idle, MH_CLIENT_IDLE);
	assert_true(mh_client_budget_is_full(&b));
	/* It has just come: one that has waited longer goes before it. */
	assert_ptr_equal(mh_client_budget_connection_victim(&b), &idle);
	pass_ms(200);
	assert_ptr_equal(mh_client_budget_connection_victim(&b), &silent);
	mh_client_budget_remove(&b, &silent);
	mh_client_budget_remove(&b, &idle);
	assert_ptr_equal(mh_client_budget_connection_victim(&b), &reading);
	connect_client(&b, &leaving);
	mh_client_budget_set_stage(&b, &leaving, MH_CLIENT_LEAVING);
	assert_ptr_equal(mh_client_budget_connection_victim(&b), &leaving);
	mh_client_budget_remove(&b, &leaving);
	mh_client_budget_remove(&b, &reading);
	assert_null(mh_client_budget_connection_victim(&b));
}

/* Guards against new connections that replace each other so fast that none is
 * served, and against refusing the newest one, which may be an ordinary one. */
static void test_newcomers_replace_the_oldest_newcomer(void **state)
{
	struct mh_client_usage first, second;
	struct mh_client_budget b;

	(void)state;
	init(&b, MAX_BYTES, 2);
	connect_client(&b, &first);
	pass_ms(1);
	connect_client(&b, &second);
	assert_ptr_equal(mh_client_budget_connection_victim(&b), &first);
}

/* Guards against memory that stays counted: the budget would shrink for ever. */
static void test_all_memory_comes_back(void **state)
{
	struct mh_client_usage u[30];
	struct mh_client_budget b;
	uint32_t i, evicted = 0;

	(void)state;
	init(&b, MAX_BYTES, MAX_CONNECTIONS);
	for (i = 0; i < 30; i++) {
		connect_client(&b, &u[i]);
		grow_by_force(&b, &u[i], BODY_BYTES / (1 + i % 3), &evicted);
		if (i % 2 && u[i].stage == MH_CLIENT_READING)
			mh_client_budget_set_stage(&b, &u[i], MH_CLIENT_BUSY);
		pass_ms(100);
	}
	for (i = 0; i < 30; i++)
		mh_client_budget_remove(&b, &u[i]);
	assert_int_equal(b.bytes, 0);
	assert_int_equal(b.large_bytes, 0);
	assert_int_equal(b.n, 0);
	assert_null(b.large);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_crowd_of_bodies_stays_in_the_budget),
		cmocka_unit_test(test_progress_is_not_evicted_for_newcomers),
		cmocka_unit_test(test_slow_clients_are_evicted_in_need_only),
		cmocka_unit_test(test_who_holds_most_for_longest_goes_first),
		cmocka_unit_test(test_complete_requests_are_never_evicted),
		cmocka_unit_test(test_small_requests_have_a_part_of_their_own),
		cmocka_unit_test(test_idle_connections_give_way_to_requests),
		cmocka_unit_test(test_one_request_always_fits),
		cmocka_unit_test(test_silent_connections_are_closed_first),
		cmocka_unit_test(test_newcomers_replace_the_oldest_newcomer),
		cmocka_unit_test(test_all_memory_comes_back),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
