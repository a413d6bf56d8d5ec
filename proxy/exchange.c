#include "proxy/exchange.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/check_alloc.h"
#include "proxy/exchange_impl.h"

/* For clients that send no deadline. */
#define DEFAULT_DEADLINE_MS 30000
/* Target latency of routes that set none. */
#define DEFAULT_TARGET_MS 1000
/* Retries after servers that did not run the request. They do not count as
 * attempts of the route. */
#define MAX_NOT_RUN_RETRIES 4
/* Slots that a notice forbids to use, after each of which the dispatcher is told
 * again. One of an older version does not understand it. */
#define MAX_HELD_BACK_RETRIES 16
/* For this long after the start the first configuration is expected, and a
 * request waits for it at most so long. */
#define CONFIG_DUE_NS (1000 * MH_NS_PER_MS)
#define CONFIG_WAIT_NS (400 * MH_NS_PER_MS)
/* Retry-After where no estimate of the wait is available. */
#define DEFAULT_RETRY_AFTER_MS 400

struct mh_exchanges *mh_exchanges_new(const struct mh_exchange_env *env)
{
	struct mh_exchanges *set = mh_check_alloc(calloc(1, sizeof(*set)));

	set->env = *env;
	set->began_ns = mh_clock_mono_ns(env->clock);
	return set;
}

void mh_exchange_free(struct exchange *x)
{
	uint32_t i;

	HASH_DEL(x->set->all, x);
	mh_timer_clear(x->set->env.timers, &x->timer);
	mh_timer_clear(x->set->env.timers, &x->discard_timer);
	for (i = 0; i < x->n_tried; i++)
		free(x->tried[i]);
	free(x->server);
	free(x->address);
	free(x->hedge.server);
	free(x->hedge.address);
	mh_exchange_drop_partial_event(x);
	mh_routes_unref(x->routes);
	free(x);
}

void mh_exchanges_free(struct mh_exchanges *set)
{
	struct exchange *x, *tmp;

	if (!set)
		return;
	HASH_ITER(hh, set->all, x, tmp)
		mh_exchange_free(x);
	mh_routes_unref(set->routes);
	free(set);
}

uint32_t mh_exchanges_count(const struct mh_exchanges *set)
{
	return HASH_COUNT(set->all);
}

/* Closes the server's connection, which is read a little longer if the server
 * has not responded yet. */
static void close_upstream(struct exchange *x)
{
	struct mh_server_ref server = mh_exchange_server(x);

	if (x->upstream && !x->status)
		mh_abandoned_add(x->set->env.abandoned, x->upstream, &server);
	else if (x->upstream)
		mh_upstream_cancel(x->upstream);
	x->upstream = NULL;
}

/* Releases the slot and closes the server's connection. */
void mh_exchange_release_slot(struct exchange *x, enum mh_slot_outcome outcome)
{
	close_upstream(x);
	mh_timer_clear(x->set->env.timers, &x->discard_timer);
	if (mh_slot_is_uncharged(outcome) && x->charged_slot == x->slot_id)
		x->charged_slot = 0;
	mh_slot_client_release(
		x->set->env.slot_client, x->slot_id, outcome,
		x->sent_ns ? mh_exchange_elapsed_ms(x, x->sent_ns) : 0,
		x->judge.events.events);
}

