/*
 * Quarantine of requests that are suspected of crashing backend servers, by
 * fingerprint.
 */
#include <stdlib.h>
#include <string.h>

#include "core/entry_impl.h"

#define SUSPICIONS_TO_QUARANTINE 2
#define SUSPICION_TTL_NS (600ull * 1000 * MH_NS_PER_MS)

static struct mh_suspicion *find_suspicion(struct mh_entry *e,
					   const struct mh_id *fp)
{
	struct mh_suspicion *sus;

	HASH_FIND(hh, e->suspicions, fp, sizeof(*fp), sus);
	if (!sus || mh_entry_now(e) < sus->seen_ns + SUSPICION_TTL_NS)
		return sus;
	HASH_DEL(e->suspicions, sus);
	free(sus);
	return NULL;
}

/* Return: whether the event was new. */
static bool add_suspicion(struct mh_entry *e, const struct mh_id *fp,
			  uint64_t event)
{
	struct mh_suspicion *sus = find_suspicion(e, fp);

	if (sus && (sus->events[0] == event || sus->events[1] == event))
		return false;
	if (!sus) {
		sus = calloc(1, sizeof(*sus));
		if (!sus)
			return false;
		sus->fingerprint = *fp;
		HASH_ADD(hh, e->suspicions, fingerprint, sizeof(*fp), sus);
	}
	sus->events[sus->count++ % 2] = event;
	sus->seen_ns = mh_entry_now(e);
	mh_count(&e->counters, MH_C_SUSPECTS);
	return true;
}

/* Return: whether a suspicion was cleared; a quarantine stays. */
static bool clear_suspicion(struct mh_entry *e, const struct mh_id *fp)
{
	struct mh_suspicion *sus = find_suspicion(e, fp);

	if (!sus || sus->count >= SUSPICIONS_TO_QUARANTINE)
		return false;
	HASH_DEL(e->suspicions, sus);
	free(sus);
	return true;
}

static void relay_suspicion(struct mh_entry *e, uint32_t from_link,
			    const Mh__Suspect *msg)
{
	Mh__Frame frame = MH__FRAME__INIT;
	struct mh_peer *p;

	frame.body_case = MH__FRAME__BODY_SUSPECT;
	frame.suspect = (Mh__Suspect *)msg;
	DL_FOREACH(e->peers, p) {
		if (p->up && p->link != from_link)
			mh_entry_send(e, p->link, &frame);
	}
}

void mh_entry_on_suspect(struct mh_entry *e, uint32_t from_link,
			 const Mh__Suspect *msg)
{
	bool changed = false;
	size_t i;

	for (i = 0; i < msg->n_fingerprint; i++) {
		struct mh_id fp;

		if (!mh_id_from_bytes(&fp, msg->fingerprint[i].data,
				      msg->fingerprint[i].len))
			continue;
		if (msg->cleared)
			changed |= clear_suspicion(e, &fp);
		else
			changed |= add_suspicion(e, &fp, msg->event);
	}
	if (changed)
		relay_suspicion(e, from_link, msg);
}

void mh_entry_send_suspicions(struct mh_entry *e, uint32_t link)
{
	Mh__Suspect msg = MH__SUSPECT__INIT;
	Mh__Frame frame = MH__FRAME__INIT;
	struct mh_suspicion *sus, *tmp;
	ProtobufCBinaryData field;
	uint32_t i;

	msg.n_fingerprint = 1;
	msg.fingerprint = &field;
	frame.body_case = MH__FRAME__BODY_SUSPECT;
	frame.suspect = &msg;
	HASH_ITER(hh, e->suspicions, sus, tmp) {
		field = mh_id_field(&sus->fingerprint);
		for (i = 0; i < sus->count && i < SUSPICIONS_TO_QUARANTINE;
		     i++) {
			msg.event = sus->events[i];
			mh_entry_send(e, link, &frame);
		}
	}
}

bool mh_entry_quarantined(struct mh_entry *e, const struct mh_id *fp)
{
	struct mh_suspicion *sus = find_suspicion(e, fp);
	struct mh_req *req, *tmp;

	if (!sus)
		return false;
	if (sus->count >= SUSPICIONS_TO_QUARANTINE)
		return true;
	/* A suspected request runs on one server at a time. */
	HASH_ITER(hh_call, e->by_call, req, tmp) {
		if (req->server && !req->attached &&
		    mh_id_equal(&req->call->fingerprint, fp))
			return true;
	}
	return false;
}

void mh_entry_clear_suspicion(struct mh_entry *e, const struct mh_id *fp)
{
	Mh__Suspect msg = MH__SUSPECT__INIT;
	ProtobufCBinaryData field;

	if (!clear_suspicion(e, fp))
		return;
	field = mh_id_field(fp);
	msg.n_fingerprint = 1;
	msg.fingerprint = &field;
	msg.cleared = true;
	relay_suspicion(e, 0, &msg);
}
