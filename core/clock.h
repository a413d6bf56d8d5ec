/*
 * Clock and pseudo-random numbers of the core, given by its caller.
 */
#ifndef MH_CLOCK_H
#define MH_CLOCK_H

#include <stdint.h>

#define MH_NS_PER_MS 1000000ull
#define MH_MS_PER_S 1000ull

/**
 * struct mh_clock - source of time
 * @mono_ns: monotonic time, which includes the time that the host is suspended
 * @wall_ms: Unix time
 * @data: first argument of both functions
 */
struct mh_clock {
	uint64_t (*mono_ns)(void *data);
	uint64_t (*wall_ms)(void *data);
	void *data;
};

static inline uint64_t mh_clock_mono_ns(const struct mh_clock *clock)
{
	return clock->mono_ns(clock->data);
}

static inline uint64_t mh_clock_wall_ms(const struct mh_clock *clock)
{
	return clock->wall_ms(clock->data);
}

/* Return: the earlier of two times. */
static inline uint64_t mh_earlier(uint64_t a_ns, uint64_t b_ns)
{
	return a_ns < b_ns ? a_ns : b_ns;
}

/* Return: the later of two times. */
static inline uint64_t mh_later(uint64_t a_ns, uint64_t b_ns)
{
	return a_ns > b_ns ? a_ns : b_ns;
}

/**
 * struct mh_rng - pseudo-random sequence (splitmix64)
 * @state: seed, then position in the sequence
 */
struct mh_rng {
	uint64_t state;
};

static inline uint64_t mh_rng_next(struct mh_rng *rng)
{
	uint64_t z = (rng->state += 0x9e3779b97f4a7c15ull);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
	return z ^ (z >> 31);
}

#endif
