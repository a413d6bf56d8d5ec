#include "core/rollout_use.h"

#include <string.h>

struct question {
	const char *service;
	const char *version;
	bool is_allowed;
};

static void answer(const struct mh_rollout_record *rec, void *data)
{
	struct question *q = data;
	size_t i;

	if (strcmp(rec->order.service, q->service))
		return;
	if (rec->phase == MH_ROLLOUT_ROLLED_BACK &&
	    !strcmp(rec->order.target, q->version))
		q->is_allowed = false;
	for (i = 0; i < rec->n_excluded; i++) {
		if (!strcmp(rec->excluded[i], q->version))
			q->is_allowed = false;
	}
}

bool mh_rollouts_may_use(const struct mh_rollouts *set, const char *service,
			 const char *version)
{
	struct question q = { service, version, true };

	if (mh_rollouts_has_orders(set))
		mh_rollouts_each(set, answer, &q);
	return q.is_allowed;
}
