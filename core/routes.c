#include "core/routes.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <uthash.h>

#include "core/check_alloc.h"

#define ROUTE_ID_MAX_BYTES 512

struct route_row {
	struct mh_route route;
	char *id; /* host, a blank, prefix */
	UT_hash_handle hh;
};

struct service_row {
	struct mh_service service;
	UT_hash_handle hh;
};

struct account_row {
	struct mh_client_account account;
	UT_hash_handle hh;
};

struct key_row {
	char *key;
	const struct mh_client_account *account;
	UT_hash_handle hh;
};

struct mh_routes {
	uint64_t version;
	uint32_t refs;
	struct mh_limits limits;
	struct route_row *routes;
	struct service_row *services;
	struct account_row *accounts;
	struct key_row *keys;
};

struct mh_routes *mh_routes_new(uint64_t version)
{
	struct mh_routes *set = mh_check_alloc(calloc(1, sizeof(*set)));

	set->version = version;
	set->refs = 1;
	return set;
}

struct mh_routes *mh_routes_ref(struct mh_routes *set)
{
	set->refs++;
	return set;
}

static void free_route(struct mh_routes *set, struct route_row *r)
{
	size_t i;

	HASH_DEL(set->routes, r);
	for (i = 0; i < r->route.n_targets; i++)
		free(r->route.targets[i].service);
	free(r->route.targets);
	free(r->route.name);
	free(r->route.host);
	free(r->route.prefix);
	free(r->id);
	free(r);
}

void mh_routes_unref(struct mh_routes *set)
{
	struct route_row *r, *next_r;
	struct service_row *s, *next_s;
	struct account_row *a, *next_a;
	struct key_row *k, *next_k;

	if (!set || --set->refs)
		return;
	HASH_ITER(hh, set->routes, r, next_r)
		free_route(set, r);
	HASH_ITER(hh, set->services, s, next_s) {
		HASH_DEL(set->services, s);
		free(s->service.name);
		free(s);
	}
	HASH_ITER(hh, set->keys, k, next_k) {
		HASH_DEL(set->keys, k);
		free(k->key);
		free(k);
	}
	HASH_ITER(hh, set->accounts, a, next_a) {
		HASH_DEL(set->accounts, a);
		free(a->account.name);
		free(a);
	}
	free(set);
}

/* Host names are not case-sensitive. */
static size_t make_id(char *id, const char *host, size_t host_len,
		      const char *prefix, size_t prefix_len)
{
	size_t i;

	if (host_len + prefix_len + 1 > ROUTE_ID_MAX_BYTES)
		return 0;
	for (i = 0; i < host_len; i++) {
		char c = host[i];

		id[i] = c >= 'A' && c <= 'Z' ? (char)(c | 0x20) : c;
	}
	id[host_len] = ' ';
	memcpy(id + host_len + 1, prefix, prefix_len);
	return host_len + 1 + prefix_len;
}

void mh_routes_add(struct mh_routes *set, const struct mh_route *route)
{
	struct route_row *r, *old;
	char id[ROUTE_ID_MAX_BYTES];
	size_t i, len = make_id(id, route->host, strlen(route->host),
				route->prefix, strlen(route->prefix));

	if (!len)
		return;
	r = mh_check_alloc(calloc(1, sizeof(*r)));
	r->route = *route;
	r->route.name = mh_check_alloc(strdup(route->name));
	r->route.host = mh_check_alloc(strdup(route->host));
	r->route.prefix = mh_check_alloc(strdup(route->prefix));
	r->route.targets = mh_check_alloc(
		calloc(route->n_targets + 1, sizeof(*route->targets)));
	for (i = 0; i < route->n_targets; i++) {
		r->route.targets[i].weight = route->targets[i].weight;
		r->route.targets[i].service =
			mh_check_alloc(strdup(route->targets[i].service));
	}
	r->id = mh_check_alloc(strndup(id, len));
	HASH_FIND(hh, set->routes, id, len, old);
	if (old)
		free_route(set, old);
	HASH_ADD_KEYPTR(hh, set->routes, r->id, len, r);
}

