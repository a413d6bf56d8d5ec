/*
 * Unit tests of what roll-outs read and write: orders, versions in registrations,
 * records in the store and on links. A fake store on a thread of its own gives one
 * scripted response for each call.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
/* cmocka.h needs the headers above. */
#include <cmocka.h>

#include <sodium.h>

#include "core/rollout_use.h"
#include "net/rollout_frames.h"
#include "platform/registration.h"
#include "platform/rollout_orders.h"
#include "platform/rollout_record.h"
#include "platform/rollout_store.h"
#include "tests/fake_store.h"

static const struct mh_rollout_conf conf = { 0.1, 50, 5000 };

struct seen_order {
	char service[300];
	char target[300];
	uint32_t duration_ms;
	int n;
};

static void on_order(void *data, const struct mh_rollout_order *order)
{
	struct seen_order *seen = data;

	snprintf(seen->service, sizeof(seen->service), "%s", order->service);
	snprintf(seen->target, sizeof(seen->target), "%s", order->target);
	seen->duration_ms = order->duration_ms;
	seen->n++;
}

static const char *decode(const char *key, const char *text,
			  struct seen_order *seen)
{
	memset(seen, 0, sizeof(*seen));
	return mh_rollout_order_decode(key, (const uint8_t *)text, strlen(text),
				       on_order, seen);
}

static void test_orders_are_read(void **state)
{
	struct seen_order seen;

	(void)state;
	assert_null(decode("rollout/s",
			   "{\"service\":\"s\",\"target\":\"v2\","
			   "\"duration_s\":12,\"note\":[1]}",
			   &seen));
	assert_string_equal(seen.service, "s");
	assert_string_equal(seen.target, "v2");
	assert_int_equal(seen.duration_ms, 12000);
	assert_null(decode("rollout/a/b",
			   "{\"service\":\"a/b\",\"target\":\"2\","
			   "\"duration_s\":86400}",
			   &seen));
	assert_int_equal(seen.duration_ms, MH_ROLLOUT_DURATION_MAX_MS);
	assert_null(decode("rollout/s",
			   "{\"service\":\"s\",\"target\":\"v\","
			   "\"duration_s\":0.29}",
			   &seen));
	assert_int_equal(seen.duration_ms, 290);
}

/* Guards against an order that is carried out although a part of it can't be
 * meant so. */
static void test_malformed_orders_are_rejected(void **state)
{
	static const struct {
		const char *text;
		const char *bad_part;
	} cases[] = {
		{ "", "JSON object" },
		{ "{", "JSON object" },
		{ "[]", "JSON object" },
		{ "\"v2\"", "JSON object" },
		{ "{\"service\":\"s\",\"target\":\"a\",\"target\":\"b\","
		  "\"duration_s\":9}",
		  "JSON object" },
		{ "{\"target\":\"v2\",\"duration_s\":12}", "service" },
		{ "{\"service\":\"t\",\"target\":\"v2\",\"duration_s\":12}",
		  "service" },
		{ "{\"service\":7,\"target\":\"v2\",\"duration_s\":12}",
		  "service" },
		{ "{\"service\":\"s\",\"duration_s\":12}", "target" },
		{ "{\"service\":\"s\",\"target\":\"\",\"duration_s\":12}",
		  "target" },
		{ "{\"service\":\"s\",\"target\":2,\"duration_s\":12}",
		  "target" },
		{ "{\"service\":\"s\",\"target\":\"v 2\",\"duration_s\":12}",
		  "target" },
		{ "{\"service\":\"s\",\"target\":\"v\\n2\",\"duration_s\":12}",
		  "target" },
		{ "{\"service\":\"s\",\"target\":\"v2\"}", "duration_s" },
		{ "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":\"9\"}",
		  "duration_s" },
		{ "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":0}",
		  "duration_s" },
		{ "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":-12}",
		  "duration_s" },
		{ "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":0.0001}",
		  "duration_s" },
		{ "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":86401}",
		  "duration_s" },
		{ "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":1e300}",
		  "duration_s" },
		{ "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":"
		  "18446744073709551616}",
		  "JSON object" },
		{ "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":true}",
		  "duration_s" },
	};
	struct seen_order seen;
	size_t i;

	(void)state;
	for (i = 0; i < LEN(cases); i++) {
		const char *bad_part =
			decode("rollout/s", cases[i].text, &seen);

		if (!bad_part || strcmp(bad_part, cases[i].bad_part))
			fail_msg("%s: %s", cases[i].text,
				 bad_part ? bad_part : "accepted");
		assert_int_equal(seen.n, 0);
	}
	assert_string_equal(decode("config", "{}", &seen), "key");
	assert_false(mh_rollout_order_is_key("rollout"));
	assert_false(mh_rollout_order_is_key("config"));
}

