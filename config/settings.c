#include "config/settings.h"

#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "config/toml.h"
#include "net/link.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
#define MIB (1u << 20)
#define READ_BYTES 65536

#define FIELD(st, m, name, ty, ...)                                            \
	{                                                                      \
		.key = (name), .type = (ty), .offset = offsetof(struct st, m), \
		__VA_ARGS__                                                    \
	}

/* A section of a settings file. */
struct section {
	const char *name;
	const struct mh_field *fields;
	size_t n_fields;
	size_t offset;
};

static const struct mh_field link_fields[] = {
	FIELD(mh_link_settings, key_hex, "key", MH_FIELD_STRING,
	      .required = true),
	FIELD(mh_link_settings, max_frame_bytes, "max_frame_bytes",
	      MH_FIELD_U32, .min = 65536, .max = 256 * MIB,
	      .def_u32 = 16 * MIB),
	FIELD(mh_link_settings, max_queue_bytes, "max_queue_bytes",
	      MH_FIELD_U32, .min = 65536, .max = 1024 * MIB,
	      .def_u32 = 64 * MIB),
};

#define E(m, name, ty, ...) FIELD(mh_entry_settings, m, name, ty, __VA_ARGS__)

static const struct mh_field entry_root[] = {
	E(host, "host", MH_FIELD_STRING, .required = true),
	E(zone, "zone", MH_FIELD_STRING, .required = true),
	E(log_level, "log_level", MH_FIELD_STRING, .def_string = "info"),
};

static const struct mh_field entry_listen[] = {
	E(callers, "callers", MH_FIELD_STRING, .required = true),
	E(admin, "admin", MH_FIELD_STRING, .required = true),
	E(links, "links", MH_FIELD_STRING, .required = true),
};

static const struct mh_field entry_platform[] = {
	E(store, "store", MH_FIELD_STRING, .required = true),
	E(hosts_poll_ms, "hosts_poll_ms", MH_FIELD_U32, .min = 50, .max = 60000,
	  .def_u32 = 1000),
};

static const struct mh_field entry_http[] = {
	E(http_threads, "threads", MH_FIELD_U32, .min = 1, .max = 64,
	  .def_u32 = 2),
	E(max_body_bytes, "max_body_bytes", MH_FIELD_U32, .min = 1024,
	  .max = 256 * MIB, .def_u32 = 4 * MIB),
	E(max_connections, "max_connections", MH_FIELD_U32, .min = 8,
	  .max = 1000000, .def_u32 = 20000),
};

static const struct mh_field entry_admin[] = {
	E(bootstrap_token_sha256, "bootstrap_token_sha256", MH_FIELD_STRING),
};

static const struct section entry_sections[] = {
	{ "listen", entry_listen, LEN(entry_listen), 0 },
	{ "platform", entry_platform, LEN(entry_platform), 0 },
	{ "http", entry_http, LEN(entry_http), 0 },
	{ "admin", entry_admin, LEN(entry_admin), 0 },
	{ "link", link_fields, LEN(link_fields),
	  offsetof(struct mh_entry_settings, link) },
};

#define S(m, name, ty, ...) FIELD(mh_side_settings, m, name, ty, __VA_ARGS__)

static const struct mh_field side_root[] = {
	S(host, "host", MH_FIELD_STRING, .required = true),
	S(zone, "zone", MH_FIELD_STRING, .required = true),
	S(pool, "pool", MH_FIELD_STRING, .required = true),
	S(models, "models", MH_FIELD_STRINGS),
	S(log_level, "log_level", MH_FIELD_STRING, .def_string = "info"),
};

static const struct mh_field side_listen[] = {
	S(links, "links", MH_FIELD_STRING, .required = true),
	S(metrics, "metrics", MH_FIELD_STRING),
};

static const struct mh_field side_platform[] = {
	S(store, "store", MH_FIELD_STRING),
	S(hosts_poll_ms, "hosts_poll_ms", MH_FIELD_U32, .min = 50, .max = 60000,
	  .def_u32 = 1000),
};

