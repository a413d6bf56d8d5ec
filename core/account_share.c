#include "core/account_share.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/check_alloc.h"
#include "core/heap.h"

struct account {
	char *name;
	double weight; /* 0: that of the others */
	double vtime;  /* at which its next request is served */
	double planned;
	struct mh_heap timely;
	struct mh_heap late;
	UT_hash_handle hh;
};

struct mh_account_shares {
	struct mh_account_share_order order;
	struct account *accounts;
	/* Virtual time of the request that was served last: accounts that begin
	 * to wait start from there. */
	double now;
	/* Of the accounts with a weight. */
	double sum_weights;
	uint32_t n_weights;
	uint32_t n_waiting; /* accounts */
};

struct mh_account_shares *
mh_account_shares_new(const struct mh_account_share_order *order)
{
	struct mh_account_shares *set = mh_check_alloc(calloc(1, sizeof(*set)));

	set->order = *order;
	return set;
}

static void set_weight(struct mh_account_shares *set, struct account *a,
		       double weight)
{
	set->sum_weights += weight - a->weight;
	set->n_weights += (weight > 0) - (a->weight > 0);
	a->weight = weight;
}

static void free_account(struct mh_account_shares *set, struct account *a)
{
	set_weight(set, a, 0);
	/* The analyzer does not follow uthash's deletion macros. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(set->accounts, a);
	mh_heap_release(&a->timely);
	mh_heap_release(&a->late);
	free(a->name);
	free(a);
}

void mh_account_shares_free(struct mh_account_shares *set)
{
	struct account *a, *tmp;

	if (!set)
		return;
	HASH_ITER(hh, set->accounts, a, tmp)
		free_account(set, a);
	free(set);
}

static bool is_waiting(const struct account *a)
{
	return a->timely.n || a->late.n;
}

static struct account *find(const struct mh_account_shares *set,
			    const char *name)
{
	struct account *a;

	HASH_FIND_STR(set->accounts, name, a);
	return a;
}

/* Accounts that are not ahead of the others need no record. */
static void drop_idle(struct mh_account_shares *set)
{
	struct account *a, *tmp;

	HASH_ITER(hh, set->accounts, a, tmp) {
		if (!is_waiting(a) && a->vtime <= set->now)
			free_account(set, a);
	}
}

static struct account *get(struct mh_account_shares *set, const char *name)
{
	struct account *a = find(set, name);

	if (a)
		return a;
	drop_idle(set);
	a = mh_check_alloc(calloc(1, sizeof(*a)));
	a->name = mh_check_alloc(strdup(name));
	mh_heap_init(&a->timely, set->order.timely, set->order.index_offset);
	mh_heap_init(&a->late, set->order.late, set->order.index_offset);
	HASH_ADD_KEYPTR(hh, set->accounts, a->name, strlen(a->name), a);
	return a;
}

void mh_account_shares_add(struct mh_account_shares *set, const char *account,
			   double weight, void *req, bool late)
{
	struct account *a = get(set, account);

	set_weight(set, a, weight);
	if (!is_waiting(a)) {
		set->n_waiting++;
		if (a->vtime < set->now)
			a->vtime = set->now;
	}
	if (!mh_heap_add(late ? &a->late : &a->timely, req))
		abort();
}

void mh_account_shares_remove(struct mh_account_shares *set,
			      const char *account, void *req, bool late)
{
	struct account *a = find(set, account);

	if (!a || !is_waiting(a))
		return;
	mh_heap_remove(late ? &a->late : &a->timely, req);
	set->n_waiting -= !is_waiting(a);
}

uint32_t mh_account_shares_waiting(const struct mh_account_shares *set)
{
	return set->n_waiting;
}

void *mh_account_shares_next(const struct mh_account_shares *set, double round,
			     bool late)
{
	const struct account *a, *tmp;
	uint64_t least = 0;
	void *best = NULL;

	HASH_ITER(hh, set->accounts, a, tmp) {
		const struct mh_heap *heap = late ? &a->late : &a->timely;
		uint64_t number = (uint64_t)(a->vtime / round);

		if (!heap->n || (best && number > least))
			continue;
		if (best && number == least &&
		    !heap->less(mh_heap_min(heap), best))
			continue;
		best = mh_heap_min(heap);
		least = number;
	}
	return best;
}

/* Virtual time that a cost takes; with a mean weight it is the cost. */
static double vtime_of(const struct mh_account_shares *set,
		       const struct account *a, double cost)
{
	return a->weight > 0 ?
		       cost * set->sum_weights / set->n_weights / a->weight :
		       cost;
}

double mh_account_shares_charge(struct mh_account_shares *set,
				const char *account, double cost)
{
	struct account *a = find(set, account);
	double vtime;

	if (!a)
		return 0;
	if (a->vtime > set->now)
		set->now = a->vtime;
	vtime = vtime_of(set, a, cost);
	a->vtime += vtime;
	return vtime;
}

void mh_account_shares_refund(struct mh_account_shares *set,
			      const char *account, double vtime)
{
	struct account *a = find(set, account);

	if (a && a->vtime > vtime)
		a->vtime -= vtime;
}

void mh_account_shares_begin_plan(struct mh_account_shares *set)
{
	struct account *a, *tmp;

	HASH_ITER(hh, set->accounts, a, tmp)
		a->planned = a->vtime;
}

double mh_account_shares_plan(struct mh_account_shares *set,
			      const char *account, double cost)
{
	struct account *a = find(set, account);
	double vtime;

	if (!a)
		return 0;
	vtime = a->planned;
	a->planned += vtime_of(set, a, cost);
	return vtime;
}
