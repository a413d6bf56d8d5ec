/*
 * Unit tests of the replay of the configuration log: versions, snapshots, gaps,
 * state adopted from another process.
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

static enum mh_config_result apply(struct mh_config_state *cs, uint64_t offset,
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
	return mh_config_state_apply(cs, offset, 1000 + offset, rec,
				     strlen(rec));
}

/* Adopts another process's state with an ordinary document. */
static bool adopt(struct mh_config_state *cs, uint64_t next_offset,
		  uint64_t version)
{
	char doc[512];

	snprintf(doc, sizeof(doc), doc_text, "");
	return mh_config_state_adopt(cs, next_offset, version, doc,
				     strlen(doc));
}

static void test_change_needs_the_current_base_version(void **state)
{
	struct mh_config_state *cs = mh_config_state_new();

	(void)state;
	assert_int_equal(apply(cs, 0, "manifest", 0, ""), MH_CONFIG_ACCEPTED);
	assert_int_equal(apply(cs, 1, "manifest", 0, ""),
			 MH_CONFIG_REFUSED_BASE);
	assert_int_equal(apply(cs, 2, "manifest", 1, ",\"x\":1"),
			 MH_CONFIG_REFUSED_INVALID);
	assert_int_equal(mh_config_state_version(cs), 1);
	assert_int_equal(
		apply(cs, 3, "delta", 1,
		      "{\"pool\":[{\"name\":\"p\",\"max_waiting\":5}]}"),
		MH_CONFIG_ACCEPTED);
	assert_int_equal(mh_config_state_version(cs), 4);
	assert_int_equal(mh_config_state_manifest(cs)->pools[0].max_waiting, 5);
	/* A second delivery and a malformed record have no effect. */
	assert_int_equal(apply(cs, 3, "manifest", 4, ""), MH_CONFIG_SKIPPED);
	assert_int_equal(mh_config_state_apply(cs, 4, 1, "{{", 2),
			 MH_CONFIG_SKIPPED);
	assert_int_equal(mh_config_state_next_offset(cs), 5);
	assert_string_equal(
		mh_config_result_name(mh_config_state_audit(cs, 2)->result),
		"refused_base");
	mh_config_state_free(cs);
}

static void test_state_starts_from_a_snapshot(void **state)
{
	struct mh_config_state *cs = mh_config_state_new(),
			       *reader = mh_config_state_new();
	char *snap;

	(void)state;
	apply(cs, 0, "manifest", 0, "");
	snap = mh_config_state_snapshot(cs, 1);
	apply(cs, 1, "delta", 1,
	      "{\"pool\":[{\"name\":\"p\",\"max_waiting\":9}]}");
	assert_int_equal(mh_config_state_apply(cs, 2, 9, snap, strlen(snap)),
			 MH_CONFIG_SKIPPED);
	/* A log that starts at 1: the snapshot is applied, then record 1. */
	mh_config_state_set_log_start(reader, 1);
	apply(reader, 1, "delta", 1,
	      "{\"pool\":[{\"name\":\"p\",\"max_waiting\":9}]}");
	assert_null(mh_config_state_manifest(reader));
	assert_int_equal(
		mh_config_state_apply(reader, 2, 9, snap, strlen(snap)),
		MH_CONFIG_SNAPSHOT);
	assert_int_equal(mh_config_state_version(reader),
			 mh_config_state_version(cs));
	assert_int_equal(mh_config_state_manifest(reader)->pools[0].max_waiting,
			 9);
	mh_config_state_free(reader);
	/* A log that starts at 2 lacks record 1: the snapshot is skipped. */
	reader = mh_config_state_new();
	mh_config_state_set_log_start(reader, 2);
	assert_int_equal(
		mh_config_state_apply(reader, 2, 9, snap, strlen(snap)),
		MH_CONFIG_SKIPPED);
	assert_null(mh_config_state_manifest(reader));
	free(snap);
	mh_config_state_free(cs);
	mh_config_state_free(reader);
}

static void test_state_stays_over_a_log_gap(void **state)
{
	struct mh_config_state *cs = mh_config_state_new();

	(void)state;
	apply(cs, 0, "manifest", 0, "");
	/* Records 1 to 8 expired unread: base versions can't be checked. */
	mh_config_state_set_log_start(cs, 9);
	apply(cs, 9, "manifest", 1, "");
	assert_int_equal(mh_config_state_version(cs), 1);
	mh_config_state_free(cs);
}