void mh_routes_add_service(struct mh_routes *set,
			   const struct mh_service *service)
{
	struct service_row *s;

	HASH_FIND_STR(set->services, service->name, s);
	if (s)
		return;
	s = mh_check_alloc(calloc(1, sizeof(*s)));
	s->service = *service;
	s->service.name = mh_check_alloc(strdup(service->name));
	HASH_ADD_KEYPTR(hh, set->services, s->service.name,
			strlen(s->service.name), s);
}

void mh_routes_add_account(struct mh_routes *set,
			   const struct mh_client_account *account,
			   const char *const *keys, size_t n_keys)
{
	struct account_row *a;
	struct key_row *k;
	size_t i;

	HASH_FIND_STR(set->accounts, account->name, a);
	if (a)
		return;
	a = mh_check_alloc(calloc(1, sizeof(*a)));
	a->account = *account;
	a->account.name = mh_check_alloc(strdup(account->name));
	HASH_ADD_KEYPTR(hh, set->accounts, a->account.name,
			strlen(a->account.name), a);
	for (i = 0; i < n_keys; i++) {
		HASH_FIND_STR(set->keys, keys[i], k);
		if (k)
			continue;
		k = mh_check_alloc(calloc(1, sizeof(*k)));
		k->key = mh_check_alloc(strdup(keys[i]));
		k->account = &a->account;
		HASH_ADD_KEYPTR(hh, set->keys, k->key, strlen(k->key), k);
	}
}

void mh_routes_set_limits(struct mh_routes *set, const struct mh_limits *limits)
{
	set->limits = *limits;
}

uint64_t mh_routes_version(const struct mh_routes *set)
{
	return set->version;
}

const struct mh_limits *mh_routes_limits(const struct mh_routes *set)
{
	return &set->limits;
}

bool mh_routes_has_accounts(const struct mh_routes *set)
{
	return set->accounts;
}

const struct mh_route *mh_routes_find(const struct mh_routes *set,
				      const char *host, size_t host_len,
				      const char *path, size_t path_len)
{
	const char *query = memchr(path, '?', path_len);
	size_t len = query ? (size_t)(query - path) : path_len;
	char id[ROUTE_ID_MAX_BYTES];
	struct route_row *r;

	/* Prefixes end with a slash, so only these lengths can match. */
	for (; len; len--) {
		size_t id_len;

		if (path[len - 1] != '/')
			continue;
		id_len = make_id(id, host, host_len, path, len);
		if (!id_len)
			continue;
		HASH_FIND(hh, set->routes, id, id_len, r);
		if (r)
			return &r->route;
	}
	return NULL;
}

const char *mh_routes_pick_service(const struct mh_route *route, uint64_t hash)
{
	uint64_t total = 0, at;
	size_t i;

	for (i = 0; i < route->n_targets; i++)
		total += route->targets[i].weight;
	if (!total)
		return route->n_targets ? route->targets[0].service : NULL;
	at = hash % total;
	for (i = 0; at >= route->targets[i].weight; i++)
		at -= route->targets[i].weight;
	return route->targets[i].service;
}

const struct mh_client_account *
mh_routes_account_by_key(const struct mh_routes *set, const char *key,
			 size_t len)
{
	struct key_row *k;

	HASH_FIND(hh, set->keys, key, len, k);
	return k ? k->account : NULL;
}

const struct mh_service *mh_routes_service(const struct mh_routes *set,
					   const char *name)
{
	struct service_row *s;

	HASH_FIND_STR(set->services, name, s);
	return s ? &s->service : NULL;
}

const struct mh_client_account *
mh_routes_account_at(const struct mh_routes *set, size_t i)
{
	struct account_row *a = set->accounts;

	while (a && i--)
		a = a->hh.next;
	return a ? &a->account : NULL;
}

const struct mh_service *mh_routes_service_at(const struct mh_routes *set,
					      size_t i)
{
	struct service_row *s = set->services;

	while (s && i--)
		s = s->hh.next;
	return s ? &s->service : NULL;
}
