#include "core/open_runs.h"

#include <stdbool.h>
#include <stdlib.h>
#include <uthash.h>

#include "core/check_alloc.h"

/* Without padding. */
struct key {
	uint64_t kind;
	uint64_t id;
};

struct entry {
	struct key key;
	uint32_t n;
	uint32_t n_counted; /* those that began at since_ns or later */
	uint64_t since_ns;
	struct mh_settled_run settled;
	struct mh_settled_run next; /* settles later, and replaces it then */
	UT_hash_handle hh;
};

struct mh_open_runs {
	struct entry *entries;
};

struct mh_open_runs *mh_open_runs_new(void)
{
	return mh_check_alloc(calloc(1, sizeof(struct mh_open_runs)));
}

static void free_entry(struct mh_open_runs *runs, struct entry *e)
{
	/* The analyzer does not follow uthash's deletion macros. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(runs->entries, e);
	free(e);
}

void mh_open_runs_free(struct mh_open_runs *runs)
{
	struct entry *e, *tmp;

	if (!runs)
		return;
	HASH_ITER(hh, runs->entries, e, tmp)
		free_entry(runs, e);
	free(runs);
}

static struct entry *find(const struct mh_open_runs *runs,
			  struct mh_feature feature)
{
	struct key key = { feature.kind, feature.id };
	struct entry *e;

	/* The analyzer does not follow uthash's hash function. */
	/* NOLINTNEXTLINE(clang-analyzer-core.UndefinedBinaryOperatorResult) */
	HASH_FIND(hh, runs->entries, &key, sizeof(key), e);
	return e;
}

void mh_open_runs_add(struct mh_open_runs *runs,
		      const struct mh_features *features, uint64_t placed_ns)
{
	uint32_t i;

	for (i = 0; i < mh_features_count(features); i++) {
		struct mh_feature feature = mh_features_at(features, i);
		struct entry *e = find(runs, feature);

		if (!e) {
			e = mh_check_alloc(calloc(1, sizeof(*e)));
			e->key = (struct key){ feature.kind, feature.id };
			HASH_ADD(hh, runs->entries, key, sizeof(e->key), e);
		}
		e->n++;
		e->n_counted += placed_ns >= e->since_ns;
	}
}

void mh_open_runs_remove(struct mh_open_runs *runs,
			 const struct mh_features *features, uint64_t placed_ns)
{
	uint32_t i;

	for (i = 0; i < mh_features_count(features); i++) {
		struct entry *e = find(runs, mh_features_at(features, i));

		if (!e)
			continue;
		e->n_counted -= placed_ns >= e->since_ns;
		if (!--e->n)
			free_entry(runs, e);
	}
}

void mh_open_runs_restart(struct mh_open_runs *runs, struct mh_feature feature,
			  uint64_t now_ns)
{
	struct entry *e = find(runs, feature);

	if (!e)
		return;
	e->since_ns = now_ns;
	e->n_counted = 0;
}

void mh_open_runs_settle(struct mh_open_runs *runs,
			 const struct mh_features *features,
			 const struct mh_settled_run *run, uint64_t now_ns)
{
	uint32_t i;

	for (i = 0; i < mh_features_count(features); i++) {
		struct entry *e = find(runs, mh_features_at(features, i));

		if (!e)
			continue;
		if (e->next.server && now_ns >= e->next.from_ns)
			e->settled = e->next;
		/* One that is about to settle is waited for. */
		if (!e->next.server || now_ns >= e->next.from_ns ||
		    run->from_ns <= e->next.from_ns)
			e->next = *run;
	}
}

void mh_open_runs_unsettle(struct mh_open_runs *runs,
			   const struct mh_features *features, uint64_t server)
{
	uint32_t i;

	for (i = 0; i < mh_features_count(features); i++) {
		struct entry *e = find(runs, mh_features_at(features, i));

		if (e && e->settled.server == server)
			e->settled.server = 0;
		if (e && e->next.server == server)
			e->next.server = 0;
	}
}

static bool has_settled(const struct mh_settled_run *run, uint64_t since_ns,
			uint64_t now_ns)
{
	return run->server && run->placed_ns > since_ns &&
	       now_ns >= run->from_ns;
}

uint64_t mh_open_runs_settled_at(const struct mh_open_runs *runs,
				 struct mh_feature feature, uint64_t since_ns,
				 uint64_t now_ns)
{
	const struct entry *e = find(runs, feature);

	if (e && has_settled(&e->next, since_ns, now_ns))
		return e->next.server;
	if (e && has_settled(&e->settled, since_ns, now_ns))
		return e->settled.server;
	return 0;
}

uint32_t mh_open_runs_count(const struct mh_open_runs *runs,
			    struct mh_feature feature)
{
	const struct entry *e = find(runs, feature);

	return e ? e->n_counted : 0;
}
