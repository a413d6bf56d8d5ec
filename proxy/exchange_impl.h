/*
 * Internals of an exchange, shared by the exchange_*.c files.
 */
#ifndef MH_EXCHANGE_IMPL_H
#define MH_EXCHANGE_IMPL_H

#include <uthash.h>

#include "core/metrics.h"
#include "core/response_judge.h"
#include "platform/wire.h"
#include "proxy/exchange.h"

enum phase {
	PHASE_WAITING,	  /* waits for a slot */
	PHASE_SENT,	  /* sent to a server, no response head yet */
	PHASE_RESPONDING, /* the response is forwarded */
	PHASE_UNROUTED	  /* waits for the first configuration */
};

/* What to do with the response that is being read. */
enum verdict {
	VERDICT_FORWARD,
	VERDICT_NOT_RUN, /* the server did not run the request */
	VERDICT_RETRY,	 /* an error; another server may succeed */
	VERDICT_CORRUPT, /* a success without its signature, or encoded */
	/* Never forwarded: the status claims "not run" without proof, or it is
	 * an error within a stream. Retried, or replaced by another error. */
	VERDICT_REPLACE,
};

/* Run of a request at a second server, until its response begins. */
struct hedged_run {
	struct mh_upstream *upstream; /* NULL: there is none */
	char *server;
	char *address;
	uint64_t born_ms;
	uint64_t sent_ns;
};

/* A request with less time left is not sent. */
#define MH_EXCHANGE_MIN_REMAINING_MS 5

struct exchange {
	uint64_t id;
	struct mh_exchanges *set;
	struct mh_client *client;
	const struct mh_http_head *head;
	const struct mh_buffer *body;
	struct mh_routes *routes;
	const struct mh_route *route;
	const struct mh_client_account *account;
	const char *service;
	struct mh_wire_request wire;
	uint64_t fingerprint;
	uint64_t arrived_ns;
	uint64_t deadline_ns;
	struct mh_timer timer;
	enum phase phase;
	enum verdict verdict;
	uint64_t slot_id; /* x->id, or mh_hedge_id() of it */
	struct hedged_run hedge;
	struct mh_upstream *upstream;
	char *server;
	char *address;	  /* of the server */
	uint64_t born_ms; /* of the server */
	uint64_t slot_requested_ns;
	uint64_t sent_ns;
	uint64_t last_bytes_ns; /* last bytes of the response */
	uint16_t status;	/* of the last server's response, 0: none yet */
	struct mh_series *gap_series;
	uint32_t first_ms;	  /* from arrival to the first byte */
	uint32_t gap_ms;	  /* longest pause after that */
	uint32_t attempts;	  /* servers that may have run it */
	uint32_t servers_reached; /* servers that it may have reached */
	uint32_t not_run_count;	  /* slots whose server did not run it */
	uint32_t held_back_count; /* slots that a notice forbade to use */
	bool may_have_run;
	bool is_moved; /* last slot released on the dispatcher's request */
	uint64_t charged_slot; /* whose units are charged, 0: none */
	bool head_forwarded;
	enum mh_framing client_framing; /* of the response to the client */
	bool by_events; /* it is forwarded by whole events, to be resumed */
	bool discarded; /* enough was read of a response not forwarded */
	struct mh_timer discard_timer;
	struct mh_response_judge judge; /* of the last server's response */
	enum mh_response_end end;	/* of the same */
	char *tried[MH_AVOID_MAX];
	uint32_t n_tried;
	/* Of streams that are forwarded by whole events: the open event, and
	 * the id of the last one that was forwarded. */
	struct mh_buffer partial_event;
	char last_event[MH_EVENT_ID_BYTES];
	uint32_t events; /* that have ended */
	UT_hash_handle hh;
};

struct mh_exchanges {
	struct mh_exchange_env env;
	struct mh_routes *routes;
	struct exchange *all;
	uint64_t next_id;
	uint64_t began_ns;
	bool refuses_new;
	uint64_t partial_bytes; /* of unfinished events */
};

static inline uint64_t mh_exchange_now_ns(const struct exchange *x)
{
	return mh_clock_mono_ns(x->set->env.clock);
}

static inline uint32_t mh_exchange_elapsed_ms(const struct exchange *x,
					      uint64_t then_ns)
{
	return (uint32_t)((mh_exchange_now_ns(x) - then_ns) / MH_NS_PER_MS);
}

static inline struct mh_server_ref mh_exchange_server(const struct exchange *x)
{
	return (struct mh_server_ref){ x->server, x->address, x->born_ms };
}

static inline struct mh_event_log *mh_exchange_log(const struct exchange *x)
{
	return x->set->env.log;
}

/* Events of the server's connection: exchange_response.c */
extern const struct mh_upstream_ops mh_exchange_upstream_ops;

/* Metrics: exchange_metrics.c */
void mh_exchange_observe_total(const struct exchange *x, const char *outcome);
void mh_exchange_observe_refusal(const struct exchange *x, const char *reason);
void mh_exchange_observe_slot_wait(const struct exchange *x);
void mh_exchange_observe_first_byte(struct exchange *x);
void mh_exchange_observe_gap(struct exchange *x);

/* Runs at a second server: exchange_hedge.c */
bool mh_exchange_use_hedge(struct exchange *x);
void mh_exchange_drop_hedge(struct exchange *x, enum mh_slot_outcome outcome);

/* Responses: exchange_response.c */
bool mh_exchange_read_head(struct exchange *x, struct mh_upstream *upstream,
			   const struct mh_server_ref *server, uint64_t sent_ns,
			   const struct mh_http_head *head,
			   struct mh_wire_response *response);
enum verdict mh_exchange_classify(const struct exchange *x,
				  const struct mh_http_head *head,
				  const struct mh_wire_response *response);
int mh_exchange_take_head(struct exchange *x, const struct mh_http_head *head,
			  const struct mh_wire_response *response);
bool mh_exchange_can_resume(const struct exchange *x);
void mh_exchange_init_response(struct exchange *x);
void mh_exchange_drop_partial_event(struct exchange *x);

/* Retries and errors: exchange.c */
void mh_exchange_release_slot(struct exchange *x, enum mh_slot_outcome outcome);
void mh_exchange_on_not_run(struct exchange *x, const char *why);
void mh_exchange_on_held_back(struct exchange *x);
void mh_exchange_on_outcome_unknown(struct exchange *x, enum mh_error error);
void mh_exchange_free(struct exchange *x);
enum mh_send_verdict
mh_exchange_check_server(const struct mh_exchange_env *env,
			 const struct mh_server_ref *server);
struct mh_upstream *mh_exchange_open(struct exchange *x,
				     const struct mh_server_ref *server,
				     const struct mh_upstream_ops *ops);
void mh_exchange_add_tried(struct exchange *x, char *server);
uint32_t mh_exchange_remaining_ms(const struct exchange *x);
struct exchange *mh_exchange_find(const struct mh_exchanges *set, uint64_t id);
bool mh_exchange_is_repeatable(const struct exchange *x);

#endif
