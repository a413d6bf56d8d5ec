/*
 * Settings of the programs: read from TOML files and validated.
 */
#ifndef MH_SETTINGS_H
#define MH_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "config/reader.h"

#define MH_SETTINGS_KEY_BYTES 32

/**
 * struct mh_link_settings - section [link]
 * @key_hex: shared key, 64 hex digits
 * @key: decoded @key_hex
 * @max_frame_bytes: maximum size of a frame
 * @max_queue_bytes: a link with more unsent bytes is closed
 */
struct mh_link_settings {
	char *key_hex;
	uint8_t key[MH_SETTINGS_KEY_BYTES];
	uint32_t max_frame_bytes;
	uint32_t max_queue_bytes;
};

/**
 * struct mh_entry_settings - settings of mangohead-entry
 * @host: name of this host in the platform's host list
 * @zone: availability zone
 * @log_level: lowest level to log
 * @callers: listening address for clients
 * @admin: listening address of the administration API
 * @links: listening address for links from other entries
 * @store: "ip:port" of the platform's store
 * @hosts_poll_ms: interval between reads of the host list
 * @http_threads: threads that serve clients
 * @max_body_bytes: maximum size of a request body
 * @max_connections: maximum number of client connections
 * @bootstrap_token_sha256: hash of the operator token that is valid while no
 *                          manifest in force names operators, may be NULL
 * @link: section [link]
 */
struct mh_entry_settings {
	char *host;
	char *zone;
	char *log_level;
	char *callers;
	char *admin;
	char *links;
	char *store;
	uint32_t hosts_poll_ms;
	uint32_t http_threads;
	uint32_t max_body_bytes;
	uint32_t max_connections;
	char *bootstrap_token_sha256;
	struct mh_link_settings link;
};

/**
 * struct mh_side_settings - settings of mangohead-side
 * @host: name of this host in the platform's host list
 * @zone: availability zone
 * @pool: pool of the backend server
 * @models: models that it serves
 * @log_level: lowest level to log
 * @links: listening address for links from entries
 * @metrics: listening address for metrics, may be NULL
 * @store: "ip:port" of the platform's store, may be NULL
 * @hosts_poll_ms: interval between reads of the host list
 * @backend_kind: "engine" or "service"
 * @backend_url: URL of the backend server
 * @max_running: maximum number of concurrent runs at the backend server
 * @timeout_s: connect and read timeout of a run
 * @link: section [link]
 */
struct mh_side_settings {
	char *host;
	char *zone;
	char *pool;
	struct mh_strings models;
	char *log_level;
	char *links;
	char *metrics;
	char *store;
	uint32_t hosts_poll_ms;
	char *backend_kind;
	char *backend_url;
	uint32_t max_running;
	uint32_t timeout_s;
	struct mh_link_settings link;
};

/**
 * struct mh_bounds_settings - section [bounds], limits over all entries
 * @retry_ratio: retries allowed for each first try of a service
 * @retry_extra: retries allowed in a window regardless of the first tries
 * @retry_window_s: length of the retry budget's window
 * @quota_window_s: length of the window over which quotas hold
 * @quota_excess: share of its quota by which an account may exceed it
 * @quota_slack: units by which an account may exceed its quota in addition
 * @grace_s: time from SIGTERM until the platform kills the process
 * @exposure_share: share of a service's requests that a version on trial may get
 * @exposure_slack: requests that it may get in addition
 * @rollback_ms: time from the 50th bad response of a version within which it gets
 *               its last request
 */
struct mh_bounds_settings {
	double retry_ratio;
	double retry_extra;
	double retry_window_s;
	double quota_window_s;
	double quota_excess;
	double quota_slack;
	double grace_s;
	double exposure_share;
	uint32_t exposure_slack;
	uint32_t rollback_ms;
};

