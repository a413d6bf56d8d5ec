/*
 * Frames with registrations of backend servers and the configuration document.
 */
#ifndef MH_REGISTRATIONS_H
#define MH_REGISTRATIONS_H

#include "core/catalog.h"
#include "net/link.h"
#include "net/link_peer.h"

/**
 * mh_registration_send() - send a server's registration, unless it is doubtful
 * @links: links
 * @link: number of the link
 * @reg: newest registration of the server
 */
void mh_registration_send(struct mh_links *links, uint32_t link,
			  const struct mh_registration *reg);

/**
 * mh_registration_receive() - update the catalog from a peer's message
 * @cat: catalog
 * @msg: registrations
 * @now_ns: monotonic time
 * @sender: told of those that are newer here, or NULL
 */
void mh_registration_receive(struct mh_catalog *cat, const Mh__ServerWords *msg,
			     uint64_t now_ns,
			     const struct mh_link_peer *sender);

/**
 * mh_config_document_send() - send the newest configuration
 * @links: links
 * @link: number of the link
 * @version: its version
 * @bytes: document as written by the operator
 * @len: length of @bytes
 */
void mh_config_document_send(struct mh_links *links, uint32_t link,
			     uint64_t version, const uint8_t *bytes,
			     size_t len);

#endif
