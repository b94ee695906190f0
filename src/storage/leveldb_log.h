// Reads LevelDB's log format (its doc/log_format.md), in which write-ahead logs and manifests are stored.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "write_sequence.h"

namespace robinpin::storage {

struct LogScan {
  std::size_t valid_size = 0;               // bytes up to which complete entries stand
  std::vector<std::string> entry_prefixes;  // the first bytes of each: enough for its write sequence
};

// Reads entries from the start up to the first one that is torn or corrupted.
LogScan scan_log(std::string_view log);

// The write sequence with which an entry of a write-ahead log begins. None: the entry is from an older store.
std::optional<WriteSequence> write_sequence_of(std::string_view entry);

// Of the intact records from `offset` on, the write sequence that knows of the latest synced write.
std::optional<WriteSequence> latest_write_sequence_after(std::string_view log, std::size_t offset);

}  // namespace robinpin::storage
