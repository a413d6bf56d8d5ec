/*
 * Unit tests of the choice of the dispatcher, the catalog of servers and the
 * routes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>
#include <utlist.h>

#include "core/candidates.h"
#include "core/catalog.h"
#include "core/clock.h"
#include "core/routes.h"

#define MS MH_NS_PER_MS
#define SERVICE "pool"

/* ---- choice of the dispatcher ---- */

static void count_dialled(void *data, struct mh_candidate *c, bool dial)
{
	(void)c;
	*(int *)data += dial ? 1 : -1;
}

static struct mh_candidate *bring_up(struct mh_candidate *c, uint32_t link,
				     bool fit, uint64_t now_ns)
{
	mh_candidate_up(c, link, link, now_ns);
	mh_candidate_heartbeat(c, fit, now_ns);
	return c;
}

static void add_candidates(struct mh_candidates *set)
{
	mh_candidates_add(set, "one", "1.1.1.1:1");
	mh_candidates_add(set, "two", "1.1.1.2:1");
	mh_candidates_add(set, "three", "1.1.1.3:1");
	mh_candidates_add(set, "four", "1.1.1.4:1");
}

static void test_entries_link_to_two_dispatchers(void **state)
{
	struct mh_candidates set = { 0 };
	uint64_t now_ns = 1000 * MS;
	int dialled = 0;

	(void)state;
	add_candidates(&set);
	mh_candidates_dial(&set, NULL, now_ns, count_dialled, &dialled);
	assert_int_equal(dialled, 2);
	mh_candidates_dial(&set, NULL, now_ns + 100 * MS, count_dialled,
			   &dialled);
	assert_int_equal(dialled, 2);
	/* Neither comes up: links to two more are opened. */
	mh_candidates_dial(&set, NULL, now_ns + 300 * MS, count_dialled,
			   &dialled);
	assert_int_equal(dialled, 4);
	/* The best two are up: the other links are closed. */
	bring_up(set.first, 1, true, now_ns);
	bring_up(set.first->next, 2, true, now_ns);
	mh_candidates_dial(&set, NULL, now_ns + 400 * MS, count_dialled,
			   &dialled);
	assert_int_equal(dialled, 2);
	mh_candidates_release(&set);
}

/* Guards against entries that close the links of the dispatchers which told them
 * of better ones, before those are up. */
static void test_link_is_kept_until_better_ones_are_up(void **state)
{
	struct mh_candidates set = { 0 };
	uint64_t now_ns = 1000 * MS;
	int dialled = 0;

	(void)state;
	add_candidates(&set);
	bring_up(set.first->next->next, 3, true, now_ns)->dialled = true;
	mh_candidates_dial(&set, NULL, now_ns, count_dialled, &dialled);
	assert_int_equal(dialled, 2);
	assert_true(set.first->next->next->dialled);
	bring_up(set.first, 1, true, now_ns);
	bring_up(set.first->next, 2, true, now_ns);
	mh_candidates_dial(&set, NULL, now_ns + 10 * MS, count_dialled,
			   &dialled);
	assert_false(set.first->next->next->dialled);
	mh_candidates_release(&set);
}

/* All processes start at once: some entries choose the second best before the
 * best one is fit. They agree as soon as it is. */
static void test_entries_agree_soon_after_a_start(void **state)
{
	struct mh_candidates set = { 0 };
	struct mh_candidate *best, *next;
	uint64_t now_ns = 1000 * MS;

	(void)state;
	add_candidates(&set);
	best = set.first;
	next = bring_up(best->next, 2, true, now_ns);
	now_ns += 201 * MS;
	assert_ptr_equal(mh_candidates_choose(&set, NULL, now_ns), next);
	set.found_ns = now_ns;
	bring_up(best, 1, false, now_ns);
	assert_ptr_equal(mh_candidates_choose(&set, next, now_ns + 50 * MS),
			 next);
	mh_candidate_heartbeat(best, true, now_ns + 100 * MS);
	assert_ptr_equal(mh_candidates_choose(&set, next, now_ns + 100 * MS),
			 best);
	/* Later a better one has to be unchanged for a while. */
	assert_ptr_equal(mh_candidates_choose(&set, next, now_ns + 750 * MS),
			 next);
	mh_candidates_release(&set);
}

