/*
 * TCP sockets for the event loop: non-blocking, close-on-exec, TCP_NODELAY.
 */
#ifndef MH_SOCKET_H
#define MH_SOCKET_H

/**
 * mh_socket_connect() - start to connect
 * @address: "ip:port"
 *
 * Return: socket that becomes writable once connected, or -1 with errno set.
 */
int mh_socket_connect(const char *address);

/**
 * mh_socket_listen() - create a listening socket
 * @address: "ip:port"
 * @backlog: maximum number of connections waiting to be accepted
 *
 * Return: socket, or -1 with errno set.
 */
int mh_socket_listen(const char *address, int backlog);

/**
 * mh_socket_accept() - accept the next connection
 * @fd: listening socket
 *
 * Return: socket, or -1 with errno set.
 */
int mh_socket_accept(int fd);

/**
 * mh_socket_error() - get and clear the pending error of a socket
 * @fd: socket
 *
 * Return: 0, or an errno value.
 */
int mh_socket_error(int fd);

#endif
