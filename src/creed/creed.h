// A copy of the control state: merged item by item, the highest version wins. Free of I/O and clocks.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "item.h"

namespace robinpin::creed {

class Creed {
 public:
  using Items = std::map<std::string, Item, std::less<>>;
  static constexpr std::size_t most_items = 20'000;  // beyond it new names are turned away

  // True if it was news and is held now.
  bool take(const Item& item);
  const Item* find(std::string_view name) const;  // also a dropped one; null if never heard of
  bool stands(std::string_view name) const {
    const Item* i = find(name);
    return i && !i->dropped;
  }
  const Digest& digest() const { return digest_; }
  std::vector<Item> part(std::size_t number) const;
  std::size_t in_part(std::size_t number) const { return counts_[number]; }
  const Items& items() const { return items_; }
  std::uint64_t changes() const { return changes_; }  // grows with each

 private:
  Items items_;
  Digest digest_{};
  std::array<std::size_t, parts> counts_{};
  std::uint64_t changes_ = 0;
};

}  // namespace robinpin::creed
