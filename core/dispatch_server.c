/* Health of servers, derived from the outcome of clients' requests; there are
 * no separate health checks. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/dispatch_impl.h"

/* Nominal engine: time to the first event, prompt tokens per ms, time per
 * token of the response. Measured times are taken relative to it, so that runs
 * of different sizes can be compared. */
#define NOMINAL_FIRST_EVENT_MS 26.0
#define NOMINAL_PROMPT_TOKENS_PER_MS 150.0
#define NOMINAL_TOKEN_MS 3.9
/* Weight of the newest run in the means of a server and of a pool. */
#define LATENCY_GAIN 0.2
#define FAILURE_GAIN 0.15
#define POOL_GAIN 0.05
/* Means return to normal by this fraction every 200 ms, by half in 7 s, so that
 * a server which was slow for a while is tried again. */
#define DECAY_GAIN 0.02
/* A server this much slower than its pool gets fewer requests. Servers that
 * differ less, such as hardware generations, use all their slots. */
#define SLOW_LATENCY_RATIO 4.0
#define MAX_LATENCY_RATIO 40.0
/* Step of the random part of a server's cost, up to a tenth of an idle server's
 * cost. */
#define COST_NOISE_STEP (0.1 / 64)
/* Cost of a full server to a suspect, which goes where few runs would be lost
 * with it. */
#define SUSPECT_LOAD_COST 2.0
/* Failure rate above the mean of the pool beyond which a server is grey: it
 * responds, but fails more often than others. */
#define GREY_MARGIN 0.15
/* Failure rate above the mean of the other servers beyond which a server counts
 * as down; four failures in a row reach it. A server that fails at once always
 * has free slots and would attract the work of a busy pool. */
#define DOWN_MARGIN 0.4
/* Cost of a server whose limit is used up: servers without a limit go first. */
#define LIMIT_COST 1.0
/* Cost of a server that may be gone: all others go first. */
#define DOUBTFUL_COST 1000.0
/* A server with a limit gets a request at least this often if its limit allows,
 * since only its responses tell that the limit has ended. */
#define LIMIT_RECHECK_NS (2000 * MH_NS_PER_MS)
/* Most requests that are moved away in one pass over a pool. */
#define MOVES_MAX 64
/* Backoff of a server after a lost connection or failures: doubles from the
 * first value up to the second. */
#define BACKOFF_MIN_MS 150
#define BACKOFF_MAX_MS 1200
/* A server that loses this many connections in a row before their first byte
 * backs off, even if it still sends responses to earlier requests. One loss
 * may be chance, two in a row are unlikely to be. */
#define MAX_LOSSES 2
/* Constant part of the time-out for the first byte. A server that sends
 * nothing for this time-out, while a request waits for its first byte, gets no
 * further requests. */
#define FIRST_BYTE_SLACK_MS 450

static double nominal_engine_ms(const struct request *req, double tokens)
{
	return NOMINAL_FIRST_EVENT_MS +
	       req->prompt_tokens / NOMINAL_PROMPT_TOKENS_PER_MS +
	       tokens * NOMINAL_TOKEN_MS;
}

double mh_dispatch_expected_ms(const struct pool *p, const struct request *req)
{
	if (!p->is_engine)
		return p->plain_ms;
	return nominal_engine_ms(req, req->output_tokens) * p->total_time_ratio;
}

double mh_dispatch_expected_first_ms(const struct pool *p,
				     const struct request *req)
{
	if (!p->is_engine)
		return p->plain_ms;
	return nominal_engine_ms(req, 0) * p->first_byte_ratio;
}

double mh_dispatch_latest_start_ms(const struct mh_dispatch *d,
				   const struct pool *p,
				   const struct request *req)
{
	double ms = mh_dispatch_expected_first_ms(p, req), high_ms;

	if (d->conf.latest_start_percentile <= 0)
		return ms;
	high_ms = p->is_engine ? nominal_engine_ms(req, 0) *
					 p->high_first_byte_ratio.value :
				 p->high_plain_ms.value;
	return high_ms > ms ? high_ms : ms;
}

uint32_t mh_dispatch_server_slots(const struct mh_dispatch *d,
				  const struct server *s)
{
	uint32_t n =
		s->pool->conf_places ? s->pool->conf_places : s->info.places;

	if (!n)
		n = 1;
	return (n + d->n_sharing - 1) / d->n_sharing;
}

