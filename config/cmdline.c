#include "config/cmdline.h"

#include <getopt.h>
#include <stdio.h>
#include <string.h>

static const struct option options[] = {
	{ "config", required_argument, NULL, 'c' },
	{ "check", no_argument, NULL, 'C' },
	{ "help", no_argument, NULL, 'h' },
	{ "version", no_argument, NULL, 'v' },
	{ NULL, 0, NULL, 0 },
};

static void print_help(const char *name, const char *about)
{
	printf("Usage: %s --config FILE [--check]\n"
	       "%s\n\n"
	       "  -c, --config FILE  settings file\n"
	       "  -C, --check        check the settings and exit\n"
	       "  -h, --help         show this text\n"
	       "  -v, --version      show the version\n",
	       name, about);
}

static const char *base_name(const char *path)
{
	const char *slash = strrchr(path, '/');

	return slash ? slash + 1 : path;
}

bool mh_cmdline_parse(int argc, char **argv, const char *about,
		      const char *config, struct mh_cmdline *out,
		      int *exit_code)
{
	const char *name = base_name(argv[0]);
	int c;

	memset(out, 0, sizeof(*out));
	out->config = config;
	*exit_code = MH_EXIT_OK;
	while ((c = getopt_long(argc, argv, "c:Chv", options, NULL)) != -1) {
		switch (c) {
		case 'c':
			out->config = optarg;
			break;
		case 'C':
			out->check = true;
			break;
		case 'h':
			print_help(name, about);
			return false;
		case 'v':
			printf("%s %s\n", name, MH_VERSION);
			return false;
		default:
			*exit_code = MH_EXIT_USAGE;
			return false;
		}
	}
	if (out->config && optind == argc)
		return true;
	fprintf(stderr, "%s: expected --config FILE and no other arguments\n",
		name);
	*exit_code = MH_EXIT_USAGE;
	return false;
}