static void send_error(struct exchange *x, enum mh_error error,
		       uint32_t retry_after_ms)
{
	const struct mh_error_info *info = mh_error_info(error);
	struct mh_client *cl = x->client;
	bool unknown = info->outcome == MH_OUTCOME_UNKNOWN;

	mh_count(x->set->env.counters, unknown ? MH_C_FAILED : MH_C_REFUSED);
	mh_event(mh_exchange_log(x), unknown ? MH_EV_FAILED : MH_EV_REFUSED,
		 "event=%s id=%.*s request=%llu error=%s status=%u route=%s "
		 "account=%s tier=%u held_ms=%u retry_after_ms=%u servers=%u "
		 "server=%s version=%llu fingerprint=%016llx",
		 unknown ? "failed" : "refused", (int)x->wire.id.len,
		 x->wire.id.p ? x->wire.id.p : "", (unsigned long long)x->id,
		 info->name, info->status, x->route ? x->route->name : "",
		 x->account ? x->account->name : "",
		 x->route ? mh_dispatch_tier(x->account, x->route) : 0,
		 mh_exchange_elapsed_ms(x, x->arrived_ns), retry_after_ms,
		 x->servers_reached, x->server ? x->server : "",
		 x->routes ? (unsigned long long)mh_routes_version(x->routes) :
			     0,
		 (unsigned long long)x->fingerprint);
	mh_exchange_observe_refusal(x, info->name);
	mh_exchange_observe_total(x, unknown ? "failed" : "refused");
	mh_client_append_error(mh_client_out(cl), error, retry_after_ms,
			       x->wire.id, mh_client_will_close(cl),
			       mh_http_is_head(x->head));
	mh_exchange_free(x);
	mh_client_finish(cl);
}

/* Aborts a response whose head has already been forwarded. */
static void abort_response(struct exchange *x, const char *why)
{
	struct mh_client *cl = x->client;

	mh_count(x->set->env.counters, MH_C_CUT);
	mh_event(mh_exchange_log(x), MH_EV_FAILED,
		 "event=cut id=%.*s why=%s route=%s server=%s events=%u "
		 "held_ms=%u servers=%u fingerprint=%016llx "
		 "http_minor=%u framing=%s bytes=%llu end=%s",
		 (int)x->wire.id.len, x->wire.id.p, why, x->route->name,
		 x->server ? x->server : "", x->events,
		 mh_exchange_elapsed_ms(x, x->arrived_ns), x->servers_reached,
		 (unsigned long long)x->fingerprint, x->head->minor,
		 mh_framing_name(x->judge.framing),
		 (unsigned long long)x->judge.bytes,
		 mh_response_end_name(x->end));
	mh_exchange_observe_total(x, "cut");
	mh_exchange_free(x);
	mh_client_abort(cl);
}

uint32_t mh_exchange_remaining_ms(const struct exchange *x)
{
	uint64_t now_ns = mh_exchange_now_ns(x);

	return now_ns < x->deadline_ns ?
		       (uint32_t)((x->deadline_ns - now_ns) / MH_NS_PER_MS) :
		       0;
}

/* Ends the request with an error once no further server is tried. An error that
 * says "not run" is replaced if an earlier server may have run the request. */
static void give_up(struct exchange *x, enum mh_error error,
		    uint32_t retry_after_ms)
{
	if (x->head_forwarded) {
		abort_response(x, mh_error_info(error)->name);
		return;
	}
	if (x->may_have_run &&
	    mh_error_info(error)->outcome == MH_OUTCOME_NOT_RUN)
		error = MH_ERR_BACKEND_FAILED;
	send_error(x, error, retry_after_ms);
}

static void on_timeout(void *data)
{
	struct exchange *x = data;

	if (x->phase == PHASE_UNROUTED) {
		give_up(x, MH_ERR_NOT_READY, DEFAULT_RETRY_AFTER_MS);
		return;
	}
	if (x->phase == PHASE_WAITING) {
		mh_exchange_release_slot(x, MH_SLOT_UNUSED);
		give_up(x, MH_ERR_OVERLOADED, DEFAULT_RETRY_AFTER_MS);
		return;
	}
	x->servers_reached++;
	mh_exchange_drop_hedge(x, MH_SLOT_TIMED_OUT);
	mh_exchange_release_slot(x, MH_SLOT_TIMED_OUT);
	give_up(x, MH_ERR_TIMEOUT, 0);
}

static uint32_t quota_units(const struct exchange *x)
{
	if (!x->account || x->account->rate_per_s <= 0)
		return 0;
	if (!x->account->in_tokens)
		return 1;
	return x->wire.has_tokens ?
		       x->wire.prompt_tokens + x->wire.output_tokens :
		       x->account->plain_tokens;
}