/* Time-out for the first byte: the constant part and, as a wide margin, three
 * times the time expected at this server. */
static uint64_t first_byte_timeout_ns(const struct request *req)
{
	const struct pool *p = req->pool;
	double ms = 3 * mh_dispatch_expected_first_ms(p, req);

	if (req->server->latency_ratio > 1)
		ms *= req->server->latency_ratio;
	return (uint64_t)((FIRST_BYTE_SLACK_MS + ms) * MH_NS_PER_MS);
}

bool mh_dispatch_server_takes_work(const struct server *s)
{
	return s->takes_work && !s->is_leaving;
}

bool mh_dispatch_is_silent(const struct server *s, uint64_t now_ns)
{
	const struct request *req = s->requests;

	if (!s->unanswered)
		return false;
	/* Find the oldest request that has no first byte yet. */
	while (req && req->answering)
		req = req->next;
	if (!req || s->last_answer_ns > req->placed_ns)
		return false;
	return now_ns > req->placed_ns + first_byte_timeout_ns(req);
}

/* Free slots without regard to the server's limit. */
static uint32_t unlimited_slots(const struct mh_dispatch *d,
				const struct server *s, uint64_t now_ns)
{
	uint32_t places = mh_dispatch_server_slots(d, s);

	if (!mh_dispatch_server_takes_work(s) || now_ns < s->backoff_until_ns ||
	    mh_dispatch_is_silent(s, now_ns))
		return 0;
	/* A half-open server gets one trial request at a time; requests that it
	 * already responds to don't count. */
	if (s->half_open)
		return !s->unanswered && s->held < places ? 1 : 0;
	if (s->latency_ratio > SLOW_LATENCY_RATIO)
		places = (uint32_t)(places * SLOW_LATENCY_RATIO /
				    s->latency_ratio) +
			 1;
	if (s->failure_rate > s->pool->failure_rate + GREY_MARGIN)
		places = (places + 1) / 2;
	return places > s->held ? places - s->held : 0;
}

uint32_t mh_dispatch_free_slots(const struct mh_dispatch *d, struct server *s,
				uint64_t now_ns)
{
	uint32_t n = unlimited_slots(d, s, now_ns);

	return n && mh_send_window_wait_ms(
			    &s->sends, mh_dispatch_limit_millihz(d, s, now_ns),
			    d->n_sharing, now_ns) ?
		       0 :
		       n;
}

uint32_t mh_dispatch_limit_wait_ms(const struct mh_dispatch *d,
				   struct server *s, uint64_t now_ns)
{
	if (!unlimited_slots(d, s, now_ns))
		return 0;
	return mh_send_window_wait_ms(&s->sends,
				      mh_dispatch_limit_millihz(d, s, now_ns),
				      d->n_sharing, now_ns);
}

uint64_t mh_dispatch_hash(const char *id)
{
	return XXH3_64bits(id, strlen(id));
}

uint64_t mh_dispatch_mix(uint64_t n)
{
	return XXH3_64bits(&n, sizeof(n));
}

uint64_t mh_server_incarnation(const struct mh_server_ref *server)
{
	return mh_dispatch_hash(server->id) ^ mh_dispatch_mix(server->born_ms);
}

static bool avoids(const struct request *req, const struct server *s)
{
	uint32_t i;

	for (i = 0; i < req->n_avoid; i++) {
		if (req->avoid[i] == s->id_hash)
			return true;
	}
	return false;
}

static bool is_recheck_due(const struct server *s, uint64_t now_ns)
{
	return s->limit.max_millihz != MH_NO_LIMIT &&
	       now_ns > s->sends.last_ns + LIMIT_RECHECK_NS &&
	       s->latency_ratio <= SLOW_LATENCY_RATIO;
}

static double cost(const struct mh_dispatch *d, struct server *s,
		   uint64_t now_ns)
{
	double excess = s->failure_rate - s->pool->failure_rate;
	double used = mh_send_window_used(
		&s->sends, mh_dispatch_limit_millihz(d, s, now_ns),
		d->n_sharing, now_ns);
	double c = s->latency_ratio *
		   (1.0 + (double)s->held / mh_dispatch_server_slots(d, s));

	if (s->is_doubtful)
		return DOUBTFUL_COST + c;
	if (is_recheck_due(s, now_ns))
		return 0;
	c += LIMIT_COST * used;

	if (excess > GREY_MARGIN)
		c *= 1.0 + 10.0 * excess;
	return c;
}

