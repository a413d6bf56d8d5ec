/*
 * Frames of the handshake that authenticates both ends of a link.
 */
#include <arpa/inet.h>
#include <sodium.h>
#include <string.h>

#include "net/link_impl.h"

void mh_link_send_hello(struct link *l)
{
	const struct mh_link_conf *conf = &l->set->conf;
	Mh__Hello msg = MH__HELLO__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	randombytes_buf(l->nonce, sizeof(l->nonce));
	msg.version = MH_LINK_VERSION;
	msg.host = (char *)conf->host;
	msg.zone = (char *)conf->zone;
	msg.role = conf->role;
	msg.incarnation = conf->incarnation;
	msg.pool = (char *)conf->pool;
	msg.n_models = conf->n_models;
	msg.models = conf->models;
	msg.nonce.data = l->nonce;
	msg.nonce.len = sizeof(l->nonce);
	frame.body_case = MH__FRAME__BODY_HELLO;
	frame.hello = &msg;
	mh_link_queue_frame(l, &frame);
}

/* Covers the prover's identity, so that a proof can't be reflected. */
void mh_link_make_mac(uint8_t *mac, const uint8_t *key, uint32_t role,
		      const char *host, uint64_t incarnation,
		      const uint8_t *own_nonce, const uint8_t *other_nonce)
{
	crypto_auth_hmacsha512256_state st;
	uint32_t wire_role = htonl(role);

	crypto_auth_hmacsha512256_init(&st, key, MH_LINK_KEY_BYTES);
	crypto_auth_hmacsha512256_update(&st, (const uint8_t *)&wire_role,
					 sizeof(wire_role));
	crypto_auth_hmacsha512256_update(&st, (const uint8_t *)&incarnation,
					 sizeof(incarnation));
	crypto_auth_hmacsha512256_update(&st, own_nonce, NONCE_BYTES);
	crypto_auth_hmacsha512256_update(&st, other_nonce, NONCE_BYTES);
	crypto_auth_hmacsha512256_update(&st, (const uint8_t *)host,
					 strlen(host));
	crypto_auth_hmacsha512256_final(&st, mac);
}

void mh_link_send_proof(struct link *l)
{
	const struct mh_link_conf *conf = &l->set->conf;
	uint8_t mac[crypto_auth_hmacsha512256_BYTES];
	Mh__Proof msg = MH__PROOF__INIT;
	Mh__Frame frame = MH__FRAME__INIT;

	mh_link_make_mac(mac, conf->key, conf->role, conf->host,
			 conf->incarnation, l->nonce,
			 l->hello->hello->nonce.data);
	msg.mac.data = mac;
	msg.mac.len = sizeof(mac);
	frame.body_case = MH__FRAME__BODY_PROOF;
	frame.proof = &msg;
	mh_link_queue_frame(l, &frame);
}
