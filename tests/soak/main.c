#include <getopt.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "tests/soak/soak.h"

#define POLL_INTERVAL_MS 5
/* After SIGTERM a process exits within grace_s, which fleet.c sets to 4 s. */
#define EXIT_TIMEOUT_MS 4500
/* Time after the last fault within which every proxy serves again. */
#define RECOVERY_MS 4000
/* A server says that it leaves for this much longer than its fault takes. */
#define NOTICE_MS 1500
/* A removed server stays away for this much longer than the cut, and than it may
 * get requests. */
#define AFTER_CUT_MS 1000
#define SLOTS_KNOWN_MS 300
#define LATE_MS 1500

static const struct option options[] = {
	{ "seed", required_argument, NULL, 's' },
	{ "seconds", required_argument, NULL, 't' },
	{ "proxies", required_argument, NULL, 'p' },
	{ "dispatchers", required_argument, NULL, 'd' },
	{ "servers", required_argument, NULL, 'b' },
	{ "callers", required_argument, NULL, 'c' },
	{ "gap-ms", required_argument, NULL, 'g' },
	{ "ports", required_argument, NULL, 'o' },
	{ "bin", required_argument, NULL, 'i' },
	{ "dir", required_argument, NULL, 'l' },
	{ "help", no_argument, NULL, 'h' },
	{ NULL, 0, NULL, 0 },
};

static struct calls calls = { .lock = PTHREAD_MUTEX_INITIALIZER, .version = 1 };
static struct plan plan;
static struct params params = {
	.proxies = 3,
	.dispatchers = 2,
	.servers = 4,
	.clients = 16,
	.ports = 26000,
	.seconds = 15,
	.gap_ms = 300,
	.bin = "build/bin",
};
static uint32_t violations;

static void report_violation(const char *guarantee, uint32_t process)
{
	__atomic_add_fetch(&violations, 1, __ATOMIC_RELAXED);
	printf("BROKEN %s: process %u\n", guarantee, process);
}

/* Whether a SIGSTOP or a restart of all processes may have delayed the exit. */
static bool exit_may_be_delayed(uint32_t process, uint64_t from_ms)
{
	size_t i;

	for (i = 0; i < plan.n; i++) {
		const struct fault *f = &plan.v[i];

		if ((f->kind == FAULT_STOP && f->target == process &&
		     f->begin_ms && (!f->end_ms || f->end_ms >= from_ms)) ||
		    (f->kind == FAULT_KILL_ALL && f->begin_ms))
			return true;
	}
	return false;
}

static void restart_by_term(struct fault *f)
{
	fleet_signal(f->target, SIGTERM);
	if (!fleet_wait_exit(f->target, EXIT_TIMEOUT_MS)) {
		if (!exit_may_be_delayed(f->target, f->begin_ms))
			report_violation("a drained process ends", f->target);
		fleet_kill(f->target);
	}
	fleet_start_process(f->target);
}

static void inject_store_fault(const struct fault *f)
{
	static const char *const modes[] = { "{\"outage\":true}",
					     "{\"slow_ms\":300}",
					     "{\"lose_answers\":5}" };

	free(fleet_platform_request("POST", "/test/store", modes[f->value]));
	soak_sleep_ms(f->ms);
	free(fleet_platform_request(
		"POST", "/test/store",
		"{\"outage\":false,\"slow_ms\":0,\"lose_answers\":0}"));
}

static void truncate_log(void)
{
	free(fleet_platform_request("POST", "/test/store", "{\"retain\":1}"));
	free(fleet_platform_request("POST", "/test/store", "{\"retain\":0}"));
}

static void set_server_state(uint32_t server, const char *state)
{
	char target[64];

	snprintf(target, sizeof(target), "/test/server?id=s%u&state=%s", server,
		 state);
	free(fleet_platform_request("POST", target, NULL));
}

static void cycle_server(const struct fault *f)
{
	static const char *const states[] = { "draining", "gone", "ready" };
	size_t i;

	for (i = 0; i < 3; i++) {
		set_server_state(f->target, states[i]);
		soak_sleep_ms(i < 2 ? f->ms : 0);
	}
}

