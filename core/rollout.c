#include "core/rollout.h"

#include <stdlib.h>
#include <string.h>

#include "core/check_alloc.h"

struct mh_rollouts {
	struct mh_rollout_conf conf;
	const struct mh_clock *clock;
};

static const char *const phase_names[MH_ROLLOUT_PHASES] = {
	[MH_ROLLOUT_NONE] = "none",
	[MH_ROLLOUT_OBSERVING] = "observing",
	[MH_ROLLOUT_SHIFTING] = "shifting",
	[MH_ROLLOUT_SUCCEEDED] = "succeeded",
	[MH_ROLLOUT_ROLLED_BACK] = "rolled_back",
};

const char *mh_rollout_phase_name(enum mh_rollout_phase phase)
{
	return phase_names[phase];
}

enum mh_rollout_phase mh_rollout_phase_parse(const char *name)
{
	int i;

	for (i = 0; i < MH_ROLLOUT_PHASES; i++) {
		if (!strcmp(name, phase_names[i]))
			return (enum mh_rollout_phase)i;
	}
	return MH_ROLLOUT_NONE;
}

struct mh_rollouts *mh_rollouts_new(const struct mh_rollout_conf *conf,
				    const struct mh_clock *clock)
{
	struct mh_rollouts *set = mh_check_alloc(calloc(1, sizeof(*set)));

	set->conf = *conf;
	set->clock = clock;
	return set;
}

void mh_rollouts_free(struct mh_rollouts *set)
{
	free(set);
}
