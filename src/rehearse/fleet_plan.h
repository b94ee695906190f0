// A plan for a fleet: so many voters and nodes, callers on registers, what breaks between them and when, and
// what is expected. A plan file with [fleet] is one of these. Keys: docs/rehearse.md.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "../config/told.h"

namespace robinpin::rehearse {

enum class breach {
  cut,
  deaf,
  mute,
  refused,
  slow,
  dribble,
  reset,
  late,
  twice,  // on the ways of some nodes to all others
  kill,
  stop,
  disk_full,
  sync_fails,
  clock,
  wall_jump,  // at some nodes
  replace     // an operator's order while it all goes on
};
const char* word(breach b);

struct Breach {
  config::At at;
  breach what = breach::cut;
  micros from = 0, span = 2'000'000;
  std::vector<std::string> who;  // by name; else `count` drawn of `of`
  int count = 1;
  bool of_voters = true;
  double size = 0;            // ms, bytes, a rate or seconds, as the kind has it; 0: the kind's own
  std::string disk = "kept";  // of who is killed: kept, lost, older
};

struct FleetPlan {
  std::string path, name, about;
  micros length = 12'000'000;
  int voters = 3, nodes = 5, spares = 0;  // spares: nodes beyond the voters that have a store
  int callers = 4, registers = 3;
  micros beat = 100'000, pace = 15'000;  // between a caller's calls
  std::vector<Breach> breaches;
  int drawn = 0;  // further ones, of all kinds, by the seed
  struct {
    config::Told<int> written;           // at least
    config::Told<micros> without_write;  // the longest time, at most
    config::Told<micros> returns;        // all members heard again so soon after the last breach, at most
    config::Told<bool> all_vote;         // at the end
  } expect;
};

struct FleetPlanRead {
  FleetPlan plan;
  std::vector<config::Fault> faults;
  bool good() const { return faults.empty(); }
};
bool is_fleet_plan(std::string_view text);
FleetPlanRead read_fleet_plan(const std::string& path, std::string_view text);

}  // namespace robinpin::rehearse
