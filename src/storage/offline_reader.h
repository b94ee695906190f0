// Reads a store whose process is stopped, for operators.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "key_value_store.h"

namespace robinpin::storage {

struct OfflineContents {
  // Of a corrupted store these are the entries that can still be read, perhaps from different times.
  std::vector<KeyValueStore::Entry> entries;
  std::vector<std::string> corruption;  // "file: what is wrong"; empty for a good store
  std::uint64_t size_on_disk = 0;       // bytes
};

// Copies the store into a temporary folder and reads the copy, so that `folder` is left as it is.
// Errors: Step::open, there is no store or it is in use; Step::copy.
result<OfflineContents> read_offline(const std::string& folder);

}  // namespace robinpin::storage
