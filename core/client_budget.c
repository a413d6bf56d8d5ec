#include "core/client_budget.h"

#include <string.h>
#include <utlist.h>

/* Part of the budget that large requests may not use. */
#define SMALL_PART 4

static uint64_t now_of(const struct mh_client_budget *b)
{
	return mh_clock_mono_ns(b->clock);
}

static bool is_large(uint64_t bytes)
{
	return bytes > MH_CLIENT_SMALL_BYTES;
}

static uint64_t max_large_bytes(const struct mh_client_budget *b)
{
	uint64_t part = b->conf.max_bytes - b->conf.max_bytes / SMALL_PART;

	return part > b->max_request_bytes ? part : b->max_request_bytes;
}

uint64_t mh_client_budget_limit(const struct mh_client_budget *b)
{
	return max_large_bytes(b) + b->conf.max_bytes / SMALL_PART;
}

void mh_client_budget_init(struct mh_client_budget *b,
			   const struct mh_client_budget_conf *conf,
			   const struct mh_clock *clock)
{
	memset(b, 0, sizeof(*b));
	b->conf = *conf;
	b->clock = clock;
}

void mh_client_budget_set_request(struct mh_client_budget *b, uint64_t bytes)
{
	b->max_request_bytes = bytes;
}

static struct mh_client_usage **list_of(struct mh_client_budget *b,
					const struct mh_client_usage *u)
{
	return u->is_large ? &b->large : &b->lists[u->stage];
}

static void unlink_usage(struct mh_client_budget *b, struct mh_client_usage *u)
{
	struct mh_client_usage **list = list_of(b, u);

	DL_DELETE(*list, u);
}

/* The lists are in the order of moved_ns, the oldest first. One that changes its
 * list without progress takes its place among the others there. */
static void link_usage(struct mh_client_budget *b, struct mh_client_usage *u)
{
	struct mh_client_usage **list, *other;

	u->is_large = u->stage == MH_CLIENT_READING && is_large(u->bytes);
	list = list_of(b, u);
	other = *list ? (*list)->prev : NULL;
	while (other && other->moved_ns > u->moved_ns)
		other = other == *list ? NULL : other->prev;
	if (other)
		DL_APPEND_ELEM(*list, other, u);
	else
		DL_PREPEND(*list, u);
}

static void mark_moved(struct mh_client_budget *b, struct mh_client_usage *u)
{
	struct mh_client_usage **list = list_of(b, u);

	u->moved_ns = now_of(b);
	u->unmoved_bytes = 0;
	DL_DELETE(*list, u);
	DL_APPEND(*list, u);
}

void mh_client_budget_add(struct mh_client_budget *b, struct mh_client_usage *u,
			  uint64_t bytes)
{
	memset(u, 0, sizeof(*u));
	u->stage = MH_CLIENT_FRESH;
	u->moved_ns = now_of(b);
	u->began_ns = u->moved_ns;
	b->n++;
	link_usage(b, u);
	mh_client_budget_set_bytes(b, u, bytes);
}

void mh_client_budget_remove(struct mh_client_budget *b,
			     struct mh_client_usage *u)
{
	mh_client_budget_set_bytes(b, u, 0);
	unlink_usage(b, u);
	b->n--;
}

void mh_client_budget_set_stage(struct mh_client_budget *b,
				struct mh_client_usage *u,
				enum mh_client_stage stage)
{
	if (u->stage == stage)
		return;
	unlink_usage(b, u);
	u->stage = stage;
	u->moved_ns = now_of(b);
	u->unmoved_bytes = 0;
	if (stage == MH_CLIENT_READING)
		u->began_ns = u->moved_ns;
	link_usage(b, u);
}

void mh_client_budget_received(struct mh_client_budget *b,
			       struct mh_client_usage *u, uint64_t bytes)
{
	u->unmoved_bytes += bytes;
	if (u->unmoved_bytes >= MH_CLIENT_PROGRESS_BYTES)
		mark_moved(b, u);
}

