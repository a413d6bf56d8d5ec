/*
 * Unit tests of the core's modules, the configuration, the settings and the
 * parsing of clients' requests.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "config/settings.h"
#include "config/toml.h"
#include "core/claims.h"
#include "core/config_state.h"
#include "core/entry.h"
#include "core/heap.h"
#include "core/rendezvous.h"
#include "core/side.h"
#include "core/wait_queue.h"
#include "entry/parse.h"

#define MS MH_NS_PER_MS

/* ---- basic modules ---- */

static void test_error_table(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < MH_ERR_COUNT; i++) {
		const struct mh_error_info *info =
			mh_error_info((enum mh_error)i);

		assert_non_null(info->name);
		assert_non_null(info->title);
		assert_in_range(info->status, 200, 599);
		/* A client must not retry a request that may have run. */
		if (info->outcome == MH_OUTCOME_UNKNOWN)
			assert_false(info->retry);
	}
	assert_ptr_equal(mh_error_info((enum mh_error)999),
			 mh_error_info(MH_ERR_INTERNAL));
}

static void test_ids(void **state)
{
	struct mh_id id, back;
	char text[MH_ID_TEXT_BYTES];

	(void)state;
	mh_id_make_v7(&id, 1760000000123ull, 0x1234567890abcdefull,
		      0xfedcba0987654321ull);
	assert_true(mh_id_is_uuidv7(&id));
	assert_int_equal(mh_id_time_ms(&id), 1760000000123ull);
	assert_true(mh_id_parse(&back, mh_id_format(&id, text)));
	assert_true(mh_id_equal(&id, &back));
	assert_false(
		mh_id_parse(&back, "0199c1a0-7b3e-7000-8000-00000000000g"));
	assert_false(
		mh_id_parse(&back, "0199c1a0+7b3e-7000-8000-000000000000"));
	assert_false(mh_id_parse(&back, ""));
	assert_true(mh_id_parse(&back, "0199C1A0-7b3e-4000-8000-000000000000"));
	assert_false(mh_id_is_uuidv7(&back));
}

struct item {
	int key;
	uint32_t index;
};

static bool item_less(const void *a, const void *b)
{
	return ((const struct item *)a)->key < ((const struct item *)b)->key;
}

static void test_heap(void **state)
{
	struct item items[200];
	struct mh_heap h;
	struct mh_rng rng = { 7 };
	int i, last = -1;

	(void)state;
	mh_heap_init(&h, item_less, offsetof(struct item, index));
	for (i = 0; i < 200; i++) {
		items[i].key = (int)(mh_rng_next(&rng) % 1000);
		items[i].index = MH_HEAP_NONE;
		assert_true(mh_heap_add(&h, &items[i]));
	}
	for (i = 0; i < 200; i += 3)
		mh_heap_remove(&h, &items[i]);
	mh_heap_remove(&h, &items[0]);
	for (i = 1; i < 200; i += 3) {
		items[i].key = (int)(mh_rng_next(&rng) % 1000);
		mh_heap_update(&h, &items[i]);
	}
	assert_int_equal(h.n, 133);
	while (h.n) {
		struct item *it = mh_heap_min(&h);

		assert_true(it->key >= last);
		last = it->key;
		mh_heap_remove(&h, it);
	}
	mh_heap_release(&h);
}

static struct mh_waiter waiter(uint8_t tier, const char *account,
			       uint32_t share, uint64_t deadline, uint32_t cost)
{
	struct mh_waiter w = { .tier = tier,
			       .cost_tokens = cost,
			       .share = share,
			       .deadline_ns = deadline,
			       .account = account };

	return w;
}

static void test_wait_queue_order(void **state)
{
	struct mh_wait_queue *wait_queue = mh_wait_queue_new("p", "m");
	struct mh_waiter low = waiter(2, "a", 1, 1, 1);
	struct mh_waiter late = waiter(0, "a", 1, 900, 1);
	struct mh_waiter soon = waiter(0, "a", 1, 100, 1);

	(void)state;
	mh_wait_queue_add(wait_queue, &low);
	mh_wait_queue_add(wait_queue, &late);
	mh_wait_queue_add(wait_queue, &soon);
	assert_ptr_equal(mh_wait_queue_next(wait_queue, 7), &soon);
	assert_ptr_equal(mh_wait_queue_victim(wait_queue, 0), &low);
	assert_null(mh_wait_queue_victim(wait_queue, 2));
	mh_wait_queue_serve(wait_queue, &soon);
	assert_ptr_equal(mh_wait_queue_next(wait_queue, 7), &late);
	mh_wait_queue_serve(wait_queue, &late);
	assert_null(mh_wait_queue_next(wait_queue, 1));
	assert_ptr_equal(mh_wait_queue_next(wait_queue, 2), &low);
	mh_wait_queue_remove(wait_queue, &low);
	assert_int_equal(wait_queue->count, 0);
	mh_wait_queue_free(wait_queue);
}

