#include "configuration_store.h"

#include <algorithm>

namespace robinpin::configuration {

std::uint64_t hashed(std::string_view text, std::uint64_t seed) {
  std::uint64_t h = 14695981039346656037U ^ (seed * 0x9e3779b97f4a7c15U);
  for (const char c : text) h = (h ^ std::uint8_t(c)) * 1099511628211U;
  h ^= h >> 29;
  return h * 0xbf58476d1ce4e5b9U ^ (h >> 32);
}

std::uint64_t print_of(const VersionedItem& item) {
  return hashed(item.text, hashed(item.name, item.at ^ ((item.version * 2 + (item.dropped ? 1 : 0)) << 20)));
}

namespace {
std::size_t size_of(const VersionedItem& i) { return i.name.size() + i.text.size(); }
}  // namespace

bool ConfigurationStore::take(const VersionedItem& item) {
  const auto it = items_.find(item.name);
  const auto part = part_of(item.name);
  if (it == items_.end()) {
    if (item.at != 0 && item.at <= floor_) return false;  // it was dropped, and its name let go of
    items_.emplace(item.name, item);
    ++counts_[part];
  } else {
    if (!newer(item, it->second)) return false;
    digest_[part] ^= print_of(it->second);
    bytes_ -= size_of(it->second);
    dropped_ -= it->second.dropped;
    it->second = item;
  }
  digest_[part] ^= print_of(item);
  bytes_ += size_of(item);
  dropped_ += item.dropped;
  ++changes_;
  return true;
}

bool ConfigurationStore::erase(std::string_view name) {
  const auto it = items_.find(name);
  if (it == items_.end()) return false;
  const auto part = part_of(name);
  digest_[part] ^= print_of(it->second);
  bytes_ -= size_of(it->second);
  dropped_ -= it->second.dropped;
  --counts_[part];
  items_.erase(it);
  ++changes_;
  return true;
}

std::vector<std::string> ConfigurationStore::prune() {
  if (dropped_ <= most_dropped) return {};
  std::vector<std::uint64_t> at;
  for (const auto& [name, item] : items_)
    if (item.dropped) at.push_back(item.at);
  const auto last = at.begin() + std::ptrdiff_t(at.size() - most_dropped + let_go_at_once) - 1;
  std::nth_element(at.begin(), last, at.end());
  return let_go(*last);
}

std::vector<std::string> ConfigurationStore::let_go(std::uint64_t floor) {
  std::vector<std::string> gone;
  if (floor <= floor_) return gone;
  for (const auto& [name, item] : items_)
    if (item.dropped && item.at <= floor) gone.push_back(name);
  for (const auto& name : gone) erase(name);
  floor_ = floor;
  return gone;
}

const VersionedItem* ConfigurationStore::find(std::string_view name) const {
  const auto it = items_.find(name);
  return it == items_.end() ? nullptr : &it->second;
}

std::vector<VersionedItem> ConfigurationStore::part(std::size_t number) const {
  std::vector<VersionedItem> found;
  for (const auto& [name, item] : items_)
    if (part_of(name) == number) found.push_back(item);
  return found;
}

}  // namespace robinpin::configuration
