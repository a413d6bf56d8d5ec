/*
 * Store of the platform with drills, for the project's stand-in of the platform. It
 * goes away for a moment and comes back from a copy that is some seconds old. Its
 * answers have the header Store-Era, which rises by one each time; a read from an
 * offset that it does not have gets 410.
 *
 *   POST /test/config     publishes a configuration
 *   POST /test/copy       the copy is taken now
 *   POST /test/drill?ms=  the store answers 503 for that time; then it has what the
 *                         copy has
 */
#include <jansson.h>
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/records.h"
#include "tests/standins/store.h"

#define MAX_TOPICS 16
#define MAX_RECORDS 100000
#define KEY_BYTES 256
#define POLL_INTERVAL_MS 5

struct record {
	uint8_t *bytes;
	size_t len;
};

struct topic {
	char name[64];
	struct record *v;
	size_t n;
	size_t copied; /* records in the copy */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct topic topics[MAX_TOPICS];
static uint64_t down_until_ms;
static bool is_drill;
static unsigned int era = 1;

static void write_answer(struct conn *c, int status, const char *type,
			 const void *body, size_t len)
{
	mh_buffer_printf(&c->out,
			 "HTTP/1.1 %d X\r\nContent-Type: %s\r\n"
			 "Store-Era: %u\r\nContent-Length: %zu\r\n\r\n",
			 status, type, era, len);
	mh_buffer_add(&c->out, body, len);
}

static void write_text(struct conn *c, int status, const char *text)
{
	write_answer(c, status, "text/plain", text, strlen(text));
}

static bool is_down(void)
{
	return mono_now_ms() < down_until_ms;
}

/* Puts the copy in place of the store once the store is back. The caller holds the
 * lock. */
static void end_drill(void)
{
	int i;

	if (!is_drill || is_down())
		return;
	is_drill = false;
	era++;
	for (i = 0; i < MAX_TOPICS; i++) {
		struct topic *t = &topics[i];

		while (t->n > t->copied)
			free(t->v[--t->n].bytes);
	}
}

static struct topic *get_topic(const char *name)
{
	int i;

