#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/soak/soak.h"

/* Requests that crash servers: three with a fingerprint of their own, and such as
 * share a part of their prompts, no two alike. */
#define BAD_REQUESTS 4
#define BAD_BY_PART 3
/* Shared by these and by sound requests. */
#define FIRST_PART "a0:60"
#define DEADLY_PART "dead1:400"
#define BAD_GAP_MS 250
#define PROPER_GAP_MS 20
#define RESTART_MS 700
#define POLL_INTERVAL_MS 5
#define CALL_TIMEOUT_S 8
/* The users' rule: at most this many runs later than this after the third crash,
 * or the fifth by a part. */
#define REFUSED_CRASHES 3
#define REFUSED_PART_CRASHES 5
#define ALERT_MS 3000
#define MAX_LATE_RUNS 3
/* Sound requests that share parts with bad ones are not refused for it, but for a
 * share of less than this, from twice the time above on. */
#define MAX_REFUSED_SHARE 0.5
#define MIN_SOUND 20
#define PATH_BYTES 512
#define LINE_BYTES 128

struct bad_request {
	uint32_t crashes;
	uint64_t last_ms;    /* when the last of the crashes was that may be */
	uint64_t counted_ms; /* the same, once there were as many as may be */
	uint32_t late;
};

static struct {
	const struct params *params;
	bool stop;
	pthread_t supervisor, saboteur, client, sharer;
	pid_t servers[CRASH_SERVERS];
	uint64_t ended_ms[CRASH_SERVERS];
	struct bad_request bad[BAD_REQUESTS];
	uint32_t proper, refused; /* proper requests, and those refused */
	/* The same of sound ones that share parts, later than the crashes by a
	 * part that may be. */
	uint32_t sound, sound_refused;
	uint32_t bad_sent, bad_refused;
} crashes;

static void log_path(uint32_t server, char path[PATH_BYTES])
{
	snprintf(path, PATH_BYTES, "%s/crash%u.log", crashes.params->dir,
		 server);
}

static void start_server(uint32_t i)
{
	const struct params *params = crashes.params;
	char bin[PATH_BYTES], spec[64], log[PATH_BYTES];
	char *args[] = { bin, "0", spec, NULL };

	snprintf(bin, sizeof(bin), "%s/standin-platform", params->bin);
	snprintf(spec, sizeof(spec), "%u:c%u:fragile:8",
		 crash_server_port(params, i), i);
	log_path(i, log);
	crashes.ended_ms[i] = 0;
	crashes.servers[i] = fleet_spawn(args, log);
}

/* Reads which request a server last ended under. Return: its number, or -1. */
static int last_crash_of(uint32_t server)
{
	char path[PATH_BYTES], line[LINE_BYTES];
	int number = -1;
	FILE *in;

	log_path(server, path);
	in = fopen(path, "r");
	while (in && fgets(line, sizeof(line), in))
		sscanf(line, "crashed server=%*s id=bad%d-", &number);
	if (in)
		fclose(in);
	return number < BAD_REQUESTS ? number : -1;
}

static void record_crash(uint32_t server)
{
	uint64_t now_ms = soak_now_ms();
	int number = last_crash_of(server);
	struct bad_request *bad;
	uint32_t may_be;

	if (number < 0) {
		printf("crash server %u ended by itself\n", server);
		return;
	}
	bad = &crashes.bad[number];
	may_be = number == BAD_BY_PART ? REFUSED_PART_CRASHES : REFUSED_CRASHES;
	if (++bad->crashes <= may_be)
		__atomic_store_n(&bad->last_ms, now_ms, __ATOMIC_RELAXED);
	if (bad->crashes == may_be)
		bad->counted_ms = now_ms;
	else if (bad->counted_ms && now_ms > bad->counted_ms + ALERT_MS)
		bad->late++;
}

