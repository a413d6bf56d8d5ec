/*
 * The fold of the configuration stream: versions, snapshots, holes, state taken
 * over from another process.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/config_state.h"

static const char *const doc_text =
	"{\"schema\":1,\"tier\":[{\"name\":\"t\"}],\"pool\":[{\"name\":\"p\","
	"\"kind\":\"engine\",\"models\":[\"m\"]}]%s}";

static enum mh_config_result fold(struct mh_config_state *f, uint64_t offset,
				  const char *kind, uint64_t base,
				  const char *extra)
{
	char doc[512], rec[1024];

	snprintf(doc, sizeof(doc), doc_text, extra);
	snprintf(rec, sizeof(rec),
		 "{\"kind\":\"%s\",\"base\":%llu,\"who\":\"w\","
		 "\"nonce\":\"n%llu\",\"doc\":%s}",
		 kind, (unsigned long long)base, (unsigned long long)offset,
		 strcmp(kind, "delta") ? doc : extra);
	return mh_config_state_apply(f, offset, 1000 + offset, rec,
				     strlen(rec));
}

/* Another process tells its state, with an ordinary document. */
static bool adopt(struct mh_config_state *f, uint64_t next_offset,
		  uint64_t version)
{
	char doc[512];

	snprintf(doc, sizeof(doc), doc_text, "");
	return mh_config_state_adopt(f, next_offset, version, doc, strlen(doc));
}

static void test_change_needs_the_current_base_version(void **state)
{
	struct mh_config_state *f = mh_config_state_new();

	(void)state;
	assert_int_equal(fold(f, 0, "manifest", 0, ""), MH_CONFIG_ACCEPTED);
	assert_int_equal(fold(f, 1, "manifest", 0, ""), MH_CONFIG_REFUSED_BASE);
	assert_int_equal(fold(f, 2, "manifest", 1, ",\"x\":1"),
			 MH_CONFIG_REFUSED_INVALID);
	assert_int_equal(mh_config_state_version(f), 1);
	assert_int_equal(
		fold(f, 3, "delta", 1,
		     "{\"pool\":[{\"name\":\"p\",\"max_waiting\":5}]}"),
		MH_CONFIG_ACCEPTED);
	assert_int_equal(mh_config_state_version(f), 4);
	assert_int_equal(mh_config_state_manifest(f)->pools[0].max_waiting, 5);
	/* Delivered twice, and garbage: no effect. */
	assert_int_equal(fold(f, 3, "manifest", 4, ""), MH_CONFIG_SKIPPED);
	assert_int_equal(mh_config_state_apply(f, 4, 1, "{{", 2),
			 MH_CONFIG_SKIPPED);
	assert_int_equal(mh_config_state_next_offset(f), 5);
	assert_string_equal(
		mh_config_result_name(mh_config_state_audit(f, 2)->result),
		"refused_base");
	mh_config_state_free(f);
}

static void test_state_starts_from_a_snapshot(void **state)
{
	struct mh_config_state *f = mh_config_state_new(),
			       *g = mh_config_state_new();
	char *snap;

	(void)state;
	fold(f, 0, "manifest", 0, "");
	snap = mh_config_state_snapshot(f); /* as of offset 1 */
	fold(f, 1, "delta", 1,
	     "{\"pool\":[{\"name\":\"p\",\"max_waiting\":9}]}");
	assert_int_equal(mh_config_state_apply(f, 2, 9, snap, strlen(snap)),
			 MH_CONFIG_SKIPPED);
	/* A reader whose log begins at 1 needs the record before the snapshot. */
	mh_config_state_set_log_start(g, 1);
	fold(g, 1, "delta", 1,
	     "{\"pool\":[{\"name\":\"p\",\"max_waiting\":9}]}");
	assert_null(mh_config_state_manifest(g));
	assert_int_equal(mh_config_state_apply(g, 2, 9, snap, strlen(snap)),
			 MH_CONFIG_SNAPSHOT);
	assert_int_equal(mh_config_state_version(g),
			 mh_config_state_version(f));
	assert_int_equal(mh_config_state_manifest(g)->pools[0].max_waiting, 9);
	mh_config_state_free(g);
	/* One whose log begins later can't trust it. */
	g = mh_config_state_new();
	mh_config_state_set_log_start(g, 2);
	assert_int_equal(mh_config_state_apply(g, 2, 9, snap, strlen(snap)),
			 MH_CONFIG_SKIPPED);
	assert_null(mh_config_state_manifest(g));
	free(snap);
	mh_config_state_free(f);
	mh_config_state_free(g);
}

static void test_state_stays_over_a_log_gap(void **state)
{
	struct mh_config_state *f = mh_config_state_new();

	(void)state;
	fold(f, 0, "manifest", 0, "");
	/* Records 1 to 8 have expired unread: nothing may be judged by base. */
	mh_config_state_set_log_start(f, 9);
	fold(f, 9, "manifest", 1, "");
	assert_int_equal(mh_config_state_version(f), 1);
	mh_config_state_free(f);
}

