#include "entry/parse.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#define BEARER "Bearer "
#define SERVICE_PREFIX "/svc/"
#define PROMPT_PREFIX_BYTES 512
#define BYTES_PER_TOKEN 4
#define DEFAULT_OUTPUT_TOKENS 256
#define MAX_OUTPUT_TOKENS 1000000
#define MAX_DEADLINE_MS 86400000ul
#define POOL_NAME_BYTES 128

enum string_index {
	STRING_ACCOUNT,
	STRING_POOL,
	STRING_MODEL,
	STRING_METHOD,
	STRING_PATH,
	STRING_CONTENT_TYPE,
};

void mh_sha256_hex(const char *text, char *hex)
{
	uint8_t hash[crypto_hash_sha256_BYTES];

	crypto_hash_sha256(hash, (const uint8_t *)text, strlen(text));
	sodium_bin2hex(hex, 2 * sizeof(hash) + 1, hash, sizeof(hash));
}

const char *mh_bearer_token(const char *authorization)
{
	if (!authorization ||
	    strncasecmp(authorization, BEARER, strlen(BEARER)))
		return NULL;
	return authorization + strlen(BEARER);
}

const struct mh_account *mh_account_authenticate(const struct mh_manifest *m,
						 const char *authorization)
{
	const char *token = mh_bearer_token(authorization);
	char hex[2 * crypto_hash_sha256_BYTES + 1];

	if (!token)
		return NULL;
	/* Only hashes are compared, so timing reveals nothing of the key. */
	mh_sha256_hex(token, hex);
	return mh_manifest_account_by_key(m, hex);
}

static const char *set_string(struct mh_parsed_call *out,
			      enum string_index which, const char *text)
{
	free(out->strings[which]);
	out->strings[which] = strdup(text);
	return out->strings[which];
}

static const char *first_text(const json_t *content)
{
	const json_t *part;

	if (json_is_string(content))
		return json_string_value(content);
	part = json_array_get(content, 0);
	return json_string_value(json_object_get(part, "text"));
}

/* Hashes the start of the prompt, for affinity to servers that cached it. */
static uint64_t prefix_hash(const json_t *doc)
{
	const json_t *message =
		json_array_get(json_object_get(doc, "messages"), 0);
	const char *text = first_text(json_object_get(message, "content"));
	size_t len;

	if (!text)
		text = first_text(json_object_get(doc, "prompt"));
	if (!text)
		return 0;
	len = strlen(text);
	return XXH64(text,
		     len < PROMPT_PREFIX_BYTES ? len : PROMPT_PREFIX_BYTES, 0);
}

static enum mh_error read_output_tokens(const json_t *doc, struct mh_call *call,
					const char **detail)
{
	const json_t *max = json_object_get(doc, "max_completion_tokens");

	if (!max)
		max = json_object_get(doc, "max_tokens");
	call->output_tokens = DEFAULT_OUTPUT_TOKENS;
	if (!max || json_is_null(max))
		return MH_OK;
	if (!json_is_integer(max) || json_integer_value(max) < 1 ||
	    json_integer_value(max) > MAX_OUTPUT_TOKENS) {
		*detail = "max_tokens must be an integer from 1 to 1000000";
		return MH_ERR_BAD_REQUEST;
	}
	call->output_tokens = (uint32_t)json_integer_value(max);
	return MH_OK;
}

