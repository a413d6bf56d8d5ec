#include "net/registrations.h"

void mh_registration_send(struct mh_links *links, uint32_t link,
			  const struct mh_registration *reg)
{
	Mh__ServerWords msg = MH__SERVER_WORDS__INIT;
	Mh__ServerWord word = MH__SERVER_WORD__INIT;
	Mh__ServerWord *list[] = { &word };
	Mh__Frame frame = MH__FRAME__INIT;

	/* Who can't tell whether a server is gone must not claim either. */
	if (reg->is_doubtful)
		return;
	word.id = reg->id;
	word.service = reg->service ? reg->service : "";
	word.address = reg->address ? reg->address : "";
	word.zone = reg->zone ? reg->zone : "";
	word.places = reg->places;
	word.state = reg->state;
	word.born_ms = reg->born_ms;
	word.sequence = reg->sequence;
	word.version = reg->version ? reg->version : "";
	word.store_era = reg->read_at.era;
	word.store_next = reg->read_at.next;
	msg.n_word = 1;
	msg.word = list;
	frame.body_case = MH__FRAME__BODY_SERVER_WORDS;
	frame.server_words = &msg;
	mh_links_send(links, link, &frame);
}

void mh_registration_receive(struct mh_catalog *cat, const Mh__ServerWords *msg,
			     uint64_t now_ns, const struct mh_link_peer *sender)
{
	const struct mh_registration *ours;
	size_t i;

	for (i = 0; i < msg->n_word; i++) {
		const Mh__ServerWord *w = msg->word[i];
		struct mh_registration reg = {
			.id = w->id,
			.service = w->service,
			.address = w->address,
			.zone = w->zone,
			.places = w->places,
			.state = w->state <= MH_SERVER_GONE ?
					 (enum mh_server_state)w->state :
					 MH_SERVER_GONE,
			.born_ms = w->born_ms,
			.sequence = w->sequence,
			.version = w->version,
			.read_at = { w->store_era, w->store_next },
		};

		mh_catalog_update(cat, &reg, now_ns);
		ours = sender ? mh_catalog_newer(cat, &reg) : NULL;
		if (ours)
			mh_registration_send(sender->links, sender->link, ours);
	}
}

void mh_config_document_send(struct mh_links *links, uint32_t link,
			     uint64_t version, const uint8_t *bytes, size_t len)
{
	Mh__Document msg = MH__DOCUMENT__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	msg.version = version;
	msg.bytes.data = (uint8_t *)bytes;
	msg.bytes.len = len;
	frame.body_case = MH__FRAME__BODY_DOCUMENT;
	frame.document = &msg;
	mh_links_send(links, link, &frame);
}
