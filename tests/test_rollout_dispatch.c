/*
 * Unit tests of the dispatcher while a roll-out is under way: where requests go,
 * and what is reported of them.
 */
#include "tests/rollout_site.h"

#include "core/catalog.h"

/* Guards against picks that change though no order concerns the service. */
static void test_without_an_order_picks_are_unchanged(void **state)
{
	struct mh_rollout_order other = { "other", TARGET, 12000 };
	struct site *with = new_site(), *without = new_site();
	uint64_t id;

	(void)state;
	mh_dispatch_set_rollouts(without->f->d, NULL);
	mh_rollouts_order(with->set, &other, 0);
	add_servers(with, "o", OLD);
	add_servers(with, "t", TARGET);
	add_servers(without, "o", NULL);
	add_servers(without, "t", NULL);
	run_load(with, 6000, 4);
	run_load(without, 6000, 4);
	assert_int_equal(with->f->next_id, without->f->next_id);
	for (id = 0; id < with->f->next_id; id++)
		assert_string_equal(with->f->results[id].server,
				    without->f->results[id].server);
	free_site(with);
	free_site(without);
}

/* A good version under load gets all requests in time, and none is lost. */
static void test_good_version(void **state)
{
	struct site *s = new_site();
	uint64_t id;

	(void)state;
	add_servers(s, "o", OLD);
	add_servers(s, "t", TARGET);
	give_order(s);
	run_load(s, 11000, 7);
	assert_int_equal(phase_of(s), MH_ROLLOUT_SUCCEEDED);
	assert_int_equal(s->last.n_excluded, 1);
	for (id = 0; id < s->f->next_id; id++)
		assert_false(s->f->results[id].refused);
	free_site(s);
}

/* Guards against a request that reaches a forbidden version because all others
 * are to be avoided: the fallback is one of the allowed servers. */
static void test_fallback_is_allowed(void **state)
{
	struct site *s = new_site();
	struct mh_slot_request a;

	(void)state;
	add_server_of(s, "o0", OLD);
	add_server_of(s, "t0", TARGET);
	give_order(s);
	tell(s, MH_ROLLOUT_ROLLED_BACK);
	a = make_request(s->f, 0);
	a.is_repeat = true;
	a.avoid[0] = "o0";
	a.n_avoid = 1;
	mh_dispatch_request_slot(s->f->d, &a);
	advance_clock(s->f, 1);
	assert_string_equal(s->f->results[a.id].server, "o0");
	/* The forbidden server is not even one to be avoided. */
	a = make_request(s->f, 0);
	a.is_repeat = true;
	a.avoid[0] = "t0";
	a.avoid[1] = "o0";
	a.n_avoid = 2;
	mh_dispatch_request_slot(s->f->d, &a);
	advance_clock(s->f, 1);
	assert_string_equal(s->f->results[a.id].server, "o0");
	free_site(s);
}

/* Guards against a busy pool that overflows to a forbidden version: requests
 * wait, and get the next slot of an allowed one. */
static void test_requests_wait_for_an_allowed_version(void **state)
{
	struct site *s = new_site();
	uint64_t ids[3];
	int i;

	(void)state;
	add_server_of(s, "o0", OLD);
	add_servers(s, "t", TARGET);
	give_order(s);
	tell(s, MH_ROLLOUT_ROLLED_BACK);
	for (i = 0; i < 3; i++) {
		ids[i] = request(s->f, 0);
		advance_clock(s->f, 1);
	}
	advance_clock(s->f, 30);
	assert_true(s->f->results[ids[1]].placed);
	assert_false(s->f->results[ids[2]].placed);
	done(s->f, ids[0], MH_SLOT_OK, 30);
	assert_string_equal(s->f->results[ids[2]].server, "o0");
	free_site(s);
}