/* Whether a request that may have run may be run again. */
bool mh_exchange_is_repeatable(const struct exchange *x)
{
	return x->route->kind == MH_ROUTE_IDEMPOTENT ||
	       (x->route->kind == MH_ROUTE_STREAM && x->route->is_resumable);
}

static void request_slot(struct exchange *x)
{
	uint32_t target_latency_ms = x->route->target_latency_ms ?
					     x->route->target_latency_ms :
					     DEFAULT_TARGET_MS;
	struct mh_slot_request slot_req = {
		.id = x->id,
		.service = x->service,
		.account = x->account ? x->account->name : "",
		.tier = mh_dispatch_tier(x->account, x->route),
		.units = x->charged_slot ? 0 : quota_units(x),
		.prompt_tokens = x->wire.prompt_tokens,
		.output_tokens = x->wire.output_tokens,
		.expected_tokens = x->wire.expected_tokens,
		.target_ns = x->arrived_ns + target_latency_ms * MH_NS_PER_MS,
		.start_by_ns = x->deadline_ns,
		.deadline_ns = x->deadline_ns,
		.fingerprint = x->fingerprint,
		.kind = XXH3_64bits(x->route->name, strlen(x->route->name)),
		.n_parts = x->wire.n_parts,
		.parts = x->wire.parts,
		.is_repeat = x->servers_reached > 0,
		.is_repeatable = mh_exchange_is_repeatable(x) &&
				 x->attempts + 1 < x->route->max_attempts,
		.is_moved = x->is_moved,
		.n_avoid = x->n_tried,
	};

	if (x->route->client_idle_timeout_ms && !x->head_forwarded)
		slot_req.start_by_ns =
			x->arrived_ns +
			x->route->client_idle_timeout_ms * MH_NS_PER_MS;
	if (slot_req.start_by_ns > slot_req.deadline_ns)
		slot_req.start_by_ns = slot_req.deadline_ns;
	memcpy(slot_req.avoid, x->tried, sizeof(slot_req.avoid));
	x->phase = PHASE_WAITING;
	x->slot_id = x->id;
	x->slot_requested_ns = mh_exchange_now_ns(x);
	x->is_moved = false;
	mh_slot_client_request(x->set->env.slot_client, &slot_req);
}

/* Takes over @server. */
void mh_exchange_add_tried(struct exchange *x, char *server)
{
	if (x->n_tried < MH_AVOID_MAX) {
		x->tried[x->n_tried++] = server;
		return;
	}
	free(x->tried[0]);
	memmove(x->tried, x->tried + 1,
		(MH_AVOID_MAX - 1) * sizeof(x->tried[0]));
	x->tried[MH_AVOID_MAX - 1] = server;
}

static void retry(struct exchange *x, const char *why)
{
	mh_count(x->set->env.counters, MH_C_SENT_AGAIN);
	mh_event(mh_exchange_log(x), MH_EV_RETRIED,
		 "event=again id=%.*s why=%s route=%s server=%s servers=%u "
		 "events=%u left_ms=%u fingerprint=%016llx "
		 "http_minor=%u framing=%s bytes=%llu end=%s",
		 (int)x->wire.id.len, x->wire.id.p, why, x->route->name,
		 x->server, x->servers_reached, x->events,
		 mh_exchange_remaining_ms(x),
		 (unsigned long long)x->fingerprint, x->head->minor,
		 mh_framing_name(x->judge.framing),
		 (unsigned long long)x->judge.bytes,
		 mh_response_end_name(x->end));
	mh_exchange_add_tried(x, x->server);
	x->server = NULL;
	x->sent_ns = 0;
	request_slot(x);
}

/* The server did not run the request: retry it on another one. */
void mh_exchange_on_not_run(struct exchange *x, const char *why)
{
	if (mh_exchange_use_hedge(x))
		return;
	if (x->not_run_count++ < MAX_NOT_RUN_RETRIES &&
	    mh_exchange_remaining_ms(x) > MH_EXCHANGE_MIN_REMAINING_MS)
		retry(x, why);
	else
		give_up(x, MH_ERR_UNREACHABLE, DEFAULT_RETRY_AFTER_MS);
}

