#include "core/send_window.h"

/* A server with a limit of nearly nothing still gets a request each 10 s, which
 * tells whether the limit holds. */
#define MIN_HZ 0.1
/* Fraction of a limit that is used in all where many share it: their requests
 * meet by chance, and some of them may not be known of. */
#define SHARED_FRACTION 0.75
/* For how long a sender whose request is due may leave it unsent and still send
 * it at once. Otherwise a burst at all senders would send one of each. */
#define DUE_NS (2000 * MH_NS_PER_MS)
/* Buckets of the window that cover a second, the newest one not counted. */
#define BUCKETS_PER_S                                                          \
	((MH_MS_PER_S * (MH_USAGE_BUCKETS - 1) + MH_SEND_WINDOW_MS - 1) /      \
	 MH_SEND_WINDOW_MS)

/* Moments over which the requests of a full window are spread. */
#define MAX_FILL_STEPS ((uint32_t)MH_USAGE_BUCKETS)

void mh_send_window_init(struct mh_send_window *w, uint64_t seed)
{
	mh_usage_init(&w->sent, MH_SEND_WINDOW_MS);
	w->last_ns = 0;
	w->due_ns = 0;
	w->rng.state = seed;
}

/* Return: a random time of up to @ns. */
static uint64_t random_ns(struct mh_send_window *w, uint64_t ns)
{
	return ns ? mh_rng_next(&w->rng) % ns : 0;
}

void mh_send_window_add(struct mh_send_window *w, uint64_t n, uint32_t age_ms,
			uint64_t now_ns)
{
	mh_usage_add(&w->sent, n, age_ms, now_ns);
	w->last_ns = mh_later(w->last_ns, now_ns - age_ms * MH_NS_PER_MS);
	w->due_ns = 0;
}

void mh_send_window_take_back(struct mh_send_window *w, uint64_t counted_ns,
			      uint64_t now_ns)
{
	mh_usage_refund(&w->sent, 1, counted_ns, now_ns);
	if (w->last_ns == counted_ns)
		w->last_ns = 0;
}

double mh_send_window_hz(uint32_t max_millihz, uint32_t n_sharing)
{
	double hz = max_millihz / 1000.0;

	if (hz < MIN_HZ)
		hz = MIN_HZ;
	return n_sharing > 1 ? hz * SHARED_FRACTION / n_sharing : hz;
}

static uint32_t ms_until(uint64_t due_ns, uint64_t now_ns)
{
	return due_ns > now_ns ?
		       (uint32_t)((due_ns - now_ns) / MH_NS_PER_MS) + 1 :
		       0;
}

/* Return: when a sender with less than one request a second may send the next
 * one. Where many share a limit, each begins at a random time. */
static uint64_t due_ns(struct mh_send_window *w, double hz, uint32_t n_sharing,
		       uint64_t now_ns)
{
	uint64_t period_ns = (uint64_t)(MH_MS_PER_S * MH_NS_PER_MS / hz);

	if (n_sharing == 1)
		return w->last_ns ? w->last_ns + period_ns : 0;
	if (w->due_ns && now_ns <= w->due_ns + DUE_NS)
		return w->due_ns;
	w->due_ns = now_ns + random_ns(w, period_ns);
	if (w->last_ns)
		w->due_ns =
			mh_later(w->due_ns, w->last_ns + period_ns / 2 +
						    random_ns(w, period_ns));
	return w->due_ns;
}

/* Return: requests that a rate allows in the whole window. */
static uint64_t window_max(double hz)
{
	uint64_t n = (uint64_t)(hz * MH_SEND_WINDOW_MS / MH_MS_PER_S + 0.5);

	return n ? n : 1;
}

void mh_send_window_fill(struct mh_send_window *w, uint32_t max_millihz,
			 uint32_t n_sharing, uint64_t now_ns)
{
	uint64_t max = window_max(mh_send_window_hz(max_millihz, n_sharing));
	uint32_t steps = max < MAX_FILL_STEPS ? (uint32_t)max : MAX_FILL_STEPS;
	uint32_t step_ms = MH_SEND_WINDOW_MS / steps, phase_ms, i;

	/* Servers whose limits begin together are not due together. */
	phase_ms = (uint32_t)(mh_rng_next(&w->rng) % step_ms);
	mh_usage_init(&w->sent, MH_SEND_WINDOW_MS);
	for (i = 0; i < steps; i++)
		mh_usage_add(&w->sent, max * (i + 1) / steps - max * i / steps,
			     i * step_ms + phase_ms, now_ns);
	w->last_ns = now_ns - phase_ms * MH_NS_PER_MS;
	w->due_ns = 0;
}

void mh_send_window_begin_limit(struct mh_send_window *w, uint32_t max_millihz,
				uint32_t n_sharing, uint64_t now_ns)
{
	uint64_t max = window_max(mh_send_window_hz(max_millihz, n_sharing));

	w->due_ns = 0;
	if (mh_usage_sum(&w->sent, now_ns) > max)
		mh_send_window_fill(w, max_millihz, n_sharing, now_ns);
}

static uint64_t sent_in_last_s(struct mh_send_window *w, uint64_t now_ns)
{
	uint64_t sum = 0;
	uint32_t i, age_ms;

	for (i = 0; i <= BUCKETS_PER_S; i++)
		sum += mh_usage_bucket(&w->sent, i, now_ns, &age_ms);
	return sum;
}

uint32_t mh_send_window_wait_ms(struct mh_send_window *w, uint32_t max_millihz,
				uint32_t n_sharing, uint64_t now_ns)
{
	uint32_t wait_ms = 0;
	uint64_t max;
	double hz;

	if (max_millihz == MH_NO_LIMIT)
		return 0;
	hz = mh_send_window_hz(max_millihz, n_sharing);
	max = window_max(hz);
	if (mh_usage_sum(&w->sent, now_ns) >= max)
		wait_ms = mh_usage_wait_ms(&w->sent, max - 1, now_ns);
	if (hz < 1) {
		uint32_t due_ms =
			ms_until(due_ns(w, hz, n_sharing, now_ns), now_ns);

		return due_ms > wait_ms ? due_ms : wait_ms;
	}
	/* A window that fills in a moment would leave the server idle, and urgent
	 * requests without a slot, for the rest of it. */
	if (!wait_ms && sent_in_last_s(w, now_ns) >= (uint64_t)(hz + 1))
		wait_ms = MH_SEND_WINDOW_MS / (MH_USAGE_BUCKETS - 1);
	return wait_ms;
}

double mh_send_window_used(struct mh_send_window *w, uint32_t max_millihz,
			   uint32_t n_sharing, uint64_t now_ns)
{
	uint64_t max, sum;

	if (max_millihz == MH_NO_LIMIT)
		return 0;
	max = window_max(mh_send_window_hz(max_millihz, n_sharing));
	sum = mh_usage_sum(&w->sent, now_ns);
	return sum >= max ? 1 : (double)sum / (double)max;
}