/* Guards against names that don't fit a key or a log line. */
static void test_names_of_odd_length(void **state)
{
	struct seen_order seen;
	char name[400], text[1000], key[500];
	int len;

	(void)state;
	for (len = 254; len <= 257; len++) {
		memset(name, 'x', sizeof(name));
		name[len] = '\0';
		snprintf(text, sizeof(text),
			 "{\"service\":\"s\",\"target\":\"%s\","
			 "\"duration_s\":9}",
			 name);
		assert_int_equal(!decode("rollout/s", text, &seen),
				 len <= MH_ROLLOUT_NAME_MAX);
		snprintf(key, sizeof(key), "rollout/%s", name);
		snprintf(text, sizeof(text),
			 "{\"service\":\"%s\",\"target\":\"v\","
			 "\"duration_s\":9}",
			 name);
		assert_int_equal(!decode(key, text, &seen),
				 len <= MH_ROLLOUT_NAME_MAX);
	}
	assert_string_equal(decode("rollout/",
				   "{\"service\":\"\",\"target\":\"v\","
				   "\"duration_s\":9}",
				   &seen),
			    "service");
}

static void check_version(const char *field, const char *version)
{
	struct mh_registration reg;
	char text[1000], err[64];

	snprintf(text, sizeof(text),
		 "{\"service\":\"s\",\"address\":\"127.0.0.1:80\","
		 "\"zone\":\"z\",%s\"slots\":2,\"state\":\"ready\","
		 "\"sequence\":1}",
		 field);
	assert_true(mh_registration_decode("a", text, strlen(text), &reg, err,
					   sizeof(err)));
	assert_string_equal(reg.version ? reg.version : "", version);
	mh_registration_release(&reg);
}

/* Guards against a server that is not used as its version can't be read. */
static void test_versions_of_registrations(void **state)
{
	char field[500], name[400];

	(void)state;
	check_version("\"version\":\"v2\",", "v2");
	check_version("", "");
	check_version("\"version\":\"\",", "");
	check_version("\"version\":7,", "");
	check_version("\"version\":null,", "");
	check_version("\"version\":\"a b\",", "");
	memset(name, 'x', sizeof(name));
	name[300] = '\0';
	snprintf(field, sizeof(field), "\"version\":\"%s\",", name);
	check_version(field, "");
}

static const struct mh_rollout_count counts[] = {
	{ 0xfedcba9876543210, "v1", 10, 1, 2 },
	{ 0, "v2", 3, 0, 0 },
};
static const char *const excluded[] = { "v0", "" };
static const struct mh_rollout_record shifting = {
	.order = { "s", "v2", 12000 },
	.phase = MH_ROLLOUT_SHIFTING,
	.elapsed_ms = 4100,
	.granted_service = 300,
	.granted_target = 21,
	.counts = counts,
	.n_counts = 2,
	.excluded = excluded,
	.n_excluded = 1,
};

static void check_equal(const struct mh_rollout_record *rec, void *data)
{
	assert_string_equal(rec->order.service, "s");
	assert_string_equal(rec->order.target, "v2");
	assert_int_equal(rec->order.duration_ms, 12000);
	assert_int_equal(rec->phase, MH_ROLLOUT_SHIFTING);
	assert_false(rec->is_acknowledged);
	assert_int_equal(rec->elapsed_ms, 4100 + 500);
	assert_int_equal(rec->granted_service, 300);
	assert_int_equal(rec->granted_target, 21);
	assert_int_equal(rec->n_counts, 2);
	assert_true(rec->counts[0].kind == counts[0].kind);
	assert_string_equal(rec->counts[0].version, "v1");
	assert_int_equal(rec->counts[0].slow, 2);
	assert_int_equal(rec->counts[1].good, 3);
	assert_int_equal(rec->n_excluded, 1);
	assert_string_equal(rec->excluded[0], "v0");
	++*(int *)data;
}

static bool decode_record(const char *text, mh_rollout_visit_fn *visit,
			  void *data)
{
	return mh_rollout_record_decode("s", (const uint8_t *)text,
					strlen(text), 1000500, visit, data);
}

/* Guards against a successor that continues with other counts, or with a time from
 * which the time since the record is missing. */
