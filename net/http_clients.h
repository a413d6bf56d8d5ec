/*
 * Budget of the clients of a libmicrohttpd server: counts connections and what
 * their requests hold, and ends those that core/client_budget.h names, by shutting
 * down their sockets. Used by all threads of the server.
 */
#ifndef MH_HTTP_CLIENTS_H
#define MH_HTTP_CLIENTS_H

#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/client_budget.h"
#include "core/counters.h"

struct mh_http_clients;

/**
 * mh_http_clients_new() - create an empty set
 * @conf: limits, copied
 * @max_request_bytes: memory that the largest allowed request needs
 * @counters: counters to increment
 *
 * Return: set, or NULL if out of memory.
 */
struct mh_http_clients *
mh_http_clients_new(const struct mh_client_budget_conf *conf,
		    uint64_t max_request_bytes, struct mh_counters *counters);

/**
 * mh_http_clients_free() - free a set whose server was stopped
 * @set: set or NULL
 */
void mh_http_clients_free(struct mh_http_clients *set);

/**
 * mh_http_clients_limit() - connection limit for libmicrohttpd
 * @set: set
 *
 * Is above the set's limit, as the ends of evicted connections come a little later.
 */
unsigned int mh_http_clients_limit(const struct mh_http_clients *set);

/**
 * mh_http_clients_notify() - callback for MHD_OPTION_NOTIFY_CONNECTION
 * @cls: set
 * @conn: connection
 * @ctx: where libmicrohttpd keeps the connection's entry in the set
 * @code: whether the connection begins or ends
 */
void mh_http_clients_notify(void *cls, struct MHD_Connection *conn, void **ctx,
			    enum MHD_ConnectionNotificationCode code);

/**
 * mh_http_clients_set_stage() - tell the stage of a connection
 * @set: set
 * @conn: connection
 * @stage: stage; MH_CLIENT_IDLE also ends what its request held
 */
void mh_http_clients_set_stage(struct mh_http_clients *set,
			       struct MHD_Connection *conn,
			       enum mh_client_stage stage);

/**
 * mh_http_clients_hold() - ask for memory for a request that is being read
 * @set: set
 * @conn: connection
 * @bytes: memory that its body will hold in total
 * @received: bytes of it that were received just now
 *
 * Return: false if there is no room; what the body holds has to be freed then. An
 * evicted request of another connection gives up its memory a little later.
 */
bool mh_http_clients_hold(struct mh_http_clients *set,
			  struct MHD_Connection *conn, uint64_t bytes,
			  uint64_t received);

#endif
