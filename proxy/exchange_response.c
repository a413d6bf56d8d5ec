/* Handles the responses of backend servers and forwards them to clients. */
#include <stdio.h>
#include <string.h>

#include "proxy/exchange_impl.h"

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

static enum verdict classify(const struct exchange *x, uint16_t status,
			     const struct mh_wire_response *response)
{
	bool can_retry = mh_exchange_is_repeatable(x) &&
			 x->attempts + 1 < x->route->max_attempts;

	if (response->not_run)
		return VERDICT_NOT_RUN;
	if (is_server_error(status) && can_retry)
		return VERDICT_RETRY;
	if (implies_not_run(status))
		return VERDICT_REPLACE;
	return VERDICT_FORWARD;
}

static bool has_body(const struct exchange *x, const struct mh_http_head *head)
{
	bool is_head = x->head->method.len == 4 &&
		       !memcmp(x->head->method.p, "HEAD", 4);

	return !is_head && head->status != 204 && head->status != 304;
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

	mh_response_judge_begin(&x->judge,
				mh_http_framing(head, !has_body(x, head)),
				is_event_stream(x, head), resumes);
}

const char *mh_exchange_describe_frame(const struct exchange *x,
				       char text[MH_EXCHANGE_FRAME_TEXT_BYTES])
{
	bool is_open = !mh_event_stream_is_between_events(&x->judge.events);

	snprintf(text, MH_EXCHANGE_FRAME_TEXT_BYTES,
		 "http=1.%u framing=%s bytes=%llu server_events=%u "
		 "event_open=%d",
		 x->head->minor, mh_framing_name(x->judge.framing),
		 (unsigned long long)x->judge.bytes, x->judge.events.events,
		 is_open);
	return text;
}

static void forward_head(struct exchange *x, const struct mh_http_head *head)
{
	struct mh_buffer *out = mh_client_out(x->client);
	uint32_t i;

	x->no_response_body = !has_body(x, head);
	/* Streams are re-chunked at event boundaries, so that another server
	 * can continue them. */
	x->chunked_response = !x->no_response_body && x->head->minor &&
			      head->content_length < 0;
	mh_buffer_printf(out, "HTTP/1.1 %u %s\r\n", head->status,
			 http_status_str((enum http_status)head->status));
	for (i = 0; i < head->n_headers; i++) {
		const struct mh_http_header *h = &head->headers[i];

		if (mh_http_hop_by_hop(head, h->name))
			continue;
		mh_buffer_add(out, h->name.p, h->name.len);
		mh_buffer_add(out, ": ", 2);
		mh_buffer_add(out, h->value.p, h->value.len);
		mh_buffer_add(out, "\r\n", 2);
	}
	if (x->chunked_response)
		mh_buffer_add(out, "Transfer-Encoding: chunked\r\n", 28);
	if (mh_client_will_close(x->client) ||
	    (!x->no_response_body && !x->chunked_response &&
	     head->content_length < 0))
		mh_buffer_add(out, "Connection: close\r\n", 19);
	mh_buffer_add(out, "\r\n", 2);
	x->head_forwarded = true;
}

/* A server's notices hold whatever becomes of the response. */
static void take_notices(struct exchange *x,
			 const struct mh_wire_response *response)
{
	const struct mh_notice_relay *relay =
		mh_slot_client_notices(x->set->env.slot_client);
	struct mh_server_ref server = mh_exchange_server(x);

	if (response->is_malformed) {
		mh_count(x->set->env.counters, MH_C_BAD_NOTICES);
		mh_event(mh_exchange_log(x), MH_EV_SERVER,
			 "event=notice_rejected server=%s id=%.*s", x->server,
			 (int)x->wire.id.len, x->wire.id.p);
	}
	if (response->is_leaving)
		mh_notice_relay_leaving(relay, &server, NULL);
	if (response->pause_ms)
		mh_notice_relay_pause(relay, &server, response->pause_ms);
}

static int on_head(void *data, const struct mh_http_head *head)
{
	struct exchange *x = data;
	struct mh_wire_response response;

	mh_wire_read_response(head, &response);
	take_notices(x, &response);
	mh_upstream_set_idle_timeout(x->upstream, response.keep_alive_s);
	/* The response names another request, or it names none although the
	 * server does not say that it refused the request. */
	if (response.id.p ? response.id.len != x->wire.id.len ||
				    memcmp(response.id.p, x->wire.id.p,
					   response.id.len) :
			    !response.not_run && x->wire.id.len)
		return 1;
	x->status = head->status;
	begin_judging(x, head);
	x->verdict = classify(x, head->status, &response);
	if (x->verdict == VERDICT_FORWARD && head->status < 300 &&
	    (!response.is_signed || response.is_encoded))
		return 1;
	/* The response that continues a stream must be a success as well. */
	if (x->head_forwarded && x->verdict == VERDICT_FORWARD &&
	    head->status >= 300)
		x->verdict = VERDICT_REPLACE;
	if (x->verdict != VERDICT_FORWARD)
		return 0;
	/* The latency of an error does not measure the server's speed. */
	if (!is_server_error(x->status))
		mh_slot_client_first_byte(
			x->set->env.slot_client, x->id,
			mh_exchange_elapsed_ms(x, x->sent_ns));
	mh_exchange_observe_first_byte(x);
	x->phase = PHASE_RESPONDING;
	if (!x->head_forwarded)
		forward_head(x, head);
	return 0;
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
	if (x->chunked_response)
		write_chunk_header(out, len);
	mh_buffer_add(out, bytes, len);
	if (x->chunked_response)
		mh_buffer_add(out, "\r\n", 2);
}

