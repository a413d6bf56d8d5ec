/*
 * TOML reader: turns a document into a jansson tree, and tells the line of a
 * key so that errors can name it. toml11 stands behind this C interface.
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
 * @err: buffer for a message
 * @err_len: size of @err
 *
 * Each table gets an object "@lines" that maps its keys to line numbers;
 * mh_toml_strip_lines() removes them.
 *
 * Return: a new reference, or NULL with @err filled in.
 */
json_t *mh_toml_parse(const char *text, size_t len, const char *name, char *err,
		      size_t err_len);

#ifdef __cplusplus
}
#endif

/**
 * mh_toml_line() - line of a key in its table
 * @table: table from mh_toml_parse()
 * @key: key
 *
 * Return: line number, 0 if not known.
 */
static inline int mh_toml_line(const json_t *table, const char *key)
{
	const json_t *lines = json_object_get(table, "@lines");

	return (int)json_integer_value(json_object_get(lines, key));
}

#endif