/* Two accounts with shares 3 to 1 and requests of different cost. */
static void test_wait_queue_shares(void **state)
{
	struct mh_wait_queue *wait_queue = mh_wait_queue_new("p", "m");
	static struct mh_waiter w[4000];
	uint64_t served[2] = { 0, 0 };
	int i;

	(void)state;
	for (i = 0; i < 4000; i++) {
		w[i] = i % 2 ? waiter(1, "big", 300, 1000, 50) :
			       waiter(1, "small", 100, 10, 400);
		mh_wait_queue_add(wait_queue, &w[i]);
	}
	for (i = 0; i < 1000; i++) {
		struct mh_waiter *best = mh_wait_queue_next(wait_queue, 7);

		served[!strcmp(best->account, "big")] += best->cost_tokens;
		mh_wait_queue_serve(wait_queue, best);
	}
	/* Within 10 % of 3 to 1. */
	assert_in_range(served[1] * 100 / served[0], 270, 330);
	for (i = 0; i < 4000; i++) {
		if (w[i].queue)
			mh_wait_queue_remove(wait_queue, &w[i]);
	}
	mh_wait_queue_free(wait_queue);
}

/* ---- claims ---- */

static uint64_t apply_claim(struct mh_claims *c, enum mh_claim_kind kind,
			    const struct mh_id *key, uint64_t owner,
			    uint64_t when_ms)
{
	struct mh_claim claim = { kind, *key, owner };
	uint8_t buf[MH_CLAIM_RECORD_BYTES];

	mh_claims_encode(&claim, 1, buf);
	assert_true(mh_claims_apply(c, buf, sizeof(buf), when_ms, NULL, NULL));
	return mh_claims_holder(c, key);
}

/* Guards against a key that was released and acquired again being forgotten
 * before its window ends, so that its call runs twice. */
static void test_key_acquired_again_is_kept_for_a_window(void **state)
{
	struct mh_claims *c = mh_claims_new(10);
	struct mh_id key = { { 1 } }, other = { { 2 } };

	(void)state;
	apply_claim(c, MH_CLAIM_ACQUIRE, &key, 7, 1000);
	apply_claim(c, MH_CLAIM_RELEASE, &key, 7, 10900);
	apply_claim(c, MH_CLAIM_ACQUIRE, &other, 1, 11000);
	assert_int_equal(apply_claim(c, MH_CLAIM_ACQUIRE, &key, 8, 20900), 8);
	assert_int_equal(apply_claim(c, MH_CLAIM_ACQUIRE, &key, 5, 21000), 8);
	mh_claims_free(c);
}

static void test_claims(void **state)
{
	struct mh_claims *c = mh_claims_new(10);
	struct mh_id key = { { 1, 2, 3 } }, k;
	uint8_t junk[MH_CLAIM_RECORD_BYTES + 1] = { 9 };
	uint32_t i;

	(void)state;
	assert_int_equal(apply_claim(c, MH_CLAIM_ACQUIRE, &key, 7, 1000), 7);
	assert_int_equal(apply_claim(c, MH_CLAIM_ACQUIRE, &key, 8, 1001), 7);
	assert_int_equal(apply_claim(c, MH_CLAIM_RELEASE, &key, 8, 1002), 7);
	assert_int_equal(apply_claim(c, MH_CLAIM_RELEASE, &key, 7, 1003), 0);
	assert_int_equal(apply_claim(c, MH_CLAIM_ACQUIRE, &key, 8, 1004), 8);
	for (i = 0; i < 5000; i++) {
		k = mh_claims_key("acct", &key);
		memcpy(k.b, &i, sizeof(i));
		assert_int_equal(
			apply_claim(c, MH_CLAIM_ACQUIRE, &k, i + 1, 2000),
			i + 1);
	}
	/* A claim is kept for at least one window, at most two. */
	k = key;
	k.b[0] = 99;
	apply_claim(c, MH_CLAIM_ACQUIRE, &k, 1, 11500);
	assert_int_equal(mh_claims_holder(c, &key), 8);
	k.b[0] = 98;
	apply_claim(c, MH_CLAIM_ACQUIRE, &k, 1, 22000);
	assert_int_equal(mh_claims_holder(c, &key), 0);
	assert_false(mh_claims_apply(c, junk, sizeof(junk), 1, NULL, NULL));
	assert_false(
		mh_claims_apply(c, junk, MH_CLAIM_RECORD_BYTES, 1, NULL, NULL));
	assert_false(mh_claims_apply(c, junk, 0, 1, NULL, NULL));
	mh_claims_free(c);
}

/* ---- the side's protocol ---- */

