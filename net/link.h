/*
 * Links between the system's own processes: length-prefixed protobuf frames
 * over TCP, a handshake that proves the link key, keep-alive, reconnection
 * with jittered back-off, bounded send queues.
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
/* Room for an IP number as text. */
#define MH_IP_BYTES 64

enum mh_role {
	MH_ROLE_ENTRY = 1,
	MH_ROLE_SIDE = 2,
};

/**
 * struct mh_link_conf - what a process tells of itself, and limits
 * @host: name of this host
 * @zone: its availability zone
 * @role: kind of process
 * @incarnation: differs after each start
 * @pool: pool of a side's backend server, "" for an entry
 * @models: models of a side's backend server
 * @n_models: number of @models
 * @key: shared link key
 * @max_frame_bytes: greatest frame that is accepted or sent
 * @max_queue_bytes: a peer with more than this unsent is cut off
 * @receive_timeout_ms: a peer that says nothing for so long is cut off, 0: 3,000
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
};

/**
 * struct mh_link_ops - events of links
 * @up: the handshake has passed
 * @down: the link is gone; only after @up
 * @frame: a frame came in; freed afterwards
 */
struct mh_link_ops {
	void (*up)(void *data, uint32_t link, const Mh__Hello *hello);
	void (*down)(void *data, uint32_t link);
	void (*frame)(void *data, uint32_t link, const Mh__Frame *frame);
};

struct mh_links;

/**
 * mh_links_new() - create a set of links
 * @loop: loop whose thread owns the set
 * @conf: copied, but for the strings, which have to stay
 * @counters: where to count
 * @ops: events
 * @data: first argument of the events
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
 * mh_links_dial() - keep a link to an address, however often it breaks
 * @links: set
 * @address: "ip:port"; dialled once however often this is called
 */
void mh_links_dial(struct mh_links *links, const char *address);

/**
 * mh_links_undial() - stop keeping a link to an address
 * @links: set
 * @address: address that was dialled
 */
void mh_links_undial(struct mh_links *links, const char *address);

/**
 * mh_links_close() - close a link
 * @links: set
 * @link: number of the link; its end is told as any other is
 */
void mh_links_close(struct mh_links *links, uint32_t link);

/**
 * mh_links_dialled() - walk the dialled addresses
 * @links: set
 * @i: index
 *
 * Return: address, or NULL past the last.
 */
const char *mh_links_dialled(const struct mh_links *links, size_t i);

/**
 * mh_links_send() - queue a frame
 * @links: set
 * @link: number of the link; a frame for one that is gone is dropped
 * @frame: frame
 */
void mh_links_send(struct mh_links *links, uint32_t link,
		   const Mh__Frame *frame);

/**
 * mh_links_flush() - write what is queued; part of each tick
 * @links: set
 *
 * Reconnects and closes silent links as well.
 */
void mh_links_flush(struct mh_links *links);

/**
 * mh_links_unsent() - bytes queued on all links
 * @links: set
 */
size_t mh_links_unsent(const struct mh_links *links);

/**
 * mh_address_parse() - split "ip:port"
 * @text: text
 * @ip: buffer of 64 bytes
 * @port: port
 *
 * Return: whether @text holds an IP number and a port.
 */
bool mh_address_parse(const char *text, char *ip, uint16_t *port);

#endif
