/*
 * Sends quota usage to the peer of a link: an entry reports usage to a
 * dispatcher, a dispatcher sends ledger records to the entries that cache them.
 */
#ifndef MH_LINK_PEER_H
#define MH_LINK_PEER_H

#include "net/link.h"

/**
 * struct mh_link_peer - peer that receives usage or ledger records
 * @links: links
 * @link: number of the link
 */
struct mh_link_peer {
	struct mh_links *links;
	uint32_t link;
};

/**
 * mh_link_peer_send_usage() - report units; for mh_usage_relay_report()
 * @data: struct mh_link_peer
 * @account: account's name
 * @grantor: incarnation of the dispatcher that granted the units
 * @units: units
 * @age_ms: time since they were granted
 */
void mh_link_peer_send_usage(void *data, const char *account, uint64_t grantor,
			     uint64_t units, uint32_t age_ms);

/**
 * mh_link_peer_send_record() - send a ledger record; for mh_ledger_cache_each()
 * @data: struct mh_link_peer
 * @host: host that wrote the record
 * @bytes: record
 * @len: length of @bytes
 * @age_ms: time since it was written
 */
void mh_link_peer_send_record(void *data, const char *host,
			      const uint8_t *bytes, size_t len,
			      uint32_t age_ms);

#endif