static void shed_at_server(const struct fault *f)
{
	char target[128];

	snprintf(target, sizeof(target),
		 "/test/shed?id=s%u&ms=%u&text=Retry-After:%d.%03d", f->target,
		 f->ms, f->value / 1000, f->value % 1000);
	free(fleet_platform_request("POST", target, NULL));
	soak_sleep_ms(f->ms);
}

/* Says in all responses that it leaves, then starts anew. */
static void leave_by_notice(const struct fault *f)
{
	struct timespec now;
	char target[128];

	snprintf(target, sizeof(target), "/test/leaving?id=s%u&on=1",
		 f->target);
	free(fleet_platform_request("POST", target, NULL));
	soak_sleep_ms(f->ms + NOTICE_MS);
	snprintf(target, sizeof(target), "/test/leaving?id=s%u&on=0",
		 f->target);
	free(fleet_platform_request("POST", target, NULL));
	clock_gettime(CLOCK_REALTIME, &now);
	snprintf(target, sizeof(target),
		 "/test/server?id=s%u&state=ready&born=%llu", f->target,
		 (unsigned long long)now.tv_sec * 1000 +
			 (unsigned long long)now.tv_nsec / 1000000);
	free(fleet_platform_request("POST", target, NULL));
}

static pthread_mutex_t limit_locks[MAX_SERVERS];

/* One limit at a time, so that it is known which one holds. */
static void limit_server(struct fault *f)
{
	char target[128];

	if (pthread_mutex_trylock(&limit_locks[f->target])) {
		f->value = 0;
		return;
	}
	snprintf(target, sizeof(target), "/test/limit?id=s%u&text=%d.%03d",
		 f->target, f->value / 1000, f->value % 1000);
	free(fleet_platform_request("POST", target, NULL));
	soak_sleep_ms(f->ms);
	snprintf(target, sizeof(target), "/test/limit?id=s%u&text=", f->target);
	free(fleet_platform_request("POST", target, NULL));
	pthread_mutex_unlock(&limit_locks[f->target]);
}

static void repeat_refusals(const struct fault *f)
{
	static const char *const modes[] = { "named", "unnamed", "later" };
	char target[128];

	snprintf(target, sizeof(target), "/test/repeat?id=s%u&mode=%s",
		 f->target, modes[f->value]);
	free(fleet_platform_request("POST", target, NULL));
	soak_sleep_ms(f->ms);
	snprintf(target, sizeof(target),
		 "/test/repeat?id=s%u&mode=", f->target);
	free(fleet_platform_request("POST", target, NULL));
}

static void block_store(uint32_t process, bool block)
{
	relay_block(fleet_relay(relay_of_store(&params, process)), block,
		    block);
}

static void cut_from_store(const struct fault *f)
{
	block_store(f->target, true);
	soak_sleep_ms(f->ms);
	block_store(f->target, false);
}

/* The clients of the proxy and the servers still reach it. */
static void cut_entry(const struct fault *f)
{
	char name[32];
	uint32_t i;

	/* The tag of the next field tells front-1 from front-10. */
	snprintf(name, sizeof(name), "front-%u\x18", f->target);
	block_store(f->target, true);
	for (i = 0; i < params.dispatchers; i++)
		relay_block_peer(fleet_relay(relay_of_dispatcher(&params, i)),
				 name);
	soak_sleep_ms(f->ms);
	for (i = 0; i < params.dispatchers; i++)
		relay_block_peer(fleet_relay(relay_of_dispatcher(&params, i)),
				 NULL);
	block_store(f->target, false);
}

/* All dispatchers but one, and each second proxy. */
static void turn_away(const struct fault *f)
{
	uint32_t i, served = (uint32_t)f->value % params.dispatchers;

	for (i = 0; i < params.proxies + params.dispatchers; i++) {
		if (i < params.proxies ? i % 2 : i - params.proxies != served)
			block_store(i, true);
	}
	soak_sleep_ms(f->ms);
	for (i = 0; i < params.proxies + params.dispatchers; i++)
		block_store(i, false);
}