static void test_records_are_read_as_written(void **state)
{
	char *text = mh_rollout_record_encode(&shifting, 1000000);
	int n = 0;

	(void)state;
	assert_true(decode_record(text, check_equal, &n));
	assert_int_equal(n, 1);
	assert_false(mh_rollout_record_decode(
		"t", (const uint8_t *)text, strlen(text), 0, check_equal, &n));
	free(text);
}

static void count_visit(const struct mh_rollout_record *rec, void *data)
{
	(void)rec;
	++*(int *)data;
}

#define HEAD                                                                   \
	"\"service\":\"s\",\"target\":\"v2\",\"duration_s\":12,"               \
	"\"elapsed_ms\":1,\"granted_service\":1,\"granted_target\":0,"

/* Guards against a record from which only a part is taken over. */
static void test_malformed_records_are_rejected(void **state)
{
	static const char *const cases[] = {
		"",
		"[]",
		"{" HEAD "\"phase\":\"observing\",\"counts\":[]}",
		"{" HEAD "\"phase\":\"none\",\"counts\":[],\"excluded\":[]}",
		"{" HEAD "\"phase\":3,\"counts\":[],\"excluded\":[]}",
		"{" HEAD "\"phase\":\"shifting\",\"counts\":[{}],"
		"\"excluded\":[]}",
		"{" HEAD "\"phase\":\"shifting\",\"counts\":[],"
		"\"excluded\":[7]}",
		"{" HEAD "\"phase\":\"shifting\",\"counts\":[{\"kind\":\"1\","
		"\"version\":\"v1\",\"good\":1,\"failed\":0,\"slow\":0}],"
		"\"excluded\":[]}",
		"{" HEAD "\"phase\":\"shifting\",\"counts\":[{\"kind\":"
		"\"0000000000000001\",\"version\":\"v1\",\"good\":-1,"
		"\"failed\":0,\"slow\":0}],\"excluded\":[]}",
	};
	int n = 0;
	size_t i;

	(void)state;
	for (i = 0; i < LEN(cases); i++) {
		if (decode_record(cases[i], count_visit, &n))
			fail_msg("accepted: %s", cases[i]);
	}
	assert_int_equal(n, 0);
	assert_true(decode_record("{" HEAD "\"phase\":\"shifting\","
				  "\"counts\":[],\"excluded\":[]}",
				  count_visit, &n));
	assert_int_equal(n, 1);
}

static void test_status_for_the_operator(void **state)
{
	struct mh_rollout_record rec = shifting;
	char *text = mh_rollout_status_encode(&rec);

	(void)state;
	assert_non_null(strstr(text, "\"state\":\"running\""));
	assert_non_null(strstr(text, "\"target\":\"v2\""));
	free(text);
	rec.phase = MH_ROLLOUT_ROLLED_BACK;
	text = mh_rollout_status_encode(&rec);
	assert_non_null(strstr(text, "\"state\":\"rolled_back\""));
	free(text);
}

/* Guards against a peer whose message changes what may be sent although no order
 * could be meant by it. */
static void test_malformed_messages_change_nothing(void **state)
{
	struct mh_rollouts *set = mh_rollouts_new(&conf, &mh_system_clock);
	Mh__RolloutState msg = MH__ROLLOUT_STATE__INIT;
	char name[400];

	(void)state;
	memset(name, 'x', sizeof(name));
	name[sizeof(name) - 1] = '\0';
	msg.service = "s";
	msg.target = "v2";
	msg.duration_ms = 12000;
	msg.phase = MH_ROLLOUT_ROLLED_BACK;
	msg.service = "";
	assert_false(mh_rollout_receive(set, &msg));
	msg.service = name;
	assert_false(mh_rollout_receive(set, &msg));
	msg.service = "s";
	msg.target = "";
	assert_false(mh_rollout_receive(set, &msg));
	msg.target = "v2";
	msg.duration_ms = 0;
	assert_false(mh_rollout_receive(set, &msg));
	msg.duration_ms = UINT32_MAX;
	assert_false(mh_rollout_receive(set, &msg));
	msg.duration_ms = 12000;
	msg.phase = 0;
	assert_false(mh_rollout_receive(set, &msg));
	msg.phase = MH_ROLLOUT_PHASES;
	assert_false(mh_rollout_receive(set, &msg));
	assert_false(mh_rollouts_has_orders(set));
	assert_true(mh_rollouts_may_use(set, "s", "v2"));
	msg.phase = MH_ROLLOUT_ROLLED_BACK;
	assert_true(mh_rollout_receive(set, &msg));
	assert_false(mh_rollouts_may_use(set, "s", "v2"));
	assert_true(mh_rollouts_may_use(set, "s", "v1"));
	assert_true(mh_rollouts_may_use(set, "t", "v2"));
	mh_rollouts_free(set);
}

