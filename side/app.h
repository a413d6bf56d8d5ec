/*
 * Process of mangohead-side: connects the core to the entries' links, the
 * backend server and the host list.
 */
#ifndef MH_SIDE_APP_H
#define MH_SIDE_APP_H

#include "config/settings.h"

struct mh_side_app;

/**
 * mh_side_app_new() - start a side
 * @settings: settings; ownership is taken, also on failure
 *
 * Return: side, or NULL on failure; logged if listening on an address failed.
 */
struct mh_side_app *mh_side_app_new(struct mh_side_settings *settings);

/**
 * mh_side_app_run() - serve until signals stop the process
 * @app: side
 */
void mh_side_app_run(struct mh_side_app *app);

/**
 * mh_side_app_free() - stop the backend, close all links and free the side
 * @app: side or NULL
 */
void mh_side_app_free(struct mh_side_app *app);

#endif
