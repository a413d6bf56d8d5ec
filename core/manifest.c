#include "core/manifest.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
#define HEX_SHA256_CHARS 64
#define COUNT_LIMIT 1000000

#define FIELD(st, m, ty, ...)                                                  \
	{                                                                      \
		.key = #m, .type = (ty), .offset = offsetof(struct st, m),     \
		__VA_ARGS__                                                    \
	}

static const struct mh_field tier_fields[] = {
	FIELD(mh_tier, name, MH_FIELD_STRING, .required = true),
	FIELD(mh_tier, deadline_ms, MH_FIELD_U32, .min = 10, .max = 86400000,
	      .def_u32 = 30000),
};

static const struct mh_field pool_fields[] = {
	FIELD(mh_pool, name, MH_FIELD_STRING, .required = true),
	FIELD(mh_pool, kind, MH_FIELD_STRING, .required = true),
	FIELD(mh_pool, models, MH_FIELD_STRINGS),
	FIELD(mh_pool, not_repeatable, MH_FIELD_STRINGS),
	FIELD(mh_pool, max_waiting, MH_FIELD_U32, .min = 1, .max = COUNT_LIMIT,
	      .def_u32 = 2000),
	FIELD(mh_pool, max_running, MH_FIELD_U32, .min = 1, .max = 4096,
	      .def_u32 = 16),
	FIELD(mh_pool, reserve_percent, MH_FIELD_U32, .min = 0, .max = 50,
	      .def_u32 = 10),
};

static const struct mh_field account_fields[] = {
	FIELD(mh_account, name, MH_FIELD_STRING, .required = true),
	FIELD(mh_account, keys_sha256, MH_FIELD_STRINGS, .required = true),
	{ .key = "tier",
	  .type = MH_FIELD_STRING,
	  .offset = offsetof(struct mh_account, tier_name),
	  .required = true },
	FIELD(mh_account, share, MH_FIELD_U32, .min = 1, .max = 10000,
	      .def_u32 = 100),
	FIELD(mh_account, max_waiting, MH_FIELD_U32, .min = 1,
	      .max = COUNT_LIMIT, .def_u32 = 1000),
};

static const struct mh_field operator_fields[] = {
	FIELD(mh_operator, name, MH_FIELD_STRING, .required = true),
	FIELD(mh_operator, token_sha256, MH_FIELD_STRING, .required = true),
	FIELD(mh_operator, role, MH_FIELD_STRING, .required = true),
};

static const struct mh_field policy_fields[] = {
	FIELD(mh_policy, grant_term_ms, MH_FIELD_U32, .min = 5, .max = 10000,
	      .def_u32 = 250),
	FIELD(mh_policy, widen_ms, MH_FIELD_U32, .min = 0, .max = 10000,
	      .def_u32 = 10),
	FIELD(mh_policy, give_way_term_ms, MH_FIELD_U32, .min = 10,
	      .max = 60000, .def_u32 = 1000),
	FIELD(mh_policy, keep_ms, MH_FIELD_U32, .min = 0, .max = 3600000,
	      .def_u32 = 60000),
	FIELD(mh_policy, key_window_s, MH_FIELD_U32, .min = 10, .max = 86400,
	      .def_u32 = 3600),
	FIELD(mh_policy, claim_appenders, MH_FIELD_U32, .min = 0,
	      .max = COUNT_LIMIT),
	FIELD(mh_policy, links_per_server, MH_FIELD_U32, .min = 0,
	      .max = COUNT_LIMIT),
	FIELD(mh_policy, appends_per_s, MH_FIELD_U32, .min = 1, .max = 100000,
	      .def_u32 = 200),
};

struct root {
	uint32_t schema;
	struct mh_strings drained;
};

static const struct mh_field root_fields[] = {
	FIELD(root, schema, MH_FIELD_U32, .required = true,
	      .min = MH_SCHEMA_VERSION, .max = MH_SCHEMA_VERSION),
	FIELD(root, drained, MH_FIELD_STRINGS),
};

static const char *const sections[] = { "tier",	    "pool",   "account",
					"operator", "policy", NULL };

