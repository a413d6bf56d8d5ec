#include "net/dispatcher_frames.h"

#include <string.h>
#include <utlist.h>

void mh_dispatchers_send(struct mh_links *links, uint32_t link,
			 const struct mh_candidates *known, const char *self)
{
	Mh__Dispatcher rows[MH_CANDIDATES_TOLD + 1];
	Mh__Dispatcher *list[MH_CANDIDATES_TOLD + 1];
	Mh__Dispatchers msg = MH__DISPATCHERS__INIT;
	Mh__Frame frame = MH__FRAME__INIT;
	const struct mh_candidate *c;
	uint32_t rank = 0;

	DL_FOREACH(known->first, c) {
		Mh__Dispatcher *row = &rows[msg.n_dispatcher];

		if (rank++ >= MH_CANDIDATES_TOLD && strcmp(c->name, self))
			continue;
		mh__dispatcher__init(row);
		row->host = c->name;
		row->address = c->address;
		list[msg.n_dispatcher++] = row;
	}
	msg.dispatcher = list;
	frame.body_case = MH__FRAME__BODY_DISPATCHERS;
	frame.dispatchers = &msg;
	mh_links_send(links, link, &frame);
}
