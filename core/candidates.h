/*
 * Choice of the dispatchers that an entry keeps links to, and of the one that
 * it uses. All entries compute the same ranking, so they mostly choose the same
 * dispatcher without exchanging messages.
 */
#ifndef MH_CANDIDATES_H
#define MH_CANDIDATES_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct mh_candidate - a dispatcher that can be used
 * @name: name of its host
 * @address: "ip:port" that it listens on for links
 * @score: rank by rendezvous hashing, the greatest is the best
 * @dialled: a link to it is kept
 * @dialled_ns: monotonic time at which @dialled last changed; 0 after the link
 *              was lost, so that a further one is dialled at once
 * @up: the link is up
 * @fit: its last heartbeat reported that it can reach the store
 * @was_fit: @fit was true at some time since the link came up
 * @servers_ns: monotonic time as of which it knows the backend servers and has told
 *              of them, 0 if it has read none
 * @doubts_servers: it can't tell whether some of them are gone
 * @up_ns: monotonic time at which the link came up
 * @fit_changed_ns: monotonic time of the last change of @fit
 * @incarnation: of the process at the other end
 * @used_until_ns: monotonic time until which that process was used and its link up,
 *                 0 if it was not
 * @link: number of the link
 */
struct mh_candidate {
	char *name;
	char *address;
	uint64_t score;
	bool dialled;
	uint64_t dialled_ns;
	bool up;
	bool fit;
	bool was_fit;
	uint64_t servers_ns;
	bool doubts_servers;
	uint64_t up_ns;
	uint64_t fit_changed_ns;
	uint64_t incarnation;
	uint64_t used_until_ns;
	uint32_t link;
	struct mh_candidate *prev, *next;
};

/**
 * struct mh_candidates - all known candidates, sorted by descending score
 * @first: the best one
 * @entries: number of entries that share the slots, 0 if no dispatcher has
 *           reported it
 * @entries_ns: monotonic time at which a dispatcher last reported as many
 * @found_ns: monotonic time at which a dispatcher was last chosen after there was
 *            none
 * @registered: number of entries that the platform's store lists, 0 if it was
 *              not read yet
 * @search_ns: monotonic time at which the present step of a search for a fit
 *             dispatcher began, 0 if there is none
 * @search_step: number of that step
 * @search_first: position of the first candidate of that step
 */
struct mh_candidates {
	struct mh_candidate *first;
	uint32_t entries;
	uint64_t entries_ns;
	uint64_t found_ns;
	uint32_t registered;
	uint64_t search_ns;
	uint32_t search_step;
	uint32_t search_first;
};

/**
 * mh_candidates_add() - add a candidate
 * @set: set
 * @name: name of its host, not in the set yet
 * @address: "ip:port" that it listens on for links
 */
void mh_candidates_add(struct mh_candidates *set, const char *name,
		       const char *address);

/* Number of candidates that dispatchers tell entries of. */
#define MH_CANDIDATES_TOLD 8

/**
 * mh_candidates_learn() - add a candidate, or change its address
 * @set: set
 * @name: name of its host
 * @address: "ip:port" that it listens on for links
 *
 * Return: whether this changed any of the best MH_CANDIDATES_TOLD.
 */
bool mh_candidates_learn(struct mh_candidates *set, const char *name,
			 const char *address);

/**
 * mh_candidates_at_address() - find a candidate by its address
 * @set: set
 * @address: "ip:port" that it listens on for links
 *
 * Return: NULL if there is none.
 */
struct mh_candidate *mh_candidates_at_address(const struct mh_candidates *set,
					      const char *address);

/**
 * mh_candidates_release() - free all candidates
 * @set: set
 */
void mh_candidates_release(struct mh_candidates *set);

/**
 * mh_candidates_find() - find a candidate by the name of its host
 * @set: set
 * @name: name
 *
 * Return: NULL if there is none.
 */
struct mh_candidate *mh_candidates_find(const struct mh_candidates *set,
					const char *name);

