/*
 * mangoctl: validates and publishes manifests, queries entries, and evaluates
 * saved logs and metrics.
 */
#include <getopt.h>
#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/cmdline.h"
#include "config/settings.h"
#include "config/toml.h"
#include "core/manifest.h"
#include "ctl/metrics_report.h"
#include "ctl/timeline.h"
#include "net/http_client.h"

#define TIMEOUT_S 15
#define PATH_BYTES 256
#define MAX_REPLY_BYTES (8u << 20)

struct opts {
	const char *server;
	const char *token;
	const char *base;
	const char *note;
	const char *plot_dir;
	bool delta;
	bool json;
};

struct command {
	const char *name;
	const char *args;
	const char *help;
	int n_args;
	bool takes_files; /* accepts additional file arguments */
	int (*run)(struct opts *opts, char **args);
};

static const struct option options[] = {
	{ "server", required_argument, NULL, 's' },
	{ "token", required_argument, NULL, 't' },
	{ "base", required_argument, NULL, 'b' },
	{ "note", required_argument, NULL, 'n' },
	{ "plot", required_argument, NULL, 'p' },
	{ "delta", no_argument, NULL, 'd' },
	{ "json", no_argument, NULL, 'j' },
	{ "help", no_argument, NULL, 'h' },
	{ "version", no_argument, NULL, 'v' },
	{ NULL, 0, NULL, 0 },
};

/* Return: neon's error code. */
static int read_reply(ne_request *req, char *text, size_t *len)
{
	ssize_t n;

	*len = 0;
	while ((n = ne_read_response_block(req, text + *len,
					   MAX_REPLY_BYTES - *len)) > 0)
		*len += (size_t)n;
	return n < 0 ? NE_ERROR : ne_end_request(req);
}

/* Return: exit code of a request without a whole response. */
static int exit_code_without_reply(const char *method, int error)
{
	bool was_sent = error != NE_CONNECT && error != NE_LOOKUP;

	return was_sent && !strcmp(method, "POST") ? MH_EXIT_UNKNOWN :
						     MH_EXIT_FAILED;
}

/* Sends a request to the administration API. Prints connection errors.
 * Return: exit code; MH_EXIT_OK if there is a whole response of any status. */
static int admin_request(const struct opts *opts, const char *method,
			 const char *path, const char *body, int *status,
			 json_t **reply)
{
	char *base, *full = NULL, *text = NULL;
	ne_session *sess = mh_http_session(opts->server, TIMEOUT_S, &base);
	ne_request *req = NULL;
	int rc = MH_EXIT_FAILED, error;
	size_t len;

	*reply = NULL;
	if (!sess || !(text = malloc(MAX_REPLY_BYTES)))
		goto out;
	if (asprintf(&full, "%s/admin/v1/%s", base, path) < 0)
		goto out;
	req = ne_request_create(sess, method, full);
	ne_set_request_flag(req, NE_REQFLAG_IDEMPOTENT, 0);
	if (opts->token)
		ne_print_request_header(req, "Authorization", "Bearer %s",
					opts->token);
	if (body)
		ne_set_request_body_buffer(req, body, strlen(body));
	error = ne_begin_request(req);
	if (error == NE_OK)
		error = read_reply(req, text, &len);
	if (error != NE_OK) {
		fprintf(stderr, "mangoctl: %s: %s\n", opts->server,
			ne_get_error(sess));
		rc = exit_code_without_reply(method, error);
		goto out;
	}
	*status = ne_get_status(req)->code;
	*reply = json_loadb(text, len, JSON_DECODE_ANY, NULL);
	if (!*reply && *status == 200) {
		fprintf(stderr, "mangoctl: %s: the response is no JSON\n",
			opts->server);
		rc = exit_code_without_reply(method, NE_ERROR);
		goto out;
	}
	rc = MH_EXIT_OK;
out:
	if (req)
		ne_request_destroy(req);
	if (sess)
		ne_session_destroy(sess);
	free(base);
	free(full);
	free(text);
	return rc;
}

static const char *str(const json_t *doc, const char *key)
{
	const char *s = json_string_value(json_object_get(doc, key));

	return s ? s : "";
}

