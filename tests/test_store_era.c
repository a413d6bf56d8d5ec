/*
 * Unit tests of the store's era: the number itself, a feed and a log follower
 * whose offsets were given out again, and what an entry keeps and writes again. A
 * fake store on a thread of its own gives one scripted response for each call.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
/* cmocka.h needs the headers above. */
#include <cmocka.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/catalog.h"
#include "core/claims.h"
#include "core/config_state.h"
#include "core/store_era.h"
#include "net/loop.h"
#include "platform/feed.h"
#include "platform/log_client.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
#define MS MH_NS_PER_MS
#define WAIT_LIMIT_MS 5000

static enum mh_era_change observe(struct mh_store_era *era, const char *text)
{
	return mh_store_era_observe(era, text, text ? strlen(text) : 0);
}

static void count_rise(void *data)
{
	++*(int *)data;
}

/* Guards against an era that is taken from a malformed or older answer. */
static void test_only_a_higher_era_is_a_rise(void **state)
{
	struct mh_store_era era = { 0 };
	int rises = 0;
	struct mh_era_watch watch = { count_rise, &rises, NULL, NULL };

	(void)state;
	mh_store_era_watch(&era, &watch);
	assert_int_equal(observe(&era, "7"), MH_ERA_FIRST);
	assert_int_equal(observe(&era, "7"), MH_ERA_SAME);
	assert_int_equal(observe(&era, NULL), MH_ERA_SAME);
	assert_int_equal(observe(&era, "6"), MH_ERA_FELL);
	assert_int_equal(observe(&era, "-9"), MH_ERA_MALFORMED);
	assert_int_equal(observe(&era, "8x"), MH_ERA_MALFORMED);
	assert_int_equal(observe(&era, ""), MH_ERA_MALFORMED);
	assert_int_equal(observe(&era, "0"), MH_ERA_MALFORMED);
	assert_int_equal(observe(&era, "99999999999999999999"),
			 MH_ERA_MALFORMED);
	assert_int_equal(era.current, 7);
	assert_int_equal(rises, 0);
	assert_int_equal(observe(&era, "8"), MH_ERA_RISEN);
	mh_store_era_learn(&era, 7);
	mh_store_era_learn(&era, 0);
	assert_int_equal(rises, 1);
	mh_store_era_learn(&era, 10);
	assert_int_equal(rises, 2);
	assert_int_equal(era.current, 10);
	mh_store_era_unwatch(&era, &watch);
}

/* Guards against a first era that goes unnoticed after answers without one. */
static void test_first_era_after_answers_without_one(void **state)
{
	struct mh_store_era era = { 0 };

	(void)state;
	assert_int_equal(observe(&era, NULL), MH_ERA_SAME);
	assert_int_equal(observe(&era, "2"), MH_ERA_RISEN);
}

/* A call that the store expects, and its response. */
struct step {
	const char *expect; /* part of the request line */
	const char *era;
	const void *body;
	size_t len;
};

struct fixture {
	struct mh_loop *loop;
	struct mh_timers timers;
	struct mh_store_era era;
	char address[32];
	int listener;
	pthread_t thread;
	const struct step *steps;
	size_t n_steps;
	size_t calls;
	bool unexpected;
	uint64_t end_ns;
	size_t stop_after_calls;
	char events[512];
};

static bool serve_call(struct fixture *fx, int fd)
{
	const struct step *step = &fx->steps[fx->calls];
	char text[4096], head[128];
	ssize_t n = recv(fd, text, sizeof(text) - 1, 0);

	if (n <= 0 || fx->calls == fx->n_steps)
		return false;
	text[n] = '\0';
	fx->calls++;
	if (!strstr(text, step->expect)) {
		print_error("expected %s in %.80s\n", step->expect, text);
		fx->unexpected = true;
	}
	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 X\r\nStore-Era: %s\r\nContent-Length: %zu"
		 "\r\n\r\n",
		 step->era, step->len);
	return send(fd, head, strlen(head), MSG_NOSIGNAL) > 0 &&
	       send(fd, step->body, step->len, MSG_NOSIGNAL) > 0;
}

