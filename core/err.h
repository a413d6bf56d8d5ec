/*
 * All error kinds, and the table that maps each of them to the response that
 * the client gets.
 */
#ifndef MH_ERR_H
#define MH_ERR_H

#include <stdbool.h>
#include <stdint.h>

enum mh_error {
	MH_OK = 0,
	MH_ERR_BAD_REQUEST,
	MH_ERR_BODY_TOO_LARGE,
	MH_ERR_UNAUTHORIZED,
	MH_ERR_FORBIDDEN,
	MH_ERR_UNKNOWN_MODEL,
	MH_ERR_UNKNOWN_POOL,
	MH_ERR_NOT_READY,
	MH_ERR_DRAINING,
	MH_ERR_OVERLOADED,
	MH_ERR_ACCOUNT_LIMIT,
	MH_ERR_SHED_FOR_HIGHER_TIER,
	MH_ERR_DEADLINE,
	MH_ERR_LOG_UNAVAILABLE,
	MH_ERR_KEY_REQUIRED,
	MH_ERR_KEY_INVALID,
	MH_ERR_KEY_EXPIRED,
	MH_ERR_KEY_REUSED,
	MH_ERR_DUPLICATE,
	MH_ERR_QUARANTINED,
	MH_ERR_CRASHES_SERVERS,
	MH_ERR_RETRY_BUDGET,
	MH_ERR_NO_ROUTE,
	MH_ERR_HEAD_TOO_LARGE,
	MH_ERR_UNKNOWN_TRANSFER_CODING,
	MH_ERR_UNREACHABLE,
	MH_ERR_NOT_READ,
	MH_ERR_CALLER_GONE,
	/* Refusals by a side, before it dispatches a run. */
	MH_ERR_GRANT_EXPIRED,
	MH_ERR_NOT_FOUND,
	MH_ERR_SIDE_LEAVING,
	/* The run may have started; its outcome is unknown. */
	MH_ERR_LINK_LOST,
	MH_ERR_BACKEND_FAILED,
	MH_ERR_BACKEND_CUT,
	MH_ERR_CORRUPT_ANSWER,
	MH_ERR_TIMEOUT,
	MH_ERR_CANCELLED,
	MH_ERR_INTERNAL,
	MH_ERR_SERVERS_PAUSED,
	/* Not run. */
	MH_ERR_SERVERS_LIMITED,
	MH_ERR_CLIENT_BUDGET,
	MH_ERR_COUNT,
};

/* What is known about the execution of a refused request. */
enum mh_outcome {
	MH_OUTCOME_NOT_RUN,
	MH_OUTCOME_UNKNOWN,
};

/**
 * struct mh_error_info - response that belongs to an error kind
 * @name: stable identifier, used in problem details and in metrics
 * @status: HTTP status code
 * @outcome: what is known about the request's execution
 * @retry: whether the response carries Retry-After
 * @title: one line to be read by people
 */
struct mh_error_info {
	const char *name;
	uint16_t status;
	enum mh_outcome outcome;
	bool retry;
	const char *title;
};

/**
 * mh_error_info() - look up the response for an error kind
 * @err: error kind; a value outside the list maps to MH_ERR_INTERNAL
 *
 * Return: a row of the static table, never NULL.
 */
const struct mh_error_info *mh_error_info(enum mh_error err);

/**
 * mh_outcome_name() - name of an outcome, "not_run" or "outcome_unknown"
 * @outcome: outcome to name
 */
const char *mh_outcome_name(enum mh_outcome outcome);

#endif
