// How news reaches every node: passed on to a few others at once, gaps mended by comparing digests. Members renew their
// leases at the core by the same digests; the core marks who has lapsed. Told the time, free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../creed/creed.h"
#include "roll.h"
#include "wire.h"

namespace robinpin::rumour {

struct Datagram {
  Machine to = 0;
  std::string bytes;
};
using Outbox = std::vector<Datagram>;

struct Self {
  Machine machine = 0;
  std::string zone;
  bool core = false;
};

class Rumour {
 public:
  static constexpr std::int64_t round = 500'000;        // microseconds between digests
  static constexpr std::int64_t lease_term = 5'000'000;  // unheard for so long a member has lapsed
  static constexpr std::size_t told_to = 3;              // others that news is passed on to at once

  Rumour(Self self, std::uint64_t life, std::vector<Machine> seeds, creed::Creed& creed, std::uint32_t chance);

  // Own record: a change is passed on at once.
  void state(std::int64_t now, Record own, Outbox& out);
  // An item that this node has taken by itself.
  void spread(const std::vector<creed::Item>& items, Outbox& out);
  void heard(std::int64_t now, Machine from, std::string_view datagram, Outbox& out);
  // To be called every 100 ms or so.
  void tick(std::int64_t now, Outbox& out);
  // Other seeds than before: those not known until now are asked until one with a whole copy answers.
  void seeds(std::int64_t now, std::vector<Machine> told, Outbox& out);
  // Old news may have been believed while this process stood still: asked again.
  void leapt(std::int64_t now, Outbox& out);

  const Roll& roll() const { return roll_; }
  const std::vector<Machine>& cores() const { return cores_; }
  void cores(std::vector<Machine> known) { cores_ = std::move(known); }
  void whole(bool is) { whole_ = is; }
  // A node that begins holds enough once it agrees with a majority of the core, or with one part of it or a member that
  // does, where no majority is heard for a while; then it goes on asking all of the core until a majority agrees.
  bool caught_up() const { return caught_up_; }
  // Items that were news since this was last asked: a core has to store them.
  std::vector<creed::Item> fresh() { return std::exchange(fresh_, {}); }

 private:
  Told told(bool answer) const;
  void send_digest(std::int64_t now, Machine to, bool answer, Outbox& out) const;
  void ask(Machine to, Outbox& out) const;
  void send_gaps(std::int64_t now, Machine to, const Told& theirs, Outbox& out) const;
  void send_listing(Machine to, std::uint32_t differ, std::uint32_t items_differ, bool answer, Outbox& out) const;
  void heard_listing(Machine from, const Listing& theirs, Outbox& out) const;
  void pass_on(News news, Machine but, Outbox& out);
  std::vector<Machine> some(std::size_t most, Machine but);
  void agreed(std::int64_t now, Machine with, bool whole);
  void sweep(std::int64_t now, Outbox& out);

  Self self_;
  Record own_;
  std::vector<Machine> seeds_, cores_;
  std::vector<Machine> unmet_;  // seeds told of since the start, none of which has answered with a whole copy
  creed::Creed& creed_;
  Roll roll_;
  std::mt19937 chance_;
  std::int64_t next_ = 0, begun_ = -1, eager_ = 0, next_ask_ = 0;
  bool whole_ = false, caught_up_ = false, majority_ = false;
  std::set<Machine> agrees_;
  std::vector<creed::Item> fresh_;
  std::int64_t flood_from_ = 0, flood_until_ = 0;  // items come in by the hundred
  std::size_t flood_count_ = 0;
  std::map<Machine, std::int64_t> leases_;      // at a core: when each was last heard, by anyone
  std::map<Machine, std::int64_t> cores_heard_;  // when
  std::int64_t with_majority_ = 0;               // since when, at a core; 0: not now
};

}  // namespace robinpin::rumour
