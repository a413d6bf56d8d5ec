/*
 * C interface to the toml11 parser: converts a TOML document to a jansson tree
 * and keeps the line number of each key for error messages.
 */
#ifndef MH_TOML_H
#define MH_TOML_H

#include <jansson.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * mh_toml_parse() - parse a TOML document
 * @text: document
 * @len: length of @text in bytes
 * @name: file name for error messages
 * @err: buffer for an error message
 * @err_len: size of @err
 *
 * Each table contains an object "@lines" that maps its keys to line numbers;
 * mh_toml_strip_lines() removes these objects.
 *
 * Return: new reference, or NULL with a message in @err.
 */
json_t *mh_toml_parse(const char *text, size_t len, const char *name, char *err,
		      size_t err_len);

#ifdef __cplusplus
}
#endif

/**
 * mh_toml_line() - line number of a key
 * @table: table from mh_toml_parse()
 * @key: key
 *
 * Return: line number, 0 if unknown.
 */
static inline int mh_toml_line(const json_t *table, const char *key)
{
	const json_t *lines = json_object_get(table, "@lines");

	return (int)json_integer_value(json_object_get(lines, key));
}

#endif
