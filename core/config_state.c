#include "core/config_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/toml.h"

/*
 * Replay of the records that an adopted state skipped, for the audit trail
 * only. Its state is older than the one in force.
 */
struct audit_replay {
	bool active;
	uint64_t next_offset;
	uint64_t version;
	json_t *doc;
};

struct mh_config_state {
	struct mh_manifest *manifest;
	struct mh_manifest *replaced;
	bool complete;	       /* no record before next_offset is missing */
	uint64_t first_offset; /* oldest readable record, 0 before any gap */
	uint64_t next_offset;
	uint64_t version;
	uint64_t full_record_ms;
	struct mh_audit_entry audit[MH_AUDIT_MAX];
	size_t n_audit;
	struct audit_replay audit_replay;
	/* Records read after a gap in the log, until a snapshot covers it. */
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
	struct mh_config_state *cs = calloc(1, sizeof(*cs));

	if (cs)
		cs->complete = true;
	return cs;
}

static void drop_pending(struct mh_config_state *cs)
{
	size_t i;

	for (i = 0; i < cs->n_pending; i++)
		json_decref(cs->pending[i].rec);
	free(cs->pending);
	cs->pending = NULL;
	cs->n_pending = 0;
}

static void stop_audit_replay(struct mh_config_state *cs)
{
	json_decref(cs->audit_replay.doc);
	cs->audit_replay.doc = NULL;
	cs->audit_replay.active = false;
}

void mh_config_state_free(struct mh_config_state *cs)
{
	if (!cs)
		return;
	stop_audit_replay(cs);
	drop_pending(cs);
	mh_manifest_free(cs->replaced);
	mh_manifest_free(cs->manifest);
	free(cs);
}

void mh_config_state_set_log_start(struct mh_config_state *cs,
				   uint64_t first_offset)
{
	if (cs->audit_replay.active &&
	    cs->audit_replay.next_offset < first_offset)
		stop_audit_replay(cs);
	if (cs->next_offset >= first_offset)
		return;
	/*
	 * Records before first_offset can no longer be read. The manifest in
	 * force stays until a snapshot covers the gap.
	 */
	drop_pending(cs);
	cs->complete = false;
	cs->first_offset = first_offset;
	cs->next_offset = first_offset;
}

static void copy_text(char *dst, size_t size, const json_t *rec,
		      const char *key)
{
	const char *s = json_string_value(json_object_get(rec, key));

	snprintf(dst, size, "%s", s ? s : "");
}

static struct mh_audit_entry *audit_add(struct mh_config_state *cs,
					const json_t *rec, uint64_t offset,
					uint64_t when_ms)
{
	struct mh_audit_entry *a = &cs->audit[cs->n_audit++ % MH_AUDIT_MAX];

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

static void replace_manifest(struct mh_config_state *cs, struct mh_manifest *m,
			     uint64_t version)
{
	/* The caller may use the first one replaced, but never saw the rest. */
	if (cs->replaced)
		mh_manifest_free(cs->manifest);
	else
		cs->replaced = cs->manifest;
	cs->manifest = m;
	cs->version = version;
	m->version = version;
}

static struct mh_manifest *parse_manifest(json_t *doc, char *note,
					  size_t note_len)
{
	struct mh_config_report rep = { .file = "manifest" };
	struct mh_manifest *m = mh_manifest_read(doc, &rep);

	if (!m)
		snprintf(note, note_len, "%s", rep.text ? rep.text : "invalid");
	mh_config_report_clear(&rep);
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

/* An offset may be given out again, a version may not. */
static uint64_t next_version(uint64_t version, uint64_t offset)
{
	return (offset > version ? offset : version) + 1;
}

/* Return: the manifest after the change, NULL if the change is refused. */
static struct mh_manifest *evaluate_change(struct mh_audit_entry *a,
					   const json_t *rec, uint64_t version,
					   json_t *in_force)
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
	m = doc ? parse_manifest(doc, a->note, sizeof(a->note)) : NULL;
	json_decref(doc);
	a->result = m ? MH_CONFIG_ACCEPTED : MH_CONFIG_REFUSED_INVALID;
	if (m)
		a->version = next_version(version, a->offset);
	return m;
}

static enum mh_config_result apply_change(struct mh_config_state *cs,
					  const json_t *rec, uint64_t offset,
					  uint64_t when_ms)
{
	struct mh_audit_entry *a = audit_add(cs, rec, offset, when_ms);
	json_t *in_force = cs->manifest ? cs->manifest->doc : NULL;
	struct mh_manifest *m = evaluate_change(a, rec, cs->version, in_force);

	if (!m)
		return a->result;
	replace_manifest(cs, m, a->version);
	if (!is_delta(a))
		cs->full_record_ms = when_ms;
	return a->result;
}

/* Audits a change that the state in force already includes. */
static enum mh_config_result audit_change(struct mh_config_state *cs,
					  const json_t *rec, uint64_t offset,
					  uint64_t when_ms)
{
	struct mh_audit_entry *a = audit_add(cs, rec, offset, when_ms);
	struct audit_replay *r = &cs->audit_replay;
	struct mh_manifest *m = evaluate_change(a, rec, r->version, r->doc);

	if (!m)
		return a->result;
	json_decref(r->doc);
	r->doc = json_incref(m->doc);
	r->version = a->version;
	mh_manifest_free(m);
	return a->result;
}

static uint64_t get_u64(const json_t *rec, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(rec, key));
}