void mh_client_budget_set_bytes(struct mh_client_budget *b,
				struct mh_client_usage *u, uint64_t bytes)
{
	if (bytes == u->bytes)
		return;
	if (is_large(u->bytes))
		b->large_bytes -= u->bytes;
	if (is_large(bytes))
		b->large_bytes += bytes;
	b->bytes += bytes - u->bytes;
	if (is_large(bytes) == is_large(u->bytes)) {
		u->bytes = bytes;
		return;
	}
	unlink_usage(b, u);
	u->bytes = bytes;
	link_usage(b, u);
}

bool mh_client_budget_has_room(const struct mh_client_budget *b, uint64_t more)
{
	return b->bytes + more <= mh_client_budget_limit(b);
}

bool mh_client_budget_is_full(const struct mh_client_budget *b)
{
	return b->n >= b->conf.max_connections;
}

static bool is_older(const struct mh_client_usage *u, uint64_t now_ns,
		     uint64_t age_ns)
{
	return u && now_ns >= u->moved_ns + age_ns;
}

struct mh_client_usage *
mh_client_budget_connection_victim(const struct mh_client_budget *b)
{
	struct mh_client_usage *fresh = b->lists[MH_CLIENT_FRESH];
	struct mh_client_usage *reading = b->lists[MH_CLIENT_READING];
	uint64_t now_ns = now_of(b);

	if (b->lists[MH_CLIENT_LEAVING])
		return b->lists[MH_CLIENT_LEAVING];
	if (is_older(fresh, now_ns, MH_CLIENT_FRESH_NS))
		return fresh;
	if (b->lists[MH_CLIENT_IDLE])
		return b->lists[MH_CLIENT_IDLE];
	if (is_older(b->large, now_ns, MH_CLIENT_STALLED_NS))
		return b->large;
	if (is_older(reading, now_ns, MH_CLIENT_STALLED_NS))
		return reading;
	return fresh;
}

static bool fits(const struct mh_client_budget *b,
		 const struct mh_client_usage *u, uint64_t more)
{
	uint64_t large = b->large_bytes;

	if (!mh_client_budget_has_room(b, more))
		return false;
	if (!is_large(u->bytes + more))
		return true;
	large += is_large(u->bytes) ? more : u->bytes + more;
	return large <= max_large_bytes(b);
}

/* The stalled large request that holds most for longest. */
static struct mh_client_usage *stalled_large(const struct mh_client_budget *b,
					     uint64_t now_ns)
{
	struct mh_client_usage *v, *worst = NULL;
	double weight, most = 0;

	DL_FOREACH(b->large, v) {
		if (!is_older(v, now_ns, MH_CLIENT_STALLED_NS))
			break;
		weight = (double)v->bytes * (double)(now_ns - v->moved_ns);
		if (weight > most) {
			most = weight;
			worst = v;
		}
	}
	return worst;
}

static struct mh_client_usage *newest_large(const struct mh_client_budget *b,
					    struct mh_client_usage *u)
{
	struct mh_client_usage *v, *newest = u;

	DL_FOREACH(b->large, v) {
		if (v->began_ns > newest->began_ns)
			newest = v;
	}
	return newest;
}

struct mh_client_usage *
mh_client_budget_bytes_victim(const struct mh_client_budget *b,
			      struct mh_client_usage *u, uint64_t more)
{
	struct mh_client_usage *v;
	uint64_t now_ns = now_of(b);

	if (fits(b, u, more))
		return NULL;
	v = stalled_large(b, now_ns);
	if (v)
		return v;
	/* Others do not help a large one that is over its part. */
	if (!mh_client_budget_has_room(b, more)) {
		v = b->lists[MH_CLIENT_READING];
		if (is_older(v, now_ns, MH_CLIENT_STALLED_NS))
			return v;
		if (b->lists[MH_CLIENT_IDLE])
			return b->lists[MH_CLIENT_IDLE];
	}
	return is_large(u->bytes + more) ? newest_large(b, u) : u;
}
