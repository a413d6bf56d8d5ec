#include "tests/standins/store.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "platform/records.h"

#define MAX_TOPICS 16
#define MAX_REFUSED_PORTS 32
#define SILENCE_POLL_MS 20
#define MAX_RECORDS 100000
#define KEY_BYTES 256
#define POLL_INTERVAL_MS 5

struct record {
	uint8_t *bytes;
	size_t len;
	uint64_t added_ms;
};

struct topic {
	char name[64];
	struct record *v;
	size_t first;
	size_t n;
	size_t copied; /* records in the copy */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct topic topics[MAX_TOPICS];
static unsigned int calls;
static uint64_t down_until_ms;
static bool outage;
/* Ports on which the store turns everybody away. */
static struct refused_port {
	int port;
	char how[16]; /* "503", "reset", or "silent" */
} refused_ports[MAX_REFUSED_PORTS];
/* Of drills; 0: answers name no era. */
static unsigned int era;
static bool is_drill;
static long lose_answers, slow_ms, retain;
/* How all answers are spoiled: without end in their "body", "head" or "interim"
 * responses, or "cut" before the end of their Content-Length. */
static char spoiled[16];

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

static bool is_keyed(const struct topic *t)
{
	return !strncmp(t->name, "keyed.", 6);
}

/* Drops records beyond the retention limit. Keyed topics keep the bytes, so
 * that the newest record of each key can still be listed. */
static void drop_expired(struct topic *t)
{
	while (retain && t->n - t->first > (size_t)retain) {
		struct record *r = &t->v[t->first++];

		if (is_keyed(t))
			continue;
		free(r->bytes);
		r->bytes = NULL;
	}
}

static void add(void *data, uint64_t offset, const uint8_t *bytes, size_t len)
{
	struct topic *t = data;
	struct record *r = &t->v[t->n];

	(void)offset;
	if (t->n == MAX_RECORDS)
		return;
	r->bytes = malloc(len ? len : 1);
	memcpy(r->bytes, bytes, len);
	r->len = len;
	r->added_ms = mono_now_ms();
	t->n++;
	drop_expired(t);
}

static void put(const char *topic, const char *key, const void *value,
		size_t len)
{
	size_t key_len = strlen(key), n = 1 + key_len + (value ? len : 0);
	uint8_t *bytes = malloc(n);

	bytes[0] = (uint8_t)key_len;
	memcpy(bytes + 1, key, key_len);
	if (value)
		memcpy(bytes + 1 + key_len, value, len);
	add(get_topic(topic), 0, bytes, n);
	free(bytes);
}

static bool is_down(void)
{
	return outage || mono_now_ms() < down_until_ms;
}

/* Puts the copy in place of the store once the store is back. */
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
		if (t->first > t->n)
			t->first = t->n;
	}
}

void store_put(const char *topic, const char *key, const void *value,
	       size_t len)
{
	pthread_mutex_lock(&lock);
	end_drill();
	put(topic, key, value, len);
	pthread_mutex_unlock(&lock);
}

void store_history(const char *topic, const char *key, struct mh_buffer *out)
{
	size_t key_len = strlen(key), i;
	struct topic *t;

	pthread_mutex_lock(&lock);
	t = get_topic(topic);
	for (i = 0; i < t->n; i++) {
		const struct record *r = &t->v[i];

		if (r->len <= key_len + 1 || r->bytes[0] != key_len ||
		    memcmp(r->bytes + 1, key, key_len))
			continue;
		mh_buffer_printf(out, "%llu ", (unsigned long long)r->added_ms);
		mh_buffer_add(out, r->bytes + 1 + key_len,
			      r->len - 1 - key_len);
		mh_buffer_add(out, "\n", 1);
	}
	pthread_mutex_unlock(&lock);
}

static void respond(struct conn *c, int status, const char *type,
		    const void *body, size_t len)
{
	mh_buffer_printf(&c->out, "HTTP/1.1 %d X\r\nContent-Type: %s\r\n",
			 status, type);
	if (era)
		mh_buffer_printf(&c->out, "Store-Era: %u\r\n", era);
	mh_buffer_printf(&c->out, "Content-Length: %zu\r\n\r\n", len);
	mh_buffer_add(&c->out, body, len);
}

