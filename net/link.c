#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>
#include <utlist.h>

#include "net/link_impl.h"
#include "net/socket.h"

#define HEADER_BYTES 4
#define READ_BYTES 65536
/* Time limit of a connection attempt, in multiples of the backoff after it: a
 * lost SYN is sent again after a second only, but distant peers need time. */
#define CONNECT_BACKOFFS 2
/* From the connection to the end of the handshake. */
#define HANDSHAKE_TIMEOUT_NS (3000 * MH_NS_PER_MS)
/* Hello and Proof are the only frames of a peer that is not authenticated. A Hello
 * names the models of a server. */
#define MAX_HANDSHAKE_BYTES (64u << 10)
#define HANDSHAKE_READ_BYTES 4096
#define DEFAULT_MAX_UNPROVEN 512
#define DEFAULT_RECEIVE_TIMEOUT_NS (3000 * MH_NS_PER_MS)
/* Interval of the checks for timed-out links and for due reconnections. */
#define SCAN_INTERVAL_NS (50 * MH_NS_PER_MS)
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 2000
#define LISTEN_BACKLOG 128

struct mh_links *mh_links_new(struct mh_loop *loop,
			      const struct mh_link_conf *conf,
			      struct mh_counters *counters,
			      const struct mh_link_ops *ops, void *data)
{
	struct mh_links *set = calloc(1, sizeof(*set));

	if (!set || sodium_init() < 0) {
		free(set);
		return NULL;
	}
	set->loop = loop;
	set->conf = *conf;
	set->counters = counters;
	set->ops = ops;
	set->data = data;
	set->listener.fd = -1;
	if (!set->conf.max_unproven)
		set->conf.max_unproven = DEFAULT_MAX_UNPROVEN;
	set->receive_timeout_ns =
		conf->receive_timeout_ms ?
			conf->receive_timeout_ms * MH_NS_PER_MS :
			DEFAULT_RECEIVE_TIMEOUT_NS;
	randombytes_buf(&set->rng.state, sizeof(set->rng.state));
	return set;
}

static void free_link(struct link *l)
{
	HASH_DEL(l->set->links, l);
	if (l->hello)
		mh__frame__free_unpacked(l->hello, NULL);
	mh_buffer_release(&l->in);
	mh_buffer_release(&l->out);
	free(l);
}

static void schedule_retry(struct mh_links *set, struct dialled *d)
{
	uint64_t spread = mh_rng_next(&set->rng) % (d->backoff_ms + 1);

	d->link = NULL;
	d->retry_ns = mh_now_ns() + (d->backoff_ms / 2 + spread) * MH_NS_PER_MS;
	d->backoff_ms *= 2;
	if (d->backoff_ms > BACKOFF_MAX_MS)
		d->backoff_ms = BACKOFF_MAX_MS;
}

static void mark_dirty(struct link *l)
{
	if (l->dirty)
		return;
	l->dirty = true;
	l->next_dirty = l->set->dirty;
	l->set->dirty = l;
}

static void set_unproven(struct link *l, bool unproven)
{
	struct mh_links *set = l->set;

	if (l->unproven == unproven)
		return;
	l->unproven = unproven;
	if (unproven) {
		DL_APPEND(set->unproven, l);
		set->n_unproven++;
	} else {
		DL_DELETE(set->unproven, l);
		set->n_unproven--;
	}
}

/* The next flush frees the link, since callers may still use it. */
static void close_link(struct link *l)
{
	bool was_up = l->state == LINK_UP;

	if (l->state == LINK_CLOSED)
		return;
	l->state = LINK_CLOSED;
	set_unproven(l, false);
	/* The flush may be a while away, and the memory is not needed again. */
	mh_buffer_release(&l->out);
	mark_dirty(l);
	mh_loop_remove(l->set->loop, &l->watch);
	close(l->watch.fd);
	if (l->dialled)
		schedule_retry(l->set, l->dialled);
	l->dialled = NULL;
	if (was_up)
		l->set->ops->down(l->set->data, l->id);
}

static void set_want_write(struct link *l, bool want_write)
{
	if (l->want_write == want_write)
		return;
	l->want_write = want_write;
	mh_loop_change(l->set->loop, &l->watch,
		       EPOLLIN | (want_write ? EPOLLOUT : 0));
}