static void test_best_fit_dispatcher_is_used(void **state)
{
	struct mh_candidates set = { 0 };
	struct mh_candidate *best, *next;
	uint64_t now_ns = 1000 * MS;

	(void)state;
	add_candidates(&set);
	assert_null(mh_candidates_choose(&set, NULL, now_ns));
	best = set.first;
	next = bring_up(best->next, 2, true, now_ns);
	/* The best one may still come up. */
	assert_null(mh_candidates_choose(&set, NULL, now_ns + 100 * MS));
	assert_ptr_equal(mh_candidates_choose(&set, NULL, now_ns + 201 * MS),
			 next);
	/* It comes up, and is used once it has been fit for a while. */
	bring_up(best, 1, true, now_ns + 300 * MS);
	assert_ptr_equal(mh_candidates_choose(&set, next, now_ns + 400 * MS),
			 next);
	assert_ptr_equal(mh_candidates_choose(&set, next, now_ns + 1001 * MS),
			 best);
	mh_candidates_release(&set);
}

/*
 * The store does not respond for a second, so that no dispatcher is fit.
 * Entries must not switch back and forth between dispatchers, as they did in
 * incidents inc-82e6 on faarepris and inc-4a7d on vbst-flotte.
 */
static void test_no_change_while_no_dispatcher_is_fit(void **state)
{
	struct mh_candidates set = { 0 };
	struct mh_candidate *best, *next;
	uint64_t now_ns = 5000 * MS;

	(void)state;
	add_candidates(&set);
	best = bring_up(set.first, 1, true, 1000 * MS);
	next = bring_up(best->next, 2, true, 1000 * MS);
	assert_ptr_equal(mh_candidates_choose(&set, best, now_ns), best);
	mh_candidate_heartbeat(best, false, now_ns);
	assert_ptr_equal(mh_candidates_choose(&set, best, now_ns), next);
	mh_candidate_heartbeat(next, false, now_ns + 50 * MS);
	assert_ptr_equal(mh_candidates_choose(&set, next, now_ns + 60 * MS),
			 next);
	assert_ptr_equal(mh_candidates_choose(&set, next, now_ns + 2000 * MS),
			 next);
	/* Back to the best one when both have been fit for a while. */
	mh_candidate_heartbeat(best, true, now_ns + 2000 * MS);
	mh_candidate_heartbeat(next, true, now_ns + 2000 * MS);
	assert_ptr_equal(mh_candidates_choose(&set, next, now_ns + 2100 * MS),
			 next);
	assert_ptr_equal(mh_candidates_choose(&set, next, now_ns + 2800 * MS),
			 best);
	mh_candidates_release(&set);
}

/* Guards against an entry's share of slots and limits that grows because a
 * dispatcher to which only some entries are linked reports their number. */
static void test_few_linked_entries_do_not_raise_the_share(void **state)
{
	struct mh_candidates set = { .entries = 1 };
	uint64_t now_ns = 5000 * MS;

	(void)state;
	mh_candidates_count_entries(&set, 5, true, now_ns);
	assert_int_equal(set.entries, 5);
	now_ns += 10000 * MS;
	mh_candidates_count_entries(&set, 5, true, now_ns);
	mh_candidates_count_entries(&set, 1, false, now_ns + 100 * MS);
	assert_int_equal(set.entries, 5);
	/* The dispatcher has just come into use: entries are linking to it. */
	mh_candidates_count_entries(&set, 2, true, now_ns + 200 * MS);
	assert_int_equal(set.entries, 5);
	/* Two entries less, and the dispatcher in use goes on saying so. */
	mh_candidates_count_entries(&set, 3, true, now_ns + 3100 * MS);
	assert_int_equal(set.entries, 3);
	mh_candidates_count_entries(&set, 0, true, now_ns + 9000 * MS);
	assert_int_equal(set.entries, 3);
	/* One that joined counts at once. */
	mh_candidates_count_entries(&set, 4, false, now_ns + 9100 * MS);
	assert_int_equal(set.entries, 4);
}

static void test_lost_dispatcher_is_left_at_once(void **state)
{
	struct mh_candidates set = { 0 };
	struct mh_candidate *best, *next;

	(void)state;
	add_candidates(&set);
	best = bring_up(set.first, 1, true, 1000 * MS);
	next = bring_up(best->next, 2, true, 4900 * MS);
	mh_candidate_down(best);
	assert_ptr_equal(mh_candidates_choose(&set, best, 5000 * MS), next);
	assert_ptr_equal(mh_candidates_of_link(&set, 2), next);
	assert_null(mh_candidates_of_link(&set, 1));
	mh_candidate_down(next);
	assert_null(mh_candidates_choose(&set, next, 5000 * MS));
	mh_candidates_release(&set);
}

