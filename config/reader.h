/*
 * Reads parsed TOML tables into structs and validates them. All errors are
 * collected, so that one run reports each with its file, line, key and value.
 */
#ifndef MH_READER_H
#define MH_READER_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum mh_field_type {
	MH_FIELD_STRING,
	MH_FIELD_U32,
	MH_FIELD_REAL,
	MH_FIELD_BOOL,
	MH_FIELD_STRINGS,
};

/**
 * struct mh_strings - array of strings, owned by the struct
 * @v: array of @n strings
 * @n: number of strings
 */
struct mh_strings {
	char **v;
	size_t n;
};

/**
 * struct mh_field - description of a key in a table
 * @key: name of the key
 * @type: type of the value and of the destination member: MH_FIELD_REAL is a
 *	double, MH_FIELD_STRINGS a struct mh_strings
 * @offset: offset of the member in the destination struct
 * @required: the key must be present
 * @min: minimum of a MH_FIELD_U32 or MH_FIELD_REAL
 * @max: maximum of a MH_FIELD_U32 or MH_FIELD_REAL
 * @def_u32: default of a MH_FIELD_U32, MH_FIELD_REAL or MH_FIELD_BOOL
 * @def_real: default of a MH_FIELD_REAL that is no whole number, else 0
 * @def_string: default of a MH_FIELD_STRING, or NULL
 */
struct mh_field {
	const char *key;
	enum mh_field_type type;
	size_t offset;
	bool required;
	uint32_t min;
	uint32_t max;
	uint32_t def_u32;
	double def_real;
	const char *def_string;
};

/**
 * struct mh_config_report - errors found in a settings file or manifest
 * @file: file name at the start of each message
 * @text: messages, one per line; NULL if there are none
 * @count: number of messages
 */
struct mh_config_report {
	const char *file;
	char *text;
	uint32_t count;
};

/**
 * mh_config_report_add() - add a message
 * @rep: report
 * @line: line in the file, 0 if unknown
 * @path: dotted path of the key
 * @value: invalid value, or NULL to leave it out of the message
 * @what: error or expected value
 */
void mh_config_report_add(struct mh_config_report *rep, int line,
			  const char *path, const json_t *value,
			  const char *what);

/**
 * mh_config_report_clear() - free the messages
 * @rep: report
 */
void mh_config_report_clear(struct mh_config_report *rep);

/**
 * mh_reader_read_table() - read a table into a struct
 * @table: object to read; NULL is read as an empty table
 * @path: dotted path of the table, for messages
 * @fields: keys that the table may have
 * @n_fields: number of @fields
 * @known: other valid keys, read by the caller; NULL-terminated, or NULL
 * @dst: destination struct; its strings are allocated
 * @rep: report that errors are added to
 */
void mh_reader_read_table(const json_t *table, const char *path,
			  const struct mh_field *fields, size_t n_fields,
			  const char *const *known, void *dst,
			  struct mh_config_report *rep);

/**
 * mh_reader_free_strings() - free strings allocated by mh_reader_read_table()
 * @fields: keys of the table
 * @n_fields: number of @fields
 * @dst: destination struct
 */
void mh_reader_free_strings(const struct mh_field *fields, size_t n_fields,
			    void *dst);

#endif
