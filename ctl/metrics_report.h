/*
 * What saved metrics of several processes say together: counters, quantiles of
 * histograms, and plots of them.
 */
#ifndef MH_METRICS_REPORT_H
#define MH_METRICS_REPORT_H

#include <stdio.h>

/**
 * mh_metrics_report() - sum up saved metrics
 * @paths: files as the metrics address serves them; "-" is standard input
 * @n: number of @paths
 * @plot_dir: where to write data and a script for gnuplot, NULL for none
 * @out: where to print
 *
 * Series that are the same in several files are added. Quantiles are
 * interpolated within a bucket, in ms.
 *
 * Return: an exit code.
 */
int mh_metrics_report(char **paths, int n, const char *plot_dir, FILE *out);

#endif
