/*
 * Counts the open runs of each feature: those that may crash their server yet.
 */
#ifndef MH_OPEN_RUNS_H
#define MH_OPEN_RUNS_H

#include "core/features.h"

struct mh_open_runs;

/**
 * mh_open_runs_new() - create a count without runs
 */
struct mh_open_runs *mh_open_runs_new(void);

/**
 * mh_open_runs_free() - free a count
 * @runs: count or NULL
 */
void mh_open_runs_free(struct mh_open_runs *runs);

/**
 * mh_open_runs_add() - count a run
 * @runs: count
 * @features: features of its request
 * @placed_ns: monotonic time at which it began
 */
void mh_open_runs_add(struct mh_open_runs *runs,
		      const struct mh_features *features, uint64_t placed_ns);

/**
 * mh_open_runs_remove() - count a run no longer
 * @runs: count
 * @features: features of its request, as they were added
 * @placed_ns: as it was added
 */
void mh_open_runs_remove(struct mh_open_runs *runs,
			 const struct mh_features *features,
			 uint64_t placed_ns);

/**
 * mh_open_runs_restart() - count only runs with a feature that begin later
 * @runs: count
 * @feature: feature
 * @now_ns: monotonic time
 */
void mh_open_runs_restart(struct mh_open_runs *runs, struct mh_feature feature,
			  uint64_t now_ns);

/**
 * struct mh_settled_run - an open run that has not crashed its server so far:
 *                         further ones put no other server at risk there
 * @server: the server's incarnation, 0 if there is no such run
 * @placed_ns: monotonic time at which it began
 * @from_ns: monotonic time from which on this holds
 */
struct mh_settled_run {
	uint64_t server;
	uint64_t placed_ns;
	uint64_t from_ns;
};

/**
 * mh_open_runs_settle() - an open run settles
 * @runs: count
 * @features: features of its request
 * @run: the run, copied
 * @now_ns: monotonic time
 */
void mh_open_runs_settle(struct mh_open_runs *runs,
			 const struct mh_features *features,
			 const struct mh_settled_run *run, uint64_t now_ns);

/**
 * mh_open_runs_unsettle() - a run was lost with a server
 * @runs: count
 * @features: features of its request
 * @server: the server's incarnation
 */
void mh_open_runs_unsettle(struct mh_open_runs *runs,
			   const struct mh_features *features, uint64_t server);

/**
 * mh_open_runs_settled_at() - server at which a run has settled
 * @runs: count
 * @feature: feature of the run
 * @since_ns: monotonic time after which the run has to have begun
 * @now_ns: monotonic time
 *
 * Return: the server's incarnation, 0 if there is none.
 */
uint64_t mh_open_runs_settled_at(const struct mh_open_runs *runs,
				 struct mh_feature feature, uint64_t since_ns,
				 uint64_t now_ns);

/**
 * mh_open_runs_count() - number of open runs
 * @runs: count
 * @feature: feature that they have
 */
uint32_t mh_open_runs_count(const struct mh_open_runs *runs,
			    struct mh_feature feature);

#endif
