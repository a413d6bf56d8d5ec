/*
 * Process of mangohead-proxy: connects the request handling to sockets, links,
 * the store, signals and settings.
 */
#ifndef MH_PROXY_APP_H
#define MH_PROXY_APP_H

#include "config/settings.h"

struct mh_proxy_app;

/**
 * mh_proxy_app_new() - start a proxy
 * @path: settings file, reloaded when it changes
 * @settings: contents of the file; ownership is taken, also on failure
 *
 * Return: NULL after a log line if it cannot listen on an address.
 */
struct mh_proxy_app *mh_proxy_app_new(const char *path,
				      struct mh_proxy_settings *settings);

/**
 * mh_proxy_app_run() - serve until a signal stops the process
 * @app: proxy
 */
void mh_proxy_app_run(struct mh_proxy_app *app);

/**
 * mh_proxy_app_free() - close all connections and free the proxy
 * @app: proxy or NULL
 */
void mh_proxy_app_free(struct mh_proxy_app *app);

#endif