enum mh_send_verdict
mh_exchange_check_server(const struct mh_exchange_env *env,
			 const struct mh_server_ref *server)
{
	enum mh_send_verdict verdict =
		mh_server_notices_check(env->notices, server);

	if (verdict == MH_SEND_ALLOWED &&
	    !mh_slot_client_may_send(env->slot_client, server))
		return MH_SEND_UNREGISTERED;
	if (verdict == MH_SEND_ALLOWED &&
	    !mh_slot_client_allows_version(env->slot_client, server))
		return MH_SEND_EXCLUDED;
	return verdict;
}

/* The server said meanwhile that it leaves or wants a pause, its registration was
 * removed, or its version rolled back: ask for another slot, once the dispatcher knows as well. */
void mh_exchange_on_held_back(struct exchange *x)
{
	struct mh_server_ref server = mh_exchange_server(x);
	enum mh_send_verdict verdict =
		mh_exchange_check_server(&x->set->env, &server);

	mh_count(x->set->env.counters, MH_C_HELD_BACK);
	mh_event(mh_exchange_log(x), MH_EV_RETRIED,
		 "event=held_back id=%.*s why=%s route=%s server=%s left_ms=%u",
		 (int)x->wire.id.len, x->wire.id.p,
		 mh_send_verdict_name(verdict), x->route->name, x->server,
		 mh_exchange_remaining_ms(x));
	mh_notice_relay_repeat(mh_slot_client_notices(x->set->env.slot_client),
			       &server);
	if (verdict == MH_SEND_UNREGISTERED)
		mh_slot_client_send_registration(x->set->env.slot_client,
						 &server);
	mh_exchange_release_slot(x, MH_SLOT_HELD_BACK);
	if (mh_exchange_use_hedge(x))
		return;
	x->sent_ns = 0;
	if (x->held_back_count++ < MAX_HELD_BACK_RETRIES &&
	    mh_exchange_remaining_ms(x) > MH_EXCHANGE_MIN_REMAINING_MS)
		request_slot(x);
	else
		give_up(x, MH_ERR_SERVERS_PAUSED, DEFAULT_RETRY_AFTER_MS);
}

/* The server may have run the request and sent no complete response: retry
 * the request only if it is repeatable. */
void mh_exchange_on_outcome_unknown(struct exchange *x, enum mh_error error)
{
	bool can_continue = !x->head_forwarded || mh_exchange_can_resume(x);

	x->may_have_run = true;
	if (mh_exchange_use_hedge(x))
		return;
	if (mh_exchange_is_repeatable(x) &&
	    x->attempts < x->route->max_attempts &&
	    mh_exchange_remaining_ms(x) > MH_EXCHANGE_MIN_REMAINING_MS &&
	    can_continue)
		retry(x, mh_error_info(error)->name);
	else
		give_up(x, error, 0);
}

/* Sends the request over a connection to a server.
 * Return: NULL if there is none. */
struct mh_upstream *mh_exchange_open(struct exchange *x,
				     const struct mh_server_ref *server,
				     const struct mh_upstream_ops *ops)
{
	struct mh_wire_forward add = {
		.server = server->id,
		.account = x->account ? x->account->name : NULL,
		.deadline_ms = mh_exchange_remaining_ms(x),
		.body_len = x->body->len,
		.last_event = x->last_event[0] ? x->last_event : NULL,
	};
	struct mh_buffer buf = { 0 };
	struct mh_upstream *u;

	if (!mh_wire_write_request(&buf, x->head, &add))
		abort();
	u = mh_upstream_send(x->set->env.upstreams, server, &buf, x->body,
			     mh_http_is_head(x->head), ops, x);
	if (!u)
		mh_buffer_release(&buf);
	return u;
}

