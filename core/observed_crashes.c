#include "core/observed_crashes.h"

#include <stdlib.h>

#include "core/check_alloc.h"
#include "core/clock.h"
#include "core/features.h"

/* A server that lived on for this long after it began to respond did not crash by
 * a part of the prompt. */
#define SURVIVAL_NS (500 * MH_NS_PER_MS)
/* A server takes longer than this to start again. */
#define RESTART_NS (500 * MH_NS_PER_MS)

struct mh_observed_crashes {
	struct mh_suspects *suspects;
};

struct mh_observed_crashes *mh_observed_crashes_new(void)
{
	struct mh_observed_crashes *observed =
		mh_check_alloc(calloc(1, sizeof(*observed)));

	observed->suspects = mh_suspects_new(NULL, NULL);
	return observed;
}

void mh_observed_crashes_free(struct mh_observed_crashes *observed)
{
	if (!observed)
		return;
	mh_suspects_free(observed->suspects);
	free(observed);
}

static bool has_just_begun(const struct mh_observed_run *run, uint64_t now_ns)
{
	return !run->responded_ns || now_ns < run->responded_ns + SURVIVAL_NS;
}

static void add_crash(struct mh_suspects *suspects,
		      const struct mh_observed_run *run,
		      const struct mh_features *features, uint64_t now_ns)
{
	const struct mh_crash lost = {
		.server = mh_server_incarnation(run->server),
		.request = features->request,
		.placed_ns = run->placed_ns,
		.lost_ns = now_ns,
	};
	uint32_t i, n = has_just_begun(run, now_ns) ?
				mh_features_count(features) :
				1;

	for (i = 0; i < n; i++)
		mh_suspects_add_crash(suspects, mh_features_at(features, i),
				      &lost, run->responded_ns);
}

void mh_observed_crashes_end(struct mh_observed_crashes *observed,
			     const struct mh_observed_run *run,
			     enum mh_slot_outcome outcome, uint64_t now_ns)
{
	const struct mh_slot_request *req = run->request;
	struct mh_features *features;

	if (outcome != MH_SLOT_LOST && outcome != MH_SLOT_OK)
		return;
	features = mh_features_new(req->fingerprint, req->parts, req->n_parts);
	if (outcome == MH_SLOT_LOST) {
		add_crash(observed->suspects, run, features, now_ns);
	} else {
		mh_suspects_clear(observed->suspects, features->request,
				  now_ns);
		mh_suspects_survived(observed->suspects, features,
				     run->placed_ns, now_ns);
	}
	mh_features_unref(features);
}

void mh_observed_crashes_probed(struct mh_observed_crashes *observed,
				const struct mh_server_ref *server,
				uint64_t now_ns)
{
	mh_suspects_refute(observed->suspects, mh_server_incarnation(server),
			   now_ns > RESTART_NS ? now_ns - RESTART_NS : 0,
			   now_ns);
}

void mh_observed_crashes_each(struct mh_observed_crashes *observed,
			      uint64_t since_ns,
			      void (*visit)(void *data,
					    const struct mh_suspect *suspect),
			      void *data, uint64_t now_ns)
{
	mh_suspects_expire(observed->suspects, now_ns);
	mh_suspects_each_since(observed->suspects, since_ns, visit, data);
}
