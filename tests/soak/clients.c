#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/buffer.h"
#include "tests/soak/soak.h"

#define BODY_LINES 50
#define EVENTS 6
/* Above every route's timeout in the configuration. */
#define CALL_TIMEOUT_S 8
#define MAX_THINK_MS 30
#define HOLD_MIN_MS 40
/* One of so many streams is cut by its server. */
#define CUT_STREAMS 3

struct client {
	struct calls *calls;
	const struct params *params;
	struct mh_rng rng;
	struct mh_rng cut_rng;
	uint32_t number;
	uint32_t sent;
	uint32_t proxy;
	int fd;
	uint32_t served; /* requests on this connection */
	pthread_t thread;
};

#define LEN(a) (sizeof(a) / sizeof((a)[0]))

static struct client *clients;

static const char *const kind_names[CALL_KINDS] = {
	[CALL_NON_IDEMPOTENT] = "once", [CALL_IDEMPOTENT] = "again",
	[CALL_STREAM] = "stream",	[CALL_RESUMABLE_STREAM] = "resume",
	[CALL_HOLD] = "hold",		[CALL_QUOTA] = "quota",
	[CALL_ROUTE] = "route",		[CALL_BAD_RESPONSE] = "bad",
	[CALL_CUT_STREAM] = "cut",	[CALL_CUT_RESUMABLE] = "cutres",
};

static const char *const outcome_names[] = {
	"complete",   "refused",    "failed",	 "truncated",	  "closed",
	"mismatched", "framed cut", "cancelled", "not connected",
};

const char *call_kind_name(enum call_kind kind)
{
	return kind_names[kind];
}

const char *outcome_name(enum call_outcome outcome)
{
	return outcome_names[outcome];
}

static void write_target(const struct call *call, uint32_t random, char *out,
			 size_t len)
{
	static const char *const bad_responses[] = {
		"wrongid",     "unsigned",	 "encoded",	 "extra",
		"endlesshead", "endlessinterim", "endlessnoise", "endlesslines",
	};
	static const char *const cuts[] = {
		"halfclose-end",  "linesclose-end",  "halfchunk-end",
		"halflength-end", "halfclose-reset", "halfchunk-reset",
		"endlessevent",
	};

	switch (call->kind) {
	case CALL_NON_IDEMPOTENT:
		snprintf(out, len, "/once/%s/own", call->id);
		break;
	case CALL_STREAM:
		snprintf(out, len, "/gen/%s/ownstream", call->id);
		break;
	case CALL_RESUMABLE_STREAM:
		snprintf(out, len, "/resume/%s/ownstream", call->id);
		break;
	case CALL_HOLD:
		snprintf(out, len, "/again/%s/hold", call->id);
		break;
	case CALL_ROUTE:
		snprintf(out, len, "/v%u/%s/own", call->version, call->id);
		break;
	case CALL_BAD_RESPONSE:
		snprintf(out, len, "/again/%s/%s", call->id,
			 bad_responses[random % LEN(bad_responses)]);
		break;
	case CALL_CUT_STREAM:
		/* A route without resuming forwards events without end. */
		snprintf(out, len, "/gen/%s/%s", call->id,
			 cuts[random % (LEN(cuts) - 1)]);
		break;
	case CALL_CUT_RESUMABLE:
		snprintf(out, len, "/resume/%s/%s", call->id,
			 cuts[random % LEN(cuts)]);
		break;
	default:
		snprintf(out, len, "/again/%s/own", call->id);
		break;
	}
}

static bool send_request(struct client *c, const struct call *call)
{
	bool is_cut = call->kind == CALL_CUT_STREAM ||
		      call->kind == CALL_CUT_RESUMABLE;
	char target[128], text[512];
	int len;

	write_target(call, (uint32_t)mh_rng_next(&c->rng), target,
		     sizeof(target));
	len = snprintf(text, sizeof(text),
		       "%s %s HTTP/1.%u\r\nHost: h.example\r\n"
		       "Api-Key: %s\r\nX-Mangohead-Request-Id: %s\r\n"
		       "Content-Length: 0\r\n\r\n",
		       call->kind == CALL_NON_IDEMPOTENT ? "POST" : "GET",
		       target, !is_cut || mh_rng_next(&c->cut_rng) % 2,
		       call->kind == CALL_QUOTA ? "key-2" : "key-1", call->id);
	return send(c->fd, text, (size_t)len, MSG_NOSIGNAL) == len;
}

static bool is_expected_body(const struct call *call,
			     const struct mh_buffer *body)
{
	struct mh_buffer expected = { 0 };
	bool same;
	int i;

	if (call->kind == CALL_STREAM || call->kind == CALL_RESUMABLE_STREAM ||
	    call->kind == CALL_CUT_STREAM || call->kind == CALL_CUT_RESUMABLE) {
		for (i = 1; i <= EVENTS; i++)
			mh_buffer_printf(&expected, "id: %d\ndata: %s %d\n\n",
					 i, call->id, i);
	} else {
		for (i = 1; i <= BODY_LINES; i++)
			mh_buffer_printf(&expected, "%s %d\n", call->id, i);
	}
	same = expected.len == body->len &&
	       !memcmp(mh_buffer_front(&expected), mh_buffer_front(body),
		       expected.len);
	mh_buffer_release(&expected);
	return same;
}

