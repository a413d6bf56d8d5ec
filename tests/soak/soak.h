/*
 * Soak test of the real proxies and dispatchers: injects external faults
 * according to a seeded plan and checks what clients and backend servers saw.
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
#include "core/response_judge.h"
#include "net/buffer.h"

#define MAX_PROXIES 32
#define MAX_DISPATCHERS 32
#define MAX_SERVERS 16
#define MAX_PROCESSES (MAX_PROXIES + MAX_DISPATCHERS)
#define MAX_FAULTS 4000
#define ID_BYTES 24
#define SERVER_SLOTS 8
/* The users' rule: a server gets no request later than this after its removal. */
#define DRAIN_MS 2000

/**
 * struct params - parameters of a run
 * @ports: first port of the range that the run uses
 * @seconds: length of the phase with faults
 * @gap_ms: mean time between two faults that do not begin together
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

/* ---- plan.c: the schedule of faults ---- */

enum fault_kind {
	FAULT_TERM,	       /* SIGTERM to a process, then restart */
	FAULT_KILL,	       /* SIGKILL to a process, then restart */
	FAULT_STOP,	       /* SIGSTOP to a process, then SIGCONT */
	FAULT_KILL_ALL,	       /* SIGKILL to all processes, then restart */
	FAULT_CLOCK,	       /* a process's wall clock jumps and back */
	FAULT_STORE,	       /* the store is down, slow, or loses responses */
	FAULT_TRUNCATE_LOG,    /* the store drops old records */
	FAULT_RESET,	       /* a relay resets its connections */
	FAULT_DELAY,	       /* a relay delays bytes */
	FAULT_BLOCK_TO_TARGET, /* a relay holds bytes to its target */
	FAULT_BLOCK_FROM_TARGET, /* a relay holds bytes from its target */
	FAULT_PARTITION,	 /* both directions are blocked */
	FAULT_CONFIG,		 /* a new configuration is published */
	FAULT_RELOAD,		 /* SIGHUP to a process */
	FAULT_SERVER_LEAVE,	 /* a server drains, leaves and comes back */
	FAULT_SERVER_SHED,	 /* a server turns requests away for a while */
	FAULT_SERVER_SAYS,	 /* a server says that it leaves, starts anew */
	FAULT_SERVER_LIMIT,	 /* a server states a limit for a while */
	FAULT_SERVER_REPEAT,	 /* a server writes refusals once more */
	FAULT_CUT_FROM_STORE,	 /* one process does not reach the store */
	FAULT_CUT_ENTRY, /* a proxy reaches no dispatcher and no store */
	FAULT_TURN_AWAY, /* the store serves some processes only */
	FAULT_DRILL,	 /* the store comes back from an older copy */
	FAULT_REMOVAL, /* a server goes while no dispatcher reaches the store */
	FAULT_KINDS,
};

/**
 * struct fault - one fault
 * @at_ms: time since the start of the plan
 * @ms: duration
 * @target: index of a process, relay or server, depending on @kind
 * @value: depending on @kind: store failure (index into the modes of
 *         inject_store_fault()), delay in ms, clock offset in ms, pause that a
 *         server asks for in ms, limit that it states in mHz (0: another one
 *         holds), mode of repeated refusals, time from the cut to the removal
 *         in ms, or version of the configuration
 * @begin_ms: soak_now_ms() when it began, 0: not yet
 * @end_ms: soak_now_ms() when it had ended, 0: not yet
 * @gone_ms: soak_now_ms() when the store had acknowledged a removal, 0: not yet
 * @back_ms: the same shortly before the server was back, 0: not yet
 */
struct fault {
	enum fault_kind kind;
	uint32_t at_ms;
	uint32_t ms;
	uint32_t target;
	int32_t value;
	uint64_t begin_ms;
	uint64_t end_ms;
	uint64_t gone_ms;
	uint64_t back_ms;
};

struct plan {
	struct fault v[MAX_FAULTS];
	size_t n;
};

const char *fault_name(enum fault_kind kind);
/* Whether a fault may still have had an effect between two times. */
bool fault_overlaps(const struct fault *f, uint64_t from_ms, uint64_t to_ms);
void plan_make(struct plan *plan, const struct params *params);
void plan_print(const struct plan *plan, const struct params *params,
		FILE *out);

/* ---- relay.c: a TCP relay on loopback for one target ---- */

struct relay;

/* Return: blocking socket connected to a port on loopback, or -1. */
int soak_connect(uint32_t port);

struct relay *relay_new(uint32_t port, uint32_t target);
void relay_reset(struct relay *r);
void relay_delay(struct relay *r, uint32_t ms);
/* Holds the bytes of connections whose first ones name a peer; NULL ends that. */
void relay_block_peer(struct relay *r, const char *peer);
/* Holds the bytes of either direction. While those to the target are held, new
 * connections wait too. */
void relay_block(struct relay *r, bool to_target, bool from_target);

/* ---- response.c: reads HTTP responses ---- */

/**
 * struct soak_response - a response as it was received
 * @status: HTTP status, 0 if bytes followed the response
 * @reusable: the connection can carry another request
 * @end: whether it is whole, as its bytes tell
 * @body: body; the caller releases it
 */
struct soak_response {
	uint32_t status;
	bool reusable;
	enum mh_response_end end;
	struct mh_buffer body;
};

