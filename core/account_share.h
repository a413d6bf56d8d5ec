/*
 * Weighted fair queueing between the client accounts of a tier: which account's
 * request is served next while requests wait. Each account has a virtual time,
 * which advances by the cost of its requests over its weight; the account that is
 * furthest behind goes first, in rounds that are long enough to keep the order by
 * target within them. An idle account accrues no credit.
 */
#ifndef MH_ACCOUNT_SHARE_H
#define MH_ACCOUNT_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct mh_account_shares;

/**
 * struct mh_account_share_order - how an account's requests are ordered
 * @timely: whether the first of two timely requests goes first
 * @late: the same of two late ones
 * @index_offset: offset of a uint32_t inside a request that the set may use
 */
struct mh_account_share_order {
	bool (*timely)(const void *a, const void *b);
	bool (*late)(const void *a, const void *b);
	size_t index_offset;
};

/**
 * mh_account_shares_new() - create a set without requests
 * @order: order within an account, copied
 */
struct mh_account_shares *
mh_account_shares_new(const struct mh_account_share_order *order);

/**
 * mh_account_shares_free() - free a set, not its requests
 * @set: set or NULL
 */
void mh_account_shares_free(struct mh_account_shares *set);

/**
 * mh_account_shares_add() - a request waits
 * @set: set
 * @account: name of its account
 * @weight: weight of the account, 0: the mean of those that have one
 * @req: request
 * @late: it can no longer meet its target
 */
void mh_account_shares_add(struct mh_account_shares *set, const char *account,
			   double weight, void *req, bool late);

/**
 * mh_account_shares_remove() - a request no longer waits
 * @set: set
 * @account: name of its account
 * @req: request
 * @late: as it was added
 */
void mh_account_shares_remove(struct mh_account_shares *set,
			      const char *account, void *req, bool late);

/**
 * mh_account_shares_waiting() - number of accounts with waiting requests
 * @set: set
 */
uint32_t mh_account_shares_waiting(const struct mh_account_shares *set);

/**
 * mh_account_shares_next() - request that is served next
 * @set: set
 * @round: virtual time of a round: accounts in the same round count as even, and
 *         their requests go in the order of one account; above 0
 * @late: of the late requests
 *
 * Return: request, NULL without any.
 */
void *mh_account_shares_next(const struct mh_account_shares *set, double round,
			     bool late);

/**
 * mh_account_shares_charge() - a request of an account is served
 * @set: set
 * @account: name of the account
 * @cost: cost of the request
 *
 * Return: the virtual time by which the account advanced.
 */
double mh_account_shares_charge(struct mh_account_shares *set,
				const char *account, double cost);

/**
 * mh_account_shares_refund() - a request did not use what it was charged
 * @set: set
 * @account: name of the account
 * @vtime: result of mh_account_shares_charge()
 */
void mh_account_shares_refund(struct mh_account_shares *set,
			      const char *account, double vtime);

/**
 * mh_account_shares_begin_plan() - begin to plan the order of waiting requests
 * @set: set
 */
void mh_account_shares_begin_plan(struct mh_account_shares *set);

/**
 * mh_account_shares_plan() - plan an account's next request
 * @set: set
 * @account: name of the account
 * @cost: cost of the request
 *
 * Return: virtual time at which it is served.
 */
double mh_account_shares_plan(struct mh_account_shares *set,
			      const char *account, double cost);

#endif