struct side_fixture {
	struct mh_side *side;
	uint64_t now_ns;
	int starts;
	uint64_t grant_id;
	uint32_t refused;
	int ends;
};

static uint64_t fixture_mono(void *data)
{
	return ((struct side_fixture *)data)->now_ns;
}

static uint64_t fixture_wall(void *data)
{
	return 1760000000000ull + ((struct side_fixture *)data)->now_ns / MS;
}

static void fixture_send(void *data, uint32_t link, const Mh__Frame *frame)
{
	struct side_fixture *fx = data;

	(void)link;
	if (frame->body_case == MH__FRAME__BODY_GRANT)
		fx->grant_id = frame->grant->grant_id;
	if (frame->body_case == MH__FRAME__BODY_REFUSED)
		fx->refused = frame->refused->error;
	if (frame->body_case == MH__FRAME__BODY_END)
		fx->ends++;
}

static void fixture_start(void *data, const struct mh_run_call *call)
{
	struct side_fixture *fx = data;

	(void)call;
	fx->starts++;
}

static void fixture_cancel(void *data, const struct mh_id *run)
{
	(void)data;
	(void)run;
}

static const struct mh_side_ops fixture_ops = {
	.send = fixture_send,
	.start = fixture_start,
	.cancel = fixture_cancel,
};

static void send_want(struct side_fixture *fx, uint32_t link, uint32_t count)
{
	uint32_t counts[1] = { count }, slack[1] = { 1000 };
	Mh__Want msg = MH__WANT__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.n_count = 1;
	msg.count = counts;
	msg.n_slack_ms = 1;
	msg.slack_ms = slack;
	frame.body_case = MH__FRAME__BODY_WANT;
	frame.want = &msg;
	mh_side_recv(fx->side, link, &frame);
	mh_side_tick(fx->side);
}

static void receive_ping(struct side_fixture *fx, bool leaving)
{
	Mh__Ping msg = MH__PING__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.peer_leaving = leaving;
	frame.body_case = MH__FRAME__BODY_PING;
	frame.ping = &msg;
	mh_side_recv(fx->side, 1, &frame);
}

static void open_side(struct side_fixture *fx)
{
	struct mh_clock clock = { fixture_mono, fixture_wall, fx };

	memset(fx, 0, sizeof(*fx));
	fx->now_ns = 1000 * MS;
	fx->side = mh_side_new("s", &clock, 1, 2, &fixture_ops, fx);
	mh_side_backend_state(fx->side, true);
	mh_side_link_up(fx->side, 1);
	receive_ping(fx, false);
	send_want(fx, 1, 1);
	assert_int_not_equal(fx->grant_id, 0);
}

static void send_handover(struct side_fixture *fx, const struct mh_id *id,
			  uint64_t grant_id)
{
	Mh__Handover msg = MH__HANDOVER__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.grant_id = grant_id;
	msg.run_id.data = (uint8_t *)id->b;
	msg.run_id.len = MH_ID_BYTES;
	frame.body_case = MH__FRAME__BODY_HANDOVER;
	frame.handover = &msg;
	mh_side_recv(fx->side, 1, &frame);
}

static void attach(struct side_fixture *fx, const struct mh_id *id)
{
	Mh__Attach msg = MH__ATTACH__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.ref.data = (uint8_t *)id->b;
	msg.ref.len = MH_ID_BYTES;
	msg.run_id = msg.ref;
	frame.body_case = MH__FRAME__BODY_ATTACH;
	frame.attach = &msg;
	mh_side_recv(fx->side, 1, &frame);
}

static const struct mh_id run_id = { { 5, 5, 5 } };

static void test_side_dispatches_once(void **state)
{
	struct side_fixture fx;

	(void)state;
	open_side(&fx);
	send_handover(&fx, &run_id, fx.grant_id);
	send_handover(&fx, &run_id, fx.grant_id);
	send_want(&fx, 1, 1);
	send_handover(&fx, &run_id, fx.grant_id);
	assert_int_equal(fx.starts, 1);
	assert_int_equal(fx.refused, 0);
	mh_side_free(fx.side);
}

/*
 * Once a side has reported a run as not found, a later handover must not start
 * it: the entry relies on that report.
 */
static void test_side_not_found_is_final(void **state)
{
	struct side_fixture fx;

	(void)state;
	open_side(&fx);
	attach(&fx, &run_id);
	assert_int_equal(fx.refused, MH_ERR_NOT_FOUND);
	send_handover(&fx, &run_id, fx.grant_id);
	assert_int_equal(fx.starts, 0);
	mh_side_free(fx.side);
}

static void test_side_grant_expires(void **state)
{
	struct side_fixture fx;

	(void)state;
	open_side(&fx);
	fx.now_ns += 251 * MS;
	receive_ping(&fx, false);
	send_handover(&fx, &run_id, fx.grant_id);
	assert_int_equal(fx.starts, 0);
	assert_int_equal(fx.refused, MH_ERR_GRANT_EXPIRED);
	mh_side_free(fx.side);
}

