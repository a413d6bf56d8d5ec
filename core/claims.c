#include "core/claims.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/clock.h"

#define INITIAL_SLOTS 1024
#define GENERATIONS 2

struct slot {
	struct mh_id key;
	uint64_t owner;
	bool used;
	bool is_released; /* by its owner */
	bool is_logged;	  /* the log has its last change since the rewind */
};

/*
 * Hash table with open addressing and linear probing. Slots are not deleted one
 * by one: a generation is freed once the next one spans the window.
 */
struct generation {
	struct slot *slots;
	size_t n_slots;
	size_t n_used;
	uint64_t start_ms;
};

struct mh_claims {
	struct generation gen[GENERATIONS];
	uint64_t window_ms;
};

struct mh_claims *mh_claims_new(uint32_t window_s)
{
	struct mh_claims *c = calloc(1, sizeof(*c));

	if (c)
		c->window_ms = window_s * MH_MS_PER_S;
	return c;
}

void mh_claims_set_window(struct mh_claims *c, uint32_t window_s)
{
	c->window_ms = window_s * MH_MS_PER_S;
}

void mh_claims_free(struct mh_claims *c)
{
	int i;

	if (!c)
		return;
	for (i = 0; i < GENERATIONS; i++)
		free(c->gen[i].slots);
	free(c);
}

struct mh_id mh_claims_key(const char *account, const struct mh_id *key)
{
	XXH64_hash_t seed = XXH64(account, strlen(account), 0);
	XXH128_hash_t h = XXH3_128bits_withSeed(key, sizeof(*key), seed);
	struct mh_id id;

	memcpy(id.b, &h.high64, sizeof(h.high64));
	memcpy(id.b + sizeof(h.high64), &h.low64, sizeof(h.low64));
	return id;
}

size_t mh_claims_encode(const struct mh_claim *claims, size_t n, uint8_t *buf)
{
	uint8_t *p = buf;
	size_t i;
	int b;

	for (i = 0; i < n; i++) {
		*p++ = (uint8_t)claims[i].kind;
		memcpy(p, claims[i].key.b, MH_ID_BYTES);
		p += MH_ID_BYTES;
		for (b = 56; b >= 0; b -= 8)
			*p++ = (uint8_t)(claims[i].owner >> b);
	}
	return (size_t)(p - buf);
}

static void decode(const uint8_t *p, struct mh_claim *claim)
{
	int i;

	claim->kind = (enum mh_claim_kind) * p++;
	memcpy(claim->key.b, p, MH_ID_BYTES);
	p += MH_ID_BYTES;
	claim->owner = 0;
	for (i = 0; i < 8; i++)
		claim->owner = claim->owner << 8 | *p++;
}

static struct slot *probe(const struct generation *g, const struct mh_id *key)
{
	uint64_t h;
	size_t i;

	memcpy(&h, key->b, sizeof(h));
	for (i = h & (g->n_slots - 1);; i = (i + 1) & (g->n_slots - 1)) {
		struct slot *s = &g->slots[i];

		if (!s->used || mh_id_equal(&s->key, key))
			return s;
	}
}

static bool grow(struct generation *g)
{
	struct generation bigger = *g;
	size_t i;

	bigger.n_slots = g->n_slots ? g->n_slots * 2 : INITIAL_SLOTS;
	bigger.slots = calloc(bigger.n_slots, sizeof(*bigger.slots));
	if (!bigger.slots)
		return false;
	for (i = 0; i < g->n_slots; i++) {
		if (g->slots[i].used)
			*probe(&bigger, &g->slots[i].key) = g->slots[i];
	}
	free(g->slots);
	*g = bigger;
	return true;
}

static struct slot *find(const struct mh_claims *c, const struct mh_id *key)
{
	int i;

	for (i = 0; i < GENERATIONS; i++) {
		struct slot *s;

		if (!c->gen[i].n_slots)
			continue;
		s = probe(&c->gen[i], key);
		if (s->used)
			return s;
	}
	return NULL;
}

static void rotate(struct mh_claims *c, uint64_t log_time_ms)
{
	struct generation *current = &c->gen[0], *previous = &c->gen[1];

	if (!current->start_ms)
		current->start_ms = log_time_ms;
	if (log_time_ms < current->start_ms + c->window_ms)
		return;
	free(previous->slots);
	*previous = *current;
	memset(current, 0, sizeof(*current));
	current->start_ms = log_time_ms;
}

