#include "core/candidates.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/check_alloc.h"
#include "core/clock.h"
#include "core/rendezvous.h"

#define RENDEZVOUS_KEY "dispatcher"
/* The dispatcher in use and one to fail over to. */
#define LINKS_WANTED 2
/* How long a dispatcher may take to answer before a further one is dialled, and
 * the best one before another is used. */
#define ANSWER_TIMEOUT_NS (200 * MH_NS_PER_MS)
/* Further dispatchers that are tried at a time while no linked one is fit, and for
 * how long. A dispatcher that was just linked reads the store within that time. */
#define SEARCH_LINKS 2
#define SEARCH_STEP_NS (500 * MH_NS_PER_MS)
/* The steps become longer after the first ones: the store may be away for all. */
#define SEARCH_FAST_STEPS 5
#define SEARCH_STEP_MAX_NS (8000 * MH_NS_PER_MS)
/* How long a better dispatcher has to be up and unchanged before the entry
 * switches to it. Switches have to be rare, because entries use different
 * dispatchers while they switch. */
#define SETTLE_NS (700 * MH_NS_PER_MS)
/* Assumed while nothing tells the number of entries: an entry that has just
 * started without a dispatcher uses little until it has read the store. */
#define UNKNOWN_ENTRIES 128
/* For how long a number of entries holds that was not reported again. */
#define ENTRIES_HOLD_NS (3000 * MH_NS_PER_MS)

static int by_score(const struct mh_candidate *a, const struct mh_candidate *b)
{
	return (a->score < b->score) - (a->score > b->score);
}

void mh_candidates_add(struct mh_candidates *set, const char *name,
		       const char *address)
{
	struct mh_candidate *c = mh_check_alloc(calloc(1, sizeof(*c)));

	c->name = mh_check_alloc(strdup(name));
	c->address = mh_check_alloc(strdup(address));
	c->score = mh_rendezvous_score(RENDEZVOUS_KEY, name);
	DL_INSERT_INORDER(set->first, c, by_score);
}

static bool is_told(const struct mh_candidates *set,
		    const struct mh_candidate *c)
{
	const struct mh_candidate *at;
	uint32_t n = 0;

	DL_FOREACH(set->first, at) {
		if (n++ == MH_CANDIDATES_TOLD)
			return false;
		if (at == c)
			return true;
	}
	return false;
}

bool mh_candidates_learn(struct mh_candidates *set, const char *name,
			 const char *address)
{
	struct mh_candidate *c = mh_candidates_find(set, name);

	if (c && !strcmp(c->address, address))
		return false;
	if (c) {
		free(c->address);
		c->address = mh_check_alloc(strdup(address));
	} else {
		mh_candidates_add(set, name, address);
		c = mh_candidates_find(set, name);
	}
	return is_told(set, c);
}

struct mh_candidate *mh_candidates_at_address(const struct mh_candidates *set,
					      const char *address)
{
	struct mh_candidate *c;

	DL_FOREACH(set->first, c) {
		if (!strcmp(c->address, address))
			return c;
	}
	return NULL;
}

void mh_candidates_release(struct mh_candidates *set)
{
	struct mh_candidate *c, *next;

	DL_FOREACH_SAFE(set->first, c, next) {
		DL_DELETE(set->first, c);
		free(c->name);
		free(c->address);
		free(c);
	}
}

struct mh_candidate *mh_candidates_find(const struct mh_candidates *set,
					const char *name)
{
	struct mh_candidate *c;

	DL_FOREACH(set->first, c) {
		if (!strcmp(c->name, name))
			return c;
	}
	return NULL;
}

struct mh_candidate *mh_candidates_of_link(const struct mh_candidates *set,
					   uint32_t link)
{
	struct mh_candidate *c;

	DL_FOREACH(set->first, c) {
		if (c->up && c->link == link)
			return c;
	}
	return NULL;
}

void mh_candidate_up(struct mh_candidate *c, uint32_t link,
		     uint64_t incarnation, uint64_t now_ns)
{
	c->up = true;
	c->fit = false;
	c->was_fit = false;
	c->doubts_servers = true;
	c->link = link;
	if (c->incarnation != incarnation)
		c->used_until_ns = 0;
	c->incarnation = incarnation;
	c->up_ns = now_ns;
}

void mh_candidate_down(struct mh_candidate *c)
{
	c->up = false;
	c->fit = false;
	c->dialled_ns = 0;
}

void mh_candidate_heartbeat(struct mh_candidate *c, bool fit, uint64_t now_ns)
{
	if (c->fit != fit)
		c->fit_changed_ns = now_ns;
	c->fit = fit;
	c->was_fit = c->was_fit || fit;
}

void mh_candidate_know_servers(struct mh_candidate *c, uint32_t age_ms,
			       bool in_doubt, uint64_t now_ns)
{
	uint64_t age_ns = age_ms * MH_NS_PER_MS;

	c->doubts_servers = in_doubt;
	if (age_ms != UINT32_MAX && age_ns < now_ns)
		c->servers_ns = now_ns - age_ns;
}

uint64_t mh_candidates_servers_ns(const struct mh_candidates *set)
{
	const struct mh_candidate *c;
	uint64_t newest_ns = 0;

	DL_FOREACH(set->first, c) {
		if (!c->doubts_servers && c->servers_ns > newest_ns)
			newest_ns = c->servers_ns;
	}
	return newest_ns;
}

