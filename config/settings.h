/*
 * Settings files of the programs: read, checked whole, and freed.
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
 * @key: the same as bytes
 * @max_frame_bytes: greatest frame
 * @max_queue_bytes: unsent bytes at which a peer is cut off
 */
struct mh_link_settings {
	char *key_hex;
	uint8_t key[MH_SETTINGS_KEY_BYTES];
	uint32_t max_frame_bytes;
	uint32_t max_queue_bytes;
};

/**
 * struct mh_entry_settings - settings of mangohead-entry
 * @host: name of this host, as on the host list
 * @zone: availability zone
 * @log_level: least severe level that is logged
 * @callers: address for callers
 * @admin: address for operators
 * @links: address for the links of other entries
 * @store: "ip:port" of the platform's store
 * @hosts_poll_ms: time between two reads of the host list
 * @http_threads: threads that serve callers
 * @max_body_bytes: greatest body of a call
 * @max_connections: connections of callers
 * @bootstrap_token_sha256: operator token until a manifest is held
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
 * @host: name of this host, as on the host list
 * @zone: availability zone
 * @pool: pool of the backend server
 * @models: models that it holds
 * @log_level: least severe level that is logged
 * @links: address for the links of entries
 * @metrics: address for metrics, may be absent
 * @store: "ip:port" of the platform's store, may be absent
 * @hosts_poll_ms: time between two reads of the host list
 * @backend_kind: "engine" or "service"
 * @backend_url: address of the backend server
 * @max_running: runs at the backend at a time
 * @timeout_s: silence after which a run has failed
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
 * @retry_ratio: repeats allowed for each first try of a service
 * @retry_extra: repeats allowed besides, in one window
 * @retry_window_s: length of the window
 * @quota_window_s: window over which accounts' quotas hold
 * @quota_excess: share by which an account may exceed its quota
 * @quota_slack: units by which it may exceed it besides
 * @grace_s: time from SIGTERM until the process is killed
 */
struct mh_bounds_settings {
	double retry_ratio;
	double retry_extra;
	double retry_window_s;
	double quota_window_s;
	double quota_excess;
	double quota_slack;
	double grace_s;
};

/**
 * struct mh_proxy_settings - settings of mangohead-proxy
 * @host: name of this host
 * @zone: availability zone
 * @callers: address for callers
 * @status: address for readiness and metrics
 * @metrics: a further address for metrics, may be absent
 * @log_format: "text" or "json"
 * @store: address of the platform's store
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
	struct mh_bounds_settings bounds;
	struct mh_link_settings link;
};

/**
 * struct mh_dispatcher_settings - settings of mangohead-dispatcher
 * @host: name of this host
 * @zone: availability zone
 * @links: address for the links of entries
 * @announce: address at which entries reach @links, absent if it is the same
 * @status: address for metrics
 * @log_format: "text" or "json"
 * @store: address of the platform's store
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
 * mh_entry_settings_read() - read and check a settings file
 * @path: file
 * @s: destination
 * @rep: errors are added here
 *
 * Return: whether the file is valid; @s has to be released either way.
 */
bool mh_entry_settings_read(const char *path, struct mh_entry_settings *s,
			    struct mh_config_report *rep);

/**
 * mh_entry_settings_release() - free what the settings own
 * @s: settings
 */
void mh_entry_settings_release(struct mh_entry_settings *s);

/**
 * mh_side_settings_read() - read and check a settings file
 * @path: file
 * @s: destination
 * @rep: errors are added here
 *
 * Return: whether the file is valid; @s has to be released either way.
 */
bool mh_side_settings_read(const char *path, struct mh_side_settings *s,
			   struct mh_config_report *rep);

/**
 * mh_side_settings_release() - free what the settings own
 * @s: settings
 */
void mh_side_settings_release(struct mh_side_settings *s);

/**
 * mh_proxy_settings_read() - read and check a settings file
 * @path: file
 * @s: destination
 * @rep: errors are added here
 *
 * Return: whether the file is valid; @s has to be released either way.
 */
bool mh_proxy_settings_read(const char *path, struct mh_proxy_settings *s,
			    struct mh_config_report *rep);

/**
 * mh_proxy_settings_release() - free what the settings own
 * @s: settings
 */
void mh_proxy_settings_release(struct mh_proxy_settings *s);

/**
 * mh_dispatcher_settings_read() - read and check a settings file
 * @path: file
 * @s: destination
 * @rep: errors are added here
 *
 * Return: whether the file is valid; @s has to be released either way.
 */
bool mh_dispatcher_settings_read(const char *path,
				 struct mh_dispatcher_settings *s,
				 struct mh_config_report *rep);

/**
 * mh_dispatcher_settings_release() - free what the settings own
 * @s: settings
 */
void mh_dispatcher_settings_release(struct mh_dispatcher_settings *s);

/**
 * mh_file_read() - read a whole file
 * @path: file, "-" for standard input
 * @len: set to its length
 *
 * Return: bytes with a final NUL for the caller to free; NULL with errno set.
 */
char *mh_file_read(const char *path, size_t *len);

/**
 * mh_file_stamp() - differs once a file was changed or replaced
 * @path: file
 *
 * Return: 0 if there is no such file.
 */
uint64_t mh_file_stamp(const char *path);

/**
 * mh_toml_strip_lines() - remove the line tables of mh_toml_parse()
 * @doc: document
 */
void mh_toml_strip_lines(json_t *doc);

#endif