#define TEXT(s) s, sizeof(s) - 1

static struct mh_stored_rollouts *new_stored(struct fixture *fx,
					     struct mh_counters *counters,
					     struct mh_rollouts *set,
					     bool never_judges)
{
	struct mh_stored_rollouts_env env = {
		.loop = fx->loop,
		.timers = &fx->timers,
		.clock = &mh_system_clock,
		.counters = counters,
		.era = &fx->era,
		.rollouts = set,
		.never_judges = never_judges,
	};

	return mh_stored_rollouts_new(&env, fx->address);
}

struct updater {
	struct fixture *fx;
	struct mh_stored_rollouts *stored;
};

static uint64_t update(void *data)
{
	const struct updater *u = data;
	uint64_t next_ns =
		mh_clock_mono_ns(&mh_system_clock) + 10 * MH_NS_PER_MS;

	mh_stored_rollouts_update(u->stored);
	return mh_earlier(tick(u->fx), next_ns);
}

/* Guards against a verdict that the store has lost, as it came back from a copy
 * that is older than it, and that is not written again. */
static void test_a_verdict_is_written_again_to_an_old_copy(void **state)
{
	static const struct step steps[] = {
		{ "/log-append?topic=keyed.rollouts", 200, TEXT("{}"), "1" },
		{ "/log-append?topic=keyed.status", 200, TEXT("{}"), "1" },
		{ "/log-append?topic=keyed.rollouts", 200, TEXT("{}"), "2" },
		{ "/log-append?topic=keyed.rollouts", 200, TEXT("{}"), "2" },
		{ "/log-append?topic=keyed.status", 200, TEXT("{}"), "2" },
	};
	struct mh_rollout_record rec = shifting;
	struct mh_counters counters = { 0 };
	struct mh_stored_rollouts *stored;
	struct mh_rollouts *set;
	struct fixture fx;
	struct updater updater;

	(void)state;
	open_store(&fx, steps, LEN(steps));
	set = mh_rollouts_new(&conf, &mh_system_clock);
	rec.phase = MH_ROLLOUT_ROLLED_BACK;
	assert_true(mh_rollouts_merge(set, &rec));
	stored = new_stored(&fx, &counters, set, false);
	updater = (struct updater){ &fx, stored };
	fx.stop_after_calls = LEN(steps);
	fx.end_ns = mh_clock_mono_ns(&mh_system_clock) +
		    WAIT_LIMIT_MS * MH_NS_PER_MS;
	/* The third call is the record with its acknowledgement, in which the
	 * rise shows. */
	mh_loop_run(fx.loop, update, &updater);
	assert_int_equal(fx.calls, LEN(steps));
	mh_stored_rollouts_free(stored);
	mh_rollouts_free(set);
	close_store(&fx);
}

struct follower {
	struct fixture *fx;
	struct mh_stored_rollouts *stored;
	int rounds;
};

static uint64_t follow_again(void *data)
{
	struct follower *f = data;

	if (mh_stored_rollouts_state(f->stored) == MH_ROLLOUT_STORE_READ) {
		f->rounds++;
		mh_stored_rollouts_follow(f->stored, false);
		assert_int_equal(mh_stored_rollouts_state(f->stored),
				 MH_ROLLOUT_STORE_UNREAD);
		if (f->rounds == 2)
			mh_loop_stop(f->fx->loop);
		else
			mh_stored_rollouts_follow(f->stored, true);
	}
	return tick(f->fx);
}

/* Guards against a dispatcher that never decides again after it stood still, or
 * after all its entries were gone for a while. */
