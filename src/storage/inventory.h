// The list of files that hold a store's history. LevelDB opens a folder that lacks a log, or its CURRENT, as
// a shorter history or an empty one; with the inventory such a loss is detected.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace robinpin::storage {

// Every listed file exists and is at least as long as said. Two copies are written in turn.
struct Inventory {
  struct File {
    std::uint64_t synced_size = 0;         // bytes, at least
    std::uint64_t first_write_number = 0;  // of a log: the number of its first batch; 0: not known
    bool operator==(const File&) const = default;
  };
  std::uint64_t revision = 0;         // the copy with the higher one is the newer
  std::map<std::string, File> files;  // logs and manifests by file name
  bool operator==(const Inventory&) const = default;
};

inline constexpr std::array<const char*, 2> inventory_file_names = {"INVENTORY-A", "INVENTORY-B"};

// Which of the two files holds that revision.
inline const char* inventory_file_name(std::uint64_t revision) {
  return inventory_file_names[revision % inventory_file_names.size()];
}

// Text lines, the last with a checksum of the ones before it.
std::string encode(const Inventory& inventory);
std::optional<Inventory> decode_inventory(std::string_view text);  // none: torn or corrupted

}  // namespace robinpin::storage
