#include "net/crash_log.h"

#include <stdio.h>

/* Of a request's parts, as many as fit into a line are logged. */
#define PARTS_BYTES 256
#define PART_BYTES 18 /* comma, hexadecimal number, end of the string */

static void format_parts(const struct mh_features *features,
			 char text[PARTS_BYTES])
{
	size_t at = 0;
	uint32_t i;

	text[0] = '\0';
	for (i = 0; i < features->n_parts && at + PART_BYTES <= PARTS_BYTES;
	     i++)
		at += (size_t)snprintf(text + at, PARTS_BYTES - at, "%s%llx",
				       i ? "," : "",
				       (unsigned long long)features->parts[i]);
}

void mh_crash_log_lost_run(struct mh_event_log *log, const char *entry,
			   const struct mh_lost_run *run)
{
	char parts[PARTS_BYTES];

	format_parts(run->features, parts);
	mh_event(log, MH_EV_CRASH,
		 "event=run_lost entry=%s request=%llu server=%s "
		 "fingerprint=%016llx parts=%s verdict=%s answering=%d "
		 "held=%u crashes=%u part_crashes=%u",
		 entry, (unsigned long long)run->id, run->server,
		 (unsigned long long)run->fingerprint, parts,
		 mh_lost_verdict_name(run->verdict), run->answering, run->held,
		 run->crashes, run->part_crashes);
}

void mh_crash_log_suspect(struct mh_event_log *log, const char *from,
			  const struct mh_suspect *suspect)
{
	mh_event(log, MH_EV_CRASH,
		 "event=suspect feature=%s fingerprint=%016llx crashes=%u "
		 "rounds=%u refused=%d cleared=%d from=%s",
		 mh_feature_kind_name(suspect->feature.kind),
		 (unsigned long long)suspect->feature.id,
		 mh_suspect_crashes(suspect), mh_suspect_rounds(suspect),
		 mh_suspect_is_refused(suspect), suspect->cleared_ns > 0, from);
}

void mh_crash_log_observed(struct mh_event_log *log, const char *from,
			   const struct mh_suspect *observed)
{
	mh_event(log, MH_EV_CRASH,
		 "event=observed feature=%s fingerprint=%016llx crashes=%u "
		 "from=%s",
		 mh_feature_kind_name(observed->feature.kind),
		 (unsigned long long)observed->feature.id,
		 mh_suspect_crashes(observed), from);
}
