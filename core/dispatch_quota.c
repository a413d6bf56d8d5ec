/* Quotas of client accounts, across all entries and restarts of dispatchers. */
#include <stdlib.h>
#include <string.h>

#include "core/dispatch_impl.h"

/* Fraction of the quotas' tolerance that is used. The remainder covers times
 * when two dispatchers count at once or the latest usage is not stored yet. */
#define QUOTA_TOLERANCE_USED 0.75
/* Fraction of an account's bound that requests of a route tier leave to those
 * of the next more urgent tier. */
#define URGENT_SHARE 0.1
/* Requests below this fraction of an account's mean units count as small;
 * weight of the newest request in the mean. */
#define SMALL_REQUEST_FRACTION 0.25
#define MEAN_GAIN 0.05
/* Fraction of its bound from which on an account is near its limit, and usage
 * is stored more often. */
#define NEAR_LIMIT_FRACTION 0.7
/* A stored record includes the usage expected in the next two intervals between
 * records, as a fraction of the usage in the newest buckets. It does so only
 * for accounts that used at least a minimum fraction of their bound: a burst of
 * such an account uses much of the remainder within some hundred ms. */
#define RESERVE_MIN_FRACTION 0.4
#define RECENT_BUCKETS 4
#define RESERVE_FRACTION 0.6
/* How long an account counts as near its limit after it was. */
#define NEAR_LIMIT_NS (2000 * MH_NS_PER_MS)

/* After a start other dispatchers may be in use as well, until entries agree and
 * records of usage were exchanged. What this one grants itself rises over this
 * time from this fraction of an account's bound. An account that uses its quota
 * evenly needs less. */
#define START_RAMP_MS 3000
#define START_FRACTION 0.2
/* Of its share an entry that has lost its dispatcher may use this fraction, whatever
 * it used before, and more from this fraction of a window on. */
#define SHARE_START_FRACTION 0.15
#define SHARE_RISE_BEGIN 0.5
/* An entry grants its share by itself once it was cut off for about so long. One
 * that was heard of later may be about to link to a dispatcher that has just
 * started. */
#define ALONE_AFTER_MS 1350
/* Parts of a quota save up for large requests independently, so more of them
 * than the mean may be due in one window. */
#define SAVING_MARGIN 1.25
#define MAX_SAVING_WINDOWS 1000.0

uint64_t mh_dispatch_now_ns(const struct mh_dispatch *d)
{
	return mh_clock_mono_ns(d->clock);
}

static struct quota *get_quota(struct mh_dispatch *d, const char *account)
{
	struct quota *q;

	HASH_FIND_STR(d->quotas, account, q);
	if (q)
		return q;
	q = calloc(1, sizeof(*q));
	if (!q)
		abort();
	q->account = strdup(account);
	if (!q->account)
		abort();
	mh_usage_init(&q->own, d->conf.quota_window_ms);
	HASH_ADD_KEYPTR(hh, d->quotas, q->account, strlen(q->account), q);
	return q;
}