static void block_store_for_dispatchers(bool block)
{
	uint32_t i;

	for (i = 0; i < params.dispatchers; i++)
		block_store(params.proxies + i, block);
}

/* Sets the slots of all servers but one, so that this one is needed or not. */
static void set_slots_of_others(uint32_t server, uint32_t slots)
{
	char target[64];
	uint32_t i;

	for (i = 0; i < params.servers; i++) {
		if (i == server)
			continue;
		snprintf(target, sizeof(target),
			 "/test/server?id=s%u&state=ready&slots=%u", i, slots);
		free(fleet_platform_request("POST", target, NULL));
	}
}

/* The server doesn't announce that it leaves: its registration ends. The others are
 * full, so that it gets requests as long as anybody takes it for a choice. */
static void remove_server(struct fault *f)
{
	static pthread_mutex_t one_at_a_time = PTHREAD_MUTEX_INITIALIZER;

	pthread_mutex_lock(&one_at_a_time);
	set_slots_of_others(f->target, 1);
	soak_sleep_ms(SLOTS_KNOWN_MS);
	block_store_for_dispatchers(true);
	soak_sleep_ms((uint32_t)f->value);
	set_server_state(f->target, "gone");
	f->gone_ms = soak_now_ms();
	soak_sleep_ms(f->ms);
	block_store_for_dispatchers(false);
	soak_sleep_ms(AFTER_CUT_MS);
	if (f->ms + AFTER_CUT_MS < DRAIN_MS + LATE_MS)
		soak_sleep_ms(DRAIN_MS + LATE_MS - f->ms - AFTER_CUT_MS);
	f->back_ms = soak_now_ms();
	set_server_state(f->target, "ready");
	set_slots_of_others(f->target, SERVER_SLOTS);
	pthread_mutex_unlock(&one_at_a_time);
}

static pthread_mutex_t config_lock = PTHREAD_MUTEX_INITIALIZER;

static void publish(uint32_t version)
{
	fleet_publish_config(version);
	__atomic_store_n(&calls.version, version, __ATOMIC_RELAXED);
}

/* The operator writes the newest configuration again; servers do so anyway. */
static void drill(const struct fault *f)
{
	static pthread_mutex_t one_at_a_time = PTHREAD_MUTEX_INITIALIZER;
	char target[64];

	pthread_mutex_lock(&one_at_a_time);
	free(fleet_platform_request("POST", "/test/copy", NULL));
	soak_sleep_ms(f->ms);
	snprintf(target, sizeof(target), "/test/drill?ms=%d", f->value);
	free(fleet_platform_request("POST", target, NULL));
	soak_sleep_ms((uint32_t)f->value + 10);
	pthread_mutex_lock(&config_lock);
	publish(calls.version);
	orders_publish();
	pthread_mutex_unlock(&config_lock);
	pthread_mutex_unlock(&one_at_a_time);
}

static void restart_all(const struct fault *f)
{
	uint32_t i, n = params.proxies + params.dispatchers;

	for (i = 0; i < n; i++)
		fleet_signal(i, SIGKILL);
	for (i = 0; i < n; i++)
		fleet_kill(i);
	soak_sleep_ms(f->ms);
	for (i = 0; i < n; i++)
		fleet_start_process(i);
}

static void inject_relay_fault(const struct fault *f)
{
	struct relay *r = fleet_relay(f->target);
	bool to_target =
		f->kind == FAULT_BLOCK_TO_TARGET || f->kind == FAULT_PARTITION;
	bool from_target = f->kind == FAULT_BLOCK_FROM_TARGET ||
			   f->kind == FAULT_PARTITION;

	if (f->kind == FAULT_RESET) {
		relay_reset(r);
		return;
	}
	if (f->kind == FAULT_DELAY)
		relay_delay(r, (uint32_t)f->value);
	else
		relay_block(r, to_target, from_target);
	soak_sleep_ms(f->ms);
	relay_delay(r, 0);
	relay_block(r, false, false);
}

