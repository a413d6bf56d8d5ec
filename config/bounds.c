#include "config/bounds.h"

struct mh_dispatch_conf
mh_bounds_to_dispatch_conf(const struct mh_bounds_settings *bounds)
{
	return (struct mh_dispatch_conf){
		.retry_ratio = bounds->retry_ratio,
		.retry_extra = bounds->retry_extra,
		.retry_window_ms =
			(uint32_t)(bounds->retry_window_s * MH_MS_PER_S),
		.quota_window_ms =
			(uint32_t)(bounds->quota_window_s * MH_MS_PER_S),
		.quota_excess = bounds->quota_excess,
		.quota_slack = bounds->quota_slack,
	};
}

struct mh_rollout_conf
mh_bounds_to_rollout_conf(const struct mh_bounds_settings *bounds)
{
	return (struct mh_rollout_conf){
		.exposure_share = bounds->exposure_share,
		.exposure_slack = bounds->exposure_slack,
		.rollback_ms = bounds->rollback_ms,
	};
}
