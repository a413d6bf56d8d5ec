/*
 * Command line of the daemons, and exit codes of all programs.
 */
#ifndef MH_CMDLINE_H
#define MH_CMDLINE_H

#include <stdbool.h>

#define MH_VERSION "0.1.0"

enum mh_exit {
	MH_EXIT_OK = 0,
	MH_EXIT_FAILED = 1,  /* the operation failed */
	MH_EXIT_USAGE = 2,   /* invalid command line */
	MH_EXIT_CONFIG = 3,  /* invalid settings file or manifest */
	MH_EXIT_REFUSED = 4, /* another change came first */
	MH_EXIT_UNKNOWN = 5, /* the outcome is unknown */
};

/**
 * struct mh_cmdline - options of a daemon
 * @config: path of the settings file
 * @check: check the settings and exit
 */
struct mh_cmdline {
	const char *config;
	bool check;
};

/**
 * mh_cmdline_parse() - parse a daemon's command line
 * @argc: number of arguments
 * @argv: arguments
 * @about: one-line description of the program for the help text
 * @config: default settings file, or NULL if --config is required
 * @out: options; strings belong to @argv and @config
 * @exit_code: exit code if the program should exit now
 *
 * Return: whether the program should continue.
 */
bool mh_cmdline_parse(int argc, char **argv, const char *about,
		      const char *config, struct mh_cmdline *out,
		      int *exit_code);

#endif
