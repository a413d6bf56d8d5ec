/* Connections of the platform stand-in; each has a thread of its own. */
#ifndef STANDIN_CONN_H
#define STANDIN_CONN_H

#include "net/buffer.h"
#include "net/http1.h"

struct server;

struct conn {
	int fd;
	struct server *server;	  /* NULL: the store */
	bool shed;		  /* the last request was turned away */
	uint32_t requests;	  /* that a server got on it */
	struct mh_buffer refusal; /* of the first one, to be repeated */
	struct mh_http_reader reader;
	struct mh_buffer body;
	struct mh_buffer out;
	struct conn *prev, *next; /* connections of servers */
};

uint64_t mono_now_ms(void);
void sleep_ms(uint32_t ms);
bool send_all(struct conn *c);
void write_response(struct conn *c, int status, const char *type,
		    const void *body, size_t len);
void write_text_response(struct conn *c, int status, const char *text);

/* Return: value of a query parameter, "" if absent; valid until the next call
 * on the same thread. */
const char *query_param(const struct conn *c, const char *name);
bool path_is(const struct conn *c, const char *path);

#endif
