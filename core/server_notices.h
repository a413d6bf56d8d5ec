/*
 * What backend servers asked of this host in their responses: a server that
 * leaves gets no further requests, one that asked for a pause gets none until
 * its end. The limit that one states concerns all hosts together, so dispatchers
 * keep it; here it is known to be told to them. A notice holds for one incarnation
 * of a server.
 */
#ifndef MH_SERVER_NOTICES_H
#define MH_SERVER_NOTICES_H

#include <stdbool.h>
#include <stdint.h>

#include "core/clock.h"
#include "core/server_limit.h"

/* Longest pause that is honoured. */
#define MH_PAUSE_MAX_MS 600000

/**
 * struct mh_server_ref - one incarnation of a backend server
 * @id: identifier
 * @address: "ip:port"
 * @born_ms: Unix time of its start, 0 if not known
 */
struct mh_server_ref {
	const char *id;
	const char *address;
	uint64_t born_ms;
};

/**
 * struct mh_server_notice - what a server asked for
 * @server: its identifier
 * @born_ms: Unix time of its start, 0 if not known
 * @is_leaving: it leaves
 * @pause_until_ns: monotonic time until which it wants no requests, 0 if it
 *                  asked for no pause
 * @limit: limit that it stated
 */
struct mh_server_notice {
	const char *server;
	uint64_t born_ms;
	bool is_leaving;
	uint64_t pause_until_ns;
	struct mh_server_limit limit;
};

/**
 * mh_server_notice_pause_ms() - rest of a pause
 * @notice: notice
 * @now_ns: monotonic time
 *
 * Return: time in ms, rounded up; 0 without a pause.
 */
uint32_t mh_server_notice_pause_ms(const struct mh_server_notice *notice,
				   uint64_t now_ns);

/* Whether a request may be sent to a server. */
enum mh_send_verdict {
	MH_SEND_ALLOWED,
	MH_SEND_LEAVING,
	MH_SEND_PAUSED,
	MH_SEND_UNREGISTERED, /* draining or removed, as its registration says */
	MH_SEND_EXCLUDED,     /* its version gets no requests by a roll-out */
	MH_SEND_VERDICTS,
};

/**
 * mh_send_verdict_name() - word of a verdict for logs
 * @verdict: verdict
 */
const char *mh_send_verdict_name(enum mh_send_verdict verdict);

struct mh_server_notices;

/**
 * mh_server_notices_new() - create an empty set
 * @clock: clock
 */
struct mh_server_notices *mh_server_notices_new(const struct mh_clock *clock);

/**
 * mh_server_notices_free() - free a set
 * @set: set or NULL
 */
void mh_server_notices_free(struct mh_server_notices *set);

/**
 * mh_server_notices_add_leaving() - record that a server leaves
 * @set: set
 * @server: server that said so
 *
 * Return: whether this is new.
 */
bool mh_server_notices_add_leaving(struct mh_server_notices *set,
				   const struct mh_server_ref *server);

/**
 * mh_server_notices_add_pause() - record that a server wants no requests
 * @set: set
 * @server: server that said so
 * @ms: for how long, at most MH_PAUSE_MAX_MS
 *
 * Of several pauses the latest end holds.
 *
 * Return: whether the pause ends later than was known.
 */
bool mh_server_notices_add_pause(struct mh_server_notices *set,
				 const struct mh_server_ref *server,
				 uint32_t ms);

/**
 * mh_server_notices_update_limit() - record what a server stated of its limit
 * @set: set
 * @server: server
 * @stated: statement
 *
 * Return: what it changed.
 */
enum mh_limit_change
mh_server_notices_update_limit(struct mh_server_notices *set,
			       const struct mh_server_ref *server,
			       const struct mh_server_limit *stated);

/**
 * mh_server_notices_has_limit() - whether a limit of a server holds
 * @set: set
 * @server: server
 */
bool mh_server_notices_has_limit(const struct mh_server_notices *set,
				 const struct mh_server_ref *server);

/**
 * mh_server_notices_check() - whether a request may be sent to a server
 * @set: set
 * @server: server
 */
enum mh_send_verdict
mh_server_notices_check(const struct mh_server_notices *set,
			const struct mh_server_ref *server);

/**
 * mh_server_notices_find() - the notice that holds for a server
 * @set: set
 * @server: server
 *
 * Return: notice, valid until the next change, or NULL if there is none.
 */
const struct mh_server_notice *
mh_server_notices_find(const struct mh_server_notices *set,
		       const struct mh_server_ref *server);

/**
 * mh_server_notices_each() - walk the notices that hold
 * @set: set
 * @visit: called for each
 * @data: first argument of @visit
 */
void mh_server_notices_each(
	const struct mh_server_notices *set,
	void (*visit)(void *data, const struct mh_server_notice *notice),
	void *data);

#endif
