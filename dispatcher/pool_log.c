#include "dispatcher/pool_log.h"

#include <stdio.h>

void mh_pool_log(struct mh_event_log *log, const struct mh_dispatch *d,
		 const char *service)
{
	struct mh_dispatch_view v;
	char waiting[MH_TIERS * 12] = "";
	size_t at = 0;
	int t;

	mh_dispatch_view(d, service, &v);
	for (t = 0; t < MH_TIERS; t++)
		at += (size_t)snprintf(waiting + at, sizeof(waiting) - at,
				       "%s%u", t ? "," : "", v.waiting[t]);
	mh_event(log, MH_EV_POOL,
		 "event=pool service=%s servers=%u limited=%u places=%u "
		 "held=%u waiting=%s pace=%s",
		 service, v.servers, v.limited, v.places, v.held, waiting,
		 v.server_stats);
}

void mh_account_log(struct mh_event_log *log, const struct mh_routes *routes)
{
	const struct mh_client_account *account;
	size_t i;

	for (i = 0; (account = mh_routes_account_at(routes, i)); i++)
		mh_event(log, MH_EV_CONFIG,
			 "event=account account=%s tier=%d rate=%.0f "
			 "burst=%.0f version=%llu",
			 account->name, account->has_tier ? account->tier : -1,
			 account->rate_per_s, account->burst,
			 (unsigned long long)mh_routes_version(routes));
}
