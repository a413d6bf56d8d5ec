/*
 * Inside of an exchange, shared by its files only.
 */
#ifndef MH_EXCHANGE_IMPL_H
#define MH_EXCHANGE_IMPL_H

#include <uthash.h>

#include "core/metrics.h"
#include "platform/wire.h"
#include "proxy/exchange.h"

#define EVENT_ID_BYTES 24

enum phase {
	PHASE_WAITING,	 /* waits for a place */
	PHASE_SENT,	 /* a server has it, no head of an answer yet */
	PHASE_RESPONDING /* the caller gets the answer */
};

/* What to do with the answer that is being read. */
enum verdict {
	VERDICT_FORWARD,
	VERDICT_NOT_RUN, /* the server did not run it */
	VERDICT_RETRY,	 /* an error that another server may not give */
	VERDICT_REPLACE, /* a status that would promise what isn't known */
};

struct exchange {
	uint64_t id;
	struct mh_exchanges *set;
	struct mh_client *client;
	const struct mh_http_head *head;
	const struct mh_buffer *body;
	struct mh_routes *routes;
	const struct mh_route *route;
	const struct mh_account *account;
	const char *service;
	struct mh_wire_request wire;
	uint64_t fingerprint;
	uint64_t arrived_ns;
	uint64_t deadline_ns;
	struct mh_timer timer;
	enum phase phase;
	enum verdict verdict;
	struct mh_upstream *upstream;
	char *server;
	uint64_t slot_requested_ns; /* for a place */
	uint64_t sent_ns;
	uint64_t last_bytes_ns; /* newest bytes of the answer */
	uint16_t status;	/* of the last server's answer */
	struct mh_series *gaps;
	uint32_t first_ms;	  /* from arrival to the answer's first byte */
	uint32_t gap_ms;	  /* longest pause after it */
	uint32_t attempts;	  /* servers that may have run it */
	uint32_t servers_reached; /* servers that it may have reached */
	uint32_t not_run_count;	  /* places that came to nothing */
	bool may_have_run;
	bool is_moved; /* its last place was given back as the dispatcher asked */
	bool quota_charged;
	bool head_forwarded;
	bool chunked_response;
	bool no_response_body;
	char *tried[MH_AVOID_MAX];
	uint32_t n_tried;
	/* Of resumable streams: an event that is not complete yet, and the
	 * last event that was passed on. */
	struct mh_buffer partial_event;
	char last_event[EVENT_ID_BYTES];
	uint32_t events;
	UT_hash_handle hh;
};

struct mh_exchanges {
	struct mh_exchange_env env;
	struct mh_routes *routes;
	struct exchange *all;
	uint64_t next_id;
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

static inline struct mh_event_log *mh_exchange_log(const struct exchange *x)
{
	return x->set->env.log;
}

/* Calls and events of the server's side: exchange_answer.c */
extern const struct mh_upstream_ops mh_exchange_upstream_ops;

/* Times: exchange_times.c */
void mh_exchange_observe_total(const struct exchange *x, const char *outcome);
void mh_exchange_observe_refusal(const struct exchange *x, const char *reason);
void mh_exchange_observe_slot_wait(const struct exchange *x);
void mh_exchange_observe_first_byte(struct exchange *x);
void mh_exchange_observe_gap(struct exchange *x);

/* Decisions: exchange.c */
void mh_exchange_release_slot(struct exchange *x,
			      enum mh_place_outcome outcome);
void mh_exchange_on_not_run(struct exchange *x, const char *why);
void mh_exchange_on_outcome_unknown(struct exchange *x, enum mh_error error);
void mh_exchange_free(struct exchange *x);
bool mh_exchange_is_repeatable(const struct exchange *x);

#endif