static void *serve(void *data)
{
	struct fixture *fx = data;
	int fd;

	while ((fd = accept(fx->listener, NULL, NULL)) >= 0) {
		while (serve_call(fx, fd))
			;
		close(fd);
	}
	return NULL;
}

static void open_store(struct fixture *fx, const struct step *steps, size_t n)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);

	memset(fx, 0, sizeof(*fx));
	fx->steps = steps;
	fx->n_steps = n;
	fx->loop = mh_loop_new();
	mh_timers_init(&fx->timers);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fx->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	assert_int_equal(bind(fx->listener, (struct sockaddr *)&sa, len), 0);
	assert_int_equal(listen(fx->listener, 16), 0);
	getsockname(fx->listener, (struct sockaddr *)&sa, &len);
	snprintf(fx->address, sizeof(fx->address), "127.0.0.1:%d",
		 ntohs(sa.sin_port));
	pthread_create(&fx->thread, NULL, serve, fx);
}

static uint64_t tick(void *data)
{
	struct fixture *fx = data;
	uint64_t now_ns = mh_clock_mono_ns(&mh_system_clock);
	uint64_t due_ns = mh_timers_run(&fx->timers, now_ns);

	if (fx->calls >= fx->stop_after_calls || now_ns > fx->end_ns)
		mh_loop_stop(fx->loop);
	return mh_earlier(due_ns, fx->end_ns);
}

/* Runs the loop until the store has had this many calls. */
static void run_until(struct fixture *fx, size_t calls)
{
	fx->stop_after_calls = calls;
	fx->end_ns = mh_clock_mono_ns(&mh_system_clock) + WAIT_LIMIT_MS * MS;
	mh_loop_run(fx->loop, tick, fx);
	assert_in_range(fx->calls, calls, SIZE_MAX);
}

static void close_store(struct fixture *fx)
{
	shutdown(fx->listener, SHUT_RDWR);
	pthread_join(fx->thread, NULL);
	close(fx->listener);
	mh_timers_release(&fx->timers);
	mh_loop_free(fx->loop);
	assert_false(fx->unexpected);
}

static void add_event(struct fixture *fx, const char *text)
{
	size_t len = strlen(fx->events);

	snprintf(fx->events + len, sizeof(fx->events) - len, "%s ", text);
}

static void on_begin(void *data)
{
	add_event(data, "begin");
}

static void on_end(void *data)
{
	add_event(data, "end");
}

static void on_keyed(void *data, const char *key, const uint8_t *value,
		     size_t len)
{
	char text[64];

	snprintf(text, sizeof(text), "%s=%.*s", key, (int)len,
		 (const char *)value);
	add_event(data, text);
}

static void on_state(void *data, bool ok)
{
	if (!ok)
		add_event(data, "failed");
}

static const struct mh_feed_ops feed_ops = { on_begin, on_end, on_keyed,
					     on_state };
static const struct mh_feed_conf feed_conf = { "keyed.op", 0, 1, 1000 };

#define U64(n) "\0\0\0\0\0\0\0" n
#define TEXT(s) s, sizeof(s) - 1
#define LISTING(value, end)                                                    \
	TEXT("{\"items\":[{\"key\":\"k\",\"value\":\"" value                   \
	     "\"}],\"more\":false,\"end\":" end "}")

/* Guards against a record that is missed as its offset was given out again: the
 * topic is as long as before, with other records. What the read at the old offset
 * returned is not used. */
