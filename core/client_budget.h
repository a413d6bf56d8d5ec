/*
 * Budget of what clients make a process hold: bytes of memory and connections.
 * Counts both, and decides which client is evicted when one of them runs out.
 * The caller evicts; it does no I/O of its own.
 *
 * Connections are kept in one list for each stage, in the order of their last
 * progress, so that each decision but one costs the same for any number of them.
 * The exception looks at the unfinished requests of more than
 * MH_CLIENT_SMALL_BYTES, whose number the budget bounds.
 */
#ifndef MH_CLIENT_BUDGET_H
#define MH_CLIENT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "core/clock.h"

/* Requests that hold more than this may use three quarters of the bytes only. The
 * rest is left for ordinary requests. */
#define MH_CLIENT_SMALL_BYTES (64u << 10)
/* A request makes progress each time that so many of its bytes were received, and
 * is stalled after this time without. A client with 2 KB/s is not stalled. */
#define MH_CLIENT_PROGRESS_BYTES 1024
#define MH_CLIENT_STALLED_NS (500 * MH_NS_PER_MS)
/* A new connection is given this time to send its first byte before it is closed
 * for others, as long as there is a connection to close that is older. */
#define MH_CLIENT_FRESH_NS (100 * MH_NS_PER_MS)

enum mh_client_stage {
	MH_CLIENT_LEAVING, /* was answered, and only its end is awaited */
	MH_CLIENT_FRESH,   /* has not sent a byte yet */
	MH_CLIENT_IDLE,	   /* between two requests */
	MH_CLIENT_READING, /* its request is incomplete */
	MH_CLIENT_BUSY,	   /* its request is complete; never evicted */
	MH_CLIENT_STAGES,
};

/**
 * struct mh_client_usage - what one connection holds; part of the caller's struct
 * @stage: stage of the connection
 * @is_large: it is on the list of large unfinished requests
 * @bytes: memory that it holds
 * @began_ns: when its request began
 * @moved_ns: when it last made progress
 * @unmoved_bytes: bytes that were received since then
 * @prev: list of its stage
 * @next: the same
 *
 * All members are private.
 */
struct mh_client_usage {
	enum mh_client_stage stage;
	bool is_large;
	uint64_t bytes;
	uint64_t began_ns;
	uint64_t moved_ns;
	uint64_t unmoved_bytes;
	struct mh_client_usage *prev, *next;
};

/**
 * struct mh_client_budget_conf - limits
 * @max_bytes: memory of all clients
 * @max_connections: connections of all clients
 */
struct mh_client_budget_conf {
	uint64_t max_bytes;
	uint32_t max_connections;
};

/**
 * struct mh_client_budget - budget of one process; all members are private
 * @conf: limits as configured
 * @max_request_bytes: size of a request that must fit
 * @bytes: memory that all connections hold
 * @large_bytes: the part of connections that hold more than
 *	MH_CLIENT_SMALL_BYTES
 * @n: number of connections
 * @lists: connections by stage
 * @large: connections whose incomplete request is large
 * @clock: clock
 */
struct mh_client_budget {
	struct mh_client_budget_conf conf;
	uint64_t max_request_bytes;
	uint64_t bytes;
	uint64_t large_bytes;
	uint32_t n;
	struct mh_client_usage *lists[MH_CLIENT_STAGES];
	struct mh_client_usage *large;
	const struct mh_clock *clock;
};

/**
 * mh_client_budget_init() - prepare an empty budget
 * @b: budget
 * @conf: limits
 * @clock: clock
 */
void mh_client_budget_init(struct mh_client_budget *b,
			   const struct mh_client_budget_conf *conf,
			   const struct mh_clock *clock);

/**
 * mh_client_budget_set_request() - set the size of the largest allowed request
 * @b: budget
 * @bytes: memory that one such request needs
 *
 * The budget of bytes is raised where it would not hold a single one.
 */
void mh_client_budget_set_request(struct mh_client_budget *b, uint64_t bytes);

/**
 * mh_client_budget_add() - add a connection, which is fresh
 * @b: budget
 * @u: its usage
 * @bytes: memory that it holds
 */
void mh_client_budget_add(struct mh_client_budget *b, struct mh_client_usage *u,
			  uint64_t bytes);

/**
 * mh_client_budget_remove() - remove a connection
 * @b: budget
 * @u: its usage
 */
void mh_client_budget_remove(struct mh_client_budget *b,
			     struct mh_client_usage *u);

/**
 * mh_client_budget_set_stage() - move a connection to another stage
 * @b: budget
 * @u: its usage
 * @stage: stage; the same one again changes nothing
 */
void mh_client_budget_set_stage(struct mh_client_budget *b,
				struct mh_client_usage *u,
				enum mh_client_stage stage);

/**
 * mh_client_budget_received() - note that bytes of a request were received
 * @b: budget
 * @u: usage of the connection
 * @bytes: number of bytes
 */
void mh_client_budget_received(struct mh_client_budget *b,
			       struct mh_client_usage *u, uint64_t bytes);

/**
 * mh_client_budget_set_bytes() - set the memory that a connection holds
 * @b: budget
 * @u: usage of the connection
 * @bytes: memory
 */
void mh_client_budget_set_bytes(struct mh_client_budget *b,
				struct mh_client_usage *u, uint64_t bytes);

/**
 * mh_client_budget_has_room() - whether more memory may be used
 * @b: budget
 * @more: bytes
 *
 * For what can wait, such as the bytes of a later request.
 */
bool mh_client_budget_has_room(const struct mh_client_budget *b, uint64_t more);

/**
 * mh_client_budget_is_full() - whether there are as many connections as allowed
 * @b: budget
 */
bool mh_client_budget_is_full(const struct mh_client_budget *b);

/**
 * mh_client_budget_connection_victim() - connection to close for a new one
 * @b: budget
 *
 * In this order: connections that were answered; those that stayed silent; idle
 * ones; stalled requests; the oldest one that has not sent anything.
 *
 * Return: NULL if none may be closed.
 */
struct mh_client_usage *
mh_client_budget_connection_victim(const struct mh_client_budget *b);

/**
 * mh_client_budget_bytes_victim() - request to evict so that another may grow
 * @b: budget
 * @u: connection whose request is incomplete
 * @more: memory that it needs in addition
 *
 * To be called again after an eviction. Stalled requests go first, the one before
 * the others whose memory times its time without progress is greatest, then idle
 * connections. If there are none, the large request that began last goes, so that
 * the first ones reach their end; that may be @u, as it is if @u is small.
 *
 * Return: NULL if the memory may be used, otherwise whom to evict.
 */
struct mh_client_usage *
mh_client_budget_bytes_victim(const struct mh_client_budget *b,
			      struct mh_client_usage *u, uint64_t more);

/**
 * mh_client_budget_limit() - limit of bytes in force
 * @b: budget
 */
uint64_t mh_client_budget_limit(const struct mh_client_budget *b);

#endif
