/*
 * Rendezvous hashing: all processes that know the same hosts choose the same
 * ones for a key, and adding or removing a host changes few of the choices.
 */
#ifndef MH_RENDEZVOUS_H
#define MH_RENDEZVOUS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * mh_rendezvous_score() - score of a candidate for a key
 * @key: key
 * @candidate: name of a host
 */
uint64_t mh_rendezvous_score(const char *key, const char *candidate);

/**
 * mh_rendezvous_chosen() - whether a candidate is among the best for a key
 * @key: key
 * @self: candidate to check
 * @candidates: names of all candidates; @self counts even if it isn't listed
 * @n: number of @candidates
 * @want: number of candidates to choose; 0 chooses all
 */
bool mh_rendezvous_chosen(const char *key, const char *self,
			  const char *const *candidates, size_t n,
			  uint32_t want);

#endif
