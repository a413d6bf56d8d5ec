/*
 * Internal definitions that the parts of the entry's core share.
 */
#ifndef MH_ENTRY_IMPL_H
#define MH_ENTRY_IMPL_H

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include <uthash.h>
#include <utlist.h>

#include "core/claims.h"
#include "core/entry.h"
#include "core/heap.h"
#include "core/wait_queue.h"

#define MH_HOST_NAME_BYTES 64
#define MH_MAX_PREFERRED 2
#define MH_MAX_ENTRIES 512

enum mh_req_state {
	MH_REQ_FOLLOW, /* waits for the leader, a local request of its key */
	MH_REQ_FIND,   /* asks the sides for a run of the same key */
	MH_REQ_CLAIM,  /* its claim is not yet decided by the log */
	MH_REQ_ADMIT,  /* over the limit, peers are asked to yield */
	MH_REQ_WAIT,   /* in a wait queue */
	MH_REQ_SENT,   /* handed over to a side, or attached to a run */
	MH_REQ_LOST,   /* link to its side lost, waits for the reconnect */
};

struct mh_server;

/*
 * A call and its state in the core. While it waits, it counts as demand on its
 * @preferred servers, or, once @wide is set, on all servers that serve it.
 */
struct mh_req {
	struct mh_call *call;
	enum mh_req_state state;
	uint64_t prefix_hash;
	struct mh_waiter waiter;
	struct mh_wait_queue *wait_queue;
	struct mh_server *preferred[MH_MAX_PREFERRED];
	bool wide;

	/* The run; @ref names the subscription to it in frames. */
	struct mh_id ref;
	bool attached; /* joined a run by its key, without a hand-over */
	struct mh_server *server;
	char server_host[MH_HOST_NAME_BYTES];
	uint64_t server_incarnation;
	uint64_t sent_ns;
	uint64_t head_ns;
	uint64_t heard_ns;
	uint64_t gap_poll_ns;
	bool head_seen;
	uint32_t next_seq;
	XXH64_state_t hash;
	uint32_t find_pending; /* sides that have not replied to MH_REQ_FIND */

	/* The claim on the idempotency key. */
	struct mh_id key_hash;
	uint64_t claim_owner;
	bool claim_held;
	bool claim_lost;
	bool claim_retried;
	bool asks_give_way;

	uint64_t due_ns;
	uint32_t due_index;
	bool is_leader;
	UT_hash_handle hh_call;
	UT_hash_handle hh_ref;
	UT_hash_handle hh_leader;
	UT_hash_handle hh_owner;
	struct mh_req *prev, *next; /* in followers or an admission queue */
	struct mh_req *leader;
	struct mh_req *followers;
};

/* A backend server, reached over the link to its side. */
struct mh_server {
	char host[MH_HOST_NAME_BYTES];
	uint64_t incarnation;
	uint32_t link;
	bool up;
	bool leaving; /* according to the side's pings */
	char *pool;
	char **models;
	size_t n_models;
	uint32_t running;
	uint32_t n_preferring[MH_MAX_TIERS];
	uint32_t want_sent[MH_MAX_TIERS];
	bool want_sent_valid; /* the side still holds @want_sent */
	bool want_dirty;
	uint64_t want_sent_ns;
	uint64_t config_sent_offset;
	struct mh_server *prev, *next;
};

/* Another entry host. */
struct mh_peer {
	char host[MH_HOST_NAME_BYTES];
	uint32_t link;
	bool up;
	bool listed; /* on the host list: has to confirm even if not linked */
	struct mh_peer *prev, *next;
};

/*
 * State of the request to yield that was sent to a peer. The peer has confirmed
 * that no lower tier waits there until @none_lower_until_ns.
 */
struct mh_yield_state {
	struct mh_peer *peer;
	uint64_t ask_id;
	uint64_t sent_ns;
	uint64_t none_lower_until_ns;
	uint32_t term_ms;
	bool outstanding;
	struct mh_yield_state *prev, *next;
};

/* Requests of one tier that wait for admission to a full pool. */
struct mh_admission_queue {
	char *pool;
	uint8_t tier;
	struct mh_yield_state *yield_states;
	struct mh_req *reqs;
	uint32_t n_reqs;
	struct mh_admission_queue *prev, *next;
};

