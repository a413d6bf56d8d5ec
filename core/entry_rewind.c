/*
 * What an entry does when the platform's store comes back from an older copy: it
 * keeps the configuration and the claims that it knows, writes again what the log
 * lost, and refuses non-idempotent calls until the other entries had time for it
 * too.
 */
#include <stdlib.h>
#include <string.h>

#include "core/entry_impl.h"
#include "core/store_era.h"

/* Other entries notice the new era by the end of a read, write what they know
 * within the time below, and this entry reads it. */
#define CLAIMS_SETTLE_NS (3000 * MH_NS_PER_MS)
/* The log is read again first. Entries do not all write at the same moment. */
#define REWRITE_DELAY_NS (500 * MH_NS_PER_MS)
#define REWRITE_SPREAD_NS (MH_ERA_REWRITE_SPREAD_MS * MH_NS_PER_MS)
/* Bits of an offset in a position. */
#define OFFSET_BITS 40

uint64_t mh_entry_config_position(const struct mh_entry *e)
{
	const struct mh_config_state *cs = e->replay ? e->replay : e->config;

	return e->store_era << OFFSET_BITS | mh_config_state_next_offset(cs);
}

bool mh_entry_is_position_of_era(const struct mh_entry *e, uint64_t position,
				 uint64_t *offset)
{
	*offset = position & ((1ull << OFFSET_BITS) - 1);
	return position >> OFFSET_BITS == e->store_era;
}

bool mh_entry_claims_usable(struct mh_entry *e)
{
	return e->log_up && e->claims_started &&
	       mh_entry_now(e) >= e->claims_settled_ns;
}

void mh_entry_set_store_era(struct mh_entry *e, uint64_t era)
{
	struct mh_req *req, *tmp;

	if (era == e->store_era)
		return;
	/* At a start as well: nothing tells how old the era is. */
	e->claims_settled_ns = mh_entry_now(e) + CLAIMS_SETTLE_NS;
	e->store_era = era;
	HASH_ITER(hh_call, e->by_call, req, tmp) {
		/* The next tick refuses it. */
		if (req->state == MH_REQ_CLAIM)
			mh_entry_set_due(e, req, 0);
	}
}

void mh_entry_store_rewound(struct mh_entry *e, uint64_t era)
{
	mh_entry_set_store_era(e, era);
	mh_config_state_free(e->replay);
	e->replay = mh_config_state_new();
	if (!e->replay)
		abort();
	mh_claims_rewind(e->claims);
	e->claims_next_offset = 0;
	e->rewrite_ns = mh_entry_now(e) + REWRITE_DELAY_NS +
			mh_rng_next(&e->rng) % REWRITE_SPREAD_NS;
}

void mh_entry_end_replay(struct mh_entry *e)
{
	/* Nobody uses the manifests that it goes through. */
	mh_manifest_free(mh_config_state_take_replaced(e->replay));
	if (mh_config_state_version(e->replay) <
	    mh_config_state_version(e->config))
		return;
	mh_config_state_take_over(e->config, e->replay);
	e->replay = NULL;
}

static void rewrite_manifest(struct mh_entry *e)
{
	char *text;

	if (!e->replay || !mh_entry_manifest(e))
		return;
	text = mh_config_state_snapshot(e->config,
					mh_config_state_next_offset(e->replay));
	if (text)
		e->ops->append_config(e->data, text, strlen(text));
	free(text);
}

void mh_entry_rewrite_lost(struct mh_entry *e)
{
	size_t room = MH_CLAIM_BATCH_MAX - e->n_batch;

	if (!e->rewrite_ns || !e->log_up || mh_entry_now(e) < e->rewrite_ns)
		return;
	e->n_batch +=
		mh_claims_take_lost(e->claims, &e->batch[e->n_batch], room);
	/* More of them fit into the next batch. */
	if (e->n_batch == MH_CLAIM_BATCH_MAX)
		return;
	e->rewrite_ns = 0;
	rewrite_manifest(e);
}