/* Serialize the restarts of each process; all other faults may overlap. */
static pthread_mutex_t process_locks[MAX_PROCESSES];

static void lock_processes(const struct fault *f, bool lock)
{
	uint32_t i, n = params.proxies + params.dispatchers;

	for (i = 0; i < n; i++) {
		if (f->kind != FAULT_KILL_ALL && f->target != i)
			continue;
		if (lock)
			pthread_mutex_lock(&process_locks[i]);
		else
			pthread_mutex_unlock(&process_locks[i]);
	}
}

static void inject(struct fault *f)
{
	switch (f->kind) {
	case FAULT_TERM:
		restart_by_term(f);
		break;
	case FAULT_KILL:
		fleet_kill(f->target);
		soak_sleep_ms(f->ms);
		fleet_start_process(f->target);
		break;
	case FAULT_KILL_ALL:
		restart_all(f);
		break;
	case FAULT_STOP:
		fleet_signal(f->target, SIGSTOP);
		soak_sleep_ms(f->ms);
		fleet_signal(f->target, SIGCONT);
		break;
	case FAULT_CLOCK:
		fleet_set_clock_offset(f->target, f->value);
		soak_sleep_ms(f->ms);
		fleet_set_clock_offset(f->target, 0);
		break;
	case FAULT_STORE:
		inject_store_fault(f);
		break;
	case FAULT_TRUNCATE_LOG:
		truncate_log();
		break;
	case FAULT_CONFIG:
		pthread_mutex_lock(&config_lock);
		f->value = (int32_t)(calls.version + 1);
		publish((uint32_t)f->value);
		pthread_mutex_unlock(&config_lock);
		break;
	case FAULT_RELOAD:
		fleet_signal(f->target, SIGHUP);
		break;
	case FAULT_SERVER_LEAVE:
		cycle_server(f);
		break;
	case FAULT_SERVER_SHED:
		shed_at_server(f);
		break;
	case FAULT_SERVER_SAYS:
		leave_by_notice(f);
		break;
	case FAULT_SERVER_LIMIT:
		limit_server(f);
		break;
	case FAULT_SERVER_REPEAT:
		repeat_refusals(f);
		break;
	case FAULT_CUT_FROM_STORE:
		cut_from_store(f);
		break;
	case FAULT_CUT_ENTRY:
		cut_entry(f);
		break;
	case FAULT_TURN_AWAY:
		turn_away(f);
		break;
	case FAULT_DRILL:
		drill(f);
		break;
	case FAULT_REMOVAL:
		remove_server(f);
		break;
	default:
		inject_relay_fault(f);
		break;
	}
}

static void *run_fault(void *data)
{
	struct fault *f = data;
	bool exclusive = f->kind == FAULT_TERM || f->kind == FAULT_KILL ||
			 f->kind == FAULT_KILL_ALL;

	if (exclusive)
		lock_processes(f, true);
	__atomic_store_n(&f->begin_ms, soak_now_ms(), __ATOMIC_RELEASE);
	inject(f);
	if (exclusive)
		lock_processes(f, false);
	__atomic_store_n(&f->end_ms, soak_now_ms(), __ATOMIC_RELEASE);
	return NULL;
}

static void run_plan(void)
{
	uint64_t start_ms = soak_now_ms();
	pthread_t threads[MAX_FAULTS];
	size_t i;

	for (i = 0; i < plan.n; i++) {
		while (soak_now_ms() < start_ms + plan.v[i].at_ms) {
			fleet_unexpected_exits();
			soak_sleep_ms(POLL_INTERVAL_MS);
		}
		/* Published in order, so that versions only grow. */
		if (plan.v[i].kind == FAULT_CONFIG)
			run_fault(&plan.v[i]);
		else if (pthread_create(&threads[i], NULL, run_fault,
					&plan.v[i]))
			abort();
	}
	for (i = 0; i < plan.n; i++) {
		if (plan.v[i].kind != FAULT_CONFIG)
			pthread_join(threads[i], NULL);
	}
}