struct server *mh_dispatch_pick(struct mh_dispatch *d, struct pool *p,
				const struct request *req, uint64_t now_ns)
{
	struct server *s, *tmp, *best = NULL, *fallback = NULL;
	bool suspect = mh_dispatch_is_suspect(d, req, now_ns);
	double best_cost = 0, c, version_cost;
	uint64_t only_at = 0;

	if (suspect && !mh_dispatch_may_run(d, req, now_ns, &only_at))
		return NULL;
	HASH_ITER(hh, p->servers, s, tmp) {
		if (!mh_dispatch_free_slots(d, s, now_ns))
			continue;
		if (only_at ? s->incarnation != only_at :
			      suspect && !mh_dispatch_may_run_at(d, s, req,
								 now_ns))
			continue;
		if (!mh_dispatch_allows(d, s, (uint32_t)req->key.owner, now_ns))
			continue;
		/* Before the fallback: no request goes to a forbidden version. */
		if (!mh_dispatch_version_allows(d, s, req, &version_cost))
			continue;
		if (avoids(req, s) || (suspect && s->half_open)) {
			fallback = s;
			continue;
		}
		/* The random part spreads work over servers of similar cost. */
		c = version_cost + cost(d, s, now_ns) +
		    (double)(mh_rng_next(&d->rng) % 64) * COST_NOISE_STEP;
		if (suspect)
			c += SUSPECT_LOAD_COST * s->held /
			     mh_dispatch_server_slots(d, s);
		if (best && c >= best_cost)
			continue;
		best = s;
		best_cost = c;
	}
	return best ? best : fallback;
}

/* Only a server that is expected to respond at the usual speed: a hedged request
 * at a slow or failing one gains nothing. */
struct server *mh_dispatch_pick_hedge(struct mh_dispatch *d, struct pool *p,
				      const struct request *hedge,
				      uint64_t now_ns)
{
	struct server *s = mh_dispatch_pick(d, p, hedge, now_ns);

	if (!s || avoids(hedge, s))
		return NULL;
	if (s->is_doubtful || s->half_open || is_recheck_due(s, now_ns) ||
	    s->latency_ratio > SLOW_LATENCY_RATIO ||
	    s->failure_rate > p->failure_rate + GREY_MARGIN)
		return NULL;
	return s;
}

/* A request is overdue after the time-out if its server is silent, and after
 * twice the time-out if the server, which may only be slow, responds to others.
 */
static bool is_overdue(const struct request *req, bool silent, uint64_t now_ns)
{
	uint64_t timeout_ns = first_byte_timeout_ns(req);

	if (req->answering || !req->is_repeatable)
		return false;
	return now_ns > req->placed_ns + (silent ? timeout_ns : 2 * timeout_ns);
}

void mh_dispatch_move_overdue(struct mh_dispatch *d, struct pool *p,
			      uint64_t now_ns)
{
	struct request_key moves[MOVES_MAX];
	struct server *s, *tmp;
	struct request *req;
	uint32_t n = 0, i;

	HASH_ITER(hh, p->servers, s, tmp) {
		bool silent = mh_dispatch_is_silent(s, now_ns);

		DL_FOREACH(s->requests, req) {
			struct server *other;

			if (n == MOVES_MAX || !is_overdue(req, silent, now_ns))
				continue;
			other = mh_dispatch_pick(d, p, req, now_ns);
			if (!other || other == s ||
			    !mh_dispatch_take_retry(d, p))
				continue;
			/* Move a request away from a slot only once. */
			req->is_repeatable = false;
			moves[n++] = req->key;
		}
	}
	/* The callback of an entry's own dispatcher releases the slot at once,
	 * which changes the lists walked above. */
	for (i = 0; i < n; i++)
		d->ops->move(d->data, (uint32_t)moves[i].owner, moves[i].id);
}

void mh_dispatch_take_slot(struct server *s, struct request *req)
{
	req->server = s;
	DL_APPEND(s->requests, req);
	s->held++;
	s->pool->held++;
	if (!req->answering)
		s->unanswered++;
}

