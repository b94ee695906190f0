// What a store's files say before LevelDB reads them: whether what was synced is all there, and where writes
// that power cut short end. LevelDB by itself opens a folder that lacks a log, or its CURRENT, as a shorter
// history or none, and reads on behind a torn record. Reads only.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace robinpin::trove {

// Which files hold the history, two copies in turn (INVENTORY-A, -B): a file that is listed is there, and as
// long at least.
struct Inventory {
  struct File {
    std::uint64_t size = 0;   // synced, at least
    std::uint64_t first = 0;  // of a log: the number of the first put in it. 0: not known
    bool operator==(const File&) const = default;
  };
  std::uint64_t turn = 0;
  std::map<std::string, File> files;  // logs and manifests, in order
  bool operator==(const Inventory&) const = default;
};
inline constexpr const char* inventory_names[2] = {"INVENTORY-A", "INVENTORY-B"};
std::string written(const Inventory& inventory);
std::optional<Inventory> read_inventory(std::string_view text);  // none: torn or damaged

// Each put begins with this one: its number, and up to which number all were synced by then.
struct Mark {
  static constexpr std::string_view name{"\0trove", 6};
  std::uint64_t number = 0, synced = 0;
};
std::string written(const Mark& mark);
std::optional<Mark> read_mark(std::string_view text);

struct Damage {
  std::string file, why;
  bool lost = true;  // else it could not be looked at
};
struct Findings {
  std::vector<Damage> damage;  // more than a loss of power explains
  std::map<std::string, std::uint64_t>
      torn;                            // unsynced ends that it does explain: by file, how much of it stands
  std::optional<Inventory> inventory;  // none: a store that was never whole, or from before there were any
  std::optional<std::string> current;  // CURRENT is lost, and this is what it says
  std::optional<std::uint64_t> last;   // the number of the last put. None: not known
  std::uint64_t bytes = 0;
  bool empty = true;  // nothing was ever put in it
};
Findings inspect(const std::string& folder);

}  // namespace robinpin::trove