	for (i = 0; i < MAX_TOPICS - 1 && topics[i].name[0]; i++) {
		if (!strcmp(topics[i].name, name))
			return &topics[i];
	}
	snprintf(topics[i].name, sizeof(topics[i].name), "%s", name);
	if (!topics[i].v)
		topics[i].v = calloc(MAX_RECORDS, sizeof(struct record));
	return &topics[i];
}

static void add(void *data, uint64_t offset, const uint8_t *bytes, size_t len)
{
	struct topic *t = data;
	struct record *r = &t->v[t->n];

	(void)offset;
	/* Records of keyed topics begin with the length of a key. */
	if (t->n == MAX_RECORDS || !len || bytes[0] + 1u > len)
		return;
	r->bytes = malloc(len);
	if (!r->bytes)
		abort();
	memcpy(r->bytes, bytes, len);
	r->len = len;
	t->n++;
}

static void put(const char *topic, const char *key, const void *value,
		size_t len)
{
	size_t key_len = strlen(key), n = 1 + key_len + (value ? len : 0);
	uint8_t *bytes = malloc(n);

	if (!bytes)
		abort();
	bytes[0] = (uint8_t)key_len;
	memcpy(bytes + 1, key, key_len);
	if (value)
		memcpy(bytes + 1 + key_len, value, len);
	add(get_topic(topic), 0, bytes, n);
	free(bytes);
}

void store_put(const char *topic, const char *key, const void *value,
	       size_t len)
{
	pthread_mutex_lock(&lock);
	end_drill();
	put(topic, key, value, len);
	pthread_mutex_unlock(&lock);
}

bool store_is_down(void)
{
	bool down;

	pthread_mutex_lock(&lock);
	down = is_down();
	pthread_mutex_unlock(&lock);
	return down;
}

static void handle_append(struct conn *c)
{
	struct topic *t = get_topic(query_param(c, "topic"));
	struct mh_buffer read = { 0 };
	uint8_t offsets[16] = { 0 };
	struct mh_record_offsets records;
	char text[64];
	size_t first = t->n;

	/* The decoder expects a response to a read: offsets, then records. */
	mh_buffer_add(&read, offsets, sizeof(offsets));
	mh_buffer_add(&read, mh_buffer_front(&c->body), c->body.len);
	if (mh_records_decode(mh_buffer_front(&read), read.len, 0, add, t,
			      &records)) {
		snprintf(text, sizeof(text), "{\"offset\":%zu,\"end\":%zu}",
			 first, t->n);
		write_answer(c, 200, "application/json", text, strlen(text));
	} else {
		write_text(c, 400, "malformed records\n");
	}
	mh_buffer_release(&read);
}

static void get_key(const struct record *r, char key[KEY_BYTES])
{
	memcpy(key, r->bytes + 1, r->bytes[0]);
	key[r->bytes[0]] = '\0';
}

static bool is_newest(const struct topic *t, size_t i)
{
	const struct record *r = &t->v[i];
	size_t j;

	for (j = i + 1; j < t->n; j++) {
		if (!memcmp(r->bytes, t->v[j].bytes, 1u + r->bytes[0]))
			return false;
	}
	return true;
}

static json_t *list_item(const struct topic *t, size_t i)
{
	const struct record *r = &t->v[i];
	size_t len = r->len - 1 - r->bytes[0];
	size_t cap =
		sodium_base64_ENCODED_LEN(len, sodium_base64_VARIANT_ORIGINAL);
	char *b64 = malloc(cap), key[KEY_BYTES];
	json_t *item;

	get_key(r, key);
	sodium_bin2base64(b64, cap, r->bytes + 1 + r->bytes[0], len,
			  sodium_base64_VARIANT_ORIGINAL);
	item = json_pack("{s:s,s:s,s:I}", "key", key, "value", b64, "offset",
			 (json_int_t)i);
	free(b64);
	return item;
}

static void handle_newest(struct conn *c)
{
	struct topic *t = get_topic(query_param(c, "topic"));
	json_t *items = json_array();
	json_t *doc;
	char *text;
	size_t i;

	for (i = 0; i < t->n; i++) {
		if (t->v[i].len > 1u + t->v[i].bytes[0] && is_newest(t, i))
			json_array_append_new(items, list_item(t, i));
	}
	doc = json_pack("{s:o,s:b,s:I}", "items", items, "more", 0, "end",
			(json_int_t)t->n);
	text = json_dumps(doc, JSON_COMPACT);
	write_answer(c, 200, "application/json", text, strlen(text));
	free(text);
	json_decref(doc);
}

static void handle_read(struct conn *c)
{
	struct topic *t = get_topic(query_param(c, "topic"));
	size_t from = strtoul(query_param(c, "from"), NULL, 10), i;
	uint64_t until_ms =
		mono_now_ms() + strtoul(query_param(c, "wait_ms"), NULL, 10);
	struct mh_buffer buf = { 0 };
	uint8_t offsets[16];
	static const char first[] = "{\"first\":0}";

	while (t->n == from && mono_now_ms() < until_ms && !is_down()) {
		pthread_mutex_unlock(&lock);
		sleep_ms(POLL_INTERVAL_MS);
		pthread_mutex_lock(&lock);
	}
	if (from > t->n) {
		write_answer(c, 410, "application/json", first, strlen(first));
		return;
	}
	mh_records_put_u64(offsets, t->n);
	mh_records_put_u64(offsets + 8, 0);
	mh_buffer_add(&buf, offsets, sizeof(offsets));
	for (i = from; i < t->n; i++)
		mh_records_add(&buf, NULL, 0, t->v[i].bytes, t->v[i].len);
	write_answer(c, 200, "application/octet-stream", mh_buffer_front(&buf),
		     buf.len);
	mh_buffer_release(&buf);
}

bool store_serve(struct conn *c)
{
	pthread_mutex_lock(&lock);
	end_drill();
	if (is_down())
		write_text(c, 503, "down\n");
	else if (path_is(c, "/log-append"))
		handle_append(c);
	else if (path_is(c, "/log-newest"))
		handle_newest(c);
	else if (path_is(c, "/log-read"))
		handle_read(c);
	else
		write_text(c, 404, "no such call\n");
	pthread_mutex_unlock(&lock);
	return send_all(c);
}

bool store_handle_control(struct conn *c)
{
	bool known = true;
	int i;

	pthread_mutex_lock(&lock);
	end_drill();
	if (path_is(c, "/test/config")) {
		put("keyed.op", "config", mh_buffer_front(&c->body),
		    c->body.len);
	} else if (path_is(c, "/test/copy")) {
		for (i = 0; i < MAX_TOPICS; i++)
			topics[i].copied = topics[i].n;
	} else if (path_is(c, "/test/drill")) {
		down_until_ms =
			mono_now_ms() + strtoul(query_param(c, "ms"), NULL, 10);
		is_drill = true;
	} else {
		known = false;
	}
	pthread_mutex_unlock(&lock);
	if (known)
		write_text(c, 200, "done\n");
	return known;
}