static long long num(const json_t *doc, const char *key)
{
	return json_integer_value(json_object_get(doc, key));
}

static void print_json(const json_t *doc)
{
	json_dumpf(doc, stdout, JSON_INDENT(2) | JSON_ENCODE_ANY);
	putchar('\n');
}

/* Prints an error response. Return: exit code. */
static int print_problem(const struct opts *opts, int status,
			 const json_t *reply)
{
	if (opts->json)
		print_json(reply);
	else
		fprintf(stderr, "mangoctl: %d %s %s\n", status,
			str(reply, "title"), str(reply, "detail"));
	if (status == 400)
		return MH_EXIT_CONFIG;
	return status == 500 ? MH_EXIT_UNKNOWN : MH_EXIT_FAILED;
}

static json_t *load_manifest(const char *path, char **text)
{
	char err[512];
	size_t len;
	json_t *doc;

	*text = mh_file_read(path, &len);
	if (!*text) {
		perror(path);
		return NULL;
	}
	doc = mh_toml_parse(*text, len, path, err, sizeof(err));
	if (!doc)
		fprintf(stderr, "%s: %s\n", path, err);
	return doc;
}

static int run_check(struct opts *opts, char **args)
{
	struct mh_config_report rep = { .file = args[0] };
	struct mh_manifest *m;
	char *text;
	json_t *doc = load_manifest(args[0], &text);
	int rc = MH_EXIT_CONFIG;

	if (!doc)
		goto out;
	m = mh_manifest_read(doc, &rep);
	if (m)
		rc = MH_EXIT_OK;
	if (opts->json)
		printf("{\"valid\": %s, \"errors\": %u}\n",
		       m ? "true" : "false", rep.count);
	else if (m)
		printf("%s: valid\n", args[0]);
	if (rep.text)
		fputs(rep.text, stderr);
	mh_config_report_clear(&rep);
	mh_manifest_free(m);
out:
	json_decref(doc);
	free(text);
	return rc;
}

static int print_change(const struct opts *opts, int status,
			const json_t *reply)
{
	bool accepted = json_is_true(json_object_get(reply, "accepted"));

	if (status != 200 && status != 409)
		return print_problem(opts, status, reply);
	if (opts->json)
		print_json(reply);
	else if (accepted)
		printf("accepted as version %lld\n", num(reply, "version"));
	else
		fprintf(stderr, "mangoctl: refused: %s\n", str(reply, "note"));
	return accepted ? MH_EXIT_OK : MH_EXIT_REFUSED;
}

static long long current_version(struct opts *opts)
{
	json_t *reply;
	long long version = -1;
	int status;

	if (!admin_request(opts, "GET", "status", NULL, &status, &reply) &&
	    status == 200)
		version = num(reply, "version");
	json_decref(reply);
	return version;
}

static int run_publish(struct opts *opts, char **args)
{
	json_t *doc, *body = NULL, *reply = NULL;
	int status, rc = MH_EXIT_CONFIG;
	char *text, *body_text = NULL;
	long long base;

	doc = load_manifest(args[0], &text);
	if (!doc)
		goto out;
	base = opts->base ? atoll(opts->base) : current_version(opts);
	if (base < 0) {
		rc = MH_EXIT_FAILED;
		fprintf(stderr, "mangoctl: can't fetch the version in force\n");
		goto out;
	}
	body = json_pack("{s:s, s:I, s:s, s:s}", "kind",
			 opts->delta ? "delta" : "manifest", "base",
			 (json_int_t)base, "toml", text, "note",
			 opts->note ? opts->note : "");
	body_text = json_dumps(body, JSON_COMPACT);
	rc = admin_request(opts, "POST", "publish", body_text, &status, &reply);
	if (!rc)
		rc = print_change(opts, status, reply);
out:
	json_decref(doc);
	json_decref(body);
	json_decref(reply);
	free(text);
	free(body_text);
	return rc;
}

