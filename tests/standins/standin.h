/*
 * Shared by the stand-ins: a small HTTP server with one thread per connection,
 * and command-line options of the form --name=value.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/http_server.h"

struct standin_request {
	struct MHD_Connection *conn;
	const char *method;
	const char *url;
	const char *body;
	size_t body_len;
};

/**
 * standin_serve() - serve until SIGTERM or SIGINT
 * @address: "ip:port"
 * @handle: handles one request
 *
 * Return: exit code.
 */
int standin_serve(const char *address,
		  enum MHD_Result (*handle)(const struct standin_request *));

/**
 * standin_option() - value of --name=value on the command line
 * @argc: number of arguments
 * @argv: arguments
 * @name: name of the option
 * @def: value when absent
 */
const char *standin_option(int argc, char **argv, const char *name,
			   const char *def);

/**
 * standin_number() - like standin_option(), as a number
 * @argc: number of arguments
 * @argv: arguments
 * @name: name of the option
 * @def: value when absent
 */
long standin_number(int argc, char **argv, const char *name, long def);

/**
 * standin_sleep_ms() - sleep
 * @ms: milliseconds
 */
void standin_sleep_ms(double ms);

/**
 * standin_unix_ms() - Unix time in milliseconds
 */
uint64_t standin_unix_ms(void);

#endif
