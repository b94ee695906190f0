// A fleet in trouble on real sockets: daemons as processes, the ways between them through relays of the kit,
// callers whose history is held against what was promised.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "fleet_plan.h"
#include "linear.h"

namespace robinpin::rehearse {

struct FleetSetup {
  std::string daemon, out,
      misled;  // VARIABLE=VALUE of a daemon whose clocks and disk are to be broken; empty: none is
  std::uint64_t seed = 1;
};

struct FleetOutcome {
  std::vector<Deed> deeds;
  Explained explained;
  std::vector<std::pair<micros, std::string>> happened;
  std::vector<std::string> broken;  // what was promised or expected, and is not so
  std::string void_because;         // empty: it counts
  int written = 0, read = 0, refused = 0, unknown = 0, not_done = 0;
  micros without_write = 0, returned = -1;
  double write_p50 = 0, write_p99 = 0, read_p50 = 0, read_p99 = 0;  // ms
  bool good() const { return void_because.empty() && broken.empty(); }
};

// Throws std::runtime_error where the fleet can't be started at all.
FleetOutcome play(const FleetPlan& plan, const FleetSetup& setup, const std::function<bool()>& stop);
std::string summary(const FleetPlan& plan, const FleetOutcome& o, std::uint64_t seed);
std::string json(const FleetPlan& plan, const FleetOutcome& o, std::uint64_t seed);

}  // namespace robinpin::rehearse
