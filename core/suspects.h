/*
 * Features of requests that may crash the servers that run them. A run that is
 * lost with its server counts against its features until the server turns out
 * to have survived, or the feature shows to be harmless: an equal request ends
 * well, or a later run with the same part does no harm. Records are merged
 * between processes, so that crashes count wherever they were seen.
 */
#ifndef MH_SUSPECTS_H
#define MH_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/features.h"

/* Crashes that are kept for a feature; requests are refused from fewer on. */
#define MH_SUSPECT_CRASHES 8
/* Longest time for which a feature is kept after its last crash or refusal. */
#define MH_SUSPECT_RETENTION_MS 600000

/**
 * struct mh_crash - a server that may have crashed
 * @id: the same in all processes that learned of it from each other
 * @server: the server's incarnation
 * @request: fingerprint of the run's request, 0 if unknown
 * @placed_ns: monotonic time at which the run began, 0 if unknown
 * @lost_ns: monotonic time at which the run was lost
 * @on_trial: the run began when its feature was a suspect already
 * @is_blamed: the request was on trial as the server ended: it takes the blame for
 *             other requests that ran there; of parts never
 * @refuted: it does not count: the server did not crash, or did by another
 *           request
 */
struct mh_crash {
	uint64_t id;
	uint64_t server;
	uint64_t request;
	uint64_t placed_ns;
	uint64_t lost_ns;
	bool on_trial;
	bool is_blamed;
	bool refuted;
};

/**
 * struct mh_suspect - what is known of a feature
 * @feature: feature
 * @seen_ns: monotonic time of its last crash or refusal
 * @cleared_ns: no crash before this monotonic time counts: an equal request
 *              ended well then, or a run with the part began then and its server
 *              lived on; 0 if none did
 * @is_confirmed: the crashes suffice to refuse a part, as long as they count
 * @n_crashes: number of elements in @crashes
 * @crashes: servers that its runs were lost with, also refuted ones
 */
struct mh_suspect {
	struct mh_feature feature;
	uint64_t seen_ns;
	uint64_t cleared_ns;
	bool is_confirmed;
	uint32_t n_crashes;
	struct mh_crash crashes[MH_SUSPECT_CRASHES];
};

struct mh_suspects;

/**
 * mh_fingerprint_add() - extend a fingerprint by a part of a request
 * @fingerprint: fingerprint of the parts before, 0 for the first
 * @part: bytes
 * @len: length of @part
 *
 * Return: fingerprint, never 0.
 */
uint64_t mh_fingerprint_add(uint64_t fingerprint, const void *part, size_t len);

/**
 * mh_suspect_crashes() - number of crashes that count
 * @suspect: record
 */
uint32_t mh_suspect_crashes(const struct mh_suspect *suspect);

/**
 * mh_suspect_rounds() - length of the longest series of crashes that count, each
 *                       of a run that began after the one before
 * @suspect: record
 */
uint32_t mh_suspect_rounds(const struct mh_suspect *suspect);

/**
 * mh_suspect_is_refused() - whether the crashes suffice to refuse requests
 * @suspect: record
 */
bool mh_suspect_is_refused(const struct mh_suspect *suspect);

/**
 * mh_suspects_new() - create an empty set
 * @changed: called when other processes should learn of a change; may be NULL
 * @data: first argument of @changed
 */
struct mh_suspects *
mh_suspects_new(void (*changed)(void *data, const struct mh_suspect *suspect),
		void *data);

/**
 * mh_suspects_share_early() - whether to tell other processes of each crash
 * @set: set
 * @on: they see too few crashes each to find what they have in common
 */
void mh_suspects_share_early(struct mh_suspects *set, bool on);

/**
 * mh_suspects_free() - free a set
 * @set: set or NULL
 */
void mh_suspects_free(struct mh_suspects *set);

