/*
 * Property tests: random calls and faults in the simulation, which checks every
 * invariant as it runs. RC_PARAMS="seed=..." fixes the cases; a failure prints
 * how to reproduce it.
 */
#include <algorithm>
#include <cstdlib>
#include <rapidcheck.h>
#include <string>
#include <vector>

#include "tests/simulation.h"

/* RapidCheck finds these by argument-dependent lookup. */
void showValue(const sim_call &c, std::ostream &os)
{
	os << "{at " << c.at_ms << " entry " << c.entry << " acct " << c.account
	   << " tier " << c.tier << " in " << c.prompt_tokens << " out "
	   << c.output_tokens << " deadline " << c.deadline_ms << " key "
	   << c.key << (c.non_idempotent ? " once" : "")
	   << (c.crashes ? " crashes" : "") << " retries " << c.max_retries
	   << " cancel after " << c.cancel_after_ms << "}";
}

void showValue(const sim_fault &f, std::ostream &os)
{
	os << "{fault " << f.kind << " at " << f.at_ms << " for "
	   << f.duration_ms << " a " << f.a << " b " << f.b << "}";
}

namespace
{

struct ClusterOptions {
	uint64_t seed;
	int entries;
	int sides;
	int slots;
	int max_waiting;
	int drop_permille;
	int dup_permille;
	int late_permille;
};

void showValue(const ClusterOptions &s, std::ostream &os)
{
	os << "{seed " << s.seed << " entries " << s.entries << " sides "
	   << s.sides << " slots " << s.slots << " waiting " << s.max_waiting
	   << " drop " << s.drop_permille << " dup " << s.dup_permille
	   << " late " << s.late_permille << "}";
}

/* Calls with the same key are the same request, so all else is equal too. */
sim_call make_call(uint64_t at, int entry, int tier, int size, int out,
		   uint32_t key, int extra)
{
	sim_call c = {};

	c.at_ms = at;
	c.entry = entry;
	c.tier = tier;
	c.prompt_tokens = static_cast<uint32_t>(size);
	c.output_tokens = static_cast<uint32_t>(out);
	c.account = extra % 5;
	c.deadline_ms = 3000 + static_cast<uint32_t>(extra % 7) * 1000;
	c.max_retries = extra % 3;
	c.cancel_after_ms = extra % 11 == 0 ? 700 : 0;
	if (!key)
		return c;
	c.key = key;
	c.account = static_cast<int>(key % 5);
	c.non_idempotent = key % 2;
	c.prompt_tokens = 20 + key * 37 % 600;
	c.output_tokens = 2 + key * 11 % 80;
	c.max_retries = 3;
	return c;
}

rc::Gen<sim_call> gen_call(int keys)
{
	using namespace rc;

	return gen::map(
		gen::tuple(gen::inRange<uint64_t>(500, 9000),
			   gen::inRange(0, 4), gen::inRange(0, 3),
			   gen::inRange(4, 1500), gen::inRange(1, 120),
			   gen::inRange<uint32_t>(0, 1000),
			   gen::inRange(0, 1000)),
		[keys](const std::tuple<uint64_t, int, int, int, int, uint32_t,
					int> &t) {
			/* A third of the calls have a key. */
			uint32_t pick = std::get<5>(t);
			uint32_t n = static_cast<uint32_t>(keys);
			uint32_t key = n && pick % 3 == 0 ? 1 + pick % n : 0;

			return make_call(std::get<0>(t), std::get<1>(t),
					 std::get<2>(t), std::get<3>(t),
					 std::get<4>(t), key, std::get<6>(t));
		});
}

rc::Gen<sim_fault> gen_fault(const std::vector<sim_fault_kind> &kinds)
{
	using namespace rc;

	return gen::map(
		gen::tuple(gen::elementOf(kinds),
			   gen::inRange<uint64_t>(300, 9500),
			   gen::inRange<uint64_t>(20, 5000), gen::inRange(0, 6),
			   gen::inRange(0, 6)),
		[](const std::tuple<sim_fault_kind, uint64_t, uint64_t, int,
				    int> &t) {
			return sim_fault{ std::get<0>(t), std::get<1>(t),
					  std::get<2>(t), std::get<3>(t),
					  std::get<4>(t) };
		});
}

rc::Gen<ClusterOptions> gen_cluster_options(bool lossy)
{
	using namespace rc;

	return gen::map(
		gen::tuple(gen::arbitrary<uint64_t>(), gen::inRange(1, 4),
			   gen::inRange(1, 4), gen::inRange(1, 9),
			   gen::inRange(2, 40), gen::inRange(0, 120)),
		[lossy](const std::tuple<uint64_t, int, int, int, int, int>
				&t) {
			int p = lossy ? std::get<5>(t) : 0;

			return ClusterOptions{ std::get<0>(t),
					       std::get<1>(t),
					       std::get<2>(t),
					       std::get<3>(t),
					       std::get<4>(t),
					       p / 2,
					       p,
					       p };
		});
}

simulation *make_simulation(const ClusterOptions &s,
			    const std::vector<sim_call> &calls,
			    const std::vector<sim_fault> &faults)
{
	sim_options o = {};
	simulation *sim;

	o.seed = s.seed;
	o.n_entries = s.entries;
	o.n_sides = s.sides;
	o.slots = static_cast<uint32_t>(s.slots);
	o.max_waiting = static_cast<uint32_t>(s.max_waiting);
	o.step_us = 3000 + static_cast<uint32_t>(s.seed % 12) * 1000;
	o.batch_percent = 4;
	o.prefill_tokens = 64;
	o.delay_us = 1000;
	o.appenders = static_cast<uint32_t>(s.seed / 16 % 3);
	o.drop_permille = static_cast<uint32_t>(s.drop_permille);
	o.dup_permille = static_cast<uint32_t>(s.dup_permille);
	o.late_permille = static_cast<uint32_t>(s.late_permille);
	sim = sim_new(&o);
	for (const auto &call : calls)
		sim_add_call(sim, &call);
	for (const auto &fault : faults)
		sim_add_fault(sim, &fault);
	return sim;
}

/* Counts over the cases of a property, printed to show what they cover. */
struct Totals {
	uint64_t cases, starts, completed, refused, unknown, joined, requeued;
	uint64_t fenced, duplicates, gaps, claims_lost, shed, links_lost,
		forwarded;
};

Totals totals;

void add_totals(const simulation *sim)
{
	sim_tier_result r;

	totals.cases++;
	totals.starts += sim_starts(sim);
	for (int t = 0; t < 3; t++) {
		sim_tier(sim, t, &r);
		totals.completed += r.completed;
		totals.refused += r.refused;
		totals.unknown += r.unknown;
	}
	totals.joined += sim_counter(sim, MH_C_JOINED);
	totals.requeued += sim_counter(sim, MH_C_REQUEUED);
	totals.fenced += sim_counter(sim, MH_C_FENCED);
	totals.duplicates += sim_counter(sim, MH_C_DUPLICATE_FRAMES);
	totals.gaps += sim_counter(sim, MH_C_GAPS);
	totals.claims_lost += sim_counter(sim, MH_C_CLAIMS_LOST);
	totals.shed += sim_counter(sim, MH_C_GIVE_WAY_SHED);
	totals.links_lost += sim_counter(sim, MH_C_LINK_LOST);
	totals.forwarded += sim_counter(sim, MH_C_CLAIMS_FORWARDED);
}

void print_totals()
{
	printf("  %lu cases: %lu runs, %lu completed, %lu refused, %lu unknown, "
	       "%lu joined, %lu requeued, %lu fenced, %lu duplicate frames, "
	       "%lu gaps, %lu claims lost, %lu shed, %lu links lost, "
	       "%lu claim batches forwarded\n",
	       totals.cases, totals.starts, totals.completed, totals.refused,
	       totals.unknown, totals.joined, totals.requeued, totals.fenced,
	       totals.duplicates, totals.gaps, totals.claims_lost, totals.shed,
	       totals.links_lost, totals.forwarded);
	totals = Totals();
}

/* Adds to the totals, frees the simulation, fails on a violated invariant. */
void check_and_free(simulation *sim)
{
	std::string violation;

	if (sim_violation(sim))
		violation = sim_violation(sim);
	add_totals(sim);
	sim_free(sim);
	if (!violation.empty())
		RC_FAIL(violation);
}

/* Runs for 60 s, within which every call has to end. */
void run_and_check(const ClusterOptions &s, const std::vector<sim_call> &calls,
		   const std::vector<sim_fault> &faults)
{
	simulation *sim = make_simulation(s, calls, faults);
	bool settled;

	sim_run(sim, 60000);
	settled = sim_settled(sim);
	check_and_free(sim);
	RC_ASSERT(settled);
}

void expect_all_completed(simulation *sim, std::size_t n_calls)
{
	std::size_t completed = 0;

	sim_run(sim, 60000);
	for (std::size_t i = 0; i < n_calls; i++)
		completed += sim_completed(sim, i);
	check_and_free(sim);
	RC_ASSERT(completed == n_calls);
}

const std::vector<sim_fault_kind> all_faults = {
	FAULT_CUT_LINK,	   FAULT_CUT_ENTRY_LINK, FAULT_KILL_ENTRY,
	FAULT_KILL_SIDE,   FAULT_FREEZE_ENTRY,	 FAULT_FREEZE_SIDE,
	FAULT_KILL_ENGINE, FAULT_LOG_OUTAGE,	 FAULT_LOG_LOSES_ACKS,
	FAULT_HOST_LEAVES, FAULT_HOSTS_DOWN,	 FAULT_DRAIN_SIDE,
	FAULT_DRAIN_ENTRY, FAULT_STRAGGLER,	 FAULT_PUBLISH_RACE,
};

template <typename T>
std::vector<T> random_vector(const rc::Gen<T> &gen, int least, int most)
{
	auto n = *rc::gen::inRange(least, most + 1);

	return *rc::gen::container<std::vector<T>>(static_cast<std::size_t>(n),
						   gen);
}

/* Calls of all tiers at all entries within 1.2 s, to overload the cluster. */
std::vector<sim_call> burst(int n, int keys)
{
	auto calls = random_vector(gen_call(keys), n, n);

	for (auto &c : calls) {
		c.at_ms = 1000 + c.at_ms % 1200;
		c.max_retries = 0;
	}
	return calls;
}

/* Faults during the burst and while its tier floors are in force. */
std::vector<sim_fault> burst_faults()
{
	auto faults =
		random_vector(gen_fault({ FAULT_CUT_ENTRY_LINK,
					  FAULT_FREEZE_ENTRY, FAULT_KILL_ENTRY,
					  FAULT_FREEZE_SIDE, FAULT_KILL_SIDE }),
			      0, 4);

	for (auto &f : faults) {
		f.at_ms = 1000 + f.at_ms % 1000;
		f.duration_ms = 20 + f.duration_ms % 400;
	}
	return faults;
}

bool check(const std::string &name, void (*property)())
{
	bool ok = rc::check(name, property);

	print_totals();
	return ok;
}

} // namespace

