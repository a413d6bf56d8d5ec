#include "core/features.h"

#include <stdlib.h>

#include "core/check_alloc.h"

static bool has_part(const struct mh_features *features, uint64_t part)
{
	uint32_t i;

	for (i = 0; i < features->n_parts; i++) {
		if (features->parts[i] == part)
			return true;
	}
	return false;
}

struct mh_features *mh_features_new(uint64_t request, const uint64_t *parts,
				    uint32_t n_parts)
{
	struct mh_features *features;
	uint32_t i;

	if (n_parts > MH_PARTS_MAX)
		n_parts = MH_PARTS_MAX;
	features = mh_check_alloc(
		calloc(1, sizeof(*features) + n_parts * sizeof(*parts)));
	features->refs = 1;
	features->request = request;
	for (i = 0; i < n_parts; i++) {
		if (parts[i] && !has_part(features, parts[i]))
			features->parts[features->n_parts++] = parts[i];
	}
	return features;
}

struct mh_features *mh_features_ref(struct mh_features *features)
{
	features->refs++;
	return features;
}

void mh_features_unref(struct mh_features *features)
{
	if (features && !--features->refs)
		free(features);
}

uint32_t mh_features_count(const struct mh_features *features)
{
	return 1 + features->n_parts;
}

struct mh_feature mh_features_at(const struct mh_features *features, uint32_t i)
{
	if (!i)
		return (struct mh_feature){ MH_FEATURE_REQUEST,
					    features->request };
	return (struct mh_feature){ MH_FEATURE_PART, features->parts[i - 1] };
}

bool mh_features_hold(const struct mh_features *features,
		      struct mh_feature feature)
{
	uint32_t i;

	for (i = 0; i < mh_features_count(features); i++) {
		struct mh_feature own = mh_features_at(features, i);

		if (own.kind == feature.kind && own.id == feature.id)
			return true;
	}
	return false;
}

const char *mh_feature_kind_name(enum mh_feature_kind kind)
{
	static const char *const names[MH_FEATURE_KINDS] = {
		[MH_FEATURE_REQUEST] = "request",
		[MH_FEATURE_PART] = "part",
	};

	return names[kind];
}
