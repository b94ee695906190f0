// What clients, boxes and the list saw, and nothing that a node says of itself; and the judge over it: the
// four rules and the service score. Free of I/O and clocks.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "robinpin/choice.h"

namespace robinpin::rehearse {

enum class answer {
  none,
  settled,
  declined,
  failed,
  broken
};  // broken: the connection ended without a whole answer

// One request to a node and what came of it: a client's try, or a box's call to the next tier.
struct Try {
  std::string id;
  int tier = 0, scheme = 0, node = 0;
  std::uint64_t txn = 0;  // the client's txn that it belongs to
  micros sent = 0;        // its last byte
  micros expiry = 0;      // when its client gives up
  micros answered = -1;
  answer how = answer::none;
  bool taken = false;   // its last byte was written to a connection that the node's machine had accepted
  bool left = false;    // its client went away before
  bool killed = false;  // its node was killed while it was out, or ended as told
  bool spoilt = false;  // settled with what no box made for it
  struct Posting {
    int box = 0;
    micros came = 0;               // its last byte
    micros begun = -1, over = -1;  // it ran, it was answered or turned away
    bool ran = false;
    bool gone = false;  // its connection ended before
  };
  std::vector<Posting> postings;
};

// A txn as its client meant it.
struct Deal {
  micros asked = 0;
  int scheme = 0, tenant = -1, hall = 0;
  micros answered = -1;  // served
  int effects = 0;
  int tries = 0;
};

struct Told {  // by the list, to a node
  int node = 0, box = 0;
  micros at = 0;
  bool serving = true;
};

struct Fall {  // a cold box that was sent too much
  int box = 0;
  micros at = 0;
  double told_share = 0;  // of that work, what came from nodes that had been told of its start
};

struct SchemeFacts {
  std::string name;
  repeats kind = repeats::repeatable;
  group within = group::all;
  micros memory = 0, sla = 0;
  double revenue = 1;
};

struct Grounds {  // that the judge goes by
  std::vector<SchemeFacts> schemes;
  std::vector<std::string> halls, boxes, nodes;
  std::vector<int> box_zone, box_cell;
  micros slack = 50'000;  // added to each limit, as a real network needs it
  micros drain_grace = 1'000'000;
  bool second_copies = true;
  int most_postings = 5;
  micros from = 0, until = 0;  // the service that counts
  micros window = 5'000'000;
};

struct History {
  std::vector<Try> tries;
  std::unordered_map<std::string, std::size_t> by_id;
  std::vector<Deal> deals;
  std::vector<Told> told;
  std::vector<Fall> falls;

  Try& begin(Try t) {
    by_id[t.id] = tries.size();
    tries.push_back(std::move(t));
    return tries.back();
  }
  Try* find(const std::string& id) {
    const auto it = by_id.find(id);
    return it == by_id.end() ? nullptr : &tries[it->second];
  }
};

struct Break {
  int rule = 0;  // 1 to 4
  std::string what;
};

struct Service {
  double asked = 0, served = 0;  // worth
  double share() const { return asked > 0 ? served / asked : 1; }
};

struct Verdict {
  std::array<std::uint64_t, 4> counts{};  // breaks of each rule
  std::vector<Break> breaks;              // the first of each rule, with the history of the txn
  Service service;
  std::vector<Service> by_hall, by_scheme;
  std::vector<std::vector<Service>> windows;  // by window, then hall
  std::vector<double> latency;                // ms, of what was served in the span that counts
  std::uint64_t txns = 0, tries = 0, postings = 0, declined = 0, failed = 0;
  bool rules_kept() const { return counts == std::array<std::uint64_t, 4>{}; }
};

Verdict judge(const History& history, const Grounds& grounds);
// A try's story, for a person.
std::string story(const Try& t, const Grounds& grounds);

}  // namespace robinpin::rehearse
