/* Prints as many free ports of the loopback address as its argument says. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

int main(int argc, char **argv)
{
	int n = argc > 1 ? atoi(argv[1]) : 1;

	/* All stay bound until the end, so that none is printed twice. */
	while (n-- > 0) {
		struct sockaddr_in sa = { .sin_family = AF_INET };
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		socklen_t len = sizeof(sa);

		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (fd < 0 || bind(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
		    getsockname(fd, (struct sockaddr *)&sa, &len)) {
			perror("free_ports");
			return 2;
		}
		printf("%d\n", ntohs(sa.sin_port));
	}
	return 0;
}