static void test_side_grant_is_bound_to_its_link(void **state)
{
	struct side_fixture fx;
	uint64_t grant_id;

	(void)state;
	open_side(&fx);
	grant_id = fx.grant_id;
	mh_side_link_down(fx.side, 1);
	mh_side_link_up(fx.side, 1);
	send_handover(&fx, &run_id, grant_id);
	assert_int_equal(fx.starts, 0);
	mh_side_free(fx.side);
}

/* Each reason for leaving: drain, host list, a peer's ping, lost contact. */
static void test_side_leaving_refuses(void **state)
{
	struct side_fixture fx;
	int reason;

	(void)state;
	for (reason = 0; reason < 4; reason++) {
		open_side(&fx);
		if (reason == 0)
			mh_side_drain(fx.side);
		else if (reason == 1)
			mh_side_host_state(fx.side, true);
		else if (reason == 2)
			receive_ping(&fx, true);
		else /* no contact for more than 3 s */
			fx.now_ns += 3001 * MS;
		send_handover(&fx, &run_id, fx.grant_id);
		assert_int_equal(fx.starts, 0);
		assert_int_not_equal(fx.refused, 0);
		fx.grant_id = 0;
		send_want(&fx, 1, 1);
		assert_int_equal(fx.grant_id, 0);
		mh_side_free(fx.side);
	}
}

static void test_side_run_not_started(void **state)
{
	struct side_fixture fx;

	(void)state;
	open_side(&fx);
	send_handover(&fx, &run_id, fx.grant_id);
	mh_side_run_not_started(fx.side, &run_id);
	assert_int_equal(fx.refused, MH_ERR_NOT_FOUND);
	attach(&fx, &run_id);
	assert_int_equal(fx.refused, MH_ERR_NOT_FOUND);
	assert_int_equal(mh_side_running(fx.side), 0);
	mh_side_free(fx.side);
}

static void test_side_attach_after_end(void **state)
{
	struct side_fixture fx;

	(void)state;
	open_side(&fx);
	send_handover(&fx, &run_id, fx.grant_id);
	mh_side_run_head(fx.side, &run_id, 200, "text/plain");
	mh_side_run_data(fx.side, &run_id, (const uint8_t *)"abc", 3);
	mh_side_run_end(fx.side, &run_id, MH_OK);
	attach(&fx, &run_id);
	assert_int_equal(fx.ends, 2);
	/* Later the data is gone, but not the fact that the run started. */
	fx.now_ns += 10000 * MS;
	mh_side_tick(fx.side);
	attach(&fx, &run_id);
	assert_int_equal(fx.refused, MH_ERR_LINK_LOST);
	mh_side_free(fx.side);
}

/* ---- configuration ---- */

static struct mh_manifest *read_manifest(const char *toml, char *errors,
					 size_t len)
{
	struct mh_config_report rep = { .file = "m.toml" };
	char err[512] = "";
	json_t *doc =
		mh_toml_parse(toml, strlen(toml), "m.toml", err, sizeof(err));
	struct mh_manifest *m = doc ? mh_manifest_read(doc, &rep) : NULL;

	snprintf(errors, len, "%s%s", err, rep.text ? rep.text : "");
	json_decref(doc);
	mh_config_report_clear(&rep);
	return m;
}

static const char *const good_manifest =
	"schema = 1\n"
	"[[tier]]\nname = \"alarm\"\n[[tier]]\nname = \"draft\"\n"
	"[[pool]]\nname = \"llm\"\nkind = \"engine\"\nmodels = [\"m\"]\n"
	"[[pool]]\nname = \"app\"\nkind = \"service\"\n"
	"not_repeatable = [\"POST /alerts\"]\n"
	"[[account]]\nname = \"a\"\ntier = \"draft\"\nkeys_sha256 = [\""
	/* SHA-256 of "secret" */
	"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
	"\"]\n";

static void test_manifest_errors(void **state)
{
	static const struct {
		const char *toml, *want;
	} cases[] = {
		{ "schema = 2\n", "m.toml:1: schema = 2: must be from 1 to 1" },
		{ "schema = 1\n", "tier: there must be from 1 to 8 tiers" },
		{ "schema = 1\nfoo = 3\n", "foo = 3: is not a known key" },
		{ "schema = \"x\"\n", "must be an integer" },
		{ "schema = [\n", "m.toml" },
		{ "schema = 1\n[[pool]]\nname = \"p\"\nkind = \"disk\"\n",
		  "kind must be engine or service" },
		{ "schema = 1\n[[pool]]\nkind = \"engine\"\n",
		  "pool[0].name: is missing" },
		{ "schema = 1\n[[tier]]\nname = \"t\"\n[[account]]\nname = "
		  "\"a\"\ntier = \"q\"\nkeys_sha256 = [\"zz\"]\n",
		  "tier must name a tier" },
		{ "schema = 1\n[policy]\ngrant_term_ms = 1\n",
		  "must be from 5 to 10000" },
	};
	char errors[4096];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		assert_null(
			read_manifest(cases[i].toml, errors, sizeof(errors)));
		if (!strstr(errors, cases[i].want))
			fail_msg("case %zu: no '%s' in: %s", i, cases[i].want,
				 errors);
	}
}