/* Stores the id of the last complete event, for Last-Event-Id. */
static void record_last_event(struct exchange *x, const char *p, size_t len)
{
	const char *line = p, *end = p + len;

	while (line < end) {
		const char *eol = memchr(line, '\n', (size_t)(end - line));
		size_t n = (size_t)((eol ? eol : end) - line);

		if (n > 3 && !memcmp(line, "id:", 3)) {
			const char *v = line + 3;

			while (v < line + n && *v == ' ')
				v++;
			n -= (size_t)(v - line);
			if (n && v[n - 1] == '\r')
				n--;
			if (n < sizeof(x->last_event)) {
				memcpy(x->last_event, v, n);
				x->last_event[n] = '\0';
			}
			x->events++;
		}
		if (!eol)
			break;
		line = eol + 1;
	}
}

/* Forwards complete events only, so that another server can continue the
 * stream after the last one. */
static void forward_events(struct exchange *x, const uint8_t *bytes, size_t len)
{
	const char *p, *end;
	size_t whole;

	mh_buffer_add(&x->partial_event, bytes, len);
	p = (const char *)mh_buffer_front(&x->partial_event);
	for (end = p + x->partial_event.len; end - p >= 2; end--) {
		if (end[-1] == '\n' &&
		    (end[-2] == '\n' ||
		     (end - p >= 4 && end[-2] == '\r' && end[-3] == '\n')))
			break;
	}
	whole = end - p >= 2 ? (size_t)(end - p) : 0;
	if (!whole)
		return;
	record_last_event(x, p, whole);
	forward_bytes(x, (const uint8_t *)p, whole);
	mh_buffer_consume(&x->partial_event, whole);
}

static int on_body(void *data, const uint8_t *bytes, size_t len)
{
	struct exchange *x = data;

	mh_response_judge_read(&x->judge, bytes, len);
	if (x->verdict != VERDICT_FORWARD)
		return 0;
	if (x->route->is_resumable && x->chunked_response)
		forward_events(x, bytes, len);
	else
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
	struct mh_buffer *out = mh_client_out(cl);
	char frame[MH_EXCHANGE_FRAME_TEXT_BYTES];
	bool close =
		!x->no_response_body && !x->chunked_response && !x->head->minor;

	if (x->partial_event.len)
		forward_bytes(x, mh_buffer_front(&x->partial_event),
			      x->partial_event.len);
	if (x->chunked_response)
		mh_buffer_add(out, "0\r\n\r\n", 5);
	mh_count(x->set->env.counters, MH_C_WHOLE);
	mh_event(mh_exchange_log(x), MH_EV_DONE,
		 "event=done id=%.*s status=%u route=%s account=%s server=%s "
		 "total_ms=%u server_ms=%u first_ms=%u gap_ms=%u servers=%u "
		 "events=%u %s",
		 (int)x->wire.id.len, x->wire.id.p, x->status, x->route->name,
		 x->account ? x->account->name : "", x->server,
		 mh_exchange_elapsed_ms(x, x->arrived_ns),
		 mh_exchange_elapsed_ms(x, x->sent_ns), x->first_ms, x->gap_ms,
		 x->servers_reached, x->events,
		 mh_exchange_describe_frame(x, frame));
	mh_exchange_observe_total(x, "whole");
	mh_exchange_free(x);
	mh_client_finish(cl, close);
}

static void on_done(void *data)
{
	struct exchange *x = data;
	bool failed = x->verdict != VERDICT_FORWARD;

	x->upstream = NULL;
	x->servers_reached++;
	if (x->verdict == VERDICT_NOT_RUN) {
		mh_count(x->set->env.counters, MH_C_REJECTED);
		mh_exchange_release_slot(x, MH_SLOT_REJECTED);
		mh_exchange_on_not_run(x, "rejected");
		return;
	}
	x->attempts++;
	/* A forwarded server error also counts as a failure of the server. */
	mh_exchange_release_slot(x, failed || is_server_error(x->status) ?
					    MH_SLOT_FAILED :
					    MH_SLOT_OK);
	if (failed)
		mh_exchange_on_outcome_unknown(x, MH_ERR_BACKEND_FAILED);
	else
		finish(x);
}

static void on_failed(void *data, enum mh_upstream_failure why)
{
	struct exchange *x = data;
	struct mh_server_ref server = mh_exchange_server(x);

	x->upstream = NULL;
	if (why == MH_UPSTREAM_UNREACHABLE) {
		mh_exchange_release_slot(x, MH_SLOT_UNREACHABLE);
		mh_exchange_on_not_run(x, "unreachable");
		return;
	}
	if (why == MH_UPSTREAM_HELD_BACK) {
		mh_exchange_on_held_back(x);
		return;
	}
	x->servers_reached++;
	x->attempts++;
	if (why == MH_UPSTREAM_MALFORMED)
		mh_count(x->set->env.counters, MH_C_BAD_ANSWERS);
	mh_buffer_release(&x->partial_event);
	mh_exchange_release_slot(x, why == MH_UPSTREAM_MALFORMED ?
					    MH_SLOT_CORRUPT :
					    MH_SLOT_LOST);
	if (why == MH_UPSTREAM_LOST)
		mh_probes_start(x->set->env.probes, &server);
	mh_exchange_on_outcome_unknown(x, why == MH_UPSTREAM_MALFORMED ?
						  MH_ERR_CORRUPT_ANSWER :
						  MH_ERR_BACKEND_CUT);
}

const struct mh_upstream_ops mh_exchange_upstream_ops = {
	on_head, on_body, on_flush, on_done, on_failed,
};
