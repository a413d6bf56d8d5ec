/*
 * Unit tests of how dispatchers tell requests that crash servers from requests
 * that were at a server when it went down.
 */
#include "platform/ledger.h"
#include "tests/dispatch_fixture.h"

#define BAD 99 /* fingerprint of a request that crashes servers */
#define SLOTS 4

static struct fixture *new_crash_fixture(uint32_t n_servers)
{
	struct mh_dispatch_service_conf service = { SERVICE, SLOTS, false };
	struct fixture *f = new_fixture();
	char name[8];
	uint32_t i;

	mh_dispatch_set_service(f->d, &service);
	for (i = 0; i < n_servers; i++) {
		snprintf(name, sizeof(name), "s%u", i);
		add_server(f, name, 1, true);
	}
	return f;
}

static uint64_t request_equal(struct fixture *f, uint64_t fingerprint)
{
	struct mh_slot_request a = make_request(f, 0);

	a.fingerprint = fingerprint;
	a.start_by_ns = a.deadline_ns = f->now_ns + 8000 * MS;
	mh_dispatch_request_slot(f->d, &a);
	mh_dispatch_tick(f->d);
	return a.id;
}

static bool is_at(const struct fixture *f, uint64_t id, const char *server)
{
	return f->results[id].placed && !f->results[id].ended &&
	       !strcmp(f->results[id].server, server);
}

static void end(struct fixture *f, uint64_t id, enum mh_slot_outcome outcome)
{
	f->results[id].ended = true;
	done(f, id, outcome, 10);
}

/* All connections of a server break, then new ones are refused: the order in
 * which entries see a crash. The server is back under a new identifier. */
static void crash_server(struct fixture *f, const char *server)
{
	char name[32], back[32];
	uint64_t id, probe;

	snprintf(name, sizeof(name), "%s", server);
	for (id = 0; id < f->next_id; id++) {
		if (is_at(f, id, name)) {
			f->results[id].ended = true;
			mh_dispatch_done(f->d, 1, id, MH_SLOT_LOST, 10);
		}
	}
	advance_clock(f, 1);
	probe = request_equal(f, 0);
	if (is_at(f, probe, name))
		end(f, probe, MH_SLOT_UNREACHABLE);
	else if (f->results[probe].placed)
		end(f, probe, MH_SLOT_OK);
	add_server(f, name, 1, false);
	snprintf(back, sizeof(back), "b%u", f->n_back++);
	add_server(f, back, 1, true);
	advance_clock(f, 300);
}

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

/* Return: whether copies of a request run beside each other, so that it is no
 * suspect. */
