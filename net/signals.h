/*
 * Delivers SIGTERM, SIGINT and SIGHUP as events of a loop.
 */
#ifndef MH_SIGNALS_H
#define MH_SIGNALS_H

#include "net/loop.h"

/**
 * struct mh_signals - watch for the signals that control a daemon
 * @watch: the signalfd
 * @terminate: called for each SIGTERM and SIGINT
 * @reload: called for SIGHUP; NULL to ignore it
 * @data: first argument of the callbacks
 */
struct mh_signals {
	struct mh_watch watch;
	void (*terminate)(void *data);
	void (*reload)(void *data);
	void *data;
};

/**
 * mh_signals_block() - let the signals wait until they are watched for
 *
 * Call it first of all, since their default action ends the process, and before
 * starting any thread, so that all threads inherit the mask.
 */
void mh_signals_block(void);

/**
 * mh_signals_watch() - watch for the signals, which are blocked
 * @signals: watch, with @reload set or NULL
 * @loop: loop
 * @terminate: called for each SIGTERM and SIGINT
 * @data: first argument of @terminate
 *
 * Return: 0, or -1 with errno set.
 */
int mh_signals_watch(struct mh_signals *signals, struct mh_loop *loop,
		     void (*terminate)(void *data), void *data);

/**
 * mh_signals_release() - close the signalfd
 * @signals: watch
 */
void mh_signals_release(struct mh_signals *signals);

#endif