static void test_manifest_merge(void **state)
{
	json_t *doc =
		json_pack("{s:i, s:[{s:s, s:i}, {s:s, s:i}]}", "schema", 1,
			  "pool", "name", "a", "n", 1, "name", "b", "n", 2);
	json_t *delta =
		json_pack("{s:[{s:s, s:i}, {s:s}], s:[s]}", "pool", "name", "a",
			  "n", 7, "name", "c", "remove", "pool:b");
	json_t *merged = mh_manifest_merge(doc, delta), *pools;

	(void)state;
	pools = json_object_get(merged, "pool");
	assert_int_equal(json_array_size(pools), 2);
	assert_int_equal(json_integer_value(json_object_get(
				 json_array_get(pools, 0), "n")),
			 7);
	assert_null(json_object_get(merged, "remove"));
	json_decref(doc);
	json_decref(delta);
	json_decref(merged);
}

/* ---- clients' requests ---- */

static enum mh_error parse(const struct mh_manifest *m, const char *method,
			   const char *uri, const char *body, const char *auth,
			   const char *tier, const char *key,
			   struct mh_parsed_call *out)
{
	struct mh_client_request req = { .id = { { 7 } },
					 .method = method,
					 .uri = uri,
					 .body = (const uint8_t *)body,
					 .body_len = strlen(body),
					 .authorization = auth,
					 .tier = tier,
					 .key = key };
	const char *detail = NULL;

	return mh_call_parse(m, &req, 1000, out, &detail);
}

/* The body of a request is not read if its head is refused, so that both have to
 * agree. */
static enum mh_error expected_of_head(enum mh_error whole)
{
	return whole == MH_ERR_UNAUTHORIZED || whole == MH_ERR_UNKNOWN_POOL ||
			       whole == MH_ERR_NOT_FOUND ?
		       whole :
		       MH_OK;
}

static void test_parse_calls(void **state)
{
	static const char *const chat = "/v1/chat/completions";
	static const char *const ok =
		"{\"model\":\"m\",\"messages\":[{\"content\":\"hi\"}],"
		"\"stream\":true,\"max_tokens\":5}";
	static const char *const auth = "Bearer secret";
	static const struct {
		const char *method, *uri, *body, *auth, *tier, *key;
		enum mh_error want;
	} cases[] = {
		{ "POST", chat, ok, auth, NULL, NULL, MH_OK },
		{ "POST", chat, ok, NULL, NULL, NULL, MH_ERR_UNAUTHORIZED },
		{ "POST", chat, ok, "Bearer x", NULL, NULL,
		  MH_ERR_UNAUTHORIZED },
		{ "GET", chat, ok, auth, NULL, NULL, MH_ERR_BAD_REQUEST },
		{ "POST", chat, "{", auth, NULL, NULL, MH_ERR_BAD_REQUEST },
		{ "POST", chat, "[]", auth, NULL, NULL, MH_ERR_BAD_REQUEST },
		{ "POST", chat, "{\"model\":3,\"messages\":[]}", auth, NULL,
		  NULL, MH_ERR_BAD_REQUEST },
		{ "POST", chat, "{\"model\":\"m\"}", auth, NULL, NULL,
		  MH_ERR_BAD_REQUEST },
		{ "POST", chat, "{\"model\":\"q\",\"messages\":[]}", auth, NULL,
		  NULL, MH_ERR_UNKNOWN_MODEL },
		{ "POST", chat,
		  "{\"model\":\"m\",\"messages\":[],\"max_tokens\":-1}", auth,
		  NULL, NULL, MH_ERR_BAD_REQUEST },
		{ "POST", chat, ok, auth, "alarm", NULL, MH_ERR_FORBIDDEN },
		{ "POST", chat, ok, auth, "nope", NULL, MH_ERR_BAD_REQUEST },
		{ "POST", chat, ok, auth, "draft", "xyz", MH_ERR_KEY_INVALID },
		{ "POST", "/v1/completions", "{\"model\":\"m\"}", auth, NULL,
		  NULL, MH_ERR_BAD_REQUEST },
		{ "PUT", "/svc/app/x?y=1", "", auth, NULL, NULL, MH_OK },
		{ "PUT", "/svc/llm/x", "", auth, NULL, NULL,
		  MH_ERR_UNKNOWN_POOL },
		{ "GET", "/nothing", "", auth, NULL, NULL, MH_ERR_NOT_FOUND },
	};
	struct mh_parsed_call out;
	char errors[512];
	struct mh_manifest *m =
		read_manifest(good_manifest, errors, sizeof(errors));
	size_t i;

	(void)state;
	assert_non_null(m);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const char *detail = NULL;
		enum mh_error got =
			parse(m, cases[i].method, cases[i].uri, cases[i].body,
			      cases[i].auth, cases[i].tier, cases[i].key, &out);

		if (got != cases[i].want)
			fail_msg("case %zu: %s, expected %s", i,
				 mh_error_info(got)->name,
				 mh_error_info(cases[i].want)->name);
		assert_int_equal(mh_call_check_head(m, cases[i].uri,
						    cases[i].auth, &detail),
				 expected_of_head(got));
		mh_parsed_call_release(&out);
	}
	assert_int_equal(parse(m, "POST", "/svc/app/alerts/7", "x", auth, NULL,
			       NULL, &out),
			 MH_OK);
	assert_true(out.call.non_idempotent);
	assert_int_equal(out.call.id.b[0], 7);
	assert_string_equal(out.call.path, "/alerts/7");
	mh_parsed_call_release(&out);
	mh_manifest_free(m);
}

