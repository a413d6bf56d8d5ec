#include "core/counters.h"

static const char *const names[] = {
#define X(id, name, help) #name,
	MH_COUNTER_LIST(X)
#undef X
};

static const char *const helps[] = {
#define X(id, name, help) help,
	MH_COUNTER_LIST(X)
#undef X
};

const char *mh_counter_name(enum mh_counter id)
{
	return names[id];
}

const char *mh_counter_help(enum mh_counter id)
{
	return helps[id];
}
