/*
 * Converts log lines between key=value fields and a JSON object with the same
 * fields in the same order.
 */
#ifndef MH_LOG_FORMAT_H
#define MH_LOG_FORMAT_H

/**
 * mh_log_line_to_json() - convert a line to JSON
 * @text: key=value fields, values with spaces in double quotes
 *
 * Counts, times and versions become numbers. Names, ids and lists stay strings,
 * even if they consist of digits.
 *
 * Return: line without newline, for the caller to free; NULL if out of memory.
 */
char *mh_log_line_to_json(const char *text);

/**
 * mh_log_line_from_json() - convert a JSON line to key=value fields
 * @line: JSON object
 *
 * Return: text for the caller to free, NULL if @line is not a JSON object.
 */
char *mh_log_line_from_json(const char *line);

#endif
