/*
 * HTTP requests to a loopback port, one after the other on one connection.
 *
 * call PORT METHOD TARGET [FILE...]
 *
 * Sends one request for each file, with its bytes as the body, or one without a
 * body. Prints the bodies of the responses, which have a Content-Length. Exits
 * with 0 if all have a status of 2xx.
 */
#include <arpa/inet.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define BODY_BYTES 65536
#define HEAD_BYTES 16384
#define TIMEOUT_S 5

static int dial(const char *port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)atoi(port)) };
	struct timeval timeout = { .tv_sec = TIMEOUT_S };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa))) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool send_all(int fd, const char *bytes, size_t len)
{
	while (len) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		len -= (size_t)n;
	}
	return true;
}

static bool send_request(int fd, const char *method, const char *target,
			 const char *path)
{
	char head[1024], body[BODY_BYTES];
	FILE *in = path ? fopen(path, "r") : NULL;
	size_t len = 0;
	int n;

	if (path && !in)
		return false;
	if (in) {
		len = fread(body, 1, sizeof(body), in);
		fclose(in);
	}
	n = snprintf(head, sizeof(head),
		     "%s %s HTTP/1.1\r\nHost: localhost\r\n"
		     "Content-Length: %zu\r\n\r\n",
		     method, target, len);
	return send_all(fd, head, (size_t)n) && send_all(fd, body, len);
}

static bool read_response(int fd)
{
	char text[HEAD_BYTES], *end = NULL, *field;
	size_t len = 0, left;
	int status = 0;

	while (!end) {
		ssize_t n = recv(fd, text + len, sizeof(text) - 1 - len, 0);

		if (n <= 0)
			return false;
		len += (size_t)n;
		text[len] = '\0';
		end = strstr(text, "\r\n\r\n");
	}
	field = strcasestr(text, "\r\nContent-Length:");
	if (sscanf(text, "HTTP/1.1 %d", &status) != 1 || !field)
		return false;
	left = strtoul(strchr(field, ':') + 1, NULL, 10);
	len -= (size_t)(end + 4 - text);
	memmove(text, end + 4, len);
	while (left) {
		ssize_t n;

		if (len > left)
			len = left;
		fwrite(text, 1, len, stdout);
		left -= len;
		if (!left)
			break;
		n = recv(fd, text, sizeof(text), 0);
		if (n <= 0)
			return false;
		len = (size_t)n;
	}
	return status >= 200 && status < 300;
}

int main(int argc, char **argv)
{
	int fd, i = 4;

	if (argc < 4)
		return 2;
	fd = dial(argv[1]);
	if (fd < 0)
		return 1;
	do {
		if (!send_request(fd, argv[2], argv[3],
				  i < argc ? argv[i] : NULL) ||
		    !read_response(fd))
			return 1;
	} while (++i < argc);
	return 0;
}
