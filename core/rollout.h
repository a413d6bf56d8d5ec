/*
 * Roll-outs: which versions of a service's servers may get requests while an
 * order of the operators is carried out, and whether the ordered version is kept.
 * No I/O: orders, records, grants and outcomes are passed in; phases and records
 * are read out by the caller, which writes them to the store and sends them over
 * links.
 */
#ifndef MH_ROLLOUT_H
#define MH_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/clock.h"

/* Bounds of an order; others are rejected. */
#define MH_ROLLOUT_DURATION_MAX_MS 86400000u
#define MH_ROLLOUT_NAME_MAX 255

/* Phases of the roll-out of a service. */
enum mh_rollout_phase {
	MH_ROLLOUT_NONE,
	MH_ROLLOUT_OBSERVING,	/* the target gets few requests */
	MH_ROLLOUT_SHIFTING,	/* it gets all new ones */
	MH_ROLLOUT_SUCCEEDED,	/* final: the old versions get none */
	MH_ROLLOUT_ROLLED_BACK, /* final: the target gets none */
	MH_ROLLOUT_PHASES,
};

/* Whether a request may be sent to servers of a version. */
enum mh_rollout_choice {
	MH_ROLLOUT_ANY,	      /* yes */
	MH_ROLLOUT_PREFERRED, /* yes, rather than to others */
	MH_ROLLOUT_FORBIDDEN,
};

enum mh_rollout_order_result {
	MH_ROLLOUT_ORDER_ACCEPTED,
	MH_ROLLOUT_ORDER_UNCHANGED, /* the known order, or an older one */
	MH_ROLLOUT_ORDER_REJECTED,  /* malformed; nothing has changed */
};

/* What is known of the records in the store. */
enum mh_rollout_store {
	MH_ROLLOUT_STORE_UNREAD, /* they are being read */
	MH_ROLLOUT_STORE_READ,	 /* all were merged; writes are possible */
	MH_ROLLOUT_STORE_DOWN,	 /* neither reads nor writes are possible */
};

/**
 * struct mh_rollout_order - order of the operators
 * @service: service
 * @target: version that its servers should have
 * @duration_ms: time for the verdict, 1 to MH_ROLLOUT_DURATION_MAX_MS
 */
struct mh_rollout_order {
	const char *service;
	const char *target;
	uint32_t duration_ms;
};

/**
 * struct mh_rollout_conf - bounds on what a bad version may get
 * @exposure_share: share of the requests granted since the order
 * @exposure_slack: requests in addition to the share
 * @rollback_ms: from the 50th bad response to the last request sent; the test of
 *               core/rollout_judge.c keeps it, no rule depends on it
 */
struct mh_rollout_conf {
	double exposure_share;
	uint32_t exposure_slack;
	uint32_t rollback_ms;
};

/**
 * struct mh_rollout_in_flight - attempts at servers of one version
 * @service: service
 * @version: version, "" if its servers register none
 * @attempts: attempts that may be in flight, also those of lost entries
 * @ready_servers: servers of the version that take requests
 */
struct mh_rollout_in_flight {
	const char *service;
	const char *version;
	uint32_t attempts;
	uint32_t ready_servers;
};

/**
 * struct mh_rollout_count - answered attempts of one kind at one version
 * @kind: hash of the route's name, 0 if not known
 * @version: version
 * @good: good ones
 * @failed: failed ones
 * @slow: slow ones that did not fail
 */
struct mh_rollout_count {
	uint64_t kind;
	const char *version;
	uint64_t good;
	uint64_t failed;
	uint64_t slow;
};

/**
 * struct mh_rollout_record - state of one service, as it is stored and sent
 * @order: order
 * @phase: phase
 * @is_acknowledged: the store has acknowledged the status of a final @phase
 * @elapsed_ms: time since the order; of a record that was read from the store,
 *              the reader adds the time since the record was written
 * @granted_service: requests granted to the service since the order
 * @granted_target: those of them for the target
 * @counts: answered attempts
 * @n_counts: number of elements in @counts
 * @excluded: versions that get no requests, other than the target
 * @n_excluded: number of elements in @excluded
 */