/* A peer's request to yield that was not replied to yet. */
struct mh_yield_request {
	uint32_t link;
	uint64_t ask_id;
	char *pool;
	uint8_t tier;
	uint32_t term_ms;
	uint32_t count;
	uint32_t shed;
	struct mh_yield_request *prev, *next;
};

/* Per tier: time until which the tiers below it are not admitted to a pool. */
struct mh_pool_floor {
	char *pool;
	uint64_t until_ns[MH_MAX_TIERS];
	struct mh_pool_floor *prev, *next;
};

/*
 * Crashes that a request with this fingerprint may have caused. The ids of the
 * last two are kept, since peers relay reports and one may arrive twice.
 */
struct mh_suspicion {
	struct mh_id fingerprint;
	uint64_t events[2];
	uint32_t count;
	uint64_t seen_ns;
	UT_hash_handle hh;
};

struct mh_host_row {
	char name[MH_HOST_NAME_BYTES];
	bool is_entry;
	enum mh_host_state state;
	UT_hash_handle hh;
};

struct mh_account_load {
	char *account;
	uint32_t open;
	UT_hash_handle hh;
};

struct mh_entry {
	char host[MH_HOST_NAME_BYTES];
	struct mh_clock clock;
	struct mh_rng rng;
	const struct mh_entry_ops *ops;
	void *data;
	const struct mh_policy_ops *policy;
	struct mh_counters counters;
	bool draining;

	struct mh_config_state *config;
	/* Of a log that lost its last records, until it has caught up. */
	struct mh_config_state *replay;
	uint64_t store_era;
	uint64_t rewrite_ns; /* when to write again what the log lost, or 0 */
	uint64_t claims_settled_ns;
	struct mh_claims *claims;
	uint64_t claims_next_offset;
	uint64_t claims_complete_since_ms;
	bool claims_truncated;
	uint32_t key_window_s;
	bool claims_started;
	bool log_up;
	struct mh_claim batch[MH_CLAIM_BATCH_MAX];
	size_t n_batch;
	uint64_t next_append_ns;
	uint64_t append_locally_until_ns;
	uint64_t next_snapshot_ms;

	struct mh_req *by_call;
	struct mh_req *by_ref;
	struct mh_req *leaders;
	struct mh_req *by_owner;
	struct mh_heap due;
	struct mh_wait_queue **wait_queues;
	size_t n_wait_queues;
	struct mh_server *servers;
	bool wants_dirty;
	uint64_t next_want_scan_ns;
	struct mh_peer *peers;
	struct mh_admission_queue *admission_queues;
	struct mh_yield_request *yield_requests;
	struct mh_pool_floor *floors;
	struct mh_suspicion *suspicions;
	struct mh_host_row *hosts;
	uint32_t n_entries;
	struct mh_account_load *loads;
	uint64_t next_ask_id;
	uint64_t next_ping_ns;
};

/* entry.c */
uint64_t mh_entry_now(struct mh_entry *e);
void mh_entry_set_due(struct mh_entry *e, struct mh_req *req, uint64_t due_ns);
void mh_entry_refuse(struct mh_entry *e, struct mh_req *req,
		     enum mh_error error);
void mh_entry_remove_req(struct mh_entry *e, struct mh_req *req);
void mh_entry_send(struct mh_entry *e, uint32_t link, const Mh__Frame *frame);
const struct mh_manifest *mh_entry_manifest(const struct mh_entry *e);

/* entry_queue.c */
void mh_server_want_changed(struct mh_entry *e, struct mh_server *s);

/* entry_net.c */
bool mh_server_takes_work(const struct mh_entry *e, const struct mh_server *s);
void mh_entry_write_snapshot(struct mh_entry *e);
void mh_entry_send_pings(struct mh_entry *e, uint64_t now);
void mh_entry_free_hosts(struct mh_entry *e);

/* entry_claim.c */
void mh_entry_claim(struct mh_entry *e, struct mh_req *req);
void mh_entry_release_claim(struct mh_entry *e, struct mh_req *req);
void mh_entry_set_key_window(struct mh_entry *e, uint32_t window_s);
void mh_entry_flush_claims(struct mh_entry *e);
void mh_entry_retry_claim(struct mh_entry *e, struct mh_req *req);
void mh_entry_on_claims(struct mh_entry *e, const Mh__Claims *msg);
enum mh_error mh_entry_check_key(struct mh_entry *e,
				 const struct mh_call *call);
