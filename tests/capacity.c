/*
 * Measures how CPU time and memory of the core grow with the number of claims,
 * accounts, links and tokens. Each row of a table is one size; the last line is
 * the least-squares fit with its greatest residual.
 */
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/claims.h"
#include "core/config_state.h"
#include "core/entry.h"

#define MAX_ROWS 8

struct table {
	const char *name;
	const char *x_unit;
	const char *y_unit;
	double x[MAX_ROWS], y[MAX_ROWS];
	int n;
};

static double cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void add_row(struct table *t, double x, double y)
{
	t->x[t->n] = x;
	t->y[t->n++] = y;
}

static void print_table(const struct table *t)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, a, b, worst = 0;
	int i;

	for (i = 0; i < t->n; i++) {
		sx += t->x[i];
		sy += t->y[i];
		sxx += t->x[i] * t->x[i];
		sxy += t->x[i] * t->y[i];
	}
	b = (t->n * sxy - sx * sy) / (t->n * sxx - sx * sx);
	a = (sy - b * sx) / t->n;
	printf("%s (%s by %s)\n", t->name, t->y_unit, t->x_unit);
	for (i = 0; i < t->n; i++) {
		double r = fabs(t->y[i] - (a + b * t->x[i]));

		if (r > worst)
			worst = r;
		printf("  %12.0f %14.3f\n", t->x[i], t->y[i]);
	}
	printf("  fit: %.4g + %.4g x, greatest residual %.3g\n", a, b, worst);
}

static size_t heap_bytes(void)
{
	return mallinfo2().uordblks + mallinfo2().hblkhd;
}

/* ---- claims ---- */

static void measure_claims(void)
{
	struct table time = { .name = "claims: apply",
			      .x_unit = "claims held",
			      .y_unit = "us a claim" };
	struct table bytes = { .name = "claims: memory",
			       .x_unit = "claims held",
			       .y_unit = "MB" };
	size_t sizes[] = { 50000, 100000, 250000, 500000, 1000000 }, i, j;

	for (i = 0; i < 5; i++) {
		struct mh_claims *c = mh_claims_new(3600);
		struct mh_rng rng = { 1 };
		uint8_t rec[MH_CLAIM_RECORD_BYTES];
		double start = cpu_s();

		for (j = 0; j < sizes[i]; j++) {
			struct mh_claim claim = { .kind = MH_CLAIM_ACQUIRE,
						  .owner = j + 1 };
			uint64_t r[2] = { mh_rng_next(&rng),
					  mh_rng_next(&rng) };

			memcpy(claim.key.b, r, sizeof(r));
			mh_claims_encode(&claim, 1, rec);
			mh_claims_apply(c, rec, sizeof(rec), 1000 + j / 300,
					NULL, NULL);
		}
		add_row(&time, (double)sizes[i],
			(cpu_s() - start) / (double)sizes[i] * 1e6);
		add_row(&bytes, (double)sizes[i],
			(double)mh_claims_bytes(c) / 1e6);
		mh_claims_free(c);
	}
	print_table(&time);
	print_table(&bytes);
}

/* ---- configuration ---- */

static json_t *document(int accounts)
{
	json_t *list = json_array();
	char name[32], hash[65];
	int i;

	for (i = 0; i < accounts; i++) {
		snprintf(name, sizeof(name), "account-%05d", i);
		snprintf(hash, sizeof(hash), "%064d", i);
		json_array_append_new(
			list, json_pack("{s:s, s:[s], s:s, s:i, s:i}", "name",
					name, "keys_sha256", hash, "tier", "t0",
					"share", 100, "max_waiting", 1000));
	}
	return json_pack("{s:i, s:[{s:s}, {s:s}, {s:s}, {s:s}], "
			 "s:[{s:s, s:s, s:[s]}], s:o}",
			 "schema", 1, "tier", "name", "t0", "name", "t1",
			 "name", "t2", "name", "t3", "pool", "name", "p",
			 "kind", "engine", "models", "m", "account", list);
}

static char *config_record(const char *kind, uint64_t base, json_t *doc)
{
	json_t *rec = json_pack("{s:s, s:I, s:s, s:s, s:o}", "kind", kind,
				"base", (json_int_t)base, "who", "w", "nonce",
				"0123456789abcdef0123456789abcdef", "doc", doc);
	char *text = json_dumps(rec, JSON_COMPACT);

	json_decref(rec);
	return text;
}

