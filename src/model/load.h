// What clients ask and how they behave: a mix of txns drawn ahead, so that no answer's time moves the next
// asking, and patience, retries and advice. Free of I/O and clocks.
#pragma once

#include <string>
#include <vector>

#include "chance.h"
#include "robinpin/choice.h"

namespace robinpin::model {

struct SchemeOf {
  std::string name;
  double share = 1;
  double work = 60'000, spread = 0.5;  // of all tiers together, microseconds of a yardstick core; cv
  micros sla = 500'000, expiry = 1'200'000;
  double revenue = 1;
  repeats kind = repeats::repeatable;
  group within = group::all;
  micros memory = 0;
};

struct TenantOf {
  std::string name;
  double share = 1, allowance = 0;
};

enum class shape { steady, ramp, wave, bursty };

struct Mix {
  double rate = 350;  // txns a second
  shape form = shape::steady;
  double swing = 0.2;  // how far the rate goes from its mean, as a share
  micros turn = 10'000'000;
  std::vector<SchemeOf> schemes;
  std::vector<TenantOf> tenants;  // none: txns name no tenant
  std::vector<double> halls;      // share of each
  std::vector<std::pair<double, double>>
      calls;  // of each tier after the first: how often a txn of the tier above calls it
};

struct Jump {  // of the traffic
  micros from = 0, until = 0;
  double times = 1;
};

// A txn as its client first asks it. What it costs belongs to it, wherever and however often it runs.
struct Wanted {
  micros at = 0;
  int scheme = 0, tenant = -1, hall = 0;
  double work = 0;  // of all tiers
  std::uint64_t number = 0;
};

std::vector<Wanted> drawn(const Mix& mix, const std::vector<Jump>& jumps, micros length, std::uint64_t seed);
// How often a txn calls the next tier at that tier, by its own number: the same on every run.
int calls_of(const Mix& mix, std::size_t tier, std::uint64_t number, std::uint64_t seed);

struct Manners {
  int retries = 2;
  double try_share = 0.65;  // of the expiry, that a try but the last gets
  micros wait = 100'000;    // before the next try
  bool doubling = true;
  double heeds = 0.85;  // share of the advice to come back later that is followed
  micros longest_advice = 1'200'000;
  bool marks =
      false;  // repeats are marked as such, and all tries of a txn together wait no longer than its expiry
};

enum class heard { settled, declined, failed, unreachable, nothing };  // unreachable: the node took nothing

// Whether a client tries again after its n-th try (from 0), and when; below zero: no more. `asked`: when the
// first try went out. A once-only txn is tried again only after a decline or where no node took it.
micros again(const Manners& m, const SchemeOf& s, int n, heard how, micros come_back, micros asked,
             micros now, Chance& chance);
// How long the n-th try waits for its answer, so long after the first went out.
micros patience(const Manners& m, const SchemeOf& s, int n, micros since = 0);

}  // namespace robinpin::model
