#include "core/server_limit.h"

#include "core/clock.h"

/* A limit ends only if no response states it for this time. Responses with and
 * without one may alternate for a while. */
#define HOLD_NS (500 * MH_NS_PER_MS)
/* Times that processes tell each other are off by less than this, so of two values
 * stated within it the lower one holds. */
#define ORDER_ERROR_NS (100 * MH_NS_PER_MS)
/* Bounds how often a limit that each response repeats is told to dispatchers. */
#define CONFIRM_NS (100 * MH_NS_PER_MS)

/* Return: from when on a statement has to be to replace what is known. */
static uint64_t replaced_from_ns(const struct mh_server_limit *limit,
				 const struct mh_server_limit *stated)
{
	if (stated->max_millihz == limit->max_millihz)
		return limit->stated_ns + CONFIRM_NS;
	if (stated->max_millihz == MH_NO_LIMIT)
		return limit->stated_ns + HOLD_NS;
	if (limit->max_millihz == MH_NO_LIMIT)
		return limit->stated_ns;
	if (stated->max_millihz > limit->max_millihz)
		return limit->stated_ns + ORDER_ERROR_NS;
	return limit->stated_ns > ORDER_ERROR_NS ?
		       limit->stated_ns - ORDER_ERROR_NS :
		       0;
}

enum mh_limit_change
mh_server_limit_update(struct mh_server_limit *limit,
		       const struct mh_server_limit *stated)
{
	bool is_same = limit->max_millihz == stated->max_millihz;

	if (is_same && stated->max_millihz == MH_NO_LIMIT)
		return MH_LIMIT_UNCHANGED;
	if (stated->stated_ns < replaced_from_ns(limit, stated))
		return MH_LIMIT_UNCHANGED;
	limit->max_millihz = stated->max_millihz;
	if (stated->stated_ns > limit->stated_ns)
		limit->stated_ns = stated->stated_ns;
	return is_same ? MH_LIMIT_CONFIRMED : MH_LIMIT_CHANGED;
}