static int change_host(struct opts *opts, const char *host, const char *verb)
{
	char path[PATH_BYTES];
	json_t *reply;
	int status, rc;

	snprintf(path, sizeof(path), "hosts/%s/%s", host, verb);
	rc = admin_request(opts, "POST", path, "", &status, &reply);
	if (!rc)
		rc = print_change(opts, status, reply);
	json_decref(reply);
	return rc;
}

static int run_drain(struct opts *opts, char **args)
{
	return change_host(opts, args[0], "drain");
}

static int run_undrain(struct opts *opts, char **args)
{
	return change_host(opts, args[0], "undrain");
}

static void print_status(const json_t *doc)
{
	const json_t *row, *waiting;
	const char *tier;
	size_t i;

	printf("entry %s in %s: version %lld, %lld open%s\n", str(doc, "host"),
	       str(doc, "zone"), num(doc, "version"), num(doc, "open"),
	       json_is_true(json_object_get(doc, "draining")) ? ", draining" :
								"");
	json_array_foreach(json_object_get(doc, "servers"), i, row)
		printf("  server %-20s pool %-16s %-4s %s %lld running\n",
		       str(row, "host"), str(row, "pool"),
		       json_is_true(json_object_get(row, "up")) ? "up" : "down",
		       json_is_true(json_object_get(row, "leaving")) ?
			       "leaving" :
			       "",
		       num(row, "running"));
	json_array_foreach(json_object_get(doc, "pools"), i, row) {
		printf("  pool %-16s waiting", str(row, "name"));
		json_object_foreach(json_object_get(row, "waiting"), tier,
				    waiting)
			printf(" %s=%lld", tier,
			       (long long)json_integer_value(waiting));
		putchar('\n');
	}
}

static void print_audit(const json_t *rows)
{
	const json_t *row;
	size_t i;

	json_array_foreach(rows, i, row)
		printf("%lld %-15s base=%lld version=%lld who=%s kind=%s %s\n",
		       num(row, "offset"), str(row, "result"), num(row, "base"),
		       num(row, "version"), str(row, "who"), str(row, "kind"),
		       str(row, "note"));
}

static void print_explain(const json_t *rows)
{
	const json_t *row;
	size_t i;

	json_array_foreach(rows, i, row)
		printf("%s (%s): %s, %s, account %s, pool %s %s, tier %lld, "
		       "server %s, first byte %lld us, end %lld us\n",
		       str(row, "request_id"), str(row, "id"),
		       str(row, "result"), str(row, "outcome"),
		       str(row, "account"), str(row, "pool"), str(row, "model"),
		       num(row, "tier"),
		       *str(row, "server") ? str(row, "server") : "none",
		       num(row, "first_us"), num(row, "total_us"));
}

static int get_and_print(struct opts *opts, const char *path,
			 void (*print)(const json_t *doc))
{
	json_t *reply;
	int status, rc;

	rc = admin_request(opts, "GET", path, NULL, &status, &reply);
	if (!rc && status != 200)
		rc = print_problem(opts, status, reply);
	else if (!rc && opts->json)
		print_json(reply);
	else if (!rc)
		print(reply);
	json_decref(reply);
	return rc;
}

static int run_status(struct opts *opts, char **args)
{
	(void)args;
	return get_and_print(opts, "status", print_status);
}

static int run_audit(struct opts *opts, char **args)
{
	(void)args;
	return get_and_print(opts, "audit", print_audit);
}

static int run_manifest(struct opts *opts, char **args)
{
	(void)args;
	return get_and_print(opts, "manifest", print_json);
}

static int count_args(char **args)
{
	int n = 0;

	while (args[n])
		n++;
	return n;
}

static int run_explain(struct opts *opts, char **args)
{
	int n_logs = count_args(args + 1);
	char path[PATH_BYTES];

	if (n_logs)
		return mh_timeline_print(args[0], args + 1, n_logs, stdout);
	snprintf(path, sizeof(path), "requests/%s", args[0]);
	return get_and_print(opts, path, print_explain);
}

static int run_report(struct opts *opts, char **args)
{
	return mh_metrics_report(args, count_args(args), opts->plot_dir,
				 stdout);
}

static int run_rollouts(struct opts *opts, char **args)
{
	(void)opts;
	return mh_timeline_print_rollouts(args, count_args(args), stdout);
}

