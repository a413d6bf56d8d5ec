#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/soak/soak.h"

#define PATH_BYTES 512
#define REQUEST_TIMEOUT_S 3
/* Time within which a process starts, or exits after SIGKILL. */
#define PROCESS_TIMEOUT_MS 10000
#define POLL_INTERVAL_MS 10
/* Offsets from the first port, which is the store's. */
#define SERVER_PORT_OFFSET 10
#define RELAY_PORT_OFFSET 40
#define PROXY_PORT_OFFSET 200
#define DISPATCHER_PORT_OFFSET 300
#define CRASH_SERVER_PORT_OFFSET 400
#define ROLLOUT_PORT_OFFSET 420
#define LINK_KEY                                                               \
	"6d616e676f686561642d736f616b2d6b65792d6f662d7468652d746573747321"

struct process {
	pid_t pid;
	bool should_run;
};

static struct {
	const struct params *params;
	pid_t platform;
	pthread_mutex_t lock;
	struct process v[MAX_PROCESSES];
	uint32_t unexpected_exits;
	struct relay *relays[MAX_SERVERS + MAX_DISPATCHERS + MAX_PROCESSES];
} fleet = { .lock = PTHREAD_MUTEX_INITIALIZER };

void soak_sleep_ms(uint32_t ms)
{
	struct timespec ts = { ms / 1000, (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

uint32_t relay_of_server(const struct params *params, uint32_t server)
{
	(void)params;
	return server;
}

uint32_t relay_of_dispatcher(const struct params *params, uint32_t dispatcher)
{
	return params->servers + dispatcher;
}

uint32_t relay_of_store(const struct params *params, uint32_t process)
{
	return params->servers + params->dispatchers + process;
}

uint32_t relay_count(const struct params *params)
{
	return relay_of_store(params, params->proxies + params->dispatchers);
}

static uint32_t relay_port(const struct params *params, uint32_t relay)
{
	return params->ports + RELAY_PORT_OFFSET + relay;
}

static uint32_t server_port(const struct params *params, uint32_t server)
{
	return params->ports + SERVER_PORT_OFFSET + server;
}

uint32_t proxy_port(const struct params *params, uint32_t proxy)
{
	return params->ports + PROXY_PORT_OFFSET + 2 * proxy;
}

static uint32_t links_port(const struct params *params, uint32_t dispatcher)
{
	return params->ports + DISPATCHER_PORT_OFFSET + 2 * dispatcher;
}

uint32_t crash_server_port(const struct params *params, uint32_t server)
{
	return params->ports + CRASH_SERVER_PORT_OFFSET + server;
}

uint32_t rollout_port(const struct params *params)
{
	return params->ports + ROLLOUT_PORT_OFFSET;
}

uint32_t store_port(const struct params *params)
{
	return params->ports;
}

static bool is_proxy(uint32_t process)
{
	return process < fleet.params->proxies;
}

static void process_path(uint32_t process, const char *extension,
			 char path[PATH_BYTES])
{
	uint32_t n =
		is_proxy(process) ? process : process - fleet.params->proxies;

	snprintf(path, PATH_BYTES, "%s/%s%u.%s", fleet.params->dir,
		 is_proxy(process) ? "proxy" : "dispatcher", n, extension);
}

static void write_settings(uint32_t process)
{
	const struct params *params = fleet.params;
	uint32_t d = process - params->proxies;
	char path[PATH_BYTES];
	FILE *out;

	process_path(process, "toml", path);
	out = fopen(path, "w");
	if (!out)
		abort();
	if (is_proxy(process))
		fprintf(out,
			"host = \"front-%u\"\nzone = \"z\"\n[listen]\n"
			"callers = \"127.0.0.1:%u\"\n"
			"status = \"127.0.0.1:%u\"\n"
			"[clients]\nmax_buffered_mib = 2\n",
			process, proxy_port(params, process),
			proxy_port(params, process) + 1);
	else
		fprintf(out,
			"host = \"side-%u\"\nzone = \"z\"\n[listen]\n"
			"links = \"127.0.0.1:%u\"\n"
			"announce = \"127.0.0.1:%u\"\n",
			d, links_port(params, d),
			relay_port(params, relay_of_dispatcher(params, d)));
	fprintf(out,
		"[platform]\nstore = \"127.0.0.1:%u\"\n[bounds]\n"
		"retry_ratio = 0.2\nretry_extra = 12\nretry_window_s = 4\n"
		"quota_window_s = 4\nquota_excess = 0.1\nquota_slack = 20\n"
		"grace_s = 4\n[link]\nkey = \"%s\"\n",
		relay_port(params, relay_of_store(params, process)), LINK_KEY);
	fclose(out);
}

static pid_t spawn(char **args, const char *log, const char *clock)
{
	pid_t pid = fork();

	if (pid)
		return pid;
	if (clock) {
		char preload[PATH_BYTES];

		snprintf(preload, sizeof(preload), "%s/soak_clock.so",
			 fleet.params->bin);
		setenv("LD_PRELOAD", preload, 1);
		setenv("SOAK_CLOCK", clock, 1);
	}
	if (!freopen(log, "a", stdout))
		_exit(127);
	dup2(STDOUT_FILENO, STDERR_FILENO);
	execv(args[0], args);
	_exit(127);
}

pid_t fleet_spawn(char **args, const char *log)
{
	return spawn(args, log, NULL);
}

void fleet_start_process(uint32_t process)
{
	char bin[PATH_BYTES], path[PATH_BYTES], log[PATH_BYTES];
	char clock[PATH_BYTES];
	char *args[] = { bin, "--config", path, NULL };

	snprintf(bin, sizeof(bin), "%s/mangohead-%s", fleet.params->bin,
		 is_proxy(process) ? "proxy" : "dispatcher");
	process_path(process, "toml", path);
	process_path(process, "log", log);
	process_path(process, "clock", clock);
	pthread_mutex_lock(&fleet.lock);
	fleet.v[process].pid = spawn(args, log, clock);
	fleet.v[process].should_run = true;
	pthread_mutex_unlock(&fleet.lock);
}

/* The caller holds the lock. Return: whether the process has exited. */
static bool has_ended(struct process *p)
{
	if (p->pid > 0 && waitpid(p->pid, NULL, WNOHANG) == p->pid)
		p->pid = 0;
	return p->pid <= 0;
}

uint32_t fleet_unexpected_exits(void)
{
	uint32_t i, n = fleet.params->proxies + fleet.params->dispatchers;

	pthread_mutex_lock(&fleet.lock);
	for (i = 0; i < n; i++) {
		struct process *p = &fleet.v[i];

		if (!p->should_run || !has_ended(p))
			continue;
		printf("process %u exited unexpectedly\n", i);
		fleet.unexpected_exits++;
		p->should_run = false;
	}
	pthread_mutex_unlock(&fleet.lock);
	return fleet.unexpected_exits;
}

/* Whether a process has reached main(), where programs block SIGHUP at once. */
static bool has_begun(pid_t pid)
{
	unsigned long long blocked = 0;
	char path[64], line[128];
	FILE *in;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	in = fopen(path, "r");
	while (in && fgets(line, sizeof(line), in)) {
		if (sscanf(line, "SigBlk: %llx", &blocked) == 1)
			break;
	}
	if (in)
		fclose(in);
	return blocked >> (SIGHUP - 1) & 1;
}

/* Before main() a signal's default action is up to whoever starts a program. */
static void wait_begun(pid_t pid)
{
	uint64_t until_ms = soak_now_ms() + PROCESS_TIMEOUT_MS;

	while (!has_begun(pid) && soak_now_ms() < until_ms)
		soak_sleep_ms(1);
}

void fleet_signal(uint32_t process, int signal)
{
	pthread_mutex_lock(&fleet.lock);
	if (signal == SIGHUP && fleet.v[process].pid > 0 &&
	    !has_ended(&fleet.v[process]))
		wait_begun(fleet.v[process].pid);
	if (fleet.v[process].pid > 0)
		kill(fleet.v[process].pid, signal);
	if (signal == SIGTERM || signal == SIGKILL)
		fleet.v[process].should_run = false;
	pthread_mutex_unlock(&fleet.lock);
}

bool fleet_wait_exit(uint32_t process, uint32_t ms)
{
	uint64_t until_ms = soak_now_ms() + ms;
	bool ended;

	do {
		pthread_mutex_lock(&fleet.lock);
		ended = has_ended(&fleet.v[process]);
		pthread_mutex_unlock(&fleet.lock);
		if (ended)
			return true;
		soak_sleep_ms(POLL_INTERVAL_MS);
	} while (soak_now_ms() < until_ms);
	return false;
}

void fleet_kill(uint32_t process)
{
	fleet_signal(process, SIGKILL);
	fleet_wait_exit(process, PROCESS_TIMEOUT_MS);
}

void fleet_set_clock_offset(uint32_t process, int32_t offset_ms)
{
	char path[PATH_BYTES], next[PATH_BYTES + 8];
	FILE *out;

	process_path(process, "clock", path);
	snprintf(next, sizeof(next), "%s.new", path);
	out = fopen(next, "w");
	if (!out)
		abort();
	fprintf(out, "%d\n", offset_ms);
	fclose(out);
	rename(next, path);
}

struct relay *fleet_relay(uint32_t i)
{
	return fleet.relays[i];
}

static char *http_request(uint32_t port, const char *method, const char *target,
			  const char *body)
{
	struct timeval limit = { .tv_sec = REQUEST_TIMEOUT_S };
	struct soak_response response = { 0 };
	struct mh_buffer out = { 0 };
	char *text = NULL;
	bool any;
	int fd;

	mh_buffer_printf(&out,
			 "%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
			 "Content-Length: %zu\r\n\r\n%s",
			 method, target, body ? strlen(body) : 0,
			 body ? body : "");
	fd = soak_connect(port);
	if (fd < 0)
		goto out;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (send(fd, mh_buffer_front(&out), out.len, MSG_NOSIGNAL) < 0)
		goto out;
	if (soak_read_response(fd, &response, &any) && response.status == 200)
		text = strndup(response.body.len ?
				       (char *)mh_buffer_front(&response.body) :
				       "",
			       response.body.len);
out:
	if (fd >= 0)
		close(fd);
	mh_buffer_release(&out);
	mh_buffer_release(&response.body);
	return text;
}

char *fleet_request_at(uint32_t port, const char *method, const char *target,
		       const char *body)
{
	return http_request(port, method, target, body);
}

char *fleet_platform_request(const char *method, const char *target,
			     const char *body)
{
	return http_request(store_port(fleet.params), method, target, body);
}

bool fleet_ready(uint32_t proxy)
{
	char *text = http_request(proxy_port(fleet.params, proxy) + 1, "GET",
				  "/ready", NULL);
	bool ready = text != NULL;

	free(text);
	return ready;
}

static uint32_t peak_kb_of(pid_t pid)
{
	char path[64], line[128];
	unsigned int kb = 0;
	FILE *in;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	in = fopen(path, "r");
	while (in && fgets(line, sizeof(line), in)) {
		if (sscanf(line, "VmHWM: %u kB", &kb) == 1)
			break;
	}
	if (in)
		fclose(in);
	return kb;
}

uint32_t fleet_peak_kb(void)
{
	uint32_t i, most = 0, kb;

	for (i = 0; i < fleet.params->proxies + fleet.params->dispatchers;
	     i++) {
		kb = fleet.v[i].pid > 0 ? peak_kb_of(fleet.v[i].pid) : 0;
		most = kb > most ? kb : most;
	}
	return most;
}

/* Each version keeps all routes of the previous one and adds one. */
void fleet_publish_config(uint32_t version)
{
	static const char *const fixed_routes =
		"{\"name\":\"once\",\"path_prefix\":\"/once/\",\"route_type\":"
		"\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":"
		"200,\"priority\":1,\"max_attempts\":1,"
		"\"public\":false,\"service\":\"app\",\"host\":\"h.example\"},"
		"{\"name\":\"again\",\"path_prefix\":\"/again/\","
		"\"route_type\":\"idempotent\",\"timeout_ms\":4000,"
		"\"target_latency_ms\":200,\"priority\":1,\"max_attempts\":3,"
		"\"public\":false,\"service\":\"app\",\"host\":\"h.example\"},"
		"{\"name\":\"gen\",\"path_prefix\":\"/gen/\",\"route_type\":"
		"\"stream\",\"timeout_ms\":5000,\"target_latency_ms\":400,"
		"\"priority\":0,\"max_attempts\":1,\"public\":false,"
		"\"service\":\"app\",\"host\":\"h.example\",\"sticky\":true,"
		"\"resumable\":false,\"target_gap_ms\":250},"
		"{\"name\":\"resume\",\"path_prefix\":\"/resume/\","
		"\"route_type\":\"stream\",\"timeout_ms\":5000,"
		"\"target_latency_ms\":400,\"priority\":0,\"max_attempts\":3,"
		"\"public\":false,\"service\":\"app\",\"host\":\"h.example\","
		"\"sticky\":true,\"resumable\":true,\"target_gap_ms\":250},"
		"{\"name\":\"fragile\",\"path_prefix\":\"/fragile/\","
		"\"route_type\":\"idempotent\",\"timeout_ms\":4000,"
		"\"target_latency_ms\":200,\"priority\":1,\"max_attempts\":2,"
		"\"public\":false,\"service\":\"fragile\",\"host\":\"h.example\"},"
		"{\"name\":\"ra\",\"path_prefix\":\"/ra/\","
		"\"route_type\":\"idempotent\",\"timeout_ms\":4000,"
		"\"target_latency_ms\":200,\"priority\":1,\"max_attempts\":2,"
		"\"public\":false,\"service\":\"ra\",\"host\":\"h.example\"},"
		"{\"name\":\"rb\",\"path_prefix\":\"/rb/\","
		"\"route_type\":\"idempotent\",\"timeout_ms\":4000,"
		"\"target_latency_ms\":200,\"priority\":1,\"max_attempts\":2,"
		"\"public\":false,\"service\":\"rb\",\"host\":\"h.example\"}";
	struct mh_buffer doc = { 0 };
	uint32_t i;
	char *text;

	mh_buffer_printf(&doc, "{\"version\":%u,\"routes\":[%s", version,
			 fixed_routes);
	for (i = 1; i <= version; i++)
		mh_buffer_printf(
			&doc,
			",{\"name\":\"v%u\",\"path_prefix\":\"/v%u/\","
			"\"route_type\":\"idempotent\",\"timeout_ms\":3000,"
			"\"target_latency_ms\":200,\"priority\":1,"
			"\"max_attempts\":2,\"public\":false,\"service\":"
			"\"app\",\"host\":\"h.example\"}",
			i, i);
	mh_buffer_printf(
		&doc,
		"],\"services\":[{\"name\":\"app\",\"health_path\":\"/health\","
		"\"max_connections\":200},{\"name\":\"ra\"},{\"name\":\"rb\"},"
		"{\"name\":\"fragile\",\"health_path\":"
		"\"/health\",\"max_connections\":200}],\"limits\":{\"max_header_bytes\":"
		"8192,\"max_body_bytes\":100000,\"header_timeout_ms\":2000,"
		"\"idle_timeout_ms\":3000},\"tenants\":[{\"name\":\"acct\","
		"\"api_keys\":[\"key-1\"],\"priority\":1,\"unit\":\"requests\","
		"\"rate_per_s\":100000,\"burst\":100000},{\"name\":\"small\","
		"\"api_keys\":[\"key-2\"],\"priority\":1,\"unit\":\"requests\","
		"\"rate_per_s\":10,\"burst\":10}]}");
	mh_buffer_add(&doc, "", 1);
	text = fleet_platform_request("POST", "/test/config",
				      (char *)mh_buffer_front(&doc));
	free(text);
	mh_buffer_release(&doc);
}

static bool start_platform(const struct params *params)
{
	char bin[PATH_BYTES], port[16], log[PATH_BYTES], *response;
	char specs[MAX_SERVERS + CRASH_SERVERS][64];
	char *args[MAX_SERVERS + CRASH_SERVERS + 3] = { bin, port };
	uint64_t until_ms = soak_now_ms() + PROCESS_TIMEOUT_MS;
	uint32_t i;

	snprintf(bin, sizeof(bin), "%s/standin-platform", params->bin);
	snprintf(port, sizeof(port), "%u", store_port(params));
	snprintf(log, sizeof(log), "%s/platform.log", params->dir);
	for (i = 0; i < params->servers; i++) {
		snprintf(specs[i], sizeof(specs[i]), "%u:s%u:app:%u:%u",
			 server_port(params, i), i, SERVER_SLOTS,
			 relay_port(params, relay_of_server(params, i)));
		args[2 + i] = specs[i];
	}
	for (i = 0; i < CRASH_SERVERS; i++) {
		char *spec = specs[params->servers + i];

		snprintf(spec, sizeof(specs[0]), "0:c%u:fragile:8:%u", i,
			 crash_server_port(params, i));
		args[2 + params->servers + i] = spec;
	}
	fleet.platform = spawn(args, log, NULL);
	while (soak_now_ms() < until_ms) {
		response = fleet_platform_request("GET", "/test/calls", NULL);
		free(response);
		if (response)
			return true;
		soak_sleep_ms(POLL_INTERVAL_MS);
	}
	fprintf(stderr, "the platform stand-in did not start in time\n");
	return false;
}

bool fleet_start(const struct params *params)
{
	uint64_t until_ms = soak_now_ms() + PROCESS_TIMEOUT_MS;
	uint32_t i, target;

	fleet.params = params;
	if (!start_platform(params))
		return false;
	for (i = 0; i < relay_count(params); i++) {
		if (i < relay_of_dispatcher(params, 0))
			target = server_port(params, i);
		else if (i < relay_of_store(params, 0))
			target = links_port(params,
					    i - relay_of_dispatcher(params, 0));
		else
			target = store_port(params);
		fleet.relays[i] = relay_new(relay_port(params, i), target);
		if (!fleet.relays[i])
			return false;
	}
	fleet_publish_config(1);
	for (i = 0; i < params->proxies + params->dispatchers; i++) {
		write_settings(i);
		fleet_set_clock_offset(i, 0);
		fleet_start_process(i);
	}
	for (i = 0; i < params->proxies; i++) {
		while (!fleet_ready(i)) {
			if (soak_now_ms() > until_ms) {
				fprintf(stderr,
					"proxy %u was not ready in time\n", i);
				return false;
			}
			soak_sleep_ms(POLL_INTERVAL_MS);
		}
	}
	return true;
}

void fleet_stop(void)
{
	uint32_t i;

	for (i = 0; i < MAX_PROCESSES; i++) {
		if (fleet.v[i].pid > 0)
			fleet_kill(i);
	}
	if (fleet.platform > 0) {
		kill(fleet.platform, SIGKILL);
		waitpid(fleet.platform, NULL, 0);
	}
}