int mh_manifest_tier(const struct mh_manifest *m, const char *name)
{
	int i;

	for (i = 0; i < m->n_tiers; i++) {
		if (m->tiers[i].name && !strcmp(m->tiers[i].name, name))
			return i;
	}
	return -1;
}

static const json_t *section(const json_t *doc, const char *name,
			     struct mh_config_report *rep)
{
	const json_t *array = json_object_get(doc, name);

	if (array && !json_is_array(array)) {
		mh_config_report_add(rep, 0, name, NULL,
				     "must be an array of tables");
		return NULL;
	}
	return array;
}

static void read_tiers(struct mh_manifest *m, const json_t *array,
		       struct mh_config_report *rep)
{
	size_t i, n = json_array_size(array);
	char path[64];

	if (!n || n > MH_MAX_TIERS) {
		mh_config_report_add(rep, 0, "tier", NULL,
				     "there must be from 1 to 8 tiers");
		return;
	}
	for (i = 0; i < n; i++) {
		snprintf(path, sizeof(path), "tier[%zu]", i);
		m->n_tiers++;
		mh_reader_read_table(json_array_get(array, i), path,
				     tier_fields, LEN(tier_fields), NULL,
				     &m->tiers[i], rep);
	}
}

static void check_unique_model(struct mh_manifest *m, size_t upto,
			       const char *model, const char *path,
			       struct mh_config_report *rep)
{
	size_t i, j;

	for (i = 0; i < upto; i++) {
		for (j = 0; j < m->pools[i].models.n; j++) {
			if (strcmp(m->pools[i].models.v[j], model))
				continue;
			mh_config_report_add(rep, 0, path, NULL,
					     "a model may be in one pool only");
		}
	}
}

static void read_pools(struct mh_manifest *m, const json_t *array,
		       struct mh_config_report *rep)
{
	size_t i, j, n = json_array_size(array);
	char path[64];

	m->pools = calloc(n ? n : 1, sizeof(*m->pools));
	for (i = 0; i < n; i++) {
		struct mh_pool *p = &m->pools[i];

		snprintf(path, sizeof(path), "pool[%zu]", i);
		m->n_pools++;
		mh_reader_read_table(json_array_get(array, i), path,
				     pool_fields, LEN(pool_fields), NULL, p,
				     rep);
		if (!p->kind || !p->name)
			continue;
		p->is_service = !strcmp(p->kind, "service");
		if (!p->is_service && strcmp(p->kind, "engine"))
			mh_config_report_add(rep, 0, path, NULL,
					     "kind must be engine or service");
		if (!p->is_service && !p->models.n)
			mh_config_report_add(rep, 0, path, NULL,
					     "an engine pool needs models");
		for (j = 0; j < p->models.n; j++)
			check_unique_model(m, i, p->models.v[j], path, rep);
		for (j = 0; j < i; j++) {
			if (m->pools[j].name &&
			    !strcmp(m->pools[j].name, p->name))
				mh_config_report_add(rep, 0, path, NULL,
						     "the name is taken");
		}
	}
}

static bool is_sha256_hex(const char *s)
{
	return strlen(s) == HEX_SHA256_CHARS &&
	       strspn(s, "0123456789abcdef") == HEX_SHA256_CHARS;
}

static void index_keys(struct mh_manifest *m, const struct mh_account *a,
		       const char *path, struct mh_config_report *rep)
{
	struct mh_key_ref *ref;
	size_t i;

	for (i = 0; i < a->keys_sha256.n; i++) {
		char *hash = a->keys_sha256.v[i];

		HASH_FIND_STR(m->by_key, hash, ref);
		if (ref || !is_sha256_hex(hash)) {
			mh_config_report_add(rep, 0, path, NULL,
					     ref ? "a key hash is used twice" :
						   "a key hash must be 64 "
						   "lower-case hex digits");
			continue;
		}
		ref = calloc(1, sizeof(*ref));
		if (!ref)
			return;
		ref->hash = hash;
		ref->account = a;
		HASH_ADD_KEYPTR(hh, m->by_key, hash, strlen(hash), ref);
	}
}

static void read_accounts(struct mh_manifest *m, const json_t *array,
			  struct mh_config_report *rep)
{
	size_t i, n = json_array_size(array);
	char path[64];

