/*
 * Memory that the processes can't go on without.
 */
#ifndef MH_CHECK_ALLOC_H
#define MH_CHECK_ALLOC_H

#include <stdlib.h>

/**
 * mh_check_alloc() - end the process if there is no memory
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
