/*
 * Internals of client connections, shared by the client*.c files.
 */
#ifndef MH_CLIENT_IMPL_H
#define MH_CLIENT_IMPL_H

#include "proxy/client.h"

enum client_state {
	CLIENT_READING,
	CLIENT_RESPONDING,
	CLIENT_ENDING, /* only the rest of the response is written */
};

struct mh_client {
	struct mh_client_usage usage;
	struct mh_clients *set;
	struct mh_watch watch;
	uint32_t watched_events;
	enum client_state state;
	bool close_after;
	bool resets; /* the close of its socket is a reset */
	bool congested;
	bool too_large;
	bool unread;	       /* the rest of its request is read and dropped */
	enum mh_error refusal; /* why its body is not kept, MH_OK if it is */
	struct mh_http_reader reader;
	struct mh_buffer in; /* pipelined, after the current request */
	struct mh_buffer body;
	size_t body_bytes; /* received, also those that are not kept */
	struct mh_buffer out;
	int unacked; /* bytes that the client had not taken at the last look */
	struct mh_timer timer;
	struct mh_timer next_timer; /* reads the next pipelined request */
	void *data;
	struct mh_client *prev, *next;
};

struct mh_clients {
	struct mh_client_env env;
	struct mh_client_budget budget;
	struct mh_watch listener;
	struct mh_timer accept_timer; /* accepts again */
	struct mh_limits limits;
	bool keep_alive_disabled;
	uint32_t n_open;
	struct mh_client *all;
	const struct mh_client_ops *ops;
	void *data;
};

/* Connections: client.c */
void mh_client_free(struct mh_client *cl);
void mh_client_set_timer(struct mh_client *cl, uint64_t in_ns);

/* Limits: client_limits.c */
void mh_client_count_bytes(struct mh_client *cl);
bool mh_client_add_body(struct mh_client *cl, const uint8_t *bytes, size_t len);
bool mh_client_make_room(struct mh_client *cl, uint64_t more);
void mh_client_turn_away(struct mh_client *cl, enum mh_error error);
void mh_client_linger(struct mh_client *cl);
bool mh_clients_make_room(struct mh_clients *set);
void mh_clients_turn_away(struct mh_clients *set, int fd);
void mh_clients_pause_accepting(struct mh_clients *set);
void mh_clients_accept_again(void *data);

#endif