struct mh_rollout_record {
	struct mh_rollout_order order;
	enum mh_rollout_phase phase;
	bool is_acknowledged;
	uint64_t elapsed_ms;
	uint64_t granted_service;
	uint64_t granted_target;
	const struct mh_rollout_count *counts;
	size_t n_counts;
	const char *const *excluded;
	size_t n_excluded;
};

typedef void mh_rollout_visit_fn(const struct mh_rollout_record *rec,
				 void *data);

struct mh_rollouts;

/**
 * mh_rollout_phase_name() - "observing", "shifting", "succeeded", "rolled_back",
 *                           "none"
 * @phase: phase
 */
const char *mh_rollout_phase_name(enum mh_rollout_phase phase);

/**
 * mh_rollout_phase_parse() - phase of a name
 * @name: name
 *
 * Return: MH_ROLLOUT_NONE if it is no name of a phase.
 */
enum mh_rollout_phase mh_rollout_phase_parse(const char *name);

/**
 * mh_rollouts_new() - create a set without orders
 * @conf: bounds, copied
 * @clock: clock
 */
struct mh_rollouts *mh_rollouts_new(const struct mh_rollout_conf *conf,
				    const struct mh_clock *clock);

/**
 * mh_rollouts_free() - free a set
 * @set: set or NULL
 */
void mh_rollouts_free(struct mh_rollouts *set);

/**
 * mh_rollouts_set_conf() - change the bounds
 * @set: set
 * @conf: bounds, copied
 */
void mh_rollouts_set_conf(struct mh_rollouts *set,
			  const struct mh_rollout_conf *conf);

/**
 * mh_rollouts_order() - apply an order from the store
 * @set: set
 * @order: copied
 * @age_ms: time since the store acknowledged it, 0 if not known
 */
enum mh_rollout_order_result
mh_rollouts_order(struct mh_rollouts *set, const struct mh_rollout_order *order,
		  uint32_t age_ms);

/**
 * mh_rollouts_set_judge() - set whether this process decides
 * @set: set
 * @judges: it is the active dispatcher; others follow the records that they get
 *
 * To be called from the start, also while no order is known: a judge of two
 * seconds before an order knows that no other one has granted anything since the
 * order. Any other judge takes half of the slack as used, and waits for the
 * records of the store.
 */
void mh_rollouts_set_judge(struct mh_rollouts *set, bool judges);

/**
 * mh_rollouts_set_unwatched() - the set is used only while nobody judges
 * @set: set, of a process that never judges
 *
 * A version that is being moved to gets nothing then, as nobody would notice that
 * it turns bad.
 */
void mh_rollouts_set_unwatched(struct mh_rollouts *set);

/**
 * mh_rollouts_set_store() - set what is known of the records in the store
 * @set: set; until it is told otherwise, MH_ROLLOUT_STORE_UNREAD holds
 * @store: MH_ROLLOUT_STORE_READ once the topic was read to its end after the
 *         first order was seen
 *
 * A judge that has not seen a roll-out from its order on sends nothing to the
 * target while the records are unread. While the store is down, it goes on with
 * services of which a link told a record, and ends none as succeeded.
 */
void mh_rollouts_set_store(struct mh_rollouts *set,
			   enum mh_rollout_store store);

/**
 * mh_rollouts_recorded() - the store acknowledged the record of a service
 * @set: set
 * @service: service
 * @target: target of the record
 * @phase: phase of the record
 *
 * The judge acts on MH_ROLLOUT_SHIFTING only then, or after a second.
 */
void mh_rollouts_recorded(struct mh_rollouts *set, const char *service,
			  const char *target, enum mh_rollout_phase phase);

/**
 * mh_rollouts_acknowledged() - the store acknowledged a final status, or it was
 *                              read from the store
 * @set: set
 * @service: service
 * @target: target of the status
 * @phase: MH_ROLLOUT_SUCCEEDED or MH_ROLLOUT_ROLLED_BACK
 *
 * From then on no record changes the phase. Of a status that contradicts the
 * known phase, one that is acknowledged first stays.
 *
 * Return: whether any state changed.
 */
bool mh_rollouts_acknowledged(struct mh_rollouts *set, const char *service,
			      const char *target, enum mh_rollout_phase phase);

