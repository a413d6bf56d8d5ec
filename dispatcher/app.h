/*
 * Process of mangohead-dispatcher: connects the dispatcher to the entries'
 * links, the store, signals and settings.
 */
#ifndef MH_DISPATCHER_APP_H
#define MH_DISPATCHER_APP_H

#include "config/settings.h"

struct mh_dispatcher_app;

/**
 * mh_dispatcher_app_new() - start a dispatcher
 * @path: settings file, reloaded when it changes
 * @settings: contents of the file; ownership is taken, also on failure
 *
 * Return: NULL after a log line if it cannot listen on an address.
 */
struct mh_dispatcher_app *
mh_dispatcher_app_new(const char *path,
		      struct mh_dispatcher_settings *settings);

/**
 * mh_dispatcher_app_run() - serve until a signal stops the process
 * @app: dispatcher
 */
void mh_dispatcher_app_run(struct mh_dispatcher_app *app);

/**
 * mh_dispatcher_app_free() - close all links and free the dispatcher
 * @app: dispatcher or NULL
 */
void mh_dispatcher_app_free(struct mh_dispatcher_app *app);

#endif