static const struct mh_field side_backend[] = {
	S(backend_kind, "kind", MH_FIELD_STRING, .required = true),
	S(backend_url, "url", MH_FIELD_STRING, .required = true),
	S(max_running, "max_running", MH_FIELD_U32, .min = 1, .max = 1024,
	  .def_u32 = 16),
	S(timeout_s, "timeout_s", MH_FIELD_U32, .min = 1, .max = 3600,
	  .def_u32 = 60),
};

static const struct section side_sections[] = {
	{ "listen", side_listen, LEN(side_listen), 0 },
	{ "platform", side_platform, LEN(side_platform), 0 },
	{ "backend", side_backend, LEN(side_backend), 0 },
	{ "link", link_fields, LEN(link_fields),
	  offsetof(struct mh_side_settings, link) },
};

/* Defaults for other sites: the users' platform sets all of these keys. */
static const struct mh_field bounds_fields[] = {
	FIELD(mh_bounds_settings, retry_ratio, "retry_ratio", MH_FIELD_REAL,
	      .max = 10, .def_u32 = 0),
	FIELD(mh_bounds_settings, retry_extra, "retry_extra", MH_FIELD_REAL,
	      .max = 100000, .def_u32 = 20),
	FIELD(mh_bounds_settings, retry_window_s, "retry_window_s",
	      MH_FIELD_REAL, .min = 1, .max = 3600, .def_u32 = 10),
	FIELD(mh_bounds_settings, quota_window_s, "quota_window_s",
	      MH_FIELD_REAL, .min = 1, .max = 3600, .def_u32 = 10),
	FIELD(mh_bounds_settings, quota_excess, "quota_excess", MH_FIELD_REAL,
	      .max = 1, .def_u32 = 0),
	FIELD(mh_bounds_settings, quota_slack, "quota_slack", MH_FIELD_REAL,
	      .max = UINT32_MAX, .def_u32 = 0),
	FIELD(mh_bounds_settings, grace_s, "grace_s", MH_FIELD_REAL, .min = 1,
	      .max = 3600, .def_u32 = 30),
	FIELD(mh_bounds_settings, exposure_share, "exposure_share",
	      MH_FIELD_REAL, .max = 1, .def_real = 0.1),
	FIELD(mh_bounds_settings, exposure_slack, "exposure_slack",
	      MH_FIELD_U32, .max = 1000000, .def_u32 = 50),
	FIELD(mh_bounds_settings, rollback_ms, "rollback_ms", MH_FIELD_U32,
	      .min = 100, .max = 3600000, .def_u32 = 5000),
};

#define P(m, name, ty, ...) FIELD(mh_proxy_settings, m, name, ty, __VA_ARGS__)

static const struct mh_field proxy_root[] = {
	P(host, "host", MH_FIELD_STRING, .required = true),
	P(zone, "zone", MH_FIELD_STRING, .required = true),
	P(log_format, "log_format", MH_FIELD_STRING, .def_string = "text"),
};

static const struct mh_field proxy_listen[] = {
	P(callers, "callers", MH_FIELD_STRING, .required = true),
	P(status, "status", MH_FIELD_STRING, .required = true),
	P(metrics, "metrics", MH_FIELD_STRING),
};

static const struct mh_field proxy_platform[] = {
	P(store, "store", MH_FIELD_STRING, .required = true),
};

static const struct mh_field proxy_dispatchers[] = {
	P(seeds, "seeds", MH_FIELD_STRINGS),
};

static const struct section proxy_sections[] = {
	{ "listen", proxy_listen, LEN(proxy_listen), 0 },
	{ "dispatchers", proxy_dispatchers, LEN(proxy_dispatchers), 0 },
	{ "platform", proxy_platform, LEN(proxy_platform), 0 },
	{ "bounds", bounds_fields, LEN(bounds_fields),
	  offsetof(struct mh_proxy_settings, bounds) },
	{ "link", link_fields, LEN(link_fields),
	  offsetof(struct mh_proxy_settings, link) },
};