/* After all faults every proxy serves requests of the kinds that expect a
 * complete response. */
static void check_recovery(void)
{
	uint32_t i;
	int kind;

	/* Published after the last fault, so every proxy must apply it within
	 * the recovery time. */
	fleet_publish_config(++calls.version);
	soak_sleep_ms(RECOVERY_MS);
	for (i = 0; i < params.proxies; i++) {
		if (!fleet_ready(i))
			report_violation("recovery: not ready", i);
		for (kind = 0; kind < CALL_KINDS; kind++) {
			struct call call;

			if (kind == CALL_HOLD || kind == CALL_BAD_RESPONSE ||
			    kind == CALL_QUOTA || kind >= CALL_DRAWN_KINDS)
				continue;
			call_proxy(&calls, &params, i, (enum call_kind)kind,
				   &call);
			if (call.outcome == CALL_COMPLETE)
				continue;
			printf("%s after all faults: %s, status %u\n",
			       call_kind_name(call.kind),
			       outcome_name(call.outcome), call.status);
			report_violation("recovery: not served", i);
		}
	}
}

static void parse(int argc, char **argv)
{
	int c;

	params.seed = (uint64_t)time(NULL);
	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		uint32_t n = optarg ? (uint32_t)strtoul(optarg, NULL, 10) : 0;

		switch (c) {
		case 's':
			params.seed = strtoull(optarg, NULL, 10);
			break;
		case 't':
			params.seconds = n;
			break;
		case 'p':
			params.proxies = n;
			break;
		case 'd':
			params.dispatchers = n;
			break;
		case 'b':
			params.servers = n;
			break;
		case 'c':
			params.clients = n;
			break;
		case 'g':
			params.gap_ms = n;
			break;
		case 'o':
			params.ports = n;
			break;
		case 'i':
			params.bin = optarg;
			break;
		case 'l':
			params.dir = optarg;
			break;
		default:
			printf("Usage: soak --dir DIR [--seed N] [--seconds N] "
			       "[--proxies N] [--dispatchers N] [--servers N] "
			       "[--callers N] [--gap-ms N] [--ports N] "
			       "[--bin DIR]\n");
			exit(c == 'h' ? 0 : 2);
		}
	}
	if (!params.dir || !params.gap_ms || !params.proxies ||
	    params.proxies > MAX_PROXIES || !params.dispatchers ||
	    params.dispatchers > MAX_DISPATCHERS || !params.servers ||
	    params.servers > MAX_SERVERS) {
		fprintf(stderr,
			"soak: an option is missing or out of range; see "
			"--help\n");
		exit(2);
	}
}

int main(int argc, char **argv)
{
	bool started = false;
	uint32_t i;

	setvbuf(stdout, NULL, _IOLBF, 0);
	parse(argc, argv);
	for (i = 0; i < MAX_PROCESSES; i++)
		pthread_mutex_init(&process_locks[i], NULL);
	mkdir(params.dir, 0700);
	plan_make(&plan, &params);
	plan_print(&plan, &params, stdout);
	if (fleet_start(&params) && clients_start(&calls, &params) &&
	    crashes_start(&params) && hostile_start(&params) &&
	    orders_start(&params)) {
		started = true;
		printf("begun at %llu\n", (unsigned long long)soak_now_ms());
		run_plan();
		clients_stop(&calls, &params);
		crashes_stop();
		hostile_stop();
		orders_stop();
		check_recovery();
		violations += fleet_unexpected_exits();
		violations += checks_run(&calls, &plan, &params, stdout);
		violations += crashes_check(stdout);
		violations += orders_check(stdout);
		violations += notices_check(&calls, &plan, &params, stdout);
	}
	fleet_stop();
	free(calls.v);
	printf("soak seed %llu: %s, %u violations\n",
	       (unsigned long long)params.seed,
	       started && !violations ? "passed" : "FAILED", violations);
	return !started || violations;
}
