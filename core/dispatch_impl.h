/*
 * Internals of the dispatcher, shared by its source files only.
 */
#ifndef MH_DISPATCH_IMPL_H
#define MH_DISPATCH_IMPL_H

#include <uthash.h>

#include "core/account_share.h"
#include "core/check_alloc.h"
#include "core/dispatch.h"
#include "core/heap.h"
#include "core/hedge.h"
#include "core/open_runs.h"
#include "core/quantile.h"
#include "core/returning.h"
#include "core/rollout.h"
#include "core/send_window.h"
#include "core/server_pace.h"
#include "core/sliding_window.h"
#include "core/suspects.h"

/* Bounds of the delay after which a refused client is asked to retry. The upper
 * one is a third of the longest deadline of a request, beyond which clients
 * don't wait. */
#define MH_RETRY_AFTER_MIN_MS 150
#define MH_RETRY_AFTER_MAX_MS 3000

struct request_key {
	uint64_t id;
	uint64_t owner;
};

/* A request that waits for a slot or has one. */
struct request {
	struct request_key key;
	struct pool *pool;
	struct server *server; /* NULL while it waits */
	char *account;
	uint8_t tier;
	uint32_t units;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint32_t expected_tokens;
	uint64_t target_ns; /* latest start that meets the target */
	uint64_t start_by_ns;
	uint64_t deadline_ns;
	struct mh_features *features;
	uint64_t requested_ns;
	uint64_t placed_ns;
	bool late;
	bool answering; /* its first byte was received */
	uint64_t answered_ns;
	uint32_t first_ms;	      /* from sending it to the first byte */
	uint32_t events;	      /* of the response, once it has ended */
	bool is_open;		      /* its run may crash its server yet */
	bool is_counted;	      /* as an open run */
	struct mh_feature_set trials; /* features on trial in its run */
	bool survived_briefly; /* its server lived on for SETTLE_NS, at least */
	bool parked;
	uint64_t limited_ns; /* since when limits alone keep it waiting, or 0 */
	bool has_returned;   /* it was rejected before */
	bool is_returning;   /* and came back at the time that it was told */
	uint64_t kind;
	bool is_first_try;
	bool is_hedged;		/* it has or had a second slot */
	uint32_t attempt_units; /* that an attempt costs its account */
	bool is_repeatable;
	bool has_waiting_retry; /* counted as such in the retry window */
	bool over_quota;	/* served from spare slots only */
	uint32_t n_avoid;
	uint64_t avoid[MH_AVOID_MAX]; /* hashes of server ids */
	/* Of its server, until the roll-out is told the outcome, or NULL. */
	char *version;
	double first_byte_ratio; /* 0 if there is none to judge by */
	uint32_t heap_index;
	uint32_t share_index; /* in its account's heap */
	double share_vtime;   /* charged to its account */
	/* List of the server's requests, or of the parked ones. */
	struct request *prev, *next;
	UT_hash_handle hh;
};

/* A run that has ended, and that its server may have crashed by. */
struct ended_run {
	struct mh_features *features; /* NULL: unused element, the last one */
	uint64_t placed_ns;
	uint64_t ended_ns;
};

#define MAX_ENDED_RUNS 16

/* A run that ended well, though its server may crash by it yet. */
struct undecided_run {
	struct mh_features *features;
	uint64_t placed_ns;
	uint64_t due_ns; /* a sign of life from then on proves that it did */
	bool survived_briefly; /* the server did, for a shorter time at least */
	struct undecided_run *prev, *next;
};

/* A server wants no requests of an entry until then. */
struct pause {
	uint32_t owner;
	uint64_t until_ns;
	struct pause *prev, *next;
};