static void test_state_is_adopted_forward_only(void **state)
{
	struct mh_config_state *cs = mh_config_state_new();

	(void)state;
	apply(cs, 0, "manifest", 0, "");
	apply(cs, 1, "manifest", 1, "");
	assert_false(adopt(cs, 1, 1));
	assert_int_equal(mh_config_state_version(cs), 2);
	assert_true(adopt(cs, 9, 8));
	assert_int_equal(mh_config_state_version(cs), 8);
	assert_int_equal(mh_config_state_next_offset(cs), 9);
	assert_false(mh_config_state_adopt(cs, 20, 15, "{}", 2));
	assert_int_equal(mh_config_state_version(cs), 8);
	mh_config_state_free(cs);
}

static const struct mh_audit_entry *find_audit(const struct mh_config_state *cs,
					       uint64_t offset)
{
	const struct mh_audit_entry *a;
	size_t i;

	for (i = 0; (a = mh_config_state_audit(cs, i)); i++) {
		if (a->offset == offset)
			return a;
	}
	return NULL;
}

/*
 * A publisher finds its record in the audit trail even if a later state was
 * adopted over a link before the record was read.
 */
static void test_records_of_an_adopted_state_are_audited(void **state)
{
	struct mh_config_state *cs = mh_config_state_new();

	(void)state;
	apply(cs, 0, "manifest", 0, "");
	/* Another process applied 1 to 4 and accepted versions 2 and 4. */
	assert_true(adopt(cs, 5, 4));
	assert_int_equal(apply(cs, 1, "manifest", 1, ""), MH_CONFIG_ACCEPTED);
	assert_int_equal(apply(cs, 2, "manifest", 1, ""),
			 MH_CONFIG_REFUSED_BASE);
	assert_int_equal(
		apply(cs, 3, "delta", 2,
		      "{\"pool\":[{\"name\":\"p\",\"max_waiting\":5}]}"),
		MH_CONFIG_ACCEPTED);
	assert_int_equal(apply(cs, 4, "manifest", 4, ",\"x\":1"),
			 MH_CONFIG_REFUSED_INVALID);
	/* The state in force is unchanged, and each record is listed once. */
	assert_int_equal(mh_config_state_version(cs), 4);
	assert_int_equal(mh_config_state_next_offset(cs), 5);
	assert_int_equal(find_audit(cs, 1)->result, MH_CONFIG_ACCEPTED);
	assert_string_equal(find_audit(cs, 1)->nonce, "n1");
	assert_int_equal(find_audit(cs, 2)->result, MH_CONFIG_REFUSED_BASE);
	assert_int_equal(find_audit(cs, 3)->version, 4);
	assert_int_equal(apply(cs, 3, "manifest", 2, ""), MH_CONFIG_SKIPPED);
	assert_int_equal(apply(cs, 5, "manifest", 4, ""), MH_CONFIG_ACCEPTED);
	assert_int_equal(mh_config_state_version(cs), 6);
	mh_config_state_free(cs);
}

/* The adopted state is ahead by a refused record only: same version. */
static void test_refusal_before_an_adopted_offset_is_audited(void **state)
{
	struct mh_config_state *cs = mh_config_state_new();

	(void)state;
	apply(cs, 0, "manifest", 0, "");
	assert_false(adopt(cs, 2, 1));
	assert_int_equal(mh_config_state_next_offset(cs), 2);
	assert_int_equal(apply(cs, 1, "manifest", 0, ""),
			 MH_CONFIG_REFUSED_BASE);
	assert_string_equal(find_audit(cs, 1)->nonce, "n1");
	assert_int_equal(mh_config_state_version(cs), 1);
	mh_config_state_free(cs);
}

/*
 * Without the records before it, a record can't be judged: it is not audited.
 */
static void test_nothing_is_audited_after_a_log_gap(void **state)
{
	struct mh_config_state *cs = mh_config_state_new();

	(void)state;
	apply(cs, 0, "manifest", 0, "");
	assert_true(adopt(cs, 9, 4));
	mh_config_state_set_log_start(cs, 6);
	assert_int_equal(apply(cs, 6, "manifest", 1, ""), MH_CONFIG_SKIPPED);
	assert_null(find_audit(cs, 6));
	assert_int_equal(apply(cs, 9, "manifest", 4, ""), MH_CONFIG_ACCEPTED);
	mh_config_state_free(cs);
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
