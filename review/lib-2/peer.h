/*
 * What the clients, servers and checks of the review's cases share: sockets on
 * loopback, heads of messages, control requests to the platform's stand-in, and
 * the record of a run.
 */
#ifndef REVIEW_PEER_H
#define REVIEW_PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HEAD_BYTES 16384

/* Results of a case, as run.sh returns them. */
enum { CASE_HELD = 0, CASE_BROKEN = 1, CASE_NOT_RUN = 2 };

/* How a peer's bytes ended. */
enum ending { ENDED_TIMEOUT, ENDED_CLOSED, ENDED_RESET };

const char *ending_name(enum ending ending);

uint64_t now_ms(void);
void sleep_ms(uint32_t ms);

/* Adds a line with the time to record.txt; from any thread. */
void record_open(const char *path);
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* Both end the process with CASE_NOT_RUN if they fail. @receive_bytes: size of
 * the receive buffer, 0 for the default. */
int listen_on(int port, int receive_bytes);
int connect_to(int port);
/* Return: -1 if nobody listens. */
int try_connect(int port);

bool send_bytes(int fd, const void *bytes, size_t len);
/* The close that follows is a reset. */
void reset_on_close(int fd);

/*
 * Reads up to the end of a head into @head, which ends with a NUL; @rest is set to
 * the number of bytes behind it that were read as well, which are kept in @head.
 * Return: length of the head, 0 if the connection ended or @timeout_ms is over.
 */
size_t read_head(int fd, char head[HEAD_BYTES], size_t *rest,
		 uint32_t timeout_ms);
/* Value of a header field, "" without it; valid until the next call of the
 * thread. */
const char *field(const char *head, const char *name);
int status_of(const char *head);

/* Reads until the other side closes, or nothing came for @quiet_ms.
 * Return: bytes read into @to, at most @size. */
size_t read_rest(int fd, char *to, size_t size, uint32_t quiet_ms,
		 enum ending *ending);

/* Control request to the platform's stand-in.
 * Return: whether it was answered with 200. */
bool control(int store_port, const char *target, const char *body);

#endif
