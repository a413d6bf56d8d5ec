/*
 * Event loop of the thread that owns a core: watches file descriptors with
 * epoll and runs tasks that other threads post to a wait-free queue.
 */
#ifndef MH_LOOP_H
#define MH_LOOP_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include <urcu/wfcqueue.h>

#include "core/clock.h"

struct mh_loop;

/**
 * struct mh_task - function to run on the loop's thread
 * @node: node in the queue
 * @posted: release/acquire flag for race detectors; the queue already orders
 *	the poster's writes before @run
 * @run: called on the loop's thread; may free the task
 */
struct mh_task {
	struct cds_wfcq_node node;
	bool posted;
	void (*run)(struct mh_task *task);
};

/**
 * struct mh_watch - file descriptor watched by the loop
 * @fd: file descriptor
 * @ready: called with the epoll events
 * @data: first argument of @ready
 *
 * Owned by the caller; embed it.
 */
struct mh_watch {
	int fd;
	void (*ready)(void *data, uint32_t events);
	void *data;
};

/**
 * mh_system_clock - CLOCK_BOOTTIME and CLOCK_REALTIME
 */
extern const struct mh_clock mh_system_clock;

/**
 * mh_now_ns() - monotonic time, including time in suspend
 */
static inline uint64_t mh_now_ns(void)
{
	return mh_clock_mono_ns(&mh_system_clock);
}

/**
 * mh_cond_deadline() - deadline for pthread_cond_timedwait()
 * @ms: time from now
 *
 * Return: absolute time of CLOCK_REALTIME.
 */
struct timespec mh_cond_deadline(uint32_t ms);

/**
 * mh_loop_new() - create a loop
 *
 * Return: loop, or NULL if out of memory or file descriptors.
 */
struct mh_loop *mh_loop_new(void);

/**
 * mh_loop_free() - free a loop that is not running
 * @loop: loop or NULL
 */
void mh_loop_free(struct mh_loop *loop);

/**
 * mh_loop_add() - watch a file descriptor
 * @loop: loop
 * @watch: file descriptor and callback
 * @events: epoll events
 *
 * Return: 0, or -1 with errno set.
 */
int mh_loop_add(struct mh_loop *loop, struct mh_watch *watch, uint32_t events);

/**
 * mh_loop_change() - change the events to watch for
 * @loop: loop
 * @watch: watch that was added
 * @events: epoll events
 */
void mh_loop_change(struct mh_loop *loop, struct mh_watch *watch,
		    uint32_t events);

/**
 * mh_loop_remove() - stop watching
 * @loop: loop
 * @watch: watch that was added; its callback is not called again
 */
void mh_loop_remove(struct mh_loop *loop, struct mh_watch *watch);

/**
 * mh_loop_post() - queue a task for the loop's thread; callable from any thread
 * @loop: loop
 * @task: task
 */
void mh_loop_post(struct mh_loop *loop, struct mh_task *task);

/**
 * mh_loop_run() - run until mh_loop_stop()
 * @loop: loop
 * @tick: called first, then after each batch of events; returns the monotonic
 *	time, in ns, of the next call
 * @data: first argument of @tick
 */
void mh_loop_run(struct mh_loop *loop, uint64_t (*tick)(void *data),
		 void *data);

/**
 * mh_loop_drain_tasks() - run the tasks that are left after mh_loop_run()
 * @loop: loop that has stopped; called on its thread
 */
void mh_loop_drain_tasks(struct mh_loop *loop);

/**
 * mh_loop_stop() - make mh_loop_run() return; called on the loop's thread
 * @loop: loop
 */
void mh_loop_stop(struct mh_loop *loop);

#endif
