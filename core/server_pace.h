/*
 * Speed of model servers, from the responses that they streamed, and the expected
 * time of a request at each of them. Clients state about how long a response will
 * be; servers of one service may differ several times in speed, so that a long
 * response can't end in time at a slow one.
 */
#ifndef MH_SERVER_PACE_H
#define MH_SERVER_PACE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct mh_server_pace - speed of one server
 * @event_ms: mean time between two events of its responses, 0 if not known
 */
struct mh_server_pace {
	double event_ms;
};

/**
 * struct mh_pool_pace - what is known of all servers of a service
 * @event_ms: mean time between two events over all responses, 0 if not known
 * @events_per_token: events that come for each token of the expected length, 0 if
 *                    not known
 * @events: mean number of events of a response, 0 if not known
 */
struct mh_pool_pace {
	double event_ms;
	double events_per_token;
	double events;
};

/**
 * mh_server_pace_record() - record a complete response
 * @server: the server's speed
 * @pool: its service's
 * @stream_ms: time from the first byte to the end
 * @events: number of its events
 * @expected_tokens: expected length of the response, 0 if the client stated none
 *
 * Return: speed of this response relative to the service's mean, greater is slower;
 * 0 if it was too short to tell.
 */
double mh_server_pace_record(struct mh_server_pace *server,
			     struct mh_pool_pace *pool, uint32_t stream_ms,
			     uint32_t events, uint32_t expected_tokens);

/**
 * struct mh_pace_run - a request for which a server is chosen
 * @first_ms: expected time to its first byte at a server of mean speed
 * @expected_tokens: expected length of the response, 0 if the client stated none
 * @left_ms: time until its deadline
 * @in_target_ms: time until the latest start that meets its target latency, 0 if it
 *                can't be met any more
 */
struct mh_pace_run {
	double first_ms;
	uint32_t expected_tokens;
	double left_ms;
	double in_target_ms;
};

/**
 * struct mh_pace_faster - faster servers that have no free slot
 * @event_ms: mean of their speeds
 * @wait_ms: expected time until one of their slots is free for the request
 */
struct mh_pace_faster {
	double event_ms;
	double wait_ms;
};

/**
 * mh_server_pace_waits() - whether a request ends earlier if it waits for a slot of a
 *                          faster server
 * @pool: speed of the service
 * @run: request
 * @free: speed of the server that has a free slot
 * @faster: faster servers
 */
bool mh_server_pace_waits(const struct mh_pool_pace *pool,
			  const struct mh_pace_run *run,
			  const struct mh_server_pace *free,
			  const struct mh_pace_faster *faster);

#endif
