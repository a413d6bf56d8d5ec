#include "core/server_pace.h"

/* Weight of the newest response in the means. */
#define SERVER_GAIN 0.2
#define POOL_GAIN 0.02
/* The pauses of a shorter response say little. */
#define MIN_EVENTS 4
/* A request waits only if it ends this much earlier. */
#define WORTHWHILE 0.8
/* Responses may be this much longer than their clients stated. */
#define LENGTH_MARGIN 1.6

static void update(double *mean, double value, double gain)
{
	*mean = *mean > 0 ? *mean + (value - *mean) * gain : value;
}

double mh_server_pace_record(struct mh_server_pace *server,
			     struct mh_pool_pace *pool, uint32_t stream_ms,
			     uint32_t events, uint32_t expected_tokens)
{
	double event_ms;

	if (expected_tokens && events)
		update(&pool->events_per_token,
		       (double)events / expected_tokens, POOL_GAIN);
	update(&pool->events, events, POOL_GAIN);
	if (events < MIN_EVENTS)
		return 0;
	event_ms = (double)(stream_ms ? stream_ms : 1) / (events - 1);
	update(&server->event_ms, event_ms, SERVER_GAIN);
	update(&pool->event_ms, event_ms, POOL_GAIN);
	return event_ms / pool->event_ms;
}

static double expected_events(const struct mh_pool_pace *pool,
			      uint32_t expected_tokens)
{
	if (expected_tokens && pool->events_per_token > 0)
		return expected_tokens * pool->events_per_token;
	return pool->events;
}

bool mh_server_pace_waits(const struct mh_pool_pace *pool,
			  const struct mh_pace_run *run,
			  const struct mh_server_pace *free,
			  const struct mh_pace_faster *faster)
{
	double events = expected_events(pool, run->expected_tokens);
	double first_ms, here_ms, there_ms;

	if (free->event_ms <= 0 || pool->event_ms <= 0 || events <= 0)
		return false;
	first_ms = run->first_ms / pool->event_ms;
	here_ms = first_ms * free->event_ms + events * free->event_ms;
	there_ms = faster->wait_ms + first_ms * faster->event_ms +
		   events * faster->event_ms;
	/* It would miss its target by waiting, but not here. */
	if (run->in_target_ms > 0 && faster->wait_ms > run->in_target_ms)
		return false;
	if (events * LENGTH_MARGIN * free->event_ms > run->left_ms &&
	    there_ms < run->left_ms)
		return true;
	return there_ms < here_ms * WORTHWHILE;
}
