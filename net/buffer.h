/*
 * Growable byte queue: appended at the end, consumed from the front.
 */
#ifndef MH_BUFFER_H
#define MH_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct mh_buffer - byte queue; empty if zeroed
 * @p: memory
 * @start: offset of the first byte in @p
 * @len: number of bytes
 * @cap: size of @p
 */
struct mh_buffer {
	uint8_t *p;
	size_t start;
	size_t len;
	size_t cap;
};

/**
 * mh_buffer_reserve() - reserve space after the last byte
 * @b: queue
 * @more: number of bytes to reserve
 *
 * Return: false if out of memory.
 */
bool mh_buffer_reserve(struct mh_buffer *b, size_t more);

/**
 * mh_buffer_grow() - set the capacity, without the reserve of the other functions
 * @b: queue
 * @cap: capacity; nothing changes if it is not greater than that of the queue
 *
 * Return: false if out of memory.
 */
bool mh_buffer_grow(struct mh_buffer *b, size_t cap);

/**
 * mh_buffer_add() - append bytes
 * @b: queue
 * @bytes: bytes
 * @len: length of @bytes
 *
 * Return: false if out of memory; nothing is appended then.
 */
bool mh_buffer_add(struct mh_buffer *b, const void *bytes, size_t len);

/**
 * mh_buffer_printf() - append formatted text, without a final NUL
 * @b: queue
 * @fmt: format
 *
 * Return: false if out of memory; nothing is appended then.
 */
bool mh_buffer_printf(struct mh_buffer *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * mh_buffer_consume() - drop bytes from the front
 * @b: queue
 * @n: number of bytes, at most the length
 */
void mh_buffer_consume(struct mh_buffer *b, size_t n);

/**
 * mh_buffer_release() - free the memory; the queue is empty afterwards
 * @b: queue
 */
void mh_buffer_release(struct mh_buffer *b);

static inline uint8_t *mh_buffer_front(const struct mh_buffer *b)
{
	return b->p + b->start;
}

static inline uint8_t *mh_buffer_back(const struct mh_buffer *b)
{
	return b->p + b->start + b->len;
}

#endif