static uint64_t holder_of(const struct slot *s)
{
	return s && !s->is_released ? s->owner : 0;
}

static uint64_t apply(struct mh_claims *c, const struct mh_claim *claim)
{
	struct slot *s = find(c, &claim->key);
	bool is_owner = s && s->owner == claim->owner;

	if (claim->kind == MH_CLAIM_RELEASE) {
		if (is_owner) {
			s->is_released = true;
			s->is_logged = true;
		}
		return holder_of(s);
	}
	/* A claim that comes again after its release stays released. */
	if (is_owner && s->is_released)
		return 0;
	if (holder_of(s)) {
		s->is_logged |= is_owner;
		return s->owner;
	}
	/* A key that was released before may be in the previous generation: it
	 * is kept from now on. */
	if (c->gen[0].n_used * 2 >= c->gen[0].n_slots && !grow(&c->gen[0]))
		return 0;
	s = probe(&c->gen[0], &claim->key);
	if (!s->used)
		c->gen[0].n_used++;
	s->used = true;
	s->key = claim->key;
	s->owner = claim->owner;
	s->is_released = false;
	s->is_logged = true;
	return s->owner;
}

static bool well_formed(const uint8_t *rec, size_t len)
{
	size_t i;

	if (!len || len % MH_CLAIM_RECORD_BYTES)
		return false;
	for (i = 0; i < len; i += MH_CLAIM_RECORD_BYTES) {
		if (rec[i] != MH_CLAIM_ACQUIRE && rec[i] != MH_CLAIM_RELEASE)
			return false;
	}
	return true;
}

bool mh_claims_each(const uint8_t *rec, size_t len,
		    void (*each)(void *data, const struct mh_claim *claim),
		    void *data)
{
	struct mh_claim claim;
	size_t i;

	if (!well_formed(rec, len))
		return false;
	for (i = 0; i < len; i += MH_CLAIM_RECORD_BYTES) {
		decode(rec + i, &claim);
		each(data, &claim);
	}
	return true;
}

bool mh_claims_apply(struct mh_claims *c, const uint8_t *rec, size_t len,
		     uint64_t log_time_ms,
		     void (*decided)(void *data, const struct mh_claim *claim,
				     uint64_t holder),
		     void *data)
{
	struct mh_claim claim;
	uint64_t holder;
	size_t i;

	if (!well_formed(rec, len))
		return false;
	rotate(c, log_time_ms);
	for (i = 0; i < len; i += MH_CLAIM_RECORD_BYTES) {
		decode(rec + i, &claim);
		holder = apply(c, &claim);
		if (decided)
			decided(data, &claim, holder);
	}
	return true;
}

uint64_t mh_claims_holder(const struct mh_claims *c, const struct mh_id *key)
{
	return holder_of(find(c, key));
}

void mh_claims_rewind(struct mh_claims *c)
{
	size_t i;
	int g;

	for (g = 0; g < GENERATIONS; g++) {
		for (i = 0; i < c->gen[g].n_slots; i++)
			c->gen[g].slots[i].is_logged = false;
	}
}

static size_t take_lost_of(struct generation *g, struct mh_claim *claims,
			   size_t max)
{
	size_t i, n = 0;

	for (i = 0; i < g->n_slots && n < max; i++) {
		struct slot *s = &g->slots[i];

		if (!s->used || s->is_logged)
			continue;
		s->is_logged = true;
		claims[n++] = (struct mh_claim){
			s->is_released ? MH_CLAIM_RELEASE : MH_CLAIM_ACQUIRE,
			s->key,
			s->owner,
		};
	}
	return n;
}

size_t mh_claims_take_lost(struct mh_claims *c, struct mh_claim *claims,
			   size_t max)
{
	size_t n = 0;
	int g;

	/* Older ones first. */
	for (g = GENERATIONS - 1; g >= 0; g--)
		n += take_lost_of(&c->gen[g], claims + n, max - n);
	return n;
}

size_t mh_claims_bytes(const struct mh_claims *c)
{
	size_t i, n = sizeof(*c);

	for (i = 0; i < GENERATIONS; i++)
		n += c->gen[i].n_slots * sizeof(struct slot);
	return n;
}