static void apply_record(struct mh_config_state *state, uint64_t offset,
			 char *text)
{
	mh_config_state_apply(state, offset, offset, text, strlen(text));
	mh_manifest_free(mh_config_state_take_replaced(state));
	free(text);
}

static void measure_config(void)
{
	struct table time = { .name = "configuration: apply of a delta",
			      .x_unit = "accounts",
			      .y_unit = "ms a change" };
	struct table mem = { .name = "configuration: memory",
			     .x_unit = "accounts",
			     .y_unit = "MB" };
	struct table size = { .name = "configuration: complete document",
			      .x_unit = "accounts",
			      .y_unit = "KB" };
	int sizes[] = { 1000, 2500, 5000, 9400 }, i, j;

	for (i = 0; i < 4; i++) {
		size_t before = heap_bytes();
		struct mh_config_state *state = mh_config_state_new();
		char *text = config_record("manifest", 0, document(sizes[i]));
		double start;

		add_row(&size, sizes[i], (double)strlen(text) / 1e3);
		apply_record(state, 0, text);
		add_row(&mem, sizes[i], (double)(heap_bytes() - before) / 1e6);
		start = cpu_s();
		for (j = 0; j < 20; j++)
			apply_record(
				state, (uint64_t)j + 1,
				config_record("delta", (uint64_t)j + 1,
					      json_pack("{s:[{s:s, s:i}]}",
							"account", "name",
							"account-00007",
							"share", 100 + j)));
		add_row(&time, sizes[i], (cpu_s() - start) / 20 * 1e3);
		if (mh_config_state_version(state) != 21)
			printf("ERROR: configuration: version after 20 "
			       "deltas is not 21\n");
		mh_config_state_free(state);
	}
	print_table(&time);
	print_table(&mem);
	print_table(&size);
}

/* ---- entry core by number of links ---- */

struct fixture {
	struct mh_entry *e;
	uint64_t now_ns;
	uint32_t handover_link;
	struct mh_id handover_run_id;
	uint64_t frames, control_bytes;
	uint64_t ended;
};

static uint64_t fake_mono(void *data)
{
	return ((struct fixture *)data)->now_ns;
}

static uint64_t fake_wall(void *data)
{
	return 1760000000000ull +
	       ((struct fixture *)data)->now_ns / MH_NS_PER_MS;
}

static void on_send(void *data, uint32_t link, const Mh__Frame *frame)
{
	struct fixture *f = data;

	f->frames++;
	if (frame->body_case == MH__FRAME__BODY_HANDOVER) {
		f->handover_link = link;
		mh_id_from_bytes(&f->handover_run_id,
				 frame->handover->run_id.data,
				 frame->handover->run_id.len);
		return;
	}
	f->control_bytes += mh__frame__get_packed_size(frame) + 4;
}

static void on_head(void *data, struct mh_call *call, uint32_t status,
		    const char *type, const char *server)
{
	(void)data;
	(void)call;
	(void)status;
	(void)type;
	(void)server;
}

static void on_chunk(void *data, struct mh_call *call, const uint8_t *bytes,
		     size_t len)
{
	(void)data;
	(void)call;
	(void)bytes;
	(void)len;
}

static void on_end(void *data, struct mh_call *call)
{
	(void)call;
	((struct fixture *)data)->ended++;
}

static void on_refuse(void *data, struct mh_call *call,
		      const struct mh_refusal *refusal)
{
	(void)data;
	(void)call;
	printf("ERROR: request refused: %s\n",
	       mh_error_info(refusal->error)->name);
}

static void on_config_changed(void *data, struct mh_manifest *old,
			      const struct mh_manifest *now)
{
	(void)data;
	(void)now;
	mh_manifest_free(old);
}

static const struct mh_entry_ops entry_ops = {
	.send = on_send,
	.head = on_head,
	.chunk = on_chunk,
	.end = on_end,
	.refuse = on_refuse,
	.config_changed = on_config_changed,
};

