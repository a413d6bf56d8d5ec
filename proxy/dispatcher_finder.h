/*
 * How an entry finds dispatchers: by the addresses in its settings, from the
 * dispatchers that it is linked to, and from the platform's store. Keeps the
 * links to them.
 */
#ifndef MH_DISPATCHER_FINDER_H
#define MH_DISPATCHER_FINDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/candidates.h"
#include "net/event_log.h"
#include "net/link.h"

/**
 * struct mh_dispatcher_finder - known dispatchers and the links to them
 * @links: set of links
 * @candidates: dispatchers, owned by the caller
 * @log: log
 * @seeds: addresses to begin with, "ip:port", owned
 * @n_seeds: number of elements in @seeds
 */
struct mh_dispatcher_finder {
	struct mh_links *links;
	struct mh_candidates *candidates;
	struct mh_event_log *log;
	char **seeds;
	size_t n_seeds;
};

/**
 * mh_dispatcher_finder_release() - free the seeds
 * @f: finder
 */
void mh_dispatcher_finder_release(struct mh_dispatcher_finder *f);

/**
 * mh_dispatcher_finder_set_seeds() - replace the seeds
 * @f: finder
 * @seeds: copied
 * @n: number of elements in @seeds
 */
void mh_dispatcher_finder_set_seeds(struct mh_dispatcher_finder *f,
				    char *const *seeds, size_t n);

/**
 * mh_dispatcher_finder_learn() - take the address of a dispatcher from the store
 * @f: finder
 * @name: name of its host
 * @address: "ip:port" of its links
 */
void mh_dispatcher_finder_learn(struct mh_dispatcher_finder *f,
				const char *name, const char *address);

/**
 * mh_dispatcher_finder_receive() - take the dispatchers that a dispatcher knows
 * @f: finder
 * @msg: its message
 * @from: name of its host
 *
 * Its list may be older than what this entry knows, so a candidate whose link is
 * up keeps its address.
 */
void mh_dispatcher_finder_receive(struct mh_dispatcher_finder *f,
				  const Mh__Dispatchers *msg, const char *from);

/**
 * mh_dispatcher_finder_link_up() - find the candidate of a link that came up
 * @f: finder
 * @link: number of the link
 * @host: host at the other end
 * @now_ns: monotonic time
 *
 * The dispatcher behind a seed is known by its address only until then.
 */
struct mh_candidate *
mh_dispatcher_finder_link_up(struct mh_dispatcher_finder *f, uint32_t link,
			     const char *host, uint64_t now_ns);

/**
 * mh_dispatcher_finder_dial() - open and close links, as mh_candidates_dial()
 *                               decides; links to seeds while no dispatcher is
 *                               usable
 * @f: finder
 * @used: dispatcher in use, or NULL
 * @now_ns: monotonic time
 */
void mh_dispatcher_finder_dial(struct mh_dispatcher_finder *f,
			       const struct mh_candidate *used,
			       uint64_t now_ns);

#endif
