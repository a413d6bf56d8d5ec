/*
 * Delivers SIGTERM, SIGINT and optionally SIGHUP as events of a loop.
 */
#ifndef MH_SIGNALS_H
#define MH_SIGNALS_H

#include "net/loop.h"

/**
 * struct mh_signals - watch for the signals that control a daemon
 * @watch: the signalfd
 * @terminate: called for each SIGTERM and SIGINT
 * @reload: called for SIGHUP; NULL leaves its disposition unchanged
 * @data: first argument of the callbacks
 */
struct mh_signals {
	struct mh_watch watch;
	void (*terminate)(void *data);
	void (*reload)(void *data);
	void *data;
};

/**
 * mh_signals_watch() - block the signals and watch for them
 * @signals: watch, with @reload set or NULL
 * @loop: loop
 * @terminate: called for each SIGTERM and SIGINT
 * @data: first argument of @terminate
 *
 * Call it before starting any thread, so that all threads inherit the mask.
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