static void test_feed_lists_again_in_a_new_era(void **state)
{
	static const char empty[] = U64("\3") U64("\0");
	static const char other[] = U64("\4") U64("\0") "\0\0\0\3\1kz";
	static const struct step steps[] = {
		{ "/log-newest", "1", LISTING("YQ==", "3") },
		{ "from=3 ", "1", empty, sizeof(empty) - 1 },
		{ "from=3 ", "2", other, sizeof(other) - 1 },
		{ "/log-newest", "2", LISTING("Yg==", "4") },
		{ "from=4 ", "2", empty, sizeof(empty) - 1 },
	};
	struct fixture fx;
	struct mh_feed *f;

	(void)state;
	open_store(&fx, steps, LEN(steps));
	f = mh_feed_new(fx.loop, &fx.timers, &mh_system_clock, fx.address,
			&fx.era, &feed_conf, &feed_ops, &fx);
	mh_feed_run(f, true, 0);
	run_until(&fx, 5);
	assert_string_equal(fx.events, "begin k=a end begin k=b end ");
	mh_feed_free(f);
	close_store(&fx);
}

/* Guards against a listing whose first page is of an older copy. */
static void test_listing_begins_again_in_a_new_era(void **state)
{
	static const struct step steps[] = {
		{ "/log-newest?topic=keyed.op&part=0 ", "1",
		  TEXT("{\"items\":[{\"key\":\"j\",\"value\":\"YQ==\"}],"
		       "\"more\":true,\"end\":3}") },
		{ "after=j", "2", LISTING("YQ==", "3") },
		{ "/log-newest?topic=keyed.op&part=0 ", "2",
		  LISTING("Yg==", "2") },
		{ "from=2 ", "2", U64("\2") U64("\0"), 16 },
	};
	struct fixture fx;
	struct mh_feed *f;

	(void)state;
	open_store(&fx, steps, LEN(steps));
	f = mh_feed_new(fx.loop, &fx.timers, &mh_system_clock, fx.address,
			&fx.era, &feed_conf, &feed_ops, &fx);
	mh_feed_run(f, true, 0);
	run_until(&fx, 4);
	assert_string_equal(fx.events, "begin j=a begin k=b end ");
	mh_feed_free(f);
	close_store(&fx);
}

static void on_start(void *data, uint64_t first_offset, uint64_t first_ms)
{
	(void)first_offset;
	(void)first_ms;
	add_event(data, "start");
}

static void on_record(void *data, uint64_t offset, uint64_t when_ms,
		      const uint8_t *bytes, size_t len)
{
	char text[64];

	(void)when_ms;
	snprintf(text, sizeof(text), "%llu:%.*s", (unsigned long long)offset,
		 (int)len, (const char *)bytes);
	add_event(data, text);
}

static const struct mh_log_ops log_ops = { on_start, on_record, on_state };

/* Guards against a log that is followed from an offset of an older era. */
static void test_log_is_read_again_in_a_new_era(void **state)
{
	static const char one[] = U64("\1") U64("\0") "\0\0\0\11" U64("\5") "a";
	static const char two[] = U64("\2")
		U64("\0") "\0\0\0\11" U64("\5") "a\0\0\0\11" U64("\5") "c";
	static const char none[] = U64("\2") U64("\0");
	static const struct step steps[] = {
		{ "from=0&", "1", one, sizeof(one) - 1 },
		{ "from=1&", "3", none, sizeof(none) - 1 },
		{ "from=0&", "3", two, sizeof(two) - 1 },
		{ "from=2&", "3", none, sizeof(none) - 1 },
	};
	struct mh_log_follower *f;
	struct mh_log_env env;
	struct fixture fx;

	(void)state;
	open_store(&fx, steps, LEN(steps));
	env = (struct mh_log_env){ fx.loop, &fx.timers, &mh_system_clock,
				   fx.address, &fx.era };
	f = mh_log_follow(&env, "config", &log_ops, &fx);
	run_until(&fx, 4);
	assert_string_equal(fx.events, "start 0:a start 0:a 1:c ");
	mh_log_unfollow(f);
	close_store(&fx);
}

