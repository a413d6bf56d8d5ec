#include "core/usage_relay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/check_alloc.h"
#include "core/dispatch.h"
#include "core/send_window.h"
#include "core/sliding_window.h"

/* Dispatchers for which a row stores what was reported; an entry has links to
 * two at a time. */
#define MAX_PEERS 4

/* Units of a row that were reported to a dispatcher. */
struct reported {
	uint64_t peer;
	uint64_t units;
};

/* Usage of an account that one dispatcher granted. */
struct row {
	char *key; /* account, a blank, the dispatcher's incarnation */
	char *account;
	uint64_t grantor;
	struct mh_usage usage;
	uint64_t total; /* units since the row was added */
	struct reported reported[MAX_PEERS];
	uint32_t next_reported;
	UT_hash_handle hh;
};

struct mh_usage_relay {
	uint32_t quota_window_ms;
	uint32_t retry_window_ms;
	struct row *rows;
};

struct mh_usage_relay *mh_usage_relay_new(uint32_t quota_window_ms,
					  uint32_t retry_window_ms)
{
	struct mh_usage_relay *relay =
		mh_check_alloc(calloc(1, sizeof(*relay)));

	relay->quota_window_ms = quota_window_ms;
	relay->retry_window_ms = retry_window_ms;
	return relay;
}

static void free_row(struct mh_usage_relay *relay, struct row *r)
{
	/* The analyzer does not follow uthash's deletion macros. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(relay->rows, r);
	free(r->key);
	free(r->account);
	free(r);
}

void mh_usage_relay_free(struct mh_usage_relay *relay)
{
	struct row *r, *tmp;

	if (!relay)
		return;
	HASH_ITER(hh, relay->rows, r, tmp)
		free_row(relay, r);
	free(relay);
}

static uint32_t window_ms(const struct mh_usage_relay *relay,
			  const char *account)
{
	if (!strncmp(account, MH_RETRY_USAGE_PREFIX,
		     strlen(MH_RETRY_USAGE_PREFIX)) ||
	    !strncmp(account, MH_HEDGE_USAGE_PREFIX,
		     strlen(MH_HEDGE_USAGE_PREFIX)))
		return relay->retry_window_ms;
	if (!strncmp(account, MH_SENDS_USAGE_PREFIX,
		     strlen(MH_SENDS_USAGE_PREFIX)))
		return MH_SEND_WINDOW_MS;
	return relay->quota_window_ms;
}

/* Names have any length. */
static char *key_of(const char *account, uint64_t grantor)
{
	char *key = NULL;

	if (asprintf(&key, "%s %llx", account, (unsigned long long)grantor) < 0)
		key = NULL;
	return mh_check_alloc(key);
}

void mh_usage_relay_add(struct mh_usage_relay *relay, const char *account,
			uint64_t grantor, uint32_t units, uint64_t now_ns)
{
	struct row *r;
	char *key;

	if (!units)
		return;
	key = key_of(account, grantor);
	HASH_FIND_STR(relay->rows, key, r);
	if (r) {
		free(key);
	} else {
		r = mh_check_alloc(calloc(1, sizeof(*r)));
		r->key = key;
		r->account = mh_check_alloc(strdup(account));
		r->grantor = grantor;
		mh_usage_init(&r->usage, window_ms(relay, account));
		HASH_ADD_KEYPTR(hh, relay->rows, r->key, strlen(r->key), r);
	}
	mh_usage_add(&r->usage, units, 0, now_ns);
	r->total += units;
}

static struct reported *reported_to(struct row *r, uint64_t peer)
{
	uint32_t i;

	for (i = 0; i < MAX_PEERS; i++) {
		if (r->reported[i].units && r->reported[i].peer == peer)
			return &r->reported[i];
	}
	return NULL;
}

void mh_usage_relay_report(struct mh_usage_relay *relay, uint64_t peer,
			   uint64_t now_ns,
			   void (*report)(void *data, const char *account,
					  uint64_t grantor, uint64_t units,
					  uint32_t age_ms),
			   void *data)
{
	struct row *r, *tmp;

	HASH_ITER(hh, relay->rows, r, tmp) {
		struct reported *reported = reported_to(r, peer);
		uint64_t left;
		uint32_t i, age_ms;

		if (!mh_usage_sum(&r->usage, now_ns)) {
			free_row(relay, r);
			continue;
		}
		if (r->grantor == peer ||
		    (reported && reported->units == r->total))
			continue;
		left = r->total - (reported ? reported->units : 0);
		for (i = 0; i < MH_USAGE_BUCKETS && left; i++) {
			uint64_t units =
				mh_usage_bucket(&r->usage, i, now_ns, &age_ms);

			if (units > left)
				units = left;
			if (units)
				report(data, r->account, r->grantor, units,
				       age_ms);
			left -= units;
		}
		if (reported) {
			reported->units = r->total;
			continue;
		}
		r->reported[r->next_reported++ % MAX_PEERS] =
			(struct reported){ peer, r->total };
	}
}
