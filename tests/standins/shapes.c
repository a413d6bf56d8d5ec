/*
 * Responses of the stand-in's servers that end oddly, or never.
 *
 * Streams are cut at the fourth event, unless they resume; a name says how:
 *   half, lines       in the middle of the event; after its lines, before the
 *                     empty line
 *   close, chunk, length  no framing; chunked; with a Content-Length
 *   crlf              lines end with CR LF
 *   -end, -reset, -exit  orderly end of the frame, reset, end of the process
 * With /notfound/ in the target the status is 404.
 * wholeclose and wholecrlf are whole and without framing. plaincut and
 * plainreset are no streams and have no framing.
 *
 * then-KIND: a stream that is cut in its fourth event, and when it is to be resumed
 * another response: html, unsigned, nocontent, notmodified, redirect, error (500
 * without a length), interim (102, then 500), busy (429), cut (once more).
 *
 * cuthead-N, interim-cuthead-N: the head lacks its last N bytes, and the connection
 * ends; after a 102. then-cuthead-N: so does the response that is to continue a
 * stream, which is cut in its fourth event.
 *
 * status=TEXT: a response with TEXT for its status, and three bytes.
 *
 * Without end, until the other side closes: endlessevent, endlesserror (500),
 * endlessslow (500, a byte at a time), endlesshead, endlessslowhead,
 * endlessinterim (1xx), endlesslines (empty lines before a head),
 * endlesstrailer, endlessextension, endlessnoise, endlesslargeevent (a byte at a
 * time after LARGE_EVENT_BYTES), endlesslarge (200, with a length).
 */
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "tests/standins/server.h"

#define CUT_AT 4
#define BLOCK_BYTES 16384
#define EVENT_BYTES 128
#define SLOW_GAP_MS 20
#define LARGE_EVENT_BYTES 900000
/* Ends responses whose reader never closes. */
#define ENDLESS_BYTES (2ULL << 30)

enum cut { CUT_NONE, CUT_HALF, CUT_LINES };
enum ending { END_FRAME, END_RESET, END_EXIT };

struct stream_shape {
	const char *name;
	const char *eol;
	enum cut cut;
	enum ending ending;
	enum mh_framing framing;
};

static const struct stream_shape streams[] = {
	{ "halfclose-end", "\n", CUT_HALF, END_FRAME, MH_FRAMING_CLOSE },
	{ "linesclose-end", "\n", CUT_LINES, END_FRAME, MH_FRAMING_CLOSE },
	{ "halfcrlf-end", "\r\n", CUT_HALF, END_FRAME, MH_FRAMING_CLOSE },
	{ "linescrlf-end", "\r\n", CUT_LINES, END_FRAME, MH_FRAMING_CLOSE },
	{ "halfchunk-end", "\n", CUT_HALF, END_FRAME, MH_FRAMING_CHUNKED },
	{ "lineschunk-end", "\n", CUT_LINES, END_FRAME, MH_FRAMING_CHUNKED },
	{ "halflength-end", "\n", CUT_HALF, END_FRAME, MH_FRAMING_LENGTH },
	{ "lineslength-end", "\n", CUT_LINES, END_FRAME, MH_FRAMING_LENGTH },
	{ "halfclose-reset", "\n", CUT_HALF, END_RESET, MH_FRAMING_CLOSE },
	{ "halfchunk-reset", "\n", CUT_HALF, END_RESET, MH_FRAMING_CHUNKED },
	{ "halfclose-exit", "\n", CUT_HALF, END_EXIT, MH_FRAMING_CLOSE },
	{ "wholeclose", "\n", CUT_NONE, END_FRAME, MH_FRAMING_CLOSE },
	{ "wholecrlf", "\r\n", CUT_NONE, END_FRAME, MH_FRAMING_CLOSE },
	{ "wholelength", "\n", CUT_NONE, END_FRAME, MH_FRAMING_LENGTH },
};