/* Classifies a response by the platform's rules for each status. */
static enum call_outcome classify(const struct call *call,
				  const struct soak_response *response)
{
	switch (response->status) {
	case 200:
		if (mh_response_is_cut(response->end))
			return CALL_FRAMED_CUT;
		if (call->kind == CALL_BAD_RESPONSE) {
			/* Only "extra" may be passed on, without its
			 * trailing bytes. */
			return response->body.len == 5 &&
					       !memcmp(mh_buffer_front(
							       &response->body),
						       "hello", 5) ?
				       CALL_COMPLETE :
				       CALL_MISMATCHED;
		}
		return is_expected_body(call, &response->body) ?
			       CALL_COMPLETE :
			       CALL_MISMATCHED;
	case 0:
		return CALL_MISMATCHED;
	case 500:
	case 502:
	case 504:
		return CALL_FAILED;
	default:
		return CALL_REFUSED;
	}
}

static void disconnect(struct client *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	c->served = 0;
}

static void exchange(struct client *c, struct call *call)
{
	struct soak_response response = { 0 };
	bool any = false, is_complete;

	call->reused = c->served > 0;
	if (!send_request(c, call)) {
		call->outcome = CALL_CLOSED;
		disconnect(c);
		return;
	}
	if (call->kind == CALL_HOLD) {
		soak_sleep_ms(HOLD_MIN_MS +
			      (uint32_t)(mh_rng_next(&c->rng) % 100));
		call->outcome = CALL_CANCELLED;
		disconnect(c);
		return;
	}
	is_complete = soak_read_response(c->fd, &response, &any);
	call->status = response.status;
	if (is_complete)
		call->outcome = classify(call, &response);
	else
		call->outcome = any ? CALL_TRUNCATED : CALL_CLOSED;
	c->served++;
	if (!is_complete || !response.reusable)
		disconnect(c);
	mh_buffer_release(&response.body);
}

static bool connect_client(struct client *c)
{
	struct timeval limit = { .tv_sec = CALL_TIMEOUT_S };

	c->fd = soak_connect(proxy_port(c->params, c->proxy));
	if (c->fd < 0)
		return false;
	setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	return true;
}

static void make_call(struct client *c, enum call_kind kind, struct call *call)
{
	memset(call, 0, sizeof(*call));
	snprintf(call->id, sizeof(call->id), "%04x%08x", c->number, ++c->sent);
	call->kind = kind;
	call->version = __atomic_load_n(&c->calls->version, __ATOMIC_RELAXED);
	call->proxy = c->proxy;
	call->outcome = CALL_NOT_CONNECTED;
	call->sent_ms = soak_now_ms();
	if (c->fd >= 0 || connect_client(c))
		exchange(c, call);
	call->end_ms = soak_now_ms();
}

static void record_call(struct calls *calls, const struct call *call)
{
	pthread_mutex_lock(&calls->lock);
	if (calls->n == calls->cap) {
		calls->cap = calls->cap ? calls->cap * 2 : 1024;
		calls->v = realloc(calls->v, calls->cap * sizeof(*calls->v));
		if (!calls->v)
			abort();
	}
	calls->v[calls->n++] = *call;
	pthread_mutex_unlock(&calls->lock);
}

/* Like a load balancer: new connections go to proxies that report ready. */
static bool choose_proxy(struct client *c)
{
	c->proxy = (uint32_t)(mh_rng_next(&c->rng) % c->params->proxies);
	if (fleet_ready(c->proxy))
		return true;
	soak_sleep_ms(MAX_THINK_MS);
	return false;
}

/* Sends one request after another, on one connection until that ends. */
static void *run_client(void *data)
{
	struct client *c = data;

	while (!__atomic_load_n(&c->calls->stop, __ATOMIC_RELAXED)) {
		uint32_t kind =
			(uint32_t)(mh_rng_next(&c->rng) % CALL_DRAWN_KINDS);
		struct call call;

		if ((kind == CALL_STREAM || kind == CALL_RESUMABLE_STREAM) &&
		    mh_rng_next(&c->cut_rng) % CUT_STREAMS == 0)
			kind = kind == CALL_STREAM ? CALL_CUT_STREAM :
						     CALL_CUT_RESUMABLE;

		if (c->fd < 0 && !choose_proxy(c))
			continue;
		make_call(c, (enum call_kind)kind, &call);
		if (call.outcome != CALL_NOT_CONNECTED)
			record_call(c->calls, &call);
		soak_sleep_ms((uint32_t)(mh_rng_next(&c->rng) % MAX_THINK_MS));
	}
	disconnect(c);
	return NULL;
}

bool clients_start(struct calls *calls, const struct params *params)
{
	uint32_t i;

	clients = calloc(params->clients, sizeof(*clients));
	if (!clients)
		return false;
	for (i = 0; i < params->clients; i++) {
		clients[i] = (struct client){
			.calls = calls,
			.params = params,
			.rng = { params->seed * 1000 + i },
			.cut_rng = { params->seed * 1000 + 500000 + i },
			.number = i,
			.fd = -1,
		};
		if (pthread_create(&clients[i].thread, NULL, run_client,
				   &clients[i]))
			return false;
	}
	return true;
}

void clients_stop(struct calls *calls, const struct params *params)
{
	uint32_t i;

	__atomic_store_n(&calls->stop, true, __ATOMIC_RELAXED);
	for (i = 0; i < params->clients; i++)
		pthread_join(clients[i].thread, NULL);
	free(clients);
}

void call_proxy(struct calls *calls, const struct params *params,
		uint32_t proxy, enum call_kind kind, struct call *out)
{
	static uint32_t number = 0x8000;
	struct client c = {
		.calls = calls,
		.params = params,
		.rng = { params->seed },
		.number = number++,
		.proxy = proxy,
		.fd = -1,
	};

	make_call(&c, kind, out);
	disconnect(&c);
}
