#include "net/loop.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>
#include <urcu/arch.h>

#define MAX_EVENTS 64
#define MAX_TASKS_PER_ITERATION 512

struct mh_loop {
	int epoll_fd;
	int wake_fd;
	bool stopped;
	struct mh_watch wake;
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	struct epoll_event events[MAX_EVENTS];
	int n_events;
	/* Set before and during epoll_wait(): a post must wake the loop. */
	int asleep;
};

static uint64_t system_mono_ns(void *data)
{
	struct timespec ts;

	(void)data;
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 * MH_NS_PER_MS + (uint64_t)ts.tv_nsec;
}

static uint64_t system_wall_ms(void *data)
{
	struct timespec ts;

	(void)data;
	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * MH_MS_PER_S +
	       (uint64_t)ts.tv_nsec / MH_NS_PER_MS;
}

const struct mh_clock mh_system_clock = {
	.mono_ns = system_mono_ns,
	.wall_ms = system_wall_ms,
};

static void on_wake(void *data, uint32_t events)
{
	struct mh_loop *loop = data;
	uint64_t n;

	(void)events;
	if (read(loop->wake_fd, &n, sizeof(n)) < 0 && errno != EAGAIN)
		loop->stopped = true;
}

struct timespec mh_cond_deadline(uint32_t ms)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += ms / MH_MS_PER_S;
	until.tv_nsec += (long)(ms % MH_MS_PER_S * MH_NS_PER_MS);
	until.tv_sec += until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	return until;
}

struct mh_loop *mh_loop_new(void)
{
	struct mh_loop *loop = calloc(1, sizeof(*loop));

	if (!loop)
		return NULL;
	cds_wfcq_init(&loop->head, &loop->tail);
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	loop->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	loop->wake.fd = loop->wake_fd;
	loop->wake.ready = on_wake;
	loop->wake.data = loop;
	if (loop->epoll_fd < 0 || loop->wake_fd < 0 ||
	    mh_loop_add(loop, &loop->wake, EPOLLIN)) {
		mh_loop_free(loop);
		return NULL;
	}
	return loop;
}

void mh_loop_free(struct mh_loop *loop)
{
	if (!loop)
		return;
	if (loop->epoll_fd >= 0)
		close(loop->epoll_fd);
	if (loop->wake_fd >= 0)
		close(loop->wake_fd);
	cds_wfcq_destroy(&loop->head, &loop->tail);
	free(loop);
}

int mh_loop_add(struct mh_loop *loop, struct mh_watch *watch, uint32_t events)
{
	struct epoll_event ev = { .events = events, .data.ptr = watch };

	return epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, watch->fd, &ev);
}

void mh_loop_change(struct mh_loop *loop, struct mh_watch *watch,
		    uint32_t events)
{
	struct epoll_event ev = { .events = events, .data.ptr = watch };

	epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, watch->fd, &ev);
}

void mh_loop_remove(struct mh_loop *loop, struct mh_watch *watch)
{
	int i;

	epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
	/* Drop its events of this batch that are not handled yet. */
	for (i = 0; i < loop->n_events; i++) {
		if (loop->events[i].data.ptr == watch)
			loop->events[i].data.ptr = NULL;
	}
}

void mh_loop_post(struct mh_loop *loop, struct mh_task *task)
{
	uint64_t one = 1;

	cds_wfcq_node_init(&task->node);
	/* The queue already orders this; the store tells race detectors too. */
	__atomic_store_n(&task->posted, true, __ATOMIC_RELEASE);
	cds_wfcq_enqueue(&loop->head, &loop->tail, &task->node);
	cmm_smp_mb();
	if (!__atomic_exchange_n(&loop->asleep, 0, __ATOMIC_SEQ_CST))
		return;
	if (write(loop->wake_fd, &one, sizeof(one)) < 0 && errno != EAGAIN)
		abort();
}

static void run_tasks(struct mh_loop *loop)
{
	int i;

	for (i = 0; i < MAX_TASKS_PER_ITERATION; i++) {
		struct cds_wfcq_node *node =
			__cds_wfcq_dequeue_blocking(&loop->head, &loop->tail);
		struct mh_task *task;

		if (!node)
			return;
		task = caa_container_of(node, struct mh_task, node);
		(void)__atomic_load_n(&task->posted, __ATOMIC_ACQUIRE);
		task->run(task);
	}
}

static int timeout_ms(uint64_t next_ns)
{
	uint64_t now_ns = mh_clock_mono_ns(&mh_system_clock);

	if (next_ns <= now_ns)
		return 0;
	return (int)((next_ns - now_ns + MH_NS_PER_MS - 1) / MH_NS_PER_MS);
}

static void wait_events(struct mh_loop *loop, uint64_t next_ns)
{
	int timeout = timeout_ms(next_ns);

	__atomic_store_n(&loop->asleep, 1, __ATOMIC_SEQ_CST);
	cmm_smp_mb();
	if (!cds_wfcq_empty(&loop->head, &loop->tail))
		timeout = 0;
	loop->n_events =
		epoll_wait(loop->epoll_fd, loop->events, MAX_EVENTS, timeout);
	__atomic_store_n(&loop->asleep, 0, __ATOMIC_SEQ_CST);
}

static void handle_events(struct mh_loop *loop)
{
	int i;

	for (i = 0; i < loop->n_events; i++) {
		struct mh_watch *watch = loop->events[i].data.ptr;

		if (watch)
			watch->ready(watch->data, loop->events[i].events);
	}
	loop->n_events = 0;
}

void mh_loop_run(struct mh_loop *loop, uint64_t (*tick)(void *data), void *data)
{
	uint64_t next_ns = tick(data);

	while (!loop->stopped) {
		wait_events(loop, next_ns);
		handle_events(loop);
		run_tasks(loop);
		next_ns = tick(data);
	}
}

void mh_loop_drain_tasks(struct mh_loop *loop)
{
	while (!cds_wfcq_empty(&loop->head, &loop->tail))
		run_tasks(loop);
}

void mh_loop_stop(struct mh_loop *loop)
{
	loop->stopped = true;
}
