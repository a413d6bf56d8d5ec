/*
 * The two forms of a log line: key=value fields, and a JSON object with the
 * same fields in the same order.
 */
#ifndef MH_LOG_FORMAT_H
#define MH_LOG_FORMAT_H

/**
 * mh_log_to_json() - the JSON form of a line
 * @text: key=value fields, values with blanks in double quotes
 *
 * Counts, times and versions become numbers; names and ids stay strings, also
 * those that consist of digits.
 *
 * Return: one line without its end, for the caller to free; NULL without memory.
 */
char *mh_log_to_json(const char *text);

/**
 * mh_log_from_json() - the key=value form of a JSON line
 * @line: JSON object
 *
 * Return: text for the caller to free, NULL if it is no such object.
 */
char *mh_log_from_json(const char *line);

#endif
