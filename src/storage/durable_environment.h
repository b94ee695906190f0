// The environment that LevelDB runs in. It adds the durability that LevelDB leaves out: the folder is synced
// before anything depends on a name in it, a log is synced before its successor is written to, and the
// inventory says which files have to exist.
#pragma once

#include <leveldb/env.h>

#include <cstdint>
#include <mutex>
#include <string>

#include "file_system.h"
#include "integrity_check.h"

namespace robinpin::storage {

// For one store in one folder. Thread-safe, since LevelDB also writes on a thread of its own. The order of
// calls: lock_folder, recover, LevelDB's open, finish_open, writes, LevelDB's close, finish_close.
class DurableEnvironment : public leveldb::EnvWrapper {
 public:
  // `files` outlives the environment.
  DurableEnvironment(FileSystem& files, std::string folder)
      : EnvWrapper(&files), files_(files), folder_(std::move(folder)) {}
  ~DurableEnvironment() override;

  // Creates the folder if it does not exist, and locks it against other processes until destruction.
  // LevelDB's own lock is granted without a look at the file.
  leveldb::Status lock_folder();

  // Removes what a loss of power left half written. The inventory is saved from here on, unless the store is
  // yet to be created.
  leveldb::Status recover(const IntegrityReport& report);

  // LevelDB has opened the store: the inventory is saved from here on.
  leveldb::Status finish_open();

  // LevelDB has closed its files: saves how long they are.
  leveldb::Status finish_close();

  // The number of the next write, which is the first in any log that is created before it.
  void set_next_write_number(std::uint64_t number);

  // The first failure, which LevelDB may not have noticed. Nothing is written after it.
  leveldb::Status first_failure();

  leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** file) override;
  leveldb::Status RemoveFile(const std::string& path) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
  leveldb::Status LockFile(const std::string& path, leveldb::FileLock** lock) override;
  leveldb::Status UnlockFile(leveldb::FileLock* lock) override;

 private:
  class DurableFile;

  leveldb::Status restore_current(const std::string& manifest);
  // A listed file that is created again starts empty: the inventory says so first.
  leveldb::Status unlist_size(const std::string& name);
  leveldb::Status add_to_inventory(const std::string& name);
  void record_synced_size(const std::string& name, std::uint64_t size);
  leveldb::Status save_inventory();  // the caller holds mutex_
  leveldb::Status write_synced_file(const std::string& name, const std::string& text);
  leveldb::Status record_failure(leveldb::Status status);  // returns `status`
  std::string path_of(const std::string& name) const { return folder_ + "/" + name; }

  FileSystem& files_;
  const std::string folder_;
  leveldb::FileLock* folder_lock_ = nullptr;
  std::mutex mutex_;  // guards what follows
  Inventory inventory_;
  std::uint64_t next_write_number_ = 0;
  bool inventory_is_active_ = false;
  leveldb::Status first_failure_;
};

}  // namespace robinpin::storage
