#include "core/config_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/toml.h"

/*
 * State after the records that were read here, while another process's state
 * that is ahead of them is in force.
 */
struct reading {
	bool behind;
	uint64_t next_offset;
	uint64_t version;
	json_t *doc;
};

struct mh_config_state {
	struct mh_manifest *manifest;
	struct mh_manifest *old;
	bool complete;
	uint64_t first_offset;
	uint64_t next_offset;
	uint64_t version;
	uint64_t whole_ms;
	struct mh_audit_entry audit[MH_AUDIT_MAX];
	size_t n_audit;
	struct reading reading;
	/* Records read past a truncated start, kept until a snapshot comes. */
	struct pending *pending;
	size_t n_pending;
};

struct pending {
	uint64_t offset;
	uint64_t when_ms;
	json_t *rec;
};

struct mh_config_state *mh_config_state_new(void)
{
	struct mh_config_state *f = calloc(1, sizeof(*f));

	if (f)
		f->complete = true;
	return f;
}

static void drop_pending(struct mh_config_state *f)
{
	size_t i;

	for (i = 0; i < f->n_pending; i++)
		json_decref(f->pending[i].rec);
	free(f->pending);
	f->pending = NULL;
	f->n_pending = 0;
}

static void stop_reading_behind(struct mh_config_state *f)
{
	json_decref(f->reading.doc);
	f->reading.doc = NULL;
	f->reading.behind = false;
}

void mh_config_state_free(struct mh_config_state *f)
{
	if (!f)
		return;
	stop_reading_behind(f);
	drop_pending(f);
	mh_manifest_free(f->old);
	mh_manifest_free(f->manifest);
	free(f);
}

void mh_config_state_set_log_start(struct mh_config_state *f,
				   uint64_t first_offset)
{
	if (f->reading.behind && f->reading.next_offset < first_offset)
		stop_reading_behind(f);
	if (f->next_offset >= first_offset)
		return;
	/* Records were lost to us: what is in force stays until we catch up. */
	drop_pending(f);
	f->complete = false;
	f->first_offset = first_offset;
	f->next_offset = first_offset;
}

static void copy_text(char *dst, size_t size, const json_t *rec,
		      const char *key)
{
	const char *s = json_string_value(json_object_get(rec, key));

	snprintf(dst, size, "%s", s ? s : "");
}

static struct mh_audit_entry *audit_add(struct mh_config_state *f,
					const json_t *rec, uint64_t offset,
					uint64_t when_ms)
{
	struct mh_audit_entry *a = &f->audit[f->n_audit++ % MH_AUDIT_MAX];

	memset(a, 0, sizeof(*a));
	a->offset = offset;
	a->when_ms = when_ms;
	a->base = (uint64_t)json_integer_value(json_object_get(rec, "base"));
	copy_text(a->who, sizeof(a->who), rec, "who");
	copy_text(a->kind, sizeof(a->kind), rec, "kind");
	copy_text(a->nonce, sizeof(a->nonce), rec, "nonce");
	copy_text(a->note, sizeof(a->note), rec, "note");
	return a;
}

static void replace_manifest(struct mh_config_state *f, struct mh_manifest *m,
			     uint64_t version)
{
	/* The first one replaced may be in use; later ones never were. */
	if (f->old)
		mh_manifest_free(f->manifest);
	else
		f->old = f->manifest;
	f->manifest = m;
	f->version = version;
	m->version = version;
}

static struct mh_manifest *build(json_t *doc, char *note, size_t note_len)
{
	struct mh_report rep = { .file = "manifest" };
	struct mh_manifest *m = mh_manifest_read(doc, &rep);

	if (!m)
		snprintf(note, note_len, "%s", rep.text ? rep.text : "invalid");
	mh_report_clear(&rep);
	return m;
}

static bool is_delta(const struct mh_audit_entry *a)
{
	return !strcmp(a->kind, "delta");
}

static json_t *new_document(const struct mh_audit_entry *a, json_t *in_force,
			    const json_t *rec)
{
	json_t *doc = json_object_get(rec, "doc");

	if (!json_is_object(doc))
		return NULL;
	if (!is_delta(a))
		return json_deep_copy(doc);
	return in_force ? mh_manifest_merge(in_force, doc) : NULL;
}

