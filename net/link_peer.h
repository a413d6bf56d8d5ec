/*
 * The process at the other end of a link, told of accounts' spending: by an
 * entry a dispatcher, by a dispatcher the entries that keep its ledger.
 */
#ifndef MH_LINK_PEER_H
#define MH_LINK_PEER_H

#include "net/link.h"

/**
 * struct mh_link_peer - the link to it
 * @links: links
 * @link: number of the link
 */
struct mh_link_peer {
	struct mh_links *links;
	uint32_t link;
};

/**
 * mh_link_peer_send_usage() - tell units; for mh_usage_relay_report()
 * @data: listener
 * @account: name
 * @giver: incarnation of the dispatcher that let them through
 * @units: units
 * @age_ms: time since then
 */
void mh_link_peer_send_usage(void *data, const char *account, uint64_t giver,
			     uint64_t units, uint32_t age_ms);

/**
 * mh_link_peer_send_record() - pass a record on; for mh_ledger_cache_each()
 * @data: listener
 * @host: host that wrote it
 * @bytes: record
 * @len: length of @bytes
 * @age_ms: time since it was written
 */
void mh_link_peer_send_record(void *data, const char *host,
			      const uint8_t *bytes, size_t len,
			      uint32_t age_ms);

#endif
