/*
 * Checked reading of TOML tables into structs. Every error is collected, so
 * that one run reports them all with file, line, key and value.
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
 * struct mh_strings - owned list of strings
 * @v: array of @n strings
 * @n: number of strings
 */
struct mh_strings {
	char **v;
	size_t n;
};

/**
 * struct mh_field - one key that a table may hold
 * @key: name of the key
 * @type: type of the value and of the destination member
 * @offset: place of the member in the destination struct
 * @required: the key has to be present
 * @min: least value of a MH_FIELD_U32 or MH_FIELD_REAL (a double)
 * @max: greatest value of a MH_FIELD_U32 or MH_FIELD_REAL
 * @def_u32: value of an absent MH_FIELD_U32, MH_FIELD_REAL or MH_FIELD_BOOL
 * @def_string: value of an absent MH_FIELD_STRING
 */
struct mh_field {
	const char *key;
	enum mh_field_type type;
	size_t offset;
	bool required;
	uint32_t min;
	uint32_t max;
	uint32_t def_u32;
	const char *def_string;
};

/**
 * struct mh_config_report - errors found so far
 * @file: name that each line starts with
 * @text: messages, one a line; NULL when there are none
 * @count: number of messages
 */
struct mh_config_report {
	const char *file;
	char *text;
	uint32_t count;
};

/**
 * mh_config_report_add() - add one message
 * @rep: report
 * @line: line in the file, 0 if not known
 * @path: dotted path of the key
 * @value: offending value, may be NULL
 * @what: what is wrong and what is allowed
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
 * mh_reader_read_table() - read one table
 * @table: object to read; NULL reads as an empty table
 * @path: dotted path of the table, for messages
 * @fields: keys that the table may hold
 * @n_fields: number of @fields
 * @known: further keys that are read elsewhere, NULL-terminated, or NULL
 * @dst: destination struct; owned strings are allocated
 * @rep: report to add errors to
 */
void mh_reader_read_table(const json_t *table, const char *path,
			  const struct mh_field *fields, size_t n_fields,
			  const char *const *known, void *dst,
			  struct mh_config_report *rep);

/**
 * mh_reader_free_strings() - free the strings that mh_reader_read_table() allocated
 * @fields: keys of the table
 * @n_fields: number of @fields
 * @dst: struct that was filled in
 */
void mh_reader_free_strings(const struct mh_field *fields, size_t n_fields,
			    void *dst);

#endif
