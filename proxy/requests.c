#include "proxy/requests.h"

#include <stdlib.h>
#include <string.h>

#include "core/check_alloc.h"
#include "core/slot_request.h"

struct mh_request *mh_request_add(struct mh_request **all,
				  const struct mh_slot_request *slot_req)
{
	struct mh_request *req = mh_check_alloc(calloc(1, sizeof(*req)));

	req->id = slot_req->id;
	req->slot_req = mh_slot_request_copy(slot_req);
	req->slot_req.owner = 0;
	HASH_ADD(hh, *all, id, sizeof(req->id), req);
	return req;
}

struct mh_request *mh_request_find(struct mh_request *all, uint64_t id)
{
	struct mh_request *req;

	HASH_FIND(hh, all, &id, sizeof(id), req);
	return req;
}

void mh_request_grant(struct mh_request *req,
		      const struct mh_server_ref *server, uint64_t now_ns)
{
	req->server = mh_check_alloc(strdup(server->id));
	req->server_born_ms = server->born_ms;
	req->granted_ns = now_ns;
}

void mh_request_observe_end(const struct mh_request *req,
			    struct mh_observed_crashes *observed,
			    enum mh_slot_outcome outcome, uint64_t now_ns)
{
	struct mh_server_ref server = { req->server, "", req->server_born_ms };
	struct mh_observed_run run = { &req->slot_req, &server, req->granted_ns,
				       req->responded_ns };

	if (req->server)
		mh_observed_crashes_end(observed, &run, outcome, now_ns);
}

void mh_request_free(struct mh_request **all, struct mh_request *req)
{
	HASH_DEL(*all, req);
	mh_slot_request_release(&req->slot_req);
	free(req->server);
	free(req);
}