static bool write_part(struct conn *c, bool chunked, const char *text, int len)
{
	if (chunked)
		mh_buffer_printf(&c->out, "%x\r\n%.*s\r\n", len, len, text);
	else
		mh_buffer_add(&c->out, text, (size_t)len);
	return send_all(c);
}

static bool is_cut_at(const struct stream_shape *shape, int first, int i)
{
	return shape->cut != CUT_NONE && i == CUT_AT && first == 1;
}

/* Return: length of the event, or of the part that is sent of it. */
static int make_event(struct conn *c, const struct stream_shape *shape,
		      int first, int i, char text[EVENT_BYTES])
{
	struct mh_http_text id = header(c, "X-Mangohead-Request-Id");
	const char *eol = shape->eol;
	int n = snprintf(text, EVENT_BYTES, "id: %d%sdata: %.*s %d%s%s", i, eol,
			 (int)id.len, id.p, i, eol, eol);

	if (!is_cut_at(shape, first, i))
		return n;
	return shape->cut == CUT_HALF ? n / 2 : n - (int)strlen(eol);
}

static void write_framing(struct conn *c, const struct stream_shape *shape,
			  int first)
{
	char text[EVENT_BYTES];
	int i, len = 0;

	switch (shape->framing) {
	case MH_FRAMING_CHUNKED:
		mh_buffer_printf(&c->out, "Transfer-Encoding: chunked\r\n\r\n");
		return;
	case MH_FRAMING_LENGTH:
		for (i = first; i <= EVENTS; i++) {
			len += make_event(c, shape, first, i, text);
			if (is_cut_at(shape, first, i))
				break;
		}
		mh_buffer_printf(&c->out, "Content-Length: %d\r\n\r\n", len);
		return;
	default:
		mh_buffer_printf(&c->out, "Connection: close\r\n\r\n");
	}
}

/* Return: whether the connection stays open. */
static bool end_stream(struct conn *c, const struct stream_shape *shape,
		       bool cut)
{
	if (cut && shape->ending == END_EXIT)
		crash(c);
	if (cut && shape->ending == END_RESET) {
		reset_on_close(c);
		return false;
	}
	if (shape->framing == MH_FRAMING_CHUNKED)
		mh_buffer_printf(&c->out, "0\r\n\r\n");
	return send_all(c) && shape->framing != MH_FRAMING_CLOSE;
}

static bool serve_stream_shape(struct conn *c, const struct stream_shape *shape)
{
	struct mh_http_text last = header(c, "Last-Event-Id");
	int first = last.p[0] == '-' ? 1 : atoi(last.p) + 1, i;
	const struct mh_http_text *target = &c->reader.head.target;
	bool cut = false;
	int status =
		memmem(target->p, target->len, "/notfound/", 10) ? 404 : 200;

	begin_response(c, status, SIGNED "Content-Type: text/event-stream\r\n");
	write_framing(c, shape, first);
	for (i = first; i <= EVENTS && !cut; i++) {
		char event[EVENT_BYTES];
		int n = make_event(c, shape, first, i, event);

		cut = is_cut_at(shape, first, i);
		if (!write_part(c, shape->framing == MH_FRAMING_CHUNKED, event,
				n))
			return false;
		sleep_ms(EVENT_GAP_MS);
	}
	return end_stream(c, shape, cut);
}

static bool serve_plain_cut(struct conn *c, bool reset)
{
	begin_response(c, 200, SIGNED "Connection: close\r\n\r\n{\"price\": 4");
	send_all(c);
	sleep_ms(EVENT_GAP_MS);
	if (reset)
		reset_on_close(c);
	return false;
}

#define WRONG "WRONG TEXT"

struct resumed_shape {
	const char *name;
	int status;
	const char *fields; /* and the body */
	bool closes;
};

