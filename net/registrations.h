/*
 * Frames about backend servers and the configuration.
 */
#ifndef MH_REGISTRATIONS_H
#define MH_REGISTRATIONS_H

#include "core/catalog.h"
#include "net/link.h"

/**
 * mh_registration_send() - tell what is known of a server
 * @links: links
 * @link: number of the link
 * @entry: newest word on the server
 */
void mh_registration_send(struct mh_links *links, uint32_t link,
			  const struct mh_registration *entry);

/**
 * mh_registration_receive() - take what a peer tells
 * @cat: catalog
 * @msg: what it tells
 * @now_ns: monotonic time
 */
void mh_registration_receive(struct mh_catalog *cat, const Mh__ServerWords *msg,
			     uint64_t now_ns);

/**
 * mh_config_document_send() - pass the newest configuration on
 * @links: links
 * @link: number of the link
 * @version: its version
 * @bytes: document as the operator wrote it
 * @len: length of @bytes
 */
void mh_config_document_send(struct mh_links *links, uint32_t link,
			     uint64_t version, const uint8_t *bytes,
			     size_t len);

#endif
