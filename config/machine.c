#include "config/machine.h"

#include <stdio.h>
#include <sys/resource.h>

#define MB_BYTES 1000000
#define MIB_BYTES (1ull << 20)
/* Without any information: a small host. */
#define DEFAULT_MEMORY_BYTES (160ull * MB_BYTES)
#define DEFAULT_MAX_FDS 1024
#define CLIENT_MEMORY_PERCENT 35
/* Part of the descriptors that are not for clients. */
#define OTHER_FDS_PART 4
#define MAX_CONNECTIONS 1000000
#define STATUS_PART 16
#define MAX_STATUS_CONNECTIONS 64
#define UNPROVEN_LINKS_PART 8
#define MAX_UNPROVEN_LINKS 512
#define MIN_CONNECTIONS 8

static uint64_t host_memory_bytes(void)
{
	FILE *f = fopen("/proc/meminfo", "re");
	unsigned long long kib = 0;

	if (!f)
		return DEFAULT_MEMORY_BYTES;
	if (fscanf(f, "MemTotal: %llu kB", &kib) != 1 || !kib)
		kib = DEFAULT_MEMORY_BYTES / 1024;
	fclose(f);
	return kib * 1024;
}

static uint32_t system_max_fds(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return DEFAULT_MAX_FDS;
	return limit.rlim_cur < UINT32_MAX ? (uint32_t)limit.rlim_cur :
					     UINT32_MAX;
}

struct mh_machine mh_machine_detect(const struct mh_machine_settings *settings)
{
	struct mh_machine m = { (uint64_t)(settings->memory_mb * MB_BYTES),
				system_max_fds() };

	if (!m.memory_bytes)
		m.memory_bytes = host_memory_bytes();
	if (settings->max_fds && settings->max_fds < m.max_fds)
		m.max_fds = settings->max_fds;
	return m;
}

bool mh_machine_same(const struct mh_machine_settings *a,
		     const struct mh_machine_settings *b)
{
	return a->memory_mb == b->memory_mb && a->max_fds == b->max_fds;
}

static uint32_t clamp(uint32_t n, uint32_t min, uint32_t max)
{
	if (n < min)
		return min;
	return n < max ? n : max;
}

struct mh_client_budget_conf
mh_machine_client_budget(const struct mh_machine *machine,
			 const struct mh_clients_settings *settings)
{
	struct mh_client_budget_conf conf = {
		settings->max_buffered_mib * MIB_BYTES,
		settings->max_connections,
	};

	if (!conf.max_bytes)
		conf.max_bytes =
			machine->memory_bytes / 100 * CLIENT_MEMORY_PERCENT;
	if (!conf.max_connections)
		conf.max_connections = clamp(
			machine->max_fds - machine->max_fds / OTHER_FDS_PART,
			MIN_CONNECTIONS, MAX_CONNECTIONS);
	return conf;
}

uint32_t mh_machine_status_connections(const struct mh_machine *machine)
{
	return clamp(machine->max_fds / STATUS_PART, MIN_CONNECTIONS,
		     MAX_STATUS_CONNECTIONS);
}

uint32_t mh_machine_new_links(const struct mh_machine *machine)
{
	return clamp(machine->max_fds / UNPROVEN_LINKS_PART, MIN_CONNECTIONS,
		     MAX_UNPROVEN_LINKS);
}
