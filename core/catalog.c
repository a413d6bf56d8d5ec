#include "core/catalog.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/clock.h"

/* Live servers register again within 2 s after the store is back; the rest
 * allows for the time between two reads of the store. */
#define REREGISTRATION_NS (2400 * MH_NS_PER_MS)
/* Servers that are gone are kept for this time, so that their late
 * registrations can be told from those of a new incarnation. */
#define GONE_RETENTION_NS (120000 * MH_NS_PER_MS)

struct row {
	struct mh_registration reg;
	bool listed;
	uint64_t gone_ns;
	UT_hash_handle hh;
};

struct mh_catalog {
	struct row *rows;
	bool store_ok;
	uint64_t store_back_ns;
	uint32_t n_doubtful;
	struct mh_store_position read_at;
	void (*changed)(void *data, const struct mh_registration *updated);
	void *data;
};

struct mh_catalog *mh_catalog_new(
	void (*changed)(void *data, const struct mh_registration *updated),
	void *data)
{
	struct mh_catalog *cat = calloc(1, sizeof(*cat));

	if (!cat)
		abort();
	cat->changed = changed;
	cat->data = data;
	cat->store_ok = true;
	return cat;
}

static void release_registration(struct mh_registration *e)
{
	free(e->id);
	free(e->service);
	free(e->address);
	free(e->zone);
	free(e->version);
}

static void set_doubtful_flag(struct mh_catalog *cat, struct row *r,
			      bool is_doubtful)
{
	cat->n_doubtful += is_doubtful;
	cat->n_doubtful -= r->reg.is_doubtful;
	r->reg.is_doubtful = is_doubtful;
}

static void free_row(struct mh_catalog *cat, struct row *r)
{
	set_doubtful_flag(cat, r, false);
	HASH_DEL(cat->rows, r);
	release_registration(&r->reg);
	free(r);
}

void mh_catalog_free(struct mh_catalog *cat)
{
	struct row *r, *next;

	if (!cat)
		return;
	HASH_ITER(hh, cat->rows, r, next)
		free_row(cat, r);
	free(cat);
}

static char *copy_text(const char *text)
{
	char *copy = strdup(text ? text : "");

	if (!copy)
		abort();
	return copy;
}

static void replace_text(char **to, const char *text)
{
	char *copy;

	if (*to && text && !strcmp(*to, text))
		return;
	copy = copy_text(text);
	free(*to);
	*to = copy;
}

static bool is_comparable(const struct mh_store_position *a,
			  const struct mh_store_position *b)
{
	return a->next && b->next && a->era == b->era;
}

/* A process that is told of changes only knows an old sequence: the store's order
 * decides whether a removal that it reads is newer. */
static bool is_newer(const struct mh_registration *old,
		     const struct mh_registration *update)
{
	if (is_comparable(&old->read_at, &update->read_at) &&
	    old->read_at.next != update->read_at.next)
		return update->read_at.next > old->read_at.next;
	if (update->born_ms != old->born_ms)
		return update->born_ms > old->born_ms;
	if (update->sequence != old->sequence)
		return update->sequence > old->sequence;
	return update->state == MH_SERVER_GONE && old->state != MH_SERVER_GONE;
}

static const char *version_of(const struct mh_registration *reg)
{
	return reg->version ? reg->version : "";
}

static bool differs(const struct mh_registration *a,
		    const struct mh_registration *b)
{
	return a->state != b->state || a->born_ms != b->born_ms ||
	       a->places != b->places || a->is_doubtful ||
	       strcmp(a->address, b->address) ||
	       strcmp(a->service, b->service) ||
	       strcmp(version_of(a), version_of(b));
}

static struct row *add_row(struct mh_catalog *cat, const char *id)
{
	struct row *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->reg.id = copy_text(id);
	r->reg.state = MH_SERVER_GONE;
	HASH_ADD_KEYPTR(hh, cat->rows, r->reg.id, strlen(r->reg.id), r);
	return r;
}

bool mh_catalog_update(struct mh_catalog *cat,
		       const struct mh_registration *update, uint64_t now_ns)
{
	struct row *r;
	bool changed;

	HASH_FIND_STR(cat->rows, update->id, r);
	if (r && !is_newer(&r->reg, update))
		return false;
	if (!r)
		r = add_row(cat, update->id);
	if (update->state == MH_SERVER_GONE) {
		changed = r->reg.state != MH_SERVER_GONE;
		r->reg.state = MH_SERVER_GONE;
		r->gone_ns = now_ns;
		replace_text(&r->reg.service, update->service);
		replace_text(&r->reg.address, update->address);
		replace_text(&r->reg.zone, update->zone);
	} else {
		changed = !r->reg.service || differs(&r->reg, update);
		replace_text(&r->reg.service, update->service);
		replace_text(&r->reg.address, update->address);
		replace_text(&r->reg.zone, update->zone);
		replace_text(&r->reg.version, update->version);
		r->reg.places = update->places;
		r->reg.state = update->state;
		r->reg.cold_remaining_ms = update->cold_remaining_ms;
	}
	r->reg.born_ms = update->born_ms;
	r->reg.sequence = update->sequence;
	r->reg.read_at = update->read_at;
	set_doubtful_flag(cat, r, false);
	if (changed)
		cat->changed(cat->data, &r->reg);
	return true;
}

