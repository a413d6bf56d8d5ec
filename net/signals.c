#include "net/signals.h"

#include <pthread.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

static void on_ready(void *data, uint32_t events)
{
	struct mh_signals *signals = data;
	struct signalfd_siginfo info;

	(void)events;
	if (read(signals->watch.fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (info.ssi_signo != SIGHUP)
		signals->terminate(signals->data);
	else if (signals->reload)
		signals->reload(signals->data);
}

static sigset_t control_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	return set;
}

void mh_signals_block(void)
{
	sigset_t set = control_signals();

	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

int mh_signals_watch(struct mh_signals *signals, struct mh_loop *loop,
		     void (*terminate)(void *data), void *data)
{
	sigset_t set = control_signals();

	signals->terminate = terminate;
	signals->data = data;
	signals->watch.fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	signals->watch.ready = on_ready;
	signals->watch.data = signals;
	if (signals->watch.fd < 0)
		return -1;
	return mh_loop_add(loop, &signals->watch, EPOLLIN);
}

void mh_signals_release(struct mh_signals *signals)
{
	if (signals->watch.fd >= 0)
		close(signals->watch.fd);
	signals->watch.fd = -1;
}
