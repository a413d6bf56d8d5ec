/*
 * Allocations that a process can't continue without.
 */
#ifndef MH_CHECK_ALLOC_H
#define MH_CHECK_ALLOC_H

#include <stdlib.h>

/**
 * mh_check_alloc() - abort the process if an allocation failed
 * @p: result of an allocation
 *
 * Return: @p, which is not NULL.
 */
static inline void *mh_check_alloc(void *p)
{
	if (!p)
		abort();
	return p;
}

#endif