static void on_appended(void *data, enum mh_append_result result)
{
	add_event(data, result == MH_APPEND_UNKNOWN ? "unknown" : "known");
}

/* Guards against an append that counts as done although the copy may lack it. */
static void test_append_of_an_older_era_is_no_proof(void **state)
{
	static const struct step steps[] = {
		{ "/log-append?topic=claims", "1", TEXT("{}") },
		{ "/log-append?topic=config", "2", TEXT("{}") },
		{ "/log-append?topic=claims", "3", TEXT("{}") },
		{ "/log-append?topic=claims", "3", TEXT("{}") },
	};
	struct mh_log_appender *a;
	struct mh_log_env env;
	struct fixture fx;

	(void)state;
	open_store(&fx, steps, LEN(steps));
	env = (struct mh_log_env){ fx.loop, &fx.timers, &mh_system_clock,
				   fx.address, &fx.era };
	a = mh_log_appender_new(&env, NULL, NULL);
	mh_log_append(a, "claims", "x", 1);
	mh_log_append_once(a, "config", "y", 1, on_appended, &fx);
	mh_log_append(a, "claims", "z", 1);
	/* z comes again, as the answer to it named a new era. */
	run_until(&fx, 4);
	assert_string_equal(fx.events, "unknown ");
	mh_log_appender_free(a);
	close_store(&fx);
}

static void on_server(void *data, const struct mh_registration *reg)
{
	*(enum mh_server_state *)data = reg->state;
}

static void update(struct mh_catalog *cat, enum mh_server_state server_state,
		   uint64_t sequence)
{
	struct mh_registration reg = { .id = "s",
				       .service = "app",
				       .address = "1.2.3.4:5",
				       .zone = "z",
				       .places = 4,
				       .state = server_state,
				       .born_ms = 5,
				       .sequence = sequence };

	mh_catalog_update(cat, &reg, 1000 * MS);
}

/* Guards against a server that is lost as the copy lacks it, and against one that
 * drains and becomes ready by an old registration. */
static void test_servers_outlive_an_older_copy(void **state)
{
	enum mh_server_state last = MH_SERVER_GONE;
	struct mh_catalog *cat = mh_catalog_new(on_server, &last);

	(void)state;
	update(cat, MH_SERVER_READY, 7);
	mh_catalog_store_rewound(cat, 1000 * MS);
	mh_catalog_listing_begin(cat);
	mh_catalog_listing_end(cat, 1001 * MS);
	mh_catalog_tick(cat, 2900 * MS);
	assert_int_equal(last, MH_SERVER_READY);
	mh_catalog_tick(cat, 3500 * MS);
	assert_int_equal(last, MH_SERVER_GONE);
	update(cat, MH_SERVER_READY, 6);
	assert_int_equal(last, MH_SERVER_GONE);
	update(cat, MH_SERVER_READY, 8);
	assert_int_equal(last, MH_SERVER_READY);
	update(cat, MH_SERVER_DRAINING, 9);
	update(cat, MH_SERVER_READY, 8);
	assert_int_equal(last, MH_SERVER_DRAINING);
	mh_catalog_free(cat);
}

static void apply_claim(struct mh_claims *c, enum mh_claim_kind kind,
			const struct mh_id *key, uint64_t owner)
{
	struct mh_claim claim = { kind, *key, owner };
	uint8_t rec[MH_CLAIM_RECORD_BYTES];

	mh_claims_encode(&claim, 1, rec);
	assert_true(mh_claims_apply(c, rec, sizeof(rec), 1000, NULL, NULL));
}

