#include "core/slot_request.h"

#include <stdlib.h>
#include <string.h>

#include "core/check_alloc.h"

struct mh_slot_request
mh_slot_request_copy(const struct mh_slot_request *slot_req)
{
	struct mh_slot_request copy = *slot_req;
	uint32_t i;

	copy.service = mh_check_alloc(strdup(slot_req->service));
	copy.account = mh_check_alloc(strdup(slot_req->account));
	copy.parts = NULL;
	if (slot_req->n_parts) {
		size_t len = slot_req->n_parts * sizeof(*slot_req->parts);
		uint64_t *parts = mh_check_alloc(malloc(len));

		memcpy(parts, slot_req->parts, len);
		copy.parts = parts;
	}
	for (i = 0; i < slot_req->n_avoid; i++)
		copy.avoid[i] = mh_check_alloc(strdup(slot_req->avoid[i]));
	return copy;
}

void mh_slot_request_release(struct mh_slot_request *slot_req)
{
	uint32_t i;

	free((char *)slot_req->service);
	free((char *)slot_req->account);
	free((uint64_t *)slot_req->parts);
	for (i = 0; i < slot_req->n_avoid; i++)
		free((char *)slot_req->avoid[i]);
}
