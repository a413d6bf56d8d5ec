/*
 * HTTP requests to backend servers and to the administration API, with neon.
 * Each request uses a new connection, so that neon never sends it twice.
 */
#ifndef MH_HTTP_CLIENT_H
#define MH_HTTP_CLIENT_H

#include <neon/ne_session.h>

/**
 * mh_http_session() - create a session for one request
 * @url: "http://ip:port..."
 * @timeout_s: connect and read timeout
 * @path: set to the URL's path without a trailing slash, NULL if the URL is
 *	malformed; the caller frees it
 *
 * Return: session, or NULL if the URL is malformed.
 */
ne_session *mh_http_session(const char *url, int timeout_s, char **path);

/**
 * mh_http_request() - send a request and read the whole response
 * @url: base URL
 * @method: method
 * @path: path and query, appended to the base URL's path
 * @timeout_s: connect and read timeout
 *
 * Return: HTTP status, 0 if no complete response was received.
 */
int mh_http_request(const char *url, const char *method, const char *path,
		    int timeout_s);

#endif
