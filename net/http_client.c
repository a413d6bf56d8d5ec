#include "net/http_client.h"

#include <neon/ne_request.h>
#include <neon/ne_uri.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/http1.h"
#include "net/loop.h"

#define READ_BYTES 16384
/* A longer body, or one that takes longer than the timeout in all, is not read
 * to its end. */
#define MAX_SKIPPED_BYTES 65536

ne_session *mh_http_session(const char *url, int timeout_s, char **path)
{
	ne_session *sess = NULL;
	ne_uri uri = { 0 };
	size_t len;

	*path = NULL;
	if (ne_uri_parse(url, &uri) || !uri.scheme || !uri.host)
		goto out;
	if (!uri.port)
		uri.port = ne_uri_defaultport(uri.scheme);
	*path = strdup(uri.path ? uri.path : "");
	len = strlen(*path);
	if (len && (*path)[len - 1] == '/')
		(*path)[len - 1] = '\0';
	sess = ne_session_create(uri.scheme, uri.host, uri.port);
	/* On a persistent connection neon may send a request twice. */
	ne_set_session_flag(sess, NE_SESSFLAG_PERSIST, 0);
	ne_set_connect_timeout(sess, timeout_s);
	ne_set_read_timeout(sess, timeout_s);
out:
	ne_uri_free(&uri);
	return sess;
}

static int skip_body(ne_request *req, uint64_t deadline_ns)
{
	char block[READ_BYTES];
	size_t len = 0;
	ssize_t n;

	do {
		n = ne_read_response_block(req, block, sizeof(block));
		if (n > 0)
			len += (size_t)n;
		if (len > MAX_SKIPPED_BYTES || mh_now_ns() > deadline_ns)
			return NE_TIMEOUT;
	} while (n > 0);
	return n < 0 ? NE_ERROR : ne_end_request(req);
}

int mh_http_request(const char *url, const char *method, const char *path,
		    int timeout_s)
{
	uint64_t deadline_ns =
		mh_now_ns() + (uint64_t)timeout_s * MH_MS_PER_S * MH_NS_PER_MS;
	char *base, *full = NULL;
	ne_session *sess = mh_http_session(url, timeout_s, &base);
	ne_request *req = NULL;
	int status = 0;

	if (!sess || asprintf(&full, "%s%s", base, path) < 0)
		goto out;
	req = ne_request_create(sess, method, full);
	ne_set_request_flag(req, NE_REQFLAG_IDEMPOTENT, 0);
	if (ne_begin_request(req) == NE_OK &&
	    skip_body(req, deadline_ns) == NE_OK)
		status = ne_get_status(req)->code;
	if (!mh_http_is_status(status))
		status = 0;
out:
	if (req)
		ne_request_destroy(req);
	if (sess)
		ne_session_destroy(sess);
	free(base);
	free(full);
	return status;
}
