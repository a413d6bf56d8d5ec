/*
 * Section [bounds] of settings files in the dispatcher's terms.
 */
#ifndef MH_BOUNDS_H
#define MH_BOUNDS_H

#include "config/settings.h"
#include "core/dispatch.h"

/**
 * mh_bounds_to_dispatch_conf() - bounds for a dispatcher
 * @bounds: settings
 */
struct mh_dispatch_conf
mh_bounds_to_dispatch_conf(const struct mh_bounds_settings *bounds);

#endif