/**
 * mh_suspects_add_crash() - count a server that a run was lost with
 * @set: set
 * @feature: feature of the run's request
 * @lost: the crash, whose @id and @on_trial are set here; @lost_ns is the time
 * @was_responding: its response had begun: most such servers live, and other
 *                  processes are told only after the time to find out, unless
 *                  they were told of the crash with another part
 *
 * Runs with the same feature that are lost with a server together count once.
 *
 * Return: false if it doesn't count, because an equal request ended well
 * shortly before.
 */
bool mh_suspects_add_crash(struct mh_suspects *set, struct mh_feature feature,
			   const struct mh_crash *lost, bool was_responding);

/**
 * mh_suspects_blames_other() - whether a server ended under a suspect on trial
 * @set: set
 * @lost: crash of another run, seen here or told by another process
 */
bool mh_suspects_blames_other(const struct mh_suspects *set,
			      const struct mh_crash *lost);

/**
 * mh_suspects_refute() - a server did not crash
 * @set: set
 * @server: the server's incarnation
 * @since_ns: crashes that were counted before are kept
 * @now_ns: monotonic time
 */
void mh_suspects_refute(struct mh_suspects *set, uint64_t server,
			uint64_t since_ns, uint64_t now_ns);

/**
 * mh_suspects_blame() - a server crashed by a suspect that was on trial there
 * @set: set
 * @server: the server's incarnation
 * @blamed: features of the suspect
 * @since_ns: crashes that were counted before are kept
 * @now_ns: monotonic time
 *
 * Runs of other requests that were lost with it no longer count, unless they
 * were on trial as well.
 */
void mh_suspects_blame(struct mh_suspects *set, uint64_t server,
		       const struct mh_features *blamed, uint64_t since_ns,
		       uint64_t now_ns);

/**
 * mh_suspects_confirm() - confirm the parts that have crashed enough servers, which
 *                         are refused from then on, and keep their crashes from
 *                         counting against others
 * @set: set
 * @has_settled: whether an open run with a feature has not crashed its server so
 *               far; such a part is not confirmed yet
 * @data: first argument of @has_settled
 * @now_ns: monotonic time
 *
 * Call it after the crashes of a lost run were added. A part that has nearly the
 * same crashes stays: either may be the cause.
 */
void mh_suspects_confirm(struct mh_suspects *set,
			 bool (*has_settled)(void *data,
					     struct mh_feature feature),
			 void *data, uint64_t now_ns);

/**
 * mh_suspects_clear() - a request ended well, so equal ones crash no server
 * @set: set
 * @fingerprint: fingerprint of the whole request
 * @now_ns: monotonic time
 */
void mh_suspects_clear(struct mh_suspects *set, uint64_t fingerprint,
		       uint64_t now_ns);

/**
 * mh_suspects_survived() - a server lived on after it began to respond to a run
 * @set: set
 * @features: features of the run's request, whose parts did not crash it
 * @placed_ns: monotonic time at which the run began
 * @now_ns: monotonic time
 */
void mh_suspects_survived(struct mh_suspects *set,
			  const struct mh_features *features,
			  uint64_t placed_ns, uint64_t now_ns);

/**
 * mh_suspects_survived_briefly() - a server lived on for a short time after it began
 *                                  to respond to a run; call it once for a run
 * @set: set
 * @features: features of the run's request
 * @placed_ns: monotonic time at which the run began
 */
void mh_suspects_survived_briefly(struct mh_suspects *set,
				  const struct mh_features *features,
				  uint64_t placed_ns);

/**
 * mh_suspects_survived_lately() - whether a server recently lived on after a run
 *                                 with a part
 * @set: set
 * @feature: part
 * @now_ns: monotonic time
 */
bool mh_suspects_survived_lately(const struct mh_suspects *set,
				 struct mh_feature feature, uint64_t now_ns);

/**
 * mh_suspects_crashes() - number of crashes that count against a feature
 * @set: set
 * @feature: feature
 * @now_ns: monotonic time
 *
 * Return: number of crashes, 0 unless it is a suspect.
 */
