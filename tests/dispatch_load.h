/*
 * Load of two customers, drawn from a seed: bursts, client accounts of unlike
 * size, one of them at many times its usual rate, servers of unlike speed, and
 * servers that crash. Times are ms since the begin of a run.
 */
#ifndef MH_DISPATCH_LOAD_H
#define MH_DISPATCH_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LOAD_MS 34000
/* Time after the last arrival in which all requests end. */
#define LOAD_DRAIN_MS 11000
/* Machines are shared: their pace changes after each period. */
#define LOAD_PACE_MS 200
#define LOAD_PACES ((LOAD_MS + 3 * LOAD_DRAIN_MS) / LOAD_PACE_MS)
#define LOAD_KINDS 5
#define LOAD_ACCOUNTS 16
#define LOAD_SERVICES 2
#define LOAD_SERVERS_MAX 64
/* The account that exceeds its usual rate, and when. */
#define LOAD_HOT_ACCOUNT 2
#define LOAD_HOT_FROM_MS 12000
#define LOAD_HOT_UNTIL_MS 20000

enum load_service { LOAD_MODEL, LOAD_PLAIN };

/**
 * struct load_kind - requests of one route
 * @name: name for the output
 * @service: service that they need
 * @tier: tier of the route
 * @rate: requests a second without a burst
 * @target_ms: time within which a response (of a stream: its first event) is in
 *             time
 * @deadline_ms: how long the client waits
 * @timeout_ms: time for the whole response at one entry
 * @is_repeatable: may be sent to a further server
 */
struct load_kind {
	const char *name;
	enum load_service service;
	uint8_t tier;
	double rate;
	uint32_t target_ms;
	uint32_t deadline_ms;
	uint32_t timeout_ms;
	bool is_repeatable;
};

/**
 * struct load_service_conf - servers of a service
 * @servers: number of servers
 * @slots: slots of each
 * @work_ms: run time at a server of speed 1, mean of the requests; of model
 *           servers the first event is a part of it
 */
struct load_service_conf {
	uint32_t servers;
	uint32_t slots;
	double work_ms;
};

/**
 * struct load_site - a deployment
 * @name: name for the output
 * @late_value: worth of a response after its target
 * @kinds: streams and plain requests
 * @services: by enum load_service
 */
struct load_site {
	const char *name;
	double late_value;
	struct load_kind kinds[LOAD_KINDS];
	struct load_service_conf services[LOAD_SERVICES];
};

/**
 * struct load_arrival - a request of a client
 * @at_ms: when it comes first
 * @kind: index of its kind
 * @account: index of its account
 * @prompt_tokens: size of its prompt
 * @output_tokens: greatest size of its response
 * @first_ms: time to the first byte at a server of speed 1
 * @run_ms: time to the end of the response at a server of speed 1
 */
struct load_arrival {
	uint32_t at_ms;
	uint8_t kind;
	uint8_t account;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	double first_ms;
	double run_ms;
};

/**
 * struct load_server - a backend server
 * @service: service that it belongs to
 * @slots: requests that it runs at a time
 * @slowness: run times are those of a server of speed 1, times this
 * @down_from_ms: when it crashes; UINT32_MAX: never
 * @down_until_ms: when it is back
 * @paces: how long work takes on its machine, by period; 1 is usual
 * @pace_shift_ms: machines don't change at the same time
 */
struct load_server {
	enum load_service service;
	uint32_t slots;
	double slowness;
	uint32_t down_from_ms;
	uint32_t down_until_ms;
	double paces[LOAD_PACES + 1];
	uint32_t pace_shift_ms;
};

/**
 * struct load - the load of one run
 * @site: deployment
 * @arrivals: requests in the order of their arrival
 * @n_arrivals: number of them
 * @servers: all servers
 * @n_servers: number of them
 * @weights: shares of the accounts in the usual load
 */
struct load {
	const struct load_site *site;
	struct load_arrival *arrivals;
	uint32_t n_arrivals;
	struct load_server servers[LOAD_SERVERS_MAX];
	uint32_t n_servers;
	double weights[LOAD_ACCOUNTS];
};

#define LOAD_SITES 2
extern const struct load_site load_sites[LOAD_SITES];

/**
 * load_init() - draw a load
 * @load: destination; release with load_release()
 * @site: deployment
 * @seed: seed
 */
void load_init(struct load *load, const struct load_site *site, uint64_t seed);

/**
 * load_release() - free the arrivals
 * @load: load
 */
void load_release(struct load *load);

/**
 * load_pace() - how long work takes on a server's machine, 1 is usual
 * @s: server
 * @now_ms: time
 */
static inline double load_pace(const struct load_server *s, uint32_t now_ms)
{
	uint32_t period = (now_ms + s->pace_shift_ms) / LOAD_PACE_MS;

	return s->paces[period < LOAD_PACES ? period : LOAD_PACES];
}

/**
 * load_work_end() - when a run has done an amount of work
 * @s: server
 * @from_ms: begin of the run
 * @work_ms: run time at a server of speed 1 and usual pace
 *
 * Return: time in ms.
 */
uint32_t load_work_end(const struct load_server *s, uint32_t from_ms,
		       double work_ms);

/**
 * load_is_down() - whether a server does not run
 * @s: server
 * @now_ms: time
 */
static inline bool load_is_down(const struct load_server *s, uint32_t now_ms)
{
	return now_ms >= s->down_from_ms && now_ms < s->down_until_ms;
}

#endif
