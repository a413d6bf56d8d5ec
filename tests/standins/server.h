/* What the kinds of responses of the stand-in's servers share. */
#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include <stdbool.h>

#include "tests/standins/conn.h"

#define SIGNED "X-Mangohead-Response-Signature: sig\r\n"
#define EVENTS 6
#define EVENT_GAP_MS 10

struct server {
	int port;
	int registered_port;
	char id[32];
	char service[32];
	char version[32];
	int slots;
	int sequence;
	char state[16];
	uint64_t silent_until_ms;
	bool fails_all;
	bool is_stopped; /* its connections are closed */
	int running;	 /* requests that it runs */
	unsigned long long born_ms;
	char leaving[32]; /* value of Server-Leaving, "" without the field */
	char limit[512];  /* values of Server-Limit, "" without the field */
	char repeats[16]; /* mode of the repeated refusals, "" without them */
	uint64_t sheds_until_ms;
	char shed_fields[256];
};

/* Value of a header field of the request, "-" without it. */
struct mh_http_text header(const struct conn *c, const char *name);
bool target_ends_with(const struct conn *c, const char *what);
void begin_response(struct conn *c, int status, const char *fields);
/* Ends the process. */
void crash(const struct conn *c);
/* Makes the close of the connection a reset. */
void reset_on_close(const struct conn *c);

/* ---- shapes.c: streams that end oddly, and bytes without end ---- */

/* Serves the request if its target names a shape.
 * Return: whether it did; *ok tells whether the connection stays open. */
bool serve_shape(struct conn *c, bool *ok);

/* ---- versions.c: faults of versions, orders and their status ---- */

/* Handles a control request of roll-outs, but for those that concern servers.
 * Return: whether it was one. */
bool versions_handle_control(struct conn *c);

/* Waits for as long as the server's version takes for the request's target.
 * Return: whether it fails then. */
bool versions_run(const struct conn *c);

/* Return: whether the status of an order of the service is "succeeded", and its
 * target; false also if servers are not to be stopped then. */
bool versions_should_stop(const char *service, char target[32]);

#endif