/* ---- catalog ---- */

struct last_change {
	int changes;
	enum mh_server_state state;
	uint64_t born_ms;
};

static void on_changed(void *data, const struct mh_registration *now)
{
	struct last_change *last = data;

	last->changes++;
	last->state = now->state;
	last->born_ms = now->born_ms;
}

static bool update(struct mh_catalog *cat, enum mh_server_state state,
		   uint64_t born_ms, uint64_t sequence)
{
	struct mh_registration e = {
		.id = "s",
		.service = SERVICE,
		.address = "127.0.0.1:1",
		.zone = "z",
		.places = 2,
		.state = state,
		.born_ms = born_ms,
		.sequence = sequence,
	};

	return mh_catalog_update(cat, &e, 1000 * MS);
}

static void test_old_registrations_change_nothing(void **state)
{
	struct last_change last = { 0 };
	struct mh_catalog *cat = mh_catalog_new(on_changed, &last);

	(void)state;
	assert_true(update(cat, MH_SERVER_READY, 10, 1));
	assert_true(update(cat, MH_SERVER_READY, 10, 5));
	assert_int_equal(last.changes, 1);
	assert_true(update(cat, MH_SERVER_DRAINING, 10, 6));
	assert_false(update(cat, MH_SERVER_READY, 10, 5));
	assert_int_equal(last.state, MH_SERVER_DRAINING);
	/* Restarted in place: its sequence starts over. */
	assert_true(update(cat, MH_SERVER_READY, 11, 1));
	assert_int_equal(last.state, MH_SERVER_READY);
	assert_int_equal(last.born_ms, 11);
	assert_false(update(cat, MH_SERVER_DRAINING, 10, 99));
	mh_catalog_free(cat);
}

/* Guards against an entry that never uses a server again, as another dispatcher told
 * it of a removal, and the one in use, which missed that, has nothing to tell. */
static void test_peers_are_told_of_newer_registrations(void **state)
{
	struct last_change last = { 0 };
	struct mh_catalog *cat = mh_catalog_new(on_changed, &last);
	struct mh_registration theirs = { .id = "s",
					  .state = MH_SERVER_GONE,
					  .sequence = 4 };

	(void)state;
	update(cat, MH_SERVER_READY, 0, 4);
	/* Gone is newer than the registration that was removed. */
	assert_null(mh_catalog_newer(cat, &theirs));
	update(cat, MH_SERVER_READY, 0, 5);
	assert_int_equal(last.changes, 1);
	assert_non_null(mh_catalog_newer(cat, &theirs));
	assert_int_equal(mh_catalog_newer(cat, &theirs)->sequence, 5);
	theirs.sequence = 6;
	assert_null(mh_catalog_newer(cat, &theirs));
	theirs.id = "unknown";
	assert_null(mh_catalog_newer(cat, &theirs));
	mh_catalog_free(cat);
}

static void test_removed_server_is_gone_until_it_registers_again(void **state)
{
	struct last_change last = { 0 };
	struct mh_catalog *cat = mh_catalog_new(on_changed, &last);

	(void)state;
	update(cat, MH_SERVER_READY, 0, 4);
	mh_catalog_removed(cat, "s", 1000 * MS);
	assert_int_equal(last.state, MH_SERVER_GONE);
	assert_false(update(cat, MH_SERVER_READY, 0, 4));
	assert_true(update(cat, MH_SERVER_READY, 0, 5));
	assert_int_equal(last.state, MH_SERVER_READY);
	mh_catalog_removed(cat, "unknown", 1000 * MS);
	mh_catalog_free(cat);
}

static void test_gone_servers_are_dropped_later(void **state)
{
	struct last_change last = { 0 };
	struct mh_catalog *cat = mh_catalog_new(on_changed, &last);

	(void)state;
	update(cat, MH_SERVER_READY, 0, 4);
	update(cat, MH_SERVER_GONE, 0, 5);
	mh_catalog_tick(cat, 2000 * MS);
	assert_non_null(mh_catalog_find(cat, "s"));
	mh_catalog_tick(cat, 200000 * MS);
	assert_null(mh_catalog_find(cat, "s"));
	mh_catalog_free(cat);
}