static void test_state_is_adopted_forward_only(void **state)
{
	struct mh_config_state *f = mh_config_state_new();

	(void)state;
	fold(f, 0, "manifest", 0, "");
	fold(f, 1, "manifest", 1, "");
	assert_false(adopt(f, 1, 1));
	assert_int_equal(mh_config_state_version(f), 2);
	assert_true(adopt(f, 9, 8));
	assert_int_equal(mh_config_state_version(f), 8);
	assert_int_equal(mh_config_state_next_offset(f), 9);
	assert_false(mh_config_state_adopt(f, 20, 15, "{}", 2));
	assert_int_equal(mh_config_state_version(f), 8);
	mh_config_state_free(f);
}

static const struct mh_audit_entry *find_audit(const struct mh_config_state *f,
					       uint64_t offset)
{
	const struct mh_audit_entry *a;
	size_t i;

	for (i = 0; (a = mh_config_state_audit(f, i)); i++) {
		if (a->offset == offset)
			return a;
	}
	return NULL;
}

/* A publisher looks for its record: also when a link told the state first. */
static void test_records_of_an_adopted_state_are_audited(void **state)
{
	struct mh_config_state *f = mh_config_state_new();

	(void)state;
	fold(f, 0, "manifest", 0, "");
	/* Another process has read 1 to 4; version 2 and then 4 were accepted. */
	assert_true(adopt(f, 5, 4));
	assert_int_equal(fold(f, 1, "manifest", 1, ""), MH_CONFIG_ACCEPTED);
	assert_int_equal(fold(f, 2, "manifest", 1, ""), MH_CONFIG_REFUSED_BASE);
	assert_int_equal(
		fold(f, 3, "delta", 2,
		     "{\"pool\":[{\"name\":\"p\",\"max_waiting\":5}]}"),
		MH_CONFIG_ACCEPTED);
	assert_int_equal(fold(f, 4, "manifest", 4, ",\"x\":1"),
			 MH_CONFIG_REFUSED_INVALID);
	/* They changed nothing that is in force, and are there once. */
	assert_int_equal(mh_config_state_version(f), 4);
	assert_int_equal(mh_config_state_next_offset(f), 5);
	assert_int_equal(find_audit(f, 1)->result, MH_CONFIG_ACCEPTED);
	assert_string_equal(find_audit(f, 1)->nonce, "n1");
	assert_int_equal(find_audit(f, 2)->result, MH_CONFIG_REFUSED_BASE);
	assert_int_equal(find_audit(f, 3)->version, 4);
	assert_int_equal(fold(f, 3, "manifest", 2, ""), MH_CONFIG_SKIPPED);
	assert_int_equal(fold(f, 5, "manifest", 4, ""), MH_CONFIG_ACCEPTED);
	assert_int_equal(mh_config_state_version(f), 6);
	mh_config_state_free(f);
}

/* Only a refused record came between: the version that is told is known. */
static void test_refusal_before_an_adopted_offset_is_audited(void **state)
{
	struct mh_config_state *f = mh_config_state_new();

	(void)state;
	fold(f, 0, "manifest", 0, "");
	assert_false(adopt(f, 2, 1));
	assert_int_equal(mh_config_state_next_offset(f), 2);
	assert_int_equal(fold(f, 1, "manifest", 0, ""), MH_CONFIG_REFUSED_BASE);
	assert_string_equal(find_audit(f, 1)->nonce, "n1");
	assert_int_equal(mh_config_state_version(f), 1);
	mh_config_state_free(f);
}

/* Past a hole nothing says what the records before it had made. */
static void test_nothing_is_audited_after_a_log_gap(void **state)
{
	struct mh_config_state *f = mh_config_state_new();

	(void)state;
	fold(f, 0, "manifest", 0, "");
	assert_true(adopt(f, 9, 4));
	mh_config_state_set_log_start(f, 6);
	assert_int_equal(fold(f, 6, "manifest", 1, ""), MH_CONFIG_SKIPPED);
	assert_null(find_audit(f, 6));
	assert_int_equal(fold(f, 9, "manifest", 4, ""), MH_CONFIG_ACCEPTED);
	mh_config_state_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_change_needs_the_current_base_version),
		cmocka_unit_test(test_state_starts_from_a_snapshot),
		cmocka_unit_test(test_state_stays_over_a_log_gap),
		cmocka_unit_test(test_state_is_adopted_forward_only),
		cmocka_unit_test(test_records_of_an_adopted_state_are_audited),
		cmocka_unit_test(
			test_refusal_before_an_adopted_offset_is_audited),
		cmocka_unit_test(test_nothing_is_audited_after_a_log_gap),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