static bool runs_freely(struct fixture *f, uint64_t fingerprint)
{
	uint64_t a = request_equal(f, fingerprint);
	uint64_t b = request_equal(f, fingerprint);
	bool both = f->results[a].placed && f->results[b].placed;

	end(f, a, MH_SLOT_CANCELLED);
	end(f, b, MH_SLOT_CANCELLED);
	return both;
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
		assert_int_equal(f->last_lost.verdict, MH_LOST_ALIBI);
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
static void test_servers_that_go_down_at_once_convict_no_request(void **state)
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

/* ---- several dispatchers and entries ---- */

#define DISPATCHERS 2
#define ENTRIES 3

/* Dispatchers, and the entries that pass on what they know. An entry's fixture
 * stands for its own share of the slots. */
struct cluster {
	struct fixture *d[DISPATCHERS];
	struct fixture *e[ENTRIES];
	bool linked[ENTRIES][DISPATCHERS];
};

static void share_from_dispatcher(struct cluster *c, uint32_t d,
				  const struct mh_suspect *suspect,
				  const struct fixture *sender);

static void share_from_entry(struct cluster *c, uint32_t e,
			     const struct mh_suspect *suspect,
			     const struct fixture *sender)
{
	uint32_t d;

	for (d = 0; d < DISPATCHERS; d++) {
		if (c->linked[e][d] && c->d[d] != sender &&
		    mh_dispatch_merge_suspect(c->d[d]->d, suspect))
			share_from_dispatcher(c, d, suspect, c->e[e]);
	}
}

static void share_from_dispatcher(struct cluster *c, uint32_t d,
				  const struct mh_suspect *suspect,
				  const struct fixture *sender)
{
	uint32_t e;

	for (e = 0; e < ENTRIES; e++) {
		if (c->linked[e][d] && c->e[e] != sender &&
		    mh_dispatch_merge_suspect(c->e[e]->d, suspect))
			share_from_entry(c, e, suspect, c->d[d]);
	}
}

static void dispatcher_shares(struct fixture *f,
			      const struct mh_suspect *suspect)
{
	share_from_dispatcher(f->cluster, f->number, suspect, NULL);
}

static void entry_shares(struct fixture *f, const struct mh_suspect *suspect)
{
	share_from_entry(f->cluster, f->number, suspect, NULL);
}

static struct fixture *add_member(struct cluster *c, uint32_t number,
				  void (*shares)(struct fixture *f,
						 const struct mh_suspect *s))
{
	struct fixture *f = new_crash_fixture(9);

	f->cluster = c;
	f->number = number;
	f->shares_suspect = shares;
	return f;
}

static void send_to(void *data, const struct mh_suspect *suspect)
{
	mh_dispatch_merge_suspect(((struct fixture *)data)->d, suspect);
}

static void link_up(struct cluster *c, uint32_t e, uint32_t d)
{
	c->linked[e][d] = true;
	mh_dispatch_each_suspect(c->d[d]->d, send_to, c->e[e]);
	mh_dispatch_each_suspect(c->e[e]->d, send_to, c->d[d]);
}

static void link_down(struct cluster *c, uint32_t d)
{
	uint32_t e;

	for (e = 0; e < ENTRIES; e++)
		c->linked[e][d] = false;
}

/* Entry 1 is linked to both dispatchers, the others to one each. */
static struct cluster *new_cluster(void)
{
	struct cluster *c = calloc(1, sizeof(*c));
	uint32_t i;

	assert_non_null(c);
	for (i = 0; i < DISPATCHERS; i++)
		c->d[i] = add_member(c, i, dispatcher_shares);
	for (i = 0; i < ENTRIES; i++)
		c->e[i] = add_member(c, i, entry_shares);
	link_up(c, 0, 0);
	link_up(c, 1, 0);
	link_up(c, 1, 1);
	link_up(c, 2, 1);
	return c;
}

static void free_cluster(struct cluster *c)
{
	uint32_t i;

	for (i = 0; i < DISPATCHERS; i++)
		free_fixture(c->d[i]);
	for (i = 0; i < ENTRIES; i++)
		free_fixture(c->e[i]);
	free(c);
}

static void advance_cluster(struct cluster *c, uint64_t ms)
{
	uint32_t i;

	for (i = 0; i < DISPATCHERS; i++)
		advance_clock(c->d[i], ms);
	for (i = 0; i < ENTRIES; i++)
		advance_clock(c->e[i], ms);
}

/* The request crashes a server that this member gave it a slot of. */
static void crash_through(struct cluster *c, struct fixture *f)
{
	uint64_t id = request_equal(f, BAD);

	assert_true(f->results[id].placed);
	end(f, id, MH_SLOT_LOST);
	advance_cluster(c, 1000);
}

static bool refuses_bad(struct fixture *f)
{
	return f->results[request_equal(f, BAD)].error ==
	       MH_ERR_CRASHES_SERVERS;
}

/* Guards against a third crash that nobody sees, because each dispatcher and
 * each entry without one counts for itself. */
static void test_crashes_count_wherever_they_are_seen(void **state)
{
	struct cluster *c = new_cluster();
	uint32_t i;

	(void)state;
	crash_through(c, c->d[0]);
	crash_through(c, c->d[1]);
	crash_through(c, c->e[2]);
	for (i = 0; i < DISPATCHERS; i++)
		assert_true(refuses_bad(c->d[i]));
	for (i = 0; i < ENTRIES; i++)
		assert_true(refuses_bad(c->e[i]));
	free_cluster(c);
}

/* Guards against a restart or change of the dispatcher that forgets crashes. */
static void test_dispatcher_that_starts_knows_the_crashes(void **state)
{
	struct cluster *c = new_cluster();
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		crash_through(c, c->d[0]);
		link_down(c, 0);
		free_fixture(c->d[0]);
		c->d[0] = add_member(c, 0, dispatcher_shares);
		c->d[0]->now_ns = c->e[0]->now_ns;
		link_up(c, 0, 0);
	}
	assert_true(refuses_bad(c->d[0]));
	free_cluster(c);
}

/* Guards against an entry that joins and then has to use its own share. */
static void test_entry_that_joins_knows_the_crashes(void **state)
{
	struct cluster *c = new_cluster();
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++)
		crash_through(c, c->d[0]);
	free_fixture(c->e[2]);
	c->e[2] = add_member(c, 2, entry_shares);
	c->e[2]->now_ns = c->e[0]->now_ns;
	c->linked[2][1] = false;
	link_up(c, 2, 1);
	link_down(c, 0);
	link_down(c, 1);
	assert_true(refuses_bad(c->e[2]));
	free_cluster(c);
}

/* Guards against a loss of all processes after which the request crashes servers
 * anew. */
