// A copy of the control state: merged item by item, what was settled last wins. Names that were dropped are
// let go of, oldest first, once they are many: up to the floor a name that is not held was dropped or never
// was. Free of I/O and clocks.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "versioned_item.h"

namespace robinpin::configuration {

class ConfigurationStore {
 public:
  using Items = std::map<std::string, VersionedItem, std::less<>>;
  static constexpr std::size_t most_items = 20'000;      // that stand: an order beyond it is refused
  static constexpr std::size_t most_bytes = 24'000'000;  // of all names and texts, likewise
  static constexpr std::size_t most_dropped = 4'096;     // dropped names that are still known
  static constexpr std::size_t let_go_at_once = 512;     // of them

  // True if it was news and is held now.
  bool take(const VersionedItem& item);
  // Lets the oldest dropped names go where they are more than `most_dropped`; all copies of one number do it
  // alike. Their names.
  std::vector<std::string> prune();
  // Another copy, whole up to there, has let go of all dropped names up to this number, and this one lacks
  // nothing that it has.
  std::vector<std::string> let_go(std::uint64_t floor);
  std::uint64_t floor() const { return floor_; }
  void floor(std::uint64_t number) { floor_ = number; }  // as read from a disk
  bool erase(std::string_view name);
  const VersionedItem* find(std::string_view name) const;  // also a dropped one; null if never heard of
  bool stands(std::string_view name) const {
    const VersionedItem* i = find(name);
    return i && !i->dropped;
  }
  const Digest& digest() const { return digest_; }
  std::vector<VersionedItem> part(std::size_t number) const;
  std::size_t in_part(std::size_t number) const { return counts_[number]; }
  std::size_t dropped() const { return dropped_; }
  std::size_t standing() const { return items_.size() - dropped_; }
  std::size_t bytes() const { return bytes_; }  // of names and texts
  const Items& items() const { return items_; }
  std::uint64_t changes() const { return changes_; }  // grows with each

 private:
  Items items_;
  Digest digest_{};
  std::array<std::size_t, parts> counts_{};
  std::size_t dropped_ = 0, bytes_ = 0;
  std::uint64_t changes_ = 0, floor_ = 0;
};

}  // namespace robinpin::configuration
