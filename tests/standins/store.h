/* The store of the platform's stand-in. */
#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include <stdbool.h>
#include <stddef.h>

#include "tests/standins/conn.h"

/* Appends a record for a key; a NULL value deletes the key. */
void store_put(const char *topic, const char *key, const void *value,
	       size_t len);
bool store_is_down(void);
/* Adds a line for each value that a key had, the newest last: the time
 * (CLOCK_BOOTTIME, ms) and the value. */
void store_history(const char *topic, const char *key, struct mh_buffer *out);

/* Handles a store request. Return: whether the connection stays open. */
bool store_serve(struct conn *c);

/* Handles a control request of a test. Return: whether it was one. */
bool store_handle_control(struct conn *c);

#endif
