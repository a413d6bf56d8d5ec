#include "proxy/dispatcher_finder.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/check_alloc.h"

void mh_dispatcher_finder_release(struct mh_dispatcher_finder *f)
{
	size_t i;

	for (i = 0; i < f->n_seeds; i++)
		free(f->seeds[i]);
	free(f->seeds);
	f->seeds = NULL;
	f->n_seeds = 0;
}

static bool is_seed(const struct mh_dispatcher_finder *f, const char *address)
{
	size_t i;

	for (i = 0; i < f->n_seeds; i++) {
		if (!strcmp(f->seeds[i], address))
			return true;
	}
	return false;
}

void mh_dispatcher_finder_set_seeds(struct mh_dispatcher_finder *f,
				    char *const *seeds, size_t n)
{
	struct mh_dispatcher_finder old = *f;
	size_t i;

	f->seeds = mh_check_alloc(calloc(n + 1, sizeof(*f->seeds)));
	for (i = 0; i < n; i++)
		f->seeds[i] = mh_check_alloc(strdup(seeds[i]));
	f->n_seeds = n;
	for (i = 0; i < old.n_seeds; i++) {
		if (!is_seed(f, old.seeds[i]) &&
		    !mh_candidates_at_address(f->candidates, old.seeds[i]))
			mh_links_undial(f->links, old.seeds[i]);
	}
	mh_dispatcher_finder_release(&old);
}

static void learn(struct mh_dispatcher_finder *f, const char *name,
		  const char *address, const char *from)
{
	struct mh_candidate *c = mh_candidates_find(f->candidates, name);

	if (c && !strcmp(c->address, address))
		return;
	if (c && c->dialled)
		mh_links_undial(f->links, c->address);
	if (c)
		c->dialled = false;
	mh_candidates_learn(f->candidates, name, address);
	mh_event(f->log, MH_EV_DEPENDENCY,
		 "event=dispatcher_known peer=%s address=%s from=%s", name,
		 address, from);
}

void mh_dispatcher_finder_learn(struct mh_dispatcher_finder *f,
				const char *name, const char *address)
{
	learn(f, name, address, "store");
}

void mh_dispatcher_finder_receive(struct mh_dispatcher_finder *f,
				  const Mh__Dispatchers *msg, const char *from)
{
	char ip[MH_IP_BYTES];
	uint16_t port;
	size_t i;

	for (i = 0; i < msg->n_dispatcher; i++) {
		const Mh__Dispatcher *row = msg->dispatcher[i];
		const struct mh_candidate *c =
			mh_candidates_find(f->candidates, row->host);

		if (*row->host && mh_address_parse(row->address, ip, &port) &&
		    (!c || !c->up))
			learn(f, row->host, row->address, from);
	}
}

struct mh_candidate *
mh_dispatcher_finder_link_up(struct mh_dispatcher_finder *f, uint32_t link,
			     const char *host, uint64_t now_ns)
{
	const char *address = mh_links_address(f->links, link);
	struct mh_candidate *c;

	if (address)
		learn(f, host, address, "link");
	c = mh_candidates_find(f->candidates, host);
	if (c && address && !c->dialled) {
		c->dialled = true;
		c->dialled_ns = now_ns;
	}
	return c;
}

static void change_link(void *data, struct mh_candidate *c, bool dial)
{
	struct mh_dispatcher_finder *f = data;

	if (dial) {
		mh_links_dial(f->links, c->address);
		return;
	}
	mh_links_undial(f->links, c->address);
	if (c->up)
		mh_links_close(f->links, c->link);
}

static bool is_any_fit(const struct mh_candidates *set)
{
	const struct mh_candidate *c;

	DL_FOREACH(set->first, c) {
		if (c->up && c->fit)
			return true;
	}
	return false;
}

void mh_dispatcher_finder_dial(struct mh_dispatcher_finder *f,
			       const struct mh_candidate *used, uint64_t now_ns)
{
	bool is_needed = !is_any_fit(f->candidates);
	size_t i;

	mh_candidates_dial(f->candidates, used, now_ns, change_link, f);
	for (i = 0; i < f->n_seeds; i++) {
		/* A known dispatcher is dialled by its rank. */
		if (mh_candidates_at_address(f->candidates, f->seeds[i]))
			continue;
		if (is_needed)
			mh_links_dial(f->links, f->seeds[i]);
		else
			mh_links_undial(f->links, f->seeds[i]);
	}
}