/* Guards against a key that a second request gets as the copy lacks its claim. */
static void test_lost_claims_are_kept_and_taken_once(void **state)
{
	struct mh_claims *c = mh_claims_new(60);
	struct mh_id kept = { { 1 } }, lost = { { 2 } }, released = { { 3 } };
	struct mh_claim claims[4];

	(void)state;
	apply_claim(c, MH_CLAIM_ACQUIRE, &kept, 11);
	apply_claim(c, MH_CLAIM_ACQUIRE, &released, 13);
	apply_claim(c, MH_CLAIM_RELEASE, &released, 13);
	apply_claim(c, MH_CLAIM_ACQUIRE, &lost, 12);
	assert_int_equal(mh_claims_take_lost(c, claims, LEN(claims)), 0);
	mh_claims_rewind(c);
	apply_claim(c, MH_CLAIM_ACQUIRE, &kept, 11);
	apply_claim(c, MH_CLAIM_ACQUIRE, &released, 13);
	assert_int_equal(mh_claims_holder(c, &lost), 12);
	assert_int_equal(mh_claims_holder(c, &released), 0);
	/* A second request does not get it. */
	apply_claim(c, MH_CLAIM_ACQUIRE, &lost, 22);
	assert_int_equal(mh_claims_holder(c, &lost), 12);
	assert_int_equal(mh_claims_take_lost(c, claims, LEN(claims)), 2);
	assert_int_equal(mh_claims_take_lost(c, claims, LEN(claims)), 0);
	mh_claims_free(c);
}

static const char *const doc = "{\"schema\":1,\"tier\":[{\"name\":\"t\"}],"
			       "\"pool\":[{\"name\":\"p\",\"kind\":\"engine\","
			       "\"models\":[\"m\"]}]}";

static enum mh_config_result change(struct mh_config_state *cs, uint64_t offset,
				    uint64_t base)
{
	char rec[1024];

	snprintf(rec, sizeof(rec),
		 "{\"kind\":\"manifest\",\"base\":%llu,\"who\":\"w\","
		 "\"nonce\":\"n\",\"doc\":%s}",
		 (unsigned long long)base, doc);
	return mh_config_state_apply(cs, offset, 1000, rec, strlen(rec));
}

/* Guards against a version that is given out twice, and against a configuration
 * that goes back as the copy lacks the newest one. */
static void test_lost_manifest_is_restored_with_its_version(void **state)
{
	struct mh_config_state *cs = mh_config_state_new();
	struct mh_config_state *replay = mh_config_state_new();
	char *snap;

	(void)state;
	change(cs, 0, 0);
	change(cs, 4, 1);
	assert_int_equal(mh_config_state_version(cs), 5);
	/* The copy has the first record only. */
	change(replay, 0, 0);
	snap = mh_config_state_snapshot(cs, 1);
	assert_int_equal(
		mh_config_state_apply(replay, 1, 2000, snap, strlen(snap)),
		MH_CONFIG_SNAPSHOT);
	assert_int_equal(mh_config_state_version(replay), 5);
	mh_config_state_take_over(cs, replay);
	assert_int_equal(mh_config_state_version(cs), 5);
	assert_int_equal(mh_config_state_next_offset(cs), 2);
	assert_int_equal(change(cs, 2, 1), MH_CONFIG_REFUSED_BASE);
	assert_int_equal(change(cs, 3, 5), MH_CONFIG_ACCEPTED);
	assert_int_equal(mh_config_state_version(cs), 6);
	free(snap);
	mh_manifest_free(mh_config_state_take_replaced(cs));
	mh_config_state_free(cs);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_only_a_higher_era_is_a_rise),
		cmocka_unit_test(test_first_era_after_answers_without_one),
		cmocka_unit_test(test_feed_lists_again_in_a_new_era),
		cmocka_unit_test(test_listing_begins_again_in_a_new_era),
		cmocka_unit_test(test_log_is_read_again_in_a_new_era),
		cmocka_unit_test(test_append_of_an_older_era_is_no_proof),
		cmocka_unit_test(test_servers_outlive_an_older_copy),
		cmocka_unit_test(test_lost_claims_are_kept_and_taken_once),
		cmocka_unit_test(
			test_lost_manifest_is_restored_with_its_version),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
