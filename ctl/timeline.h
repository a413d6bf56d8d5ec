/*
 * What became of a request, told from saved log lines of several processes.
 */
#ifndef MH_TIMELINE_H
#define MH_TIMELINE_H

#include <stdio.h>

/**
 * mh_timeline_print() - tell what the logs say of a request
 * @id: number of the request, as the caller sent it
 * @paths: saved logs, in any order; "-" is standard input
 * @n: number of @paths
 * @out: where to print
 *
 * Return: an exit code.
 */
int mh_timeline_print(const char *id, char **paths, int n, FILE *out);

#endif
