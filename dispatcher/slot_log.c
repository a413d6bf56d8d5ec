#include "dispatcher/slot_log.h"

#include <stdio.h>

/* A 64-bit number in hexadecimal, with the end of the string. */
#define HEX_BYTES 17

void mh_slot_log_refusal(struct mh_event_log *log, const char *entry,
			 uint64_t id, const struct mh_slot_refusal *why)
{
	char fingerprint[HEX_BYTES] = "";

	if (why->feature.id)
		snprintf(fingerprint, sizeof(fingerprint), "%016llx",
			 (unsigned long long)why->feature.id);
	mh_event(log, MH_EV_REFUSED,
		 "event=no_place entry=%s request=%llu error=%s wait_ms=%u "
		 "spent=%llu limit=%llu retry_after_ms=%u feature=%s "
		 "fingerprint=%s",
		 entry, (unsigned long long)id, mh_error_info(why->error)->name,
		 why->wait_ms, (unsigned long long)why->spent,
		 (unsigned long long)why->limit, why->retry_after_ms,
		 why->feature.id ? mh_feature_kind_name(why->feature.kind) : "",
		 fingerprint);
}

void mh_slot_log_hedge(struct mh_event_log *log, const char *entry, uint64_t id,
		       const struct mh_backend_server *server)
{
	mh_event(log, MH_EV_RETRIED,
		 "event=hedge entry=%s request=%llu server=%s", entry,
		 (unsigned long long)id, server->id);
}
