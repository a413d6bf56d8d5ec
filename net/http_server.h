/*
 * What the programs' HTTP servers share: addresses, JSON answers, problem
 * details (RFC 9457), metrics in the Prometheus text format.
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
 * struct mh_http_body - body of a request that is being received
 * @p: bytes with a final NUL
 * @len: number of bytes
 * @cap: size of @p
 * @max: greatest length
 * @too_large: more than @max bytes came
 */
struct mh_http_body {
	uint8_t *p;
	size_t len;
	size_t cap;
	size_t max;
	bool too_large;
};

/**
 * mh_http_body_add() - add received bytes
 * @body: body
 * @bytes: bytes
 * @len: length of @bytes
 */
void mh_http_body_add(struct mh_http_body *body, const char *bytes, size_t len);

/**
 * mh_http_sockaddr() - address to listen at
 * @address: "ip:port"
 * @sa: destination
 *
 * Return: whether @address is well formed.
 */
bool mh_http_sockaddr(const char *address, struct sockaddr_in *sa);

/**
 * mh_http_reply_text() - answer with a text
 * @conn: connection
 * @status: HTTP status
 * @type: content type
 * @text: body, copied
 */
enum MHD_Result mh_http_reply_text(struct MHD_Connection *conn,
				   unsigned int status, const char *type,
				   const char *text);

/**
 * mh_http_reply_json() - answer with JSON
 * @conn: connection
 * @status: HTTP status
 * @doc: document; the reference is taken
 */
enum MHD_Result mh_http_reply_json(struct MHD_Connection *conn,
				   unsigned int status, json_t *doc);

/**
 * mh_problem_text() - problem details of an error
 * @error: error kind
 * @detail: further words, may be NULL
 * @request_id: id of the request, may be NULL
 * @retry_after_ms: when to come back, 0 for none
 *
 * Return: JSON text for the caller to free.
 */
char *mh_problem_text(enum mh_error error, const char *detail,
		      const char *request_id, uint32_t retry_after_ms);

/**
 * mh_http_reply_problem() - answer with problem details
 * @conn: connection
 * @error: error kind
 * @detail: further words, may be NULL
 * @request_id: id of the request, may be NULL
 * @retry_after_ms: when to come back, 0 for none
 */
enum MHD_Result mh_http_reply_problem(struct MHD_Connection *conn,
				      enum mh_error error, const char *detail,
				      const char *request_id,
				      uint32_t retry_after_ms);

/**
 * mh_http_counters_text() - counters in the Prometheus text format
 * @c: counters
 *
 * Return: text for the caller to free.
 */
char *mh_http_counters_text(const struct mh_counters *c);

#endif
