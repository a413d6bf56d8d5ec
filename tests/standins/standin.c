#include "tests/standins/standin.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MAX_BODY_BYTES (64u << 20)

struct request_state {
	struct mh_http_body body;
};

static enum MHD_Result (*handler)(const struct standin_request *);

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **ctx)
{
	struct request_state *st = *ctx;
	struct standin_request req = { conn, method, url, "", 0 };

	(void)cls;
	(void)version;
	if (!st) {
		st = calloc(1, sizeof(*st));
		st->body.max = MAX_BODY_BYTES;
		*ctx = st;
		return MHD_YES;
	}
	if (*upload_size) {
		mh_http_body_add(&st->body, upload, *upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (st->body.p) {
		req.body = (const char *)st->body.p;
		req.body_len = st->body.len;
	}
	return handler(&req);
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
			 enum MHD_RequestTerminationCode code)
{
	struct request_state *st = *ctx;

	(void)cls;
	(void)conn;
	(void)code;
	if (st)
		free(st->body.p);
	free(st);
	*ctx = NULL;
}

int standin_serve(const char *address,
		  enum MHD_Result (*handle)(const struct standin_request *))
{
	struct MHD_Daemon *daemon;
	struct sockaddr_in sa;
	sigset_t set;
	int sig;

	handler = handle;
	if (!mh_http_sockaddr(address, &sa)) {
		fprintf(stderr, "bad address %s: must be ip:port\n", address);
		return 2;
	}
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigprocmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
		0, NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR, &sa,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1,
		MHD_OPTION_CONNECTION_LIMIT, 4000, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, NULL, MHD_OPTION_END);
	if (!daemon) {
		fprintf(stderr, "can't listen on %s\n", address);
		return 1;
	}
	sigwait(&set, &sig);
	/* Exits at once: requests in progress may never end. */
	_Exit(0);
}

const char *standin_option(int argc, char **argv, const char *name,
			   const char *def)
{
	size_t len = strlen(name);
	int i;

	for (i = 1; i < argc; i++) {
		if (!strncmp(argv[i], "--", 2) &&
		    !strncmp(argv[i] + 2, name, len) && argv[i][2 + len] == '=')
			return argv[i] + 3 + len;
	}
	return def;
}

long standin_number(int argc, char **argv, const char *name, long def)
{
	const char *text = standin_option(argc, argv, name, NULL);

	return text ? strtol(text, NULL, 10) : def;
}

void standin_sleep_ms(double ms)
{
	struct timespec ts = {
		.tv_sec = (time_t)(ms / 1000),
		.tv_nsec = (long)((ms - 1000.0 * (long)(ms / 1000)) * 1e6)
	};

	nanosleep(&ts, NULL);
}

uint64_t standin_unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}