static bool update_at(struct mh_catalog *cat, enum mh_server_state state,
		      uint64_t sequence, uint64_t era, uint64_t next)
{
	struct mh_registration e = {
		.id = "s",
		.service = SERVICE,
		.address = "127.0.0.1:1",
		.places = 2,
		.state = state,
		.sequence = sequence,
		.read_at = { era, next },
	};

	return mh_catalog_update(cat, &e, 1000 * MS);
}

/* Guards against an entry that has read of a removal and is talked out of it by a
 * dispatcher that knows a later registration but read it earlier. */
static void test_a_removal_goes_by_the_order_of_the_store(void **state)
{
	struct last_change last = { 0 };
	struct mh_catalog *cat = mh_catalog_new(on_changed, &last);
	struct mh_store_position at = { 1, 50 };
	struct mh_registration theirs = { .id = "s",
					  .sequence = 9,
					  .read_at = { 1, 40 } };

	(void)state;
	update_at(cat, MH_SERVER_READY, 1, 1, 10);
	mh_catalog_read_at(cat, &at);
	mh_catalog_removed(cat, "s", 1000 * MS);
	assert_int_equal(last.state, MH_SERVER_GONE);
	assert_false(update_at(cat, MH_SERVER_READY, 9, 1, 40));
	assert_non_null(mh_catalog_newer(cat, &theirs));
	/* It registers again, also from a new start of the store's count. */
	assert_true(update_at(cat, MH_SERVER_READY, 2, 1, 51));
	assert_false(update_at(cat, MH_SERVER_DRAINING, 1, 2, 5));
	assert_true(update_at(cat, MH_SERVER_DRAINING, 3, 2, 5));
	assert_int_equal(last.state, MH_SERVER_DRAINING);
	mh_catalog_free(cat);
}

/* Guards against history that is read late, or a listing made before a server
 * registered, taking away what others have told since. */
static void test_an_older_removal_changes_nothing(void **state)
{
	struct last_change last = { 0 };
	struct mh_catalog *cat = mh_catalog_new(on_changed, &last);
	struct mh_store_position at = { 1, 50 };

	(void)state;
	update_at(cat, MH_SERVER_READY, 1, 1, 51);
	mh_catalog_read_at(cat, &at);
	mh_catalog_removed(cat, "s", 1000 * MS);
	mh_catalog_listing_begin(cat);
	mh_catalog_listing_end(cat, 1000 * MS);
	assert_int_equal(last.state, MH_SERVER_READY);
	at.next = 52;
	mh_catalog_read_at(cat, &at);
	mh_catalog_listing_begin(cat);
	mh_catalog_listing_end(cat, 1000 * MS);
	assert_int_equal(last.state, MH_SERVER_GONE);
	mh_catalog_free(cat);
}

/* Guards against entries that trust a dispatcher which can't tell a removal from a
 * lapse, and against two of them in turn. */
static void test_dispatchers_say_how_much_they_know(void **state)
{
	struct mh_candidates set = { 0 };
	struct mh_candidate *one, *two;

	(void)state;
	add_candidates(&set);
	one = bring_up(mh_candidates_find(&set, "one"), 1, true, 1000 * MS);
	two = bring_up(mh_candidates_find(&set, "two"), 2, true, 1000 * MS);
	assert_int_equal(mh_candidates_servers_ns(&set), 0);
	assert_true(mh_candidates_doubt_servers(&set));
	mh_candidate_know_servers(one, 300, false, 2000 * MS);
	mh_candidate_know_servers(two, 900, false, 2000 * MS);
	assert_int_equal(mh_candidates_servers_ns(&set), 1700 * MS);
	assert_false(mh_candidates_doubt_servers(&set));
	mh_candidate_know_servers(one, 0, true, 2500 * MS);
	assert_int_equal(mh_candidates_servers_ns(&set), 1100 * MS);
	assert_false(mh_candidates_doubt_servers(&set));
	mh_candidate_know_servers(two, UINT32_MAX, true, 2500 * MS);
	assert_true(mh_candidates_doubt_servers(&set));
	mh_candidates_release(&set);
}

/* Guards against a server that is used like any other while it may be gone, and
 * against one that is removed although the store has it again. */
