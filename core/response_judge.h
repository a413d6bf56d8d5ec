/*
 * Decides whether a response is whole: by its framing, and of an event stream by
 * its last event as well. Every end of a response is judged here.
 */
#ifndef MH_RESPONSE_JUDGE_H
#define MH_RESPONSE_JUDGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/event_stream.h"

/* What marks the end of a response's body. */
enum mh_framing {
	MH_FRAMING_NONE,    /* no response, or one without a body */
	MH_FRAMING_LENGTH,  /* Content-Length */
	MH_FRAMING_CHUNKED, /* the last chunk */
	MH_FRAMING_CLOSE,   /* the end of the connection */
};

/* How a response ended. */
enum mh_response_end {
	MH_RESPONSE_WHOLE,
	/* Ended with its connection, in order; nothing shows that it is cut,
	 * and nothing that it is whole. */
	MH_RESPONSE_UNPROVEN,
	MH_RESPONSE_CUT, /* the connection broke before its framing ended */
	MH_RESPONSE_CUT_EVENT, /* the stream ended inside an event */
	MH_RESPONSE_NO_EVENT, /* the stream ended with its connection at once */
};

/**
 * struct mh_response_judge - what is known of a response so far
 * @framing: what marks its end
 * @is_event_stream: the body is a stream of server-sent events
 * @may_be_empty: a stream without any event is plausible
 * @bytes: length of the body so far
 * @events: position in the stream
 */
struct mh_response_judge {
	enum mh_framing framing;
	bool is_event_stream;
	bool may_be_empty;
	uint64_t bytes;
	struct mh_event_stream events;
};

/**
 * mh_response_judge_begin() - the head of a response has been read
 * @j: judge
 * @framing: what marks the end of the body
 * @is_event_stream: the body is a stream of server-sent events
 * @may_be_empty: a stream without any event is plausible, as when a client
 *                resumes after the last one
 */
void mh_response_judge_begin(struct mh_response_judge *j,
			     enum mh_framing framing, bool is_event_stream,
			     bool may_be_empty);

/**
 * mh_response_judge_read() - read the next bytes of the body
 * @j: judge
 * @bytes: bytes
 * @len: length of @bytes
 *
 * Return: of an event stream, how many of @bytes lie before the last point at
 * which no event was open; else @len.
 */
size_t mh_response_judge_read(struct mh_response_judge *j, const uint8_t *bytes,
			      size_t len);

/**
 * mh_response_judge_end() - judge the end of the response
 * @j: judge
 * @framing_ended: the framing marked the end; false if the connection broke
 */
enum mh_response_end mh_response_judge_end(const struct mh_response_judge *j,
					   bool framing_ended);

/**
 * mh_response_is_cut() - whether a response is known not to be whole
 * @end: how it ended
 */
bool mh_response_is_cut(enum mh_response_end end);

/**
 * mh_framing_name() - name for logs
 * @framing: framing
 */
const char *mh_framing_name(enum mh_framing framing);

/**
 * mh_response_end_name() - name for logs
 * @end: how a response ended
 */
const char *mh_response_end_name(enum mh_response_end end);

#endif
