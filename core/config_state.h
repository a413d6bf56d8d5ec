/*
 * Fold of the configuration stream: the same records in the same order give
 * the same manifest in every process.
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
 * @result: what the fold made of it
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
 * mh_config_state_new() - create a fold that has read nothing
 */
struct mh_config_state *mh_config_state_new(void);

/**
 * mh_config_state_free() - free a fold and its manifest
 * @cs: fold or NULL
 */
void mh_config_state_free(struct mh_config_state *cs);

/**
 * mh_config_state_set_log_start() - tell where the retained part of the stream begins
 * @cs: fold
 * @first_offset: offset of the oldest record that can be read
 *
 * A fold that has read nothing trusts a record only if all before it were
 * folded, so past a truncated start it waits for a snapshot.
 */
void mh_config_state_set_log_start(struct mh_config_state *cs,
				   uint64_t first_offset);

/**
 * mh_config_state_apply() - apply one record
 * @cs: fold
 * @offset: offset of the record
 * @when_ms: time of the append
 * @rec: record, a JSON text
 * @len: length of @rec
 *
 * Records at or before the folded offset are skipped, so that delivery twice
 * has no effect. Those that a state taken over holds already are only audited.
 *
 * Return: what became of the record.
 */
enum mh_config_result mh_config_state_apply(struct mh_config_state *cs,
					    uint64_t offset, uint64_t when_ms,
					    const char *rec, size_t len);

/**
 * mh_config_state_adopt() - take over another process's state if it is ahead
 * @cs: fold
 * @next_offset: first offset that the other has not folded
 * @version: version of the other's manifest
 * @doc: document as JSON text
 * @len: length of @doc
 *
 * Return: whether the state was taken over.
 */
bool mh_config_state_adopt(struct mh_config_state *cs, uint64_t next_offset,
			   uint64_t version, const char *doc, size_t len);

/**
 * mh_config_state_take_replaced() - manifest replaced by the last change
 * @cs: fold
 *
 * Return: the former manifest, now the caller's; NULL if none was replaced.
 */
struct mh_manifest *mh_config_state_take_replaced(struct mh_config_state *cs);

/**
 * mh_config_state_manifest() - manifest in force, NULL before the first
 * @cs: fold
 */
const struct mh_manifest *
mh_config_state_manifest(const struct mh_config_state *cs);

/**
 * mh_config_state_next_offset() - first offset that was not folded yet
 * @cs: fold
 */
uint64_t mh_config_state_next_offset(const struct mh_config_state *cs);

/**
 * mh_config_state_version() - version in force: offset of its record plus one
 * @cs: fold
 */
uint64_t mh_config_state_version(const struct mh_config_state *cs);

/**
 * mh_config_state_full_record_ms() - time of the newest whole record that is in force
 * @cs: fold
 *
 * A snapshot is due once this nears the log's retention.
 */
uint64_t mh_config_state_full_record_ms(const struct mh_config_state *cs);

/**
 * mh_config_state_snapshot() - write a snapshot record of the state
 * @cs: fold with a manifest
 *
 * Return: JSON text for the caller to free.
 */
char *mh_config_state_snapshot(const struct mh_config_state *cs);

/**
 * mh_config_state_audit() - newest entries of the audit trail
 * @cs: fold
 * @i: 0 is the newest
 *
 * Return: entry, or NULL past the oldest kept.
 */
const struct mh_audit_entry *
mh_config_state_audit(const struct mh_config_state *cs, size_t i);

/**
 * mh_config_result_name() - name of a result for the audit trail
 * @result: result
 */
const char *mh_config_result_name(enum mh_config_result result);

#endif
