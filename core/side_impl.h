/*
 * Declarations shared by the files of the side's core, not used elsewhere.
 */
#ifndef MH_SIDE_IMPL_H
#define MH_SIDE_IMPL_H

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include <uthash.h>
#include <utlist.h>

#include "core/manifest.h"
#include "core/side.h"

/* The entry relies on this retention; see RUN_ID_TRUST_NS. */
#define MH_RUN_ID_RETENTION_NS (120000 * MH_NS_PER_MS)

enum mh_run_state {
	MH_RUN_RUNNING,
	MH_RUN_ENDED,
};

/* Receiver of a run's response: a link, and the reference used there. */
struct mh_subscriber {
	uint32_t link;
	struct mh_id ref;
	uint32_t next_seq;
	bool head_sent;
	struct mh_subscriber *prev, *next;
};

struct mh_chunk {
	size_t start;
	size_t len;
};

struct mh_run {
	struct mh_run_call call;
	enum mh_run_state state;
	bool non_idempotent;
	bool has_key;
	struct mh_id key_hash;
	struct mh_id fingerprint;
	uint8_t tier;

	uint32_t status;
	char *content_type;
	uint8_t *response;
	size_t response_len;
	size_t response_cap;
	struct mh_chunk *chunks;
	uint32_t n_chunks;
	uint32_t cap_chunks;
	XXH64_state_t hash;
	enum mh_error error;

	bool cancelling;
	uint64_t orphaned_ns; /* when the last subscriber left, or 0 */
	uint64_t ended_ns;
	uint64_t last_data_ns;
	struct mh_subscriber *subscribers;
	UT_hash_handle hh;
	UT_hash_handle hh_key;
};

/* Run id that was used or refused and can't be used again. */
struct mh_run_id_record {
	struct mh_id id;
	bool started;
	uint64_t when_ns;
	UT_hash_handle hh;
};

struct mh_entry_link {
	uint32_t link;
	uint32_t want[MH_MAX_TIERS];
	uint32_t slack_ms[MH_MAX_TIERS];
	uint32_t outstanding;
	bool reports_leaving;
	struct mh_entry_link *prev, *next;
};

struct mh_slot_grant {
	uint64_t id;
	uint32_t link;
	uint64_t expiry_ns;
	struct mh_slot_grant *prev, *next;
};

struct mh_side {
	char host[64];
	struct mh_clock clock;
	struct mh_rng rng;
	const struct mh_side_ops *ops;
	void *data;
	struct mh_counters counters;

	bool draining;
	bool config_draining;
	bool host_leaving;
	bool backend_ok;
	uint64_t config_as_of;
	uint64_t last_contact_ns;
	uint32_t slots;
	uint32_t max_running;
	uint32_t reserve_percent;
	uint32_t keep_ms;
	uint32_t grant_term_ms;

	uint32_t limit;
	uint64_t next_adjust_ns;
	double gap_ns;	    /* moving average of the time between chunks */
	double best_gap_ns; /* its minimum, seen at low load; drifts up */

	uint32_t running;
	struct mh_run *runs;
	struct mh_run *runs_by_key;
	struct mh_run_id_record *seen;
	size_t retained_bytes;
	struct mh_entry_link *links;
	struct mh_slot_grant *grants;
	uint32_t n_grants;
	uint64_t next_ping_ns;
	uint64_t next_sweep_ns;

	struct mh_id *failed; /* fingerprints failed since first_failed_ns */
	size_t n_failed;
	uint64_t first_failed_ns;
};

/* side.c */
uint64_t mh_side_now(struct mh_side *s);
bool mh_side_takes_work(struct mh_side *s);
struct mh_entry_link *mh_side_link(struct mh_side *s, uint32_t link);
void mh_side_broadcast(struct mh_side *s, const Mh__Frame *frame);

/* side_run.c */
void mh_side_on_handover(struct mh_side *s, uint32_t link,
			 const Mh__Handover *msg);
void mh_side_on_attach(struct mh_side *s, uint32_t link, const Mh__Attach *msg);
void mh_side_on_cancel(struct mh_side *s, uint32_t link, const Mh__Cancel *msg);
void mh_side_unsubscribe_link(struct mh_side *s, uint32_t link);
void mh_side_sweep_runs(struct mh_side *s);
void mh_side_free_runs(struct mh_side *s);

/* side_grant.c */
void mh_side_on_want(struct mh_side *s, uint32_t link, const Mh__Want *msg);
void mh_side_on_return(struct mh_side *s, uint32_t link, uint64_t grant_id);
bool mh_side_use_grant(struct mh_side *s, uint32_t link, uint64_t grant_id);
void mh_side_grant_slots(struct mh_side *s);
void mh_side_drop_grants(struct mh_side *s, uint32_t link);
void mh_side_note_gap(struct mh_side *s, uint64_t gap_ns);
void mh_side_adjust_limit(struct mh_side *s);

#endif
