/*
 * Timelines of a request and of roll-outs, from saved log lines of several processes.
 */
#ifndef MH_TIMELINE_H
#define MH_TIMELINE_H

#include <stdio.h>

/**
 * mh_timeline_print() - print the log lines of a request and its outcome
 * @id: id of the request, as sent by the client
 * @paths: saved logs, as text or JSON, in any order; "-" is standard input
 * @n: number of @paths
 * @out: output stream
 *
 * Prints the lines with the request's id, the dispatchers' lines on it, and
 * lines on the state of the same hosts and servers; then the cause.
 *
 * Return: exit code.
 */
int mh_timeline_print(const char *id, char **paths, int n, FILE *out);

/**
 * mh_timeline_print_rollouts() - print the log lines of roll-outs and the state of
 *                                each service's order
 * @paths: saved logs, as text or JSON, in any order; "-" is standard input
 * @n: number of @paths
 * @out: output stream
 *
 * Return: exit code.
 */
int mh_timeline_print_rollouts(char **paths, int n, FILE *out);

#endif
