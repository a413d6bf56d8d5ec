/*
 * Features of a request by which the cause of a fault can be identified: the whole
 * request, and the parts of its prompt that other requests share.
 */
#ifndef MH_FEATURES_H
#define MH_FEATURES_H

#include <stdbool.h>
#include <stdint.h>

/* Parts of a prompt that are told apart; the proxy refuses requests with more. */
#define MH_PARTS_MAX 256

enum mh_feature_kind {
	MH_FEATURE_REQUEST, /* equal requests of the same client account */
	MH_FEATURE_PART,    /* requests with the same part in their prompts */
	MH_FEATURE_KINDS,
};

/**
 * struct mh_feature - a feature
 * @kind: what it stands for
 * @id: fingerprint of the request, or identifier of the part; 0 for none
 */
struct mh_feature {
	enum mh_feature_kind kind;
	uint64_t id;
};

/**
 * struct mh_features - all features of a request, shared by reference
 * @refs: number of references
 * @request: fingerprint of the whole request, 0 if it has none
 * @n_parts: number of elements in @parts
 * @parts: identifiers of the parts, each once, none is 0
 */
struct mh_features {
	uint32_t refs;
	uint64_t request;
	uint32_t n_parts;
	uint64_t parts[];
};

/**
 * struct mh_feature_set - some of the features of a request
 * @words: bits by the numbers of the features
 */
struct mh_feature_set {
	uint64_t words[(1 + MH_PARTS_MAX + 63) / 64];
};

/**
 * mh_feature_set_add() - add a feature
 * @set: set
 * @i: number of the feature, see mh_features_at()
 */
static inline void mh_feature_set_add(struct mh_feature_set *set, uint32_t i)
{
	set->words[i / 64] |= 1ull << i % 64;
}

/**
 * mh_feature_set_remove() - remove a feature
 * @set: set
 * @i: number of the feature
 */
static inline void mh_feature_set_remove(struct mh_feature_set *set, uint32_t i)
{
	set->words[i / 64] &= ~(1ull << i % 64);
}

/**
 * mh_feature_set_has() - whether a feature is in a set
 * @set: set
 * @i: number of the feature
 */
static inline bool mh_feature_set_has(const struct mh_feature_set *set,
				      uint32_t i)
{
	return set->words[i / 64] >> i % 64 & 1;
}

/**
 * mh_feature_set_any() - whether a set is not empty
 * @set: set
 */
static inline bool mh_feature_set_any(const struct mh_feature_set *set)
{
	uint64_t any = 0;
	uint32_t i;

	for (i = 0; i < sizeof(set->words) / sizeof(set->words[0]); i++)
		any |= set->words[i];
	return any;
}

/**
 * mh_features_new() - create the features of a request
 * @request: fingerprint of the whole request, may be 0
 * @parts: identifiers of the parts, copied up to the first MH_PARTS_MAX
 * @n_parts: number of elements in @parts
 *
 * Return: features with one reference.
 */
struct mh_features *mh_features_new(uint64_t request, const uint64_t *parts,
				    uint32_t n_parts);

/**
 * mh_features_ref() - add a reference
 * @features: features
 *
 * Return: @features.
 */
struct mh_features *mh_features_ref(struct mh_features *features);

/**
 * mh_features_unref() - drop a reference, free with the last one
 * @features: features or NULL
 */
void mh_features_unref(struct mh_features *features);

/**
 * mh_features_count() - number of features, the whole request included
 * @features: features
 */
uint32_t mh_features_count(const struct mh_features *features);

/**
 * mh_features_at() - a feature by its number
 * @features: features
 * @i: below mh_features_count(); 0 is the whole request
 */
struct mh_feature mh_features_at(const struct mh_features *features,
				 uint32_t i);

/**
 * mh_features_hold() - whether a request has a feature
 * @features: its features
 * @feature: feature
 */
bool mh_features_hold(const struct mh_features *features,
		      struct mh_feature feature);

/**
 * mh_feature_kind_name() - word of a kind for logs
 * @kind: kind
 */
const char *mh_feature_kind_name(enum mh_feature_kind kind);

#endif
