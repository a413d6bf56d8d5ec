#include "core/server_notices.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/check_alloc.h"

/* Identifiers are not used again, so the oldest notice is the least missed. */
#define MAX_NOTICES 4096

struct row {
	struct mh_server_notice notice; /* owns its string */
	UT_hash_handle hh;
};

struct mh_server_notices {
	const struct mh_clock *clock;
	struct row *rows; /* in the order in which they were added */
};

const char *mh_send_verdict_name(enum mh_send_verdict verdict)
{
	static const char *const names[MH_SEND_VERDICTS] = {
		[MH_SEND_ALLOWED] = "allowed",
		[MH_SEND_LEAVING] = "leaving",
		[MH_SEND_PAUSED] = "paused",
		[MH_SEND_UNREGISTERED] = "unregistered",
		[MH_SEND_EXCLUDED] = "rollout",
	};

	return names[verdict];
}

uint32_t mh_server_notice_pause_ms(const struct mh_server_notice *notice,
				   uint64_t now_ns)
{
	if (notice->pause_until_ns <= now_ns)
		return 0;
	return (uint32_t)((notice->pause_until_ns - now_ns + MH_NS_PER_MS - 1) /
			  MH_NS_PER_MS);
}

struct mh_server_notices *mh_server_notices_new(const struct mh_clock *clock)
{
	struct mh_server_notices *set = mh_check_alloc(calloc(1, sizeof(*set)));

	set->clock = clock;
	return set;
}

static void free_row(struct mh_server_notices *set, struct row *r)
{
	/* The analyzer does not follow uthash's deletion macros. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(set->rows, r);
	free((char *)r->notice.server);
	free(r);
}

void mh_server_notices_free(struct mh_server_notices *set)
{
	struct row *r, *tmp;

	if (!set)
		return;
	HASH_ITER(hh, set->rows, r, tmp)
		free_row(set, r);
	free(set);
}

static struct row *find(const struct mh_server_notices *set, const char *id)
{
	struct row *r;

	HASH_FIND_STR(set->rows, id, r);
	return r;
}

static bool is_pausing(const struct mh_server_notices *set,
		       const struct mh_server_notice *notice)
{
	return mh_clock_mono_ns(set->clock) < notice->pause_until_ns;
}

static bool holds(const struct mh_server_notices *set,
		  const struct mh_server_notice *notice)
{
	return notice->is_leaving || is_pausing(set, notice) ||
	       notice->limit.max_millihz != MH_NO_LIMIT;
}

/* Makes room for a notice: one that holds no more, or else the oldest. */
static void evict(struct mh_server_notices *set)
{
	struct row *r, *tmp;

	HASH_ITER(hh, set->rows, r, tmp) {
		if (holds(set, &r->notice))
			continue;
		free_row(set, r);
		return;
	}
	free_row(set, set->rows);
}

/* Return: the server's row, or NULL if it is one of a later incarnation. */
static struct row *get(struct mh_server_notices *set,
		       const struct mh_server_ref *server)
{
	struct row *r = find(set, server->id);

	if (r && r->notice.born_ms > server->born_ms)
		return NULL;
	if (r && r->notice.born_ms < server->born_ms) {
		free_row(set, r);
		r = NULL;
	}
	if (r)
		return r;
	if (HASH_COUNT(set->rows) == MAX_NOTICES)
		evict(set);
	r = mh_check_alloc(calloc(1, sizeof(*r)));
	r->notice.server = mh_check_alloc(strdup(server->id));
	r->notice.born_ms = server->born_ms;
	r->notice.limit.max_millihz = MH_NO_LIMIT;
	HASH_ADD_KEYPTR(hh, set->rows, r->notice.server,
			strlen(r->notice.server), r);
	return r;
}

bool mh_server_notices_add_leaving(struct mh_server_notices *set,
				   const struct mh_server_ref *server)
{
	struct row *r = get(set, server);

	if (!r || r->notice.is_leaving)
		return false;
	r->notice.is_leaving = true;
	return true;
}

bool mh_server_notices_add_pause(struct mh_server_notices *set,
				 const struct mh_server_ref *server,
				 uint32_t ms)
{
	struct row *r = get(set, server);
	uint64_t until_ns;

	if (ms > MH_PAUSE_MAX_MS)
		ms = MH_PAUSE_MAX_MS;
	until_ns = mh_clock_mono_ns(set->clock) + ms * MH_NS_PER_MS;
	if (!r || until_ns <= r->notice.pause_until_ns)
		return false;
	r->notice.pause_until_ns = until_ns;
	return true;
}

enum mh_limit_change
mh_server_notices_update_limit(struct mh_server_notices *set,
			       const struct mh_server_ref *server,
			       const struct mh_server_limit *stated)
{
	struct row *r;

	if (stated->max_millihz == MH_NO_LIMIT &&
	    !mh_server_notices_has_limit(set, server))
		return MH_LIMIT_UNCHANGED;
	r = get(set, server);
	return r ? mh_server_limit_update(&r->notice.limit, stated) :
		   MH_LIMIT_UNCHANGED;
}

const struct mh_server_notice *
mh_server_notices_find(const struct mh_server_notices *set,
		       const struct mh_server_ref *server)
{
	const struct row *r = set->rows ? find(set, server->id) : NULL;

	if (!r || r->notice.born_ms < server->born_ms)
		return NULL;
	return &r->notice;
}

bool mh_server_notices_has_limit(const struct mh_server_notices *set,
				 const struct mh_server_ref *server)
{
	const struct mh_server_notice *notice =
		mh_server_notices_find(set, server);

	return notice && notice->limit.max_millihz != MH_NO_LIMIT;
}

enum mh_send_verdict
mh_server_notices_check(const struct mh_server_notices *set,
			const struct mh_server_ref *server)
{
	const struct mh_server_notice *notice =
		mh_server_notices_find(set, server);

	if (!notice)
		return MH_SEND_ALLOWED;
	if (notice->is_leaving)
		return MH_SEND_LEAVING;
	return is_pausing(set, notice) ? MH_SEND_PAUSED : MH_SEND_ALLOWED;
}

void mh_server_notices_each(
	const struct mh_server_notices *set,
	void (*visit)(void *data, const struct mh_server_notice *notice),
	void *data)
{
	struct row *r, *tmp;

	HASH_ITER(hh, set->rows, r, tmp) {
		if (holds(set, &r->notice))
			visit(data, &r->notice);
	}
}
