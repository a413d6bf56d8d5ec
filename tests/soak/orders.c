/*
 * Orders to roll out a version, one good and one bad, each of a service of its own,
 * whose servers are another process.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/soak/soak.h"

#define CLIENTS 6
#define GAP_MS 25
#define WORK_MS 20
/* Time for the servers to listen. */
#define START_MS 1000
#define CALL_TIMEOUT_S 8
/* The operators' bounds, the defaults of [bounds]. */
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_SLACK 50
#define ROLLBACK_MS 5000
/* Bad responses above the old version's that end a roll-out at once. */
#define CERTAIN_RESPONSES 20
#define DURATION_S 8
/* Order, as a part of the run. */
#define ORDER_PART 5
/* A verdict that faults delayed is late by their length at most. */
#define VERDICT_WAIT_MS 25000
#define POLL_INTERVAL_MS 100
#define PATH_BYTES 512
#define SPEC_BYTES 64
#define N_SERVERS 4 /* of a service: two of either version */

struct rollout {
	const char *service;
	const char *faults; /* of the target version */
	const char *verdict;
	uint64_t ordered_ms;
	uint64_t verdict_ms;
	char state[16];
	uint32_t reversed;
};

static struct rollout rollouts[] = {
	{ .service = "ra", .faults = "", .verdict = "succeeded" },
	{ .service = "rb", .faults = "&fail=0.6", .verdict = "rolled_back" },
};

#define N_ROLLOUTS (sizeof(rollouts) / sizeof(rollouts[0]))

static struct {
	const struct params *params;
	bool stop;
	pid_t servers;
	pthread_t clients[CLIENTS];
	pthread_t operator;
} orders;

static uint32_t control_port(void)
{
	return rollout_port(orders.params);
}

static uint32_t server_port_of(size_t service, uint32_t server)
{
	return control_port() + 1 + (uint32_t)service * N_SERVERS + server;
}

/* The first two servers have the old version. */
static uint32_t version_of(uint32_t server)
{
	return server < 2 ? 1 : 2;
}

static void control(uint32_t port, const char *target, const char *body)
{
	free(fleet_request_at(port, "POST", target, body));
}

static void start_servers(void)
{
	static char specs[N_ROLLOUTS * N_SERVERS][SPEC_BYTES];
	static char bin[PATH_BYTES], log[PATH_BYTES], port[16];
	char *args[3 + N_ROLLOUTS * N_SERVERS] = { bin, port };
	uint32_t i, n = 0;
	size_t k;

	snprintf(bin, sizeof(bin), "%s/standin-platform", orders.params->bin);
	snprintf(log, sizeof(log), "%s/rollout-servers.log",
		 orders.params->dir);
	snprintf(port, sizeof(port), "%u", control_port());
	for (k = 0; k < N_ROLLOUTS; k++) {
		for (i = 0; i < N_SERVERS; i++, n++) {
			snprintf(specs[n], SPEC_BYTES, "%u:%s%u:%s:8:%u:%s-%u",
				 server_port_of(k, i), rollouts[k].service, i,
				 rollouts[k].service, server_port_of(k, i),
				 rollouts[k].service, version_of(i));
			args[2 + n] = specs[n];
		}
	}
	orders.servers = fleet_spawn(args, log);
}

static void register_servers(size_t k, uint32_t from)
{
	const char *service = rollouts[k].service;
	char target[256];
	uint32_t i;

	for (i = from; i < from + 2; i++) {
		snprintf(target, sizeof(target),
			 "/test/register?id=%s%u&service=%s&slots=8&port=%u"
			 "&version=%s-%u",
			 service, i, service, server_port_of(k, i), service,
			 version_of(i));
		control(store_port(orders.params), target, NULL);
	}
}

void orders_publish(void)
{
	char target[64], body[128];
	size_t k;

	for (k = 0; k < N_ROLLOUTS; k++) {
		const struct rollout *r = &rollouts[k];

		if (!__atomic_load_n(&r->ordered_ms, __ATOMIC_RELAXED))
			continue;
		snprintf(target, sizeof(target), "/test/order?service=%s",
			 r->service);
		snprintf(body, sizeof(body),
			 "{\"service\":\"%s\",\"target\":\"%s-2\","
			 "\"duration_s\":%d}",
			 r->service, r->service, DURATION_S);
		control(store_port(orders.params), target, body);
	}
}