int main(int argc, char **argv)
{
	std::string only = argc > 1 ? argv[1] : "";
	int passed = 0, failed = 0;
	auto test = [&](const std::string &name, void (*property)()) {
		if (!only.empty() && name.find(only) == std::string::npos)
			return;
		if (check(name, property))
			passed++;
		else
			failed++;
	};

	test("calm: every call is answered whole", [] {
		auto s = *gen_cluster_options(false);
		auto calls = random_vector(gen_call(0), 1, 60);

		for (auto &c : calls) {
			c.deadline_ms = 40000;
			c.cancel_after_ms = 0;
			c.max_retries = 0;
		}
		s.max_waiting = 1000;
		simulation *sim = make_simulation(s, calls, {});
		expect_all_completed(sim, calls.size());
	});
	test("faults: all promises, frames in order", [] {
		run_and_check(*gen_cluster_options(false),
			      random_vector(gen_call(30), 10, 120),
			      random_vector(gen_fault(all_faults), 1, 10));
	});
	test("faults: all promises, frames lost, late and twice", [] {
		run_and_check(*gen_cluster_options(true),
			      random_vector(gen_call(30), 10, 120),
			      random_vector(gen_fault(all_faults), 1, 8));
	});
	test("once: keys under kills, freezes and log trouble", [] {
		auto calls = random_vector(gen_call(3), 5, 40);

		for (auto &c : calls)
			/* Clients send the same key nearly at once. */
			c = make_call(1000 + c.at_ms % 4 * 800 +
					      c.prompt_tokens % 20,
				      c.entry, c.tier, 20, 3,
				      1 + 2 * (c.output_tokens % 3), 0);
		run_and_check(
			*gen_cluster_options(true), calls,
			random_vector(
				gen_fault({ FAULT_KILL_ENTRY,
					    FAULT_FREEZE_ENTRY, FAULT_KILL_SIDE,
					    FAULT_FREEZE_SIDE, FAULT_LOG_OUTAGE,
					    FAULT_LOG_LOSES_ACKS,
					    FAULT_CUT_LINK }),
				1, 8));
	});
	test("shedding: higher tiers outlast lower ones", [] {
		auto s = *gen_cluster_options(false);
		auto faults = random_vector(
			gen_fault({ FAULT_CUT_ENTRY_LINK, FAULT_FREEZE_ENTRY,
				    FAULT_FREEZE_SIDE, FAULT_KILL_SIDE }),
			0, 3);

		s.max_waiting = 2 + s.max_waiting % 10;
		for (const auto &f : burst_faults())
			faults.push_back(f);
		run_and_check(s, burst(*rc::gen::inRange(20, 160), 0), faults);
	});
	test("leaving: no new work after a few seconds", [] {
		run_and_check(*gen_cluster_options(false),
			      random_vector(gen_call(0), 20, 80),
			      random_vector(gen_fault({ FAULT_HOST_LEAVES,
							FAULT_FREEZE_SIDE,
							FAULT_FREEZE_ENTRY,
							FAULT_CUT_LINK,
							FAULT_DRAIN_SIDE }),
					    1, 6));
	});
	test("drain: a graceful shutdown cuts nothing", [] {
		auto s = *gen_cluster_options(false);
		auto calls = random_vector(gen_call(0), 10, 60);

		s.entries = 3;
		s.sides = 3;
		s.max_waiting = 1000;
		for (auto &c : calls) {
			c.deadline_ms = 40000;
			c.cancel_after_ms = 0;
		}
		simulation *sim = make_simulation(
			s, calls,
			random_vector(gen_fault({ FAULT_DRAIN_SIDE,
						  FAULT_DRAIN_ENTRY }),
				      1, 4));
		expect_all_completed(sim, calls.size());
	});
	test("config: agreed everywhere, never reverts", [] {
		run_and_check(*gen_cluster_options(true),
			      random_vector(gen_call(2), 1, 10),
			      random_vector(gen_fault({ FAULT_PUBLISH_RACE,
							FAULT_LOG_OUTAGE,
							FAULT_KILL_ENTRY,
							FAULT_FREEZE_ENTRY,
							FAULT_CUT_ENTRY_LINK }),
					    2, 10));
	});
	test("outage: a change reaches all in 8 s though the log is down", [] {
		auto s = *gen_cluster_options(false);
		simulation *sim;
		uint64_t newest = 0;
		bool agreed = true;

		s.entries = 3;
		sim = make_simulation(
			s, {},
			{ { FAULT_PUBLISH_RACE, 2000, 1, 0, 0 },
			  { FAULT_LOG_OUTAGE,
			    2000 + *rc::gen::inRange<uint64_t>(1, 25), 60000, 0,
			    0 },
			  { FAULT_KILL_ENTRY,
			    *rc::gen::inRange<uint64_t>(2500, 4000), 500,
			    *rc::gen::inRange(0, 3), 0 } });
		sim_run(sim, 10000);
		for (int i = 0; i < s.entries; i++)
			newest = std::max(newest, sim_config_version(sim, i));
		for (int i = 0; i < s.entries; i++)
			agreed &= sim_config_version(sim, i) == newest;
		check_and_free(sim);
		RC_ASSERT(agreed);
	});
	test("crashes: a bad request takes few engines", [] {
		auto s = *gen_cluster_options(false);
		auto calls = random_vector(gen_call(0), 5, 40);
		sim_call bad = make_call(1500, 0, 0, 20, 3, 0, 0);

		bad.crashes = true;
		bad.max_retries = 10;
		bad.cancel_after_ms = 0;
		calls.push_back(bad);
		simulation *sim = make_simulation(s, calls, {});
		sim_run(sim, 60000);
		int lost = sim_engines_lost(sim);
		check_and_free(sim);
		RC_ASSERT(lost <= 2);
	});
	printf("%d passed, %d failed\n", passed, failed);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
