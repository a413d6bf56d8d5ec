/*
 * SIGTERM and SIGINT, and SIGHUP where it is wanted, as events of a loop.
 */
#ifndef MH_SIGNALS_H
#define MH_SIGNALS_H

#include "net/loop.h"

/**
 * struct mh_signals - watch for the signals that end a daemon
 * @watch: the signalfd
 * @terminate: called for each signal that ends the program
 * @reload: called for SIGHUP; NULL leaves that signal alone
 * @data: first argument of both
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
 * @terminate: called for each signal that ends the program
 * @data: first argument of @terminate
 *
 * To be called before any thread is started, so that all inherit the mask.
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