/* Reads one response. Return: whether its framing ended, in order; *any tells
 * whether at least one byte arrived. */
bool soak_read_response(int fd, struct soak_response *response, bool *any);

/* ---- fleet.c: the processes ---- */

/* Index of the relay in front of a server, a dispatcher's link port, or the
 * store for one process. */
uint32_t relay_of_server(const struct params *params, uint32_t server);
uint32_t relay_of_dispatcher(const struct params *params, uint32_t dispatcher);
uint32_t relay_of_store(const struct params *params, uint32_t process);
uint32_t relay_count(const struct params *params);
uint32_t proxy_port(const struct params *params, uint32_t proxy);
uint32_t store_port(const struct params *params);

bool fleet_start(const struct params *params);
void fleet_stop(void);
/* Return: number of processes that have exited without being told to. */
uint32_t fleet_unexpected_exits(void);
void fleet_signal(uint32_t process, int signal);
void fleet_kill(uint32_t process);
void fleet_start_process(uint32_t process);
/* Return: whether the process exited within the time. */
bool fleet_wait_exit(uint32_t process, uint32_t ms);
void fleet_set_clock_offset(uint32_t process, int32_t offset_ms);
struct relay *fleet_relay(uint32_t i);
/* Starts a process that the caller ends; its output is appended to log. */
pid_t fleet_spawn(char **args, const char *log);
bool fleet_ready(uint32_t proxy);
/* Return: largest memory of any process that runs, in KiB. */
uint32_t fleet_peak_kb(void);

/* Sends a request to the platform's stand-in. Return: body, which the caller
 * frees, or NULL without a response with status 200. */
char *fleet_platform_request(const char *method, const char *target,
			     const char *body);
/* The same to another process of the stand-in. */
char *fleet_request_at(uint32_t port, const char *method, const char *target,
		       const char *body);
void fleet_publish_config(uint32_t version);

/* ---- clients.c: load ---- */

enum call_kind {
	CALL_NON_IDEMPOTENT,   /* may run only once */
	CALL_IDEMPOTENT,       /* may be retried */
	CALL_STREAM,	       /* a stream that no other server can resume */
	CALL_RESUMABLE_STREAM, /* a stream that another server can resume */
	CALL_HOLD,	       /* its client disconnects while it runs */
	CALL_QUOTA,	       /* from an account with a small quota */
	CALL_ROUTE,	       /* on the route added last */
	CALL_BAD_RESPONSE,     /* its server sends a bad response */
	CALL_DRAWN_KINDS,
	/* Drawn instead of streams: their server cuts them inside an event. */
	CALL_CUT_STREAM = CALL_DRAWN_KINDS,
	CALL_CUT_RESUMABLE,
	CALL_KINDS,
};

enum call_outcome {
	CALL_COMPLETE,
	CALL_REFUSED,	    /* an error that says that it did not run */
	CALL_FAILED,	    /* an error that says that it may have run */
	CALL_TRUNCATED,	    /* the response ended early */
	CALL_CLOSED,	    /* the connection was closed before any byte */
	CALL_MISMATCHED,    /* the response is not that of the request */
	CALL_FRAMED_CUT,    /* framed as complete, and cut inside an event */
	CALL_CANCELLED,	    /* the client disconnected */
	CALL_NOT_CONNECTED, /* the connection failed */
};

/**
 * struct call - one request as its client saw it
 * @proxy: index of the proxy that it was sent to
 * @reused: its connection had carried a request before
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
/* Sends one request to a proxy. */
void call_proxy(struct calls *calls, const struct params *params,
		uint32_t proxy, enum call_kind kind, struct call *out);

/* ---- crashes.c: requests that crash servers ---- */

#define CRASH_SERVERS 3

uint32_t crash_server_port(const struct params *params, uint32_t server);
/* Starts servers that such requests end, their callers, and callers of proper
 * requests at the same servers. */
bool crashes_start(const struct params *params);
void crashes_stop(void);
/* Return: number of violated guarantees; each is printed. */
uint32_t crashes_check(FILE *out);

/* ---- hostile.c: crowds of clients that send bodies and stop ---- */

bool hostile_start(const struct params *params);
void hostile_stop(void);
/* ---- orders.c: roll-outs of versions ---- */

/* First port of their servers, that of the control requests. */
uint32_t rollout_port(const struct params *params);
/* Starts servers of two services and their callers, and orders a version of each
 * after a part of the run. */
bool orders_start(const struct params *params);
/* Writes the orders again that were given. */
void orders_publish(void);
/* Waits for the verdicts. */
void orders_stop(void);
/* Return: number of violated guarantees; each is printed. */
uint32_t orders_check(FILE *out);

/* ---- checks.c ---- */

/* Return: number of violated guarantees; each is printed. */
uint32_t checks_run(const struct calls *calls, const struct plan *plan,
		    const struct params *params, FILE *out);

/* ---- notices.c: servers that leave, are removed, ask for a pause or state a
 * limit ---- */

/* Return: number of violated guarantees; each is printed. */
uint32_t notices_check(const struct calls *calls, const struct plan *plan,
		       const struct params *params, FILE *out);

static inline uint64_t soak_now_ms(void)
{
	struct timespec ts;

	/* The platform stand-in stamps its run records with this clock. */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

void soak_sleep_ms(uint32_t ms);

#endif
