// A plan: the halls, boxes, nodes and clients of a rehearsal, what goes wrong when, and what is expected of
// the day. Read from TOML and checked like the daemon's file. Keys: docs/rehearse.md.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "../config/told.h"
#include "../model/box.h"
#include "../model/list.h"
#include "../model/load.h"

namespace robinpin::rehearse {

using config::At;
using config::Fault;
using config::Told;

struct Hall {
  std::string name;
  double share = 1;  // of the clients
};

struct BoxKind {
  std::string name;  // boxes are name-1, name-2 ...
  int count = 1;
  model::Make make;
};

struct Tier {
  std::string name;
  double work = 1;                        // share of a txn's work that each call costs here
  std::pair<double, double> calls{1, 1};  // how often a txn of the tier before calls it
  std::vector<BoxKind> kinds;
};

enum class trouble {
  slow,
  taken,
  silent,
  dead,
  hanging,
  failing,
  refusing,
  reset,
  spoilt,
  dear,
  list_behind,
  list_broken,
  nodes_restart,
  hall_cut,
  deploy,
  jump
};

struct Mishap {
  At at;
  trouble what = trouble::slow;
  micros from = 0, span = 10'000'000;
  std::string tier, hall, scheme;  // of which boxes or txns; empty: any
  std::vector<std::string> boxes;  // by name; else `share` of those that fit
  double share = 1, size = 2;
  int together = 1;       // nodes or boxes at once
  micros down = 800'000;  // of a restarted node or box
  bool killed = false;    // a node: outright; else told to end
};

struct Net {  // one way
  micros same = 200, cross = 600, client = 700;
  double jitter = 0.2;
};

struct Expect {
  Told<double> service, waste;  // points of 100; waste at the most
  Told<int> tipped;             // boxes at the most
  std::map<std::string, Told<double>> halls, schemes;
};

struct Permissions {
  int most_postings = 5;
  bool cancel = true, second_copies = true, retry_after = true;
  micros dial = 250'000, keepalive = 15'000'000, ask_every = 10'000'000, drain_grace = 1'000'000;
};

struct Plan {
  std::string path, name, about;
  micros length = 30'000'000, warm_up = 3'000'000;
  std::vector<Hall> halls;
  std::vector<Tier> tiers;
  model::Mix mix;
  model::Manners clients;
  model::Ways list;
  Net net;
  Permissions permissions;
  int nodes = 4;
  std::string config;                   // a file of ours for the nodes, as seen from the plan
  int memory_mb = 192, sockets = 1024;  // of each node's process; no memory: no limit
  micros front_notice = 1'500'000;      // until the front sees that a node has died
  std::string replay;  // a records file, whose mix and pacing is played instead of a drawn one
  double pace = 1;
  std::vector<Mishap> mishaps;
  Expect expect;
  micros late_limit = 5'000;  // the kit's sends at the 99th percentile; over it the run is void
};

struct PlanRead {
  Plan plan;
  std::vector<Fault> faults;
  bool good() const { return faults.empty(); }
};

// `set`: "key=value" pairs over the file, as "load.rate=500"; each names a key that the file may have.
PlanRead read_plan(const std::string& path, std::string_view text, const std::vector<std::string>& set = {});
PlanRead load_plan(const std::string& path, const std::vector<std::string>& set = {});

const char* word(trouble what);

}  // namespace robinpin::rehearse
