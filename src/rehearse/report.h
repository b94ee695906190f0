// What a rehearsal came to: for a person, and as one JSON object (its schema: docs/rehearse.md). And many of
// them side by side.
#pragma once

#include <string>
#include <vector>

#include "stage.h"

namespace robinpin::rehearse {

enum class verdict { holds = 0, broken = 1, voided = 3 };  // the exit codes

// Every expectation that the outcome does not meet, and every rule broken; none: it holds.
std::vector<std::string> unmet(const Plan& plan, const Outcome& outcome);
verdict verdict_of(const Plan& plan, const Outcome& outcome);

std::string summary(const Plan& plan, const Outcome& outcome, std::uint64_t seed);
std::string json(const Plan& plan, const Outcome& outcome, std::uint64_t seed);
double quantile(const std::vector<double>& sorted, double part);

// The figures of a run that was kept as JSON.
struct Kept {
  std::string plan, where;
  std::uint64_t seed = 0;
  double service = 0, p50 = 0, p99 = 0, waste = 0, postings_per_txn = 0, tries_per_txn = 0;
  std::uint64_t breaks = 0;
  bool voided = false;
};
// Throws std::runtime_error, naming the file.
Kept kept(const std::string& folder);

// The mean of differences over pairs, and how far it may lie off at 95%.
struct Difference {
  double mean = 0, either_side = 0;
  int pairs = 0;
};
Difference difference(const std::vector<double>& a, const std::vector<double>& b);

}  // namespace robinpin::rehearse