#define D(m, name, ty, ...)                                                    \
	FIELD(mh_dispatcher_settings, m, name, ty, __VA_ARGS__)

static const struct mh_field dispatcher_root[] = {
	D(host, "host", MH_FIELD_STRING, .required = true),
	D(zone, "zone", MH_FIELD_STRING, .required = true),
	D(log_format, "log_format", MH_FIELD_STRING, .def_string = "text"),
};

static const struct mh_field dispatcher_listen[] = {
	D(links, "links", MH_FIELD_STRING, .required = true),
	D(announce, "announce", MH_FIELD_STRING),
	D(status, "status", MH_FIELD_STRING),
};

static const struct mh_field dispatcher_platform[] = {
	D(store, "store", MH_FIELD_STRING, .required = true),
};

static const struct section dispatcher_sections[] = {
	{ "listen", dispatcher_listen, LEN(dispatcher_listen), 0 },
	{ "platform", dispatcher_platform, LEN(dispatcher_platform), 0 },
	{ "bounds", bounds_fields, LEN(bounds_fields),
	  offsetof(struct mh_dispatcher_settings, bounds) },
	{ "link", link_fields, LEN(link_fields),
	  offsetof(struct mh_dispatcher_settings, link) },
};

char *mh_file_read(const char *path, size_t *len)
{
	FILE *f = strcmp(path, "-") ? fopen(path, "rb") : stdin;
	char *text = NULL, *bigger;
	size_t cap = 0, n;

	*len = 0;
	if (!f)
		return NULL;
	do {
		if (cap - *len < READ_BYTES + 1) {
			cap = cap * 2 + READ_BYTES + 1;
			bigger = realloc(text, cap);
			if (!bigger)
				goto err;
			text = bigger;
		}
		n = fread(text + *len, 1, READ_BYTES, f);
		*len += n;
	} while (n);
	if (ferror(f))
		goto err;
	text[*len] = '\0';
	if (f != stdin)
		fclose(f);
	return text;
err:
	free(text);
	if (f != stdin)
		fclose(f);
	return NULL;
}

uint64_t mh_file_stamp(const char *path)
{
	struct stat st;

	if (stat(path, &st))
		return 0;
	return (uint64_t)st.st_mtim.tv_sec * 1000000000u +
	       (uint64_t)st.st_mtim.tv_nsec + (uint64_t)st.st_ino * 31 +
	       (uint64_t)st.st_size;
}

void mh_toml_strip_lines(json_t *doc)
{
	const char *key;
	json_t *child;
	size_t i;

	if (json_is_object(doc)) {
		json_object_del(doc, "@lines");
		json_object_foreach(doc, key, child)
			mh_toml_strip_lines(child);
	}
	json_array_foreach(doc, i, child)
		mh_toml_strip_lines(child);
}

static json_t *load_toml(const char *path, struct mh_config_report *rep)
{
	char err[512];
	size_t len;
	char *text = mh_file_read(path, &len);
	json_t *doc;

	rep->file = path;
	if (!text) {
		mh_config_report_add(rep, 0, "file", NULL, strerror(errno));
		return NULL;
	}
	doc = mh_toml_parse(text, len, path, err, sizeof(err));
	if (!doc)
		mh_config_report_add(rep, 0, "syntax", NULL, err);
	free(text);
	return doc;
}

static void read_sections(const json_t *doc, const struct mh_field *root,
			  size_t n_root, const struct section *sections,
			  size_t n_sections, void *dst,
			  struct mh_config_report *rep)
{
	const char *names[8] = { 0 };
	size_t i;

	for (i = 0; i < n_sections; i++)
		names[i] = sections[i].name;
	mh_reader_read_table(doc, "", root, n_root, names, dst, rep);
	for (i = 0; i < n_sections; i++)
		mh_reader_read_table(json_object_get(doc, names[i]), names[i],
				     sections[i].fields, sections[i].n_fields,
				     NULL, (char *)dst + sections[i].offset,
				     rep);
}