static void open_fixture(struct fixture *f, int links, int accounts)
{
	static const char *const models[] = { "m" };
	struct mh_clock clock = { fake_mono, fake_wall, f };
	char *text = config_record("manifest", 0, document(accounts)), name[16];
	int i;

	memset(f, 0, sizeof(*f));
	f->now_ns = 1000 * MH_NS_PER_MS;
	f->e = mh_entry_new("me", &clock, 1, &entry_ops, f);
	mh_entry_apply_config_record(f->e, 0, 1, text, strlen(text));
	free(text);
	for (i = 0; i < links; i++) {
		struct mh_remote r = { name, 1, true, "p", models, 1 };

		snprintf(name, sizeof(name), "s%d", i);
		mh_entry_link_up(f->e, (uint32_t)i + 1, &r);
	}
}

static void send_response(struct fixture *f, int tokens)
{
	ProtobufCBinaryData ref = { MH_ID_BYTES, f->handover_run_id.b };
	Mh__Frame frame = MH__FRAME__INIT;
	Mh__Head head = MH__HEAD__INIT;
	Mh__Data data = MH__DATA__INIT;
	int i;

	head.ref = ref;
	head.status = 200;
	frame.body_case = MH__FRAME__BODY_HEAD;
	frame.head = &head;
	mh_entry_recv(f->e, f->handover_link, &frame);
	data.ref = ref;
	data.bytes.data = (uint8_t *)"0123456789012345678901234567890123456789";
	data.bytes.len = 40;
	frame.body_case = MH__FRAME__BODY_DATA;
	frame.data = &data;
	for (i = 0; i < tokens; i++) {
		data.seq = (uint32_t)i;
		mh_entry_recv(f->e, f->handover_link, &frame);
	}
}

static void run_call(struct fixture *f, struct mh_call *call, int links, int i,
		     int tokens)
{
	Mh__Grant grant = MH__GRANT__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	mh_id_make_v7(&call->id, 1, (uint64_t)i, (uint64_t)i * 31);
	call->deadline_ns = f->now_ns + 10000 * MH_NS_PER_MS;
	call->prefix_hash = (uint64_t)i * 7 + 1;
	mh_entry_submit(f->e, call);
	mh_entry_tick(f->e);
	grant.grant_id = (uint64_t)i;
	grant.lowest_tier = 7;
	frame.body_case = MH__FRAME__BODY_GRANT;
	frame.grant = &grant;
	mh_entry_recv(f->e, 1 + (uint32_t)(i % links), &frame);
	mh_entry_tick(f->e);
	send_response(f, tokens);
	/* Ends the call by a cancel, which costs the same as an End frame. */
	mh_entry_cancel(f->e, call);
	mh_entry_tick(f->e);
	f->now_ns += MH_NS_PER_MS / 5;
}

#define CALLS 20000

static double call_us(int links, int tokens, double *bytes)
{
	struct mh_call call = { .account = "account-00007",
				.pool = "p",
				.model = "m",
				.method = "POST",
				.path = "/",
				.content_type = "",
				.share = 100,
				.prompt_tokens = 100,
				.output_tokens = 100 };
	struct fixture f;
	double start;
	int i;

	open_fixture(&f, links, 100);
	f.control_bytes = 0;
	start = cpu_s();
	for (i = 0; i < CALLS; i++)
		run_call(&f, &call, links, i, tokens);
	start = (cpu_s() - start) / CALLS * 1e6;
	*bytes = (double)f.control_bytes / CALLS;
	mh_entry_free(f.e);
	return start;
}

static void measure_entry(void)
{
	struct table time = { .name = "entry core: a call",
			      .x_unit = "links",
			      .y_unit = "us" };
	struct table size = { .name = "entry core: control bytes a call",
			      .x_unit = "links",
			      .y_unit = "bytes" };
	struct table token = { .name = "entry core: a streamed response",
			       .x_unit = "tokens",
			       .y_unit = "us" };
	int links[] = { 9, 24, 48, 96, 192 }, tokens[] = { 1, 50, 100, 300 };
	double bytes;
	int i;

	for (i = 0; i < 5; i++) {
		add_row(&time, links[i], call_us(links[i], 1, &bytes));
		add_row(&size, links[i], bytes);
	}
	for (i = 0; i < 4; i++)
		add_row(&token, tokens[i], call_us(48, tokens[i], &bytes));
	print_table(&time);
	print_table(&size);
	print_table(&token);
}

int main(void)
{
	measure_claims();
	measure_config();
	measure_entry();
	return 0;
}