/* Return: the manifest that a change makes, NULL if it is refused. */
static struct mh_manifest *judge(struct mh_audit_entry *a, const json_t *rec,
				 uint64_t version, json_t *in_force)
{
	struct mh_manifest *m;
	json_t *doc;

	a->version = version;
	if (a->base != version) {
		snprintf(a->note, sizeof(a->note),
			 "base %llu is not the version in force, %llu",
			 (unsigned long long)a->base,
			 (unsigned long long)version);
		a->result = MH_CONFIG_REFUSED_BASE;
		return NULL;
	}
	doc = new_document(a, in_force, rec);
	m = doc ? build(doc, a->note, sizeof(a->note)) : NULL;
	json_decref(doc);
	a->result = m ? MH_CONFIG_ACCEPTED : MH_CONFIG_REFUSED_INVALID;
	if (m)
		a->version = a->offset + 1;
	return m;
}

static enum mh_config_result apply_change(struct mh_config_state *f,
					  const json_t *rec, uint64_t offset,
					  uint64_t when_ms)
{
	struct mh_audit_entry *a = audit_add(f, rec, offset, when_ms);
	json_t *in_force = f->manifest ? f->manifest->doc : NULL;
	struct mh_manifest *m = judge(a, rec, f->version, in_force);

	if (!m)
		return a->result;
	replace_manifest(f, m, offset + 1);
	if (!is_delta(a))
		f->whole_ms = when_ms;
	return a->result;
}

/* A change that the state in force holds already: only its audit is missing. */
static enum mh_config_result audit_change(struct mh_config_state *f,
					  const json_t *rec, uint64_t offset,
					  uint64_t when_ms)
{
	struct mh_audit_entry *a = audit_add(f, rec, offset, when_ms);
	struct reading *r = &f->reading;
	struct mh_manifest *m = judge(a, rec, r->version, r->doc);

	if (!m)
		return a->result;
	json_decref(r->doc);
	r->doc = json_incref(m->doc);
	r->version = offset + 1;
	mh_manifest_free(m);
	return a->result;
}

static uint64_t get_u64(const json_t *rec, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(rec, key));
}

static enum mh_config_result apply_snapshot(struct mh_config_state *f,
					    const json_t *rec, uint64_t when_ms)
{
	/* Only a snapshot of the state in force renews it. */
	if (get_u64(rec, "version") != f->version)
		return MH_CONFIG_SKIPPED;
	if (when_ms > f->whole_ms)
		f->whole_ms = when_ms;
	return MH_CONFIG_SNAPSHOT;
}

/* Return: "" if the record has none. */
static const char *get_kind(const json_t *rec)
{
	const char *kind = json_string_value(json_object_get(rec, "kind"));

	return kind ? kind : "";
}

static bool is_change(const char *kind)
{
	return !strcmp(kind, "manifest") || !strcmp(kind, "delta");
}

static enum mh_config_result apply(struct mh_config_state *f, const json_t *rec,
				   uint64_t offset, uint64_t when_ms)
{
	const char *kind = get_kind(rec);

	f->next_offset = offset + 1;
	if (is_change(kind))
		return apply_change(f, rec, offset, when_ms);
	if (!strcmp(kind, "snapshot"))
		return apply_snapshot(f, rec, when_ms);
	/* Kinds of later releases are passed over. */
	return MH_CONFIG_SKIPPED;
}

static enum mh_config_result read_behind(struct mh_config_state *f,
					 const json_t *rec, uint64_t offset,
					 uint64_t when_ms)
{
	enum mh_config_result result = MH_CONFIG_SKIPPED;

	if (is_change(get_kind(rec)))
		result = audit_change(f, rec, offset, when_ms);
	f->reading.next_offset = offset + 1;
	if (f->reading.next_offset >= f->next_offset)
		stop_reading_behind(f);
	return result;
}

static void keep_pending(struct mh_config_state *f, json_t *rec,
			 uint64_t offset, uint64_t when_ms)
{
	struct pending *p =
		realloc(f->pending, (f->n_pending + 1) * sizeof(*p));

	if (!p)
		return;
	f->pending = p;
	p = &f->pending[f->n_pending++];
	p->offset = offset;
	p->when_ms = when_ms;
	p->rec = json_incref(rec);
}

/* Puts a known state in force and folds the kept records that follow it. */
static void resume_at(struct mh_config_state *f, struct mh_manifest *m,
		      uint64_t version, uint64_t as_of)
{
	uint64_t end = f->next_offset > as_of ? f->next_offset : as_of;
	size_t i;

	if (version > f->version)
		replace_manifest(f, m, version);
	else
		mh_manifest_free(m);
	f->complete = true;
	for (i = 0; i < f->n_pending; i++) {
		struct pending *p = &f->pending[i];

		if (p->offset >= as_of)
			apply(f, p->rec, p->offset, p->when_ms);
	}
	f->next_offset = end;
	drop_pending(f);
}

/*
 * A snapshot states up to which offset it was folded. It is a safe start if
 * every record from there on can still be read.
 */
