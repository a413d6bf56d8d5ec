/* Handles the responses of backend servers and forwards them to clients. */
#include <string.h>

#include "proxy/exchange_impl.h"

/* A longer one is no event: the server's stream is spoiled. */
#define MAX_EVENT_BYTES (1u << 20)
/* Of all unfinished events: servers that never end theirs must not use up the
 * host's memory. */
#define MAX_PARTIAL_BYTES (16u << 20)
/* A larger buffer is not kept for the next event. */
#define KEPT_EVENT_BYTES (64u << 10)
/* A response that is not forwarded is read to its end, so that its connection
 * can be used again, unless it is longer or takes longer. */
#define MAX_DISCARDED_BYTES 16384
#define DISCARD_TIMEOUT_NS (20 * MH_NS_PER_MS)
/* Hexadecimal digits of a chunk size, CR, LF. */
#define CHUNK_HEADER_BYTES (2 * sizeof(size_t) + 2)

static bool implies_not_run(uint16_t status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

static bool is_server_error(uint16_t status)
{
	return status >= 500;
}

/* While another run of the request may succeed, an error is not passed on. */
static bool can_retry(const struct exchange *x)
{
	return x->hedge.upstream || (mh_exchange_is_repeatable(x) &&
				     x->attempts + 1 < x->route->max_attempts);
}

enum verdict mh_exchange_classify(const struct exchange *x,
				  const struct mh_http_head *head,
				  const struct mh_wire_response *response)
{
	if (response->not_run)
		return VERDICT_NOT_RUN;
	if (is_server_error(head->status) && can_retry(x))
		return VERDICT_RETRY;
	if (implies_not_run(head->status))
		return VERDICT_REPLACE;
	if (head->status < 300 &&
	    (!response->is_signed || response->is_encoded))
		return VERDICT_CORRUPT;
	return VERDICT_FORWARD;
}

/* A stream without a Content-Type is one by its route. */
static bool is_event_stream(const struct exchange *x,
			    const struct mh_http_head *head)
{
	if (mh_http_header_find(head, "Content-Type").p)
		return mh_http_media_type_is(head, "text/event-stream");
	return x->route->kind == MH_ROUTE_STREAM && head->status < 300;
}

static void begin_judging(struct exchange *x, const struct mh_http_head *head)
{
	bool resumes = x->wire.last_event.len || x->last_event[0];
	bool is_head = mh_http_is_head(x->head);

	mh_response_judge_begin(&x->judge, mh_http_framing(head, is_head),
				is_event_stream(x, head), resumes);
}

bool mh_exchange_can_resume(const struct exchange *x)
{
	if (!x->by_events || x->judge.events.id_too_long)
		return false;
	return !x->events || x->last_event[0];
}

/* The client's response has the server's framing, so that its end says no more
 * than the server's. Streams are chunked: their events may show a cut after the
 * last byte of the server's framing, and another server can continue them. */
static enum mh_framing client_framing(const struct exchange *x)
{
	enum mh_framing framing = x->judge.framing;

	if (framing == MH_FRAMING_NONE)
		return MH_FRAMING_NONE;
	if (framing != MH_FRAMING_CHUNKED && !x->judge.is_event_stream)
		return framing;
	return x->head->minor ? MH_FRAMING_CHUNKED : MH_FRAMING_CLOSE;
}

static void forward_head(struct exchange *x, const struct mh_http_head *head)
{
	struct mh_buffer *out = mh_client_out(x->client);
	bool reframed;
	uint32_t i;

	x->by_events = x->route->is_resumable && head->status < 300 &&
		       x->judge.is_event_stream &&
		       x->judge.framing != MH_FRAMING_NONE;
	x->client_framing = client_framing(x);
	reframed = x->client_framing != x->judge.framing;
	mh_buffer_printf(out, "HTTP/1.1 %u %s\r\n", head->status,
			 http_status_str((enum http_status)head->status));
	for (i = 0; i < head->n_headers; i++) {
		const struct mh_http_header *h = &head->headers[i];

		if (mh_http_hop_by_hop(head, h->name) ||
		    (reframed && mh_http_text_is(h->name, "Content-Length")))
			continue;
		mh_buffer_add(out, h->name.p, h->name.len);
		mh_buffer_add(out, ": ", 2);
		mh_buffer_add(out, h->value.p, h->value.len);
		mh_buffer_add(out, "\r\n", 2);
	}
	if (x->client_framing == MH_FRAMING_CHUNKED)
		mh_buffer_add(out, "Transfer-Encoding: chunked\r\n", 28);
	if (x->client_framing == MH_FRAMING_CLOSE)
		mh_client_ends_by_close(x->client);
	if (mh_client_will_close(x->client))
		mh_buffer_add(out, "Connection: close\r\n", 19);
	mh_buffer_add(out, "\r\n", 2);
	x->head_forwarded = true;
}

/* Whether the response is one to this request. One without an id is, if the server
 * refused the request and its connection carried no other one before. */
static bool is_own_response(const struct exchange *x,
			    const struct mh_upstream *upstream,
			    const struct mh_wire_response *response)
{
	if (response->id.p)
		return response->id.len == x->wire.id.len &&
		       !memcmp(response->id.p, x->wire.id.p, x->wire.id.len);
	if (!response->not_run)
		return !x->wire.id.len;
	return !mh_upstream_is_reused(upstream);
}

/* Reads what a server says of itself.
 * Return: whether the response is one to this request. */
bool mh_exchange_read_head(struct exchange *x, struct mh_upstream *upstream,
			   const struct mh_server_ref *server, uint64_t sent_ns,
			   const struct mh_http_head *head,
			   struct mh_wire_response *response)
{
	const struct mh_notice_relay *notices =
		mh_slot_client_notices(x->set->env.slot_client);

	mh_wire_read_response(head, response);
	mh_notice_relay_response(notices, server, response);
	mh_upstream_set_idle_timeout(upstream, response->keep_alive_s);
	if (!is_own_response(x, upstream, response))
		return false;
	/* If the server wrote the same bytes again while it runs a later request,
	 * they could pass for a refusal of that one. */
	if (response->not_run)
		mh_upstream_retire(upstream);
	if (!response->has_limit)
		mh_notice_relay_no_limit(notices, server, sent_ns);
	return true;
}

/* Return: 0 to read on. */
int mh_exchange_take_head(struct exchange *x, const struct mh_http_head *head,
			  const struct mh_wire_response *response)
{
	x->status = head->status;
	begin_judging(x, head);
	x->verdict = mh_exchange_classify(x, head, response);
	if (x->verdict == VERDICT_CORRUPT)
		return 1;
	/* The response that continues a stream must be one as well. */
	if (x->head_forwarded && x->verdict == VERDICT_FORWARD &&
	    (head->status >= 300 || !x->judge.is_event_stream ||
	     x->judge.framing == MH_FRAMING_NONE))
		x->verdict = VERDICT_REPLACE;
	if (x->verdict != VERDICT_FORWARD) {
		mh_timer_set(x->set->env.timers, &x->discard_timer,
			     mh_exchange_now_ns(x) + DISCARD_TIMEOUT_NS);
		return 0;
	}
	mh_exchange_drop_hedge(x, MH_SLOT_CANCELLED);
	/* The latency of an error does not measure the server's speed. */
	if (!is_server_error(x->status))
		mh_slot_client_first_byte(
			x->set->env.slot_client, x->slot_id,
			mh_exchange_elapsed_ms(x, x->sent_ns));
	mh_exchange_observe_first_byte(x);
	x->phase = PHASE_RESPONDING;
	if (!x->head_forwarded)
		forward_head(x, head);
	return 0;
}

static int on_head(void *data, const struct mh_http_head *head)
{
	struct exchange *x = data;
	struct mh_server_ref server = mh_exchange_server(x);
	struct mh_wire_response response;

	if (!mh_exchange_read_head(x, x->upstream, &server, x->sent_ns, head,
				   &response))
		return 1;
	return mh_exchange_take_head(x, head, &response);
}

/* Avoids printf, since it runs for each event of a stream. */
static void write_chunk_header(struct mh_buffer *out, size_t len)
{
	char text[CHUNK_HEADER_BYTES], *p = text + sizeof(text);

	*--p = '\n';
	*--p = '\r';
	do {
		*--p = "0123456789abcdef"[len % 16];
		len /= 16;
	} while (len);
	mh_buffer_add(out, p, (size_t)(text + sizeof(text) - p));
}

static void forward_bytes(struct exchange *x, const uint8_t *bytes, size_t len)
{
	struct mh_buffer *out = mh_client_out(x->client);

	if (!len)
		return;
	if (x->client_framing == MH_FRAMING_CHUNKED)
		write_chunk_header(out, len);
	mh_buffer_add(out, bytes, len);
	if (x->client_framing == MH_FRAMING_CHUNKED)
		mh_buffer_add(out, "\r\n", 2);
}

void mh_exchange_drop_partial_event(struct exchange *x)
{
	x->set->partial_bytes -= x->partial_event.len;
	mh_buffer_release(&x->partial_event);
}

static void consume_partial_event(struct exchange *x)
{
	struct mh_buffer *partial = &x->partial_event;

	if (partial->cap > KEPT_EVENT_BYTES) {
		mh_exchange_drop_partial_event(x);
		return;
	}
	x->set->partial_bytes -= partial->len;
	mh_buffer_consume(partial, partial->len);
}

static bool keep_partial_event(struct exchange *x, const uint8_t *bytes,
			       size_t len)
{
	if (!mh_buffer_add(&x->partial_event, bytes, len))
		return false;
	x->set->partial_bytes += len;
	return x->partial_event.len <= MAX_EVENT_BYTES;
}

static struct exchange *longest_partial_event(struct mh_exchanges *set)
{
	struct exchange *x, *tmp, *longest = set->all;

	HASH_ITER(hh, set->all, x, tmp) {
		if (x->partial_event.len > longest->partial_event.len)
			longest = x;
	}
	return longest;
}

/* Ends the response with the longest unfinished event if all of them together are
 * too long.
 * Return: false if it is the one of @x, which its caller has to end. */
static bool bound_partial_events(struct exchange *x)
{
	struct exchange *longest;

	if (x->set->partial_bytes <= MAX_PARTIAL_BYTES)
		return true;
	longest = longest_partial_event(x->set);
	if (longest == x)
		return false;
	mh_upstream_cancel(longest->upstream);
	mh_exchange_upstream_ops.failed(longest, MH_UPSTREAM_MALFORMED);
	return true;
}

/* Forwards whole events only, so that another server can continue the stream
 * after the last one: @whole of @bytes end with one.
 * Return: false if unfinished events are too long or memory runs out. */
static bool forward_events(struct exchange *x, const uint8_t *bytes, size_t len,
			   size_t whole)
{
	struct mh_buffer *partial = &x->partial_event;

	if (whole && partial->len) {
		if (!mh_buffer_add(partial, bytes, whole))
			return false;
		x->set->partial_bytes += whole;
		forward_bytes(x, mh_buffer_front(partial), partial->len);
		consume_partial_event(x);
	} else {
		forward_bytes(x, bytes, whole);
	}
	if (whole && x->judge.events.last_id[0])
		memcpy(x->last_event, x->judge.events.last_id,
		       sizeof(x->last_event));
	return keep_partial_event(x, bytes + whole, len - whole) &&
	       bound_partial_events(x);
}

static int on_body(void *data, const uint8_t *bytes, size_t len)
{
	struct exchange *x = data;
	uint32_t events = x->judge.events.events;
	size_t whole = mh_response_judge_read(&x->judge, bytes, len);

	if (x->verdict != VERDICT_FORWARD) {
		x->discarded = x->judge.bytes > MAX_DISCARDED_BYTES;
		return x->discarded;
	}
	x->events += x->judge.events.events - events;
	if (x->by_events)
		return !forward_events(x, bytes, len, whole);
	forward_bytes(x, bytes, len);
	return 0;
}

static void on_flush(void *data)
{
	struct exchange *x = data;

	if (x->verdict != VERDICT_FORWARD || !mh_client_out(x->client)->len)
		return;
	mh_exchange_observe_gap(x);
	mh_client_flush(x->client);
	if (mh_client_is_congested(x->client))
		mh_upstream_pause(x->upstream, true);
}

static void finish(struct exchange *x)
{
	struct mh_client *cl = x->client;
	bool is_proven = x->end == MH_RESPONSE_WHOLE;

	if (x->client_framing == MH_FRAMING_CHUNKED)
		mh_buffer_add(mh_client_out(cl), "0\r\n\r\n", 5);
	mh_count(x->set->env.counters, is_proven ? MH_C_WHOLE : MH_C_UNPROVEN);
	mh_event(mh_exchange_log(x), MH_EV_DONE,
		 "event=done id=%.*s status=%u route=%s account=%s server=%s "
		 "total_ms=%u server_ms=%u first_ms=%u gap_ms=%u servers=%u "
		 "events=%u http_minor=%u framing=%s bytes=%llu end=%s",
		 (int)x->wire.id.len, x->wire.id.p, x->status, x->route->name,
		 x->account ? x->account->name : "", x->server,
		 mh_exchange_elapsed_ms(x, x->arrived_ns),
		 mh_exchange_elapsed_ms(x, x->sent_ns), x->first_ms, x->gap_ms,
		 x->servers_reached, x->events, x->head->minor,
		 mh_framing_name(x->judge.framing),
		 (unsigned long long)x->judge.bytes,
		 mh_response_end_name(x->end));
	mh_exchange_observe_total(x, is_proven ? "whole" : "unproven");
	mh_exchange_free(x);
	mh_client_finish(cl);
}

/* The response is not forwarded, and its head says what to do. */
static void end_discarded(struct exchange *x)
{
	x->servers_reached++;
	if (x->verdict == VERDICT_NOT_RUN) {
		mh_count(x->set->env.counters, MH_C_REJECTED);
		mh_exchange_release_slot(x, MH_SLOT_REJECTED);
		mh_exchange_on_not_run(x, "rejected");
		return;
	}
	x->attempts++;
	mh_exchange_release_slot(x, MH_SLOT_FAILED);
	mh_exchange_on_outcome_unknown(x, MH_ERR_BACKEND_FAILED);
}

static void on_discard_timeout(void *data)
{
	end_discarded(data);
}

/* The response is known not to be whole. */
static void end_cut(struct exchange *x)
{
	struct mh_server_ref server = mh_exchange_server(x);

	x->servers_reached++;
	x->attempts++;
	mh_exchange_drop_partial_event(x);
	mh_exchange_release_slot(x, MH_SLOT_LOST);
	mh_probes_start(x->set->env.probes, &server);
	mh_exchange_on_outcome_unknown(x, MH_ERR_BACKEND_CUT);
}

static enum mh_slot_outcome outcome_of(const struct exchange *x)
{
	/* A forwarded server error also counts as a failure of the server. */
	if (is_server_error(x->status))
		return MH_SLOT_FAILED;
	if (x->end == MH_RESPONSE_UNPROVEN)
		return MH_SLOT_UNPROVEN;
	return x->status < 300 ? MH_SLOT_OK : MH_SLOT_DECLINED;
}

static void on_done(void *data)
{
	struct exchange *x = data;

	x->upstream = NULL;
	x->end = mh_response_judge_end(&x->judge, true);
	if (x->verdict != VERDICT_FORWARD) {
		end_discarded(x);
		return;
	}
	if (mh_response_is_cut(x->end)) {
		end_cut(x);
		return;
	}
	x->servers_reached++;
	x->attempts++;
	mh_exchange_release_slot(x, outcome_of(x));
	finish(x);
}

static void on_failed(void *data, enum mh_upstream_failure why)
{
	struct exchange *x = data;

	x->upstream = NULL;
	x->end = mh_response_judge_end(&x->judge, false);
	switch (why) {
	case MH_UPSTREAM_UNREACHABLE:
		mh_exchange_release_slot(x, MH_SLOT_UNREACHABLE);
		mh_exchange_on_not_run(x, "unreachable");
		return;
	case MH_UPSTREAM_HELD_BACK:
		mh_exchange_on_held_back(x);
		return;
	case MH_UPSTREAM_LOST:
		end_cut(x);
		return;
	case MH_UPSTREAM_MALFORMED:
		break;
	}
	if (x->discarded) {
		end_discarded(x);
		return;
	}
	x->servers_reached++;
	x->attempts++;
	mh_count(x->set->env.counters, MH_C_BAD_ANSWERS);
	mh_exchange_drop_partial_event(x);
	mh_exchange_release_slot(x, MH_SLOT_CORRUPT);
	mh_exchange_on_outcome_unknown(x, MH_ERR_CORRUPT_ANSWER);
}

void mh_exchange_init_response(struct exchange *x)
{
	mh_response_judge_begin(&x->judge, MH_FRAMING_NONE, false, false);
	x->end = MH_RESPONSE_CUT;
	x->status = 0;
	x->discarded = false;
	mh_timer_init(&x->discard_timer, on_discard_timeout, x);
}

const struct mh_upstream_ops mh_exchange_upstream_ops = {
	on_head, on_body, on_flush, on_done, on_failed,
};