static enum mh_error read_model_call(const struct mh_manifest *m,
				     const struct mh_client_request *req,
				     const json_t *doc, bool is_chat,
				     struct mh_parsed_call *out,
				     const char **detail)
{
	const json_t *stream = json_object_get(doc, "stream");
	const char *model = json_string_value(json_object_get(doc, "model"));
	const struct mh_pool *pool;

	if (!json_is_object(doc)) {
		*detail = "the body must be a JSON object";
		return MH_ERR_BAD_REQUEST;
	}
	if (!model) {
		*detail = "model must be a string";
		return MH_ERR_BAD_REQUEST;
	}
	if (stream && !json_is_boolean(stream)) {
		*detail = "stream must be true or false";
		return MH_ERR_BAD_REQUEST;
	}
	if (is_chat && !json_is_array(json_object_get(doc, "messages"))) {
		*detail = "messages must be an array";
		return MH_ERR_BAD_REQUEST;
	}
	if (!is_chat && !json_object_get(doc, "prompt")) {
		*detail = "prompt is missing";
		return MH_ERR_BAD_REQUEST;
	}
	pool = mh_manifest_pool_for_model(m, model);
	if (!pool) {
		*detail = "no pool serves this model";
		return MH_ERR_UNKNOWN_MODEL;
	}
	out->stream = json_is_true(stream);
	out->call.pool = set_string(out, STRING_POOL, pool->name);
	out->call.model = set_string(out, STRING_MODEL, model);
	out->call.path = set_string(out, STRING_PATH, req->uri);
	out->call.prompt_tokens = (uint32_t)(req->body_len / BYTES_PER_TOKEN);
	out->call.prefix_hash = prefix_hash(doc);
	return read_output_tokens(doc, &out->call, detail);
}

static enum mh_error parse_model_call(const struct mh_manifest *m,
				      const struct mh_client_request *req,
				      bool is_chat, struct mh_parsed_call *out,
				      const char **detail)
{
	json_t *doc;
	enum mh_error error;

	if (strcmp(req->method, "POST")) {
		*detail = "the method must be POST";
		return MH_ERR_BAD_REQUEST;
	}
	doc = json_loadb((const char *)req->body, req->body_len, 0, NULL);
	if (!doc) {
		*detail = "the body is not JSON";
		return MH_ERR_BAD_REQUEST;
	}
	error = read_model_call(m, req, doc, is_chat, out, detail);
	json_decref(doc);
	return error;
}

/* Return: the service pool that a path names, or NULL. */
static const struct mh_pool *find_service_pool(const struct mh_manifest *m,
					       const char *uri)
{
	const char *name = uri + strlen(SERVICE_PREFIX);
	size_t len = strcspn(name, "/");
	char pool_name[POOL_NAME_BYTES];
	const struct mh_pool *pool = NULL;

	if (len < sizeof(pool_name)) {
		memcpy(pool_name, name, len);
		pool_name[len] = '\0';
		pool = mh_manifest_pool(m, pool_name);
	}
	return pool && pool->is_service ? pool : NULL;
}

static enum mh_error parse_service_call(const struct mh_manifest *m,
					const struct mh_client_request *req,
					struct mh_parsed_call *out,
					const char **detail)
{
	const struct mh_pool *pool = find_service_pool(m, req->uri);
	const char *rest = strchr(req->uri + strlen(SERVICE_PREFIX), '/');

	if (!pool) {
		*detail = "there is no such service pool";
		return MH_ERR_UNKNOWN_POOL;
	}
	if (!rest)
		rest = "/";
	out->call.pool = set_string(out, STRING_POOL, pool->name);
	out->call.model = set_string(out, STRING_MODEL, "");
	out->call.path = set_string(out, STRING_PATH, rest);
	out->call.prompt_tokens = 1;
	out->call.output_tokens = 1;
	out->call.non_idempotent = !mh_pool_repeatable(pool, req->method, rest);
	return MH_OK;
}

static enum mh_error parse_target(const struct mh_manifest *m,
				  const struct mh_client_request *req,
				  struct mh_parsed_call *out,
				  const char **detail)
{
	if (!strcmp(req->uri, "/v1/chat/completions"))
		return parse_model_call(m, req, true, out, detail);
	if (!strcmp(req->uri, "/v1/completions"))
		return parse_model_call(m, req, false, out, detail);
	if (!strncmp(req->uri, SERVICE_PREFIX, strlen(SERVICE_PREFIX)))
		return parse_service_call(m, req, out, detail);
	*detail = "there is nothing at this path";
	return MH_ERR_NOT_FOUND;
}

static enum mh_error parse_tier(const struct mh_manifest *m,
				const struct mh_account *account,
				const char *header, struct mh_call *call,
				const char **detail)
{
	int tier = account->tier;

	if (header)
		tier = mh_manifest_tier(m, header);
	if (tier < 0) {
		*detail = "X-Tier names no tier";
		return MH_ERR_BAD_REQUEST;
	}
	if (tier < account->tier) {
		*detail = "the contract's highest tier is lower than X-Tier";
		return MH_ERR_FORBIDDEN;
	}
	call->tier = (uint8_t)tier;
	return MH_OK;
}

