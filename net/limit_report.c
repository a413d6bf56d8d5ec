#include "net/limit_report.h"

void mh_limit_report(struct mh_event_log *log, struct mh_metrics *metrics,
		     const struct mh_server_ref *server,
		     const struct mh_server_limit *limit, const char *from)
{
	bool ended = limit->max_millihz == MH_NO_LIMIT;

	mh_event(log, MH_EV_SERVER,
		 "event=server_limit server=%s born=%llu limit_millihz=%lld "
		 "from=%s",
		 server->id, (unsigned long long)server->born_ms,
		 ended ? -1ll : (long long)limit->max_millihz, from);
	mh_metrics_set_labelled(metrics, MH_G_SERVER_LIMIT,
				ended ? -1 : (int64_t)limit->max_millihz,
				"server=\"%s\"", server->id);
}
