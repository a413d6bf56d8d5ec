/*
 * Copies of slot requests that own their strings and lists.
 */
#ifndef MH_SLOT_REQUEST_H
#define MH_SLOT_REQUEST_H

#include "core/dispatch.h"

/**
 * mh_slot_request_copy() - copy a request and all that it refers to
 * @slot_req: request
 *
 * Return: copy, to be released.
 */
struct mh_slot_request
mh_slot_request_copy(const struct mh_slot_request *slot_req);

/**
 * mh_slot_request_release() - free what a copy owns
 * @slot_req: copy
 */
void mh_slot_request_release(struct mh_slot_request *slot_req);

#endif