static void free_grantor(struct quota *q, struct grantor *g)
{
	/* The analyzer does not follow uthash's deletion macros. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(q->grantors, g);
	free(g);
}

static void free_owner(struct quota *q, struct owner_usage *o)
{
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(q->owners, o);
	free(o);
}

void mh_dispatch_free_quotas(struct mh_dispatch *d)
{
	struct owner_usage *o, *next_owner;
	struct grantor *g, *next;
	struct quota *q, *tmp;

	HASH_ITER(hh, d->quotas, q, tmp) {
		HASH_ITER(hh, q->grantors, g, next)
			free_grantor(q, g);
		HASH_ITER(hh, q->owners, o, next_owner)
			free_owner(q, o);
		/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
		HASH_DEL(d->quotas, q);
		free(q->account);
		free(q);
	}
}

void mh_dispatch_set_quota(struct mh_dispatch *d, const char *account,
			   double rate_per_s, double burst)
{
	struct quota *q = get_quota(d, account);

	q->rate_per_s = rate_per_s;
	q->burst = burst;
}

void mh_dispatch_set_grantor(struct mh_dispatch *d, uint64_t grantor)
{
	d->grantor_id = grantor;
}

double mh_dispatch_quota_rate(const struct mh_dispatch *d, const char *account)
{
	const struct quota *q;

	HASH_FIND_STR(d->quotas, account, q);
	return q ? q->rate_per_s : 0;
}

struct mh_usage mh_dispatch_new_usage(const struct mh_dispatch *d)
{
	struct mh_usage usage;

	mh_usage_init(&usage, d->conf.quota_window_ms);
	return usage;
}

static struct grantor *get_grantor(const struct mh_dispatch *d, struct quota *q,
				   uint64_t id)
{
	struct grantor *g;

	HASH_FIND(hh, q->grantors, &id, sizeof(id), g);
	if (g)
		return g;
	g = calloc(1, sizeof(*g));
	if (!g)
		abort();
	g->id = id;
	g->reported = mh_dispatch_new_usage(d);
	g->stored = mh_dispatch_new_usage(d);
	HASH_ADD(hh, q->grantors, id, sizeof(g->id), g);
	return g;
}

void mh_dispatch_add_reported_usage(struct mh_dispatch *d, const char *account,
				    uint64_t grantor, uint64_t units,
				    uint32_t age_ms)
{
	size_t prefix = strlen(MH_RETRY_USAGE_PREFIX);
	struct grantor *g;
	struct server *s;

	if (!strncmp(account, MH_RETRY_USAGE_PREFIX, prefix)) {
		mh_retry_window_add_retries(
			&mh_dispatch_pool(d, account + prefix)->retry_window,
			units, mh_dispatch_now_ns(d));
		return;
	}
	prefix = strlen(MH_HEDGE_USAGE_PREFIX);
	if (!strncmp(account, MH_HEDGE_USAGE_PREFIX, prefix)) {
		mh_dispatch_add_reported_hedges(d, account + prefix, units);
		return;
	}
	prefix = strlen(MH_SENDS_USAGE_PREFIX);
	if (!strncmp(account, MH_SENDS_USAGE_PREFIX, prefix)) {
		s = mh_dispatch_find_server(d, account + prefix);
		if (s)
			mh_send_window_add(&s->sends, units, age_ms,
					   mh_dispatch_now_ns(d));
		return;
	}
	g = get_grantor(d, get_quota(d, account), grantor);
	mh_usage_add(&g->reported, units, age_ms, mh_dispatch_now_ns(d));
}

void mh_dispatch_set_usage_known(struct mh_dispatch *d, bool known)
{
	d->is_usage_unknown = !known;
}

void mh_dispatch_add_stored_usage(struct mh_dispatch *d, const char *account,
				  uint64_t grantor, struct mh_usage *usage)
{
	struct grantor *g;

	if (grantor == d->grantor_id)
		return;
	g = get_grantor(d, get_quota(d, account), grantor);
	if (mh_usage_sum(usage, mh_dispatch_now_ns(d)) >
	    mh_usage_sum(&g->stored, mh_dispatch_now_ns(d)))
		g->stored = *usage;
}

/* Both count the same usage, and either may lag behind. */
static struct mh_usage *larger_usage(struct grantor *g, uint64_t now_ns)
{
	return mh_usage_sum(&g->reported, now_ns) >
			       mh_usage_sum(&g->stored, now_ns) ?
		       &g->reported :
		       &g->stored;
}

uint64_t mh_dispatch_total_granted_units(const struct mh_dispatch *d)
{
	return d->total_granted_units;
}

bool mh_dispatch_is_near_limit(const struct mh_dispatch *d)
{
	return d->near_limit_ns &&
	       mh_dispatch_now_ns(d) < d->near_limit_ns + NEAR_LIMIT_NS;
}

/* Units that an account may use in a window. */
static double quota_limit(const struct mh_dispatch *d, const struct quota *q)
{
	return (q->rate_per_s * d->conf.quota_window_ms / MH_MS_PER_S +
		q->burst) /
	       d->n_sharing;
}

/* The limit and the used part of the tolerance. */
static double whole_bound(const struct mh_dispatch *d, const struct quota *q)
{
	return quota_limit(d, q) *
		       (1 + QUOTA_TOLERANCE_USED * d->conf.quota_excess) +
	       QUOTA_TOLERANCE_USED * d->conf.quota_slack / d->n_sharing;
}

static struct owner_usage *find_owner(const struct quota *q, uint32_t owner)
{
	struct owner_usage *o;

	HASH_FIND(hh, q->owners, &owner, sizeof(owner), o);
	return o;
}

static void drop_unused_owners(struct quota *q, uint64_t now_ns)
{
	struct owner_usage *o, *tmp;

	HASH_ITER(hh, q->owners, o, tmp) {
		if (!mh_usage_sum(&o->usage, now_ns))
			free_owner(q, o);
	}
}

static void add_owner_units(struct mh_dispatch *d, struct quota *q,
			    uint32_t owner, uint32_t units, uint64_t now_ns)
{
	struct owner_usage *o = find_owner(q, owner);

	if (!o) {
		drop_unused_owners(q, now_ns);
		o = mh_check_alloc(calloc(1, sizeof(*o)));
		o->owner = owner;
		o->usage = mh_dispatch_new_usage(d);
		HASH_ADD(hh, q->owners, owner, sizeof(o->owner), o);
	}
	mh_usage_add(&o->usage, units, 0, now_ns);
}

struct left {
	const struct quota *q;
	uint64_t now_ns;
	double share;
	double sum;
};

/* What a lost entry was granted counts as used, and as part of its share. */
static void add_left(void *data, const char *host, uint32_t owner,
		     uint32_t age_ms)
{
	struct left *left = data;
	struct owner_usage *o = find_owner(left->q, owner);
	double used = o ? (double)mh_usage_sum(&o->usage, left->now_ns) : 0;

	(void)host;
	if (age_ms >= ALONE_AFTER_MS && used < left->share)
		left->sum += left->share - used;
}

/* What this dispatcher may grant: all but the unused shares of lost entries. */
static double quota_bound(const struct mh_dispatch *d, const struct quota *q)
{
	uint64_t now_ns = mh_dispatch_now_ns(d);
	double whole = whole_bound(d, q);
	struct left left = { q, now_ns, 0, 0 };

	if (!mh_entry_set_count(d->lost, now_ns) || !d->n_linked)
		return whole;
	left.share = whole / mh_dispatch_entries(d);
	mh_entry_set_each(d->lost, now_ns, add_left, &left);
	return whole - left.sum;
}

/*
 * An entry that has lost its dispatcher keeps what it used until then: the others
 * leave it its share, but may have more than theirs until that leaves the window.
 */
static double share_bound(const struct mh_dispatch *d, struct quota *q,
			  double bound, double sum, uint64_t now_ns)
{
	double window_ns = (double)d->conf.quota_window_ms * MH_NS_PER_MS;
	double age = (double)(now_ns - d->share_began_ns) / window_ns;
	double least = SHARE_START_FRACTION;

	if (d->n_sharing == 1 || !d->share_began_ns || age >= 1)
		return bound;
	if (q->share_began_ns != d->share_began_ns) {
		q->share_began_ns = d->share_began_ns;
		q->kept_units = sum;
	}
	if (age > SHARE_RISE_BEGIN)
		least += (1 - least) * (age - SHARE_RISE_BEGIN) /
			 (1 - SHARE_RISE_BEGIN);
	least *= bound;
	if (least < q->kept_units)
		least = q->kept_units;
	return least < bound ? least : bound;
}

static double usage_sum(struct quota *q, uint64_t now_ns)
{
	uint64_t sum = mh_usage_sum(&q->own, now_ns);
	struct grantor *g, *next;

	HASH_ITER(hh, q->grantors, g, next) {
		uint64_t part = mh_usage_sum(larger_usage(g, now_ns), now_ns);

		sum += part;
		if (!part)
			free_grantor(q, g);
	}
	return (double)sum;
}

/* Usage of the window that any dispatcher granted. */
static struct mh_usage total_usage(struct quota *q, uint64_t now_ns)
{
	struct mh_usage total = q->own;
	struct grantor *g, *next;
	uint32_t i, age_ms;

	HASH_ITER(hh, q->grantors, g, next) {
		struct mh_usage *usage = larger_usage(g, now_ns);

		for (i = 0; i < MH_USAGE_BUCKETS; i++) {
			uint64_t units =
				mh_usage_bucket(usage, i, now_ns, &age_ms);

			/* The age is rounded down. */
			mh_usage_add(&total, units, age_ms + 1, now_ns);
		}
	}
	return total;
}

/* Usage expected in the next two intervals between stored records, see
 * RESERVE_MIN_FRACTION; 0 for accounts far from their bound. */
static uint64_t expected_usage(const struct mh_dispatch *d, struct quota *q,
			       uint64_t now_ns)
{
	uint64_t recent_units = 0;
	uint32_t i, age_ms;

	if (q->rate_per_s <= 0 ||
	    usage_sum(q, now_ns) < RESERVE_MIN_FRACTION * quota_bound(d, q))
		return 0;
	for (i = 0; i < RECENT_BUCKETS; i++)
		recent_units += mh_usage_bucket(&q->own, i, now_ns, &age_ms);
	return (uint64_t)(recent_units * RESERVE_FRACTION);
}

struct walk {
	void (*visit)(void *data, const char *account, uint64_t grantor,
		      uint64_t units, uint32_t age_ms);
	void *data;
	uint64_t now_ns;
};

static void walk_usage(const struct walk *w, const char *account,
		       uint64_t grantor, struct mh_usage *usage,
		       uint64_t reserve)
{
	uint32_t i, age_ms;

	for (i = 0; i < MH_USAGE_BUCKETS; i++) {
		uint64_t units = mh_usage_bucket(usage, i, w->now_ns, &age_ms);

		if (!i)
			units += reserve;
		if (units)
			w->visit(w->data, account, grantor, units, age_ms);
	}
}

void mh_dispatch_each_usage(struct mh_dispatch *d,
			    void (*visit)(void *data, const char *account,
					  uint64_t grantor, uint64_t units,
					  uint32_t age_ms),
			    void *data)
{
	struct walk w = { visit, data, mh_dispatch_now_ns(d) };
	struct quota *q, *tmp;
	struct grantor *g, *next;

	HASH_ITER(hh, d->quotas, q, tmp) {
		walk_usage(&w, q->account, d->grantor_id, &q->own,
			   expected_usage(d, q, w.now_ns));
		HASH_ITER(hh, q->grantors, g, next)
			walk_usage(&w, q->account, g->id,
				   larger_usage(g, w.now_ns), 0);
	}
}

/*
 * The last fraction of an account's bound is reserved for its more urgent
 * requests. Small requests are exempt: refusing one that is far smaller than
 * the account's usual request gains nothing.
 */
static double request_bound(const struct mh_dispatch *d, const struct quota *q,
			    const struct mh_slot_request *slot_req)
{
	double bound = quota_bound(d, q);

	if (slot_req->units < SMALL_REQUEST_FRACTION * q->mean_units)
		return bound;
	return bound * (1 - URGENT_SHARE * (slot_req->tier % MH_ROUTE_TIERS));
}

/* Where nothing tells what was granted before the start, at an entry without a
 * dispatcher and while the stored usage can't be read, it may have been a whole window:
 * until that is over requests pass only while less was granted than the part of the
 * tolerance that is not used else. */
static uint32_t unknown_wait_ms(const struct mh_dispatch *d,
				const struct quota *q, double own,
				double age_ms)
{
	double unused = (1 - QUOTA_TOLERANCE_USED) *
			(quota_limit(d, q) * d->conf.quota_excess +
			 d->conf.quota_slack / d->n_sharing);

	return own < unused ? 0 :
			      (uint32_t)(d->conf.quota_window_ms - age_ms) + 1;
}

/* Return: how long until the units that this dispatcher may grant itself after
 * its start suffice for a request, 0 if they do. */
static uint32_t start_wait_ms(const struct mh_dispatch *d, struct quota *q,
			      uint32_t units, uint64_t now_ns)
{
	double own = (double)mh_usage_sum(&q->own, now_ns);
	double age_ms = (double)(now_ns - d->began_ns) / MH_NS_PER_MS;
	bool is_unknown = d->n_sharing > 1 || d->is_usage_unknown;
	double ramp_ms = is_unknown ? d->conf.quota_window_ms : START_RAMP_MS;
	double due_ms;

	/* A single request above the fraction passes, as otherwise. */
	if (age_ms >= ramp_ms || own <= 0)
		return 0;
	if (is_unknown)
		return unknown_wait_ms(d, q, own, age_ms);
	due_ms = ((own + units) / quota_bound(d, q) - START_FRACTION) /
		 (1 - START_FRACTION) * ramp_ms;
	if (due_ms > ramp_ms)
		due_ms = ramp_ms;
	return due_ms > age_ms ? (uint32_t)(due_ms - age_ms) + 1 : 0;
}

/*
 * A request above the whole bound passes while nothing is used: otherwise it
 * never would. Where many share a quota, each part may be smaller than a usual
 * request, so each saves up for it, from a random time on.
 *
 * Return: time until such a request may pass, 0 if it may.
 */
static uint32_t large_wait_ms(struct mh_dispatch *d, struct quota *q,
			      uint32_t units, uint64_t now_ns)
{
	double windows = SAVING_MARGIN * units / quota_bound(d, q);
	uint64_t saving_ns;

	if (d->n_sharing == 1)
		return 0;
	if (windows > MAX_SAVING_WINDOWS)
		windows = MAX_SAVING_WINDOWS;
	saving_ns =
		(uint64_t)(windows * d->conf.quota_window_ms) * MH_NS_PER_MS;
	if (!q->large_due_ns)
		q->large_due_ns = now_ns + mh_rng_next(&d->rng) % saving_ns;
	if (now_ns < q->large_due_ns)
		return (uint32_t)((q->large_due_ns - now_ns) / MH_NS_PER_MS) +
		       1;
	q->large_due_ns = now_ns + saving_ns;
	return 0;
}

/* Return: whether the account may send the request; if not, @why tells when it
 * may. */
bool mh_dispatch_take_units(struct mh_dispatch *d,
			    const struct mh_slot_request *slot_req,
			    bool *over_quota, struct mh_slot_refusal *why)
{
	uint64_t now_ns = mh_dispatch_now_ns(d);
	double sum, bound, max_sum;
	struct mh_usage total;
	struct quota *q;

	*over_quota = false;
	if (!slot_req->units)
		return true;
	q = get_quota(d, slot_req->account);
	if (q->rate_per_s <= 0)
		return true;
	sum = usage_sum(q, now_ns);
	q->mean_units += (slot_req->units - q->mean_units) * MEAN_GAIN;
	bound = share_bound(d, q, request_bound(d, q, slot_req), sum, now_ns);
	if (sum > 0 && sum + slot_req->units > bound) {
		max_sum = bound > slot_req->units ? bound - slot_req->units : 0;
		why->error = MH_ERR_ACCOUNT_LIMIT;
		total = total_usage(q, now_ns);
		why->retry_after_ms =
			mh_usage_wait_ms(&total, (uint64_t)max_sum, now_ns);
		why->spent = (uint64_t)sum;
		why->limit = (uint64_t)bound;
		return false;
	}
	why->retry_after_ms =
		slot_req->units > bound ?
			large_wait_ms(d, q, slot_req->units, now_ns) :
			start_wait_ms(d, q, slot_req->units, now_ns);
	if (why->retry_after_ms) {
		why->error = MH_ERR_ACCOUNT_LIMIT;
		why->spent = (uint64_t)sum;
		why->limit = (uint64_t)bound;
		return false;
	}
	if (sum + slot_req->units > NEAR_LIMIT_FRACTION * bound)
		d->near_limit_ns = now_ns;
	*over_quota = sum + slot_req->units > quota_limit(d, q);
	mh_usage_add(&q->own, slot_req->units, 0, now_ns);
	if (d->n_sharing == 1)
		add_owner_units(d, q, slot_req->owner, slot_req->units, now_ns);
	d->total_granted_units += slot_req->units;
	return true;
}

void mh_dispatch_return_units(struct mh_dispatch *d, const struct request *req)
{
	uint64_t now_ns = mh_dispatch_now_ns(d);
	struct owner_usage *o;
	struct quota *q;

	if (!req->units)
		return;
	q = get_quota(d, req->account);
	mh_usage_refund(&q->own, req->units, req->requested_ns, now_ns);
	o = find_owner(q, (uint32_t)req->key.owner);
	if (o)
		mh_usage_refund(&o->usage, req->units, req->requested_ns,
				now_ns);
}
