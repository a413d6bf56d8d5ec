/* Unit tests of requests that share an idempotency key at one entry, and of what
 * entries tell each other of requests that crash servers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
/* cmocka.h needs the headers above. */
#include <cmocka.h>
#include <xxhash.h>

#include "core/claims.h"
#include "core/entry.h"

#define MS MH_NS_PER_MS
#define START_MS 100000000ull
#define SIDE_LINK 2
#define PEER_LINK 3
#define N_CALLS 3

struct outcome {
	bool completed;
	bool refused;
	enum mh_error error;
};

struct fixture {
	uint64_t now_ns;
	struct mh_clock clock;
	struct mh_entry *entry;
	struct mh_id key;
	struct mh_call calls[N_CALLS];
	struct outcome outcomes[N_CALLS];

	/* refs of the attach messages sent to the side, in order */
	struct mh_id attached[N_CALLS + 1];
	uint32_t n_attached;
	uint32_t handovers;
	uint8_t claims[256];
	uint32_t snapshots; /* appended to the configuration topic */
	size_t claims_len;
	struct fixture *peer; /* entry at the other end of PEER_LINK */
};

static uint64_t mono(void *data)
{
	return ((struct fixture *)data)->now_ns;
}

static uint64_t wall(void *data)
{
	return ((struct fixture *)data)->now_ns / MS;
}

static void on_send(void *data, uint32_t link, const Mh__Frame *frame)
{
	struct fixture *fx = data;

	if (frame->body_case == MH__FRAME__BODY_HANDOVER)
		fx->handovers++;
	if (frame->body_case == MH__FRAME__BODY_SUSPECT && link == PEER_LINK)
		mh_entry_recv(fx->peer->entry, PEER_LINK, frame);
	if (frame->body_case != MH__FRAME__BODY_ATTACH ||
	    fx->n_attached > N_CALLS)
		return;
	assert_true(mh_id_from_bytes(&fx->attached[fx->n_attached++],
				     frame->attach->ref.data,
				     frame->attach->ref.len));
}

static void on_head(void *data, struct mh_call *call, uint32_t status,
		    const char *content_type, const char *server)
{
	(void)data;
	(void)call;
	(void)content_type;
	(void)server;
	assert_int_equal(status, 200);
}

static void on_end(void *data, struct mh_call *call)
{
	(void)data;
	((struct outcome *)call->data)->completed = true;
}

static void on_refuse(void *data, struct mh_call *call,
		      const struct mh_refusal *refusal)
{
	struct outcome *out = call->data;

	(void)data;
	out->refused = true;
	out->error = refusal->error;
}

static void on_claims(void *data, const uint8_t *rec, size_t len)
{
	struct fixture *fx = data;

	assert_in_range(len, 1, sizeof(fx->claims));
	memcpy(fx->claims, rec, len);
	fx->claims_len = len;
}

static void on_append_config(void *data, const char *text, size_t len)
{
	assert_non_null(strstr(text, "\"snapshot\""));
	assert_int_equal(len, strlen(text));
	((struct fixture *)data)->snapshots++;
}

static void on_config(void *data, struct mh_manifest *old,
		      const struct mh_manifest *now)
{
	(void)data;
	(void)now;
	mh_manifest_free(old);
}

static const struct mh_entry_ops ops = {
	.send = on_send,
	.head = on_head,
	.end = on_end,
	.refuse = on_refuse,
	.append_claims = on_claims,
	.append_config = on_append_config,
	.config_changed = on_config,
};

static const char *const manifest =
	"{\"kind\":\"manifest\",\"base\":0,\"who\":\"w\","
	"\"doc\":{\"schema\":1,\"tier\":[{\"name\":\"t\"}],"
	"\"pool\":[{\"name\":\"p\",\"kind\":\"service\"}],"
	"\"account\":[{\"name\":\"a\",\"tier\":\"t\",\"keys_sha256\":[]}]}}";

static void tick(struct fixture *fx, uint32_t ms)
{
	fx->now_ns += ms * MS;
	mh_entry_tick(fx->entry);
}

