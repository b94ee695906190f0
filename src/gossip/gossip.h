// How news reaches every node: passed on to a few others at once, gaps mended by comparing digests. Members
// renew their leases at the core by the same digests; the core marks who has expired. Items go from the core
// to the others only, and each is settled. DigestMessage the time, free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "../configuration/configuration_store.h"
#include "membership_table.h"
#include "messages.h"
#include "peer_sampler.h"

namespace robinpin::gossip {

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

class Gossip {
 public:
  static constexpr std::int64_t round = 500'000;         // microseconds between digests
  static constexpr std::int64_t lease_term = 5'000'000;  // unheard for so long a member has expired
  static constexpr std::size_t told_to = 3;              // others that news is passed on to at once

  Gossip(Self self, std::uint64_t incarnation, std::vector<Machine> seeds,
         configuration::ConfigurationStore& creed, std::uint32_t chance);

  // Own record: a change is passed on at once.
  void state(std::int64_t now, MemberRecord own, Outbox& out);
  // An item that this node has taken by itself.
  void spread(const std::vector<configuration::VersionedItem>& items, Outbox& out);
  void on_datagram(std::int64_t now, Machine from, std::string_view datagram, Outbox& out);
  // To be called every 100 ms or so.
  void tick(std::int64_t now, Outbox& out);
  // Other seeds than before: those not known until now are asked until one with a whole copy answers.
  void seeds(std::int64_t now, std::vector<Machine> told, Outbox& out);
  // Old news may have been believed while this process stood still: asked again.
  void leapt(std::int64_t now, Outbox& out);

  const MembershipTable& members() const { return members_; }
  const std::vector<Machine>& cores() const { return cores_; }
  // Who is core, as agreed in that epoch; 0: as seeds, not agreed.
  void cores(std::vector<Machine> known, std::uint64_t epoch = 0);
  void whole(bool is) { whole_ = is; }
  // A node that begins holds enough once it has agreed with one core that says that it is whole, so has
  // proved contact with a majority; a member's word is not enough. What was caught up stays so.
  bool caught_up() const { return caught_up_; }

 private:
  DigestMessage told(bool answer) const;
  void send_digest(Machine to, bool answer, Outbox& out) const;
  void send_leases(std::int64_t now, Outbox& out);
  void ask(Machine to, Outbox& out) const;
  void send_differences(std::int64_t now, Machine to, const DigestMessage& theirs, Outbox& out);
  void send_listing(Machine to, const ListingScope& of, bool answer, Outbox& out);
  std::vector<configuration::VersionedItem> portion(std::vector<configuration::VersionedItem> items,
                                                    std::size_t most_bytes);
  void send_items(Machine to, std::vector<configuration::VersionedItem> items, Outbox& out) const;
  void on_update(std::int64_t now, Machine from, const UpdateMessage& news, Outbox& out);
  void on_digest(std::int64_t now, Machine from, const DigestMessage& theirs, Outbox& out);
  void on_listing(Machine from, const ListingMessage& theirs, Outbox& out);
  void observe_floor(std::uint64_t floor);
  bool may_exist(std::uint64_t at, std::uint64_t holders_floor) const;
  configuration::Digest digest_without_dropped(std::uint64_t floor) const;
  void hurry(std::int64_t now);
  void pass_on(UpdateMessage news, Machine but, Outbox& out);
  std::vector<Machine> some(std::size_t most, Machine but);
  bool take(const MemberRecord& r, std::int64_t now);
  void sweep(std::int64_t now, Outbox& out);
  void renew(std::int64_t now, Machine m, std::int64_t at, bool first_hand);

  Self self_;
  MemberRecord own_;
  std::vector<Machine> seeds_, cores_;
  std::uint64_t epoch_ = 0;     // of `cores_`
  std::vector<Machine> unmet_;  // seeds told of since the start, none of which has answered with a whole copy
  configuration::ConfigurationStore& configuration_;
  MembershipTable members_;
  PeerSampler near_, far_;  // those that are told: of the own zone, of others
  std::mt19937 chance_;
  std::int64_t next_ = 0, eager_ = 0;
  std::size_t next_core_;  // an ambit asks them in turn: no core that is up goes unasked for longer than it
                           // takes to ask all
  bool whole_ = false, caught_up_ = false, met_ = false;  // `met_` a whole core, ever
  std::uint64_t highest_floor_ =
      0;  // the highest that anyone told of; not kept by a core, which others settle for
  // Lacks much of what a whole core holds: it asks one core for the next portion as soon as a part of the
  // last is there, and all again where that one says nothing.
  bool repairing_ = false, asks_one_ = false;
  std::size_t repaired_bytes_ = 0;                 // since it asked
  std::int64_t flood_from_ = 0, flood_until_ = 0;  // items come in by the hundred
  std::size_t flood_count_ = 0;
  struct Renewal {
    std::int64_t at = 0, own = 0;  // last heard by any core, and by this one
    int tell = 0;                  // in so many rounds more
  };
  std::map<Machine, Renewal> leases_;                // at a core, of those in the roll: as many at the most
  std::map<Machine, std::int64_t> core_last_heard_;  // when, of `cores_`
  std::int64_t with_majority_ = 0;                   // since when, at a core; 0: not now
};

}  // namespace robinpin::gossip
