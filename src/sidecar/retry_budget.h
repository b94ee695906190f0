// This node's own part of the mesh's limit on further tries: a share of its own requests and of what is free,
// in any window as long as the one stated. Free of I/O, told the time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "robinpin/choice.h"

namespace robinpin::sidecar {

class RetryBudget {
 public:
  // What a repeat calls in turn is charged to it: so many arrivals each, at the most seen to be made.
  static constexpr double weight = 2;
  // Requests and arrivals in a window of the rule that begins elsewhere: the window kept is longer by so
  // much.
  static constexpr double longer = 1.1;

  void bounds(std::int64_t window, double ratio, double slack, std::size_t nodes) {
    // What was counted in slots of another width can't be held against this window: as at a new incarnation
    // of the process.
    if (limits_.resend_span != micros(double(window) * longer)) tallies_.clear();
    limits_.resend_span = micros(double(window) * longer);
    limits_.extra_share = ratio / weight / longer;
    limits_.free_resends = slack / weight / double(std::max<std::size_t>(1, nodes));
  }
  void taken(std::int64_t now, const std::string& service) {
    ++tallies_[service].at(now, limits_.resend_span).taken;
  }
  // One more try that would be a further arrival there: counted if it may be made.
  bool spend(std::int64_t now, const std::string& service) {
    Tally& t = tallies_[service];
    if (!t.spares(now, limits_)) return false;
    ++t.at(now, limits_.resend_span).further;
    return true;
  }
  bool spares(std::int64_t now, const std::string& service) { return tallies_[service].spares(now, limits_); }

 private:
  Terms limits_;
  std::map<std::string, Tally> tallies_;  // one a service
};

}  // namespace robinpin::sidecar