struct server {
	struct mh_backend_server info; /* owns its strings */
	struct pool *pool;
	uint64_t id_hash;
	bool takes_work;
	bool is_doubtful;
	bool vanished;	 /* its registration ended, and it was not draining */
	bool is_leaving; /* it said so in a response */
	struct pause *pauses;
	struct mh_server_limit limit;
	uint64_t limited_ns;	     /* when a limit was last in force */
	struct mh_send_window sends; /* counted also without a limit */
	uint32_t held;
	uint32_t unanswered; /* held requests without a first byte */
	struct request *requests;
	/* Mean time of its runs relative to the expected one, 1 is normal. */
	double latency_ratio;
	struct mh_server_pace pace;
	/* Share of failed runs, exponential moving average over runs. */
	double failure_rate;
	uint64_t last_answer_ns;   /* when it last answered any request */
	uint64_t backoff_until_ns; /* gets no requests before */
	uint32_t backoff_ms;
	/* Connections lost before a first byte, in a row. */
	uint32_t lost_in_a_row;
	bool half_open;		/* one run at a time until one succeeds */
	uint64_t incarnation;	/* hash of its identifier and start */
	uint64_t lost_ns;	/* when a run was last lost with it */
	uint64_t trial_lost_ns; /* when a suspect was last lost with it */
	/* When a lost run last counted as failed. */
	uint64_t judged_lost_ns;
	/* Durations that were compared with the old versions, and slow ones. */
	uint32_t n_compared;
	uint32_t n_slow;
	uint64_t warm_ns; /* until then it is slow because it just started */
	/* Until when runs of entries that fell silent may go on. */
	uint64_t orphans_until_ns;
	/* Runs that it did not respond to, the newest ones. */
	struct ended_run silent[MAX_ENDED_RUNS];
	uint32_t n_silent; /* ever recorded */
	/* Runs whose responses ended with their connections, in order: they were
	 * whole, or the server crashed at that moment. What it does next tells
	 * which. */
	struct ended_run unproven[MAX_ENDED_RUNS];
	uint32_t n_unproven; /* ever recorded */
	/* In the order in which they ended. */
	struct undecided_run *undecided;
	uint32_t n_undecided;
	UT_hash_handle hh;
};

/* Waiting requests of a tier: timely ones by target_ns, then late ones by
 * deadline. */
struct queue {
	struct mh_heap timely;
	struct mh_heap late;
	double arrivals_per_s;
	uint32_t arrived; /* since arrivals_per_s was updated */
	double hold_ms;	  /* mean time for which requests hold their slots */
	struct mh_account_shares *shares; /* NULL without the setting */
};

struct pool {
	char *name;
	uint32_t conf_places;
	bool is_engine;
	struct server *servers;
	struct queue queues[MH_TIERS];
	struct mh_retry_window retry_window;
	struct mh_hedges *hedges; /* NULL while there are none */
	uint32_t held;
	uint64_t pauses_end_ns; /* from then on no pause has an effect */
	double failure_rate;
	/* Mean run time of a service without a model; means of engine runs
	 * relative to the nominal engine. */
	double plain_ms;
	double first_byte_ratio;
	/* Upper quantiles of the same, for the latest start. */
	struct mh_quantile high_plain_ms;
	struct mh_quantile high_first_byte_ratio;
	double total_time_ratio;
	struct mh_pool_pace pace;
	UT_hash_handle hh;
};

/* Usage that another dispatcher granted, from two sources that count the same
 * units: the sum of what entries reported, each its own part, and the stored
 * record. */
struct grantor {
	uint64_t id;
	struct mh_usage reported;
	struct mh_usage stored;
	UT_hash_handle hh;
};

/* Units that were granted to one entry. */
struct owner_usage {
	uint32_t owner;
	struct mh_usage usage;
	UT_hash_handle hh;
};

struct quota {
	char *account;
	struct mh_usage own; /* granted by this dispatcher */
	struct grantor *grantors;
	double rate_per_s;
	double burst;
	double mean_units; /* moving average per request */
	/* When a request above the bound may pass, 0 if none came yet. */
	uint64_t large_due_ns;
	struct owner_usage *owners; /* of units in own */
	/* Used when the share that began then did. */
	double kept_units;
	uint64_t share_began_ns;
	UT_hash_handle hh;
};

struct mh_dispatch {
	struct mh_dispatch_conf conf;
	const struct mh_clock *clock;
	struct mh_rng rng;
	uint64_t seed;
	const struct mh_dispatch_ops *ops;
	void *data;
	uint32_t n_sharing;
	uint64_t share_began_ns; /* 0 if it is that of the start */
	/* Those linked to this dispatcher, and those that may live without. */
	struct mh_entry_set *linked;
	struct mh_entry_set *lost;
	uint32_t n_linked;
	struct pool *pools;
	struct request *requests;
	struct quota *quotas;
	struct mh_suspects *suspects;
	struct mh_open_runs *open_runs;
	struct mh_returning *returning;
	/* Limits that hold, also of servers that are not registered yet, or not
	 * at the moment. */
	struct mh_server_notices *limits;
	uint64_t suspect_changes;
	/* Suspects, and requests held back by pauses, that can't run now. */
	struct request *parked;
	uint64_t began_ns;
	uint64_t total_granted_units;
	uint64_t near_limit_ns; /* when an account was last near its quota */
	uint64_t grantor_id;
	bool is_usage_unknown; /* what was granted before its start */
	uint64_t rates_updated_ns;
	uint64_t next_review_ns;
	struct mh_rollouts *rollouts; /* NULL: none */
	uint64_t next_rollout_tick_ns;
	bool review; /* at the next tick, without waiting for the interval */
};