static void respond_text(struct conn *c, int status, const char *text)
{
	respond(c, status, "text/plain", text, strlen(text));
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
	const char *at = query_param(c, "at");
	size_t first = t->n;

	if (*at && strtoul(at, NULL, 10) != t->n) {
		snprintf(text, sizeof(text), "{\"end\":%zu}", t->n);
		respond(c, 412, "application/json", text, strlen(text));
		return;
	}
	/* The decoder expects a response to a read: offsets, then records. */
	mh_buffer_add(&read, offsets, sizeof(offsets));
	mh_buffer_add(&read, mh_buffer_front(&c->body), c->body.len);
	if (mh_records_decode(mh_buffer_front(&read), read.len, 0, add, t,
			      &records)) {
		snprintf(text, sizeof(text), "{\"offset\":%zu,\"end\":%zu}",
			 first, t->n);
		respond(c, 200, "application/json", text, strlen(text));
	} else {
		respond_text(c, 400, "malformed records\n");
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
		if (t->v[j].len > r->bytes[0] &&
		    !memcmp(r->bytes, t->v[j].bytes, 1u + r->bytes[0]))
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
	respond(c, 200, "application/json", text, strlen(text));
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
	char text[64];

	while (t->n <= from && mono_now_ms() < until_ms && !is_down()) {
		pthread_mutex_unlock(&lock);
		sleep_ms(POLL_INTERVAL_MS);
		pthread_mutex_lock(&lock);
		end_drill();
	}
	if (from < t->first || (era && from > t->n)) {
		snprintf(text, sizeof(text), "{\"first\":%zu}", t->first);
		respond(c, 410, "application/json", text, strlen(text));
		return;
	}
	mh_records_put_u64(offsets, t->n);
	mh_records_put_u64(offsets + 8, t->first);
	mh_buffer_add(&buf, offsets, sizeof(offsets));
	for (i = from; i < t->n; i++)
		mh_records_add(&buf, NULL, 0, t->v[i].bytes, t->v[i].len);
	respond(c, 200, "application/octet-stream", mh_buffer_front(&buf),
		buf.len);
	mh_buffer_release(&buf);
}

/* Sends until the other side closes, but for one that is cut. */
static void serve_spoiled(struct conn *c, const char *part)
{
	static const char block[] = "X-Name: value\r\n";
	int i;

	if (!strcmp(part, "cut")) {
		mh_buffer_printf(&c->out,
				 "HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\n"
				 "{\"accepted\": true, \"version\": 1}");
		send_all(c);
		return;
	}
	if (!strcmp(part, "interim")) {
		do {
			for (i = 0; i < 512; i++)
				mh_buffer_printf(
					&c->out,
					"HTTP/1.1 102 X\r\nA: b\r\n\r\n");
		} while (send_all(c));
		return;
	}
	mh_buffer_printf(&c->out, "HTTP/1.1 200 X\r\n%s",
			 strcmp(part, "body") ? "" : "\r\n");
	do {
		for (i = 0; i < 1024; i++)
			mh_buffer_add(&c->out, block, sizeof(block) - 1);
	} while (send_all(c));
}

/* Return: how a port refuses, NULL if it serves. The caller holds the lock. */
static struct refused_port *find_refused(int port)
{
	int i;

	for (i = 0; i < MAX_REFUSED_PORTS; i++) {
		if (refused_ports[i].port == port)
			return &refused_ports[i];
	}
	return NULL;
}

static int local_port(const struct conn *c)
{
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);

	getsockname(c->fd, (struct sockaddr *)&sa, &len);
	return ntohs(sa.sin_port);
}

/* Return: whether the port of this connection refuses, and did so. */
static bool refuse(struct conn *c)
{
	int port = local_port(c);
	const struct refused_port *r;
	bool is_503 = false, is_silent;

	do {
		pthread_mutex_lock(&lock);
		r = find_refused(port);
		is_503 = r && !strcmp(r->how, "503");
		is_silent = r && !strcmp(r->how, "silent");
		pthread_mutex_unlock(&lock);
		if (is_silent)
			sleep_ms(SILENCE_POLL_MS);
	} while (is_silent);
	if (is_503) {
		respond_text(c, 503, "not you\n");
		send_all(c);
	}
	return r;
}

static void set_refused(int port, const char *how)
{
	struct refused_port *r = find_refused(port);

	if (!r)
		r = find_refused(0);
	if (!r)
		abort();
	r->port = *how ? port : 0;
	snprintf(r->how, sizeof(r->how), "%s", how);
}

