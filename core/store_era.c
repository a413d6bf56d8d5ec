#include "core/store_era.h"

#include <stdio.h>
#include <string.h>
#include <utlist.h>

/* Decimal digits of a 64-bit number that can't overflow. */
#define MAX_DIGITS 19

void mh_store_era_watch(struct mh_store_era *era, struct mh_era_watch *watch)
{
	DL_APPEND(era->watches, watch);
}

void mh_store_era_unwatch(struct mh_store_era *era, struct mh_era_watch *watch)
{
	DL_DELETE(era->watches, watch);
}

/* Return: 0 if the text is not a number. */
static uint64_t parse(const char *text, size_t len)
{
	uint64_t value = 0;
	size_t i;

	if (len > MAX_DIGITS)
		return 0;
	for (i = 0; i < len; i++) {
		if (text[i] < '0' || text[i] > '9')
			return 0;
		value = value * 10 + (uint64_t)(text[i] - '0');
	}
	return value;
}

static enum mh_era_change classify(const struct mh_store_era *era,
				   uint64_t value)
{
	if (!value)
		return MH_ERA_MALFORMED;
	if (value == era->current)
		return MH_ERA_SAME;
	if (value < era->current)
		return MH_ERA_FELL;
	return era->current || era->was_unnamed ? MH_ERA_RISEN : MH_ERA_FIRST;
}

static void change_to(struct mh_store_era *era, enum mh_era_change change,
		      uint64_t value)
{
	struct mh_era_watch *w, *tmp;

	if (change != MH_ERA_FIRST && change != MH_ERA_RISEN)
		return;
	era->current = value;
	if (change == MH_ERA_FIRST)
		return;
	DL_FOREACH_SAFE(era->watches, w, tmp)
		w->risen(w->data);
}

enum mh_era_change mh_store_era_observe(struct mh_store_era *era,
					const char *text, size_t len)
{
	enum mh_era_change change;
	uint64_t value;

	if (!text) {
		era->was_unnamed |= !era->current;
		return MH_ERA_SAME;
	}
	value = parse(text, len);
	change = classify(era, value);
	if (change != MH_ERA_SAME && era->report)
		era->report(era->data, change, text, len);
	change_to(era, change, value);
	return change;
}

void mh_store_era_learn(struct mh_store_era *era, uint64_t value)
{
	char text[MAX_DIGITS + 2];

	/* Another process may still know an older one. */
	if (value > era->current) {
		snprintf(text, sizeof(text), "%llu", (unsigned long long)value);
		mh_store_era_observe(era, text, strlen(text));
	}
}

const char *mh_era_change_name(enum mh_era_change change)
{
	static const char *const names[MH_ERA_CHANGES] = {
		"same", "first", "risen", "fell", "malformed",
	};

	return names[change];
}