/* Guards against moves away from a silent server to a forbidden one. */
static void test_no_move_to_a_forbidden_version(void **state)
{
	bool allowed;

	(void)state;
	for (allowed = false;; allowed = true) {
		struct site *s = new_site();
		struct mh_slot_request a;

		add_server_of(s, "o0", OLD);
		a = make_request(s->f, 0);
		a.is_repeatable = true;
		a.start_by_ns = a.deadline_ns = s->f->now_ns + 60000 * MS;
		mh_dispatch_request_slot(s->f->d, &a);
		advance_clock(s->f, 1);
		assert_string_equal(s->f->results[a.id].server, "o0");
		give_order(s);
		add_server_of(s, "t0", allowed ? OLD : TARGET);
		tell(s, MH_ROLLOUT_ROLLED_BACK);
		advance_clock(s->f, 5000);
		assert_int_equal(s->f->results[a.id].moved, allowed);
		free_site(s);
		if (allowed)
			return;
	}
}

/* Guards against canary requests spread so thin that no server of the target is
 * ever as busy as a regular one. */
static void test_canaries_are_concentrated(void **state)
{
	struct site *s = new_site();
	uint32_t ms_in_use = 0, ms_full = 0, ms;

	(void)state;
	add_servers(s, "o", OLD);
	add_servers(s, "t", TARGET);
	give_order(s);
	for (ms = 0; ms < 3500; ms += 5) {
		uint32_t held, busy = 0, full = 0;
		char name[16];
		int i;

		run_load(s, 5, 5);
		for (i = 0; i < N_SERVERS; i++) {
			snprintf(name, sizeof(name), "t%d", i);
			held = held_by(s, name);
			busy += held > 0;
			full += held > 1;
		}
		assert_true(busy <= 2);
		ms_in_use += busy ? 5 : 0;
		ms_full += full ? 5 : 0;
	}
	assert_int_equal(phase_of(s), MH_ROLLOUT_OBSERVING);
	assert_true(ms_full > ms_in_use / 2);
	free_site(s);
}

/* Two runs at a time fail, as on a regular server under this load. */
static enum mh_slot_outcome fails_under_load(struct site *s, uint64_t id)
{
	if (is_at_target(s, id) && held_by(s, s->f->results[id].server) > 1)
		return MH_SLOT_FAILED;
	return MH_SLOT_OK;
}

/* Guards against a version that is bad under load only, and is found when it has
 * all requests. */
static void test_bad_under_load_only(void **state)
{
	struct site *s = new_site();
	uint64_t sent;

	(void)state;
	s->outcome = fails_under_load;
	add_servers(s, "o", OLD);
	add_servers(s, "t", TARGET);
	give_order(s);
	run_load(s, 6000, 5);
	assert_int_equal(phase_of(s), MH_ROLLOUT_ROLLED_BACK);
	sent = s->granted[1];
	assert_true((double)sent <= 0.1 * (double)s->f->next_id + 50);
	assert_true(s->target_bad < 50);
	run_load(s, 2000, 5);
	assert_int_equal(s->granted[1], sent);
	free_site(s);
}

static enum mh_slot_outcome target_fails(struct site *s, uint64_t id)
{
	return is_at_target(s, id) ? MH_SLOT_FAILED : MH_SLOT_OK;
}

static void test_bad_at_once(void **state)
{
	struct site *s = new_site();
	uint64_t sent;

	(void)state;
	s->outcome = target_fails;
	add_servers(s, "o", OLD);
	add_servers(s, "t", TARGET);
	give_order(s);
	run_load(s, 4000, 6);
	assert_int_equal(phase_of(s), MH_ROLLOUT_ROLLED_BACK);
	sent = s->granted[1];
	run_load(s, 4000, 6);
	assert_int_equal(s->granted[1], sent);
	assert_true(sent < 50);
	free_site(s);
}

static void test_bad_by_slowness(void **state)
{
	struct site *s = new_site();

	(void)state;
	s->run_ms[1] = 4 * RUN_MS;
	add_servers(s, "o", OLD);
	add_servers(s, "t", TARGET);
	give_order(s);
	run_load(s, 6000, 7);
	assert_int_equal(phase_of(s), MH_ROLLOUT_ROLLED_BACK);
	free_site(s);
}