uint32_t mh_suspects_crashes(const struct mh_suspects *set,
			     struct mh_feature feature, uint64_t now_ns);

/**
 * mh_suspects_crash_times() - when the first and the last crash that count against
 *                             a feature were
 * @set: set
 * @feature: feature
 * @first_ns: set to a monotonic time, 0 if none counts
 * @last_ns: the same
 */
void mh_suspects_crash_times(const struct mh_suspects *set,
			     struct mh_feature feature, uint64_t *first_ns,
			     uint64_t *last_ns);

/**
 * mh_suspects_was_known() - whether a feature was a suspect when a run began
 * @set: set
 * @feature: feature
 * @placed_ns: monotonic time at which the run began
 * @now_ns: monotonic time
 */
bool mh_suspects_was_known(const struct mh_suspects *set,
			   struct mh_feature feature, uint64_t placed_ns,
			   uint64_t now_ns);

/* Number of runs of a feature that is no suspect. */
#define MH_TRIALS_UNLIMITED UINT32_MAX

/**
 * mh_suspects_trials() - how many runs with a feature may be open at a time,
 *                        that is, may crash their server yet
 * @set: set
 * @feature: feature
 * @has_settled: an open run with it has not crashed its server so far
 * @now_ns: monotonic time
 *
 * Return: at least 1, MH_TRIALS_UNLIMITED unless it is a suspect.
 */
uint32_t mh_suspects_trials(const struct mh_suspects *set,
			    struct mh_feature feature, bool has_settled,
			    uint64_t now_ns);

/**
 * mh_suspects_refuses() - whether requests with these features are refused
 * @set: set
 * @features: features
 * @now_ns: monotonic time
 * @by: set to the feature that decides
 *
 * They are refused until the retention time after the last crash or refusal; a
 * refusal is recorded. Of two parts that have nearly the same crashes, either may
 * be the cause: requests that hold only the refused one are let through to tell.
 */
bool mh_suspects_refuses(struct mh_suspects *set,
			 const struct mh_features *features, uint64_t now_ns,
			 struct mh_feature *by);

/**
 * mh_suspects_merge() - add what another process knows
 * @set: set
 * @other: its record
 * @now_ns: monotonic time
 *
 * Return: whether it held anything new.
 */
bool mh_suspects_merge(struct mh_suspects *set, const struct mh_suspect *other,
		       uint64_t now_ns);

/**
 * mh_suspects_add_observed() - add crashes that an entry saw
 * @set: set
 * @observed: the entry's record
 * @now_ns: monotonic time
 *
 * Other processes are told of them as of the set's own crashes.
 */
void mh_suspects_add_observed(struct mh_suspects *set,
			      const struct mh_suspect *observed,
			      uint64_t now_ns);

/**
 * mh_suspects_each_since() - walk the records with crashes that count
 * @set: set
 * @since_ns: crashes up to this monotonic time are left out
 * @visit: called for each
 * @data: first argument of @visit
 */
void mh_suspects_each_since(const struct mh_suspects *set, uint64_t since_ns,
			    void (*visit)(void *data,
					  const struct mh_suspect *suspect),
			    void *data);

/**
 * mh_suspects_each() - walk the records that other processes should know
 * @set: set
 * @visit: called for each
 * @data: first argument of @visit
 */
void mh_suspects_each(const struct mh_suspects *set,
		      void (*visit)(void *data,
				    const struct mh_suspect *suspect),
		      void *data);

/**
 * mh_suspects_share() - share crashes that nothing has refuted in time
 * @set: set
 * @now_ns: monotonic time
 *
 * Return: whether any are left to be shared later.
 */
bool mh_suspects_share(struct mh_suspects *set, uint64_t now_ns);

/**
 * mh_suspects_expire() - forget records that are older than their retention
 * @set: set
 * @now_ns: monotonic time
 */
void mh_suspects_expire(struct mh_suspects *set, uint64_t now_ns);

#endif
