/*
 * Requests that were rejected and whose clients come back: when each was told to,
 * so that it goes before new requests if it comes then, and so that retries are
 * spread over the time at which capacity is expected. Remembers a fixed number of
 * them by their fingerprints.
 */
#ifndef MH_RETURNING_H
#define MH_RETURNING_H

#include <stdbool.h>
#include <stdint.h>

/* How a request arrives. */
enum mh_return {
	MH_RETURN_NONE,	   /* not known as rejected */
	MH_RETURN_EARLY,   /* before the time that its client was told */
	MH_RETURN_ON_TIME, /* at that time, or a little later */
};

/**
 * struct mh_returning_request - a rejected request
 * @fingerprint: equal for equal requests of the same client; 0 is not remembered
 * @lane: number of its queue: retries of one lane are spread
 * @told_ns: when its client was told to come back
 * @target_ns: latest start that meets its target
 */
struct mh_returning_request {
	uint64_t fingerprint;
	uint64_t lane;
	uint64_t told_ns;
	uint64_t target_ns;
};

struct mh_returning;

/**
 * mh_returning_new() - create an empty memory
 */
struct mh_returning *mh_returning_new(void);

/**
 * mh_returning_free() - free a memory
 * @set: memory or NULL
 */
void mh_returning_free(struct mh_returning *set);

/**
 * mh_returning_schedule() - when a rejected request should come back
 * @set: memory
 * @lane: its queue
 * @from_ns: when capacity is expected
 * @until_ns: latest time at which its client comes back
 * @spacing_ns: time in which the capacity serves one request
 *
 * Return: time behind the retries that the lane has scheduled already; from
 * @from_ns on again once they reach @until_ns.
 */
uint64_t mh_returning_schedule(struct mh_returning *set, uint64_t lane,
			       uint64_t from_ns, uint64_t until_ns,
			       uint64_t spacing_ns);

/**
 * mh_returning_add() - remember a rejected request
 * @set: memory
 * @req: request
 * @now_ns: monotonic time
 *
 * The oldest record gives way if there is no room.
 */
void mh_returning_add(struct mh_returning *set,
		      const struct mh_returning_request *req, uint64_t now_ns);

/**
 * mh_returning_take() - a request arrives; its record is dropped
 * @set: memory
 * @fingerprint: its fingerprint
 * @now_ns: monotonic time
 * @req: its record, unless the result is MH_RETURN_NONE
 */
enum mh_return mh_returning_take(struct mh_returning *set, uint64_t fingerprint,
				 uint64_t now_ns,
				 struct mh_returning_request *req);

/**
 * mh_returning_count() - number of requests that are expected back
 * @set: memory
 */
uint32_t mh_returning_count(const struct mh_returning *set);

#endif