static void test_crashes_survive_the_loss_of_all_processes(void **state)
{
	struct cluster *c = new_cluster(), *fresh = new_cluster();
	uint32_t i;
	char *text;

	(void)state;
	for (i = 0; i < 3; i++)
		crash_through(c, c->d[0]);
	text = mh_ledger_encode(c->d[0]->d, c->d[0]->now_ns / MS);
	assert_non_null(text);
	advance_cluster(fresh, 5000);
	assert_true(mh_ledger_decode(fresh->d[0]->d, (uint8_t *)text,
				     strlen(text), fresh->d[0]->now_ns / MS));
	for (i = 0; i < DISPATCHERS; i++)
		assert_true(refuses_bad(fresh->d[i]));
	for (i = 0; i < ENTRIES; i++)
		assert_true(refuses_bad(fresh->e[i]));
	free(text);
	free_cluster(c);
	free_cluster(fresh);
}

/* Guards against stored records that break a dispatcher which reads them. */
static void test_malformed_stored_suspects_are_rejected(void **state)
{
	static const char *const bad[] = {
		"{\"wall_ms\":1,\"spent\":[],\"suspects\":1}",
		"{\"wall_ms\":1,\"spent\":[],\"suspects\":[[]]}",
		"{\"wall_ms\":1,\"spent\":[],\"suspects\":[[\"a\"]]}",
		"{\"wall_ms\":1,\"spent\":[],\"suspects\":[[\"a\",-1]]}",
		"{\"wall_ms\":1,\"spent\":[],\"suspects\":[[\"a\",1,\"b\"]]}",
		"{\"wall_ms\":1,\"spent\":[],"
		"\"suspects\":[[\"a\",1,\"b\",\"c\",1,2,false]]}",
	};
	static const char old[] = "{\"wall_ms\":1,\"spent\":[]}";
	struct fixture *f = new_crash_fixture(1);
	uint32_t i;

	(void)state;
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		assert_false(mh_ledger_decode(f->d, (const uint8_t *)bad[i],
					      strlen(bad[i]), f->now_ns / MS));
	/* A record of a former version has none. */
	assert_true(mh_ledger_decode(f->d, (const uint8_t *)old, strlen(old),
				     f->now_ns / MS));
	free_fixture(f);
}

/* Guards against a dispatcher that goes on holding crashes against a request
 * which another one has cleared. */
static void test_cleared_request_is_cleared_everywhere(void **state)
{
	struct cluster *c = new_cluster();
	uint64_t id;

	(void)state;
	crash_through(c, c->d[0]);
	crash_through(c, c->d[0]);
	id = request_equal(c->d[1], BAD);
	assert_true(c->d[1]->results[id].placed);
	end(c->d[1], id, MH_SLOT_OK);
	assert_true(runs_freely(c->d[0], BAD));
	assert_true(runs_freely(c->d[1], BAD));
	assert_true(runs_freely(c->e[0], BAD));
	free_cluster(c);
}

/* Guards against one crash that counts several times, because the records of it
 * took different times to arrive, or two dispatchers saw it. */
static void test_relayed_crash_counts_once(void **state)
{
	struct cluster *c = new_cluster();
	struct mh_suspect late;
	uint64_t a, b;

	(void)state;
	a = request_equal(c->d[0], BAD);
	b = request_equal(c->d[1], BAD);
	assert_true(is_at(c->d[0], a, c->d[1]->results[b].server));
	advance_cluster(c, 10);
	end(c->d[0], a, MH_SLOT_LOST);
	advance_cluster(c, 10);
	end(c->d[1], b, MH_SLOT_LOST);
	late = c->d[0]->last_suspect;
	advance_cluster(c, 3000);
	late.crashes[0].lost_ns += 3000 * MS;
	assert_false(mh_dispatch_merge_suspect(c->d[1]->d, &late));
	crash_through(c, c->d[0]);
	assert_false(refuses_bad(c->d[0]));
	assert_false(refuses_bad(c->d[1]));
	free_cluster(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_lost_run_is_reported_with_its_fingerprint),
		cmocka_unit_test(
			test_request_lost_before_its_server_is_refused),
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
		cmocka_unit_test(
			test_equal_request_that_ended_well_before_counts),
		cmocka_unit_test(test_unreachable_server_is_no_crash),
		cmocka_unit_test(
			test_servers_that_go_down_at_once_convict_no_request),
		cmocka_unit_test(test_equal_request_that_ended_well_clears),
		cmocka_unit_test(test_server_that_survives_did_not_crash),
		cmocka_unit_test(
			test_server_that_accepts_connections_did_not_crash),
		cmocka_unit_test(test_end_of_a_draining_server_is_no_crash),
		cmocka_unit_test(test_invalid_response_is_no_crash),
		cmocka_unit_test(test_crashes_count_wherever_they_are_seen),
		cmocka_unit_test(test_dispatcher_that_starts_knows_the_crashes),
		cmocka_unit_test(test_entry_that_joins_knows_the_crashes),
		cmocka_unit_test(
			test_crashes_survive_the_loss_of_all_processes),
		cmocka_unit_test(test_malformed_stored_suspects_are_rejected),
		cmocka_unit_test(test_cleared_request_is_cleared_everywhere),
		cmocka_unit_test(test_relayed_crash_counts_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