/* Servers: dispatch_server.c */
struct server *mh_dispatch_pick(struct mh_dispatch *d, struct pool *p,
				const struct request *req, uint64_t now_ns);
bool mh_dispatch_is_silent(const struct server *s, uint64_t now_ns);
uint32_t mh_dispatch_free_slots(const struct mh_dispatch *d, struct server *s,
				uint64_t now_ns);
uint32_t mh_dispatch_limit_wait_ms(const struct mh_dispatch *d,
				   struct server *s, uint64_t now_ns);
void mh_dispatch_move_overdue(struct mh_dispatch *d, struct pool *p,
			      uint64_t now_ns);
struct server *mh_dispatch_pick_hedge(struct mh_dispatch *d, struct pool *p,
				      const struct request *hedge,
				      uint64_t now_ns);
void mh_dispatch_record_beaten(struct request *req, double ratio);
void mh_dispatch_take_slot(struct server *s, struct request *req);
void mh_dispatch_release_slot(struct request *req);
void mh_dispatch_record_outcome(struct mh_dispatch *d, struct request *req,
				enum mh_slot_outcome outcome, uint32_t total_ms,
				uint64_t now_ns);
uint64_t mh_dispatch_hash(const char *id);
uint64_t mh_dispatch_mix(uint64_t n);
void mh_dispatch_record_first_byte(const struct mh_dispatch *d,
				   struct request *req, uint32_t first_ms,
				   uint64_t now_ns);
double mh_dispatch_latest_start_ms(const struct mh_dispatch *d,
				   const struct pool *p,
				   const struct request *req);
double mh_dispatch_expected_first_ms(const struct pool *p,
				     const struct request *req);
double mh_dispatch_expected_ms(const struct pool *p, const struct request *req);
uint32_t mh_dispatch_server_slots(const struct mh_dispatch *d,
				  const struct server *s);
bool mh_dispatch_server_takes_work(const struct server *s);
/* Fraction of the retry budget and of servers' limits that is not left to lost
 * entries. */
double mh_dispatch_granted_part(const struct mh_dispatch *d, uint64_t now_ns);
/* Limit of a server without the part of lost entries; MH_NO_LIMIT without one. */
uint32_t mh_dispatch_limit_millihz(const struct mh_dispatch *d,
				   const struct server *s, uint64_t now_ns);
void mh_dispatch_decay_stats(struct pool *p);
void mh_dispatch_free_server(struct mh_dispatch *d, struct pool *p,
			     struct server *s);

/* Quotas: dispatch_quota.c */
bool mh_dispatch_take_units(struct mh_dispatch *d,
			    const struct mh_slot_request *slot_req,
			    bool *over_quota, struct mh_slot_refusal *why);
void mh_dispatch_return_units(struct mh_dispatch *d, const struct request *req);
double mh_dispatch_quota_rate(const struct mh_dispatch *d, const char *account);
void mh_dispatch_free_quotas(struct mh_dispatch *d);

/* Requests that may crash servers: dispatch_crash.c */
void mh_dispatch_on_suspect(void *data, const struct mh_suspect *suspect);
bool mh_dispatch_refuses(struct mh_dispatch *d,
			 const struct mh_features *features,
			 struct mh_feature *by);
bool mh_dispatch_refuse_crashing(struct mh_dispatch *d, struct request *req);
void mh_dispatch_drop_ended(struct server *s);

/* Trials of suspect features: dispatch_trial.c */
bool mh_dispatch_has_settled(void *data, struct mh_feature feature);
bool mh_dispatch_has_just_begun(const struct request *req, uint64_t now_ns);
void mh_dispatch_begin_trials(const struct mh_dispatch *d, struct request *req,
			      uint64_t now_ns);
void mh_dispatch_open_run(struct mh_dispatch *d, struct request *req);
void mh_dispatch_run_responds(struct mh_dispatch *d, const struct request *req,
			      uint64_t now_ns);
