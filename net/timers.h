/*
 * One-shot timers of a loop's thread, ordered in a heap.
 */
#ifndef MH_TIMERS_H
#define MH_TIMERS_H

#include <stdint.h>

#include "core/heap.h"

/**
 * struct mh_timer - timer, embedded by its owner
 * @index: index in the heap; MH_HEAP_NONE while it isn't set
 * @due_ns: monotonic time of expiry
 * @fire: called on expiry; may set the timer again
 * @data: first argument of @fire
 */
struct mh_timer {
	uint32_t index;
	uint64_t due_ns;
	void (*fire)(void *data);
	void *data;
};

/**
 * struct mh_timers - all timers of one thread
 * @heap: timers that are set, the earliest first
 */
struct mh_timers {
	struct mh_heap heap;
};

/**
 * mh_timers_init() - initialize an empty set
 * @set: set
 */
void mh_timers_init(struct mh_timers *set);

/**
 * mh_timers_release() - free the set's memory, not the timers
 * @set: set
 */
void mh_timers_release(struct mh_timers *set);

/**
 * mh_timer_init() - initialize a timer that isn't set
 * @t: timer
 * @fire: called on expiry
 * @data: first argument of @fire
 */
void mh_timer_init(struct mh_timer *t, void (*fire)(void *data), void *data);

/**
 * mh_timer_set() - set a timer, or change its time
 * @set: set
 * @t: timer
 * @due_ns: monotonic time
 */
void mh_timer_set(struct mh_timers *set, struct mh_timer *t, uint64_t due_ns);

/**
 * mh_timer_clear() - cancel a timer; no effect if it isn't set
 * @set: set
 * @t: timer
 */
void mh_timer_clear(struct mh_timers *set, struct mh_timer *t);

/**
 * mh_timers_run() - call the timers that are due
 * @set: set
 * @now_ns: monotonic time
 *
 * Return: monotonic time of the next timer, UINT64_MAX if none is set.
 */
uint64_t mh_timers_run(struct mh_timers *set, uint64_t now_ns);

#endif
