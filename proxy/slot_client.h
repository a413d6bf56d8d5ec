/*
 * Requests slots at backend servers for an entry's requests: from the
 * dispatcher that all entries agree on or, while none is reachable, from this
 * entry's share of each server's slots.
 */
#ifndef MH_SLOT_CLIENT_H
#define MH_SLOT_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/catalog.h"
#include "core/dispatch.h"
#include "core/rollout.h"
#include "core/routes.h"
#include "core/store_era.h"
#include "core/store_reads.h"
#include "net/event_log.h"
#include "net/link.h"
#include "proxy/notice_relay.h"

/**
 * struct mh_slot_client_ops - events
 * @granted: the request holds a slot at this server
 * @refused: the request gets no slot
 * @move: release the slot and request another one
 * @document: a peer sent this configuration document
 * @suspect: other entries should learn of what the local dispatcher recorded
 * @hedge: the request holds a second slot as well, at this server; it is to be
 *         released by the number mh_hedge_id()
 */
struct mh_slot_client_ops {
	void (*granted)(void *data, uint64_t id,
			const struct mh_server_ref *server);
	void (*refused)(void *data, uint64_t id, enum mh_error error,
			uint32_t retry_after_ms);
	void (*move)(void *data, uint64_t id);
	void (*document)(void *data, uint64_t version, const uint8_t *bytes,
			 size_t len);
	void (*suspect)(void *data, const struct mh_suspect *suspect);
	void (*hedge)(void *data, uint64_t id,
		      const struct mh_server_ref *server);
};

/**
 * struct mh_slot_client_conf - configuration
 * @host: name of this host
 * @zone: its availability zone
 * @key: shared link key
 * @dispatch: bounds of the local dispatcher
 * @rollouts: bounds of roll-outs
 * @notices: what servers asked for; the slot client adds to it
 * @metrics: metrics that show limits of servers
 * @store_era: era of the store, learned from dispatchers as well
 * @seeds: addresses of dispatchers to begin with, "ip:port"
 * @n_seeds: number of elements in @seeds
 */
struct mh_slot_client_conf {
	const char *host;
	const char *zone;
	const uint8_t *key;
	struct mh_dispatch_conf dispatch;
	struct mh_rollout_conf rollouts;
	struct mh_server_notices *notices;
	struct mh_metrics *metrics;
	struct mh_store_era *store_era;
	char *const *seeds;
	size_t n_seeds;
};

struct mh_slot_client;

/**
 * mh_slot_client_new() - create a slot client without a dispatcher
 * @loop: loop
 * @clock: clock
 * @conf: its strings must outlive the slot client
 * @counters: counters to increment
 * @log: log
 * @ops: events
 * @data: first argument of @ops
 */
struct mh_slot_client *
mh_slot_client_new(struct mh_loop *loop, const struct mh_clock *clock,
		   const struct mh_slot_client_conf *conf,
		   struct mh_counters *counters, struct mh_event_log *log,
		   const struct mh_slot_client_ops *ops, void *data);

/**
 * mh_slot_client_free() - free all requests and close all links
 * @sc: slot client or NULL
 */
void mh_slot_client_free(struct mh_slot_client *sc);

/**
 * mh_slot_client_add_dispatcher() - add a dispatcher that the store lists, or
 *                                   change its address
 * @sc: slot client
 * @name: name of its host
 * @address: "ip:port" of its links
 */
void mh_slot_client_add_dispatcher(struct mh_slot_client *sc, const char *name,
				   const char *address);

/**
 * mh_slot_client_set_seeds() - replace the addresses of dispatchers to begin
 *                              with
 * @sc: slot client
 * @seeds: copied
 * @n: number of elements in @seeds
 */
void mh_slot_client_set_seeds(struct mh_slot_client *sc, char *const *seeds,
			      size_t n);

/**
 * mh_slot_client_set_registered() - set the number of entries in the store
 * @sc: slot client
 * @entries: number, 0 if the store was not read yet
 */
void mh_slot_client_set_registered(struct mh_slot_client *sc, uint32_t entries);

/**
 * mh_slot_client_set_routes() - apply a configuration
 * @sc: slot client
 * @routes: the configuration
 */
void mh_slot_client_set_routes(struct mh_slot_client *sc,
			       const struct mh_routes *routes);

/**
 * mh_slot_client_set_conf() - apply changed bounds from the settings
 * @sc: slot client
 * @conf: bounds
 * @rollouts: bounds of roll-outs
 */
void mh_slot_client_set_conf(struct mh_slot_client *sc,
			     const struct mh_dispatch_conf *conf,
			     const struct mh_rollout_conf *rollouts);

/**
 * mh_slot_client_forward_state() - send the dispatcher what this entry read
 *                                  from the store
 * @sc: slot client
 * @version: version of the document
 * @bytes: newest document, may be NULL
 * @len: length of @bytes
 */