/* Starts servers again that ended. */
static void *supervise(void *data)
{
	uint32_t i;

	(void)data;
	while (!__atomic_load_n(&crashes.stop, __ATOMIC_RELAXED)) {
		for (i = 0; i < CRASH_SERVERS; i++) {
			pid_t pid = crashes.servers[i];

			if (pid > 0 && waitpid(pid, NULL, WNOHANG) == pid) {
				record_crash(i);
				crashes.servers[i] = 0;
				crashes.ended_ms[i] = soak_now_ms();
			} else if (!pid && soak_now_ms() > crashes.ended_ms[i] +
								   RESTART_MS) {
				start_server(i);
			}
		}
		soak_sleep_ms(POLL_INTERVAL_MS);
	}
	return NULL;
}

/* Return: status, 0 without a response; *crashing tells whether the response
 * says that the request crashes servers. */
static uint32_t request(struct mh_rng *rng, const char *target,
			const char *parts, const char *id, bool *crashing)
{
	uint32_t proxy = (uint32_t)(mh_rng_next(rng) % crashes.params->proxies);
	struct timeval limit = { .tv_sec = CALL_TIMEOUT_S };
	struct soak_response response = { 0 };
	char text[512];
	bool any;
	int fd, len;

	*crashing = false;
	fd = soak_connect(proxy_port(crashes.params, proxy));
	if (fd < 0)
		return 0;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	len = snprintf(text, sizeof(text),
		       "GET %s HTTP/1.1\r\nHost: h.example\r\n"
		       "Api-Key: key-1\r\nX-Mangohead-Request-Id: %s\r\n"
		       "X-Mangohead-Prompt-Prefix: %s\r\n"
		       "Content-Length: 0\r\n\r\n",
		       target, id, parts);
	if (send(fd, text, (size_t)len, MSG_NOSIGNAL) == len)
		soak_read_response(fd, &response, &any);
	close(fd);
	mh_buffer_add(&response.body, "", 1);
	*crashing = strstr((char *)mh_buffer_front(&response.body),
			   "crashes_servers");
	mh_buffer_release(&response.body);
	return response.status;
}

/* Sends the bad requests again and again, whatever the response. */
static void *send_bad(void *data)
{
	struct mh_rng rng = { crashes.params->seed * 7 + 1 };
	static const char *const targets[BAD_REQUESTS] = {
		"crash",
		"crash",
		/* In the middle of an event, without framing. */
		"halfclose-exit",
		"ok",
	};
	char target[64], parts[64], id[ID_BYTES];
	uint32_t n = 0;
	bool crashing;

	(void)data;
	while (!__atomic_load_n(&crashes.stop, __ATOMIC_RELAXED)) {
		uint32_t i = n % BAD_REQUESTS;

		snprintf(target, sizeof(target), "/fragile/bad%u/%u/%s", i,
			 i == BAD_BY_PART ? n : 0, targets[i]);
		parts[0] = '\0';
		if (i == BAD_BY_PART)
			snprintf(parts, sizeof(parts),
				 FIRST_PART "," DEADLY_PART ",%x:9", n);
		snprintf(id, sizeof(id), "bad%u-%u", i, n++);
		request(&rng, target, parts, id, &crashing);
		crashes.bad_sent++;
		crashes.bad_refused += crashing;
		soak_sleep_ms((uint32_t)(mh_rng_next(&rng) % (2 * BAD_GAP_MS)));
	}
	return NULL;
}

/* Proper requests at the same servers; some of them share a content. */
static void *send_proper(void *data)
{
	struct mh_rng rng = { crashes.params->seed * 7 + 2 };
	char target[64], id[ID_BYTES];
	bool crashing;

	(void)data;
	while (!__atomic_load_n(&crashes.stop, __ATOMIC_RELAXED)) {
		uint32_t n = crashes.proper++;

		snprintf(target, sizeof(target), "/fragile/%u/%s",
			 n % 3 ? n : 0, n % 5 ? "own" : "slow");
		snprintf(id, sizeof(id), "proper-%u", n);
		request(&rng, target, "", id, &crashing);
		crashes.refused += crashing;
		soak_sleep_ms(
			(uint32_t)(mh_rng_next(&rng) % (2 * PROPER_GAP_MS)));
	}
	return NULL;
}

