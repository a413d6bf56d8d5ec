/*
 * Bytes of responses that clients have not read yet. Each client may have a small
 * number of them; what goes beyond that is bounded for all clients together.
 */
#ifndef MH_UNREAD_H
#define MH_UNREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct mh_unread_pool - unread bytes of all clients
 * @bytes: memory in use, changed by several threads
 * @max: above it, clients with many unread bytes get no more
 */
struct mh_unread_pool {
	uint64_t bytes;
	uint64_t max;
};

/**
 * struct mh_unread - unread bytes of one response; empty if zeroed
 * @p: memory
 * @start: offset of the first byte
 * @len: offset of the end
 * @cap: size of @p
 */
struct mh_unread {
	uint8_t *p;
	size_t start;
	size_t len;
	size_t cap;
};

/**
 * mh_unread_has_room() - whether a client may have more unread bytes
 * @u: its unread bytes
 * @pool: those of all clients
 * @more: further bytes
 */
bool mh_unread_has_room(const struct mh_unread *u,
			const struct mh_unread_pool *pool, size_t more);

/**
 * mh_unread_add() - append bytes
 * @u: unread bytes
 * @pool: those of all clients
 * @bytes: bytes
 * @len: length of @bytes
 *
 * Return: false if out of memory.
 */
bool mh_unread_add(struct mh_unread *u, struct mh_unread_pool *pool,
		   const uint8_t *bytes, size_t len);

/**
 * mh_unread_release() - free the memory
 * @u: unread bytes
 * @pool: those of all clients
 */
void mh_unread_release(struct mh_unread *u, struct mh_unread_pool *pool);

#endif
