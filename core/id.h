/*
 * 128-bit identifiers: request ids, idempotency keys (UUIDv7), fingerprints.
 */
#ifndef MH_ID_H
#define MH_ID_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <protobuf-c/protobuf-c.h>

#define MH_ID_BYTES 16
#define MH_ID_TEXT_BYTES 37

struct mh_id {
	uint8_t b[MH_ID_BYTES];
};

/**
 * mh_hex_value() - value of a hexadecimal digit
 * @c: character
 *
 * Return: 0 to 15, -1 if it is none.
 */
int mh_hex_value(char c);

/**
 * mh_id_is_zero() - whether an id is unset
 * @id: id to test
 */
bool mh_id_is_zero(const struct mh_id *id);

/**
 * mh_id_equal() - compare two ids
 * @a: first id
 * @b: second id
 */
bool mh_id_equal(const struct mh_id *a, const struct mh_id *b);

/**
 * mh_id_from_bytes() - copy an id from a wire field
 * @id: destination, set to zero when @len is not MH_ID_BYTES
 * @p: bytes
 * @len: number of bytes
 *
 * Return: whether the field held an id.
 */
bool mh_id_from_bytes(struct mh_id *id, const uint8_t *p, size_t len);

/**
 * mh_id_field() - wire field that holds an id
 * @id: id; the field points to it
 */
static inline ProtobufCBinaryData mh_id_field(const struct mh_id *id)
{
	ProtobufCBinaryData field = { MH_ID_BYTES, (uint8_t *)id->b };

	return field;
}

/**
 * mh_id_parse() - parse the canonical text form of a UUID
 * @id: destination
 * @text: 36 characters with hyphens
 *
 * Return: whether @text was well formed.
 */
bool mh_id_parse(struct mh_id *id, const char *text);

/**
 * mh_id_format() - write the canonical text form
 * @id: id to write
 * @text: buffer of MH_ID_TEXT_BYTES
 *
 * Return: @text.
 */
const char *mh_id_format(const struct mh_id *id, char *text);

/**
 * mh_id_is_uuidv7() - whether the version and variant bits are UUIDv7's
 * @id: id to test
 */
bool mh_id_is_uuidv7(const struct mh_id *id);

/**
 * mh_id_time_ms() - Unix time in milliseconds carried by a UUIDv7
 * @id: UUIDv7
 */
uint64_t mh_id_time_ms(const struct mh_id *id);

/**
 * mh_id_make_v7() - build a UUIDv7
 * @id: destination
 * @unix_ms: time to embed
 * @rand_hi: random bits
 * @rand_lo: random bits
 */
void mh_id_make_v7(struct mh_id *id, uint64_t unix_ms, uint64_t rand_hi,
		   uint64_t rand_lo);

#endif