static const struct resumed_shape resumed[] = {
	{ "then-html", 200,
	  SIGNED "Content-Type: text/html\r\nContent-Length: 10\r\n\r\n" WRONG,
	  false },
	{ "then-unsigned", 200,
	  "Content-Type: text/event-stream\r\n"
	  "Content-Length: 10\r\n\r\n" WRONG,
	  false },
	{ "then-nocontent", 204, SIGNED "\r\n", false },
	{ "then-notmodified", 304, SIGNED "\r\n", false },
	{ "then-redirect", 302,
	  SIGNED "Location: /once/ok\r\nContent-Length: 10\r\n\r\n" WRONG,
	  false },
	{ "then-error", 500,
	  SIGNED "Content-Type: text/event-stream\r\n"
		 "Connection: close\r\n\r\ndata: " WRONG "\n\n",
	  true },
	{ "then-interim", 500, SIGNED "Content-Length: 10\r\n\r\n" WRONG,
	  false },
	{ "then-busy", 429, SIGNED "Content-Length: 10\r\n\r\n" WRONG, false },
	{ "then-cut", 200,
	  SIGNED "Content-Type: text/event-stream\r\n"
		 "Connection: close\r\n\r\nid: 4\nda",
	  true },
};

static bool serve_resumed_shape(struct conn *c,
				const struct resumed_shape *shape)
{
	struct mh_http_text last = header(c, "Last-Event-Id");

	if (last.p[0] == '-')
		return serve_stream_shape(c, &streams[0]);
	if (!strcmp(shape->name, "then-interim"))
		mh_buffer_printf(&c->out, "HTTP/1.1 102 X\r\n\r\n");
	begin_response(c, shape->status, shape->fields);
	return send_all(c) && !shape->closes;
}

/* Return: bytes that the head lacks, 0 for other targets. */
static size_t missing_head_bytes(const struct conn *c)
{
	static const char name[] = "cuthead-";
	const struct mh_http_text *t = &c->reader.head.target;
	const char *p = memmem(t->p, t->len, name, sizeof(name) - 1);

	return p ? strtoul(p + sizeof(name) - 1, NULL, 10) : 0;
}

/* Return: whether the connection stays open. */
static bool serve_cut_head(struct conn *c, size_t missing)
{
	const struct mh_http_text *t = &c->reader.head.target;

	if (memmem(t->p, t->len, "/then-", 6) &&
	    header(c, "Last-Event-Id").p[0] == '-')
		return serve_stream_shape(c, &streams[0]);
	begin_response(c, 200,
		       SIGNED "Content-Type: text/event-stream\r\n"
			      "Content-Length: 0\r\n\r\n");
	c->out.len -= missing < c->out.len ? missing : c->out.len;
	if (memmem(t->p, t->len, "/interim-", 9)) {
		struct mh_buffer head = c->out;

		memset(&c->out, 0, sizeof(c->out));
		mh_buffer_printf(&c->out, "HTTP/1.1 102 X\r\n\r\n");
		mh_buffer_add(&c->out, mh_buffer_front(&head), head.len);
		mh_buffer_release(&head);
	}
	send_all(c);
	return false;
}

struct endless_shape {
	const char *name;
	int status; /* of the response that begins it, 0: none */
	const char *fields;
	const char *begin;
	const char *repeated;
	bool slow;
	size_t burst; /* bytes before it is slow */
};

#define STREAM_FIELDS                                                          \
	SIGNED "Content-Type: text/event-stream\r\n"                           \
	       "Transfer-Encoding: chunked\r\n\r\n"