static void write_file(const char *path, const char *text)
{
	FILE *f = fopen(path, "w");

	fputs(text, f);
	fclose(f);
}

static void test_settings_errors(void **state)
{
	char path[] = "/tmp/mh-settings-XXXXXX";
	struct mh_entry_settings s;
	struct mh_config_report rep = { 0 };
	int fd = mkstemp(path);

	(void)state;
	close(fd);
	write_file(path, "host = 3\nzone = \"z\"\nlog_level = \"loud\"\n"
			 "[listen]\ncallers = \"localhost:1\"\n"
			 "admin = \"127.0.0.1:2\"\nlinks = \"127.0.0.1:3\"\n"
			 "[platform]\nstore = \"http://127.0.0.1:4\"\n"
			 "extra = 1\n"
			 "[http]\nthreads = 0\n[link]\nkey = \"abc\"\n");
	assert_false(mh_entry_settings_read(path, &s, &rep));
	assert_int_equal(rep.count, 7);
	assert_non_null(strstr(rep.text, ":1: host = 3: must be a string"));
	assert_non_null(
		strstr(rep.text, ":5: listen.callers = \"localhost:1\""));
	assert_non_null(strstr(rep.text, "platform.extra = 1: is not a known"));
	assert_non_null(strstr(rep.text, "http.threads = 0: must be from 1"));
	/* The message must not show the secret. */
	assert_non_null(strstr(rep.text, "link.key: must be 64 hex digits"));
	assert_null(strstr(rep.text, "abc"));
	mh_entry_settings_release(&s);
	mh_config_report_clear(&rep);
	unlink(path);
}

static void test_examples(void **state)
{
	struct mh_entry_settings entry;
	struct mh_side_settings side;
	struct mh_proxy_settings proxy;
	struct mh_dispatcher_settings dispatcher;
	struct mh_config_report rep = { 0 };

	(void)state;
	if (!mh_entry_settings_read("examples/mangohead-entry.toml.example",
				    &entry, &rep) ||
	    !mh_side_settings_read("examples/mangohead-side.toml.example",
				   &side, &rep))
		fail_msg("%s", rep.text);
	mh_entry_settings_release(&entry);
	mh_side_settings_release(&side);
	if (!mh_proxy_settings_read("examples/mangohead-proxy.toml.example",
				    &proxy, &rep) ||
	    !mh_dispatcher_settings_read(
		    "examples/mangohead-dispatcher.toml.example", &dispatcher,
		    &rep))
		fail_msg("%s", rep.text);
	mh_proxy_settings_release(&proxy);
	mh_dispatcher_settings_release(&dispatcher);
}

/* ---- placement ---- */

#define N_NAMES 60

static void test_rendezvous_spreads(void **state)
{
	static char names[N_NAMES][16];
	const char *list[N_NAMES];
	int per_entry[N_NAMES] = { 0 }, moved = 0, i, s;

	(void)state;
	for (i = 0; i < N_NAMES; i++) {
		snprintf(names[i], sizeof(names[i]), "entry-%d", i);
		list[i] = names[i];
	}
	for (s = 0; s < 867; s++) {
		char server[16];
		int chosen = 0;

		snprintf(server, sizeof(server), "server-%d", s);
		for (i = 0; i < N_NAMES; i++) {
			bool with_all = mh_rendezvous_chosen(server, names[i],
							     list, N_NAMES, 6);
			bool without_last = mh_rendezvous_chosen(
				server, names[i], list, N_NAMES - 1, 6);

			chosen += with_all;
			per_entry[i] += with_all;
			moved += i < N_NAMES - 1 && with_all != without_last;
		}
		assert_int_equal(chosen, 6);
	}
	for (i = 0; i < N_NAMES; i++)
		assert_in_range(per_entry[i], 50, 130);
	/* Only servers of the lost entry move: 1 of 60, up to 3 allowed. */
	assert_in_range(moved, 1, 867 * 6 * 3 / 60);
}

