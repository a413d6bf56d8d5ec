/*
 * Slots of the backend server: which entry gets a grant, and how many runs the
 * backend may have at a time.
 */
#include <stdlib.h>
#include <string.h>

#include "core/side_impl.h"

#define LIMIT_ADJUST_INTERVAL_NS (200 * MH_NS_PER_MS)

/* Above this ratio of gap_ns to best_gap_ns the backend is overloaded. */
#define MAX_GAP_RATIO 3.0
#define GAP_EWMA_WEIGHT 0.05
#define BEST_GAP_GROWTH 1.0002
#define LIMIT_DECREASE_FACTOR 0.9

void mh_side_on_want(struct mh_side *s, uint32_t link, const Mh__Want *msg)
{
	struct mh_entry_link *l = mh_side_link(s, link);
	size_t t;

	memset(l->want, 0, sizeof(l->want));
	memset(l->slack_ms, 0, sizeof(l->slack_ms));
	for (t = 0; t < msg->n_count && t < MH_MAX_TIERS; t++)
		l->want[t] = msg->count[t];
	for (t = 0; t < msg->n_slack_ms && t < MH_MAX_TIERS; t++)
		l->slack_ms[t] = msg->slack_ms[t];
}

static void drop_grant(struct mh_side *s, struct mh_slot_grant *g)
{
	struct mh_entry_link *l = mh_side_link(s, g->link);

	if (l)
		l->outstanding--;
	DL_DELETE(s->grants, g);
	s->n_grants--;
	free(g);
}

static struct mh_slot_grant *find_grant(struct mh_side *s, uint32_t link,
					uint64_t id)
{
	struct mh_slot_grant *g;

	DL_FOREACH(s->grants, g) {
		if (g->id == id && g->link == link)
			return g;
	}
	return NULL;
}

void mh_side_on_return(struct mh_side *s, uint32_t link, uint64_t grant_id)
{
	struct mh_slot_grant *g = find_grant(s, link, grant_id);
	struct mh_entry_link *l = mh_side_link(s, link);

	if (!g)
		return;
	mh_count(&s->counters, MH_C_GRANTS_UNUSED);
	/* The entry sends its demand again after a return. */
	memset(l->want, 0, sizeof(l->want));
	drop_grant(s, g);
}

/* A grant is valid once, on its link, within its term. */
bool mh_side_use_grant(struct mh_side *s, uint32_t link, uint64_t grant_id)
{
	struct mh_slot_grant *g = find_grant(s, link, grant_id);
	bool in_term;

	if (!g)
		return false;
	in_term = mh_side_now(s) < g->expiry_ns;
	drop_grant(s, g);
	return in_term;
}

void mh_side_drop_grants(struct mh_side *s, uint32_t link)
{
	struct mh_slot_grant *g, *tmp;

	DL_FOREACH_SAFE(s->grants, g, tmp) {
		if (g->link == link)
			drop_grant(s, g);
	}
}

static void expire_grants(struct mh_side *s)
{
	uint64_t now = mh_side_now(s);
	struct mh_slot_grant *g, *tmp;

	DL_FOREACH_SAFE(s->grants, g, tmp) {
		if (now < g->expiry_ns)
			continue;
		mh_count(&s->counters, MH_C_GRANTS_UNUSED);
		drop_grant(s, g);
	}
}

static uint32_t free_slots(const struct mh_side *s)
{
	uint32_t used = s->running + s->n_grants;

	return used < s->limit ? s->limit - used : 0;
}

/* Lowest tier that may get a slot: each tier leaves some to those above. */
static int lowest_tier(const struct mh_side *s)
{
	uint32_t free_now = free_slots(s), t;

	if (!free_now)
		return -1;
	for (t = 1; t < MH_MAX_TIERS; t++) {
		if (free_now <= s->limit * s->reserve_percent * t / 100)
			break;
	}
	return (int)t - 1;
}

static uint32_t total_want(const struct mh_entry_link *l)
{
	uint32_t sum = 0, t;

	for (t = 0; t < MH_MAX_TIERS; t++)
		sum += l->want[t];
	return sum;
}

static int top_tier(const struct mh_entry_link *l)
{
	int t;

	if (total_want(l) <= l->outstanding)
		return -1;
	for (t = 0; t < MH_MAX_TIERS; t++) {
		if (l->want[t])
			return t;
	}
	return -1;
}

/* Highest tier first, then least slack, then fewest outstanding grants. */
static struct mh_entry_link *pick_link(struct mh_side *s, int lowest)
{
	struct mh_entry_link *l, *best = NULL;
	int best_tier = 0;

	DL_FOREACH(s->links, l) {
		int t = top_tier(l);

		if (t < 0 || t > lowest)
			continue;
		if (best && t > best_tier)
			continue;
		if (best && t == best_tier &&
		    (l->slack_ms[t] > best->slack_ms[t] ||
		     (l->slack_ms[t] == best->slack_ms[t] &&
		      l->outstanding >= best->outstanding)))
			continue;
		best = l;
		best_tier = t;
	}
	return best;
}

static void send_grant(struct mh_side *s, struct mh_entry_link *l, int lowest)
{
	struct mh_slot_grant *g = calloc(1, sizeof(*g));
	Mh__Grant msg = MH__GRANT__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	if (!g)
		return;
	g->id = mh_rng_next(&s->rng);
	g->link = l->link;
	g->expiry_ns = mh_side_now(s) + s->grant_term_ms * MH_NS_PER_MS;
	DL_APPEND(s->grants, g);
	s->n_grants++;
	l->outstanding++;
	msg.grant_id = g->id;
	msg.term_ms = s->grant_term_ms;
	msg.lowest_tier = (uint32_t)lowest;
	frame.body_case = MH__FRAME__BODY_GRANT;
	frame.grant = &msg;
	mh_count(&s->counters, MH_C_GRANTS);
	s->ops->send(s->data, l->link, &frame);
}

void mh_side_grant_slots(struct mh_side *s)
{
	expire_grants(s);
	if (!mh_side_takes_work(s))
		return;
	for (;;) {
		int lowest = lowest_tier(s);
		struct mh_entry_link *l;

		if (lowest < 0)
			return;
		l = pick_link(s, lowest);
		if (!l)
			return;
		send_grant(s, l, lowest);
	}
}

void mh_side_note_gap(struct mh_side *s, uint64_t gap_ns)
{
	double gap = (double)gap_ns;

	if (!s->gap_ns)
		s->gap_ns = gap;
	s->gap_ns += GAP_EWMA_WEIGHT * (gap - s->gap_ns);
	if (!s->best_gap_ns || s->gap_ns < s->best_gap_ns)
		s->best_gap_ns = s->gap_ns;
	s->best_gap_ns *= BEST_GAP_GROWTH;
}

void mh_side_adjust_limit(struct mh_side *s)
{
	uint64_t now = mh_side_now(s);

	if (now < s->next_adjust_ns)
		return;
	s->next_adjust_ns = now + LIMIT_ADJUST_INTERVAL_NS;
	if (s->best_gap_ns && s->gap_ns > MAX_GAP_RATIO * s->best_gap_ns) {
		if (s->running < s->limit)
			s->limit = s->running;
		s->limit = (uint32_t)(s->limit * LIMIT_DECREASE_FACTOR);
		if (!s->limit)
			s->limit = 1;
		return;
	}
	if (s->limit < s->max_running)
		s->limit++;
}
