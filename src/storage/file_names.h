// LevelDB's file names.
#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace robinpin::storage {

inline constexpr const char* current_file_name = "CURRENT";  // names the manifest in force
inline constexpr const char* lock_file_name = "LOCK";
inline constexpr std::string_view manifest_prefix = "MANIFEST-";
inline constexpr std::string_view temporary_suffix = ".dbtmp";

inline bool is_log(std::string_view name) { return name.ends_with(".log"); }
inline bool is_manifest(std::string_view name) { return name.starts_with(manifest_prefix); }
inline bool is_table(std::string_view name) { return name.ends_with(".ldb") || name.ends_with(".sst"); }
inline bool is_temporary(std::string_view name) { return name.ends_with(temporary_suffix); }

// The files that the inventory lists.
inline bool is_in_inventory(std::string_view name) { return is_log(name) || is_manifest(name); }

// Of 000012.log or MANIFEST-000012: 12.
inline std::uint64_t file_number(std::string_view name) {
  if (is_manifest(name)) name.remove_prefix(manifest_prefix.size());
  std::uint64_t number = 0;
  std::from_chars(name.data(), name.data() + name.size(), number);
  return number;
}

}  // namespace robinpin::storage
