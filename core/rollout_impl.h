/*
 * Internals of the roll-outs, shared by their source files only.
 */
#ifndef MH_ROLLOUT_IMPL_H
#define MH_ROLLOUT_IMPL_H

#include <uthash.h>

#include "core/rollout.h"

/* Newest durations of the old versions, of which the median is taken; odd. */
#define RATIO_SAMPLES 31
/* A judge that has decided for less time than this before an order may succeed
 * one that knew the order already. It also takes that long until the versions of
 * all servers are known. */
#define MH_ROLLOUT_NEW_JUDGE_NS (2000 * MH_NS_PER_MS)
/* The oldest excluded version is forgotten for a further one. */
#define MH_ROLLOUT_EXCLUDED_MAX 64

struct version {
	char *name;
	bool is_excluded; /* since an earlier order */
	bool is_replaced; /* excluded while the present order is succeeded */
	uint32_t attempts;
	uint32_t ready_servers;
	struct version *prev, *next;
};

/* Answered attempts. */
struct tally {
	uint64_t n;
	uint64_t bad;
};

/* Answered attempts of a kind at a version, since the order. */
struct count {
	struct version *version;
	uint64_t good;
	uint64_t failed;
	uint64_t slow;
	struct count *prev, *next;
};

/**
 * struct test - comparison of the target with the old versions
 * @to_bad: log-likelihood ratio of "bad share is MARGIN above" to "is not
 *          above", never below 0
 * @starts: how often @to_bad rose from 0
 * @to_good: the same with an unbiased share of the old versions, from which
 *           a low value shows that the target is good
 * @excess: bad answers of the target above what the old versions' share predicts
 * @variance: variance of @excess by chance
 */
struct test {
	double to_bad;
	uint32_t starts;
	double to_good;
	double excess;
	double variance;
};

struct kind {
	uint64_t id;
	struct count *counts;
	/* Since the period began. */
	struct tally period_old;
	struct tally period_target;
	struct test test;
	double ratios[RATIO_SAMPLES]; /* of the old versions, a ring */
	uint32_t n_ratios;	      /* ever added */
	double slow_ratio;	      /* ratios above it are slow */
	UT_hash_handle hh;
};

struct service {
	struct mh_rollouts *set;
	char *name;
	struct version *versions;
	struct version *target;
	uint32_t duration_ms;
	enum mh_rollout_phase phase;
	bool is_acknowledged;
	bool is_from_store;  /* the order was read there */
	bool is_told;	     /* a record was merged */
	uint64_t elapsed_ms; /* at since_ns */
	uint64_t since_ns;
	uint64_t granted;
	uint64_t granted_target;
	/* The judge knows what the target was granted, or a bound of it. */
	bool is_settled;
	bool was_watched;  /* by this judge, from the order on */
	uint64_t ready_ns; /* since when target servers were seen, 0: never */
	uint64_t target_gone_ns; /* since when none is ready while shifting */
	uint64_t alone_ns; /* since when no other version is known, or 0 */
	/* Connections to the target that failed since it last responded. */
	uint32_t unreachable;
	uint64_t shift_ns;
	uint64_t shifted_ns; /* since when the target gets all requests, or 0 */
	bool is_shift_recorded;
	uint64_t retryable_ns; /* when a retryable request was last placed */
	uint64_t unretryable_ns;
	bool is_bursting;   /* the target gets requests now */
	uint64_t canary_ns; /* when it last got one */
	struct kind *kinds;
	struct test all;
	uint64_t period_ns; /* when the present period began */
	UT_hash_handle hh;
};

struct mh_rollouts {
	struct mh_rollout_conf conf;
	const struct mh_clock *clock;
	bool judges;
	bool is_unwatched; /* nobody judges while this set is used */
	uint64_t judge_since_ns;
	enum mh_rollout_store store;
	uint64_t changes;
	struct service *services;
};

/* Orders and phases: rollout.c */
struct service *mh_rollout_find(const struct mh_rollouts *set,
				const char *name);
/* Begins the roll-out of a further target. */
struct service *mh_rollout_begin(struct mh_rollouts *set,
				 const struct mh_rollout_order *order,
				 uint64_t age_ms);
bool mh_rollout_is_valid(const struct mh_rollout_order *order);
struct version *mh_rollout_version(struct service *svc, const char *name);
void mh_rollout_set_phase(struct service *svc, enum mh_rollout_phase phase);
uint64_t mh_rollout_elapsed_ms(const struct service *svc);
void mh_rollout_set_elapsed(struct service *svc, uint64_t ms);
bool mh_rollout_is_excluded(const struct service *svc, const struct version *v);
/* The target replaces all known versions. */
void mh_rollout_replace_others(struct service *svc);
/* Counts as used what the target may get at most. */
void mh_rollout_assume_used(struct service *svc);

static inline uint64_t mh_rollout_now_ns(const struct mh_rollouts *set)
{
	return mh_clock_mono_ns(set->clock);
}

static inline bool mh_rollout_is_final(const struct service *svc)
{
	return svc->phase == MH_ROLLOUT_SUCCEEDED ||
	       svc->phase == MH_ROLLOUT_ROLLED_BACK;
}

/* Whether this process may end the roll-out. */
static inline bool mh_rollout_decides(const struct service *svc)
{
	return svc->set->judges && svc->is_settled && !mh_rollout_is_final(svc);
}

/* Phases: rollout_phase.c */
/* Whether all servers are known to have the target version already. */
bool mh_rollout_is_alone(const struct service *svc);
/* Whether the shift has begun for requests too, not only on record. */
bool mh_rollout_has_shifted(const struct service *svc);
void mh_rollout_roll_back_if_bad(struct service *svc);

/* The test: rollout_judge.c */
struct kind *mh_rollout_kind(struct service *svc, uint64_t id);
struct count *mh_rollout_count(struct kind *k, struct version *v);
void mh_rollout_drop_counts(struct service *svc);
bool mh_rollout_ratio_is_slow(const struct kind *k, double ratio);
void mh_rollout_add_answer(struct service *svc, struct kind *k,
			   struct version *v, bool failed, double ratio);
/* Starts the tests with what the counts show, after a merge. */
void mh_rollout_seed_tests(struct service *svc);
/* Takes the answers of the period into the tests, and begins the next one. */
void mh_rollout_weigh_period(struct service *svc);
/* The same once the period is over. */
void mh_rollout_end_period(struct service *svc);
bool mh_rollout_is_bad(const struct service *svc);
bool mh_rollout_is_good(const struct service *svc);
/* Whether the log-likelihood ratio of a bad to a good version is above a limit, for
 * any kind. */
bool mh_rollout_leans_to_bad(const struct service *svc, double limit);
bool mh_rollout_has_answers(const struct service *svc);

#endif
