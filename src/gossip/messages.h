// What the mesh's processes say to each other, as datagrams by cereal. A datagram that can't be read is
// dropped.
#pragma once

#include <cereal/archives/binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "membership_table.h"

namespace robinpin::gossip {

// Reads a datagram in place. Unlike cereal's own it believes no length beyond the bytes that are there.
class Reading : public cereal::InputArchive<Reading, cereal::AllowEmptyClassElision> {
 public:
  explicit Reading(std::string_view bytes)
      : cereal::InputArchive<Reading, cereal::AllowEmptyClassElision>(this), left_(bytes) {}
  void take(void* to, std::size_t size) {
    if (size > left_.size()) throw cereal::Exception("cut short");
    if (size > 0) std::memcpy(to, left_.data(), size);  // an empty list has no place to copy to
    left_.remove_prefix(size);
  }
  void check(std::uint64_t length) const {
    if (length > left_.size()) throw cereal::Exception("longer than what is there");
  }

 private:
  std::string_view left_;
};
template <typename T, cereal::traits::EnableIf<std::is_arithmetic_v<T>> = cereal::traits::sfinae>
void CEREAL_LOAD_FUNCTION_NAME(Reading& r, T& x) {
  r.take(std::addressof(x), sizeof x);
}
template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(Reading& r, cereal::BinaryData<T>& x) {
  r.take(x.data, std::size_t(x.size));
}
template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(Reading& r, cereal::NameValuePair<T>& x) {
  r(x.value);
}
template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(Reading& r, cereal::SizeTag<T>& x) {
  r(x.size);
  r.check(x.size);
}

// The first byte of a datagram. 3 to 6 were messages of earlier versions and are not used again.
enum class kind : std::uint8_t { news = 1, digest = 2, listing = 7 };

struct UpdateMessage {  // passed on to a few others
  std::vector<configuration::VersionedItem> items;
  std::vector<MemberRecord> records;
  std::uint64_t floor = 0;  // its sender's: what stands there at or below it was not dropped up to it
  template <typename A>
  void serialize(A& a) {
    a(items, records, floor);
  }
};

struct MemberLease {  // a member's, as a core has heard it
  Machine machine = 0;
  std::uint16_t age_ms = 0;  // 65,535: so old or older
  template <typename A>
  void serialize(A& a) {
    a(machine, age_ms);
  }
};

struct DigestMessage {  // by which gaps are found; a member's renews its lease at a core
  bool answer = false;  // not to be answered by another
  bool whole = false;   // its sender holds all that a majority of the core does
  configuration::Digest items{}, records{};
  std::vector<Machine> cores;
  std::vector<MemberLease> leases;  // of cores, to cores
  bool core = false;                // its sender is a core machine
  std::uint64_t floor = 0;          // of its sender's copy: dropped names are gone from it up to there
  std::uint64_t epoch = 0;          // of `cores`: grows with each change of who is core
  template <typename A>
  void serialize(A& a) {
    a(answer, whole, items, records, cores, leases, core, floor, epoch);
  }
};

struct RecordSummary {  // how new a record is that its sender holds
  Machine machine = 0;
  std::uint64_t incarnation = 0;
  std::uint32_t sequence = 0;
  bool expired = false;
  template <typename A>
  void serialize(A& a) {
    a(machine, incarnation, sequence, expired);
  }
};

struct ItemSummary {                            // how new an item is that its sender holds
  std::uint64_t name = 0, at = 0, version = 0;  // its name's hash
  template <typename A>
  void serialize(A& a) {
    a(name, at, version);
  }
};

// What a listing is whole for: parts, and of each the machines and the hashes of names from `first` to
// `last`.
struct ListingScope {
  std::uint32_t records = 0, items = 0;  // a bit a part
  Machine first = 0, last = ~Machine(0);
  std::uint64_t first_name = 0, last_name = ~std::uint64_t(0);
  bool record(Machine m) const {
    return (records >> MembershipTable::part_of(m) & 1U) && m >= first && m <= last;
  }
  bool item(std::uint64_t name) const {
    return (items >> configuration::part_of(name) & 1U) && name >= first_name && name <= last_name;
  }
  bool all_names() const { return first_name == 0 && last_name == ~std::uint64_t(0); }
  bool empty() const { return records == 0 && items == 0; }
  template <typename A>
  void serialize(A& a) {
    a(records, items, first, last, first_name, last_name);
  }
};

struct ListingMessage {  // of all records and items in the parts in which two differ: only what the other
                         // lacks is
                         // sent then
  bool answer = false;
  bool core = false;        // its sender is a core machine
  std::uint64_t floor = 0;  // of its sender's copy
  ListingScope of;
  std::vector<RecordSummary> records;
  std::vector<ItemSummary> items;
  template <typename A>
  void serialize(A& a) {
    a(answer, core, floor, of, records, items);
  }
};

// What is sent: news of 8 records, or of items up to 1.2 KB, of bulk 12 KB, or of one longer item (one that
// alone is beyond what is taken never arrives: orders have to bound it); digests of 0.3 KB, 4 bytes a core
// and at most 6 KB of leases; listings of at most 41 KB, two at once.
constexpr std::size_t longest_datagram = 60'000;  // taken
constexpr std::size_t full_datagram = 1'200;      // no further item is put into one that holds so much
// Where items come by the hundred each datagram is dear (a wake-up, a call, a sync at a core): fewer and
// larger ones.
constexpr std::size_t bulk_datagram = 12'000, bulk = 16 * full_datagram;
constexpr std::size_t leases_at_once = 1'000;  // in a digest of a core: 6 bytes each
constexpr std::size_t listed_at_once = 1'000;  // records, and items, in a listing: 17 and 24 bytes each

template <typename T>
std::string written(kind k, const T& said) {
  std::ostringstream out;
  out.put(char(k));
  cereal::BinaryOutputArchive archive(out);
  archive(said);
  return std::move(out).str();
}

inline kind kind_of(std::string_view datagram) {
  return datagram.empty() ? kind(0) : kind(std::uint8_t(datagram[0]));
}

template <typename T>
std::optional<T> read(std::string_view datagram) {
  if (datagram.size() < 2 || datagram.size() > longest_datagram) return std::nullopt;
  try {
    Reading archive(datagram.substr(1));
    T said;
    archive(said);
    return said;
  } catch (const std::exception&) {  // lengths that the datagram does not hold
    return std::nullopt;
  }
}

inline std::size_t size_of(const configuration::VersionedItem& i) {
  return 40 + i.name.size() + i.text.size();
}

// Items in pieces that each fit a datagram; one piece at the least.
inline std::vector<std::vector<configuration::VersionedItem>> pieces_of(
    std::vector<configuration::VersionedItem> items) {
  std::vector<std::vector<configuration::VersionedItem>> pieces(1);
  std::size_t size = 0, all = 0;
  for (const configuration::VersionedItem& i : items) all += size_of(i);
  const std::size_t most = all > bulk ? bulk_datagram : full_datagram;
  for (configuration::VersionedItem& i : items) {
    if (!pieces.back().empty() && size + size_of(i) > most) pieces.emplace_back(), size = 0;
    size += size_of(i);
    pieces.back().push_back(std::move(i));
  }
  return pieces;
}

}  // namespace robinpin::gossip

CEREAL_REGISTER_ARCHIVE(robinpin::gossip::Reading)
