/*
 * Claims on idempotency keys, replayed from the log. The first claim of a key
 * in log order holds it until its owner releases it or the window has passed.
 */
#ifndef MH_CLAIMS_H
#define MH_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/id.h"

#define MH_CLAIM_RECORD_BYTES 25
#define MH_CLAIM_BATCH_MAX 256

enum mh_claim_kind {
	MH_CLAIM_ACQUIRE = 1,
	MH_CLAIM_RELEASE = 2,
};

/**
 * struct mh_claim - one claim or release
 * @kind: what is recorded
 * @key: hash of account and idempotency key
 * @owner: unique number of the request that claims; never 0
 */
struct mh_claim {
	enum mh_claim_kind kind;
	struct mh_id key;
	uint64_t owner;
};

struct mh_claims;

/**
 * mh_claims_new() - create an empty table
 * @window_s: minimum time for which claims are kept
 *
 * Return: table, NULL when memory runs out.
 */
struct mh_claims *mh_claims_new(uint32_t window_s);

/**
 * mh_claims_set_window() - change the minimum time for which claims are kept
 * @c: table
 * @window_s: new window; claims dropped before are not restored
 */
void mh_claims_set_window(struct mh_claims *c, uint32_t window_s);

/**
 * mh_claims_free() - free a table
 * @c: table or NULL
 */
void mh_claims_free(struct mh_claims *c);

/**
 * mh_claims_key() - hash of an account's idempotency key
 * @account: name of the account, part of the hash
 * @key: idempotency key
 */
struct mh_id mh_claims_key(const char *account, const struct mh_id *key);

/**
 * mh_claims_encode() - encode a batch as a log record
 * @claims: claims
 * @n: number of claims, at most MH_CLAIM_BATCH_MAX
 * @buf: buffer of @n * MH_CLAIM_RECORD_BYTES bytes
 *
 * Return: number of bytes written.
 */
size_t mh_claims_encode(const struct mh_claim *claims, size_t n, uint8_t *buf);

/**
 * mh_claims_each() - iterate over the claims of a record
 * @rec: record
 * @len: length of @rec
 * @each: called for each claim
 * @data: passed to @each
 *
 * Return: false when the record is malformed; @each is not called then.
 */
bool mh_claims_each(const uint8_t *rec, size_t len,
		    void (*each)(void *data, const struct mh_claim *claim),
		    void *data);

/**
 * mh_claims_apply() - apply one log record
 * @c: table
 * @rec: record
 * @len: length of @rec
 * @log_time_ms: Unix time of the append according to the log
 * @decided: called after each claim with the key's holder, 0 if it is free or
 *           memory ran out; or NULL
 * @data: passed to @decided
 *
 * Return: false when the record is malformed; nothing is applied then.
 */
bool mh_claims_apply(struct mh_claims *c, const uint8_t *rec, size_t len,
		     uint64_t log_time_ms,
		     void (*decided)(void *data, const struct mh_claim *claim,
				     uint64_t holder),
		     void *data);

/**
 * mh_claims_rewind() - the log lost its last records and is applied again
 * @c: table
 *
 * The table keeps its claims. A claim whose owner released it is not taken up
 * again.
 */
void mh_claims_rewind(struct mh_claims *c);

/**
 * mh_claims_take_lost() - take claims and releases that the log does not have
 *                         since the rewind
 * @c: table
 * @claims: set to them; they count as appended from then on
 * @max: size of @claims
 *
 * Return: number of claims.
 */
size_t mh_claims_take_lost(struct mh_claims *c, struct mh_claim *claims,
			   size_t max);

/**
 * mh_claims_holder() - look up the holder of a key
 * @c: table
 * @key: hash from mh_claims_key()
 *
 * Return: the owner, 0 when the key is free.
 */
uint64_t mh_claims_holder(const struct mh_claims *c, const struct mh_id *key);

/**
 * mh_claims_bytes() - memory that the table uses, in bytes
 * @c: table
 */
size_t mh_claims_bytes(const struct mh_claims *c);

#endif