static void open_entry(struct fixture *fx)
{
	struct mh_remote side = {
		.host = "s", .incarnation = 1, .is_side = true, .pool = "p"
	};
	uint32_t i;

	memset(fx, 0, sizeof(*fx));
	fx->now_ns = START_MS * MS;
	fx->clock = (struct mh_clock){ mono, wall, fx };
	fx->entry = mh_entry_new("me", &fx->clock, 1, &ops, fx);
	mh_entry_apply_config_record(fx->entry, 0, START_MS, manifest,
				     strlen(manifest));
	mh_entry_set_claims_start(fx->entry, 0, 0);
	mh_entry_set_log_up(fx->entry, true);
	mh_entry_link_up(fx->entry, SIDE_LINK, &side);
	mh_id_make_v7(&fx->key, START_MS, 1, 1);
	for (i = 0; i < N_CALLS; i++) {
		fx->calls[i] = (struct mh_call){
			.account = "a",
			.pool = "p",
			.model = "",
			.method = "POST",
			.path = "/",
			.content_type = "",
			.non_idempotent = true,
			.has_key = true,
			.key = fx->key,
			.deadline_ns = fx->now_ns + 30000 * MS,
			.data = &fx->outcomes[i],
		};
		mh_id_make_v7(&fx->calls[i].id, START_MS, i, i);
	}
}

/* Another entry's claim of the key precedes this entry's one in the log. */
static void lose_claim(struct fixture *fx)
{
	struct mh_claim other = {
		.kind = MH_CLAIM_ACQUIRE,
		.key = mh_claims_key("a", &fx->key),
		.owner = 99,
	};
	uint8_t rec[MH_CLAIM_RECORD_BYTES];
	size_t len = mh_claims_encode(&other, 1, rec);

	tick(fx, 1000);
	assert_true(fx->claims_len > 0);
	mh_entry_apply_claims_record(fx->entry, 0, START_MS, rec, len);
	mh_entry_apply_claims_record(fx->entry, 1, START_MS, fx->claims,
				     fx->claims_len);
}

static void send_head(struct fixture *fx, struct mh_id *ref)
{
	Mh__Frame frame = MH__FRAME__INIT;
	Mh__Head head = MH__HEAD__INIT;

	head.ref = mh_id_field(ref);
	head.status = 200;
	frame.body_case = MH__FRAME__BODY_HEAD;
	frame.head = &head;
	mh_entry_recv(fx->entry, SIDE_LINK, &frame);
}

/* Sends a complete, empty response. */
static void send_response(struct fixture *fx, struct mh_id *ref)
{
	Mh__Frame frame = MH__FRAME__INIT;
	Mh__End end = MH__END__INIT;

	send_head(fx, ref);
	end.ref = mh_id_field(ref);
	end.hash = XXH64(NULL, 0, 0);
	frame.body_case = MH__FRAME__BODY_END;
	frame.end = &end;
	mh_entry_recv(fx->entry, SIDE_LINK, &frame);
}

static void refuse_attach(struct fixture *fx, struct mh_id *ref)
{
	Mh__Frame frame = MH__FRAME__INIT;
	Mh__Refused refused = MH__REFUSED__INIT;

	refused.ref = mh_id_field(ref);
	refused.error = MH_ERR_NOT_FOUND;
	frame.body_case = MH__FRAME__BODY_REFUSED;
	frame.refused = &refused;
	mh_entry_recv(fx->entry, SIDE_LINK, &frame);
}

/*
 * The same key arrives at two entries at the same time, several times each. The
 * entry that loses the claim finds the run of the other one; all its requests
 * with the key have to join that run.
 */
static void test_all_callers_join_a_run_found_elsewhere(void **state)
{
	struct fixture fx;
	uint32_t i;

	(void)state;
	open_entry(&fx);
	for (i = 0; i < N_CALLS; i++)
		mh_entry_submit(fx.entry, &fx.calls[i]);
	lose_claim(&fx);
	assert_int_equal(fx.n_attached, 1);
	for (i = 0; i < N_CALLS; i++) {
		assert_int_equal(fx.n_attached, i ? N_CALLS : 1);
		send_response(&fx, &fx.attached[i]);
		assert_true(fx.outcomes[i].completed);
	}
	assert_int_equal(fx.handovers, 0);
	mh_entry_free(fx.entry);
}

