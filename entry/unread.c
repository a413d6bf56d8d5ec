#include "entry/unread.h"

#include <stdlib.h>
#include <string.h>

/* A client that leaves more of its response unread is too slow and cut off. */
#define MAX_BYTES (32u << 20)
/* A client may have this much unread, however much others have. */
#define MIN_BYTES (256u << 10)

bool mh_unread_has_room(const struct mh_unread *u,
			const struct mh_unread_pool *pool, size_t more)
{
	uint64_t all = __atomic_load_n(&pool->bytes, __ATOMIC_RELAXED);
	size_t unread = u->len - u->start + more;

	return unread <= MIN_BYTES ||
	       (unread <= MAX_BYTES && all + more <= pool->max);
}

static void set_cap(struct mh_unread *u, struct mh_unread_pool *pool,
		    size_t cap)
{
	__atomic_add_fetch(&pool->bytes, (uint64_t)cap - u->cap,
			   __ATOMIC_RELAXED);
	u->cap = cap;
}

bool mh_unread_add(struct mh_unread *u, struct mh_unread_pool *pool,
		   const uint8_t *bytes, size_t len)
{
	if (u->start && u->len + len > u->cap) {
		memmove(u->p, u->p + u->start, u->len - u->start);
		u->len -= u->start;
		u->start = 0;
	}
	if (u->len + len > u->cap) {
		size_t cap = (u->len + len) * 2;
		uint8_t *p = realloc(u->p, cap);

		if (!p)
			return false;
		u->p = p;
		set_cap(u, pool, cap);
	}
	memcpy(u->p + u->len, bytes, len);
	u->len += len;
	return true;
}

void mh_unread_release(struct mh_unread *u, struct mh_unread_pool *pool)
{
	free(u->p);
	set_cap(u, pool, 0);
	memset(u, 0, sizeof(*u));
}
