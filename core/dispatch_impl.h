/*
 * Inside of the dispatcher, shared by its files only.
 */
#ifndef MH_DISPATCH_IMPL_H
#define MH_DISPATCH_IMPL_H

#include <uthash.h>

#include "core/budget.h"
#include "core/dispatch.h"
#include "core/heap.h"

struct request_key {
	uint64_t id;
	uint64_t owner;
};

/* A request that waits or has a place. */
struct request {
	struct request_key key;
	struct pool *pool;
	struct server *server; /* NULL while it waits */
	char *account;
	uint8_t tier;
	uint32_t units;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint64_t target_ns; /* latest start that is in time */
	uint64_t start_by_ns;
	uint64_t deadline_ns;
	uint64_t fingerprint;
	uint64_t asked_ns;
	uint64_t placed_ns;
	bool late;
	bool answering;
	bool is_repeatable;
	bool over_quota; /* served from spare places only */
	uint32_t n_avoid;
	uint64_t avoid[MH_AVOID_MAX]; /* hashes of servers' ids */
	uint32_t heap_index;
	struct request *prev, *next; /* those of one server */
	UT_hash_handle hh;
};

struct server {
	struct mh_backend_server info; /* owns its texts */
	struct pool *pool;
	uint64_t id_hash;
	bool takes_work;
	uint32_t held;
	uint32_t silent; /* held ones without a first byte */
	struct request *requests;
	/* Times of its runs against the pool's expectation, 1 is normal. */
	double latency_ratio;
	/* Share of failed runs, decayed by run. */
	double failure_rate;
	uint64_t last_answer_ns;   /* last byte of any answer */
	uint64_t backoff_until_ns; /* after a lost connection */
	uint32_t backoff_ms;
	uint32_t
		lost_in_a_row; /* connections lost before a first byte, in a row */
	bool half_open;	       /* one run at a time until one succeeds */
	UT_hash_handle hh;
};

/* Waiting requests of a tier: those in time by their aim, then late ones. */
struct queue {
	struct mh_heap timely;
	struct mh_heap late;
	double arrivals_per_s;
	uint32_t arrived;
	double hold_ms;
};

struct pool {
	char *name;
	uint32_t conf_places;
	bool is_engine;
	struct server *servers;
	struct queue queues[MH_TIERS];
	struct mh_retry_window repeats;
	uint32_t held;
	double failure_rate;
	/* Mean of plain runs, and of runs of engines against their nominal. */
	double plain_ms;
	double first_byte_ratio;
	double total_time_ratio;
	UT_hash_handle hh;
};

/* What another dispatcher let through: as entries say, each its own part, and
 * as was written down. Both count the same spending. */
struct grantor {
	uint64_t id;
	struct mh_usage reported;
	struct mh_usage stored;
	UT_hash_handle hh;
};

struct quota {
	char *account;
	struct mh_usage own; /* let through by this dispatcher */
	struct grantor *grantors;
	double rate_per_s;
	double burst;
	double mean_units; /* of a request */
	UT_hash_handle hh;
};

/* Servers that went down while they ran a request of this fingerprint. */
struct suspect {
	uint64_t fingerprint;
	uint32_t crashes;
	uint64_t last_ns;
	UT_hash_handle hh;
};

struct mh_dispatch {
	struct mh_dispatch_conf conf;
	const struct mh_clock *clock;
	struct mh_rng rng;
	const struct mh_dispatch_ops *ops;
	void *data;
	uint32_t n_sharing;
	struct pool *pools;
	struct request *requests;
	struct quota *quotas;
	struct suspect *suspects;
	uint64_t began_ns;
	uint64_t spent_sum;
	uint64_t near_limit_ns;
	uint64_t grantor_id;
	uint64_t rates_updated_ns;
	uint64_t next_review_ns;
	bool review;
};

/* Servers: dispatch_server.c */
struct server *mh_dispatch_pick(struct mh_dispatch *d, struct pool *p,
				const struct request *it, uint64_t now_ns);
uint32_t mh_dispatch_free_slots(const struct mh_dispatch *d,
				const struct server *s, uint64_t now_ns);
void mh_dispatch_move_overdue(struct mh_dispatch *d, struct pool *p,
			      uint64_t now_ns);
void mh_dispatch_take_slot(struct server *s, struct request *it);
void mh_dispatch_release_slot(struct request *it);
void mh_dispatch_record_outcome(struct mh_dispatch *d, struct request *it,
				enum mh_slot_outcome outcome, uint32_t total_ms,
				uint64_t now_ns);
uint64_t mh_dispatch_hash(const char *id);
void mh_dispatch_record_first_byte(struct request *it, uint32_t first_ms,
				   uint64_t now_ns);
double mh_dispatch_expected_first_ms(const struct pool *p,
				     const struct request *it);
double mh_dispatch_expected_ms(const struct pool *p, const struct request *it);
uint32_t mh_dispatch_server_slots(const struct mh_dispatch *d,
				  const struct server *s);
void mh_dispatch_expire_suspects(struct mh_dispatch *d, uint64_t now_ns);
bool mh_dispatch_is_suspect(const struct mh_dispatch *d, uint64_t fingerprint);
void mh_dispatch_decay_stats(struct pool *p);
void mh_dispatch_free_server(struct pool *p, struct server *s);

/* Quotas: dispatch_quota.c */
bool mh_dispatch_take_units(struct mh_dispatch *d,
			    const struct mh_slot_request *ask, bool *over_quota,
			    struct mh_slot_refusal *why);
void mh_dispatch_return_units(struct mh_dispatch *d, const struct request *it);
void mh_dispatch_free_quotas(struct mh_dispatch *d);

bool mh_dispatch_take_retry(struct mh_dispatch *d, struct pool *p);
struct pool *mh_dispatch_pool(struct mh_dispatch *d, const char *name);

#endif
