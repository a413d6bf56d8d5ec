/*
 * Helpers of the HTTP servers: addresses, JSON responses, problem details
 * (RFC 9457), counters in the Prometheus text format.
 */
#ifndef MH_HTTP_SERVER_H
#define MH_HTTP_SERVER_H

#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/counters.h"
#include "core/err.h"

/**
 * struct mh_http_body - request body that is being received
 * @p: bytes, NUL-terminated
 * @len: number of bytes
 * @cap: size of @p
 * @max: maximum length
 * @too_large: more than @max bytes came, or memory ran out; nothing is kept
 */
struct mh_http_body {
	uint8_t *p;
	size_t len;
	size_t cap;
	size_t max;
	bool too_large;
};

/**
 * mh_http_body_next_cap() - capacity after further bytes were appended
 * @body: body
 * @len: number of these bytes
 */
size_t mh_http_body_next_cap(const struct mh_http_body *body, size_t len);

/**
 * mh_http_body_drop() - free what was received; further bytes are dropped as well
 * @body: body
 */
void mh_http_body_drop(struct mh_http_body *body);

/**
 * mh_http_body_add() - append received bytes
 * @body: body
 * @bytes: bytes
 * @len: length of @bytes
 */
void mh_http_body_add(struct mh_http_body *body, const char *bytes, size_t len);

/**
 * mh_http_sockaddr() - parse an address to listen on
 * @address: "ip:port"
 * @sa: destination
 *
 * Return: whether @address is well formed.
 */
bool mh_http_sockaddr(const char *address, struct sockaddr_in *sa);

/**
 * mh_http_reply_text() - send a text response
 * @conn: connection
 * @status: HTTP status
 * @type: content type
 * @text: body, copied
 *
 * Return: MHD_NO if out of memory, else the result of queueing the response.
 */
enum MHD_Result mh_http_reply_text(struct MHD_Connection *conn,
				   unsigned int status, const char *type,
				   const char *text);

/**
 * mh_http_reply_json() - send a JSON response
 * @conn: connection
 * @status: HTTP status
 * @doc: document; takes over the reference
 *
 * Return: MHD_NO if out of memory, else the result of queueing the response.
 */
enum MHD_Result mh_http_reply_json(struct MHD_Connection *conn,
				   unsigned int status, json_t *doc);

/**
 * mh_problem_text() - format the problem details of an error
 * @error: error kind
 * @detail: explanation, may be NULL
 * @request_id: id of the request, may be NULL
 * @retry_after_ms: time to wait before a retry, 0 for none
 *
 * Return: JSON text for the caller to free, NULL if out of memory.
 */
char *mh_problem_text(enum mh_error error, const char *detail,
		      const char *request_id, uint32_t retry_after_ms);

/**
 * mh_http_reply_problem() - send problem details
 * @conn: connection
 * @error: error kind
 * @detail: explanation, may be NULL
 * @request_id: id of the request, may be NULL
 * @retry_after_ms: time to wait before a retry, 0 for none
 *
 * Return: MHD_NO if out of memory, else the result of queueing the response.
 */
enum MHD_Result mh_http_reply_problem(struct MHD_Connection *conn,
				      enum mh_error error, const char *detail,
				      const char *request_id,
				      uint32_t retry_after_ms);

/**
 * mh_http_counters_text() - format counters in the Prometheus text format
 * @c: counters
 *
 * Return: text for the caller to free, NULL if out of memory.
 */
char *mh_http_counters_text(const struct mh_counters *c);

#endif
