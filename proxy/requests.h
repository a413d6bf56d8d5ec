/*
 * Requests of an entry that wait for a slot or hold one.
 */
#ifndef MH_REQUESTS_H
#define MH_REQUESTS_H

#include <uthash.h>

#include "core/dispatch.h"
#include "core/observed_crashes.h"

/**
 * struct mh_request - a request that waits for a slot or holds one
 * @id: request
 * @slot_req: a copy
 * @server: where it has a slot, NULL while it waits
 * @server_born_ms: as in struct mh_server_ref
 * @granted_ns: monotonic time at which it got the slot
 * @responded_ns: monotonic time at which the response began, 0 if none did
 */
struct mh_request {
	uint64_t id;
	struct mh_slot_request slot_req;
	char *server;
	uint64_t server_born_ms;
	uint64_t granted_ns;
	uint64_t responded_ns;
	UT_hash_handle hh;
};

/**
 * mh_request_add() - add a request that waits
 * @all: hash table, changed
 * @slot_req: request, copied
 *
 * Return: request.
 */
struct mh_request *mh_request_add(struct mh_request **all,
				  const struct mh_slot_request *slot_req);

/**
 * mh_request_find() - find a request
 * @all: hash table
 * @id: request
 *
 * Return: NULL if there is none.
 */
struct mh_request *mh_request_find(struct mh_request *all, uint64_t id);

/**
 * mh_request_grant() - note that a request got its slot
 * @req: request
 * @server: server, copied
 * @now_ns: monotonic time
 */
void mh_request_grant(struct mh_request *req,
		      const struct mh_server_ref *server, uint64_t now_ns);

/**
 * mh_request_observe_end() - record how the run in a slot ended
 * @req: request; nothing is recorded if it has no slot
 * @observed: record
 * @outcome: how it ended
 * @now_ns: monotonic time
 */
void mh_request_observe_end(const struct mh_request *req,
			    struct mh_observed_crashes *observed,
			    enum mh_slot_outcome outcome, uint64_t now_ns);

/**
 * mh_request_free() - remove a request and free it
 * @all: hash table, changed
 * @req: request
 */
void mh_request_free(struct mh_request **all, struct mh_request *req);

#endif
