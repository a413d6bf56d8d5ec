#include "tests/standins/conn.h"

#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "core/clock.h"
#include "net/loop.h"

uint64_t mono_now_ms(void)
{
	return mh_clock_mono_ns(&mh_system_clock) / MH_NS_PER_MS;
}

void sleep_ms(uint32_t ms)
{
	struct timespec ts = { ms / 1000, (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

bool send_all(struct conn *c)
{
	while (c->out.len) {
		ssize_t n = send(c->fd, mh_buffer_front(&c->out), c->out.len,
				 MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		mh_buffer_consume(&c->out, (size_t)n);
	}
	return true;
}

void write_response(struct conn *c, int status, const char *type,
		    const void *body, size_t len)
{
	mh_buffer_printf(&c->out,
			 "HTTP/1.1 %d X\r\nContent-Type: %s\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 status, type, len);
	mh_buffer_add(&c->out, body, len);
}

void write_text_response(struct conn *c, int status, const char *text)
{
	write_response(c, status, "text/plain", text, strlen(text));
}

const char *query_param(const struct conn *c, const char *name)
{
	static _Thread_local char value[512];
	const struct mh_http_text *t = &c->reader.head.target;
	const char *p = memchr(t->p, '?', t->len), *end = t->p + t->len;
	size_t len = strlen(name), n = 0;

	value[0] = '\0';
	while (p && p + 1 + len < end) {
		p++;
		if (!memcmp(p, name, len) && p[len] == '=') {
			p += len + 1;
			while (p < end && *p != '&' && n < sizeof(value) - 1)
				value[n++] = *p++;
			value[n] = '\0';
			return value;
		}
		p = memchr(p, '&', (size_t)(end - p));
	}
	return value;
}

bool path_is(const struct conn *c, const char *path)
{
	const struct mh_http_text *t = &c->reader.head.target;
	const char *q = memchr(t->p, '?', t->len);
	size_t len = q ? (size_t)(q - t->p) : t->len;

	return len == strlen(path) && !memcmp(t->p, path, len);
}