static bool start_from_snapshot(struct mh_config_state *f, const json_t *rec,
				uint64_t when_ms)
{
	uint64_t as_of = get_u64(rec, "next_offset");
	char note[MH_AUDIT_TEXT_BYTES];
	struct mh_manifest *m;

	if (strcmp(get_kind(rec), "snapshot") || as_of < f->first_offset)
		return false;
	m = build(json_object_get(rec, "doc"), note, sizeof(note));
	if (!m)
		return false;
	f->whole_ms = when_ms;
	resume_at(f, m, get_u64(rec, "version"), as_of);
	return true;
}

enum mh_config_result mh_config_state_apply(struct mh_config_state *f,
					    uint64_t offset, uint64_t when_ms,
					    const char *text, size_t len)
{
	enum mh_config_result result = MH_CONFIG_SKIPPED;
	uint64_t read_to =
		f->reading.behind ? f->reading.next_offset : f->next_offset;
	json_t *rec;

	if (offset < read_to)
		return MH_CONFIG_SKIPPED;
	rec = json_loadb(text, len, 0, NULL);
	if (f->reading.behind && offset < f->next_offset) {
		result = read_behind(f, rec, offset, when_ms);
	} else if (f->complete) {
		result = apply(f, rec, offset, when_ms);
	} else {
		f->next_offset = offset + 1;
		keep_pending(f, rec, offset, when_ms);
		if (start_from_snapshot(f, rec, when_ms))
			result = MH_CONFIG_SNAPSHOT;
	}
	json_decref(rec);
	return result;
}

/* The records up to the state that is taken over are still to be audited. */
static void read_behind_from_here(struct mh_config_state *f)
{
	struct reading *r = &f->reading;

	if (r->behind || !f->complete)
		return;
	r->behind = true;
	r->next_offset = f->next_offset;
	r->version = f->version;
	r->doc = f->manifest ? json_incref(f->manifest->doc) : NULL;
}

bool mh_config_state_adopt(struct mh_config_state *f, uint64_t next_offset,
			   uint64_t version, const char *text, size_t len)
{
	char note[MH_AUDIT_TEXT_BYTES];
	struct mh_manifest *m;
	json_t *doc;

	if (f->complete && next_offset <= f->next_offset)
		return false;
	if (!f->complete && next_offset < f->first_offset)
		return false;
	if (f->complete && f->manifest && version == f->version) {
		read_behind_from_here(f);
		f->next_offset = next_offset;
		return false;
	}
	doc = json_loadb(text, len, 0, NULL);
	m = doc ? build(doc, note, sizeof(note)) : NULL;
	json_decref(doc);
	if (!m)
		return false;
	read_behind_from_here(f);
	resume_at(f, m, version, next_offset);
	return true;
}

struct mh_manifest *mh_config_state_take_replaced(struct mh_config_state *f)
{
	struct mh_manifest *old = f->old;

	f->old = NULL;
	return old;
}

const struct mh_manifest *
mh_config_state_manifest(const struct mh_config_state *f)
{
	return f->manifest;
}

uint64_t mh_config_state_next_offset(const struct mh_config_state *f)
{
	return f->next_offset;
}

uint64_t mh_config_state_version(const struct mh_config_state *f)
{
	return f->version;
}

uint64_t mh_config_state_full_record_ms(const struct mh_config_state *f)
{
	return f->whole_ms;
}

char *mh_config_state_snapshot(const struct mh_config_state *f)
{
	json_t *rec =
		json_pack("{s:s, s:I, s:I, s:O}", "kind", "snapshot", "version",
			  (json_int_t)f->version, "next_offset",
			  (json_int_t)f->next_offset, "doc", f->manifest->doc);
	char *text = json_dumps(rec, JSON_COMPACT);

	json_decref(rec);
	return text;
}

const struct mh_audit_entry *
mh_config_state_audit(const struct mh_config_state *f, size_t i)
{
	if (i >= f->n_audit || i >= MH_AUDIT_MAX)
		return NULL;
	return &f->audit[(f->n_audit - 1 - i) % MH_AUDIT_MAX];
}

const char *mh_config_result_name(enum mh_config_result result)
{
	switch (result) {
	case MH_CONFIG_ACCEPTED:
		return "accepted";
	case MH_CONFIG_REFUSED_BASE:
		return "refused_base";
	case MH_CONFIG_REFUSED_INVALID:
		return "refused_invalid";
	case MH_CONFIG_SNAPSHOT:
		return "snapshot";
	case MH_CONFIG_SKIPPED:
		return "skipped";
	}
	return "skipped";
}