static void release_sections(const struct mh_field *root, size_t n_root,
			     const struct section *sections, size_t n_sections,
			     void *dst)
{
	size_t i;

	mh_reader_free_strings(root, n_root, dst);
	for (i = 0; i < n_sections; i++)
		mh_reader_free_strings(sections[i].fields, sections[i].n_fields,
				       (char *)dst + sections[i].offset);
}

static void check_address(const json_t *doc, const char *section,
			  const char *key, const char *value,
			  struct mh_config_report *rep)
{
	const json_t *table = json_object_get(doc, section);
	char ip[64], path[64];
	uint16_t port;

	if (!value || mh_address_parse(value, ip, &port))
		return;
	snprintf(path, sizeof(path), "%s.%s", section, key);
	mh_config_report_add(
		rep, mh_toml_line(table, key), path,
		json_object_get(table, key),
		"must be an IP address and a port, such as 127.0.0.1:8080");
}

static void check_url(const json_t *doc, const char *section, const char *key,
		      const char *value, struct mh_config_report *rep)
{
	const json_t *table = json_object_get(doc, section);
	char path[64];

	if (!value || !strncmp(value, "http://", 7))
		return;
	snprintf(path, sizeof(path), "%s.%s", section, key);
	mh_config_report_add(rep, mh_toml_line(table, key), path,
			     json_object_get(table, key),
			     "must begin with http://");
}

static void check_log_format(const json_t *doc, const char *format,
			     struct mh_config_report *rep)
{
	if (!format || !strcmp(format, "text") || !strcmp(format, "json"))
		return;
	mh_config_report_add(rep, mh_toml_line(doc, "log_format"), "log_format",
			     json_object_get(doc, "log_format"),
			     "must be text or json");
}

static void check_log_level(const json_t *doc, const char *level,
			    struct mh_config_report *rep)
{
	static const char *const levels[] = { "error", "warn", "info",
					      "debug" };
	size_t i;

	for (i = 0; level && i < LEN(levels); i++) {
		if (!strcmp(levels[i], level))
			return;
	}
	mh_config_report_add(rep, mh_toml_line(doc, "log_level"), "log_level",
			     json_object_get(doc, "log_level"),
			     "must be error, warn, info or debug");
}

static void decode_link_key(const json_t *doc, struct mh_link_settings *link,
			    struct mh_config_report *rep)
{
	size_t n = 0;

	if (!link->key_hex)
		return;
	if (!sodium_hex2bin(link->key, sizeof(link->key), link->key_hex,
			    strlen(link->key_hex), NULL, &n, NULL) &&
	    n == sizeof(link->key) &&
	    strlen(link->key_hex) == 2 * sizeof(link->key))
		return;
	/* The value is a secret and must not appear in the message. */
	mh_config_report_add(rep,
			     mh_toml_line(json_object_get(doc, "link"), "key"),
			     "link.key", NULL, "must be 64 hex digits");
}

/* Keys and sections of a program's settings file. */
struct schema {
	const struct mh_field *root;
	size_t n_root;
	const struct section *sections;
	size_t n_sections;
	size_t size;
	size_t link_offset; /* of the member link in the settings struct */
};