void mh_dispatch_release_slot(struct request *req)
{
	struct server *s = req->server;

	DL_DELETE(s->requests, req);
	s->held--;
	s->pool->held--;
	if (!req->answering)
		s->unanswered--;
	req->server = NULL;
}

static void update_mean(double *mean, double value, double gain)
{
	*mean += (value - *mean) * gain;
}

static void update_latency_ratio(struct server *s, double ratio, double gain)
{
	if (ratio > MAX_LATENCY_RATIO)
		ratio = MAX_LATENCY_RATIO;
	update_mean(&s->latency_ratio, ratio, gain);
}

void mh_dispatch_record_first_byte(const struct mh_dispatch *d,
				   struct request *req, uint32_t first_ms,
				   uint64_t now_ns)
{
	struct server *s = req->server;

	if (req->answering)
		return;
	req->answering = true;
	req->answered_ns = now_ns;
	req->first_ms = first_ms;
	s->unanswered--;
	s->lost_in_a_row = 0;
	s->last_answer_ns = now_ns;
	if (s->pool->is_engine) {
		double ratio = first_ms / nominal_engine_ms(req, 0);

		update_mean(&s->pool->first_byte_ratio, ratio, POOL_GAIN);
		mh_quantile_add(&s->pool->high_first_byte_ratio,
				d->conf.latest_start_percentile / 100, ratio);
		update_latency_ratio(s, ratio / s->pool->first_byte_ratio,
				     LATENCY_GAIN / 2);
	}
}

/* A slow server would pass for one of normal speed if all that it is slow for is
 * cancelled before it responds. */
void mh_dispatch_record_beaten(struct request *req, double ratio)
{
	update_latency_ratio(req->server, ratio, LATENCY_GAIN / 2);
}

static void back_off(struct server *s, uint64_t now_ns)
{
	if (now_ns < s->backoff_until_ns)
		return;
	s->backoff_ms = s->backoff_ms ? s->backoff_ms * 2 : BACKOFF_MIN_MS;
	if (s->backoff_ms > BACKOFF_MAX_MS)
		s->backoff_ms = BACKOFF_MAX_MS;
	s->backoff_until_ns = now_ns + s->backoff_ms * MH_NS_PER_MS;
	s->half_open = true;
}

/* Return: mean failure rate of the pool's other servers; 1 if there are none,
 * since no server is better then. */
static double others_failure_rate(const struct server *s)
{
	struct server *other, *tmp;
	double sum = 0;
	uint32_t n = 0;

	HASH_ITER(hh, s->pool->servers, other, tmp) {
		if (other == s || !mh_dispatch_server_takes_work(other))
			continue;
		sum += other->failure_rate;
		n++;
	}
	return n ? sum / n : 1;
}

/* Whether a pool has a server, other than this one, that does not back off. */
static bool has_other_server(const struct server *s, uint64_t now_ns)
{
	struct server *other, *tmp;

	HASH_ITER(hh, s->pool->servers, other, tmp) {
		if (other != s && mh_dispatch_server_takes_work(other) &&
		    now_ns >= other->backoff_until_ns)
			return true;
	}
	return false;
}

static void record_success(const struct mh_dispatch *d, struct request *req,
			   uint32_t total_ms)
{
	struct server *s = req->server;
	struct pool *p = s->pool;
	double ms = total_ms > 0 ? total_ms : 1;

	s->backoff_ms = 0;
	s->lost_in_a_row = 0;
	s->half_open = false;
	if (p->is_engine) {
		double ratio = ms / nominal_engine_ms(req, req->output_tokens);

		update_mean(&p->total_time_ratio, ratio, POOL_GAIN);
		ratio /= p->total_time_ratio;
		if (d->conf.length_aware)
			ratio = mh_dispatch_record_pace(req, total_ms);
		if (ratio > 0)
			update_latency_ratio(s, ratio, LATENCY_GAIN);
	} else {
		update_mean(&p->plain_ms, ms, POOL_GAIN);
		mh_quantile_add(&p->high_plain_ms,
				d->conf.latest_start_percentile / 100, ms);
		update_latency_ratio(s, ms / p->plain_ms, LATENCY_GAIN / 2);
	}
	update_mean(&p->queues[req->tier].hold_ms, ms, POOL_GAIN);
}

