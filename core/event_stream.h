/*
 * Finds the boundaries of events in a stream of server-sent events, in time
 * linear in its bytes and without keeping them. Lines end with LF, CR LF or CR;
 * an event ends with an empty line; comments belong to no event.
 */
#ifndef MH_EVENT_STREAM_H
#define MH_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MH_EVENT_ID_BYTES 64

/**
 * struct mh_event_stream - position in a stream; zeroed at its begin
 * @events: events that have ended
 * @last_id: id of the last event that has ended and had one, "" if none did
 * @id_too_long: the id of an event that has ended did not fit into @last_id
 *
 * All other members are private.
 */
struct mh_event_stream {
	uint32_t events;
	char last_id[MH_EVENT_ID_BYTES];
	bool id_too_long;
	bool started; /* past the byte order mark, if there is one */
	uint8_t bom_bytes;
	bool after_cr; /* an LF would belong to the same line end */
	bool in_event; /* a line of the event has ended */
	size_t line_bytes;
	char line[MH_EVENT_ID_BYTES + 8]; /* begin of the line */
	char id[MH_EVENT_ID_BYTES];	  /* of the event that is being read */
	bool has_id;
	bool id_is_long;
};

/**
 * mh_event_stream_read() - read the next bytes
 * @es: stream
 * @bytes: bytes
 * @len: length of @bytes
 *
 * Return: how many of @bytes lie before the last point at which no event was
 * open, 0 if there is no such point.
 */
size_t mh_event_stream_read(struct mh_event_stream *es, const uint8_t *bytes,
			    size_t len);

/**
 * mh_event_stream_is_between_events() - whether no event or line is open
 * @es: stream
 */
bool mh_event_stream_is_between_events(const struct mh_event_stream *es);

#endif