/**
 * mh_candidates_of_link() - find a candidate by its link
 * @set: set
 * @link: number of a link that is up
 *
 * Return: NULL if there is none.
 */
struct mh_candidate *mh_candidates_of_link(const struct mh_candidates *set,
					   uint32_t link);

/**
 * mh_candidate_up() - record that its link came up
 * @c: candidate
 * @link: number of the link
 * @incarnation: of the process at the other end
 * @now_ns: monotonic time
 */
void mh_candidate_up(struct mh_candidate *c, uint32_t link,
		     uint64_t incarnation, uint64_t now_ns);

/**
 * mh_candidate_down() - record that its link was lost
 * @c: candidate
 */
void mh_candidate_down(struct mh_candidate *c);

/**
 * mh_candidate_know_servers() - record what a heartbeat says of backend servers
 * @c: candidate that is up
 * @age_ms: time since its last successful read of them began, UINT32_MAX if there
 *          was none
 * @in_doubt: it can't tell whether some of them are gone
 * @now_ns: monotonic time
 */
void mh_candidate_know_servers(struct mh_candidate *c, uint32_t age_ms,
			       bool in_doubt, uint64_t now_ns);

/**
 * mh_candidates_servers_ns() - time as of which this process knows of the backend
 *                              servers through its dispatchers
 * @set: set
 *
 * Return: monotonic time, 0 if no dispatcher was linked that has read them.
 */
uint64_t mh_candidates_servers_ns(const struct mh_candidates *set);

/**
 * mh_candidates_doubt_servers() - whether no dispatcher that is up can tell which
 *                                 backend servers are gone
 * @set: set
 */
bool mh_candidates_doubt_servers(const struct mh_candidates *set);

/**
 * mh_candidate_heartbeat() - take a heartbeat of a candidate
 * @c: candidate
 * @fit: it can reach the store
 * @now_ns: monotonic time
 */
void mh_candidate_heartbeat(struct mh_candidate *c, bool fit, uint64_t now_ns);

/**
 * mh_candidates_count_entries() - take the number of entries from a heartbeat
 * @set: set
 * @n: number of entries that are linked to the dispatcher
 * @is_used: it is the dispatcher in use
 * @now_ns: monotonic time
 *
 * A dispatcher that is not in use, or has been for a moment only, may be linked
 * to few of the entries. With too small a number each entry's share of slots and
 * limits is too large, so a greater number holds for a while.
 */
void mh_candidates_count_entries(struct mh_candidates *set, uint32_t n,
				 bool is_used, uint64_t now_ns);

/**
 * mh_candidates_sharing() - number of entries that share slots and limits while
 *                           there is no dispatcher
 * @set: set
 *
 * Either source may miss some: a dispatcher those that are linked to another
 * one, the store those that could not register yet. Too great a number only
 * leaves a part unused.
 */
uint32_t mh_candidates_sharing(const struct mh_candidates *set);

/**
 * mh_candidates_dial() - open and close links, so that links to the best
 *                        candidates that answer are kept
 * @set: set
 * @used: the one in use, or NULL
 * @now_ns: monotonic time
 * @change: called with @dial true for a link to open and keep, false for one to
 *          close
 * @data: first argument of @change
 *
 * While none of the linked ones can reach the store, further ones are tried in
 * turn, a few at a time: others may reach it.
 */
void mh_candidates_dial(struct mh_candidates *set,
			const struct mh_candidate *used, uint64_t now_ns,
			void (*change)(void *data, struct mh_candidate *c,
				       bool dial),
			void *data);

/**
 * mh_candidates_choose() - choose the dispatcher to use
 * @set: set
 * @used: the one in use, or NULL
 * @now_ns: monotonic time
 *
 * Return: NULL if none can be used.
 */
struct mh_candidate *mh_candidates_choose(const struct mh_candidates *set,
					  struct mh_candidate *used,
					  uint64_t now_ns);

#endif