/*
 * Cancels the first of two requests, the leader, while it looks for the run of
 * their key.
 */
static void cancel_leader_while_attaching(struct fixture *fx)
{
	open_entry(fx);
	mh_entry_submit(fx->entry, &fx->calls[0]);
	mh_entry_submit(fx->entry, &fx->calls[1]);
	lose_claim(fx);
	assert_int_equal(fx->n_attached, 1);
	mh_entry_cancel(fx->entry, &fx->calls[0]);
	tick(fx, 1);
	assert_int_equal(fx->n_attached, 2);
}

/* The leader is cancelled while it looks for the run: its successor goes on. */
static void test_successor_of_a_lost_claim_attaches_to_the_run(void **state)
{
	struct fixture fx;

	(void)state;
	cancel_leader_while_attaching(&fx);
	send_response(&fx, &fx.attached[1]);
	assert_true(fx.outcomes[1].completed);
	assert_int_equal(fx.handovers, 0);
	mh_entry_free(fx.entry);
}

/* No run is found: the successor is refused at once, not at its deadline. */
static void test_successor_without_a_run_is_refused_at_once(void **state)
{
	struct fixture fx;

	(void)state;
	cancel_leader_while_attaching(&fx);
	refuse_attach(&fx, &fx.attached[1]);
	assert_true(fx.outcomes[1].refused);
	assert_int_equal(fx.outcomes[1].error, MH_ERR_DUPLICATE);
	assert_int_equal(fx.handovers, 0);
	mh_entry_free(fx.entry);
}

/*
 * A leader is cancelled while the link to its run is down: the run may still
 * exist, so its successor attaches to it.
 */
static void test_successor_of_a_leader_with_a_lost_link(void **state)
{
	struct mh_remote side = {
		.host = "s", .incarnation = 1, .is_side = true, .pool = "p"
	};
	struct fixture fx;

	(void)state;
	open_entry(&fx);
	mh_entry_submit(fx.entry, &fx.calls[0]);
	lose_claim(&fx);
	assert_int_equal(fx.n_attached, 1);
	send_head(&fx, &fx.attached[0]);
	mh_entry_link_down(fx.entry, SIDE_LINK);
	mh_entry_submit(fx.entry, &fx.calls[1]);
	mh_entry_cancel(fx.entry, &fx.calls[0]);
	mh_entry_link_up(fx.entry, SIDE_LINK, &side);
	tick(&fx, 1);
	assert_int_equal(fx.n_attached, 2);
	send_response(&fx, &fx.attached[1]);
	assert_true(fx.outcomes[1].completed);
	mh_entry_free(fx.entry);
}

/*
 * A second signal to stop refuses all calls. Their clients must not be told
 * that nothing ran: the other entry may have started a run of the key.
 */
static void test_refuse_all_with_a_possible_run_reports_cancelled(void **state)
{
	struct fixture fx;
	uint32_t i;

	(void)state;
	open_entry(&fx);
	for (i = 0; i < N_CALLS; i++)
		mh_entry_submit(fx.entry, &fx.calls[i]);
	lose_claim(&fx);
	mh_entry_refuse_all(fx.entry);
	assert_int_equal(mh_entry_count_calls(fx.entry), 0);
	for (i = 0; i < N_CALLS; i++) {
		assert_true(fx.outcomes[i].refused);
		assert_int_equal(fx.outcomes[i].error, MH_ERR_CANCELLED);
	}
	mh_entry_free(fx.entry);
}

/* The claim is not confirmed yet, so no run can have started. */
static void test_refuse_all_before_a_run_reports_draining(void **state)
{
	struct fixture fx;
	uint32_t i;

	(void)state;
	open_entry(&fx);
	for (i = 0; i < N_CALLS; i++)
		mh_entry_submit(fx.entry, &fx.calls[i]);
	mh_entry_refuse_all(fx.entry);
	for (i = 0; i < N_CALLS; i++)
		assert_int_equal(fx.outcomes[i].error, MH_ERR_DRAINING);
	assert_int_equal(fx.n_attached, 0);
	assert_int_equal(fx.handovers, 0);
	mh_entry_free(fx.entry);
}

