/*
 * Frames about backend servers and the configuration.
 */
#ifndef MH_WORDS_H
#define MH_WORDS_H

#include "core/catalog.h"
#include "net/link.h"

/**
 * mh_words_send() - tell what is known of a server
 * @links: links
 * @link: number of the link
 * @entry: newest word on the server
 */
void mh_words_send(struct mh_links *links, uint32_t link,
		   const struct mh_registration *entry);

/**
 * mh_words_hear() - take what a peer tells
 * @cat: catalog
 * @msg: what it tells
 * @now_ns: monotonic time
 */
void mh_words_hear(struct mh_catalog *cat, const Mh__ServerWords *msg,
		   uint64_t now_ns);

/**
 * mh_words_send_document() - pass the newest configuration on
 * @links: links
 * @link: number of the link
 * @version: its version
 * @bytes: document as the operator wrote it
 * @len: length of @bytes
 */
void mh_words_send_document(struct mh_links *links, uint32_t link,
			    uint64_t version, const uint8_t *bytes, size_t len);

#endif
