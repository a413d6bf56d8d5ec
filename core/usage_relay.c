#include "core/usage_relay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/budget.h"
#include "core/check_alloc.h"

/* Room for an account and an incarnation. */
#define KEY_BYTES 160

/* Dispatchers that a row is told to; an entry links to two at a time. */
#define MAX_PEERS 4

/* How much of a row a dispatcher knows. */
struct known {
	uint64_t peer;
	uint64_t units;
};

/* What an account spent with the places of one dispatcher. */
struct row {
	char *key; /* account, a blank, the dispatcher's incarnation */
	char *account;
	uint64_t giver;
	struct mh_usage usage;
	uint64_t total; /* ever, while the row is kept */
	struct known known[MAX_PEERS];
	uint32_t next_reported;
	UT_hash_handle hh;
};

struct mh_usage_relay {
	uint32_t window_ms;
	struct row *rows;
};

struct mh_usage_relay *mh_usage_relay_new(uint32_t window_ms)
{
	struct mh_usage_relay *sp = mh_check_alloc(calloc(1, sizeof(*sp)));

	sp->window_ms = window_ms;
	return sp;
}

static void free_row(struct mh_usage_relay *sp, struct row *r)
{
	/* The analyzer does not follow uthash's deletion macros. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(sp->rows, r);
	free(r->key);
	free(r->account);
	free(r);
}

void mh_usage_relay_free(struct mh_usage_relay *sp)
{
	struct row *r, *tmp;

	if (!sp)
		return;
	HASH_ITER(hh, sp->rows, r, tmp)
		free_row(sp, r);
	free(sp);
}

void mh_usage_relay_add(struct mh_usage_relay *sp, const char *account,
			uint64_t giver, uint32_t units, uint64_t now_ns)
{
	char key[KEY_BYTES];
	struct row *r;

	if (!units)
		return;
	snprintf(key, sizeof(key), "%s %llx", account,
		 (unsigned long long)giver);
	HASH_FIND_STR(sp->rows, key, r);
	if (!r) {
		r = mh_check_alloc(calloc(1, sizeof(*r)));
		r->key = mh_check_alloc(strdup(key));
		r->account = mh_check_alloc(strdup(account));
		r->giver = giver;
		mh_usage_init(&r->usage, sp->window_ms);
		HASH_ADD_KEYPTR(hh, sp->rows, r->key, strlen(r->key), r);
	}
	mh_usage_add(&r->usage, units, 0, now_ns);
	r->total += units;
}

static struct known *reported_to(struct row *r, uint64_t peer)
{
	uint32_t i;

	for (i = 0; i < MAX_PEERS; i++) {
		if (r->known[i].units && r->known[i].peer == peer)
			return &r->known[i];
	}
	return NULL;
}

void mh_usage_relay_report(struct mh_usage_relay *sp, uint64_t peer,
			   uint64_t now_ns,
			   void (*tell)(void *data, const char *account,
					uint64_t giver, uint64_t units,
					uint32_t age_ms),
			   void *data)
{
	struct row *r, *tmp;

	HASH_ITER(hh, sp->rows, r, tmp) {
		struct known *known = reported_to(r, peer);
		uint32_t i, age_ms;

		if (!mh_usage_sum(&r->usage, now_ns)) {
			free_row(sp, r);
			continue;
		}
		if (r->giver == peer || (known && known->units == r->total))
			continue;
		if (known) {
			tell(data, r->account, r->giver,
			     r->total - known->units, 0);
			known->units = r->total;
			continue;
		}
		for (i = 0; i < MH_USAGE_BUCKETS; i++) {
			uint64_t units =
				mh_usage_bucket(&r->usage, i, now_ns, &age_ms);

			if (units)
				tell(data, r->account, r->giver, units, age_ms);
		}
		r->known[r->next_reported++ % MAX_PEERS] =
			(struct known){ peer, r->total };
	}
}