static enum mh_error parse_deadline(const struct mh_manifest *m,
				    const char *header, uint64_t now_ns,
				    struct mh_call *call, const char **detail)
{
	unsigned long ms = m->tiers[call->tier].deadline_ms;
	char *end;

	if (header) {
		ms = strtoul(header, &end, 10);
		if (!*header || *end || !ms || ms > MAX_DEADLINE_MS) {
			*detail = "X-Deadline-Ms must be from 1 to 86400000";
			return MH_ERR_BAD_REQUEST;
		}
	}
	call->deadline_ns = now_ns + ms * MH_NS_PER_MS;
	return MH_OK;
}

static enum mh_error parse_key(const char *header, struct mh_call *call,
			       const char **detail)
{
	if (!header)
		return MH_OK;
	call->has_key = mh_id_parse(&call->key, header);
	if (call->has_key && mh_id_is_uuidv7(&call->key))
		return MH_OK;
	*detail = "Idempotency-Key must be a UUIDv7";
	return MH_ERR_KEY_INVALID;
}

static void set_fingerprint(const struct mh_client_request *req,
			    struct mh_call *call)
{
	XXH64_hash_t seed = XXH64(req->uri, strlen(req->uri), 0);
	XXH128_hash_t h;

	seed = XXH64(req->method, strlen(req->method), seed);
	h = XXH3_128bits_withSeed(req->body, req->body_len, seed);
	memcpy(call->fingerprint.b, &h.high64, sizeof(h.high64));
	memcpy(call->fingerprint.b + sizeof(h.high64), &h.low64,
	       sizeof(h.low64));
}

static const char no_account[] =
	"Authorization must be Bearer with an account's key";

enum mh_error mh_call_check_head(const struct mh_manifest *m, const char *uri,
				 const char *authorization, const char **detail)
{
	if (!mh_account_authenticate(m, authorization)) {
		*detail = no_account;
		return MH_ERR_UNAUTHORIZED;
	}
	if (!strncmp(uri, SERVICE_PREFIX, strlen(SERVICE_PREFIX))) {
		if (find_service_pool(m, uri))
			return MH_OK;
		*detail = "there is no such service pool";
		return MH_ERR_UNKNOWN_POOL;
	}
	if (!strcmp(uri, "/v1/chat/completions") ||
	    !strcmp(uri, "/v1/completions"))
		return MH_OK;
	*detail = "there is nothing at this path";
	return MH_ERR_NOT_FOUND;
}

enum mh_error mh_call_parse(const struct mh_manifest *m,
			    const struct mh_client_request *req,
			    uint64_t now_ns, struct mh_parsed_call *out,
			    const char **detail)
{
	const struct mh_account *account;
	struct mh_call *call = &out->call;
	enum mh_error error;

	memset(out, 0, sizeof(*out));
	call->id = req->id;
	account = mh_account_authenticate(m, req->authorization);
	if (!account) {
		*detail = no_account;
		return MH_ERR_UNAUTHORIZED;
	}
	call->account = set_string(out, STRING_ACCOUNT, account->name);
	call->share = account->share;
	call->method = set_string(out, STRING_METHOD, req->method);
	call->content_type =
		set_string(out, STRING_CONTENT_TYPE,
			   req->content_type ? req->content_type : "");
	call->body = req->body;
	call->body_len = req->body_len;
	error = parse_target(m, req, out, detail);
	if (!error)
		error = parse_tier(m, account, req->tier, call, detail);
	if (!error)
		error = parse_deadline(m, req->deadline_ms, now_ns, call,
				       detail);
	if (!error)
		error = parse_key(req->key, call, detail);
	if (req->non_idempotent && !strcasecmp(req->non_idempotent, "true"))
		call->non_idempotent = true;
	set_fingerprint(req, call);
	return error;
}

void mh_parsed_call_release(struct mh_parsed_call *parsed)
{
	size_t i;

	for (i = 0; i < sizeof(parsed->strings) / sizeof(parsed->strings[0]);
	     i++)
		free(parsed->strings[i]);
}