bool mh_candidates_doubt_servers(const struct mh_candidates *set)
{
	const struct mh_candidate *c;
	bool is_linked = false;

	DL_FOREACH(set->first, c) {
		if (c->up && !c->doubts_servers)
			return false;
		is_linked |= c->up;
	}
	return is_linked;
}

void mh_candidates_count_entries(struct mh_candidates *set, uint32_t n,
				 bool is_used, uint64_t now_ns)
{
	bool is_lowered = is_used && now_ns > set->entries_ns + ENTRIES_HOLD_NS;

	if (!n || (n < set->entries && !is_lowered))
		return;
	set->entries = n;
	set->entries_ns = now_ns;
}

uint32_t mh_candidates_sharing(const struct mh_candidates *set)
{
	uint32_t n =
		set->entries > set->registered ? set->entries : set->registered;

	return n ? n : UNKNOWN_ENTRIES;
}

static bool needs_search(const struct mh_candidates *set)
{
	const struct mh_candidate *c;
	bool is_linked = false;

	DL_FOREACH(set->first, c) {
		if (c->up && c->fit)
			return false;
		is_linked |= c->up;
	}
	return is_linked;
}

static uint64_t search_step_ns(const struct mh_candidates *set)
{
	uint64_t ns = SEARCH_STEP_NS;
	uint32_t i;

	for (i = SEARCH_FAST_STEPS;
	     i < set->search_step && ns < SEARCH_STEP_MAX_NS; i++)
		ns *= 2;
	return ns;
}

/* All entries try the same ones at about the same time, as they rank them alike.
 * In the first step the linked ones have time to read the store. */
static void update_search(struct mh_candidates *set, uint64_t now_ns)
{
	const struct mh_candidate *c;
	uint32_t n;

	if (!needs_search(set)) {
		set->search_ns = 0;
		return;
	}
	if (!set->search_ns) {
		set->search_ns = now_ns;
		set->search_step = 0;
		set->search_first = LINKS_WANTED;
		return;
	}
	if (now_ns < set->search_ns + search_step_ns(set))
		return;
	set->search_ns = now_ns;
	if (set->search_step++)
		set->search_first += SEARCH_LINKS;
	DL_COUNT(set->first, c, n);
	if (set->search_first >= n)
		set->search_first = LINKS_WANTED;
}

static bool is_searched(const struct mh_candidates *set, uint32_t position)
{
	return set->search_ns && set->search_step &&
	       position >= set->search_first &&
	       position < set->search_first + SEARCH_LINKS;
}

void mh_candidates_dial(struct mh_candidates *set,
			const struct mh_candidate *used, uint64_t now_ns,
			void (*change)(void *data, struct mh_candidate *c,
				       bool dial),
			void *data)
{
	struct mh_candidate *c;
	uint32_t n = 0, n_up = 0, position = 0;

	update_search(set, now_ns);
	DL_FOREACH(set->first, c) {
		/* A link that is up is kept until better ones are. */
		bool wanted = n < LINKS_WANTED || c == used ||
			      (c->up && n_up < LINKS_WANTED) ||
			      is_searched(set, position);

		position++;

		if (wanted != c->dialled) {
			c->dialled = wanted;
			c->dialled_ns = now_ns;
			change(data, c, wanted);
		}
		/* A dispatcher that does not answer in time doesn't count. */
		if (wanted &&
		    (c->up || now_ns < c->dialled_ns + ANSWER_TIMEOUT_NS))
			n++;
		n_up += wanted && c->up;
	}
}

/* A candidate has to be up and to have been fit. One that is not in use also
 * has to be unchanged for SETTLE_NS, except that
 * - while the one in use is up, it is enough to be fit if that one is not, or if
 *   it ranks before one that was chosen lately, as all processes start at once;
 * - while the one in use is down, nothing more is needed;
 * - while none is in use, it is enough to be the best one, or to be up for
 *   ANSWER_TIMEOUT_NS: the best one had time to answer. */
static bool may_use(const struct mh_candidates *set,
		    const struct mh_candidate *c,
		    const struct mh_candidate *used, uint64_t now_ns)
{
	uint64_t since_ns =
		c->up_ns > c->fit_changed_ns ? c->up_ns : c->fit_changed_ns;

	if (!c->up || !c->was_fit)
		return false;
	if (c == used || now_ns > since_ns + SETTLE_NS)
		return true;
	if (used && used->up)
		return c->fit &&
		       (!used->fit || (c->score > used->score &&
				       now_ns < set->found_ns + SETTLE_NS));
	return used || c == set->first || now_ns > c->up_ns + ANSWER_TIMEOUT_NS;
}

struct mh_candidate *mh_candidates_choose(const struct mh_candidates *set,
					  struct mh_candidate *used,
					  uint64_t now_ns)
{
	struct mh_candidate *c, *best = NULL;

	DL_FOREACH(set->first, c) {
		if (may_use(set, c, used, now_ns) &&
		    (!best || (c->fit && !best->fit)))
			best = c;
	}
	/* While no dispatcher reaches the store, another one has no newer data
	 * than the one in use. */
	if (best && !best->fit && used && may_use(set, used, used, now_ns))
		return used;
	return best;
}
