#include "net/timers.h"

#include <stdlib.h>

static bool earlier(const void *a, const void *b)
{
	return ((const struct mh_timer *)a)->due_ns <
	       ((const struct mh_timer *)b)->due_ns;
}

void mh_timers_init(struct mh_timers *set)
{
	mh_heap_init(&set->heap, earlier, offsetof(struct mh_timer, index));
}

void mh_timers_release(struct mh_timers *set)
{
	mh_heap_release(&set->heap);
}

void mh_timer_init(struct mh_timer *t, void (*fire)(void *data), void *data)
{
	t->index = MH_HEAP_NONE;
	t->due_ns = 0;
	t->fire = fire;
	t->data = data;
}

void mh_timer_set(struct mh_timers *set, struct mh_timer *t, uint64_t due_ns)
{
	if (t->index != MH_HEAP_NONE) {
		t->due_ns = due_ns;
		mh_heap_update(&set->heap, t);
		return;
	}
	t->due_ns = due_ns;
	/* Without its timer a caller could wait for ever. */
	if (!mh_heap_add(&set->heap, t))
		abort();
}

void mh_timer_clear(struct mh_timers *set, struct mh_timer *t)
{
	if (t->index != MH_HEAP_NONE)
		mh_heap_remove(&set->heap, t);
}

uint64_t mh_timers_run(struct mh_timers *set, uint64_t now_ns)
{
	struct mh_timer *t;

	while ((t = mh_heap_min(&set->heap)) && t->due_ns <= now_ns) {
		mh_heap_remove(&set->heap, t);
		t->fire(t->data);
	}
	t = mh_heap_min(&set->heap);
	return t ? t->due_ns : UINT64_MAX;
}