#define SCHEMA(name)                                                           \
	{                                                                      \
		name##_root, LEN(name##_root), name##_sections,                \
			LEN(name##_sections),                                  \
			sizeof(struct mh_##name##_settings),                   \
			offsetof(struct mh_##name##_settings, link)            \
	}

static const struct schema entry_schema = SCHEMA(entry);
static const struct schema side_schema = SCHEMA(side);
static const struct schema proxy_schema = SCHEMA(proxy);
static const struct schema dispatcher_schema = SCHEMA(dispatcher);

/* Return: document for further checks, NULL if it cannot be read or parsed. */
static json_t *read_settings(const struct schema *schema, const char *path,
			     void *s, struct mh_config_report *rep)
{
	json_t *doc;

	memset(s, 0, schema->size);
	doc = load_toml(path, rep);
	if (doc)
		read_sections(doc, schema->root, schema->n_root,
			      schema->sections, schema->n_sections, s, rep);
	return doc;
}

/* Return: whether the whole file is valid. */
static bool finish_settings(const struct schema *schema, json_t *doc, void *s,
			    struct mh_config_report *rep)
{
	decode_link_key(
		doc,
		(struct mh_link_settings *)((char *)s + schema->link_offset),
		rep);
	json_decref(doc);
	return !rep->count;
}

static void release_settings(const struct schema *schema, void *s)
{
	struct mh_link_settings *link =
		(void *)((char *)s + schema->link_offset);

	release_sections(schema->root, schema->n_root, schema->sections,
			 schema->n_sections, s);
	sodium_memzero(&link->key, sizeof(link->key));
}

bool mh_entry_settings_read(const char *path, struct mh_entry_settings *s,
			    struct mh_config_report *rep)
{
	json_t *doc = read_settings(&entry_schema, path, s, rep);

	if (!doc)
		return false;
	check_address(doc, "listen", "callers", s->callers, rep);
	check_address(doc, "listen", "admin", s->admin, rep);
	check_address(doc, "listen", "links", s->links, rep);
	check_address(doc, "platform", "store", s->store, rep);
	check_log_level(doc, s->log_level, rep);
	return finish_settings(&entry_schema, doc, s, rep);
}

void mh_entry_settings_release(struct mh_entry_settings *s)
{
	release_settings(&entry_schema, s);
}

bool mh_side_settings_read(const char *path, struct mh_side_settings *s,
			   struct mh_config_report *rep)
{
	json_t *doc = read_settings(&side_schema, path, s, rep);

	if (!doc)
		return false;
	check_address(doc, "listen", "links", s->links, rep);
	check_address(doc, "listen", "metrics", s->metrics, rep);
	check_address(doc, "platform", "store", s->store, rep);
	check_url(doc, "backend", "url", s->backend_url, rep);
	check_log_level(doc, s->log_level, rep);
	if (s->backend_kind && strcmp(s->backend_kind, "engine") &&
	    strcmp(s->backend_kind, "service"))
		mh_config_report_add(
			rep,
			mh_toml_line(json_object_get(doc, "backend"), "kind"),
			"backend.kind",
			json_object_get(json_object_get(doc, "backend"),
					"kind"),
			"must be engine or service");
	return finish_settings(&side_schema, doc, s, rep);
}

void mh_side_settings_release(struct mh_side_settings *s)
{
	release_settings(&side_schema, s);
}

bool mh_proxy_settings_read(const char *path, struct mh_proxy_settings *s,
			    struct mh_config_report *rep)
{
	json_t *doc = read_settings(&proxy_schema, path, s, rep);
	size_t i;

	if (!doc)
		return false;
	check_log_format(doc, s->log_format, rep);
	check_address(doc, "listen", "callers", s->callers, rep);
	check_address(doc, "listen", "status", s->status, rep);
	check_address(doc, "listen", "metrics", s->metrics, rep);
	check_address(doc, "platform", "store", s->store, rep);
	for (i = 0; i < s->seeds.n; i++)
		check_address(doc, "dispatchers", "seeds", s->seeds.v[i], rep);
	return finish_settings(&proxy_schema, doc, s, rep);
}

void mh_proxy_settings_release(struct mh_proxy_settings *s)
{
	release_settings(&proxy_schema, s);
}

bool mh_dispatcher_settings_read(const char *path,
				 struct mh_dispatcher_settings *s,
				 struct mh_config_report *rep)
{
	json_t *doc = read_settings(&dispatcher_schema, path, s, rep);

	if (!doc)
		return false;
	check_log_format(doc, s->log_format, rep);
	check_address(doc, "listen", "links", s->links, rep);
	check_address(doc, "listen", "announce", s->announce, rep);
	check_address(doc, "listen", "status", s->status, rep);
	check_address(doc, "platform", "store", s->store, rep);
	return finish_settings(&dispatcher_schema, doc, s, rep);
}

void mh_dispatcher_settings_release(struct mh_dispatcher_settings *s)
{
	release_settings(&dispatcher_schema, s);
}
