/*
 * Event loop of the thread that owns a core: file descriptors by epoll, tasks
 * from other threads through a wait-free queue.
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
 * struct mh_task - work for the loop's thread
 * @node: place in the queue
 * @posted: orders what the poster wrote before what @run reads
 * @run: called on the loop's thread; may free the task
 */
struct mh_task {
	struct cds_wfcq_node node;
	bool posted;
	void (*run)(struct mh_task *task);
};

/**
 * struct mh_watch - a file descriptor that the loop watches
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
 * mh_now_ns() - monotonic time of the host
 */
static inline uint64_t mh_now_ns(void)
{
	return mh_clock_mono_ns(&mh_system_clock);
}

/**
 * mh_cond_deadline() - the time until which to wait on a condition
 * @ms: time from now on
 */
struct timespec mh_cond_deadline(uint32_t ms);

/**
 * mh_loop_new() - create a loop
 */
struct mh_loop *mh_loop_new(void);

/**
 * mh_loop_free() - free a loop that does not run
 * @loop: loop or NULL
 */
void mh_loop_free(struct mh_loop *loop);

/**
 * mh_loop_add() - watch a file descriptor
 * @loop: loop
 * @watch: what to call
 * @events: epoll events
 *
 * Return: 0, or -1 with errno set.
 */
int mh_loop_add(struct mh_loop *loop, struct mh_watch *watch, uint32_t events);

/**
 * mh_loop_change() - change the events that are watched for
 * @loop: loop
 * @watch: watch that was added
 * @events: epoll events
 */
void mh_loop_change(struct mh_loop *loop, struct mh_watch *watch,
		    uint32_t events);

/**
 * mh_loop_remove() - stop watching
 * @loop: loop
 * @watch: watch that was added; not called any more
 */
void mh_loop_remove(struct mh_loop *loop, struct mh_watch *watch);

/**
 * mh_loop_post() - hand a task to the loop's thread; from any thread
 * @loop: loop
 * @task: task
 */
void mh_loop_post(struct mh_loop *loop, struct mh_task *task);

/**
 * mh_loop_run() - run until mh_loop_stop()
 * @loop: loop
 * @tick: called after each batch of events; returns when to call it next
 * @data: first argument of @tick
 */
void mh_loop_run(struct mh_loop *loop, uint64_t (*tick)(void *data),
		 void *data);

/**
 * mh_loop_drain_tasks() - run the tasks that were posted to a loop that has ended
 * @loop: loop; its thread calls this
 */
void mh_loop_drain_tasks(struct mh_loop *loop);

/**
 * mh_loop_stop() - make mh_loop_run() return; on the loop's thread
 * @loop: loop
 */
void mh_loop_stop(struct mh_loop *loop);

#endif
