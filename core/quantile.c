#include "core/quantile.h"

/* Greatest relative change by one value: half of the way to a value that is four
 * times as large takes about 35 values. */
#define STEP 0.02

void mh_quantile_add(struct mh_quantile *q, double p, double value)
{
	if (value > q->value)
		q->value *= 1 + STEP * p;
	else
		q->value *= 1 - STEP * (1 - p);
}
