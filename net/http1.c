#include "net/http1.h"

#include <string.h>
#include <strings.h>

#define HEAD_END "\r\n\r\n"
#define HEAD_END_BYTES 4
/* Without bounds a peer could keep the reader busy for ever. */
#define MAX_INTERIM_RESPONSES 16
#define MAX_EMPTY_BYTES 64
#define SLICE_BYTES 1024
/* "HTTP/1.1 200" */
#define STATUS_LINE_BYTES 12
/* Capacity that is kept between two messages. */
#define MAX_IDLE_BYTES 4096

static bool may_have_body(unsigned int status)
{
	return status != 204 && status != 304;
}

static int on_headers_complete(http_parser *p)
{
	const struct mh_http_reader *r = p->data;

	if (r->type == HTTP_REQUEST)
		return 0;
	/* http-parser waits for the body of a 304 with a Content-Length. */
	return r->no_body || !may_have_body(p->status_code);
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct mh_http_reader *r = p->data;

	return r->ops->body(r->data, (const uint8_t *)at, len);
}

static int on_message_complete(http_parser *p)
{
	struct mh_http_reader *r = p->data;

	r->ended = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

void mh_http_reader_init(struct mh_http_reader *r, enum http_parser_type type,
			 size_t max_head_bytes, const struct mh_http_ops *ops,
			 void *data)
{
	memset(r, 0, sizeof(*r));
	r->type = type;
	r->max_head_bytes = max_head_bytes;
	r->ops = ops;
	r->data = data;
	mh_http_reader_reset(r);
}

void mh_http_reader_release(struct mh_http_reader *r)
{
	mh_buffer_release(&r->raw);
}

static void begin_head(struct mh_http_reader *r)
{
	http_parser_init(&r->parser, r->type);
	r->parser.data = r;
	mh_buffer_consume(&r->raw, r->raw.len);
	/* An idle connection keeps no memory for a head that was large. */
	if (r->raw.cap > MAX_IDLE_BYTES)
		mh_buffer_release(&r->raw);
	r->in_body = false;
	r->ended = false;
	r->head.n_headers = 0;
}

void mh_http_reader_reset(struct mh_http_reader *r)
{
	r->n_interim = 0;
	r->empty_bytes = 0;
	begin_head(r);
}

bool mh_http_reader_idle(const struct mh_http_reader *r)
{
	return !r->in_body && !r->ended && !r->raw.len;
}

bool mh_http_text_is(struct mh_http_text text, const char *other)
{
	return text.len == strlen(other) &&
	       !strncasecmp(text.p, other, text.len);
}

bool mh_http_is_head(const struct mh_http_head *head)
{
	/* Methods are case-sensitive. */
	return head->method.len == 4 && !memcmp(head->method.p, "HEAD", 4);
}

struct mh_http_text mh_http_header_find(const struct mh_http_head *head,
					const char *name)
{
	struct mh_http_text none = { 0 };
	uint32_t i;

	for (i = 0; i < head->n_headers; i++) {
		if (mh_http_text_is(head->headers[i].name, name))
			return head->headers[i].value;
	}
	return none;
}

static bool is_token_char(unsigned char c)
{
	return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
	       (c >= 'A' && c <= 'Z') || (c && strchr("!#$%&'*+-.^_`|~", c));
}

static struct mh_http_text trim(const char *p, const char *end)
{
	while (p < end && (*p == ' ' || *p == '\t'))
		p++;
	while (p < end && (end[-1] == ' ' || end[-1] == '\t'))
		end--;
	return (struct mh_http_text){ p, (size_t)(end - p) };
}

static bool parse_header_line(struct mh_http_head *head, const char *line,
			      const char *end)
{
	struct mh_http_header *h = &head->headers[head->n_headers];
	const char *p = line;

	if (head->n_headers == MH_HTTP_HEADERS_MAX)
		return false;
	while (p < end && is_token_char((unsigned char)*p))
		p++;
	/* Also rejects whitespace before the name or the colon. */
	if (p == line || p == end || *p != ':')
		return false;
	h->name = (struct mh_http_text){ line, (size_t)(p - line) };
	h->value = trim(p + 1, end);
	head->n_headers++;
	return true;
}

/* Lines end with CR LF. A bare CR or LF is rejected, as are other controls. */
static const char *line_end(const char *p, const char *end)
{
	for (; p < end; p++) {
		unsigned char c = (unsigned char)*p;

		if (c == '\r')
			return p + 1 < end && p[1] == '\n' ? p : NULL;
		if ((c < ' ' && c != '\t') || c == 0x7f)
			return NULL;
	}
	return NULL;
}

static bool is_digit(char c)
{
	return c >= '0' && c <= '9';
}

/* The parser takes any number of digits, and servers leave out the reason. */
static bool is_status_line(const char *line, size_t len)
{
	int i, status = 0;

	if (len < STATUS_LINE_BYTES || memcmp(line, "HTTP/1.", 7) ||
	    !is_digit(line[7]) || line[8] != ' ')
		return false;
	for (i = 9; i < STATUS_LINE_BYTES; i++) {
		if (!is_digit(line[i]))
			return false;
		status = status * 10 + (line[i] - '0');
	}
	return mh_http_is_status(status) &&
	       (len == STATUS_LINE_BYTES || line[STATUS_LINE_BYTES] == ' ');
}

static bool parse_start_line(struct mh_http_reader *r, const char *line,
			     const char *end)
{
	struct mh_http_head *head = &r->head;
	const char *sp1, *sp2;

	if (r->type == HTTP_RESPONSE)
		return is_status_line(line, (size_t)(end - line));
	sp1 = memchr(line, ' ', (size_t)(end - line));
	sp2 = sp1 ? memchr(sp1 + 1, ' ', (size_t)(end - sp1 - 1)) : NULL;
	if (!sp2 || end - sp2 != 9 || memcmp(sp2, " HTTP/1.", 8))
		return false;
	head->method = (struct mh_http_text){ line, (size_t)(sp1 - line) };
	head->target =
		(struct mh_http_text){ sp1 + 1, (size_t)(sp2 - sp1 - 1) };
	return true;
}

/* Return: MH_HTTP_MORE if body length and Host are unambiguous, or an error. */
static enum mh_http_result_code check_framing(struct mh_http_reader *r)
{
	struct mh_http_head *head = &r->head;
	uint32_t i, j, lengths = 0, codings = 0, hosts = 0;

	head->content_length = -1;
	head->chunked = false;
	for (i = 0; i < head->n_headers; i++) {
		const struct mh_http_header *h = &head->headers[i];

		if (mh_http_text_is(h->name, "Content-Length")) {
			int64_t n = 0;

			lengths++;
			if (!h->value.len || h->value.len > 15)
				return MH_HTTP_MALFORMED;
			for (j = 0; j < h->value.len; j++) {
				char c = h->value.p[j];

				if (c < '0' || c > '9')
					return MH_HTTP_MALFORMED;
				n = n * 10 + (c - '0');
			}
			head->content_length = n;
		} else if (mh_http_text_is(h->name, "Transfer-Encoding")) {
			codings++;
			head->chunked = mh_http_text_is(h->value, "chunked");
			if (!head->chunked)
				return MH_HTTP_UNKNOWN_TRANSFER_CODING;
		} else if (mh_http_text_is(h->name, "Host")) {
			hosts++;
		}
	}
	if (lengths > 1 || codings > 1 || (lengths && codings) ||
	    (codings && !head->minor))
		return MH_HTTP_MALFORMED;
	if (r->type == HTTP_REQUEST && (hosts > 1 || (head->minor && !hosts)))
		return MH_HTTP_MALFORMED;
	return MH_HTTP_MORE;
}

static enum mh_http_result_code parse_head_lines(struct mh_http_reader *r)
{
	const char *p = (const char *)mh_buffer_front(&r->raw);
	/* Without the empty line that ends the head. */
	const char *end = p + r->raw.len - 2, *eol = line_end(p, end);

	r->head.n_headers = 0;
	if (!eol || !parse_start_line(r, p, eol))
		return MH_HTTP_MALFORMED;
	for (p = eol + 2; p < end; p = eol + 2) {
		eol = line_end(p, end);
		if (!eol || !parse_header_line(&r->head, p, eol))
			return MH_HTTP_MALFORMED;
	}
	return MH_HTTP_MORE;
}

static enum mh_http_result_code parse_head(struct mh_http_reader *r)
{
	enum mh_http_result_code code = parse_head_lines(r);
	size_t len = r->raw.len;
	const char *p = (const char *)mh_buffer_front(&r->raw);
	enum http_errno err;

	if (code != MH_HTTP_MORE)
		return code;
	r->head.minor = p[7] == '1';
	if (r->type == HTTP_REQUEST)
		r->head.minor = r->head.target.p[r->head.target.len + 8] == '1';
	code = check_framing(r);
	if (code != MH_HTTP_MORE)
		return code;
	http_parser_execute(&r->parser, &callbacks, p, len);
	err = HTTP_PARSER_ERRNO(&r->parser);
	if (err != HPE_OK && err != HPE_PAUSED)
		return MH_HTTP_MALFORMED;
	/* Tunnels are not supported. Other upgrades may be ignored. */
	if (r->type == HTTP_REQUEST && r->parser.method == HTTP_CONNECT)
		return MH_HTTP_MALFORMED;
	r->head.status = (uint16_t)r->parser.status_code;
	r->head.keep_alive = http_should_keep_alive(&r->parser);
	return MH_HTTP_MORE;
}

/* Looks for the end of the head in the bytes from @from on, and drops what follows
 * it. */
static bool cut_after_head(struct mh_http_reader *r, size_t from)
{
	const uint8_t *front = mh_buffer_front(&r->raw), *end;

	end = memmem(front + from, r->raw.len - from, HEAD_END, HEAD_END_BYTES);
	if (end)
		r->raw.len = (size_t)(end - front) + HEAD_END_BYTES;
	return end;
}

/* Copies slice by slice, so that what follows the head is not copied for each of
 * many small requests that came at once.
 * Return: whether the head is complete. Out of memory, @used is set to 0. */
static bool collect_head(struct mh_http_reader *r, const uint8_t *bytes,
			 size_t len, size_t *used)
{
	size_t had, n;

	for (*used = 0; *used < len && r->raw.len <= r->max_head_bytes;
	     *used += n) {
		had = r->raw.len;
		n = len - *used < SLICE_BYTES ? len - *used : SLICE_BYTES;
		if (!mh_buffer_add(&r->raw, bytes + *used, n)) {
			*used = 0;
			return false;
		}
		if (cut_after_head(r, had > HEAD_END_BYTES - 1 ?
					      had - (HEAD_END_BYTES - 1) :
					      0)) {
			*used += r->raw.len - had;
			return true;
		}
	}
	return false;
}

static enum mh_http_result_code read_body(struct mh_http_reader *r,
					  const uint8_t *bytes, size_t len,
					  size_t *used)
{
	size_t n = http_parser_execute(&r->parser, &callbacks,
				       (const char *)bytes, len);
	enum http_errno err = HTTP_PARSER_ERRNO(&r->parser);

	*used += n;
	if (r->ended)
		return MH_HTTP_DONE;
	if (err == HPE_CB_body)
		return MH_HTTP_STOPPED;
	return err == HPE_OK ? MH_HTTP_MORE : MH_HTTP_MALFORMED;
}

enum mh_http_result_code mh_http_read(struct mh_http_reader *r,
				      const uint8_t *bytes, size_t len,
				      size_t *used)
{
	enum mh_http_result_code code;
	size_t n;

	*used = 0;
	while (!r->in_body) {
		while (!r->raw.len && *used < len &&
		       (bytes[*used] == '\r' || bytes[*used] == '\n')) {
			if (++r->empty_bytes > MAX_EMPTY_BYTES)
				return MH_HTTP_MALFORMED;
			++*used;
		}
		if (*used == len)
			return MH_HTTP_MORE;
		if (!collect_head(r, bytes + *used, len - *used, &n)) {
			*used += n;
			return r->raw.len > r->max_head_bytes ?
				       MH_HTTP_HEAD_TOO_LARGE :
				       MH_HTTP_MORE;
		}
		*used += n;
		if (r->raw.len > r->max_head_bytes)
			return MH_HTTP_HEAD_TOO_LARGE;
		code = parse_head(r);
		if (code != MH_HTTP_MORE)
			return code;
		if (r->type == HTTP_RESPONSE && r->head.status < 200) {
			if (++r->n_interim > MAX_INTERIM_RESPONSES)
				return MH_HTTP_MALFORMED;
			begin_head(r);
			continue;
		}
		r->in_body = true;
		if (r->ops->head(r->data, &r->head))
			return MH_HTTP_STOPPED;
		if (r->ended)
			return MH_HTTP_DONE;
	}
	if (*used == len)
		return MH_HTTP_MORE;
	return read_body(r, bytes + *used, len - *used, used);
}

bool mh_http_read_eof(struct mh_http_reader *r)
{
	if (!r->in_body || r->ended)
		return r->ended;
	http_parser_execute(&r->parser, &callbacks, NULL, 0);
	return r->ended;
}

enum mh_framing mh_http_framing(const struct mh_http_head *head, bool no_body)
{
	if (no_body || !may_have_body(head->status))
		return MH_FRAMING_NONE;
	if (head->chunked)
		return MH_FRAMING_CHUNKED;
	return head->content_length < 0 ? MH_FRAMING_CLOSE : MH_FRAMING_LENGTH;
}

bool mh_http_media_type_is(const struct mh_http_head *head, const char *type)
{
	struct mh_http_text value = mh_http_header_find(head, "Content-Type");
	const char *semicolon =
		value.p ? memchr(value.p, ';', value.len) : NULL;

	if (!value.p)
		return false;
	if (semicolon)
		value = trim(value.p, semicolon);
	return mh_http_text_is(value, type);
}

static bool list_has_token(struct mh_http_text list, struct mh_http_text name)
{
	const char *p = list.p, *end = list.p + list.len;

	while (p < end) {
		const char *comma = memchr(p, ',', (size_t)(end - p));
		struct mh_http_text one = trim(p, comma ? comma : end);

		if (one.len == name.len &&
		    !strncasecmp(one.p, name.p, name.len))
			return true;
		if (!comma)
			break;
		p = comma + 1;
	}
	return false;
}

bool mh_http_hop_by_hop(const struct mh_http_head *head,
			struct mh_http_text name)
{
	static const char *const fixed[] = {
		"Connection",
		"Keep-Alive",
		"Transfer-Encoding",
		"TE",
		"Trailer",
		"Upgrade",
		"Proxy-Connection",
		"Proxy-Authenticate",
		"Proxy-Authorization",
	};
	uint32_t i;

	for (i = 0; i < sizeof(fixed) / sizeof(fixed[0]); i++) {
		if (mh_http_text_is(name, fixed[i]))
			return true;
	}
	for (i = 0; i < head->n_headers; i++) {
		if (mh_http_text_is(head->headers[i].name, "Connection") &&
		    list_has_token(head->headers[i].value, name))
			return true;
	}
	return false;
}
