/*
 * Whether a slot that was granted may still be used, as a roll-out may have been
 * decided meanwhile.
 */
#ifndef MH_ROLLOUT_USE_H
#define MH_ROLLOUT_USE_H

#include "core/rollout.h"

/**
 * mh_rollouts_may_use() - whether a granted slot at a server may be used
 * @set: set
 * @service: service of the server
 * @version: its version, "" if it registered none
 *
 * Unlike mh_rollouts_choice() this allows slots that the dispatcher grants for the
 * observation, which a process that does not decide would not grant itself.
 */
bool mh_rollouts_may_use(const struct mh_rollouts *set, const char *service,
			 const char *version);

#endif
