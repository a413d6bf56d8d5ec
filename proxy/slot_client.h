/*
 * Gets places at backend servers for an entry's requests: from the dispatcher
 * that all entries agree on, or, while none can be reached, from a part of
 * each server's places that is this entry's own.
 */
#ifndef MH_SLOT_CLIENT_H
#define MH_SLOT_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/catalog.h"
#include "core/dispatch.h"
#include "core/routes.h"
#include "net/event_log.h"
#include "net/link.h"

/**
 * struct mh_slot_client_ops - answers
 * @granted: send the request to this server
 * @refused: the request gets no place
 * @move: give the place back and ask for another one
 * @document: a peer holds this configuration
 */
struct mh_slot_client_ops {
	void (*granted)(void *data, uint64_t id, const char *server,
			const char *address);
	void (*refused)(void *data, uint64_t id, enum mh_error error,
			uint32_t retry_after_ms);
	void (*move)(void *data, uint64_t id);
	void (*document)(void *data, uint64_t version, const uint8_t *bytes,
			 size_t len);
};

/**
 * struct mh_slot_client_conf - who asks
 * @host: name of this host
 * @zone: its availability zone
 * @key: shared link key
 * @dispatch: bounds for the entry's own part
 */
struct mh_slot_client_conf {
	const char *host;
	const char *zone;
	const uint8_t *key;
	struct mh_dispatch_conf dispatch;
};

struct mh_slot_client;

/**
 * mh_slot_client_new() - create a slot_client that knows no dispatcher
 * @loop: loop
 * @clock: clock
 * @conf: strings have to stay
 * @counters: where to count
 * @log: log
 * @ops: answers
 * @data: first argument of @ops
 */
struct mh_slot_client *
mh_slot_client_new(struct mh_loop *loop, const struct mh_clock *clock,
		   const struct mh_slot_client_conf *conf,
		   struct mh_counters *counters, struct mh_event_log *log,
		   const struct mh_slot_client_ops *ops, void *data);

/**
 * mh_slot_client_free() - drop all requests and links
 * @p: slot_client or NULL
 */
void mh_slot_client_free(struct mh_slot_client *p);

/**
 * mh_slot_client_set_candidate() - a process that can dispatch is at this address
 * @p: slot_client
 * @name: name of its host
 * @address: "ip:port" of its links, NULL: it is no candidate any more
 */
void mh_slot_client_set_candidate(struct mh_slot_client *p, const char *name,
				  const char *address);

/**
 * mh_slot_client_set_routes() - a configuration came into force
 * @p: slot_client
 * @routes: the configuration
 */
void mh_slot_client_set_routes(struct mh_slot_client *p,
			       const struct mh_routes *routes);

/**
 * mh_slot_client_set_conf() - the settings' bounds changed
 * @p: slot_client
 * @conf: bounds
 */
void mh_slot_client_set_conf(struct mh_slot_client *p,
			     const struct mh_dispatch_conf *conf);

/**
 * mh_slot_client_forward_state() - pass on to the dispatcher what this entry read itself
 * @p: slot_client
 * @version: version of the document
 * @bytes: newest document, may be NULL
 * @len: length of @bytes
 */
void mh_slot_client_forward_state(struct mh_slot_client *p, uint64_t version,
				  const uint8_t *bytes, size_t len);

/**
 * mh_slot_client_catalog() - servers, as told by dispatchers or the entry's feed
 * @p: slot_client
 */
struct mh_catalog *mh_slot_client_catalog(struct mh_slot_client *p);

/**
 * mh_slot_client_request() - ask for a place; may be answered before this returns
 * @p: slot_client
 * @ask: copied; @owner is ignored
 */
void mh_slot_client_request(struct mh_slot_client *p, const struct mh_ask *ask);

/**
 * mh_slot_client_first_byte() - the server began to answer
 * @p: slot_client
 * @id: request
 * @first_ms: time since it was sent
 */
void mh_slot_client_first_byte(struct mh_slot_client *p, uint64_t id,
			       uint32_t first_ms);

/**
 * mh_slot_client_release() - give a place back, or stop waiting for one
 * @p: slot_client
 * @id: request
 * @outcome: how it ended
 * @total_ms: time since it was sent
 */
void mh_slot_client_release(struct mh_slot_client *p, uint64_t id,
			    enum mh_place_outcome outcome, uint32_t total_ms);

/**
 * mh_slot_client_store_readers() - entries that read the store themselves as this one does
 * @p: slot_client
 *
 * Return: 0 while a dispatcher reads it for all.
 */
double mh_slot_client_store_readers(const struct mh_slot_client *p);

/**
 * mh_slot_client_heartbeat_ns() - when the dispatcher in use last said how it stands
 * @p: slot_client
 *
 * Return: monotonic time, 0 if none is in use.
 */
uint64_t mh_slot_client_heartbeat_ns(const struct mh_slot_client *p);

/**
 * mh_slot_client_is_ready() - whether servers are known
 * @p: slot_client
 */
bool mh_slot_client_is_ready(const struct mh_slot_client *p);

/**
 * mh_slot_client_tick() - keep links, act on timers, send what is due
 * @p: slot_client
 *
 * Return: monotonic time of the next tick.
 */
uint64_t mh_slot_client_tick(struct mh_slot_client *p);

#endif
