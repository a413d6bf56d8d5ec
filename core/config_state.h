/*
 * Configuration in force, replayed from the log: the same records in the same
 * order give the same manifest in every process.
 */
#ifndef MH_CONFIG_STATE_H
#define MH_CONFIG_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/manifest.h"

#define MH_AUDIT_MAX 256
#define MH_AUDIT_TEXT_BYTES 160

enum mh_config_result {
	MH_CONFIG_ACCEPTED,
	MH_CONFIG_REFUSED_BASE,
	MH_CONFIG_REFUSED_INVALID,
	MH_CONFIG_SNAPSHOT,
	MH_CONFIG_SKIPPED,
};

/**
 * struct mh_audit_entry - one change as the audit trail shows it
 * @offset: log offset of the record
 * @result: whether it was applied, and if not, why
 * @base: version that the change was made against
 * @version: version in force after the record
 * @when_ms: Unix time of the append
 * @who: operator
 * @kind: "manifest" or "delta"
 * @nonce: chosen by the publisher, to find its own record again
 * @note: what changed, or why it was refused
 */
struct mh_audit_entry {
	uint64_t offset;
	enum mh_config_result result;
	uint64_t base;
	uint64_t version;
	uint64_t when_ms;
	char who[64];
	char kind[16];
	char nonce[48];
	char note[MH_AUDIT_TEXT_BYTES];
};

struct mh_config_state;

/**
 * mh_config_state_new() - create a state without any record
 *
 * Return: state, NULL when memory runs out.
 */
struct mh_config_state *mh_config_state_new(void);

/**
 * mh_config_state_free() - free a state and its manifests
 * @cs: state or NULL
 */
void mh_config_state_free(struct mh_config_state *cs);

/**
 * mh_config_state_set_log_start() - set where the retained log begins
 * @cs: state
 * @first_offset: offset of the oldest record that can be read
 *
 * A record is applied only if all records before it were. If some of them are
 * no longer retained, the manifest in force stays until a snapshot or another
 * process's state covers the gap.
 */
void mh_config_state_set_log_start(struct mh_config_state *cs,
				   uint64_t first_offset);

/**
 * mh_config_state_apply() - apply one log record
 * @cs: state
 * @offset: offset of the record
 * @when_ms: Unix time of the append
 * @rec: record, a JSON text
 * @len: length of @rec
 *
 * Records before the next offset are skipped, so that a second delivery has no
 * effect. Those that an adopted state covers already only go to the audit
 * trail.
 *
 * Return: whether the record was applied, and if not, why.
 */
enum mh_config_result mh_config_state_apply(struct mh_config_state *cs,
					    uint64_t offset, uint64_t when_ms,
					    const char *rec, size_t len);

/**
 * mh_config_state_adopt() - adopt another process's state if it is ahead
 * @cs: state
 * @next_offset: first offset that the other process has not applied
 * @version: version of its manifest
 * @doc: document as JSON text
 * @len: length of @doc
 *
 * Return: whether the state was adopted; false as well when its version is in
 * force already and only the next offset advances.
 */
bool mh_config_state_adopt(struct mh_config_state *cs, uint64_t next_offset,
			   uint64_t version, const char *doc, size_t len);

/**
 * mh_config_state_take_replaced() - take the manifest that was replaced
 * @cs: state
 *
 * Return: the first manifest that was replaced since the last call, now owned
 * by the caller; NULL if there is none.
 */
struct mh_manifest *mh_config_state_take_replaced(struct mh_config_state *cs);

/**
 * mh_config_state_manifest() - manifest in force, NULL before the first
 * @cs: state
 */
const struct mh_manifest *
mh_config_state_manifest(const struct mh_config_state *cs);

/**
 * mh_config_state_next_offset() - first offset that was not applied
 * @cs: state
 */
uint64_t mh_config_state_next_offset(const struct mh_config_state *cs);

/**
 * mh_config_state_version() - version in force: offset of its record plus one,
 *                             or the next one after that was given out already
 * @cs: state
 */
uint64_t mh_config_state_version(const struct mh_config_state *cs);

/**
 * mh_config_state_full_record_ms() - append time of the newest full document
 * @cs: state
 *
 * Full documents are manifests and snapshots, not deltas. A snapshot is due
 * before the log's retention drops the newest.
 */
uint64_t mh_config_state_full_record_ms(const struct mh_config_state *cs);

/**
 * mh_config_state_take_over() - take over the replay of a log that lost its last
 *                              records
 * @cs: state
 * @replay: state that applied that log from its start on; freed
 *
 * The later manifest of the two stays in force; all else is that of @replay.
 */
void mh_config_state_take_over(struct mh_config_state *cs,
			       struct mh_config_state *replay);

/**
 * mh_config_state_snapshot() - write a snapshot record of the state
 * @cs: state with a manifest
 * @next_offset: first offset that the snapshot does not include
 *
 * Return: JSON text for the caller to free.
 */
char *mh_config_state_snapshot(const struct mh_config_state *cs,
			       uint64_t next_offset);

/**
 * mh_config_state_audit() - entry of the audit trail
 * @cs: state
 * @i: 0 is the newest
 *
 * Return: entry, or NULL past the oldest of the last MH_AUDIT_MAX.
 */
const struct mh_audit_entry *
mh_config_state_audit(const struct mh_config_state *cs, size_t i);

/**
 * mh_config_result_name() - name of a result for the audit trail
 * @result: result
 */
const char *mh_config_result_name(enum mh_config_result result);

#endif
