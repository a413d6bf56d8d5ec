/* What an entry knows of servers and of the configuration, for its dispatcher. */
#include "core/rollout_use.h"
#include "net/registrations.h"
#include "proxy/slot_client_impl.h"

static void send_registration(void *data, const struct mh_registration *reg)
{
	struct mh_slot_client *sc = data;

	mh_registration_send(sc->links, sc->current->link, reg);
}

void mh_slot_client_forward_state(struct mh_slot_client *sc, uint64_t version,
				  const uint8_t *bytes, size_t len)
{
	if (!sc->current)
		return;
	mh_catalog_each(sc->catalog, send_registration, sc);
	if (bytes)
		mh_config_document_send(sc->links, sc->current->link, version,
					bytes, len);
}

struct mh_catalog *mh_slot_client_catalog(struct mh_slot_client *sc)
{
	return sc->catalog;
}

bool mh_slot_client_may_send(const struct mh_slot_client *sc,
			     const struct mh_server_ref *server)
{
	const struct mh_registration *reg =
		mh_catalog_find(sc->catalog, server->id);

	return !reg || reg->state == MH_SERVER_READY ||
	       reg->born_ms != server->born_ms;
}

void mh_slot_client_send_registration(struct mh_slot_client *sc,
				      const struct mh_server_ref *server)
{
	const struct mh_registration *reg =
		mh_catalog_find(sc->catalog, server->id);

	if (reg && sc->current && sc->current->up)
		mh_registration_send(sc->links, sc->current->link, reg);
}

bool mh_slot_client_allows_version(const struct mh_slot_client *sc,
				   const struct mh_server_ref *server)
{
	const struct mh_registration *reg =
		mh_catalog_find(sc->catalog, server->id);

	return !reg || !reg->service || reg->born_ms != server->born_ms ||
	       mh_rollouts_may_use(sc->rollouts.set, reg->service,
				   reg->version ? reg->version : "");
}

struct mh_rollouts *mh_slot_client_rollouts(const struct mh_slot_client *sc)
{
	return sc->rollouts.set;
}

enum mh_rollout_order_result
mh_slot_client_order(struct mh_slot_client *sc,
		     const struct mh_rollout_order *order)
{
	enum mh_rollout_order_result result =
		mh_rollouts_order(sc->rollouts.set, order, 0);

	mh_rollout_relay_update(&sc->rollouts);
	return result;
}
