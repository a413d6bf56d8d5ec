#include "net/log_format.h"

#include <ctype.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "net/buffer.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
/* Integers of this length are exact in a double, which JSON readers may use. */
#define MAX_NUMBER_DIGITS 15

/* Fields that stay text even if a value looks like a number: names, ids and
 * lists (waiting). */
static const char *const text_keys[] = { "id",	    "route",  "account",
					 "service", "server", "host",
					 "zone",    "entry",  "peer",
					 "from",    "to",     "why",
					 "key",	    "error",  "waiting" };

static bool is_key_char(char c)
{
	return islower((unsigned char)c) || isdigit((unsigned char)c) ||
	       c == '_';
}

/* Return: length of "key" if @p begins with "key=", otherwise 0. */
static size_t key_len(const char *p)
{
	size_t n = 0;

	while (is_key_char(p[n]))
		n++;
	return p[n] == '=' ? n : 0;
}

/* A quoted value may contain quotes. The closing one is followed by the next
 * field or the end of the line. */
static size_t quoted_len(const char *p)
{
	size_t n = 0, last = strlen(p);

	for (; p[n]; n++) {
		if (p[n] == '"' &&
		    (!p[n + 1] || (p[n + 1] == ' ' && key_len(p + n + 2))))
			return n;
	}
	return last;
}

static bool is_number(const char *key, size_t len, const char *value, size_t n)
{
	size_t i;

	for (i = 0; i < LEN(text_keys); i++) {
		if (strlen(text_keys[i]) == len &&
		    !memcmp(text_keys[i], key, len))
			return false;
	}
	for (i = 0; i < n; i++) {
		if (!isdigit((unsigned char)value[i]))
			return false;
	}
	return n && n <= MAX_NUMBER_DIGITS && (n == 1 || value[0] != '0');
}

/* Return: a JSON string or number, NULL if out of memory. */
static json_t *to_value(const char *key, size_t len, const char *value,
			size_t n)
{
	char *copy;
	json_t *v;
	size_t i;

	if (is_number(key, len, value, n))
		return json_integer(strtoll(value, NULL, 10));
	v = json_stringn(value, n);
	if (v)
		return v;
	/* Not UTF-8: a name as the client sent it. */
	copy = strndup(value, n);
	if (!copy)
		return NULL;
	for (i = 0; i < n; i++) {
		if ((unsigned char)copy[i] >= 0x80)
			copy[i] = '?';
	}
	v = json_stringn(copy, n);
	free(copy);
	return v;
}

char *mh_log_line_to_json(const char *text)
{
	json_t *doc = json_object();
	const char *p = text;
	char *out, *key;

	while (*p) {
		size_t len = key_len(p), n, quoted;
		const char *value;

		if (!len) {
			p++;
			continue;
		}
		value = p + len + 1;
		quoted = *value == '"';
		value += quoted;
		n = quoted ? quoted_len(value) : strcspn(value, " ");
		key = strndup(p, len);
		json_object_set_new(doc, key ? key : "",
				    to_value(p, len, value, n));
		free(key);
		p = value + n + (quoted && value[n]);
	}
	out = json_dumps(doc, JSON_COMPACT | JSON_PRESERVE_ORDER);
	json_decref(doc);
	return out;
}

static void add_field(struct mh_buffer *out, const char *key,
		      const json_t *value)
{
	const char *text = json_string_value(value);

	mh_buffer_printf(out, "%s%s=", out->len ? " " : "", key);
	if (json_is_integer(value))
		mh_buffer_printf(out, "%lld",
				 (long long)json_integer_value(value));
	else if (text && strchr(text, ' '))
		mh_buffer_printf(out, "\"%s\"", text);
	else
		mh_buffer_printf(out, "%s", text ? text : "");
}

char *mh_log_line_from_json(const char *line)
{
	json_t *doc = json_loads(line, 0, NULL), *value;
	struct mh_buffer out = { 0 };
	char *text = NULL;
	const char *key;

	if (json_is_object(doc)) {
		json_object_foreach(doc, key, value)
			add_field(&out, key, value);
		text = strndup((const char *)mh_buffer_front(&out), out.len);
	}
	mh_buffer_release(&out);
	json_decref(doc);
	return text;
}