/* Machines from 0.68 to 3 times the usual speed, old and new ones apart; durations
 * vary by a fifth beside. */
struct machines {
	uint32_t n;
	double speed_step; /* from each to the next quicker one */
	uint32_t run_ms;
	uint32_t each_ms; /* a request arrives */
};

static const struct machines few = { 6, 1.3456, 60, 10 };
static const struct machines some = { 20, 1.0813, 100, 4 };
static const struct machines many = { 47, 1.0328, 250, 3 };
static const struct machines *machines;

static uint32_t uneven_ms(const struct site *s, uint64_t id)
{
	const char *server = s->f->results[id].server;
	uint32_t rank = (uint32_t)atoi(server + 1) * 7 + s->variant * 3;
	double ms = s->run_ms[is_at_target(s, id)] / 0.68;

	if (is_at_target(s, id))
		rank += s->variant / machines->n;
	for (rank %= machines->n; rank; rank--)
		ms /= machines->speed_step;
	ms *= 0.8 + 0.4 * (double)(id * 2654435761u % 1000) / 1000;
	return 1 + (uint32_t)ms;
}

static enum mh_rollout_phase run_uneven(const struct machines *m,
					uint32_t variant, uint32_t slowness)
{
	struct site *s = new_site();
	enum mh_rollout_phase phase;

	machines = m;
	s->variant = variant;
	s->run_of = uneven_ms;
	s->run_ms[0] = m->run_ms;
	s->run_ms[1] = m->run_ms * slowness;
	add_many(s, "o", OLD, (int)m->n);
	add_many(s, "t", TARGET, (int)m->n);
	give_order(s);
	run_load(s, 11500, m->each_ms);
	phase = phase_of(s);
	free_site(s);
	return phase;
}

/* Return: good versions that did not succeed. */
static uint32_t check_uneven(const struct machines *m, uint32_t n_variants)
{
	uint32_t variant, n_lost = 0;

	for (variant = 0; variant < n_variants; variant++)
		n_lost += run_uneven(m, variant, 1) != MH_ROLLOUT_SUCCEEDED;
	for (variant = 0; variant < n_variants; variant += 5)
		assert_int_equal(run_uneven(m, variant, 4),
				 MH_ROLLOUT_ROLLED_BACK);
	print_message("%u machines: %u of %u good versions lost\n", m->n,
		      n_lost, n_variants);
	return n_lost;
}

/* Guards against a rollback because the few servers that have canary requests run
 * on slow machines; and against a slow version that passes for slow machines. */
static void test_uneven_machines(void **state)
{
	(void)state;
	/* One of 190 is the most that a rate of 1 in 1,000 allows to expect, at
	 * the one-sided 2 % level. */
	assert_true(check_uneven(&few, 6 * 6) + check_uneven(&some, 3 * 20) +
			    check_uneven(&many, 2 * 47) <=
		    1);
}

/* Guards against a rollback because the servers of a new version, which have just
 * started, are slow at first. */
static void test_cold_servers_are_not_slow(void **state)
{
	struct mh_registration reg = {
		.id = (char *)"t0",
		.service = (char *)SERVICE,
		.address = (char *)"127.0.0.1:1",
		.version = (char *)TARGET,
		.places = 2,
		.born_ms = 1,
		.cold_remaining_ms = 4000,
	};
	struct site *s = new_site();

	(void)state;
	s->run_ms[1] = 4 * RUN_MS;
	add_servers(s, "o", OLD);
	mh_dispatch_update_registration(s->f->d, &reg);
	give_order(s);
	run_load(s, 3900, 7);
	assert_int_equal(phase_of(s), MH_ROLLOUT_OBSERVING);
	assert_true(s->target_good > 10);
	assert_int_equal(s->target_bad, 0);
	/* From then on it is. */
	run_load(s, 3000, 7);
	assert_int_equal(phase_of(s), MH_ROLLOUT_ROLLED_BACK);
	free_site(s);
}

