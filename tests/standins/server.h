/* What the kinds of responses of the stand-in's servers share. */
#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include <stdbool.h>

#include "tests/standins/conn.h"

#define SIGNED "X-Mangohead-Response-Signature: sig\r\n"
#define EVENTS 6
#define EVENT_GAP_MS 10

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

#endif
