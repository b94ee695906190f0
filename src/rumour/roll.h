// Who is there: one record for each machine, with the server beside it. Only its owner writes it; the core
// may mark it lapsed, and a word of the owner's takes that back. Free of I/O and clocks.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "../creed/item.h"

namespace robinpin::rumour {

using Machine = std::uint32_t;  // its IPv4 address: inner ports are alike on all machines

struct Record {
  Machine machine = 0;
  std::uint64_t life = 0;  // of the process that owns it: grows with each start
  std::uint32_t word = 0;  // within that life
  bool lapsed = false;     // its lease has run out at the core
  bool core = false, leaving = false;
  std::string zone;
  // The server beside it; no id: none.
  std::string server, service, address;
  bool draining = false;
  std::int32_t slots = 1;
  std::uint32_t cold_ms = 0;  // for so much longer, when this was written
  bool operator==(const Record&) const = default;
  template <typename Archive>
  void serialize(Archive& a) {
    a(machine, life, word, lapsed, core, leaving, zone, server, service, address, draining, slots, cold_ms);
  }
};

inline bool newer(const Record& a, const Record& b) {
  if (a.life != b.life) return a.life > b.life;
  if (a.word != b.word) return a.word > b.word;
  return a.lapsed && !b.lapsed;
}

class Roll {
 public:
  static constexpr std::size_t most = 16'000;  // machines; a further one is turned away
  struct Entry {
    Record record;
    std::int64_t heard = 0;  // when this word came, microseconds
  };
  using Entries = std::map<Machine, Entry>;

  bool take(const Record& r, std::int64_t now) {
    const auto it = entries_.find(r.machine);
    if (it == entries_.end() ? entries_.size() >= most : !newer(r, it->second.record)) return false;
    if (it != entries_.end()) digest_[part_of(r.machine)] ^= print_of(it->second.record);
    entries_[r.machine] = {r, now};
    digest_[part_of(r.machine)] ^= print_of(r);
    ++changes_;
    return true;
  }
  const Record* find(Machine m) const {
    const auto it = entries_.find(m);
    return it == entries_.end() ? nullptr : &it->second.record;
  }
  const Entries& entries() const { return entries_; }
  const creed::Digest& digest() const { return digest_; }
  std::uint64_t changes() const { return changes_; }
  static std::size_t part_of(Machine m) {
    return (std::uint64_t(m) * 0x9e3779b97f4a7c15U >> 33) % creed::parts;
  }

 private:
  static std::uint64_t print_of(const Record& r) {
    return creed::hashed({reinterpret_cast<const char*>(&r.word), sizeof r.word},
                         r.life * 2 + (r.lapsed ? 1 : 0) + (std::uint64_t(r.machine) << 32));
  }
  Entries entries_;
  creed::Digest digest_{};
  std::uint64_t changes_ = 0;
};

}  // namespace robinpin::rumour