/* Runs that the client cancelled, or that were not sent, say nothing. */
static enum mh_slot_outcome target_is_cancelled(struct site *s, uint64_t id)
{
	static const enum mh_slot_outcome outcomes[] = { MH_SLOT_CANCELLED,
							 MH_SLOT_UNUSED,
							 MH_SLOT_HELD_BACK,
							 MH_SLOT_HANDED_OVER };

	return is_at_target(s, id) ? outcomes[id % 4] : MH_SLOT_OK;
}

static void test_cancelled_runs_say_nothing(void **state)
{
	struct site *s = new_site();

	(void)state;
	s->outcome = target_is_cancelled;
	add_servers(s, "o", OLD);
	add_servers(s, "t", TARGET);
	give_order(s);
	run_load(s, 3000, 6);
	assert_int_equal(phase_of(s), MH_ROLLOUT_OBSERVING);
	assert_true(s->granted[1] > 10);
	assert_int_equal(s->target_good + s->target_bad, 0);
	free_site(s);
}

/* Guards against a version that nothing can be sent to, which has no bad
 * response: it must not get all requests. */
static enum mh_slot_outcome target_is_unreachable(struct site *s, uint64_t id)
{
	return is_at_target(s, id) ? MH_SLOT_UNREACHABLE : MH_SLOT_OK;
}

static void test_unreachable_version(void **state)
{
	int n;

	(void)state;
	for (n = 1; n <= N_SERVERS; n += N_SERVERS - 1) {
		struct site *s = new_site();

		s->outcome = target_is_unreachable;
		s->run_ms[1] = 2;
		add_servers(s, "o", OLD);
		if (n == 1)
			add_server_of(s, "t0", TARGET);
		else
			add_servers(s, "t", TARGET);
		give_order(s);
		run_load(s, 12000, 7);
		assert_int_equal(phase_of(s), MH_ROLLOUT_ROLLED_BACK);
		assert_int_equal(s->target_good + s->target_bad, 0);
		assert_true(s->granted[1] <= 10);
		free_site(s);
	}
}

/* Guards against a rollback for one dead server of many. */
static enum mh_slot_outcome one_is_unreachable(struct site *s, uint64_t id)
{
	return strcmp(s->f->results[id].server, "t3") ? MH_SLOT_OK :
							MH_SLOT_UNREACHABLE;
}

static void test_one_unreachable_server(void **state)
{
	struct site *s = new_site();

	(void)state;
	s->outcome = one_is_unreachable;
	add_servers(s, "o", OLD);
	add_servers(s, "t", TARGET);
	give_order(s);
	run_load(s, 12000, 7);
	assert_int_equal(phase_of(s), MH_ROLLOUT_SUCCEEDED);
	free_site(s);
}

/* Guards against a rollback because one request crashed a server that ran
 * several: their losses are one event. */
static void test_runs_lost_together_count_once(void **state)
{
	struct site *s = new_site();
	uint64_t id;
	int i;

	(void)state;
	add_servers(s, "o", OLD);
	add_server_of(s, "t0", TARGET);
	give_order(s);
	run_load(s, 1000, 5);
	for (i = 0; i < 400 && held_by(s, "t0") < 2; i++)
		run_load(s, 5, 5);
	assert_int_equal(held_by(s, "t0"), 2);
	phase_of(s);
	assert_int_equal(s->target_bad, 0);
	for (id = s->first_open; id < s->f->next_id; id++) {
		if (!is_at_target(s, id) || s->f->results[id].ended)
			continue;
		s->f->results[id].ended = true;
		done(s->f, id, MH_SLOT_LOST, 20);
	}
	phase_of(s);
	assert_int_equal(s->target_bad, 1);
	free_site(s);
}

/* Guards against a slow version whose streams last for long: the first byte
 * counts, before the end. */
