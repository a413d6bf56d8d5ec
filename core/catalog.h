/*
 * Registrations of backend servers: the newest one of each server, merged from
 * the platform's store and from peers in any order. Older registrations, those
 * of former incarnations, and expiry during an outage of the store change
 * nothing.
 */
#ifndef MH_CATALOG_H
#define MH_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum mh_server_state {
	MH_SERVER_READY,
	MH_SERVER_DRAINING, /* finishes its requests, takes no new ones */
	MH_SERVER_GONE,	    /* its registration was removed */
};

/**
 * struct mh_store_position - point in the history of the store's registrations
 * @era: era of the store
 * @next: offset of the next record, 0 if not known
 *
 * Orders what processes read at different times. Offsets of different eras can't be
 * compared.
 */
struct mh_store_position {
	uint64_t era;
	uint64_t next;
};

/**
 * struct mh_registration - registration of a backend server
 * @id: identifier, the same after a restart in place
 * @service: service that it belongs to
 * @address: "ip:port"
 * @zone: availability zone
 * @version: version of what it runs, "" or NULL if not given
 * @places: number of its slots, the requests that it runs at a time
 * @state: whether it takes requests
 * @born_ms: Unix time of its start, 0 if not given
 * @sequence: increases with each registration of one incarnation
 * @read_at: the record that tells of it, or the reading that found it removed
 * @cold_remaining_ms: how much longer it stays slow after its start
 * @is_doubtful: the registration was removed, or had lapsed as the store was away:
 *               the server may be gone
 */
struct mh_registration {
	char *id;
	char *service;
	char *address;
	char *zone;
	char *version;
	uint32_t places;
	enum mh_server_state state;
	uint64_t born_ms;
	uint64_t sequence;
	struct mh_store_position read_at;
	uint32_t cold_remaining_ms;
	bool is_doubtful;
};

struct mh_catalog;

/**
 * mh_catalog_new() - create an empty catalog
 * @changed: called when the state, service, address, version, slots or
 *           incarnation of a server changed
 * @data: first argument of @changed
 */
struct mh_catalog *mh_catalog_new(
	void (*changed)(void *data, const struct mh_registration *updated),
	void *data);

/**
 * mh_catalog_free() - free a catalog
 * @cat: catalog or NULL
 */
void mh_catalog_free(struct mh_catalog *cat);

/**
 * mh_catalog_update() - apply a registration from a server or a peer
 * @cat: catalog
 * @update: copied; with state MH_SERVER_GONE @places and @cold_remaining_ms
 *          and @version are ignored, and @service, @address and @zone may be NULL
 * @now_ns: monotonic time
 *
 * Return: whether it is newer than what the catalog held.
 */
bool mh_catalog_update(struct mh_catalog *cat,
		       const struct mh_registration *update, uint64_t now_ns);

/**
 * mh_catalog_read_at() - set the position of what is recorded next
 * @cat: catalog
 * @at: position; initially not known
 *
 * Applies to removals and to the end of a listing.
 */
void mh_catalog_read_at(struct mh_catalog *cat,
			const struct mh_store_position *at);

/**
 * mh_catalog_removed() - record that a registration was removed from the store
 * @cat: catalog
 * @id: server
 * @now_ns: monotonic time
 *
 * Takes effect at once while the store can be read. After failed reads it is
 * deferred until live servers have had time to register again; the server is
 * doubtful until then. Only a reader that went on reading meanwhile can tell an
 * outage from a cut of the other one's path.
 */
void mh_catalog_removed(struct mh_catalog *cat, const char *id,
			uint64_t now_ns);

/**
 * mh_catalog_set_store_ok() - set whether the store can be read
 * @cat: catalog
 * @ok: the last read succeeded
 * @now_ns: monotonic time
 */
void mh_catalog_set_store_ok(struct mh_catalog *cat, bool ok, uint64_t now_ns);

/**
 * mh_catalog_store_rewound() - record that the store came back from an older copy
 * @cat: catalog
 * @now_ns: monotonic time
 *
 * Defers removals as after an outage: the copy may lack servers that register
 * again.
 */
void mh_catalog_store_rewound(struct mh_catalog *cat, uint64_t now_ns);

/**
 * mh_catalog_defers_removals() - whether a server is doubtful
 * @cat: catalog
 */
bool mh_catalog_defers_removals(const struct mh_catalog *cat);

/**
 * mh_catalog_listing_begin() - begin a full listing of the store
 * @cat: catalog
 */
void mh_catalog_listing_begin(struct mh_catalog *cat);

/**
 * mh_catalog_listed() - record that the store has a registration of a server
 * @cat: catalog
 * @id: server
 */
void mh_catalog_listed(struct mh_catalog *cat, const char *id);

/**
 * mh_catalog_listing_end() - remove the servers that were not listed
 * @cat: catalog
 * @now_ns: monotonic time
 */
void mh_catalog_listing_end(struct mh_catalog *cat, uint64_t now_ns);

/**
 * mh_catalog_tick() - carry out deferred removals, forget servers that have
 *                     been gone for long
 * @cat: catalog
 * @now_ns: monotonic time
 */
void mh_catalog_tick(struct mh_catalog *cat, uint64_t now_ns);

/**
 * mh_catalog_find() - newest registration of a server
 * @cat: catalog
 * @id: server
 *
 * Return: NULL if the server is unknown.
 */
const struct mh_registration *mh_catalog_find(const struct mh_catalog *cat,
					      const char *id);

/**
 * mh_catalog_newer() - registration that is newer than a peer's
 * @cat: catalog
 * @theirs: what the peer knows
 *
 * Return: for the peer to be told, NULL if there is none.
 */
const struct mh_registration *
mh_catalog_newer(const struct mh_catalog *cat,
		 const struct mh_registration *theirs);

/**
 * mh_catalog_each() - walk all servers, including those in state MH_SERVER_GONE
 * @cat: catalog
 * @visit: called for each
 * @data: first argument of @visit
 */
void mh_catalog_each(const struct mh_catalog *cat,
		     void (*visit)(void *data,
				   const struct mh_registration *reg),
		     void *data);

#endif
