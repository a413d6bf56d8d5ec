#include "core/err.h"

#define NOT_RUN MH_OUTCOME_NOT_RUN
#define UNKNOWN MH_OUTCOME_UNKNOWN

static const struct mh_error_info table[MH_ERR_COUNT] = {
	[MH_OK] = { "ok", 200, NOT_RUN, false, "Success" },
	[MH_ERR_BAD_REQUEST] = { "bad_request", 400, NOT_RUN, false,
				 "The request is malformed" },
	[MH_ERR_BODY_TOO_LARGE] = { "body_too_large", 413, NOT_RUN, false,
				    "The body exceeds the limit" },
	[MH_ERR_UNAUTHORIZED] = { "unauthorized", 401, NOT_RUN, false,
				  "The key is missing or unknown" },
	[MH_ERR_FORBIDDEN] = { "forbidden", 403, NOT_RUN, false,
			       "The contract does not allow this" },
	[MH_ERR_UNKNOWN_MODEL] = { "unknown_model", 404, NOT_RUN, false,
				   "No pool serves this model" },
	[MH_ERR_UNKNOWN_POOL] = { "unknown_pool", 404, NOT_RUN, false,
				  "There is no such service pool" },
	[MH_ERR_NOT_READY] = { "not_ready", 503, NOT_RUN, true,
			       "No configuration is held yet" },
	[MH_ERR_DRAINING] = { "draining", 503, NOT_RUN, true,
			      "This entry host is shutting down" },
	[MH_ERR_OVERLOADED] = { "overloaded", 503, NOT_RUN, true,
				"The pool has no room" },
	[MH_ERR_ACCOUNT_LIMIT] = { "account_limit", 429, NOT_RUN, true,
				   "The account's limit is reached" },
	[MH_ERR_SHED_FOR_HIGHER_TIER] = { "shed_for_higher_tier", 503, NOT_RUN,
					  true, "Gave way to a higher tier" },
	[MH_ERR_DEADLINE] = { "deadline_exceeded", 504, NOT_RUN, true,
			      "Could not be started in time" },
	[MH_ERR_LOG_UNAVAILABLE] = { "log_unavailable", 503, NOT_RUN, true,
				     "Claims can't be recorded at present" },
	[MH_ERR_KEY_REQUIRED] = { "idempotency_key_required", 400, NOT_RUN,
				  false, "A non-idempotent call needs a key" },
	[MH_ERR_KEY_INVALID] = { "idempotency_key_invalid", 400, NOT_RUN, false,
				 "The key is not a UUIDv7" },
	[MH_ERR_KEY_EXPIRED] = { "idempotency_key_expired", 409, UNKNOWN, false,
				 "The key is outside the window" },
	[MH_ERR_KEY_REUSED] = { "idempotency_key_reused", 422, NOT_RUN, false,
				"The key belongs to another request" },
	[MH_ERR_DUPLICATE] = { "duplicate", 409, UNKNOWN, false,
			       "Another request holds this key" },
	[MH_ERR_QUARANTINED] = { "quarantined", 422, NOT_RUN, false,
				 "This request is suspected of "
				 "crashing backend servers" },
	[MH_ERR_CRASHES_SERVERS] = { "crashes_servers", 503, NOT_RUN, false,
				     "Backend servers went down each time "
				     "they ran this request" },
	[MH_ERR_RETRY_BUDGET] = { "retry_budget", 503, NOT_RUN, true,
				  "No server took it, and too many requests "
				  "are being sent again" },
	[MH_ERR_NO_ROUTE] = { "no_route", 404, NOT_RUN, false,
			      "No route has this host and path" },
	[MH_ERR_HEAD_TOO_LARGE] = { "head_too_large", 431, NOT_RUN, false,
				    "The header fields exceed the limit" },
	[MH_ERR_UNKNOWN_TRANSFER_CODING] = { "unknown_transfer_coding", 501,
					     NOT_RUN, false,
					     "The transfer coding is not supported" },
	[MH_ERR_UNREACHABLE] = { "unreachable", 503, NOT_RUN, true,
				 "No backend server could be reached" },
	[MH_ERR_NOT_READ] = { "not_read", 408, NOT_RUN, false,
			      "The request did not arrive in time" },
	[MH_ERR_CALLER_GONE] = { "caller_gone", 499, NOT_RUN, false,
				 "The caller closed the connection" },
	[MH_ERR_GRANT_EXPIRED] = { "grant_expired", 503, NOT_RUN, true,
				   "The grant was used after its term" },
	[MH_ERR_NOT_FOUND] = { "not_found", 404, NOT_RUN, false,
			       "No such run" },
	[MH_ERR_SIDE_LEAVING] = { "server_leaving", 503, NOT_RUN, true,
				  "The backend server is leaving" },
	[MH_ERR_LINK_LOST] = { "link_lost", 502, UNKNOWN, false,
			       "Lost contact with the backend server" },
	[MH_ERR_BACKEND_FAILED] = { "backend_failed", 502, UNKNOWN, false,
				    "The backend server failed" },
	[MH_ERR_BACKEND_CUT] = { "backend_cut", 502, UNKNOWN, false,
				 "The backend server cut the answer" },
	[MH_ERR_CORRUPT_ANSWER] = { "corrupt_answer", 502, UNKNOWN, false,
				    "The answer failed its check" },
	[MH_ERR_TIMEOUT] = { "timeout", 504, UNKNOWN, false,
			     "The backend server did not finish in time" },
	[MH_ERR_CANCELLED] = { "cancelled", 499, UNKNOWN, false,
			       "The request was cancelled" },
	[MH_ERR_INTERNAL] = { "internal", 500, UNKNOWN, false,
			      "Internal error" },
	[MH_ERR_SERVERS_PAUSED] = { "servers_paused", 503, NOT_RUN, true,
				    "All backend servers asked for a pause" },
	[MH_ERR_SERVERS_LIMITED] = { "servers_limited", 503, NOT_RUN, true,
				     "All backend servers limit the requests "
				     "that they take" },
	[MH_ERR_CLIENT_BUDGET] = { "client_budget", 503, NOT_RUN, true,
				   "This host holds too much for clients" },
};

const struct mh_error_info *mh_error_info(enum mh_error err)
{
	if ((unsigned int)err >= MH_ERR_COUNT)
		err = MH_ERR_INTERNAL;
	return &table[err];
}

const char *mh_outcome_name(enum mh_outcome outcome)
{
	return outcome == MH_OUTCOME_NOT_RUN ? "not_run" : "outcome_unknown";
}
