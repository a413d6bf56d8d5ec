#include "net/link_peer.h"

void mh_link_peer_send_usage(void *data, const char *account, uint64_t grantor,
			     uint64_t units, uint32_t age_ms)
{
	const struct mh_link_peer *to = data;
	Mh__Spent msg = MH__SPENT__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.account = (char *)account;
	msg.giver = grantor;
	msg.units = units;
	msg.age_ms = age_ms;
	frame.body_case = MH__FRAME__BODY_SPENT;
	frame.spent = &msg;
	mh_links_send(to->links, to->link, &frame);
}

void mh_link_peer_send_record(void *data, const char *host,
			      const uint8_t *bytes, size_t len, uint32_t age_ms)
{
	const struct mh_link_peer *to = data;
	Mh__LedgerRecord msg = MH__LEDGER_RECORD__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.host = (char *)host;
	msg.bytes.data = (uint8_t *)bytes;
	msg.bytes.len = len;
	msg.age_ms = age_ms;
	frame.body_case = MH__FRAME__BODY_LEDGER_RECORD;
	frame.ledger_record = &msg;
	mh_links_send(to->links, to->link, &frame);
}