static void test_slow_first_byte_counts_at_once(void **state)
{
	struct mh_dispatch_service_conf service = { SERVICE, 2, true };
	struct site *s = new_site();
	uint64_t id;
	int i;

	(void)state;
	mh_dispatch_set_service(s->f->d, &service);
	add_servers(s, "o", OLD);
	give_order(s);
	for (i = 0; i < 20; i++) {
		id = request(s->f, 0);
		advance_clock(s->f, 30);
		mh_dispatch_first_byte(s->f->d, 1, id, 30);
		done(s->f, id, MH_SLOT_OK, 30);
	}
	add_server_of(s, "t0", TARGET);
	advance_clock(s->f, 100);
	for (i = 0; i < 8 && !is_at_target(s, id); i++) {
		id = request(s->f, 0);
		advance_clock(s->f, 1);
	}
	assert_true(is_at_target(s, id));
	mh_dispatch_first_byte(s->f->d, 1, id, 150);
	phase_of(s);
	assert_int_equal(s->target_bad, 1);
	/* It counts once. */
	done(s->f, id, MH_SLOT_LOST, 200);
	phase_of(s);
	assert_int_equal(s->target_bad, 1);
	assert_int_equal(s->target_good, 0);
	free_site(s);
}

static void run_until_shifting(struct site *s)
{
	int i;

	for (i = 0; i < 1000 && phase_of(s) != MH_ROLLOUT_SHIFTING; i++)
		run_load(s, 10, 7);
	assert_int_equal(phase_of(s), MH_ROLLOUT_SHIFTING);
}

/* Guards against an old server that is stopped while a run of an entry that fell
 * silent may still be at it. */
static void test_success_waits_for_runs_of_silent_entries(void **state)
{
	struct site *s = new_site();
	struct mh_slot_request a;

	(void)state;
	add_servers(s, "o", OLD);
	add_servers(s, "t", TARGET);
	give_order(s);
	run_load(s, 3000, 7);
	do {
		a = make_request(s->f, 0);
		a.owner = 2;
		a.deadline_ns = s->f->now_ns + 20000 * MS;
		mh_dispatch_request_slot(s->f->d, &a);
		advance_clock(s->f, 1);
		s->f->results[a.id].ended = true;
	} while (is_at_target(s, a.id));
	mh_dispatch_owner_gone(s->f->d, 2);
	run_until_shifting(s);
	run_load(s, 7000, 20);
	assert_int_equal(phase_of(s), MH_ROLLOUT_SHIFTING);
	run_load(s, 12000, 20);
	assert_int_equal(phase_of(s), MH_ROLLOUT_SUCCEEDED);
	free_site(s);
}

/* Guards against an entry that is cut off and still sends to old servers by
 * itself when they are stopped. */
static void test_success_waits_for_lost_entries(void **state)
{
	struct site *s = new_site();

	(void)state;
	add_servers(s, "o", OLD);
	add_servers(s, "t", TARGET);
	give_order(s);
	run_load(s, 2000, 7);
	mh_dispatch_entry_lost(s->f->d, "cut-off", 3, s->f->now_ns);
	run_until_shifting(s);
	run_load(s, 8000, 20);
	assert_int_equal(phase_of(s), MH_ROLLOUT_SHIFTING);
	mh_dispatch_entry_linked(s->f->d, "cut-off");
	run_load(s, 200, 20);
	assert_int_equal(phase_of(s), MH_ROLLOUT_SUCCEEDED);
	free_site(s);
}

/* Guards against outcomes that a takeover loses: of slots that another
 * dispatcher granted. */
static void test_adopted_slots_are_judged(void **state)
{
	struct site *s = new_site();
	struct mh_slot_request a;

	(void)state;
	add_server_of(s, "o0", OLD);
	add_server_of(s, "t0", TARGET);
	give_order(s);
	a = make_request(s->f, 0);
	mh_dispatch_adopt_slot(s->f->d, &a, "t0", 10);
	phase_of(s);
	assert_int_equal(s->last.granted_service, 0);
	done(s->f, a.id, MH_SLOT_FAILED, 20);
	phase_of(s);
	assert_int_equal(s->target_bad, 1);
	free_site(s);
}