/**
 * mh_rollouts_choice() - whether a request may be sent to a version now
 * @set: set, or NULL: without orders
 * @service: service
 * @version: version of the server, "" or NULL if it registered none
 * @is_retryable: the request may be sent to a further server after a failure
 */
enum mh_rollout_choice mh_rollouts_choice(struct mh_rollouts *set,
					  const char *service,
					  const char *version,
					  bool is_retryable);

/**
 * mh_rollouts_serves() - whether a version gets requests without the bound of
 *                        canaries
 * @set: set or NULL
 * @service: service
 * @version: version or NULL
 */
bool mh_rollouts_serves(const struct mh_rollouts *set, const char *service,
			const char *version);

/**
 * mh_rollouts_granted() - a request was granted to a server
 * @set: set or NULL
 * @service: service
 * @version: version of the server
 */
void mh_rollouts_granted(struct mh_rollouts *set, const char *service,
			 const char *version);

/**
 * mh_rollouts_is_slow() - whether a duration counts as slow
 * @set: set or NULL
 * @service: service
 * @kind: kind of the request
 * @ratio: as for mh_rollouts_ended()
 */
bool mh_rollouts_is_slow(const struct mh_rollouts *set, const char *service,
			 uint64_t kind, double ratio);

/**
 * mh_rollouts_ended() - an attempt was answered or failed
 * @set: set or NULL
 * @service: service
 * @version: version of the server
 * @kind: kind of the request
 * @failed: it failed
 * @ratio: time to its first byte, or to its end at a service without a model,
 *         relative to the time expected for the request's size; 0 if not known
 *
 * Attempts that were not sent and those that the client cancelled are not
 * reported.
 */
void mh_rollouts_ended(struct mh_rollouts *set, const char *service,
		       const char *version, uint64_t kind, bool failed,
		       double ratio);

/**
 * mh_rollouts_unreachable() - an attempt was not sent, since no connection to the
 *                             server could be opened
 * @set: set or NULL
 * @service: service
 * @version: version of the server
 */
void mh_rollouts_unreachable(struct mh_rollouts *set, const char *service,
			     const char *version);

/**
 * mh_rollouts_answering() - a server began to respond
 * @set: set or NULL
 * @service: service
 * @version: version of the server
 */
void mh_rollouts_answering(struct mh_rollouts *set, const char *service,
			   const char *version);

/**
 * mh_rollouts_tick() - decide what is due
 * @set: set
 * @in_flight: every version of the services' servers, with attempts in flight or
 *             without
 * @n_in_flight: number of elements in @in_flight
 *
 * Called at least each 100 ms while mh_rollouts_is_active().
 *
 * Return: whether any state changed.
 */
bool mh_rollouts_tick(struct mh_rollouts *set,
		      const struct mh_rollout_in_flight *in_flight,
		      size_t n_in_flight);

/**
 * mh_rollouts_is_active() - whether any order is known that has no verdict
 * @set: set or NULL
 */
bool mh_rollouts_is_active(const struct mh_rollouts *set);

/**
 * mh_rollouts_has_orders() - whether any order is known
 * @set: set or NULL
 */
bool mh_rollouts_has_orders(const struct mh_rollouts *set);

/**
 * mh_rollouts_changes() - number of changes of orders, phases and exclusions
 * @set: set
 *
 * A caller that finds it changed sends the records to links and writes them.
 */
uint64_t mh_rollouts_changes(const struct mh_rollouts *set);

/**
 * mh_rollouts_merge() - merge a record from the store or a link
 * @set: set
 * @rec: record
 *
 * Records of the same order may be merged in any sequence, with the same result.
 * Of records of different targets that of the later order holds.
 *
 * Return: whether any state changed.
 */
bool mh_rollouts_merge(struct mh_rollouts *set,
		       const struct mh_rollout_record *rec);

/**
 * mh_rollouts_each() - walk the records of all services
 * @set: set
 * @visit: called for each; the record is valid only during the call
 * @data: last argument of @visit
 */
void mh_rollouts_each(const struct mh_rollouts *set, mh_rollout_visit_fn *visit,
		      void *data);

#endif
