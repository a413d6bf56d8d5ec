#include "net/crash_log.h"

void mh_crash_log_lost_run(struct mh_event_log *log, const char *entry,
			   const struct mh_lost_run *run)
{
	mh_event(log, MH_EV_CRASH,
		 "event=run_lost entry=%s request=%llu server=%s "
		 "fingerprint=%016llx verdict=%s answering=%d held=%u "
		 "crashes=%u",
		 entry, (unsigned long long)run->id, run->server,
		 (unsigned long long)run->fingerprint,
		 mh_lost_verdict_name(run->verdict), run->answering, run->held,
		 run->crashes);
}

void mh_crash_log_suspect(struct mh_event_log *log, const char *from,
			  const struct mh_suspect *suspect)
{
	mh_event(log, MH_EV_CRASH,
		 "event=suspect fingerprint=%016llx crashes=%u refused=%d "
		 "from=%s",
		 (unsigned long long)suspect->fingerprint,
		 mh_suspect_crashes(suspect), mh_suspect_is_refused(suspect),
		 from);
}