/* ---- idempotency keys at an entry ---- */

static void ignore_send(void *data, uint32_t link, const Mh__Frame *frame)
{
	(void)data;
	(void)link;
	(void)frame;
}

static void ignore_config(void *data, struct mh_manifest *old,
			  const struct mh_manifest *now)
{
	(void)data;
	(void)now;
	mh_manifest_free(old);
}

static enum mh_error last_refusal;

static void save_refusal(void *data, struct mh_call *call,
			 const struct mh_refusal *refusal)
{
	(void)data;
	(void)call;
	last_refusal = refusal->error;
}

static void ignore_record(void *data, const uint8_t *rec, size_t len)
{
	(void)data;
	(void)rec;
	(void)len;
}

static enum mh_error submit_key(struct mh_entry *e, struct side_fixture *fx,
				uint64_t age_ms)
{
	struct mh_call call = { .account = "a",
				.pool = "p",
				.model = "m",
				.method = "POST",
				.path = "/",
				.content_type = "",
				.non_idempotent = true,
				.has_key = true,
				.deadline_ns = fx->now_ns + 1000 * MS };

	mh_id_make_v7(&call.id, 1, age_ms, age_ms);
	mh_id_make_v7(&call.key, fixture_wall(fx) - age_ms, age_ms, 1);
	last_refusal = MH_OK;
	mh_entry_submit(e, &call);
	mh_entry_cancel(e, &call);
	return last_refusal;
}

static void configure(struct mh_entry *e, uint64_t offset, uint32_t window_s)
{
	char rec[1024];

	snprintf(rec, sizeof(rec),
		 "{\"kind\":\"manifest\",\"base\":%llu,\"who\":\"w\","
		 "\"doc\":{\"schema\":1,\"tier\":[{\"name\":\"t\"}],"
		 "\"pool\":[{\"name\":\"p\",\"kind\":\"engine\","
		 "\"models\":[\"m\"]}],\"account\":[{\"name\":\"a\","
		 "\"tier\":\"t\",\"keys_sha256\":[]}],"
		 "\"policy\":{\"key_window_s\":%u}}}",
		 (unsigned long long)offset, window_s);
	mh_entry_apply_config_record(e, offset, 1, rec, strlen(rec));
}

/* A key is accepted only if every claim on it would still be known. */
static void test_key_window(void **state)
{
	static const struct mh_entry_ops ops = {
		.send = ignore_send,
		.refuse = save_refusal,
		.append_claims = ignore_record,
		.config_changed = ignore_config,
	};
	struct side_fixture fx = { .now_ns = 100000000 * MS };
	struct mh_clock clock = { fixture_mono, fixture_wall, &fx };
	struct mh_entry *e = mh_entry_new("me", &clock, 1, &ops, NULL);
	const uint64_t hour_ms = 3600000;

	(void)state;
	configure(e, 0, 3600);
	assert_int_equal(submit_key(e, &fx, 0), MH_ERR_LOG_UNAVAILABLE);
	mh_entry_set_claims_start(e, 0, 0);
	mh_entry_set_log_up(e, true);
	assert_int_equal(submit_key(e, &fx, 0), MH_OK);
	assert_int_equal(submit_key(e, &fx, hour_ms), MH_ERR_KEY_EXPIRED);
	/* A longer window does not restore claims already dropped. */
	configure(e, 1, 4 * 3600);
	assert_int_equal(submit_key(e, &fx, hour_ms / 2), MH_OK);
	assert_int_equal(submit_key(e, &fx, hour_ms + 1), MH_ERR_KEY_EXPIRED);
	fx.now_ns += 2 * hour_ms * MS;
	assert_int_equal(submit_key(e, &fx, 2 * hour_ms), MH_OK);
	/* The log lost records that this entry had not read. */
	mh_entry_set_claims_start(e, 50, fixture_wall(&fx) - hour_ms);
	assert_int_equal(submit_key(e, &fx, 2 * hour_ms), MH_ERR_KEY_EXPIRED);
	assert_int_equal(submit_key(e, &fx, hour_ms / 2), MH_OK);
	mh_entry_free(e);
}

/* ---- malformed and malicious input ---- */

#define FUZZ_ROUNDS 100000

static const struct mh_entry_ops ignore_ops = {
	.send = ignore_send,
	.config_changed = ignore_config,
};

