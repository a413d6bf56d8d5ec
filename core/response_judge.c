#include "core/response_judge.h"

#include <string.h>

void mh_response_judge_begin(struct mh_response_judge *j,
			     enum mh_framing framing, bool is_event_stream,
			     bool may_be_empty)
{
	memset(j, 0, sizeof(*j));
	j->framing = framing;
	j->is_event_stream = is_event_stream;
	j->may_be_empty = may_be_empty;
}

size_t mh_response_judge_read(struct mh_response_judge *j, const uint8_t *bytes,
			      size_t len)
{
	j->bytes += len;
	if (!j->is_event_stream)
		return len;
	return mh_event_stream_read(&j->events, bytes, len);
}

enum mh_response_end mh_response_judge_end(const struct mh_response_judge *j,
					   bool framing_ended)
{
	if (!framing_ended)
		return MH_RESPONSE_CUT;
	if (j->framing == MH_FRAMING_NONE)
		return MH_RESPONSE_WHOLE;
	if (j->is_event_stream) {
		if (!mh_event_stream_is_between_events(&j->events))
			return MH_RESPONSE_CUT_EVENT;
		if (j->framing == MH_FRAMING_CLOSE && !j->events.events &&
		    !j->may_be_empty)
			return MH_RESPONSE_NO_EVENT;
	}
	return j->framing == MH_FRAMING_CLOSE ? MH_RESPONSE_UNPROVEN :
						MH_RESPONSE_WHOLE;
}

bool mh_response_is_cut(enum mh_response_end end)
{
	return end != MH_RESPONSE_WHOLE && end != MH_RESPONSE_UNPROVEN;
}

const char *mh_framing_name(enum mh_framing framing)
{
	static const char *const names[] = {
		[MH_FRAMING_NONE] = "none",
		[MH_FRAMING_LENGTH] = "length",
		[MH_FRAMING_CHUNKED] = "chunked",
		[MH_FRAMING_CLOSE] = "close",
	};

	return names[framing];
}

const char *mh_response_end_name(enum mh_response_end end)
{
	static const char *const names[] = {
		[MH_RESPONSE_WHOLE] = "whole",
		[MH_RESPONSE_UNPROVEN] = "unproven",
		[MH_RESPONSE_CUT] = "cut",
		[MH_RESPONSE_CUT_EVENT] = "cut_event",
		[MH_RESPONSE_NO_EVENT] = "no_event",
	};

	return names[end];
}