static const struct command commands[] = {
	{ "check", "FILE", "check a manifest", 1, false, run_check },
	{ "publish", "FILE", "publish a manifest, or a delta with --delta", 1,
	  false, run_publish },
	{ "manifest", "", "show the manifest in force", 0, false,
	  run_manifest },
	{ "status", "", "show hosts, pools and waiting requests", 0, false,
	  run_status },
	{ "audit", "", "show configuration changes, newest first", 0, false,
	  run_audit },
	{ "drain", "HOST", "send no new work to a host", 1, false, run_drain },
	{ "undrain", "HOST", "send work to a host again", 1, false,
	  run_undrain },
	{ "explain", "ID [LOG...]",
	  "show what happened to a request: from an entry,\n"
	  "                        or from saved logs of proxies and "
	  "dispatchers",
	  1, true, run_explain },
	{ "rollouts", "LOG...",
	  "show orders to roll out a version: phases and verdicts\n"
	  "                        from saved logs of dispatchers",
	  1, true, run_rollouts },
	{ "report", "FILE...", "summarize saved metrics of processes", 1, true,
	  run_report },
};

#define N_COMMANDS (sizeof(commands) / sizeof(commands[0]))

static void print_help(void)
{
	size_t i;

	printf("Usage: mangoctl [OPTION]... COMMAND [ARG]\n\n");
	for (i = 0; i < N_COMMANDS; i++)
		printf("  %-9s %-11s %s\n", commands[i].name, commands[i].args,
		       commands[i].help);
	printf("\n"
	       "  -s, --server URL   administration API of an entry\n"
	       "                     (default: $MANGOHEAD_SERVER)\n"
	       "  -t, --token TOKEN  operator token\n"
	       "                     (default: $MANGOHEAD_TOKEN)\n"
	       "  -b, --base N       version that the change is based on\n"
	       "  -n, --note TEXT    note for the audit trail\n"
	       "  -p, --plot DIR     report: also write data and a gnuplot script\n"
	       "  -d, --delta        publish a delta\n"
	       "  -j, --json         print JSON\n"
	       "  -h, --help         show this text\n"
	       "  -v, --version      show the version\n\n"
	       "Exit codes: 0 success, 1 failure, 2 usage, 3 invalid manifest,\n"
	       "4 refused because another change came first, 5 outcome unknown\n");
}

static int run_command(struct opts *opts, int argc, char **argv)
{
	size_t i;

	for (i = 0; argc && i < N_COMMANDS; i++) {
		if (strcmp(commands[i].name, argv[0]))
			continue;
		if (argc - 1 < commands[i].n_args ||
		    (argc - 1 > commands[i].n_args && !commands[i].takes_files))
			break;
		return commands[i].run(opts, argv + 1);
	}
	fprintf(stderr, "mangoctl: unknown command; see mangoctl --help\n");
	return MH_EXIT_USAGE;
}

int main(int argc, char **argv)
{
	struct opts opts = { .server = getenv("MANGOHEAD_SERVER"),
			     .token = getenv("MANGOHEAD_TOKEN") };
	int c;

	if (!opts.server)
		opts.server = "http://127.0.0.1:8081";
	while ((c = getopt_long(argc, argv, "+s:t:b:n:p:djhv", options,
				NULL)) != -1) {
		switch (c) {
		case 's':
			opts.server = optarg;
			break;
		case 't':
			opts.token = optarg;
			break;
		case 'b':
			opts.base = optarg;
			break;
		case 'n':
			opts.note = optarg;
			break;
		case 'p':
			opts.plot_dir = optarg;
			break;
		case 'd':
			opts.delta = true;
			break;
		case 'j':
			opts.json = true;
			break;
		case 'h':
			print_help();
			return MH_EXIT_OK;
		case 'v':
			printf("mangoctl %s\n", MH_VERSION);
			return MH_EXIT_OK;
		default:
			return MH_EXIT_USAGE;
		}
	}
	if (ne_sock_init())
		return MH_EXIT_FAILED;
	return run_command(&opts, argc - optind, argv + optind);
}