void mh_dispatch_close_run(struct mh_dispatch *d, struct request *req);
void mh_dispatch_end_run(struct mh_dispatch *d, struct request *req,
			 enum mh_slot_outcome outcome, uint64_t now_ns);
void mh_dispatch_record_alive(struct mh_dispatch *d, struct server *s,
			      uint64_t now_ns);
void mh_dispatch_record_survival(struct mh_dispatch *d, struct request *req,
				 uint64_t now_ns);
void mh_dispatch_drop_undecided(struct mh_dispatch *d, struct server *s);
void mh_dispatch_expire_open_runs(struct mh_dispatch *d, struct server *s,
				  uint64_t now_ns);
bool mh_dispatch_is_suspect(const struct mh_dispatch *d,
			    const struct request *req, uint64_t now_ns);
bool mh_dispatch_may_run(const struct mh_dispatch *d, const struct request *req,
			 uint64_t now_ns, uint64_t *only_at);
bool mh_dispatch_may_run_at(const struct mh_dispatch *d, const struct server *s,
			    const struct request *req, uint64_t now_ns);
void mh_dispatch_park(struct mh_dispatch *d, struct request *req);
void mh_dispatch_unpark(struct mh_dispatch *d, struct request *req);
void mh_dispatch_unpark_all(struct mh_dispatch *d);

/* Outcomes of runs: dispatch_crash.c */
void mh_dispatch_record_lost(struct mh_dispatch *d, struct request *req,
			     uint64_t now_ns);
void mh_dispatch_record_unanswered(struct mh_dispatch *d,
				   const struct request *req, uint64_t now_ns);
void mh_dispatch_record_gone(struct mh_dispatch *d, struct server *s);
void mh_dispatch_record_unproven(const struct request *req, uint64_t now_ns);
void mh_dispatch_resolve_unproven(struct mh_dispatch *d,
				  const struct request *req, uint64_t now_ns);
void mh_dispatch_record_response(struct mh_dispatch *d,
				 const struct request *req, uint64_t now_ns);

/* Servers that leave or ask for a pause: dispatch_notice.c */
bool mh_dispatch_is_paused(const struct server *s, uint32_t owner,
			   uint64_t now_ns);
bool mh_dispatch_allows(const struct mh_dispatch *d, const struct server *s,
			uint32_t owner, uint64_t now_ns);
bool mh_dispatch_hold_back(struct mh_dispatch *d, struct request *req,
			   uint64_t now_ns);
struct server *mh_dispatch_incarnation(const struct mh_dispatch *d,
				       const struct mh_server_ref *ref);
void mh_dispatch_review_parked(struct mh_dispatch *d, struct pool *p,
			       uint64_t now_ns);
void mh_dispatch_drop_pauses(struct server *s);
void mh_dispatch_drop_owner_pauses(struct mh_dispatch *d, uint32_t owner);

/* Roll-outs: dispatch_rollout.c */
/* Whether servers of this version get regular requests. */
bool mh_dispatch_version_serves(const struct mh_dispatch *d,
				const struct server *s);
/* Whether the request may be sent to the server's version; @cost is added to the
 * server's. */
bool mh_dispatch_version_allows(const struct mh_dispatch *d,
				const struct server *s,
				const struct request *req, double *cost);
void mh_dispatch_note_version(const struct mh_dispatch *d, struct request *req,
			      bool is_granted);
void mh_dispatch_judge_first_byte(const struct mh_dispatch *d,
				  struct request *req, uint32_t first_ms);
void mh_dispatch_judge_outcome(const struct mh_dispatch *d, struct request *req,
			       enum mh_slot_outcome outcome, uint32_t total_ms,
			       uint64_t now_ns);
/* The entry of a run fell silent: the run may go on. */
void mh_dispatch_orphan_run(const struct request *req);
void mh_dispatch_tick_rollouts(struct mh_dispatch *d, uint64_t now_ns);
uint64_t mh_dispatch_next_tick_ns(const struct mh_dispatch *d,
				  uint64_t next_ns);

/* Retry budget: dispatch_retry.c */
bool mh_dispatch_take_retry(struct mh_dispatch *d, struct pool *p);
bool mh_dispatch_is_charged_retry(const struct mh_slot_request *slot_req);
bool mh_dispatch_reserve_retry(struct mh_dispatch *d, struct pool *p);
double mh_dispatch_granted_extra(const struct mh_dispatch *d, double extra,
				 uint64_t now_ns);

