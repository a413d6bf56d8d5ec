/*
 * Converts sections [bounds] and [policy] of a settings file for the dispatch core.
 */
#ifndef MH_BOUNDS_H
#define MH_BOUNDS_H

#include "config/settings.h"
#include "core/dispatch.h"

/**
 * mh_bounds_to_dispatch_conf() - convert to the dispatch core's configuration
 * @bounds: section [bounds]
 * @policy: section [policy]
 * @hedging: section [hedging]
 *
 * Return: configuration, with windows in ms.
 */
struct mh_dispatch_conf
mh_bounds_to_dispatch_conf(const struct mh_bounds_settings *bounds,
			   const struct mh_policy_settings *policy,
			   const struct mh_hedging_settings *hedging);

#endif