static void send_request(struct exchange *x)
{
	struct mh_exchanges *set = x->set;
	struct mh_server_ref server = mh_exchange_server(x);

	if (mh_exchange_check_server(&set->env, &server) != MH_SEND_ALLOWED) {
		mh_exchange_on_held_back(x);
		return;
	}
	x->phase = PHASE_SENT;
	mh_exchange_init_response(x);
	x->sent_ns = mh_exchange_now_ns(x);
	x->upstream = mh_exchange_open(x, &server, &mh_exchange_upstream_ops);
	if (!x->upstream) {
		mh_exchange_release_slot(x, MH_SLOT_UNREACHABLE);
		mh_exchange_on_not_run(x, "no_connection");
		return;
	}
	mh_count(set->env.counters, MH_C_SENT);
	mh_event(mh_exchange_log(x), MH_EV_SENT,
		 "event=sent id=%.*s request=%llu server=%s address=%s "
		 "deadline_ms=%u waited_ms=%u servers=%u fingerprint=%016llx",
		 (int)x->wire.id.len, x->wire.id.p, (unsigned long long)x->id,
		 x->server, x->address, mh_exchange_remaining_ms(x),
		 mh_exchange_elapsed_ms(x, x->arrived_ns), x->servers_reached,
		 (unsigned long long)x->fingerprint);
}

struct exchange *mh_exchange_find(const struct mh_exchanges *set, uint64_t id)
{
	struct exchange *x;

	HASH_FIND(hh, set->all, &id, sizeof(id), x);
	return x;
}

void mh_exchange_granted(struct mh_exchanges *set, uint64_t id,
			 const struct mh_server_ref *server)
{
	struct exchange *x = mh_exchange_find(set, id);

	if (!x || x->phase != PHASE_WAITING)
		return;
	if (mh_exchange_remaining_ms(x) <= MH_EXCHANGE_MIN_REMAINING_MS) {
		mh_exchange_release_slot(x, MH_SLOT_UNUSED);
		give_up(x, MH_ERR_OVERLOADED, DEFAULT_RETRY_AFTER_MS);
		return;
	}
	mh_exchange_observe_slot_wait(x);
	x->charged_slot = x->slot_id;
	free(x->server);
	free(x->address);
	x->server = mh_check_alloc(strdup(server->id));
	x->address = mh_check_alloc(strdup(server->address));
	x->born_ms = server->born_ms;
	send_request(x);
}

void mh_exchange_refused(struct mh_exchanges *set, uint64_t id,
			 enum mh_error error, uint32_t retry_after_ms)
{
	struct exchange *x = mh_exchange_find(set, id);

	if (x)
		give_up(x, error, retry_after_ms);
}

void mh_exchange_move(struct mh_exchanges *set, uint64_t id)
{
	struct exchange *x = mh_exchange_find(set, id);

	/* One with a run at a second server has nothing to gain. */
	if (!x || x->phase != PHASE_SENT || !x->upstream || x->hedge.upstream)
		return;
	x->servers_reached++;
	x->attempts++;
	x->is_moved = true;
	mh_exchange_release_slot(x, MH_SLOT_TIMED_OUT);
	mh_exchange_on_outcome_unknown(x, MH_ERR_TIMEOUT);
}

/* A caller may have several keys; the server sees the account only. */
static uint64_t fingerprint_of(const struct exchange *x)
{
	const char *account = x->account ? x->account->name : "";
	uint64_t h = mh_fingerprint_add(0, account, strlen(account));

	h = mh_fingerprint_add(h, x->head->method.p, x->head->method.len);
	h = mh_fingerprint_add(h, x->head->target.p, x->head->target.len);
	return mh_fingerprint_add(h, mh_buffer_front(x->body), x->body->len);
}

static struct mh_http_text host_of(const struct mh_http_head *head)
{
	struct mh_http_text host = mh_http_header_find(head, "Host");
	const char *colon = host.p ? memrchr(host.p, ':', host.len) : NULL;

	if (colon)
		host.len = (size_t)(colon - host.p);
	return host;
}

/* Finds the route, account and service.
 * Return: MH_OK, or why the configuration does not allow the request. */
