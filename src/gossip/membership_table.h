// Who is there: one record for each machine, with the server beside it. Only its owner writes it; the core
// may mark it expired, and a word of the owner's takes that back. Free of I/O and clocks.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "../configuration/versioned_item.h"

namespace robinpin::gossip {

using Machine = std::uint32_t;  // its IPv4 address: inner ports are alike on all machines

struct MemberRecord {
  Machine machine = 0;
  std::uint64_t incarnation = 0;  // of the process that owns it: grows with each start
  std::uint32_t sequence = 0;     // within that incarnation
  bool expired = false;           // its lease has run out at the core
  bool core = false, leaving = false;
  std::string zone;
  // The server beside it; no id: none.
  std::string server, service, address;
  bool draining = false;
  std::int32_t slots = 1;
  std::uint32_t cold_ms = 0;  // for so much longer, when this was written
  bool operator==(const MemberRecord&) const = default;
  template <typename Archive>
  void serialize(Archive& a) {
    a(machine, incarnation, sequence, expired, core, leaving, zone, server, service, address, draining, slots,
      cold_ms);
  }
};

inline bool newer(const MemberRecord& a, const MemberRecord& b) {
  if (a.incarnation != b.incarnation) return a.incarnation > b.incarnation;
  if (a.sequence != b.sequence) return a.sequence > b.sequence;
  return a.expired && !b.expired;
}

class MembershipTable {
 public:
  static constexpr std::size_t most = 16'000;  // machines; a further one is turned away
  struct Entry {
    MemberRecord record;
    std::int64_t heard = 0;  // when this word came, microseconds
  };
  using Entries = std::map<Machine, Entry>;

  bool take(const MemberRecord& r, std::int64_t now) {
    const auto it = entries_.find(r.machine);
    if (it == entries_.end() ? entries_.size() >= most : !newer(r, it->second.record)) return false;
    if (it != entries_.end()) digest_[part_of(r.machine)] ^= print_of(it->second.record);
    entries_[r.machine] = {r, now};
    digest_[part_of(r.machine)] ^= print_of(r);
    ++changes_;
    return true;
  }
  const MemberRecord* find(Machine m) const {
    const auto it = entries_.find(m);
    return it == entries_.end() ? nullptr : &it->second.record;
  }
  const Entries& entries() const { return entries_; }
  const configuration::Digest& digest() const { return digest_; }
  std::uint64_t changes() const { return changes_; }
  static std::size_t part_of(Machine m) {
    return (std::uint64_t(m) * 0x9e3779b97f4a7c15U >> 33) % configuration::parts;
  }

 private:
  static std::uint64_t print_of(const MemberRecord& r) {
    return configuration::hashed({reinterpret_cast<const char*>(&r.sequence), sizeof r.sequence},
                                 r.incarnation * 2 + (r.expired ? 1 : 0) + (std::uint64_t(r.machine) << 32));
  }
  Entries entries_;
  configuration::Digest digest_{};
  std::uint64_t changes_ = 0;
};

}  // namespace robinpin::gossip
