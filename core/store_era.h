/*
 * Era of the platform's store. It rises when the store comes back from an older
 * copy: offsets are given out again, and records that were acknowledged may be
 * gone. The clients of one process share what they know of it.
 */
#ifndef MH_STORE_ERA_H
#define MH_STORE_ERA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Processes write what the copy may lack again within this time, not all at the
 * same moment. */
#define MH_ERA_REWRITE_SPREAD_MS 500

enum mh_era_change {
	MH_ERA_SAME,
	MH_ERA_FIRST, /* the first one that was named */
	MH_ERA_RISEN,
	MH_ERA_FELL,	  /* ignored */
	MH_ERA_MALFORMED, /* ignored */
	MH_ERA_CHANGES
};

/**
 * struct mh_era_watch - one that depends on what it read or wrote in an era
 * @risen: called when the era rises; must not start a call to the store
 * @data: argument of @risen
 */
struct mh_era_watch {
	void (*risen)(void *data);
	void *data;
	struct mh_era_watch *prev, *next;
};

/**
 * struct mh_store_era - era that a process knows
 * @current: highest one that was named, 0 if none was
 * @report: called with each change but MH_ERA_SAME before the watches are, or
 *          NULL; @text is what the answer said
 * @data: first argument of @report
 *
 * All other members are private.
 */
struct mh_store_era {
	uint64_t current;
	void (*report)(void *data, enum mh_era_change change, const char *text,
		       size_t len);
	void *data;
	bool was_unnamed;
	struct mh_era_watch *watches;
};

/**
 * mh_store_era_watch() - be told of a rise
 * @era: era
 * @watch: watch, in place until mh_store_era_unwatch()
 */
void mh_store_era_watch(struct mh_store_era *era, struct mh_era_watch *watch);

/**
 * mh_store_era_unwatch() - remove a watch
 * @era: era
 * @watch: watch that was added
 */
void mh_store_era_unwatch(struct mh_store_era *era, struct mh_era_watch *watch);

/**
 * mh_store_era_observe() - take the era that an answer of the store names
 * @era: era
 * @text: value of the header field, NULL if there is none
 * @len: length of @text
 *
 * A store that names its first era after answers without one counts as risen.
 */
enum mh_era_change mh_store_era_observe(struct mh_store_era *era,
					const char *text, size_t len);

/**
 * mh_store_era_learn() - take the era that another process has been told
 * @era: era
 * @value: era, 0 if that process knows none
 */
void mh_store_era_learn(struct mh_store_era *era, uint64_t value);

/**
 * mh_era_change_name() - name of a change for the log
 * @change: change
 */
const char *mh_era_change_name(enum mh_era_change change);

#endif
