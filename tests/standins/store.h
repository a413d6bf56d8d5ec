/* The store of the platform's stand-in. */
#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include <stdbool.h>
#include <stddef.h>

#include "tests/standins/conn.h"

/* Writes the newest record of a key; without a value the key goes. */
void store_put(const char *topic, const char *key, const void *value,
	       size_t len);
bool store_is_down(void);

/* Return: whether the connection goes on. */
bool store_serve(struct conn *c);

/* Return: whether it was a request of a test. */
bool store_handle_test(struct conn *c);

#endif
