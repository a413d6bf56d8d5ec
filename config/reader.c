#include "config/reader.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/toml.h"

#define MESSAGE_BYTES 1024
#define PATH_BYTES 256

void mh_config_report_add(struct mh_config_report *rep, int line,
			  const char *path, const json_t *value,
			  const char *what)
{
	char msg[MESSAGE_BYTES];
	char *shown = NULL, *text;
	size_t old = rep->text ? strlen(rep->text) : 0;
	size_t len;

	if (value)
		shown = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	if (line > 0)
		snprintf(msg, sizeof(msg), "%s:%d: %s%s%.120s: %s\n", rep->file,
			 line, path, shown ? " = " : "", shown ? shown : "",
			 what);
	else
		snprintf(msg, sizeof(msg), "%s: %s%s%.120s: %s\n", rep->file,
			 path, shown ? " = " : "", shown ? shown : "", what);
	free(shown);
	rep->count++;
	len = strlen(msg);
	text = realloc(rep->text, old + len + 1);
	if (!text)
		return;
	memcpy(text + old, msg, len + 1);
	rep->text = text;
}

void mh_config_report_clear(struct mh_config_report *rep)
{
	free(rep->text);
	rep->text = NULL;
	rep->count = 0;
}

/* Location of a key. The full path is formatted only for an error message. */
struct key_location {
	const char *path;
	const char *key;
	int line;
};

static void report_at(struct mh_config_report *rep,
		      const struct key_location *at, const json_t *value,
		      const char *what)
{
	char full[PATH_BYTES];

	snprintf(full, sizeof(full), "%s%s%s", at->path, *at->path ? "." : "",
		 at->key);
	mh_config_report_add(rep, at->line, full, value, what);
}

static void read_u32(const struct mh_field *f, const json_t *value,
		     const struct key_location *at, void *member,
		     struct mh_config_report *rep)
{
	char what[96];
	json_int_t n;

	if (!json_is_integer(value)) {
		report_at(rep, at, value, "must be an integer");
		return;
	}
	n = json_integer_value(value);
	if (n < (json_int_t)f->min || n > (json_int_t)f->max) {
		snprintf(what, sizeof(what), "must be from %u to %u", f->min,
			 f->max);
		report_at(rep, at, value, what);
		return;
	}
	*(uint32_t *)member = (uint32_t)n;
}

static void read_real(const struct mh_field *f, const json_t *value,
		      const struct key_location *at, void *member,
		      struct mh_config_report *rep)
{
	char what[96];
	double n;

	if (!json_is_number(value)) {
		report_at(rep, at, value, "must be a number");
		return;
	}
	n = json_number_value(value);
	if (!(n >= f->min && n <= f->max)) {
		snprintf(what, sizeof(what), "must be from %u to %u", f->min,
			 f->max);
		report_at(rep, at, value, what);
		return;
	}
	*(double *)member = n;
}

static void read_strings(const json_t *value, const struct key_location *at,
			 struct mh_strings *dst, struct mh_config_report *rep)
{
	size_t i, n = json_array_size(value);

	if (!json_is_array(value)) {
		report_at(rep, at, value, "must be an array of strings");
		return;
	}
	dst->v = calloc(n ? n : 1, sizeof(*dst->v));
	if (!dst->v)
		return;
	for (i = 0; i < n; i++) {
		const json_t *item = json_array_get(value, i);

		if (!json_is_string(item)) {
			report_at(rep, at, item, "must be a string");
			continue;
		}
		dst->v[dst->n++] = strdup(json_string_value(item));
	}
}

static void read_field(const struct mh_field *f, const json_t *value,
		       const struct key_location *at, void *member,
		       struct mh_config_report *rep)
{
	switch (f->type) {
	case MH_FIELD_STRING:
		if (!json_is_string(value) || !*json_string_value(value)) {
			report_at(rep, at, value,
				  "must be a string that is not empty");
			return;
		}
		*(char **)member = strdup(json_string_value(value));
		return;
	case MH_FIELD_U32:
		read_u32(f, value, at, member, rep);
		return;
	case MH_FIELD_REAL:
		read_real(f, value, at, member, rep);
		return;
	case MH_FIELD_BOOL:
		if (!json_is_boolean(value)) {
			report_at(rep, at, value, "must be true or false");
			return;
		}
		*(bool *)member = json_is_true(value);
		return;
	case MH_FIELD_STRINGS:
		read_strings(value, at, member, rep);
		return;
	}
}

static void set_default(const struct mh_field *f, void *member)
{
	switch (f->type) {
	case MH_FIELD_STRING:
		if (f->def_string)
			*(char **)member = strdup(f->def_string);
		return;
	case MH_FIELD_U32:
		*(uint32_t *)member = f->def_u32;
		return;
	case MH_FIELD_REAL:
		*(double *)member = f->def_real ? f->def_real : f->def_u32;
		return;
	case MH_FIELD_BOOL:
		*(bool *)member = f->def_u32;
		return;
	case MH_FIELD_STRINGS:
		return;
	}
}

static bool key_known(const struct mh_field *fields, size_t n_fields,
		      const char *const *known, const char *key)
{
	size_t i;

	if (!strcmp(key, "@lines"))
		return true;
	for (i = 0; i < n_fields; i++) {
		if (!strcmp(fields[i].key, key))
			return true;
	}
	for (i = 0; known && known[i]; i++) {
		if (!strcmp(known[i], key))
			return true;
	}
	return false;
}

void mh_reader_read_table(const json_t *table, const char *path,
			  const struct mh_field *fields, size_t n_fields,
			  const char *const *known, void *dst,
			  struct mh_config_report *rep)
{
	const char *key;
	json_t *value;
	size_t i;

	if (table && !json_is_object(table)) {
		mh_config_report_add(rep, 0, path, table, "must be a table");
		table = NULL;
	}
	for (i = 0; i < n_fields; i++) {
		const struct mh_field *f = &fields[i];
		struct key_location at = { path, f->key,
					   mh_toml_line(table, f->key) };
		void *member = (char *)dst + f->offset;

		value = json_object_get(table, f->key);
		if (value) {
			read_field(f, value, &at, member, rep);
			continue;
		}
		set_default(f, member);
		if (f->required)
			report_at(rep, &at, NULL, "is missing");
	}
	json_object_foreach((json_t *)table, key, value) {
		struct key_location at = { path, key,
					   mh_toml_line(table, key) };

		if (!key_known(fields, n_fields, known, key))
			report_at(rep, &at, value, "is not a known key");
	}
}

void mh_reader_free_strings(const struct mh_field *fields, size_t n_fields,
			    void *dst)
{
	size_t i, j;

	for (i = 0; i < n_fields; i++) {
		void *member = (char *)dst + fields[i].offset;
		struct mh_strings *list = member;

		if (fields[i].type == MH_FIELD_STRING) {
			free(*(char **)member);
			*(char **)member = NULL;
		}
		if (fields[i].type != MH_FIELD_STRINGS)
			continue;
		for (j = 0; j < list->n; j++)
			free(list->v[j]);
		free(list->v);
		list->v = NULL;
		list->n = 0;
	}
}