static void count_change(void *data, const struct mh_registration *updated)
{
	(*(uint32_t *)data)++;
	assert_non_null(updated->version);
}

/* Guards against a server that keeps the version of its former start. */
static void test_version_of_a_registration(void **state)
{
	struct mh_registration reg = {
		.id = (char *)"s1",
		.service = (char *)SERVICE,
		.address = (char *)"a:1",
		.places = 2,
		.born_ms = 1,
		.sequence = 1,
	};
	struct site *s = new_site();
	uint32_t n = 0;
	struct mh_catalog *cat = mh_catalog_new(count_change, &n);
	uint64_t id;

	(void)state;
	assert_true(mh_catalog_update(cat, &reg, 1));
	assert_string_equal(mh_catalog_find(cat, "s1")->version, "");
	reg.sequence = 2;
	reg.version = (char *)TARGET;
	assert_true(mh_catalog_update(cat, &reg, 1));
	assert_int_equal(n, 2);
	assert_string_equal(mh_catalog_find(cat, "s1")->version, TARGET);
	add_server_of(s, "o0", OLD);
	give_order(s);
	tell(s, MH_ROLLOUT_SHIFTING);
	id = request(s->f, 0);
	advance_clock(s->f, 1);
	assert_false(s->f->results[id].placed);
	mh_dispatch_update_registration(s->f->d, mh_catalog_find(cat, "s1"));
	id = request(s->f, 0);
	advance_clock(s->f, 1);
	assert_string_equal(s->f->results[id].server, "s1");
	mh_catalog_free(cat);
	free_site(s);
}

/* Guards against a roll-out that stands still in a service without requests. */
static void test_ticks_go_on_without_requests(void **state)
{
	struct site *s = new_site();

	(void)state;
	add_servers(s, "o", OLD);
	add_servers(s, "t", TARGET);
	assert_true(mh_dispatch_tick(s->f->d) == UINT64_MAX);
	give_order(s);
	while (s->f->now_ns < s->ordered_ns + 12000 * MS) {
		uint64_t next_ns = mh_dispatch_tick(s->f->d);

		if (next_ns == UINT64_MAX)
			break;
		assert_true(next_ns > s->f->now_ns);
		s->f->now_ns = next_ns;
	}
	assert_int_equal(phase_of(s), MH_ROLLOUT_SUCCEEDED);
	free_site(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_without_an_order_picks_are_unchanged),
		cmocka_unit_test(test_good_version),
		cmocka_unit_test(test_fallback_is_allowed),
		cmocka_unit_test(test_requests_wait_for_an_allowed_version),
		cmocka_unit_test(test_no_move_to_a_forbidden_version),
		cmocka_unit_test(test_canaries_are_concentrated),
		cmocka_unit_test(test_bad_under_load_only),
		cmocka_unit_test(test_bad_at_once),
		cmocka_unit_test(test_bad_by_slowness),
		cmocka_unit_test(test_uneven_machines),
		cmocka_unit_test(test_cold_servers_are_not_slow),
		cmocka_unit_test(test_cancelled_runs_say_nothing),
		cmocka_unit_test(test_unreachable_version),
		cmocka_unit_test(test_one_unreachable_server),
		cmocka_unit_test(test_runs_lost_together_count_once),
		cmocka_unit_test(test_slow_first_byte_counts_at_once),
		cmocka_unit_test(test_success_waits_for_runs_of_silent_entries),
		cmocka_unit_test(test_success_waits_for_lost_entries),
		cmocka_unit_test(test_adopted_slots_are_judged),
		cmocka_unit_test(test_version_of_a_registration),
		cmocka_unit_test(test_ticks_go_on_without_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
