/*
 * Counters of one process. Any thread may read them while the owner adds.
 */
#ifndef MH_COUNTERS_H
#define MH_COUNTERS_H

#include <stdatomic.h>
#include <stdint.h>

#include "core/counter_names.h"

struct mh_counters {
	_Atomic uint64_t v[MH_C_COUNT];
};

/**
 * mh_count_add() - add to a counter
 * @c: counters
 * @id: which one
 * @n: amount
 */
static inline void mh_count_add(struct mh_counters *c, enum mh_counter id,
				uint64_t n)
{
	atomic_fetch_add_explicit(&c->v[id], n, memory_order_relaxed);
}

/**
 * mh_count() - add one to a counter
 * @c: counters
 * @id: which one
 */
static inline void mh_count(struct mh_counters *c, enum mh_counter id)
{
	mh_count_add(c, id, 1);
}

/**
 * mh_counter_read() - value of a counter
 * @c: counters
 * @id: which one
 */
static inline uint64_t mh_counter_read(const struct mh_counters *c,
				       enum mh_counter id)
{
	return atomic_load_explicit(&c->v[id], memory_order_relaxed);
}

/**
 * mh_counter_name() - name of a counter in metrics
 * @id: which one
 */
const char *mh_counter_name(enum mh_counter id);

/**
 * mh_counter_help() - what a counter counts
 * @id: which one
 */
const char *mh_counter_help(enum mh_counter id);

#endif
