/*
 * Internals of links, shared by the link*.c files.
 */
#ifndef MH_LINK_IMPL_H
#define MH_LINK_IMPL_H

#include <uthash.h>

#include "core/clock.h"
#include "net/buffer.h"
#include "net/link.h"

#define NONCE_BYTES 32

enum link_state {
	LINK_CONNECTING,
	LINK_HELLO, /* waiting for the peer's Hello */
	LINK_PROOF, /* waiting for the peer's Proof */
	LINK_UP,
	LINK_CLOSED,
};

struct link {
	uint32_t id;
	enum link_state state;
	struct mh_links *set;
	struct dialled *dialled; /* NULL if the peer connected */
	struct mh_watch watch;
	struct mh_buffer in;
	struct mh_buffer out;
	struct link *next_dirty;
	bool dirty;
	bool want_write;
	uint8_t nonce[NONCE_BYTES];
	Mh__Frame *hello;
	uint64_t last_received_ns;
	uint64_t began_ns;
	struct link *prev, *next; /* of the unproven links */
	bool unproven;
	UT_hash_handle hh;
};

/* An address to stay connected to. */
struct dialled {
	char *address;
	struct link *link;
	uint32_t backoff_ms;
	uint64_t retry_ns;
	struct dialled *prev, *next;
};

struct mh_links {
	struct mh_loop *loop;
	struct mh_link_conf conf;
	struct mh_counters *counters;
	const struct mh_link_ops *ops;
	void *data;
	struct mh_rng rng;
	struct mh_watch listener;
	struct link *links;
	struct link *dirty; /* links to write to, or to free if closed */
	struct link
		*unproven; /* accepted and in their handshake, oldest first */
	uint32_t n_unproven;
	bool accept_paused;
	uint64_t next_scan_ns;
	uint64_t receive_timeout_ns;
	struct dialled *dialled;
	uint32_t next_id;
};

/* Links: link.c */
void mh_link_queue_frame(struct link *l, const Mh__Frame *frame);

/* Handshake: link_handshake.c */
void mh_link_send_hello(struct link *l);
void mh_link_send_proof(struct link *l);
void mh_link_make_mac(uint8_t *mac, const uint8_t *key, uint32_t role,
		      const char *host, uint64_t incarnation,
		      const uint8_t *own_nonce, const uint8_t *other_nonce);

#endif