static enum mh_error admit(struct exchange *x)
{
	struct mh_http_text host = host_of(x->head);
	struct mh_http_text target = x->head->target;

	if (!host.p || !target.len || target.p[0] != '/')
		return MH_ERR_BAD_REQUEST;
	/* One that nobody keeps could crash servers without being suspected. */
	if (x->wire.has_too_many_parts)
		return MH_ERR_HEAD_TOO_LARGE;
	x->route = mh_routes_find(x->routes, host.p, host.len, target.p,
				  target.len);
	if (!x->route)
		return MH_ERR_NO_ROUTE;
	if (!x->route->is_public && mh_routes_has_accounts(x->routes)) {
		x->account = mh_routes_account_by_key(
			x->routes, x->wire.key.p ? x->wire.key.p : "",
			x->wire.key.len);
		if (!x->account)
			return MH_ERR_UNAUTHORIZED;
	}
	x->service = mh_routes_pick_service(
		x->route,
		XXH3_64bits(x->wire.id.p ? x->wire.id.p : "", x->wire.id.len));
	if (!x->service)
		return MH_ERR_NO_ROUTE;
	return MH_OK;
}

static void set_deadline(struct exchange *x)
{
	uint32_t ms =
		x->wire.deadline_ms ? x->wire.deadline_ms : DEFAULT_DEADLINE_MS;

	if (x->route->timeout_ms && x->route->timeout_ms < ms)
		ms = x->route->timeout_ms;
	x->deadline_ns = x->arrived_ns + ms * MH_NS_PER_MS;
	mh_timer_set(x->set->env.timers, &x->timer, x->deadline_ns);
}

/* Begins a request under the configuration that is in force now. */
static void begin_routed(struct exchange *x)
{
	struct mh_exchanges *set = x->set;
	enum mh_error error;

	x->routes = mh_routes_ref(set->routes);
	x->phase = PHASE_WAITING;
	mh_timer_clear(set->env.timers, &x->timer);
	error = admit(x);
	if (error != MH_OK) {
		send_error(x, error, 0);
		return;
	}
	mh_client_set_data(x->client, x);
	set_deadline(x);
	x->fingerprint = fingerprint_of(x);
	mh_event(set->env.log, MH_EV_ADMITTED,
		 "event=admitted id=%.*s route=%s account=%s service=%s "
		 "units=%u left_ms=%u version=%llu",
		 (int)x->wire.id.len, x->wire.id.p, x->route->name,
		 x->account ? x->account->name : "", x->service, quota_units(x),
		 mh_exchange_remaining_ms(x),
		 (unsigned long long)mh_routes_version(x->routes));
	request_slot(x);
}

/* Just after the start the first configuration is due in a moment: a caller that
 * waits is served sooner than one that is sent away. */
static void hold_or_refuse(struct exchange *x)
{
	uint64_t until_ns = x->set->began_ns + CONFIG_DUE_NS;

	if (until_ns > x->arrived_ns + CONFIG_WAIT_NS)
		until_ns = x->arrived_ns + CONFIG_WAIT_NS;
	if (x->arrived_ns >= until_ns) {
		send_error(x, MH_ERR_NOT_READY, DEFAULT_RETRY_AFTER_MS);
		return;
	}
	x->phase = PHASE_UNROUTED;
	mh_client_set_data(x->client, x);
	mh_timer_set(x->set->env.timers, &x->timer, until_ns);
}

static struct exchange *new_exchange(struct mh_exchanges *set,
				     struct mh_client *cl,
				     const struct mh_http_head *head)
{
	struct exchange *x = mh_check_alloc(calloc(1, sizeof(*x)));

	x->id = ++set->next_id;
	x->set = set;
	x->client = cl;
	x->head = head;
	x->arrived_ns = mh_clock_mono_ns(set->env.clock);
	x->deadline_ns = x->arrived_ns;
	mh_timer_init(&x->timer, on_timeout, x);
	mh_exchange_init_response(x);
	mh_wire_read_request(head, &x->wire);
	HASH_ADD(hh, set->all, id, sizeof(x->id), x);
	mh_count(set->env.counters, MH_C_REQUESTS);
	return x;
}

