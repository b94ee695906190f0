// Checks a store's files before LevelDB opens them: whether all that was synced is there, and where writes
// that a loss of power interrupted end. LevelDB itself would open a shorter history and read on behind a torn
// record. Only reads.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "inventory.h"

namespace robinpin::storage {

struct IntegrityFault {
  std::string file;  // its path
  std::string reason;
  bool is_corruption = true;  // false: the file could not be examined
};

struct IntegrityReport {
  std::vector<IntegrityFault> faults;  // more than a loss of power explains
  // Unsynced ends that a loss of power does explain: by file name, the bytes of it that are valid.
  std::map<std::string, std::uint64_t> torn_files;
  std::optional<Inventory> inventory;       // none: creation did not finish, or the store predates it
  std::optional<std::string> lost_current;  // CURRENT is missing, and this is the manifest it has to name
  std::optional<std::uint64_t> last_write;  // the number of the last write; none: not known
  std::uint64_t size_on_disk = 0;           // bytes
  bool is_empty = true;                     // nothing was ever written
};

IntegrityReport check_integrity(const std::string& folder);

}  // namespace robinpin::storage
