// A rehearsal on real sockets: daemons as processes, boxes, list and clients as stand-ins over the model, all
// on loopback.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "history.h"
#include "plan.h"

namespace robinpin::rehearse {

enum class policy { module, random, least };  // the daemon, or a baseline that the kit plays in its place

struct Setup {
  std::string daemon;  // the program
  std::string out;     // folder for logs and the nodes' files
  std::uint64_t seed = 1;
  policy by = policy::module;
  bool boxes_only = false;
};

struct Progress {
  double part = 0;     // of the plan
  double service = 1;  // of the last seconds
  std::vector<std::string> going_wrong;
};

struct Outcome {
  Grounds grounds;
  History history;
  Verdict verdict;
  std::string void_because;          // empty: it counts
  std::vector<std::string> crashed;  // daemons that ended by themselves, or did not end when told to
  std::vector<std::pair<micros, std::string>> happened;
  double late_p99_ms = 0, waste = 0;
  int tipped = 0, fallen = 0;
  double sends_a_second = 0, kit_cores = 0;
};

// Plays the plan. Throws std::runtime_error, naming the address, where one is taken. `stop` is asked now and
// then.
Outcome play(const Plan& plan, const Setup& setup, const std::function<void(const Progress&)>& progress,
             const std::function<bool()>& stop);

// What a node is told at its start, as EDGE_CONFIG has it: `known` and `settings` as JSON.
struct NodeFacts {
  std::string name, listen, discovery, zone, known;
  int tier = 0, me = 0, nodes = 1;
  std::uint64_t seed = 0;
};
std::string node_json(const Plan& plan, const NodeFacts& node);

}  // namespace robinpin::rehearse
