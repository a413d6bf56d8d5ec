#include "net/buffer.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool mh_buffer_grow(struct mh_buffer *b, size_t cap)
{
	uint8_t *p;

	if (cap <= b->cap)
		return true;
	p = realloc(b->p, cap);
	if (!p)
		return false;
	b->p = p;
	b->cap = cap;
	return true;
}

bool mh_buffer_reserve(struct mh_buffer *b, size_t more)
{
	if (b->start && b->start + b->len + more > b->cap) {
		memmove(b->p, b->p + b->start, b->len);
		b->start = 0;
	}
	if (b->len + more <= b->cap)
		return true;
	return mh_buffer_grow(b, (b->len + more) * 2);
}

bool mh_buffer_add(struct mh_buffer *b, const void *bytes, size_t len)
{
	if (!len)
		return true;
	if (!mh_buffer_reserve(b, len))
		return false;
	memcpy(mh_buffer_back(b), bytes, len);
	b->len += len;
	return true;
}

bool mh_buffer_printf(struct mh_buffer *b, const char *fmt, ...)
{
	char *text;
	va_list args;
	bool ok;
	int n;

	va_start(args, fmt);
	n = vasprintf(&text, fmt, args);
	va_end(args);
	if (n < 0)
		return false;
	ok = mh_buffer_add(b, text, (size_t)n);
	free(text);
	return ok;
}

void mh_buffer_consume(struct mh_buffer *b, size_t n)
{
	b->start += n;
	b->len -= n;
	if (!b->len)
		b->start = 0;
}

void mh_buffer_release(struct mh_buffer *b)
{
	free(b->p);
	memset(b, 0, sizeof(*b));
}