	m->accounts = calloc(n ? n : 1, sizeof(*m->accounts));
	for (i = 0; i < n; i++) {
		struct mh_account *a = &m->accounts[i];
		int tier;

		snprintf(path, sizeof(path), "account[%zu]", i);
		m->n_accounts++;
		mh_reader_read_table(json_array_get(array, i), path,
				     account_fields, LEN(account_fields), NULL,
				     a, rep);
		if (!a->tier_name)
			continue;
		tier = mh_manifest_tier(m, a->tier_name);
		if (tier < 0)
			mh_config_report_add(rep, 0, path, NULL,
					     "tier must name a tier");
		a->tier = (uint8_t)(tier < 0 ? 0 : tier);
		index_keys(m, a, path, rep);
	}
}

static void read_operators(struct mh_manifest *m, const json_t *array,
			   struct mh_config_report *rep)
{
	size_t i, n = json_array_size(array);
	char path[64];

	m->operators = calloc(n ? n : 1, sizeof(*m->operators));
	for (i = 0; i < n; i++) {
		struct mh_operator *o = &m->operators[i];

		snprintf(path, sizeof(path), "operator[%zu]", i);
		m->n_operators++;
		mh_reader_read_table(json_array_get(array, i), path,
				     operator_fields, LEN(operator_fields),
				     NULL, o, rep);
		if (o->token_sha256 && !is_sha256_hex(o->token_sha256))
			mh_config_report_add(
				rep, 0, path, NULL,
				"token_sha256 must be 64 lower-case "
				"hex digits");
		if (o->role && strcmp(o->role, "reader") &&
		    strcmp(o->role, "publisher") && strcmp(o->role, "admin"))
			mh_config_report_add(
				rep, 0, path, NULL,
				"role must be reader, publisher or "
				"admin");
	}
}

struct mh_manifest *mh_manifest_read(json_t *doc, struct mh_config_report *rep)
{
	struct mh_manifest *m = calloc(1, sizeof(*m));
	struct root root = { 0 };

	if (!m)
		return NULL;
	m->doc = json_incref(doc);
	mh_reader_read_table(doc, "", root_fields, LEN(root_fields), sections,
			     &root, rep);
	m->drained = root.drained;
	read_tiers(m, section(doc, "tier", rep), rep);
	read_pools(m, section(doc, "pool", rep), rep);
	read_accounts(m, section(doc, "account", rep), rep);
	read_operators(m, section(doc, "operator", rep), rep);
	mh_reader_read_table(json_object_get(doc, "policy"), "policy",
			     policy_fields, LEN(policy_fields), NULL,
			     &m->policy, rep);
	if (rep->count) {
		mh_manifest_free(m);
		return NULL;
	}
	return m;
}

void mh_manifest_free(struct mh_manifest *m)
{
	struct mh_key_ref *ref, *tmp;
	struct root root;
	size_t i;

	if (!m)
		return;
	HASH_ITER(hh, m->by_key, ref, tmp) {
		HASH_DEL(m->by_key, ref);
		free(ref);
	}
	for (i = 0; i < m->n_tiers; i++)
		mh_reader_free_strings(tier_fields, LEN(tier_fields),
				       &m->tiers[i]);
	for (i = 0; i < m->n_pools; i++)
		mh_reader_free_strings(pool_fields, LEN(pool_fields),
				       &m->pools[i]);
	for (i = 0; i < m->n_accounts; i++)
		mh_reader_free_strings(account_fields, LEN(account_fields),
				       &m->accounts[i]);
	for (i = 0; i < m->n_operators; i++)
		mh_reader_free_strings(operator_fields, LEN(operator_fields),
				       &m->operators[i]);
	root.drained = m->drained;
	mh_reader_free_strings(root_fields, LEN(root_fields), &root);
	free(m->pools);
	free(m->accounts);
	free(m->operators);
	json_decref(m->doc);
	free(m);
}

static const char *table_name(const json_t *table)
{
	return json_string_value(json_object_get(table, "name"));
}

static size_t find_named(const json_t *array, const char *name)
{
	size_t i;

	for (i = 0; i < json_array_size(array); i++) {
		const char *other = table_name(json_array_get(array, i));

		if (other && !strcmp(other, name))
			return i;
	}
	return json_array_size(array);
}

