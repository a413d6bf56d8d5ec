/*
 * Estimate of a quantile of a stream of positive values, in constant memory. Recent
 * values count more, so that it follows changes.
 */
#ifndef MH_QUANTILE_H
#define MH_QUANTILE_H

/**
 * struct mh_quantile - estimate
 * @value: estimated quantile, greater than 0
 */
struct mh_quantile {
	double value;
};

/**
 * mh_quantile_add() - add a value
 * @q: estimate
 * @p: which quantile, between 0 and 1; the same for all values
 * @value: value
 */
void mh_quantile_add(struct mh_quantile *q, double p, double value);

#endif
