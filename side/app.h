/*
 * The side program: wires the core to the entries' links, the backend server
 * and the host list.
 */
#ifndef MH_SIDE_APP_H
#define MH_SIDE_APP_H

#include "config/settings.h"

struct mh_side_app;

/**
 * mh_side_app_new() - build all parts in order
 * @settings: settings, taken over
 *
 * Return: the program, or NULL after logging why not.
 */
struct mh_side_app *mh_side_app_new(struct mh_side_settings *settings);

/**
 * mh_side_app_run() - run until a signal ends it
 * @app: program
 */
void mh_side_app_run(struct mh_side_app *app);

/**
 * mh_side_app_free() - tear all parts down in reverse
 * @app: program or NULL
 */
void mh_side_app_free(struct mh_side_app *app);

#endif
