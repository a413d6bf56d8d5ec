#include "core/rendezvous.h"

#include <string.h>
#include <xxhash.h>

uint64_t mh_rendezvous_score(const char *key, const char *candidate)
{
	return XXH64(candidate, strlen(candidate), XXH64(key, strlen(key), 0));
}

bool mh_rendezvous_chosen(const char *key, const char *self,
			  const char *const *candidates, size_t n,
			  uint32_t want)
{
	uint64_t own = mh_rendezvous_score(key, self);
	uint32_t better = 0;
	size_t i;

	if (!want)
		return true;
	for (i = 0; i < n; i++) {
		if (strcmp(candidates[i], self) &&
		    mh_rendezvous_score(key, candidates[i]) > own)
			better++;
	}
	return better < want;
}
