#include "core/heap.h"

#include <stdlib.h>

#define INITIAL_CAPACITY 16

void mh_heap_init(struct mh_heap *h, bool (*less)(const void *a, const void *b),
		  size_t index_offset)
{
	h->v = NULL;
	h->n = 0;
	h->cap = 0;
	h->less = less;
	h->index_offset = index_offset;
}

void mh_heap_release(struct mh_heap *h)
{
	free(h->v);
	h->v = NULL;
	h->n = 0;
	h->cap = 0;
}

static uint32_t *index_of(const struct mh_heap *h, void *elem)
{
	return (uint32_t *)((char *)elem + h->index_offset);
}

static void place(struct mh_heap *h, uint32_t i, void *elem)
{
	h->v[i] = elem;
	*index_of(h, elem) = i;
}

static void sift_up(struct mh_heap *h, uint32_t i)
{
	void *elem = h->v[i];

	while (i > 0) {
		uint32_t parent = (i - 1) / 2;

		if (!h->less(elem, h->v[parent]))
			break;
		place(h, i, h->v[parent]);
		i = parent;
	}
	place(h, i, elem);
}

static void sift_down(struct mh_heap *h, uint32_t i)
{
	void *elem = h->v[i];

	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= h->n)
			break;
		if (child + 1 < h->n && h->less(h->v[child + 1], h->v[child]))
			child++;
		if (!h->less(h->v[child], elem))
			break;
		place(h, i, h->v[child]);
		i = child;
	}
	place(h, i, elem);
}

bool mh_heap_add(struct mh_heap *h, void *elem)
{
	if (h->n == h->cap) {
		uint32_t cap = h->cap ? h->cap * 2 : INITIAL_CAPACITY;
		void **v = realloc(h->v, cap * sizeof(*v));

		if (!v)
			return false;
		h->v = v;
		h->cap = cap;
	}
	place(h, h->n, elem);
	sift_up(h, h->n++);
	return true;
}

void mh_heap_remove(struct mh_heap *h, void *elem)
{
	uint32_t i = *index_of(h, elem);
	void *last;

	if (i == MH_HEAP_NONE || i >= h->n || h->v[i] != elem)
		return;
	last = h->v[--h->n];
	*index_of(h, elem) = MH_HEAP_NONE;
	if (last == elem)
		return;
	place(h, i, last);
	mh_heap_update(h, last);
}

void mh_heap_update(struct mh_heap *h, void *elem)
{
	sift_up(h, *index_of(h, elem));
	sift_down(h, *index_of(h, elem));
}