/* Once the servers listen, and before the order: the old version's durations are
 * what the target's are compared with. */
static void set_versions(void)
{
	char target[256];
	size_t k;

	for (k = 0; k < N_ROLLOUTS; k++) {
		const struct rollout *r = &rollouts[k];

		snprintf(target, sizeof(target),
			 "/test/version?version=%s-1&base=%d", r->service,
			 WORK_MS);
		control(control_port(), target, NULL);
		snprintf(target, sizeof(target),
			 "/test/version?version=%s-2&base=%d%s", r->service,
			 WORK_MS, r->faults);
		control(control_port(), target, NULL);
	}
}

static void begin_orders(void)
{
	size_t k;

	for (k = 0; k < N_ROLLOUTS; k++)
		__atomic_store_n(&rollouts[k].ordered_ms, soak_now_ms(),
				 __ATOMIC_RELAXED);
	orders_publish();
	for (k = 0; k < N_ROLLOUTS; k++)
		register_servers(k, 2);
}

/* Reads the state of the newest status. */
static void read_status(struct rollout *r)
{
	char target[64], state[16] = "", *text, *last, *at;

	snprintf(target, sizeof(target), "/test/status?service=%s", r->service);
	text = fleet_platform_request("GET", target, NULL);
	if (!text)
		return;
	for (last = text; (at = strchr(last, '\n')) && at[1];)
		last = at + 1;
	at = strstr(last, "\"state\":\"");
	if (at)
		sscanf(at, "\"state\":\"%15[a-z_]", state);
	free(text);
	if (!*state || !strcmp(state, "running") || !strcmp(state, r->state))
		return;
	r->reversed += *r->state != '\0';
	snprintf(r->state, sizeof(r->state), "%s", state);
	r->verdict_ms = soak_now_ms();
}

static void *operate(void *data)
{
	uint64_t order_ms =
		soak_now_ms() + orders.params->seconds * 1000 / ORDER_PART;
	bool is_ordered = false;
	size_t k;

	soak_sleep_ms(START_MS);
	set_versions();
	while (!__atomic_load_n(&orders.stop, __ATOMIC_RELAXED)) {
		soak_sleep_ms(POLL_INTERVAL_MS);
		if (!is_ordered && soak_now_ms() >= order_ms) {
			begin_orders();
			is_ordered = true;
		}
		for (k = 0; is_ordered && k < N_ROLLOUTS; k++)
			read_status(&rollouts[k]);
	}
	return data;
}

static void send_request(struct mh_rng *rng, const char *service, uint32_t n)
{
	uint32_t proxy = (uint32_t)(mh_rng_next(rng) % orders.params->proxies);
	struct timeval limit = { .tv_sec = CALL_TIMEOUT_S };
	struct soak_response response = { 0 };
	char text[256];
	bool any;
	int fd, len;

	fd = soak_connect(proxy_port(orders.params, proxy));
	if (fd < 0)
		return;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	len = snprintf(text, sizeof(text),
		       "GET /%s/%u/run HTTP/1.1\r\nHost: h.example\r\n"
		       "Api-Key: key-1\r\nX-Mangohead-Request-Id: %s-%u\r\n"
		       "Content-Length: 0\r\n\r\n",
		       service, n, service, n);
	if (send(fd, text, (size_t)len, MSG_NOSIGNAL) == len)
		soak_read_response(fd, &response, &any);
	close(fd);
	mh_buffer_release(&response.body);
}

static void *send_requests(void *data)
{
	uint32_t client = (uint32_t)(uintptr_t)data, n = client * 1000000;
	struct mh_rng rng = { orders.params->seed * 11 + client };

	for (; !__atomic_load_n(&orders.stop, __ATOMIC_RELAXED); n++) {
		send_request(&rng, rollouts[n % N_ROLLOUTS].service, n);
		soak_sleep_ms((uint32_t)(mh_rng_next(&rng) % GAP_MS));
	}
	return NULL;
}

bool orders_start(const struct params *params)
{
	size_t k;
	uint32_t i;

	orders.params = params;
	start_servers();
	for (k = 0; k < N_ROLLOUTS; k++)
		register_servers(k, 0);
	for (i = 0; i < CLIENTS; i++) {
		if (pthread_create(&orders.clients[i], NULL, send_requests,
				   (void *)(uintptr_t)i))
			return false;
	}
	return !pthread_create(&orders.operator, NULL, operate, NULL);
}

