#include "tests/load_report.h"

#include <stdio.h>

struct sum {
	uint32_t offered, in_target, late, rejected, twice, again;
};

static void add_call(struct sum *sum, const struct call *call)
{
	sum->offered++;
	sum->in_target += call->served && call->in_target;
	sum->late += call->served && !call->in_target;
	sum->rejected += call->rejections;
	sum->again += call->served && call->in_target_again;
	sum->twice += call->rejections > 1;
}

static double goodput(const struct sum *sum, double late_value)
{
	return sum->offered ? (sum->in_target + late_value * sum->late) /
				      sum->offered :
			      1;
}

static void add_summary(struct load_summary *sum, const struct sum *all,
			double value, double worst, double others)
{
	sum->goodput += value;
	sum->in_target += (double)all->in_target / all->offered;
	sum->late += (double)all->late / all->offered;
	sum->rejected += (double)all->rejected / all->offered;
	sum->twice += (double)all->twice / all->offered;
	sum->again += (double)all->again / all->offered;
	sum->worst += worst;
	sum->others += others;
	sum->runs++;
}

void load_report_print_summary(const char *site, const char *policy,
			       const struct load_summary *s)
{
	if (s->runs)
		printf("%s %s: goodput %.4f, in target %.4f (%.4f), late %.4f, "
		       "rejected %.4f, twice %.4f, beside the hot account: "
		       "worst %.4f, mean %.4f\n",
		       site, policy, s->goodput / s->runs,
		       s->in_target / s->runs, s->again / s->runs,
		       s->late / s->runs, s->rejected / s->runs,
		       s->twice / s->runs, s->worst / s->runs,
		       s->others / s->runs);
}

static void print_sum(const char *name, const struct sum *sum)
{
	printf("  %-12s %6u offered, in target %.4f, late %.4f, rejected %.4f, "
	       "twice %.4f\n",
	       name, sum->offered, (double)sum->in_target / sum->offered,
	       (double)sum->late / sum->offered,
	       (double)sum->rejected / sum->offered,
	       (double)sum->twice / sum->offered);
}

void load_report_print(const struct load *load, const struct call *calls,
		       const char *policy, uint64_t seed, uint64_t digest,
		       struct load_summary *summary)
{
	struct sum kinds[LOAD_KINDS] = { 0 }, accounts[LOAD_ACCOUNTS] = { 0 };
	double late = load->site->late_value, worst = 1, others = 0;
	uint32_t i, worst_account = 0;
	struct sum all = { 0 };

	for (i = 0; i < load->n_arrivals; i++) {
		const struct load_arrival *a = &load->arrivals[i];

		add_call(&kinds[a->kind], &calls[i]);
		add_call(&all, &calls[i]);
		if (a->at_ms >= LOAD_HOT_FROM_MS &&
		    a->at_ms < LOAD_HOT_UNTIL_MS)
			add_call(&accounts[a->account], &calls[i]);
	}
	for (i = 0; i < LOAD_ACCOUNTS; i++) {
		double value = goodput(&accounts[i], late);

		if (i == LOAD_HOT_ACCOUNT)
			continue;
		others += value / (LOAD_ACCOUNTS - 1);
		if (value < worst) {
			worst = value;
			worst_account = i;
		}
	}
	printf("%s %s seed %llu: goodput %.4f, beside the hot account: worst "
	       "account %.4f (%u), mean %.4f, hot %.4f, digest %016llx\n",
	       load->site->name, policy, (unsigned long long)seed,
	       goodput(&all, late), worst, worst_account, others,
	       goodput(&accounts[LOAD_HOT_ACCOUNT], late),
	       (unsigned long long)digest);
	for (i = 0; i < LOAD_KINDS; i++)
		print_sum(load->site->kinds[i].name, &kinds[i]);
	print_sum("all", &all);
	add_summary(summary, &all, goodput(&all, late), worst, others);
}
