// The key-value store on disk: LevelDB over an environment that adds the durability LevelDB leaves out.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "key_value_store.h"

namespace robinpin::storage {

class FileSystem;

// Bytes of the write-ahead log after which LevelDB turns it into a table.
inline constexpr std::size_t default_write_buffer_size = 1 << 20;

// Opens the store in `folder`, which is created if it does not exist; no other process can open it until the
// store is destroyed. Errors, with the file as peer: Step::open, the folder cannot be created, read or
// written now, or is in use; Step::corruption, data that was synced is missing. Tables are read by read_all()
// only, so a store that opens may still report corruption there.
result<std::unique_ptr<KeyValueStore>> open_leveldb_store(const std::string& folder);

// The same on another file system and with another buffer, for tests. `files` outlives the store.
result<std::unique_ptr<KeyValueStore>> open_leveldb_store(
    const std::string& folder, FileSystem& files, std::size_t write_buffer_size = default_write_buffer_size);

}  // namespace robinpin::storage