static void remove_now(struct mh_catalog *cat, struct row *r, uint64_t now_ns)
{
	set_doubtful_flag(cat, r, false);
	r->gone_ns = now_ns;
	if (r->reg.state == MH_SERVER_GONE)
		return;
	r->reg.state = MH_SERVER_GONE;
	cat->changed(cat->data, &r->reg);
}

static bool defers_removal(const struct mh_catalog *cat, uint64_t now_ns)
{
	return !cat->store_ok ||
	       (cat->store_back_ns &&
		now_ns < cat->store_back_ns + REREGISTRATION_NS);
}

static void set_doubtful(struct mh_catalog *cat, struct row *r,
			 bool is_doubtful)
{
	if (r->reg.is_doubtful == is_doubtful)
		return;
	set_doubtful_flag(cat, r, is_doubtful);
	cat->changed(cat->data, &r->reg);
}

static void remove_row(struct mh_catalog *cat, struct row *r, uint64_t now_ns)
{
	if (is_comparable(&r->reg.read_at, &cat->read_at) &&
	    cat->read_at.next < r->reg.read_at.next)
		return;
	if (cat->read_at.next)
		r->reg.read_at = cat->read_at;
	if (r->reg.state != MH_SERVER_GONE && defers_removal(cat, now_ns))
		set_doubtful(cat, r, true);
	else
		remove_now(cat, r, now_ns);
}

void mh_catalog_read_at(struct mh_catalog *cat,
			const struct mh_store_position *at)
{
	cat->read_at = *at;
}

void mh_catalog_removed(struct mh_catalog *cat, const char *id, uint64_t now_ns)
{
	struct row *r;

	HASH_FIND_STR(cat->rows, id, r);
	if (r)
		remove_row(cat, r, now_ns);
}

void mh_catalog_set_store_ok(struct mh_catalog *cat, bool ok, uint64_t now_ns)
{
	if (ok && !cat->store_ok)
		cat->store_back_ns = now_ns;
	cat->store_ok = ok;
}

void mh_catalog_store_rewound(struct mh_catalog *cat, uint64_t now_ns)
{
	cat->store_back_ns = now_ns;
}

bool mh_catalog_defers_removals(const struct mh_catalog *cat)
{
	return cat->n_doubtful > 0;
}

void mh_catalog_listing_begin(struct mh_catalog *cat)
{
	struct row *r, *next;

	HASH_ITER(hh, cat->rows, r, next)
		r->listed = false;
}

void mh_catalog_listed(struct mh_catalog *cat, const char *id)
{
	struct row *r;

	HASH_FIND_STR(cat->rows, id, r);
	if (!r)
		return;
	r->listed = true;
	set_doubtful(cat, r, false);
}

void mh_catalog_listing_end(struct mh_catalog *cat, uint64_t now_ns)
{
	struct row *r, *next;

	HASH_ITER(hh, cat->rows, r, next) {
		if (!r->listed && r->reg.state != MH_SERVER_GONE)
			remove_row(cat, r, now_ns);
	}
}

void mh_catalog_tick(struct mh_catalog *cat, uint64_t now_ns)
{
	struct row *r, *next;

	if (defers_removal(cat, now_ns))
		return;
	HASH_ITER(hh, cat->rows, r, next) {
		if (r->reg.is_doubtful)
			remove_now(cat, r, now_ns);
		else if (r->reg.state == MH_SERVER_GONE && r->gone_ns &&
			 now_ns > r->gone_ns + GONE_RETENTION_NS)
			free_row(cat, r);
	}
}

const struct mh_registration *mh_catalog_find(const struct mh_catalog *cat,
					      const char *id)
{
	struct row *r;

	HASH_FIND_STR(cat->rows, id, r);
	return r ? &r->reg : NULL;
}

const struct mh_registration *
mh_catalog_newer(const struct mh_catalog *cat,
		 const struct mh_registration *theirs)
{
	const struct mh_registration *ours = mh_catalog_find(cat, theirs->id);

	return ours && is_newer(theirs, ours) ? ours : NULL;
}

void mh_catalog_each(const struct mh_catalog *cat,
		     void (*visit)(void *data,
				   const struct mh_registration *reg),
		     void *data)
{
	struct row *r, *next;

	HASH_ITER(hh, cat->rows, r, next)
		visit(data, &r->reg);
}