static bool has_all_verdicts(void)
{
	size_t k;

	for (k = 0; k < N_ROLLOUTS; k++) {
		if (!rollouts[k].verdict_ms)
			return false;
	}
	return true;
}

void orders_stop(void)
{
	uint64_t end_ms = soak_now_ms() + VERDICT_WAIT_MS;
	uint32_t i;

	while (!has_all_verdicts() && soak_now_ms() < end_ms)
		soak_sleep_ms(POLL_INTERVAL_MS);
	__atomic_store_n(&orders.stop, true, __ATOMIC_RELAXED);
	for (i = 0; i < CLIENTS; i++)
		pthread_join(orders.clients[i], NULL);
	pthread_join(orders.operator, NULL);
}

/* Return: responses of the target that were made to fail until the verdict. */
static uint32_t count_bad(const struct rollout *r)
{
	char *text = fleet_request_at(control_port(), "GET", "/test/bad", NULL);
	char *line, *save = NULL;
	unsigned long long at_ms;
	uint32_t n = 0;

	for (line = text ? strtok_r(text, "\n", &save) : NULL; line;
	     line = strtok_r(NULL, "\n", &save)) {
		if (sscanf(line, "%llu ", &at_ms) == 1 &&
		    strstr(line, r->service))
			n += at_ms <= r->verdict_ms;
	}
	free(text);
	return n;
}

/* A version of which a service got this many bad responses is bad. While faults
 * leave it fewer requests than that nothing tells. */
static bool is_right(const struct rollout *r)
{
	if (r->reversed || !*r->state)
		return false;
	if (!strcmp(r->state, r->verdict))
		return true;
	return !strcmp(r->verdict, "rolled_back") &&
	       count_bad(r) < CERTAIN_RESPONSES;
}

struct exposure {
	uint32_t all, target, late;
};

/* What reached the servers of a service from the order on. */
static void count_arrivals(const struct rollout *r, char *text,
			   struct exposure *e)
{
	size_t len = strlen(r->service);
	char *line, *save = NULL;

	for (line = strtok_r(text, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save)) {
		unsigned long long at_ms;
		char server[16];

		if (sscanf(line, "%llu %15s", &at_ms, server) != 2 ||
		    strncmp(server, r->service, len) || at_ms < r->ordered_ms)
			continue;
		e->all += at_ms <= r->verdict_ms;
		if (version_of((uint32_t)atoi(server + len)) == 1)
			continue;
		e->target += at_ms <= r->verdict_ms;
		e->late += at_ms > r->verdict_ms + ROLLBACK_MS;
	}
}

static uint32_t check_exposure(const struct rollout *r, FILE *out)
{
	char *text =
		fleet_request_at(control_port(), "GET", "/test/arrivals", NULL);
	struct exposure e = { 0 };
	uint32_t broken;

	if (!text)
		return 1;
	count_arrivals(r, text, &e);
	free(text);
	fprintf(out, "roll-out of %s: %u requests, %u of them to the target\n",
		r->service, e.all, e.target);
	if (strcmp(r->state, "rolled_back"))
		return 0;
	broken = e.target > EXPOSURE_SHARE * e.all + EXPOSURE_SLACK || e.late;
	if (broken)
		fprintf(out,
			"BROKEN exposure: %u of %u requests reached %s-2, %u "
			"of them late\n",
			e.target, e.all, r->service, e.late);
	return broken;
}

uint32_t orders_check(FILE *out)
{
	uint32_t violations = 0;
	size_t k;

	for (k = 0; k < N_ROLLOUTS; k++) {
		const struct rollout *r = &rollouts[k];

		fprintf(out, "roll-out of %s: %s after %llu ms\n", r->service,
			*r->state ? r->state : "no verdict",
			(unsigned long long)(r->verdict_ms ?
						     r->verdict_ms -
							     r->ordered_ms :
						     0));
		violations += check_exposure(r, out);
		if (is_right(r))
			continue;
		violations++;
		fprintf(out,
			"BROKEN verdict: %s is %s, expected %s; reversed %u "
			"times\n",
			r->service, *r->state ? r->state : "without verdict",
			r->verdict, r->reversed);
	}
	kill(orders.servers, SIGKILL);
	waitpid(orders.servers, NULL, 0);
	return violations;
}
