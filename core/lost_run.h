/*
 * Runs that were lost with the connection to their server, as the dispatcher reports
 * them.
 */
#ifndef MH_LOST_RUN_H
#define MH_LOST_RUN_H

#include <stdbool.h>
#include <stdint.h>

#include "core/features.h"

/* Whether a lost run counts against its request, and if not, why. */
enum mh_lost_verdict {
	MH_LOST_COUNTED,
	MH_LOST_SUCCEEDED, /* an equal request ended well shortly before */
	MH_LOST_BESIDE,	   /* a suspect that has just begun was lost as well */
	MH_LOST_LEAVING,   /* the server was draining or gone */
	MH_LOST_UNMARKED,  /* the request has no features */
	MH_LOST_VERDICTS,
};

/**
 * mh_lost_verdict_name() - word of a verdict for logs
 * @verdict: verdict
 */
const char *mh_lost_verdict_name(enum mh_lost_verdict verdict);

/**
 * struct mh_lost_run - a run whose connection to its server broke
 * @owner: entry that holds the request
 * @id: request
 * @server: identifier of the server
 * @fingerprint: fingerprint of the request
 * @features: all features of the request
 * @verdict: whether it counts against the fingerprint
 * @answering: the server had begun to respond
 * @held: other requests that hold a slot of the server
 * @crashes: crashes of servers that count against the fingerprint
 * @part_crashes: those against one of its parts, the most
 */
struct mh_lost_run {
	uint32_t owner;
	uint64_t id;
	const char *server;
	uint64_t fingerprint;
	const struct mh_features *features;
	enum mh_lost_verdict verdict;
	bool answering;
	uint32_t held;
	uint32_t crashes;
	uint32_t part_crashes;
};

#endif
