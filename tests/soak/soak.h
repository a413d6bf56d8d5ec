/*
 * A soak of the real proxies and dispatchers: faults from outside by a seeded
 * plan, and checks of what clients and backend servers saw.
 */
#ifndef SOAK_H
#define SOAK_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include <time.h>

#include "core/clock.h"
#include "net/buffer.h"

#define MAX_PROXIES 32
#define MAX_DISPATCHERS 32
#define MAX_SERVERS 16
#define MAX_PROCESSES (MAX_PROXIES + MAX_DISPATCHERS)
#define MAX_FAULTS 4000
#define ID_BYTES 24

/**
 * struct params - how much is run
 * @ports: first of the ports that are used
 * @seconds: time with faults
 * @gap_ms: mean time between two faults
 */
struct params {
	uint64_t seed;
	uint32_t proxies;
	uint32_t dispatchers;
	uint32_t servers;
	uint32_t clients;
	uint32_t ports;
	uint32_t seconds;
	uint32_t gap_ms;
	const char *bin;
	const char *dir;
};

/* ---- plan.c: which fault when ---- */

enum fault_kind {
	FAULT_TERM,	    /* a process is asked to end, then started again */
	FAULT_KILL,	    /* it is killed, then started again */
	FAULT_STOP,	    /* it is stopped, then goes on */
	FAULT_KILL_ALL,	    /* all processes are killed and started again */
	FAULT_CLOCK,	    /* its time of day jumps, and back */
	FAULT_STORE,	    /* the store is down, slow, or loses answers */
	FAULT_TRUNCATE_LOG, /* the store drops its history */
	FAULT_RESET,	    /* connections of a relay are reset */
	FAULT_DELAY,	    /* bytes through a relay come late */
	FAULT_BLOCK_TO_TARGET,	 /* none go to its target */
	FAULT_BLOCK_FROM_TARGET, /* none come back */
	FAULT_PARTITION,    /* neither, and new connections are not served */
	FAULT_CONFIG,	    /* a new configuration */
	FAULT_RELOAD,	    /* settings are read again */
	FAULT_SERVER_LEAVE, /* a server drains, goes and comes back */
	FAULT_KINDS,
};

/**
 * struct fault - one fault
 * @at_ms: since the start
 * @ms: how long it lasts
 * @target: process, relay, server or way, by @kind
 * @value: of its kind: way of the store's failing, delay, jump
 * @begin_ms: monotonic time when it began, 0: not yet
 * @end_ms: monotonic time when its effects had ended, 0: not yet
 */
struct fault {
	enum fault_kind kind;
	uint32_t at_ms;
	uint32_t ms;
	uint32_t target;
	int32_t value;
	uint64_t begin_ms;
	uint64_t end_ms;
};

struct plan {
	struct fault v[MAX_FAULTS];
	size_t n;
};

const char *fault_name(enum fault_kind kind);
void plan_make(struct plan *plan, const struct params *params);
void plan_print(const struct plan *plan, const struct params *params,
		FILE *out);

/* ---- relay.c: a proxy on loopback for one target ---- */

struct relay;

/* Return: blocking connection to a port on loopback, or -1. */
int soak_connect(uint32_t port);

struct relay *relay_new(uint32_t port, uint32_t target);
void relay_reset(struct relay *r);
void relay_delay(struct relay *r, uint32_t ms);
void relay_block(struct relay *r, bool to, bool back);

/* ---- answer.c: reading of HTTP answers ---- */

/**
 * struct soak_response - an answer as it came
 * @status: HTTP status, 0 if bytes came behind the answer
 * @keep: the connection stays open
 * @body: body, to be released
 */
struct soak_response {
	uint32_t status;
	bool keep;
	struct mh_buffer body;
};

/* Return: whether a whole answer came; *any says whether any byte did. */
bool soak_read_response(int fd, struct soak_response *a, bool *any);

/* ---- fleet.c: the processes ---- */

/* Relays: a server's, a dispatcher's links, the store as a process sees it. */
uint32_t relay_of_server(const struct params *params, uint32_t server);
uint32_t relay_of_dispatcher(const struct params *params, uint32_t dispatcher);
uint32_t relay_of_store(const struct params *params, uint32_t process);
uint32_t relay_count(const struct params *params);
uint32_t proxy_port(const struct params *params, uint32_t proxy);
uint32_t store_port(const struct params *params);

bool fleet_start(const struct params *params);
void fleet_stop(void);
/* Return: number of processes that ended though nobody asked them to. */
uint32_t fleet_unexpected_exits(void);
void fleet_signal(uint32_t process, int signal);
void fleet_kill(uint32_t process);
void fleet_start_process(uint32_t process);
/* Return: whether it ended by itself within the time, after a signal. */
bool fleet_wait_exit(uint32_t process, uint32_t ms);
void fleet_set_clock_offset(uint32_t process, int32_t offset_ms);
struct relay *fleet_relay(uint32_t i);
bool fleet_ready(uint32_t proxy);

/* Asks the stand-in. Return: text for the client to free, NULL: no answer. */
char *fleet_platform_request(const char *method, const char *target,
			     const char *body);
void fleet_publish_config(uint32_t version);

/* ---- clients.c ---- */

enum call_kind {
	CALL_NON_IDEMPOTENT,   /* may run once */
	CALL_IDEMPOTENT,       /* may run again */
	CALL_STREAM,	       /* a stream that can't go on elsewhere */
	CALL_RESUMABLE_STREAM, /* one that can */
	CALL_HOLD,	       /* its client leaves */
	CALL_QUOTA,	       /* of an account with a small quota */
	CALL_ROUTE,	       /* by the newest route */
	CALL_BAD_RESPONSE,     /* its server answers with odd bytes */
	CALL_KINDS,
};

enum call_outcome {
	CALL_COMPLETE,
	CALL_REFUSED,	    /* says that it did not run */
	CALL_FAILED,	    /* says that it may have run */
	CALL_TRUNCATED,	    /* the answer broke off */
	CALL_CLOSED,	    /* the connection ended before any answer */
	CALL_MISMATCHED,    /* bytes that are not the answer */
	CALL_CANCELLED,	    /* the client left */
	CALL_NOT_CONNECTED, /* no connection was made */
};

/**
 * struct call - one request as its client saw it
 * @proxy: where it was sent
 * @reused: on a connection that had served a request before
 * @version: newest configuration when it was sent
 */
struct call {
	char id[ID_BYTES];
	enum call_kind kind;
	enum call_outcome outcome;
	uint32_t proxy;
	uint32_t status;
	uint32_t version;
	bool reused;
	uint64_t sent_ms;
	uint64_t end_ms;
};

struct calls {
	pthread_mutex_t lock;
	struct call *v;
	size_t n;
	size_t cap;
	bool stop;
	uint32_t version; /* newest configuration */
};

const char *outcome_name(enum call_outcome outcome);
const char *call_kind_name(enum call_kind kind);
bool clients_start(struct calls *calls, const struct params *params);
void clients_stop(struct calls *calls, const struct params *params);
/* Makes one request at a proxy. */
void call_proxy(struct calls *calls, const struct params *params,
		uint32_t proxy, enum call_kind kind, struct call *out);

/* ---- checks.c ---- */

/* Return: number of promises that were broken; each is printed. */
uint32_t checks_run(const struct calls *calls, const struct plan *plan,
		    const struct params *params, FILE *out);

static inline uint64_t soak_now_ms(void)
{
	struct timespec ts;

	/* The same clock as that of the stand-in's lines. */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

void soak_sleep_ms(uint32_t ms);

#endif