static enum mh_config_result apply_snapshot(struct mh_config_state *cs,
					    const json_t *rec, uint64_t when_ms)
{
	uint64_t version = get_u64(rec, "version");
	char note[MH_AUDIT_TEXT_BYTES];
	struct mh_manifest *m;

	/* A snapshot of an older version lacks the document in force. */
	if (version < cs->version)
		return MH_CONFIG_SKIPPED;
	/* One of a later version restores what the log lost. */
	if (version > cs->version) {
		m = parse_manifest(json_object_get(rec, "doc"), note,
				   sizeof(note));
		if (!m)
			return MH_CONFIG_SKIPPED;
		replace_manifest(cs, m, version);
	}
	if (when_ms > cs->full_record_ms)
		cs->full_record_ms = when_ms;
	return MH_CONFIG_SNAPSHOT;
}

/* Return: the record's kind, "" if it has none. */
static const char *get_kind(const json_t *rec)
{
	const char *kind = json_string_value(json_object_get(rec, "kind"));

	return kind ? kind : "";
}

static bool is_change(const char *kind)
{
	return !strcmp(kind, "manifest") || !strcmp(kind, "delta");
}

static enum mh_config_result apply(struct mh_config_state *cs,
				   const json_t *rec, uint64_t offset,
				   uint64_t when_ms)
{
	const char *kind = get_kind(rec);

	cs->next_offset = offset + 1;
	if (is_change(kind))
		return apply_change(cs, rec, offset, when_ms);
	if (!strcmp(kind, "snapshot"))
		return apply_snapshot(cs, rec, when_ms);
	/* Skip kinds that a later release may add. */
	return MH_CONFIG_SKIPPED;
}

static enum mh_config_result replay_for_audit(struct mh_config_state *cs,
					      const json_t *rec,
					      uint64_t offset, uint64_t when_ms)
{
	enum mh_config_result result = MH_CONFIG_SKIPPED;

	if (is_change(get_kind(rec)))
		result = audit_change(cs, rec, offset, when_ms);
	cs->audit_replay.next_offset = offset + 1;
	if (cs->audit_replay.next_offset >= cs->next_offset)
		stop_audit_replay(cs);
	return result;
}

static void add_pending(struct mh_config_state *cs, json_t *rec,
			uint64_t offset, uint64_t when_ms)
{
	struct pending *p =
		realloc(cs->pending, (cs->n_pending + 1) * sizeof(*p));

	if (!p)
		return;
	cs->pending = p;
	p = &cs->pending[cs->n_pending++];
	p->offset = offset;
	p->when_ms = when_ms;
	p->rec = json_incref(rec);
}

/* Puts @m in force and applies the pending records from @as_of on. */
static void resume_at(struct mh_config_state *cs, struct mh_manifest *m,
		      uint64_t version, uint64_t as_of)
{
	uint64_t end = cs->next_offset > as_of ? cs->next_offset : as_of;
	size_t i;

	if (version > cs->version)
		replace_manifest(cs, m, version);
	else
		mh_manifest_free(m);
	cs->complete = true;
	for (i = 0; i < cs->n_pending; i++) {
		struct pending *p = &cs->pending[i];

		if (p->offset >= as_of)
			apply(cs, p->rec, p->offset, p->when_ms);
	}
	cs->next_offset = end;
	drop_pending(cs);
}

/*
 * A snapshot includes all records before its next_offset. Replay may start
 * from it if every record from there on can still be read.
 */
static bool start_from_snapshot(struct mh_config_state *cs, const json_t *rec,
				uint64_t when_ms)
{
	uint64_t as_of = get_u64(rec, "next_offset");
	char note[MH_AUDIT_TEXT_BYTES];
	struct mh_manifest *m;

	if (strcmp(get_kind(rec), "snapshot") || as_of < cs->first_offset)
		return false;
	m = parse_manifest(json_object_get(rec, "doc"), note, sizeof(note));
	if (!m)
		return false;
	cs->full_record_ms = when_ms;
	resume_at(cs, m, get_u64(rec, "version"), as_of);
	return true;
}