bool mh_entry_claim_is_valid(struct mh_entry *e, const struct mh_req *req);

/* entry_yield.c */
void mh_entry_enter_admission(struct mh_entry *e, struct mh_req *req);
bool mh_entry_below_floor(struct mh_entry *e, const char *pool, uint8_t tier);
bool mh_entry_try_shed(struct mh_entry *e, const char *pool, uint8_t tier,
		       uint32_t need);
void mh_entry_free_admissions(struct mh_entry *e);

/* entry_queue.c, entry_yield.c */
bool mh_entry_has_room(struct mh_entry *e, const struct mh_req *req);
void mh_entry_enter_wait_queue(struct mh_entry *e, struct mh_req *req);
struct mh_waiter *mh_entry_victim(struct mh_entry *e, const char *pool,
				  uint8_t tier);
void mh_entry_admit(struct mh_entry *e, struct mh_req *req);
void mh_entry_leave_wait_queue(struct mh_entry *e, struct mh_req *req,
			       bool served);
void mh_entry_raise_tier(struct mh_entry *e, struct mh_req *req, uint8_t tier);
void mh_entry_widen(struct mh_entry *e, struct mh_req *req);
void mh_entry_leave_admission(struct mh_entry *e, struct mh_req *req);
void mh_entry_resolve_admissions(struct mh_entry *e);
void mh_entry_flush_wants(struct mh_entry *e);
void mh_entry_on_give_way(struct mh_entry *e, uint32_t link,
			  const Mh__GiveWay *msg);
void mh_entry_on_gave(struct mh_entry *e, const Mh__Gave *msg);
struct mh_req *mh_entry_next_req(struct mh_entry *e, const struct mh_server *s,
				 uint8_t lowest_tier);
bool mh_server_serves(const struct mh_server *s, const char *pool,
		      const char *model);
void mh_entry_free_queues(struct mh_entry *e);
void mh_entry_peer_down(struct mh_entry *e, struct mh_peer *peer);

/* entry_run.c */
void mh_entry_on_grant(struct mh_entry *e, struct mh_server *s,
		       const Mh__Grant *msg);
void mh_entry_find_run(struct mh_entry *e, struct mh_req *req);
void mh_entry_find_run_done(struct mh_entry *e, struct mh_req *req);
void mh_entry_join_leader(struct mh_entry *e, struct mh_req *req);
void mh_entry_poll_run(struct mh_entry *e, struct mh_req *req);
void mh_entry_on_refused(struct mh_entry *e, struct mh_server *s,
			 const Mh__Refused *msg);
void mh_entry_on_head(struct mh_entry *e, struct mh_server *s,
		      const Mh__Head *msg);
void mh_entry_on_data(struct mh_entry *e, struct mh_server *s,
		      const Mh__Data *msg);
void mh_entry_on_end(struct mh_entry *e, struct mh_server *s,
		     const Mh__End *msg);
void mh_entry_leave_server(struct mh_entry *e, struct mh_req *req,
			   bool send_cancel);
void mh_entry_server_down(struct mh_entry *e, struct mh_server *s);
void mh_entry_server_up(struct mh_entry *e, struct mh_server *s);

/* entry_suspect.c */
void mh_entry_on_suspect(struct mh_entry *e, uint32_t from_link,
			 const Mh__Suspect *msg);
void mh_entry_send_suspicions(struct mh_entry *e, uint32_t link);
bool mh_entry_quarantined(struct mh_entry *e, const struct mh_id *fingerprint);
void mh_entry_clear_suspicion(struct mh_entry *e,
			      const struct mh_id *fingerprint);

/* entry_rewind.c */
/* Position in the configuration topic, comparable between processes and eras. */
uint64_t mh_entry_config_position(const struct mh_entry *e);
/* Return: whether a position is of the era that this entry knows. */
bool mh_entry_is_position_of_era(const struct mh_entry *e, uint64_t position,
				 uint64_t *offset);
/* Whether a claim can be made and its outcome trusted. */
bool mh_entry_claims_usable(struct mh_entry *e);
void mh_entry_end_replay(struct mh_entry *e);
void mh_entry_rewrite_lost(struct mh_entry *e);

#endif
