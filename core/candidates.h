/*
 * Which of the processes that can dispatch an entry links to, and which one it
 * uses. All entries rank them alike, so they mostly agree without a word.
 */
#ifndef MH_CANDIDATES_H
#define MH_CANDIDATES_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct mh_candidate - a process that can dispatch
 * @name: name of its host
 * @address: "ip:port" of its links
 * @score: rank by rendezvous hashing, the greatest is the best
 * @dialled: a link to it is kept
 * @dialled_ns: monotonic time since when
 * @up: the link is up
 * @fit: it is in touch with the store, as it says
 * @was_fit: it was so since the link is up
 * @up_ns: monotonic time of the link's start
 * @fit_changed_ns: monotonic time of the last change of @fit
 * @incarnation: of the process at the other end
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
	uint64_t up_ns;
	uint64_t fit_changed_ns;
	uint64_t incarnation;
	uint32_t link;
	struct mh_candidate *prev, *next;
};

/**
 * struct mh_candidates - all that are known, the best first
 * @first: the best one
 */
struct mh_candidates {
	struct mh_candidate *first;
};

/**
 * mh_candidates_add() - get to know one
 * @set: set
 * @name: name of its host, not known before
 * @address: "ip:port" of its links
 */
void mh_candidates_add(struct mh_candidates *set, const char *name,
		       const char *address);

/**
 * mh_candidates_release() - free all
 * @set: set
 */
void mh_candidates_release(struct mh_candidates *set);

/**
 * mh_candidates_find() - by the name of its host
 * @set: set
 * @name: name
 */
struct mh_candidate *mh_candidates_find(const struct mh_candidates *set,
					const char *name);

/**
 * mh_candidates_of_link() - by its link
 * @set: set
 * @link: number of a link that is up
 */
struct mh_candidate *mh_candidates_of_link(const struct mh_candidates *set,
					   uint32_t link);

/**
 * mh_candidate_up() - its link is up
 * @c: candidate
 * @link: number of the link
 * @incarnation: of the process at the other end
 * @now_ns: monotonic time
 */
void mh_candidate_up(struct mh_candidate *c, uint32_t link,
		     uint64_t incarnation, uint64_t now_ns);

/**
 * mh_candidate_down() - its link is lost
 * @c: candidate
 */
void mh_candidate_down(struct mh_candidate *c);

/**
 * mh_candidate_heartbeat() - it tells how it stands
 * @c: candidate
 * @fit: in touch with the store
 * @now_ns: monotonic time
 */
void mh_candidate_heartbeat(struct mh_candidate *c, bool fit, uint64_t now_ns);

/**
 * mh_candidates_dial() - which links to keep: to the best ones, and to further
 *                        ones for those that don't answer
 * @set: set
 * @used: the one in use, or NULL
 * @now_ns: monotonic time
 * @change: called with @dial for a link to be kept or no longer kept
 * @data: first argument of @change
 */
void mh_candidates_dial(struct mh_candidates *set,
			const struct mh_candidate *used, uint64_t now_ns,
			void (*change)(void *data, struct mh_candidate *c,
				       bool dial),
			void *data);

/**
 * mh_candidates_choose() - which one to use
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
