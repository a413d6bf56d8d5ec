/* Records the durations of a request's steps in the metrics. */
#include <stdio.h>

#include "proxy/exchange_impl.h"

static const char *route_name(const struct exchange *x)
{
	return x->route ? x->route->name : "";
}

static unsigned int tier_of(const struct exchange *x)
{
	return x->route ? mh_dispatch_tier(x->account, x->route) : 0;
}

void mh_exchange_observe_total(const struct exchange *x, const char *outcome)
{
	mh_metrics_observe(x->set->env.metrics, MH_H_REQUEST,
			   mh_exchange_elapsed_ms(x, x->arrived_ns),
			   "route=\"%s\",tier=\"%u\",outcome=\"%s\"",
			   route_name(x), tier_of(x), outcome);
}

void mh_exchange_observe_refusal(const struct exchange *x, const char *reason)
{
	mh_metrics_observe(x->set->env.metrics, MH_H_REFUSAL,
			   mh_exchange_elapsed_ms(x, x->arrived_ns),
			   "reason=\"%s\",tier=\"%u\"", reason, tier_of(x));
}

void mh_exchange_observe_slot_wait(const struct exchange *x)
{
	mh_metrics_observe(x->set->env.metrics, MH_H_PLACE_WAIT,
			   mh_exchange_elapsed_ms(x, x->slot_requested_ns),
			   "service=\"%s\",tier=\"%u\"", x->service,
			   tier_of(x));
}

void mh_exchange_observe_first_byte(struct exchange *x)
{
	char labels[64];

	mh_metrics_observe(x->set->env.metrics, MH_H_FIRST_BYTE,
			   mh_exchange_elapsed_ms(x, x->sent_ns),
			   "service=\"%s\",server=\"%s\"", x->service,
			   x->server);
	snprintf(labels, sizeof(labels), "service=\"%s\"", x->service);
	x->gap_series =
		mh_metrics_series(x->set->env.metrics, MH_H_GAP, labels);
	x->first_ms = mh_exchange_elapsed_ms(x, x->arrived_ns);
	x->last_bytes_ns = mh_exchange_now_ns(x);
}

/* Runs for each part of a response, so the series is looked up only once. */
void mh_exchange_observe_gap(struct exchange *x)
{
	uint32_t gap_ms;

	if (!x->gap_series)
		return;
	gap_ms = mh_exchange_elapsed_ms(x, x->last_bytes_ns);
	mh_series_observe(x->gap_series, gap_ms);
	if (gap_ms > x->gap_ms)
		x->gap_ms = gap_ms;
	x->last_bytes_ns = mh_exchange_now_ns(x);
}
