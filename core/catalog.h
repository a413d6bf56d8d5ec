/*
 * Backend servers as they register themselves: the newest word on each, merged
 * from the platform's store and from peers in any order. Old words, words of
 * former incarnations and lapses during an outage of the store change nothing.
 */
#ifndef MH_CATALOG_H
#define MH_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum mh_server_state {
	MH_SERVER_READY,
	MH_SERVER_DRAINING, /* finishes what it has, takes nothing new */
	MH_SERVER_GONE,	    /* its registration was removed */
};

/**
 * struct mh_registration - registration of a backend server
 * @id: identifier, the same after a restart in place
 * @service: service that it belongs to
 * @address: "ip:port"
 * @zone: availability zone
 * @places: requests that it runs at a time
 * @state: what it takes
 * @born_ms: Unix time of its start, 0 if not told
 * @sequence: increases with each word of one incarnation
 * @cold_remaining_ms: how much longer it stays slow after its start
 */
struct mh_registration {
	char *id;
	char *service;
	char *address;
	char *zone;
	uint32_t places;
	enum mh_server_state state;
	uint64_t born_ms;
	uint64_t sequence;
	uint32_t cold_remaining_ms;
};

struct mh_catalog;

/**
 * mh_catalog_new() - create an empty catalog
 * @changed: called when the state, place or incarnation of a server changed
 * @data: first argument of @changed
 */
struct mh_catalog *
mh_catalog_new(void (*changed)(void *data, const struct mh_registration *now),
	       void *data);

/**
 * mh_catalog_free() - free a catalog
 * @cat: catalog or NULL
 */
void mh_catalog_free(struct mh_catalog *cat);

/**
 * mh_catalog_update() - take a word of or about a server
 * @cat: catalog
 * @word: copied; with state MH_SERVER_GONE only @id, @born_ms and @sequence
 *        count
 * @now_ns: monotonic time
 *
 * Return: whether it was news.
 */
bool mh_catalog_update(struct mh_catalog *cat,
		       const struct mh_registration *word, uint64_t now_ns);

/**
 * mh_catalog_removed() - a registration was removed from the store
 * @cat: catalog
 * @id: server
 * @now_ns: monotonic time
 *
 * Takes effect at once while the store is sound, else after the time that
 * living servers have to register again.
 */
void mh_catalog_removed(struct mh_catalog *cat, const char *id,
			uint64_t now_ns);

/**
 * mh_catalog_set_store_ok() - whether the store could be read
 * @cat: catalog
 * @ok: it could
 * @now_ns: monotonic time
 */
void mh_catalog_set_store_ok(struct mh_catalog *cat, bool ok, uint64_t now_ns);

/**
 * mh_catalog_listing_begin() - a full listing of the store follows
 * @cat: catalog
 */
void mh_catalog_listing_begin(struct mh_catalog *cat);

/**
 * mh_catalog_listed() - the listing names a server
 * @cat: catalog
 * @id: server
 */
void mh_catalog_listed(struct mh_catalog *cat, const char *id);

/**
 * mh_catalog_listing_end() - servers that were not listed are removed
 * @cat: catalog
 * @now_ns: monotonic time
 */
void mh_catalog_listing_end(struct mh_catalog *cat, uint64_t now_ns);

/**
 * mh_catalog_tick() - act on removals whose time has come
 * @cat: catalog
 * @now_ns: monotonic time
 */
void mh_catalog_tick(struct mh_catalog *cat, uint64_t now_ns);

/**
 * mh_catalog_find() - newest word on a server
 * @cat: catalog
 * @id: server
 */
const struct mh_registration *mh_catalog_find(const struct mh_catalog *cat,
					      const char *id);

/**
 * mh_catalog_each() - walk all servers, those that are gone as well
 * @cat: catalog
 * @visit: called for each
 * @data: first argument of @visit
 */
void mh_catalog_each(const struct mh_catalog *cat,
		     void (*visit)(void *data,
				   const struct mh_registration *entry),
		     void *data);

#endif
