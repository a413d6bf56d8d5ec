/*
 * Binary heap of pointers. Each element stores its own index, so that it can
 * be removed from the middle.
 */
#ifndef MH_HEAP_H
#define MH_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Index of an element that is not in a heap. */
#define MH_HEAP_NONE UINT32_MAX

/**
 * struct mh_heap - heap
 * @v: elements
 * @n: number of elements
 * @cap: size of @v
 * @less: whether the first element comes before the second
 * @index_offset: offset of the uint32_t index inside an element
 */
struct mh_heap {
	void **v;
	uint32_t n;
	uint32_t cap;
	bool (*less)(const void *a, const void *b);
	size_t index_offset;
};

/**
 * mh_heap_init() - set up an empty heap
 * @h: heap
 * @less: whether the first element comes before the second
 * @index_offset: offset of the uint32_t index inside an element
 */
void mh_heap_init(struct mh_heap *h, bool (*less)(const void *a, const void *b),
		  size_t index_offset);

/**
 * mh_heap_release() - free the heap's memory, not its elements
 * @h: heap
 */
void mh_heap_release(struct mh_heap *h);

/**
 * mh_heap_add() - add an element
 * @h: heap
 * @elem: element that is not in the heap
 *
 * Return: false if memory allocation failed.
 */
bool mh_heap_add(struct mh_heap *h, void *elem);

/**
 * mh_heap_remove() - remove an element; no effect if it is not in the heap
 * @h: heap
 * @elem: element
 */
void mh_heap_remove(struct mh_heap *h, void *elem);

/**
 * mh_heap_update() - restore the order after an element's key changed
 * @h: heap
 * @elem: element in the heap
 */
void mh_heap_update(struct mh_heap *h, void *elem);

/**
 * mh_heap_min() - first element in the heap's order, NULL when empty
 * @h: heap
 */
static inline void *mh_heap_min(const struct mh_heap *h)
{
	return h->n ? h->v[0] : NULL;
}

/**
 * mh_heap_any_leaf() - some element without children, not always the last one
 *                      in the heap's order; NULL when empty
 * @h: heap
 */
static inline void *mh_heap_any_leaf(const struct mh_heap *h)
{
	return h->n ? h->v[h->n - 1] : NULL;
}

#endif