static void test_a_deferred_removal_makes_a_server_doubtful(void **state)
{
	struct last_change last = { 0 };
	struct mh_catalog *cat = mh_catalog_new(on_changed, &last);

	(void)state;
	update(cat, MH_SERVER_READY, 0, 4);
	mh_catalog_set_store_ok(cat, false, 1000 * MS);
	mh_catalog_set_store_ok(cat, true, 5000 * MS);
	mh_catalog_removed(cat, "s", 5001 * MS);
	assert_true(mh_catalog_find(cat, "s")->is_doubtful);
	assert_true(mh_catalog_defers_removals(cat));
	assert_int_equal(last.changes, 2);
	mh_catalog_listed(cat, "s");
	assert_false(mh_catalog_find(cat, "s")->is_doubtful);
	assert_false(mh_catalog_defers_removals(cat));
	mh_catalog_tick(cat, 9000 * MS);
	assert_int_equal(last.state, MH_SERVER_READY);
	mh_catalog_set_store_ok(cat, false, 10000 * MS);
	mh_catalog_removed(cat, "s", 10001 * MS);
	assert_true(update(cat, MH_SERVER_READY, 0, 5));
	assert_false(mh_catalog_find(cat, "s")->is_doubtful);
	mh_catalog_free(cat);
}

static void test_removal_during_a_store_outage_is_deferred(void **state)
{
	struct last_change last = { 0 };
	struct mh_catalog *cat = mh_catalog_new(on_changed, &last);

	(void)state;
	update(cat, MH_SERVER_READY, 0, 4);
	mh_catalog_set_store_ok(cat, false, 1000 * MS);
	mh_catalog_set_store_ok(cat, true, 5000 * MS);
	mh_catalog_removed(cat, "s", 5001 * MS);
	mh_catalog_tick(cat, 6000 * MS);
	assert_int_equal(last.state, MH_SERVER_READY);
	/* It registered again in time. */
	update(cat, MH_SERVER_READY, 0, 5);
	mh_catalog_tick(cat, 9000 * MS);
	assert_int_equal(last.state, MH_SERVER_READY);
	/* Another outage, after which it does not register again. */
	mh_catalog_set_store_ok(cat, false, 10000 * MS);
	mh_catalog_set_store_ok(cat, true, 11000 * MS);
	mh_catalog_listing_begin(cat);
	mh_catalog_listing_end(cat, 11001 * MS);
	mh_catalog_tick(cat, 12000 * MS);
	assert_int_equal(last.state, MH_SERVER_READY);
	mh_catalog_tick(cat, 13500 * MS);
	assert_int_equal(last.state, MH_SERVER_GONE);
	mh_catalog_free(cat);
}

/* ---- routes ---- */

static struct mh_routes *make_routes(void)
{
	struct mh_routes *set = mh_routes_new(3);
	struct mh_route_target two[] = { { "blue", 90 }, { "green", 10 } };
	struct mh_route r = { .name = "r1",
			      .host = "Shop.example",
			      .prefix = "/a/",
			      .targets = two,
			      .n_targets = 2 };
	struct mh_client_account acct = { .name = "acct" };
	const char *const keys[] = { "k1", "k2" };

	mh_routes_add(set, &r);
	r.name = "r2";
	r.prefix = "/a/b/";
	mh_routes_add(set, &r);
	mh_routes_add_account(set, &acct, keys, 2);
	return set;
}

static const char *route_of(struct mh_routes *set, const char *host,
			    const char *path)
{
	const struct mh_route *r =
		mh_routes_find(set, host, strlen(host), path, strlen(path));

	return r ? r->name : "none";
}

static void test_longest_prefix_of_the_host_wins(void **state)
{
	struct mh_routes *set = make_routes();

	(void)state;
	assert_string_equal(route_of(set, "shop.example", "/a/x"), "r1");
	assert_string_equal(route_of(set, "SHOP.example", "/a/b/x?q=/c/"),
			    "r2");
	assert_string_equal(route_of(set, "shop.example", "/a/b"), "r1");
	assert_string_equal(route_of(set, "shop.example", "/a"), "none");
	assert_string_equal(route_of(set, "shop.example", "/?/a/"), "none");
	assert_string_equal(route_of(set, "other.example", "/a/x"), "none");
	mh_routes_unref(set);
}

static void test_weights_split_a_route(void **state)
{
	struct mh_routes *set = make_routes();
	const struct mh_route *r =
		mh_routes_find(set, "shop.example", 12, "/a/", 3);
	uint32_t i, green = 0;

	(void)state;
	for (i = 0; i < 1000; i++)
		green += !strcmp(mh_routes_pick_service(r, i), "green");
	assert_int_equal(green, 100);
	mh_routes_unref(set);
}

