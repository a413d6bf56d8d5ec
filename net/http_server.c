#include "net/http_server.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/link.h"

#define MS_PER_S 1000
#define METRIC_LINE_BYTES 512

size_t mh_http_body_next_cap(const struct mh_http_body *body, size_t len)
{
	size_t need = body->len + len + 1, cap = need * 2;

	if (need <= body->cap)
		return body->cap;
	/* With room for the final NUL. */
	if (cap > body->max + 1)
		cap = body->max + 1;
	return cap > need ? cap : need;
}

void mh_http_body_drop(struct mh_http_body *body)
{
	free(body->p);
	body->p = NULL;
	body->len = 0;
	body->cap = 0;
	body->too_large = true;
}

void mh_http_body_add(struct mh_http_body *body, const char *bytes, size_t len)
{
	size_t cap = mh_http_body_next_cap(body, len);

	if (body->too_large)
		return;
	if (body->len + len > body->max) {
		mh_http_body_drop(body);
		return;
	}
	if (cap > body->cap) {
		uint8_t *p = realloc(body->p, cap);

		if (!p) {
			mh_http_body_drop(body);
			return;
		}
		body->p = p;
		body->cap = cap;
	}
	memcpy(body->p + body->len, bytes, len);
	body->len += len;
	body->p[body->len] = '\0';
}

bool mh_http_sockaddr(const char *address, struct sockaddr_in *sa)
{
	char ip[64];
	uint16_t port;

	memset(sa, 0, sizeof(*sa));
	if (!mh_address_parse(address, ip, &port))
		return false;
	sa->sin_family = AF_INET;
	sa->sin_port = htons(port);
	return inet_pton(AF_INET, ip, &sa->sin_addr) == 1;
}

static enum MHD_Result reply(struct MHD_Connection *conn, unsigned int status,
			     const char *type, char *text,
			     uint32_t retry_after_ms)
{
	struct MHD_Response *response;
	enum MHD_Result result;
	char value[32];

	response = MHD_create_response_from_buffer(strlen(text), text,
						   MHD_RESPMEM_MUST_FREE);
	if (!response) {
		free(text);
		return MHD_NO;
	}
	MHD_add_response_header(response, "Content-Type", type);
	if (retry_after_ms) {
		snprintf(value, sizeof(value), "%u",
			 (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
		MHD_add_response_header(response, "Retry-After", value);
	}
	result = MHD_queue_response(conn, status, response);
	MHD_destroy_response(response);
	return result;
}

enum MHD_Result mh_http_reply_text(struct MHD_Connection *conn,
				   unsigned int status, const char *type,
				   const char *text)
{
	char *copy = strdup(text);

	return copy ? reply(conn, status, type, copy, 0) : MHD_NO;
}

enum MHD_Result mh_http_reply_json(struct MHD_Connection *conn,
				   unsigned int status, json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT | JSON_ENCODE_ANY);

	json_decref(doc);
	return text ? reply(conn, status, "application/json", text, 0) : MHD_NO;
}

char *mh_problem_text(enum mh_error error, const char *detail,
		      const char *request_id, uint32_t retry_after_ms)
{
	const struct mh_error_info *info = mh_error_info(error);
	char type[96];
	json_t *doc;
	char *text;

	snprintf(type, sizeof(type), "urn:mangohead:error:%s", info->name);
	doc = json_pack("{s:s, s:s, s:i, s:s, s:s}", "type", type, "title",
			info->title, "status", (int)info->status, "kind",
			info->name, "outcome", mh_outcome_name(info->outcome));
	if (detail)
		json_object_set_new(doc, "detail", json_string(detail));
	if (request_id)
		json_object_set_new(doc, "request_id", json_string(request_id));
	if (retry_after_ms)
		json_object_set_new(doc, "retry_after_ms",
				    json_integer(retry_after_ms));
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

enum MHD_Result mh_http_reply_problem(struct MHD_Connection *conn,
				      enum mh_error error, const char *detail,
				      const char *request_id,
				      uint32_t retry_after_ms)
{
	char *text = mh_problem_text(error, detail, request_id, retry_after_ms);

	if (!text)
		return MHD_NO;
	return reply(conn, mh_error_info(error)->status,
		     "application/problem+json", text, retry_after_ms);
}

char *mh_http_counters_text(const struct mh_counters *c)
{
	size_t cap = MH_C_COUNT * METRIC_LINE_BYTES, len = 0;
	char *text = malloc(cap);
	int i;

	if (!text)
		return NULL;
	for (i = 0; i < MH_C_COUNT; i++) {
		const char *name = mh_counter_name((enum mh_counter)i);

		len += (size_t)snprintf(
			text + len, cap - len,
			"# HELP mangohead_%s_total %s\n"
			"# TYPE mangohead_%s_total counter\n"
			"mangohead_%s_total %" PRIu64 "\n",
			name, mh_counter_help((enum mh_counter)i), name, name,
			mh_counter_read(c, (enum mh_counter)i));
	}
	return text;
}