static void test_the_topic_is_read_again(void **state)
{
	static const struct step steps[] = {
		{ "/log-newest?topic=keyed.rollouts", 200,
		  TEXT("{\"items\":[],\"more\":false,\"end\":0}"), NULL },
		{ "/log-newest?topic=keyed.rollouts", 200,
		  TEXT("{\"items\":[],\"more\":false,\"end\":0}"), NULL },
	};
	struct mh_counters counters = { 0 };
	struct follower follower = { 0 };
	struct mh_rollouts *set;
	struct fixture fx;

	(void)state;
	open_store(&fx, steps, LEN(steps));
	set = mh_rollouts_new(&conf, &mh_system_clock);
	follower.fx = &fx;
	follower.stored = new_stored(&fx, &counters, set, false);
	mh_stored_rollouts_follow(follower.stored, true);
	fx.stop_after_calls = LEN(steps) + 1;
	fx.end_ns = mh_clock_mono_ns(&mh_system_clock) +
		    WAIT_LIMIT_MS * MH_NS_PER_MS;
	mh_loop_run(fx.loop, follow_again, &follower);
	assert_int_equal(follower.rounds, 2);
	mh_stored_rollouts_free(follower.stored);
	mh_rollouts_free(set);
	close_store(&fx);
}

static uint64_t stop_when_read(void *data)
{
	struct follower *f = data;

	if (mh_stored_rollouts_state(f->stored) == MH_ROLLOUT_STORE_READ)
		mh_loop_stop(f->fx->loop);
	return tick(f->fx);
}

/* Return: whether requests may go to the target, by an order and a record of it. */
static enum mh_rollout_choice choice_by(enum mh_rollout_phase phase,
					bool never_judges)
{
	struct mh_rollout_record rec = shifting;
	struct mh_counters counters = { 0 };
	struct follower follower = { 0 };
	char listing[4096], value[2048];
	struct step step = { "/log-newest?topic=keyed.rollouts", 200, listing,
			     0, NULL };
	enum mh_rollout_choice choice;
	struct mh_rollouts *set;
	struct fixture fx;
	char *text;

	rec.phase = phase;
	text = mh_rollout_record_encode(&rec,
					mh_clock_wall_ms(&mh_system_clock));
	sodium_bin2base64(value, sizeof(value), (uint8_t *)text, strlen(text),
			  sodium_base64_VARIANT_ORIGINAL);
	free(text);
	step.len = (size_t)snprintf(
		listing, sizeof(listing),
		"{\"items\":[{\"key\":\"%s\",\"value\":\"%s\",\"offset\":0}],"
		"\"more\":false,\"end\":1}",
		rec.order.service, value);
	open_store(&fx, &step, 1);
	set = mh_rollouts_new(&conf, &mh_system_clock);
	assert_int_equal(mh_rollouts_order(set, &rec.order, 0),
			 MH_ROLLOUT_ORDER_ACCEPTED);
	follower.fx = &fx;
	follower.stored = new_stored(&fx, &counters, set, never_judges);
	mh_stored_rollouts_follow(follower.stored, true);
	fx.stop_after_calls = 2;
	fx.end_ns = mh_clock_mono_ns(&mh_system_clock) +
		    WAIT_LIMIT_MS * MH_NS_PER_MS;
	mh_loop_run(fx.loop, stop_when_read, &follower);
	choice = mh_rollouts_choice(set, rec.order.service, rec.order.target,
				    true);
	mh_stored_rollouts_free(follower.stored);
	mh_rollouts_free(set);
	close_store(&fx);
	return choice;
}

/* Guards against a version that is still tried getting all requests of a process that
 * would not notice that it is bad. */
static void test_a_shift_needs_a_judge(void **state)
{
	(void)state;
	assert_int_equal(choice_by(MH_ROLLOUT_SHIFTING, true),
			 MH_ROLLOUT_FORBIDDEN);
	assert_int_equal(choice_by(MH_ROLLOUT_SUCCEEDED, true), MH_ROLLOUT_ANY);
	assert_int_equal(choice_by(MH_ROLLOUT_ROLLED_BACK, true),
			 MH_ROLLOUT_FORBIDDEN);
	assert_int_equal(choice_by(MH_ROLLOUT_SHIFTING, false), MH_ROLLOUT_ANY);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_orders_are_read),
		cmocka_unit_test(test_malformed_orders_are_rejected),
		cmocka_unit_test(test_names_of_odd_length),
		cmocka_unit_test(test_versions_of_registrations),
		cmocka_unit_test(test_records_are_read_as_written),
		cmocka_unit_test(test_malformed_records_are_rejected),
		cmocka_unit_test(test_status_for_the_operator),
		cmocka_unit_test(test_malformed_messages_change_nothing),
		cmocka_unit_test(
			test_a_verdict_is_written_again_to_an_old_copy),
		cmocka_unit_test(test_the_topic_is_read_again),
		cmocka_unit_test(test_a_shift_needs_a_judge),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