static void report_crash(struct fixture *fx, const struct mh_id *fingerprint,
			 uint64_t event)
{
	ProtobufCBinaryData field = mh_id_field(fingerprint);
	Mh__Suspect msg = MH__SUSPECT__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.n_fingerprint = 1;
	msg.fingerprint = &field;
	msg.event = event;
	frame.body_case = MH__FRAME__BODY_SUSPECT;
	frame.suspect = &msg;
	mh_entry_recv(fx->entry, SIDE_LINK, &frame);
}

/* Guards against an entry that joins and hands a quarantined request over. */
static void test_entry_that_joins_learns_of_quarantines(void **state)
{
	struct mh_remote remote = { .host = "peer", .incarnation = 5 };
	struct mh_id bad = { { 7 } }, once = { { 8 } };
	struct fixture a, b;

	(void)state;
	open_entry(&a);
	open_entry(&b);
	report_crash(&a, &bad, 11);
	report_crash(&a, &bad, 12);
	report_crash(&a, &once, 11);
	a.peer = &b;
	b.peer = &a;
	mh_entry_link_up(b.entry, PEER_LINK, &remote);
	mh_entry_link_up(a.entry, PEER_LINK, &remote);
	b.calls[0].fingerprint = bad;
	b.calls[1].fingerprint = once;
	mh_entry_submit(b.entry, &b.calls[0]);
	mh_entry_submit(b.entry, &b.calls[1]);
	assert_true(b.outcomes[0].refused);
	assert_int_equal(b.outcomes[0].error, MH_ERR_QUARANTINED);
	assert_false(b.outcomes[1].refused);
	mh_entry_free(a.entry);
	mh_entry_free(b.entry);
}

/* Guards against a key whose claim the store lost in a drill, and that a second
 * request could get before it is written again. */
static void test_lost_claims_are_written_again(void **state)
{
	uint8_t first[sizeof(((struct fixture *)0)->claims)];
	struct fixture fx;
	size_t len;

	(void)state;
	open_entry(&fx);
	mh_entry_submit(fx.entry, &fx.calls[0]);
	tick(&fx, 100);
	len = fx.claims_len;
	assert_true(len > 0);
	memcpy(first, fx.claims, len);
	mh_entry_apply_claims_record(fx.entry, 0, START_MS, first, len);
	fx.claims_len = 0;
	mh_entry_store_rewound(fx.entry, 2);
	/* Another call is refused, it has not run. */
	mh_id_make_v7(&fx.calls[1].key, START_MS, 2, 2);
	mh_entry_submit(fx.entry, &fx.calls[1]);
	assert_true(fx.outcomes[1].refused);
	assert_int_equal(fx.outcomes[1].error, MH_ERR_LOG_UNAVAILABLE);
	/* The log, read again, does not have the claim. */
	tick(&fx, 1100);
	assert_int_equal(fx.claims_len, len);
	assert_memory_equal(fx.claims, first, len);
	assert_int_equal(fx.snapshots, 1);
	tick(&fx, 3000);
	mh_entry_submit(fx.entry, &fx.calls[2]);
	assert_false(fx.outcomes[2].refused);
	mh_entry_free(fx.entry);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_callers_join_a_run_found_elsewhere),
		cmocka_unit_test(
			test_successor_of_a_lost_claim_attaches_to_the_run),
		cmocka_unit_test(
			test_successor_without_a_run_is_refused_at_once),
		cmocka_unit_test(test_successor_of_a_leader_with_a_lost_link),
		cmocka_unit_test(
			test_refuse_all_with_a_possible_run_reports_cancelled),
		cmocka_unit_test(test_refuse_all_before_a_run_reports_draining),
		cmocka_unit_test(test_entry_that_joins_learns_of_quarantines),
		cmocka_unit_test(test_lost_claims_are_written_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
