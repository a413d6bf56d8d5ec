/*
 * Links between the processes of the system: length-prefixed protobuf frames
 * over TCP, a handshake that authenticates both ends by the link key, time-outs
 * for silent peers, reconnection with jittered backoff, bounded send queues.
 */
#ifndef MH_LINK_H
#define MH_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "core/counters.h"
#include "net/loop.h"
#include "proto/mangohead.pb-c.h"

#define MH_LINK_VERSION 1
#define MH_LINK_KEY_BYTES 32
/* Buffer size for an IP address as text. */
#define MH_IP_BYTES 64

enum mh_role {
	MH_ROLE_ENTRY = 1, /* entry or proxy */
	MH_ROLE_SIDE = 2,  /* side or dispatcher */
};

/**
 * struct mh_link_conf - identity of this process, and limits
 * @host: name of this host
 * @zone: its availability zone
 * @role: role of this process
 * @incarnation: number that differs after each start
 * @pool: pool of a side's backend server, "" for an entry
 * @models: models of a side's backend server
 * @n_models: number of @models
 * @key: shared link key
 * @max_frame_bytes: maximum size of a frame, received or sent
 * @max_queue_bytes: a link with more unsent bytes is closed
 * @receive_timeout_ms: a link that receives nothing for this long is closed;
 *	0 for the default of 3,000
 * @max_unproven: accepted links that may be in their handshake at a time; 0 for
 *	the default of 512
 */
struct mh_link_conf {
	const char *host;
	const char *zone;
	enum mh_role role;
	uint64_t incarnation;
	const char *pool;
	char **models;
	size_t n_models;
	uint8_t key[MH_LINK_KEY_BYTES];
	uint32_t max_frame_bytes;
	uint32_t max_queue_bytes;
	uint32_t receive_timeout_ms;
	uint32_t max_unproven;
};

/**
 * struct mh_link_ops - callbacks for events of links
 * @up: the handshake is complete
 * @down: the link is closed; only after @up
 * @frame: a frame was received; it is freed afterwards
 */
struct mh_link_ops {
	void (*up)(void *data, uint32_t link, const Mh__Hello *hello);
	void (*down)(void *data, uint32_t link);
	void (*frame)(void *data, uint32_t link, const Mh__Frame *frame);
};

struct mh_links;

/**
 * mh_links_new() - create a set of links
 * @loop: event loop whose thread owns the set
 * @conf: copied, except for the strings, which must outlive the set
 * @counters: counters to update
 * @ops: callbacks
 * @data: first argument of @ops
 *
 * Return: set, or NULL if out of memory or if libsodium can't be initialized.
 */
struct mh_links *mh_links_new(struct mh_loop *loop,
			      const struct mh_link_conf *conf,
			      struct mh_counters *counters,
			      const struct mh_link_ops *ops, void *data);

/**
 * mh_links_free() - close all links
 * @links: set or NULL
 */
void mh_links_free(struct mh_links *links);

/**
 * mh_links_listen() - accept links
 * @links: set
 * @address: "ip:port"
 *
 * Return: 0, or -1 with errno set.
 */
int mh_links_listen(struct mh_links *links, const char *address);

/**
 * mh_links_dial() - connect to an address, and reconnect when the link breaks
 * @links: set
 * @address: "ip:port"; no effect if it is dialled already
 */
void mh_links_dial(struct mh_links *links, const char *address);

/**
 * mh_links_undial() - stop reconnecting to an address
 * @links: set
 * @address: dialled address
 *
 * A link that is up stays open until it breaks.
 */
void mh_links_undial(struct mh_links *links, const char *address);

/**
 * mh_links_close() - close a link
 * @links: set
 * @link: number of the link; @down is called if it was up
 */
void mh_links_close(struct mh_links *links, uint32_t link);

/**
 * mh_links_silent_since() - since when nothing was received on a link
 * @set: links
 * @link: link whose end is being reported
 *
 * Return: monotonic time; 0 if the link was not closed for that.
 */
uint64_t mh_links_silent_since(const struct mh_links *set, uint32_t link);

/**
 * mh_links_dialled() - iterate over the dialled addresses
 * @links: set
 * @i: index
 *
 * Return: address, or NULL after the last one.
 */
const char *mh_links_dialled(const struct mh_links *links, size_t i);

/**
 * mh_links_address() - address that a link was dialled by
 * @links: set
 * @link: number of the link
 *
 * Return: NULL if the peer connected, or the address is no longer dialled.
 */
const char *mh_links_address(const struct mh_links *links, uint32_t link);

/**
 * mh_links_send() - queue a frame
 * @links: set
 * @link: number of the link; the frame is dropped if the link is not up
 * @frame: frame
 */
void mh_links_send(struct mh_links *links, uint32_t link,
		   const Mh__Frame *frame);

/**
 * mh_links_flush() - write queued frames; part of each tick
 * @links: set
 *
 * Also reconnects, and closes links that timed out.
 */
void mh_links_flush(struct mh_links *links);

/**
 * mh_links_unsent() - bytes queued on all links
 * @links: set
 */
size_t mh_links_unsent(const struct mh_links *links);

/**
 * mh_address_parse() - parse "ip:port"
 * @text: text
 * @ip: buffer of MH_IP_BYTES
 * @port: port
 *
 * Return: whether @text holds an IPv4 address and a port.
 */
bool mh_address_parse(const char *text, char *ip, uint16_t *port);

#endif
