/*
 * Reader of HTTP/1.1 messages, strict by RFC 9112: what could be read in two
 * ways is refused, so that no bytes of one message pass for another. The
 * grammar of bodies is http-parser's; heads are checked here before it sees
 * them, since it takes blanks before a colon and folded lines.
 */
#ifndef MH_HTTP1_H
#define MH_HTTP1_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/buffer.h"

#define MH_HTTP_HEADERS_MAX 96

/**
 * struct mh_http_text - bytes inside a head, without a final NUL
 * @p: first byte
 * @len: number of bytes
 */
struct mh_http_text {
	const char *p;
	size_t len;
};

/**
 * struct mh_http_header - one header field
 * @name: name as it was sent
 * @value: value without the blanks round it
 */
struct mh_http_header {
	struct mh_http_text name;
	struct mh_http_text value;
};

/**
 * struct mh_http_head - start line and header fields of a message
 * @method: method of a request
 * @target: target of a request, with its query
 * @status: status of a response
 * @minor: HTTP/1.x
 * @headers: header fields in their order
 * @n_headers: number of @headers
 * @content_length: length of the body, -1 if the head tells none
 * @chunked: the body comes in chunks
 * @keep_alive: the sender keeps the connection open
 *
 * The texts stay valid until the reader is started anew.
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
	MH_HTTP_MORE,	   /* all bytes were taken, the message goes on */
	MH_HTTP_DONE,	   /* the message has ended; bytes may be left */
	MH_HTTP_STOPPED,   /* a callback asked to stop */
	MH_HTTP_MALFORMED, /* not a message, or not an unambiguous one */
	MH_HTTP_HEAD_TOO_LARGE,
	MH_HTTP_UNKNOWN_TRANSFER_CODING, /* a transfer coding other than chunked */
};

/**
 * struct mh_http_ops - parts of a message; a result other than 0 stops
 * @head: the head is complete
 * @body: next bytes of the body, without chunk framing
 */
struct mh_http_ops {
	int (*head)(void *data, const struct mh_http_head *head);
	int (*body)(void *data, const uint8_t *bytes, size_t len);
};

/**
 * struct mh_http_reader - state of reading one message after the other
 * @no_body: the response being read answers a HEAD request
 *
 * All other members are the module's own.
 */
struct mh_http_reader {
	bool no_body;
	enum http_parser_type type;
	http_parser parser;
	struct mh_buffer raw;
	bool in_body;
	bool ended;
	size_t max_head_bytes;
	struct mh_http_head head;
	const struct mh_http_ops *ops;
	void *data;
};

/**
 * mh_http_reader_init() - prepare a reader
 * @r: reader
 * @type: HTTP_REQUEST or HTTP_RESPONSE
 * @max_head_bytes: greatest head that is accepted
 * @ops: parts of a message
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
 * mh_http_reader_reset() - begin with the next message
 * @r: reader whose message has ended
 */
void mh_http_reader_reset(struct mh_http_reader *r);

/**
 * mh_http_read() - read bytes of a message
 * @r: reader
 * @bytes: bytes
 * @len: length of @bytes
 * @used: set to the number of bytes that belong to the message
 *
 * Responses with status 1xx are skipped.
 */
enum mh_http_result_code mh_http_read(struct mh_http_reader *r,
				      const uint8_t *bytes, size_t len,
				      size_t *used);

/**
 * mh_http_read_eof() - the connection ended in order
 * @r: reader
 *
 * Return: whether that ends the message as a whole one.
 */
bool mh_http_read_eof(struct mh_http_reader *r);

/**
 * mh_http_reader_idle() - whether no byte of a message was read
 * @r: reader
 */
bool mh_http_reader_idle(const struct mh_http_reader *r);

/**
 * mh_http_text_is() - compare without regard to case
 * @text: text
 * @other: NUL-terminated text
 */
bool mh_http_text_is(struct mh_http_text text, const char *other);

/**
 * mh_http_header_find() - first header field of a name
 * @head: head
 * @name: name
 *
 * Return: the value; its @p is NULL if there is none.
 */
struct mh_http_text mh_http_header_find(const struct mh_http_head *head,
					const char *name);

/**
 * mh_http_hop_by_hop() - whether a header field concerns one connection only
 * @head: head, whose Connection fields may name more of them
 * @name: name of the field
 */
bool mh_http_hop_by_hop(const struct mh_http_head *head,
			struct mh_http_text name);

#endif
