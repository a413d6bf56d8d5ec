/*
 * Incremental parser of HTTP/1.1 messages. It follows RFC 9112 strictly:
 * ambiguous messages are rejected to prevent request smuggling. http-parser
 * parses the bodies. Heads are validated here first, since http-parser accepts
 * whitespace before a colon and folded header lines.
 */
#ifndef MH_HTTP1_H
#define MH_HTTP1_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/response_judge.h"
#include "net/buffer.h"

#define MH_HTTP_HEADERS_MAX 96

/**
 * mh_http_is_status() - whether a number is a status (RFC 9110, section 15)
 * @status: number from a response
 */
static inline bool mh_http_is_status(int status)
{
	return status >= 100 && status <= 599;
}

/**
 * struct mh_http_text - byte range in a head, not NUL-terminated
 * @p: first byte
 * @len: number of bytes
 */
struct mh_http_text {
	const char *p;
	size_t len;
};

/**
 * struct mh_http_header - one header field
 * @name: name as received
 * @value: value without surrounding whitespace
 */
struct mh_http_header {
	struct mh_http_text name;
	struct mh_http_text value;
};

/**
 * struct mh_http_head - start line and header fields of a message
 * @method: method of a request
 * @target: target of a request, including the query
 * @status: status of a response
 * @minor: minor version: the x of HTTP/1.x
 * @headers: header fields in the order received
 * @n_headers: number of @headers
 * @content_length: value of Content-Length, -1 if there is none
 * @chunked: the body has chunked transfer coding
 * @keep_alive: the connection is persistent
 *
 * The texts stay valid until the reader is reset or released.
 */
struct mh_http_head {
	struct mh_http_text method;
	struct mh_http_text target;
	uint16_t status;
	uint8_t minor;
	struct mh_http_header headers[MH_HTTP_HEADERS_MAX];
	uint32_t n_headers;
	int64_t content_length;
	bool chunked;
	bool keep_alive;
};

enum mh_http_result_code {
	MH_HTTP_MORE,	   /* all bytes consumed, message incomplete */
	MH_HTTP_DONE,	   /* the message is complete; bytes may be left */
	MH_HTTP_STOPPED,   /* a callback returned non-zero */
	MH_HTTP_MALFORMED, /* invalid or ambiguous message */
	MH_HTTP_HEAD_TOO_LARGE,
	MH_HTTP_UNKNOWN_TRANSFER_CODING, /* other than chunked */
};

/**
 * struct mh_http_ops - callbacks for a message; non-zero stops reading
 * @head: called when the head is complete
 * @body: called with the next bytes of the body, without chunk framing
 */
struct mh_http_ops {
	int (*head)(void *data, const struct mh_http_head *head);
	int (*body)(void *data, const uint8_t *bytes, size_t len);
};

/**
 * struct mh_http_reader - parser for successive messages of a connection
 * @no_body: the message is the response to a HEAD request
 * @head: head of the message, valid from ops->head on
 *
 * All other members are private.
 */
struct mh_http_reader {
	bool no_body;
	enum http_parser_type type;
	http_parser parser;
	struct mh_buffer raw;
	bool in_body;
	bool ended;
	uint32_t n_interim;   /* interim responses before this one */
	uint32_t empty_bytes; /* of empty lines before the head */
	size_t max_head_bytes;
	struct mh_http_head head;
	const struct mh_http_ops *ops;
	void *data;
};

/**
 * mh_http_reader_init() - prepare a reader
 * @r: reader
 * @type: HTTP_REQUEST or HTTP_RESPONSE
 * @max_head_bytes: maximum size of a head
 * @ops: callbacks
 * @data: first argument of @ops
 */
void mh_http_reader_init(struct mh_http_reader *r, enum http_parser_type type,
			 size_t max_head_bytes, const struct mh_http_ops *ops,
			 void *data);

/**
 * mh_http_reader_release() - free the reader's memory
 * @r: reader
 */
void mh_http_reader_release(struct mh_http_reader *r);

/**
 * mh_http_reader_reset() - prepare for the next message
 * @r: reader whose message is complete
 */
void mh_http_reader_reset(struct mh_http_reader *r);

/**
 * mh_http_read() - parse received bytes
 * @r: reader
 * @bytes: bytes
 * @len: length of @bytes
 * @used: set to the number of bytes consumed
 *
 * A few interim responses (status 1xx) and empty lines before the head are
 * skipped; more of them are malformed.
 *
 * Return: how far the message was read, or why it was rejected.
 */
enum mh_http_result_code mh_http_read(struct mh_http_reader *r,
				      const uint8_t *bytes, size_t len,
				      size_t *used);

/**
 * mh_http_read_eof() - handle an orderly end of the connection
 * @r: reader
 *
 * Return: whether the message is complete.
 */
bool mh_http_read_eof(struct mh_http_reader *r);

/**
 * mh_http_reader_idle() - whether no byte of the next message was read
 * @r: reader
 */
bool mh_http_reader_idle(const struct mh_http_reader *r);

/**
 * mh_http_is_head() - whether a request's response ends with its head
 * @head: head of the request
 */
bool mh_http_is_head(const struct mh_http_head *head);

/**
 * mh_http_text_is() - compare, ignoring case
 * @text: text
 * @other: NUL-terminated text
 */
bool mh_http_text_is(struct mh_http_text text, const char *other);

/**
 * mh_http_header_find() - find the first header field with a name
 * @head: head
 * @name: name
 *
 * Return: the value; its @p is NULL if there is no such field.
 */
struct mh_http_text mh_http_header_find(const struct mh_http_head *head,
					const char *name);

/**
 * mh_http_framing() - what marks the end of a response's body
 * @head: head of the response
 * @no_body: it is the response to a HEAD request
 */
enum mh_framing mh_http_framing(const struct mh_http_head *head, bool no_body);

/**
 * mh_http_media_type_is() - compare the media type of Content-Type
 * @head: head
 * @type: "type/subtype"; parameters of the field are left out
 */
bool mh_http_media_type_is(const struct mh_http_head *head, const char *type);

/**
 * mh_http_hop_by_hop() - whether a header field is hop-by-hop
 * @head: head, whose Connection fields may list further ones
 * @name: name of the field
 */
bool mh_http_hop_by_hop(const struct mh_http_head *head,
			struct mh_http_text name);

#endif