bool store_serve(struct conn *c)
{
	bool drop_response = false;
	char part[sizeof(spoiled)];
	long delay_ms;

	if (refuse(c))
		return false;
	pthread_mutex_lock(&lock);
	calls++;
	delay_ms = slow_ms;
	memcpy(part, spoiled, sizeof(part));
	pthread_mutex_unlock(&lock);
	sleep_ms((uint32_t)delay_ms);
	if (part[0]) {
		serve_spoiled(c, part);
		return false;
	}
	pthread_mutex_lock(&lock);
	end_drill();
	if (is_down()) {
		respond_text(c, 503, "down\n");
	} else if (path_is(c, "/log-append")) {
		handle_append(c);
		drop_response = lose_answers > 0 && lose_answers--;
	} else if (path_is(c, "/log-newest")) {
		handle_newest(c);
	} else if (path_is(c, "/log-read")) {
		handle_read(c);
	} else {
		respond_text(c, 404, "no such call\n");
	}
	pthread_mutex_unlock(&lock);
	return !drop_response && send_all(c);
}

static void read_number(const json_t *doc, const char *key, long *value)
{
	const json_t *v = json_object_get(doc, key);

	if (v)
		*value = (long)json_integer_value(v);
}

static void apply_settings(const json_t *doc)
{
	int i;

	if (json_object_get(doc, "outage"))
		outage = json_is_true(json_object_get(doc, "outage"));
	if (json_is_string(json_object_get(doc, "spoiled")))
		snprintf(spoiled, sizeof(spoiled), "%s",
			 json_string_value(json_object_get(doc, "spoiled")));
	read_number(doc, "lose_answers", &lose_answers);
	read_number(doc, "slow_ms", &slow_ms);
	read_number(doc, "retain", &retain);
	for (i = 0; i < MAX_TOPICS; i++)
		drop_expired(&topics[i]);
}

/* Writes the new host list; hosts that aren't on it are deleted. */
static void replace_hosts(const json_t *doc)
{
	const struct topic *t = get_topic("keyed.hosts");
	const json_t *rows = json_object_get(doc, "hosts"), *row;
	size_t i, n = t->n;
	char key[KEY_BYTES];

	for (i = 0; i < n; i++) {
		get_key(&t->v[i], key);
		if (is_newest(t, i))
			put("keyed.hosts", key, NULL, 0);
	}
	json_array_foreach(rows, i, row) {
		const char *name =
			json_string_value(json_object_get(row, "name"));
		char *text = json_dumps(row, JSON_COMPACT);

		put("keyed.hosts", name, text, strlen(text));
		free(text);
	}
}

static void take_copy(void)
{
	int i;

	for (i = 0; i < MAX_TOPICS; i++)
		topics[i].copied = topics[i].n;
	if (!era)
		era = 1;
}

/* The store goes away for a time, then has what the copy has. */
static void begin_drill(unsigned long ms)
{
	down_until_ms = mono_now_ms() + ms;
	is_drill = true;
}

bool store_handle_control(struct conn *c)
{
	json_t *doc = json_loadb((const char *)mh_buffer_front(&c->body),
				 c->body.len, 0, NULL);
	int port = atoi(query_param(c, "port"));
	bool known = true;
	char text[32] = "done\n";

	pthread_mutex_lock(&lock);
	end_drill();
	if (path_is(c, "/test/config"))
		put("keyed.op", "config", mh_buffer_front(&c->body),
		    c->body.len);
	else if (path_is(c, "/test/hosts"))
		replace_hosts(doc);
	else if (path_is(c, "/test/store"))
		apply_settings(doc);
	else if (path_is(c, "/test/refuse"))
		set_refused(port, query_param(c, "how"));
	else if (path_is(c, "/test/copy"))
		take_copy();
	else if (path_is(c, "/test/drill"))
		begin_drill(strtoul(query_param(c, "ms"), NULL, 10));
	else if (path_is(c, "/test/down"))
		down_until_ms =
			mono_now_ms() + strtoul(query_param(c, "ms"), NULL, 10);
	else if (path_is(c, "/test/calls"))
		snprintf(text, sizeof(text), "%u\n", calls);
	else
		known = false;
	pthread_mutex_unlock(&lock);
	json_decref(doc);
	if (known)
		write_text_response(c, 200, text);
	return known;
}