static bool is_settled(void)
{
	uint64_t last_ms = __atomic_load_n(&crashes.bad[BAD_BY_PART].last_ms,
					   __ATOMIC_RELAXED);

	return last_ms && soak_now_ms() > last_ms + 2 * ALERT_MS;
}

/* Sound requests that share the first part with those that crash servers. */
static void *send_sound(void *data)
{
	struct mh_rng rng = { crashes.params->seed * 7 + 3 };
	char target[64], parts[64], id[ID_BYTES];
	bool crashing;
	uint32_t n;

	(void)data;
	for (n = 0; !__atomic_load_n(&crashes.stop, __ATOMIC_RELAXED); n++) {
		bool settled = is_settled();

		snprintf(target, sizeof(target), "/fragile/%u/own", n);
		snprintf(parts, sizeof(parts), FIRST_PART ",b%u:400,%x:9",
			 n % 4, n);
		snprintf(id, sizeof(id), "sound-%u", n);
		request(&rng, target, parts, id, &crashing);
		crashes.sound += settled;
		crashes.sound_refused += settled && crashing;
		soak_sleep_ms(
			(uint32_t)(mh_rng_next(&rng) % (2 * PROPER_GAP_MS)));
	}
	return NULL;
}

bool crashes_start(const struct params *params)
{
	uint32_t i;

	crashes.params = params;
	for (i = 0; i < CRASH_SERVERS; i++)
		start_server(i);
	return !pthread_create(&crashes.supervisor, NULL, supervise, NULL) &&
	       !pthread_create(&crashes.saboteur, NULL, send_bad, NULL) &&
	       !pthread_create(&crashes.client, NULL, send_proper, NULL) &&
	       !pthread_create(&crashes.sharer, NULL, send_sound, NULL);
}

void crashes_stop(void)
{
	uint32_t i;

	__atomic_store_n(&crashes.stop, true, __ATOMIC_RELAXED);
	pthread_join(crashes.saboteur, NULL);
	pthread_join(crashes.client, NULL);
	pthread_join(crashes.sharer, NULL);
	pthread_join(crashes.supervisor, NULL);
	for (i = 0; i < CRASH_SERVERS; i++) {
		if (crashes.servers[i] <= 0)
			continue;
		kill(crashes.servers[i], SIGKILL);
		waitpid(crashes.servers[i], NULL, 0);
	}
}

uint32_t crashes_check(FILE *out)
{
	uint32_t i, violations = 0;

	fprintf(out,
		"crashing requests: %u sent, %u refused; proper ones beside "
		"them: %u sent, %u refused\n",
		crashes.bad_sent, crashes.bad_refused, crashes.proper,
		crashes.refused);
	for (i = 0; i < BAD_REQUESTS; i++) {
		const struct bad_request *bad = &crashes.bad[i];

		fprintf(out, "crashing request %u: %u servers, %u late\n", i,
			bad->crashes, bad->late);
		if (bad->late <= MAX_LATE_RUNS)
			continue;
		violations++;
		fprintf(out,
			"BROKEN crashing requests: request %u ended %u servers "
			"later than %u ms after the last that may be\n",
			i, bad->late, ALERT_MS);
	}
	fprintf(out, "sound requests that share parts: %u sent, %u refused\n",
		crashes.sound, crashes.sound_refused);
	if (crashes.sound >= MIN_SOUND &&
	    crashes.sound_refused > MAX_REFUSED_SHARE * crashes.sound) {
		violations++;
		fprintf(out,
			"BROKEN sound requests: %u of %u refused for parts that "
			"they share with crashing ones\n",
			crashes.sound_refused, crashes.sound);
	}
	if (crashes.refused) {
		violations++;
		fprintf(out, "BROKEN proper requests: %u refused as crashing\n",
			crashes.refused);
	}
	return violations;
}
