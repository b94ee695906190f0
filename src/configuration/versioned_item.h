// One item of the control state: a name, a version of its own, and what it says or that it was dropped.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace robinpin::configuration {

// Names begin with what they are of.
constexpr std::string_view channel_prefix = "c/", target_prefix = "t/", evacuation_prefix = "e/",
                           saturation_name = "s";
// An instance of an application server that was acknowledged as draining or departed: it gets no new request.
constexpr std::string_view retirement_prefix = "r/";

struct VersionedItem {
  std::string name;
  std::uint64_t version = 0;
  bool dropped = false;  // a tombstone: kept for a while, so that an older version can't come back
  std::string text;      // JSON; empty where dropped
  std::uint64_t at = 0;  // the number of the settled change that set it; 0: of a call, not settled
  bool operator==(const VersionedItem&) const = default;
  template <typename Archive>
  void serialize(Archive& a) {
    a(name, version, dropped, text, at);
  }
};

// Whether `a` takes `b`'s place. One number holds one wording of an item, and a later number never a lower
// version, but of a name that was let go of.
inline bool newer(const VersionedItem& a, const VersionedItem& b) {
  return a.at != b.at ? a.at > b.at : a.version > b.version;
}
// Whether two say the same of one name, whenever each was settled.
inline bool same_wording(const VersionedItem& a, const VersionedItem& b) {
  return a.name == b.name && a.version == b.version && a.dropped == b.dropped && a.text == b.text;
}

// What a copy holds, in so many parts by name: two that differ in a part differ in an item of it.
constexpr std::size_t parts = 16;
using Digest = std::array<std::uint64_t, parts>;

std::uint64_t hashed(std::string_view text, std::uint64_t seed = 0);
inline std::size_t part_of(std::uint64_t hash_of_name) { return std::size_t(hash_of_name >> 7) % parts; }
inline std::size_t part_of(std::string_view name) { return part_of(hashed(name)); }
std::uint64_t print_of(const VersionedItem& item);

}  // namespace robinpin::configuration
