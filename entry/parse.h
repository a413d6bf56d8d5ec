/*
 * Parses a client's HTTP request into a call for the core and checks it against
 * the contract of the client account.
 */
#ifndef MH_ENTRY_PARSE_H
#define MH_ENTRY_PARSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/entry.h"

/**
 * struct mh_client_request - HTTP request to parse
 * @id: request id in this system
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
 * struct mh_parsed_call - a call and the strings that it refers to
 * @call: call; its strings belong to this struct, its body to the request
 * @stream: the response is to be streamed
 * @strings: owned strings of @call
 */
struct mh_parsed_call {
	struct mh_call call;
	bool stream;
	char *strings[6];
};

/**
 * mh_call_parse() - check a request and build the call
 * @m: manifest in force
 * @req: request; its body must outlive @out
 * @now_ns: current monotonic time, for the deadline
 * @out: call; must be released, also after an error
 * @detail: set on an error to a static text that explains it
 *
 * Return: MH_OK, or the error to respond with.
 */
enum mh_error mh_call_parse(const struct mh_manifest *m,
			    const struct mh_client_request *req,
			    uint64_t now_ns, struct mh_parsed_call *out,
			    const char **detail);

/**
 * mh_call_check_head() - check what is known of a request before its body
 * @m: manifest in force
 * @uri: path
 * @authorization: header, may be NULL
 * @detail: set on an error to a static text that explains it
 *
 * Return: MH_OK, or the error that mh_call_parse() returns for any body.
 */
enum mh_error mh_call_check_head(const struct mh_manifest *m, const char *uri,
				 const char *authorization,
				 const char **detail);

/**
 * mh_parsed_call_release() - free the strings of a parsed call
 * @parsed: parsed call
 */
void mh_parsed_call_release(struct mh_parsed_call *parsed);

/**
 * mh_account_authenticate() - find the account of an Authorization header
 * @m: manifest in force
 * @authorization: header, may be NULL
 *
 * Return: account, or NULL without a valid key.
 */
const struct mh_account *mh_account_authenticate(const struct mh_manifest *m,
						 const char *authorization);

/**
 * mh_sha256_hex() - SHA-256 of a text in lower-case hex
 * @text: text
 * @hex: buffer of 65 bytes
 */
void mh_sha256_hex(const char *text, char *hex);

/**
 * mh_bearer_token() - token of an Authorization header
 * @authorization: header, may be NULL
 *
 * Return: pointer into @authorization, or NULL if it is no bearer token.
 */
const char *mh_bearer_token(const char *authorization);

#endif
