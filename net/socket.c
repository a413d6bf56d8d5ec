#include "net/socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/link.h"

bool mh_address_parse(const char *text, char *ip, uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	struct in_addr addr;
	char *end;
	long n;

	if (!colon || (size_t)(colon - text) >= MH_IP_BYTES)
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	n = strtol(colon + 1, &end, 10);
	if (*end || end == colon + 1 || n < 0 || n > UINT16_MAX)
		return false;
	*port = (uint16_t)n;
	return inet_pton(AF_INET, ip, &addr) == 1;
}

static bool to_sockaddr(const char *address, struct sockaddr_in *sa)
{
	char ip[MH_IP_BYTES];
	uint16_t port;

	memset(sa, 0, sizeof(*sa));
	if (!mh_address_parse(address, ip, &port)) {
		errno = EINVAL;
		return false;
	}
	sa->sin_family = AF_INET;
	sa->sin_port = htons(port);
	return inet_pton(AF_INET, ip, &sa->sin_addr) == 1;
}

static void no_delay(int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

int mh_socket_connect(const char *address)
{
	struct sockaddr_in sa;
	int fd, err;

	if (!to_sockaddr(address, &sa))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	no_delay(fd);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 &&
	    errno != EINPROGRESS) {
		err = errno;
		close(fd);
		errno = err;
		return -1;
	}
	return fd;
}

int mh_socket_listen(const char *address, int backlog)
{
	struct sockaddr_in sa;
	int one = 1, fd, err;

	if (!to_sockaddr(address, &sa))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(fd, backlog) < 0) {
		err = errno;
		close(fd);
		errno = err;
		return -1;
	}
	return fd;
}

int mh_socket_accept(int fd)
{
	int client = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (client >= 0)
		no_delay(client);
	return client;
}

int mh_socket_error(int fd)
{
	socklen_t len = sizeof(int);
	int err = 0;

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) < 0)
		return errno;
	return err;
}
