#include "core/store_reads.h"

/* Combined read rate of all entries that share what they read through a
 * dispatcher, in multiples of the full rate of one. */
#define COMBINED_READ_RATE 2.5
/* While no dispatcher tells of changes in time, each entry has to read often enough
 * for the bounds of configuration and draining. */
#define ALONE_INTERVAL_FACTOR 2.0

bool mh_store_reads_dispatchers(const struct mh_store_reads *r)
{
	if (!r->lost_ms)
		return false;
	return !r->has_seeds || r->lost_ms >= r->patience_ms;
}

double mh_store_reads_interval_factor(const struct mh_store_reads *r)
{
	double shared = 1 + r->entries / COMBINED_READ_RATE;

	if (!r->has_dispatcher)
		return r->is_stale || r->lost_ms >= r->patience_ms ?
			       ALONE_INTERVAL_FACTOR :
			       0;
	if (r->is_fit && !r->is_stale)
		return 0;
	/* In an outage all fail, and none has to know before the others. */
	return r->store_answers && shared > ALONE_INTERVAL_FACTOR ?
		       ALONE_INTERVAL_FACTOR :
		       shared;
}
