// One item of the control state: a name, a version of its own, and what it says or that it was dropped.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace robinpin::creed {

// Names begin with what they are of.
constexpr std::string_view channel_mark = "c/", target_mark = "t/", evacuation_mark = "e/", saturation_name = "s";

struct Item {
  std::string name;
  std::uint64_t version = 0;
  bool dropped = false;  // a tombstone: kept, so that an older version can't come back
  std::string text;      // JSON; empty where dropped
  bool operator==(const Item&) const = default;
  template <typename Archive>
  void serialize(Archive& a) {
    a(name, version, dropped, text);
  }
};

// Whether `a` takes `b`'s place. Of one version in two wordings (two operators at once) all copies settle on the same.
inline bool newer(const Item& a, const Item& b) {
  if (a.version != b.version) return a.version > b.version;
  if (a.dropped != b.dropped) return a.dropped;
  return a.text > b.text;
}

// What a copy holds, in so many parts by name: two that differ in a part differ in an item of it.
constexpr std::size_t parts = 16;
using Digest = std::array<std::uint64_t, parts>;

std::uint64_t hashed(std::string_view text, std::uint64_t seed = 0);
inline std::size_t part_of(std::string_view name) { return std::size_t(hashed(name) >> 7) % parts; }
std::uint64_t print_of(const Item& item);

}  // namespace robinpin::creed