void mh_slot_client_forward_state(struct mh_slot_client *sc, uint64_t version,
				  const uint8_t *bytes, size_t len);

/**
 * mh_slot_client_catalog() - servers, as reported by dispatchers or read
 *                            from the store
 * @sc: slot client
 */
struct mh_catalog *mh_slot_client_catalog(struct mh_slot_client *sc);

/**
 * mh_slot_client_may_send() - whether this entry knows that a server takes requests
 * @sc: slot client
 * @server: server of a slot that was granted
 *
 * A dispatcher that was cut off from the store may grant slots of a server whose
 * removal others have told this entry of.
 */
bool mh_slot_client_may_send(const struct mh_slot_client *sc,
			     const struct mh_server_ref *server);

/**
 * mh_slot_client_allows_version() - whether the roll-outs that this entry knows of
 *                                   allow a request at a server
 * @sc: slot client
 * @server: server of a slot that was granted
 *
 * A slot may have been granted before its version was rolled back.
 */
bool mh_slot_client_allows_version(const struct mh_slot_client *sc,
				   const struct mh_server_ref *server);

/**
 * mh_slot_client_order() - apply an order to roll out a version
 * @sc: slot client
 * @order: order that this entry read from the store
 */
enum mh_rollout_order_result
mh_slot_client_order(struct mh_slot_client *sc,
		     const struct mh_rollout_order *order);

/**
 * mh_slot_client_rollouts() - roll-outs that this entry knows of
 * @sc: slot client
 */
struct mh_rollouts *mh_slot_client_rollouts(const struct mh_slot_client *sc);

/**
 * mh_slot_client_send_registration() - tell the dispatcher in use what this entry
 *                                      knows of a server
 * @sc: slot client
 * @server: server
 */
void mh_slot_client_send_registration(struct mh_slot_client *sc,
				      const struct mh_server_ref *server);

/**
 * mh_slot_client_request() - request a slot; events may arrive before this
 *                            returns
 * @sc: slot client
 * @slot_req: copied; its owner is ignored
 */
void mh_slot_client_request(struct mh_slot_client *sc,
			    const struct mh_slot_request *slot_req);

/**
 * mh_slot_client_first_byte() - report the first byte of a response
 * @sc: slot client
 * @id: request
 * @first_ms: time since the request was sent
 */
void mh_slot_client_first_byte(struct mh_slot_client *sc, uint64_t id,
			       uint32_t first_ms);

/**
 * mh_slot_client_release() - release a slot, or stop waiting for one
 * @sc: slot client
 * @id: request
 * @outcome: how it ended
 * @total_ms: time since the request was sent, 0 if it was not
 * @events: of the stream that the server sent
 */
void mh_slot_client_release(struct mh_slot_client *sc, uint64_t id,
			    enum mh_slot_outcome outcome, uint32_t total_ms,
			    uint32_t events);

/**
 * mh_slot_client_server_probed() - report that a server accepts connections
 *                                  just after a run was lost there
 * @sc: slot client
 * @server: server
 */
void mh_slot_client_server_probed(struct mh_slot_client *sc,
				  const struct mh_server_ref *server);

/**
 * mh_slot_client_sharing() - number of entries that share the servers when there
 *                            is no dispatcher, at least
 * @sc: slot client
 */
uint32_t mh_slot_client_sharing(const struct mh_slot_client *sc);

/**
 * mh_slot_client_merge_suspect() - add what another entry knows of a suspect
 * @sc: slot client
 * @suspect: its record
 */
void mh_slot_client_merge_suspect(struct mh_slot_client *sc,
				  const struct mh_suspect *suspect);

/**
 * mh_slot_client_local() - local dispatcher
 * @sc: slot client
 */
const struct mh_dispatch *mh_slot_client_local(const struct mh_slot_client *sc);

/**
 * mh_slot_client_notices() - relay of what servers asked for
 * @sc: slot client
 */
const struct mh_notice_relay *
mh_slot_client_notices(const struct mh_slot_client *sc);

/**
 * mh_slot_client_store_reads() - what decides what this entry reads from the
 *                                store
 * @sc: slot client
 */
struct mh_store_reads
mh_slot_client_store_reads(const struct mh_slot_client *sc);

/**
 * mh_slot_client_heartbeat_ns() - time of the current dispatcher's last
 *                                 heartbeat
 * @sc: slot client
 *
 * Return: monotonic time, 0 without a dispatcher.
 */
uint64_t mh_slot_client_heartbeat_ns(const struct mh_slot_client *sc);

/**
 * mh_slot_client_is_ready() - whether slots can be requested: a dispatcher
 *                             is fit or a server has registered as ready
 * @sc: slot client
 */
bool mh_slot_client_is_ready(const struct mh_slot_client *sc);

/**
 * mh_slot_client_tick() - maintain links, run timers and send queued frames
 * @sc: slot client
 *
 * Return: monotonic time of the next tick.
 */
uint64_t mh_slot_client_tick(struct mh_slot_client *sc);

#endif
