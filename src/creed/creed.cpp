#include "creed.h"

namespace robinpin::creed {

std::uint64_t hashed(std::string_view text, std::uint64_t seed) {
  std::uint64_t h = 14695981039346656037U ^ (seed * 0x9e3779b97f4a7c15U);
  for (const char c : text) h = (h ^ std::uint8_t(c)) * 1099511628211U;
  h ^= h >> 29;
  return h * 0xbf58476d1ce4e5b9U ^ (h >> 32);
}

std::uint64_t print_of(const Item& item) {
  return hashed(item.text, hashed(item.name, item.version * 2 + (item.dropped ? 1 : 0)));
}

bool Creed::take(const Item& item) {
  const auto it = items_.find(item.name);
  if (it == items_.end()) {
    if (items_.size() >= most_items) return false;
    items_.emplace(item.name, item);
    ++counts_[part_of(item.name)];
  } else {
    if (!newer(item, it->second)) return false;
    digest_[part_of(item.name)] ^= print_of(it->second);
    it->second = item;
  }
  digest_[part_of(item.name)] ^= print_of(item);
  ++changes_;
  return true;
}

const Item* Creed::find(std::string_view name) const {
  const auto it = items_.find(name);
  return it == items_.end() ? nullptr : &it->second;
}

std::vector<Item> Creed::part(std::size_t number) const {
  std::vector<Item> found;
  for (const auto& [name, item] : items_)
    if (part_of(name) == number) found.push_back(item);
  return found;
}

}  // namespace robinpin::creed