void mh_dispatch_record_outcome(struct mh_dispatch *d, struct request *req,
				enum mh_slot_outcome outcome, uint32_t total_ms,
				uint64_t now_ns)
{
	struct server *s = req->server;

	/* The server did not begin to work on it, so it proves nothing. */
	if (outcome == MH_SLOT_DECLINED)
		mh_dispatch_close_run(d, req);
	if (outcome == MH_SLOT_LOST)
		mh_dispatch_record_lost(d, req, now_ns);
	else if (outcome == MH_SLOT_OK || outcome == MH_SLOT_DECLINED ||
		 outcome == MH_SLOT_FAILED || outcome == MH_SLOT_CORRUPT)
		mh_dispatch_record_response(d, req, now_ns);
	else if (outcome == MH_SLOT_TIMED_OUT || outcome == MH_SLOT_CANCELLED)
		mh_dispatch_record_unanswered(d, req, now_ns);
	else if (outcome == MH_SLOT_UNPROVEN)
		mh_dispatch_record_unproven(req, now_ns);
	switch (outcome) {
	case MH_SLOT_OK:
	case MH_SLOT_DECLINED:
		mh_suspects_clear(d->suspects, req->features->request, now_ns);
		/* fallthrough */
	case MH_SLOT_UNPROVEN:
		s->last_answer_ns = now_ns;
		mh_dispatch_record_alive(d, s, now_ns);
		record_success(d, req, total_ms);
		update_mean(&s->failure_rate, 0, FAILURE_GAIN);
		break;
	case MH_SLOT_FAILED:
		s->last_answer_ns = now_ns;
		s->half_open = false;
		update_mean(&s->failure_rate, 1, FAILURE_GAIN);
		if (s->failure_rate > others_failure_rate(s) + DOWN_MARGIN)
			back_off(s, now_ns);
		break;
	case MH_SLOT_CORRUPT:
	case MH_SLOT_LOST:
		update_mean(&s->failure_rate, 1, FAILURE_GAIN);
		if (!req->answering)
			s->lost_in_a_row++;
		/* The server responds: requests that it answers well need not
		 * wait if no other server is left. */
		if (outcome == MH_SLOT_CORRUPT && !has_other_server(s, now_ns))
			break;
		/* One lost connection does not mean that the server is down
		 * if it still sends other responses. */
		if (s->held == s->unanswered || s->lost_in_a_row >= MAX_LOSSES)
			back_off(s, now_ns);
		break;
	case MH_SLOT_UNREACHABLE:
		back_off(s, now_ns);
		break;
	case MH_SLOT_REJECTED:
		/* Its queue is full, or it is draining. A pause concerns one
		 * entry only. */
		s->last_answer_ns = now_ns;
		if (!mh_dispatch_is_paused(s, (uint32_t)req->key.owner, now_ns))
			back_off(s, now_ns);
		break;
	case MH_SLOT_TIMED_OUT:
		update_latency_ratio(s, MAX_LATENCY_RATIO / 4, LATENCY_GAIN);
		break;
	default:
		break;
	}
}

void mh_dispatch_decay_stats(struct pool *p)
{
	struct server *s, *tmp;
	double failure_rate = 0;

	/* Mean over servers, not over runs: a server that fails at once gets
	 * most of the runs. */
	HASH_ITER(hh, p->servers, s, tmp)
		failure_rate += s->failure_rate;
	if (p->servers)
		p->failure_rate = failure_rate / HASH_COUNT(p->servers);
	HASH_ITER(hh, p->servers, s, tmp) {
		update_mean(&s->latency_ratio, 1, DECAY_GAIN);
		update_mean(&s->failure_rate, p->failure_rate, DECAY_GAIN);
	}
}

void mh_dispatch_free_server(struct mh_dispatch *d, struct pool *p,
			     struct server *s)
{
	mh_dispatch_drop_ended(s);
	mh_dispatch_drop_undecided(d, s);
	HASH_DEL(p->servers, s);
	mh_dispatch_drop_pauses(s);
	free((char *)s->info.id);
	free((char *)s->info.service);
	free((char *)s->info.address);
	free((char *)s->info.version);
	free(s);
}
