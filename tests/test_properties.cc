/*
 * Property tests: random calls and random faults, with every promise checked
 * at every step. RC_PARAMS="seed=..." fixes the cases; a failure prints how to
 * repeat it.
 */
#include <cstdlib>
#include <rapidcheck.h>
#include <string>
#include <vector>

#include "tests/world.h"

/* Found by argument-dependent look-up. */
void showValue(const world_call &c, std::ostream &os)
{
	os << "{at " << c.at_ms << " entry " << c.entry << " acct " << c.account
	   << " tier " << c.tier << " in " << c.prompt_tokens << " out "
	   << c.output_tokens << " deadline " << c.deadline_ms << " key "
	   << c.key << (c.non_idempotent ? " once" : "")
	   << (c.crashes ? " crashes" : "") << " resends " << c.resends
	   << " patience " << c.patience_ms << "}";
}

void showValue(const world_fault &f, std::ostream &os)
{
	os << "{fault " << f.kind << " at " << f.at_ms << " for "
	   << f.duration_ms << " a " << f.a << " b " << f.b << "}";
}

namespace {

struct Shape {
	uint64_t seed;
	int entries;
	int sides;
	int slots;
	int max_waiting;
	int drop;
	int dup;
	int late;
};

void showValue(const Shape &s, std::ostream &os)
{
	os << "{seed " << s.seed << " entries " << s.entries << " sides "
	   << s.sides << " slots " << s.slots << " waiting " << s.max_waiting
	   << " drop " << s.drop << " dup " << s.dup << " late " << s.late
	   << "}";
}

/* The calls of a key are the same request, so they agree on the rest. */
world_call make_call(uint64_t at, int entry, int tier, int size, int out,
		     uint32_t key, int extra)
{
	world_call c = {};

	c.at_ms = at;
	c.entry = entry;
	c.tier = tier;
	c.prompt_tokens = static_cast<uint32_t>(size);
	c.output_tokens = static_cast<uint32_t>(out);
	c.account = extra % 5;
	c.deadline_ms = 3000 + static_cast<uint32_t>(extra % 7) * 1000;
	c.resends = extra % 3;
	c.patience_ms = extra % 11 == 0 ? 700 : 0;
	if (!key)
		return c;
	c.key = key;
	c.account = static_cast<int>(key % 5);
	c.non_idempotent = key % 2;
	c.prompt_tokens = 20 + key % 30;
	c.output_tokens = 2 + key % 5;
	c.resends = 3;
	return c;
}

rc::Gen<world_call> gen_call(int keys)
{
	using namespace rc;

	return gen::map(gen::tuple(gen::inRange<uint64_t>(500, 9000),
				   gen::inRange(0, 4), gen::inRange(0, 3),
				   gen::inRange(4, 400), gen::inRange(1, 12),
				   gen::inRange<uint32_t>(
					   0, static_cast<uint32_t>(keys) + 1),
				   gen::inRange(0, 1000)),
			[](const std::tuple<uint64_t, int, int, int, int,
					    uint32_t, int> &t) {
				return make_call(std::get<0>(t), std::get<1>(t),
						 std::get<2>(t), std::get<3>(t),
						 std::get<4>(t), std::get<5>(t),
						 std::get<6>(t));
			});
}

rc::Gen<world_fault> gen_fault(const std::vector<world_fault_kind> &kinds)
{
	using namespace rc;

	return gen::map(gen::tuple(gen::elementOf(kinds),
				   gen::inRange<uint64_t>(300, 9500),
				   gen::inRange<uint64_t>(20, 5000),
				   gen::inRange(0, 6), gen::inRange(0, 6)),
			[](const std::tuple<world_fault_kind, uint64_t,
					    uint64_t, int, int> &t) {
				return world_fault{ std::get<0>(t),
						    std::get<1>(t),
						    std::get<2>(t),
						    std::get<3>(t),
						    std::get<4>(t) };
			});
}

rc::Gen<Shape> gen_shape(bool lossy)
{
	using namespace rc;

	return gen::map(gen::tuple(gen::arbitrary<uint64_t>(),
				   gen::inRange(1, 4), gen::inRange(1, 4),
				   gen::inRange(1, 6), gen::inRange(2, 40),
				   gen::inRange(0, 60)),
			[lossy](const std::tuple<uint64_t, int, int, int, int,
						 int> &t) {
				int p = lossy ? std::get<5>(t) : 0;

				return Shape{ std::get<0>(t), std::get<1>(t),
					      std::get<2>(t), std::get<3>(t),
					      std::get<4>(t), p / 2, p, p };
			});
}

world *make_world(const Shape &s, const std::vector<world_call> &calls,
		  const std::vector<world_fault> &faults)
{
	world_options o = {};
	world *w;

	o.seed = s.seed;
	o.n_entries = s.entries;
	o.n_sides = s.sides;
	o.slots = static_cast<uint32_t>(s.slots);
	o.max_waiting = static_cast<uint32_t>(s.max_waiting);
	o.step_us = 3000;
	o.batch_percent = 4;
	o.prefill_tokens = 64;
	o.delay_us = 1000;
	o.drop_permille = static_cast<uint32_t>(s.drop);
	o.dup_permille = static_cast<uint32_t>(s.dup);
	o.late_permille = static_cast<uint32_t>(s.late);
	w = world_new(&o);
	for (const auto &call : calls)
		world_add_call(w, &call);
	for (const auto &fault : faults)
		world_add_fault(w, &fault);
	return w;
}

/* Runs to the end; every call has to be settled by then. */
void run_and_check(const Shape &s, const std::vector<world_call> &calls,
		   const std::vector<world_fault> &faults)
{
	world *w = make_world(s, calls, faults);
	std::string broken;
	bool settled;

	world_run(w, 60000);
	if (world_violation(w))
		broken = world_violation(w);
	settled = world_settled(w);
	world_free(w);
	if (!broken.empty())
		RC_FAIL(broken);
	RC_ASSERT(settled);
}

const std::vector<world_fault_kind> all_faults = {
	FAULT_CUT_LINK,	      FAULT_CUT_PEERS,	       FAULT_KILL_ENTRY,
	FAULT_KILL_SIDE,      FAULT_FREEZE_ENTRY,      FAULT_FREEZE_SIDE,
	FAULT_KILL_ENGINE,    FAULT_LOG_OUTAGE,	       FAULT_LOG_LOSES_ANSWERS,
	FAULT_HOST_LEAVES,    FAULT_HOSTS_DOWN,	       FAULT_DRAIN_SIDE,
	FAULT_DRAIN_ENTRY,    FAULT_STRAGGLER,	       FAULT_PUBLISH_RACE,
};

template <typename T>
std::vector<T> some(const rc::Gen<T> &gen, int least, int most)
{
	auto n = *rc::gen::inRange(least, most + 1);

	return *rc::gen::container<std::vector<T>>(
		static_cast<std::size_t>(n), gen);
}

/* A burst that overloads everything, with every tier at every entry. */
std::vector<world_call> burst(int n, int keys)
{
	auto calls = some(gen_call(keys), n, n);

	for (auto &c : calls) {
		c.at_ms = 1000 + c.at_ms % 400;
		c.resends = 0;
	}
	return calls;
}

bool check(const std::string &name, void (*property)())
{
	return rc::check(name, property);
}

}

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
		auto s = *gen_shape(false);
		auto calls = some(gen_call(0), 1, 60);

		for (auto &c : calls) {
			c.deadline_ms = 40000;
			c.patience_ms = 0;
			c.resends = 0;
		}
		s.max_waiting = 1000;
		world *w = make_world(s, calls, {});
		world_run(w, 60000);
		for (std::size_t i = 0; i < calls.size(); i++)
			RC_ASSERT(world_whole(w, i));
		RC_ASSERT(!world_violation(w));
		world_free(w);
	});
	test("faults: all promises, frames in order", [] {
		run_and_check(*gen_shape(false), some(gen_call(8), 1, 80),
			      some(gen_fault(all_faults), 0, 8));
	});
	test("faults: all promises, frames lost, late and twice", [] {
		run_and_check(*gen_shape(true), some(gen_call(8), 1, 80),
			      some(gen_fault(all_faults), 0, 6));
	});
	test("once: keys under kills, freezes and log trouble", [] {
		auto calls = some(gen_call(3), 5, 40);

		for (auto &c : calls)
			c = make_call(c.at_ms, c.entry, c.tier, 20, 3,
				      1 + 2 * (c.key % 3), 0);
		run_and_check(*gen_shape(true), calls,
			      some(gen_fault({ FAULT_KILL_ENTRY,
					       FAULT_FREEZE_ENTRY,
					       FAULT_KILL_SIDE,
					       FAULT_FREEZE_SIDE,
					       FAULT_LOG_OUTAGE,
					       FAULT_LOG_LOSES_ANSWERS,
					       FAULT_CUT_LINK }),
				   1, 8));
	});
	test("shedding: higher tiers outlast lower ones", [] {
		auto s = *gen_shape(false);

		s.max_waiting = 2 + s.max_waiting % 10;
		run_and_check(s, burst(*rc::gen::inRange(20, 160), 0),
			      some(gen_fault({ FAULT_CUT_PEERS,
					       FAULT_FREEZE_ENTRY,
					       FAULT_FREEZE_SIDE,
					       FAULT_KILL_SIDE }),
				   0, 3));
	});
	test("leaving: no new work after a few seconds", [] {
		run_and_check(*gen_shape(false), some(gen_call(0), 20, 80),
			      some(gen_fault({ FAULT_HOST_LEAVES,
					       FAULT_FREEZE_SIDE,
					       FAULT_FREEZE_ENTRY,
					       FAULT_CUT_LINK,
					       FAULT_DRAIN_SIDE }),
				   1, 6));
	});
	test("drain: a graceful shutdown cuts nothing", [] {
		auto s = *gen_shape(false);
		auto calls = some(gen_call(0), 10, 60);

		s.entries = 3;
		s.sides = 3;
		s.max_waiting = 1000;
		for (auto &c : calls) {
			c.deadline_ms = 40000;
			c.patience_ms = 0;
		}
		world *w = make_world(s, calls,
				      some(gen_fault({ FAULT_DRAIN_SIDE,
						       FAULT_DRAIN_ENTRY }),
					   1, 4));
		world_run(w, 60000);
		for (std::size_t i = 0; i < calls.size(); i++)
			RC_ASSERT(world_whole(w, i));
		RC_ASSERT(!world_violation(w));
		world_free(w);
	});
	test("config: agreed everywhere, never reverts", [] {
		run_and_check(*gen_shape(true), some(gen_call(2), 1, 10),
			      some(gen_fault({ FAULT_PUBLISH_RACE,
					       FAULT_LOG_OUTAGE,
					       FAULT_KILL_ENTRY,
					       FAULT_FREEZE_ENTRY,
					       FAULT_CUT_PEERS }),
				   2, 10));
	});
	test("crashes: a bad request takes few engines", [] {
		auto s = *gen_shape(false);
		auto calls = some(gen_call(0), 5, 40);
		world_call bad = make_call(1500, 0, 0, 20, 3, 0, 0);

		bad.crashes = true;
		bad.resends = 10;
		bad.patience_ms = 0;
		calls.push_back(bad);
		world *w = make_world(s, calls, {});
		world_run(w, 60000);
		RC_ASSERT(world_engines_lost(w) <= 2);
		RC_ASSERT(!world_violation(w));
		world_free(w);
	});
	printf("%d passed, %d failed\n", passed, failed);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
