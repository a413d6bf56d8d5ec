/*
 * Limits that follow from the memory and the descriptors of a process.
 */
#ifndef MH_MACHINE_H
#define MH_MACHINE_H

#include "config/settings.h"
#include "core/client_budget.h"

/**
 * struct mh_machine - what a process may use
 * @memory_bytes: memory
 * @max_fds: descriptors
 */
struct mh_machine {
	uint64_t memory_bytes;
	uint32_t max_fds;
};

/**
 * mh_machine_detect() - find out what the process may use
 * @settings: section [machine]; 0 stands for what the system tells
 *
 * Return: memory as set, or MemTotal of /proc/meminfo; descriptors as set, at most
 * RLIMIT_NOFILE.
 */
struct mh_machine mh_machine_detect(const struct mh_machine_settings *settings);

/**
 * mh_machine_same() - whether two settings say the same
 * @a: section [machine]
 * @b: another one
 */
bool mh_machine_same(const struct mh_machine_settings *a,
		     const struct mh_machine_settings *b);

/**
 * mh_machine_client_budget() - limits for clients of the process
 * @machine: what the process may use
 * @settings: section [clients]; 0 stands for a limit that is derived
 *
 * The memory is 35 % of the process', the connections three quarters of its
 * descriptors: the rest is for connections to servers, links, store and status.
 */
struct mh_client_budget_conf
mh_machine_client_budget(const struct mh_machine *machine,
			 const struct mh_clients_settings *settings);

/**
 * mh_machine_status_connections() - connections of a status address
 * @machine: what the process may use
 */
uint32_t mh_machine_status_connections(const struct mh_machine *machine);

/**
 * mh_machine_new_links() - links that may be in their handshake at a time
 * @machine: what the process may use
 */
uint32_t mh_machine_new_links(const struct mh_machine *machine);

#endif
