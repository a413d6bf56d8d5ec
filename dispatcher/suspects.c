#include "dispatcher/suspects.h"

#include "net/crash_log.h"
#include "net/process.h"
#include "net/suspect_frames.h"

void mh_dispatcher_suspects_share(const struct mh_dispatcher_suspects *suspects,
				  const struct mh_suspect *suspect,
				  uint32_t from_link)
{
	struct mh_linked_entry *entry, *tmp;

	mh_crash_log_suspect(
		suspects->log,
		mh_linked_entry_host(*suspects->linked_entries, from_link),
		suspect);
	HASH_ITER(hh, *suspects->linked_entries, entry, tmp) {
		if (entry->link != from_link)
			mh_suspect_send(suspects->links, entry->link, suspect,
					mh_now_ns());
	}
}

struct recipient {
	struct mh_links *links;
	uint32_t link;
};

static void send_suspect(void *data, const struct mh_suspect *suspect)
{
	const struct recipient *to = data;

	mh_suspect_send(to->links, to->link, suspect, mh_now_ns());
}

void mh_dispatcher_suspects_send_all(
	const struct mh_dispatcher_suspects *suspects, uint32_t link)
{
	struct recipient to = { suspects->links, link };

	mh_dispatch_each_suspect(suspects->dispatch, send_suspect, &to);
}

void mh_dispatcher_suspects_receive(
	const struct mh_dispatcher_suspects *suspects, uint32_t link,
	const Mh__CrashSuspect *msg)
{
	struct mh_suspect suspect;

	mh_suspect_read(msg, mh_now_ns(), &suspect);
	if (mh_dispatch_merge_suspect(suspects->dispatch, &suspect))
		mh_dispatcher_suspects_share(suspects, &suspect, link);
}
