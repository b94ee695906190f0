// The file system under a store: LevelDB's environment and the calls that it lacks. Tests put their own in
// its place.
#pragma once

#include <leveldb/env.h>

#include <cstdint>
#include <string>

namespace robinpin::storage {

class FileSystem : public leveldb::EnvWrapper {
 public:
  FileSystem() : EnvWrapper(leveldb::Env::Default()) {}

  // Makes the names in the folder durable.
  virtual leveldb::Status sync_folder(const std::string& folder);

  // Shortens the file to `size` bytes and syncs it.
  virtual leveldb::Status truncate_and_sync(const std::string& path, std::uint64_t size);

  // What an earlier process wrote can be readable without being durable, also after one of its syncs has
  // failed. Writes the same bytes again and syncs them.
  virtual leveldb::Status rewrite_and_sync(const std::string& path);

  // The operating system's; lives as long as the process.
  static FileSystem& local();
};

}  // namespace robinpin::storage
