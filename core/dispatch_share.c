/*
 * Shares of slots and limits. One dispatcher grants all of them, less what entries
 * that it has lost may grant by themselves; without one each entry grants its share.
 */
#include "core/dispatch_impl.h"

void mh_dispatch_set_share(struct mh_dispatch *d, uint32_t n_sharing)
{
	if (!n_sharing)
		return;
	d->n_sharing = n_sharing;
	mh_suspects_share_early(d->suspects, n_sharing > 1);
}

void mh_dispatch_begin_share(struct mh_dispatch *d)
{
	d->share_began_ns = mh_dispatch_now_ns(d);
}

void mh_dispatch_entry_linked(struct mh_dispatch *d, const char *host)
{
	mh_entry_set_remove(d->lost, host);
	mh_entry_set_note(d->linked, host, 0, mh_dispatch_now_ns(d));
}

void mh_dispatch_entry_ended(struct mh_dispatch *d, const char *host)
{
	mh_entry_set_remove(d->linked, host);
}

void mh_dispatch_entry_lost(struct mh_dispatch *d, const char *host,
			    uint32_t owner, uint64_t heard_ns)
{
	mh_entry_set_remove(d->linked, host);
	mh_entry_set_note(d->lost, host, owner, heard_ns);
}

void mh_dispatch_entry_recorded(struct mh_dispatch *d, const char *host,
				uint64_t heard_ns)
{
	if (!mh_entry_set_has(d->linked, host))
		mh_entry_set_note(d->lost, host, 0, heard_ns);
}

struct mh_entry_set *mh_dispatch_linked_entries(const struct mh_dispatch *d)
{
	return d->linked;
}

struct mh_entry_set *mh_dispatch_lost_entries(const struct mh_dispatch *d)
{
	return d->lost;
}

uint32_t mh_dispatch_entries(const struct mh_dispatch *d)
{
	return d->n_linked + mh_entry_set_count(d->lost, mh_dispatch_now_ns(d));
}

void mh_dispatch_set_linked(struct mh_dispatch *d, uint32_t n_linked)
{
	d->n_linked = n_linked;
}

double mh_dispatch_granted_part(const struct mh_dispatch *d, uint64_t now_ns)
{
	uint32_t n_lost = mh_entry_set_count(d->lost, now_ns);

	return 1 - (double)n_lost / (n_lost + (d->n_linked ? d->n_linked : 1));
}