/* Tables that don't change stay shared with the former document. */
static void merge_named(json_t *array, json_t *changes)
{
	json_t *table, *merged;
	size_t i;

	json_array_foreach(changes, i, table) {
		const char *name = table_name(table);
		size_t at =
			name ? find_named(array, name) : json_array_size(array);

		if (at == json_array_size(array) || !json_is_object(table)) {
			json_array_append(array, table);
			continue;
		}
		merged = json_copy(json_array_get(array, at));
		json_object_update(merged, table);
		json_array_set_new(array, at, merged);
	}
}

/*
 * Replaces a section of @doc by a shallow copy, so that a change does not reach
 * the document that it is shared with.
 */
static json_t *unshare_section(json_t *doc, const char *name)
{
	json_t *copy = json_copy(json_object_get(doc, name));

	json_object_set_new(doc, name, copy);
	return copy;
}

static void remove_named(json_t *doc, const char *ref)
{
	const char *colon = strchr(ref, ':');
	char section_name[32];
	json_t *array;

	if (!colon || (size_t)(colon - ref) >= sizeof(section_name))
		return;
	memcpy(section_name, ref, (size_t)(colon - ref));
	section_name[colon - ref] = '\0';
	if (!json_is_array(json_object_get(doc, section_name)))
		return;
	array = unshare_section(doc, section_name);
	json_array_remove(array, find_named(array, colon + 1));
}

json_t *mh_manifest_merge(const json_t *doc, const json_t *delta)
{
	json_t *merged = json_copy((json_t *)doc), *value;
	const char *key;
	size_t i;

	if (!merged)
		return NULL;
	json_array_foreach(json_object_get(delta, "remove"), i, value) {
		if (json_is_string(value))
			remove_named(merged, json_string_value(value));
	}
	json_object_foreach((json_t *)delta, key, value) {
		json_t *old = json_object_get(merged, key);

		if (!strcmp(key, "remove") || !strcmp(key, "@lines"))
			continue;
		if (json_is_array(old) && json_is_array(value) &&
		    json_is_object(json_array_get(value, 0)))
			merge_named(unshare_section(merged, key), value);
		else if (json_is_object(old) && json_is_object(value))
			json_object_update(unshare_section(merged, key), value);
		else
			json_object_set(merged, key, value);
	}
	return merged;
}

const struct mh_pool *mh_manifest_pool(const struct mh_manifest *m,
				       const char *name)
{
	size_t i;

	for (i = 0; i < m->n_pools; i++) {
		if (!strcmp(m->pools[i].name, name))
			return &m->pools[i];
	}
	return NULL;
}

const struct mh_pool *mh_manifest_pool_for_model(const struct mh_manifest *m,
						 const char *model)
{
	size_t i, j;

	for (i = 0; i < m->n_pools; i++) {
		for (j = 0; j < m->pools[i].models.n; j++) {
			if (!strcmp(m->pools[i].models.v[j], model))
				return &m->pools[i];
		}
	}
	return NULL;
}

const struct mh_account *mh_manifest_account(const struct mh_manifest *m,
					     const char *name)
{
	size_t i;

	for (i = 0; i < m->n_accounts; i++) {
		if (!strcmp(m->accounts[i].name, name))
			return &m->accounts[i];
	}
	return NULL;
}

const struct mh_account *mh_manifest_account_by_key(const struct mh_manifest *m,
						    const char *sha256_hex)
{
	struct mh_key_ref *ref;

	HASH_FIND_STR(m->by_key, sha256_hex, ref);
	return ref ? ref->account : NULL;
}

bool mh_manifest_drained(const struct mh_manifest *m, const char *host)
{
	size_t i;

	for (i = 0; i < m->drained.n; i++) {
		if (!strcmp(m->drained.v[i], host))
			return true;
	}
	return false;
}

bool mh_pool_repeatable(const struct mh_pool *pool, const char *method,
			const char *path)
{
	size_t i, len = strlen(method);

	for (i = 0; i < pool->not_repeatable.n; i++) {
		const char *rule = pool->not_repeatable.v[i];

		if (strncmp(rule, method, len) || rule[len] != ' ')
			continue;
		if (!strncmp(rule + len + 1, path, strlen(rule + len + 1)))
			return false;
	}
	return true;
}