enum mh_config_result mh_config_state_apply(struct mh_config_state *cs,
					    uint64_t offset, uint64_t when_ms,
					    const char *text, size_t len)
{
	enum mh_config_result result = MH_CONFIG_SKIPPED;
	uint64_t read_to = cs->audit_replay.active ?
				   cs->audit_replay.next_offset :
				   cs->next_offset;
	json_t *rec;

	if (offset < read_to)
		return MH_CONFIG_SKIPPED;
	rec = json_loadb(text, len, 0, NULL);
	if (cs->audit_replay.active && offset < cs->next_offset) {
		result = replay_for_audit(cs, rec, offset, when_ms);
	} else if (cs->complete) {
		result = apply(cs, rec, offset, when_ms);
	} else {
		cs->next_offset = offset + 1;
		add_pending(cs, rec, offset, when_ms);
		if (start_from_snapshot(cs, rec, when_ms))
			result = MH_CONFIG_SNAPSHOT;
	}
	json_decref(rec);
	return result;
}

/* The records that the adopted state includes still have to be audited. */
static void start_audit_replay(struct mh_config_state *cs)
{
	struct audit_replay *r = &cs->audit_replay;

	if (r->active || !cs->complete)
		return;
	r->active = true;
	r->next_offset = cs->next_offset;
	r->version = cs->version;
	r->doc = cs->manifest ? json_incref(cs->manifest->doc) : NULL;
}

bool mh_config_state_adopt(struct mh_config_state *cs, uint64_t next_offset,
			   uint64_t version, const char *text, size_t len)
{
	char note[MH_AUDIT_TEXT_BYTES];
	struct mh_manifest *m;
	json_t *doc;

	if (cs->complete && next_offset <= cs->next_offset)
		return false;
	if (!cs->complete && next_offset < cs->first_offset)
		return false;
	if (cs->complete && cs->manifest && version == cs->version) {
		start_audit_replay(cs);
		cs->next_offset = next_offset;
		return false;
	}
	doc = json_loadb(text, len, 0, NULL);
	m = doc ? parse_manifest(doc, note, sizeof(note)) : NULL;
	json_decref(doc);
	if (!m)
		return false;
	start_audit_replay(cs);
	resume_at(cs, m, version, next_offset);
	return true;
}

struct mh_manifest *mh_config_state_take_replaced(struct mh_config_state *cs)
{
	struct mh_manifest *replaced = cs->replaced;

	cs->replaced = NULL;
	return replaced;
}

const struct mh_manifest *
mh_config_state_manifest(const struct mh_config_state *cs)
{
	return cs->manifest;
}

uint64_t mh_config_state_next_offset(const struct mh_config_state *cs)
{
	return cs->next_offset;
}

uint64_t mh_config_state_version(const struct mh_config_state *cs)
{
	return cs->version;
}

uint64_t mh_config_state_full_record_ms(const struct mh_config_state *cs)
{
	return cs->full_record_ms;
}

void mh_config_state_take_over(struct mh_config_state *cs,
			       struct mh_config_state *replay)
{
	if (replay->version > cs->version) {
		replace_manifest(cs, replay->manifest, replay->version);
		replay->manifest = NULL;
	}
	stop_audit_replay(cs);
	drop_pending(cs);
	cs->complete = replay->complete;
	cs->first_offset = replay->first_offset;
	cs->next_offset = replay->next_offset;
	cs->full_record_ms = replay->full_record_ms;
	cs->pending = replay->pending;
	cs->n_pending = replay->n_pending;
	memcpy(cs->audit, replay->audit, sizeof(cs->audit));
	cs->n_audit = replay->n_audit;
	replay->pending = NULL;
	replay->n_pending = 0;
	mh_config_state_free(replay);
}

char *mh_config_state_snapshot(const struct mh_config_state *cs,
			       uint64_t next_offset)
{
	json_t *rec =
		json_pack("{s:s, s:I, s:I, s:O}", "kind", "snapshot", "version",
			  (json_int_t)cs->version, "next_offset",
			  (json_int_t)next_offset, "doc", cs->manifest->doc);
	char *text = json_dumps(rec, JSON_COMPACT);

	json_decref(rec);
	return text;
}

const struct mh_audit_entry *
mh_config_state_audit(const struct mh_config_state *cs, size_t i)
{
	if (i >= cs->n_audit || i >= MH_AUDIT_MAX)
		return NULL;
	return &cs->audit[(cs->n_audit - 1 - i) % MH_AUDIT_MAX];
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
