#include "core/event_stream.h"

#include <string.h>

#define BOM "\xef\xbb\xbf"
#define BOM_BYTES 3

static void take_byte(struct mh_event_stream *es, uint8_t c)
{
	if (es->line_bytes < sizeof(es->line))
		es->line[es->line_bytes] = (char)c;
	es->line_bytes++;
}

/* Return: whether the byte belongs to a byte order mark. */
static bool take_bom(struct mh_event_stream *es, uint8_t c)
{
	uint8_t i;

	if (c == (uint8_t)BOM[es->bom_bytes]) {
		es->started = ++es->bom_bytes == BOM_BYTES;
		return true;
	}
	es->started = true;
	for (i = 0; i < es->bom_bytes; i++)
		take_byte(es, (uint8_t)BOM[i]);
	return false;
}

static void read_id(struct mh_event_stream *es)
{
	size_t from = 3, len;

	if (es->line_bytes < 2 || memcmp(es->line, "id", 2) ||
	    (es->line_bytes > 2 && es->line[2] != ':'))
		return;
	if (es->line_bytes > 3 && es->line[3] == ' ')
		from++;
	len = es->line_bytes > from ? es->line_bytes - from : 0;
	es->has_id = true;
	es->id_is_long = len >= sizeof(es->id);
	if (es->id_is_long)
		return;
	memcpy(es->id, es->line + from, len);
	es->id[len] = '\0';
}

static void end_event(struct mh_event_stream *es)
{
	es->events++;
	es->in_event = false;
	if (es->has_id && es->id_is_long)
		es->id_too_long = true;
	else if (es->has_id)
		memcpy(es->last_id, es->id, sizeof(es->last_id));
	es->has_id = false;
}

static void end_line(struct mh_event_stream *es)
{
	if (!es->line_bytes) {
		if (es->in_event)
			end_event(es);
	} else if (es->line[0] != ':') {
		read_id(es);
		es->in_event = true;
	}
	es->line_bytes = 0;
}

size_t mh_event_stream_read(struct mh_event_stream *es, const uint8_t *bytes,
			    size_t len)
{
	size_t i, whole = 0;

	for (i = 0; i < len; i++) {
		uint8_t c = bytes[i];
		bool ends_cr_lf = es->after_cr && c == '\n';

		es->after_cr = c == '\r';
		if (!es->started && take_bom(es, c))
			continue;
		if (c != '\n' && c != '\r') {
			take_byte(es, c);
			continue;
		}
		if (!ends_cr_lf)
			end_line(es);
		if (!es->in_event)
			whole = i + 1;
	}
	return whole;
}

bool mh_event_stream_is_between_events(const struct mh_event_stream *es)
{
	return !es->in_event && !es->line_bytes &&
	       (es->started || !es->bom_bytes);
}