/**
 * struct mh_proxy_settings - settings of mangohead-proxy
 * @host: name of this host
 * @zone: availability zone
 * @callers: listening address for clients
 * @status: listening address for readiness and metrics
 * @metrics: additional listening address for metrics, may be NULL
 * @log_format: "text" or "json"
 * @store: "ip:port" of the platform's store
 * @seeds: addresses at which to look for dispatchers before the store is read
 * @bounds: section [bounds]
 * @link: section [link]
 */
struct mh_proxy_settings {
	char *host;
	char *zone;
	char *log_format;
	char *callers;
	char *status;
	char *metrics;
	char *store;
	struct mh_strings seeds;
	struct mh_bounds_settings bounds;
	struct mh_link_settings link;
};

/**
 * struct mh_dispatcher_settings - settings of mangohead-dispatcher
 * @host: name of this host
 * @zone: availability zone
 * @links: listening address for links from entries
 * @announce: address at which entries reach @links, NULL if it is the same
 * @status: listening address for metrics, may be NULL
 * @log_format: "text" or "json"
 * @store: "ip:port" of the platform's store
 * @bounds: section [bounds]
 * @link: section [link]
 */
struct mh_dispatcher_settings {
	char *host;
	char *zone;
	char *log_format;
	char *links;
	char *announce;
	char *status;
	char *store;
	struct mh_bounds_settings bounds;
	struct mh_link_settings link;
};

/**
 * mh_entry_settings_read() - read and validate a settings file
 * @path: path of the file
 * @s: destination
 * @rep: report that errors are added to
 *
 * Return: whether the file is valid; @s must be released in any case.
 */
bool mh_entry_settings_read(const char *path, struct mh_entry_settings *s,
			    struct mh_config_report *rep);

/**
 * mh_entry_settings_release() - free the settings' members
 * @s: settings
 */
void mh_entry_settings_release(struct mh_entry_settings *s);

/**
 * mh_side_settings_read() - read and validate a settings file
 * @path: path of the file
 * @s: destination
 * @rep: report that errors are added to
 *
 * Return: whether the file is valid; @s must be released in any case.
 */
bool mh_side_settings_read(const char *path, struct mh_side_settings *s,
			   struct mh_config_report *rep);

/**
 * mh_side_settings_release() - free the settings' members
 * @s: settings
 */
void mh_side_settings_release(struct mh_side_settings *s);

/**
 * mh_proxy_settings_read() - read and validate a settings file
 * @path: path of the file
 * @s: destination
 * @rep: report that errors are added to
 *
 * Return: whether the file is valid; @s must be released in any case.
 */
bool mh_proxy_settings_read(const char *path, struct mh_proxy_settings *s,
			    struct mh_config_report *rep);

/**
 * mh_proxy_settings_release() - free the settings' members
 * @s: settings
 */
void mh_proxy_settings_release(struct mh_proxy_settings *s);

/**
 * mh_dispatcher_settings_read() - read and validate a settings file
 * @path: path of the file
 * @s: destination
 * @rep: report that errors are added to
 *
 * Return: whether the file is valid; @s must be released in any case.
 */
bool mh_dispatcher_settings_read(const char *path,
				 struct mh_dispatcher_settings *s,
				 struct mh_config_report *rep);

/**
 * mh_dispatcher_settings_release() - free the settings' members
 * @s: settings
 */
void mh_dispatcher_settings_release(struct mh_dispatcher_settings *s);

/**
 * mh_file_read() - read a whole file
 * @path: path of the file, "-" for standard input
 * @len: set to its length in bytes
 *
 * Return: contents, NUL-terminated, for the caller to free; NULL with errno set
 * on failure.
 */
char *mh_file_read(const char *path, size_t *len);

/**
 * mh_file_stamp() - value that changes when a file is modified or replaced
 * @path: path of the file
 *
 * Combines modification time, inode and size.
 *
 * Return: 0 if the file does not exist.
 */
uint64_t mh_file_stamp(const char *path);

/**
 * mh_toml_strip_lines() - remove the "@lines" objects of mh_toml_parse()
 * @doc: document, changed in place
 */
void mh_toml_strip_lines(json_t *doc);

#endif
