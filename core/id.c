#include "core/id.h"

#include <stdio.h>
#include <string.h>

bool mh_id_is_zero(const struct mh_id *id)
{
	static const struct mh_id zero;

	return !memcmp(id, &zero, sizeof(zero));
}

bool mh_id_equal(const struct mh_id *a, const struct mh_id *b)
{
	return !memcmp(a, b, sizeof(*a));
}

bool mh_id_from_bytes(struct mh_id *id, const uint8_t *p, size_t len)
{
	memset(id, 0, sizeof(*id));
	if (len != MH_ID_BYTES)
		return false;
	memcpy(id->b, p, MH_ID_BYTES);
	return true;
}

int mh_hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

static bool hyphen_position(size_t i)
{
	return i == 8 || i == 13 || i == 18 || i == 23;
}

bool mh_id_parse(struct mh_id *id, const char *text)
{
	size_t i, n = 0;

	if (strlen(text) != MH_ID_TEXT_BYTES - 1)
		return false;
	for (i = 0; i < MH_ID_TEXT_BYTES - 1;) {
		int hi, lo;

		if (hyphen_position(i)) {
			if (text[i++] != '-')
				return false;
			continue;
		}
		hi = mh_hex_value(text[i]);
		lo = mh_hex_value(text[i + 1]);
		if (hi < 0 || lo < 0)
			return false;
		id->b[n++] = (uint8_t)(hi << 4 | lo);
		i += 2;
	}
	return true;
}

const char *mh_id_format(const struct mh_id *id, char *text)
{
	const uint8_t *b = id->b;

	snprintf(text, MH_ID_TEXT_BYTES,
		 "%02x%02x%02x%02x-%02x%02x-%02x%02x-%02x%02x-"
		 "%02x%02x%02x%02x%02x%02x",
		 b[0], b[1], b[2], b[3], b[4], b[5], b[6], b[7], b[8], b[9],
		 b[10], b[11], b[12], b[13], b[14], b[15]);
	return text;
}

bool mh_id_is_uuidv7(const struct mh_id *id)
{
	return (id->b[6] >> 4) == 7 && (id->b[8] >> 6) == 2;
}

uint64_t mh_id_time_ms(const struct mh_id *id)
{
	uint64_t ms = 0;
	int i;

	for (i = 0; i < 6; i++)
		ms = ms << 8 | id->b[i];
	return ms;
}

void mh_id_make_v7(struct mh_id *id, uint64_t unix_ms, uint64_t rand_hi,
		   uint64_t rand_lo)
{
	int i;

	for (i = 0; i < 6; i++)
		id->b[i] = (uint8_t)(unix_ms >> (40 - 8 * i));
	id->b[6] = (uint8_t)(0x70 | (rand_hi & 0x0f));
	id->b[7] = (uint8_t)(rand_hi >> 8);
	for (i = 0; i < 8; i++)
		id->b[8 + i] = (uint8_t)(rand_lo >> (56 - 8 * i));
	id->b[8] = (uint8_t)(0x80 | (id->b[8] & 0x3f));
}