void mh_exchange_begin(struct mh_exchanges *set, struct mh_client *cl,
		       const struct mh_http_head *head,
		       const struct mh_buffer *body)
{
	struct exchange *x = new_exchange(set, cl, head);

	x->body = body;
	if (set->refuses_new)
		send_error(x, MH_ERR_DRAINING, DEFAULT_RETRY_AFTER_MS);
	else if (set->routes)
		begin_routed(x);
	else
		hold_or_refuse(x);
}

enum mh_error mh_exchange_check_head(struct mh_exchanges *set,
				     const struct mh_http_head *head)
{
	struct exchange x = { .set = set, .head = head, .routes = set->routes };

	if (set->refuses_new)
		return MH_ERR_DRAINING;
	/* Requests wait for the first configuration only as long as it is due. */
	if (!set->routes)
		return mh_exchange_now_ns(&x) < set->began_ns + CONFIG_DUE_NS ?
			       MH_OK :
			       MH_ERR_NOT_READY;
	mh_wire_read_request(head, &x.wire);
	return admit(&x);
}

void mh_exchange_refuse(struct mh_exchanges *set, struct mh_client *cl,
			const struct mh_http_head *head, enum mh_error error)
{
	send_error(new_exchange(set, cl, head), error,
		   mh_error_info(error)->retry ? DEFAULT_RETRY_AFTER_MS : 0);
}

void mh_exchanges_refuse_new(struct mh_exchanges *set)
{
	set->refuses_new = true;
}

static void end_now(struct exchange *x)
{
	if (x->phase == PHASE_SENT || x->phase == PHASE_RESPONDING) {
		x->servers_reached++;
		mh_exchange_drop_hedge(x, MH_SLOT_CANCELLED);
		mh_exchange_release_slot(x, MH_SLOT_CANCELLED);
		give_up(x, MH_ERR_TIMEOUT, 0);
		return;
	}
	if (x->phase == PHASE_WAITING)
		mh_exchange_release_slot(x, MH_SLOT_UNUSED);
	give_up(x, MH_ERR_DRAINING, DEFAULT_RETRY_AFTER_MS);
}

void mh_exchanges_end_all(struct mh_exchanges *set)
{
	struct exchange *x, *tmp;

	HASH_ITER(hh, set->all, x, tmp)
		end_now(x);
}

void mh_exchanges_set_routes(struct mh_exchanges *set, struct mh_routes *routes)
{
	struct exchange *x, *tmp;

	mh_routes_unref(set->routes);
	set->routes = mh_routes_ref(routes);
	HASH_ITER(hh, set->all, x, tmp) {
		if (x->phase == PHASE_UNROUTED)
			begin_routed(x);
	}
}

void mh_exchange_cancel(struct mh_exchanges *set, struct mh_client *cl)
{
	struct exchange *x = mh_client_data(cl);

	if (!x)
		return;
	mh_count(set->env.counters, MH_C_CANCELLED);
	mh_event(set->env.log, MH_EV_FAILED,
		 "event=caller_gone id=%.*s route=%s server=%s held_ms=%u "
		 "phase=%d events=%u",
		 (int)x->wire.id.len, x->wire.id.p ? x->wire.id.p : "",
		 x->route ? x->route->name : "", x->server ? x->server : "",
		 mh_exchange_elapsed_ms(x, x->arrived_ns), x->phase, x->events);
	mh_exchange_observe_total(x, "caller_gone");
	mh_exchange_drop_hedge(x, MH_SLOT_CANCELLED);
	mh_exchange_release_slot(x, MH_SLOT_CANCELLED);
	mh_exchange_free(x);
}

void mh_exchange_drained(struct mh_exchanges *set, struct mh_client *cl)
{
	struct exchange *x = mh_client_data(cl);

	(void)set;
	if (x && x->upstream)
		mh_upstream_pause(x->upstream, false);
}
