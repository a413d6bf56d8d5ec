/*
 * Turns a caller's HTTP request into a call of the core, under the contract of
 * the caller's account.
 */
#ifndef MH_ENTRY_PARSE_H
#define MH_ENTRY_PARSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/entry.h"

/**
 * struct mh_client_request - a request as HTTP delivers it
 * @id: id by which this entry knows it
 * @method: HTTP method
 * @uri: path and query
 * @content_type: type of the body, may be NULL
 * @authorization: header Authorization, may be NULL
 * @tier: header X-Tier, may be NULL
 * @deadline_ms: header X-Deadline-Ms, may be NULL
 * @key: header Idempotency-Key, may be NULL
 * @non_idempotent: header X-Non-Idempotent, may be NULL
 * @body: body
 * @body_len: length of @body
 */
struct mh_client_request {
	struct mh_id id;
	const char *method;
	const char *uri;
	const char *content_type;
	const char *authorization;
	const char *tier;
	const char *deadline_ms;
	const char *key;
	const char *non_idempotent;
	const uint8_t *body;
	size_t body_len;
};

/**
 * struct mh_parsed_call - a call with the strings that it needs
 * @call: call; its strings and body belong to this struct or the request
 * @stream: the answer is to be streamed
 * @strings: owned strings of @call
 */
struct mh_parsed_call {
	struct mh_call call;
	bool stream;
	char *strings[6];
};

/**
 * mh_call_parse() - check a request and build its call
 * @m: manifest in force
 * @req: request; its body has to stay
 * @now_ns: monotonic time, for the deadline
 * @out: call; has to be released in every case
 * @detail: set to a static text that says what is wrong
 *
 * Return: MH_OK or the error to answer with.
 */
enum mh_error mh_call_parse(const struct mh_manifest *m,
			    const struct mh_client_request *req,
			    uint64_t now_ns, struct mh_parsed_call *out,
			    const char **detail);

/**
 * mh_parsed_call_release() - free what a parsed call owns
 * @parsed: parsed call
 */
void mh_parsed_call_release(struct mh_parsed_call *parsed);

/**
 * mh_account_authenticate() - account of an Authorization header
 * @m: manifest in force
 * @authorization: header, may be NULL
 */
const struct mh_account *mh_account_authenticate(const struct mh_manifest *m,
						 const char *authorization);

/**
 * mh_sha256_hex() - lower-case hex SHA-256 of a text
 * @text: text
 * @hex: buffer of 65 bytes
 */
void mh_sha256_hex(const char *text, char *hex);

/**
 * mh_bearer_token() - token of an Authorization header
 * @authorization: header, may be NULL
 *
 * Return: the token within @authorization, or NULL.
 */
const char *mh_bearer_token(const char *authorization);

#endif