static void test_keys_belong_to_accounts(void **state)
{
	struct mh_routes *set = make_routes();

	(void)state;
	assert_non_null(mh_routes_account_by_key(set, "k2", 2));
	assert_null(mh_routes_account_by_key(set, "k3", 2));
	assert_null(mh_routes_account_by_key(set, "", 0));
	assert_null(mh_routes_account_by_key(set, "k1x", 3));
	assert_true(mh_routes_has_accounts(set));
	mh_routes_unref(set);
}

static void set_fit(struct mh_candidates *set, const char *name, bool fit,
		    uint64_t now_ns)
{
	struct mh_candidate *c = mh_candidates_find(set, name);

	if (!c->up)
		mh_candidate_up(c, 1, 1, now_ns);
	mh_candidate_heartbeat(c, fit, now_ns);
}

/* Guards against an entry that stays with the dispatchers that it is linked to
 * while others reach the store, and against one that links to all of them. */
static void test_further_dispatchers_are_tried_while_none_is_fit(void **state)
{
	struct mh_candidates set = { 0 };
	struct mh_candidate *c, *used;
	uint64_t now_ns = 1000 * MS;
	char tried[512] = "";
	int dialled = 0, ms, most = 0;

	(void)state;
	add_candidates(&set);
	mh_candidates_add(&set, "five", "1.1.1.5:1");
	mh_candidates_add(&set, "six", "1.1.1.6:1");
	mh_candidates_dial(&set, NULL, now_ns, count_dialled, &dialled);
	used = set.first;
	set_fit(&set, used->name, true, now_ns);
	set_fit(&set, used->next->name, true, now_ns);
	for (ms = 0; ms < 3000; ms += 100, now_ns += 100 * MS)
		mh_candidates_dial(&set, used, now_ns, count_dialled, &dialled);
	assert_int_equal(dialled, 2);
	set_fit(&set, used->name, false, now_ns);
	set_fit(&set, used->next->name, false, now_ns);
	for (ms = 0; ms < 3000; ms += 100, now_ns += 100 * MS) {
		int n = 0;

		mh_candidates_dial(&set, used, now_ns, count_dialled, &dialled);
		DL_FOREACH(set.first, c) {
			n += c->dialled;
			if (c->dialled && !strstr(tried, c->name))
				strcat(tried, c->name);
			if (c->dialled && !c->up)
				set_fit(&set, c->name, false, now_ns);
			else if (!c->dialled && c->up)
				mh_candidate_down(c);
		}
		most = n > most ? n : most;
	}
	assert_int_equal(most, 4);
	DL_FOREACH(set.first, c)
		assert_non_null(strstr(tried, c->name));
	/* One of them is fit: it is used, and the search ends. */
	DL_FOREACH(set.first, c) {
		if (c->up && c != used && c != used->next)
			break;
	}
	assert_non_null(c);
	set_fit(&set, c->name, true, now_ns);
	assert_ptr_equal(mh_candidates_choose(&set, used, now_ns), c);
	mh_candidates_dial(&set, c, now_ns, count_dialled, &dialled);
	assert_int_equal(set.search_ns, 0);
	mh_candidates_release(&set);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_entries_link_to_two_dispatchers),
		cmocka_unit_test(test_link_is_kept_until_better_ones_are_up),
		cmocka_unit_test(test_entries_agree_soon_after_a_start),
		cmocka_unit_test(test_best_fit_dispatcher_is_used),
		cmocka_unit_test(test_no_change_while_no_dispatcher_is_fit),
		cmocka_unit_test(
			test_few_linked_entries_do_not_raise_the_share),
		cmocka_unit_test(test_lost_dispatcher_is_left_at_once),
		cmocka_unit_test(test_old_registrations_change_nothing),
		cmocka_unit_test(
			test_removed_server_is_gone_until_it_registers_again),
		cmocka_unit_test(test_gone_servers_are_dropped_later),
		cmocka_unit_test(
			test_removal_during_a_store_outage_is_deferred),
		cmocka_unit_test(test_longest_prefix_of_the_host_wins),
		cmocka_unit_test(test_weights_split_a_route),
		cmocka_unit_test(
			test_a_deferred_removal_makes_a_server_doubtful),
		cmocka_unit_test(test_a_removal_goes_by_the_order_of_the_store),
		cmocka_unit_test(test_an_older_removal_changes_nothing),
		cmocka_unit_test(test_dispatchers_say_how_much_they_know),
		cmocka_unit_test(
			test_further_dispatchers_are_tried_while_none_is_fit),
		cmocka_unit_test(test_peers_are_told_of_newer_registrations),
		cmocka_unit_test(test_keys_belong_to_accounts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
