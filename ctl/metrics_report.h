/*
 * Summary of saved metrics of several processes: counters, quantiles of
 * histograms, and plots of their distributions.
 */
#ifndef MH_METRICS_REPORT_H
#define MH_METRICS_REPORT_H

#include <stdio.h>

/**
 * mh_metrics_report() - print a summary of saved metrics
 * @paths: files with responses of /metrics; "-" is standard input
 * @n: number of @paths
 * @plot_dir: directory for data files and a gnuplot script, or NULL
 * @out: output stream
 *
 * Counters and histograms with equal names and labels are summed over the
 * files; of a gauge the maximum is kept. Quantiles are in ms and interpolated
 * within a bucket.
 *
 * Return: exit code.
 */
int mh_metrics_report(char **paths, int n, const char *plot_dir, FILE *out);

#endif