/* Hedged requests: dispatch_hedge.c */
void mh_dispatch_hedge_late(struct mh_dispatch *d, uint64_t now_ns);
void mh_dispatch_count_hedgeable(const struct mh_dispatch *d, struct pool *p);
void mh_dispatch_observe_first_byte(const struct mh_dispatch *d,
				    const struct request *req,
				    uint32_t first_ms);
void mh_dispatch_add_reported_hedges(struct mh_dispatch *d, const char *service,
				     uint64_t n);
void mh_dispatch_adopt_hedge(struct mh_dispatch *d, struct request *req);
void mh_dispatch_end_hedge(struct mh_dispatch *d, struct request *req,
			   enum mh_slot_outcome outcome);

/* Free slots for waiting requests: dispatch_place.c */
void mh_dispatch_place_waiting(struct mh_dispatch *d, struct pool *p,
			       uint64_t now_ns);

/* Speed of servers: dispatch_pace.c */
double mh_dispatch_record_pace(const struct request *req, uint32_t total_ms);
bool mh_dispatch_awaits_faster(const struct mh_dispatch *d,
			       const struct request *req,
			       const struct server *free, uint32_t n_ahead,
			       uint64_t now_ns);

/* Limits of servers: dispatch_limit.c */
void mh_dispatch_begin_limit(struct mh_dispatch *d, struct server *s);
void mh_dispatch_note_limited(const struct mh_dispatch *d, struct request *req,
			      uint64_t now_ns);
void mh_dispatch_report_limited(struct mh_dispatch *d,
				const struct request *req, uint64_t now_ns);

/* Clients that come back: dispatch_returning.c */
void mh_dispatch_note_return(struct mh_dispatch *d, struct request *req);
/* Remembers a request that is rejected, and spreads those of a queue.
 * Return: Retry-After for an expected wait. */
uint32_t mh_dispatch_schedule_return(struct mh_dispatch *d,
				     const struct request *req,
				     uint32_t wait_ms);
/* Order of late requests: those that came back when told, then by deadline. */
bool mh_dispatch_goes_first(const struct request *a, const struct request *b);

/* Shares of accounts, nothing without the setting: dispatch_account_share.c */
void mh_dispatch_update_shares(const struct mh_dispatch *d, struct pool *p);
void mh_dispatch_share_add(const struct mh_dispatch *d,
			   const struct queue *queue, struct request *req);
void mh_dispatch_share_remove(const struct queue *queue, struct request *req);
void mh_dispatch_share_charge(struct request *req);
void mh_dispatch_share_refund(const struct request *req);
uint32_t mh_dispatch_waiting_accounts(const struct pool *p);
/* Request of the queue that is served next, NULL without any. */
struct request *mh_dispatch_next(const struct mh_dispatch *d,
				 const struct pool *p,
				 const struct queue *queue);
/* Puts the requests of a queue's heap, sorted by target or deadline, in the order
 * in which they are served. */
void mh_dispatch_order_by_share(const struct mh_dispatch *d,
				const struct mh_heap *heap, void **v);

/* Refusals: dispatch_review.c */
bool mh_dispatch_is_too_late(const struct request *req, double wait_ms,
			     uint64_t now_ns);
void mh_dispatch_refuse(struct mh_dispatch *d, struct request *req,
			const struct mh_slot_refusal *why);
void mh_dispatch_refuse_late(struct mh_dispatch *d, struct request *req,
			     double wait_ms);
void mh_dispatch_review(struct mh_dispatch *d, struct pool *p, uint64_t now_ns);

void mh_dispatch_enter_queue(const struct mh_dispatch *d, struct request *req);
struct request *mh_dispatch_find_request(struct mh_dispatch *d, uint32_t owner,
					 uint64_t id);
bool mh_dispatch_has_waiting(const struct pool *p);
bool mh_dispatch_is_unsent(enum mh_slot_outcome outcome);
void mh_dispatch_leave_queue(struct mh_dispatch *d, struct request *req);
void mh_dispatch_free_request(struct mh_dispatch *d, struct request *req);
struct pool *mh_dispatch_pool(struct mh_dispatch *d, const char *name);
struct server *mh_dispatch_find_server(const struct mh_dispatch *d,
				       const char *id);

#endif
