/*
 * When an entry reads the platform's store itself. While a dispatcher serves it
 * the entry reads nothing: the dispatcher passes on configuration, servers and
 * the addresses of other dispatchers. So the number of readers does not grow
 * with the number of entries.
 */
#ifndef MH_STORE_READS_H
#define MH_STORE_READS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct mh_store_reads - what an entry knows of its dispatchers
 * @has_dispatcher: it uses a dispatcher
 * @is_fit: the dispatcher in use can reach the store
 * @is_stale: no dispatcher tells of servers that leave in time: what they read is
 *            too old, or they can't tell an outage of the store from a cut
 * @store_answers: the last read of this entry succeeded
 * @has_seeds: the settings name addresses of dispatchers
 * @entries: number of entries that share the reads, 0 if not known
 * @lost_ms: time since no dispatcher could be used, 0 while one can be
 * @patience_ms: time for which the entry waits for its seeds, different for
 *               each entry
 */
struct mh_store_reads {
	bool has_dispatcher;
	bool is_fit;
	bool is_stale;
	bool store_answers;
	bool has_seeds;
	uint32_t entries;
	uint64_t lost_ms;
	uint32_t patience_ms;
};

/* Bounds of @patience_ms. Within the greater one a link to a seed comes up, and
 * a dispatcher that was just linked has read the store. */
#define MH_STORE_PATIENCE_MIN_MS 400
#define MH_STORE_PATIENCE_MAX_MS 800

/* Age at which what dispatchers know of the servers is too old. A dispatcher reads
 * them at least every 1100 ms; this entry has read them itself, within
 * MH_STORE_FIRST_READ_MS more, before a server that has left may end. */
#define MH_STORE_STALE_MS 1200
#define MH_STORE_FIRST_READ_MS 250

/**
 * mh_store_reads_dispatchers() - whether to read the list of dispatchers, and
 *                                of entries
 * @r: state
 */
bool mh_store_reads_dispatchers(const struct mh_store_reads *r);

/**
 * mh_store_reads_interval_factor() - how often to read configuration and
 *                                    servers
 * @r: state
 *
 * Return: factor for the interval between two reads, at least 1; 0 for not at
 * all.
 */
double mh_store_reads_interval_factor(const struct mh_store_reads *r);

#endif
