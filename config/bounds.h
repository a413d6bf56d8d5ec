/*
 * Converts section [bounds] of a settings file for the dispatch core and for
 * roll-outs.
 */
#ifndef MH_BOUNDS_H
#define MH_BOUNDS_H

#include "config/settings.h"
#include "core/dispatch.h"
#include "core/rollout.h"

/**
 * mh_bounds_to_dispatch_conf() - convert to the dispatch core's configuration
 * @bounds: section [bounds]
 *
 * Return: configuration, with windows in ms.
 */
struct mh_dispatch_conf
mh_bounds_to_dispatch_conf(const struct mh_bounds_settings *bounds);

/**
 * mh_bounds_to_rollout_conf() - convert to the bounds of roll-outs
 * @bounds: section [bounds]
 */
struct mh_rollout_conf
mh_bounds_to_rollout_conf(const struct mh_bounds_settings *bounds);

#endif