static void write_out(struct link *l)
{
	while (l->out.len) {
		ssize_t n = send(l->watch.fd, mh_buffer_front(&l->out),
				 l->out.len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			break;
		if (n < 0) {
			close_link(l);
			return;
		}
		mh_count_add(l->set->counters, MH_C_BYTES_OUT, (uint64_t)n);
		mh_buffer_consume(&l->out, (size_t)n);
	}
	set_want_write(l, l->out.len > 0);
}

static bool is_payload(const Mh__Frame *frame)
{
	switch (frame->body_case) {
	case MH__FRAME__BODY_HANDOVER:
	case MH__FRAME__BODY_HEAD:
	case MH__FRAME__BODY_DATA:
	case MH__FRAME__BODY_END:
		return true;
	default:
		return false;
	}
}

void mh_link_queue_frame(struct link *l, const Mh__Frame *frame)
{
	struct mh_links *set = l->set;
	size_t len = mh__frame__get_packed_size(frame);
	uint32_t header = htonl((uint32_t)len);
	uint8_t *p;

	if (l->state == LINK_CLOSED)
		return;
	if (len > set->conf.max_frame_bytes ||
	    l->out.len + len > set->conf.max_queue_bytes ||
	    !mh_buffer_reserve(&l->out, HEADER_BYTES + len)) {
		/* Frame too large, peer too slow to read, or out of memory. */
		close_link(l);
		return;
	}
	p = mh_buffer_back(&l->out);
	memcpy(p, &header, HEADER_BYTES);
	mh__frame__pack(frame, p + HEADER_BYTES);
	l->out.len += HEADER_BYTES + len;
	mark_dirty(l);
	mh_count(set->counters, MH_C_FRAMES_OUT);
	if (!is_payload(frame))
		mh_count_add(set->counters, MH_C_CONTROL_BYTES_OUT,
			     HEADER_BYTES + len);
}

void mh_links_send(struct mh_links *set, uint32_t id, const Mh__Frame *frame)
{
	struct link *l;

	HASH_FIND(hh, set->links, &id, sizeof(id), l);
	if (l && l->state == LINK_UP)
		mh_link_queue_frame(l, frame);
}

static void reject(struct link *l)
{
	mh_count(l->set->counters, MH_C_BAD_FRAMES);
	close_link(l);
}

/* Return: whether the link took over the frame. */
static bool on_hello(struct link *l, Mh__Frame *frame)
{
	const Mh__Hello *hello = frame->hello;

	if (frame->body_case != MH__FRAME__BODY_HELLO ||
	    hello->version != MH_LINK_VERSION ||
	    hello->nonce.len != NONCE_BYTES || !*hello->host ||
	    !strcmp(hello->host, l->set->conf.host)) {
		reject(l);
		return false;
	}
	l->hello = frame;
	l->state = LINK_PROOF;
	mh_link_send_proof(l);
	return true;
}

static void on_proof(struct link *l, const Mh__Frame *frame)
{
	const Mh__Hello *hello = l->hello->hello;
	uint8_t mac[crypto_auth_hmacsha512256_BYTES];

	mh_link_make_mac(mac, l->set->conf.key, hello->role, hello->host,
			 hello->incarnation, hello->nonce.data, l->nonce);
	if (frame->body_case != MH__FRAME__BODY_PROOF ||
	    frame->proof->mac.len != sizeof(mac) ||
	    sodium_memcmp(frame->proof->mac.data, mac, sizeof(mac))) {
		reject(l);
		return;
	}
	l->state = LINK_UP;
	set_unproven(l, false);
	if (l->dialled)
		l->dialled->backoff_ms = BACKOFF_MIN_MS;
	l->set->ops->up(l->set->data, l->id, hello);
}

static void on_frame(struct link *l, const uint8_t *p, size_t len)
{
	Mh__Frame *frame = mh__frame__unpack(NULL, len, p);
	bool kept = false;

	if (!frame) {
		reject(l);
		return;
	}
	mh_count(l->set->counters, MH_C_FRAMES_IN);
	if (l->state == LINK_HELLO)
		kept = on_hello(l, frame);
	else if (l->state == LINK_PROOF)
		on_proof(l, frame);
	else if (frame->body_case != MH__FRAME__BODY__NOT_SET)
		l->set->ops->frame(l->set->data, l->id, frame);
	if (!kept)
		mh__frame__free_unpacked(frame, NULL);
}

static bool is_in_handshake(const struct link *l)
{
	return l->state == LINK_HELLO || l->state == LINK_PROOF;
}

static uint32_t max_frame_bytes(const struct link *l)
{
	uint32_t max = l->set->conf.max_frame_bytes;

	return is_in_handshake(l) && max > MAX_HANDSHAKE_BYTES ?
		       MAX_HANDSHAKE_BYTES :
		       max;
}

static void parse_in(struct link *l)
{
	while (l->state != LINK_CLOSED && l->in.len >= HEADER_BYTES) {
		uint32_t len;

		memcpy(&len, mh_buffer_front(&l->in), HEADER_BYTES);
		len = ntohl(len);
		if (len > max_frame_bytes(l)) {
			reject(l);
			return;
		}
		if (l->in.len < HEADER_BYTES + len)
			return;
		on_frame(l, mh_buffer_front(&l->in) + HEADER_BYTES, len);
		mh_buffer_consume(&l->in, HEADER_BYTES + len);
	}
}

static void read_in(struct link *l)
{
	size_t max = is_in_handshake(l) ? HANDSHAKE_READ_BYTES : READ_BYTES;
	ssize_t n;

	if (!mh_buffer_reserve(&l->in, max)) {
		close_link(l);
		return;
	}
	n = recv(l->watch.fd, mh_buffer_back(&l->in), max, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		close_link(l);
		return;
	}
	mh_count_add(l->set->counters, MH_C_BYTES_IN, (uint64_t)n);
	l->last_received_ns = mh_now_ns();
	l->in.len += (size_t)n;
	parse_in(l);
}

static void finish_connect(struct link *l)
{
	if (mh_socket_error(l->watch.fd)) {
		close_link(l);
		return;
	}
	l->state = LINK_HELLO;
	mh_link_send_hello(l);
	write_out(l);
}

static void on_ready(void *data, uint32_t events)
{
	struct link *l = data;

	if (l->state == LINK_CONNECTING) {
		finish_connect(l);
		return;
	}
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		read_in(l);
	if (l->state != LINK_CLOSED && (events & EPOLLOUT))
		write_out(l);
}

static struct link *new_link(struct mh_links *set, int fd)
{
	struct link *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->set = set;
	l->id = ++set->next_id;
	l->last_received_ns = mh_now_ns();
	l->began_ns = l->last_received_ns;
	l->watch.fd = fd;
	l->watch.ready = on_ready;
	l->watch.data = l;
	HASH_ADD(hh, set->links, id, sizeof(l->id), l);
	return l;
}

static void on_accept(void *data, uint32_t events)
{
	struct mh_links *set = data;
	struct link *l;
	int fd = mh_socket_accept(set->listener.fd);

	(void)events;
	/* The oldest peer had more time than any other to prove itself. */
	if (set->unproven &&
	    (set->n_unproven >= set->conf.max_unproven ||
	     (fd < 0 && (errno == EMFILE || errno == ENFILE)))) {
		mh_count(set->counters, MH_C_LINKS_EVICTED);
		close_link(set->unproven);
	}
	if (fd < 0) {
		/* Without descriptors the listener would wake the loop again
		 * and again. The next scan ends the pause. */
		set->accept_paused = errno != EAGAIN;
		if (set->accept_paused)
			mh_loop_change(set->loop, &set->listener, 0);
		return;
	}
	l = new_link(set, fd);
	if (!l || mh_loop_add(set->loop, &l->watch, EPOLLIN)) {
		close(fd);
		return;
	}
	l->state = LINK_HELLO;
	set_unproven(l, true);
	mh_link_send_hello(l);
}

int mh_links_listen(struct mh_links *set, const char *address)
{
	int fd = mh_socket_listen(address, LISTEN_BACKLOG);

	if (fd < 0)
		return -1;
	set->listener.fd = fd;
	set->listener.ready = on_accept;
	set->listener.data = set;
	if (mh_loop_add(set->loop, &set->listener, EPOLLIN)) {
		close(fd);
		set->listener.fd = -1;
		return -1;
	}
	return 0;
}

static void connect_to(struct mh_links *set, struct dialled *d)
{
	int fd = mh_socket_connect(d->address);
	struct link *l;

	if (fd < 0) {
		schedule_retry(set, d);
		return;
	}
	l = new_link(set, fd);
	if (!l) {
		close(fd);
		return;
	}
	l->state = LINK_CONNECTING;
	l->dialled = d;
	d->link = l;
	if (mh_loop_add(set->loop, &l->watch, EPOLLOUT | EPOLLIN))
		close_link(l);
	l->want_write = true;
}

static struct dialled *find_dialled(struct mh_links *set, const char *address)
{
	struct dialled *d;

	DL_FOREACH(set->dialled, d) {
		if (!strcmp(d->address, address))
			return d;
	}
	return NULL;
}

void mh_links_dial(struct mh_links *set, const char *address)
{
	struct dialled *d = find_dialled(set, address);

	if (d)
		return;
	d = calloc(1, sizeof(*d));
	if (!d)
		return;
	d->address = strdup(address);
	d->backoff_ms = BACKOFF_MIN_MS;
	DL_APPEND(set->dialled, d);
	connect_to(set, d);
}

static void free_dialled(struct mh_links *set, struct dialled *d)
{
	DL_DELETE(set->dialled, d);
	free(d->address);
	free(d);
}

void mh_links_undial(struct mh_links *set, const char *address)
{
	struct dialled *d = find_dialled(set, address);

	if (!d)
		return;
	/* A link that is up stays until it breaks: it may carry responses. */
	if (d->link) {
		d->link->dialled = NULL;
		if (d->link->state != LINK_UP)
			close_link(d->link);
	}
	free_dialled(set, d);
}

void mh_links_close(struct mh_links *set, uint32_t id)
{
	struct link *l;

	HASH_FIND(hh, set->links, &id, sizeof(id), l);
	if (l)
		close_link(l);
}

uint64_t mh_links_silent_since(const struct mh_links *set, uint32_t link)
{
	struct link *l;

	HASH_FIND(hh, set->links, &link, sizeof(link), l);
	if (!l || mh_now_ns() <= l->last_received_ns + set->receive_timeout_ns)
		return 0;
	return l->last_received_ns;
}

const char *mh_links_dialled(const struct mh_links *set, size_t i)
{
	struct dialled *d;

	DL_FOREACH(set->dialled, d) {
		if (!i--)
			return d->address;
	}
	return NULL;
}

const char *mh_links_address(const struct mh_links *set, uint32_t id)
{
	struct link *l;

	HASH_FIND(hh, set->links, &id, sizeof(id), l);
	return l && l->dialled ? l->dialled->address : NULL;
}

static bool is_timed_out(const struct link *l, uint64_t now_ns)
{
	uint64_t timeout_ns = HANDSHAKE_TIMEOUT_NS;

	/* Bytes do not extend the time of a peer that is not authenticated. */
	if (l->unproven)
		return now_ns > l->began_ns + timeout_ns;
	if (l->state == LINK_UP)
		timeout_ns = l->set->receive_timeout_ns;
	else if (l->state == LINK_CONNECTING)
		timeout_ns = CONNECT_BACKOFFS * l->dialled->backoff_ms *
			     MH_NS_PER_MS;
	return now_ns > l->last_received_ns + timeout_ns;
}

static void write_dirty(struct mh_links *set)
{
	struct link *l;

	while ((l = set->dirty)) {
		set->dirty = l->next_dirty;
		l->dirty = false;
		if (l->state != LINK_CLOSED && !l->want_write)
			write_out(l);
		/* A link that write_out() closed is on the list again. */
		if (l->state == LINK_CLOSED && !l->dirty)
			free_link(l);
	}
}

static void scan(struct mh_links *set, uint64_t now_ns)
{
	struct link *l, *tmp;
	struct dialled *d;

	HASH_ITER(hh, set->links, l, tmp) {
		if (l->state != LINK_CLOSED && is_timed_out(l, now_ns))
			close_link(l);
	}
	if (set->accept_paused) {
		set->accept_paused = false;
		mh_loop_change(set->loop, &set->listener, EPOLLIN);
	}
	DL_FOREACH(set->dialled, d) {
		if (!d->link && now_ns >= d->retry_ns)
			connect_to(set, d);
	}
}

void mh_links_flush(struct mh_links *set)
{
	uint64_t now_ns = mh_now_ns();

	if (now_ns >= set->next_scan_ns) {
		set->next_scan_ns = now_ns + SCAN_INTERVAL_NS;
		scan(set, now_ns);
	}
	write_dirty(set);
}

size_t mh_links_unsent(const struct mh_links *set)
{
	struct link *l, *tmp;
	size_t n = 0;

	HASH_ITER(hh, set->links, l, tmp)
		n += l->out.len;
	return n;
}

void mh_links_free(struct mh_links *set)
{
	struct dialled *d, *tmp_d;
	struct link *l, *tmp;

	if (!set)
		return;
	HASH_ITER(hh, set->links, l, tmp) {
		if (l->state != LINK_CLOSED) {
			mh_loop_remove(set->loop, &l->watch);
			close(l->watch.fd);
		}
		free_link(l);
	}
	DL_FOREACH_SAFE(set->dialled, d, tmp_d)
		free_dialled(set, d);
	if (set->listener.fd >= 0) {
		mh_loop_remove(set->loop, &set->listener);
		close(set->listener.fd);
	}
	free(set);
}