static const struct endless_shape endless[] = {
	{ "endlessevent", 200,
	  SIGNED "Content-Type: text/event-stream\r\n"
		 "Connection: close\r\n\r\n",
	  "id: 1\ndata: e1\n\nid: 2\ndata: ", "xxxxxxxxxxxxxxxx", false, 0 },
	{ "endlesslargeevent", 200,
	  SIGNED "Content-Type: text/event-stream\r\n"
		 "Connection: close\r\n\r\n",
	  "data: ", "x", true, LARGE_EVENT_BYTES },
	{ "endlesslarge", 200, SIGNED "Content-Length: 900000000000\r\n\r\n",
	  "", "xxxxxxxxxxxxxxxx", false, 0 },
	{ "endlesserror", 500, SIGNED "Connection: close\r\n\r\n", "",
	  "xxxxxxxxxxxxxxxx", false, 0 },
	{ "endlessslow", 500, SIGNED "Connection: close\r\n\r\n", "", "x", true,
	  0 },
	{ "endlesshead", 200, SIGNED, "X-Long: ", "xxxxxxxxxxxxxxxx", false,
	  0 },
	{ "endlessslowhead", 200, SIGNED, "X-Long: ", "x", true, 0 },
	{ "endlessinterim", 0, "", "", "HTTP/1.1 102 X\r\nA: b\r\n\r\n", false,
	  0 },
	{ "endlesslines", 0, "", "", "\r\n", false, 0 },
	{ "endlesstrailer", 200, STREAM_FIELDS,
	  "f\r\nid: 1\ndata: a\n\n\r\n0\r\n", "A: bbbbbbbbbbbb\r\n", false, 0 },
	{ "endlessextension", 200, STREAM_FIELDS, "f", ";name=extension", false,
	  0 },
	{ "endlessnoise", 0, "", "", "\x01\xff\x02noise", false, 0 },
};

static bool is_closed(const struct conn *c)
{
	struct pollfd p = { .fd = c->fd, .events = POLLIN };

	return poll(&p, 1, SLOW_GAP_MS) > 0;
}

static void serve_endless(struct conn *c, const struct endless_shape *shape)
{
	size_t len = strlen(shape->repeated);
	struct mh_buffer block = { 0 };
	uint64_t sent = 0;

	if (shape->status)
		begin_response(c, shape->status, shape->fields);
	mh_buffer_add(&c->out, shape->begin, strlen(shape->begin));
	while (!shape->slow && block.len + len <= BLOCK_BYTES)
		mh_buffer_add(&block, shape->repeated, len);
	if (shape->slow)
		mh_buffer_add(&block, shape->repeated, len);
	while (c->out.len < shape->burst)
		mh_buffer_add(&c->out, shape->repeated, len);
	while (sent < ENDLESS_BYTES && send_all(c)) {
		mh_buffer_add(&c->out, mh_buffer_front(&block), block.len);
		sent += block.len;
		if (shape->slow && is_closed(c))
			break;
	}
	mh_buffer_release(&block);
}

/* The last segment of the target is "status=TEXT". */
static bool serve_odd_status(struct conn *c, bool *ok)
{
	const struct mh_http_text *t = &c->reader.head.target;
	const char *at = memmem(t->p, t->len, "/status=", 8);
	struct mh_http_text id = header(c, "X-Mangohead-Request-Id");

	if (!at)
		return false;
	at += 8;
	mh_buffer_printf(&c->out,
			 "HTTP/1.1 %.*s X\r\n" SIGNED
			 "X-Mangohead-Request-Id: %.*s\r\n"
			 "Content-Length: 3\r\n\r\nodd",
			 (int)(t->p + t->len - at), at, (int)id.len, id.p);
	*ok = send_all(c);
	return true;
}

bool serve_shape(struct conn *c, bool *ok)
{
	size_t i = missing_head_bytes(c);

	if (i) {
		*ok = serve_cut_head(c, i);
		return true;
	}
	for (i = 0; i < sizeof(resumed) / sizeof(resumed[0]); i++) {
		if (!target_ends_with(c, resumed[i].name))
			continue;
		*ok = serve_resumed_shape(c, &resumed[i]);
		return true;
	}

	for (i = 0; i < sizeof(streams) / sizeof(streams[0]); i++) {
		if (!target_ends_with(c, streams[i].name))
			continue;
		*ok = serve_stream_shape(c, &streams[i]);
		return true;
	}
	if (serve_odd_status(c, ok))
		return true;
	*ok = false;
	for (i = 0; i < sizeof(endless) / sizeof(endless[0]); i++) {
		if (!target_ends_with(c, endless[i].name))
			continue;
		serve_endless(c, &endless[i]);
		return true;
	}
	if (!target_ends_with(c, "plaincut") &&
	    !target_ends_with(c, "plainreset"))
		return false;
	*ok = serve_plain_cut(c, target_ends_with(c, "plainreset"));
	return true;
}