static size_t random_field(struct mh_rng *rng, uint8_t *buf)
{
	size_t i = 0,
	       len = mh_rng_next(rng) % 2 ? MH_ID_BYTES : mh_rng_next(rng) % 20;
	uint8_t number = (uint8_t)(1 + mh_rng_next(rng) % 15);

	if (mh_rng_next(rng) % 2) {
		buf[i++] = (uint8_t)(number << 3);
		buf[i++] = (uint8_t)(mh_rng_next(rng) % 128);
		return i;
	}
	buf[i++] = (uint8_t)(number << 3 | 2);
	buf[i++] = (uint8_t)len;
	while (len--)
		buf[i++] = (uint8_t)(mh_rng_next(rng) % 128);
	return i;
}

/* A frame of any kind with random fields, as a malicious peer may send it. */
static size_t random_frame(struct mh_rng *rng, uint8_t *buf)
{
	unsigned int kind = 1 + (unsigned int)(mh_rng_next(rng) % 20);
	size_t n = mh_rng_next(rng) % 5, i = 0, length_at;

	buf[i++] = (uint8_t)((kind << 3 | 2) & 0x7f) | (kind > 15 ? 0x80 : 0);
	if (kind > 15)
		buf[i++] = 1;
	length_at = i++;
	while (n--)
		i += random_field(rng, buf + i);
	buf[length_at] = (uint8_t)(i - length_at - 1);
	return i;
}

static void test_fuzz_frames(void **state)
{
	struct mh_rng rng = { 42 };
	struct side_fixture fx;
	struct mh_clock clock = { fixture_mono, fixture_wall, &fx };
	struct mh_remote peer = { .host = "e", .incarnation = 1, .pool = "" };
	struct mh_remote server = {
		.host = "s", .incarnation = 1, .is_side = true, .pool = "p"
	};
	struct mh_entry *e;
	int i, decoded = 0;

	(void)state;
	open_side(&fx);
	e = mh_entry_new("me", &clock, 1, &ignore_ops, NULL);
	mh_entry_link_up(e, 1, &peer);
	mh_entry_link_up(e, 2, &server);
	for (i = 0; i < FUZZ_ROUNDS; i++) {
		uint8_t buf[300];
		size_t len = random_frame(&rng, buf);
		Mh__Frame *frame = mh__frame__unpack(NULL, len, buf);

		if (!frame)
			continue;
		decoded++;
		mh_side_recv(fx.side, 1, frame);
		mh_entry_recv(e, 1 + (uint32_t)(i % 2), frame);
		mh__frame__free_unpacked(frame, NULL);
		fx.now_ns += MS;
		mh_side_tick(fx.side);
		mh_entry_tick(e);
	}
	assert_true(decoded > 1000);
	mh_entry_free(e);
	mh_side_free(fx.side);
}

static void test_fuzz_documents(void **state)
{
	struct mh_rng rng = { 43 };
	size_t len = strlen(good_manifest);
	char *copy = malloc(len + 1), errors[4096];
	int i, valid = 0;

	(void)state;
	for (i = 0; i < 3000; i++) {
		struct mh_manifest *m;

		memcpy(copy, good_manifest, len + 1);
		copy[mh_rng_next(&rng) % len] =
			(char)(32 + mh_rng_next(&rng) % 95);
		if (i % 2)
			copy[mh_rng_next(&rng) % len] = '\0';
		m = read_manifest(copy, errors, sizeof(errors));
		assert_true(m || *errors);
		valid += m != NULL;
		mh_manifest_free(m);
	}
	assert_true(valid > 100);
	free(copy);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_error_table),
		cmocka_unit_test(test_ids),
		cmocka_unit_test(test_heap),
		cmocka_unit_test(test_wait_queue_order),
		cmocka_unit_test(test_wait_queue_shares),
		cmocka_unit_test(test_claims),
		cmocka_unit_test(test_key_acquired_again_is_kept_for_a_window),
		cmocka_unit_test(test_side_dispatches_once),
		cmocka_unit_test(test_side_not_found_is_final),
		cmocka_unit_test(test_side_grant_expires),
		cmocka_unit_test(test_side_grant_is_bound_to_its_link),
		cmocka_unit_test(test_side_leaving_refuses),
		cmocka_unit_test(test_side_run_not_started),
		cmocka_unit_test(test_side_attach_after_end),
		cmocka_unit_test(test_manifest_errors),
		cmocka_unit_test(test_manifest_merge),
		cmocka_unit_test(test_parse_calls),
		cmocka_unit_test(test_settings_errors),
		cmocka_unit_test(test_examples),
		cmocka_unit_test(test_rendezvous_spreads),
		cmocka_unit_test(test_key_window),
		cmocka_unit_test(test_fuzz_frames),
		cmocka_unit_test(test_fuzz_documents),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
